"""Target selection: session affinity, load, distance and failures.

A request for an object is several times cheaper at a target that has the
object in its cache. Rendezvous hashing gives each object a home target in
each region. The candidates are the first few targets of each region's
ranking and the targets that have the object cached. Each is scored by its
expected response time: round trip, waiting for a slot, service time, and
the cost of a failure times its likelihood.
"""

from collections import abc
import random
import typing

import msgspec
import xxhash

from chicorydoor.protocol import ids
from chicorydoor.protocol import serving_config
from chicorydoor.state import object_cache_index
from chicorydoor.state import object_load_shedding
from chicorydoor.state import processing_times
from chicorydoor.state import rendezvous
from chicorydoor.state import target_views

# Targets that are scored from the object's ranking in the entry's own region,
# and in each other region.
_OWN_REGION_CANDIDATES = 3
_OTHER_REGION_CANDIDATES = 2
# Random candidates for a request without an object: this many from the own
# region and this many from all regions.
_RANDOM_CANDIDATES = 3
# An object that no target has cached goes to another target than its home
# only where that saves this fraction of the expected service time.
_HOME_PREFERENCE = 0.5
# A cold target takes this many times as long for a request.
_COLD_SLOWDOWN = 2.0
# A region has homes for a fraction of the objects: this factor times its slots
# over the mean slots of a region, at most all objects.
_HOME_CAPACITY_FACTOR = 1.3
_HASH_RANGE = float(2**64)
_MAX_CACHED_RANKINGS = 50_000


class SelectedTarget(msgspec.Struct):
    """The target chosen for a request, with the estimates behind it.

    Args:
        view (TargetView): The target.
        expected_s (float): Expected time until the response, in seconds.
        waiting_s (float): Time of that spent waiting for a slot.
        work_s (float): Service time at the usual speed of a target.
        is_known (bool): Whether the target should have the object cached.
        is_cold (bool): Whether the target is in its cold start.
    """

    view: target_views.TargetView
    expected_s: float
    waiting_s: float
    work_s: float
    is_known: bool
    is_cold: bool


class TargetConstraints(msgspec.Struct):
    """The properties of a request that decide where it may be sent.

    Args:
        route (RouteConfig): The request's route.
        service_id (str): The service whose targets may serve it.
        affinity (bytes): The object's name; empty without one.
        regions (frozenset): Regions that may serve it; empty for all.
    """

    route: serving_config.RouteConfig
    service_id: ids.ServiceId
    affinity: bytes
    regions: frozenset[ids.RegionId]


class _Ranking(typing.NamedTuple):
    """Candidate targets of an object.

    Args:
        views (list): The candidates.
        homes (frozenset): The candidates that are homes of the object.
        first (str): The first one in the own region. If it has not worked
            for this entry yet, it gets the request even if another target
            has the object cached, so that new targets get a part of the
            load. Defaults to None.
    """

    views: list[target_views.TargetView]
    homes: frozenset[ids.TargetId]
    first: ids.TargetId | None = None


