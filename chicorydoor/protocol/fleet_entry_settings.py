"""Start-up settings of an entry of the fleet path.

On this path all entries share the platform's key-value store and exchange
heartbeats and digests directly. ``settings`` holds those of the other path.
"""

import msgspec

from chicorydoor.protocol import ids


class FleetLimits(msgspec.Struct, frozen=True):
    """Service level limits for the fleet as a whole.

    Args:
        retry_ratio (float): Retry budget: retries per request.
        retry_slack (float): Retries allowed in addition, per service and
            window.
        retry_window_s (float): Length of that window.
        rate_overage (float): Tolerated excess over a customer's rate limit
            in a window, as a fraction of the limit.
        rate_slack (float): Requests tolerated in addition.
        stop_grace_s (float): Time between SIGTERM and SIGKILL.
        lookup_ttl_s (float): Maximum time that callers cache a look-up of
            entries.
    """

    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    rate_overage: float
    rate_slack: float
    stop_grace_s: float
    lookup_ttl_s: float


class FleetEntrySettings(msgspec.Struct, frozen=True):
    """Start-up settings of one entry.

    Args:
        instance (str): Id of the entry, unique in the fleet.
        domain (str): Its failure domain.
        region (str): Its region.
        callers (str): Listening ``ip:port`` for callers' requests.
        readiness (str): Listening ``ip:port`` for readiness checks.
        peers (str): Listening ``ip:port`` for peers.
        lookups (str): Listening ``ip:port`` for look-ups.
        relay (str): Listening ``ip:port`` for requests that peers relay.
        metrics_port (int): TCP port on which metrics are served.
        seed_addresses (tuple): Peer addresses to contact first.
        region_by_domain (dict): Region of each failure domain of the fleet.
        store (str): ``ip:port`` of the platform's store.
        promises (FleetLimits): Service level limits of the fleet.
        memory_limit_bytes (int): Memory above which the platform ends the
            process; 0 if it names no limit. Defaults to 0.
        expects_overload (bool): Whether the decisions for overload apply from
            the start. Defaults to False.
    """

    instance: ids.InstanceId
    domain: ids.DomainId
    region: ids.RegionId
    callers: str
    readiness: str
    peers: str
    lookups: str
    relay: str
    metrics_port: int
    seed_addresses: tuple[str, ...]
    region_by_domain: dict[ids.DomainId, ids.RegionId]
    store: str
    promises: FleetLimits
    memory_limit_bytes: int = 0
    expects_overload: bool = False
