"""Load-balancing policies: choice among targets that have a free slot."""

from collections import abc
import random
import typing

from chicorydoor.policies import registry

if typing.TYPE_CHECKING:
    from chicorydoor.state import domain_target_table

TargetChoicePolicy = abc.Callable[
    [list["domain_target_table.TargetState"], random.Random],
    "domain_target_table.TargetState",
]

TARGET_CHOICE_POLICIES: registry.Registry[TargetChoicePolicy] = (
    registry.Registry("target choice")
)


@TARGET_CHOICE_POLICIES.register("least-loaded")
def power_of_two_choices(
    candidates: list["domain_target_table.TargetState"], rng: random.Random
) -> "domain_target_table.TargetState":
    """Choose the better of two random candidates (power of two choices).

    That is the one with the shorter expected time for one more request,
    which is computed from the entry's own request counts and latencies.
    """
    if len(candidates) == 1:
        return candidates[0]
    first, second = rng.sample(candidates, 2)
    return (
        first
        if first.expected_latency_s() <= second.expected_latency_s()
        else second
    )


@TARGET_CHOICE_POLICIES.register("random")
def random_choice(
    candidates: list["domain_target_table.TargetState"], rng: random.Random
) -> "domain_target_table.TargetState":
    """Choose any candidate; the baseline for comparing other policies."""
    return rng.choice(candidates)


@TARGET_CHOICE_POLICIES.register("reported")
def least_reported_load(
    candidates: list["domain_target_table.TargetState"], rng: random.Random
) -> "domain_target_table.TargetState":
    """Choose the lowest reported load.

    A baseline for comparison: targets that report misleading loads defeat
    it.
    """
    lowest = min(state.reported_load for state in candidates)
    return rng.choice([s for s in candidates if s.reported_load == lowest])
