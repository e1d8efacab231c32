"""Kinds of trouble that a soak makes; each ends by itself."""

import asyncio
from collections import abc
import random
import signal

from chicorydoor.policies import registry
from chicorydoor.soak import loopback_proxy
from chicorydoor.soak import soak_site
from chicorydoor.standins import platform_site
from chicorydoor.standins import platform_store

Fault = abc.Callable[[soak_site.SoakSite, random.Random], abc.Awaitable[None]]
FAULTS: registry.Registry[Fault] = registry.Registry("fault")

_WAYS = [way for way in loopback_proxy.Way if way is not way.OPEN]
_STORE_MOODS = [
    mood for mood in platform_store.Mood if mood is not mood.NORMAL
]


def _seconds(rng: random.Random, most: float) -> float:
    return rng.uniform(0.1, most)


def _running(
    site: soak_site.SoakSite, rng: random.Random
) -> platform_site.EntryProcess | None:
    """An entry that no other fault has taken down."""
    running = [entry for entry in site.entries if not entry.is_reserved]
    return rng.choice(running) if len(running) > 1 else None


@FAULTS.register("pause")
async def _pause(site: soak_site.SoakSite, rng: random.Random) -> None:
    entry = _running(site, rng)
    if entry is None:
        return
    with entry.reserve():
        entry.send_signal(signal.SIGSTOP)
        await asyncio.sleep(_seconds(rng, 3.0))
        entry.send_signal(signal.SIGCONT)


@FAULTS.register("kill")
async def _kill(site: soak_site.SoakSite, rng: random.Random) -> None:
    await _restart(site, rng, signal.SIGKILL)


@FAULTS.register("stop")
async def _stop(site: soak_site.SoakSite, rng: random.Random) -> None:
    await _restart(site, rng, signal.SIGTERM)


async def _restart(
    site: soak_site.SoakSite, rng: random.Random, number: signal.Signals
) -> None:
    entry = _running(site, rng)
    if entry is None:
        return
    with entry.reserve():
        entry.send_signal(number)
        if rng.random() < 0.3:
            entry.send_signal(signal.SIGHUP)
        await entry.wait()
        await asyncio.sleep(_seconds(rng, 1.0))
        await entry.start(waits_for_ready=False)


@FAULTS.register("store-link")
async def _store_link(site: soak_site.SoakSite, rng: random.Random) -> None:
    count = rng.randint(1, len(site.entries))
    names = rng.sample(sorted(site.proxy_by_entry), count)
    await _disturb([site.proxy_by_entry[name] for name in names], rng)


@FAULTS.register("target-link")
async def _target_link(site: soak_site.SoakSite, rng: random.Random) -> None:
    name = rng.choice(sorted(site.proxy_by_target))
    await _disturb([site.proxy_by_target[name]], rng)


async def _disturb(
    proxies: list[loopback_proxy.LoopbackProxy], rng: random.Random
) -> None:
    way = rng.choice(_WAYS)
    for proxy in proxies:
        proxy.set_way(way)
    await asyncio.sleep(_seconds(rng, 3.0))
    for proxy in proxies:
        proxy.set_way(loopback_proxy.Way.OPEN)


@FAULTS.register("store")
async def _store(site: soak_site.SoakSite, rng: random.Random) -> None:
    site.store.mood = rng.choice(_STORE_MOODS)
    await asyncio.sleep(_seconds(rng, 3.0))
    site.store.mood = platform_store.Mood.NORMAL


@FAULTS.register("store-history")
async def _history(site: soak_site.SoakSite, rng: random.Random) -> None:
    site.store.forget_history()


@FAULTS.register("withdraw-key")
async def _withdraw(site: soak_site.SoakSite, rng: random.Random) -> None:
    site.withdraw_key(rng.choice(sorted(site.keys_by_customer)))


@FAULTS.register("configuration")
async def _configuration(site: soak_site.SoakSite, rng: random.Random) -> None:
    for _ in range(rng.randint(1, 4)):
        site.apply()
        await asyncio.sleep(_seconds(rng, 0.3))


@FAULTS.register("leave")
async def _leave(site: soak_site.SoakSite, rng: random.Random) -> None:
    """A target announces that it leaves, or is removed, for good."""
    staying = [
        target
        for target in site.targets
        if target.name not in site.leaving_targets
    ]
    if len(staying) <= 2:
        return
    target = rng.choice(staying)
    site.leaving_targets.add(target.name)
    if rng.random() < 0.5:
        site.register(target, "draining")
    else:
        target.unregister(site.store)
