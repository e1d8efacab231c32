"""Customers' rates over all instances, compared with one global bucket.

A fleet with simulated network and time gets load through partitions, message
loss and the loss of a coordinator. Admissions must stay within rate and burst
of one exact token bucket, and few requests that it would admit are refused.
"""

import asyncio
import random

import pytest

from tests.support import reference_models
from tests.support import simulated_fleet
from tests.support import virtual_time

_DOMAINS = ["d0", "d0", "d1", "d1", "d2", "d3", "d4", "d5"]
_ROUNDING = 1e-6


class RateSession:
    """A fleet under load, with the replies that callers received."""

    def __init__(self, rate=60.0, burst=60.0, seed=3):
        self.rate = rate
        self.burst = burst
        config = simulated_fleet.build_configuration(
            rate=rate, burst=burst, slots=20
        )
        self.fleet = simulated_fleet.Fleet(config, _DOMAINS, seed)
        self.rng = random.Random(seed)
        self.replies = []

    async def load(self, share_by_domain, load, duration_s):
        """Send ``load`` times the rate, divided over the domains."""
        load_tasks = []
        for domain, share in share_by_domain.items():
            entries = self.fleet.entries(domain)
            rate_per_entry = self.rate * load * share / len(entries)
            load_tasks += [
                simulated_fleet.send_poisson_load(
                    entry, rate_per_entry, duration_s, self.rng, self.replies
                )
                for entry in entries
            ]
        await asyncio.gather(*load_tasks)

    def excess_requests(self):
        """Requests admitted beyond rate and burst in the worst window."""
        times = [at for at, _, _ in self.fleet.received_requests()]
        needed = reference_models.burst_needed(times, self.rate)
        return needed - self.burst - _ROUNDING

    def false_refusal_share(self, after=0.0):
        """Share of requests refused that one exact bucket would admit."""
        counted = [(at, r) for at, r in self.replies if at >= after]
        times = [at for at, _ in counted]
        allowed = reference_models.count_admitted(times, self.rate, self.burst)
        served = sum(reply.code == 0 for _, reply in counted)
        return max(0, allowed - served) / len(counted)


def even_demand():
    return {f"d{number}": 1 / 6 for number in range(6)}


def skewed_demand():
    return {"d0": 0.9, **{f"d{number}": 0.02 for number in range(1, 6)}}


class TestSteadyDemand:
    @pytest.mark.parametrize("rate", [20.0, 60.0])
    def test_even_demand_is_served(self, rate):
        async def scenario():
            session = RateSession(rate, rate)
            await session.fleet.apply_and_wait_for_slots()
            await session.load(even_demand(), 0.8, 20.0)
            assert session.false_refusal_share() < 0.001
            assert session.excess_requests() <= 0

        virtual_time.run(scenario())

    @pytest.mark.parametrize("rate", [20.0, 60.0])
    def test_demand_at_one_domain_is_served_after_5_s(self, rate):
        async def scenario():
            session = RateSession(rate, rate)
            await session.fleet.apply_and_wait_for_slots()
            start = asyncio.get_running_loop().time()
            await session.load(skewed_demand(), 0.8, 20.0)
            assert session.false_refusal_share(start + 5.0) < 0.01
            assert session.excess_requests() <= 0

        virtual_time.run(scenario())

    def test_demand_over_the_rate_is_limited_to_it(self):
        async def scenario():
            session = RateSession()
            await session.fleet.apply_and_wait_for_slots()
            await session.load(even_demand(), 3.0, 10.0)
            served = sum(reply.code == 0 for _, reply in session.replies)
            assert session.excess_requests() <= 0
            assert served >= 0.95 * session.rate * 10.0
            refused = {r.code for _, r in session.replies} - {0}
            assert refused <= {120}

        virtual_time.run(scenario())


