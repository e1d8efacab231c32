"""The coordinator of a failure domain.

While its entry is in office it divides the domain's tokens, slots and
credits among the instances, decides which part of each route's traffic goes
elsewhere, and answers the coordinators of other failure domains.
"""

import asyncio
from collections import abc
import random

from chicorydoor import errors
from chicorydoor.coordination import credit_desk
from chicorydoor.coordination import exchange as exchange_module
from chicorydoor.coordination import membership as membership_module
from chicorydoor.coordination import peer_network
from chicorydoor.coordination import shifts
from chicorydoor.coordination import token_desk
from chicorydoor.coordination import view_teller
from chicorydoor.protocol import ids
from chicorydoor.protocol import names
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.protocol import settings as settings_module
from chicorydoor.state import config_snapshot
from chicorydoor.state import domain_parts
from chicorydoor.state import event_ring
from chicorydoor.state import slot_ledger
from chicorydoor.state import token_ledger
from chicorydoor.transport import clock as clock_module

_TOKENS_VALID_S = 1.0
_SUMMARY_MEMBERS = 16
_PLAN_S = 0.25
_HANDOVER_TIMEOUT_S = 0.5


class Coordinator:
    """Divides what its failure domain has.

    Args:
        me (Member): The own entry.
        membership (Membership): Says whether this entry coordinates.
        network (PeerNetwork): Carries the messages.
        timing (Timing): Intervals and validity.
        clock (Clock): Time.
        rng (Random): Randomness.
        events (EventRing): Gets changes of state.
    """

    def __init__(
        self,
        *,
        me: pm.Member,
        membership: membership_module.Membership,
        network: peer_network.PeerNetwork,
        timing: settings_module.Timing,
        clock: clock_module.Clock,
        rng: random.Random,
        events: event_ring.EventRing,
    ) -> None:
        self._me = me
        self._membership = membership
        self._network = network
        self._timing = timing
        self._clock = clock
        self._events = events
        self._snapshot = config_snapshot.EMPTY
        self._office = 0
        self._tokens = token_ledger.TokenLedger(clock)
        self._slots = slot_ledger.SlotLedger(clock, timing.slots_valid_s)
        self._credits = slot_ledger.SlotLedger(
            clock, credit_desk.CREDITS_VALID_S
        )
        self.shifts = shifts.ShiftPlanner(clock, events, me.domain)
        self._revision_by_domain: dict[ids.DomainId, ids.Revision] = {}
        self._teller = view_teller.ViewTeller(clock, timing.exchange_s)
        self.exchange = exchange_module.Exchange(
            me=me,
            membership=membership,
            network=network,
            timing=timing,
            clock=clock,
            rng=rng,
            summarize=self.summarize,
            credit_report=self._credit_report,
            answer=self._answer_exchange,
            on_change=self._on_exchanged,
        )
        self._token_desk = token_desk.TokenDesk(
            self._tokens, self.exchange, clock
        )
        self.credit_desk = credit_desk.CreditDesk(
            self._slots, self.shifts, clock
        )
        self.on_recall: abc.Callable[[list[ids.ServiceId]], None] = (
            lambda services: None
        )
        self._handover: pm.Handover | None = None
        self._handover_at = float("-inf")
        network.on(pm.Demand, self._on_demand)
        network.on(pm.Handover, self._on_handover)
        network.on(pm.InForceRequest, self._on_in_force)

    def configure(self, snapshot: config_snapshot.ConfigSnapshot) -> None:
        """Follow the configuration."""
        self._snapshot = snapshot
        self._configure_ledgers()
        near = frozenset(
            domain
            for domain, record in snapshot.configuration.domain_by_id.items()
            if record.region == snapshot.region_of(self._me.domain)
        )
        self.exchange.set_near(near)

    def _configure_ledgers(self) -> None:
        self._tokens.configure(self._limits())
        self._slots.configure(self._target_slots())
        self.shifts.configure(self._snapshot)

    def _limits(self) -> dict[ids.BucketId, token_ledger.Limit]:
        snapshot = self._snapshot
        parts = domain_parts.DomainParts(
            snapshot.configuration, self._revision_by_domain
        )
        limits = {
            names.customer_bucket(customer_id): parts.limit(
                customer_id, self._me.domain
            )
            for customer_id in snapshot.customer_by_id
        }
        region = snapshot.region_of(self._me.domain)
        domains = snapshot.configuration.domain_by_id.values()
        count = sum(1 for record in domains if record.region == region)
        for link in snapshot.configuration.link_by_id.values():
            if link.from_region == region:
                rate = link.bytes_per_s / max(1, count)
                bucket = names.link_bucket(link.from_region, link.to_region)
                limits[bucket] = token_ledger.Limit(rate, rate)
        return limits

    def _target_slots(self) -> dict[ids.TargetId, slot_ledger.TargetSlots]:
        """The own targets that are not drained."""
        configuration = self._snapshot.configuration
        wall = self._clock.wall()
        longest_by_service: dict[ids.ServiceId, float] = {}
        for route in configuration.route_by_id.values():
            longest = longest_by_service.get(route.service, 0.0)
            longest_by_service[route.service] = max(longest, route.deadline_s)
        return {
            target_id: slot_ledger.TargetSlots(
                target.service,
                target.slots,
                longest_by_service.get(target.service, 0.0),
            )
            for target_id, target in configuration.target_by_id.items()
            if target.domain == self._me.domain
            and not self._snapshot.is_drained(
                wall, target=target_id, domain=self._me.domain
            )
        }

    def is_in_office(self) -> bool:
        """Whether this entry coordinates; a new term starts empty."""
        office = self._membership.office()
        if not office:
            return False
        if office != self._office:
            self._office = office
            self._tokens.reset()
            self._slots.reset()
            self._credits.reset()
            self._token_desk.reset()
            self.credit_desk.reset()
            self._configure_ledgers()
            self._take_over()
        return True

    # Change of the coordinator.

    async def hand_over(self) -> None:
        """Give the office to another instance, before a planned stop.

        Nothing is granted from here on, so what the successor receives
        stays true until it is in office.
        """
        if not self.is_in_office():
            return
        successor = self._membership.successor()
        if successor is None:
            return
        self._membership.resign(successor)
        held, doubts = self._slots.export()
        message = pm.Handover(self._tokens.export(), held, doubts)
        try:
            await self._network.call(successor, message, _HANDOVER_TIMEOUT_S)
        except errors.PeerError:
            self._events.add(
                event_ring.EventKind.OFFICE_LOST,
                subject=self._me.domain,
                detail=f"no handover to {successor}",
            )

    def _on_handover(
        self, sender: ids.InstanceId, message: pm.Handover
    ) -> pm.Message:
        self._handover = message
        self._handover_at = self._clock.now()
        if self.is_in_office():
            self._take_over()
        return pm.Acknowledged()

    def _take_over(self) -> None:
        """Start from a predecessor's account, if it is fresh."""
        message, self._handover = self._handover, None
        age_s = self._clock.now() - self._handover_at
        if message is None or age_s > self._timing.lease_s / 2:
            return
        self._tokens.load(message.bucket_by_id)
        self._slots.load(message.slots_by_holder, message.doubt_by_target)

    async def run(self) -> None:
        """Plan shifts and tell the instances, until cancelled."""
        while True:
            await asyncio.sleep(_PLAN_S)
            if self.is_in_office():
                self._plan()
                self._tell()

    def _plan(self) -> None:
        self._follow_revisions()
        if self._snapshot.configuration.drain_by_id:
            self._slots.configure(self._target_slots())
        load_by_service = self._load_by_service()
        self.shifts.plan(load_by_service)

    def _follow_revisions(self) -> None:
        """Give back room that was made for domains that now confirmed."""
        revisions = {
            neighbour.domain: neighbour.summary.revision
            for neighbour in self.exchange.neighbour_by_domain.values()
            if neighbour.summary is not None
        }
        if revisions == self._revision_by_domain:
            return
        self._revision_by_domain = revisions
        if domain_parts.has_earlier(self._snapshot.configuration):
            self._tokens.configure(self._limits())

    def confirmed_revision(self) -> ids.Revision:
        """Highest revision known to be in force in every domain."""
        others = self._snapshot.configuration.domain_by_id.keys()
        known = [
            self._revision_by_domain.get(domain, ids.Revision(0))
            for domain in others
            if domain != self._me.domain
        ]
        return min([self._snapshot.revision, *known])

    def free_slots(self) -> int:
        """Slots of the own targets that nobody holds."""
        return self._slots.total_free()

    def _load_by_service(self) -> dict[ids.ServiceId, pm.ServiceLoad]:
        loads: dict[ids.ServiceId, pm.ServiceLoad] = {}
        for service in self._slots.services():
            slots, in_use = self._slots.usage(service)
            hold_s = self._slots.hold_s(service)
            loads[service] = pm.ServiceLoad(slots, in_use, hold_s)
        return loads

    def _tell(self) -> None:
        view = self._teller.due(self.view)
        if view is None:
            return
        for member in self._membership.live_members():
            if member.instance != self._me.instance:
                self._post(member.instance, view)

    def view(self) -> pm.DomainView:
        """All that the instances should know; the own domain first."""
        neighbours = self.exchange.neighbour_by_domain.values()
        summaries = [self.summarize()]
        summaries += [
            n.summary
            for n in neighbours
            if n.summary is not None and self.exchange.is_heard(n)
        ]
        ages = [pm.DomainAge(s.domain, s.store_age_s) for s in summaries]
        heard_all = self.exchange.heard_all(
            self._snapshot.configuration.domain_by_id
        )
        return pm.DomainView(summaries, ages, heard_all)

    def _post(self, instance: ids.InstanceId, message: pm.Message) -> None:
        try:
            self._network.post(instance, message)
        except errors.PeerError:
            self._network.greet(instance)

    def summarize(self) -> pm.DomainSummary:
        """The own failure domain's summary."""
        now = self._clock.now()
        members = self._membership.live_members()
        return pm.DomainSummary(
            domain=self._me.domain,
            coordinator=self._membership.me,
            revision=self._membership.revision,
            store_age_s=now - self._membership.store_contact_at,
            members=members[:_SUMMARY_MEMBERS],
            load_by_service=self._load_by_service(),
            leaving_share=self.shifts.leaving_share,
        )

    # Demands of the own failure domain's instances.

    def _on_demand(
        self, sender: ids.InstanceId, demand: pm.Demand
    ) -> pm.Message:
        incarnation = self._network.incarnation_of(sender)
        return self.answer_demand(sender, incarnation, demand)

    def answer_demand(
        self,
        instance: ids.InstanceId,
        incarnation: ids.Incarnation,
        demand: pm.Demand,
    ) -> pm.Allotment | pm.NotInOffice:
        """Answer an instance's demand."""
        if not self.is_in_office():
            return pm.NotInOffice(self._membership.coordinator())
        holder = ids.HolderId(f"{instance}#{incarnation}")
        self._configure_credits()
        self.shifts.note_load(demand.load_by_route)
        self._slots.report(holder, demand.acks, demand.slots)
        self._credits.report(holder, demand.acks, demand.credits)
        limits = self._slots.allot(holder)
        credit_limits = self._credits.allot(holder)
        self._recall(holder, demand.slots.wanted_by_service)
        valid_s = min(_TOKENS_VALID_S, self._membership.lease_left())
        tokens = self._token_desk.answer(
            instance, holder, demand.token_by_bucket, valid_s
        )
        return pm.Allotment(
            number=self._slots.number(holder),
            slots=pm.SlotGrant(limits, self._timing.slots_valid_s),
            credits=pm.SlotGrant(credit_limits, self._credits_left()),
            token_by_bucket=tokens,
            tokens_valid_s=valid_s,
            away_share_by_route=self.shifts.away_share_by_route(),
        )

    def _credits_left(self) -> float:
        now = self._clock.now()
        ends = [
            n.credits_until - now
            for n in self.exchange.neighbour_by_domain.values()
            if n.credits_until > now
        ]
        return min(ends, default=0.0)

    def _configure_credits(self) -> None:
        now = self._clock.now()
        targets: dict[ids.TargetId, slot_ledger.TargetSlots] = {}
        for neighbour in self.exchange.neighbour_by_domain.values():
            if neighbour.credits_until <= now:
                continue
            for service, count in neighbour.credit_by_service.items():
                target = names.credit_target(neighbour.domain, service)
                targets[target] = slot_ledger.TargetSlots(service, count, 0.0)
        self._credits.configure(targets)

    def _recall(
        self,
        holder: ids.HolderId,
        wanted_by_service: abc.Mapping[ids.ServiceId, int],
    ) -> None:
        for service in wanted_by_service:
            for other in self._slots.recall(holder, service):
                instance = ids.InstanceId(other.partition("#")[0])
                if instance != self._me.instance:
                    self._post(instance, pm.Recall([service]))
                else:
                    self.on_recall([service])

    # Exchanges with other failure domains.

    def _credit_report(
        self, domain: ids.DomainId
    ) -> tuple[dict[ids.ServiceId, int], dict[ids.ServiceId, int]]:
        wants: dict[ids.ServiceId, int] = {}
        in_flight: dict[ids.ServiceId, int] = {}
        for service in self._snapshot.configuration.service_by_id:
            used = self._credits.in_use(names.credit_target(domain, service))
            wanted = self.shifts.credit_want(service)
            wants[service] = wanted
            in_flight[service] = used
        return wants, in_flight

    def _answer_exchange(self, message: pm.Exchange) -> pm.ExchangeReply:
        self.is_in_office()
        domain = message.summary.domain
        valid_s = min(
            exchange_module.LENT_TOKENS_VALID_S, self._membership.lease_left()
        )
        tokens = {
            bucket: self._token_desk.lend(domain, bucket, wanted, valid_s)
            for bucket, wanted in message.token_wants.items()
        }
        return pm.ExchangeReply(
            summary=self.summarize(),
            token_by_bucket=tokens,
            tokens_valid_s=valid_s,
            credit_by_service=self.credit_desk.answer(message),
            credits_valid_s=credit_desk.CREDITS_VALID_S,
        )

    def _on_exchanged(
        self,
        neighbour: exchange_module.Neighbour,
        buckets: list[ids.BucketId],
    ) -> None:
        """Call those that wait for tokens of these buckets."""
        for instance in self._token_desk.take_unmet(buckets):
            if instance == self._me.instance:
                self.on_recall([])
            else:
                self._post(instance, pm.Recall([]))

    def _on_in_force(
        self, sender: ids.InstanceId, message: pm.InForceRequest
    ) -> pm.Message:
        if not self._membership.in_office():
            return pm.NotInOffice(self._membership.coordinator())
        return pm.InForce(self._membership.revision_by_instance())
