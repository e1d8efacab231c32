"""Record types of the operator's configuration.

Every collection maps an id to a record. In ``block_by_cidr`` the id is the
address block, and ``policy_by_id`` has only the id ``default``. Times are
seconds, rates are per second, addresses are IP addresses.
"""

import datetime
import enum
import ipaddress

import msgspec

from chicorydoor import errors
from chicorydoor.protocol import ids


class ConfigRecord(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of all records; unknown fields are rejected."""

    def validate(self) -> None:
        """Validate the values.

        Raises:
            ConfigurationError: If a value is out of range or inconsistent.
        """


def _require(condition: bool, reason: str) -> None:
    if not condition:
        raise errors.ConfigurationError(reason)


class Region(ConfigRecord, frozen=True):
    """A group of failure domains with low latency between them.

    Args:
        description (str): Free text. Defaults to empty.
    """

    description: str = ""


class Domain(ConfigRecord, frozen=True):
    """A failure domain.

    Args:
        region (str): Its region.
    """

    region: ids.RegionId


class ClientBlock(ConfigRecord, frozen=True):
    """Region of the callers of an address block.

    Args:
        region (str): The region.
    """

    region: ids.RegionId


class Customer(ConfigRecord, frozen=True):
    """A customer and its limits over the whole fleet.

    Args:
        rate_per_s (float): Sustained request rate.
        burst (float): Requests that may arrive at once.
        weight (float): Relative share of contended capacity. Defaults to 1.
        share_by_domain (dict): Relative expected demand by failure domain;
            domains that are not listed get no share. Empty means equal
            shares. Defaults to empty.
        stale_keys_serve_s (float): How long an entry without contact to
            the store keeps accepting the customer's keys. Defaults to 3600.
        queue_limit (int): Maximum number of queued requests at one entry.
            Defaults to 64.
    """

    rate_per_s: float
    burst: float
    weight: float = 1.0
    share_by_domain: dict[ids.DomainId, float] = {}
    stale_keys_serve_s: float = 3600.0
    queue_limit: int = 64

    def validate(self) -> None:
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


class FormerLimit(ConfigRecord, frozen=True):
    """A customer's limits as they were before a revision.

    Args:
        before_revision (int): First revision in which they no longer hold.
        rate_per_s (float): Sustained request rate.
        burst (float): Requests that may arrive at once.
        share_by_domain (dict): Relative demand by failure domain. Defaults
            to empty.
    """

    before_revision: ids.Revision
    rate_per_s: float
    burst: float
    share_by_domain: dict[ids.DomainId, float] = {}


class FormerLimits(ConfigRecord, frozen=True):
    """Former limits that a partitioned failure domain may still apply.

    Maintained by the system, not by operators. A change of the configuration
    removes the limits whose replacement is active in every failure domain.

    Args:
        limits (tuple): ``FormerLimit`` values. Defaults to none.
    """

    limits: tuple[FormerLimit, ...] = ()


class Key(ConfigRecord, frozen=True):
    """A customer's API key.

    Args:
        customer (str): Id of the customer.
        digest (str): SHA-256 of the key's text, as hex digits.
    """

    customer: ids.CustomerId
    digest: str

    def validate(self) -> None:
        """Validate the format of the digest."""
        is_hex = all(c in "0123456789abcdef" for c in self.digest)
        _require(
            len(self.digest) == 64 and is_hex,
            "digest must be 64 lower-case hex digits",
        )


class WithdrawnKey(ConfigRecord, frozen=True):
    """Tombstone of a withdrawn key; its id is never accepted again.

    Args:
        at (datetime): When it was withdrawn.
    """

    at: datetime.datetime


class Service(ConfigRecord, frozen=True):
    """A group of interchangeable targets.

    Args:
        slow_start_s (float): Time over which the traffic of a new or
            recovered target ramps up to its full share. Defaults to 10.
        description (str): Free text. Defaults to empty.
    """

    slow_start_s: float = 10.0
    description: str = ""


class Target(ConfigRecord, frozen=True):
    """One target.

    Args:
        service (str): The service that it belongs to.
        domain (str): Its failure domain.
        address (str): IP address.
        port (int): TCP port.
        slots (int): Maximum number of concurrent requests.
        connections (int): Maximum number of connections.
    """

    service: ids.ServiceId
    domain: ids.DomainId
    address: str
    port: int
    slots: int
    connections: int

    def validate(self) -> None:
        """Validate address, port and sizes."""
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


class Route(ConfigRecord, frozen=True):
    """Requests below one path prefix.

    Args:
        service (str): The service that handles them.
        path_prefix (str): Starts with ``/``, has no trailing ``/``.
        open (bool): Whether requests need no API key. Defaults to False.
        repeatable_methods (tuple): Methods that may be retried. Defaults
            to GET, HEAD and OPTIONS.
        repeatable_paths (tuple): Prefixes of paths, compared as text, with
            which every method may be retried. Defaults to none.
        deadline_s (float): Maximum duration of a request. Defaults to 5.
        shift_cap (float): Maximum change per interval of the fraction of
            its traffic that a failure domain forwards to others. Defaults
            to 0.1.
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

    def validate(self) -> None:
        """Validate prefix and ranges."""
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

    def is_idempotent(self, method: str, path: str) -> bool:
        """Whether a request may be sent more than once."""
        if method in self.repeatable_methods:
            return True
        return any(path.startswith(part) for part in self.repeatable_paths)


class DrainKind(enum.Enum):
    """Kind of object that a planned drain takes out of service."""

    TARGET = "target"
    INSTANCE = "instance"
    DOMAIN = "domain"
    REGION = "region"


class Drain(ConfigRecord, frozen=True):
    """A planned drain.

    Args:
        kind (DrainKind): target, instance, domain or region.
        subject (str): Id of the drained object.
        starts_at (datetime): Time from which it gets no new requests; with
            a time zone.
        ends_at (datetime): Time from which it may be used again; with a
            time zone. Defaults to never.
    """

    kind: DrainKind
    subject: str
    starts_at: datetime.datetime
    ends_at: datetime.datetime | None = None

    def validate(self) -> None:
        """Validate time zones and order of the times."""
        _require(
            self.starts_at.tzinfo is not None, "starts_at needs a time zone"
        )
        if self.ends_at is None:
            return
        _require(self.ends_at.tzinfo is not None, "ends_at needs a time zone")
        _require(self.ends_at > self.starts_at, "ends_at is before starts_at")


class Link(ConfigRecord, frozen=True):
    """Bandwidth budget for forwarding between two regions.

    Args:
        from_region (str): Sending region.
        to_region (str): Receiving region.
        bytes_per_s (float): Budget for request and response bodies.
    """

    from_region: ids.RegionId
    to_region: ids.RegionId
    bytes_per_s: float

    def validate(self) -> None:
        """Validate the budget."""
        _require(self.bytes_per_s > 0, "bytes_per_s must be over 0")


class Policy(ConfigRecord, frozen=True):
    """Policies of the whole fleet.

    Args:
        lookup_ttl_s (float): How long callers may cache a look-up.
            Defaults to 10.
        target_choice (str): Registered name of the target choice policy.
            Defaults to least-loaded.
    """

    lookup_ttl_s: float = 10.0
    target_choice: str = "least-loaded"

    def validate(self) -> None:
        """Check the ranges."""
        _require(self.lookup_ttl_s > 0, "lookup_ttl_s must be over 0")


class Configuration(msgspec.Struct, forbid_unknown_fields=True):
    """All collections of one configuration revision."""

    region_by_id: dict[ids.RegionId, Region] = {}
    domain_by_id: dict[ids.DomainId, Domain] = {}
    block_by_cidr: dict[str, ClientBlock] = {}
    customer_by_id: dict[ids.CustomerId, Customer] = {}
    earlier_limits_by_customer: dict[ids.CustomerId, FormerLimits] = {}
    key_by_id: dict[ids.KeyId, Key] = {}
    withdrawn_key_by_id: dict[ids.KeyId, WithdrawnKey] = {}
    service_by_id: dict[ids.ServiceId, Service] = {}
    target_by_id: dict[ids.TargetId, Target] = {}
    route_by_id: dict[ids.RouteId, Route] = {}
    drain_by_id: dict[ids.DrainId, Drain] = {}
    link_by_id: dict[str, Link] = {}
    policy_by_id: dict[str, Policy] = {}


RECORD_TYPE_BY_COLLECTION: dict[str, type[ConfigRecord]] = {
    "region_by_id": Region,
    "domain_by_id": Domain,
    "block_by_cidr": ClientBlock,
    "customer_by_id": Customer,
    "earlier_limits_by_customer": FormerLimits,
    "key_by_id": Key,
    "withdrawn_key_by_id": WithdrawnKey,
    "service_by_id": Service,
    "target_by_id": Target,
    "route_by_id": Route,
    "drain_by_id": Drain,
    "link_by_id": Link,
    "policy_by_id": Policy,
}
