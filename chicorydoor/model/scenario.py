"""Named scenarios of load for the simulation of target selection."""

from collections import abc

import msgspec

from chicorydoor.model import model_target
from chicorydoor.policies import registry
from chicorydoor.protocol import ids


class Demand(msgspec.Struct, frozen=True):
    """Poisson stream of requests from the callers of one region.

    Args:
        region (str): Region of the callers.
        rate_per_s (float): Mean requests per second.
        object_count (int): Distinct objects, requested equally often.
        allowed_regions (frozenset): Regions that may serve the requests;
            empty for all. Defaults to empty.
        starts_at_s (float): Virtual time of the start in seconds. Defaults
            to 0.
        ends_at_s (float): Virtual time of the end in seconds. Defaults to
            infinity.
    """

    region: ids.RegionId
    rate_per_s: float
    object_count: int
    allowed_regions: frozenset[ids.RegionId] = frozenset()
    starts_at_s: float = 0.0
    ends_at_s: float = float("inf")


class NamedLimit(msgspec.Struct, frozen=True):
    """Rate limit that some targets name for a time.

    Args:
        rate_per_s (float): Requests per second that each accepts from all
            entries together.
        targets_per_region (int): Number of targets of each region that name
            it.
        starts_at_s (float): Virtual time of the start in seconds.
        ends_at_s (float): Virtual time of the end in seconds.
    """

    rate_per_s: float
    targets_per_region: int
    starts_at_s: float
    ends_at_s: float


class Scenario(msgspec.Struct, frozen=True):
    """Targets, demand and network delays of one simulated run.

    Args:
        target_count_by_region (dict): Number of targets.
        demands (tuple): Request streams of the callers.
        median_service_time_s (float): Median service time for an object that
            is not cached.
        latency_objective_s (float): Longest latency that counts as in time.
            If it is below the median service time, mostly cached objects
            are in time.
        timeout_s (float): Latency after which a request counts as refused.
        inter_region_rtt_s (float): Round-trip time between two regions.
        duration_s (float): Virtual length of the run in seconds. Defaults
            to 30.
        entry_count_per_region (int): Entries of each region. Defaults to 2.
        target_parameters (TargetParameters): Of every target. Defaults to
            the defaults of ``TargetParameters``.
        named_limit (NamedLimit): Limit that some targets name. Defaults to
            none.
    """

    target_count_by_region: dict[ids.RegionId, int]
    demands: tuple[Demand, ...]
    median_service_time_s: float
    latency_objective_s: float
    timeout_s: float
    inter_region_rtt_s: float
    duration_s: float = 30.0
    entry_count_per_region: int = 2
    target_parameters: model_target.TargetParameters = (
        model_target.TargetParameters()
    )
    named_limit: NamedLimit | None = None


SCENARIOS: registry.Registry[abc.Callable[[], Scenario]] = registry.Registry(
    "scenario"
)

_NAIROBI = ids.RegionId("nairobi")
_MOMBASA = ids.RegionId("mombasa")
_KISUMU = ids.RegionId("kisumu")
_TARGET_COUNT_BY_REGION = {_NAIROBI: 2, _MOMBASA: 8, _KISUMU: 10}
_OBJECT_COUNT = 113


def _three_region_scenario(
    demands: tuple[Demand, ...], duration_s: float = 30.0
) -> Scenario:
    return Scenario(
        target_count_by_region=_TARGET_COUNT_BY_REGION,
        demands=demands,
        median_service_time_s=0.48,
        latency_objective_s=0.4,
        timeout_s=1.5,
        inter_region_rtt_s=0.11,
        duration_s=duration_s,
    )


@SCENARIOS.register("calm")
def calm() -> Scenario:
    """Equal demand from three regions, one of which has few targets."""
    return _three_region_scenario(
        tuple(
            Demand(region, rate_per_s=100.0, object_count=_OBJECT_COUNT)
            for region in _TARGET_COUNT_BY_REGION
        )
    )


