"""Customers' rates over all instances, against one exact global bucket."""

import asyncio
import random

import pytest

from tests.support import fleet as fleet_module
from tests.support import naive
from tests.support import virtual_time

_DOMAINS = ["d0", "d0", "d1", "d1", "d2", "d3", "d4", "d5"]
_ROUNDING = 1e-6


class Session:
    """Load on a fleet, and what came of it."""

    def __init__(self, rate=60.0, burst=60.0, seed=3):
        self.rate = rate
        self.burst = burst
        config = fleet_module.configuration(rate=rate, burst=burst, slots=20)
        self.fleet = fleet_module.Fleet(config, _DOMAINS, seed)
        self.rng = random.Random(seed)
        self.replies = []

    async def load(self, part_by_domain, load, duration_s):
        jobs = []
        for domain, part in part_by_domain.items():
            nodes = self.fleet.nodes(domain)
            per_node = self.rate * load * part / len(nodes)
            jobs += [
                fleet_module.offer(
                    node, per_node, duration_s, self.rng, self.replies
                )
                for node in nodes
            ]
        await asyncio.gather(*jobs)

    def excess(self):
        """Requests admitted beyond rate and burst in the worst window."""
        times = [at for at, _, _ in self.fleet.seen()]
        needed = naive.burst_needed(times, self.rate)
        return needed - self.burst - _ROUNDING

    def wrongly_refused(self, after=0.0):
        """Part of the requests that the global bucket would not refuse."""
        judged = [(at, r) for at, r in self.replies if at >= after]
        times = [at for at, _ in judged]
        allowed = naive.count_admitted(times, self.rate, self.burst)
        served = sum(reply.code == 0 for _, reply in judged)
        return max(0, allowed - served) / len(judged)


def even():
    return {f"d{number}": 1 / 6 for number in range(6)}


def mostly_one():
    return {"d0": 0.9, **{f"d{number}": 0.02 for number in range(1, 6)}}


class TestSteadyDemand:
    @pytest.mark.parametrize("rate", [20.0, 60.0])
    def test_even_demand_is_served(self, rate):
        async def course():
            session = Session(rate, rate)
            await session.fleet.ready()
            await session.load(even(), 0.8, 20.0)
            assert session.wrongly_refused() < 0.001
            assert session.excess() <= 0

        virtual_time.run(course())

    @pytest.mark.parametrize("rate", [20.0, 60.0])
    def test_demand_at_one_domain_is_served_after_5_s(self, rate):
        async def course():
            session = Session(rate, rate)
            await session.fleet.ready()
            start = asyncio.get_running_loop().time()
            await session.load(mostly_one(), 0.8, 20.0)
            assert session.wrongly_refused(start + 5.0) < 0.01
            assert session.excess() <= 0

        virtual_time.run(course())

    def test_demand_over_the_rate_is_cut_to_it(self):
        async def course():
            session = Session()
            await session.fleet.ready()
            await session.load(even(), 3.0, 10.0)
            served = sum(reply.code == 0 for _, reply in session.replies)
            assert session.excess() <= 0
            assert served >= 0.95 * session.rate * 10.0
            refused = {r.code for _, r in session.replies} - {0}
            assert refused <= {120}

        virtual_time.run(course())


class TestOutages:
    def test_store_away(self):
        async def course():
            session = Session()
            await session.fleet.ready()
            session.fleet.store.is_down = True
            await asyncio.sleep(10.0)
            await session.load(even(), 0.8, 15.0)
            assert session.wrongly_refused() < 0.01
            assert session.excess() <= 0

        virtual_time.run(course())

    def test_domain_cut_off_serves_its_share(self):
        async def course():
            session = Session()
            await session.fleet.ready()
            session.fleet.cut_off("d3")
            await asyncio.sleep(1.0)
            await session.load(even(), 0.8, 15.0)
            assert session.wrongly_refused() < 0.01
            assert session.excess() <= 0

        virtual_time.run(course())

    def test_domain_cut_off_gets_no_more_than_its_share(self):
        async def course():
            session = Session()
            await session.fleet.ready()
            session.fleet.cut_off("d3")
            await session.load({"d3": 1.0}, 1.0, 10.0)
            times = [at for at, _, _ in session.fleet.seen()]
            assert len(times) > 80
            needed = naive.burst_needed(times, session.rate / 6)
            assert needed <= session.burst / 6 + _ROUNDING

        virtual_time.run(course())

    def test_lossy_links_never_add_tokens(self):
        async def course():
            session = Session()
            await session.fleet.ready()
            session.fleet.network.loss = 0.2
            await session.load(mostly_one(), 2.0, 10.0)
            assert session.excess() <= 0

        virtual_time.run(course())


class TestCoordinatorLost:
    def test_killed_coordinator_under_double_demand(self):
        async def course():
            session = Session()
            await session.fleet.ready()
            loading = asyncio.create_task(
                session.load(mostly_one(), 2.0, 15.0)
            )
            await asyncio.sleep(4.0)
            killed_at = asyncio.get_running_loop().time()
            victim = session.fleet.coordinator("d0")
            await victim.kill()
            await loading
            assert session.excess() <= 0
            survivor = session.fleet.nodes("d0")[0].parts.me.instance
            later = [
                reply
                for at, reply in session.replies
                if at > killed_at + 5.0 and reply.code == 0
            ]
            assert later
            assert session.fleet.coordinator("d0").parts.me.instance == (
                survivor
            )

        virtual_time.run(course())

    def test_frozen_coordinator_spends_nothing_when_it_wakes(self):
        async def course():
            session = Session()
            await session.fleet.ready()
            loading = asyncio.create_task(session.load(even(), 2.0, 20.0))
            await asyncio.sleep(4.0)
            frozen = session.fleet.coordinator("d0")
            await frozen.freeze()
            await asyncio.sleep(6.0)
            assert not frozen.in_office
            frozen.thaw()
            await loading
            assert session.excess() <= 0

        virtual_time.run(course())


class TestChangedRate:
    def test_lower_rate_holds_while_a_domain_is_cut_off(self):
        """The cut-off domain goes on with its old part; others make room."""

        async def course():
            session = Session()
            fleet = session.fleet
            await fleet.ready()
            fleet.cut_off("d5")
            lower = fleet_module.configuration(rate=30.0, burst=30.0, slots=20)
            await fleet.apply(lower)
            await asyncio.sleep(5.0)
            began_at = asyncio.get_running_loop().time()
            await session.load(even(), 2.0, 15.0)
            times = [at for at, _, _ in fleet.seen() if at >= began_at]
            assert naive.burst_needed(times, 30.0) <= 30.0

        virtual_time.run(course())
