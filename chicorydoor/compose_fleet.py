"""Composition root of the fleet path: builds an entry from its components.

On the fleet path all entries share the key-value store of the users' platform
and exchange heartbeats and digests directly. The other path, composed in
``compose``, has the product's own interface and a coordinator in each failure
domain.
"""

import asyncio
from collections import abc
import logging
import random

import msgspec

from chicorydoor.coordination import active_serving_config
from chicorydoor.coordination import blocked_request_records
from chicorydoor.coordination import body_reader
from chicorydoor.coordination import call_app
from chicorydoor.coordination import call_runner
from chicorydoor.coordination import entry_registration
from chicorydoor.coordination import entry_selection
from chicorydoor.coordination import explanation
from chicorydoor.coordination import load_metrics
from chicorydoor.coordination import peer_exchange
from chicorydoor.coordination import rate_limiter
from chicorydoor.coordination import region_digests
from chicorydoor.coordination import relay_app
from chicorydoor.coordination import request_admission
from chicorydoor.coordination import request_relay
from chicorydoor.coordination import round_trip_times
from chicorydoor.coordination import standby_connections
from chicorydoor.coordination import store_follower
from chicorydoor.coordination import supervision
from chicorydoor.coordination import target_prober
from chicorydoor.coordination import target_registrations
from chicorydoor.coordination import target_selection
from chicorydoor.coordination import target_sender
from chicorydoor.platform import documents
from chicorydoor.platform import http_names
from chicorydoor.platform import kv_store
from chicorydoor.platform import store_updates
from chicorydoor.protocol import fleet_entry_settings
from chicorydoor.protocol import ids
from chicorydoor.protocol import serving_config
from chicorydoor.state import broken_connections
from chicorydoor.state import cold_start_limits
from chicorydoor.state import designated_entries
from chicorydoor.state import fleet_view
from chicorydoor.state import rate_shares
from chicorydoor.state import request_crashes
from chicorydoor.state import send_permits
from chicorydoor.state import service_reach
from chicorydoor.state import service_retry_budget
from chicorydoor.state import store_mirror
from chicorydoor.state import target_rate_limits
from chicorydoor.state import target_rests
from chicorydoor.state import target_views
from chicorydoor.transport import body_memory
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import connection_memory
from chicorydoor.transport import metrics
from chicorydoor.transport import process_memory

_LOG = logging.getLogger(__name__)

FOLLOW_POLICIES = (
    # Changes of configuration and evacuations are rare and urgent. Some
    # entries read continuously; the others take over well within the tightest
    # time limit.
    store_follower.FollowPolicy(
        documents.OPERATOR_PREFIX,
        watch_timeout_s=1.5,
        reader_count=3,
        read_interval_s=0.0,
        takeover_s=2.0,
        stagger_s=0.05,
        max_takeover_s=2.1,
        values_within_s=0.4,
    ),
    # Targets write continuously; a read about every second meets the time
    # limits.
    store_follower.FollowPolicy(
        documents.TARGET_PREFIX,
        watch_timeout_s=2.0,
        reader_count=1,
        read_interval_s=0.8,
        takeover_s=1.05,
        stagger_s=0.25,
        max_takeover_s=1.8,
    ),
    # Entries register rarely; heartbeats carry everything else.
    store_follower.FollowPolicy(
        documents.ENTRY_PREFIX,
        watch_timeout_s=5.0,
        reader_count=2,
        read_interval_s=1.0,
        takeover_s=7.5,
        stagger_s=0.25,
        max_takeover_s=9.0,
    ),
)
# Interval of periodic tasks without precise timing.
_MAINTENANCE_INTERVAL_S = 0.25
# Callers notice such a delay: it is a part of every request's time.
_LOGGED_EVENT_LOOP_DELAY_S = 0.1
# An entry that for this long could neither renew its registration nor receive
# heartbeats of most others releases its rate shares: the others may take them
# over once the registration has expired.
_ISOLATION_THRESHOLD_S = entry_registration.REGISTRATION_LEASE_S - 2.0
# An entry that cannot listen to its peers is not ready for this long: others
# serve better meanwhile, and a port is seldom held longer. After it, all
# entries may be in the same state.
_PEERS_WAIT_S = 5.0


