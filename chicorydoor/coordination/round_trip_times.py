"""Estimates of the round-trip time to regions from connection set-up."""

from chicorydoor.protocol import ids

# Estimates before the first connection: regions are some tens of milliseconds
# apart.
_INITIAL_OTHER_REGION_S = 0.08
_INITIAL_OWN_REGION_S = 0.002
# A shorter sample replaces the estimate, since longer ones include waiting
# besides the round trip. A longer sample raises the estimate by this fraction
# of the difference, so that a longer network path is noticed.
_INCREASE_FRACTION = 0.02


class RoundTripTimes:
    """Round-trip times from one entry to the regions.

    Args:
        region (str): The entry's region.
    """

    def __init__(self, region: ids.RegionId) -> None:
        self._region = region
        self._seconds_by_region: dict[ids.RegionId, float] = {}

    def round_trip_s(self, region: ids.RegionId) -> float:
        """Return the round-trip time to a region in seconds."""
        initial = (
            _INITIAL_OWN_REGION_S
            if region == self._region
            else _INITIAL_OTHER_REGION_S
        )
        return self._seconds_by_region.get(region, initial)

    def record(self, region: ids.RegionId, seconds: float) -> None:
        """Record the seconds that opening a connection to a region took."""
        estimate = self._seconds_by_region.get(region)
        if estimate is None or seconds < estimate:
            self._seconds_by_region[region] = seconds
        else:
            self._seconds_by_region[region] += _INCREASE_FRACTION * (
                seconds - estimate
            )
