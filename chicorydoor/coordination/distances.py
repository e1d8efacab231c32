"""Round trips to the regions, measured by opening connections."""

from chicorydoor.protocol import ids

# Before anything was measured: regions lie some tens of milliseconds apart.
_FIRST_FAR_S = 0.08
_FIRST_NEAR_S = 0.002
# The least of the measurements counts, since the rest is waiting; it grows
# slowly so that a longer way is noticed.
_GROWTH = 0.02


class Distances:
    """Round-trip times.

    Args:
        region (str): The own region.
    """

    def __init__(self, region: ids.RegionId) -> None:
        self._region = region
        self._seconds_by_region: dict[ids.RegionId, float] = {}

    def round_trip_s(self, region: ids.RegionId) -> float:
        """Seconds to a region and back."""
        first = _FIRST_NEAR_S if region == self._region else _FIRST_FAR_S
        return self._seconds_by_region.get(region, first)

    def note(self, region: ids.RegionId, seconds: float) -> None:
        """Take in the time that opening a connection took."""
        known = self._seconds_by_region.get(region)
        if known is None or seconds < known:
            self._seconds_by_region[region] = seconds
        else:
            self._seconds_by_region[region] += _GROWTH * (seconds - known)
