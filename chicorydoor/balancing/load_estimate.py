"""The requests of other entries at a target, from reports of any age.

An entry knows its own requests exactly, those of others only from reports
that are some tenths of a second old. A report that ages says less and less:
the estimate returns to what is usual at the target, and then to what is usual
at the targets of its service. It never returns to idle, as a target that
nobody has heard of would attract the requests of all entries.
"""

import math

# Half-life of the requests in a report, which targets finish, and so of its
# return to what is usual: about the processing time of a request.
_REPORT_HALF_LIFE_S = 0.5
# Time constant of the mean that counts as usual at a target: many reports,
# but short against the waves of demand.
_USUAL_TIME_CONSTANT_S = 3.0
# Half-life with which what is usual at a target returns to what is usual at
# the targets of its service.
_USUAL_HALF_LIFE_S = 5.0
# Weight of a report in the mean over the targets of a service.
_SERVICE_REPORT_WEIGHT = 0.02
# Half-life of the mean over a service once none of its targets reports: all
# targets then count alike, and nothing may be refused for an old mean.
_SERVICE_HALF_LIFE_S = 5.0
# Reports count at most this many requests for each slot, so that an absurd
# one does not dominate the means.
_MAX_REQUESTS_PER_SLOT = 20.0


class ServiceLoad:
    """What is usual at the targets of a service."""

    def __init__(self) -> None:
        self._requests_per_slot = 0.0
        self._reported_at = float("-inf")
        self._report_count = 0

    def record(self, requests_per_slot: float, reported_at: float) -> None:
        """Record a report of one of the targets.

        Args:
            requests_per_slot (float): Requests of other entries over slots.
            reported_at (float): Time of the report in seconds.
        """
        self._report_count += 1
        weight = max(_SERVICE_REPORT_WEIGHT, 1 / self._report_count)
        self._requests_per_slot += weight * (
            requests_per_slot - self._requests_per_slot
        )
        self._reported_at = max(self._reported_at, reported_at)

    def requests_per_slot(self, now: float) -> float:
        """Requests of other entries that are usual for each slot."""
        age_s = max(0.0, now - self._reported_at)
        return self._requests_per_slot * 0.5 ** (age_s / _SERVICE_HALF_LIFE_S)


class LoadEstimate:
    """Requests of other entries at one incarnation of a target.

    Args:
        slots (int): Requests that the target processes at the same time.
        service (ServiceLoad): What is usual at the targets of its service.

    Attributes:
        reported_at (float): Time of the latest report in seconds.
    """

    def __init__(self, slots: int, service: ServiceLoad) -> None:
        self.slots = max(1, slots)
        self._service = service
        self._reported_requests = 0.0
        self._usual_requests = 0.0
        self.reported_at = float("-inf")

    @property
    def is_known(self) -> bool:
        """Whether the target has reported any load."""
        return self.reported_at > float("-inf")

    def record(
        self, load: float, own_requests: float, reported_at: float
    ) -> None:
        """Record a report; one older than the latest is ignored.

        Args:
            load (float): Running and waiting requests of all entries.
            own_requests (float): This entry's requests among them.
            reported_at (float): Time of the report in seconds.
        """
        if reported_at < self.reported_at:
            return
        bound = _MAX_REQUESTS_PER_SLOT * self.slots
        requests = min(max(0.0, load - own_requests), bound)
        if self.is_known:
            interval_s = reported_at - self.reported_at
            weight = -math.expm1(-interval_s / _USUAL_TIME_CONSTANT_S)
            usual = self._usual(reported_at)
            self._usual_requests = usual + weight * (requests - usual)
        else:
            self._usual_requests = requests
        self._reported_requests = requests
        self.reported_at = reported_at
        self._service.record(requests / self.slots, reported_at)

    def other_requests(self, now: float) -> float:
        """Return the estimated requests of other entries.

        Args:
            now (float): Current time in seconds.
        """
        return self.remaining_requests(now) + self.arrivals(now)

    def remaining_requests(self, now: float) -> float:
        """Return those of the reported requests that have not ended.

        Args:
            now (float): Current time in seconds.
        """
        return self._reported_requests * self._remaining_share(now)

    def arrivals(self, now: float) -> float:
        """Return the requests that have arrived since the report.

        As many as usual end, so those that arrive keep the load as usual.

        Args:
            now (float): Current time in seconds.
        """
        return self._usual(now) * (1.0 - self._remaining_share(now))

    def _remaining_share(self, now: float) -> float:
        age_s = max(0.0, now - self.reported_at)
        return 0.5 ** (age_s / _REPORT_HALF_LIFE_S)

    def _usual(self, now: float) -> float:
        age_s = max(0.0, now - self.reported_at)
        of_service = self._service.requests_per_slot(now) * self.slots
        remaining = 0.5 ** (age_s / _USUAL_HALF_LIFE_S)
        return of_service + (self._usual_requests - of_service) * remaining
