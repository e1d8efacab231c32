"""The records of an operator's configuration.

Every collection maps an id to a record. Times are seconds, rates are per
second, addresses are IP numbers.
"""

import datetime
import enum
import ipaddress

import msgspec

from chicorydoor import errors
from chicorydoor.protocol import ids


class Record(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of all records; unknown fields are refused."""

    def check(self) -> None:
        """Raise ``ConfigurationError`` if the values make no sense."""


def _require(condition: bool, reason: str) -> None:
    if not condition:
        raise errors.ConfigurationError(reason)


class Region(Record, frozen=True):
    """Failure domains that are near to each other."""

    description: str = ""


class Domain(Record, frozen=True):
    """A failure domain.

    Args:
        region (str): The region that it lies in.
    """

    region: ids.RegionId


class ClientBlock(Record, frozen=True):
    """The region that the callers of an address block belong to."""

    region: ids.RegionId


class Customer(Record, frozen=True):
    """A customer and its limits over the whole fleet.

    Args:
        rate_per_s (float): Sustained requests per second.
        burst (float): Requests that may come at once.
        weight (float): Part of contended capacity. Defaults to 1.
        share_by_domain (dict): Relative expected demand of each failure
            domain; domains that are not named get none. Empty means equal
            parts. Defaults to empty.
        stale_keys_serve_s (float): How long an entry that is cut off goes
            on serving. Defaults to 3600.
        queue_limit (int): Waiting requests at one entry. Defaults to 64.
    """

    rate_per_s: float
    burst: float
    weight: float = 1.0
    share_by_domain: dict[ids.DomainId, float] = {}
    stale_keys_serve_s: float = 3600.0
    queue_limit: int = 64

    def check(self) -> None:
        """Check the ranges."""
        _require(self.rate_per_s > 0, "rate_per_s must be over 0")
        _require(self.burst >= 1, "burst must be at least 1")
        _require(self.weight > 0, "weight must be over 0")
        _require(self.queue_limit > 0, "queue_limit must be over 0")
        shares = self.share_by_domain.values()
        _require(
            all(share >= 0 for share in shares),
            "share_by_domain must not hold negative shares",
        )
        _require(
            not shares or sum(shares) > 0,
            "share_by_domain must hold a share over 0",
        )


class EarlierLimit(Record, frozen=True):
    """A customer's limits as they were before a revision.

    Args:
        before_revision (int): The first revision without them.
    """

    before_revision: ids.Revision
    rate_per_s: float
    burst: float
    share_by_domain: dict[ids.DomainId, float] = {}


class EarlierLimits(Record, frozen=True):
    """Limits that a failure domain which is cut off may still use.

    Kept by the system, not by operators.
    """

    limits: tuple[EarlierLimit, ...] = ()


class Key(Record, frozen=True):
    """A customer's key, as the SHA-256 digest of its text (hex)."""

    customer: ids.CustomerId
    digest: str

    def check(self) -> None:
        """Check the digest's form."""
        is_hex = all(c in "0123456789abcdef" for c in self.digest)
        _require(
            len(self.digest) == 64 and is_hex,
            "digest must be 64 lower-case hex digits",
        )


class WithdrawnKey(Record, frozen=True):
    """A key id that never comes back into force."""

    at: datetime.datetime


class Service(Record, frozen=True):
    """A kind of target.

    Args:
        slow_start_s (float): Time until a new or recovered target gets its
            full part. Defaults to 10.
    """

    slow_start_s: float = 10.0
    description: str = ""


class Target(Record, frozen=True):
    """One target.

    Args:
        service (str): The service that it belongs to.
        domain (str): Its failure domain.
        address (str): IP number.
        port (int): TCP port.
        slots (int): Requests that it may have outstanding.
        connections (int): Connections that it accepts.
    """

    service: ids.ServiceId
    domain: ids.DomainId
    address: str
    port: int
    slots: int
    connections: int

    def check(self) -> None:
        """Check address and sizes."""
        try:
            ipaddress.ip_address(self.address)
        except ValueError as error:
            raise errors.ConfigurationError(
                f"address {self.address!r} is no IP number"
            ) from error
        _require(0 < self.port < 65536, "port must be 1 to 65535")
        _require(self.slots > 0, "slots must be over 0")
        _require(
            self.connections >= self.slots,
            "connections must be at least slots",
        )


class Route(Record, frozen=True):
    """Requests under one path prefix.

    Args:
        service (str): The service that answers them.
        path_prefix (str): Starts with ``/``, has no trailing ``/``.
        open (bool): Whether it needs no key. Defaults to False.
        repeatable_methods (list): Methods that may be repeated. Defaults
            to GET, HEAD and OPTIONS.
        repeatable_paths (list): Path prefixes below which every method may
            be repeated. Defaults to none.
        deadline_s (float): Longest time for a request. Defaults to 5.
        shift_cap (float): Largest change, in one interval, of the part of
            the traffic that a failure domain sends elsewhere. Defaults to
            0.1.
        shift_interval_s (float): That interval. Defaults to 1.
    """

    service: ids.ServiceId
    path_prefix: str
    open: bool = False
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    repeatable_paths: tuple[str, ...] = ()
    deadline_s: float = 5.0
    shift_cap: float = 0.1
    shift_interval_s: float = 1.0

    def check(self) -> None:
        """Check prefix and ranges."""
        prefix = self.path_prefix
        _require(
            prefix.startswith("/") and not prefix.endswith("/"),
            "path_prefix must start with / and not end with /",
        )
        _require(
            not (prefix + "/").startswith("/v1/"),
            "path_prefix /v1 belongs to the system",
        )
        _require(0 < self.deadline_s <= 300, "deadline_s must be 0 to 300")
        _require(0 < self.shift_cap <= 1, "shift_cap must be over 0, up to 1")
        _require(self.shift_interval_s > 0, "shift_interval_s must be over 0")

    def is_repeatable(self, method: str, path: str) -> bool:
        """Whether a request may be sent more than once."""
        if method in self.repeatable_methods:
            return True
        return any(path.startswith(part) for part in self.repeatable_paths)


class DrainKind(enum.Enum):
    """What a planned drain empties."""

    TARGET = "target"
    INSTANCE = "instance"
    DOMAIN = "domain"
    REGION = "region"


class Drain(Record, frozen=True):
    """A planned drain.

    Args:
        kind (str): target, instance, domain or region.
        subject (str): Its id.
        starts_at (datetime): From when on it gets no new work; with a
            time zone.
        ends_at (datetime): When it may be used again. Defaults to never.
    """

    kind: DrainKind
    subject: str
    starts_at: datetime.datetime
    ends_at: datetime.datetime | None = None

    def check(self) -> None:
        """Check the times."""
        _require(
            self.starts_at.tzinfo is not None, "starts_at needs a time zone"
        )
        if self.ends_at is None:
            return
        _require(self.ends_at.tzinfo is not None, "ends_at needs a time zone")
        _require(self.ends_at > self.starts_at, "ends_at is before starts_at")


class Link(Record, frozen=True):
    """What forwarding may use of a link between two regions.

    Args:
        from_region (str): Sending region.
        to_region (str): Receiving region.
        bytes_per_s (float): Budget for request and answer bodies.
    """

    from_region: ids.RegionId
    to_region: ids.RegionId
    bytes_per_s: float

    def check(self) -> None:
        """Check the budget."""
        _require(self.bytes_per_s > 0, "bytes_per_s must be over 0")


class Policy(Record, frozen=True):
    """Choices for the whole fleet.

    Args:
        lookup_ttl_s (float): How long callers cache a look-up answer.
            Defaults to 10.
        target_choice (str): Name in the registry of target choices.
            Defaults to least-loaded.
    """

    lookup_ttl_s: float = 10.0
    target_choice: str = "least-loaded"

    def check(self) -> None:
        """Check the ranges."""
        _require(self.lookup_ttl_s > 0, "lookup_ttl_s must be over 0")


class Configuration(msgspec.Struct, forbid_unknown_fields=True):
    """All collections of one revision."""

    region_by_id: dict[ids.RegionId, Region] = {}
    domain_by_id: dict[ids.DomainId, Domain] = {}
    block_by_cidr: dict[str, ClientBlock] = {}
    customer_by_id: dict[ids.CustomerId, Customer] = {}
    earlier_limits_by_customer: dict[ids.CustomerId, EarlierLimits] = {}
    key_by_id: dict[ids.KeyId, Key] = {}
    withdrawn_key_by_id: dict[ids.KeyId, WithdrawnKey] = {}
    service_by_id: dict[ids.ServiceId, Service] = {}
    target_by_id: dict[ids.TargetId, Target] = {}
    route_by_id: dict[ids.RouteId, Route] = {}
    drain_by_id: dict[ids.DrainId, Drain] = {}
    link_by_id: dict[str, Link] = {}
    policy_by_id: dict[str, Policy] = {}


RECORD_TYPE_BY_COLLECTION: dict[str, type[Record]] = {
    "region_by_id": Region,
    "domain_by_id": Domain,
    "block_by_cidr": ClientBlock,
    "customer_by_id": Customer,
    "earlier_limits_by_customer": EarlierLimits,
    "key_by_id": Key,
    "withdrawn_key_by_id": WithdrawnKey,
    "service_by_id": Service,
    "target_by_id": Target,
    "route_by_id": Route,
    "drain_by_id": Drain,
    "link_by_id": Link,
    "policy_by_id": Policy,
}
