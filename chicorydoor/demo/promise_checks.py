"""Checks of what the system promises, on the records of a demo run."""

import collections
from collections import abc
import itertools

import msgspec

from chicorydoor.demo import callers
from chicorydoor.protocol import config_records
from chicorydoor.standins import local_fleet
from chicorydoor.state import event_ring

KEY_WITHDRAWAL_LIMIT_S = 3.0
IN_FORCE_LIMIT_S = 3.0
DRAIN_LIMIT_S = 2.0


class Verdict(msgspec.Struct, frozen=True):
    """The result of checking one promise.

    Args:
        promise (str): What the system promises.
        tried (str): What was measured, as evidence.
        broken (int): Number of violations found; an action that never
            happened in the run counts as one.
    """

    promise: str
    tried: str
    broken: int


class RunRecord(msgspec.Struct):
    """Actions and observations of a demo run.

    Points in time are in seconds on the event loop's clock and 0 until set.

    Args:
        withdrawn_key (str): API key that the run withdraws.
        withdrawn_at (float): When the withdrawal was accepted.
        drained_target (str): Id of the target that the run drains.
        drain_started_at (float): Planned start of the drain.
        stop_began_at (float): When an entry began its graceful shutdown.
        stop_ended_at (float): When that shutdown ended.
        activation_times_s (list): Seconds from each change until it was active
            at every entry.
        sampled_revisions (list): For each entry, its active revisions in
            the order of sampling.
        repeated_orders (list): Records of the orders that were sent twice.
    """

    withdrawn_key: str = ""
    withdrawn_at: float = 0.0
    drained_target: str = ""
    drain_started_at: float = 0.0
    stop_began_at: float = 0.0
    stop_ended_at: float = 0.0
    activation_times_s: list[float] = []
    sampled_revisions: list[list[int]] = []
    repeated_orders: list[list[callers.CallRecord]] = []


Check = abc.Callable[
    [local_fleet.LocalFleet, callers.RequestLog, RunRecord], Verdict
]
_CHECKS: list[Check] = []


def _register_check(function: Check) -> Check:
    _CHECKS.append(function)
    return function


def check_all(
    fleet: local_fleet.LocalFleet,
    request_log: callers.RequestLog,
    run: RunRecord,
) -> list[Verdict]:
    """Run all checks and return their verdicts, in order of definition."""
    return [check(fleet, request_log, run) for check in _CHECKS]


def _count_arrivals_by_id(
    fleet: local_fleet.LocalFleet,
) -> collections.Counter[str]:
    return collections.Counter(
        arrival.request_id
        for target in fleet.target_by_id.values()
        for arrival in target.received_requests
    )


@_register_check
def check_shift_cap(
    fleet: local_fleet.LocalFleet,
    request_log: callers.RequestLog,
    run: RunRecord,
) -> Verdict:
    """Each change of a traffic share stays within the smallest shift cap.

    Shares and the cap are fractions of the traffic, 0 to 1.
    """
    routes = fleet.configuration.route_by_id.values()
    cap = min(route.shift_cap for route in routes)
    steps: list[float] = []
    for entry in fleet.entry_by_id.values():
        for event in entry.parts.events.events_since(0, 100_000):
            if event.kind is event_ring.EventKind.SHIFT_CHANGED:
                before, after = event.detail.split(" to ")
                steps.append(abs(float(after) - float(before)))
    # Events give both shares rounded to two decimals.
    violation_count = sum(step > cap + 0.011 for step in steps)
    return Verdict(
        "traffic shares change within the shift cap",
        f"{len(steps)} steps, largest {max(steps, default=0):.2f}, cap {cap}",
        violation_count,
    )


@_register_check
def check_slot_limits(
    fleet: local_fleet.LocalFleet,
    request_log: callers.RequestLog,
    run: RunRecord,
) -> Verdict:
    """No target ever ran more requests than it has slots."""
    violation_count = sum(
        target.peak_running_count > target.slots
        for target in fleet.target_by_id.values()
    )
    usage = max(
        target.peak_running_count / target.slots
        for target in fleet.target_by_id.values()
    )
    return Verdict(
        "outstanding requests stay within the targets' slots",
        f"{len(fleet.target_by_id)} targets, fullest at {usage:.0%} of slots",
        violation_count,
    )