class TestOutages:
    def test_store_unavailable(self):
        async def scenario():
            session = RateSession()
            await session.fleet.apply_and_wait_for_slots()
            session.fleet.store.is_unavailable = True
            await asyncio.sleep(10.0)
            await session.load(even_demand(), 0.8, 15.0)
            assert session.false_refusal_share() < 0.01
            assert session.excess_requests() <= 0

        virtual_time.run(scenario())

    def test_partitioned_domain_serves_its_part(self):
        async def scenario():
            session = RateSession()
            await session.fleet.apply_and_wait_for_slots()
            session.fleet.partition_domain("d3")
            await asyncio.sleep(1.0)
            await session.load(even_demand(), 0.8, 15.0)
            assert session.false_refusal_share() < 0.01
            assert session.excess_requests() <= 0

        virtual_time.run(scenario())

    def test_partitioned_domain_admits_at_most_its_part(self):
        async def scenario():
            session = RateSession()
            await session.fleet.apply_and_wait_for_slots()
            session.fleet.partition_domain("d3")
            await session.load({"d3": 1.0}, 1.0, 10.0)
            times = [at for at, _, _ in session.fleet.received_requests()]
            assert len(times) > 80
            # Each of the six domains has an equal rate share.
            needed = reference_models.burst_needed(times, session.rate / 6)
            assert needed <= session.burst / 6 + _ROUNDING

        virtual_time.run(scenario())

    def test_message_loss_adds_no_tokens(self):
        async def scenario():
            session = RateSession()
            await session.fleet.apply_and_wait_for_slots()
            session.fleet.network.loss_probability = 0.2
            await session.load(skewed_demand(), 2.0, 10.0)
            assert session.excess_requests() <= 0

        virtual_time.run(scenario())


class TestCoordinatorLoss:
    def test_killed_coordinator_under_double_demand(self):
        async def scenario():
            session = RateSession()
            await session.fleet.apply_and_wait_for_slots()
            load_task = asyncio.create_task(
                session.load(skewed_demand(), 2.0, 15.0)
            )
            await asyncio.sleep(4.0)
            killed_at = asyncio.get_running_loop().time()
            killed = session.fleet.coordinator("d0")
            await killed.kill()
            await load_task
            assert session.excess_requests() <= 0
            survivor = session.fleet.entries("d0")[0].parts.own_member.instance
            served_later = [
                reply
                for at, reply in session.replies
                if at > killed_at + 5.0 and reply.code == 0
            ]
            assert served_later
            assert session.fleet.coordinator(
                "d0"
            ).parts.own_member.instance == (survivor)

        virtual_time.run(scenario())

    def test_paused_coordinator_spends_nothing_after_resuming(self):
        async def scenario():
            session = RateSession()
            await session.fleet.apply_and_wait_for_slots()
            load_task = asyncio.create_task(
                session.load(even_demand(), 2.0, 20.0)
            )
            await asyncio.sleep(4.0)
            paused = session.fleet.coordinator("d0")
            await paused.pause()
            await asyncio.sleep(6.0)
            assert not paused.is_coordinator
            paused.resume()
            await load_task
            assert session.excess_requests() <= 0

        virtual_time.run(scenario())


class TestChangedRate:
    def test_lowered_rate_holds_while_a_domain_is_partitioned(self):
        """The partitioned domain uses its old share; the others compensate."""

        async def scenario():
            session = RateSession()
            fleet = session.fleet
            await fleet.apply_and_wait_for_slots()
            fleet.partition_domain("d5")
            lower_rate = simulated_fleet.build_configuration(
                rate=30.0, burst=30.0, slots=20
            )
            await fleet.apply_configuration(lower_rate)
            await asyncio.sleep(5.0)
            started_at = asyncio.get_running_loop().time()
            await session.load(even_demand(), 2.0, 15.0)
            times = [
                at
                for at, _, _ in fleet.received_requests()
                if at >= started_at
            ]
            assert reference_models.burst_needed(times, 30.0) <= 30.0

        virtual_time.run(scenario())
