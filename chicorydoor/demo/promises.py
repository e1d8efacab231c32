"""What the system promises, checked on a run's records."""

import collections
from collections import abc
import itertools

import msgspec

from chicorydoor.demo import callers
from chicorydoor.protocol import config_records
from chicorydoor.standins import fleet as fleet_module
from chicorydoor.state import event_ring

WITHDRAWN_WITHIN_S = 3.0
IN_FORCE_WITHIN_S = 3.0
DRAINED_WITHIN_S = 2.0


class Verdict(msgspec.Struct, frozen=True):
    """One promise's result.

    Args:
        tried (str): What was done and counted.
        broken (int): Times that it was found broken.
    """

    promise: str
    tried: str
    broken: int


class RunRecord(msgspec.Struct):
    """What the run did, for the checks; times on the loop's clock."""

    withdrawn_key: str = ""
    withdrawn_at: float = 0.0
    drained_target: str = ""
    drain_started_at: float = 0.0
    stop_began_at: float = 0.0
    stop_ended_at: float = 0.0
    in_force_s: list[float] = []
    revisions_seen: list[list[int]] = []
    repeated: list[list[callers.CallRecord]] = []


Check = abc.Callable[
    [fleet_module.LocalFleet, callers.Journal, RunRecord], Verdict
]
_CHECKS: list[Check] = []


def _check(function: Check) -> Check:
    _CHECKS.append(function)
    return function


def check_all(
    fleet: fleet_module.LocalFleet,
    journal: callers.Journal,
    run: RunRecord,
) -> list[Verdict]:
    """All verdicts on a run."""
    return [check(fleet, journal, run) for check in _CHECKS]


def _seen_ids(fleet: fleet_module.LocalFleet) -> collections.Counter[str]:
    return collections.Counter(
        seen.request_id
        for target in fleet.target_by_id.values()
        for seen in target.seen
    )


@_check
def shift_cap(
    fleet: fleet_module.LocalFleet,
    journal: callers.Journal,
    run: RunRecord,
) -> Verdict:
    """Each step of a share stays within the smallest cap."""
    routes = fleet.configuration.route_by_id.values()
    cap = min(route.shift_cap for route in routes)
    steps: list[float] = []
    for entry in fleet.entry_by_id.values():
        for event in entry.parts.events.latest(0, 100_000):
            if event.kind is event_ring.EventKind.SHIFT_CHANGED:
                before, after = event.detail.split(" to ")
                steps.append(abs(float(after) - float(before)))
    broken = sum(step > cap + 0.011 for step in steps)
    return Verdict(
        "traffic shares change within the shift cap",
        f"{len(steps)} steps, largest {max(steps, default=0):.2f}, cap {cap}",
        broken,
    )


@_check
def no_overload(
    fleet: fleet_module.LocalFleet,
    journal: callers.Journal,
    run: RunRecord,
) -> Verdict:
    """No target ever had more than its slots."""
    broken = sum(
        target.most_running > target.slots
        for target in fleet.target_by_id.values()
    )
    most = max(t.most_running / t.slots for t in fleet.target_by_id.values())
    return Verdict(
        "outstanding requests stay within the targets' slots",
        f"{len(fleet.target_by_id)} targets, fullest at {most:.0%} of slots",
        broken,
    )


@_check
def own_customer(
    fleet: fleet_module.LocalFleet,
    journal: callers.Journal,
    run: RunRecord,
) -> Verdict:
    """Targets saw only requests whose key was accepted."""
    record_by_id = {r.request_id: r for r in journal.records}
    broken = 0
    total = 0
    for target in fleet.target_by_id.values():
        for seen in target.seen:
            total += 1
            record = record_by_id.get(seen.request_id)
            if record is None or (not record.key and "catal" not in seen.path):
                broken += 1
    return Verdict(
        "targets see only requests with an accepted key",
        f"{total} requests at targets, each traced to its caller",
        broken,
    )


@_check
def no_key_at_targets(
    fleet: fleet_module.LocalFleet,
    journal: callers.Journal,
    run: RunRecord,
) -> Verdict:
    """No record of a target holds a key."""
    total = 0
    broken = 0
    for target in fleet.target_by_id.values():
        for seen in target.seen:
            total += 1
            raw = b"".join(n + v for n, v in seen.headers) + seen.body
            broken += b"cdk_" in raw or "cdk_" in seen.path
    return Verdict(
        "keys are stripped before targets",
        f"{total} requests searched",
        broken,
    )


@_check
def withdrawn_key(
    fleet: fleet_module.LocalFleet,
    journal: callers.Journal,
    run: RunRecord,
) -> Verdict:
    """The withdrawn key is refused soon, on open connections too."""
    limit = run.withdrawn_at + WITHDRAWN_WITHIN_S
    with_key = [r for r in journal.records if r.key == run.withdrawn_key]
    after = [r for r in with_key if r.started_at > run.withdrawn_at]
    served = [r for r in after if r.code == 0]
    last = max((r.started_at for r in served), default=run.withdrawn_at)
    broken = sum(r.started_at > limit for r in served)
    return Verdict(
        "withdrawn keys are rejected within 3 s",
        f"{len(after)} requests after the withdrawal, last served after "
        f"{last - run.withdrawn_at:.2f} s",
        broken + (not after),
    )


