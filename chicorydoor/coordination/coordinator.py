"""The coordinator of a failure domain.

While its entry is in office it divides the domain's tokens, slots and
credits among the instances, decides which part of each route's traffic goes
elsewhere, and answers the coordinators of other failure domains.
"""

import asyncio
from collections import abc
import math
import random

from chicorydoor import errors
from chicorydoor.coordination import exchange as exchange_module
from chicorydoor.coordination import membership as membership_module
from chicorydoor.coordination import peer_network
from chicorydoor.coordination import shifts
from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.protocol import settings as settings_module
from chicorydoor.state import config_snapshot
from chicorydoor.state import domain_parts
from chicorydoor.state import event_ring
from chicorydoor.state import slot_ledger
from chicorydoor.state import token_ledger
from chicorydoor.transport import clock as clock_module

TOKENS_VALID_S = 1.0
_PREFETCH_PART = 0.5
_BORROW_AHEAD_S = 0.12
_LENDER_RESERVE_S = 0.15
_ROUNDING = 1e-9
_LEAST_BURST_TO_PREFETCH = 8.0
_CREDIT_RESERVE = 0.1
_CREDIT_PART = 0.5
_CREDIT_CUT = 0.8
_MOST_PER_SLOT = 32.0
_SUMMARY_MEMBERS = 16
_PLAN_S = 0.25
_LOAD_STEPS = 5
_VIEW_REST_S = 1.5
_VIEW_REFRESH_S = 15.0
_HANDOVER_TIMEOUT_S = 0.5


def customer_bucket(customer: ids.CustomerId) -> ids.BucketId:
    """Bucket that counts a customer's requests."""
    return ids.BucketId(f"customer:{customer}")


def link_bucket(
    from_region: ids.RegionId, to_region: ids.RegionId
) -> ids.BucketId:
    """Bucket that counts bytes from one region to another."""
    return ids.BucketId(f"link:{from_region}:{to_region}")


def credit_target(
    domain: ids.DomainId, service: ids.ServiceId
) -> ids.TargetId:
    """Name under which credits at another failure domain are counted."""
    return ids.TargetId(f"{domain}/{service}")


def _essence(summary: pm.DomainSummary) -> tuple:
    """What instances should be told of at once when it changes."""
    return (
        summary.domain,
        summary.coordinator,
        summary.revision,
        summary.members,
        summary.leaving_share,
        [
            (service, round(_LOAD_STEPS * load.in_use / max(1, load.slots)))
            for service, load in summary.load_by_service.items()
        ],
    )


