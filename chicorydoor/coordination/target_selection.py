"""Target selection: session affinity, load, distance and failures.

The affinity key of a request names the object that it is about. A request
for an object is several times cheaper at a target that has the object in its
cache. Rendezvous hashing ranks the targets of each region for an object; the
first one is the object's home there if the region has homes for this object.
Among the homes in other regions the one that ranks first is preferred, so that
regions at equal distance share the objects by their numbers of targets.
The candidates are the first few targets of each region's ranking and the
targets that have the object cached. The score of each is its expected
response time, adjusted so that objects stay at few targets and new targets
get load. The expected response time consists of round trip, waiting for a
slot, service time, and the cost of a failure times its likelihood.

Where the decisions for overload apply, the choice is made among all candidates
whose scores are as good as the best one by what is known of their loads.
"""

from collections import abc
import copy
import enum
import random
import typing

import msgspec
import xxhash

from chicorydoor.balancing import object_homes
from chicorydoor.balancing import tie_breaking
from chicorydoor.protocol import ids
from chicorydoor.protocol import serving_config
from chicorydoor.state import object_cache_index
from chicorydoor.state import object_load_shedding
from chicorydoor.state import processing_times
from chicorydoor.state import rendezvous
from chicorydoor.state import send_permits
from chicorydoor.state import target_views

# Targets that are scored from the object's ranking in the entry's own region,
# and in each other region.
_OWN_REGION_CANDIDATES = 3
_OTHER_REGION_CANDIDATES = 2
# Random candidates for a request without an object: this many from the own
# region and this many from all regions.
_RANDOM_CANDIDATES = 3
# A request goes to a target that is neither a home of its object nor has it
# cached only where that saves this fraction of the expected service time.
_HOME_PREFERENCE = 0.5
# Under overload the targets' caches count as too small for the objects if
# those that are thought to be cached take more than this part of the time of
# others; without misses they take about a third.
_OVERFLOW_RATIO = 0.4
# Then a target that is no home of an object counts as having it cached for
# this long after a use: objects that it is seldom asked for are evicted by
# those that it is a home of.
_CACHED_AWAY_FROM_HOME_S = 3.0
# Such a target is chosen only where that saves this fraction of the expected
# service time. Objects that were spread over all targets that once handled
# them evicted each other: four in ten expected hits were misses.
_CACHED_HOME_PREFERENCE = 0.5
# Of the homes in other regions, one that ranks behind another is chosen only
# where that saves this fraction of the expected service time. The estimated
# distances of equally distant regions differ by less.
_OTHER_REMOTE_HOME_PREFERENCE = 0.1
# A cold target takes this many times as long for a request.
_COLD_SLOWDOWN = 2.0
# Callers that are refused until a rest ends return within this fraction of it
# after its end, at least within the seconds below.
_REST_JITTER = 0.3
_MIN_REST_JITTER_S = 0.5
# Rate limits that targets name last for seconds, so they do not end at once.
_RATE_LIMIT_WAIT_S = 1.0
_HASH_RANGE = float(2**64)
_MAX_CACHED_CANDIDATE_SETS = 50_000


class SelectionReason(enum.Enum):
    """Why a target was chosen.

    ``FIRST_REQUEST``: the target is new, and this entry is one of those that
    send it a first request. ``CACHED``: the object is believed to be in the
    target's cache. ``HOME``: the target is a home of the object. ``LOAD``: its
    score was the lowest though it is neither.
    """

    FIRST_REQUEST = "first-request"
    CACHED = "cached"
    HOME = "home"
    LOAD = "load"


