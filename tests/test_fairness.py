"""Isolation: a customer far over its rate doesn't affect the others.

Guards against requests over the rate that take slots and places in the queues
before they are refused, so that other customers wait or are refused.
"""

import asyncio
import random

from tests.support import simulated_fleet
from tests.support import virtual_time


async def _p99_latency_and_refusals(overload_factor):
    """Return p99 latency in seconds and refusals of one customer.

    The customer sends 20 requests/s at each of three entries, of a rate of
    100/s. A second one sends ``overload_factor`` times its own rate of 100/s
    over all entries, and nothing if the factor is 0.
    """
    config = simulated_fleet.build_configuration(
        domain_count=2, targets_per_domain=2, slots=4, rate=100.0, burst=100.0
    )
    fleet = simulated_fleet.Fleet(config, ["d0", "d0", "d1"], seed=2)
    await fleet.apply_and_wait_for_slots()
    rng = random.Random(4)
    loop = asyncio.get_running_loop()
    latencies_s = []
    refusal_codes = []

    async def send_request(entry):
        started_at = loop.time()
        reply = await entry.send_request(customer="acme")
        latencies_s.append(loop.time() - started_at)
        if reply.code:
            refusal_codes.append(reply.code)

    async def offer_load(entry, rate_per_s):
        tasks = []
        ends_at = loop.time() + 8.0
        while loop.time() < ends_at:
            await asyncio.sleep(rng.expovariate(rate_per_s))
            tasks.append(asyncio.create_task(send_request(entry)))
        await asyncio.gather(*tasks)

    loads = [offer_load(entry, 20.0) for entry in fleet.entries()]
    if overload_factor:
        overload_rate_per_s = 100.0 * overload_factor / 3
        loads += [
            simulated_fleet.send_poisson_load(
                entry, overload_rate_per_s, 8.0, rng, [], customer="blinds"
            )
            for entry in fleet.entries()
        ]
    await asyncio.gather(*loads)
    latencies_s.sort()
    return latencies_s[int(len(latencies_s) * 0.99)], len(refusal_codes)


class TestOverloadByAnotherCustomer:
    def test_ten_times_its_rate_leaves_others_unaffected(self):
        p99_alone_s, refused_alone = virtual_time.run(
            _p99_latency_and_refusals(0)
        )
        p99_beside_overload_s, refused_beside_overload = virtual_time.run(
            _p99_latency_and_refusals(10)
        )
        assert refused_beside_overload == refused_alone
        assert p99_beside_overload_s <= 1.5 * p99_alone_s
