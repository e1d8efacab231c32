"""Slot limits of targets over all instances of a failure domain.

The coordinator's ledger grants the slots of a target to the instances. A slot
that is granted twice runs more requests at the target than it has slots. That
can happen when a reply is lost, an instance crashes while its requests still
run, or a new coordinator doesn't know the grants of the former one.
"""

import asyncio
import random

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from chicorydoor.coordination import request_types
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.state import local_slots
from chicorydoor.state import slot_ledger
from tests.support import clocks
from tests.support import simulated_fleet
from tests.support import virtual_time

_VALID_S = 3.0
_MAX_REQUEST_S = 2.0
_SLOTS = 4


class SimulatedInstance:
    """An instance's local slots and its running requests."""

    def __init__(self, clock, name):
        self.clock = clock
        self.name = name
        self.local_slots = local_slots.LocalSlots(clock)
        self.acknowledged_number = 0
        self.wanted_slots = 0
        self.running = []

    def build_report(self):
        wants = {"svc": self.wanted_slots} if self.wanted_slots else {}
        return pm.SlotReport(self.local_slots.report_states(), wants)

    def start(self):
        if self.local_slots.acquire("t"):
            self.running.append(self.clock.now() + _MAX_REQUEST_S)

    def finish(self):
        if self.running:
            self.running.pop(0)
            self.local_slots.release("t")


