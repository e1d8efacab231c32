"""Discrete-event simulation of entries that run the real target selection."""

from collections import abc
import heapq
import itertools
import random
import typing

import msgspec

from chicorydoor.coordination import peer_exchange
from chicorydoor.coordination import target_selection
from chicorydoor.model import limited_arrivals
from chicorydoor.model import model_target
from chicorydoor.model import region_mix
from chicorydoor.model import scenario as scenario_module
from chicorydoor.protocol import ids
from chicorydoor.protocol import serving_config
from chicorydoor.state import cold_start_limits
from chicorydoor.state import designated_entries
from chicorydoor.state import send_permits
from chicorydoor.state import target_rate_limits
from chicorydoor.state import target_rests
from chicorydoor.state import target_views

_SAME_REGION_RTT_S = 0.002
# Requests sent before are not counted: the targets' caches still fill.
_WARM_UP_S = 8.0
_SERVICE = ids.ServiceId("service")


class RequestCounts(msgspec.Struct):
    """Requests after the warm-up, by result.

    Args:
        in_time (int): Responses within the latency objective.
        late (int): Responses after it.
        refused (int): Requests that were refused, shed or timed out.
        from_other_region (int): Responses, in time or late, from a target
            in another region than the entry.
    """

    in_time: int = 0
    late: int = 0
    refused: int = 0
    from_other_region: int = 0

    @property
    def request_count(self) -> int:
        """All counted requests."""
        return self.in_time + self.late + self.refused


class ModelEntry:
    """An entry with its own view of the targets and its own selection.

    Args:
        instance (str): Its instance id.
        region (str): Region that it runs in.
        instances_by_region (dict): Instance ids of all entries.
        targets (list): All targets of the run.
        inter_region_rtt_s (float): Round-trip time between two regions.
        rng (Random): Random numbers of the selection.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        region: ids.RegionId,
        instances_by_region: dict[ids.RegionId, list[ids.InstanceId]],
        targets: list[model_target.ModelTarget],
        inter_region_rtt_s: float,
        rng: random.Random,
    ) -> None:
        self.instance = instance
        self.region = region
        self._inter_region_rtt_s = inter_region_rtt_s
        region_by_domain = {
            ids.DomainId(target.region): target.region for target in targets
        }
        self.targets = target_views.TargetViews(region_by_domain)
        for target in targets:
            self.targets.add_or_update(_target_registration(target), 0.0)
        designated = designated_entries.DesignatedEntries(
            instance, lambda: instances_by_region[region]
        )
        all_instances = list(
            itertools.chain.from_iterable(instances_by_region.values())
        )
        self.rate_limits = target_rate_limits.TargetRateLimits(
            instance, lambda: all_instances, instances_by_region.__getitem__
        )
        self.selection = target_selection.TargetSelection(
            targets=self.targets,
            region=region,
            round_trip_s=self.round_trip_s,
            may_send_first=lambda view: designated.includes_this_entry(
                view.target_id
            ),
            permits=send_permits.SendPermits(
                target_rests.TargetRests(),
                self.rate_limits,
                cold_start_limits.ColdStartLimits(
                    instance, lambda: all_instances
                ),
                lambda service_id: 0.0,
            ),
            rng=rng,
        )

    def round_trip_s(self, region: ids.RegionId) -> float:
        """Return the round-trip time to a region in seconds."""
        return (
            _SAME_REGION_RTT_S
            if region == self.region
            else self._inter_region_rtt_s
        )


def _target_registration(
    target: model_target.ModelTarget,
) -> serving_config.TargetRegistration:
    return serving_config.TargetRegistration(
        target.target_id,
        _SERVICE,
        "127.0.0.1:1",  # never connected to
        ids.DomainId(target.region),
        target.parameters.slots,
        serving_config.TargetLifecycle.READY,
    )


def _rate_limit_schedule(
    limit: scenario_module.NamedLimit | None, index: int
) -> abc.Callable[[float], float | None]:
    """Return which limit a region's target of this index names at a time."""
    if limit is None or index >= limit.targets_per_region:
        return lambda now: None
    return lambda now: (
        limit.rate_per_s
        if limit.starts_at_s <= now < limit.ends_at_s
        else None
    )


class _Response(typing.NamedTuple):
    """A target's response or refusal on its way to the entry."""

    entry: ModelEntry
    view: target_views.TargetView
    choice: target_selection.SelectedTarget
    constraints: target_selection.TargetConstraints
    sent_at: float
    is_refusal: bool


class _DigestRound(typing.NamedTuple):
    """The next time at which a region sends digests to the others."""

    region: ids.RegionId


