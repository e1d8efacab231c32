"""Admission control: whether a request is sent where it has to wait.

It answers a load above the capacity of a service. There, a request that waits
until it is late holds a slot that another one could use in time, and the queue
that it joins makes the next ones late as well. Such a request is refused at
once, while its caller has time left to come back.
"""

import typing

# Part of the objective that is kept for errors of an estimate. Under lasting
# overload the queue is as long as admission allows, so without it half of the
# requests would be late.
_RESERVE = 0.1
# A request that is late even without waiting, for example because no target
# has its object cached, loads the object for those that follow. It is sent if
# it waits at most this part of the objective.
_MAX_WAIT_IF_LATE_ANYWAY = 0.5
# Callers that are refused return between these parts of the wait that they
# would have had, so that they do not all return at once.
_EARLIEST_RETURN, _LATEST_RETURN = 0.5, 1.5
# A shorter Retry-After would bring callers back before anything has changed.
_MIN_RETRY_AFTER_S = 0.05


class Expectation(typing.NamedTuple):
    """What is expected of a request at the best target; times in seconds.

    Args:
        elapsed_s (float): Time since the request arrived.
        latency_s (float): Measured time until the response, with the wait.
        wait_s (float): The part of it spent waiting for a slot.
        objective_s (float): Latency objective of the route.
    """

    elapsed_s: float
    latency_s: float
    wait_s: float
    objective_s: float


def admits(expected: Expectation) -> bool:
    """Return whether a request is to be sent rather than refused.

    Args:
        expected (Expectation): What is expected at the best target. Estimates
            that no measurement backs must not be part of it.
    """
    if expected.wait_s <= 0:
        return True
    total_s = expected.elapsed_s + expected.latency_s
    if total_s <= (1.0 - _RESERVE) * expected.objective_s:
        return True
    if total_s - expected.wait_s <= expected.objective_s:
        return False
    return expected.wait_s <= _MAX_WAIT_IF_LATE_ANYWAY * expected.objective_s


def retry_after_s(expected: Expectation, fraction: float) -> float:
    """Return when the caller of a refused request may come back.

    Args:
        expected (Expectation): What was expected of the request.
        fraction (float): Random number from 0 to 1.

    Returns:
        Seconds.
    """
    part = _EARLIEST_RETURN + fraction * (_LATEST_RETURN - _EARLIEST_RETURN)
    return max(_MIN_RETRY_AFTER_S, part * expected.wait_s)