class SelectedTarget(msgspec.Struct):
    """The target chosen for a request, with the estimates behind it.

    Args:
        target (TargetView): The target.
        expected_latency_s (float): Expected time until the response, in
            seconds.
        expected_wait_s (float): Time of that spent waiting for a slot.
        processing_s (float): Service time at the usual speed of a target.
        is_cached (bool): Whether the object is believed to be in the target's
            cache.
        is_cold (bool): Whether the target is still warming up.
        rate_limit_per_s (float): Rate limit that the target names; None
            without one. Defaults to None.
        measured_latency_s (float): The part of the expected latency that
            recent measurements show, in seconds. Defaults to 0.
        measured_wait_s (float): The part of that spent waiting for a slot.
            Defaults to 0.
        reason (SelectionReason): Why it was chosen. Defaults to ``LOAD``.
        sent_at (float): When the request was sent to it; None before that.
            Defaults to None.
        wait_per_request_s (float): Time by which a waiting request delays the
            next one. Defaults to 0.
    """

    target: target_views.TargetView
    expected_latency_s: float
    expected_wait_s: float
    processing_s: float
    is_cached: bool
    is_cold: bool
    rate_limit_per_s: float | None = None
    measured_latency_s: float = 0.0
    reason: SelectionReason = SelectionReason.LOAD
    sent_at: float | None = None
    wait_per_request_s: float = 0.0
    measured_wait_s: float = 0.0


class TargetConstraints(msgspec.Struct):
    """The properties of a request that decide where it may be sent.

    Args:
        route (RouteConfig): The request's route.
        service_id (str): The service whose targets may serve it.
        affinity_key (bytes): The object's name; empty without one.
        allowed_region_ids (frozenset): Regions that may serve it; empty for
            all.
    """

    route: serving_config.RouteConfig
    service_id: ids.ServiceId
    affinity_key: bytes
    allowed_region_ids: frozenset[ids.RegionId]


class _CandidateSet(typing.NamedTuple):
    """Candidate targets of a request.

    Args:
        views (list): The candidates.
        homes (frozenset): The candidates that are homes of the object.
            Defaults to none.
        other_remote_homes (frozenset): The homes outside the entry's own
            region, except for the one that ranks first among them. Defaults
            to none.
        second_homes (frozenset): The homes that rank second in their region;
            they get the object when the first one is busy. Defaults to none.
        first_in_own_region (str): The first one of the own region's
            ranking. If it has had no request from this region yet, a few
            designated entries send it one even if another target has the
            object cached, so that new targets get a part of the load.
            Defaults to None.
        substitutes (tuple): The home in the own region and, in the order of
            the ranking, the targets that stand in for it while it names a
            rate limit; empty without such a home. Defaults to none.
    """

    views: list[target_views.TargetView]
    homes: frozenset[ids.TargetId] = frozenset()
    other_remote_homes: frozenset[ids.TargetId] = frozenset()
    second_homes: frozenset[ids.TargetId] = frozenset()
    first_in_own_region: ids.TargetId | None = None
    substitutes: tuple[target_views.TargetView, ...] = ()


