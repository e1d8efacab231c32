"""How much of each route's traffic a failure domain sends elsewhere.

The part changes by at most the route's shift cap in each of its intervals,
over look-ups and forwarding together. It rises while requests find no free
slot at home and what it already asks for finds credit, falls when there is
room again, and stays in between: the gap between the two thresholds keeps
two domains from trading load. A domain that sends a service's requests away
receives none of that service.

A planned drain is known ahead. The domain first leaves the look-up answers,
step by step, and then sends what still comes elsewhere, step by step, so
that it is empty of new work at the planned start.
"""

from collections import abc
import math

from chicorydoor.protocol import config_records
from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.state import config_snapshot
from chicorydoor.state import event_ring
from chicorydoor.transport import clock as clock_module

_DELAYED_PART = 0.02
_FOLLOWED_PART = 0.8
_IDLE = 0.75
_ASK_CREDIT = 0.85
_STEP_DOWN_PART = 0.25
_LEAST_STEP = 0.01
_DRAIN_MARGIN_S = 1.0


def drain_lead_s(
    routes: abc.Iterable[config_records.Route], lookup_ttl_s: float
) -> float:
    """How long before its start a domain's drain must be known.

    Args:
        routes (Iterable): The routes whose traffic is moved.
        lookup_ttl_s (float): How long callers cache look-up answers.

    Returns:
        Seconds: the look-ups' ramp, the cached answers' lifetime and the
        forwarding ramp.
    """
    ramp_s = max((_ramp_s(route) for route in routes), default=0.0)
    return 2 * ramp_s + lookup_ttl_s + _DRAIN_MARGIN_S


def _ramp_s(route: config_records.Route) -> float:
    return math.ceil(1 / route.shift_cap) * route.shift_interval_s


class _RouteShift:
    """One route's part that goes elsewhere."""

    def __init__(self, route: config_records.Route, now: float) -> None:
        self.route = route
        self.share = 0.0
        self.changed_at = now
        self.arrived = 0
        self.delayed = 0
        self.forwarded = 0

    def desired(self, load: pm.ServiceLoad | None) -> float:
        """Where the share should be by the load at home."""
        if load is None or load.slots == 0:
            return 1.0
        used = load.in_use / load.slots
        delayed_part = self.delayed / self.arrived if self.arrived else 0.0
        if delayed_part >= _DELAYED_PART:
            if self.forwarded < _FOLLOWED_PART * self.share * self.arrived:
                return self.share
            return min(1.0, self.share + delayed_part * (1 - self.share))
        if used < _IDLE and not self.delayed:
            down = max(_LEAST_STEP, self.share * _STEP_DOWN_PART)
            return max(0.0, self.share - down)
        return self.share

    def move(self, desired: float, now: float) -> None:
        """Step towards a share, at most the cap in an interval."""
        step = desired - self.share
        cap = self.route.shift_cap
        self.share += max(-cap, min(cap, step))
        self.changed_at = now
        self.arrived = 0
        self.delayed = 0
        self.forwarded = 0

    def is_due(self, now: float) -> bool:
        return now - self.changed_at >= self.route.shift_interval_s


