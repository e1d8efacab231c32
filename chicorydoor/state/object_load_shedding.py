"""Load shedding by object at overloaded targets for region-bound requests.

A large customer may be bound to a region with few targets and request more
objects than their caches hold. Every request is then a cache miss at full
cost, and nearly all requests are refused or late. This module admits only
the requests for a share of the objects that fits into the caches. All entries
choose the objects by the same hash, and each entry adapts its own share, so
that their choices overlap. Several times as many requests are then served in
total. The share shrinks while queues stay long and grows while they are short,
slowly near the share at which they were last long.
"""

import copy

from chicorydoor.protocol import ids

_INITIAL_SHARE = 0.4
_MIN_SHARE = 0.05
_SHRINK_FACTOR = 0.7
_GROWTH_PER_INTERVAL = 0.05
_GROWTH_NEAR_OVERLOAD_PER_INTERVAL = 0.01
# Growth is slow from this fraction of the last overloaded share on.
_NEAR_OVERLOAD_FACTOR = 0.7
# The last overloaded share is dropped after this time, since load and targets
# have changed.
_OVERLOADED_SHARE_TTL_S = 15.0
# A queue is long if its wait exceeds this fraction of the objective.
_LONG_WAIT_FACTOR = 0.5
# Fractions of an interval's requests that met a long queue: shedding starts
# from the first on, the share shrinks above the second and grows below the
# third.
_START_LONG_FRACTION = 0.5
_SHRINK_LONG_FRACTION = 0.3
_GROW_LONG_FRACTION = 0.1
# The share is adjusted once per interval. An interval lasts at least this long
# and has at least so many requests.
_INTERVAL_S = 1.0
_MIN_REQUESTS = 3
# Shedding starts only after an overload of this length: a cold start or a
# short burst is over by then.
_START_DELAY_S = 1.5
# Targets need this long to cache the objects of a smaller share.
_SETTLING_S = 3.0


class _TargetShedding:
    """One target's admitted share and its queue in the current interval.

    ``last_overloaded_share`` is the share at which queues were last long;
    infinite if this is too long ago.
    """

    __slots__ = (
        "admitted",
        "interval_start",
        "last_overloaded_at",
        "last_overloaded_share",
        "long_waits",
        "overloaded_since",
        "settling_until",
        "share",
    )

    def __init__(self, now: float) -> None:
        self.share = 1.0
        self.admitted = 0
        self.long_waits = 0
        self.interval_start = now
        self.overloaded_since: float | None = None
        self.settling_until = now
        self.last_overloaded_share = float("inf")
        self.last_overloaded_at = now

    def record_request(self, is_long: bool, now: float) -> None:
        """Record an admitted request; adjusts the share once per interval.

        Args:
            is_long (bool): Whether the request met a long queue.
            now (float): Current time in seconds.
        """
        self.admitted += 1
        self.long_waits += is_long
        if (
            now - self.interval_start < _INTERVAL_S
            or self.admitted < _MIN_REQUESTS
        ):
            return
        long_fraction = self.long_waits / self.admitted
        if self.share >= 1.0:
            self._start_if_overloaded(long_fraction, now)
        elif now >= self.settling_until:
            self._adjust_share(long_fraction, now)
        self.admitted = self.long_waits = 0
        self.interval_start = now

    def _start_if_overloaded(self, long_fraction: float, now: float) -> None:
        """Start to shed when the overload lasts."""
        if long_fraction < _START_LONG_FRACTION:
            self.overloaded_since = None
            return
        if self.overloaded_since is None:
            self.overloaded_since = self.interval_start
        if now - self.overloaded_since >= _START_DELAY_S:
            self.share = _INITIAL_SHARE
            self.settling_until = now + _SETTLING_S

    def _adjust_share(self, long_fraction: float, now: float) -> None:
        if now - self.last_overloaded_at > _OVERLOADED_SHARE_TTL_S:
            self.last_overloaded_share = float("inf")
        if long_fraction > _SHRINK_LONG_FRACTION:
            self.last_overloaded_share, self.last_overloaded_at = (
                self.share,
                now,
            )
            self.share = max(_MIN_SHARE, self.share * _SHRINK_FACTOR)
            self.settling_until = now + _SETTLING_S
        elif long_fraction < _GROW_LONG_FRACTION:
            is_near = (
                self.share
                >= _NEAR_OVERLOAD_FACTOR * self.last_overloaded_share
            )
            self.share += (
                _GROWTH_NEAR_OVERLOAD_PER_INTERVAL
                if is_near
                else _GROWTH_PER_INTERVAL
            )
            if self.share >= 1.0:
                self.share, self.overloaded_since = 1.0, None


class ObjectLoadShedding:
    """Admitted shares of the objects at overloaded targets, for one entry."""

    def __init__(self) -> None:
        self._shedding_by_target: dict[ids.TargetId, _TargetShedding] = {}

    def admits(
        self,
        target_id: ids.TargetId,
        object_hash: float,
        expected_wait_s: float,
        latency_objective_s: float,
        now: float,
    ) -> bool:
        """Whether to send a request that no other region can serve.

        Records the queue that an admitted request meets.

        Args:
            target_id (str): The target.
            object_hash (float): Hash of the object, the same on every entry;
                at least 0 and below 1.
            expected_wait_s (float): Expected time until a slot is free,
                seconds.
            latency_objective_s (float): The route's latency objective,
                seconds.
            now (float): Current time in seconds.
        """
        shedding = self._shedding_by_target.get(target_id)
        if shedding is None:
            shedding = self._shedding_by_target[target_id] = _TargetShedding(
                now
            )
        if object_hash >= shedding.share:
            return False
        shedding.record_request(
            expected_wait_s > _LONG_WAIT_FACTOR * latency_objective_s, now
        )
        return True

    def copy(self) -> "ObjectLoadShedding":
        """Return a copy that records nothing in this one."""
        copied = ObjectLoadShedding()
        copied._shedding_by_target = {
            target_id: copy.copy(shedding)
            for target_id, shedding in self._shedding_by_target.items()
        }
        return copied

    def is_shedding(self, target_id: ids.TargetId) -> bool:
        """Whether only a share of the objects is admitted at a target."""
        shedding = self._shedding_by_target.get(target_id)
        return shedding is not None and shedding.share < 1.0

    def remove_unknown(self, known: set[ids.TargetId]) -> None:
        """Remove the state of targets that are not known any more."""
        for target_id in self._shedding_by_target.keys() - known:
            del self._shedding_by_target[target_id]
