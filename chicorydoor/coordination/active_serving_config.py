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
        self.current = serving_config.ServingConfig()
        self.observers: list[Observer] = []

    def activate_if_newer(self, config: serving_config.ServingConfig) -> bool:
        """Activate a configuration if it is newer than the active one.

        Args:
            config (ServingConfig): The configuration.

        Returns:
            Whether this call activated it; False also if its version is
            active already.
        """
        previous_version = self.current.version
        if config.version <= previous_version:
            if config.version < previous_version:
                _LOG.warning(
                    "older configuration ignored",
                    extra={
                        "version": config.version,
                        "in_force": previous_version,
                    },
                )
            return False
        self.current = config
        metrics.REVISION.set(config.version)
        _LOG.info(
            "configuration in force",
            extra={
                "version": config.version,
                "before": previous_version,
                "routes": len(config.route_by_id),
                "customers": len(config.customer_by_id),
            },
        )
        for observer in self.observers:
            observer(config)
        return True
