"""Decodes what operators and targets write to the platform's store."""

from collections import abc
import functools
import typing

import msgspec

from chicorydoor import errors
from chicorydoor.platform import durations
from chicorydoor.protocol import ids
from chicorydoor.protocol import serving
from chicorydoor.state import config_snapshot
from chicorydoor.state import fleet_view

OPERATOR_PREFIX = "op/"
TARGET_PREFIX = "servers/"
ENTRY_PREFIX = "chicorydoor/entries/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"

_REPEATABLE_KIND = "safe"
_STANDING_BY_STATE = {
    "ready": serving.TargetStanding.READY,
    "draining": serving.TargetStanding.LEAVING,
}


# Routes that are kept decoded from one version to the next.
_KEPT_ROUTES = 20_000


class _Wire(msgspec.Struct, rename="camel", frozen=True):
    """Unknown fields are ignored: the platform may add some."""


class _Split(_Wire):
    service: str
    weight: float


class _Route(_Wire):
    name: str
    host: str
    prefix: str
    kind: str
    timeout: str
    target_latency: str
    max_attempts: int
    priority: int = 0
    service: str | None = None
    traffic_split: tuple[_Split, ...] = ()
    public: bool = False
    session_affinity: bool = False
    allowed_regions: tuple[str, ...] = ()


class _Service(_Wire):
    name: str
    health_path: str
    max_connections: int
    cold_start: str = "0ms"
    cold_per_s: float = 0.0


class _Tenant(_Wire):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = msgspec.field(default=0.0, name="ratePerS")
    burst: float = 0.0
    allowed_regions: tuple[str, ...] = ()


class _Limits(_Wire):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: str
    idle_timeout: str


class _Config(_Wire):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] = []


class _TargetInfo(_Wire):
    service: str
    zone: str
    slots: int


class _TargetStatus(_Wire):
    state: str
    cold_remaining: str = "0ms"


class _TargetEntry(_Wire):
    address: str
    info: _TargetInfo
    status: _TargetStatus
    born: int = 0


def decode_plan(value: bytes) -> serving.ServingPlan:
    """The operator's configuration document.

    Raises:
        ConfigurationError: If it cannot be read.
    """
    config = _decode(value, _Config)
    digests = {
        config_snapshot.key_digest(key.encode()): ids.CustomerId(tenant.name)
        for tenant in config.tenants
        for key in tenant.api_keys
    }
    limits = config.limits
    return serving.ServingPlan(
        version=config.version,
        routes=tuple(_route(route) for route in config.routes),
        services=tuple(_service(service) for service in config.services),
        customers=tuple(_customer(tenant) for tenant in config.tenants),
        customer_by_digest=digests,
        limits=_caller_limits(limits) if limits else None,
    )


@functools.lru_cache(maxsize=_KEPT_ROUTES)
def _route(route: _Route) -> serving.RouteRule:
    parts = tuple(
        serving.ServicePart(ids.ServiceId(split.service), split.weight)
        for split in route.traffic_split
    )
    if not parts and route.service is None:
        raise errors.ConfigurationError(f"route {route.name}: no service")
    if not parts:
        parts = (serving.ServicePart(ids.ServiceId(route.service or ""), 1.0),)
    return serving.RouteRule(
        route_id=ids.RouteId(route.name),
        host=route.host,
        prefix=route.prefix,
        parts=parts,
        is_repeatable=route.kind == _REPEATABLE_KIND,
        timeout_s=durations.seconds(route.timeout),
        objective_s=durations.seconds(route.target_latency),
        attempt_limit=route.max_attempts,
        priority=route.priority,
        home_regions=_regions(route.allowed_regions),
        is_open=route.public,
        has_affinity=route.session_affinity,
    )


def _regions(names: abc.Iterable[str]) -> frozenset[ids.RegionId]:
    return frozenset(ids.RegionId(name) for name in names)


def _service(service: _Service) -> serving.ServiceRule:
    return serving.ServiceRule(
        service_id=ids.ServiceId(service.name),
        health_path=service.health_path,
        connection_limit=service.max_connections,
        cold_s=durations.seconds(service.cold_start),
        cold_rate_per_s=service.cold_per_s,
    )


def _customer(tenant: _Tenant) -> serving.CustomerRule:
    return serving.CustomerRule(
        customer_id=ids.CustomerId(tenant.name),
        priority=tenant.priority,
        rate_per_s=tenant.rate_per_s,
        burst=tenant.burst,
        home_regions=_regions(tenant.allowed_regions),
    )


def _caller_limits(limits: _Limits) -> serving.CallerLimits:
    return serving.CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout_s=durations.seconds(limits.header_timeout),
        idle_timeout_s=durations.seconds(limits.idle_timeout),
    )


def decode_target(key: str, value: bytes) -> serving.TargetRecord:
    """A target's registration.

    Args:
        key (str): Store key; ends with the target's id.
        value (bytes): What the target wrote.

    Raises:
        ConfigurationError: If it cannot be read or names no usable target.
    """
    entry = _decode(value, _TargetEntry)
    standing = _STANDING_BY_STATE.get(entry.status.state)
    host, _, port = entry.address.rpartition(":")
    if standing is None or not host or not port.isdigit():
        raise errors.ConfigurationError(
            f"{key}: state {entry.status.state!r} at {entry.address!r}"
        )
    if entry.info.slots <= 0:
        raise errors.ConfigurationError(f"{key}: {entry.info.slots} slots")
    return serving.TargetRecord(
        target_id=ids.TargetId(key.removeprefix(TARGET_PREFIX)),
        service_id=ids.ServiceId(entry.info.service),
        address=entry.address,
        domain=ids.DomainId(entry.info.zone),
        slots=entry.info.slots,
        standing=standing,
        started_ms=entry.born,
        cold_remaining_s=durations.seconds(entry.status.cold_remaining),
    )


def decode_entry(key: str, value: bytes) -> fleet_view.Registration:
    """An entry's registration.

    Raises:
        ConfigurationError: If it cannot be read.
    """
    registration = _decode(value, fleet_view.Registration)
    if key != ENTRY_PREFIX + registration.instance:
        raise errors.ConfigurationError(
            f"{key}: names {registration.instance!r}"
        )
    return registration


def evacuated_domain(key: str) -> ids.DomainId | None:
    """The failure domain that a key asks to evacuate, or None."""
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return ids.DomainId(key.removeprefix(EVACUATION_PREFIX))


_DocumentT = typing.TypeVar("_DocumentT")


def _decode(value: bytes, kind: type[_DocumentT]) -> _DocumentT:
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.ConfigurationError(f"{error}") from error


def target_essence(value: bytes) -> object:
    """A registration without what changes with every heartbeat."""
    try:
        entry = msgspec.json.decode(value, type=_TargetEntry)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return value
    return msgspec.json.encode(entry)