@SCENARIOS.register("moved-callers")
def moved_callers() -> Scenario:
    """Most callers of a region move to another region and back."""
    return _three_region_scenario(
        (
            Demand(_NAIROBI, rate_per_s=60.0, object_count=_OBJECT_COUNT),
            Demand(
                _MOMBASA,
                rate_per_s=100.0,
                object_count=_OBJECT_COUNT,
                ends_at_s=10.0,
            ),
            Demand(
                _MOMBASA, 25.0, _OBJECT_COUNT, starts_at_s=10.0, ends_at_s=20.0
            ),
            Demand(
                _KISUMU, 175.0, _OBJECT_COUNT, starts_at_s=10.0, ends_at_s=20.0
            ),
            Demand(
                _MOMBASA,
                rate_per_s=100.0,
                object_count=_OBJECT_COUNT,
                starts_at_s=20.0,
            ),
            Demand(_KISUMU, rate_per_s=100.0, object_count=_OBJECT_COUNT),
        )
    )


@SCENARIOS.register("burst")
def burst() -> Scenario:
    """Demand doubles for five seconds."""
    base_demands = tuple(
        Demand(region, 120.0, _OBJECT_COUNT)
        for region in _TARGET_COUNT_BY_REGION
    )
    burst_demands = tuple(
        Demand(region, 120.0, _OBJECT_COUNT, starts_at_s=12.0, ends_at_s=17.0)
        for region in _TARGET_COUNT_BY_REGION
    )
    return _three_region_scenario(base_demands + burst_demands)


@SCENARIOS.register("bound-customer")
def region_restricted_customer() -> Scenario:
    """A large customer may use only the region with few targets."""
    base_demands = tuple(
        Demand(region, 70.0, _OBJECT_COUNT)
        for region in _TARGET_COUNT_BY_REGION
    )
    restricted_demands = tuple(
        Demand(
            region, 40.0, _OBJECT_COUNT, allowed_regions=frozenset({_NAIROBI})
        )
        for region in _TARGET_COUNT_BY_REGION
    )
    return _three_region_scenario(base_demands + restricted_demands)


@SCENARIOS.register("limited-targets")
def limited_targets() -> Scenario:
    """Two targets of each region accept only few requests for 15 seconds."""
    return msgspec.structs.replace(
        calm(),
        entry_count_per_region=4,
        named_limit=NamedLimit(
            rate_per_s=8.0,
            targets_per_region=2,
            starts_at_s=5.0,
            ends_at_s=20.0,
        ),
    )


@SCENARIOS.register("fleet-start")
def fleet_start() -> Scenario:
    """Many entries and targets start, and callers move between regions.

    All caches are empty. The callers move to the region with few targets.
    """
    return _fleet_start_scenario(demand_factor=1.0)


@SCENARIOS.register("overloaded-start")
def overloaded_start() -> Scenario:
    """As ``fleet-start``, with more demand than targets without caches take.

    Once objects are cached, the targets are loaded to about a half.
    """
    return _fleet_start_scenario(demand_factor=2.0)


def _fleet_start_scenario(demand_factor: float) -> Scenario:
    object_count = 500

    def demand(
        region: ids.RegionId, rate_per_s: float, **times: float
    ) -> Demand:
        return Demand(
            region, demand_factor * rate_per_s, object_count, **times
        )

    return Scenario(
        target_count_by_region={_NAIROBI: 17, _MOMBASA: 70, _KISUMU: 84},
        demands=(
            demand(_NAIROBI, 180.0),
            demand(_MOMBASA, 320.0),
            demand(_KISUMU, 120.0),
            demand(_KISUMU, 120.0, ends_at_s=0.5),
            demand(_NAIROBI, 120.0, starts_at_s=0.5),
        ),
        median_service_time_s=2.1,
        latency_objective_s=1.5,
        timeout_s=3.0,
        inter_region_rtt_s=0.11,
        duration_s=12.0,
        entry_count_per_region=29,
    )
