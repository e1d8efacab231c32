"""Heartbeats inside a failure domain and the election of its coordinator.

Every instance sends heartbeats to the other instances of its failure domain.
A heartbeat names the coordinator that its sender follows. By following, the
sender commits itself to that coordinator for ``lease_s`` after the
coordinator's latest heartbeat arrived. The coordinator counts the same time
from when it sent the heartbeat that the follower echoes, which was earlier,
so its lease ends first. An instance holds the coordinator lease while every
live member follows it, is too young to lead or has resigned, and while it has
itself run without a pause for ``lease_s`` or more.

A failure domain is the unit of network partition, so it is assumed not to be
partitioned internally. The key-value store takes no part in the election; a
store outage has no effect on it.
"""

import asyncio
import contextlib
import logging

import msgspec

from chicorydoor import errors
from chicorydoor.coordination import peer_network
from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.protocol import settings as settings_module
from chicorydoor.state import event_ring
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

_LOG = logging.getLogger(__name__)

_PEER_EXPIRY_S = 120.0

NO_INSTANCE = ids.InstanceId("")


class _DomainPeer:
    """State of another instance of the failure domain.

    Attributes:
        member (Member): Its latest description.
        added_at (float): When it became known, in seconds.
        last_seen_at (float): When its latest heartbeat arrived.
        lease_until (float): Until when it has committed itself to follow
            this instance.
        cannot_lead_until (float): Until when its process is too young to
            hold the coordinator lease.
        latest_sent_at (float): The sender's time in its latest heartbeat,
            echoed in the own heartbeats. Defaults to -1 for none.
        is_coordinator (bool): Whether it says that it holds the lease.
        followed_id (str): The coordinator that it follows.
        is_live (bool): Whether it was seen within ``dead_after_s``.
        successor (str): To whom it has resigned the lease, if it has.
        revision (int): Its active configuration revision.
    """

    def __init__(self, member: pm.Member, now: float) -> None:
        self.member = member
        self.added_at = now
        self.last_seen_at = float("-inf")
        self.lease_until = float("-inf")
        self.cannot_lead_until = float("-inf")
        self.latest_sent_at = -1.0
        self.is_coordinator = False
        self.followed_id = NO_INSTANCE
        self.is_live = False
        self.successor = NO_INSTANCE
        self.revision = ids.Revision(0)


