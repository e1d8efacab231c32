"""Exchange of heartbeats, digests and store updates between entries.

Every entry sends heartbeats to all entries of its region, and digests of the
region to a few entries of other regions. Messages may be lost. Heartbeats and
digests are therefore repeated, and carry how far the sender's copies of the
store reach, so that an entry which missed an update requests it.
"""

import asyncio
from collections import abc
import logging
import random
import typing

from chicorydoor import errors
from chicorydoor.coordination import rate_desk
from chicorydoor.coordination import region_teller
from chicorydoor.coordination import store_follower
from chicorydoor.protocol import fleet_messages
from chicorydoor.protocol import ids
from chicorydoor.state import fleet_view
from chicorydoor.state import idle_caution
from chicorydoor.state import object_memory
from chicorydoor.state import rate_shares
from chicorydoor.state import target_book
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import nng_transport

# Interval of heartbeats. They carry rate shares and repair lost updates:
# several fit into the tightest time limit, the few seconds within which a
# withdrawn key has to be refused.
HEARTBEAT_S = 0.4
# With more peers than this in the region the interval grows, up to two
# heartbeats within SILENCE_S.
_MAX_PEERS_AT_FULL_RATE = 12
_MAX_HEARTBEAT_INTERVAL_S = 0.8
# Callers are not sent to an entry that was silent for this long.
SILENCE_S = 2.0
# One heartbeat in this many carries all rates, the others only those that
# have changed.
_FULL_RATES_EVERY = 4
# From this many entries on in another failure domain, one of them relays
# messages to the rest.
_MIN_RELAYED_ENTRIES = 3
# Interval of digests between regions; two fit into the time within which rate
# shares follow demand.
DIGEST_S = 0.8
# Callers are not sent to a region that was silent for this long. Each time
# only a few of its entries send digests, some of which may be lost.
DIGEST_SILENCE_S = 4.0
# Digests are not acknowledged, so their connections are reopened at this
# interval in case one has failed silently.
_DIGEST_RECONNECT_INTERVAL_S = 5.0
# A connection that delivered nothing for this long is reopened.
_RECONNECT_AFTER_S = 1.6

_LOG = logging.getLogger(__name__)


def heartbeat_s(mates: int) -> float:
    """Return the seconds between two heartbeats.

    Args:
        mates (int): Number of peers in the region.
    """
    scale = max(1.0, mates / _MAX_PEERS_AT_FULL_RATE)
    return min(_MAX_HEARTBEAT_INTERVAL_S, HEARTBEAT_S * scale)


