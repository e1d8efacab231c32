"""Steps of the scenarios in tests/features, run on virtual time."""

import asyncio
import datetime
import random

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from chicorydoor.protocol import config_records as records
from tests.support import simulated_fleet
from tests.support import virtual_time

scenarios("features/planned_work.feature")

_DOMAINS = ["d0", "d1", "d2", "d3"]


class FleetScenario:
    """A fleet under load, and the replies that its callers received."""

    def __init__(self):
        self.loop = virtual_time.VirtualLoop()
        self.run = self.loop.run_until_complete
        self.replies = []
        self.drain_starts_at = None
        self._load_tasks = []

    async def start_fleet_and_load(self):
        config = simulated_fleet.build_configuration(
            domain_count=4, slots=6, rate=5000.0, burst=5000.0, shift_cap=0.25
        )
        self.fleet = simulated_fleet.Fleet(config, _DOMAINS, seed=3)
        await self.fleet.apply_and_wait_for_slots()
        rng = random.Random(2)
        for entry in self.fleet.entries():
            load = simulated_fleet.send_poisson_load(
                entry, 30.0, 40.0, rng, self.replies
            )
            self._load_tasks.append(asyncio.create_task(load))
        await asyncio.sleep(1.0)

    def close(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(asyncio.sleep(0))
        self.loop.close()


@pytest.fixture
def scenario():
    created = FleetScenario()
    yield created
    created.close()


@given("a fleet of four failure domains under a steady load")
def _start_fleet(scenario):
    scenario.run(scenario.start_fleet_and_load())


@when(
    parsers.parse(
        'the operator plans a drain of domain "{domain}" in {in_s:d} seconds'
    )
)
def _plan_drain(scenario, domain, in_s):
    # The plan is in wall time; targets record requests in loop time.
    starts_at_wall_s = scenario.run(_wall_time(scenario)) + in_s
    scenario.drain_starts_at = scenario.loop.time() + in_s
    starts_at = datetime.datetime.fromtimestamp(starts_at_wall_s, datetime.UTC)
    drain = records.Drain(records.DrainKind.DOMAIN, domain, starts_at)
    administration = scenario.fleet.entries()[0].parts.administration
    scenario.run(administration.plan_drain("date", drain, "op"))


async def _wall_time(scenario):
    return scenario.fleet.clock.wall()


@when(parsers.parse('the operator withdraws the key of "{customer}"'))
def _withdraw_key(scenario, customer):
    administration = scenario.fleet.entries()[0].parts.administration
    scenario.run(administration.withdraw_key(f"{customer}-key", "op"))


@when("the store becomes unavailable")
def _take_store_down(scenario):
    scenario.fleet.store.is_unavailable = True


@when(parsers.parse("{seconds:d} seconds pass"))
def _let_time_pass(scenario, seconds):
    scenario.run(asyncio.sleep(seconds))


@then(
    parsers.parse(
        'the targets of "{domain}" got no new work from 2 s after the start'
    )
)
def _assert_no_new_work(scenario, domain):
    for target_id, record in scenario.fleet.config.target_by_id.items():
        if record.domain == domain:
            request_times = [
                at for at, _, _ in scenario.fleet.target(target_id).received
            ]
            assert request_times
            assert max(request_times) <= scenario.drain_starts_at + 2.0


@then("every request was answered by a target")
def _assert_all_answered(scenario):
    assert len(scenario.replies) > 500
    assert {reply.code for _, reply in scenario.replies} == {0}


@then(
    parsers.parse(
        'a request of "{customer}" is refused as not run at every entry'
    )
)
def _assert_refused(scenario, customer):
    for entry in scenario.fleet.entries():
        reply = scenario.run(entry.send_request(customer=customer))
        assert (reply.status, reply.outcome) == (401, "not-run")


@then(parsers.parse('a request of "{customer}" is answered at every entry'))
def _assert_answered(scenario, customer):
    for entry in scenario.fleet.entries():
        assert scenario.run(entry.send_request(customer=customer)).code == 0
