"""Slopes of the cost of control, and what they give at the planned size.

Prints JSON lines; ``docs/CAPACITY.md`` quotes them.
"""

import asyncio
from collections import abc
import gc
import random
import statistics
import sys
import time
import tracemalloc

import httpx
import msgspec

from bench import processes
from chicorydoor.coordination import config_keeper
from chicorydoor.protocol import config_records as records
from chicorydoor.protocol import ids
from chicorydoor.protocol import manifest as manifest_module
from chicorydoor.standins import fleet
from chicorydoor.state import client_blocks
from chicorydoor.state import config_chunks
from chicorydoor.state import config_snapshot
from chicorydoor.state import event_ring
from chicorydoor.transport import clock as clock_module

_IDLE_S = 8.0
_LOOKUPS = 200_000
_STORE_S = 10.0


def fit(measure: str, points: list[tuple[float, float]], unit: str) -> None:
    """Print a linear fit and its largest relative residual."""
    sizes, values = zip(*points, strict=True)
    slope, base = statistics.linear_regression(sizes, values)
    residuals = [
        abs(value - (base + slope * size)) / max(value, 1e-12)
        for size, value in points
    ]
    processes.emit(
        measure,
        unit=unit,
        slope=float(f"{slope:.4g}"),
        base=float(f"{base:.4g}"),
        largest_residual=round(max(residuals), 3),
        points=[[size, float(f"{value:.4g}")] for size, value in points],
    )


def _configuration(
    domains: int = 1, customers: int = 8, keys: int = 0, routes: int = 4
) -> records.Configuration:
    config = records.Configuration()
    config.region_by_id["r"] = records.Region()
    for number in range(domains):
        config.domain_by_id[f"d{number}"] = records.Domain("r")
    config.service_by_id["svc"] = records.Service()
    for number in range(customers):
        config.customer_by_id[f"customer-{number}"] = records.Customer(
            100.0, 200.0
        )
    for number in range(keys):
        digest = config_snapshot.key_digest(str(number).encode())
        config.key_by_id[f"key-{number}"] = records.Key("customer-0", digest)
    for number in range(routes):
        config.route_by_id[f"route-{number}"] = records.Route(
            "svc", f"/route-{number}"
        )
    return config


# Real processes at rest.


def _counters(entries: processes.ProcessFleet, name: str) -> dict[str, float]:
    endpoint = entries.settings_by_id[name].administration
    text = httpx.get(f"http://{endpoint}/metrics", trust_env=False).text
    values: dict[str, float] = {}
    for line in text.splitlines():
        if line.startswith("chicorydoor_peer_sent"):
            metric, value = line.split()
            values[metric] = float(value)
    return values


def _at_rest(domains: list[str]) -> dict[str, float]:
    """Mean cost of one entry, with as many entries as domains are given."""
    config = _configuration(len(set(domains)))
    entries = processes.ProcessFleet(config, domains)
    try:
        entries.until(entries.coordinated, "no coordinator")
        revision = entries.apply()
        entries.until(lambda: entries.in_force(revision), "not in force")
        time.sleep(2.0)
        names = list(entries.process_by_id)
        before = {n: _counters(entries, n) for n in names}
        cpu = {
            n: processes.cpu_seconds(p)
            for n, p in entries.process_by_id.items()
        }
        time.sleep(_IDLE_S)
        used = [
            processes.cpu_seconds(p) - cpu[n]
            for n, p in entries.process_by_id.items()
        ]
        sent = [
            _counters(entries, n)["chicorydoor_peer_sent_bytes_total"]
            - before[n]["chicorydoor_peer_sent_bytes_total"]
            for n in names
        ]
        messages = [
            _counters(entries, n)["chicorydoor_peer_sent_messages_total"]
            - before[n]["chicorydoor_peer_sent_messages_total"]
            for n in names
        ]
        resident = [
            processes.resident_bytes(p) for p in entries.process_by_id.values()
        ]
        return {
            "cpu": statistics.mean(used) / _IDLE_S,
            "bytes": statistics.mean(sent) / _IDLE_S,
            "most_bytes": max(sent) / _IDLE_S,
            "messages": statistics.mean(messages) / _IDLE_S,
            "resident": statistics.mean(resident),
        }
    finally:
        entries.close()


def _fit_at_rest(measure: str, domains_by_size: dict[int, list[str]]) -> None:
    results = {size: _at_rest(d) for size, d in domains_by_size.items()}
    units = {
        "cpu": "part of a core",
        "bytes": "B/s sent, mean entry",
        "most_bytes": "B/s sent, coordinator",
        "messages": "messages/s sent",
        "resident": "B resident",
    }
    for field, unit in units.items():
        points = [(size, r[field]) for size, r in results.items()]
        fit(f"{measure}-{field}", points, unit)


def measure_peers() -> None:
    """Entries in one failure domain."""
    _fit_at_rest("peers", {size: ["d0"] * size for size in (2, 4, 8, 16)})


def measure_domains() -> None:
    """Failure domains of one entry each."""
    _fit_at_rest(
        "domains",
        {
            size: [f"d{number}" for number in range(size)]
            for size in (2, 4, 8, 16)
        },
    )


def measure_ten_entries() -> None:
    """Ten entries in six failure domains, at rest."""
    domains = [f"d{number % 6}" for number in range(10)]
    result = _at_rest(domains)
    processes.emit(
        "ten-entries-at-rest",
        cpu_percent=round(100 * result["cpu"], 2),
        cpu_target_percent=1.2,
        bytes_per_s=round(result["bytes"]),
        bytes_target=5000,
        resident_mb=round(result["resident"] / 1e6, 1),
    )


