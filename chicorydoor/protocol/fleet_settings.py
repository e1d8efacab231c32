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
        stop_grace_s (float): Time between SIGTERM and SIGKILL.
        lookup_ttl_s (float): Longest time that callers keep a look-up.
    """

    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    rate_overage: float
    rate_slack: float
    stop_grace_s: float
    lookup_ttl_s: float


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
    promises: Promises
