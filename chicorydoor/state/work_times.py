"""How long requests of a route take at a target, learned from answers."""

from chicorydoor.protocol import ids
from chicorydoor.protocol import serving

_OBSERVATION_WEIGHT = 0.05
# First guesses relative to the objective: a target that knows the object
# meets it easily, one that does not misses it by a little.
_FIRST_KNOWN = 0.4
_FIRST_UNKNOWN = 1.2


class WorkTimes:
    """Moving averages for each route, in seconds."""

    def __init__(self) -> None:
        self._known_s_by_route: dict[ids.RouteId, float] = {}
        self._unknown_s_by_route: dict[ids.RouteId, float] = {}

    def expected_s(self, route: serving.RouteRule, is_known: bool) -> float:
        """Time that a target works on a request.

        Args:
            route (RouteRule): The request's route.
            is_known (bool): Whether it handled the object lately.
        """
        if is_known:
            first = _FIRST_KNOWN * route.objective_s
            return self._known_s_by_route.get(route.route_id, first)
        first = _FIRST_UNKNOWN * route.objective_s
        return self._unknown_s_by_route.get(route.route_id, first)

    def note(
        self, route: serving.RouteRule, is_known: bool, work_s: float
    ) -> None:
        """Take in the time of a request at a target with a free slot."""
        by_route = (
            self._known_s_by_route if is_known else self._unknown_s_by_route
        )
        average = self.expected_s(route, is_known)
        average += _OBSERVATION_WEIGHT * (work_s - average)
        by_route[route.route_id] = average
