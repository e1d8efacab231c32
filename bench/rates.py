"""Rates over all instances on virtual time, against one exact bucket.

Eight entries in six domains; prints one line of JSON for each session.
"""

import asyncio
import sys

from bench import processes
from tests import test_rates
from tests.support import naive
from tests.support import virtual_time

_LONG_S = 100.0
_SHORT_S = 20.0
_SETTLED_S = 5.0


async def _session(
    rate: float, load: float, at_one_domain: bool, duration_s: float
) -> None:
    session = test_rates.Session(rate, rate)
    await session.fleet.ready()
    start = asyncio.get_running_loop().time()
    parts = test_rates.mostly_one() if at_one_domain else test_rates.even()
    await session.load(parts, load, duration_s)
    settled = start + (_SETTLED_S if at_one_domain else 0.0)
    judged = [(at, r) for at, r in session.replies if at >= settled]
    allowed = naive.count_admitted([at for at, _ in judged], rate, rate)
    refused = sum(reply.code != 0 for _, reply in judged)
    processes.emit(
        "rates",
        rate_per_s=rate,
        burst=rate,
        load=load,
        at_one_domain=at_one_domain,
        requests=len(judged),
        refused_percent=round(100 * refused / len(judged), 2),
        one_bucket_refuses_percent=round(100 * (1 - allowed / len(judged)), 2),
        excess=round(max(0.0, session.excess()), 3),
    )


def main() -> int:
    """Run all sessions."""
    for rate, duration_s in ((60.0, _SHORT_S), (20.0, _LONG_S)):
        for load in (0.8, 0.9, 0.95, 3.0):
            for at_one_domain in (False, True):
                virtual_time.run(
                    _session(rate, load, at_one_domain, duration_s)
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
