"""Holds the active configuration, which is never replaced by an older one."""

from collections import abc
import logging

from chicorydoor.protocol import serving_config
from chicorydoor.transport import metrics

_LOG = logging.getLogger(__name__)

Observer = abc.Callable[[serving_config.ServingConfig], None]


class ActiveServingConfig:
    """Holds the newest configuration and notifies observers of changes."""

    def __init__(self) -> None:
        self.plan = serving_config.ServingConfig()
        self.observers: list[Observer] = []

    def offer(self, plan: serving_config.ServingConfig) -> bool:
        """Activate a configuration if it is newer than the active one.

        Args:
            plan (ServingConfig): The configuration.

        Returns:
            Whether it is active now.
        """
        previous_version = self.plan.version
        if plan.version <= previous_version:
            if plan.version < previous_version:
                _LOG.warning(
                    "older configuration ignored",
                    extra={
                        "version": plan.version,
                        "in_force": previous_version,
                    },
                )
            return False
        self.plan = plan
        metrics.REVISION.set(plan.version)
        _LOG.info(
            "configuration in force",
            extra={
                "version": plan.version,
                "before": previous_version,
                "routes": len(plan.route_by_id),
                "customers": len(plan.customer_by_id),
            },
        )
        for observer in self.observers:
            observer(plan)
        return True
