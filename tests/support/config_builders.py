"""Builders of serving rules and registrations with default values.

Keyword arguments override fields of the built record.
"""

from chicorydoor.protocol import ids
from chicorydoor.protocol import serving_config

REGION_BY_DOMAIN = {"na": "n", "nb": "n", "ma": "m", "mb": "m", "ka": "k"}


def route(name="read", service="svc", **overrides):
    """A route rule with repeatable requests and one service."""
    values = {
        "route_id": ids.RouteId(name),
        "host": "shop.example",
        "prefix": f"/{name}/",
        "parts": (
            serving_config.WeightedService(ids.ServiceId(service), 1.0),
        ),
        "is_repeatable": True,
        "timeout_s": 2.0,
        "objective_s": 0.4,
        "attempt_limit": 2,
        "priority": 1,
        "has_affinity": True,
    }
    return serving_config.RouteConfig(**(values | overrides))


def service(name="svc", **overrides):
    """A service rule."""
    values = {
        "service_id": ids.ServiceId(name),
        "health_path": "/health",
        "connection_limit": 100,
        "cold_s": 3.0,
        "cold_rate_per_s": 10.0,
    }
    return serving_config.ServiceConfig(**(values | overrides))


def customer(name="kivuli", **overrides):
    """A customer rule without a rate limit."""
    values = {
        "customer_id": ids.CustomerId(name),
        "priority": None,
        "rate_per_s": 0.0,
        "burst": 0.0,
    }
    return serving_config.CustomerConfig(**(values | overrides))


def record(name, domain="na", service="svc", **overrides):
    """A target's registration, in state READY."""
    values = {
        "target_id": ids.TargetId(name),
        "service_id": ids.ServiceId(service),
        "address": "127.0.0.1:1",
        "domain": ids.DomainId(domain),
        "slots": 4,
        "standing": serving_config.TargetLifecycle.READY,
        "started_ms": 1,
    }
    return serving_config.TargetRegistration(**(values | overrides))
