"""Composition root: builds an entry from its parts.

``EntryComponents`` connects the coordination code to a link, a store and a
clock and opens no sockets; ``Entry`` adds the listening ports.
"""

import asyncio
import contextlib
import logging
import random
import time

from chicorydoor.coordination import admin_app
from chicorydoor.coordination import administration
from chicorydoor.coordination import authenticator
from chicorydoor.coordination import caller_app
from chicorydoor.coordination import coordinator
from chicorydoor.coordination import dispatcher
from chicorydoor.coordination import drain_updater
from chicorydoor.coordination import ejected_target_prober
from chicorydoor.coordination import entry_directory
from chicorydoor.coordination import forwarding
from chicorydoor.coordination import idempotency_guard
from chicorydoor.coordination import instance_list_poller
from chicorydoor.coordination import local_grants
from chicorydoor.coordination import membership
from chicorydoor.coordination import peer_network
from chicorydoor.coordination import revision_sync
from chicorydoor.coordination import slot_queue
from chicorydoor.coordination import target_executor
from chicorydoor.protocol import admin_api
from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.protocol import settings as settings_module
from chicorydoor.state import config_snapshot
from chicorydoor.state import domain_target_table
from chicorydoor.state import event_ring
from chicorydoor.state import idempotency
from chicorydoor.transport import asgi
from chicorydoor.transport import caller_protocol
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import etcd_store_client
from chicorydoor.transport import http_server
from chicorydoor.transport import metrics
from chicorydoor.transport import nng_transport
from chicorydoor.transport import streaming_connection

_LOG = logging.getLogger(__name__)
_LOOKUP_CACHE_MARGIN_S = 0.5


