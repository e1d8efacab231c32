"""Applies changes in the platform's store to the entry's state."""

from collections import abc
import functools
import logging
import typing

from chicorydoor import errors
from chicorydoor.coordination import active_serving_config
from chicorydoor.coordination import supervision
from chicorydoor.coordination import target_registrations
from chicorydoor.platform import documents
from chicorydoor.protocol import ids
from chicorydoor.protocol import store_items
from chicorydoor.state import fleet_view
from chicorydoor.state import target_views
from chicorydoor.transport import clock as clock_module

_LOG = logging.getLogger(__name__)


class StoreUpdateHandler:
    """Decodes changed store items and applies them.

    Args:
        active_config (ActiveServingConfig): Receives configurations.
        registrations (TargetRegistrations): Receives targets.
        targets (TargetViews): Receives the evacuated failure domains, whose
            targets get no requests.
        fleet (FleetView): Receives entries.
        clock (Clock): Time source.
    """

    def __init__(
        self,
        active_config: active_serving_config.ActiveServingConfig,
        registrations: target_registrations.TargetRegistrations,
        targets: target_views.TargetViews,
        fleet: fleet_view.FleetView,
        clock: clock_module.Clock,
    ) -> None:
        self._active_config = active_config
        self._registrations = registrations
        self._targets = targets
        self._fleet = fleet
        self._clock = clock
        self._evacuated_domains: set[ids.DomainId] = set()

    def apply_operator_items(
        self, items: list[store_items.StoreItemChange]
    ) -> None:
        """Apply changed configurations and evacuations."""
        before = set(self._evacuated_domains)
        _apply_each(items, self._apply_operator_item)
        if self._evacuated_domains != before:
            self._apply_evacuations(before)

    def _apply_operator_item(self, item: store_items.StoreItemChange) -> None:
        domain = documents.parse_evacuated_domain(item.key)
        if item.key == documents.CONFIGURATION_KEY:
            self._apply_configuration(item)
        elif domain is not None and item.value is not None:
            self._evacuated_domains.add(domain)
        elif domain is not None:
            self._evacuated_domains.discard(domain)

    def _apply_configuration(self, item: store_items.StoreItemChange) -> None:
        """Activate a configuration; a deleted one stays active."""
        if item.value is None:
            return
        try:
            config = documents.decode_configuration(item.value)
        except errors.ConfigurationError as error:
            _LOG.error(
                "configuration unreadable, the last good one stays",
                extra={"revision": item.revision, "reason": f"{error}"},
            )
            return
        self._active_config.activate_if_newer(config)

    def _apply_evacuations(self, before: set[ids.DomainId]) -> None:
        # Targets of a domain that is in use again are cold for the longest
        # warm-up of any service.
        services = self._active_config.current.service_by_id.values()
        warm_up_s = max((each.warm_up_s for each in services), default=0.0)
        self._targets.set_evacuated_domains(
            self._evacuated_domains, self._clock.now() + warm_up_s
        )
        _LOG.info(
            "evacuations changed",
            extra={
                "before": sorted(before),
                "now": sorted(self._evacuated_domains),
            },
        )

    def apply_target_items(
        self, items: list[store_items.StoreItemChange]
    ) -> None:
        """Apply changed and deleted registrations of targets."""
        _apply_each(items, self._apply_target_item)

    def _apply_target_item(self, item: store_items.StoreItemChange) -> None:
        """Apply a registration; an invalid one names no target to use."""
        record = None
        if item.value is not None:
            record = _decode_registration(
                item, documents.decode_target_registration
            )
        if record is not None:
            self._registrations.apply_registration(record)
            return
        name = item.key.removeprefix(documents.TARGET_PREFIX)
        self._registrations.handle_removal(ids.TargetId(name))

    def apply_entry_items(
        self, items: list[store_items.StoreItemChange]
    ) -> None:
        """Apply changed and deleted registrations of entries."""
        _apply_each(items, self._apply_entry_item)

    def _apply_entry_item(self, item: store_items.StoreItemChange) -> None:
        if item.value is None:
            name = item.key.removeprefix(documents.ENTRY_PREFIX)
            self._fleet.record_unregistration(
                ids.InstanceId(name), self._clock.now()
            )
            return
        registration = _decode_registration(
            item, documents.decode_entry_registration
        )
        if registration is not None:
            self._fleet.record_registration(registration, self._clock.now())


def _apply_each(
    items: list[store_items.StoreItemChange],
    apply: abc.Callable[[store_items.StoreItemChange], None],
) -> None:
    """Apply each item; an error in one does not hide the others."""
    for item in items:
        supervision.run_step(
            f"store item {item.key.partition('/')[0]}",
            functools.partial(apply, item),
        )


_RecordT = typing.TypeVar("_RecordT")


def _decode_registration(
    item: store_items.StoreItemChange,
    decode: abc.Callable[[str, bytes], _RecordT],
) -> _RecordT | None:
    """Decode a registration; None, after a warning, if it is invalid."""
    try:
        return decode(item.key, item.value or b"")
    except errors.ConfigurationError as error:
        _LOG.warning(
            "invalid registration ignored",
            extra={"key": item.key, "reason": f"{error}"},
        )
        return None
