"""How many homes an object has in each region.

A home is a target that an object is sent to first, so that the object stays
in its cache. All entries derive the same homes from the slots of the targets
and a hash of the object.
"""

from collections import abc

from chicorydoor.protocol import ids

# A region has homes for a fraction of the objects: this factor times its slots
# over the mean slots of a region.
_HOME_CAPACITY_FACTOR = 1.3
# Under overload an object has a second home in a region that has room for it.
# Two are enough for requests to avoid the one that is busy.
_MAX_HOMES_PER_REGION = 2
# Under overload a region with few targets has homes for this part of the
# objects that it has homes for otherwise, which is less than its part of the
# slots: its targets had twice as many requests as others.
_SMALL_REGION_SHARE = 0.65


def home_fraction_by_region(
    slots_by_region: abc.Mapping[ids.RegionId, int],
) -> dict[ids.RegionId, float]:
    """Return how many homes for each object the regions have room for.

    Args:
        slots_by_region (Mapping): Slots of the targets that may serve the
            object.

    Returns:
        Homes for each object, on average; more than 1 in a large region.
    """
    total_slots = max(1, sum(slots_by_region.values()))
    factor = _HOME_CAPACITY_FACTOR * len(slots_by_region) / total_slots
    return {
        region: factor * slots for region, slots in slots_by_region.items()
    }


def home_count(
    home_fraction: float, position: float, *, is_overload: bool
) -> int:
    """Return how many homes an object has in a region.

    Args:
        home_fraction (float): Homes for each object that the region has room
            for, on average.
        position (float): Hash of the object, at least 0 and below 1.
        is_overload (bool): Whether the decisions for overload apply.
    """
    if not is_overload:
        return int(position < home_fraction)
    if home_fraction < 1.0:
        return int(position < _SMALL_REGION_SHARE * home_fraction)
    whole = int(home_fraction)
    count = whole + (position < home_fraction - whole)
    return min(count, _MAX_HOMES_PER_REGION)
