"""Keeps idle connections to the targets of other regions that are in use.

Opening a connection to another region takes a round trip before the request
can be sent, as long as the request itself travels. With many entries each one
sends to a certain target seldom, so that without this nearly every request to
another region would have to open a connection.
"""

import asyncio
import collections
from collections import abc
import contextlib

from chicorydoor import errors
from chicorydoor.coordination import target_sender
from chicorydoor.protocol import ids
from chicorydoor.state import target_views
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

# A nearer region is reached before it matters to a caller.
_MIN_ROUND_TRIP_S = 0.02
# A service's targets of a region are in use if this many of them got a request
# of this entry within the time; fewer are requests that avoid an overload.
_MIN_USED_TARGETS = 3
_USED_WITHIN_S = 4.0
# A connection that will not be reused for this long from now on is replaced.
# It covers the time between two checks and a round trip.
_REPLACED_BEFORE_S = 0.5
# Where connections are dropped or closed sooner, opening them ahead costs more
# than it saves.
_MIN_TRUSTED_S = 3.0
_CONNECT_TIMEOUT_S = 0.7
# Bounds the connections opened in one check, so that a lost region does not
# make an entry open hundreds at once.
_MAX_OPENED_PER_CHECK = 12

_TargetGroup = tuple[ids.ServiceId, ids.RegionId]


class StandbyConnections:
    """Opens connections ahead of the requests that will use them.

    Args:
        targets (TargetViews): The known targets.
        sender (TargetSender): Holds the connections.
        round_trip_s (callable): Returns the round-trip time to a region in
            seconds.
        clock (Clock): Source of time.
    """

    def __init__(
        self,
        targets: target_views.TargetViews,
        sender: target_sender.TargetSender,
        round_trip_s: abc.Callable[[ids.RegionId], float],
        clock: clock_module.Clock,
    ) -> None:
        self._targets = targets
        self._sender = sender
        self._round_trip_s = round_trip_s
        self._clock = clock
        self._task_by_target: dict[ids.TargetId, asyncio.Task[None]] = {}

    def refresh(self) -> None:
        """Open connections to the targets in use that lack an idle one.

        Only where the decisions for overload apply.
        """
        now = self._clock.now()
        if (
            not self._targets.decides_for_overload
            or self._sender.idle_limit.limit_s(now) < _MIN_TRUSTED_S
        ):
            return
        distant = [
            view
            for view in self._targets.all_usable_targets()
            if self._round_trip_s(view.region) >= _MIN_ROUND_TRIP_S
        ]
        used_groups = self._used_groups(distant, now)
        opened = 0
        for view in distant:
            if opened >= _MAX_OPENED_PER_CHECK:
                return
            if _group(view) in used_groups and self._lacks_connection(view):
                opened += 1
                task = asyncio.create_task(self._open(view))
                self._task_by_target[view.target_id] = task

    def _used_groups(
        self, views: abc.Iterable[target_views.TargetView], now: float
    ) -> set[_TargetGroup]:
        counts = collections.Counter(
            _group(view)
            for view in views
            if now - view.last_sent_at < _USED_WITHIN_S
        )
        return {
            group
            for group, count in counts.items()
            if count >= _MIN_USED_TARGETS
        }

    def _lacks_connection(self, view: target_views.TargetView) -> bool:
        now = self._clock.now()
        if (
            view.target_id in self._task_by_target
            or view.own_requests_in_flight > 0
            or view.is_cold(now)
            or self._sender.permits.is_at_rest(view, now)
        ):
            return False
        limit_s = self._sender.idle_limit_s(view.record.service_id)
        return limit_s >= _MIN_TRUSTED_S and not self._sender.connection_pool(
            view
        ).has_idle(_REPLACED_BEFORE_S, self._sender.idle_limit.limit_s(now))

    async def _open(self, view: target_views.TargetView) -> None:
        idle_limit_s = self._sender.idle_limit_s(view.record.service_id)
        try:
            with contextlib.suppress(errors.TargetError):
                await self._sender.connection_pool(view).open_idle(
                    _CONNECT_TIMEOUT_S, idle_limit_s, view.record.slots
                )
                metrics.STANDBY_CONNECTIONS.inc()
        finally:
            del self._task_by_target[view.target_id]


def _group(view: target_views.TargetView) -> _TargetGroup:
    return view.record.service_id, view.region
