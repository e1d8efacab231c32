"""Plans the share of each route's traffic that leaves a failure domain.

The share of a route's requests that are forwarded and the share of look-ups
that are sent away each change by at most the shift cap in each shift interval.
Nothing bounds the sum of both changes when load makes a route forward requests
while look-ups are shifted. The forwarded share rises while requests find no
free slot in the own domain and the present share finds enough credit
elsewhere, falls when slots are free again, and stays constant in between: this
hysteresis keeps two domains from sending load back and forth. A domain that
forwards requests of a service accepts none of that service.

A planned drain is known in advance. First the domain's weight in look-up
answers falls step by step, then the share that it forwards rises step by
step, so that it gets no new work from the planned start on.
"""

from collections import abc
import math

from chicorydoor.protocol import config_records
from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.state import config_snapshot
from chicorydoor.state import event_ring
from chicorydoor.transport import clock as clock_module

_DELAYED_SHARE_TO_SHIFT = 0.02
# A share isn't raised while less than this part of it was really forwarded.
_MIN_FORWARDED_PART_TO_SHIFT = 0.8
_MAX_USE_TO_SHIFT_BACK = 0.75
_MIN_USE_TO_REQUEST_CREDIT = 0.85
_STEP_DOWN_FACTOR = 0.25
_MIN_STEP = 0.01
_DRAIN_MARGIN_S = 1.0


def drain_lead_s(
    routes: abc.Iterable[config_records.Route], lookup_ttl_s: float
) -> float:
    """Notice that the drain of a domain needs before its start.

    Args:
        routes (Iterable): The routes whose traffic is moved.
        lookup_ttl_s (float): How long callers cache look-up answers.

    Returns:
        Seconds: the time to shift all look-ups, the lifetime of cached
        answers, the time to shift all forwarding, and a margin.
    """
    full_shift_s = max((_full_shift_s(route) for route in routes), default=0.0)
    return 2 * full_shift_s + lookup_ttl_s + _DRAIN_MARGIN_S


def _full_shift_s(route: config_records.Route) -> float:
    """Seconds that a shift of a route's whole traffic takes."""
    return math.ceil(1 / route.shift_cap) * route.shift_interval_s


class _RouteShift:
    """Share of one route's traffic that goes to other domains.

    Attributes:
        route (Route): Its configuration.
        share (float): Present share, 0 to 1.
        interval_began_at (float): When the current interval began, in seconds.
        arrived (int): Requests in this interval.
        delayed (int): Those that had to expect a long wait for a slot.
        forwarded (int): Those sent to another domain.
    """

    def __init__(self, route: config_records.Route, now: float) -> None:
        self.route = route
        self.share = 0.0
        self.interval_began_at = now
        self.arrived = 0
        self.delayed = 0
        self.forwarded = 0

    def desired_share(self, load: pm.ServiceLoad | None) -> float:
        """Share that the load of the own domain calls for."""
        if load is None or load.slots == 0:
            return 1.0
        used_share = load.smoothed_in_use / load.slots
        delayed_share = self.delayed / self.arrived if self.arrived else 0.0
        if delayed_share >= _DELAYED_SHARE_TO_SHIFT:
            if (
                self.forwarded
                < _MIN_FORWARDED_PART_TO_SHIFT * self.share * self.arrived
            ):
                return self.share
            return min(1.0, self.share + delayed_share * (1 - self.share))
        if used_share < _MAX_USE_TO_SHIFT_BACK and not self.delayed:
            step_down = max(_MIN_STEP, self.share * _STEP_DOWN_FACTOR)
            return max(0.0, self.share - step_down)
        return self.share

    def step_towards(self, desired_share: float, now: float) -> None:
        """Step towards a share, by at most the shift cap."""
        step = desired_share - self.share
        max_step = self.route.shift_cap
        self.share += max(-max_step, min(max_step, step))
        self.interval_began_at = now
        self.arrived = 0
        self.delayed = 0
        self.forwarded = 0

    def is_due(self, now: float) -> bool:
        return now - self.interval_began_at >= self.route.shift_interval_s


