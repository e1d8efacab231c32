"""Metrics of how even the load of the targets is, as this entry sees it."""

from chicorydoor.protocol import ids
from chicorydoor.state import target_views
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

# Between two updates: all targets are read, which takes 0.9 ms for 200.
_INTERVAL_S = 1.0


class LoadMetrics:
    """Sets the metrics of the targets' load from time to time.

    Args:
        targets (TargetViews): The known targets.
        clock (Clock): Source of time.
    """

    def __init__(
        self, targets: target_views.TargetViews, clock: clock_module.Clock
    ) -> None:
        self._targets = targets
        self._clock = clock
        self._updated_at = float("-inf")
        self._known_services: set[ids.ServiceId] = set()

    def update(self) -> None:
        """Set the metrics if the last update is some time ago."""
        now = self._clock.now()
        if now - self._updated_at < _INTERVAL_S:
            return
        self._updated_at = now
        services = self._targets.wanted_count_by_service().keys()
        for service_id in self._known_services - services:
            metrics.TARGET_REQUESTS_PER_SLOT.remove(service_id)
            metrics.TARGET_LOAD_SPREAD.remove(service_id)
        self._known_services = set(services)
        for service_id in services:
            self._update_service(service_id, now)

    def _update_service(self, service_id: ids.ServiceId, now: float) -> None:
        views = self._targets.usable_targets(service_id)
        loads = [
            view.estimated_requests(now) / max(1, view.record.slots)
            for view in views
        ]
        mean = sum(loads) / max(1, len(loads))
        spread = max(loads) / mean if mean > 0 else 1.0
        metrics.TARGET_REQUESTS_PER_SLOT.labels(service_id).set(mean)
        metrics.TARGET_LOAD_SPREAD.labels(service_id).set(spread)
        for view in views:
            age_s = view.load_age_s(now)
            if view.own_requests_in_flight and age_s is not None:
                metrics.LOAD_REPORT_AGE_SECONDS.observe(age_s)
