"""Builders for the types that serving decisions use."""

from chicorydoor.protocol import ids
from chicorydoor.protocol import serving

REGION_BY_DOMAIN = {"na": "n", "nb": "n", "ma": "m", "mb": "m", "ka": "k"}


def route(name="read", service="svc", **changes):
    """A route that may be repeated, with one service."""
    values = {
        "route_id": ids.RouteId(name),
        "host": "shop.example",
        "prefix": f"/{name}/",
        "parts": (serving.ServicePart(ids.ServiceId(service), 1.0),),
        "is_repeatable": True,
        "timeout_s": 2.0,
        "objective_s": 0.4,
        "attempt_limit": 2,
        "priority": 1,
        "has_affinity": True,
    }
    return serving.RouteRule(**(values | changes))


def service(name="svc", **changes):
    """A service."""
    values = {
        "service_id": ids.ServiceId(name),
        "health_path": "/health",
        "connection_limit": 100,
        "cold_s": 3.0,
        "cold_rate_per_s": 10.0,
    }
    return serving.ServiceRule(**(values | changes))


def customer(name="kivuli", **changes):
    """A customer."""
    values = {
        "customer_id": ids.CustomerId(name),
        "priority": None,
        "rate_per_s": 0.0,
        "burst": 0.0,
    }
    return serving.CustomerRule(**(values | changes))


def record(name, domain="na", service="svc", **changes):
    """A target's registration."""
    values = {
        "target_id": ids.TargetId(name),
        "service_id": ids.ServiceId(service),
        "address": "127.0.0.1:1",
        "domain": ids.DomainId(domain),
        "slots": 4,
        "standing": serving.TargetStanding.READY,
        "started_ms": 1,
    }
    return serving.TargetRecord(**(values | changes))
