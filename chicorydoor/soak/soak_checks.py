"""Checks of a soak run against what callers and targets observed.

A check returns examples of violations; none means that it holds. An order is
a request that must not be repeated.
"""

import collections
from collections import abc
import math

import msgspec

from chicorydoor.policies import registry
from chicorydoor.soak import sliding_windows
from chicorydoor.soak import soak_site
from chicorydoor.soak import soak_traffic
from chicorydoor.standins import platform_site
from chicorydoor.standins import platform_target

# Statuses with which an entry says that the request was not executed.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_RATE_WINDOW_S = 5.0
# Requests may be on their way for so long after their callers have left; a
# slow link delays them by 0.2 s.
_ON_THE_WAY_S = 0.5
# Requests of a run that may be later: a pause may begin between the entry's
# look at the caller's connection and the send.
_MAX_LATE_SENDS = 3


class Observations(msgspec.Struct):
    """Everything that callers and targets observed in a run.

    Args:
        records (list): Requests of the callers, with their answers.
        executions (list): Requests that targets began to execute.
        late_execution_count (int): Number of executions at leaving targets
            after all faults had ended and the recovery time had passed.
        final_requests (list): Last requests after that time: one to each entry
            with each withdrawn key and one with a valid key.
        withdrawn_keys (list): Keys that were withdrawn in the run.
    """

    records: list[soak_traffic.RequestRecord]
    executions: list[platform_target.Execution]
    late_execution_count: int
    final_requests: list[soak_traffic.RequestRecord]
    withdrawn_keys: list[str]


Check = abc.Callable[[Observations], list[str]]
CHECKS: registry.Registry[Check] = registry.Registry("check")


def _customer_of(key: str) -> str:
    return key.rpartition("-")[0]


@CHECKS.register("an order runs at most once")
def _orders_run_repeatedly(observed: Observations) -> list[str]:
    runs = collections.Counter(
        execution.request_id for execution in observed.executions
    )
    orders = [
        record.request_id for record in observed.records if record.is_order
    ]
    return [name for name in orders if runs[name] > 1]


@CHECKS.register("a refusal that says not run is true")
def _refused_orders_that_ran(observed: Observations) -> list[str]:
    ran = {execution.request_id for execution in observed.executions}
    return [
        record.request_id
        for record in observed.records
        if record.is_order
        and record.status in _NOT_RUN_STATUSES
        and record.request_id in ran
    ]


@CHECKS.register("answers are whole and belong to their request")
def _wrong_answers(observed: Observations) -> list[str]:
    return [
        record.request_id
        for record in observed.records
        if record.status == 200
        and record.body != platform_target.response_body(record.request_id)
    ]


@CHECKS.register("requests run for the customer of their key")
def _requests_of_wrong_customer(observed: Observations) -> list[str]:
    key_by_request = {
        record.request_id: record.key for record in observed.records
    }
    return [
        execution.request_id
        for execution in observed.executions
        if execution.customer
        != _customer_of(key_by_request[execution.request_id])
    ]


@CHECKS.register("no target sees a key")
def _requests_with_key(observed: Observations) -> list[str]:
    return [
        execution.request_id
        for execution in observed.executions
        if execution.has_key
    ]


@CHECKS.register("a withdrawn key that was refused once stays refused")
def _accepted_again_after_refusal(observed: Observations) -> list[str]:
    refused_at: dict[tuple[str, int, str], float] = {}
    for record in observed.records:
        if record.status == 401:
            process_and_key = (record.entry, record.start_number, record.key)
            refused_at.setdefault(process_and_key, record.sent_at)
    # Records hold the time of sending: a request that was sent up to 1 s after
    # a refused one may have been decided before it.
    return [
        record.request_id
        for record in observed.records
        if record.status == 200
        and record.sent_at
        > refused_at.get(
            (record.entry, record.start_number, record.key), float("inf")
        )
        + 1
    ]


@CHECKS.register("rates hold over all entries")
def _exceeded_rates(observed: Observations) -> list[str]:
    broken = []
    for customer in soak_site.CUSTOMERS:
        if customer.rate_per_s <= 0:
            continue
        peak = sliding_windows.max_events_in_window(
            (
                execution.started_at
                for execution in observed.executions
                if execution.customer == customer.name
            ),
            _RATE_WINDOW_S,
        )
        # The burst of a customer is one second of its rate.
        limit = customer.rate_per_s * (_RATE_WINDOW_S + 1.0)
        limit *= 1 + platform_site.RATE_OVERAGE
        if peak > limit + platform_site.RATE_SLACK:
            broken.append(f"{customer.name}: {peak} in {_RATE_WINDOW_S:g} s")
    return broken


@CHECKS.register("nothing is sent on for callers that have left")
def _executions_for_absent_callers(observed: Observations) -> list[str]:
    left_at_by_id = {
        record.request_id: record.left_at
        for record in observed.records
        if record.left_at is not None
    }
    late = [
        execution.request_id
        for execution in observed.executions
        if execution.started_at
        > left_at_by_id.get(execution.request_id, math.inf) + _ON_THE_WAY_S
    ]
    return late if len(late) > _MAX_LATE_SENDS else []


# "All is well" means: all faults have ended and the recovery time has passed.


@CHECKS.register("leaving targets get nothing once all is well")
def _late_executions(observed: Observations) -> list[str]:
    return ["late"] * observed.late_execution_count


@CHECKS.register("the newest configuration is in force once all is well")
def _wrong_key_decisions(observed: Observations) -> list[str]:
    return [
        f"{record.entry}: {record.status} for {record.key}"
        for record in observed.final_requests
        if (record.status == 401) != (record.key in observed.withdrawn_keys)
    ]


@CHECKS.register("every entry serves once all is well")
def _entries_not_serving(observed: Observations) -> list[str]:
    return [
        f"{record.entry}: {record.status}"
        for record in observed.final_requests
        if record.key not in observed.withdrawn_keys and record.status != 200
    ]
