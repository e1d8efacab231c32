"""Cost of control on the platform path, by members, customers and targets.

Encodes and takes in the real messages of ``coordination/peer_exchange.py``
and rates targets with the real selection; one process, no network. Members
are the entries of a region.
"""

import json
import random
import time

from chicorydoor.coordination import peer_exchange
from chicorydoor.coordination import target_selection
from chicorydoor.protocol import fleet_messages
from chicorydoor.protocol import ids
from chicorydoor.protocol import serving
from chicorydoor.state import fleet_view
from chicorydoor.state import rate_shares
from chicorydoor.state import target_book

_REPEATS = 300
_REGIONS = 3


def _heartbeat(members: int, customers: int) -> fleet_view.Heartbeat:
    report = rate_shares.RateReport.of(0.0123456789, 3.14159265)
    return fleet_view.Heartbeat(
        registration=fleet_view.Registration(
            ids.InstanceId("front-nairobi-a-1"),
            1_700_000_000_000,
            ids.DomainId("nairobi-a"),
            ids.RegionId("nairobi"),
            "10.1.0.7:8667",
            "10.1.0.7:8668",
        ),
        standing=fleet_view.Standing.READY,
        extent_by_prefix={
            prefix: fleet_view.Extent(12345, 12300)
            for prefix in ("op/", "servers/", "chicorydoor/entries/")
        },
        rate_by_customer={
            ids.CustomerId(f"customer{index}"): report
            for index in range(customers)
        },
    )


def heartbeats(members: int, customers: int) -> dict[str, float]:
    """Size of a whole heartbeat and the time to write and read one."""
    beat = _heartbeat(members, customers)
    data = fleet_messages.encode(beat)
    started = time.process_time()
    for _ in range(_REPEATS):
        fleet_messages.decode(fleet_messages.encode(beat))
    spent_s = (time.process_time() - started) / _REPEATS
    return {
        "members": members,
        "customers": customers,
        "heartbeat_bytes": len(data),
        "sent_bytes_per_s": round(
            len(data) * (members - 1) / peer_exchange.heartbeat_s(members - 1)
        ),
        "write_and_read_us": round(spent_s * 1e6, 1),
    }


def rebalancing(members: int, customers: int) -> dict[str, float]:
    """Time to move the shares of all customers once."""
    shares = rate_shares.RateShares(rate_shares.RateAllowance(0.1, 20.0))
    rules = [
        serving.CustomerRule(ids.CustomerId(f"c{index}"), None, 100.0, 100.0)
        for index in range(customers)
    ]
    report = rate_shares.RateReport.of(1 / members, 5.0)
    peer = {rule.customer_id: report for rule in rules}
    peers = [rate_shares.Reported(1, peer)] * (members - 1)
    started = time.process_time()
    rounds = max(3, _REPEATS // members)
    for index in range(rounds):
        shares.rebalance(rules, peers, float(index))
    spent_s = (time.process_time() - started) / rounds
    return {
        "members": members,
        "customers": customers,
        "rebalance_us": round(spent_s * 1e6, 1),
    }


def choices(targets: int) -> dict[str, float]:
    """Time to choose a target for an object seen before, and for a new one."""
    region_by_domain = {
        ids.DomainId(f"d{index}"): ids.RegionId(f"r{index}")
        for index in range(_REGIONS)
    }
    book = target_book.TargetBook(region_by_domain)
    for index in range(targets):
        book.target_by_id[ids.TargetId(f"t{index}")] = target_book.TargetView(
            serving.TargetRecord(
                ids.TargetId(f"t{index}"),
                ids.ServiceId("s"),
                "10.0.0.1:80",
                ids.DomainId(f"d{index % _REGIONS}"),
                9,
                serving.TargetStanding.READY,
            ),
            ids.RegionId(f"r{index % _REGIONS}"),
            0.0,
        )
    book.reindex()
    selection = target_selection.TargetSelection(
        book=book,
        region=ids.RegionId("r0"),
        distance_s=lambda region: 0.001 if region == "r0" else 0.1,
        may_send_cold=lambda view: True,
        rng=random.Random(1),
    )
    route = serving.RouteRule(
        ids.RouteId("r"),
        "h",
        "/r/",
        (serving.ServicePart(ids.ServiceId("s"), 1.0),),
        True,
        2.0,
        0.4,
        2,
        1,
        has_affinity=True,
    )
    subjects = [
        target_selection.Subject(
            route, ids.ServiceId("s"), b"%d" % index, frozenset()
        )
        for index in range(_REPEATS)
    ]
    spent_us = []
    for _ in range(2):
        started = time.process_time()
        for subject in subjects:
            selection.choose(subject, 10.0)
        spent_s = time.process_time() - started
        spent_us.append(round(spent_s / _REPEATS * 1e6, 1))
    return {
        "targets": targets,
        "new_object_us": spent_us[0],
        "seen_object_us": spent_us[1],
    }


def main() -> None:
    """Print one JSON line for each size."""
    for members in (8, 16, 32, 64, 128):
        print(json.dumps(heartbeats(members, 8)))
    for customers in (8, 32, 128):
        print(json.dumps(heartbeats(32, customers)))
    for members in (8, 32, 128):
        print(json.dumps(rebalancing(members, 32)))
    for targets in (20, 40, 80, 160, 320):
        print(json.dumps(choices(targets)))


if __name__ == "__main__":
    main()