class _CreditGrants:
    """Credits that one other failure domain holds here."""

    def __init__(self) -> None:
        self.grants: list[tuple[float, int]] = []
        self.in_flight = 0
        self.per_slot = 1.0

    def latest(self) -> int:
        """The latest grant."""
        return self.grants[-1][1] if self.grants else 0

    def outstanding(self, now: float) -> int:
        """Most requests that it may have in flight, by unexpired grants."""
        self.grants = [g for g in self.grants if g[0] > now]
        return max((count for _, count in self.grants), default=0)


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
            clock, exchange_module.CREDITS_VALID_S
        )
        self.shifts = shifts.ShiftPlanner(clock, events, me.domain)
        self._granted_by_domain: dict[
            tuple[ids.DomainId, ids.ServiceId], _CreditGrants
        ] = {}
        self._revision_by_domain: dict[ids.DomainId, ids.Revision] = {}
        self._missing_by_bucket: dict[
            ids.BucketId, dict[ids.HolderId, float]
        ] = {}
        self._unmet: dict[ids.BucketId, set[ids.InstanceId]] = {}
        self._demand_by_bucket: dict[
            ids.BucketId, dict[ids.HolderId, float]
        ] = {}
        self._view_sent_at = float("-inf")
        self._view_refreshed_at = float("-inf")
        self._essence_sent: dict[ids.DomainId, tuple] = {}
        self.exchange = exchange_module.Exchange(
            me=me,
            membership=membership,
            network=network,
            timing=timing,
            clock=clock,
            rng=rng,
            events=events,
            summarize=self.summarize,
            credit_report=self._credit_report,
            answer=self._answer_exchange,
            on_change=self._on_exchanged,
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
            customer_bucket(customer_id): parts.limit(
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
                bucket = link_bucket(link.from_region, link.to_region)
                limits[bucket] = token_ledger.Limit(rate, rate)
        return limits

    def _target_slots(self) -> dict[ids.TargetId, slot_ledger.TargetSlots]:
        configuration = self._snapshot.configuration
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
            self._granted_by_domain.clear()
            self._demand_by_bucket.clear()
            self._missing_by_bucket.clear()
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
        now = self._clock.now()
        rest_s = now - self._view_sent_at
        if rest_s < self._timing.exchange_s:
            return
        is_refresh = now - self._view_refreshed_at >= _VIEW_REFRESH_S
        view = self.view(everything=is_refresh)
        if not view.summaries and rest_s < _VIEW_REST_S:
            return
        self._view_sent_at = now
        if is_refresh:
            self._view_refreshed_at = now
        for summary in view.summaries:
            self._essence_sent[summary.domain] = _essence(summary)
        for member in self._membership.live_members():
            if member.instance != self._me.instance:
                self._post(member.instance, view)

    def view(self, everything: bool = True) -> pm.DomainView:
        """What the instances should know of the failure domains.

        Args:
            everything (bool): Rather than what changed. A change of the
                own members counts as one of everything. Defaults to True.
        """
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
        if not everything and not self._is_changed(summaries[0]):
            summaries = [s for s in summaries if self._is_changed(s)]
        return pm.DomainView(summaries, ages, heard_all)

    def _is_changed(self, summary: pm.DomainSummary) -> bool:
        return self._essence_sent.get(summary.domain) != _essence(summary)

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
        valid_s = min(TOKENS_VALID_S, self._membership.lease_left())
        tokens = self._answer_tokens(instance, holder, demand, valid_s)
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
                target = credit_target(neighbour.domain, service)
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

    def on_recall(self, services: list[ids.ServiceId]) -> None:
        """Replaced by the composition: the own instance's recall."""

    def _answer_tokens(
        self,
        instance: ids.InstanceId,
        holder: ids.HolderId,
        demand: pm.Demand,
        valid_s: float,
    ) -> dict[ids.BucketId, pm.TokenGrant]:
        grants: dict[ids.BucketId, pm.TokenGrant] = {}
        for bucket, report in demand.token_by_bucket.items():
            self._tokens.report(bucket, holder, report.held, valid_s)
            demands = self._demand_by_bucket.setdefault(bucket, {})
            demands[holder] = report.demand_per_s
            grant = self._grant(instance, holder, bucket, report, valid_s)
            if grant != pm.TokenGrant():
                grants[bucket] = grant
        return grants

    def _grant(
        self,
        instance: ids.InstanceId,
        holder: ids.HolderId,
        bucket: ids.BucketId,
        report: pm.TokenReport,
        valid_s: float,
    ) -> pm.TokenGrant:
        take = self._tokens.take
        granted = take(bucket, holder, report.urgent, valid_s=valid_s)
        wanted = report.target - report.held
        limit = self._tokens.limit(bucket)
        if limit is None or limit.burst < _LEAST_BURST_TO_PREFETCH:
            wanted = 0.0
        keep = self._tokens.tokens(bucket) * _PREFETCH_PART
        granted += take(bucket, holder, wanted, valid_s=valid_s, reserve=keep)
        missing = report.urgent - granted
        missing += max(0.0, self._ahead(report) - report.held - report.lent)
        missing_by_holder = self._missing_by_bucket.setdefault(bucket, {})
        missing_by_holder.pop(holder, None)
        if missing <= 0 or limit is None:
            return pm.TokenGrant(granted)
        lent, lent_valid_s = self._borrow(bucket, holder, missing)
        unmet = max(0.0, report.urgent - granted - lent)
        retry_after_s = 0.0
        if missing > lent:
            missing_by_holder[holder] = missing - lent
            total = sum(missing_by_holder.values())
            total -= self._tokens.tokens(bucket) + self.exchange.lent(bucket)
            retry_after_s = self._ask_others(bucket, max(0.0, total))
        if unmet and not retry_after_s:
            self._unmet.setdefault(bucket, set()).add(instance)
        elif unmet:
            self._unmet.pop(bucket, None)
        else:
            retry_after_s = 0.0
        own_wait = self._tokens.retry_after(bucket)
        return pm.TokenGrant(
            granted, lent, lent_valid_s, min(retry_after_s, own_wait)
        )

    def _borrow(
        self, bucket: ids.BucketId, holder: ids.HolderId, missing: float
    ) -> tuple[float, float]:
        """Make whole tokens of what others lent and the own fraction.

        Returns:
            The tokens and for how many seconds they are valid.
        """
        lent = self.exchange.lent(bucket)
        own = self._tokens.tokens(bucket)
        whole = math.floor(min(missing, lent + own) + _ROUNDING)
        if whole <= 0 or lent <= 0:
            return 0.0, 0.0
        taken, valid_s = self.exchange.take_lent(bucket, min(lent, whole))
        if whole > taken:
            self._tokens.take(
                bucket, holder, whole - taken, valid_s=valid_s, is_whole=False
            )
        return float(whole), valid_s

    def _ahead(self, report: pm.TokenReport) -> float:
        """Tokens worth borrowing before requests wait for them."""
        return math.floor(report.demand_per_s * _BORROW_AHEAD_S)

    def _ask_others(self, bucket: ids.BucketId, missing: float) -> float:
        """Seconds until tokens may be had, 0 if others were asked."""
        if bucket.startswith("link:"):
            return self._tokens.retry_after(bucket)
        return self.exchange.want_tokens(bucket, missing)

    # Exchanges with other failure domains.

    def _credit_report(
        self, domain: ids.DomainId
    ) -> tuple[dict[ids.ServiceId, int], dict[ids.ServiceId, int]]:
        wants: dict[ids.ServiceId, int] = {}
        in_flight: dict[ids.ServiceId, int] = {}
        for service in self._snapshot.configuration.service_by_id:
            used = self._credits.in_use(credit_target(domain, service))
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
            bucket: self._lend(domain, bucket, wanted, valid_s)
            for bucket, wanted in message.token_wants.items()
        }
        credits = {
            service: self._grant_credit(
                domain,
                service,
                wanted,
                message,
            )
            for service, wanted in message.credit_wants.items()
        }
        return pm.ExchangeReply(
            summary=self.summarize(),
            token_by_bucket=tokens,
            tokens_valid_s=valid_s,
            credit_by_service=credits,
            credits_valid_s=exchange_module.CREDITS_VALID_S,
        )

    def _lend(
        self,
        domain: ids.DomainId,
        bucket: ids.BucketId,
        wanted: float,
        valid_s: float,
    ) -> pm.TokenGrant:
        holder = ids.HolderId(f"domain:{domain}")
        demands = self._demand_by_bucket.get(bucket, {})
        reserve = sum(demands.values()) * _LENDER_RESERVE_S
        granted = self._tokens.take(
            bucket,
            holder,
            wanted,
            valid_s=valid_s,
            reserve=reserve,
            is_whole=False,
        )
        return pm.TokenGrant(
            granted=granted,
            spare=self._tokens.tokens(bucket) - reserve,
            retry_after_s=self._tokens.retry_after(bucket, 1.0 + reserve),
        )

    def _grant_credit(
        self,
        domain: ids.DomainId,
        service: ids.ServiceId,
        wanted: int,
        message: pm.Exchange,
    ) -> int:
        """Requests that another domain may have in flight here.

        A request is in flight for longer than it holds a slot, so a slot
        carries more than one from far away. The number grows by a part of
        the free slots and shrinks while there are none.
        """
        now = self._clock.now()
        record = self._granted_by_domain.setdefault(
            (domain, service), _CreditGrants()
        )
        in_flight = message.credits_in_flight.get(service, 0)
        record.in_flight = in_flight
        record.per_slot = self._in_flight_per_slot(service, message)
        if not self.shifts.may_receive(service) or wanted <= 0:
            return 0
        free = self._free_for_others(service, record)
        count = max(in_flight, record.latest())
        if free < 0:
            count = math.floor(count * _CREDIT_CUT)
        elif free >= 1:
            extra = max(1.0, free * _CREDIT_PART) * record.per_slot
            count = in_flight + math.floor(extra)
        count = min(math.ceil(wanted * record.per_slot), count)
        record.grants.append((now + exchange_module.CREDITS_VALID_S, count))
        return count

    def credit_out(self, domain: ids.DomainId, service: ids.ServiceId) -> int:
        """Requests that another domain may have in flight here now."""
        record = self._granted_by_domain.get((domain, service))
        return record.outstanding(self._clock.now()) if record else 0

    def _in_flight_per_slot(
        self, service: ids.ServiceId, message: pm.Exchange
    ) -> float:
        hold_s = self._slots.hold_s(service)
        if hold_s <= 0:
            return 1.0
        in_flight_s = 2 * message.round_trip_s + hold_s
        return min(_MOST_PER_SLOT, in_flight_s / hold_s)

    def _free_for_others(
        self, service: ids.ServiceId, receiver: _CreditGrants
    ) -> float:
        """Slots neither in use nor promised nor kept for the own domain."""
        now = self._clock.now()
        slots, in_use = self._slots.usage(service)
        promised = sum(
            max(0, other.outstanding(now) - other.in_flight) / other.per_slot
            for (_, s), other in self._granted_by_domain.items()
            if s == service and other is not receiver
        )
        return slots - in_use - promised - slots * _CREDIT_RESERVE

    def _on_exchanged(
        self,
        neighbour: exchange_module.Neighbour,
        buckets: list[ids.BucketId],
    ) -> None:
        """Call those that wait for tokens of these buckets."""
        for bucket in buckets:
            for instance in sorted(self._unmet.pop(bucket, ())):
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
