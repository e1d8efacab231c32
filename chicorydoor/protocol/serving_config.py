"""The active configuration, and the registrations of targets.

Each configuration source converts its documents to these types on arrival,
and all request handling uses only these. Times are seconds, rates are per
second.
"""

import enum

import msgspec

from chicorydoor.protocol import ids


class WeightedService(msgspec.Struct, frozen=True):
    """One service of a route's weighted traffic split.

    Args:
        service_id (str): The service.
        weight (float): Relative to the other services of the route.
    """

    service_id: ids.ServiceId
    weight: float


class RouteConfig(msgspec.Struct, frozen=True):
    """How requests to one host and path prefix are served.

    Args:
        route_id (str): The route's id.
        host (str): Host name, without a port.
        prefix (str): Path prefix; starts and ends with ``/``.
        weighted_services (tuple): Weighted services that share the requests.
        is_idempotent (bool): Whether a request is idempotent and may
            therefore run more than once.
        timeout_s (float): Maximum time until the caller has a response.
        latency_objective_s (float): Latency objective; a later response is
            worth less to the caller. Target selection, load shedding
            and the initial estimates of processing times use it.
        max_attempts (int): Maximum number of times that a request is sent;
            attempts that could not send it are not counted.
        priority (int): 0 is the most urgent.
        allowed_region_ids (frozenset): Regions that may serve the route; empty
            allows all. Defaults to empty.
        needs_no_key (bool): Whether requests need no API key. Defaults to
            False.
        uses_affinity (bool): Whether a target that recently handled an
            object handles it faster, so that session affinity pays.
            Defaults to False.
        has_large_responses (bool): Whether responses are large. Defaults to
            False.
    """

    route_id: ids.RouteId
    host: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    is_idempotent: bool
    timeout_s: float
    latency_objective_s: float
    max_attempts: int
    priority: int
    allowed_region_ids: frozenset[ids.RegionId] = frozenset()
    needs_no_key: bool = False
    uses_affinity: bool = False
    has_large_responses: bool = False


class ServiceConfig(msgspec.Struct, frozen=True):
    """Properties that all targets of a service share.

    Args:
        service_id (str): The service's id.
        health_path (str): Path of the health check.
        max_connections_per_target (int): Maximum connections to one target.
        warm_up_s (float): Warm-up time of a target after its start.
        warm_up_rate_per_s (float): Maximum request rate of a target during its
            warm-up; 0 for no limit.
    """

    service_id: ids.ServiceId
    health_path: str
    max_connections_per_target: int
    warm_up_s: float
    warm_up_rate_per_s: float


class CustomerConfig(msgspec.Struct, frozen=True):
    """A customer's priority, and its rate limit over the whole fleet.

    Args:
        customer_id (str): The customer's id.
        priority (int): Overrides the route's priority; None keeps it.
        rate_per_s (float): Sustained request rate; 0 for no limit.
        burst (float): Size of the token bucket, in requests.
        allowed_region_ids (frozenset): Regions that may serve the customer;
            empty allows all. Defaults to empty.
    """

    customer_id: ids.CustomerId
    priority: int | None
    rate_per_s: float
    burst: float
    allowed_region_ids: frozenset[ids.RegionId] = frozenset()


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on a caller's connection.

    Args:
        header_bytes (int): Maximum size of request line and headers.
            Defaults to 16 KiB.
        body_bytes (int): Maximum size of a request body. Defaults to
            64 MiB.
        header_timeout_s (float): Maximum time until the headers are
            complete. Defaults to 3.
        idle_timeout_s (float): Time after which an idle connection is
            closed. Defaults to 15.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ServingConfig:
    """One version of the configuration, indexed for request handling.

    Args:
        version (int): Higher versions replace lower ones; 0 means that no
            configuration has been received. Defaults to 0.
        routes (tuple): ``RouteConfig`` values. Defaults to none.
        services (tuple): ``ServiceConfig`` values. Defaults to none.
        customers (tuple): ``CustomerConfig`` values. Defaults to none.
        customer_by_digest (dict): Customer id by the SHA-256 hex digest of its
            API key. Defaults to empty.
        limits (CallerLimits): Limits on callers. Defaults to the defaults
            of ``CallerLimits``.
    """

    def __init__(
        self,
        version: int = 0,
        routes: tuple[RouteConfig, ...] = (),
        services: tuple[ServiceConfig, ...] = (),
        customers: tuple[CustomerConfig, ...] = (),
        customer_by_digest: dict[str, ids.CustomerId] | None = None,
        limits: CallerLimits | None = None,
    ) -> None:
        self.version = version
        self.limits = limits or CallerLimits()
        self.route_by_id = {route.route_id: route for route in routes}
        self.service_by_id = {each.service_id: each for each in services}
        self.customer_by_id = {each.customer_id: each for each in customers}
        self._customer_by_digest = customer_by_digest or {}
        self._route_by_prefix_by_host: dict[str, dict[str, RouteConfig]] = {}
        for route in routes:
            by_prefix = self._route_by_prefix_by_host.setdefault(
                route.host.lower(), {}
            )
            by_prefix[route.prefix] = route

    def find_route(self, host: str, path: str) -> RouteConfig | None:
        """Return the host's route with the longest matching path prefix.

        Args:
            host (str): Value of the Host header, with or without a port.
            path (str): Path as the caller sent it.

        Returns:
            RouteConfig: The route, or None if no prefix matches.
        """
        name = host.lower()
        by_prefix = self._route_by_prefix_by_host.get(name)
        if by_prefix is None:
            name = name.rpartition(":")[0]
            by_prefix = self._route_by_prefix_by_host.get(name, {})
        end = path.rfind("/") + 1
        while end > 0:
            route = by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def find_customer_by_key_digest(
        self, digest: str
    ) -> CustomerConfig | None:
        """Return the customer whose API key has a digest, or None."""
        customer_id = self._customer_by_digest.get(digest)
        return self.customer_by_id.get(customer_id) if customer_id else None

    @property
    def requires_keys(self) -> bool:
        """Whether routes without ``needs_no_key`` require an API key."""
        return bool(self.customer_by_id)


class TargetLifecycle(enum.Enum):
    """Lifecycle state that a target reports of itself."""

    READY = "ready"
    LEAVING = "leaving"


class TargetRegistration(msgspec.Struct, frozen=True):
    """A target's registration.

    Args:
        target_id (str): The target's id.
        service_id (str): The service that it belongs to.
        address (str): ``ip:port``.
        domain (str): Its failure domain.
        slots (int): Number of requests that it handles concurrently.
        lifecycle (TargetLifecycle): Its lifecycle state.
        started_ms (int): Start time, milliseconds since the epoch; another
            value under the same id means another incarnation. Defaults to 0.
        warm_up_remaining_s (float): Rest of the warm-up as last reported.
            Defaults to 0.
        sequence (int): Counts up with each registration that an incarnation
            writes; 0 if it does not tell. Defaults to 0.
    """

    target_id: ids.TargetId
    service_id: ids.ServiceId
    address: str
    domain: ids.DomainId
    slots: int
    lifecycle: TargetLifecycle
    started_ms: int = 0
    warm_up_remaining_s: float = 0.0
    sequence: int = 0
