"""Counts the requests that targets get while they name a rate limit."""

import bisect
import collections

from chicorydoor.protocol import ids


class LimitedArrivals:
    """Arrivals at targets, and when the entries were told a limit."""

    def __init__(self) -> None:
        self._arrivals_by_target: collections.defaultdict[
            ids.TargetId, list[tuple[float, ids.InstanceId]]
        ] = collections.defaultdict(list)
        self._rate_by_target: dict[ids.TargetId, float] = {}
        self._named_at_by_target: dict[ids.TargetId, float] = {}
        self._last_named_at_by_target: dict[ids.TargetId, float] = {}
        self._told_at: dict[tuple[ids.InstanceId, ids.TargetId], float] = {}

    @property
    def limited_targets(self) -> list[ids.TargetId]:
        """The targets that have named a limit."""
        return list(self._rate_by_target)

    def record_arrival(
        self, instance: ids.InstanceId, target_id: ids.TargetId, at: float
    ) -> None:
        """Record a request.

        Args:
            instance (str): The entry that sent it.
            target_id (str): The target.
            at (float): Virtual time of its arrival in seconds.
        """
        self._arrivals_by_target[target_id].append((at, instance))

    def record_limit(
        self,
        instance: ids.InstanceId,
        target_id: ids.TargetId,
        rate_per_s: float,
        named_at: float,
        told_at: float,
    ) -> None:
        """Record a response that names a limit.

        Args:
            instance (str): The entry that got the response.
            target_id (str): The target.
            rate_per_s (float): The limit in requests per second.
            named_at (float): Virtual time of the response in seconds.
            told_at (float): Virtual time at which the entry got it.
        """
        self._rate_by_target[target_id] = rate_per_s
        self._named_at_by_target.setdefault(target_id, named_at)
        self._last_named_at_by_target[target_id] = named_at
        self._told_at.setdefault((instance, target_id), told_at)

    def count(
        self, target_id: ids.TargetId, starts_at: float, ends_at: float
    ) -> int:
        """Return the requests that a target got in a span of time."""
        return sum(
            starts_at <= at < ends_at
            for at, _ in self._arrivals_by_target[target_id]
        )

    def max_over_limit(
        self,
        window_s: float,
        settling_s: float,
        told_before_s: float,
        factor: float,
        slack: float,
    ) -> float:
        """Return the most requests beyond the allowed ones in a window.

        Args:
            window_s (float): Length of the sliding window in seconds.
            settling_s (float): Windows end later than this after a target
                first named its limit, in seconds.
            told_before_s (float): Requests count if their entry was told the
                limit at least this long before, in seconds.
            factor (float): Allowed requests as a multiple of the limit.
            slack (float): Requests allowed in addition.

        Returns:
            float: The excess over all targets and windows; negative if all
                are below what is allowed.
        """
        worst = float("-inf")
        for target_id, rate_per_s in self._rate_by_target.items():
            counted = sorted(
                at
                for at, instance in self._arrivals_by_target[target_id]
                if at <= self._last_named_at_by_target[target_id]
                and at
                >= self._told_at.get((instance, target_id), float("inf"))
                + told_before_s
            )
            allowed = factor * rate_per_s * window_s + slack
            first_end = self._named_at_by_target[target_id] + settling_s
            for index, ends_at in enumerate(counted):
                if ends_at < first_end:
                    continue
                starts = bisect.bisect_left(counted, ends_at - window_s)
                worst = max(worst, index + 1 - starts - allowed)
        return worst
