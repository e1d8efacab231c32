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
        credit_by_service = self._get_credits(route.route_id, services)
        total = sum(service.weight for service in services)
        for service in services:
            credit_by_service[service.service_id] += service.weight
        chosen = max(
            credit_by_service,
            key=lambda service_id: credit_by_service[service_id],
        )
        credit_by_service[chosen] -= total
        return chosen

    def _get_credits(
        self,
        route_id: ids.RouteId,
        services: abc.Sequence[serving_config.WeightedService],
    ) -> dict[ids.ServiceId, float]:
        credit_by_service = self._credit_by_route.get(route_id)
        service_ids = [service.service_id for service in services]
        if credit_by_service is None or list(credit_by_service) != service_ids:
            credit_by_service = dict.fromkeys(service_ids, 0.0)
            self._credit_by_route[route_id] = credit_by_service
        return credit_by_service
