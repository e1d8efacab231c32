"""A session on the platform's stand-ins that checks the promises."""

import asyncio
import itertools
import pathlib
import random
import signal
import tempfile

import httpx

from chicorydoor.demo import promises
from chicorydoor.platform import documents
from chicorydoor.standins import platform_site
from chicorydoor.standins import platform_store

_CALLERS = 6
_PAUSE_S = 0.01
# A change of the operator is in force within this time.
_IN_FORCE_S = 2.5


class _Traffic:
    """Callers that read and order, and what they were told."""

    def __init__(self, site: platform_site.PlatformSite) -> None:
        self._site = site
        self._ids = itertools.count()
        self._rng = random.Random(1)
        self.status_by_order: dict[str, int] = {}
        self.statuses: list[int] = []
        self.lost = 0
        self.is_over = False

    async def run(self) -> None:
        """Call until told to end."""
        while not self.is_over:
            await self._call()
            await asyncio.sleep(_PAUSE_S)

    async def _call(self) -> None:
        request_id = f"request-{next(self._ids)}"
        entry = self._rng.choice(self._site.entries)
        is_order = self._rng.random() < 0.5
        method, path = ("POST", "/order/") if is_order else ("GET", "/read/")
        path += str(self._rng.randrange(20))
        try:
            answer = await self._site.call(entry, method, path, request_id)
        except httpx.HTTPError:
            self.lost += 1
            return
        self.statuses.append(answer.status_code)
        if is_order:
            self.status_by_order[request_id] = answer.status_code


async def run() -> list[promises.Verdict]:
    """Play the session; returns what was found."""
    with tempfile.TemporaryDirectory() as folder:
        site = platform_site.PlatformSite(pathlib.Path(folder))
        await site.start()
        try:
            return await _play(site)
        finally:
            await site.stop()


async def _play(site: platform_site.PlatformSite) -> list[promises.Verdict]:
    traffic = _Traffic(site)
    callers = [asyncio.create_task(traffic.run()) for _ in range(_CALLERS)]
    await asyncio.sleep(1.0)
    served_in_outage = await _outage(site, traffic)
    leaving = await _drain(site)
    withdrawn = await _withdraw(site)
    lost_before = traffic.lost
    exit_code = await _planned_stop(site)
    cut_by_stop = traffic.lost - lost_before
    await _kill_and_restart(site)
    traffic.is_over = True
    await asyncio.gather(*callers)
    return [
        *_outcomes(site, traffic),
        promises.Verdict(
            "an outage of the store stops no request",
            f"{served_in_outage} requests served meanwhile",
            int(not served_in_outage),
        ),
        promises.Verdict(
            "a leaving target gets no new work",
            f"{leaving} requests after {_IN_FORCE_S} s",
            leaving,
        ),
        promises.Verdict(
            "a withdrawn key stops working within seconds",
            f"answers {sorted(withdrawn)}",
            int(withdrawn != {401}),
        ),
        promises.Verdict(
            "a planned stop cuts no request",
            f"{cut_by_stop} cut, exit code {exit_code}",
            cut_by_stop + int(exit_code != 0),
        ),
    ]


def _outcomes(
    site: platform_site.PlatformSite, traffic: _Traffic
) -> list[promises.Verdict]:
    runs = site.runs()
    twice = [name for name in traffic.status_by_order if runs.get(name, 0) > 1]
    untrue = [
        name
        for name, status in traffic.status_by_order.items()
        if status in (429, 503) and runs.get(name, 0)
    ]
    arrivals = [each for target in site.targets for each in target.arrivals]
    customers = {each.customer for each in arrivals}
    has_seen_key = any(each.has_key for each in arrivals)
    return [
        promises.Verdict(
            "an order runs at most once",
            f"{len(traffic.status_by_order)} orders, {len(twice)} twice",
            len(twice),
        ),
        promises.Verdict(
            "a refusal that says not run is true",
            f"{len(untrue)} untrue",
            len(untrue),
        ),
        promises.Verdict(
            "requests run for the customer of their key, without the key",
            f"customers {sorted(customers)}",
            int(customers != {platform_site.CUSTOMER} or has_seen_key),
        ),
    ]


async def _outage(site: platform_site.PlatformSite, traffic: _Traffic) -> int:
    before = traffic.statuses.count(200)
    site.store.mood = platform_store.Mood.SILENT
    await asyncio.sleep(1.5)
    site.store.mood = platform_store.Mood.NORMAL
    served = traffic.statuses.count(200) - before
    await asyncio.sleep(_IN_FORCE_S)
    return served


async def _drain(site: platform_site.PlatformSite) -> int:
    target = site.targets[0]
    target.register(site.store, "draining")
    await asyncio.sleep(_IN_FORCE_S)
    before = len(target.arrivals)
    await asyncio.sleep(0.5)
    late = len(target.arrivals) - before
    target.register(site.store)
    return late


async def _withdraw(site: platform_site.PlatformSite) -> set[int]:
    customer = platform_site.customer(
        platform_site.CUSTOMER, [platform_site.KEY]
    )
    value = platform_site.configuration(2, [customer])
    site.store.put(documents.CONFIGURATION_KEY, value)
    await asyncio.sleep(_IN_FORCE_S)
    answers = [
        await site.call(entry, "GET", "/read/1", "withdrawn", "other-key")
        for entry in site.entries
    ]
    return {answer.status_code for answer in answers}


async def _planned_stop(site: platform_site.PlatformSite) -> int:
    entry = site.entries.pop()
    entry.send_signal(signal.SIGTERM)
    exit_code = await entry.wait()
    await entry.start()
    site.entries.append(entry)
    return exit_code


async def _kill_and_restart(site: platform_site.PlatformSite) -> None:
    entry = site.entries[0]
    entry.send_signal(signal.SIGKILL)
    await entry.wait()
    await entry.start()
    await asyncio.sleep(0.5)
