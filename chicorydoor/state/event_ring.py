"""Typed events of one process, stamped by a hybrid logical clock.

A stamp is the milliseconds since the epoch, shifted left by 16 bits, plus a
counter. Peer messages carry stamps, so that an effect never has a lower stamp
than its cause even if the clocks of the instances differ.

Example:
    >>> class Fixed:
    ...     def now(self): return 0.0
    ...     def wall(self): return 1.0
    >>> clock = HybridLogicalClock(Fixed())
    >>> first, second = clock.next_stamp(), clock.next_stamp()
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
_MS_PER_S = 1000


def stamp_seconds(stamp: int) -> float:
    """Wall time of a stamp, seconds since the epoch."""
    return (stamp >> _COUNTER_BITS) / _MS_PER_S


class HybridLogicalClock:
    """Hybrid logical clock with strictly increasing stamps.

    Args:
        clock (Clock): Source of the wall time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._latest = 0

    def next_stamp(self) -> int:
        """Return a new stamp, higher than all before."""
        wall_stamp = int(self._clock.wall() * _MS_PER_S) << _COUNTER_BITS
        self._latest = max(self._latest + 1, wall_stamp)
        return self._latest

    def merge(self, stamp: int) -> None:
        """Advance to the stamp of another process."""
        self._latest = max(self._latest, stamp)


class EventRing:
    """Ring buffers with the latest events of a process.

    Args:
        instance (str): The process's instance id.
        clock (Clock): Source of the wall time for the stamps.
        request_events (int): Capacity for events of requests. Defaults to
            6,000.
        state_events (int): Capacity for other events, separate so that
            requests do not evict them. Defaults to 2,000.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        clock: clock_module.Clock,
        request_events: int = 6_000,
        state_events: int = 2_000,
    ) -> None:
        self._instance = instance
        self.hybrid_clock = HybridLogicalClock(clock)
        self._request_events: collections.deque[Event] = collections.deque(
            maxlen=request_events
        )
        self._state_events: collections.deque[Event] = collections.deque(
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
        """Record an event at the current time.

        Args:
            kind (EventKind): Kind of the event.
            request_id (str): The request, if any. Defaults to none.
            customer (str): The customer, if any. Defaults to none.
            revision (int): The configuration's revision. Defaults to 0 for
                none.
            subject (str): What the event is about: by kind, the id of a
                target, instance, route or failure domain, or a client's
                address. Defaults to none.
            detail (str): Further text. Defaults to none.
        """
        is_request = kind in _REQUEST_KINDS
        ring = self._request_events if is_request else self._state_events
        if len(ring) == ring.maxlen:
            metrics.EVENTS_DROPPED.inc()
        event = Event(
            self.hybrid_clock.next_stamp(),
            self._instance,
            kind,
            request_id,
            customer,
            revision,
            subject,
            detail,
        )
        ring.append(event)

    def events_since(self, since: int, limit: int) -> list[Event]:
        """Events after a stamp, oldest first.

        Args:
            since (int): Stamp, exclusive lower bound.
            limit (int): Maximum number of events, at least 1; the latest are
                returned.
        """
        found = heapq.merge(
            _events_after(self._request_events, since),
            _events_after(self._state_events, since),
            key=lambda event: event.stamp,
        )
        return list(found)[-limit:]


def _events_after(ring: collections.deque[Event], since: int) -> list[Event]:
    found: list[Event] = []
    for event in reversed(ring):
        if event.stamp <= since:
            break
        found.append(event)
    found.reverse()
    return found


def merge_events(rings: abc.Iterable[abc.Iterable[Event]]) -> list[Event]:
    """Merge the events of several processes by stamp.

    That puts no effect before its cause.
    """
    events = [event for ring in rings for event in ring]
    return sorted(events, key=lambda event: (event.stamp, event.instance))
