"""Average processing times of routes over all targets, from answers."""

import collections

from chicorydoor.protocol import ids
from chicorydoor.protocol import serving_config

# Weight of an observation in the moving averages.
_OBSERVATION_WEIGHT = 0.05
# An average without an observation for this long is no evidence any more:
# targets may have become faster since.
_EVIDENCE_VALID_S = 5.0
# Estimates until the first measurement, relative to the route's objective: a
# target that has the object in its cache is expected to be well below the
# objective, another one a little above it.
_INITIAL_CACHED_FACTOR = 0.4
_INITIAL_UNCACHED_FACTOR = 1.2

# A route, and whether the object is cached.
_RouteCase = tuple[ids.RouteId, bool]


class _Average:
    """Moving average of measured processing times, in seconds."""

    __slots__ = ("count", "latest_at", "mean_s")

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.count = 0
        self.latest_at = float("-inf")

    def record(self, processing_s: float, now: float) -> None:
        """Record a measurement; the first few form a plain mean."""
        self.count += 1
        weight = max(_OBSERVATION_WEIGHT, 1 / self.count)
        self.mean_s += weight * (processing_s - self.mean_s)
        self.latest_at = now


class ProcessingTimes:
    """Moving averages of the processing time by route, in seconds.

    Each route has two: for cached objects and for others. The expected time
    starts from an estimate, so that the first few requests do not move many
    others; the measured time has no part of it.
    """

    def __init__(self) -> None:
        self._expected_s: dict[_RouteCase, float] = {}
        self._measured: collections.defaultdict[_RouteCase, _Average] = (
            collections.defaultdict(_Average)
        )

    def expected_s(
        self, route: serving_config.RouteConfig, is_cached: bool
    ) -> float:
        """Expected processing time of a request at a target, in seconds.

        Args:
            route (RouteConfig): The request's route.
            is_cached (bool): Whether the target has the object in its cache.
        """
        factor = (
            _INITIAL_CACHED_FACTOR if is_cached else _INITIAL_UNCACHED_FACTOR
        )
        initial_s = factor * route.latency_objective_s
        return self._expected_s.get((route.route_id, is_cached), initial_s)

    def measured_s(
        self, route: serving_config.RouteConfig, is_cached: bool, now: float
    ) -> float | None:
        """Recently measured processing time of a request, in seconds.

        Args:
            route (RouteConfig): The request's route.
            is_cached (bool): Whether the target has the object in its cache.
            now (float): Current time in seconds.

        Returns:
            The moving average; None without a recent measurement.
        """
        average = self._measured.get((route.route_id, is_cached))
        if average is None or now - average.latest_at > _EVIDENCE_VALID_S:
            return None
        return average.mean_s

    def record(
        self,
        route: serving_config.RouteConfig,
        is_cached: bool,
        processing_s: float,
        now: float,
    ) -> None:
        """Record the processing time of a request.

        Args:
            route (RouteConfig): The request's route.
            is_cached (bool): Whether the target had the object in its cache.
            processing_s (float): Time in seconds at a target with a free slot,
                so without waiting.
            now (float): Current time in seconds.
        """
        expected_s = self.expected_s(route, is_cached)
        expected_s += _OBSERVATION_WEIGHT * (processing_s - expected_s)
        self._expected_s[route.route_id, is_cached] = expected_s
        self._measured[route.route_id, is_cached].record(processing_s, now)
