"""Loads that decisions are tried on, by name."""

from collections import abc

import msgspec

from chicorydoor.model import model_target
from chicorydoor.policies import registry
from chicorydoor.protocol import ids


class Demand(msgspec.Struct, frozen=True):
    """Requests of one region's callers.

    Args:
        region (str): Where they come from.
        per_s (float): Requests a second.
        objects (int): Objects that they ask for.
        home_regions (frozenset): Regions that may serve them; empty for
            all. Defaults to empty.
        from_s (float): When they begin. Defaults to 0.
        until_s (float): When they end. Defaults to never.
    """

    region: ids.RegionId
    per_s: float
    objects: int
    home_regions: frozenset[ids.RegionId] = frozenset()
    from_s: float = 0.0
    until_s: float = float("inf")


class Scenario(msgspec.Struct, frozen=True):
    """Targets, callers and distances.

    Args:
        targets_by_region (dict): Number of targets.
        demands (tuple): Who asks for what.
        work_s (float): Mean work for an object that is not remembered.
        objective_s (float): Time within which an answer counts in full.
        timeout_s (float): Time after which the caller gets none.
        far_s (float): Round trip between regions.
        seconds (float): Length. Defaults to 30.
        traits (TargetTraits): Of all targets.
    """

    targets_by_region: dict[ids.RegionId, int]
    demands: tuple[Demand, ...]
    work_s: float
    objective_s: float
    timeout_s: float
    far_s: float
    seconds: float = 30.0
    traits: model_target.TargetTraits = model_target.TargetTraits()


SCENARIOS: registry.Registry[abc.Callable[[], Scenario]] = registry.Registry(
    "scenario"
)

_NAIROBI = ids.RegionId("nairobi")
_MOMBASA = ids.RegionId("mombasa")
_KISUMU = ids.RegionId("kisumu")
_TARGETS = {_NAIROBI: 2, _MOMBASA: 8, _KISUMU: 10}
_OBJECTS = 113


def _mwangaza(demands: tuple[Demand, ...], seconds: float = 30.0) -> Scenario:
    return Scenario(
        targets_by_region=_TARGETS,
        demands=demands,
        work_s=0.48,
        objective_s=0.4,
        timeout_s=1.5,
        far_s=0.11,
        seconds=seconds,
    )


@SCENARIOS.register("calm")
def calm() -> Scenario:
    """Equal demand of three regions, one of which has few targets."""
    return _mwangaza(
        tuple(
            Demand(region, per_s=100.0, objects=_OBJECTS)
            for region in _TARGETS
        )
    )


@SCENARIOS.register("moved-callers")
def moved_callers() -> Scenario:
    """Most callers of a region come to another one and back."""
    return _mwangaza(
        (
            Demand(_NAIROBI, per_s=60.0, objects=_OBJECTS),
            Demand(_MOMBASA, per_s=100.0, objects=_OBJECTS, until_s=10.0),
            Demand(_MOMBASA, 25.0, _OBJECTS, from_s=10.0, until_s=20.0),
            Demand(_KISUMU, 175.0, _OBJECTS, from_s=10.0, until_s=20.0),
            Demand(_MOMBASA, per_s=100.0, objects=_OBJECTS, from_s=20.0),
            Demand(_KISUMU, per_s=100.0, objects=_OBJECTS),
        )
    )


@SCENARIOS.register("burst")
def burst() -> Scenario:
    """Twice the demand for five seconds."""
    usual = tuple(Demand(region, 120.0, _OBJECTS) for region in _TARGETS)
    more = tuple(
        Demand(region, 120.0, _OBJECTS, from_s=12.0, until_s=17.0)
        for region in _TARGETS
    )
    return _mwangaza(usual + more)


@SCENARIOS.register("bound-customer")
def bound_customer() -> Scenario:
    """A large customer is bound to the region with few targets."""
    usual = tuple(Demand(region, 70.0, _OBJECTS) for region in _TARGETS)
    bound = tuple(
        Demand(region, 40.0, _OBJECTS, home_regions=frozenset({_NAIROBI}))
        for region in _TARGETS
    )
    return _mwangaza(usual + bound)
