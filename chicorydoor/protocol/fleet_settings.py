"""Settings of an entry whose fleet shares a platform's store."""

import msgspec

from chicorydoor.protocol import ids


class Promises(msgspec.Struct, frozen=True):
    """Bounds that the fleet keeps, all entries together.

    Args:
        retry_ratio (float): Repeated sends for each request.
        retry_slack (float): Repeated sends beyond that, in a window.
        retry_window_s (float): That window.
        rate_overage (float): Part of a customer's limit beyond it that is
            tolerated in a window.
        rate_slack (float): Requests beyond that.
        rate_window_s (float): That window.
        cold_overage (float): Factor on a cold target's rate in a second.
        cold_slack (float): Requests beyond that.
        stop_grace_s (float): Time between SIGTERM and SIGKILL.
        lookup_ttl_s (float): Longest time that callers keep a look-up.
        stable_s (float): Calm time after which an instance owes every bound.
        shift_share (float): Largest change of a region's share of requests
            that run elsewhere, in two seconds.
    """

    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    rate_overage: float
    rate_slack: float
    rate_window_s: float
    cold_overage: float
    cold_slack: float
    stop_grace_s: float
    lookup_ttl_s: float
    stable_s: float
    shift_share: float


class FleetSettings(msgspec.Struct, frozen=True):
    """What one entry knows before it has heard of anybody.

    Args:
        callers (str): ``ip:port`` for requests.
        readiness (str): ``ip:port`` for the platform's readiness checks.
        peers (str): ``ip:port`` for other entries.
        lookups (str): ``ip:port`` for look-ups.
        metrics_port (int): Port on which metrics are served.
        seed_addresses (tuple): Peer addresses that may answer first.
        region_by_domain (dict): All failure domains of the fleet.
        store (str): ``ip:port`` of the platform's store.
        memory_mb (int): Memory at which the process is ended.
    """

    instance: ids.InstanceId
    domain: ids.DomainId
    region: ids.RegionId
    callers: str
    readiness: str
    peers: str
    lookups: str
    metrics_port: int
    seed_addresses: tuple[str, ...]
    region_by_domain: dict[ids.DomainId, ids.RegionId]
    store: str
    memory_mb: int
    promises: Promises
