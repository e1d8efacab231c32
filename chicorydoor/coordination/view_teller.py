"""What a coordinator tells its instances of the failure domains."""

from collections import abc

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.transport import clock as clock_module

_LOAD_STEPS = 5
_REST_S = 1.5
_REFRESH_S = 15.0


class _Essence(msgspec.Struct, frozen=True):
    """What instances should be told of at once when it changes."""

    coordinator: pm.Member
    revision: ids.Revision
    members: list[pm.Member]
    leaving_share: float
    load_step_by_service: dict[ids.ServiceId, int]


def _essence(summary: pm.DomainSummary) -> _Essence:
    steps = {
        service: round(_LOAD_STEPS * load.in_use / max(1, load.slots))
        for service, load in summary.load_by_service.items()
    }
    return _Essence(
        summary.coordinator,
        summary.revision,
        summary.members,
        summary.leaving_share,
        steps,
    )


class ViewTeller:
    """Sends only what changed, and everything now and then.

    Args:
        clock (Clock): Time.
        least_s (float): Least time between two views.
    """

    def __init__(self, clock: clock_module.Clock, least_s: float) -> None:
        self._clock = clock
        self._least_s = least_s
        self._sent_at = float("-inf")
        self._refreshed_at = float("-inf")
        self._essence_by_domain: dict[ids.DomainId, _Essence] = {}

    def due(
        self, make_view: abc.Callable[[], pm.DomainView]
    ) -> pm.DomainView | None:
        """What is to be sent now of a whole view, or None.

        A change of the own failure domain, which comes first, sends
        everything: its members may include new ones.

        Args:
            make_view (callable): Called only when a view may be sent.
        """
        now = self._clock.now()
        rest_s = now - self._sent_at
        if rest_s < self._least_s:
            return None
        view = make_view()
        is_refresh = now - self._refreshed_at >= _REFRESH_S
        changed = [s for s in view.summaries if self._is_changed(s)]
        if is_refresh or view.summaries[0] in changed:
            changed = view.summaries
        if not changed and rest_s < _REST_S:
            return None
        self._sent_at = now
        if is_refresh:
            self._refreshed_at = now
        for summary in changed:
            self._essence_by_domain[summary.domain] = _essence(summary)
        return pm.DomainView(changed, view.ages, view.heard_all)

    def _is_changed(self, summary: pm.DomainSummary) -> bool:
        known = self._essence_by_domain.get(summary.domain)
        return known != _essence(summary)
