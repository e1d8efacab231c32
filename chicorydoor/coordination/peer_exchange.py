"""Exchange of heartbeats, digests and store updates between entries.

Every entry sends heartbeats to all entries of its region. At each interval a
few entries of a region send a digest of it to one entry of each other region,
which relays it there. Messages may be lost. Heartbeats and digests are
therefore repeated, and carry how complete the sender's copies of the store
are, so that an entry which missed an update requests it.
"""

import asyncio
from collections import abc
import contextlib
import logging
import random
import typing

from chicorydoor import errors
from chicorydoor.coordination import rate_limiter
from chicorydoor.coordination import region_digests
from chicorydoor.coordination import store_follower
from chicorydoor.coordination import supervision
from chicorydoor.protocol import gossip_messages
from chicorydoor.protocol import ids
from chicorydoor.state import fleet_view
from chicorydoor.state import idle_limit
from chicorydoor.state import object_cache_index
from chicorydoor.state import rate_shares
from chicorydoor.state import request_crashes
from chicorydoor.state import service_reach
from chicorydoor.state import target_rate_limits
from chicorydoor.state import target_views
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics
from chicorydoor.transport import nng_transport

# Interval of heartbeats. They carry rate shares and repair lost updates:
# several fit into the tightest time limit, the few seconds within which a
# withdrawn key has to be refused.
HEARTBEAT_INTERVAL_S = 0.4
# With more peers than this in the region the interval grows, up to two
# heartbeats within PEER_SILENT_AFTER_S.
_MAX_PEERS_AT_FULL_RATE = 12
_MAX_HEARTBEAT_INTERVAL_S = 0.8
# Callers are not sent to an entry that was silent for this long.
PEER_SILENT_AFTER_S = 2.0
# One heartbeat in this many carries all rates, the others only those that
# have changed.
_FULL_RATES_EVERY = 4
# From this many entries on in another failure domain, one of them relays
# messages to the rest.
_MIN_RELAYED_ENTRIES = 3
# Interval of digests between regions; two fit into the time within which rate
# shares follow demand.
DIGEST_INTERVAL_S = 0.8
# Callers are not sent to a region that was silent for this long. Each time
# only a few of its entries send digests, some of which may be lost.
REGION_SILENT_AFTER_S = 4.0
# Digests are not acknowledged, so their connections are reopened at this
# interval in case one has failed silently.
_DIGEST_RECONNECT_INTERVAL_S = 5.0
# A connection that delivered nothing for this long is reopened.
_RECONNECT_AFTER_S = 1.6

# Messages that are later than this are logged. Changes of configuration have
# to reach all entries within a few seconds.
_LOGGED_MESSAGE_DELAY_S = 0.5
# When messages are late, most of them are.
_DELAY_LOG_INTERVAL_S = 1.0

# Messages that hold another message, which must not be one of these again.
_WRAPPERS = (
    gossip_messages.RelayedMessage,
    gossip_messages.CompressedMessage,
)

_LOG = logging.getLogger(__name__)


def heartbeat_interval_s(peer_count: int) -> float:
    """Return the seconds between two heartbeats.

    Args:
        peer_count (int): Number of peers in the region.
    """
    scale = max(1.0, peer_count / _MAX_PEERS_AT_FULL_RATE)
    return min(_MAX_HEARTBEAT_INTERVAL_S, HEARTBEAT_INTERVAL_S * scale)


class Link(nng_transport.PeerTransport, typing.Protocol):
    """Peer transport that can reopen the connection to an address."""

    def reset_connection(self, address: str) -> None:
        """Reopen the connection to an address."""


