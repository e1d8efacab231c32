"""Weighted distribution of a route's requests over services."""

from collections import abc

from chicorydoor.protocol import ids
from chicorydoor.protocol import serving_config


class ServiceSplit:
    """Smooth weighted round robin for each route."""

    def __init__(self) -> None:
        self._credit_by_route: dict[
            ids.RouteId, dict[ids.ServiceId, float]
        ] = {}

    def choose_service(
        self, route: serving_config.RouteConfig
    ) -> ids.ServiceId:
        """Choose the service for a route's next request."""
        services = route.weighted_services
        if len(services) == 1:
            return services[0].service_id
        credit_by_service = self._next_credits(route)
        chosen = _richest(credit_by_service)
        total = sum(service.weight for service in services)
        credit_by_service[chosen] -= total
        self._credit_by_route[route.route_id] = credit_by_service
        return chosen

    def peek_service(self, route: serving_config.RouteConfig) -> ids.ServiceId:
        """Return the service that the next request will get."""
        services = route.weighted_services
        if len(services) == 1:
            return services[0].service_id
        return _richest(self._next_credits(route))

    def _next_credits(
        self, route: serving_config.RouteConfig
    ) -> dict[ids.ServiceId, float]:
        """Return the credits of the services for the next choice."""
        services = route.weighted_services
        service_ids = [service.service_id for service in services]
        known = self._credit_by_route.get(route.route_id)
        if known is None or list(known) != service_ids:
            known = dict.fromkeys(service_ids, 0.0)
        credit_by_service = dict(known)
        for service in services:
            credit_by_service[service.service_id] += service.weight
        return credit_by_service


def _richest(
    credit_by_service: abc.Mapping[ids.ServiceId, float],
) -> ids.ServiceId:
    return max(
        credit_by_service,
        key=lambda service_id: credit_by_service[service_id],
    )
