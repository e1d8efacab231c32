"""Entries that choose targets with the real decisions, in virtual time."""

import heapq
import itertools
import random
import typing

import msgspec

from chicorydoor.coordination import target_selection
from chicorydoor.model import model_target
from chicorydoor.model import scenario as scenario_module
from chicorydoor.protocol import ids
from chicorydoor.protocol import serving
from chicorydoor.state import target_book

# As in the real exchange of heartbeats.
_HEARTBEAT_S = 0.4
_NEAR_S = 0.002
_ENTRIES_BY_REGION = 2
# Answers are counted after the targets have learnt their first objects.
_WARM_UP_S = 8.0
_SERVICE = ids.ServiceId("service")


class Tally(msgspec.Struct):
    """What callers saw, after the first seconds.

    Args:
        in_time (int): Answers within the objective.
        late (int): Later answers.
        refused (int): Requests without an answer.
        far (int): Answers from another region.
    """

    in_time: int = 0
    late: int = 0
    refused: int = 0
    far: int = 0

    @property
    def asked(self) -> int:
        """All requests."""
        return self.in_time + self.late + self.refused


class ModelEntry:
    """One entry's view and decisions.

    Args:
        region (str): Where it is.
        targets (list): All targets.
        far_s (float): Round trip between regions.
        rng (Random): Randomness.
    """

    def __init__(
        self,
        region: ids.RegionId,
        targets: list[model_target.ModelTarget],
        far_s: float,
        rng: random.Random,
    ) -> None:
        self.region = region
        self._far_s = far_s
        region_by_domain = {
            ids.DomainId(target.region): target.region for target in targets
        }
        self.book = target_book.TargetBook(region_by_domain)
        for target in targets:
            self.book.put(_record(target), 0.0)
        self.selection = target_selection.TargetSelection(
            book=self.book,
            region=region,
            distance_s=self.distance_s,
            may_send_cold=lambda view: True,
            rng=rng,
        )

    def distance_s(self, region: ids.RegionId) -> float:
        """Round trip to a region in seconds."""
        return _NEAR_S if region == self.region else self._far_s


def _record(target: model_target.ModelTarget) -> serving.TargetRecord:
    return serving.TargetRecord(
        target.target_id,
        _SERVICE,
        "127.0.0.1:1",
        ids.DomainId(target.region),
        target.traits.slots,
        serving.TargetStanding.READY,
    )


class _Answer(typing.NamedTuple):
    """An answer on its way back, or a refusal (no end)."""

    entry: ModelEntry
    view: target_book.TargetView
    choice: target_selection.Choice
    subject: target_selection.Subject
    asked_at: float
    told_load: int
    is_refusal: bool


