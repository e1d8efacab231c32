"""Connections to targets that break before a response, in a row by service.

Where only one target breaks connections, the reason is that target or the
request. Where all do and none responds, the reason is more likely the way from
the entry to the targets: something on it accepts connections and resets them.
"""

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.state import target_views

# Targets that must have broken connections, unless the service has only one.
_MIN_TARGETS = 2
# Time without any response. Targets that are full reset connections too, but
# respond on others meanwhile.
_MIN_DURATION_S = 0.5


class _Run(msgspec.Struct):
    """Breaks of a service that no response interrupts.

    Args:
        began_at (float): Time of the first one, in seconds.
        target_ids (set): The targets.
    """

    began_at: float
    target_ids: set[ids.TargetId]


class BrokenConnections:
    """Follows the broken connections of each service.

    Args:
        targets (TargetViews): The known targets.
    """

    def __init__(self, targets: target_views.TargetViews) -> None:
        self._targets = targets
        self._run_by_service: dict[ids.ServiceId, _Run] = {}

    def record_break(self, view: target_views.TargetView, now: float) -> None:
        """Record that a connection broke before a response.

        Args:
            view (TargetView): The target.
            now (float): Current time in seconds.
        """
        run = self._run_by_service.setdefault(
            view.record.service_id, _Run(now, set())
        )
        run.target_ids.add(view.target_id)

    def record_response(self, view: target_views.TargetView) -> None:
        """Record that a target responded, whatever it said."""
        self._run_by_service.pop(view.record.service_id, None)

    def are_widespread(self, service_id: ids.ServiceId, now: float) -> bool:
        """Whether the way to a service's targets may be lost.

        Args:
            service_id (str): The service.
            now (float): Current time in seconds.
        """
        run = self._run_by_service.get(service_id)
        if run is None or now - run.began_at < _MIN_DURATION_S:
            return False
        usable = len(self._targets.usable_targets(service_id))
        return len(run.target_ids) >= min(_MIN_TARGETS, max(1, usable))