class ShiftPlanner:
    """Plans the shifts of one failure domain's traffic.

    Args:
        clock (Clock): Monotonic and wall time.
        events (EventRing): Records state changes.
        domain (str): The failure domain.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        events: event_ring.EventRing,
        domain: ids.DomainId,
    ) -> None:
        self._clock = clock
        self._events = events
        self._domain = domain
        self._snapshot = config_snapshot.EMPTY
        self._shift_by_route: dict[ids.RouteId, _RouteShift] = {}
        self._load_by_service: dict[ids.ServiceId, pm.ServiceLoad] = {}
        self.lookup_away_share = 0.0
        self._lookup_interval_began_at = clock.now()

    def configure(self, snapshot: config_snapshot.ConfigSnapshot) -> None:
        """Apply a new configuration; known routes keep their shares."""
        self._snapshot = snapshot
        now = self._clock.now()
        shifts: dict[ids.RouteId, _RouteShift] = {}
        for route_id, route in snapshot.configuration.route_by_id.items():
            shift = self._shift_by_route.get(route_id)
            if shift is None:
                shift = _RouteShift(route, now)
                shift.share = (
                    0.0 if self._has_own_targets(route.service) else 1.0
                )
            shift.route = route
            shifts[route_id] = shift
        self._shift_by_route = shifts

    def _has_own_targets(self, service: ids.ServiceId) -> bool:
        targets = self._snapshot.configuration.target_by_id.values()
        return any(
            target.domain == self._domain and target.service == service
            for target in targets
        )

    def record_load(
        self, load_by_route: abc.Mapping[ids.RouteId, pm.RouteLoad]
    ) -> None:
        """Add an instance's request counts by route."""
        for route_id, load in load_by_route.items():
            shift = self._shift_by_route.get(route_id)
            if shift is not None:
                shift.arrived += load.arrived
                shift.delayed += load.delayed
                shift.forwarded += load.forwarded

    def update_shares(
        self, load_by_service: abc.Mapping[ids.ServiceId, pm.ServiceLoad]
    ) -> None:
        """Change the shares of the routes whose interval is over."""
        self._load_by_service = dict(load_by_service)
        now = self._clock.now()
        self._update_lookup_away_share(now)
        min_share = self._drain_forwarding_share()
        for route_id, shift in self._shift_by_route.items():
            if not shift.is_due(now):
                continue
            load = load_by_service.get(shift.route.service)
            desired_share = max(min_share, shift.desired_share(load))
            previous_share = shift.share
            shift.step_towards(desired_share, now)
            if abs(shift.share - previous_share) >= _MIN_STEP:
                self._events.add(
                    event_ring.EventKind.SHIFT_CHANGED,
                    subject=route_id,
                    detail=f"{previous_share:.2f} to {shift.share:.2f}",
                )

    def _drain_starts_at(self) -> float | None:
        return self._snapshot.drain_start(
            self._clock.wall(), domain=self._domain
        )

    def _update_lookup_away_share(self, now: float) -> None:
        """Change the share of look-ups that are answered with other domains.

        A step is at most the smallest shift cap of all routes.
        """
        routes = self._snapshot.configuration.route_by_id.values()
        interval_s = max((r.shift_interval_s for r in routes), default=1.0)
        if now - self._lookup_interval_began_at < interval_s:
            return
        self._lookup_interval_began_at = now
        max_step = min((r.shift_cap for r in routes), default=1.0)
        drain_starts_at = self._drain_starts_at()
        lead_s = drain_lead_s(routes, self._snapshot.policy.lookup_ttl_s)
        must_leave = (
            drain_starts_at is not None
            and self._clock.wall() >= drain_starts_at - lead_s
        )
        step = max_step if must_leave else -max_step
        share = max(0.0, min(1.0, self.lookup_away_share + step))
        if share != self.lookup_away_share:
            self._set_lookup_away_share(share)

    def _set_lookup_away_share(self, share: float) -> None:
        kinds = event_ring.EventKind
        self._events.add(
            kinds.SHIFT_CHANGED,
            subject=self._domain,
            detail=f"{self.lookup_away_share:.2f} to {share:.2f}",
        )
        if self.lookup_away_share == 0:
            self._events.add(kinds.DRAIN_STARTED, subject=self._domain)
        self.lookup_away_share = share
        if share == 0:
            self._events.add(kinds.DRAIN_ENDED, subject=self._domain)

    def _drain_forwarding_share(self) -> float:
        """Lowest forwarding share: 1 for a drain, 0 without one.

        It is 1 from the time for a shift of all forwarding and a margin
        before the drain's start until its end.
        """
        drain_starts_at = self._drain_starts_at()
        if drain_starts_at is None:
            return 0.0
        routes = self._snapshot.configuration.route_by_id.values()
        full_shift_s = max(
            (_full_shift_s(route) for route in routes), default=0.0
        )
        wall = self._clock.wall()
        return (
            1.0
            if wall >= drain_starts_at - full_shift_s - _DRAIN_MARGIN_S
            else 0.0
        )

    def is_draining(self) -> bool:
        """Whether look-ups are sent away for a planned drain.

        True while a drain is prepared or active, and after its end or
        cancellation until the share of look-ups is back at 0.
        """
        return self.lookup_away_share > 0

    def accepts_requests(self, service: ids.ServiceId) -> bool:
        """Whether other domains may forward requests of a service here."""
        if self.is_draining():
            return False
        return all(
            shift.share == 0
            for shift in self._shift_by_route.values()
            if shift.route.service == service
        )

    def forwarded_share_by_route(self) -> dict[ids.RouteId, float]:
        """Shares over 0 of traffic sent to other domains, by route."""
        return {
            route_id: shift.share
            for route_id, shift in self._shift_by_route.items()
            if shift.share > 0
        }

    def credits_wanted(self, service: ids.ServiceId) -> int:
        """Slots for which to request credits from each other domain.

        The issuer converts them to requests in flight.
        """
        load = self._load_by_service.get(service)
        if load is None or load.slots == 0:
            return self._slots_everywhere(service)
        sends_away = any(
            shift.share > 0
            for shift in self._shift_by_route.values()
            if shift.route.service == service
        )
        used_share = load.smoothed_in_use / load.slots
        if self.is_draining() or sends_away:
            return load.slots
        return 1 if used_share >= _MIN_USE_TO_REQUEST_CREDIT else 0

    def _slots_everywhere(self, service: ids.ServiceId) -> int:
        targets = self._snapshot.configuration.target_by_id.values()
        return sum(t.slots for t in targets if t.service == service)
