"""Composition of an entry whose fleet shares a platform's store."""

import asyncio
from collections import abc
import logging
import random

import msgspec

from chicorydoor.coordination import active_serving_config
from chicorydoor.coordination import call_app
from chicorydoor.coordination import call_runner
from chicorydoor.coordination import entry_registration
from chicorydoor.coordination import entry_selection
from chicorydoor.coordination import peer_exchange
from chicorydoor.coordination import rate_limiter
from chicorydoor.coordination import region_digests
from chicorydoor.coordination import request_admission
from chicorydoor.coordination import round_trip_times
from chicorydoor.coordination import store_follower
from chicorydoor.coordination import target_prober
from chicorydoor.coordination import target_registrations
from chicorydoor.coordination import target_selection
from chicorydoor.coordination import target_sender
from chicorydoor.platform import documents
from chicorydoor.platform import http_names
from chicorydoor.platform import kv_store
from chicorydoor.platform import store_updates
from chicorydoor.protocol import ids
from chicorydoor.protocol import platform_entry_settings
from chicorydoor.protocol import serving_config
from chicorydoor.state import cold_start_limits
from chicorydoor.state import fleet_view
from chicorydoor.state import rate_shares
from chicorydoor.state import service_retry_budget
from chicorydoor.state import store_mirror
from chicorydoor.state import target_views
from chicorydoor.transport import clock as clock_module

_LOG = logging.getLogger(__name__)

_STORE_PARTS = (
    # Changes of configuration and evacuations are rare and urgent. Some
    # entries read continuously; the others take over well within the tightest
    # time limit.
    store_follower.FollowPolicy(
        documents.OPERATOR_PREFIX,
        wait_s=1.5,
        readers=3,
        gap_s=0.0,
        patience_s=2.0,
        stagger_s=0.05,
        passes_values=False,
    ),
    # Targets write continuously; one read per second meets the time limits.
    store_follower.FollowPolicy(
        documents.TARGET_PREFIX,
        wait_s=2.0,
        readers=1,
        gap_s=0.8,
        patience_s=1.05,
        stagger_s=0.25,
    ),
    # Entries register rarely; heartbeats carry everything else.
    store_follower.FollowPolicy(
        documents.ENTRY_PREFIX,
        wait_s=5.0,
        readers=2,
        gap_s=1.0,
        patience_s=7.5,
        stagger_s=0.25,
    ),
)
# Interval of periodic tasks without precise timing.
_MAINTENANCE_INTERVAL_S = 0.25
# An entry that for this long could neither renew its registration nor receive
# heartbeats of most others releases its rate shares: the others may take them
# over once the registration has expired.
_ISOLATION_THRESHOLD_S = entry_registration.LEASE_S - 2.0