class ModelFleet:
    """Plays a scenario.

    Args:
        scenario (Scenario): What is played.
        seed (int): Makes the run repeat.
        shares_sightings (bool): Whether entries tell each other which
            target handled which object. Defaults to True.
        sheds (bool): Whether objects are shed at overloaded targets.
            Defaults to True.
    """

    def __init__(
        self,
        scenario: scenario_module.Scenario,
        seed: int,
        shares_sightings: bool = True,
        sheds: bool = True,
    ) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._shares_sightings = shares_sightings
        self._sheds = sheds
        self._targets = [
            model_target.ModelTarget(
                ids.TargetId(f"{region}-{index}"), region, scenario.traits
            )
            for region, count in scenario.targets_by_region.items()
            for index in range(count)
        ]
        self._target_by_id = {each.target_id: each for each in self._targets}
        self._entries_by_region = {
            region: [
                ModelEntry(region, self._targets, scenario.far_s, self._rng)
                for _ in range(_ENTRIES_BY_REGION)
            ]
            for region in scenario.targets_by_region
        }
        self._route = serving.RouteRule(
            ids.RouteId("route"),
            "host",
            "/route/",
            (serving.ServicePart(_SERVICE, 1.0),),
            True,
            scenario.timeout_s,
            scenario.objective_s,
            2,
            1,
            has_affinity=True,
        )
        self._events: list[tuple[float, int, typing.Any]] = []
        self._numbers = itertools.count()
        self.tally = Tally()

    def run(self) -> Tally:
        """Play to the end; returns what callers saw."""
        for demand in self._scenario.demands:
            self._schedule(demand.from_s + self._gap(demand), demand)
        self._schedule(_HEARTBEAT_S, None)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            if now >= self._scenario.seconds:
                break
            if event is None:
                self._beat(now)
            elif isinstance(event, _Answer):
                self._take_answer(event, now)
            elif now < event.until_s:
                self._ask(event, now)
                self._schedule(now + self._gap(event), event)
        return self.tally

    def _schedule(self, at: float, event: typing.Any) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), event))

    def _gap(self, demand: scenario_module.Demand) -> float:
        return self._rng.expovariate(demand.per_s)

    def _beat(self, now: float) -> None:
        self._schedule(now + _HEARTBEAT_S, None)
        entries = [
            entry
            for entries in self._entries_by_region.values()
            for entry in entries
        ]
        for entry in entries:
            news = entry.selection.memory.take_news(now)
            for other in entries if self._shares_sightings else ():
                if other is not entry:
                    other.selection.memory.hear(news, now)

    def _ask(self, demand: scenario_module.Demand, now: float) -> None:
        entry = self._rng.choice(self._entries_by_region[demand.region])
        name = f"{demand.region}/{self._rng.randrange(demand.objects)}"
        if demand.home_regions:
            name = f"bound/{name}"
        subject = target_selection.Subject(
            self._route, _SERVICE, name.encode(), demand.home_regions
        )
        choice = entry.selection.choose(subject, now)
        if choice is None or choice.expected_s > self._route.timeout_s:
            self._count(now, None, False)
            return
        if self._sheds and entry.selection.sheds(subject, choice, now):
            self._count(now, None, False)
            return
        self._send(entry, subject, choice, now)

    def _send(
        self,
        entry: ModelEntry,
        subject: target_selection.Subject,
        choice: target_selection.Choice,
        now: float,
    ) -> None:
        view = choice.view
        way_s = entry.distance_s(view.region) / 2
        target = self._target_by_id[view.target_id]
        ends_at = target.take(
            subject.affinity, self._scenario.work_s, now + way_s, self._rng
        )
        view.own_running += 1
        view.has_worked = True
        told_load = target.running(now + way_s)
        answer = _Answer(
            entry, view, choice, subject, now, told_load, ends_at is None
        )
        self._schedule((ends_at or now + way_s) + way_s, answer)

    def _take_answer(self, answer: _Answer, now: float) -> None:
        entry, view, choice = answer.entry, answer.view, answer.choice
        elapsed_s = now - answer.asked_at
        view.own_running -= 1
        view.note_load(answer.told_load, now)
        is_far = view.region != entry.region
        if answer.is_refusal or elapsed_s > self._scenario.timeout_s:
            self._count(answer.asked_at, None, is_far)
            return
        view.note_answer(elapsed_s / choice.expected_s, False, now)
        entry.selection.memory.note(
            (self._route.route_id, answer.subject.affinity), view.holder, now
        )
        if view.running(now) < view.record.slots:
            work_s = max(0.0, elapsed_s - entry.distance_s(view.region))
            entry.selection.times.note(self._route, choice.is_known, work_s)
        self._count(answer.asked_at, elapsed_s, is_far)

    def _count(
        self, asked_at: float, elapsed_s: float | None, is_far: bool
    ) -> None:
        if asked_at < _WARM_UP_S:
            return
        tally = self.tally
        if elapsed_s is None:
            tally.refused += 1
            return
        tally.far += is_far
        if elapsed_s <= self._scenario.objective_s:
            tally.in_time += 1
        else:
            tally.late += 1
