"""The peers of an entry, that is the other entries of the fleet.

Peers are known from their registrations in the store. Region peers, those of
the entry's own region, also send heartbeats of their own. The state of the
entries of another region is known from digests, which any entry of that region
may send.
"""

import enum

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.state import message_delay
from chicorydoor.state import object_cache_index
from chicorydoor.state import rate_shares
from chicorydoor.state import request_crashes
from chicorydoor.state import target_rate_limits
from chicorydoor.state import target_report


class EntryState(enum.Enum):
    """State that an entry announces of itself."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class Registration(msgspec.Struct, frozen=True):
    """Addresses of an entry, as the entry registered them in the store.

    Args:
        instance (str): The entry's instance id.
        incarnation (int): Start of the process, milliseconds since the
            epoch by its own clock, which may have been set back since an
            earlier start.
        domain (str): Its failure domain.
        region (str): Its region.
        peer_address (str): ``ip:port`` for messages from peers.
        caller_address (str): ``ip:port`` for requests from callers.
        relay_address (str): ``ip:port`` for requests that peers relay; empty
            if it takes none. Defaults to empty.
    """

    instance: ids.InstanceId
    incarnation: int
    domain: ids.DomainId
    region: ids.RegionId
    peer_address: str
    caller_address: str
    relay_address: str = ""


class Extent(msgspec.Struct, frozen=True, array_like=True):
    """How current an entry's copy of a store prefix is.

    Args:
        as_of (int): Store revision up to which the copy is complete.
        latest (int): Store revision of the latest significant change, as
            ``store_mirror.StoreMirror`` defines it.
    """

    as_of: int
    latest: int


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """Periodic message of an entry to each of its region peers.

    Args:
        registration (Registration): The sender.
        standing (EntryState): The sender's entry state.
        extent_by_prefix (dict): Extents of the sender's store copies.
        rate_by_customer (dict): The sender's rate shares, or those that
            have changed.
        is_whole (bool): Whether ``rate_by_customer`` has all shares.
            Changes are ignored until all shares have arrived once. Defaults
            to True.
        beat (int): Sequence number of the heartbeat, since relayed
            heartbeats may overtake each other. Defaults to 0.
        reads_store (bool): Whether the sender can read the store. Defaults
            to True.
        unheard (list): Region peers that the sender has not recently seen.
            Defaults to none.
        sightings (list): Objects that targets have newly cached. Defaults
            to none.
        target_reports (list): The sender's new observations of targets.
            Defaults to none.
        limit_reports (list): What targets have responded to the sender about
            their rate limits. Defaults to none.
        crash_reports (list): What the sender knows of requests that end
            their targets. Defaults to none.
        trusted_idle_s (float): Longest idle time, in seconds, after which the
            sender reuses a connection to a target, from requests that it
            lost itself on idle connections; None without any. Defaults to
            None.
        out_of_reach (list): Services of which the sender can use too few
            targets. Defaults to none.
        sent_at (float): When it was sent, in seconds on the sender's steady
            clock; 0 if the sender does not tell. Defaults to 0.
        store_epoch (int): Epoch of the store that the extents refer to.
            Defaults to 0.
    """

    registration: Registration
    standing: EntryState
    extent_by_prefix: dict[str, Extent]
    rate_by_customer: rate_shares.RateTable
    is_whole: bool = True
    beat: int = 0
    reads_store: bool = True
    unheard: list[ids.InstanceId] = []
    sightings: list[object_cache_index.CachedObject] = []
    target_reports: list[target_report.TargetReport] = []
    limit_reports: list[target_rate_limits.LimitReport] = []
    crash_reports: list[request_crashes.CrashReport] = []
    trusted_idle_s: float | None = None
    out_of_reach: list[ids.ServiceId] = []
    sent_at: float = 0.0
    store_epoch: int = 0


class RegionDigest(msgspec.Struct, frozen=True, tag="digest"):
    """Summary of a region that one of its entries sends to other regions.

    Args:
        region (str): The sender's region.
        reply_address (str): ``ip:port`` of the sender.
        ready (list): Some entries that accept requests.
        unlisted (list): The sender, and entries of the region that it has
            recently seen but that have no registration in the store.
        extent_by_prefix (dict): Extents of the sender's store copies.
        rate_by_customer (dict): Rate shares and demand of the whole region.
        limit_reports (list): What targets have lately responded to the region
            about their rate limits. Defaults to none.
        crash_reports (list): What the sender knows of requests that end
            their targets. Defaults to none.
        store_epoch (int): Epoch of the store that the extents refer to.
            Defaults to 0.
    """

    region: ids.RegionId
    reply_address: str
    ready: list[ids.InstanceId]
    unlisted: list[ids.InstanceId]
    extent_by_prefix: dict[str, Extent]
    rate_by_customer: rate_shares.RateTable
    limit_reports: list[target_rate_limits.LimitReport] = []
    crash_reports: list[request_crashes.CrashReport] = []
    store_epoch: int = 0


class PeerState:
    """State of a peer.

    Args:
        registration (Registration): The peer's latest registration.
    """

    def __init__(self, registration: Registration) -> None:
        self.registration = registration
        self.heartbeat: Heartbeat | None = None
        self.rate_by_customer: rate_shares.RateTable | None = None
        self.rates_complete_at = float("-inf")
        self.last_seen_at = float("-inf")
        self.is_registered = False
        self.unregistered_at = float("-inf")
        # How late its latest heartbeat arrived.
        self.message_delay_s = 0.0
        self._message_delay = message_delay.MessageDelay()

    def is_recently_seen(self, now: float, silence_s: float) -> bool:
        """Whether the peer was last seen less than ``silence_s`` ago.

        Args:
            now (float): Current time in seconds.
            silence_s (float): Longest silence, in seconds.
        """
        return now - self.last_seen_at < silence_s

    @property
    def is_ready(self) -> bool:
        """Whether the peer has announced that it is ready."""
        return (
            self.heartbeat is not None
            and self.heartbeat.standing is EntryState.READY
        )

    def reaches(self, service_id: ids.ServiceId) -> bool:
        """Whether the peer is ready and reaches a service."""
        return (
            self.heartbeat is not None
            and self.is_ready
            and service_id not in self.heartbeat.out_of_reach
        )

    def forget_messages(self) -> None:
        """Forget what an earlier start of the peer sent."""
        self.heartbeat = None
        self.rate_by_customer = None
        self.rates_complete_at = float("-inf")
        self.message_delay_s = 0.0
        self._message_delay = message_delay.MessageDelay()

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Apply a heartbeat of this peer."""
        self.heartbeat = heartbeat
        self.last_seen_at = now
        if heartbeat.sent_at > 0:
            self.message_delay_s = self._message_delay.record(
                heartbeat.sent_at, now
            )
        if heartbeat.is_whole:
            self.rate_by_customer = dict(heartbeat.rate_by_customer)
            self.rates_complete_at = now
        elif self.rate_by_customer is not None:
            self.rate_by_customer |= heartbeat.rate_by_customer


