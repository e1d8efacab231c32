"""Builders of serving configurations and registrations with default values.

Keyword arguments override fields of the built record. Times are in seconds
unless the field's name says otherwise, rates are per second.
"""

from chicorydoor.protocol import ids
from chicorydoor.protocol import serving_config

REGION_BY_DOMAIN = {"na": "n", "nb": "n", "ma": "m", "mb": "m", "ka": "k"}


def build_route_config(name="read", service="svc", **overrides):
    """A route with idempotent requests and one service."""
    values = {
        "route_id": ids.RouteId(name),
        "host": "shop.example",
        "prefix": f"/{name}/",
        "weighted_services": (
            serving_config.WeightedService(ids.ServiceId(service), 1.0),
        ),
        "is_idempotent": True,
        "timeout_s": 2.0,
        "latency_objective_s": 0.4,
        "max_attempts": 2,
        "priority": 1,
        "uses_affinity": True,
    }
    return serving_config.RouteConfig(**(values | overrides))


def build_service_config(name="svc", **overrides):
    """A service."""
    values = {
        "service_id": ids.ServiceId(name),
        "health_path": "/health",
        "max_connections_per_target": 100,
        "warm_up_s": 3.0,
        "warm_up_rate_per_s": 10.0,
    }
    return serving_config.ServiceConfig(**(values | overrides))


def build_customer_config(name="kivuli", **overrides):
    """A customer without a rate limit."""
    values = {
        "customer_id": ids.CustomerId(name),
        "priority": None,
        "rate_per_s": 0.0,
        "burst": 0.0,
    }
    return serving_config.CustomerConfig(**(values | overrides))


def build_target_registration(name, domain="na", service="svc", **overrides):
    """A target's registration, in state READY."""
    values = {
        "target_id": ids.TargetId(name),
        "service_id": ids.ServiceId(service),
        "address": "127.0.0.1:1",
        "domain": ids.DomainId(domain),
        "slots": 4,
        "lifecycle": serving_config.TargetLifecycle.READY,
        "started_ms": 1,
    }
    return serving_config.TargetRegistration(**(values | overrides))