class TargetSelection:
    """Scores the targets for each request of one entry.

    Args:
        book (TargetViews): The known targets.
        region (str): The entry's region.
        distance_s (callable): Returns the round-trip time to a region in
            seconds.
        may_send_cold (callable): Returns whether this entry may send one
            more request to a cold target now.
        rng (Random): Source of random numbers.
    """

    def __init__(
        self,
        *,
        book: target_views.TargetViews,
        region: ids.RegionId,
        distance_s: abc.Callable[[ids.RegionId], float],
        may_send_cold: abc.Callable[[target_views.TargetView], bool],
        rng: random.Random,
    ) -> None:
        self._book = book
        self._region = region
        self.distance_s = distance_s
        self._may_send_cold = may_send_cold
        self._rng = rng
        self.memory = object_cache_index.ObjectCacheIndex()
        self.times = processing_times.ProcessingTimes()
        self.shedding = object_load_shedding.ObjectLoadShedding()
        self._ranking_by_subject: dict[typing.Any, _Ranking] = {}
        self._book_generation = -1

    def choose(
        self,
        subject: TargetConstraints,
        now: float,
        excluded: abc.Collection[ids.TargetId] = (),
    ) -> SelectedTarget | None:
        """Choose the target with the lowest expected response time.

        Args:
            subject (TargetConstraints): Where the request may be sent.
            now (float): Current time in seconds.
            excluded (Collection): Targets that were tried before. Defaults
                to none.

        Returns:
            The choice; None if no target may take the request.
        """
        ranking = self._candidate_ranking(subject)
        best = self._best_choice(subject, ranking, now, excluded)
        if best is not None:
            return best
        # No candidate can take the request: score all allowed targets.
        all_allowed = _Ranking(self._allowed_views(subject), frozenset())
        return self._best_choice(subject, all_allowed, now, excluded)

    def sheds(
        self, subject: TargetConstraints, choice: SelectedTarget, now: float
    ) -> bool:
        """Whether to shed a request so that its target keeps fewer objects.

        Only requests bound to some regions are shed: others can be sent
        elsewhere.
        """
        if not subject.regions:
            return False
        draw = (
            _hash_fraction(b"shed\0" + _hash_seed(subject))
            if subject.affinity
            else self._rng.random()
        )
        return not self.shedding.admits(
            choice.view.target_id,
            draw,
            choice.waiting_s,
            subject.route.objective_s,
            now,
        )

    def _best_choice(
        self,
        subject: TargetConstraints,
        ranking: _Ranking,
        now: float,
        excluded: abc.Collection[ids.TargetId],
    ) -> SelectedTarget | None:
        object_id = (subject.route.route_id, subject.affinity)
        holders = self.memory.holders(object_id, now)
        best: SelectedTarget | None = None
        best_score = 0.0
        for view in self._candidates(subject, ranking, holders):
            if view.target_id in excluded:
                continue
            is_known = view.holder in holders
            choice = self._estimate(subject.route, view, is_known, now)
            score = choice.expected_s
            if view.target_id == ranking.first and not view.has_worked:
                score = 0.0
            elif not subject.regions and self.shedding.is_shedding(
                view.target_id
            ):
                # Leaves capacity to requests that may not go elsewhere.
                score += subject.route.objective_s
            elif not is_known and view.target_id not in ranking.homes:
                score += _HOME_PREFERENCE * choice.work_s
            if best is not None and score >= best_score:
                continue
            if choice.is_cold and not self._may_send_cold(view):
                continue
            best, best_score = choice, score
        return best

    def _candidates(
        self,
        subject: TargetConstraints,
        ranking: _Ranking,
        holders: abc.Collection[object_cache_index.TargetIncarnation],
    ) -> list[target_views.TargetView]:
        """Return the ranked targets and others with the object cached."""
        ranked = {view.target_id for view in ranking.views}
        candidates = list(ranking.views)
        for target_id, started_ms in holders:
            view = self._book.target_by_id.get(target_id)
            if (
                view is not None
                and target_id not in ranked
                and view.record.started_ms == started_ms
                and self._is_eligible(subject, view)
            ):
                candidates.append(view)
        return candidates

    def _is_eligible(
        self, subject: TargetConstraints, view: target_views.TargetView
    ) -> bool:
        return (
            view.record.service_id == subject.service_id
            and (not subject.regions or view.region in subject.regions)
            and self._book.may_get_work(view)
        )

    def _estimate(
        self,
        route: serving_config.RouteConfig,
        view: target_views.TargetView,
        is_known: bool,
        now: float,
    ) -> SelectedTarget:
        expects_cache_hit = is_known or not route.has_affinity
        work_s = self.times.expected_s(route, expects_cache_hit)
        is_cold = view.is_cold(now)
        slowdown = view.slowness(now) * (_COLD_SLOWDOWN if is_cold else 1.0)
        mean_s = self.times.expected_s(route, True)
        wait_s = target_views.waiting_s(
            view.running(now), view.record.slots, mean_s
        )
        failure_s = view.failure_share(now) * route.objective_s
        distance_s = self.distance_s(view.region)
        expected_s = distance_s + (work_s + wait_s) * slowdown + failure_s
        return SelectedTarget(
            view, expected_s, wait_s * slowdown, work_s, is_known, is_cold
        )

    def _allowed_views(
        self, subject: TargetConstraints
    ) -> list[target_views.TargetView]:
        views = self._book.of_service(subject.service_id)
        if not subject.regions:
            return views
        return [view for view in views if view.region in subject.regions]

    def _candidate_ranking(self, subject: TargetConstraints) -> _Ranking:
        if self._book_generation != self._book.generation:
            self._book_generation = self._book.generation
            self._ranking_by_subject.clear()
        if not subject.affinity or not subject.route.has_affinity:
            return _Ranking(self._random_candidates(subject), frozenset())
        cache_key = (
            subject.route.route_id,
            subject.service_id,
            subject.affinity,
            subject.regions,
        )
        ranking = self._ranking_by_subject.get(cache_key)
        if ranking is None:
            if len(self._ranking_by_subject) >= _MAX_CACHED_RANKINGS:
                self._ranking_by_subject.clear()
            ranking = self._rank_by_region(subject)
            self._ranking_by_subject[cache_key] = ranking
        return ranking

    def _random_candidates(
        self, subject: TargetConstraints
    ) -> list[target_views.TargetView]:
        allowed = self._allowed_views(subject)
        in_region = [view for view in allowed if view.region == self._region]
        sample = self._rng.sample(
            in_region, min(_RANDOM_CANDIDATES, len(in_region))
        )
        sample += self._rng.sample(
            allowed, min(_RANDOM_CANDIDATES, len(allowed))
        )
        return sample

    def _rank_by_region(self, subject: TargetConstraints) -> _Ranking:
        seed = _hash_seed(subject)
        views_by_region: dict[ids.RegionId, list[target_views.TargetView]] = {}
        for view in self._allowed_views(subject):
            views_by_region.setdefault(view.region, []).append(view)
        total_slots = sum(
            view.record.slots
            for region_views in views_by_region.values()
            for view in region_views
        )
        views: list[target_views.TargetView] = []
        homes: set[ids.TargetId] = set()
        first: ids.TargetId | None = None
        position = _hash_fraction(seed)
        for region, members in views_by_region.items():
            ranked = rendezvous.ranked(seed, members, _target_id)
            slots = sum(view.record.slots for view in members)
            home_fraction = (
                _HOME_CAPACITY_FACTOR
                * len(views_by_region)
                * slots
                / max(1, total_slots)
            )
            if position < home_fraction:
                homes.add(ranked[0].target_id)
            is_own_region = region == self._region
            first = ranked[0].target_id if is_own_region else first
            views += ranked[
                : _OWN_REGION_CANDIDATES
                if is_own_region
                else _OTHER_REGION_CANDIDATES
            ]
        return _Ranking(views, frozenset(homes), first)


def _hash_seed(subject: TargetConstraints) -> bytes:
    return b"%s\0%s" % (subject.route.prefix.encode(), subject.affinity)


def _target_id(view: target_views.TargetView) -> str:
    return view.target_id


def _hash_fraction(seed: bytes) -> float:
    """Return a number from 0 to 1 that every entry derives alike."""
    return xxhash.xxh3_64_intdigest(seed) / _HASH_RANGE
