"""Decoders of the documents in the platform's store.

Operators write the configuration and evacuations, targets and entries their
registrations. The platform's tenants are the package's customers, its zones
are failure domains, and a target's state is its lifecycle state.
"""

from collections import abc
import functools
import typing

import msgspec

from chicorydoor import errors
from chicorydoor.platform import durations
from chicorydoor.protocol import ids
from chicorydoor.protocol import serving_config
from chicorydoor.state import config_snapshot
from chicorydoor.state import fleet_view

OPERATOR_PREFIX = "op/"
TARGET_PREFIX = "servers/"
ENTRY_PREFIX = "chicorydoor/entries/"
BLOCKED_REQUEST_PREFIX = "chicorydoor/blocked-requests/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"

# Kinds of the routes whose requests may be sent again although they may have
# run.
_DOWNLOAD_KIND = "download"
_IDEMPOTENT_KINDS = frozenset({"safe", _DOWNLOAD_KIND})
_LIFECYCLE_BY_STATE = {
    "ready": serving_config.TargetLifecycle.READY,
    "draining": serving_config.TargetLifecycle.LEAVING,
}


# Converted routes are cached because most stay the same from one version of
# the configuration to the next.
_ROUTE_CACHE_SIZE = 20_000


_MAX_PORT = 65_535
# Numbers of registrations go into messages, which hold no larger ones.
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _Document(msgspec.Struct, rename="camel", frozen=True):
    """Base of the documents; unknown fields are ignored.

    The platform may add fields.
    """


class _WeightedService(_Document):
    service: str
    weight: float


class _Route(_Document):
    name: str
    host: str
    prefix: str
    kind: str
    timeout: str
    target_latency: str
    max_attempts: int
    priority: int = 0
    service: str | None = None
    traffic_split: tuple[_WeightedService, ...] = ()
    public: bool = False
    session_affinity: bool = False
    allowed_regions: tuple[str, ...] = ()


class _Service(_Document):
    name: str
    health_path: str
    max_connections: int
    cold_start: str = "0ms"
    cold_per_s: float = 0.0


class _Tenant(_Document):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = msgspec.field(default=0.0, name="ratePerS")
    burst: float = 0.0
    allowed_regions: tuple[str, ...] = ()


class _Limits(_Document):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: str
    idle_timeout: str


class _Configuration(_Document):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] = []


class _TargetInfo(_Document):
    service: str
    zone: str
    slots: _Count


class _TargetStatus(_Document):
    state: str
    cold_remaining: str = "0ms"
    # Of any type, as a registration is used without it.
    sequence: typing.Any = None


class _TargetRegistration(_Document):
    address: str
    info: _TargetInfo
    status: _TargetStatus
    born: _Count = 0


def decode_configuration(value: bytes) -> serving_config.ServingConfig:
    """Decode the operator's configuration document.

    Raises:
        ConfigurationError: If it is not valid.
    """
    config = _decode(value, _Configuration)
    customer_by_digest = {
        config_snapshot.key_digest(key.encode()): ids.CustomerId(tenant.name)
        for tenant in config.tenants
        for key in tenant.api_keys
    }
    limits = config.limits
    return serving_config.ServingConfig(
        version=config.version,
        routes=tuple(_to_route_config(route) for route in config.routes),
        services=tuple(
            _to_service_config(service) for service in config.services
        ),
        customers=tuple(
            _to_customer_config(tenant) for tenant in config.tenants
        ),
        customer_by_digest=customer_by_digest,
        limits=_to_caller_limits(limits) if limits else None,
    )


@functools.lru_cache(maxsize=_ROUTE_CACHE_SIZE)
def _to_route_config(route: _Route) -> serving_config.RouteConfig:
    weighted_services = tuple(
        serving_config.WeightedService(
            ids.ServiceId(split.service), split.weight
        )
        for split in route.traffic_split
    )
    if not weighted_services and route.service is None:
        raise errors.ConfigurationError(
            f"route {route.name}: neither service nor traffic split"
        )
    if not weighted_services:
        weighted_services = (
            serving_config.WeightedService(
                ids.ServiceId(route.service or ""), 1.0
            ),
        )
    return serving_config.RouteConfig(
        route_id=ids.RouteId(route.name),
        host=route.host,
        prefix=route.prefix,
        weighted_services=weighted_services,
        is_idempotent=route.kind in _IDEMPOTENT_KINDS,
        timeout_s=durations.parse_duration_s(route.timeout),
        latency_objective_s=durations.parse_duration_s(route.target_latency),
        max_attempts=route.max_attempts,
        priority=route.priority,
        allowed_region_ids=_to_region_ids(route.allowed_regions),
        needs_no_key=route.public,
        uses_affinity=route.session_affinity,
        has_large_responses=route.kind == _DOWNLOAD_KIND,
    )


