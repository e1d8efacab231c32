"""Processor time and messages of the control plane in regions of any size.

Runs the peer exchange and rate shares of all entries of three regions in one
process, on virtual time and a network without delay. Store, callers, targets
and sockets are not part of it. Prints a JSON line for each size.
"""

import asyncio
import json
import random
import sys
import time

from tests.support import config_builders as make
from tests.support import simulated_peers

_REGIONS = "nmk"
_CUSTOMER_COUNT = 140
# Requests per second at each entry, about those of a large deployment.
_REQUESTS_PER_S = 2.7
_CONVERGED_S = 7.0
_MEASURED_S = 4.0


def measure(entries_per_region: int) -> dict[str, float]:
    """Return the cost of one entry in regions of this size."""
    rng = random.Random(1)
    customers = tuple(
        make.build_customer_config(
            f"customer{number:03}",
            rate_per_s=3.0 + 30.0 * rng.random(),
            burst=10.0,
        )
        for number in range(_CUSTOMER_COUNT)
    )
    entry_count = entries_per_region * len(_REGIONS)
    figures: dict[str, float] = {"entries": entry_count}

    async def request_tokens(entries):
        while True:
            await asyncio.sleep(1.0 / (entry_count * _REQUESTS_PER_S))
            limiter = rng.choice(entries).rate_limiter
            asyncio.create_task(limiter.acquire(rng.choice(customers)))

    async def scenario(network, entries):
        load = asyncio.create_task(request_tokens(entries))
        await asyncio.sleep(_CONVERGED_S)
        network.sent_messages.clear()
        cpu_before = time.process_time()
        await asyncio.sleep(_MEASURED_S)
        cpu_s = time.process_time() - cpu_before
        load.cancel()
        entry_seconds = _MEASURED_S * entry_count
        sizes = [size for _, _, size in network.sent_messages]
        figures["core_percent"] = round(100 * cpu_s / entry_seconds, 2)
        figures["messages_per_s"] = round(len(sizes) / entry_seconds, 1)
        figures["bytes_per_s"] = round(sum(sizes) / entry_seconds)

    simulated_peers.run_scenario(
        scenario,
        "".join(region * entries_per_region for region in _REGIONS),
        customers=customers,
    )
    return figures


def main() -> None:
    """Measure the sizes given as arguments, 9, 30 and 65 by default."""
    for argument in sys.argv[1:] or ["9", "30", "65"]:
        print(json.dumps(measure(int(argument))), flush=True)


if __name__ == "__main__":
    main()
