"""One customer far over its rate leaves the others as they were."""

import asyncio
import random

from tests.support import fleet as fleet_module
from tests.support import virtual_time


async def _latencies(rude_factor):
    """Latencies and wrongful refusals of the well-behaved customer."""
    config = fleet_module.configuration(
        domains=2, targets=2, slots=4, rate=100.0, burst=100.0
    )
    fleet = fleet_module.Fleet(config, ["d0", "d0", "d1"], seed=2)
    await fleet.ready()
    rng = random.Random(4)
    loop = asyncio.get_running_loop()
    taken = []
    refused = []

    async def polite(node):
        at = loop.time()
        reply = await node.ask(customer="acme")
        taken.append(loop.time() - at)
        if reply.code:
            refused.append(reply.code)

    async def offer_polite(node, rate_per_s):
        tasks = []
        end = loop.time() + 8.0
        while loop.time() < end:
            await asyncio.sleep(rng.expovariate(rate_per_s))
            tasks.append(asyncio.create_task(polite(node)))
        await asyncio.gather(*tasks)

    jobs = [offer_polite(node, 20.0) for node in fleet.nodes()]
    if rude_factor:
        rude_rate = 100.0 * rude_factor / 3
        jobs += [
            fleet_module.offer(
                node, rude_rate, 8.0, rng, [], customer="blinds"
            )
            for node in fleet.nodes()
        ]
    await asyncio.gather(*jobs)
    taken.sort()
    return taken[int(len(taken) * 0.99)], len(refused)


class TestWorstServedCustomer:
    def test_ten_times_the_rate_of_another(self):
        alone, refused_alone = virtual_time.run(_latencies(0))
        beside, refused_beside = virtual_time.run(_latencies(10))
        assert refused_beside == refused_alone
        assert beside <= 1.5 * alone
