"""Rate limits over all instances, compared with one exact token bucket.

Runs eight entries in six failure domains on virtual time; prints one line of
JSON for each session, with the requests admitted in excess of the bucket.
"""

import asyncio
import sys

from bench import processes
from tests import test_rates
from tests.support import reference_models
from tests.support import virtual_time

_LONG_DURATION_S = 100.0
_SHORT_DURATION_S = 20.0
_SETTLING_TIME_S = 5.0


async def _measure_session(
    rate_limit_per_s: float,
    load_ratio: float,
    mostly_one_domain: bool,
    duration_s: float,
) -> None:
    """Run one session and print its figures.

    Args:
        rate_limit_per_s (float): The customer's rate limit, also its burst.
        load_ratio (float): Demand as a multiple of the rate limit.
        mostly_one_domain (bool): Whether one failure domain gets most of the
            demand; else all get the same.
        duration_s (float): Virtual length of the load in seconds.
    """
    session = test_rates.RateSession(rate_limit_per_s, rate_limit_per_s)
    await session.fleet.apply_and_wait_for_slots()
    started_at = asyncio.get_running_loop().time()
    demand_shares = (
        test_rates.skewed_demand()
        if mostly_one_domain
        else test_rates.even_demand()
    )
    await session.load(demand_shares, load_ratio, duration_s)
    # Rate shares first have to follow an uneven demand.
    counted_from = started_at + (
        _SETTLING_TIME_S if mostly_one_domain else 0.0
    )
    counted = [
        (at, reply) for at, reply in session.replies if at >= counted_from
    ]
    admitted_by_one_bucket = reference_models.count_admitted(
        [at for at, _ in counted], rate_limit_per_s, rate_limit_per_s
    )
    refused = sum(reply.code != 0 for _, reply in counted)
    processes.emit(
        "rates",
        rate_per_s=rate_limit_per_s,
        burst=rate_limit_per_s,
        load=load_ratio,
        at_one_domain=mostly_one_domain,
        requests=len(counted),
        refused_percent=round(100 * refused / len(counted), 2),
        one_bucket_refuses_percent=round(
            100 * (1 - admitted_by_one_bucket / len(counted)), 2
        ),
        excess=round(max(0.0, session.excess_requests()), 3),
    )


def main() -> int:
    """Measure all sessions."""
    for rate_limit_per_s, duration_s in (
        (60.0, _SHORT_DURATION_S),
        (20.0, _LONG_DURATION_S),
    ):
        for load_ratio in (0.8, 0.9, 0.95, 3.0):
            for mostly_one_domain in (False, True):
                virtual_time.run(
                    _measure_session(
                        rate_limit_per_s,
                        load_ratio,
                        mostly_one_domain,
                        duration_s,
                    )
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
