"""One seed of a soak: a series of overlapping faults, then a calm end."""

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

_CALLERS = 6
# Mean pause between the starts of two faults; they last longer.
_FAULT_PAUSE_S = 0.6
# All changes are in force and all entries serve this long after the last
# disturbance: the shortest bound of the deployments and a restart.
_SETTLE_S = 4.0
_LAST_LOOK_S = 1.0
_UNLIMITED = "acme"


class SoakReport(msgspec.Struct):
    """The result of one seed.

    Args:
        faults (list): Time in seconds and name of each fault.
        requests (int): Requests of all callers.
        count_by_status (dict): Answers; 0 counts lost connections.
        broken_by_promise (dict): Examples for each promise that was broken.
    """

    seed: int
    entries: int
    faults: list[tuple[float, str]]
    requests: int
    count_by_status: dict[int, int]
    broken_by_promise: dict[str, list[str]]


def unfinished(seed: int, entries: int, reason: str) -> SoakReport:
    """The report of a seed that did not come to its end."""
    broken = {"all entries start and the run ends": [reason]}
    return SoakReport(seed, entries, [], 0, {}, broken)


async def play(
    seed: int, seconds: float, entries: int, folder: pathlib.Path | None
) -> SoakReport:
    """Play a seed.

    Args:
        seed (int): Of all randomness.
        seconds (float): Time in which faults begin.
        entries (int): Entries, each a process.
        folder (Path): Where settings and logs stay; None for a temporary
            one.
    """
    if folder is None:
        with tempfile.TemporaryDirectory() as temporary:
            return await _play(seed, seconds, entries, pathlib.Path(temporary))
    return await _play(seed, seconds, entries, folder)


async def _play(
    seed: int, seconds: float, entries: int, folder: pathlib.Path
) -> SoakReport:
    rng = random.Random(seed)
    site = soak_site.SoakSite(folder, entries, targets=rng.randint(4, 7))
    try:
        await site.start()
        traffic = soak_traffic.SoakTraffic(site, random.Random(seed + 1))
        callers = [asyncio.create_task(traffic.run()) for _ in range(_CALLERS)]
        faults = await _disturb(site, rng, seconds)
        late, final = await _look_at_the_end(site, traffic)
        traffic.is_over = True
        await asyncio.gather(*callers)
    finally:
        await site.stop()
    seen = soak_checks.Seen(
        told=traffic.told,
        arrivals=[
            arrival for target in site.targets for arrival in target.arrivals
        ],
        late_at_leaving=late,
        final=final,
        withdrawn_keys=site.withdrawn_keys,
    )
    return _report(seed, entries, faults, seen)


async def _disturb(
    site: soak_site.SoakSite, rng: random.Random, seconds: float
) -> list[tuple[float, str]]:
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
        await asyncio.sleep(rng.expovariate(1 / _FAULT_PAUSE_S))
    await asyncio.gather(*running)
    site.heal()
    return faults


async def _look_at_the_end(
    site: soak_site.SoakSite, traffic: soak_traffic.SoakTraffic
) -> tuple[int, list[soak_traffic.Told]]:
    """Arrivals at leaving targets, and a last request with each key."""
    await asyncio.gather(*(entry.wait_until_ready() for entry in site.entries))
    await asyncio.sleep(_SETTLE_S)
    leaving = [
        target
        for target in site.targets
        if target.name in site.leaving_targets
    ]
    before = sum(len(target.arrivals) for target in leaving)
    final = []
    keys = [site.keys_by_customer[_UNLIMITED][0], *site.withdrawn_keys]
    async with httpx.AsyncClient(trust_env=False, timeout=3.0) as client:
        for entry in site.entries:
            for key in keys:
                final.append(await traffic.call(client, entry, key))
    await asyncio.sleep(_LAST_LOOK_S)
    late = sum(len(target.arrivals) for target in leaving) - before
    return late, final


def _report(
    seed: int,
    entries: int,
    faults: list[tuple[float, str]],
    seen: soak_checks.Seen,
) -> SoakReport:
    counts: dict[int, int] = {}
    for told in seen.told:
        counts[told.status] = counts.get(told.status, 0) + 1
    broken = {
        name: soak_checks.CHECKS.get(name)(seen)[:5]
        for name in soak_checks.CHECKS.names()
    }
    return SoakReport(
        seed=seed,
        entries=entries,
        faults=faults,
        requests=len(seen.told),
        count_by_status=counts,
        broken_by_promise={
            name: examples for name, examples in broken.items() if examples
        },
    )
