"""Membership of a failure domain and the choice of its coordinator.

Every instance sends heartbeats to the others of its failure domain. A
heartbeat names the coordinator that its sender follows. Following binds the
sender for ``lease_s`` after the coordinator's latest heartbeat arrived; the
coordinator counts the same time from when it sent the heartbeat that the
other echoes, which was earlier, so its lease ends first. An instance is in
office while every live member follows it and its own process has not paused.

A failure domain is the unit of network partition, so it is assumed not to
be split inside. The key-value service is not involved: an outage of it
changes nothing here.
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

_FORGET_AFTER_S = 120.0

NOBODY = ids.InstanceId("")


class _Mate:
    """Another instance of the failure domain."""

    def __init__(self, member: pm.Member, now: float) -> None:
        self.member = member
        self.learnt_at = now
        self.heard_at = float("-inf")
        self.lease_until = float("-inf")
        self.harmless_until = float("-inf")
        self.last_sent_at = -1.0
        self.in_office = False
        self.follows = NOBODY
        self.is_live = False
        self.successor = NOBODY
        self.revision = ids.Revision(0)


class Membership:
    """One instance's view of its failure domain.

    Args:
        me (Member): The own entry.
        network (PeerNetwork): Carries the heartbeats.
        timing (Timing): Intervals and leases.
        clock (Clock): Time.
        events (EventRing): Gets changes of state.
    """

    def __init__(
        self,
        *,
        me: pm.Member,
        network: peer_network.PeerNetwork,
        timing: settings_module.Timing,
        clock: clock_module.Clock,
        events: event_ring.EventRing,
    ) -> None:
        self.me = me
        self._network = network
        self._timing = timing
        self._clock = clock
        self._events = events
        self._mate_by_id: dict[ids.InstanceId, _Mate] = {}
        self._started_at = clock.now()
        self._ticked_at = clock.now()
        self._follows = NOBODY
        self._bound_until = float("-inf")
        self._is_renewing = False
        self._successor = NOBODY
        self._is_stopping = False
        self._was_in_office = False
        self.office_number = 0
        self.store_contact_at = float("-inf")
        self.revision = ids.Revision(0)
        network.on(pm.Heartbeat, self._on_heartbeat)

    def learn(self, member: pm.Member) -> None:
        """Take note of an instance of the own failure domain."""
        if member.instance == self.me.instance:
            return
        self._network.learn(member.instance, member.peer_address)
        mate = self._mate_by_id.get(member.instance)
        if mate is None:
            self._mate_by_id[member.instance] = _Mate(
                member, self._clock.now()
            )
        elif member.http_address:
            mate.member = member

    def set_ready(self) -> None:
        """Tell the others that this entry has a configuration."""
        if not self.me.is_ready:
            self.me = msgspec.structs.replace(self.me, is_ready=True)

    def leave(self) -> None:
        """Tell the others that this entry is about to stop."""
        self._is_stopping = True
        self.set_drained(True)

    def set_drained(self, is_drained: bool) -> None:
        """Take this entry out of the look-up answers, or put it back."""
        leaving = is_drained or self._is_stopping
        if leaving != self.me.leaving:
            self.me = msgspec.structs.replace(self.me, leaving=leaving)

    def successor(self) -> ids.InstanceId | None:
        """Who should take this instance's office over, if anybody can."""
        fit = [
            mate.member.instance
            for mate in self._mate_by_id.values()
            if self._is_fit(mate)
        ]
        return min(fit, default=None)

    def resign(self, successor: ids.InstanceId) -> None:
        """Give the office up for good; the others follow the successor."""
        self._successor = successor
        self.tick()

    def live_members(self) -> list[pm.Member]:
        """The own entry and those heard from lately."""
        mates = [m.member for m in self._mate_by_id.values() if m.is_live]
        return [self.me, *mates]

    def revision_by_instance(self) -> dict[ids.InstanceId, ids.Revision]:
        """Revision in force at each live member."""
        revisions = {
            mate.member.instance: mate.revision
            for mate in self._mate_by_id.values()
            if mate.is_live
        }
        revisions[self.me.instance] = self.revision
        return revisions

    def coordinator(self) -> pm.Member | None:
        """The coordinator that this instance follows, if it is live."""
        if self._follows == self.me.instance:
            return self.me
        mate = self._mate_by_id.get(self._follows)
        return mate.member if mate and mate.is_live else None

    def lease_left(self) -> float:
        """Seconds for which this instance surely stays in office.

        Returns:
            0 if it is not in office.
        """
        return self._lease_left() if self._was_in_office else 0.0

    def _lease_left(self) -> float:
        """The lease, also of a term that no tick has begun yet."""
        now = self._clock.now()
        if self._follows != self.me.instance or self._is_paused(now):
            return 0.0
        if self._successor != NOBODY:
            return 0.0
        if now - self._started_at < self._timing.lease_s:
            return 0.0
        ends = [
            max(mate.lease_until, mate.harmless_until)
            for mate in self._mate_by_id.values()
            if mate.is_live and mate.successor == NOBODY
        ]
        return max(0.0, min([self._bound_until, *ends]) - now)

    def office(self) -> int:
        """Number of the present term in office, or 0."""
        return self.office_number if self.in_office() else 0

    def in_office(self) -> bool:
        """Whether this instance coordinates its failure domain now."""
        return self.lease_left() > 0

    def _is_paused(self, now: float) -> bool:
        return now - self._ticked_at > self._timing.dead_after_s / 2

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(self._timing.heartbeat_s)

    def tick(self) -> None:
        """Judge the others, choose a coordinator, send heartbeats."""
        now = self._clock.now()
        if self._is_paused(now):
            self._begin_again(now)
        self._ticked_at = now
        self._judge(now)
        self._choose(now)
        for mate in self._mate_by_id.values():
            self._send(mate, now)
        self._note_office()

    def _begin_again(self, now: float) -> None:
        """After a pause nothing known of others is trusted."""
        self._events.add(event_ring.EventKind.PAUSE_DETECTED)
        self._started_at = now
        for mate in self._mate_by_id.values():
            mate.lease_until = float("-inf")
            mate.in_office = False
            if mate.is_live:
                mate.heard_at = now

    def _judge(self, now: float) -> None:
        self._forget_gone(now)
        for mate in self._mate_by_id.values():
            is_live = now - mate.heard_at < self._timing.dead_after_s
            if is_live != mate.is_live:
                mate.is_live = is_live
                kinds = event_ring.EventKind
                kind = kinds.PEER_SEEN if is_live else kinds.PEER_LOST
                self._events.add(kind, subject=mate.member.instance)

    def _forget_gone(self, now: float) -> None:
        """Instances are replaced under new ids; old ones must not pile up."""
        gone = [
            instance
            for instance, mate in self._mate_by_id.items()
            if now - max(mate.heard_at, mate.learnt_at) > _FORGET_AFTER_S
        ]
        for instance in gone:
            del self._mate_by_id[instance]
            self._network.forget(instance)

    def known(self) -> list[ids.InstanceId]:
        """Other instances of the failure domain, live or lost lately."""
        return sorted(self._mate_by_id)

    def _choose(self, now: float) -> None:
        """Follow the intended coordinator once no other binds."""
        if self._successor != NOBODY:
            self._follows = self._successor
            self._is_renewing = True
            return
        self._release_if_resigned()
        intended = self._intended(now)
        if intended != self._follows and now < self._bound_until:
            self._is_renewing = False
            return
        self._follows = intended
        self._is_renewing = intended != NOBODY
        if self._is_renewing:
            self._bound_until = self._followed_at(now) + self._timing.lease_s

    def _release_if_resigned(self) -> None:
        """A coordinator that resigned binds nobody any more."""
        followed = self._mate_by_id.get(self._follows)
        if followed is None or followed.successor == NOBODY:
            return
        self._follows = followed.successor
        self._bound_until = float("-inf")

    def _followed_at(self, now: float) -> float:
        """Latest sign of life of the followed coordinator."""
        mate = self._mate_by_id.get(self._follows)
        return mate.heard_at if mate else now

    def _intended(self, now: float) -> ids.InstanceId:
        """Keep a working coordinator, else take the lowest live id."""
        followed = self._mate_by_id.get(self._follows)
        if followed and followed.is_live and followed.successor == NOBODY:
            if followed.follows == self._follows:
                return self._follows
        if self._lease_left() > 0:
            return self.me.instance
        in_office = [
            mate.member.instance
            for mate in self._mate_by_id.values()
            if mate.is_live and mate.in_office
        ]
        if in_office:
            return min(in_office)
        if now - self._started_at < self._timing.dead_after_s:
            return NOBODY
        return self._lowest()

    def _is_fit(self, mate: _Mate) -> bool:
        return mate.is_live and not mate.member.leaving

    def _lowest(self) -> ids.InstanceId:
        members = [m for m in self.live_members() if not m.leaving]
        candidates = members or [self.me]
        return min(member.instance for member in candidates)

    def _send(self, mate: _Mate, now: float) -> None:
        heartbeat = pm.Heartbeat(
            member=self.me,
            sent_at=now,
            echo_sent_at=mate.last_sent_at,
            follows=self._follows if self._is_renewing else NOBODY,
            in_office=self.in_office(),
            age_s=now - self._started_at,
            successor=self._successor,
            revision=self.revision,
            store_age_s=now - self.store_contact_at,
        )
        with contextlib.suppress(errors.PeerError):
            self._network.post(mate.member.instance, heartbeat)
        if now - mate.heard_at > self._timing.dead_after_s / 2:
            self._network.greet(mate.member.instance)

    def _on_heartbeat(
        self, sender: ids.InstanceId, heartbeat: pm.Heartbeat
    ) -> None:
        if heartbeat.member.domain != self.me.domain:
            raise errors.PeerError("heartbeat from another failure domain")
        self.learn(heartbeat.member)
        mate = self._mate_by_id[sender]
        now = self._clock.now()
        mate.heard_at = now
        mate.last_sent_at = heartbeat.sent_at
        mate.in_office = heartbeat.in_office
        mate.follows = ids.InstanceId(heartbeat.follows)
        mate.successor = ids.InstanceId(heartbeat.successor)
        self._note_age(mate, heartbeat, now)
        mate.revision = heartbeat.revision
        if heartbeat.follows == self.me.instance:
            if heartbeat.echo_sent_at >= 0:
                mate.lease_until = (
                    heartbeat.echo_sent_at + self._timing.lease_s
                )
        else:
            mate.lease_until = float("-inf")
        contact = now - heartbeat.store_age_s
        self.store_contact_at = max(self.store_contact_at, contact)
        if mate.successor != NOBODY and self._follows == sender:
            self.tick()

    def _note_age(
        self, mate: _Mate, heartbeat: pm.Heartbeat, now: float
    ) -> None:
        """A process that is young can take no office yet."""
        mate.harmless_until = float("-inf")
        if heartbeat.follows != mate.member.instance:
            left_s = self._timing.lease_s - heartbeat.age_s
            mate.harmless_until = now + left_s - self._timing.heartbeat_s

    def _note_office(self) -> None:
        """Begin or end a term; each begins with a number of its own."""
        in_office = self._lease_left() > 0
        if in_office == self._was_in_office:
            return
        self._was_in_office = in_office
        metrics.IN_OFFICE.set(int(in_office))
        kinds = event_ring.EventKind
        if in_office:
            self.office_number += 1
            self._events.add(kinds.OFFICE_TAKEN, subject=self.me.domain)
            _LOG.info("coordinates %s", self.me.domain)
        else:
            self._events.add(kinds.OFFICE_LOST, subject=self.me.domain)
            _LOG.info("no longer coordinates %s", self.me.domain)