# Parts in this process.


def _allocated(make: abc.Callable[[], object]) -> tuple[int, object]:
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size, made


def _keeper(config: records.Configuration) -> config_keeper.ConfigKeeper:
    clock = clock_module.SystemClock()
    ring = event_ring.EventRing(ids.InstanceId("bench"), clock)
    keeper = config_keeper.ConfigKeeper(clock, ring)
    manifest, data = config_chunks.next_manifest(
        manifest_module.EMPTY, config, "first", ids.Revision(1)
    )
    for chunk in data.values():
        keeper.cache.add(chunk)
    keeper.adopt(manifest)
    return keeper


def measure_records() -> None:
    """Memory for each customer, key and route; adopting a change."""
    for kind in ("customers", "keys", "routes"):
        points = []
        for size in (100, 1000, 3000, 10000):
            options = {kind: size}
            config = _configuration(**options)
            taken, keeper = _allocated(lambda c=config: _keeper(c))
            points.append((size, taken))
            del keeper
        fit(f"{kind}-memory", points, "B for one entry")


def measure_changes() -> None:
    """Bytes and processor time of a change of one customer."""
    size_points = []
    time_points = []
    for size in (100, 1000, 3000, 10000):
        config = _configuration(customers=size)
        sender = _keeper(config)
        receiver = _keeper(config)
        name = f"customer-{size // 2}"
        config.customer_by_id[name] = records.Customer(101.0, 200.0)
        manifest, data = config_chunks.next_manifest(
            sender.snapshot.manifest, config, "second", ids.Revision(2)
        )
        for chunk in data.values():
            sender.cache.add(chunk)
        sender.adopt(manifest)
        offer = sender.offer_since(ids.Revision(1))
        size_points.append((size, len(msgspec.msgpack.encode(offer))))
        began = time.process_time()
        assert receiver.take_offer(offer)
        time_points.append((size, time.process_time() - began))
    fit("change-bytes", size_points, "B to each entry")
    fit("change-cpu", time_points, "s at each entry")


def measure_blocks() -> None:
    """Memory and time of the client block table."""
    memory_points = []
    time_points = []
    rng = random.Random(1)
    for size in (1000, 10_000, 104_000, 300_000):
        numbers = rng.sample(range(2**24), size)
        region_by_cidr = {
            f"{n >> 16}.{n >> 8 & 255}.{n & 255}.0/24": f"r{n % 25}"
            for n in numbers
        }
        taken, table = _allocated(
            lambda blocks=region_by_cidr: client_blocks.ClientBlockTable(
                blocks
            )
        )
        addresses = [
            f"{n >> 16}.{n >> 8 & 255}.{n & 255}.7"
            for n in rng.choices(numbers, k=_LOOKUPS // 10)
        ]
        began = time.process_time()
        for address in addresses:
            table.find(address)
        elapsed = time.process_time() - began
        memory_points.append((size, taken))
        time_points.append((size, elapsed / len(addresses)))
    fit("blocks-memory", memory_points, "B of the table")
    fit("blocks-lookup", time_points, "s")


def measure_blocks_in_entry() -> None:
    """Memory of a region's client blocks with all that keeps them."""
    points = []
    for size in (1000, 10_000, 52_000, 104_000):
        config = _configuration()
        for number in range(size):
            cidr = f"{number >> 16}.{number >> 8 & 255}.{number & 255}.0/24"
            config.block_by_cidr[cidr] = records.ClientBlock("r")
        manifest, data = config_chunks.next_manifest(
            manifest_module.EMPTY, config, "first", ids.Revision(1)
        )
        encoded = msgspec.json.encode(manifest)
        chunks = [bytes(chunk) for chunk in data.values()]
        del config, data
        taken, keeper = _allocated(lambda c=chunks, m=encoded: _adopted(c, m))
        points.append((size, taken))
        del keeper
    fit("blocks-in-entry", points, "B for one entry")


def _adopted(
    chunks: list[bytes], encoded: bytes
) -> config_keeper.ConfigKeeper:
    clock = clock_module.SystemClock()
    ring = event_ring.EventRing(ids.InstanceId("bench"), clock)
    keeper = config_keeper.ConfigKeeper(clock, ring)
    manifest = msgspec.json.decode(encoded, type=manifest_module.Manifest)
    for chunk in chunks:
        keeper.cache.add(bytes(bytearray(chunk)))
    keeper.adopt(manifest)
    return keeper


def measure_store() -> None:
    """Calls of ten entries at rest to the store stand-in."""
    asyncio.run(_store_at_rest())


async def _store_at_rest() -> None:
    config = _configuration(6)
    domains = [f"d{number % 6}" for number in range(10)]
    local = fleet.LocalFleet(config, domains)
    await local.start()
    await asyncio.sleep(4.0)
    await local.apply()
    await asyncio.sleep(2.0)
    before = local.store.calls_by_kind.total()
    await asyncio.sleep(_STORE_S)
    calls = local.store.calls_by_kind.total() - before
    processes.emit(
        "store-at-rest",
        calls_per_s=calls / _STORE_S,
        target_calls_per_s=5,
        waiting_watches=local.store.waiting_watches,
        failure_domains=6,
    )
    await local.stop()


_MEASURES = {
    "records": measure_records,
    "changes": measure_changes,
    "blocks": measure_blocks,
    "blocks-in-entry": measure_blocks_in_entry,
    "store": measure_store,
    "ten": measure_ten_entries,
    "peers": measure_peers,
    "domains": measure_domains,
}


def main() -> int:
    """Run the named measures, or all."""
    for name in sys.argv[1:] or _MEASURES:
        _MEASURES[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
