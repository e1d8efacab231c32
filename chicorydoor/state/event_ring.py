"""Typed events of one process, stamped by a hybrid logical clock.

A stamp is milliseconds since the epoch shifted left by 16 bits plus a
counter. Stamps travel with peer messages, so that an effect never has a
lower stamp than its cause although the clocks of instances differ.

Example:
    >>> class Fixed:
    ...     def now(self): return 0.0
    ...     def wall(self): return 1.0
    >>> stamps = HybridClock(Fixed())
    >>> first, second = stamps.next(), stamps.next()
    >>> second > first
    True
"""

import collections
from collections import abc
import heapq

from chicorydoor.protocol import event as event_module
from chicorydoor.protocol import ids
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

EventKind = event_module.EventKind
Event = event_module.Event
_REQUEST_KINDS = frozenset(
    {
        EventKind.LOOKED_UP,
        EventKind.RECEIVED,
        EventKind.FORWARDED,
        EventKind.SENT,
        EventKind.FINISHED,
    }
)

_COUNTER_BITS = 16
_MILLISECONDS = 1000


def stamp_seconds(stamp: int) -> float:
    """Seconds since the epoch of a stamp."""
    return (stamp >> _COUNTER_BITS) / _MILLISECONDS


class HybridClock:
    """Stamps that never go back.

    Args:
        clock (Clock): Its wall time is followed.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._latest = 0

    def next(self) -> int:
        """A stamp higher than all before."""
        wall = int(self._clock.wall() * _MILLISECONDS) << _COUNTER_BITS
        self._latest = max(self._latest + 1, wall)
        return self._latest

    def merge(self, stamp: int) -> None:
        """Take note of another process's stamp."""
        self._latest = max(self._latest, stamp)


class EventRing:
    """The latest events of a process.

    Args:
        instance (str): The process's instance id.
        clock (Clock): For the stamps.
        request_events (int): Events of requests that are kept. Defaults to
            6,000.
        state_events (int): Other events that are kept. Defaults to 2,000;
            they are not driven out by requests.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        clock: clock_module.Clock,
        request_events: int = 6_000,
        state_events: int = 2_000,
    ) -> None:
        self._instance = instance
        self.stamps = HybridClock(clock)
        self._of_requests: collections.deque[Event] = collections.deque(
            maxlen=request_events
        )
        self._of_states: collections.deque[Event] = collections.deque(
            maxlen=state_events
        )

    def add(
        self,
        kind: EventKind,
        *,
        request_id: str = "",
        customer: str = "",
        revision: int = 0,
        subject: str = "",
        detail: str = "",
    ) -> None:
        """Record an event now."""
        is_request = kind in _REQUEST_KINDS
        ring = self._of_requests if is_request else self._of_states
        if len(ring) == ring.maxlen:
            metrics.EVENTS_DROPPED.inc()
        event = Event(
            self.stamps.next(),
            self._instance,
            kind,
            request_id,
            customer,
            revision,
            subject,
            detail,
        )
        ring.append(event)

    def latest(self, since: int, limit: int) -> list[Event]:
        """Events with a higher stamp, oldest first.

        Args:
            since (int): Exclusive lower bound.
            limit (int): Most events returned; the latest win.
        """
        found = heapq.merge(
            _after(self._of_requests, since),
            _after(self._of_states, since),
            key=lambda event: event.stamp,
        )
        return list(found)[-limit:]


def _after(ring: collections.deque[Event], since: int) -> list[Event]:
    found: list[Event] = []
    for event in reversed(ring):
        if event.stamp <= since:
            break
        found.append(event)
    found.reverse()
    return found


def merge(rings: abc.Iterable[abc.Iterable[Event]]) -> list[Event]:
    """Events of several processes in causal order."""
    events = [event for ring in rings for event in ring]
    return sorted(events, key=lambda event: (event.stamp, event.instance))
