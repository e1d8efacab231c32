"""Heartbeats, digests and store news between the entries.

Every entry sends heartbeats to every other one of its region, and digests
of the region to some of the others. Messages may be lost: both repeat, and
they tell how far the sender's copies of the store reach, so that an entry
which missed something asks for it.
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
from chicorydoor.transport import nng_link

# Shares of rates and news that were lost move with heartbeats: several fit
# into the shortest bound, a withdrawn key's few seconds.
HEARTBEAT_S = 0.4
# With more entries in the region heartbeats get rarer, down to two within
# the time after which an entry counts as silent.
_FULL_PACE_MATES = 12
_SLOWEST_HEARTBEAT_S = 0.8
# An entry that is silent this long is not named to callers.
SILENCE_S = 2.0
# A heartbeat in this many tells all rates, the others what has moved.
_WHOLE_EVERY = 4
# Entries of another failure domain from which on one passes on to the rest.
_RELAYED = 3
# Between regions; two fit into the time within which shares follow demand.
DIGEST_S = 0.8
# A region that is silent this long is not named to callers: digests come from
# a few of its entries each time, some of which may be lost.
DIGEST_SILENCE_S = 4.0
# Nobody tells whether digests arrive, so their connections are opened anew
# at this interval in case one has gone silent.
_FAR_REDIAL_S = 5.0
# A connection over which nothing came for this long is opened anew.
_REDIAL_S = 1.6

_LOG = logging.getLogger(__name__)


def heartbeat_s(mates: int) -> float:
    """Seconds between two heartbeats with some other entries around."""
    crowd = max(1.0, mates / _FULL_PACE_MATES)
    return min(_SLOWEST_HEARTBEAT_S, HEARTBEAT_S * crowd)


class Link(nng_link.PeerLink, typing.Protocol):
    """A link whose connections can be opened anew."""

    def redial(self, address: str) -> None:
        """Open the connection to an address anew."""


class PeerExchange:
    """An entry's messages to and from the others.

    Args:
        fleet (FleetView): The entries.
        link (Link): Moves messages.
        clock (Clock): Time.
        seed_addresses (Sequence): Peers that may answer first.
        rates (RateShares): What this entry announces of rates.
        teller (RegionTeller): Makes digests for other regions.
        desk (RateDesk): Counts requests of the region's entries.
        memory (ObjectMemory): Where objects were handled.
        book (TargetBook): What was seen of targets.
        caution (IdleCaution): Which connections to targets are trusted.
        rng (Random): Randomness.
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
        self._redialled_at_by_address: dict[str, float] = {}
        self._live: set[ids.InstanceId] = set()
        self._beats = 0
        self._handler_by_type: dict[type, abc.Callable[..., None]] = {
            fleet_view.Heartbeat: self._take_heartbeat,
            fleet_view.RegionDigest: self._take_digest,
            fleet_messages.StoreNews: self._take_news,
            fleet_messages.StoreHint: self._take_hint,
            fleet_messages.StoreCopy: self._take_copy,
            fleet_messages.CopyRequest: self._send_copy,
            fleet_messages.RateAsk: desk.answer,
            fleet_messages.RateAnswer: desk.take_answer,
            fleet_messages.RateReturn: desk.take_return,
            fleet_messages.Relay: self._take_relay,
        }

    def add_follower(self, follower: store_follower.StoreFollower) -> None:
        """Share a part of the store with the peers."""
        self.follower_by_prefix[follower.part.prefix] = follower

    # Sending.

    def set_standing(self, standing: fleet_view.Standing) -> None:
        """Change what this entry says of itself, and tell it at once."""
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
        self._spread(fleet_messages.encode(message))

    def _spread(self, data: bytes) -> None:
        """Send to the region: bytes between failure domains are dear.

        Where another domain has many entries one of them, another each
        time, passes the message on to the rest.
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
        """Who passes on to a domain; None to send to each entry of it."""
        if domain == self._fleet.me.domain or len(members) < _RELAYED:
            return None
        now = self._clock.now()
        live = [each for each in members if each.is_live(now, SILENCE_S)]
        return self._rng.choice(live) if live else None

    def _extents(self) -> dict[str, fleet_view.Extent]:
        return {
            prefix: follower.extent()
            for prefix, follower in self.follower_by_prefix.items()
        }

    def send_heartbeats(self) -> None:
        """Tell the region's entries how this one is."""
        now = self._clock.now()
        is_whole = self._beats % _WHOLE_EVERY == 0
        self._beats += 1
        unheard = [
            member.registration.instance
            for member in self._fleet.mates()
            if not member.is_live(now, SILENCE_S)
        ]
        self.publish(
            fleet_view.Heartbeat(
                registration=self._fleet.me,
                standing=self.standing,
                extent_by_prefix=self._extents(),
                rate_by_customer=(
                    self._rates.reports()
                    if is_whole
                    else self._rates.moved_reports()
                ),
                is_whole=is_whole,
                beat=self._beats,
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
        """Tell other regions what this one holds."""
        now = self._clock.now()
        addresses = self._teller.next_addresses(now)
        if not addresses:
            return
        digest = self._teller.digest(self.standing, self._extents(), now)
        relay = fleet_messages.Relay(
            fleet_messages.RelayScope.REGION, fleet_messages.encode(digest)
        )
        data = fleet_messages.encode(relay)
        for address in addresses:
            self._redial_at_intervals(address, _FAR_REDIAL_S)
            self._link.send(address, data)

    async def run(self) -> None:
        """Exchange messages until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._beat())
            group.create_task(self._tell_regions())
            group.create_task(self._receive())

    async def _beat(self) -> None:
        while True:
            self.send_heartbeats()
            self._note_membership()
            self._redial_silent()
            await asyncio.sleep(heartbeat_s(len(self._fleet.mates())))

    async def _tell_regions(self) -> None:
        # Before it has heard its region an entry would tell guesses.
        await asyncio.sleep(SILENCE_S)
        while True:
            self.send_digests()
            await asyncio.sleep(DIGEST_S)

    def _note_membership(self) -> None:
        """Log who was lost and who is back."""
        now = self._clock.now()
        for member in self._fleet.forget_gone(now):
            _LOG.info(
                "peer forgotten",
                extra={"peer": member.registration.instance},
            )
        live = {
            member.registration.instance
            for member in self._fleet.live_mates(now)
        }
        for instance in live - self._live:
            _LOG.info("peer heard", extra={"peer": instance})
        for instance in self._live - live:
            _LOG.warning("peer silent", extra={"peer": instance})
        self._live = live

    def _redial_silent(self) -> None:
        """Open connections anew that have gone silent without an error."""
        now = self._clock.now()
        me = self._fleet.me.instance
        for member in self._fleet.mates():
            beat = member.heartbeat
            is_heard = member.is_live(now, _REDIAL_S)
            hears_us = beat is not None and me not in beat.unheard
            if not (is_heard and hears_us):
                address = member.registration.peer_address
                self._redial_at_intervals(address, _REDIAL_S)

    def _redial_at_intervals(self, address: str, interval_s: float) -> None:
        now = self._clock.now()
        last = self._redialled_at_by_address.setdefault(address, now)
        if now - last >= interval_s:
            self._redialled_at_by_address[address] = now
            self._link.redial(address)

    # Receiving.

    async def _receive(self) -> None:
        while True:
            self._take_data(await self._link.receive())

    def _take_data(self, data: bytes) -> None:
        try:
            message = fleet_messages.decode(data)
        except errors.PeerError as error:
            _LOG.warning(
                "peer message unreadable", extra={"reason": f"{error}"}
            )
            return
        self.take(message)

    def _take_relay(self, relay: fleet_messages.Relay) -> None:
        if relay.scope is fleet_messages.RelayScope.REGION:
            self._spread(relay.data)
        else:
            mates = self._fleet.mates_by_domain()
            mine = mates.get(self._fleet.me.domain, [])
            _send_to_all(self._link, mine, relay.data)
        self._take_data(relay.data)

    def take(self, message: fleet_messages.Message) -> None:
        """Take in a message."""
        self._handler_by_type[type(message)](message)

    def _take_news(self, news: fleet_messages.StoreNews) -> None:
        follower = self.follower_by_prefix.get(news.prefix)
        if follower is not None:
            follower.take_news(news)

    def _take_hint(self, hint: fleet_messages.StoreHint) -> None:
        follower = self.follower_by_prefix.get(hint.prefix)
        if follower is not None:
            follower.take_hint(hint)

    def _take_copy(self, copy: fleet_messages.StoreCopy) -> None:
        follower = self.follower_by_prefix.get(copy.prefix)
        if follower is not None:
            follower.take_copy(copy)

    def _take_heartbeat(self, heartbeat: fleet_view.Heartbeat) -> None:
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
                self._ask_for_copy(prefix, address)

    def _take_digest(self, digest: fleet_view.RegionDigest) -> None:
        self._fleet.note_digest(digest, self._clock.now())
        for prefix, extent in digest.extent_by_prefix.items():
            follower = self.follower_by_prefix.get(prefix)
            if follower is not None and follower.wants_copy(
                extent, is_far=True
            ):
                self._ask_for_copy(prefix, digest.reply_address)

    def _ask_for_copy(self, prefix: str, address: str) -> None:
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
    link: nng_link.PeerLink,
    members: abc.Iterable[fleet_view.Member],
    data: bytes,
) -> None:
    for member in members:
        link.send(member.registration.peer_address, data)
