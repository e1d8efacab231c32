"""Faults that a soak injects.

Faults of entries, links and the store undo themselves after a random time.
Withdrawn keys, targets that leave, new configuration versions and a compacted
store history stay.
"""

import asyncio
from collections import abc
import functools
import random
import signal

from chicorydoor.policies import registry
from chicorydoor.soak import loopback_proxy
from chicorydoor.soak import process_ports
from chicorydoor.soak import soak_site
from chicorydoor.standins import platform_site
from chicorydoor.standins import platform_store

Fault = abc.Callable[[soak_site.SoakSite, random.Random], abc.Awaitable[None]]
FAULTS: registry.Registry[Fault] = registry.Registry("fault")

_FAULTY_LINK_MODES = [
    mode for mode in loopback_proxy.ProxyMode if mode is not mode.OPEN
]
_FAULTY_STORE_MODES = [
    mode for mode in platform_store.FailureMode if mode is not mode.NORMAL
]

# Shorter than on the platform, as the soak has few targets.
_HEARTBEAT_INTERVAL_S = 0.1


def _random_duration_s(rng: random.Random, max_duration_s: float) -> float:
    return rng.uniform(0.1, max_duration_s)


def _pick_running_entry(
    site: soak_site.SoakSite, rng: random.Random
) -> platform_site.EntryProcess | None:
    """A random entry that no other fault has stopped.

    None if only one is left, which keeps running.
    """
    candidates = [entry for entry in site.entries if not entry.is_reserved]
    return rng.choice(candidates) if len(candidates) > 1 else None


@FAULTS.register("pause")
async def _pause_entry(site: soak_site.SoakSite, rng: random.Random) -> None:
    entry = _pick_running_entry(site, rng)
    if entry is None:
        return
    with entry.reserve():
        entry.send_signal(signal.SIGSTOP)
        await asyncio.sleep(_random_duration_s(rng, 3.0))
        entry.send_signal(signal.SIGCONT)


@FAULTS.register("kill")
async def _kill_entry(site: soak_site.SoakSite, rng: random.Random) -> None:
    await _restart_entry(site, rng, signal.SIGKILL)


@FAULTS.register("stop")
async def _stop_entry(site: soak_site.SoakSite, rng: random.Random) -> None:
    await _restart_entry(site, rng, signal.SIGTERM)


async def _restart_entry(
    site: soak_site.SoakSite, rng: random.Random, signal_number: signal.Signals
) -> None:
    entry = _pick_running_entry(site, rng)
    if entry is None:
        return
    with entry.reserve():
        entry.send_signal(signal_number)
        # SIGHUP makes an entry validate its settings file, here while it
        # stops.
        if rng.random() < 0.3:
            entry.send_signal(signal.SIGHUP)
        await entry.wait()
        await asyncio.sleep(_random_duration_s(rng, 1.0))
        await entry.start(waits_for_ready=False)


@FAULTS.register("store-link")
async def _disturb_store_links(
    site: soak_site.SoakSite, rng: random.Random
) -> None:
    count = rng.randint(1, len(site.entries))
    names = rng.sample(sorted(site.proxy_by_entry), count)
    await _disturb_links([site.proxy_by_entry[name] for name in names], rng)


@FAULTS.register("target-link")
async def _disturb_target_link(
    site: soak_site.SoakSite, rng: random.Random
) -> None:
    name = rng.choice(sorted(site.proxy_by_target))
    await _disturb_links([site.proxy_by_target[name]], rng)


@FAULTS.register("entry-cut-from-targets")
async def _cut_entry_from_targets(
    site: soak_site.SoakSite, rng: random.Random
) -> None:
    entry = _pick_running_entry(site, rng)
    if entry is None:
        return
    with entry.reserve():
        for proxy in site.proxy_by_target.values():
            proxy.cut_sources(
                functools.partial(process_ports.find_tcp_ports, entry.pid)
            )
        await asyncio.sleep(_random_duration_s(rng, 6.0))
        for proxy in site.proxy_by_target.values():
            proxy.cut_sources(set)


async def _disturb_links(
    proxies: list[loopback_proxy.LoopbackProxy], rng: random.Random
) -> None:
    mode = rng.choice(_FAULTY_LINK_MODES)
    for proxy in proxies:
        proxy.set_mode(mode)
    await asyncio.sleep(_random_duration_s(rng, 3.0))
    for proxy in proxies:
        proxy.set_mode(loopback_proxy.ProxyMode.OPEN)


@FAULTS.register("store")
async def _fail_store(site: soak_site.SoakSite, rng: random.Random) -> None:
    site.store.failure_mode = rng.choice(_FAULTY_STORE_MODES)
    await asyncio.sleep(_random_duration_s(rng, 3.0))
    site.store.failure_mode = platform_store.FailureMode.NORMAL


@FAULTS.register("store-history")
async def _compact_store_history(
    site: soak_site.SoakSite, rng: random.Random
) -> None:
    site.store.compact_history()


@FAULTS.register("store-restore")
async def _restore_store(site: soak_site.SoakSite, rng: random.Random) -> None:
    """The store goes away and comes back from a copy of itself.

    Its revision has risen far above that of the copy, and does not reach that
    height again in the run.
    """
    copy = site.store.take_copy()
    for _ in range(rng.randint(5, 40)):
        site.write_registrations()
        await asyncio.sleep(_HEARTBEAT_INTERVAL_S)
    site.store.failure_mode = platform_store.FailureMode.REFUSING
    await asyncio.sleep(_random_duration_s(rng, 1.0))
    site.store.restore(copy)
    site.store.failure_mode = platform_store.FailureMode.NORMAL
    await asyncio.sleep(_random_duration_s(rng, 1.0))
    site.write_again()


@FAULTS.register("withdraw-key")
async def _withdraw_key(site: soak_site.SoakSite, rng: random.Random) -> None:
    site.withdraw_key(rng.choice(sorted(site.keys_by_customer)))


@FAULTS.register("configuration")
async def _apply_configurations(
    site: soak_site.SoakSite, rng: random.Random
) -> None:
    for _ in range(rng.randint(1, 4)):
        site.apply_configuration()
        await asyncio.sleep(_random_duration_s(rng, 0.3))


@FAULTS.register("leave")
async def _retire_target(site: soak_site.SoakSite, rng: random.Random) -> None:
    """A target registers as draining or is unregistered, for good."""
    remaining = [
        target
        for target in site.targets
        if target.name not in site.leaving_target_names
    ]
    # At least two targets remain.
    if len(remaining) <= 2:
        return
    target = rng.choice(remaining)
    site.leaving_target_names.add(target.name)
    if rng.random() < 0.5:
        site.register_target(target, "draining")
    else:
        site.unregister_target(target)