@_register_check
def check_accepted_keys(
    fleet: local_fleet.LocalFleet,
    request_log: callers.RequestLog,
    run: RunRecord,
) -> Verdict:
    """Targets saw only requests with a key or for a route that needs none."""
    record_by_id = {
        record.request_id: record for record in request_log.records
    }
    violation_count = 0
    total = 0
    for target in fleet.target_by_id.values():
        for arrival in target.received_requests:
            total += 1
            record = record_by_id.get(arrival.request_id)
            # Paths of the open route, which needs no key, contain "catal".
            if record is None or (
                not record.api_key and "catal" not in arrival.path
            ):
                violation_count += 1
    return Verdict(
        "targets see only requests with an accepted key",
        f"{total} requests at targets, each traced to its caller",
        violation_count,
    )


@_register_check
def check_no_key_at_targets(
    fleet: local_fleet.LocalFleet,
    request_log: callers.RequestLog,
    run: RunRecord,
) -> Verdict:
    """No request received by a target contains a key."""
    total = 0
    violation_count = 0
    for target in fleet.target_by_id.values():
        for arrival in target.received_requests:
            total += 1
            content = (
                b"".join(
                    header_name + header_value
                    for header_name, header_value in arrival.headers
                )
                + arrival.body
            )
            violation_count += b"cdk_" in content or "cdk_" in arrival.path
    return Verdict(
        "keys are stripped before targets",
        f"{total} requests searched",
        violation_count,
    )


@_register_check
def check_withdrawn_key(
    fleet: local_fleet.LocalFleet,
    request_log: callers.RequestLog,
    run: RunRecord,
) -> Verdict:
    """The withdrawn key is refused in time, on open connections too."""
    limit = run.withdrawn_at + KEY_WITHDRAWAL_LIMIT_S
    requests_with_key = [
        record
        for record in request_log.records
        if record.api_key == run.withdrawn_key
    ]
    after = [
        record
        for record in requests_with_key
        if record.started_at > run.withdrawn_at
    ]
    served = [record for record in after if record.code == 0]
    last = max(
        (record.started_at for record in served), default=run.withdrawn_at
    )
    violation_count = sum(record.started_at > limit for record in served)
    return Verdict(
        "withdrawn keys are rejected within 3 s",
        f"{len(after)} requests after the withdrawal, last served after "
        f"{last - run.withdrawn_at:.2f} s",
        violation_count + (not after),
    )


@_register_check
def check_rate_limits(
    fleet: local_fleet.LocalFleet,
    request_log: callers.RequestLog,
    run: RunRecord,
) -> Verdict:
    """In any window, admissions are at most rate times length plus burst."""
    violation_count = 0
    highest_use = 0.0
    for customer_id, customer in fleet.configuration.customer_by_id.items():
        times = sorted(
            arrival.at
            for target in fleet.target_by_id.values()
            for arrival in target.received_requests
            if arrival.request_id.startswith(f"{customer_id}-")
        )
        burst = required_burst(times, customer.rate_per_s)
        highest_use = max(highest_use, burst / customer.burst)
        violation_count += burst > customer.burst
    return Verdict(
        "admissions stay within rate limit and burst",
        f"{len(fleet.configuration.customer_by_id)} customers, most of a "
        f"burst used {highest_use:.0%}",
        violation_count,
    )


def required_burst(times: abc.Sequence[float], rate_per_s: float) -> float:
    """Return the smallest burst of a bucket that admits these requests.

    Args:
        times (Sequence): Times of admission, sorted, in seconds.
        rate_per_s (float): Refill rate of the bucket, in tokens per second.

    Example:
        >>> required_burst([0.0, 0.0, 1.0], rate_per_s=1.0)
        2.0
    """
    largest = 0.0
    level = 0.0
    previous = times[0] if times else 0.0
    for at in times:
        level = max(0.0, level - (at - previous) * rate_per_s) + 1.0
        previous = at
        largest = max(largest, level)
    return largest


@_register_check
def check_complete_answers(
    fleet: local_fleet.LocalFleet,
    request_log: callers.RequestLog,
    run: RunRecord,
) -> Verdict:
    """Every response is complete and belongs to its request."""
    answered = [record for record in request_log.records if record.code >= 0]
    return Verdict(
        "answers are complete and correlated",
        f"{len(answered)} answers compared",
        sum(not record.is_complete_and_matching for record in answered),
    )


