"""Steps of the features, on virtual time."""

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
from tests.support import fleet as fleet_module
from tests.support import virtual_time

scenarios("features/planned_work.feature")

_DOMAINS = ["d0", "d1", "d2", "d3"]


class World:
    """A fleet, its load and what its callers saw."""

    def __init__(self):
        self.loop = virtual_time.VirtualLoop()
        self.run = self.loop.run_until_complete
        self.replies = []
        self.start = None
        self._loads = []

    async def begin(self):
        config = fleet_module.configuration(
            domains=4, slots=6, rate=5000.0, burst=5000.0, shift_cap=0.25
        )
        self.fleet = fleet_module.Fleet(config, _DOMAINS, seed=3)
        await self.fleet.ready()
        rng = random.Random(2)
        for node in self.fleet.nodes():
            load = fleet_module.offer(node, 30.0, 40.0, rng, self.replies)
            self._loads.append(asyncio.create_task(load))
        await asyncio.sleep(1.0)

    def close(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(asyncio.sleep(0))
        self.loop.close()


@pytest.fixture
def world():
    made = World()
    yield made
    made.close()


@given("a fleet of four failure domains under a steady load")
def _fleet(world):
    world.run(world.begin())


@when(
    parsers.parse(
        'the operator plans a drain of domain "{domain}" in {in_s:d} seconds'
    )
)
def _plan(world, domain, in_s):
    wall = world.run(_wall(world)) + in_s
    world.start = world.loop.time() + in_s
    starts_at = datetime.datetime.fromtimestamp(wall, datetime.UTC)
    drain = records.Drain(records.DrainKind.DOMAIN, domain, starts_at)
    administration = world.fleet.nodes()[0].parts.administration
    world.run(administration.plan_drain("date", drain, "op"))


async def _wall(world):
    return world.fleet.clock.wall()


@when(parsers.parse('the operator withdraws the key of "{customer}"'))
def _withdraw(world, customer):
    administration = world.fleet.nodes()[0].parts.administration
    world.run(administration.withdraw_key(f"{customer}-key", "op"))


@when("the store goes away")
def _store_away(world):
    world.fleet.store.is_down = True


@when(parsers.parse("{seconds:d} seconds pass"))
def _pass(world, seconds):
    world.run(asyncio.sleep(seconds))


@then(
    parsers.parse(
        'the targets of "{domain}" got no new work 2 seconds after the start'
    )
)
def _no_new_work(world, domain):
    for target_id, record in world.fleet.config.target_by_id.items():
        if record.domain == domain:
            seen = [at for at, _, _ in world.fleet.target(target_id).seen]
            assert seen
            assert max(seen) <= world.start + 2.0


@then("every request was answered by a target")
def _all_answered(world):
    assert len(world.replies) > 500
    assert {reply.code for _, reply in world.replies} == {0}


@then(
    parsers.parse(
        'a request of "{customer}" is refused as not run at every entry'
    )
)
def _refused(world, customer):
    for node in world.fleet.nodes():
        reply = world.run(node.ask(customer=customer))
        assert (reply.status, reply.outcome) == (401, "not-run")


@then(parsers.parse('a request of "{customer}" is answered at every entry'))
def _answered(world, customer):
    for node in world.fleet.nodes():
        assert world.run(node.ask(customer=customer)).code == 0
