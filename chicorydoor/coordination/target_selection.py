"""Chooses the target of a request.

Pattern: requests about the same object are several times cheaper at a
target that handled it lately. Each object has a home target in each region
(rendezvous hashing). The candidates are these homes and a few more; each is
rated by the time at which its answer would be back: distance, waiting for a
slot, work, and the price of a likely failure.
"""

from collections import abc
import random
import typing

import msgspec
import xxhash

from chicorydoor.protocol import ids
from chicorydoor.protocol import serving
from chicorydoor.state import object_memory
from chicorydoor.state import object_shedding
from chicorydoor.state import rendezvous
from chicorydoor.state import target_book
from chicorydoor.state import work_times

# Homes of an object in its own region that are rated, and in each other.
_CANDIDATES_NEAR = 3
_CANDIDATES_FAR = 2
# Candidates without an object to go by.
_SAMPLED = 3
# An object that nobody has handled lately goes to another target than its
# home only where that saves this part of its work.
_HOME_PREFERENCE = 0.5
# A cold target works this many times slower.
_COLD_SLOWNESS = 2.0
# A region keeps its own objects up to this multiple of its share of slots.
_HOME_SLACK = 1.3
_HASH_RANGE = float(2**64)
_CACHED_RANKINGS = 50_000


class Choice(msgspec.Struct):
    """A target for a request.

    Args:
        expected_s (float): Time until its answer should be back.
        waiting_s (float): Part of that in which it waits for a slot.
        work_s (float): Part of that in which the target works, at the
            usual speed.
        is_known (bool): Whether the target should know the object.
        is_cold (bool): Whether the target has just started.
    """

    view: target_book.TargetView
    expected_s: float
    waiting_s: float
    work_s: float
    is_known: bool
    is_cold: bool


class Subject(msgspec.Struct):
    """What a choice depends on.

    Args:
        affinity (bytes): The object's name; empty without one.
        regions (frozenset): Regions that may serve it; empty for all.
    """

    route: serving.RouteRule
    service_id: ids.ServiceId
    affinity: bytes
    regions: frozenset[ids.RegionId]


class _Ranking(typing.NamedTuple):
    """Candidates of an object.

    Args:
        homes (frozenset): Those that the object should be brought to.
        first (str): The first one in the own region. If it has not worked
            for this entry yet, it gets the request whoever knows the
            object, so that new targets take part of the load.
    """

    views: list[target_book.TargetView]
    homes: frozenset[ids.TargetId]
    first: ids.TargetId | None = None


