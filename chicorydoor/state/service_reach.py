"""Which services an entry reaches, by how many of their targets it can use.

An entry may lose the way to most or all targets while its callers and peers
still reach it. What it then believes of the targets says nothing about them.
"""

import logging

from chicorydoor.protocol import ids
from chicorydoor.state import target_views
from chicorydoor.transport import metrics

# With a smaller fraction of its targets in use a service is out of reach. More
# than that are unreachable when targets end in great numbers, which peers see
# as well.
_MIN_USABLE_FRACTION = 0.25

_LOG = logging.getLogger(__name__)


class ServiceReach:
    """Follows the targets that an entry can use.

    Args:
        targets (TargetViews): The known targets.
    """

    def __init__(self, targets: target_views.TargetViews) -> None:
        self._targets = targets
        self._generation = -1
        self._service_ids: set[ids.ServiceId] = set()
        self._out_of_reach: frozenset[ids.ServiceId] = frozenset()

    @property
    def out_of_reach(self) -> frozenset[ids.ServiceId]:
        """Services of which this entry can use too few targets."""
        self.refresh()
        return self._out_of_reach

    def refresh(self) -> None:
        """Log and count the changes since the last call."""
        if self._generation != self._targets.generation:
            self._generation = self._targets.generation
            self._update()

    @property
    def is_cut_off(self) -> bool:
        """Whether this entry can use none of the targets of any service."""
        self.refresh()
        return bool(self._service_ids) and not any(
            map(self._targets.usable_targets, self._service_ids)
        )

    def _update(self) -> None:
        wanted_by_service = self._targets.wanted_count_by_service()
        out_of_reach = set()
        for service_id, wanted in wanted_by_service.items():
            usable = len(self._targets.usable_targets(service_id))
            metrics.USABLE_TARGETS.labels(service_id).set(usable)
            if usable < _MIN_USABLE_FRACTION * wanted:
                out_of_reach.add(service_id)
            self._log_change(service_id, out_of_reach, usable, wanted)
        for service_id in self._service_ids - wanted_by_service.keys():
            metrics.USABLE_TARGETS.labels(service_id).set(0)
        self._service_ids = set(wanted_by_service)
        self._out_of_reach = frozenset(out_of_reach)

    def _log_change(
        self,
        service_id: ids.ServiceId,
        out_of_reach: set[ids.ServiceId],
        usable: int,
        registered: int,
    ) -> None:
        was_out_of_reach = service_id in self._out_of_reach
        if (service_id in out_of_reach) is was_out_of_reach:
            return
        _LOG.warning(
            "service back in reach"
            if was_out_of_reach
            else "service out of reach",
            extra={
                "service": service_id,
                "usable_targets": usable,
                "registered_targets": registered,
            },
        )