class EntryComponents:
    """The connected parts of one entry.

    Args:
        settings (EntrySettings): Validated settings.
        http_address (str): ``ip:port`` for callers.
        peer_address (str): ``ip:port`` for peers.
        link (PeerTransport): Transports messages between entries.
        store (ConfigStore): Client of the key-value store.
        clock (Clock): Time source.
        rng (Random): Random source.
        incarnation (int): Number that increases with each process start,
            unless the wall clock from which ``Entry`` takes it is set back.
        connect (callable): Creates a connection to a target, which is opened
            by the first request. Defaults to an HTTP connection.
    """

    def __init__(
        self,
        *,
        settings: settings_module.EntrySettings,
        http_address: str,
        peer_address: str,
        link: nng_transport.PeerTransport,
        store: etcd_store_client.ConfigStore,
        clock: clock_module.Clock,
        rng: random.Random,
        incarnation: ids.Incarnation,
        connect: streaming_connection.ConnectionFactory = (
            streaming_connection.HttpcoreConnection
        ),
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.link = link
        self.store = store
        self.incarnation = incarnation
        self.connect = connect
        self.own_member = pm.Member(
            settings.instance, settings.domain, peer_address, http_address
        )
        self.events = event_ring.EventRing(settings.instance, clock)
        self._build_peer_parts()
        self._build_coordination_parts()
        self._build_request_parts()
        self._build_configuration_parts()

    def _build_peer_parts(self) -> None:
        settings = self.settings
        self.network = peer_network.PeerNetwork(
            instance=settings.instance,
            domain=settings.domain,
            incarnation=self.incarnation,
            address=self.own_member.peer_address,
            link=self.link,
            secret=settings.peer_secret,
            clock=self.clock,
            rng=self.rng,
            hybrid_clock=self.events.hybrid_clock,
        )
        self.membership = membership.Membership(
            own_member=self.own_member,
            network=self.network,
            timing=settings.timing,
            clock=self.clock,
            events=self.events,
        )

    def _build_coordination_parts(self) -> None:
        timing = self.settings.timing
        self.coordinator = coordinator.Coordinator(
            own_member=self.own_member,
            membership=self.membership,
            network=self.network,
            timing=timing,
            clock=self.clock,
            rng=self.rng,
            events=self.events,
        )
        self.grants = local_grants.LocalGrants(
            coordinator=self.coordinator,
            membership=self.membership,
            network=self.network,
            timing=timing,
            clock=self.clock,
        )
        self.targets = domain_target_table.DomainTargetTable(
            self.clock, self.events
        )
        self.directory = entry_directory.EntryDirectory(
            self.own_member.domain, self.clock, self.rng
        )
        self.freshness = authenticator.KeyFreshness(
            self.clock, self.events, timing.keys_fresh_s
        )
        self.network.set_handler(pm.DomainView, self._handle_domain_view)

    def _handle_domain_view(
        self, sender: ids.InstanceId, view: pm.DomainView
    ) -> None:
        self.apply_domain_view(view)

    def apply_domain_view(self, view: pm.DomainView) -> None:
        """Apply a coordinator's view of the failure domains to the parts."""
        self.directory.apply_view(view)
        self.freshness.all_domains_seen_at = self.directory.all_domains_seen_at
        now = self.clock.now()
        peer_contact_times = [now - age.store_age_s for age in view.store_ages]
        self.membership.store_contact_at = max(
            [self.membership.store_contact_at, *peer_contact_times]
        )
        for summary in view.summaries:
            if summary.domain != self.own_member.domain:
                for member in summary.members:
                    self.network.set_address(
                        member.instance, member.peer_address
                    )

    def _build_request_parts(self) -> None:
        limits = self.settings.limits
        self.slot_queue = slot_queue.SlotQueue(
            grants=self.grants,
            targets=self.targets,
            clock=self.clock,
            rng=self.rng,
            max_waiting=limits.waiting_requests,
        )
        self.executor = target_executor.TargetExecutor(
            slot_queue=self.slot_queue,
            targets=self.targets,
            clock=self.clock,
            rng=self.rng,
            events=self.events,
            slot_limit=self.grants.local_slots.limit,
            connect=self.connect,
        )
        self.dispatcher = dispatcher.Dispatcher(
            grants=self.grants,
            slot_queue=self.slot_queue,
            executor=self.executor,
            directory=self.directory,
            clock=self.clock,
            rng=self.rng,
            events=self.events,
        )
        self.key_issuer = idempotency.IdempotencyKeyIssuer(
            self.settings.minting_secret,
            self.own_member.instance,
            self.incarnation,
            self.clock,
        )
        self.idempotency_guard = idempotency_guard.IdempotencyGuard(
            key_issuer=self.key_issuer,
            table=idempotency.IdempotencyTable(
                # Records, and bytes of the kept bodies.
                limits.idempotency_records,
                limits.kept_answers_bytes,
                self.clock,
            ),
            network=self.network,
            clock=self.clock,
            max_recorded_answer_bytes=limits.kept_answer_bytes,
        )

    def _build_configuration_parts(self) -> None:
        self.active_revision = revision_sync.ActiveRevision(
            self.clock, self.events
        )
        self.executor.get_snapshot = self.active_revision.get_snapshot
        self.forwarder = forwarding.Forwarder(
            network=self.network,
            clock=self.clock,
            get_snapshot=self.active_revision.get_snapshot,
            run_in_domain=self.executor.run,
            run_minted_here=lambda request: self.idempotency_guard.run(
                request, self.dispatcher.run
            ),
        )
        self.dispatcher.forwarder = self.forwarder
        self.idempotency_guard.forwarder = self.forwarder
        self.revision_sync = revision_sync.RevisionSync(
            active_revision=self.active_revision,
            store=self.store,
            membership=self.membership,
            network=self.network,
            clock=self.clock,
            events=self.events,
            poll_s=self.settings.timing.store_poll_s,
            peers_with_newer_revision=self._domain_contacts_with_newer_revision,
        )
        self.drain_updater = drain_updater.DrainUpdater(
            own_member=self.own_member,
            targets=self.targets,
            clock=self.clock,
            events=self.events,
        )
        self.prober = ejected_target_prober.EjectedTargetProber(
            self.targets, self.clock, self.connect
        )
        self.administration = administration.Administration(
            active_revision=self.active_revision,
            revision_sync=self.revision_sync,
            store=self.store,
            membership=self.membership,
            network=self.network,
            clock=self.clock,
            events=self.events,
            operator_digest_by_name=self.settings.operator_digest_by_name,
            known_coordinators=self._coordinators,
            known_entries=self.directory.instance_ids,
            confirmed_revision=self.coordinator.min_confirmed_revision,
        )
        self.authenticator = authenticator.Authenticator(
            self.active_revision.get_snapshot, self.freshness
        )
        self.caller_app = caller_app.CallerApp(
            authenticator=self.authenticator,
            grants=self.grants,
            dispatcher=self.dispatcher,
            idempotency_guard=self.idempotency_guard,
            key_issuer=self.key_issuer,
            directory=self.directory,
            clock=self.clock,
            events=self.events,
            max_body_bytes=self.settings.limits.body_bytes,
            random_fraction=self.rng.random,
        )
        self.caller_app.is_ready = self.is_ready
        self.active_revision.observers.append(self._apply_configuration)
        for peer in self.settings.peers:
            self.add_member(
                pm.Member(peer.instance, peer.domain, str(peer.peer), "")
            )

    def add_member(self, member: pm.Member) -> None:
        """Add an entry named by the settings or the instance list."""
        if member.domain == self.own_member.domain:
            self.membership.add_member(member)
        else:
            self.coordinator.domain_exchange.add_entry(member)

    def _domain_contacts_with_newer_revision(self) -> list[ids.InstanceId]:
        own_revision = self.active_revision.snapshot.revision
        return [
            peer_domain.contact
            for peer_domain in (
                self.coordinator.domain_exchange.remote_domain_by_id.values()
            )
            if peer_domain.contact is not None
            and peer_domain.summary is not None
            and peer_domain.summary.active_revision > own_revision
        ]

    def _coordinators(self) -> dict[ids.DomainId, ids.InstanceId]:
        return self.directory.coordinator_by_domain()

    def _apply_configuration(
        self, snapshot: config_snapshot.ConfigSnapshot
    ) -> None:
        configuration = snapshot.configuration
        own_targets = {
            target_id: target
            for target_id, target in configuration.target_by_id.items()
            if target.domain == self.own_member.domain
        }
        slow_start = {
            service_id: service.slow_start_s
            for service_id, service in configuration.service_by_id.items()
        }
        self.targets.configure(own_targets, slow_start)
        self.slot_queue.choice_policy_name = snapshot.policy.target_choice
        self.directory.configure(snapshot)
        self.coordinator.configure(snapshot)
        self.drain_updater.configure(snapshot)
        self.membership.own_revision = snapshot.revision
        self.membership.announce_ready()

    def is_ready(self) -> bool:
        """Return whether the entry can serve requests.

        It needs a configuration and a known coordinator.
        """
        return (
            self.active_revision.snapshot.revision > 0
            and self.membership.followed_coordinator() is not None
        )

    def status(self) -> admin_api.Status:
        """Return the entry's state for the administration API."""
        now = self.clock.now()
        store_contact_at = self.membership.store_contact_at
        has_store_contact = store_contact_at > float("-inf")
        coordinator_member = self.membership.followed_coordinator()
        exchange = self.coordinator.domain_exchange
        doubt_s = self.freshness.in_doubt_for_s()
        return admin_api.Status(
            instance=self.own_member.instance,
            domain=self.own_member.domain,
            revision=self.active_revision.snapshot.revision,
            is_ready=self.is_ready(),
            is_leaving=self.membership.own_member.is_leaving,
            coordinator=coordinator_member.instance
            if coordinator_member
            else "",
            store_age_s=round(now - store_contact_at, 3)
            if has_store_contact
            else -1.0,
            # Infinite before the first contact; JSON has no infinity.
            doubt_s=round(min(doubt_s, 1e9), 3),
            running=self.caller_app.running_count
            + self.forwarder.running_count(),
            waiting=self.slot_queue.waiting_count(),
            slot_by_target={
                target: [state.granted, state.in_use]
                for target, state in (
                    self.grants.local_slots.report_states().items()
                )
            },
            away_share_by_route=self.grants.forwarded_share_by_route,
            members=[
                member.instance for member in self.membership.live_members()
            ],
            domains_heard=sorted(
                peer_domain.domain
                for peer_domain in exchange.remote_domain_by_id.values()
                if exchange.is_recently_seen(peer_domain)
            ),
        )

    async def run(self) -> None:
        """Run the tasks of all parts until cancelled."""
        async with asyncio.TaskGroup() as group:
            for run in (
                self.network.run,
                self.membership.run,
                self.coordinator.run,
                self.grants.run,
                self.revision_sync.run,
                self.prober.run,
                self._run_periodic_updates,
            ):
                group.create_task(run())

    async def _run_periodic_updates(self) -> None:
        """Update state that depends on time or membership, periodically."""
        while True:
            self.freshness.store_contact_at = self.membership.store_contact_at
            members = self.membership.live_members()
            self.directory.apply_members(self.membership.own_member, members)
            if self.membership.is_coordinator():
                self.apply_domain_view(self.coordinator.make_view())
            self.freshness.record_state_change()
            self._update_store_age_metric()
            self.drain_updater.update()
            self.membership.set_leaving(self.drain_updater.is_instance_drained)
            await asyncio.sleep(self.settings.timing.exchange_s)

    def _update_store_age_metric(self) -> None:
        store_contact_at = self.membership.store_contact_at
        if store_contact_at > float("-inf"):
            age_s = self.clock.now() - store_contact_at
            metrics.STORE_AGE_SECONDS.set(age_s)

    async def close(self) -> None:
        """Close the connections of the parts."""
        await self.coordinator.domain_exchange.close()
        self.network.close()
        await self.executor.close()


class Entry:
    """An entry with its listening ports.

    Args:
        settings (EntrySettings): Validated settings.
    """

    def __init__(self, settings: settings_module.EntrySettings) -> None:
        self.settings = settings
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Open the ports and start all tasks."""
        settings = self.settings
        self.link = nng_transport.NngPeerTransport(
            str(settings.peer), settings.limits.peer_message_bytes
        )
        self.store = etcd_store_client.EtcdClient(str(settings.store))
        callers = http_server.HttpServer(
            self._answer_caller,
            settings.callers.address,
            settings.callers.port,
            lambda: caller_protocol.ConnectionLimits(
                settings.limits.header_bytes
            ),
            streams_bodies=True,
        )
        self.callers = callers
        self.parts = EntryComponents(
            settings=settings,
            http_address=callers.endpoint,
            peer_address=self.link.address,
            link=self.link,
            store=self.store,
            clock=clock_module.SystemClock(),
            rng=random.Random(),
            incarnation=ids.Incarnation(time.time_ns()),
        )
        admin = admin_app.AdminApp(
            administration=self.parts.administration,
            events=self.parts.events,
            status=self.parts.status,
        )
        self.administration = http_server.HttpServer(
            admin.app,
            settings.administration.address,
            settings.administration.port,
        )
        await callers.start()
        await self.administration.start()
        self.parts_task = asyncio.create_task(self.parts.run())
        self._tasks.append(self.parts_task)
        if settings.instance_list is not None:
            poller = instance_list_poller.InstanceListPoller(
                str(settings.instance_list), self.parts.add_member
            )
            self._tasks.append(asyncio.create_task(poller.run()))
        self.parts.events.add(event_ring.EventKind.STARTED)
        _LOG.info(
            "entry started",
            extra={
                "callers": callers.endpoint,
                "administration": self.administration.endpoint,
                "peer": self.link.address,
            },
        )

    async def _answer_caller(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        await self.parts.caller_app(scope, receive, send)

    async def drain_and_stop(self) -> None:
        """Drain the entry for a planned stop, then close it.

        The entry is first removed from the look-up answers and continues to
        serve until the answers that callers have cached have expired. Then
        it accepts no new requests and completes the running ones.
        """
        parts = self.parts
        parts.events.add(event_ring.EventKind.STOPPING)
        _LOG.info("planned stop: draining")
        parts.membership.announce_leaving()
        ttl_s = parts.active_revision.snapshot.policy.lookup_ttl_s
        timing = self.settings.timing
        propagation_s = 2 * timing.heartbeat_s + 3 * timing.exchange_s
        await asyncio.sleep(propagation_s + ttl_s + _LOOKUP_CACHE_MARGIN_S)
        await parts.coordinator.hand_over()
        self.callers.close_connections_after_responses()
        await asyncio.sleep(self.settings.timing.exchange_s)
        configuration = parts.active_revision.snapshot.configuration
        max_deadline_s = max(
            (route.deadline_s for route in configuration.route_by_id.values()),
            default=1.0,
        )
        await self.callers.stop(grace_s=max_deadline_s)
        await self._wait_for_running_requests(max_deadline_s)
        await self.close()

    async def _wait_for_running_requests(self, max_deadline_s: float) -> None:
        """Wait for running requests without a caller's connection here.

        These are requests that peers forwarded, and those with an
        idempotency key whose caller disconnected.
        """
        parts = self.parts
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max_deadline_s):
                while (
                    parts.forwarder.running_count()
                    or parts.idempotency_guard.running_count()
                ):
                    await asyncio.sleep(0.05)

    async def close(self) -> None:
        """Stop all tasks and close all ports immediately."""
        self.parts.events.add(event_ring.EventKind.STOPPED)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.callers.stop()
        await self.administration.stop()
        await self.parts.close()
        await self.link.close()
        await self.store.close()
        _LOG.info("stopped")
