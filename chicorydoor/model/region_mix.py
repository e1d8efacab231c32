"""How the requests of a region are distributed over the regions they run in.

A sudden change overloads the region that the traffic moves to, and loses the
objects that targets of the other region have cached.
"""

import collections

from chicorydoor.protocol import ids

# Windows slide by this step.
_STEP_S = 0.25


class RegionMix:
    """Records for each request the caller's region and the target's."""

    def __init__(self) -> None:
        self._sends_by_region: collections.defaultdict[
            ids.RegionId, list[tuple[float, ids.RegionId]]
        ] = collections.defaultdict(list)

    def record(
        self,
        caller_region: ids.RegionId,
        target_region: ids.RegionId,
        sent_at: float,
    ) -> None:
        """Record a request; requests come in the order of ``sent_at``.

        Args:
            caller_region (str): Region of the caller's entry.
            target_region (str): Region of the target.
            sent_at (float): Time in seconds.
        """
        self._sends_by_region[caller_region].append((sent_at, target_region))

    def max_shift(self, window_s: float) -> float:
        """Return the largest shift of any region's requests.

        That is the fraction of the requests that change the region in which
        they run from one window to the next.

        Args:
            window_s (float): Length of a window in seconds.
        """
        return max(
            (
                _max_shift(sends, window_s)
                for sends in self._sends_by_region.values()
            ),
            default=0.0,
        )


def _max_shift(
    sends: list[tuple[float, ids.RegionId]], window_s: float
) -> float:
    last_sent_at = sends[-1][0]
    largest, boundary = 0.0, window_s
    while boundary + window_s <= last_sent_at:
        before = _shares(sends, boundary - window_s, boundary)
        after = _shares(sends, boundary, boundary + window_s)
        shift = sum(
            max(0.0, share - after.get(region, 0.0))
            for region, share in before.items()
        )
        largest = max(largest, shift)
        boundary += _STEP_S
    return largest


def _shares(
    sends: list[tuple[float, ids.RegionId]], begins_at: float, ends_at: float
) -> dict[ids.RegionId, float]:
    """Return the fraction of a window's requests by target region."""
    counts = collections.Counter(
        region for sent_at, region in sends if begins_at <= sent_at < ends_at
    )
    total = max(1, counts.total())
    return {region: count / total for region, count in counts.items()}
