"""CPU time of single steps of the control plane of platform entries.

Encodes and decodes the real messages of ``coordination/peer_exchange.py`` and
scores targets with the real selection, in one process and without a network.
Members are the entries of a region. ``bench.capacity`` measures the entries of
the package's own path instead.
"""

import json
import random
import time

from chicorydoor.coordination import peer_exchange
from chicorydoor.coordination import target_selection
from chicorydoor.protocol import gossip_messages
from chicorydoor.protocol import ids
from chicorydoor.protocol import serving_config
from chicorydoor.state import cold_start_limits
from chicorydoor.state import fleet_view
from chicorydoor.state import rate_shares
from chicorydoor.state import send_permits
from chicorydoor.state import target_rate_limits
from chicorydoor.state import target_rests
from chicorydoor.state import target_views

_REPETITION_COUNT = 300
_REGION_COUNT = 3


def _heartbeat(member_count: int, customer_count: int) -> fleet_view.Heartbeat:
    # Share of the rate and demand in requests/s.
    report = rate_shares.RateReport.from_values(0.0123456789, 3.14159265)
    return fleet_view.Heartbeat(
        registration=fleet_view.Registration(
            ids.InstanceId("front-nairobi-a-1"),
            1_700_000_000_000,  # start of the process, ms since the epoch
            ids.DomainId("nairobi-a"),
            ids.RegionId("nairobi"),
            "10.1.0.7:8667",
            "10.1.0.7:8668",
        ),
        standing=fleet_view.EntryState.READY,
        # Store revisions: the copy's, and the latest change's.
        extent_by_prefix={
            prefix: fleet_view.Extent(12345, 12300)
            for prefix in ("op/", "servers/", "chicorydoor/entries/")
        },
        rate_by_customer={
            ids.CustomerId(f"customer{index}"): report
            for index in range(customer_count)
        },
    )


def measure_heartbeats(
    member_count: int, customer_count: int
) -> dict[str, float]:
    """Measure the size of a full heartbeat and its encoding and decoding.

    ``write_and_read_us`` is the CPU time to encode and decode it once.
    """
    heartbeat = _heartbeat(member_count, customer_count)
    encoded = gossip_messages.encode(heartbeat)
    cpu_started_s = time.process_time()
    for _ in range(_REPETITION_COUNT):
        gossip_messages.decode(gossip_messages.encode(heartbeat))
    cpu_s = (time.process_time() - cpu_started_s) / _REPETITION_COUNT
    return {
        "members": member_count,
        "customers": customer_count,
        "heartbeat_bytes": len(encoded),
        "sent_bytes_per_s": round(
            len(encoded)
            * (member_count - 1)
            / peer_exchange.heartbeat_interval_s(member_count - 1)
        ),
        "write_and_read_us": round(cpu_s * 1e6, 1),
    }


def measure_rebalancing(
    member_count: int, customer_count: int
) -> dict[str, float]:
    """Measure the CPU time to rebalance all customers' rate shares once."""
    # Tolerates an excess of 10% and 20 requests over a window's limit.
    rate_shares_of_entry = rate_shares.RateShares(
        rate_shares.RateTolerance(0.1, 20.0)
    )
    customers = [
        serving_config.CustomerConfig(
            ids.CustomerId(f"c{index}"), None, 100.0, 100.0
        )
        for index in range(customer_count)
    ]
    report = rate_shares.RateReport.from_values(1 / member_count, 5.0)
    report_by_customer = {
        customer.customer_id: report for customer in customers
    }
    peer_reports = [rate_shares.AnnouncedRates(1, report_by_customer)] * (
        member_count - 1
    )
    cpu_started_s = time.process_time()
    round_count = max(3, _REPETITION_COUNT // member_count)
    for index in range(round_count):
        rate_shares_of_entry.rebalance(customers, peer_reports, float(index))
    cpu_s = (time.process_time() - cpu_started_s) / round_count
    return {
        "members": member_count,
        "customers": customer_count,
        "rebalance_us": round(cpu_s * 1e6, 1),
    }


def measure_selection(target_count: int) -> dict[str, float]:
    """Measure the CPU time to select a target, in a first and a second pass.

    Both passes select for the same objects.
    """
    region_by_domain = {
        ids.DomainId(f"d{index}"): ids.RegionId(f"r{index}")
        for index in range(_REGION_COUNT)
    }
    targets = target_views.TargetViews(region_by_domain)
    for index in range(target_count):
        targets.target_by_id[ids.TargetId(f"t{index}")] = (
            target_views.TargetView(
                serving_config.TargetRegistration(
                    ids.TargetId(f"t{index}"),
                    ids.ServiceId("s"),
                    "10.0.0.1:80",
                    ids.DomainId(f"d{index % _REGION_COUNT}"),
                    9,
                    serving_config.TargetLifecycle.READY,
                ),
                ids.RegionId(f"r{index % _REGION_COUNT}"),
                0.0,
            )
        )
    targets.rebuild_index()
    selection = target_selection.TargetSelection(
        targets=targets,
        region=ids.RegionId("r0"),
        round_trip_s=lambda region: 0.001 if region == "r0" else 0.1,
        may_send_first=lambda view: True,
        permits=send_permits.SendPermits(
            target_rests.TargetRests(),
            target_rate_limits.TargetRateLimits(
                ids.InstanceId("e"), lambda: ["e"], lambda region: ["e"]
            ),
            cold_start_limits.ColdStartLimits(
                ids.InstanceId("e"), lambda: ["e"]
            ),
            lambda service_id: 0.0,
        ),
        rng=random.Random(1),
    )
    route = serving_config.RouteConfig(
        ids.RouteId("r"),
        "h",
        "/r/",
        (serving_config.WeightedService(ids.ServiceId("s"), 1.0),),
        True,  # may run more than once
        2.0,  # timeout in seconds
        0.4,  # latency objective in seconds
        2,  # attempts
        1,  # priority
        uses_affinity=True,
    )
    all_constraints = [
        target_selection.TargetConstraints(
            route, ids.ServiceId("s"), b"%d" % index, frozenset()
        )
        for index in range(_REPETITION_COUNT)
    ]
    cpu_us_by_pass = []
    for _ in range(2):
        cpu_started_s = time.process_time()
        for constraints in all_constraints:
            selection.choose(constraints, 10.0)
        cpu_s = time.process_time() - cpu_started_s
        cpu_us_by_pass.append(round(cpu_s / _REPETITION_COUNT * 1e6, 1))
    return {
        "targets": target_count,
        "new_object_us": cpu_us_by_pass[0],
        "seen_object_us": cpu_us_by_pass[1],
    }


def main() -> None:
    """Print one line of JSON for each size."""
    for member_count in (8, 16, 32, 64, 128):
        print(json.dumps(measure_heartbeats(member_count, 8)))
    for customer_count in (8, 32, 128):
        print(json.dumps(measure_heartbeats(32, customer_count)))
    for member_count in (8, 32, 128):
        print(json.dumps(measure_rebalancing(member_count, 32)))
    for target_count in (20, 40, 80, 160, 320):
        print(json.dumps(measure_selection(target_count)))


if __name__ == "__main__":
    main()
