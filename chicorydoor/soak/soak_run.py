"""One run of a soak: overlapping faults, then checks after recovery.

The seed initializes the random numbers. The timing of the processes is real
and differs between runs of the same seed.
"""

import asyncio
import pathlib
import random
import tempfile

import httpx
import msgspec

from chicorydoor.soak import soak_checks
from chicorydoor.soak import soak_faults
from chicorydoor.soak import soak_site
from chicorydoor.soak import soak_traffic

_CALLER_COUNT = 6
# Mean time between the starts of two faults. Many faults last longer, so that
# they overlap.
_MEAN_FAULT_INTERVAL_S = 0.6
# Within this time after the last fault all changes are in force and all
# entries serve: the shortest bound of the deployments and a restart.
_RECOVERY_S = 4.0
# Time in which leaving targets are watched for requests after the recovery.
_LEAVING_WATCH_S = 1.0
_UNLIMITED_CUSTOMER = "acme"


class SoakReport(msgspec.Struct):
    """The result of one run.

    Args:
        seed (int): Seed of the run.
        entries (int): Number of entries.
        faults (list): Start in seconds and name of each fault.
        requests (int): Number of requests of all callers.
        count_by_status (dict): Number of requests by HTTP status, 0 for
            connections that ended without an answer.
        broken_by_promise (dict): Up to five examples of violations by the
            name of the check that found them.
    """

    seed: int
    entries: int
    faults: list[tuple[float, str]]
    requests: int
    count_by_status: dict[int, int]
    broken_by_promise: dict[str, list[str]]


def unfinished_report(seed: int, entries: int, reason: str) -> SoakReport:
    """The report of a run that did not finish."""
    broken = {"all entries start and the run ends": [reason]}
    return SoakReport(seed, entries, [], 0, {}, broken)


async def run_seed(
    seed: int, seconds: float, entries: int, folder: pathlib.Path | None
) -> SoakReport:
    """Run a soak and check what callers and targets observed.

    Args:
        seed (int): Seed of the random numbers.
        seconds (float): Time in which faults start.
        entries (int): Number of entries, each a process.
        folder (Path): Folder that keeps settings and logs, None for a
            temporary one.
    """
    if folder is None:
        with tempfile.TemporaryDirectory() as temporary:
            return await _run_in_folder(
                seed, seconds, entries, pathlib.Path(temporary)
            )
    return await _run_in_folder(seed, seconds, entries, folder)


async def _run_in_folder(
    seed: int, seconds: float, entries: int, folder: pathlib.Path
) -> SoakReport:
    rng = random.Random(seed)
    site = soak_site.SoakSite(folder, entries, target_count=rng.randint(4, 7))
    try:
        await site.start()
        traffic = soak_traffic.SoakTraffic(site, random.Random(seed + 1))
        callers = [
            asyncio.create_task(traffic.run()) for _ in range(_CALLER_COUNT)
        ]
        faults = await _inject_faults(site, rng, seconds)
        late_count, final_requests = await _observe_after_recovery(
            site, traffic
        )
        traffic.is_stopped = True
        await asyncio.gather(*callers)
    finally:
        await site.stop()
    observed = soak_checks.Observations(
        records=traffic.records,
        executions=[
            execution
            for target in site.targets
            for execution in target.executions
        ],
        late_execution_count=late_count,
        final_requests=final_requests,
        withdrawn_keys=site.withdrawn_keys,
    )
    return _build_report(seed, entries, faults, observed)


async def _inject_faults(
    site: soak_site.SoakSite, rng: random.Random, seconds: float
) -> list[tuple[float, str]]:
    """Run random faults to their end; returns start and name of each."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    faults: list[tuple[float, str]] = []
    running: list[asyncio.Task] = []
    await asyncio.sleep(0.5)
    while loop.time() - started_at < seconds:
        name = rng.choice(soak_faults.FAULTS.names())
        faults.append((round(loop.time() - started_at, 2), name))
        fault = soak_faults.FAULTS.get(name)
        running.append(asyncio.ensure_future(fault(site, rng)))
        await asyncio.sleep(rng.expovariate(1 / _MEAN_FAULT_INTERVAL_S))
    await asyncio.gather(*running)
    site.end_faults()
    return faults


async def _observe_after_recovery(
    site: soak_site.SoakSite, traffic: soak_traffic.SoakTraffic
) -> tuple[int, list[soak_traffic.RequestRecord]]:
    """Number of executions at leaving targets, and the last requests."""
    await asyncio.gather(*(entry.wait_until_ready() for entry in site.entries))
    await asyncio.sleep(_RECOVERY_S)
    leaving = [
        target
        for target in site.targets
        if target.name in site.leaving_target_names
    ]
    before = sum(len(target.executions) for target in leaving)
    final_requests = []
    keys = [
        site.keys_by_customer[_UNLIMITED_CUSTOMER][0],
        *site.withdrawn_keys,
    ]
    async with httpx.AsyncClient(trust_env=False, timeout=3.0) as client:
        for entry in site.entries:
            for key in keys:
                final_requests.append(await traffic.call(client, entry, key))
    await asyncio.sleep(_LEAVING_WATCH_S)
    late_count = sum(len(target.executions) for target in leaving) - before
    return late_count, final_requests


def _build_report(
    seed: int,
    entries: int,
    faults: list[tuple[float, str]],
    observed: soak_checks.Observations,
) -> SoakReport:
    count_by_status: dict[int, int] = {}
    for record in observed.records:
        count_by_status[record.status] = (
            count_by_status.get(record.status, 0) + 1
        )
    broken = {
        name: soak_checks.CHECKS.get(name)(observed)[:5]
        for name in soak_checks.CHECKS.names()
    }
    return SoakReport(
        seed=seed,
        entries=entries,
        faults=faults,
        requests=len(observed.records),
        count_by_status=count_by_status,
        broken_by_promise={
            name: examples for name, examples in broken.items() if examples
        },
    )