class Link(nng_transport.PeerTransport, typing.Protocol):
    """A link whose connections can be reopened."""

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
        rates (RateShares): This entry's rate shares, sent in heartbeats.
        teller (RegionTeller): Builds the digests for other regions.
        desk (RateDesk): Handles requests for tokens.
        memory (ObjectMemory): Index of the objects that targets have cached.
        book (TargetBook): The known targets and observations of them.
        caution (IdleCaution): How long idle connections to targets are
            trusted.
        rng (Random): Source of random numbers.
    """

    def __init__(
        self,
        *,
        fleet: fleet_view.FleetView,
        link: Link,
        clock: clock_module.Clock,
        seed_addresses: abc.Sequence[str],
        rates: rate_shares.RateShares,
        teller: region_teller.RegionTeller,
        desk: rate_desk.RateDesk,
        memory: object_memory.ObjectMemory,
        book: target_book.TargetBook,
        caution: idle_caution.IdleCaution,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._memory = memory
        self._book = book
        self._caution = caution
        self._rng = rng
        self._link = link
        self._clock = clock
        self._seed_addresses = seed_addresses
        self._rates = rates
        self._teller = teller
        self.standing = fleet_view.Standing.STARTING
        self.follower_by_prefix: dict[str, store_follower.StoreFollower] = {}
        self._reconnected_at_by_address: dict[str, float] = {}
        self._live_instances: set[ids.InstanceId] = set()
        self._heartbeat_count = 0
        self._handler_by_type: dict[type, abc.Callable[..., None]] = {
            fleet_view.Heartbeat: self._handle_heartbeat,
            fleet_view.RegionDigest: self._handle_digest,
            fleet_messages.StoreNews: self._handle_store_news,
            fleet_messages.StoreHint: self._handle_store_hint,
            fleet_messages.StoreCopy: self._handle_store_copy,
            fleet_messages.CopyRequest: self._send_copy,
            fleet_messages.RateAsk: desk.answer,
            fleet_messages.RateAnswer: desk.take_answer,
            fleet_messages.RateReturn: desk.take_return,
            fleet_messages.Relay: self._handle_relay,
        }

    def add_follower(self, follower: store_follower.StoreFollower) -> None:
        """Exchange updates of a part of the store with peers."""
        self.follower_by_prefix[follower.part.prefix] = follower

    # Sending.

    def set_standing(self, standing: fleet_view.Standing) -> None:
        """Set the state of this entry and publish it at once."""
        if standing is self.standing:
            return
        _LOG.info(
            "standing changed",
            extra={"before": self.standing.value, "after": standing.value},
        )
        self.standing = standing
        self.send_heartbeats()

    def publish(self, message: fleet_messages.Message) -> None:
        """Send a message to every other entry of the region."""
        self._send_to_region(fleet_messages.encode(message))

    def _send_to_region(self, data: bytes) -> None:
        """Send encoded data to all entries of the region.

        Traffic between failure domains is costly. In a domain of several
        entries a random one of them relays the data to the rest.
        """
        if not self._fleet.member_by_instance:
            for address in self._seed_addresses:
                if address != self._fleet.me.peer_address:
                    self._link.send(address, data)
        for domain, members in self._fleet.mates_by_domain().items():
            relay = self._choose_relay(domain, members)
            if relay is None:
                _send_to_all(self._link, members, data)
                continue
            wrapped = fleet_messages.Relay(
                fleet_messages.RelayScope.DOMAIN, data
            )
            self._link.send(
                relay.registration.peer_address,
                fleet_messages.encode(wrapped),
            )

    def _choose_relay(
        self, domain: ids.DomainId, members: list[fleet_view.Member]
    ) -> fleet_view.Member | None:
        """Return the entry that relays to its failure domain.

        Returns:
            The entry; None to send to each entry of the domain directly.
        """
        if (
            domain == self._fleet.me.domain
            or len(members) < _MIN_RELAYED_ENTRIES
        ):
            return None
        now = self._clock.now()
        recently_seen = [
            entry for entry in members if entry.is_live(now, SILENCE_S)
        ]
        return self._rng.choice(recently_seen) if recently_seen else None

    def _extent_by_prefix(self) -> dict[str, fleet_view.Extent]:
        return {
            prefix: follower.extent()
            for prefix, follower in self.follower_by_prefix.items()
        }

    def send_heartbeats(self) -> None:
        """Publish this entry's state to the region."""
        now = self._clock.now()
        is_whole = self._heartbeat_count % _FULL_RATES_EVERY == 0
        self._heartbeat_count += 1
        unheard = [
            member.registration.instance
            for member in self._fleet.mates()
            if not member.is_live(now, SILENCE_S)
        ]
        self.publish(
            fleet_view.Heartbeat(
                registration=self._fleet.me,
                standing=self.standing,
                extent_by_prefix=self._extent_by_prefix(),
                rate_by_customer=(
                    self._rates.reports()
                    if is_whole
                    else self._rates.moved_reports()
                ),
                is_whole=is_whole,
                beat=self._heartbeat_count,
                reads_store=not any(
                    follower.is_lost
                    for follower in self.follower_by_prefix.values()
                ),
                unheard=unheard,
                sightings=self._memory.take_news(now),
                target_reports=self._book.take_reports(),
                trusted_idle_s=self._caution.own_limit_s(now),
            )
        )

    def send_digests(self) -> None:
        """Send digests of this region to entries of other regions."""
        now = self._clock.now()
        addresses = self._teller.next_addresses(now)
        if not addresses:
            return
        digest = self._teller.digest(
            self.standing, self._extent_by_prefix(), now
        )
        relay = fleet_messages.Relay(
            fleet_messages.RelayScope.REGION, fleet_messages.encode(digest)
        )
        data = fleet_messages.encode(relay)
        for address in addresses:
            self._reconnect_if_due(address, _DIGEST_RECONNECT_INTERVAL_S)
            self._link.send(address, data)

    async def run(self) -> None:
        """Exchange messages until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_heartbeats())
            group.create_task(self._run_digests())
            group.create_task(self._receive())

    async def _run_heartbeats(self) -> None:
        while True:
            self.send_heartbeats()
            self._log_peer_changes()
            self._reconnect_silent_peers()
            await asyncio.sleep(heartbeat_s(len(self._fleet.mates())))

    async def _run_digests(self) -> None:
        # A digest is incomplete until the entry has got its peers' heartbeats.
        await asyncio.sleep(SILENCE_S)
        while True:
            self.send_digests()
            await asyncio.sleep(DIGEST_S)

    def _log_peer_changes(self) -> None:
        """Log the peers that went silent, returned or expired."""
        now = self._clock.now()
        for member in self._fleet.forget_gone(now):
            _LOG.info(
                "peer forgotten",
                extra={"peer": member.registration.instance},
            )
        live_now = {
            member.registration.instance
            for member in self._fleet.live_mates(now)
        }
        for instance in live_now - self._live_instances:
            _LOG.info("peer heard", extra={"peer": instance})
        for instance in self._live_instances - live_now:
            _LOG.warning("peer silent", extra={"peer": instance})
        self._live_instances = live_now

    def _reconnect_silent_peers(self) -> None:
        """Reopen connections that stopped delivering without an error."""
        now = self._clock.now()
        me = self._fleet.me.instance
        for member in self._fleet.mates():
            last_heartbeat = member.heartbeat
            is_recent = member.is_live(now, _RECONNECT_AFTER_S)
            has_seen_us = (
                last_heartbeat is not None and me not in last_heartbeat.unheard
            )
            if not (is_recent and has_seen_us):
                address = member.registration.peer_address
                self._reconnect_if_due(address, _RECONNECT_AFTER_S)

    def _reconnect_if_due(self, address: str, interval_s: float) -> None:
        now = self._clock.now()
        last = self._reconnected_at_by_address.setdefault(address, now)
        if now - last >= interval_s:
            self._reconnected_at_by_address[address] = now
            self._link.reset_connection(address)

    # Receiving.

    async def _receive(self) -> None:
        while True:
            self._handle_data(await self._link.receive())

    def _handle_data(self, data: bytes) -> None:
        try:
            message = fleet_messages.decode(data)
        except errors.PeerError as error:
            _LOG.warning(
                "cannot decode peer message", extra={"reason": f"{error}"}
            )
            return
        self.take(message)

    def _handle_relay(self, relay: fleet_messages.Relay) -> None:
        if relay.scope is fleet_messages.RelayScope.REGION:
            self._send_to_region(relay.data)
        else:
            peers_by_domain = self._fleet.mates_by_domain()
            domain_peers = peers_by_domain.get(self._fleet.me.domain, [])
            _send_to_all(self._link, domain_peers, relay.data)
        self._handle_data(relay.data)

    def take(self, message: fleet_messages.Message) -> None:
        """Handle a message from a peer."""
        self._handler_by_type[type(message)](message)

    def _handle_store_news(self, news: fleet_messages.StoreNews) -> None:
        follower = self.follower_by_prefix.get(news.prefix)
        if follower is not None:
            follower.take_news(news)

    def _handle_store_hint(self, hint: fleet_messages.StoreHint) -> None:
        follower = self.follower_by_prefix.get(hint.prefix)
        if follower is not None:
            follower.take_hint(hint)

    def _handle_store_copy(self, copy: fleet_messages.StoreCopy) -> None:
        follower = self.follower_by_prefix.get(copy.prefix)
        if follower is not None:
            follower.take_copy(copy)

    def _handle_heartbeat(self, heartbeat: fleet_view.Heartbeat) -> None:
        if not self._fleet.note_heartbeat(heartbeat, self._clock.now()):
            return
        now = self._clock.now()
        self._memory.hear(heartbeat.sightings, now)
        self._book.hear(heartbeat.target_reports, now)
        self._caution.hear(heartbeat.trusted_idle_s, now)
        address = heartbeat.registration.peer_address
        for prefix, extent in heartbeat.extent_by_prefix.items():
            follower = self.follower_by_prefix.get(prefix)
            if follower is not None and follower.wants_copy(extent):
                self._request_copy(prefix, address)

    def _handle_digest(self, digest: fleet_view.RegionDigest) -> None:
        self._fleet.note_digest(digest, self._clock.now())
        for prefix, extent in digest.extent_by_prefix.items():
            follower = self.follower_by_prefix.get(prefix)
            if follower is not None and follower.wants_copy(
                extent, is_far=True
            ):
                self._request_copy(prefix, digest.reply_address)

    def _request_copy(self, prefix: str, address: str) -> None:
        request = fleet_messages.CopyRequest(
            prefix, self._fleet.me.peer_address
        )
        self._link.send(address, fleet_messages.encode(request))

    def _send_copy(self, request: fleet_messages.CopyRequest) -> None:
        follower = self.follower_by_prefix.get(request.prefix)
        if follower is None:
            return
        copy = fleet_messages.StoreCopy(
            request.prefix, follower.mirror.snapshot()
        )
        self._link.send(request.reply_address, fleet_messages.encode(copy))


def _send_to_all(
    link: nng_transport.PeerTransport,
    members: abc.Iterable[fleet_view.Member],
    data: bytes,
) -> None:
    for member in members:
        link.send(member.registration.peer_address, data)
