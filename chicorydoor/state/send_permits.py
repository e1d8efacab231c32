"""Whether an entry may send anything to a target now.

All that targets ask for is decided here, for each way in which an entry sends:
first attempts, retries, first requests to new targets, and probes.
"""

from collections import abc
import enum

from chicorydoor.protocol import ids
from chicorydoor.state import cold_start_limits
from chicorydoor.state import target_rate_limits
from chicorydoor.state import target_rests
from chicorydoor.state import target_views


class SendObstacle(enum.Enum):
    """Why an entry may not send a request to a target now."""

    WARM_UP = "warm-up"
    AT_REST = "at rest"
    RATE_LIMIT = "rate limit"


class SendPermits:
    """Combines the rests, rate limits and cold starts of targets.

    Args:
        rests (TargetRests): Targets that asked this entry for rest.
        rate_limits (TargetRateLimits): The limits that targets name.
        cold_limits (ColdStartLimits): This entry's parts of the rates of cold
            targets.
        warm_up_rate_per_s (callable): Returns the requests per second that a
            cold target of a service can take.
    """

    def __init__(
        self,
        rests: target_rests.TargetRests,
        rate_limits: target_rate_limits.TargetRateLimits,
        cold_limits: cold_start_limits.ColdStartLimits,
        warm_up_rate_per_s: abc.Callable[[ids.ServiceId], float],
    ) -> None:
        self.rests = rests
        self.rate_limits = rate_limits
        self._cold_limits = cold_limits
        self._warm_up_rate_per_s = warm_up_rate_per_s

    def may_send(self, view: target_views.TargetView, now: float) -> bool:
        """Whether a request may be sent now; does not record it."""
        return self.find_obstacle(view, now) is None

    def find_obstacle(
        self, view: target_views.TargetView, now: float
    ) -> SendObstacle | None:
        """Return why no request may be sent now; None if one may be."""
        if view.is_cold(now) and not self._cold_limits.may_send(
            view.target_id, now
        ):
            return SendObstacle.WARM_UP
        return self._find_probe_obstacle(view, now)

    def may_probe(self, view: target_views.TargetView, now: float) -> bool:
        """Whether a probe may be sent now; does not record it.

        Cold starts limit requests only.
        """
        return self._find_probe_obstacle(view, now) is None

    def _find_probe_obstacle(
        self, view: target_views.TargetView, now: float
    ) -> SendObstacle | None:
        if self.is_at_rest(view, now):
            return SendObstacle.AT_REST
        if not self.rate_limits.may_send(
            view.incarnation_key, view.region, now
        ):
            return SendObstacle.RATE_LIMIT
        return None

    def is_at_rest(self, view: target_views.TargetView, now: float) -> bool:
        """Whether a target wants nothing from this entry.

        A request that was chosen for it earlier is not sent either.
        """
        return now < self.rests.ends_at(view.incarnation_key)

    def record_request(
        self, view: target_views.TargetView, now: float
    ) -> None:
        """Record a request that is sent."""
        if view.is_cold(now):
            rate_per_s = self._warm_up_rate_per_s(view.record.service_id)
            self._cold_limits.record_sent(view.target_id, rate_per_s, now)
        self.record_probe(view, now)

    def record_probe(self, view: target_views.TargetView, now: float) -> None:
        """Record a probe that is sent."""
        self.rate_limits.record_sent(view.incarnation_key, now)

    def remove_obsolete(
        self, known: set[ids.TargetIncarnation], now: float
    ) -> None:
        """Forget what targets asked for long ago and unknown targets.

        Args:
            known (set): Incarnations of all known targets.
            now (float): Current time in seconds.
        """
        self.rate_limits.remove_obsolete(known, now)
        self.rests.remove_obsolete(known, now)