class PeerExchange:
    """Sends and handles the messages between this entry and its peers.

    Args:
        fleet (FleetView): The known entries.
        link (Link): Transport of messages.
        clock (Clock): Source of time.
        seed_addresses (Sequence): ``ip:port`` of the peers to contact while
            no other is known.
        shares (RateShares): This entry's rate shares, sent in heartbeats.
        digests (RegionDigests): Builds the digests for other regions.
        limiter (RateLimiter): Handles requests for tokens.
        cache_index (ObjectCacheIndex): Index of the objects that targets have
            cached.
        rate_limits (TargetRateLimits): The limits that targets name.
        crashes (RequestCrashes): The requests that end their targets.
        targets (TargetViews): The known targets and observations of them.
        connection_idle_limit (IdleLimit): How long idle connections to targets
            are trusted.
        reach (ServiceReach): The services that this entry reaches.
        rng (Random): Source of random numbers.
    """

    def __init__(
        self,
        *,
        fleet: fleet_view.FleetView,
        link: Link,
        clock: clock_module.Clock,
        seed_addresses: abc.Sequence[str],
        shares: rate_shares.RateShares,
        digests: region_digests.RegionDigests,
        limiter: rate_limiter.RateLimiter,
        cache_index: object_cache_index.ObjectCacheIndex,
        rate_limits: target_rate_limits.TargetRateLimits,
        crashes: request_crashes.RequestCrashes,
        targets: target_views.TargetViews,
        connection_idle_limit: idle_limit.IdleLimit,
        reach: service_reach.ServiceReach,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._cache_index = cache_index
        self._rate_limits = rate_limits
        self._crashes = crashes
        self._targets = targets
        self._idle_limit = connection_idle_limit
        self._reach = reach
        self._rng = rng
        self._link = link
        self._clock = clock
        self._seed_addresses = seed_addresses
        self._shares = shares
        self._digests = digests
        self.state = fleet_view.EntryState.STARTING
        self.follower_by_prefix: dict[str, store_follower.StoreFollower] = {}
        self._reconnected_at_by_address: dict[str, float] = {}
        self._live_instances: set[ids.InstanceId] = set()
        self._heartbeat_count = 0
        self._delay_logged_at = float("-inf")
        self._handler_by_type: dict[type, abc.Callable[..., None]] = {
            fleet_view.Heartbeat: self._handle_heartbeat,
            fleet_view.RegionDigest: self._handle_digest,
            gossip_messages.StoreChanges: self._handle_store_changes,
            gossip_messages.StoreProgress: self._handle_store_progress,
            gossip_messages.StoreCopy: self._handle_store_copy,
            gossip_messages.StoreCopyRequest: self._send_copy,
            gossip_messages.RateTokenRequest: limiter.handle_request,
            gossip_messages.RateTokenReply: limiter.handle_reply,
            gossip_messages.RateTokenRelease: limiter.handle_release,
            gossip_messages.RelayedMessage: self._handle_relay,
            gossip_messages.CompressedMessage: self._handle_compressed,
        }

    def add_follower(self, follower: store_follower.StoreFollower) -> None:
        """Exchange updates of a part of the store with peers."""
        self.follower_by_prefix[follower.policy.prefix] = follower

    # Sending.

    def set_state(self, state: fleet_view.EntryState) -> None:
        """Set the state of this entry and publish it at once."""
        if state is self.state:
            return
        _LOG.info(
            "standing changed",
            extra={"before": self.state.value, "after": state.value},
        )
        self.state = state
        self.send_heartbeats()

    def publish(self, message: gossip_messages.Message) -> None:
        """Send a message to every other entry of the region."""
        self._send_to_region(message, gossip_messages.encode_compact(message))

    def _send_to_region(
        self, message: gossip_messages.Message, data: bytes
    ) -> None:
        """Send an encoded message to all entries of the region.

        Traffic between failure domains is costly. In a domain of several
        entries a random one of them relays the data to the rest.
        """
        if not self._fleet.peer_by_instance:
            for address in self._seed_addresses:
                if address != self._fleet.own_registration.peer_address:
                    self._send(message, data, address)
        for domain, peers in self._fleet.region_peers_by_domain().items():
            relay = self._choose_relay(domain, peers)
            if relay is None:
                self._send_to_all(message, data, peers)
                continue
            wrapped = gossip_messages.RelayedMessage(
                gossip_messages.RelayScope.DOMAIN, data
            )
            self._send(
                message,
                gossip_messages.encode(wrapped),
                relay.registration.peer_address,
            )

    def _choose_relay(
        self, domain: ids.DomainId, peers: list[fleet_view.PeerState]
    ) -> fleet_view.PeerState | None:
        """Return the entry that relays to its failure domain.

        Returns:
            The entry; None to send to each entry of the domain directly.
        """
        if (
            domain == self._fleet.own_registration.domain
            or len(peers) < _MIN_RELAYED_ENTRIES
        ):
            return None
        now = self._clock.now()
        recently_seen = [
            entry
            for entry in peers
            if entry.is_recently_seen(now, PEER_SILENT_AFTER_S)
        ]
        return self._rng.choice(recently_seen) if recently_seen else None

    def _store_epoch(self) -> int:
        """Return the latest epoch of the store that a local copy has."""
        followers = self.follower_by_prefix.values()
        return max((each.mirror.epoch for each in followers), default=0)

    def _extent_by_prefix(self) -> dict[str, fleet_view.Extent]:
        """Return the extents of the copies that have the latest epoch."""
        epoch = self._store_epoch()
        return {
            prefix: follower.local_extent()
            for prefix, follower in self.follower_by_prefix.items()
            if follower.mirror.epoch == epoch
        }

    def send_heartbeats(self) -> None:
        """Publish this entry's state to the region."""
        now = self._clock.now()
        has_all_rates = self._heartbeat_count % _FULL_RATES_EVERY == 0
        self._heartbeat_count += 1
        silent_instances = [
            peer.registration.instance
            for peer in self._fleet.region_peers()
            if not peer.is_recently_seen(now, PEER_SILENT_AFTER_S)
        ]
        target_reports = self._targets.pop_reports(now)
        if self._reach.is_cut_off:
            # The failures say nothing about the targets.
            target_reports = []
        self.publish(
            fleet_view.Heartbeat(
                registration=self._fleet.own_registration,
                standing=self.state,
                extent_by_prefix=self._extent_by_prefix(),
                rate_by_customer=(
                    self._shares.full_reports()
                    if has_all_rates
                    else self._shares.changed_reports()
                ),
                is_whole=has_all_rates,
                beat=self._heartbeat_count,
                reads_store=not any(
                    follower.is_store_unreachable
                    for follower in self.follower_by_prefix.values()
                ),
                unheard=silent_instances,
                sightings=self._cache_index.pop_unpublished(now),
                target_reports=target_reports,
                limit_reports=self._rate_limits.pop_reports(now),
                crash_reports=self._crashes.recent_reports(now),
                trusted_idle_s=self._idle_limit.own_limit_s(now),
                out_of_reach=sorted(self._reach.out_of_reach),
                sent_at=now,
                store_epoch=self._store_epoch(),
            )
        )

    def send_digests(self) -> None:
        """Send digests of this region to entries of other regions."""
        now = self._clock.now()
        addresses = self._digests.choose_receivers(now)
        if not addresses:
            return
        digest = self._digests.build_digest(
            self.state,
            self._reach.out_of_reach,
            self._extent_by_prefix(),
            self._store_epoch(),
            self._rate_limits.recent_reports(now),
            self._crashes.recent_reports(now),
            now,
        )
        relay = gossip_messages.RelayedMessage(
            gossip_messages.RelayScope.REGION,
            gossip_messages.encode(digest),
        )
        data = gossip_messages.encode(relay)
        for address in addresses:
            self._reconnect_if_due(address, _DIGEST_RECONNECT_INTERVAL_S)
            self._send(digest, data, address)

    async def run(self) -> None:
        """Exchange messages until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.run_heartbeats())
            group.create_task(self.run_digests())
            group.create_task(self.receive_messages())

    async def run_heartbeats(self) -> None:
        """Send heartbeats and watch over the peers until cancelled."""
        while True:
            self.send_heartbeats()
            self._remove_gone_and_log_changes()
            self._reconnect_silent_peers()
            await asyncio.sleep(
                heartbeat_interval_s(len(self._fleet.region_peers()))
            )

    async def run_digests(self) -> None:
        """Send digests until cancelled."""
        # A digest is incomplete until the entry has got its peers' heartbeats.
        await asyncio.sleep(PEER_SILENT_AFTER_S)
        while True:
            self.send_digests()
            await asyncio.sleep(DIGEST_INTERVAL_S)

    def _remove_gone_and_log_changes(self) -> None:
        """Remove expired peers and log changes.

        Logged are the peers that expired, went silent or returned.
        """
        now = self._clock.now()
        for peer in self._fleet.remove_gone(now):
            _LOG.info(
                "peer forgotten",
                extra={"peer": peer.registration.instance},
            )
        live_now = {
            peer.registration.instance
            for peer in self._fleet.live_region_peers(now)
        }
        for instance in live_now - self._live_instances:
            _LOG.info("peer heard", extra={"peer": instance})
        for instance in self._live_instances - live_now:
            _LOG.warning("peer silent", extra={"peer": instance})
        self._live_instances = live_now

    def _reconnect_silent_peers(self) -> None:
        """Reopen connections that stopped delivering without an error."""
        now = self._clock.now()
        own_instance = self._fleet.own_registration.instance
        for peer in self._fleet.region_peers():
            last_heartbeat = peer.heartbeat
            is_recent = peer.is_recently_seen(now, _RECONNECT_AFTER_S)
            has_seen_us = (
                last_heartbeat is not None
                and own_instance not in last_heartbeat.unheard
            )
            if not (is_recent and has_seen_us):
                address = peer.registration.peer_address
                self._reconnect_if_due(address, _RECONNECT_AFTER_S)

    def _reconnect_if_due(self, address: str, interval_s: float) -> None:
        now = self._clock.now()
        # The first call for an address only starts its interval.
        last = self._reconnected_at_by_address.setdefault(address, now)
        if now - last >= interval_s:
            self._reconnected_at_by_address[address] = now
            self._link.reset_connection(address)

    # Receiving.

    async def receive_messages(self) -> None:
        """Handle the messages of peers until cancelled."""
        while True:
            self._handle_data(await self._link.receive())

    def _handle_data(self, data: bytes) -> None:
        """Handle a message; an error costs this message only."""
        try:
            self.handle_message(gossip_messages.decode(data))
        except errors.PeerError as error:
            metrics.PEER_MESSAGES_REJECTED.labels("undecodable").inc()
            _LOG.warning(
                "cannot decode peer message", extra={"reason": f"{error}"}
            )
        except Exception:
            supervision.record_error("peer message")

    def _handle_compressed(
        self, compressed: gossip_messages.CompressedMessage
    ) -> None:
        data = gossip_messages.decompress(compressed)
        message = gossip_messages.decode(data)
        if isinstance(message, _WRAPPERS):
            raise errors.PeerError("a compressed message holds a wrapped one")
        self.handle_message(message)

    def _handle_relay(self, relay: gossip_messages.RelayedMessage) -> None:
        message: gossip_messages.Message | None = None
        # A message of a later build is relayed although it is unknown here.
        with contextlib.suppress(errors.PeerError):
            message = gossip_messages.decode(relay.data)
        if isinstance(message, gossip_messages.RelayedMessage):
            raise errors.PeerError("a relayed message holds another one")
        if relay.scope is gossip_messages.RelayScope.REGION:
            self._send_to_region(relay, relay.data)
        else:
            peers_by_domain = self._fleet.region_peers_by_domain()
            domain_peers = peers_by_domain.get(
                self._fleet.own_registration.domain, []
            )
            self._send_to_all(relay, relay.data, domain_peers)
        if message is None:
            raise errors.PeerError("a relayed message is unknown")
        self.handle_message(message)

    def handle_message(self, message: gossip_messages.Message) -> None:
        """Handle a message from a peer."""
        self._handler_by_type[type(message)](message)

    def _handle_store_changes(
        self, changes: gossip_messages.StoreChanges
    ) -> None:
        follower = self.follower_by_prefix.get(changes.prefix)
        if follower is not None:
            follower.apply_changes(changes)

    def _handle_store_progress(
        self, progress: gossip_messages.StoreProgress
    ) -> None:
        follower = self.follower_by_prefix.get(progress.prefix)
        if follower is not None:
            follower.handle_progress(progress)

    def _handle_store_copy(self, copy: gossip_messages.StoreCopy) -> None:
        follower = self.follower_by_prefix.get(copy.prefix)
        if follower is not None:
            follower.apply_copy(copy)

    def _handle_heartbeat(self, heartbeat: fleet_view.Heartbeat) -> None:
        if not self._fleet.apply_heartbeat(heartbeat, self._clock.now()):
            # This entry's own, or older than one that was applied before.
            return
        now = self._clock.now()
        self._record_message_delay(heartbeat.registration.instance, now)
        self._cache_index.apply_published(heartbeat.sightings, now)
        self._targets.apply_reports(heartbeat.target_reports, now)
        self._rate_limits.apply_reports(heartbeat.limit_reports, now)
        self._crashes.apply_reports(heartbeat.crash_reports, now)
        self._idle_limit.apply_limit(heartbeat.trusted_idle_s, now)
        address = heartbeat.registration.peer_address
        for prefix, extent in heartbeat.extent_by_prefix.items():
            follower = self.follower_by_prefix.get(prefix)
            if follower is not None and follower.should_request_copy(
                extent, heartbeat.store_epoch
            ):
                self._request_copy(prefix, extent, address)

    def _record_message_delay(
        self, instance: ids.InstanceId, now: float
    ) -> None:
        delay_s = self._fleet.peer_by_instance[instance].message_delay_s
        metrics.PEER_MESSAGE_DELAY_SECONDS.observe(max(0.0, delay_s))
        if (
            delay_s > _LOGGED_MESSAGE_DELAY_S
            and now - self._delay_logged_at >= _DELAY_LOG_INTERVAL_S
        ):
            self._delay_logged_at = now
            _LOG.warning(
                "peer message is late",
                extra={"peer": instance, "delay_ms": round(delay_s * 1000)},
            )

    def _handle_digest(self, digest: fleet_view.RegionDigest) -> None:
        now = self._clock.now()
        self._fleet.record_digest(digest, now)
        self._rate_limits.apply_reports(digest.limit_reports, now)
        self._crashes.apply_reports(digest.crash_reports, now)
        for prefix, extent in digest.extent_by_prefix.items():
            follower = self.follower_by_prefix.get(prefix)
            if follower is not None and follower.should_request_copy(
                extent, digest.store_epoch, is_other_region=True
            ):
                self._request_copy(prefix, extent, digest.reply_address)

    def _request_copy(
        self, prefix: str, extent: fleet_view.Extent, address: str
    ) -> None:
        mirror = self.follower_by_prefix[prefix].mirror
        as_of = mirror.as_of
        request = gossip_messages.StoreCopyRequest(
            prefix,
            self._fleet.own_registration.peer_address,
            as_of,
            mirror.epoch,
        )
        _LOG.info(
            "copy requested",
            extra={
                "prefix": prefix,
                "address": address,
                "as_of": as_of,
                "latest": extent.latest,
            },
        )
        self._send(request, gossip_messages.encode(request), address)

    def _send(
        self, message: gossip_messages.Message, data: bytes, address: str
    ) -> None:
        """Send an encoded message to an address and count its bytes."""
        metrics.FLEET_MESSAGE_BYTES.labels(type(message).__name__).inc(
            len(data)
        )
        self._link.send(address, data)

    def _send_copy(self, request: gossip_messages.StoreCopyRequest) -> None:
        follower = self.follower_by_prefix.get(request.prefix)
        if follower is None:
            return
        reply = follower.answer_copy_request(request.since, request.epoch)
        if reply is None:
            return
        data = gossip_messages.encode_compact(reply)
        _LOG.info(
            "copy sent",
            extra={
                "prefix": request.prefix,
                "address": request.reply_address,
                "bytes": len(data),
                "since": request.since,
                "as_of": reply.batch.as_of,
            },
        )
        self._send(reply, data, request.reply_address)

    def _send_to_all(
        self,
        message: gossip_messages.Message,
        data: bytes,
        peers: abc.Iterable[fleet_view.PeerState],
    ) -> None:
        for peer in peers:
            self._send(message, data, peer.registration.peer_address)
