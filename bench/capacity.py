"""Cost of the control plane by number of entries, domains and records.

Fits a line through the measured values of each kind of size; measures ten
entries in six failure domains besides. Prints JSON lines, which
``docs/CAPACITY.md`` quotes.
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
from chicorydoor.coordination import revision_sync
from chicorydoor.protocol import config_records as records
from chicorydoor.protocol import ids
from chicorydoor.protocol import manifest as manifest_module
from chicorydoor.standins import local_fleet
from chicorydoor.state import client_blocks
from chicorydoor.state import config_chunks
from chicorydoor.state import config_snapshot
from chicorydoor.state import event_ring
from chicorydoor.transport import clock as clock_module

_IDLE_DURATION_S = 8.0
_LOOKUP_COUNT = 200_000
_STORE_CALLS_DURATION_S = 10.0


def emit_linear_fit(
    measurement: str, points: list[tuple[float, float]], unit: str
) -> None:
    """Print a least-squares line through the points as JSON.

    Args:
        measurement (str): Name of the measurement.
        points (list): Pairs of size and measured value.
        unit (str): Unit of the values; the slope is per unit of size.
    """
    sizes, values = zip(*points, strict=True)
    slope, base = statistics.linear_regression(sizes, values)
    residuals = [
        abs(value - (base + slope * size)) / max(value, 1e-12)
        for size, value in points
    ]
    processes.emit(
        measurement,
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


# Measurements of real processes without traffic.


def _peer_counters(
    entries: processes.ProcessFleet, instance: str
) -> dict[str, float]:
    """Return the metrics of what an entry has sent to its peers."""
    endpoint = entries.settings_by_instance[instance].administration
    metrics_text = httpx.get(
        f"http://{endpoint}/metrics", trust_env=False
    ).text
    values: dict[str, float] = {}
    for line in metrics_text.splitlines():
        if line.startswith("chicorydoor_peer_sent"):
            metric, value = line.split()
            values[metric] = float(value)
    return values


def _measure_idle(domains: list[str]) -> dict[str, float]:
    """Return the mean cost of an entry without traffic.

    CPU use is in cores, bytes and messages sent are per second, and resident
    memory is in bytes. ``most_bytes`` is the largest value of any entry.

    Args:
        domains (list): Failure domain of each entry to start.
    """
    config = _configuration(len(set(domains)))
    entries = processes.ProcessFleet(config, domains)
    try:
        entries.wait_until(entries.all_know_coordinator, "no coordinator")
        revision = entries.apply()
        entries.wait_until(
            lambda: entries.is_in_force(revision), "not in force"
        )
        time.sleep(2.0)
        instances = list(entries.process_by_instance)
        counters_before = {
            instance: _peer_counters(entries, instance)
            for instance in instances
        }
        cpu_before_s = {
            instance: processes.cpu_seconds(process)
            for instance, process in entries.process_by_instance.items()
        }
        time.sleep(_IDLE_DURATION_S)
        cpu_used_s = [
            processes.cpu_seconds(process) - cpu_before_s[instance]
            for instance, process in entries.process_by_instance.items()
        ]
        sent_bytes = [
            _peer_counters(entries, instance)[
                "chicorydoor_peer_sent_bytes_total"
            ]
            - counters_before[instance]["chicorydoor_peer_sent_bytes_total"]
            for instance in instances
        ]
        sent_messages = [
            _peer_counters(entries, instance)[
                "chicorydoor_peer_sent_messages_total"
            ]
            - counters_before[instance]["chicorydoor_peer_sent_messages_total"]
            for instance in instances
        ]
        resident_sizes = [
            processes.resident_bytes(process)
            for process in entries.process_by_instance.values()
        ]
        return {
            "cpu": statistics.mean(cpu_used_s) / _IDLE_DURATION_S,
            "bytes": statistics.mean(sent_bytes) / _IDLE_DURATION_S,
            "most_bytes": max(sent_bytes) / _IDLE_DURATION_S,
            "messages": statistics.mean(sent_messages) / _IDLE_DURATION_S,
            "resident": statistics.mean(resident_sizes),
        }
    finally:
        entries.close()


def _emit_idle_fits(
    measurement: str, domains_by_size: dict[int, list[str]]
) -> None:
    """Print the linear fits of the cost without traffic, one per figure."""
    results = {
        size: _measure_idle(domains)
        for size, domains in domains_by_size.items()
    }
    units = {
        "cpu": "part of a core",
        "bytes": "B/s sent, mean entry",
        "most_bytes": "B/s sent, coordinator",
        "messages": "messages/s sent",
        "resident": "B resident",
    }
    for field, unit in units.items():
        points = [(size, result[field]) for size, result in results.items()]
        emit_linear_fit(f"{measurement}-{field}", points, unit)


def measure_peers() -> None:
    """Measure the cost by number of entries in one failure domain."""
    _emit_idle_fits("peers", {size: ["d0"] * size for size in (2, 4, 8, 16)})


def measure_domains() -> None:
    """Measure the cost by number of failure domains of one entry each."""
    _emit_idle_fits(
        "domains",
        {
            size: [f"d{number}" for number in range(size)]
            for size in (2, 4, 8, 16)
        },
    )


def measure_ten_entries() -> None:
    """Measure ten entries in six failure domains without traffic."""
    domains = [f"d{number % 6}" for number in range(10)]
    result = _measure_idle(domains)
    processes.emit(
        "ten-entries-at-rest",
        cpu_percent=round(100 * result["cpu"], 2),
        cpu_target_percent=1.2,
        bytes_per_s=round(result["bytes"]),
        bytes_target=5000,
        resident_mb=round(result["resident"] / 1e6, 1),
    )


# Measurements of single components in this process.


def _measure_allocation(
    factory: abc.Callable[[], object],
) -> tuple[int, object]:
    """Return the bytes that a new object holds, and the object."""
    gc.collect()
    tracemalloc.start()
    created = factory()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size, created


def _activate_configuration(
    config: records.Configuration,
) -> revision_sync.ActiveRevision:
    """Return the active configuration of an entry that has adopted it."""
    clock = clock_module.SystemClock()
    ring = event_ring.EventRing(ids.InstanceId("bench"), clock)
    active_revision = revision_sync.ActiveRevision(clock, ring)
    manifest, chunk_by_digest = config_chunks.build_manifest(
        manifest_module.EMPTY_MANIFEST, config, "first", ids.Revision(1)
    )
    for chunk in chunk_by_digest.values():
        active_revision.cache.add(chunk)
    active_revision.adopt(manifest)
    return active_revision


def measure_records() -> None:
    """Measure the memory of a configuration per customer, key and route."""
    for kind in ("customers", "keys", "routes"):
        points = []
        for size in (100, 1000, 3000, 10000):
            options = {kind: size}
            config = _configuration(**options)
            allocated_bytes, active_revision = _measure_allocation(
                lambda c=config: _activate_configuration(c)
            )
            points.append((size, allocated_bytes))
            del active_revision
        emit_linear_fit(f"{kind}-memory", points, "B for one entry")


def measure_changes() -> None:
    """Measure bytes sent and CPU time spent on the change of one customer."""
    size_points = []
    time_points = []
    for size in (100, 1000, 3000, 10000):
        config = _configuration(customers=size)
        sender = _activate_configuration(config)
        receiver = _activate_configuration(config)
        customer_id = f"customer-{size // 2}"
        config.customer_by_id[customer_id] = records.Customer(101.0, 200.0)
        manifest, chunk_by_digest = config_chunks.build_manifest(
            sender.snapshot.manifest, config, "second", ids.Revision(2)
        )
        for chunk in chunk_by_digest.values():
            sender.cache.add(chunk)
        sender.adopt(manifest)
        offer = sender.make_offer(ids.Revision(1))
        size_points.append((size, len(msgspec.msgpack.encode(offer))))
        cpu_started_s = time.process_time()
        assert receiver.apply_offer(offer)
        time_points.append((size, time.process_time() - cpu_started_s))
    emit_linear_fit("change-bytes", size_points, "B to each entry")
    emit_linear_fit("change-cpu", time_points, "s at each entry")


def measure_blocks() -> None:
    """Measure memory and look-up time of the client block table."""
    memory_points = []
    time_points = []
    rng = random.Random(1)
    for size in (1000, 10_000, 104_000, 300_000):
        numbers = rng.sample(range(2**24), size)
        region_by_cidr = {
            f"{n >> 16}.{n >> 8 & 255}.{n & 255}.0/24": f"r{n % 25}"
            for n in numbers
        }
        allocated_bytes, table = _measure_allocation(
            lambda blocks=region_by_cidr: client_blocks.ClientBlockTable(
                blocks
            )
        )
        addresses = [
            f"{n >> 16}.{n >> 8 & 255}.{n & 255}.7"
            for n in rng.choices(numbers, k=_LOOKUP_COUNT // 10)
        ]
        cpu_started_s = time.process_time()
        for address in addresses:
            table.find(address)
        cpu_s = time.process_time() - cpu_started_s
        memory_points.append((size, allocated_bytes))
        time_points.append((size, cpu_s / len(addresses)))
    emit_linear_fit("blocks-memory", memory_points, "B of the table")
    emit_linear_fit("blocks-lookup", time_points, "s")


def measure_blocks_in_entry() -> None:
    """Measure the memory of client blocks with the chunks that hold them."""
    points = []
    for size in (1000, 10_000, 52_000, 104_000):
        config = _configuration()
        for number in range(size):
            cidr = f"{number >> 16}.{number >> 8 & 255}.{number & 255}.0/24"
            config.block_by_cidr[cidr] = records.ClientBlock("r")
        manifest, chunk_by_digest = config_chunks.build_manifest(
            manifest_module.EMPTY_MANIFEST, config, "first", ids.Revision(1)
        )
        encoded_manifest = msgspec.json.encode(manifest)
        chunks = [bytes(chunk) for chunk in chunk_by_digest.values()]
        del config, chunk_by_digest
        allocated_bytes, active_revision = _measure_allocation(
            lambda c=chunks, m=encoded_manifest: _activate_chunks(c, m)
        )
        points.append((size, allocated_bytes))
        del active_revision
    emit_linear_fit("blocks-in-entry", points, "B for one entry")


def _activate_chunks(
    chunks: list[bytes], encoded_manifest: bytes
) -> revision_sync.ActiveRevision:
    """Return the active configuration made of copies of chunks."""
    clock = clock_module.SystemClock()
    ring = event_ring.EventRing(ids.InstanceId("bench"), clock)
    active_revision = revision_sync.ActiveRevision(clock, ring)
    manifest = msgspec.json.decode(
        encoded_manifest, type=manifest_module.Manifest
    )
    for chunk in chunks:
        # A copy, so that its memory is counted.
        active_revision.cache.add(bytes(bytearray(chunk)))
    active_revision.adopt(manifest)
    return active_revision


# Measurement of a fleet in this process.


def measure_store() -> None:
    """Measure the store calls of ten entries without traffic."""
    asyncio.run(_count_idle_store_calls())


async def _count_idle_store_calls() -> None:
    config = _configuration(6)
    domains = [f"d{number % 6}" for number in range(10)]
    fleet = local_fleet.LocalFleet(config, domains)
    await fleet.start()
    await asyncio.sleep(4.0)
    await fleet.apply_configuration()
    await asyncio.sleep(2.0)
    before = fleet.store.call_count_by_kind.total()
    await asyncio.sleep(_STORE_CALLS_DURATION_S)
    calls = fleet.store.call_count_by_kind.total() - before
    processes.emit(
        "store-at-rest",
        calls_per_s=calls / _STORE_CALLS_DURATION_S,
        target_calls_per_s=5,
        waiting_watches=fleet.store.open_watch_count,
        failure_domains=6,
    )
    await fleet.stop()


_MEASUREMENT_BY_NAME = {
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
    """Run the measurements named on the command line, or all."""
    for name in sys.argv[1:] or _MEASUREMENT_BY_NAME:
        _MEASUREMENT_BY_NAME[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