@_register_check
def check_not_run_refusals(
    fleet: local_fleet.LocalFleet,
    request_log: callers.RequestLog,
    run: RunRecord,
) -> Verdict:
    """No target received a request that was refused as not run."""
    arrival_count_by_id = _count_arrivals_by_id(fleet)
    refused = [
        record for record in request_log.records if record.outcome == "not-run"
    ]
    return Verdict(
        "not-run refusals never reached a target",
        f"{len(refused)} such refusals looked for at the targets",
        sum(arrival_count_by_id[record.request_id] > 0 for record in refused),
    )


@_register_check
def check_at_most_once(
    fleet: local_fleet.LocalFleet,
    request_log: callers.RequestLog,
    run: RunRecord,
) -> Verdict:
    """No order reached targets more than once, whether repeated or not."""
    arrival_count_by_id = _count_arrivals_by_id(fleet)
    orders = [
        record for record in request_log.records if record.method == "POST"
    ]
    violation_count = sum(
        arrival_count_by_id[record.request_id] > 1 for record in orders
    )
    for attempts in run.repeated_orders:
        violation_count += (
            sum(arrival_count_by_id[record.request_id] for record in attempts)
            > 1
        )
    return Verdict(
        "non-repeatable requests run at most once",
        f"{len(orders)} orders, {len(run.repeated_orders)} of them sent twice",
        violation_count,
    )


@_register_check
def check_drained_target(
    fleet: local_fleet.LocalFleet,
    request_log: callers.RequestLog,
    run: RunRecord,
) -> Verdict:
    """A draining target gets no new requests after the limit."""
    target = fleet.target_by_id[run.drained_target]
    limit = run.drain_started_at + DRAIN_LIMIT_S
    before = [
        arrival.at
        for arrival in target.received_requests
        if arrival.at <= run.drain_started_at
    ]
    after = [
        arrival.at
        for arrival in target.received_requests
        if arrival.at > limit
    ]
    return Verdict(
        "draining targets get no new requests",
        f"{len(before)} requests before its start, {len(after)} later than "
        f"{DRAIN_LIMIT_S:.0f} s after it",
        len(after) + (not before),
    )


@_register_check
def check_graceful_shutdown(
    fleet: local_fleet.LocalFleet,
    request_log: callers.RequestLog,
    run: RunRecord,
) -> Verdict:
    """No request lost its connection, through a shutdown or otherwise."""
    # Ended during the shutdown or up to 2 s after it.
    during = [
        record
        for record in request_log.records
        if run.stop_began_at <= record.ended_at <= run.stop_ended_at + 2.0
    ]
    unanswered = [
        record
        for record in request_log.records
        if record.code < 0 and record.ended_at > 0
    ]
    error_names = sorted({record.error for record in unanswered})
    detail = f" ({', '.join(error_names)})" if unanswered else ""
    return Verdict(
        "graceful shutdown drops no request",
        f"{len(during)} requests while an entry stopped, "
        f"{len(unanswered)} cut{detail}",
        len(unanswered) + (not during),
    )


@_register_check
def check_convergence(
    fleet: local_fleet.LocalFleet,
    request_log: callers.RequestLog,
    run: RunRecord,
) -> Verdict:
    """Revisions come into force in time and no entry goes back."""
    late = sum(
        elapsed_s > IN_FORCE_LIMIT_S for elapsed_s in run.activation_times_s
    )
    reverted = sum(
        later < earlier
        for revisions in run.sampled_revisions
        for earlier, later in itertools.pairwise(revisions)
    )
    return Verdict(
        "configuration converges within 3 s and is monotonic",
        f"{len(run.activation_times_s)} revisions, slowest "
        f"{max(run.activation_times_s, default=0):.2f} s; {reverted} reverts",
        late + reverted,
    )


def customers_by_rate(
    configuration: config_records.Configuration,
) -> list[str]:
    """Return the customer ids, largest rate first."""
    return sorted(
        configuration.customer_by_id,
        key=lambda customer_id: (
            -configuration.customer_by_id[customer_id].rate_per_s,
            customer_id,
        ),
    )