class ModelFleet:
    """Simulates a scenario.

    Args:
        scenario (Scenario): Targets, demand and delays.
        seed (int): Seed of all random numbers; the same seed repeats a run.
        shares_cached_objects (bool): Whether the entries of a region publish
            to each other which target handled which object. Defaults to True.
        sheds_objects (bool): Whether an overloaded target sheds requests for
            some objects, if only some regions may serve them. Defaults to
            True.
    """

    def __init__(
        self,
        scenario: scenario_module.Scenario,
        seed: int,
        shares_cached_objects: bool = True,
        sheds_objects: bool = True,
    ) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._shares_cached_objects = shares_cached_objects
        self._sheds_objects = sheds_objects
        self._targets = [
            model_target.ModelTarget(
                ids.TargetId(f"{region}-{index}"),
                region,
                scenario.target_parameters,
                _rate_limit_schedule(scenario.named_limit, index),
            )
            for region, count in scenario.target_count_by_region.items()
            for index in range(count)
        ]
        self._target_by_id = {
            target.target_id: target for target in self._targets
        }
        instances_by_region = {
            region: [
                ids.InstanceId(f"entry-{region}-{index}")
                for index in range(scenario.entry_count_per_region)
            ]
            for region in scenario.target_count_by_region
        }
        self._entries_by_region = {
            region: self._build_entries(region, instances_by_region)
            for region in scenario.target_count_by_region
        }
        self._route = serving_config.RouteConfig(
            ids.RouteId("route"),
            "host",
            "/route/",
            (serving_config.WeightedService(_SERVICE, 1.0),),
            True,  # may run more than once
            scenario.timeout_s,
            scenario.latency_objective_s,
            2,  # attempts
            1,  # priority
            uses_affinity=True,
        )
        self._heartbeat_interval_s = peer_exchange.heartbeat_interval_s(
            scenario.entry_count_per_region - 1
        )
        self._events: list[tuple[float, int, typing.Any]] = []
        self._event_numbers = itertools.count()
        self.counts = RequestCounts()
        self.region_mix = region_mix.RegionMix()
        self.limited_arrivals = limited_arrivals.LimitedArrivals()

    def _build_entries(
        self,
        region: ids.RegionId,
        instances_by_region: dict[ids.RegionId, list[ids.InstanceId]],
    ) -> list[ModelEntry]:
        return [
            ModelEntry(
                instance,
                region,
                instances_by_region,
                self._targets,
                self._scenario.inter_region_rtt_s,
                self._rng,
            )
            for instance in instances_by_region[region]
        ]

    @property
    def entries(self) -> list[ModelEntry]:
        """All entries."""
        return list(
            itertools.chain.from_iterable(self._entries_by_region.values())
        )

    def run(self) -> RequestCounts:
        """Simulate the whole scenario and return its request counts."""
        for demand in self._scenario.demands:
            self._schedule(
                demand.starts_at_s + self._next_interval_s(demand), demand
            )
        for entries in self._entries_by_region.values():
            for entry in entries:
                # Entries start at different times.
                phase = self._rng.random()
                self._schedule(phase * self._heartbeat_interval_s, entry)
        for region in self._entries_by_region:
            self._schedule(0.0, _DigestRound(region))
        while self._events:
            now, _, event = heapq.heappop(self._events)
            if now >= self._scenario.duration_s:
                break
            self._handle_event(event, now)
        return self.counts

    def _handle_event(self, event: typing.Any, now: float) -> None:
        if isinstance(event, ModelEntry):
            self._send_heartbeat(event, now)
        elif isinstance(event, _DigestRound):
            self._send_digests(event.region, now)
        elif isinstance(event, _Response):
            self._handle_response(event, now)
        elif now < event.ends_at_s:
            self._handle_request(event, now)
            self._schedule(now + self._next_interval_s(event), event)

    def _schedule(self, at: float, event: typing.Any) -> None:
        heapq.heappush(self._events, (at, next(self._event_numbers), event))

    def _next_interval_s(self, demand: scenario_module.Demand) -> float:
        return self._rng.expovariate(demand.rate_per_s)

    def _send_heartbeat(self, entry: ModelEntry, now: float) -> None:
        self._schedule(now + self._heartbeat_interval_s, entry)
        published_objects = entry.selection.cache_index.pop_unpublished(now)
        reports = entry.targets.pop_reports(now)
        limit_reports = entry.rate_limits.pop_reports(now)
        for peer in self._entries_by_region[entry.region]:
            if peer is entry:
                continue
            peer.targets.apply_reports(reports, now)
            peer.rate_limits.apply_reports(limit_reports, now)
            if self._shares_cached_objects:
                peer.selection.cache_index.apply_published(
                    published_objects, now
                )

    def _send_digests(self, region: ids.RegionId, now: float) -> None:
        """Tell other regions what targets responded about their limits."""
        self._schedule(
            now + peer_exchange.DIGEST_INTERVAL_S, _DigestRound(region)
        )
        sender = self._rng.choice(self._entries_by_region[region])
        limit_reports = sender.rate_limits.recent_reports(now)
        for other_region, entries in self._entries_by_region.items():
            if other_region == region:
                continue
            for entry in entries:
                entry.rate_limits.apply_reports(limit_reports, now)

    def _handle_request(
        self, demand: scenario_module.Demand, now: float
    ) -> None:
        entry = self._rng.choice(self._entries_by_region[demand.region])
        object_key = (
            f"{demand.region}/{self._rng.randrange(demand.object_count)}"
        )
        if demand.allowed_regions:
            object_key = f"bound/{object_key}"
        constraints = target_selection.TargetConstraints(
            self._route, _SERVICE, object_key.encode(), demand.allowed_regions
        )
        choice = entry.selection.choose(constraints, now)
        if choice is None or choice.expected_latency_s > self._route.timeout_s:
            self._record_result(now, None, False)
            return
        if self._sheds_objects and entry.selection.should_shed(
            constraints, choice, now
        ):
            self._record_result(now, None, False)
            return
        self._send_request(entry, constraints, choice, now)

    def _send_request(
        self,
        entry: ModelEntry,
        constraints: target_selection.TargetConstraints,
        choice: target_selection.SelectedTarget,
        now: float,
    ) -> None:
        view = choice.target
        self.region_mix.record(entry.region, view.region, now)
        one_way_s = entry.round_trip_s(view.region) / 2
        target = self._target_by_id[view.target_id]
        ends_at = target.admit_request(
            constraints.affinity_key,
            self._scenario.median_service_time_s,
            now + one_way_s,
            self._rng,
        )
        entry.rate_limits.record_sent(view.incarnation_key, now)
        self.limited_arrivals.record_arrival(
            entry.instance, view.target_id, now + one_way_s
        )
        view.own_requests_in_flight += 1
        view.has_received_requests = True
        response = _Response(
            entry,
            view,
            choice,
            constraints,
            now,
            ends_at is None,
        )
        self._schedule((ends_at or now + one_way_s) + one_way_s, response)

    def _handle_response(self, response: _Response, now: float) -> None:
        entry, view, choice = response.entry, response.view, response.choice
        elapsed_s = now - response.sent_at
        view.own_requests_in_flight -= 1
        # The target reports its load with the response.
        target = self._target_by_id[view.target_id]
        view.record_load(target.outstanding_requests(now), now)
        self._record_rate_limit(response, target, now)
        is_from_other_region = view.region != entry.region
        if response.is_refusal or elapsed_s > self._scenario.timeout_s:
            self._record_result(response.sent_at, None, is_from_other_region)
            return
        view.record_answer(elapsed_s / choice.expected_latency_s, False, now)
        entry.selection.cache_index.record_use(
            (self._route.route_id, response.constraints.affinity_key),
            view.incarnation_key,
            now,
        )
        if view.estimated_requests(now) < view.record.slots:
            processing_s = max(
                0.0, elapsed_s - entry.round_trip_s(view.region)
            )
            entry.selection.processing_times.record(
                self._route, choice.is_cached, processing_s, now
            )
        self._record_result(response.sent_at, elapsed_s, is_from_other_region)

    def _record_rate_limit(
        self,
        response: _Response,
        target: model_target.ModelTarget,
        now: float,
    ) -> None:
        entry, view = response.entry, response.view
        answered_at = now - entry.round_trip_s(view.region) / 2
        rate_per_s = target.rate_limit_per_s(answered_at)
        entry.rate_limits.record_response(
            view.incarnation_key,
            None if rate_per_s is None else b"%f" % rate_per_s,
            response.sent_at,
            now,
        )
        if rate_per_s is not None:
            self.limited_arrivals.record_limit(
                entry.instance, target.target_id, rate_per_s, answered_at, now
            )

    def _record_result(
        self,
        sent_at: float,
        elapsed_s: float | None,
        is_from_other_region: bool,
    ) -> None:
        if sent_at < _WARM_UP_S:
            return
        counts = self.counts
        if elapsed_s is None:
            counts.refused += 1
            return
        counts.from_other_region += is_from_other_region
        if elapsed_s <= self._scenario.latency_objective_s:
            counts.in_time += 1
        else:
            counts.late += 1