@_check
def rates(
    fleet: fleet_module.LocalFleet,
    journal: callers.Journal,
    run: RunRecord,
) -> Verdict:
    """No window of any length admits more than rate times it and burst."""
    broken = 0
    fullest = 0.0
    for customer_id, customer in fleet.configuration.customer_by_id.items():
        times = sorted(
            seen.at
            for target in fleet.target_by_id.values()
            for seen in target.seen
            if seen.request_id.startswith(f"{customer_id}-")
        )
        excess = most_over_bucket(times, customer.rate_per_s)
        fullest = max(fullest, excess / customer.burst)
        broken += excess > customer.burst
    return Verdict(
        "admissions stay within rate limit and burst",
        f"{len(fleet.configuration.customer_by_id)} customers, most of a "
        f"burst used {fullest:.0%}",
        broken,
    )


def most_over_bucket(times: abc.Sequence[float], rate_per_s: float) -> float:
    """Largest burst that the times need besides the rate.

    Args:
        times (Sequence): Sorted, in seconds.
        rate_per_s (float): Sustained rate.

    Example:
        >>> most_over_bucket([0.0, 0.0, 1.0], rate_per_s=1.0)
        2.0
    """
    most = 0.0
    level = 0.0
    previous = times[0] if times else 0.0
    for at in times:
        level = max(0.0, level - (at - previous) * rate_per_s) + 1.0
        previous = at
        most = max(most, level)
    return most


@_check
def whole_answers(
    fleet: fleet_module.LocalFleet,
    journal: callers.Journal,
    run: RunRecord,
) -> Verdict:
    """Every answer is whole and the caller's own."""
    answered = [r for r in journal.records if r.code >= 0]
    return Verdict(
        "answers are complete and correlated",
        f"{len(answered)} answers compared",
        sum(not r.is_whole for r in answered),
    )


@_check
def not_run(
    fleet: fleet_module.LocalFleet,
    journal: callers.Journal,
    run: RunRecord,
) -> Verdict:
    """No target saw a request that was refused as not run."""
    seen = _seen_ids(fleet)
    refused = [r for r in journal.records if r.outcome == "not-run"]
    return Verdict(
        "not-run refusals never reached a target",
        f"{len(refused)} such refusals looked for at the targets",
        sum(seen[r.request_id] > 0 for r in refused),
    )


@_check
def at_most_once(
    fleet: fleet_module.LocalFleet,
    journal: callers.Journal,
    run: RunRecord,
) -> Verdict:
    """No order ran twice, repeated or not."""
    seen = _seen_ids(fleet)
    orders = [r for r in journal.records if r.method == "POST"]
    broken = sum(seen[r.request_id] > 1 for r in orders)
    for pair in run.repeated:
        broken += sum(seen[record.request_id] for record in pair) > 1
    return Verdict(
        "non-repeatable requests run at most once",
        f"{len(orders)} orders, {len(run.repeated)} of them sent twice",
        broken,
    )


@_check
def drained_target(
    fleet: fleet_module.LocalFleet,
    journal: callers.Journal,
    run: RunRecord,
) -> Verdict:
    """A leaving target gets no new work after a few seconds."""
    target = fleet.target_by_id[run.drained_target]
    limit = run.drain_started_at + DRAINED_WITHIN_S
    before = [s.at for s in target.seen if s.at <= run.drain_started_at]
    after = [s.at for s in target.seen if s.at > limit]
    return Verdict(
        "draining targets get no new requests",
        f"{len(before)} requests before its start, {len(after)} later than "
        f"{DRAINED_WITHIN_S:.0f} s after it",
        len(after) + (not before),
    )


@_check
def planned_stop(
    fleet: fleet_module.LocalFleet,
    journal: callers.Journal,
    run: RunRecord,
) -> Verdict:
    """No request was cut, by the stop of an entry or otherwise."""
    during = [
        r
        for r in journal.records
        if run.stop_began_at <= r.ended_at <= run.stop_ended_at + 2.0
    ]
    cut = [r for r in journal.records if r.code < 0 and r.ended_at > 0]
    names = sorted({r.error for r in cut})
    detail = f" ({', '.join(names)})" if cut else ""
    return Verdict(
        "graceful shutdown drops no request",
        f"{len(during)} requests while an entry stopped, "
        f"{len(cut)} cut{detail}",
        len(cut) + (not during),
    )


@_check
def in_force(
    fleet: fleet_module.LocalFleet,
    journal: callers.Journal,
    run: RunRecord,
) -> Verdict:
    """Accepted revisions are in force soon and never revert."""
    late = sum(elapsed > IN_FORCE_WITHIN_S for elapsed in run.in_force_s)
    reverted = sum(
        later < earlier
        for seen in run.revisions_seen
        for earlier, later in itertools.pairwise(seen)
    )
    return Verdict(
        "configuration converges within 3 s and is monotonic",
        f"{len(run.in_force_s)} revisions, slowest "
        f"{max(run.in_force_s, default=0):.2f} s; {reverted} reverts",
        late + reverted,
    )


def customers_of(
    configuration: config_records.Configuration,
) -> list[str]:
    """Customer ids, largest rate first."""
    return sorted(
        configuration.customer_by_id,
        key=lambda c: (-configuration.customer_by_id[c].rate_per_s, c),
    )
