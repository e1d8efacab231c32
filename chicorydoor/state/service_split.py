"""Distributes a route's requests over services by weight."""

from collections import abc

from chicorydoor.protocol import ids
from chicorydoor.protocol import serving


class ServiceSplit:
    """Smooth weighted round robin for each route."""

    def __init__(self) -> None:
        self._credit_by_route: dict[
            ids.RouteId, dict[ids.ServiceId, float]
        ] = {}

    def next_service(self, route: serving.RouteRule) -> ids.ServiceId:
        """The service of the route's next request."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service_id
        credits = self._credits(route.route_id, parts)
        total = sum(part.weight for part in parts)
        for part in parts:
            credits[part.service_id] += part.weight
        chosen = max(credits, key=lambda service_id: credits[service_id])
        credits[chosen] -= total
        return chosen

    def _credits(
        self, route_id: ids.RouteId, parts: abc.Sequence[serving.ServicePart]
    ) -> dict[ids.ServiceId, float]:
        credits = self._credit_by_route.get(route_id)
        names = [part.service_id for part in parts]
        if credits is None or list(credits) != names:
            credits = dict.fromkeys(names, 0.0)
            self._credit_by_route[route_id] = credits
        return credits