class FleetComponents:
    """Builds and connects the components of one entry.

    Args:
        settings (FleetEntrySettings): Validated settings.
        store (KeyValueStore): The platform's store.
        link (Link): Transport of messages between entries.
        clock (Clock): Source of time.
        rng (Random): Source of random numbers.
        incarnation (int): Number that grows with each start of the process.
        accepts_callers (callable): Returns whether the callers' port is
            bound. Defaults to always.
        hears_peers (callable): Returns whether the peers' port is bound.
            Defaults to always.
    """

    def __init__(
        self,
        *,
        settings: fleet_entry_settings.FleetEntrySettings,
        store: kv_store.KeyValueStore,
        link: peer_exchange.Link,
        clock: clock_module.Clock,
        rng: random.Random,
        incarnation: int,
        accepts_callers: abc.Callable[[], bool] = lambda: True,
        hears_peers: abc.Callable[[], bool] = lambda: True,
    ) -> None:
        self.settings = settings
        self._accepts_callers = accepts_callers
        self._hears_peers = hears_peers
        self.clock = clock
        self.rng = rng
        self._started_at = clock.now()
        self._fleet_limits = settings.promises
        self.body_memory = body_memory.BodyMemory(settings.memory_limit_bytes)
        self.connection_memory = connection_memory.ConnectionMemory(
            settings.memory_limit_bytes
        )
        self._process_memory = process_memory.ProcessMemory(
            settings.memory_limit_bytes,
            self.body_memory,
            self.connection_memory,
        )
        own_registration = fleet_view.Registration(
            instance=settings.instance,
            incarnation=incarnation,
            domain=settings.domain,
            region=settings.region,
            peer_address=settings.peers,
            caller_address=settings.callers,
            relay_address=settings.relay,
        )
        self.fleet = fleet_view.FleetView(
            own_registration,
            peer_exchange.PEER_SILENT_AFTER_S,
            entry_registration.REGISTRATION_LEASE_S,
            peer_exchange.REGION_SILENT_AFTER_S,
        )
        self.active_config = active_serving_config.ActiveServingConfig()
        self.shares = rate_shares.RateShares(
            rate_shares.RateTolerance(
                self._fleet_limits.rate_overage, self._fleet_limits.rate_slack
            )
        )
        self.rate_limiter = rate_limiter.RateLimiter(
            fleet=self.fleet,
            shares=self.shares,
            active_config=self.active_config,
            link=link,
            clock=clock,
            rng=rng,
            may_borrow=lambda: self.targets.decides_for_overload,
        )
        self.targets = target_views.TargetViews(
            settings.region_by_domain, settings.expects_overload
        )
        self.load_metrics = load_metrics.LoadMetrics(self.targets, clock)
        self.target_registrations = target_registrations.TargetRegistrations(
            self.targets, clock
        )
        self.service_reach = service_reach.ServiceReach(self.targets)
        self._announced_out_of_reach: frozenset[ids.ServiceId] = frozenset()
        self._compose_request_path()
        self.peer_exchange = peer_exchange.PeerExchange(
            fleet=self.fleet,
            link=link,
            clock=clock,
            seed_addresses=settings.seed_addresses,
            shares=self.shares,
            digests=region_digests.RegionDigests(
                self.fleet, self.shares, self.rng
            ),
            limiter=self.rate_limiter,
            cache_index=self.selection.cache_index,
            rate_limits=self.rate_limits,
            crashes=self.crashes,
            targets=self.targets,
            connection_idle_limit=self.sender.idle_limit,
            reach=self.service_reach,
            rng=self.rng,
        )
        self.registration = entry_registration.EntryRegistration(
            store,
            documents.ENTRY_PREFIX + settings.instance,
            lambda: msgspec.json.encode(own_registration),
            clock,
            self.target_registrations.record_store_contact,
        )
        self.blocked_requests = blocked_request_records.BlockedRequestRecords(
            store,
            documents.BLOCKED_REQUEST_PREFIX,
            self.crashes,
            clock,
        )
        self._compose_store_followers(store)

    def _compose_request_path(self) -> None:
        limits = self._fleet_limits
        self.cold_limits = cold_start_limits.ColdStartLimits(
            self.settings.instance, self._known_instances
        )
        first_senders = designated_entries.DesignatedEntries(
            self.settings.instance, self.fleet.region_instances
        )
        self.round_trip_times = round_trip_times.RoundTripTimes(
            self.settings.region
        )
        self.rate_limits = target_rate_limits.TargetRateLimits(
            self.settings.instance,
            self._known_instances,
            self.fleet.region_instances,
        )
        permits = send_permits.SendPermits(
            target_rests.TargetRests(),
            self.rate_limits,
            self.cold_limits,
            self._warm_up_rate_per_s,
        )
        self.selection = target_selection.TargetSelection(
            targets=self.targets,
            region=self.settings.region,
            round_trip_s=self.round_trip_times.round_trip_s,
            may_send_first=lambda view: first_senders.includes_this_entry(
                view.target_id
            ),
            permits=permits,
            rng=self.rng,
        )
        self.crashes = request_crashes.RequestCrashes(
            self.settings.instance, self.fleet.instances
        )
        breaks = broken_connections.BrokenConnections(self.targets)
        self.sender = target_sender.TargetSender(
            targets=self.targets,
            selection=self.selection,
            permits=permits,
            names=http_names.HEADER_NAMES,
            clock=self.clock,
            crashes=self.crashes,
            breaks=breaks,
            on_refused=lambda view: self.prober.record_refused(view),
            on_connection_lost=lambda view: self.prober.check_listening(view),
            on_unreachable=lambda view, reason: self.prober.eject(
                view, reason
            ),
            on_round_trip=self.round_trip_times.record,
            response_memory=self.body_memory.responses,
        )
        self.standby_connections = standby_connections.StandbyConnections(
            self.targets,
            self.sender,
            self.round_trip_times.round_trip_s,
            self.clock,
        )
        self.relay = request_relay.RequestRelay(
            self.fleet,
            self.service_reach,
            http_names.HEADER_NAMES,
            self.clock,
            self.rng,
            self.body_memory.responses,
        )
        self.runner = call_runner.CallRunner(
            selection=self.selection,
            sender=self.sender,
            relay=self.relay,
            make_retry_budget=lambda: service_retry_budget.ServiceRetryBudget(
                limits.retry_ratio,
                limits.retry_slack,
                limits.retry_window_s,
            ),
            crashes=self.crashes,
            count_entries=lambda: self.fleet.entry_count,
            clock=self.clock,
        )
        self.prober = target_prober.TargetProber(
            self.targets,
            self.sender,
            self.active_config,
            http_names.HEADER_NAMES,
            self.crashes,
            breaks,
            self.service_reach,
            self.clock,
            self.rng,
        )
        self.admission = request_admission.RequestAdmission(
            self.active_config, self.rate_limiter, self.clock, self.rng
        )
        self.bodies = body_reader.BodyReader(self.body_memory, self.clock)
        self.call_app = call_app.CallApp(
            self.admission,
            self.runner,
            self.active_config,
            http_names.HEADER_NAMES,
            self.clock,
            self._configuration_age_s,
            self.bodies,
        )
        self.relay_app = relay_app.RelayApp(
            self.settings.instance,
            self.admission,
            self.runner,
            self.active_config,
            http_names.HEADER_NAMES,
            self.clock,
            self._configuration_age_s,
            self.bodies,
        )

        self.explainer = explanation.Explainer(
            instance=self.settings.instance,
            active_config=self.active_config,
            admission=self.admission,
            limiter=self.rate_limiter,
            app=self.call_app,
            runner=self.runner,
            clock=self.clock,
            rng=self.rng,
        )

    def _configuration_age_s(self) -> float:
        follower_by_prefix = self.peer_exchange.follower_by_prefix
        return follower_by_prefix[documents.OPERATOR_PREFIX].age_s()

    def _known_instances(self) -> list[ids.InstanceId]:
        """Return the entries that may be alive; none before they are known.

        An entry that has just started would take the part of all others.
        """
        follower_by_prefix = self.peer_exchange.follower_by_prefix
        follower = follower_by_prefix[documents.ENTRY_PREFIX]
        return self.fleet.instances() if follower.mirror.as_of > 0 else []

    def _warm_up_rate_per_s(self, service_id: ids.ServiceId) -> float:
        service = self.active_config.current.service_by_id.get(service_id)
        return service.warm_up_rate_per_s if service is not None else 0.0

    def _compose_store_followers(self, store: kv_store.KeyValueStore) -> None:
        handler = store_updates.StoreUpdateHandler(
            self.active_config,
            self.target_registrations,
            self.targets,
            self.fleet,
            self.clock,
        )
        handlers = (
            handler.apply_operator_items,
            handler.apply_target_items,
            handler.apply_entry_items,
        )
        significant_parts = (
            None,
            documents.normalize_target_registration,
            None,
        )
        self.followers: list[store_follower.StoreFollower] = []
        for policy, on_items, significant_part in zip(
            FOLLOW_POLICIES, handlers, significant_parts, strict=True
        ):
            mirror = (
                store_mirror.StoreMirror(policy.prefix, significant_part)
                if significant_part
                else store_mirror.StoreMirror(policy.prefix)
            )
            follower = store_follower.StoreFollower(
                policy=policy,
                feed=store,
                mirror=mirror,
                clock=self.clock,
                publish=self.peer_exchange.publish,
                on_items=on_items,
                get_rank=self._reader_rank,
                count_entries=lambda: 1 + len(self.fleet.region_peers()),
                on_contact=self.target_registrations.record_store_contact,
            )
            self.followers.append(follower)
            self.peer_exchange.add_follower(follower)

    def _reader_rank(self) -> int:
        """Return this entry's position among those that can read the store.

        Only the entries of its region count.
        """
        now = self.clock.now()
        # Right after the start no heartbeats have arrived yet.
        is_starting = (
            now - self._started_at < peer_exchange.PEER_SILENT_AFTER_S
        )
        peers = (
            self.fleet.region_peers()
            if is_starting
            else self.fleet.live_region_peers(now)
        )
        readers = [
            peer.registration.instance
            for peer in peers
            if peer.heartbeat is None or peer.heartbeat.reads_store
        ]
        return sum(name < self.settings.instance for name in readers)

    def handle_store_restore(self) -> None:
        """Read and write anew what the store lost by coming from a copy."""
        self.registration.handle_restore()
        self.blocked_requests.handle_restore()
        for follower in self.followers:
            follower.handle_restore()

    def lookup_addresses(
        self, region: ids.RegionId, domain: ids.DomainId
    ) -> list[str]:
        """Return the addresses of the entries that a caller should use.

        Args:
            region (str): The caller's region.
            domain (str): The caller's failure domain.
        """
        now = self.clock.now()
        ready = self.fleet.ready_peers(now)
        if self.is_ready():
            ready = [*ready, self.fleet.own_registration]
        chosen = entry_selection.select_entries(
            ready,
            region,
            domain,
            self.fleet.cut_off_instances(self.service_reach.out_of_reach, now),
        )
        return [entry.caller_address for entry in chosen]

    def is_ready(self) -> bool:
        """Whether this entry is ready for requests."""
        return self.peer_exchange.state is fleet_view.EntryState.READY

    async def run(self) -> None:
        """Run all tasks until cancelled."""
        run_by_part = {
            "registration": self.registration.run,
            "blocked requests": self.blocked_requests.run,
            "heartbeats": self.peer_exchange.run_heartbeats,
            "digests": self.peer_exchange.run_digests,
            "peer messages": self.peer_exchange.receive_messages,
            "maintenance": self.run_maintenance,
        }
        for follower in self.followers:
            run_by_part[f"store {follower.policy.prefix}"] = follower.run
        async with asyncio.TaskGroup() as group:
            for part, run in run_by_part.items():
                group.create_task(supervision.run_supervised(part, run))

    async def run_maintenance(self) -> None:
        """Run the periodic steps without precise timing until cancelled."""
        steps = (
            self.target_registrations.record_running,
            self._set_ready_once_configured,
            self._rebalance_rates,
            self._announce_reach,
            self._close_unused,
            self.standby_connections.refresh,
            self._process_memory.check,
            self.load_metrics.update,
        )
        while True:
            for step in steps:
                supervision.run_step("maintenance", step)
            planned_at = self.clock.now() + _MAINTENANCE_INTERVAL_S
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)
            self._record_event_loop_delay(self.clock.now() - planned_at)

    def _record_event_loop_delay(self, delay_s: float) -> None:
        metrics.EVENT_LOOP_DELAY_SECONDS.observe(max(0.0, delay_s))
        if delay_s > _LOGGED_EVENT_LOOP_DELAY_S:
            _LOG.warning(
                "event loop is late",
                extra={
                    "delay_ms": round(delay_s * 1000),
                    "running": self.call_app.running_count,
                },
            )

    def _close_unused(self) -> None:
        """Close connections and remove state that is not needed any more."""
        self.sender.close_unused()
        self.relay.close_unused()
        self.crashes.remove_expired(self.clock.now())

    def _set_ready_once_configured(self) -> None:
        """Become ready once requests can be accepted and forwarded.

        That takes a configuration, a target and the callers' port.
        """
        states = fleet_view.EntryState
        if self.peer_exchange.state is not states.STARTING:
            return
        if not self._hears_peers() and (
            self.clock.now() - self._started_at < _PEERS_WAIT_S
        ):
            return
        if (
            self._accepts_callers()
            and self.active_config.current.version > 0
            and self.targets.target_by_id
        ):
            self.peer_exchange.set_state(states.READY)

    def _announce_reach(self) -> None:
        """Tell the peers at once which services are out of reach."""
        out_of_reach = self.service_reach.out_of_reach
        if out_of_reach != self._announced_out_of_reach:
            self._announced_out_of_reach = out_of_reach
            self.peer_exchange.send_heartbeats()

    def _rebalance_rates(self) -> None:
        now = self.clock.now()
        if not self._hears_peers():
            self.rate_limiter.restart_startup()
        self.rate_limiter.update_candidates()
        customers: abc.Iterable[serving_config.CustomerConfig] = (
            self.active_config.current.customer_by_id.values()
        )
        self.shares.rebalance(
            [each for each in customers if each.rate_per_s > 0],
            [
                *self.fleet.announced_rates_of_region(),
                *self.fleet.announced_rates_of_other_regions(),
            ],
            now,
            fair_shares=self.rate_limiter,
            is_isolated=self._is_isolated(now),
            reduces_in_proportion=self.targets.decides_for_overload,
        )

    def _is_isolated(self, now: float) -> bool:
        """Whether others may hold more of the rates than is known here.

        They may soon take over this entry's shares, or it does not hear what
        they announce.
        """
        if not self._hears_peers():
            return True
        if now - self.registration.renewed_at <= _ISOLATION_THRESHOLD_S:
            return False
        return self.fleet.is_in_minority(now, _ISOLATION_THRESHOLD_S)

    def announce_leaving(self, ends_at: float) -> None:
        """Announce that this entry leaves, so that callers go elsewhere.

        Args:
            ends_at (float): When running requests are aborted, on the clock.
        """
        self.call_app.leave(ends_at)
        self.relay_app.leave(ends_at)
        self.peer_exchange.set_state(fleet_view.EntryState.LEAVING)
