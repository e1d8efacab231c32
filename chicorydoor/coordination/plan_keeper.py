"""The configuration in force; it never goes back to an older version."""

from collections import abc
import logging

from chicorydoor.protocol import serving
from chicorydoor.transport import metrics

_LOG = logging.getLogger(__name__)

Observer = abc.Callable[[serving.ServingPlan], None]


class PlanKeeper:
    """Holds the newest configuration."""

    def __init__(self) -> None:
        self.plan = serving.ServingPlan()
        self.observers: list[Observer] = []

    def offer(self, plan: serving.ServingPlan) -> bool:
        """Adopt a configuration if it is newer than the one in force."""
        before = self.plan.version
        if plan.version <= before:
            if plan.version < before:
                _LOG.warning(
                    "older configuration ignored",
                    extra={"version": plan.version, "in_force": before},
                )
            return False
        self.plan = plan
        metrics.REVISION.set(plan.version)
        _LOG.info(
            "configuration in force",
            extra={
                "version": plan.version,
                "before": before,
                "routes": len(plan.route_by_id),
                "customers": len(plan.customer_by_id),
            },
        )
        for observer in self.observers:
            observer(plan)
        return True