class _ReceivedDigest(msgspec.Struct):
    digest: RegionDigest
    received_at: float


class FleetView:
    """All peers of an entry, with their liveness.

    Args:
        own_registration (Registration): This entry.
        silence_s (float): Seconds without a heartbeat after which a peer
            is not offered to callers.
        remove_after_s (float): Seconds without a message after which an
            unregistered peer is removed and its rate shares become free, if
            its registration ended more than ``silence_s`` ago.
        digest_silence_s (float): Seconds without a digest after which a
            region's entries are not offered to callers.
    """

    def __init__(
        self,
        own_registration: Registration,
        silence_s: float,
        remove_after_s: float,
        digest_silence_s: float,
    ) -> None:
        self.own_registration = own_registration
        self._silence_s = silence_s
        self._remove_after_s = remove_after_s
        self._digest_silence_s = digest_silence_s
        self.peer_by_instance: dict[ids.InstanceId, PeerState] = {}
        self._digest_by_region: dict[ids.RegionId, _ReceivedDigest] = {}
        self._peers_by_region: dict[ids.RegionId, list[PeerState]] | None = (
            None
        )

    def record_registration(
        self, registration: Registration, now: float
    ) -> None:
        """Record a peer's registration from the store."""
        peer = self._add_or_update_peer(registration, now)
        if peer is not None:
            peer.is_registered = True

    def record_unregistration(
        self, instance: ids.InstanceId, now: float
    ) -> None:
        """Record that a peer's registration has expired or was deleted."""
        peer = self.peer_by_instance.get(instance)
        if peer is not None:
            peer.is_registered = False
            peer.unregistered_at = now

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Apply a peer's heartbeat.

        Returns:
            False if it is ignored: it is this entry's own or older than one
            applied before.
        """
        peer = self._add_or_update_peer(heartbeat.registration, now)
        if peer is None:
            return False
        known = peer.registration.incarnation
        if heartbeat.registration.incarnation < known:
            return False
        latest = peer.heartbeat
        if latest is not None and heartbeat.beat < latest.beat:
            return False
        peer.apply_heartbeat(heartbeat, now)
        return True

    def record_digest(self, digest: RegionDigest, now: float) -> None:
        """Record another region's digest; one of the own region is ignored."""
        if digest.region == self.own_registration.region:
            return
        self._digest_by_region[digest.region] = _ReceivedDigest(digest, now)
        for instance in digest.unlisted:
            peer = self.peer_by_instance.get(instance)
            if peer is not None:
                peer.last_seen_at = now

    def _add_or_update_peer(
        self, registration: Registration, now: float
    ) -> PeerState | None:
        if registration.instance == self.own_registration.instance:
            return None
        peer = self.peer_by_instance.get(registration.instance)
        if peer is None:
            peer = PeerState(registration)
            self.peer_by_instance[registration.instance] = peer
            self._peers_by_region = None
        elif self._is_other_start(registration, peer, now):
            peer.registration = registration
            self._peers_by_region = None
            peer.forget_messages()
        return peer

    def _is_other_start(
        self, registration: Registration, peer: PeerState, now: float
    ) -> bool:
        """Whether a registration is of another start that replaces the known.

        Incarnations are times of day: that of a start after a clock was set
        back is lower. It counts once the known start is no longer heard;
        before, it is a late message of an earlier start.
        """
        known = peer.registration.incarnation
        is_heard = peer.heartbeat is not None and peer.is_recently_seen(
            now, self._silence_s
        )
        return registration.incarnation > known or (
            registration.incarnation < known and not is_heard
        )

    def remove_gone(self, now: float) -> list[PeerState]:
        """Remove and return the unregistered peers that are long silent."""
        gone = [
            peer
            for peer in self.peer_by_instance.values()
            if not peer.is_registered
            and now - peer.last_seen_at > self._remove_after_s
            and now - peer.unregistered_at > self._silence_s
        ]
        for peer in gone:
            del self.peer_by_instance[peer.registration.instance]
        if gone:
            self._peers_by_region = None
            remaining_regions = self.peers_by_remote_region()
            self._digest_by_region = {
                region: latest
                for region, latest in self._digest_by_region.items()
                if region in remaining_regions
            }
        return gone

    def _get_peers_by_region(self) -> dict[ids.RegionId, list[PeerState]]:
        """Return the peers by region; derived again when they change."""
        if self._peers_by_region is None:
            self._peers_by_region = {}
            for peer in self.peer_by_instance.values():
                self._peers_by_region.setdefault(
                    peer.registration.region, []
                ).append(peer)
        return self._peers_by_region

    def region_peers(self) -> list[PeerState]:
        """Region peers that may be alive."""
        return list(
            self._get_peers_by_region().get(self.own_registration.region, ())
        )

    def region_peers_by_domain(self) -> dict[ids.DomainId, list[PeerState]]:
        """Region peers that may be alive, by failure domain."""
        peers_by_domain: dict[ids.DomainId, list[PeerState]] = {}
        for peer in self.region_peers():
            domain = peer.registration.domain
            peers_by_domain.setdefault(domain, []).append(peer)
        return peers_by_domain

    def live_region_peers(self, now: float) -> list[PeerState]:
        """Region peers that were recently seen."""
        return [
            peer
            for peer in self.region_peers()
            if peer.is_recently_seen(now, self._silence_s)
        ]

    def peers_by_remote_region(self) -> dict[ids.RegionId, list[PeerState]]:
        """Entries of other regions that may be alive, by region."""
        return {
            region: list(peers)
            for region, peers in self._get_peers_by_region().items()
            if region != self.own_registration.region
        }

    def ready_region_peers(self, now: float) -> list[Registration]:
        """Region peers that can be offered to callers."""
        return [
            peer.registration
            for peer in self.live_region_peers(now)
            if peer.is_ready
        ]

    def ready_peers(self, now: float) -> list[Registration]:
        """Peers that can be offered to callers, region peers first."""
        return self.ready_region_peers(now) + self.ready_remote_peers(now)

    def ready_remote_peers(self, now: float) -> list[Registration]:
        """Entries of other regions that can be offered to callers."""
        ready: list[Registration] = []
        for latest in self._digest_by_region.values():
            if now - latest.received_at >= self._digest_silence_s:
                continue
            ready += [
                self.peer_by_instance[instance].registration
                for instance in latest.digest.ready
                if instance in self.peer_by_instance
            ]
        return ready

    def cut_off_instances(
        self, own_out_of_reach: frozenset[ids.ServiceId], now: float
    ) -> set[ids.InstanceId]:
        """Ready entries of the region that miss a service others reach.

        Args:
            own_out_of_reach (frozenset): Services out of this entry's reach.
            now (float): Current time in seconds.
        """
        out_of_reach_by_instance = {
            peer.registration.instance: frozenset(peer.heartbeat.out_of_reach)
            for peer in self.live_region_peers(now)
            if peer.heartbeat is not None and peer.is_ready
        }
        own_instance = self.own_registration.instance
        out_of_reach_by_instance[own_instance] = own_out_of_reach
        reached_by_none = frozenset.intersection(
            *out_of_reach_by_instance.values()
        )
        return {
            instance
            for instance, services in out_of_reach_by_instance.items()
            if services - reached_by_none
        }

    @property
    def entry_count(self) -> int:
        """Number of entries that may be alive, including this one."""
        return 1 + len(self.peer_by_instance)

    def instances(self) -> list[ids.InstanceId]:
        """Instance ids of entries that may be alive, including this one."""
        return [self.own_registration.instance, *self.peer_by_instance]

    def region_instances(
        self, region: ids.RegionId | None = None
    ) -> list[ids.InstanceId]:
        """Instance ids of a region's entries that may be alive.

        Args:
            region (str): The region. Defaults to that of this entry, which
                is included then.
        """
        region = region or self.own_registration.region
        return [
            registration.instance
            for registration in (
                self.own_registration,
                *(
                    peer.registration
                    for peer in self.peer_by_instance.values()
                ),
            )
            if registration.region == region
        ]

    def announced_rates_of_region(self) -> list[rate_shares.AnnouncedRates]:
        """Announced rate shares, one item for each region peer."""
        return [
            rate_shares.AnnouncedRates(
                1,
                peer.rate_by_customer,
                peer.registration.instance,
                peer.rates_complete_at,
            )
            for peer in self.region_peers()
        ]

    def announced_rates_of_other_regions(
        self,
    ) -> list[rate_shares.AnnouncedRates]:
        """Announced rate shares, one item for each other region."""
        reported = []
        for region, peers in self.peers_by_remote_region().items():
            latest = self._digest_by_region.get(region)
            table = latest.digest.rate_by_customer if latest else None
            reported.append(rate_shares.AnnouncedRates(len(peers), table))
        return reported

    def is_in_minority(self, now: float, silence_s: float) -> bool:
        """Whether fewer than half of the peers were recently seen.

        The others may then regard this entry as gone and claim its rate
        shares.

        Args:
            now (float): Current time in seconds.
            silence_s (float): Seconds without a message after which a peer
                or a region counts as silent.
        """
        seen = sum(
            peer.is_recently_seen(now, silence_s)
            for peer in self.region_peers()
        )
        for region, peers in self.peers_by_remote_region().items():
            received = self._digest_by_region.get(region)
            if received is not None and now - received.received_at < silence_s:
                seen += len(peers)
        return 2 * seen < len(self.peer_by_instance)