class TargetSelection:
    """Rates targets for requests of one entry.

    Args:
        book (TargetBook): The targets.
        region (str): The entry's region.
        distance_s (callable): Round trip to a region in seconds.
        may_send_cold (callable): Whether a cold target may be sent another
            request by this entry now.
        rng (Random): Randomness.
    """

    def __init__(
        self,
        *,
        book: target_book.TargetBook,
        region: ids.RegionId,
        distance_s: abc.Callable[[ids.RegionId], float],
        may_send_cold: abc.Callable[[target_book.TargetView], bool],
        rng: random.Random,
    ) -> None:
        self._book = book
        self._region = region
        self.distance_s = distance_s
        self._may_send_cold = may_send_cold
        self._rng = rng
        self.memory = object_memory.ObjectMemory()
        self.times = work_times.WorkTimes()
        self.shedding = object_shedding.ObjectShedding()
        self._ranking_by_subject: dict[typing.Any, _Ranking] = {}
        self._generation = -1

    def choose(
        self,
        subject: Subject,
        now: float,
        excluded: abc.Collection[ids.TargetId] = (),
    ) -> Choice | None:
        """The target whose answer should be back first.

        Args:
            subject (Subject): What the request is about.
            now (float): Time.
            excluded (Collection): Targets that were tried before.
        """
        ranking = self._ranking(subject)
        best = self._best(subject, ranking, now, excluded)
        if best is not None:
            return best
        # None of the candidates can take it: look at all others.
        everyone = _Ranking(self._allowed(subject), frozenset())
        return self._best(subject, everyone, now, excluded)

    def sheds(self, subject: Subject, choice: Choice, now: float) -> bool:
        """Whether a request is refused to keep a target's objects few.

        Only requests bound to some regions are: others go elsewhere.
        """
        if not subject.regions:
            return False
        draw = (
            _draw(b"shed\0" + _seed(subject))
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

    def _best(
        self,
        subject: Subject,
        ranking: _Ranking,
        now: float,
        excluded: abc.Collection[ids.TargetId],
    ) -> Choice | None:
        object_id = (subject.route.route_id, subject.affinity)
        holders = self.memory.holders(object_id, now)
        best: Choice | None = None
        best_rating = 0.0
        for view in self._candidates(subject, ranking, holders):
            if view.target_id in excluded:
                continue
            is_known = view.holder in holders
            choice = self._rate(subject.route, view, is_known, now)
            rating = choice.expected_s
            if view.target_id == ranking.first and not view.has_worked:
                rating = 0.0
            elif not subject.regions and self.shedding.is_shedding(
                view.target_id
            ):
                # Leaves the room to requests that may not go elsewhere.
                rating += subject.route.objective_s
            elif not is_known and view.target_id not in ranking.homes:
                rating += _HOME_PREFERENCE * choice.work_s
            if best is not None and rating >= best_rating:
                continue
            if choice.is_cold and not self._may_send_cold(view):
                continue
            best, best_rating = choice, rating
        return best

    def _candidates(
        self,
        subject: Subject,
        ranking: _Ranking,
        holders: abc.Collection[object_memory.Holder],
    ) -> list[target_book.TargetView]:
        """The ranked targets, and others that know the object."""
        ranked = {view.target_id for view in ranking.views}
        found = list(ranking.views)
        for target_id, started_ms in holders:
            view = self._book.target_by_id.get(target_id)
            if (
                view is not None
                and target_id not in ranked
                and view.record.started_ms == started_ms
                and self._may_serve(subject, view)
            ):
                found.append(view)
        return found

    def _may_serve(
        self, subject: Subject, view: target_book.TargetView
    ) -> bool:
        return (
            view.record.service_id == subject.service_id
            and (not subject.regions or view.region in subject.regions)
            and self._book.may_get_work(view)
        )

    def _rate(
        self,
        route: serving.RouteRule,
        view: target_book.TargetView,
        is_known: bool,
        now: float,
    ) -> Choice:
        is_usual = is_known or not route.has_affinity
        work_s = self.times.expected_s(route, is_usual)
        is_cold = view.is_cold(now)
        pace = view.slowness(now) * (_COLD_SLOWNESS if is_cold else 1.0)
        mean_s = self.times.expected_s(route, True)
        wait_s = target_book.waiting_s(
            view.running(now), view.record.slots, mean_s
        )
        failure_s = view.failure_share(now) * route.objective_s
        distance_s = self.distance_s(view.region)
        expected_s = distance_s + (work_s + wait_s) * pace + failure_s
        return Choice(
            view, expected_s, wait_s * pace, work_s, is_known, is_cold
        )

    def _allowed(self, subject: Subject) -> list[target_book.TargetView]:
        views = self._book.of_service(subject.service_id)
        if not subject.regions:
            return views
        return [view for view in views if view.region in subject.regions]

    def _ranking(self, subject: Subject) -> _Ranking:
        if self._generation != self._book.generation:
            self._generation = self._book.generation
            self._ranking_by_subject.clear()
        if not subject.affinity or not subject.route.has_affinity:
            return _Ranking(self._sample(subject), frozenset())
        name = (
            subject.route.route_id,
            subject.service_id,
            subject.affinity,
            subject.regions,
        )
        ranking = self._ranking_by_subject.get(name)
        if ranking is None:
            if len(self._ranking_by_subject) >= _CACHED_RANKINGS:
                self._ranking_by_subject.clear()
            ranking = self._rank(subject)
            self._ranking_by_subject[name] = ranking
        return ranking

    def _sample(self, subject: Subject) -> list[target_book.TargetView]:
        allowed = self._allowed(subject)
        near = [view for view in allowed if view.region == self._region]
        sample = self._rng.sample(near, min(_SAMPLED, len(near)))
        sample += self._rng.sample(allowed, min(_SAMPLED, len(allowed)))
        return sample

    def _rank(self, subject: Subject) -> _Ranking:
        seed = _seed(subject)
        by_region: dict[ids.RegionId, list[target_book.TargetView]] = {}
        for view in self._allowed(subject):
            by_region.setdefault(view.region, []).append(view)
        total = sum(
            view.record.slots for views in by_region.values() for view in views
        )
        views: list[target_book.TargetView] = []
        homes: set[ids.TargetId] = set()
        first: ids.TargetId | None = None
        share = _draw(seed)
        for region, members in by_region.items():
            ranked = rendezvous.ranked(seed, members, _name)
            slots = sum(view.record.slots for view in members)
            part = _HOME_SLACK * len(by_region) * slots / max(1, total)
            if share < part:
                homes.add(ranked[0].target_id)
            is_near = region == self._region
            first = ranked[0].target_id if is_near else first
            views += ranked[: _CANDIDATES_NEAR if is_near else _CANDIDATES_FAR]
        return _Ranking(views, frozenset(homes), first)


def _seed(subject: Subject) -> bytes:
    return b"%s\0%s" % (subject.route.prefix.encode(), subject.affinity)


def _name(view: target_book.TargetView) -> str:
    return view.target_id


def _draw(seed: bytes) -> float:
    """A number from 0 to 1 that is the same for an object everywhere."""
    return xxhash.xxh3_64_intdigest(seed) / _HASH_RANGE