class TargetSelection:
    """Scores the targets for each request of one entry.

    Args:
        targets (TargetViews): The known targets.
        region (str): The entry's region.
        round_trip_s (callable): Returns the round-trip time to a region in
            seconds.
        may_send_first (callable): Returns whether this entry may send a new
            target its first request ahead of better targets.
        permits (SendPermits): Decides whether targets may get anything.
        rng (Random): Source of random numbers.
    """

    def __init__(
        self,
        *,
        targets: target_views.TargetViews,
        region: ids.RegionId,
        round_trip_s: abc.Callable[[ids.RegionId], float],
        may_send_first: abc.Callable[[target_views.TargetView], bool],
        permits: send_permits.SendPermits,
        rng: random.Random,
    ) -> None:
        self._targets = targets
        self._region = region
        self.round_trip_s = round_trip_s
        self._may_send_first = may_send_first
        self._permits = permits
        self._rng = rng
        self.cache_index = object_cache_index.ObjectCacheIndex()
        self.processing_times = processing_times.ProcessingTimes()
        self.load_shedding = object_load_shedding.ObjectLoadShedding()
        self._candidate_set_by_constraints: dict[
            typing.Any, _CandidateSet
        ] = {}
        self._targets_generation = -1

    def detached_copy(self, rng: random.Random) -> "TargetSelection":
        """Return a copy that decides alike and changes nothing in this one.

        Args:
            rng (Random): Source of random numbers of the copy.
        """
        detached = copy.copy(self)
        detached._rng = rng
        detached.load_shedding = self.load_shedding.copy()
        detached._candidate_set_by_constraints = {}
        return detached

    @property
    def decides_for_overload(self) -> bool:
        """Whether the decisions for overload apply."""
        return self._targets.decides_for_overload

    def draw(self) -> float:
        """Return a random number from 0 to 1."""
        return self._rng.random()

    def choose(
        self,
        constraints: TargetConstraints,
        now: float,
        excluded: abc.Collection[ids.TargetId] = (),
    ) -> SelectedTarget | None:
        """Choose the target with the lowest score.

        Args:
            constraints (TargetConstraints): Where the request may be sent.
            now (float): Current time in seconds.
            excluded (Collection): Targets that were tried before. Defaults
                to none.

        Returns:
            The choice; None if no target may take the request.
        """
        candidate_set = self._candidate_set(constraints)
        best = self._best_choice(constraints, candidate_set, now, excluded)
        if best is not None:
            return best
        # No candidate can take the request: score all allowed targets.
        all_allowed = _CandidateSet(self._allowed_views(constraints))
        return self._best_choice(constraints, all_allowed, now, excluded)

    def permitted_candidates(
        self, constraints: TargetConstraints, now: float
    ) -> list[tuple[SelectedTarget, float]]:
        """Return the candidates among which ``choose`` would choose.

        It draws the same random numbers, so it is for a detached copy.

        Args:
            constraints (TargetConstraints): Where the request may be sent.
            now (float): Current time in seconds.

        Returns:
            The candidates that may get a request now, and their scores in
            seconds.
        """
        for candidate_set in (
            self._candidate_set(constraints),
            _CandidateSet(self._allowed_views(constraints)),
        ):
            # A target may be drawn more than once.
            by_target = {
                choice.target.target_id: (choice, score)
                for choice, score in self._scored_choices(
                    constraints, candidate_set, now, ()
                )
                if self._permits.may_send(choice.target, now)
            }
            if by_target:
                return list(by_target.values())
        return []

    def reasons_against(
        self, constraints: TargetConstraints, now: float
    ) -> list[tuple[target_views.TargetView, str]]:
        """Return the service's targets that may not get a request now.

        Args:
            constraints (TargetConstraints): Where the request may be sent.
            now (float): Current time in seconds.

        Returns:
            The targets, and why each may not.
        """
        reasons = []
        for view in self.service_targets(constraints.service_id):
            reason = self._targets.find_exclusion(view)
            if reason is not None:
                reasons.append((view, reason.value))
            elif not self._is_allowed(constraints, view):
                reasons.append((view, "region not allowed"))
            elif obstacle := self._permits.find_obstacle(view, now):
                reasons.append((view, obstacle.value))
        return reasons

    def service_targets(
        self, service_id: ids.ServiceId
    ) -> list[target_views.TargetView]:
        """Return all known targets of a service, whatever their state."""
        return [
            view
            for view in self._targets.target_by_id.values()
            if view.record.service_id == service_id
        ]

    def wait_for_permit_s(
        self, constraints: TargetConstraints, now: float
    ) -> float | None:
        """Return how long targets let a request wait that ask for fewer.

        Args:
            constraints (TargetConstraints): Where the request may be sent.
            now (float): Current time in seconds.

        Returns:
            Seconds until the first rest ends, with a random part so that
            callers do not all return at once, or a fixed time if rate limits
            are in the way; None if some target may get a request now, except
            for its cold start, or if there is no target.
        """
        views = self._allowed_views(constraints)
        if not views or any(
            self._permits.may_probe(view, now) for view in views
        ):
            return None
        if not all(self._permits.is_at_rest(view, now) for view in views):
            return _RATE_LIMIT_WAIT_S
        rest_s = min(
            self._permits.rests.ends_at(view.incarnation_key) - now
            for view in views
        )
        jitter_s = max(_MIN_REST_JITTER_S, _REST_JITTER * rest_s)
        return rest_s + jitter_s * self._rng.random()

    def has_unreachable(self, constraints: TargetConstraints) -> bool:
        """Whether only this entry's observations rule out some target.

        Args:
            constraints (TargetConstraints): Where the request may be sent.
        """
        return any(
            view.reach is target_views.Reach.UNREACHABLE
            and self._is_allowed(constraints, view)
            and self._targets.should_get_requests(view)
            for view in self._targets.target_by_id.values()
        )

    def should_shed(
        self,
        constraints: TargetConstraints,
        choice: SelectedTarget,
        now: float,
    ) -> bool:
        """Whether to refuse a request because its target is overloaded.

        Every entry refuses the same objects, so that the target's cache has
        room for the others. Only requests bound to some regions are refused:
        others can be sent elsewhere.
        """
        if not constraints.allowed_region_ids:
            return False
        draw = (
            _hash_fraction(b"shed\0" + _hash_seed(constraints))
            if constraints.affinity_key
            else self._rng.random()
        )
        return not self.load_shedding.admits(
            choice.target.target_id,
            draw,
            choice.expected_wait_s,
            constraints.route.latency_objective_s,
            now,
        )

    def _best_choice(
        self,
        constraints: TargetConstraints,
        candidate_set: _CandidateSet,
        now: float,
        excluded: abc.Collection[ids.TargetId],
    ) -> SelectedTarget | None:
        scored = self._scored_choices(
            constraints, candidate_set, now, excluded
        )
        if self._targets.decides_for_overload:
            return self._balanced_choice(scored, now)
        best: SelectedTarget | None = None
        best_score = 0.0
        for choice, score in scored:
            if best is not None and score >= best_score:
                continue
            if not self._permits.may_send(choice.target, now):
                continue
            best, best_score = choice, score
        return best

    def _scored_choices(
        self,
        constraints: TargetConstraints,
        candidate_set: _CandidateSet,
        now: float,
        excluded: abc.Collection[ids.TargetId],
    ) -> abc.Iterator[tuple[SelectedTarget, float]]:
        """Yield the candidates and their scores in seconds."""
        caching_targets = self._caching_targets(
            constraints, candidate_set, now
        )
        for view in self._candidates(
            constraints, candidate_set, caching_targets
        ):
            if view.target_id in excluded:
                continue
            is_cached = view.incarnation_key in caching_targets
            choice = self._estimate(constraints.route, view, is_cached, now)
            choice.reason = self._selection_reason(
                candidate_set, view, is_cached
            )
            yield choice, self._score(constraints, candidate_set, choice)

    def _caching_targets(
        self,
        constraints: TargetConstraints,
        candidate_set: _CandidateSet,
        now: float,
    ) -> abc.Collection[ids.TargetIncarnation]:
        """Return the incarnations that probably have the object cached."""
        object_id = (constraints.route.route_id, constraints.affinity_key)
        used_at = self.cache_index.caching_targets(object_id, now)
        if not self._prefers_homes(constraints.route):
            return used_at.keys()
        oldest = now - _CACHED_AWAY_FROM_HOME_S
        return [
            incarnation
            for incarnation, at in used_at.items()
            if at >= oldest or incarnation[0] in candidate_set.homes
        ]

    def _prefers_homes(self, route: serving_config.RouteConfig) -> bool:
        """Whether objects that are used away from home are soon evicted.

        Requests for objects that are thought to be cached then take nearly as
        long as others.
        """
        if not self._targets.decides_for_overload:
            return False
        times = self.processing_times
        return times.expected_s(route, True) > (
            _OVERFLOW_RATIO * times.expected_s(route, False)
        )

    def _balanced_choice(
        self,
        scored: abc.Iterable[tuple[SelectedTarget, float]],
        now: float,
    ) -> SelectedTarget | None:
        """Choose among the candidates that are as good as the best one.

        An object that no target has cached goes to its first home only, so
        that it is loaded once. Where the best target has it cached, only
        others that have it too are alternatives: a miss costs more than a
        wait.
        """
        permitted = [
            (choice, score)
            for choice, score in scored
            if self._permits.may_send(choice.target, now)
        ]
        if not permitted:
            return None
        best, _ = min(permitted, key=lambda scored: scored[1])
        if best.reason in (
            SelectionReason.FIRST_REQUEST,
            SelectionReason.HOME,
        ):
            return best
        alternatives = [
            (choice, score)
            for choice, score in permitted
            if choice.reason is best.reason
        ]
        index = tie_breaking.choose(
            [
                self._to_candidate(choice, score, now)
                for choice, score in alternatives
            ],
            self._rng,
        )
        return alternatives[index][0]

    def _to_candidate(
        self, choice: SelectedTarget, score: float, now: float
    ) -> tie_breaking.Candidate:
        view = choice.target
        known = view.own_requests_in_flight + (
            view.load_estimate.remaining_requests(now)
        )
        arrivals = view.load_estimate.arrivals(now)
        if view.region != self._region:
            # Entries of that region sent them, which prefer it.
            known, arrivals = known + arrivals, 0.0
        return tie_breaking.Candidate(
            score,
            score - choice.expected_wait_s,
            choice.wait_per_request_s,
            view.record.slots - known,
            arrivals,
        )

    def _score(
        self,
        constraints: TargetConstraints,
        candidate_set: _CandidateSet,
        choice: SelectedTarget,
    ) -> float:
        """Return the expected latency in seconds with all preferences."""
        if choice.reason is SelectionReason.FIRST_REQUEST:
            # No other score is lower.
            return 0.0
        return choice.expected_latency_s + self._preference_s(
            constraints, candidate_set, choice
        )

    def _preference_s(
        self,
        constraints: TargetConstraints,
        candidate_set: _CandidateSet,
        choice: SelectedTarget,
    ) -> float:
        """Return by how much better a target must be to be chosen.

        Returns:
            Seconds that count as added to its latency: 0 for the home that is
            preferred and for a target that has the object cached and will
            keep it, most for one that sheds load.
        """
        target_id = choice.target.target_id
        if (
            not constraints.allowed_region_ids
            and self.load_shedding.is_shedding(target_id)
        ):
            # Leaves capacity to requests that may not go elsewhere.
            return constraints.route.latency_objective_s
        if choice.reason is SelectionReason.LOAD:
            return _HOME_PREFERENCE * choice.processing_s
        if choice.reason is SelectionReason.HOME:
            if target_id in candidate_set.second_homes:
                return _HOME_PREFERENCE * choice.processing_s
            if target_id in candidate_set.other_remote_homes:
                return _OTHER_REMOTE_HOME_PREFERENCE * choice.processing_s
            return 0.0
        is_away_from_home = (
            bool(candidate_set.homes)
            and target_id not in candidate_set.homes
            and self._prefers_homes(constraints.route)
        )
        if is_away_from_home:
            return _CACHED_HOME_PREFERENCE * choice.processing_s
        return 0.0

    def _selection_reason(
        self,
        candidate_set: _CandidateSet,
        view: target_views.TargetView,
        is_cached: bool,
    ) -> SelectionReason:
        """Return why a candidate would be chosen."""
        if (
            view.target_id == candidate_set.first_in_own_region
            and not view.has_received_requests
            and self._may_send_first(view)
        ):
            return SelectionReason.FIRST_REQUEST
        if is_cached:
            return SelectionReason.CACHED
        if (
            view.target_id in candidate_set.homes
            or view is self._substitute_home(candidate_set)
        ):
            return SelectionReason.HOME
        return SelectionReason.LOAD

    def _substitute_home(
        self, candidate_set: _CandidateSet
    ) -> target_views.TargetView | None:
        """Return the target that stands in for a rate-limited home.

        Without it the requests of the home would all move to the homes in
        other regions.
        """
        for view in candidate_set.substitutes:
            rate_limits = self._permits.rate_limits
            if rate_limits.rate_per_s(view.incarnation_key) is None:
                return view
        return None

    def _candidates(
        self,
        constraints: TargetConstraints,
        candidate_set: _CandidateSet,
        caching_targets: abc.Collection[ids.TargetIncarnation],
    ) -> list[target_views.TargetView]:
        """Return the candidate set and others with the object cached."""
        known = {view.target_id for view in candidate_set.views}
        candidates = list(candidate_set.views)
        for target_id, started_ms in caching_targets:
            view = self._targets.target_by_id.get(target_id)
            if (
                view is not None
                and target_id not in known
                and view.record.started_ms == started_ms
                and self._is_eligible(constraints, view)
            ):
                candidates.append(view)
        return candidates

    def _is_eligible(
        self, constraints: TargetConstraints, view: target_views.TargetView
    ) -> bool:
        return self._is_allowed(
            constraints, view
        ) and self._targets.may_get_requests(view)

    def _is_allowed(
        self, constraints: TargetConstraints, view: target_views.TargetView
    ) -> bool:
        return view.record.service_id == constraints.service_id and (
            not constraints.allowed_region_ids
            or view.region in constraints.allowed_region_ids
        )

    def _estimate(
        self,
        route: serving_config.RouteConfig,
        view: target_views.TargetView,
        is_cached: bool,
        now: float,
    ) -> SelectedTarget:
        expects_cache_hit = is_cached or not route.uses_affinity
        processing_s = self.processing_times.expected_s(
            route, expects_cache_hit
        )
        is_cold = view.is_cold(now)
        slowdown = (
            view.latency_ratio(now)
            * view.slowdown(now)
            * (_COLD_SLOWDOWN if is_cold else 1.0)
        )
        cache_hit_s = self.processing_times.expected_s(route, True)
        wait_s = target_views.expected_wait_s(
            view.estimated_requests(now), view.record.slots, cache_hit_s
        )
        failure_s = view.failure_share(now) * route.latency_objective_s
        round_trip_s = self.round_trip_s(view.region)
        expected_latency_s = (
            round_trip_s + (processing_s + wait_s) * slowdown + failure_s
        )
        measured_s, measured_wait_s = self._measured_times_s(
            route, view, expects_cache_hit, now
        )
        return SelectedTarget(
            view,
            expected_latency_s,
            wait_s * slowdown,
            processing_s,
            is_cached,
            is_cold,
            self._permits.rate_limits.rate_per_s(view.incarnation_key),
            round_trip_s + measured_s + measured_wait_s,
            measured_wait_s=measured_wait_s,
            wait_per_request_s=cache_hit_s / view.record.slots * slowdown,
        )

    def _measured_times_s(
        self,
        route: serving_config.RouteConfig,
        view: target_views.TargetView,
        expects_cache_hit: bool,
        now: float,
    ) -> tuple[float, float]:
        """Processing time and wait in seconds, as measurements show them.

        Without a measurement a part of it counts as 0. The latency ratio of
        the target is left out, as it may be relative to an estimate.
        """
        times = self.processing_times
        hit_s = times.measured_s(route, True, now)
        miss_s = times.measured_s(route, False, now)
        processing_s = hit_s if expects_cache_hit else miss_s
        queued_s = miss_s if hit_s is None else hit_s
        wait_s = target_views.expected_wait_s(
            view.reported_requests(now), view.record.slots, queued_s or 0.0
        )
        return processing_s or 0.0, wait_s

    def _allowed_views(
        self, constraints: TargetConstraints
    ) -> list[target_views.TargetView]:
        views = self._targets.usable_targets(constraints.service_id)
        if not constraints.allowed_region_ids:
            return views
        return [
            view
            for view in views
            if view.region in constraints.allowed_region_ids
        ]

    def _candidate_set(self, constraints: TargetConstraints) -> _CandidateSet:
        if self._targets_generation != self._targets.generation:
            self._targets_generation = self._targets.generation
            self._candidate_set_by_constraints.clear()
        if not constraints.affinity_key or not constraints.route.uses_affinity:
            return _CandidateSet(self._random_candidates(constraints))
        cache_key = (
            constraints.route.route_id,
            constraints.service_id,
            constraints.affinity_key,
            constraints.allowed_region_ids,
            self._targets.decides_for_overload,
        )
        candidate_set = self._candidate_set_by_constraints.get(cache_key)
        if candidate_set is None:
            if (
                len(self._candidate_set_by_constraints)
                >= _MAX_CACHED_CANDIDATE_SETS
            ):
                self._candidate_set_by_constraints.clear()
            candidate_set = self._rank_by_region(constraints)
            self._candidate_set_by_constraints[cache_key] = candidate_set
        return candidate_set

    def _random_candidates(
        self, constraints: TargetConstraints
    ) -> list[target_views.TargetView]:
        allowed = self._allowed_views(constraints)
        in_region = [view for view in allowed if view.region == self._region]
        sample = self._rng.sample(
            in_region, min(_RANDOM_CANDIDATES, len(in_region))
        )
        sample += self._rng.sample(
            allowed, min(_RANDOM_CANDIDATES, len(allowed))
        )
        return sample

    def _rank_by_region(self, constraints: TargetConstraints) -> _CandidateSet:
        seed = _hash_seed(constraints)
        position = _hash_fraction(seed)
        views_by_region: dict[ids.RegionId, list[target_views.TargetView]] = {}
        for view in self._allowed_views(constraints):
            views_by_region.setdefault(view.region, []).append(view)
        home_fraction_by_region = object_homes.home_fraction_by_region(
            {
                region: sum(view.record.slots for view in region_views)
                for region, region_views in views_by_region.items()
            }
        )
        views: list[target_views.TargetView] = []
        homes: list[target_views.TargetView] = []
        second_homes: list[target_views.TargetView] = []
        first: ids.TargetId | None = None
        substitutes: tuple[target_views.TargetView, ...] = ()
        for region, region_views in views_by_region.items():
            ranked = rendezvous.rank(seed, region_views, _target_id)
            home_count = object_homes.home_count(
                home_fraction_by_region[region],
                position,
                is_overload=self._targets.decides_for_overload,
            )
            homes += ranked[:home_count]
            second_homes += ranked[1:home_count]
            if region != self._region:
                views += ranked[:_OTHER_REGION_CANDIDATES]
                continue
            own_views = ranked[:_OWN_REGION_CANDIDATES]
            views += own_views
            first = ranked[0].target_id
            if home_count > 0:
                substitutes = tuple(own_views)
        remote_homes = [
            view
            for view in homes
            if view.region != self._region and view not in second_homes
        ]
        other_remote_homes = rendezvous.rank(seed, remote_homes, _target_id)[
            1:
        ]
        return _CandidateSet(
            views,
            frozenset(view.target_id for view in homes),
            frozenset(view.target_id for view in other_remote_homes),
            frozenset(view.target_id for view in second_homes),
            first,
            substitutes,
        )


def _hash_seed(constraints: TargetConstraints) -> bytes:
    return b"%s\0%s" % (
        constraints.route.prefix.encode(),
        constraints.affinity_key,
    )


def _target_id(view: target_views.TargetView) -> str:
    return view.target_id


def _hash_fraction(seed: bytes) -> float:
    """Return a number from 0 to 1 that every entry derives alike."""
    return xxhash.xxh3_64_intdigest(seed) / _HASH_RANGE
