"""The coordinator of a failure domain.

While its entry holds the coordinator lease, it grants the domain's tokens,
slots, and the credits that it got from other domains, to the domain's
instances, plans which share of each route's traffic is sent to other domains,
and answers the coordinators of the other failure domains.
"""

import asyncio
from collections import abc
import random

from chicorydoor import errors
from chicorydoor.coordination import credit_issuer
from chicorydoor.coordination import domain_exchange
from chicorydoor.coordination import domain_view_publisher
from chicorydoor.coordination import membership as membership_module
from chicorydoor.coordination import peer_network
from chicorydoor.coordination import shift_planner
from chicorydoor.coordination import token_lender
from chicorydoor.protocol import bucket_ids
from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.protocol import settings as settings_module
from chicorydoor.state import config_snapshot
from chicorydoor.state import domain_limits
from chicorydoor.state import event_ring
from chicorydoor.state import slot_ledger
from chicorydoor.state import token_ledger
from chicorydoor.transport import clock as clock_module

_TOKENS_VALID_S = 1.0
_MAX_SUMMARY_MEMBERS = 16
_PLAN_INTERVAL_S = 0.25
_HANDOVER_TIMEOUT_S = 0.5


class Coordinator:
    """Grants the capacity of its failure domain while it holds the lease.

    Args:
        own_member (Member): Description of this entry.
        membership (Membership): Says whether this entry is coordinator.
        network (PeerNetwork): Sends and receives the messages.
        timing (Timing): Intervals and validity of grants.
        clock (Clock): Monotonic and wall time.
        rng (Random): Randomizes the exchanges with other domains.
        events (EventRing): Records state changes.
    """

    def __init__(
        self,
        *,
        own_member: pm.Member,
        membership: membership_module.Membership,
        network: peer_network.PeerNetwork,
        timing: settings_module.Timing,
        clock: clock_module.Clock,
        rng: random.Random,
        events: event_ring.EventRing,
    ) -> None:
        self._own_member = own_member
        self._membership = membership
        self._network = network
        self._timing = timing
        self._clock = clock
        self._events = events
        self._snapshot = config_snapshot.EMPTY
        self._term = 0
        self._tokens = token_ledger.TokenLedger(clock)
        self._slots = slot_ledger.SlotLedger(clock, timing.slots_valid_s)
        # Credits that other domains have granted; credit_issuer holds those
        # that the own domain grants.
        self._credits = slot_ledger.SlotLedger(
            clock, credit_issuer.CREDITS_VALID_S
        )
        self.shift_planner = shift_planner.ShiftPlanner(
            clock, events, own_member.domain
        )
        self._revision_by_domain: dict[ids.DomainId, ids.Revision] = {}
        self._view_publisher = domain_view_publisher.DomainViewPublisher(
            clock, timing.exchange_s
        )
        self.domain_exchange = domain_exchange.DomainExchange(
            own_member=own_member,
            membership=membership,
            network=network,
            timing=timing,
            clock=clock,
            rng=rng,
            make_summary=self.make_summary,
            credit_report=self._credit_counts,
            answer=self._answer_exchange,
            on_change=self._notify_waiting_instances,
        )
        self._token_lender = token_lender.TokenLender(
            self._tokens, self.domain_exchange, clock
        )
        self.credit_issuer = credit_issuer.CreditIssuer(
            self._slots, self.shift_planner, clock
        )
        # Called with the services whose idle slots the own instance is to
        # release before it reports; none if only a report is wanted.
        self.on_report_requested: abc.Callable[[list[ids.ServiceId]], None] = (
            lambda services: None
        )
        self._received_handover: pm.Handover | None = None
        self._handover_received_at = float("-inf")
        network.set_handler(pm.ResourceDemand, self._handle_demand)
        network.set_handler(pm.Handover, self._handle_handover)
        network.set_handler(
            pm.ActiveRevisionsRequest, self._handle_active_revisions_request
        )

    def configure(self, snapshot: config_snapshot.ConfigSnapshot) -> None:
        """Apply a new configuration."""
        self._snapshot = snapshot
        self._configure_ledgers()
        region_domains = frozenset(
            domain
            for domain, record in snapshot.configuration.domain_by_id.items()
            if record.region == snapshot.domain_region(self._own_member.domain)
        )
        self.domain_exchange.set_region_domains(region_domains)

    def _configure_ledgers(self) -> None:
        self._tokens.configure(self._token_limits())
        self._slots.configure(self._slots_by_target())
        self.shift_planner.configure(self._snapshot)

    def _token_limits(self) -> dict[ids.BucketId, token_ledger.BucketLimit]:
        """Limits of the domain's buckets for customers and for links.

        The rate of a link is divided equally among the region's domains.
        """
        snapshot = self._snapshot
        divided_limits = domain_limits.DomainLimits(
            snapshot.configuration, self._revision_by_domain
        )
        limits = {
            bucket_ids.customer_bucket_id(customer_id): divided_limits.limit(
                customer_id, self._own_member.domain
            )
            for customer_id in snapshot.customer_by_id
        }
        region = snapshot.domain_region(self._own_member.domain)
        domains = snapshot.configuration.domain_by_id.values()
        count = sum(1 for record in domains if record.region == region)
        for link in snapshot.configuration.link_by_id.values():
            if link.from_region == region:
                rate = link.bytes_per_s / max(1, count)
                bucket = bucket_ids.link_bucket_id(
                    link.from_region, link.to_region
                )
                limits[bucket] = token_ledger.BucketLimit(rate, rate)
        return limits

    def _slots_by_target(self) -> dict[ids.TargetId, slot_ledger.TargetSlots]:
        """Slots of the domain's targets that are not drained, by target."""
        configuration = self._snapshot.configuration
        now_wall_s = self._clock.wall()
        max_request_s_by_service: dict[ids.ServiceId, float] = {}
        for route in configuration.route_by_id.values():
            longest_s = max_request_s_by_service.get(route.service, 0.0)
            max_request_s_by_service[route.service] = max(
                longest_s, route.deadline_s
            )
        return {
            target_id: slot_ledger.TargetSlots(
                target.service,
                target.slots,
                max_request_s_by_service.get(target.service, 0.0),
            )
            for target_id, target in configuration.target_by_id.items()
            if target.domain == self._own_member.domain
            and not self._snapshot.is_drained(
                now_wall_s, target=target_id, domain=self._own_member.domain
            )
        }

    def check_coordinator(self) -> bool:
        """Check for the coordinator lease and start a new term if needed.

        A new term starts with empty ledgers, or with those that the
        predecessor handed over.

        Returns:
            Whether this entry holds the coordinator lease.
        """
        term = self._membership.term()
        if not term:
            return False
        if term != self._term:
            self._term = term
            self._tokens.reset()
            self._slots.reset()
            self._credits.reset()
            self._token_lender.reset()
            self.credit_issuer.reset()
            self._configure_ledgers()
            self._load_handover()
        return True

    # Handover to and from other coordinators.

    async def hand_over(self) -> None:
        """Hand the coordinator lease to another instance, before a stop.

        Nothing is granted from here on, so the ledgers that the successor
        receives stay correct until it holds the lease.
        """
        if not self.check_coordinator():
            return
        successor = self._membership.choose_successor()
        if successor is None:
            return
        self._membership.resign_lease(successor)
        slots_by_holder, unconfirmed_by_target = self._slots.export()
        message = pm.Handover(
            self._tokens.export(), slots_by_holder, unconfirmed_by_target
        )
        try:
            await self._network.call_peer(
                successor, message, _HANDOVER_TIMEOUT_S
            )
        except errors.PeerError:
            self._events.add(
                event_ring.EventKind.COORDINATOR_LEASE_LOST,
                subject=self._own_member.domain,
                detail=f"no handover to {successor}",
            )

    def _handle_handover(
        self, sender: ids.InstanceId, message: pm.Handover
    ) -> pm.Message:
        self._received_handover = message
        self._handover_received_at = self._clock.now()
        if self.check_coordinator():
            self._load_handover()
        return pm.Ack()

    def _load_handover(self) -> None:
        """Load the ledgers that a predecessor handed over, if recent."""
        message, self._received_handover = self._received_handover, None
        age_s = self._clock.now() - self._handover_received_at
        if message is None or age_s > self._timing.lease_s / 2:
            return
        self._tokens.load(message.bucket_by_id)
        self._slots.load(
            message.slots_by_holder, message.unconfirmed_slots_by_target
        )

    async def run(self) -> None:
        """Plan traffic shifts and publish the view until cancelled."""
        while True:
            await asyncio.sleep(_PLAN_INTERVAL_S)
            if self.check_coordinator():
                self._plan_shifts()
                self._publish_view()

    def _plan_shifts(self) -> None:
        self._update_confirmed_revisions()
        if self._snapshot.configuration.drain_by_id:
            self._slots.configure(self._slots_by_target())
        load_by_service = self._load_by_service()
        self.shift_planner.update_shares(load_by_service)

    def _update_confirmed_revisions(self) -> None:
        """Record the active revision of each domain's coordinator.

        Rate limits held back for domains with an earlier revision are
        raised once these have confirmed the new one.
        """
        revisions = {
            remote.domain: remote.summary.active_revision
            for remote in self.domain_exchange.remote_domain_by_id.values()
            if remote.summary is not None
        }
        if revisions == self._revision_by_domain:
            return
        self._revision_by_domain = revisions
        if domain_limits.has_former_limits(self._snapshot.configuration):
            self._tokens.configure(self._token_limits())

    def min_confirmed_revision(self) -> ids.Revision:
        """Lowest revision active at the failure domains' coordinators.

        For the own domain, that of this entry counts. A domain without a
        summary counts as 0.
        """
        all_domains = self._snapshot.configuration.domain_by_id.keys()
        known_revisions = [
            self._revision_by_domain.get(domain, ids.Revision(0))
            for domain in all_domains
            if domain != self._own_member.domain
        ]
        return min([self._snapshot.revision, *known_revisions])

    def count_free_slots(self) -> int:
        """Number of the domain's slots that no instance holds."""
        return self._slots.total_free()

    def _load_by_service(self) -> dict[ids.ServiceId, pm.ServiceLoad]:
        loads: dict[ids.ServiceId, pm.ServiceLoad] = {}
        for service in self._slots.services():
            slots, in_use = self._slots.usage(service)
            hold_s = self._slots.mean_hold_s(service)
            loads[service] = pm.ServiceLoad(slots, in_use, hold_s)
        return loads

    def _publish_view(self) -> None:
        view = self._view_publisher.take_due_view(self.make_view)
        if view is None:
            return
        for member in self._membership.live_members():
            if member.instance != self._own_member.instance:
                self._send_message_or_hello(member.instance, view)

    def make_view(self) -> pm.DomainView:
        """Summaries of all reachable domains, the own domain's first."""
        remotes = self.domain_exchange.remote_domain_by_id.values()
        summaries = [self.make_summary()]
        summaries += [
            remote.summary
            for remote in remotes
            if remote.summary is not None
            and self.domain_exchange.is_recently_seen(remote)
        ]
        ages = [pm.DomainStoreAge(s.domain, s.store_age_s) for s in summaries]
        all_domains_seen = self.domain_exchange.are_recently_seen(
            self._snapshot.configuration.domain_by_id
        )
        return pm.DomainView(summaries, ages, all_domains_seen)

    def _send_message_or_hello(
        self, instance: ids.InstanceId, message: pm.Message
    ) -> None:
        """Send a message, or only a hello if the incarnation is unknown.

        The message is lost in that case.
        """
        try:
            self._network.send_message(instance, message)
        except errors.PeerError:
            self._network.send_hello(instance)

    def make_summary(self) -> pm.DomainSummary:
        """Summary of the own failure domain for instances and peers."""
        now = self._clock.now()
        members = self._membership.live_members()
        return pm.DomainSummary(
            domain=self._own_member.domain,
            coordinator=self._membership.own_member,
            active_revision=self._membership.own_revision,
            store_age_s=now - self._membership.store_contact_at,
            members=members[:_MAX_SUMMARY_MEMBERS],
            load_by_service=self._load_by_service(),
            drained_share=self.shift_planner.lookup_away_share,
        )

    # Demands of the domain's own instances.

    def _handle_demand(
        self, sender: ids.InstanceId, demand: pm.ResourceDemand
    ) -> pm.Message:
        incarnation = self._network.incarnation_of(sender)
        return self.answer_demand(sender, incarnation, demand)

    def answer_demand(
        self,
        instance: ids.InstanceId,
        incarnation: ids.Incarnation,
        demand: pm.ResourceDemand,
    ) -> pm.Grants | pm.NotCoordinator:
        """Apply an instance's report and grant it tokens, slots and credits.

        Args:
            instance (str): The instance that reports.
            incarnation (int): That of its process; each counts as a separate
                holder.
            demand (ResourceDemand): What it holds and wants.

        Returns:
            The grants, or the coordinator if this entry isn't it.
        """
        if not self.check_coordinator():
            return pm.NotCoordinator(self._membership.followed_coordinator())
        holder = ids.GrantHolderId(f"{instance}#{incarnation}")
        self._configure_credits()
        self.shift_planner.record_load(demand.load_by_route)
        self._slots.apply_report(
            holder, demand.applied_grant_number, demand.slots
        )
        self._credits.apply_report(
            holder, demand.applied_grant_number, demand.credits
        )
        limits = self._slots.grant(holder)
        credit_limits = self._credits.grant(holder)
        self._reclaim_slots(holder, demand.slots.wanted_by_service)
        valid_s = min(_TOKENS_VALID_S, self._membership.lease_left())
        tokens = self._token_lender.grant_tokens(
            instance, holder, demand.token_report_by_bucket, valid_s
        )
        return pm.Grants(
            grant_number=self._slots.grant_number(holder),
            slots=pm.SlotGrant(limits, self._timing.slots_valid_s),
            credits=pm.SlotGrant(credit_limits, self._credits_remaining_s()),
            token_grant_by_bucket=tokens,
            tokens_valid_s=valid_s,
            forwarded_share_by_route=(
                self.shift_planner.forwarded_share_by_route()
            ),
        )

    def _credits_remaining_s(self) -> float:
        now = self._clock.now()
        remaining_s = [
            remote.credits_expire_at - now
            for remote in self.domain_exchange.remote_domain_by_id.values()
            if remote.credits_expire_at > now
        ]
        return min(remaining_s, default=0.0)

    def _configure_credits(self) -> None:
        now = self._clock.now()
        targets: dict[ids.TargetId, slot_ledger.TargetSlots] = {}
        for remote in self.domain_exchange.remote_domain_by_id.values():
            if remote.credits_expire_at <= now:
                continue
            for service, count in remote.credit_by_service.items():
                target = bucket_ids.credit_pseudo_target_id(
                    remote.domain, service
                )
                targets[target] = slot_ledger.TargetSlots(service, count, 0.0)
        self._credits.configure(targets)

    def _reclaim_slots(
        self,
        holder: ids.GrantHolderId,
        wanted_by_service: abc.Mapping[ids.ServiceId, int],
    ) -> None:
        """Ask instances that can release slots to do so and report now."""
        for service in wanted_by_service:
            for other_holder in self._slots.reclaim(holder, service):
                instance = ids.InstanceId(other_holder.partition("#")[0])
                if instance != self._own_member.instance:
                    self._send_message_or_hello(
                        instance, pm.SlotRevocation([service])
                    )
                else:
                    self.on_report_requested([service])

    # Exchanges with other failure domains.

    def _credit_counts(
        self, domain: ids.DomainId
    ) -> tuple[dict[ids.ServiceId, int], dict[ids.ServiceId, int]]:
        wanted_by_service: dict[ids.ServiceId, int] = {}
        in_flight_by_service: dict[ids.ServiceId, int] = {}
        for service in self._snapshot.configuration.service_by_id:
            in_flight = self._credits.slots_in_use(
                bucket_ids.credit_pseudo_target_id(domain, service)
            )
            wanted = self.shift_planner.credits_wanted(service)
            wanted_by_service[service] = wanted
            in_flight_by_service[service] = in_flight
        return wanted_by_service, in_flight_by_service

    def _answer_exchange(
        self, message: pm.CoordinatorExchange
    ) -> pm.CoordinatorExchangeReply:
        self.check_coordinator()
        domain = message.summary.domain
        valid_s = min(
            domain_exchange.LENT_TOKENS_VALID_S, self._membership.lease_left()
        )
        tokens = {
            bucket: self._token_lender.lend(domain, bucket, wanted, valid_s)
            for bucket, wanted in message.tokens_requested_by_bucket.items()
        }
        return pm.CoordinatorExchangeReply(
            summary=self.make_summary(),
            token_grant_by_bucket=tokens,
            tokens_valid_s=valid_s,
            credit_by_service=self.credit_issuer.issue_credits(message),
            credits_valid_s=credit_issuer.CREDITS_VALID_S,
        )

    def _notify_waiting_instances(
        self,
        remote: domain_exchange.RemoteDomain,
        buckets: list[ids.BucketId],
    ) -> None:
        """Ask instances that wait for tokens of these buckets to report."""
        for instance in self._token_lender.remove_waiting_instances(buckets):
            if instance == self._own_member.instance:
                self.on_report_requested([])
            else:
                # Without services, it only asks for a report.
                self._send_message_or_hello(instance, pm.SlotRevocation([]))

    def _handle_active_revisions_request(
        self, sender: ids.InstanceId, message: pm.ActiveRevisionsRequest
    ) -> pm.Message:
        if not self._membership.is_coordinator():
            return pm.NotCoordinator(self._membership.followed_coordinator())
        return pm.ActiveRevisions(self._membership.revision_by_instance())
