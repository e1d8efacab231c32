"""Targets' slots over all instances of a failure domain."""

import asyncio
import random

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from chicorydoor.coordination import requests
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.state import slot_ledger
from chicorydoor.state import slot_purse
from tests.support import clocks
from tests.support import fleet as fleet_module
from tests.support import virtual_time

_VALID_S = 3.0
_LONGEST_S = 2.0
_SLOTS = 4


class Instance:
    """A purse and the requests that run under it."""

    def __init__(self, clock, name):
        self.clock = clock
        self.name = name
        self.purse = slot_purse.SlotPurse(clock)
        self.acks = 0
        self.wanted = 0
        self.running = []

    def report(self):
        wants = {"svc": self.wanted} if self.wanted else {}
        return pm.SlotReport(self.purse.state(), wants)

    def start(self):
        if self.purse.take("t"):
            self.running.append(self.clock.now() + _LONGEST_S)

    def finish(self):
        if self.running:
            self.running.pop(0)
            self.purse.put_back("t")


class Course:
    """Instances and coordinators driven by a list of actions."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.instances = [Instance(self.clock, f"i{n}") for n in range(3)]
        self.orphans = []
        self.ledger = self._new_ledger()
        self.clock.at += _VALID_S + _LONGEST_S + 0.1

    def _new_ledger(self):
        ledger = slot_ledger.SlotLedger(self.clock, _VALID_S)
        slots = slot_ledger.TargetSlots("svc", _SLOTS, _LONGEST_S)
        ledger.configure({"t": slots})
        return ledger

    def outstanding(self):
        """The naive count: one global counter of what runs."""
        running = sum(len(i.running) for i in self.instances)
        now = self.clock.now()
        self.orphans = [end for end in self.orphans if end > now]
        return running + len(self.orphans)

    def exchange(self, index, is_reply_lost):
        instance = self.instances[index]
        sent_at = self.clock.now()
        report = instance.report()
        self.ledger.report(instance.name, instance.acks, report)
        limits = self.ledger.allot(instance.name)
        self.ledger.recall(instance.name, "svc")
        if is_reply_lost:
            return
        instance.acks = self.ledger.number(instance.name)
        instance.purse.apply(limits, sent_at + _VALID_S)

    def act(self, kind, index, amount):
        instance = self.instances[index]
        if kind == "exchange":
            self.exchange(index, is_reply_lost=False)
        elif kind == "lose":
            self.exchange(index, is_reply_lost=True)
        elif kind == "want":
            instance.wanted = amount
        elif kind == "start":
            instance.start()
        elif kind == "finish":
            instance.finish()
        elif kind == "give back":
            instance.purse.give_back("t", amount)
        elif kind == "pass":
            self._pass_time(amount)
        elif kind == "crash":
            self._crash(index)
        elif kind == "new coordinator":
            self._change_coordinator()

    def _pass_time(self, amount):
        self.clock.at += amount / 2
        for instance in self.instances:
            while instance.running and instance.running[0] <= self.clock.at:
                instance.finish()

    def _crash(self, index):
        """Its requests run on at the target until their deadline."""
        dead = self.instances[index]
        self.orphans += dead.running
        self.instances[index] = Instance(self.clock, dead.name + "'")

    def _change_coordinator(self):
        self.ledger = self._new_ledger()
        for instance in self.instances:
            instance.acks = 0


_ACTIONS = st.tuples(
    st.sampled_from(
        ["exchange"] * 4
        + ["start"] * 4
        + ["lose", "want", "want", "finish", "give back", "pass"]
        + ["crash", "new coordinator"]
    ),
    st.integers(0, 2),
    st.integers(0, 4),
)


class TestSlotLedger:
    @seed(11)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.lists(_ACTIONS, max_size=60))
    def test_never_more_outstanding_than_slots(self, actions):
        course = Course()
        for action in actions:
            course.act(*action)
            assert course.outstanding() <= _SLOTS

    def test_all_slots_reach_the_one_that_wants_them(self):
        course = Course()
        course.instances[0].wanted = _SLOTS
        course.exchange(0, is_reply_lost=False)
        assert course.instances[0].purse.free("t") == _SLOTS

    def test_starving_instance_gets_an_equal_part(self):
        course = Course()
        first, second = course.instances[:2]
        first.wanted = _SLOTS
        course.exchange(0, is_reply_lost=False)
        for _ in range(_SLOTS):
            first.start()
        second.wanted = 2
        course.exchange(1, is_reply_lost=False)
        course.exchange(0, is_reply_lost=False)
        first.finish()
        first.finish()
        course.exchange(0, is_reply_lost=False)
        course.exchange(1, is_reply_lost=False)
        assert second.purse.free("t") == 2

    def test_a_new_coordinator_waits_for_requests_it_cannot_know(self):
        course = Course()
        course.instances[0].wanted = _SLOTS
        course.exchange(0, is_reply_lost=False)
        for _ in range(_SLOTS):
            course.instances[0].start()
        course.act("crash", 0, 0)
        course.act("new coordinator", 0, 0)
        course.instances[1].wanted = _SLOTS
        course.exchange(1, is_reply_lost=False)
        course.instances[1].start()
        assert course.outstanding() <= _SLOTS

    def test_silent_instance_keeps_its_slots_in_doubt(self):
        course = Course()
        course.instances[0].wanted = _SLOTS
        course.exchange(0, is_reply_lost=False)
        course.clock.at += _VALID_S + _LONGEST_S - 0.1
        assert course.ledger.free("t") == 0
        course.clock.at += 0.2
        assert course.ledger.free("t") == _SLOTS


class TestSlotsOfAFleet:
    """Real entries under twice the capacity, with faults."""

    @staticmethod
    def _fleet():
        config = fleet_module.configuration(
            domains=2, targets=2, slots=3, rate=5000, burst=5000
        )
        return fleet_module.Fleet(config, ["d0", "d0", "d0", "d1"], seed=5)

    def _run(self, fault):
        async def course():
            fleet = self._fleet()
            await fleet.ready()
            replies = []
            rng = random.Random(5)
            loads = [
                asyncio.create_task(
                    fleet_module.offer(node, 400.0, 9.0, rng, replies)
                )
                for node in fleet.nodes("d0")
            ]
            await asyncio.sleep(2.0)
            await fault(fleet)
            await asyncio.gather(*loads)
            assert not fleet.outstanding_over_slots()
            return replies

        return virtual_time.run(course())

    def test_a_slot_that_comes_at_the_last_moment_is_not_lost(self):
        async def course():
            config = fleet_module.configuration(domains=2, targets=1, slots=1)
            fleet = fleet_module.Fleet(config, ["d0", "d1"])
            await fleet.ready()
            placement = fleet.nodes("d0")[0].parts.placement
            loop = asyncio.get_running_loop()
            route = config.route_by_id["open"]

            def request():
                return requests.Request(
                    "GET",
                    "/open/x",
                    b"",
                    [],
                    requests.Body(b""),
                    "open",
                    route,
                    "",
                    "",
                    "id",
                    loop.time() + 1.0,
                )

            held = await placement.acquire(request(), 1.0, 9)
            hold_s = placement.slot_use()["svc"].hold_s
            gives_up_at = loop.time() + 1.0 - hold_s
            loop.call_at(gives_up_at - 1e-10, placement.release, held, 0.0)
            with pytest.raises(requests.RefusedError):
                await placement.acquire(request(), 1.0, 9)
            assert await placement.acquire(request(), 1.0, 9) is held

        virtual_time.run(course())

    def test_goodput_at_twice_the_capacity(self):
        async def no_fault(fleet):
            return None

        replies = self._run(no_fault)
        served = sum(reply.code == 0 for _, reply in replies)
        capacity = 2 * 3 / 0.011 * 9.0
        assert served >= 0.95 * capacity

    def test_coordinator_killed(self):
        async def kill(fleet):
            await fleet.coordinator("d0").kill()

        replies = self._run(kill)
        last = max(at for at, _ in replies)
        assert any(r.code == 0 for at, r in replies if at > last - 2.0)

    def test_coordinator_frozen(self):
        async def freeze(fleet):
            node = fleet.coordinator("d0")
            await node.freeze()
            await asyncio.sleep(4.0)
            node.thaw()

        self._run(freeze)

    def test_planned_handover_keeps_the_slots_usable(self):
        async def hand_over(fleet):
            node = fleet.coordinator("d0")
            node.parts.membership.leave()
            await asyncio.sleep(0.5)
            await node.parts.coordinator.hand_over()
            await asyncio.sleep(1.0)
            successor = fleet.coordinator("d0")
            assert successor is not None and successor is not node
            load = successor.parts.coordinator.summarize().load_by_service
            assert load["svc"].slots == 6

        replies = self._run(hand_over)
        served = sum(reply.code == 0 for _, reply in replies)
        assert served >= 0.95 * 2 * 3 / 0.011 * 9.0