class ShiftPlanner:
    """The shares of one failure domain.

    Args:
        clock (Clock): Time.
        events (EventRing): Gets changes of state.
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
        self.leaving_share = 0.0
        self._leaving_changed_at = clock.now()

    def configure(self, snapshot: config_snapshot.ConfigSnapshot) -> None:
        """Follow the configuration; shares are kept."""
        self._snapshot = snapshot
        now = self._clock.now()
        shifts: dict[ids.RouteId, _RouteShift] = {}
        for route_id, route in snapshot.configuration.route_by_id.items():
            shift = self._shift_by_route.get(route_id)
            if shift is None:
                shift = _RouteShift(route, now)
                shift.share = 0.0 if self._is_served(route.service) else 1.0
            shift.route = route
            shifts[route_id] = shift
        self._shift_by_route = shifts

    def _is_served(self, service: ids.ServiceId) -> bool:
        targets = self._snapshot.configuration.target_by_id.values()
        return any(
            target.domain == self._domain and target.service == service
            for target in targets
        )

    def note_load(
        self, load_by_route: abc.Mapping[ids.RouteId, pm.RouteLoad]
    ) -> None:
        """Count an instance's arrivals."""
        for route_id, load in load_by_route.items():
            shift = self._shift_by_route.get(route_id)
            if shift is not None:
                shift.arrived += load.arrived
                shift.delayed += load.delayed
                shift.forwarded += load.forwarded

    def plan(
        self, load_by_service: abc.Mapping[ids.ServiceId, pm.ServiceLoad]
    ) -> None:
        """Move the shares whose interval is over."""
        self._load_by_service = dict(load_by_service)
        now = self._clock.now()
        self._plan_leaving(now)
        forced = self._forced_share()
        for route_id, shift in self._shift_by_route.items():
            if not shift.is_due(now):
                continue
            load = load_by_service.get(shift.route.service)
            desired = max(forced, shift.desired(load))
            before = shift.share
            shift.move(desired, now)
            if abs(shift.share - before) >= _LEAST_STEP:
                self._events.add(
                    event_ring.EventKind.SHIFT_CHANGED,
                    subject=route_id,
                    detail=f"{before:.2f} to {shift.share:.2f}",
                )

    def _drain_start(self) -> float | None:
        return self._snapshot.drain_start(
            self._clock.wall(), domain=self._domain
        )

    def _plan_leaving(self, now: float) -> None:
        """Leave the look-up answers, at most the smallest cap a step."""
        routes = self._snapshot.configuration.route_by_id.values()
        interval_s = max((r.shift_interval_s for r in routes), default=1.0)
        if now - self._leaving_changed_at < interval_s:
            return
        self._leaving_changed_at = now
        cap = min((r.shift_cap for r in routes), default=1.0)
        start = self._drain_start()
        lead_s = drain_lead_s(routes, self._snapshot.policy.lookup_ttl_s)
        leaving = start is not None and self._clock.wall() >= start - lead_s
        step = cap if leaving else -cap
        share = max(0.0, min(1.0, self.leaving_share + step))
        if share != self.leaving_share:
            self._note_leaving(share)

    def _note_leaving(self, share: float) -> None:
        kinds = event_ring.EventKind
        self._events.add(
            kinds.SHIFT_CHANGED,
            subject=self._domain,
            detail=f"{self.leaving_share:.2f} to {share:.2f}",
        )
        if self.leaving_share == 0:
            self._events.add(kinds.DRAIN_STARTED, subject=self._domain)
        self.leaving_share = share
        if share == 0:
            self._events.add(kinds.DRAIN_ENDED, subject=self._domain)

    def _forced_share(self) -> float:
        """1 when forwarding must ramp up ahead of a planned drain."""
        start = self._drain_start()
        if start is None:
            return 0.0
        routes = self._snapshot.configuration.route_by_id.values()
        ramp_s = max((_ramp_s(route) for route in routes), default=0.0)
        wall = self._clock.wall()
        return 1.0 if wall >= start - ramp_s - _DRAIN_MARGIN_S else 0.0

    def is_leaving(self) -> bool:
        """Whether a planned drain is being prepared or in force."""
        return self.leaving_share > 0

    def may_receive(self, service: ids.ServiceId) -> bool:
        """Whether other domains may send requests for a service here."""
        if self.is_leaving():
            return False
        return all(
            shift.share == 0
            for shift in self._shift_by_route.values()
            if shift.route.service == service
        )

    def away_share_by_route(self) -> dict[ids.RouteId, float]:
        """Shares over 0."""
        return {
            route_id: shift.share
            for route_id, shift in self._shift_by_route.items()
            if shift.share > 0
        }

    def credit_want(self, service: ids.ServiceId) -> int:
        """Requests that should be allowed in flight at each neighbour."""
        load = self._load_by_service.get(service)
        if load is None or load.slots == 0:
            return self._remote_slots(service)
        sends_away = any(
            shift.share > 0
            for shift in self._shift_by_route.values()
            if shift.route.service == service
        )
        used = load.in_use / load.slots
        if self.is_leaving() or sends_away:
            return load.slots
        return 1 if used >= _ASK_CREDIT else 0

    def _remote_slots(self, service: ids.ServiceId) -> int:
        targets = self._snapshot.configuration.target_by_id.values()
        return sum(t.slots for t in targets if t.service == service)