def _to_region_ids(names: abc.Iterable[str]) -> frozenset[ids.RegionId]:
    return frozenset(ids.RegionId(name) for name in names)


def _to_service_config(service: _Service) -> serving_config.ServiceConfig:
    return serving_config.ServiceConfig(
        service_id=ids.ServiceId(service.name),
        health_path=service.health_path,
        max_connections_per_target=service.max_connections,
        warm_up_s=durations.parse_duration_s(service.cold_start),
        warm_up_rate_per_s=service.cold_per_s,
    )


def _to_customer_config(tenant: _Tenant) -> serving_config.CustomerConfig:
    return serving_config.CustomerConfig(
        customer_id=ids.CustomerId(tenant.name),
        priority=tenant.priority,
        rate_per_s=tenant.rate_per_s,
        burst=tenant.burst,
        allowed_region_ids=_to_region_ids(tenant.allowed_regions),
    )


def _to_caller_limits(limits: _Limits) -> serving_config.CallerLimits:
    return serving_config.CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout_s=durations.parse_duration_s(limits.header_timeout),
        idle_timeout_s=durations.parse_duration_s(limits.idle_timeout),
    )


def decode_target_registration(
    key: str, value: bytes
) -> serving_config.TargetRegistration:
    """Decode a target's registration.

    Args:
        key (str): Store key; ends with the target's id.
        value (bytes): Document that the target wrote.

    Raises:
        ConfigurationError: If it is not valid: malformed, with an unknown
            state, without an ``ip:port`` address or without slots.
    """
    document = _decode(value, _TargetRegistration)
    lifecycle = _LIFECYCLE_BY_STATE.get(document.status.state)
    if lifecycle is None or not _is_endpoint(document.address):
        raise errors.ConfigurationError(
            f"{key}: unknown state {document.status.state!r} or malformed "
            f"address {document.address!r}"
        )
    if document.info.slots <= 0:
        raise errors.ConfigurationError(
            f"{key}: number of slots {document.info.slots} is not positive"
        )
    return serving_config.TargetRegistration(
        target_id=ids.TargetId(key.removeprefix(TARGET_PREFIX)),
        service_id=ids.ServiceId(document.info.service),
        address=document.address,
        domain=ids.DomainId(document.info.zone),
        slots=document.info.slots,
        lifecycle=lifecycle,
        started_ms=document.born,
        warm_up_remaining_s=durations.parse_duration_s(
            document.status.cold_remaining
        ),
        sequence=_parse_sequence(document.status.sequence),
    )


def _parse_sequence(value: typing.Any) -> int:
    return value if type(value) is int else 0


def _is_endpoint(address: str) -> bool:
    """Whether an address has a host and a port that can be connected to."""
    host, _, port = address.rpartition(":")
    return (
        bool(host)
        and port.isascii()
        and port.isdigit()
        and len(port) <= len(f"{_MAX_PORT}")
        and 0 < int(port) <= _MAX_PORT
    )


def decode_entry_registration(
    key: str, value: bytes
) -> fleet_view.Registration:
    """Decode an entry's registration.

    Args:
        key (str): Store key; ends with the entry's id.
        value (bytes): Document that the entry wrote.

    Raises:
        ConfigurationError: If it is malformed or its key names another
            entry.
    """
    registration = _decode(value, fleet_view.Registration)
    if key != ENTRY_PREFIX + registration.instance:
        raise errors.ConfigurationError(
            f"{key}: registration of entry {registration.instance!r}"
        )
    return registration


def parse_evacuated_domain(key: str) -> ids.DomainId | None:
    """Return the failure domain that a key marks for evacuation, or None."""
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return ids.DomainId(key.removeprefix(EVACUATION_PREFIX))


_DocumentT = typing.TypeVar("_DocumentT")


def _decode(value: bytes, kind: type[_DocumentT]) -> _DocumentT:
    try:
        return msgspec.json.decode(value, type=kind)
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        # Of JSON that is nested too deeply.
        RecursionError,
    ) as error:
        raise errors.ConfigurationError(f"{error}") from error


def normalize_target_registration(value: bytes) -> object:
    """Return a target's registration without its sequence number.

    Two registrations that differ only in this number, or in fields unknown to
    this module, compare equal.

    Args:
        value (bytes): Document that the target wrote.

    Returns:
        object: A value for comparison; the document itself if malformed.
    """
    try:
        document = _decode(value, _TargetRegistration)
    except errors.ConfigurationError:
        return value
    status = msgspec.structs.replace(document.status, sequence=None)
    return msgspec.json.encode(
        msgspec.structs.replace(document, status=status)
    )
