"""Small rates that a region's entries count at two desks."""

import asyncio
import random

from chicorydoor.soak import windows
from tests.support import peer_fleet
from tests.support import serving as make

_STEP_S = 0.05
_WINDOW_S = 5.0
# Every entry has heard the others, and digests have come.
_SETTLED_S = 6.0
_SMALL = make.customer(rate_per_s=18.0, burst=18.0)


class _Load:
    """Requests of one customer that come to random entries.

    Args:
        entries (list): Where they come.
        seed (int): Of the randomness.
    """

    def __init__(self, entries, seed=1):
        self._entries = entries
        self._rng = random.Random(seed)
        self._tasks = []
        self.offered = 0
        self.unanswered = 0
        self.granted_at = []

    async def offer(self, per_s, seconds):
        for _ in range(round(seconds / _STEP_S)):
            mean = per_s * _STEP_S
            count = int(mean) + (self._rng.random() < mean % 1)
            for _ in range(count):
                entry = self._rng.choice(self._entries)
                self._tasks.append(asyncio.create_task(self._ask(entry)))
            await asyncio.sleep(_STEP_S)
        await asyncio.gather(*self._tasks)

    async def _ask(self, entry):
        self.offered += 1
        grant = await entry.desk.take(_SMALL)
        if grant.wait_s == 0:
            self.granted_at.append(asyncio.get_running_loop().time())
        self.unanswered += not grant.is_answered

    @property
    def refused(self):
        return self.offered - len(self.granted_at)

    def most_in_a_window(self):
        return windows.busiest(self.granted_at, _WINDOW_S)


def _bound():
    limit = _SMALL.rate_per_s * _WINDOW_S + _SMALL.burst
    return limit * 1.1 + 20.0


def _play(scenario, regions):
    peer_fleet.play(scenario, regions, customers=(_SMALL,))


class TestPooling:
    def test_rate_of_less_than_one_at_each_entry_is_usable(self):
        async def scenario(network, entries):
            await asyncio.sleep(_SETTLED_S)
            load = _Load(entries)
            await load.offer(0.65 * _SMALL.rate_per_s, 60.0)
            assert load.refused <= 0.005 * load.offered

        _play(scenario, "n" * 8 + "m" * 8 + "k" * 8)

    def test_region_that_has_most_of_the_demand(self):
        async def scenario(network, entries):
            await asyncio.sleep(_SETTLED_S)
            load = _Load(entries[:8] * 6 + entries[8:])
            await load.offer(0.65 * _SMALL.rate_per_s, 60.0)
            assert load.refused <= 0.02 * load.offered

        _play(scenario, "n" * 8 + "m" * 8 + "k" * 8)

    def test_desks_are_the_same_for_all_and_in_two_domains(self):
        async def scenario(network, entries):
            await asyncio.sleep(_SETTLED_S)
            names = {
                tuple(desk.instance for desk in entry.desk._desks("kivuli"))
                for entry in entries
            }
            assert len(names) == 1
            desks = entries[0].desk._desks("kivuli")
            assert {desk.domain for desk in desks} == {"na", "nb"}

        _play(scenario, "n" * 12)


class TestBound:
    def test_demand_far_beyond_the_rate(self):
        async def scenario(network, entries):
            await asyncio.sleep(_SETTLED_S)
            load = _Load(entries)
            await load.offer(10 * _SMALL.rate_per_s, 20.0)
            assert load.most_in_a_window() <= _bound()

        _play(scenario, "n" * 8 + "m" * 8 + "k" * 8)

    def test_demand_that_moves_between_regions(self):
        async def scenario(network, entries):
            await asyncio.sleep(_SETTLED_S)
            granted = []
            for turn in range(6):
                region = turn % 3 * 8
                load = _Load(entries[region : region + 8], seed=turn)
                await load.offer(3 * _SMALL.rate_per_s, 6.0)
                granted += load.granted_at
            load.granted_at = granted
            assert load.most_in_a_window() <= _bound()

        _play(scenario, "n" * 8 + "m" * 8 + "k" * 8)

    def test_regions_that_are_cut_off_from_each_other(self):
        async def scenario(network, entries):
            await asyncio.sleep(_SETTLED_S)
            network.cut = {
                (one.fleet.me.peer_address, other.fleet.me.peer_address)
                for one in entries
                for other in entries
                if one.fleet.me.region != other.fleet.me.region
            }
            load = _Load(entries)
            await load.offer(5 * _SMALL.rate_per_s, 20.0)
            assert load.most_in_a_window() <= _bound()
            assert len(load.granted_at) >= 0.8 * 20.0 * _SMALL.rate_per_s

        _play(scenario, "n" * 6 + "m" * 6 + "k" * 6)


class TestStart:
    def test_rates_are_usable_soon_after_all_have_started(self):
        async def scenario(network, entries):
            await asyncio.sleep(0.5)
            load = _Load(entries)
            await load.offer(0.65 * _SMALL.rate_per_s, 10.0)
            assert load.refused <= 0.02 * load.offered

        _play(scenario, "n" * 8 + "m" * 8 + "k" * 8)


class TestLostDesk:
    def test_other_desk_answers(self):
        async def scenario(network, entries):
            await asyncio.sleep(_SETTLED_S)
            lost = entries[0].desk._desks("kivuli")[0]
            network.cut = {
                pair
                for other in entries
                for pair in (
                    (lost.peer_address, other.fleet.me.peer_address),
                    (other.fleet.me.peer_address, lost.peer_address),
                )
            }
            others = [each for each in entries if each.fleet.me != lost]
            load = _Load(others)
            await load.offer(0.3 * _SMALL.rate_per_s, 20.0)
            assert load.unanswered == 0
            assert load.refused <= 0.05 * load.offered

        _play(scenario, "n" * 12)

    def test_entry_that_reaches_nobody_answers_at_once(self):
        async def scenario(network, entries):
            await asyncio.sleep(_SETTLED_S)
            alone = entries[0]
            address = alone.fleet.me.peer_address
            network.cut = {
                pair
                for other in entries[1:]
                for pair in (
                    (address, other.fleet.me.peer_address),
                    (other.fleet.me.peer_address, address),
                )
            }
            load = _Load([alone])
            await load.offer(2.0, 5.0)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            await alone.desk.take(_SMALL)
            assert loop.time() - started_at < 0.3

        _play(scenario, "n" * 12)


class TestGivingBack:
    def test_token_returns_to_the_desk(self):
        async def scenario(network, entries):
            await asyncio.sleep(_SETTLED_S)
            asking = next(
                entry
                for entry in entries
                if entry.fleet.me not in entry.desk._desks("kivuli")
            )
            for _ in range(200):
                grant = await asking.desk.take(_SMALL)
                assert grant.wait_s == 0
                asking.desk.give_back(_SMALL, grant)
                await asyncio.sleep(0.01)

        _play(scenario, "n" * 12)