class PlatformComponents:
    """Builds and connects the components of one entry.

    Args:
        settings (PlatformEntrySettings): Validated settings.
        store (KeyValueStore): The platform's store.
        link (Link): Transport of messages between entries.
        clock (Clock): Source of time.
        rng (Random): Source of random numbers.
        incarnation (int): Number that grows with each start of the process.
    """

    def __init__(
        self,
        *,
        settings: platform_entry_settings.PlatformEntrySettings,
        store: kv_store.KeyValueStore,
        link: peer_exchange.Link,
        clock: clock_module.Clock,
        rng: random.Random,
        incarnation: int,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self._started_at = clock.now()
        self._promises = settings.promises
        me = fleet_view.Registration(
            instance=settings.instance,
            incarnation=incarnation,
            domain=settings.domain,
            region=settings.region,
            peer_address=settings.peers,
            caller_address=settings.callers,
        )
        self.fleet = fleet_view.FleetView(
            me,
            peer_exchange.SILENCE_S,
            entry_registration.LEASE_S,
            peer_exchange.DIGEST_SILENCE_S,
        )
        self.plans = active_serving_config.ActiveServingConfig()
        self.rates = rate_shares.RateShares(
            rate_shares.RateTolerance(
                self._promises.rate_overage, self._promises.rate_slack
            )
        )
        self.desk = rate_limiter.RateLimiter(
            fleet=self.fleet,
            rates=self.rates,
            plans=self.plans,
            link=link,
            clock=clock,
            rng=rng,
        )
        self.book = target_views.TargetViews(settings.region_by_domain)
        self.registry = target_registrations.TargetRegistrations(
            self.book, clock
        )
        self._compose_request_path()
        self.peers = peer_exchange.PeerExchange(
            fleet=self.fleet,
            link=link,
            clock=clock,
            seed_addresses=settings.seed_addresses,
            rates=self.rates,
            teller=region_digests.RegionDigests(
                self.fleet, self.rates, self.rng
            ),
            desk=self.desk,
            memory=self.selection.memory,
            book=self.book,
            caution=self.sender.idle_caution,
            rng=self.rng,
        )
        self.registrar = entry_registration.EntryRegistration(
            store,
            documents.ENTRY_PREFIX + settings.instance,
            lambda: msgspec.json.encode(me),
            clock,
            self.registry.note_contact,
        )
        self._compose_store_followers(store)

    def _compose_request_path(self) -> None:
        promises = self._promises
        self.cold = cold_start_limits.ColdStartLimits(
            self.settings.instance, self.fleet.possible_instances
        )
        self.distances = round_trip_times.RoundTripTimes(self.settings.region)
        self.selection = target_selection.TargetSelection(
            book=self.book,
            region=self.settings.region,
            distance_s=self.distances.round_trip_s,
            may_send_cold=lambda view: self.cold.may_send(
                view.target_id, self.clock.now()
            ),
            rng=self.rng,
        )
        self.sender = target_sender.TargetSender(
            book=self.book,
            selection=self.selection,
            cold=self.cold,
            cold_rate_per_s=self._cold_rate_per_s,
            wire=http_names.HEADERS,
            clock=self.clock,
            on_unreachable=lambda view, reason: self.prober.note_unreachable(
                view, reason
            ),
            on_distance=self.distances.note,
        )
        self.runner = call_runner.CallRunner(
            selection=self.selection,
            sender=self.sender,
            new_budget=lambda: service_retry_budget.ServiceRetryBudget(
                promises.retry_ratio,
                promises.retry_slack,
                promises.retry_window_s,
            ),
            entries=lambda: self.fleet.size,
            clock=self.clock,
        )
        self.prober = target_prober.TargetProber(
            self.book, self.sender, self.plans, http_names.HEADERS, self.clock
        )
        self.gate = request_admission.RequestAdmission(
            self.plans, self.desk, self.clock, self.rng
        )
        self.calls = call_app.CallApp(
            self.gate, self.runner, self.plans, http_names.HEADERS, self.clock
        )

    def _cold_rate_per_s(self, service_id: ids.ServiceId) -> float:
        service = self.plans.plan.service_by_id.get(service_id)
        return service.cold_rate_per_s if service is not None else 0.0

    def _compose_store_followers(self, store: kv_store.KeyValueStore) -> None:
        reader = store_updates.StoreUpdateHandler(
            self.plans, self.registry, self.book, self.fleet, self.clock
        )
        handlers = (
            reader.take_operator_items,
            reader.take_target_items,
            reader.take_entry_items,
        )
        significant_parts = (None, documents.target_essence, None)
        self.followers: list[store_follower.StoreFollower] = []
        for part, on_items, significant_part in zip(
            _STORE_PARTS, handlers, significant_parts, strict=True
        ):
            mirror = (
                store_mirror.StoreMirror(part.prefix, significant_part)
                if significant_part
                else store_mirror.StoreMirror(part.prefix)
            )
            follower = store_follower.StoreFollower(
                part=part,
                feed=store,
                mirror=mirror,
                clock=self.clock,
                publish=self.peers.publish,
                on_items=on_items,
                rank=self._reader_rank,
                entries=lambda: 1 + len(self.fleet.mates()),
                on_contact=self.registry.note_contact,
            )
            self.followers.append(follower)
            self.peers.add_follower(follower)

    def _reader_rank(self) -> int:
        """Return the position of this entry among its region's readers."""
        now = self.clock.now()
        # Right after the start no heartbeats have arrived yet.
        is_starting = now - self._started_at < peer_exchange.SILENCE_S
        members = (
            self.fleet.mates() if is_starting else self.fleet.live_mates(now)
        )
        readers = [
            member.registration.instance
            for member in members
            if member.heartbeat is None or member.heartbeat.reads_store
        ]
        return sum(name < self.settings.instance for name in readers)

    def addresses(
        self, region: ids.RegionId, domain: ids.DomainId
    ) -> list[str]:
        """Return the addresses of the entries that a caller should use.

        Args:
            region (str): The caller's region.
            domain (str): The caller's failure domain.
        """
        ready = self.fleet.ready(self.clock.now())
        if self.is_ready():
            ready = [*ready, self.fleet.me]
        chosen = entry_selection.choose_entries(ready, region, domain)
        return [entry.caller_address for entry in chosen]

    def is_ready(self) -> bool:
        """Whether this entry is ready for requests."""
        return self.peers.standing is fleet_view.EntryState.READY

    async def run(self) -> None:
        """Run all tasks until cancelled."""
        async with asyncio.TaskGroup() as group:
            for follower in self.followers:
                group.create_task(follower.run())
            group.create_task(self.registrar.run())
            group.create_task(self.peers.run())
            group.create_task(self._run_maintenance())

    async def _run_maintenance(self) -> None:
        while True:
            self._set_ready_once_configured()
            self._rebalance_rates()
            self.sender.forget_gone()
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)

    def _set_ready_once_configured(self) -> None:
        states = fleet_view.EntryState
        if self.peers.standing is not states.STARTING:
            return
        if self.plans.plan.version > 0 and self.book.target_by_id:
            self.peers.set_standing(states.READY)

    def _rebalance_rates(self) -> None:
        now = self.clock.now()
        self.desk.refresh()
        customers: abc.Iterable[serving_config.CustomerConfig] = (
            self.plans.plan.customer_by_id.values()
        )
        self.rates.rebalance(
            [each for each in customers if each.rate_per_s > 0],
            [*self.fleet.reported_near(), *self.fleet.reported_far()],
            now,
            fair=self.desk,
            is_isolated=self._is_isolated(now),
        )

    def _is_isolated(self, now: float) -> bool:
        """Whether others may soon take over this entry's rate shares."""
        if now - self.registrar.contact_at <= _ISOLATION_THRESHOLD_S:
            return False
        return self.fleet.hears_minority(now, _ISOLATION_THRESHOLD_S)

    def leave(self) -> None:
        """Announce that this entry leaves, so that callers go elsewhere."""
        self.calls.is_leaving = True
        self.peers.set_standing(fleet_view.EntryState.LEAVING)