class SlotSimulation:
    """Instances and a coordinator's ledger, driven by a list of actions."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.instances = [
            SimulatedInstance(self.clock, f"i{n}") for n in range(3)
        ]
        self.end_times_of_orphans = []
        self.ledger = self._new_ledger()
        self.clock.now_s += _VALID_S + _MAX_REQUEST_S + 0.1

    def _new_ledger(self):
        ledger = slot_ledger.SlotLedger(self.clock, _VALID_S)
        slots = slot_ledger.TargetSlots("svc", _SLOTS, _MAX_REQUEST_S)
        ledger.configure({"t": slots})
        return ledger

    def running_count(self):
        """Return the number of all requests running at the target."""
        running = sum(len(i.running) for i in self.instances)
        now = self.clock.now()
        self.end_times_of_orphans = [
            ends_at for ends_at in self.end_times_of_orphans if ends_at > now
        ]
        return running + len(self.end_times_of_orphans)

    def exchange_report(self, index, is_reply_lost):
        instance = self.instances[index]
        sent_at = self.clock.now()
        report = instance.build_report()
        self.ledger.apply_report(
            instance.name, instance.acknowledged_number, report
        )
        limits = self.ledger.grant(instance.name)
        self.ledger.reclaim(instance.name, "svc")
        if is_reply_lost:
            return
        instance.acknowledged_number = self.ledger.grant_number(instance.name)
        instance.local_slots.apply_grant(limits, sent_at + _VALID_S)

    def apply_action(self, kind, index, amount):
        instance = self.instances[index]
        if kind == "exchange":
            self.exchange_report(index, is_reply_lost=False)
        elif kind == "lose reply":
            self.exchange_report(index, is_reply_lost=True)
        elif kind == "want":
            instance.wanted_slots = amount
        elif kind == "start":
            instance.start()
        elif kind == "finish":
            instance.finish()
        elif kind == "lower limit":
            instance.local_slots.lower_limit("t", amount)
        elif kind == "advance time":
            self._advance_time(amount)
        elif kind == "crash":
            self._crash(index)
        elif kind == "new coordinator":
            self._replace_coordinator()

    def _advance_time(self, half_seconds):
        self.clock.now_s += half_seconds / 2
        for instance in self.instances:
            while instance.running and instance.running[0] <= self.clock.now_s:
                instance.finish()

    def _crash(self, index):
        """Replace an instance; its requests run on until their deadline."""
        crashed = self.instances[index]
        self.end_times_of_orphans += crashed.running
        self.instances[index] = SimulatedInstance(
            self.clock, crashed.name + "'"
        )

    def _replace_coordinator(self):
        self.ledger = self._new_ledger()
        for instance in self.instances:
            instance.acknowledged_number = 0


_ACTION_STRATEGY = st.tuples(
    st.sampled_from(
        ["exchange"] * 4
        + ["start"] * 4
        + [
            "lose reply",
            "want",
            "want",
            "finish",
            "lower limit",
            "advance time",
        ]
        + ["crash", "new coordinator"]
    ),
    st.integers(0, 2),
    st.integers(0, 4),
)


class TestSlotLedger:
    @seed(11)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.lists(_ACTION_STRATEGY, max_size=60))
    def test_running_requests_never_exceed_the_slots(self, actions):
        simulation = SlotSimulation()
        for action in actions:
            simulation.apply_action(*action)
            assert simulation.running_count() <= _SLOTS

    def test_only_requesting_instance_gets_all_slots(self):
        simulation = SlotSimulation()
        simulation.instances[0].wanted_slots = _SLOTS
        simulation.exchange_report(0, is_reply_lost=False)
        assert simulation.instances[0].local_slots.free_slots("t") == _SLOTS

    def test_instance_without_slots_gets_an_equal_share(self):
        simulation = SlotSimulation()
        first, second = simulation.instances[:2]
        first.wanted_slots = _SLOTS
        simulation.exchange_report(0, is_reply_lost=False)
        for _ in range(_SLOTS):
            first.start()
        second.wanted_slots = 2
        simulation.exchange_report(1, is_reply_lost=False)
        simulation.exchange_report(0, is_reply_lost=False)
        first.finish()
        first.finish()
        simulation.exchange_report(0, is_reply_lost=False)
        simulation.exchange_report(1, is_reply_lost=False)
        assert second.local_slots.free_slots("t") == 2

    def test_new_coordinator_waits_for_running_requests_unknown_to_it(self):
        simulation = SlotSimulation()
        simulation.instances[0].wanted_slots = _SLOTS
        simulation.exchange_report(0, is_reply_lost=False)
        for _ in range(_SLOTS):
            simulation.instances[0].start()
        simulation.apply_action("crash", 0, 0)
        simulation.apply_action("new coordinator", 0, 0)
        simulation.instances[1].wanted_slots = _SLOTS
        simulation.exchange_report(1, is_reply_lost=False)
        simulation.instances[1].start()
        assert simulation.running_count() <= _SLOTS

    def test_slots_of_a_silent_instance_stay_reserved(self):
        simulation = SlotSimulation()
        simulation.instances[0].wanted_slots = _SLOTS
        simulation.exchange_report(0, is_reply_lost=False)
        simulation.clock.now_s += _VALID_S + _MAX_REQUEST_S - 0.1
        assert simulation.ledger.free_slots("t") == 0
        simulation.clock.now_s += 0.2
        assert simulation.ledger.free_slots("t") == _SLOTS


class TestSlotsInFleet:
    """Entries under about twice the capacity of the targets, with faults.

    Three entries of d0 each get 400 requests/s for 9 s. The two targets with 3
    slots each serve 545 requests/s: a request takes 10 ms of work and 1 ms on
    the connection.
    """

    @staticmethod
    def _new_fleet():
        config = simulated_fleet.build_configuration(
            domain_count=2,
            targets_per_domain=2,
            slots=3,
            rate=5000,
            burst=5000,
        )
        return simulated_fleet.Fleet(config, ["d0", "d0", "d0", "d1"], seed=5)

    def _run_with_fault(self, fault):
        async def scenario():
            fleet = self._new_fleet()
            await fleet.apply_and_wait_for_slots()
            replies = []
            rng = random.Random(5)
            loads = [
                asyncio.create_task(
                    simulated_fleet.send_poisson_load(
                        entry, 400.0, 9.0, rng, replies
                    )
                )
                for entry in fleet.entries("d0")
            ]
            await asyncio.sleep(2.0)
            await fault(fleet)
            await asyncio.gather(*loads)
            assert not fleet.targets_over_slots()
            return replies

        return virtual_time.run(scenario())

    def test_slot_granted_at_the_timeout_is_not_lost(self):
        # The slot is granted so shortly before the timeout that the waiting
        # request is refused all the same; it must release the slot again.
        async def scenario():
            config = simulated_fleet.build_configuration(
                domain_count=2, targets_per_domain=1, slots=1
            )
            fleet = simulated_fleet.Fleet(config, ["d0", "d1"])
            await fleet.apply_and_wait_for_slots()
            slot_queue = fleet.entries("d0")[0].parts.slot_queue
            loop = asyncio.get_running_loop()
            route = config.route_by_id["open"]

            def request():
                return request_types.Request(
                    "GET",
                    "/open/x",
                    b"",
                    [],
                    request_types.Body(b""),
                    "open",
                    route,
                    "",
                    "",
                    "id",
                    loop.time() + 1.0,
                )

            target_state = await slot_queue.acquire(request(), 1.0, 9)
            hold_s = slot_queue.slot_use_by_service()["svc"].hold_s
            wait_ends_at = loop.time() + 1.0 - hold_s
            loop.call_at(
                wait_ends_at - 1e-10, slot_queue.release, target_state, 0.0
            )
            with pytest.raises(request_types.RefusedError):
                await slot_queue.acquire(request(), 1.0, 9)
            assert await slot_queue.acquire(request(), 1.0, 9) is target_state

        virtual_time.run(scenario())

    def test_goodput_at_twice_the_capacity(self):
        async def no_fault(fleet):
            return None

        replies = self._run_with_fault(no_fault)
        served = sum(reply.code == 0 for _, reply in replies)
        capacity = 2 * 3 / 0.011 * 9.0
        assert served >= 0.95 * capacity

    def test_requests_succeed_after_the_coordinator_is_killed(self):
        async def kill(fleet):
            await fleet.coordinator("d0").kill()

        replies = self._run_with_fault(kill)
        last_sent_at = max(sent_at for sent_at, _ in replies)
        assert any(
            r.code == 0
            for sent_at, r in replies
            if sent_at > last_sent_at - 2.0
        )

    def test_slot_limits_hold_while_the_coordinator_is_paused(self):
        async def pause(fleet):
            entry = fleet.coordinator("d0")
            await entry.pause()
            await asyncio.sleep(4.0)
            entry.resume()

        self._run_with_fault(pause)

    def test_planned_handover_keeps_the_slots_usable(self):
        async def hand_over(fleet):
            entry = fleet.coordinator("d0")
            entry.parts.membership.announce_leaving()
            await asyncio.sleep(0.5)
            await entry.parts.coordinator.hand_over()
            await asyncio.sleep(1.0)
            successor = fleet.coordinator("d0")
            assert successor is not None and successor is not entry
            load = successor.parts.coordinator.make_summary().load_by_service
            assert load["svc"].slots == 6

        replies = self._run_with_fault(hand_over)
        served = sum(reply.code == 0 for _, reply in replies)
        assert served >= 0.95 * 2 * 3 / 0.011 * 9.0