class Membership:
    """Members and coordinator of the failure domain, as one instance sees.

    Args:
        own_member (Member): Description of this entry.
        network (PeerNetwork): Sends and receives the heartbeats.
        timing (Timing): Heartbeat interval, time limits and lease duration.
        clock (Clock): Monotonic time.
        events (EventRing): Records state changes.
    """

    def __init__(
        self,
        *,
        own_member: pm.Member,
        network: peer_network.PeerNetwork,
        timing: settings_module.Timing,
        clock: clock_module.Clock,
        events: event_ring.EventRing,
    ) -> None:
        self.own_member = own_member
        self._network = network
        self._timing = timing
        self._clock = clock
        self._events = events
        self._peer_by_id: dict[ids.InstanceId, _DomainPeer] = {}
        self._awake_since = clock.now()
        self._last_tick_at = clock.now()
        self._followed_id = NO_INSTANCE
        self._committed_until = float("-inf")
        # Whether the heartbeats name the followed coordinator as accepted.
        self._accepts_coordinator = False
        self._successor = NO_INSTANCE
        self._is_stopping = False
        self._was_coordinator = False
        self.term_number = 0
        self.store_contact_at = float("-inf")
        self.own_revision = ids.Revision(0)
        network.set_handler(pm.Heartbeat, self._handle_heartbeat)

    def add_member(self, member: pm.Member) -> None:
        """Add or update another instance of the own failure domain."""
        if member.instance == self.own_member.instance:
            return
        self._network.set_address(member.instance, member.peer_address)
        peer = self._peer_by_id.get(member.instance)
        if peer is None:
            self._peer_by_id[member.instance] = _DomainPeer(
                member, self._clock.now()
            )
        elif member.http_address:
            peer.member = member

    def announce_ready(self) -> None:
        """Announce that this entry has a configuration."""
        if not self.own_member.is_ready:
            self.own_member = msgspec.structs.replace(
                self.own_member, is_ready=True
            )

    def announce_leaving(self) -> None:
        """Announce that this entry is about to stop."""
        self._is_stopping = True
        self.set_leaving(True)

    def set_leaving(self, is_drained: bool) -> None:
        """Take this entry out of service, or restore it.

        While it is leaving, look-up answers don't list it and it isn't
        chosen as a new coordinator.

        Args:
            is_drained (bool): Whether a planned drain covers this entry; it
                is leaving then, and also while it stops.
        """
        leaving = is_drained or self._is_stopping
        if leaving != self.own_member.is_leaving:
            self.own_member = msgspec.structs.replace(
                self.own_member, is_leaving=leaving
            )

    def choose_successor(self) -> ids.InstanceId | None:
        """Peer that should get this instance's coordinator lease, if any."""
        eligible_ids = [
            peer.member.instance
            for peer in self._peer_by_id.values()
            if self._can_coordinate(peer)
        ]
        return min(eligible_ids, default=None)

    def resign_lease(self, successor: ids.InstanceId) -> None:
        """Give up the coordinator lease permanently to a successor."""
        self._successor = successor
        self.update()

    def live_members(self) -> list[pm.Member]:
        """This entry and the domain peers seen within ``dead_after_s``."""
        peers = [m.member for m in self._peer_by_id.values() if m.is_live]
        return [self.own_member, *peers]

    def revision_by_instance(self) -> dict[ids.InstanceId, ids.Revision]:
        """Active configuration revision of each live member."""
        revisions = {
            peer.member.instance: peer.revision
            for peer in self._peer_by_id.values()
            if peer.is_live
        }
        revisions[self.own_member.instance] = self.own_revision
        return revisions

    def followed_coordinator(self) -> pm.Member | None:
        """The coordinator that this instance follows, if it is live."""
        if self._followed_id == self.own_member.instance:
            return self.own_member
        peer = self._peer_by_id.get(self._followed_id)
        return peer.member if peer and peer.is_live else None

    def lease_left(self) -> float:
        """Time for which this instance is sure to hold the coordinator lease.

        Returns:
            Seconds, 0 if it doesn't hold the lease.
        """
        return self._compute_lease_left() if self._was_coordinator else 0.0

    def _compute_lease_left(self) -> float:
        """Lease time left in seconds, even if no update has begun the term."""
        now = self._clock.now()
        if self._followed_id != self.own_member.instance or self._is_paused(
            now
        ):
            return 0.0
        if self._successor != NO_INSTANCE:
            return 0.0
        if now - self._awake_since < self._timing.lease_s:
            return 0.0
        ends = [
            max(peer.lease_until, peer.cannot_lead_until)
            for peer in self._peer_by_id.values()
            if peer.is_live and peer.successor == NO_INSTANCE
        ]
        return max(0.0, min([self._committed_until, *ends]) - now)

    def term(self) -> int:
        """Number of the current coordinator term, 0 without the lease.

        It counts the terms of this process only, so numbers of different
        instances can't be compared.
        """
        return self.term_number if self.is_coordinator() else 0

    def is_coordinator(self) -> bool:
        """Whether this instance holds the coordinator lease."""
        return self.lease_left() > 0

    def _is_paused(self, now: float) -> bool:
        return now - self._last_tick_at > self._timing.dead_after_s / 2

    async def run(self) -> None:
        """Update the membership and send heartbeats until cancelled."""
        while True:
            self.update()
            await asyncio.sleep(self._timing.heartbeat_s)

    def update(self) -> None:
        """Update liveness, choose a coordinator and send heartbeats."""
        now = self._clock.now()
        if self._is_paused(now):
            self._reset_after_pause(now)
        self._last_tick_at = now
        self._update_liveness(now)
        self._choose_coordinator(now)
        for peer in self._peer_by_id.values():
            self._send_heartbeat(peer, now)
        self._update_term()

    def _reset_after_pause(self, now: float) -> None:
        """Discard what is known of leases, as a pause made it outdated.

        Live peers count as seen now.
        """
        self._events.add(event_ring.EventKind.PAUSE_DETECTED)
        self._awake_since = now
        for peer in self._peer_by_id.values():
            peer.lease_until = float("-inf")
            peer.is_coordinator = False
            if peer.is_live:
                peer.last_seen_at = now

    def _update_liveness(self, now: float) -> None:
        self._remove_expired_peers(now)
        for peer in self._peer_by_id.values():
            is_live = now - peer.last_seen_at < self._timing.dead_after_s
            if is_live != peer.is_live:
                peer.is_live = is_live
                kinds = event_ring.EventKind
                kind = kinds.PEER_SEEN if is_live else kinds.PEER_LOST
                self._events.add(kind, subject=peer.member.instance)

    def _remove_expired_peers(self, now: float) -> None:
        """Remove peers that were not seen for ``_PEER_EXPIRY_S``.

        Replaced instances get new ids, so lost ones would accumulate.
        """
        expired_ids = [
            instance
            for instance, peer in self._peer_by_id.items()
            if now - max(peer.last_seen_at, peer.added_at) > _PEER_EXPIRY_S
        ]
        for instance in expired_ids:
            del self._peer_by_id[instance]
            self._network.remove_peer(instance)

    def peer_ids(self) -> list[ids.InstanceId]:
        """Ids of the domain peers, live or not yet expired."""
        return sorted(self._peer_by_id)

    def _choose_coordinator(self, now: float) -> None:
        """Follow the preferred coordinator once no commitment prevents it."""
        if self._successor != NO_INSTANCE:
            self._followed_id = self._successor
            self._accepts_coordinator = True
            return
        self._follow_successor_if_resigned()
        preferred = self._preferred_coordinator(now)
        if preferred != self._followed_id and now < self._committed_until:
            self._accepts_coordinator = False
            return
        self._followed_id = preferred
        self._accepts_coordinator = preferred != NO_INSTANCE
        if self._accepts_coordinator:
            self._committed_until = (
                self._coordinator_last_seen_at(now) + self._timing.lease_s
            )

    def _follow_successor_if_resigned(self) -> None:
        """End the commitment to a coordinator that has resigned."""
        followed = self._peer_by_id.get(self._followed_id)
        if followed is None or followed.successor == NO_INSTANCE:
            return
        self._followed_id = followed.successor
        self._committed_until = float("-inf")

    def _coordinator_last_seen_at(self, now: float) -> float:
        """When the followed coordinator was last seen, now if unknown."""
        peer = self._peer_by_id.get(self._followed_id)
        return peer.last_seen_at if peer else now

    def _preferred_coordinator(self, now: float) -> ids.InstanceId:
        """Id of a working coordinator, else the lowest eligible id.

        Members that are leaving are not eligible unless all are. None is
        chosen within ``dead_after_s`` of the start or the latest pause.
        """
        followed = self._peer_by_id.get(self._followed_id)
        if followed and followed.is_live and followed.successor == NO_INSTANCE:
            if followed.followed_id == self._followed_id:
                return self._followed_id
        if self._compute_lease_left() > 0:
            return self.own_member.instance
        coordinator_ids = [
            peer.member.instance
            for peer in self._peer_by_id.values()
            if peer.is_live and peer.is_coordinator
        ]
        if coordinator_ids:
            return min(coordinator_ids)
        if now - self._awake_since < self._timing.dead_after_s:
            return NO_INSTANCE
        return self._lowest_eligible_id()

    def _can_coordinate(self, peer: _DomainPeer) -> bool:
        return peer.is_live and not peer.member.is_leaving

    def _lowest_eligible_id(self) -> ids.InstanceId:
        members = [m for m in self.live_members() if not m.is_leaving]
        candidates = members or [self.own_member]
        return min(member.instance for member in candidates)

    def _send_heartbeat(self, peer: _DomainPeer, now: float) -> None:
        heartbeat = pm.Heartbeat(
            member=self.own_member,
            sent_at=now,
            echoed_sent_at=peer.latest_sent_at,
            accepted_coordinator=self._followed_id
            if self._accepts_coordinator
            else NO_INSTANCE,
            is_coordinator=self.is_coordinator(),
            awake_s=now - self._awake_since,
            lease_successor=self._successor,
            active_revision=self.own_revision,
            store_age_s=now - self.store_contact_at,
        )
        with contextlib.suppress(errors.PeerError):
            self._network.send_message(peer.member.instance, heartbeat)
        if now - peer.last_seen_at > self._timing.dead_after_s / 2:
            self._network.send_hello(peer.member.instance)

    def _handle_heartbeat(
        self, sender: ids.InstanceId, heartbeat: pm.Heartbeat
    ) -> None:
        if heartbeat.member.domain != self.own_member.domain:
            raise errors.PeerError("heartbeat from another failure domain")
        self.add_member(heartbeat.member)
        peer = self._peer_by_id[sender]
        now = self._clock.now()
        peer.last_seen_at = now
        peer.latest_sent_at = heartbeat.sent_at
        peer.is_coordinator = heartbeat.is_coordinator
        peer.followed_id = ids.InstanceId(heartbeat.accepted_coordinator)
        peer.successor = ids.InstanceId(heartbeat.lease_successor)
        self._record_process_age(peer, heartbeat, now)
        peer.revision = heartbeat.active_revision
        if heartbeat.accepted_coordinator == self.own_member.instance:
            if heartbeat.echoed_sent_at >= 0:
                peer.lease_until = (
                    heartbeat.echoed_sent_at + self._timing.lease_s
                )
        else:
            peer.lease_until = float("-inf")
        contact_at = now - heartbeat.store_age_s
        self.store_contact_at = max(self.store_contact_at, contact_at)
        if peer.successor != NO_INSTANCE and self._followed_id == sender:
            self.update()

    def _record_process_age(
        self, peer: _DomainPeer, heartbeat: pm.Heartbeat, now: float
    ) -> None:
        """Update until when a peer is too young to hold the lease.

        A process can't hold the lease before it has run for ``lease_s`` since
        its start or latest pause.
        """
        peer.cannot_lead_until = float("-inf")
        if heartbeat.accepted_coordinator != peer.member.instance:
            left_s = self._timing.lease_s - heartbeat.awake_s
            peer.cannot_lead_until = now + left_s - self._timing.heartbeat_s

    def _update_term(self) -> None:
        """Begin or end a coordinator term; each has a number of its own."""
        is_coordinator = self._compute_lease_left() > 0
        if is_coordinator == self._was_coordinator:
            return
        self._was_coordinator = is_coordinator
        metrics.IS_COORDINATOR.set(int(is_coordinator))
        kinds = event_ring.EventKind
        if is_coordinator:
            self.term_number += 1
            self._events.add(
                kinds.COORDINATOR_LEASE_ACQUIRED,
                subject=self.own_member.domain,
            )
            _LOG.info(
                "acquired the coordinator lease of %s", self.own_member.domain
            )
        else:
            self._events.add(
                kinds.COORDINATOR_LEASE_LOST, subject=self.own_member.domain
            )
            _LOG.info(
                "lost the coordinator lease of %s", self.own_member.domain
            )
