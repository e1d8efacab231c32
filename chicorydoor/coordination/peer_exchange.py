"""Heartbeats and store news between the entries.

Every entry sends to every other one. Messages may be lost: heartbeats
repeat, and they tell how far the sender's copies of the store reach, so
that an entry which missed something asks for it.
"""

import asyncio
from collections import abc
import logging
import typing

from chicorydoor import errors
from chicorydoor.coordination import store_follower
from chicorydoor.protocol import fleet_messages
from chicorydoor.protocol import ids
from chicorydoor.state import fleet_view
from chicorydoor.state import object_memory
from chicorydoor.state import rate_shares
from chicorydoor.transport import clock as clock_module

# Shares of rates and news that were lost move with heartbeats: several fit
# into the shortest bound, a withdrawn key's few seconds.
HEARTBEAT_S = 0.4
# An entry that is silent this long is not named to callers.
SILENCE_S = 2.0
# A connection over which nothing came for this long is opened anew.
_REDIAL_S = 1.6

_LOG = logging.getLogger(__name__)


class Link(typing.Protocol):
    """Unreliable delivery of messages to addresses."""

    def send(self, address: str, data: bytes) -> None:
        """Queue a message; it may be lost."""

    async def receive(self) -> bytes:
        """The next message for this entry."""

    def redial(self, address: str) -> None:
        """Open the connection to an address anew."""


class PeerExchange:
    """An entry's messages to and from the others.

    Args:
        fleet (FleetView): The entries.
        link (Link): Moves messages.
        clock (Clock): Time.
        seed_addresses (Sequence): Peers that may answer first.
        rate_reports (callable): What this entry announces of rates.
        running (callable): Requests under way.
        memory (ObjectMemory): Where objects were handled.
    """

    def __init__(
        self,
        *,
        fleet: fleet_view.FleetView,
        link: Link,
        clock: clock_module.Clock,
        seed_addresses: abc.Sequence[str],
        rate_reports: abc.Callable[
            [], dict[ids.CustomerId, rate_shares.RateReport]
        ],
        running: abc.Callable[[], int],
        memory: object_memory.ObjectMemory,
    ) -> None:
        self._fleet = fleet
        self._memory = memory
        self._link = link
        self._clock = clock
        self._seed_addresses = seed_addresses
        self._rate_reports = rate_reports
        self._running = running
        self.standing = fleet_view.Standing.STARTING
        self.follower_by_prefix: dict[str, store_follower.StoreFollower] = {}
        self._redialled_at_by_address: dict[str, float] = {}
        self._live: set[ids.InstanceId] = set()

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
        """Send a message to every other entry."""
        data = fleet_messages.encode(message)
        for address in self._addresses():
            self._link.send(address, data)

    def _addresses(self) -> set[str]:
        addresses = {
            member.registration.peer_address
            for member in self._fleet.member_by_instance.values()
        }
        if not addresses:
            addresses.update(self._seed_addresses)
        addresses.discard(self._fleet.me.peer_address)
        return addresses

    def send_heartbeats(self) -> None:
        """Tell all others how this entry is."""
        now = self._clock.now()
        live = self._fleet.live(now)
        self.publish(
            fleet_view.Heartbeat(
                registration=self._fleet.me,
                standing=self.standing,
                extent_by_prefix={
                    prefix: follower.extent()
                    for prefix, follower in self.follower_by_prefix.items()
                },
                rate_by_customer=self._rate_reports(),
                heard=[member.registration.instance for member in live],
                sightings=self._memory.take_news(now),
                running=self._running(),
            )
        )

    async def run(self) -> None:
        """Exchange messages until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._beat())
            group.create_task(self._receive())

    async def _beat(self) -> None:
        while True:
            self.send_heartbeats()
            self._note_membership()
            self._redial_silent()
            await asyncio.sleep(HEARTBEAT_S)

    def _note_membership(self) -> None:
        """Log who was lost and who is back."""
        now = self._clock.now()
        for member in self._fleet.forget_gone(now):
            _LOG.info(
                "peer forgotten",
                extra={"peer": member.registration.instance},
            )
        live = {
            member.registration.instance for member in self._fleet.live(now)
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
        for member in self._fleet.member_by_instance.values():
            beat = member.heartbeat
            is_heard = member.is_live(now, _REDIAL_S)
            hears_us = beat is not None and me in beat.heard
            if is_heard and hears_us:
                continue
            address = member.registration.peer_address
            last = self._redialled_at_by_address.get(address, now)
            self._redialled_at_by_address.setdefault(address, now)
            if now - last >= _REDIAL_S:
                self._redialled_at_by_address[address] = now
                self._link.redial(address)

    # Receiving.

    async def _receive(self) -> None:
        while True:
            data = await self._link.receive()
            try:
                message = fleet_messages.decode(data)
            except errors.PeerError as error:
                _LOG.warning(
                    "peer message unreadable", extra={"reason": f"{error}"}
                )
                continue
            self.take(message)

    def take(self, message: fleet_messages.Message) -> None:
        """Take in a message."""
        match message:
            case fleet_view.Heartbeat():
                self._take_heartbeat(message)
            case fleet_messages.StoreNews():
                follower = self.follower_by_prefix.get(message.prefix)
                if follower is not None:
                    follower.take_news(message)
            case fleet_messages.StoreCopy():
                follower = self.follower_by_prefix.get(message.prefix)
                if follower is not None:
                    follower.take_copy(message)
            case fleet_messages.CopyRequest():
                self._send_copy(message)

    def _take_heartbeat(self, heartbeat: fleet_view.Heartbeat) -> None:
        if not self._fleet.note_heartbeat(heartbeat, self._clock.now()):
            return
        self._memory.hear(heartbeat.sightings, self._clock.now())
        address = heartbeat.registration.peer_address
        for prefix, extent in heartbeat.extent_by_prefix.items():
            follower = self.follower_by_prefix.get(prefix)
            if follower is not None and follower.wants_copy(extent):
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
