"""Choice among targets whose scores differ by less than what is uncertain.

Many entries choose from the same reports at about the same time. If all took
the target with the lowest score, they would overrun it while others idle. The
requests that have probably arrived since the reports are therefore thought to
fill the candidates evenly, the lowest score first, as all entries choose in
this way. Each candidate is chosen with the share that it gets of them.
"""

from collections import abc
import itertools
import random
import typing

# Shorter steps count as this long, so that divisions by them are safe.
_MIN_STEP_S = 1e-6


class Candidate(typing.NamedTuple):
    """What is known of a target that may get a request; times in seconds.

    Args:
        score_s (float): Its score with the expected waiting time; less is
            better.
        base_s (float): Its score without waiting.
        step_s (float): Waiting time that a request adds once all slots are
            taken.
        free_slots (float): Its slots less the requests known from the report
            and the entry's own; negative if requests wait.
        arrivals (float): Requests that other entries have probably sent to it
            since the report and could have sent to another candidate.
    """

    score_s: float
    base_s: float
    step_s: float
    free_slots: float
    arrivals: float

    @property
    def uncertainty_s(self) -> float:
        """By how much its score may be wrong."""
        return self.arrivals * self.step_s

    @property
    def bounded_step_s(self) -> float:
        """The waiting time that a request adds, more than 0."""
        return max(self.step_s, _MIN_STEP_S)


def near_equal(candidates: abc.Sequence[Candidate]) -> list[int]:
    """Return the indices of the best candidate and of those as good.

    Args:
        candidates (Sequence): At least one candidate.
    """
    best = min(candidates, key=_score_s)
    limit_s = best.score_s + best.uncertainty_s
    return [
        index
        for index, candidate in enumerate(candidates)
        if candidate.score_s - candidate.uncertainty_s <= limit_s
    ]


def _score_s(candidate: Candidate) -> float:
    return candidate.score_s


def shares(candidates: abc.Sequence[Candidate]) -> list[float]:
    """Return how many of the requests each candidate gets.

    These are the arrivals at all candidates and the request to be placed.

    Args:
        candidates (Sequence): At least one candidate.
    """
    requests = 1.0 + sum(candidate.arrivals for candidate in candidates)
    # A candidate takes its free slots while the level rises over the last
    # step below its base, and further requests above it.
    turns: list[tuple[float, float]] = []
    for candidate in candidates:
        step_s, free = candidate.bounded_step_s, candidate.free_slots
        if free > 0:
            turns.append((candidate.base_s - step_s, free / step_s))
            turns.append((candidate.base_s, (1.0 - free) / step_s))
        else:
            turns.append((candidate.base_s - free * step_s, 1.0 / step_s))
    turns.sort()
    level_s, slope = turns[0][0], 0.0
    for (turn_s, change), (next_s, _) in itertools.pairwise(
        [*turns, (float("inf"), 0.0)]
    ):
        slope += change
        if slope * (next_s - turn_s) >= requests:
            level_s = turn_s + requests / slope
            break
        requests -= slope * (next_s - turn_s)
    return [_taken(candidate, level_s) for candidate in candidates]


def _taken(candidate: Candidate, level_s: float) -> float:
    """Return the requests that raise a candidate's score to a level."""
    steps = (level_s - candidate.base_s) / candidate.bounded_step_s
    if candidate.free_slots <= 0:
        return max(0.0, candidate.free_slots + steps)
    free = candidate.free_slots * min(1.0, max(0.0, 1.0 + steps))
    return free + max(0.0, steps)


def choose(candidates: abc.Sequence[Candidate], rng: random.Random) -> int:
    """Return the index of the chosen candidate.

    Args:
        candidates (Sequence): At least one candidate.
        rng (Random): Draws one number, none if only one candidate is good.
    """
    near = near_equal(candidates)
    if len(near) == 1:
        return near[0]
    weights = shares([candidates[index] for index in near])
    return rng.choices(near, weights)[0]
