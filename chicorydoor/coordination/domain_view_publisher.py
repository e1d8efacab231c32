"""Selects which summaries a coordinator sends to its domain's instances."""

from collections import abc

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.transport import clock as clock_module

# Load is compared in this many steps of a service's slots.
_LOAD_STEPS = 5
# A view is sent at least this often. Without a change it has no summaries,
# only the domains' store ages, which confirm the summaries sent before.
_MAX_INTERVAL_S = 1.5
# A complete view is sent this often.
_FULL_VIEW_INTERVAL_S = 15.0


class _ComparedState(msgspec.Struct, frozen=True):
    """The part of a summary whose changes cause it to be sent.

    Other changes are sent along with these or with the next complete view.
    """

    coordinator: pm.Member
    active_revision: ids.Revision
    members: list[pm.Member]
    drained_share: float
    load_step_by_service: dict[ids.ServiceId, int]


def _compared_state(summary: pm.DomainSummary) -> _ComparedState:
    load_steps = {
        service: round(_LOAD_STEPS * load.smoothed_in_use / max(1, load.slots))
        for service, load in summary.load_by_service.items()
    }
    return _ComparedState(
        summary.coordinator,
        summary.active_revision,
        summary.members,
        summary.drained_share,
        load_steps,
    )


class DomainViewPublisher:
    """Selects the changed summaries to send, and all at intervals.

    Args:
        clock (Clock): Source of time.
        min_interval_s (float): Minimum time between two views, in seconds.
    """

    def __init__(
        self, clock: clock_module.Clock, min_interval_s: float
    ) -> None:
        self._clock = clock
        self._min_interval_s = min_interval_s
        self._sent_at = float("-inf")
        self._full_view_sent_at = float("-inf")
        self._sent_state_by_domain: dict[ids.DomainId, _ComparedState] = {}

    def take_due_view(
        self, make_view: abc.Callable[[], pm.DomainView]
    ) -> pm.DomainView | None:
        """Return the part of the view that is due, and count it as sent.

        If the own failure domain, whose summary comes first, has changed,
        the whole view is sent: its members may include new ones, which need
        all summaries.

        Args:
            make_view (callable): Builds the whole view; called only when a
                view may be sent.

        Returns:
            The view to send; None if nothing is due.
        """
        now = self._clock.now()
        elapsed_s = now - self._sent_at
        if elapsed_s < self._min_interval_s:
            return None
        view = make_view()
        is_full = now - self._full_view_sent_at >= _FULL_VIEW_INTERVAL_S
        changed = [each for each in view.summaries if self._is_changed(each)]
        if is_full or view.summaries[0] in changed:
            changed = view.summaries
        if not changed and elapsed_s < _MAX_INTERVAL_S:
            return None
        self._sent_at = now
        if is_full:
            self._full_view_sent_at = now
        for summary in changed:
            self._sent_state_by_domain[summary.domain] = _compared_state(
                summary
            )
        return pm.DomainView(changed, view.store_ages, view.all_domains_seen)

    def _is_changed(self, summary: pm.DomainSummary) -> bool:
        sent = self._sent_state_by_domain.get(summary.domain)
        return sent != _compared_state(summary)
