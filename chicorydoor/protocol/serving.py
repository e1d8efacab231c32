"""What an entry needs to know to serve: routes, services, customers, targets.

Sources of configuration decode their documents into these types once; the
decisions know no others. Times are seconds, rates are per second.
"""

import enum

import msgspec

from chicorydoor.protocol import ids


class ServicePart(msgspec.Struct, frozen=True):
    """A service's part of a route's requests.

    Args:
        weight (float): Relative to the other parts of the route.
    """

    service_id: ids.ServiceId
    weight: float


class RouteRule(msgspec.Struct, frozen=True):
    """How requests under one host and path prefix are served.

    Args:
        prefix (str): Starts and ends with ``/``.
        parts (tuple): Services that share the requests.
        is_repeatable (bool): Whether a request may run more than once.
        timeout_s (float): Longest time until a caller has an answer.
        objective_s (float): Time within which an answer is useful in full.
        attempt_limit (int): Most targets that one request is sent to.
        priority (int): 0 is the most urgent.
        home_regions (frozenset): Regions that may serve it; empty for all.
        is_open (bool): Whether it needs no key.
        has_affinity (bool): Whether a target that handled an object lately
            handles it faster.
    """

    route_id: ids.RouteId
    host: str
    prefix: str
    parts: tuple[ServicePart, ...]
    is_repeatable: bool
    timeout_s: float
    objective_s: float
    attempt_limit: int
    priority: int
    home_regions: frozenset[ids.RegionId] = frozenset()
    is_open: bool = False
    has_affinity: bool = False


class ServiceRule(msgspec.Struct, frozen=True):
    """What holds for all targets of a service.

    Args:
        health_path (str): Path of the health check.
        connection_limit (int): Connections that a target accepts.
        cold_s (float): How long a target is cold after its start.
        cold_rate_per_s (float): Requests that a cold target bears; 0 for no
            limit.
    """

    service_id: ids.ServiceId
    health_path: str
    connection_limit: int
    cold_s: float
    cold_rate_per_s: float


class CustomerRule(msgspec.Struct, frozen=True):
    """A customer's rank and limits over the whole fleet.

    Args:
        priority (int): Takes precedence over the route's; None leaves that.
        rate_per_s (float): Sustained requests; 0 for no limit.
        burst (float): Requests that may come at once beyond the rate.
        home_regions (frozenset): Regions that may serve it; empty for all.
    """

    customer_id: ids.CustomerId
    priority: int | None
    rate_per_s: float
    burst: float
    home_regions: frozenset[ids.RegionId] = frozenset()


class CallerLimits(msgspec.Struct, frozen=True):
    """Bounds on what callers may send and how long they may idle."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ServingPlan:
    """One version of the configuration with the indexes requests need.

    Args:
        version (int): Higher versions replace lower ones; 0 is none.
        routes (tuple): Routes.
        services (tuple): Services.
        customers (tuple): Customers.
        customer_by_digest (dict): Customer of each key's digest.
        limits (CallerLimits): Bounds for callers.
    """

    def __init__(
        self,
        version: int = 0,
        routes: tuple[RouteRule, ...] = (),
        services: tuple[ServiceRule, ...] = (),
        customers: tuple[CustomerRule, ...] = (),
        customer_by_digest: dict[str, ids.CustomerId] | None = None,
        limits: CallerLimits | None = None,
    ) -> None:
        self.version = version
        self.limits = limits or CallerLimits()
        self.route_by_id = {route.route_id: route for route in routes}
        self.service_by_id = {each.service_id: each for each in services}
        self.customer_by_id = {each.customer_id: each for each in customers}
        self._customer_by_digest = customer_by_digest or {}
        self._route_by_prefix_by_host: dict[str, dict[str, RouteRule]] = {}
        for route in routes:
            by_prefix = self._route_by_prefix_by_host.setdefault(
                route.host.lower(), {}
            )
            by_prefix[route.prefix] = route

    def find_route(self, host: str, path: str) -> RouteRule | None:
        """The route of a host with the longest prefix of a path.

        Args:
            host (str): Host header, with or without a port.
            path (str): Path as the caller sent it.
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

    def find_customer(self, digest: str) -> CustomerRule | None:
        """The customer that holds a key's digest."""
        customer_id = self._customer_by_digest.get(digest)
        return self.customer_by_id.get(customer_id) if customer_id else None

    @property
    def checks_keys(self) -> bool:
        """Whether routes that are not open need a key."""
        return bool(self.customer_by_id)


class TargetStanding(enum.Enum):
    """What a target says of its own plans."""

    READY = "ready"
    LEAVING = "leaving"


class TargetRecord(msgspec.Struct, frozen=True):
    """One target as it registered itself.

    Args:
        address (str): ``ip:port``.
        slots (int): Requests that it works on at the same time.
        started_ms (int): When it started, milliseconds since the epoch; a
            later value under the same id is a new incarnation.
        cold_remaining_s (float): How long it stays cold, as it said last.
    """

    target_id: ids.TargetId
    service_id: ids.ServiceId
    address: str
    domain: ids.DomainId
    slots: int
    standing: TargetStanding
    started_ms: int = 0
    cold_remaining_s: float = 0.0
