"""Average processing times of routes over all targets, from answers."""

from chicorydoor.protocol import ids
from chicorydoor.protocol import serving_config

# Weight of an observation in the moving averages.
_OBSERVATION_WEIGHT = 0.05
# Estimates until the first measurement, relative to the route's objective: a
# target that has the object in its cache is expected to be well below the
# objective, another one a little above it.
_INITIAL_CACHED_FACTOR = 0.4
_INITIAL_UNCACHED_FACTOR = 1.2


class ProcessingTimes:
    """Moving averages of the processing time by route, in seconds.

    Each route has two: for cached objects and for others.
    """

    def __init__(self) -> None:
        self._cached_s_by_route: dict[ids.RouteId, float] = {}
        self._uncached_s_by_route: dict[ids.RouteId, float] = {}

    def expected_s(
        self, route: serving_config.RouteConfig, is_cached: bool
    ) -> float:
        """Expected processing time of a request at a target, in seconds.

        Args:
            route (RouteConfig): The request's route.
            is_cached (bool): Whether the target has the object in its cache.
        """
        if is_cached:
            initial_s = _INITIAL_CACHED_FACTOR * route.latency_objective_s
            return self._cached_s_by_route.get(route.route_id, initial_s)
        initial_s = _INITIAL_UNCACHED_FACTOR * route.latency_objective_s
        return self._uncached_s_by_route.get(route.route_id, initial_s)

    def record(
        self,
        route: serving_config.RouteConfig,
        is_cached: bool,
        processing_s: float,
    ) -> None:
        """Record the processing time of a request.

        Args:
            route (RouteConfig): The request's route.
            is_cached (bool): Whether the target had the object in its cache.
            processing_s (float): Time in seconds at a target with a free slot,
                so without waiting.
        """
        average_by_route = (
            self._cached_s_by_route if is_cached else self._uncached_s_by_route
        )
        average = self.expected_s(route, is_cached)
        average += _OBSERVATION_WEIGHT * (processing_s - average)
        average_by_route[route.route_id] = average
