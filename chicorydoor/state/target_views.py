"""The targets that an entry can use, with its observations of each.

The entry's own observations override the registration: a target that does
not answer gets no requests until a probe reaches it, or until it registers
with a new address or as a new incarnation.
"""

from collections import abc
import enum
import logging
import math
import weakref

from chicorydoor.balancing import load_estimate
from chicorydoor.protocol import ids
from chicorydoor.protocol import serving_config
from chicorydoor.state import target_report

# Weight of an own observation in the moving averages.
_OWN_OBSERVATION_WEIGHT = 0.15
# Weight of an observation reported by a region peer. It is lower because
# all region peers together report many.
_PEER_OBSERVATION_WEIGHT = 0.05
# Half-life with which the averages return to normal, so that a target that
# was slow or failing is tried again.
_AVERAGE_HALF_LIFE_S = 4.0
# Half-life of the weight of a load reported by a target.
_LOAD_HALF_LIFE_S = 1.0
# Half-life with which a reported slowdown of a target's machine returns to
# normal: targets report a new one several times a second.
_SLOWDOWN_HALF_LIFE_S = 0.3
# Bounds of a reported slowdown, so that an absurd one neither attracts all
# requests nor rules the target out for longer than a few half-lives.
_MIN_SLOWDOWN, _MAX_SLOWDOWN = 0.5, 10.0
# Bounds of an own latency ratio or of the mean that a peer reports, so that a
# single outlier does not dominate the average.
_MIN_LATENCY_RATIO, _MAX_LATENCY_RATIO = 0.5, 20.0
# Consecutive unanswered requests after which a target counts as silent.
_SILENT_AFTER_REQUESTS = 2
# Incarnations remembered to have said that they leave: room for several
# replacements of all targets of a large deployment.
_MAX_LEAVING = 10_000

_LOG = logging.getLogger(__name__)


class Reach(enum.Enum):
    """Whether an entry can use a target, by the entry's observations.

    A target that is not in use gets no requests.
    """

    IN_USE = "in-use"
    # Ejected: it could not be connected to or did not answer. Probes can
    # bring it back into use.
    UNREACHABLE = "unreachable"
    # The process at its address said that it is not this target. Only a
    # registration with another address or a new incarnation ends this state.
    REPLACED = "replaced"


class Exclusion(enum.Enum):
    """Why an entry sends a target no requests at all."""

    LEAVING = "leaving"
    REPLACED = "replaced"
    EVACUATED = "evacuated domain"
    UNREACHABLE = "unreachable"


class OverloadSwitch:
    """Whether the decisions for overload apply in this process.

    Args:
        expects_overload (bool): Whether the settings expect overload. Defaults
            to False.

    Attributes:
        reports_slowdown (bool): Whether any target has reported a slowdown,
            to this entry or to a region peer.
    """

    def __init__(self, expects_overload: bool = False) -> None:
        self._expects_overload = expects_overload
        self.reports_slowdown = False

    @property
    def is_on(self) -> bool:
        """Whether the decisions for overload apply."""
        return self._expects_overload or self.reports_slowdown


class TargetView:
    """State of one target as observed by one entry.

    Args:
        record (TargetRegistration): The target's registration.
        region (str): The target's region.
        now (float): Time of the first registration seen, in seconds of the
            entry's clock.
        overload (OverloadSwitch): Tells whether the load estimates for
            overload are used. Defaults to one that is off.
        service_load (ServiceLoad): What is usual at the targets of its
            service. Defaults to that of this target alone.

    Attributes:
        load_estimate (LoadEstimate): Requests of other entries, for the
            decisions under overload.
        reach (Reach): Whether this entry can use the target.
        is_registered (bool): False while a registration that ended shortly
            after a failure of the store may still be renewed.
        own_requests_in_flight (int): This entry's requests that run or wait
            at the target.
        has_received_requests (bool): Whether this entry, or a region peer by
            its reports, has sent a request to this incarnation.
        last_sent_at (float): When this entry last sent it a request, in
            seconds of the entry's clock.
        cold_until (float): End of the cold start (warm-up) in seconds of the
            entry's clock.
        restored_at (float): When a probe last ended an ejection (the reach
            ``UNREACHABLE``), in seconds of the entry's clock.
        repeated_ejections (int): Ejections that each began shortly after the
            one before had ended.
        has_said_leaving (bool): Whether the target has said in a response that
            it leaves.
    """

    def __init__(
        self,
        record: serving_config.TargetRegistration,
        region: ids.RegionId,
        now: float,
        overload: OverloadSwitch | None = None,
        service_load: load_estimate.ServiceLoad | None = None,
    ) -> None:
        self._overload = overload or OverloadSwitch()
        self.load_estimate = load_estimate.LoadEstimate(
            record.slots, service_load or load_estimate.ServiceLoad()
        )
        self.record = record
        self.target_id = record.target_id
        self.region = region
        self.reach = Reach.IN_USE
        self.is_registered = True
        self.own_requests_in_flight = 0
        self.has_received_requests = False
        self.last_sent_at = float("-inf")
        self.cold_until = now + record.warm_up_remaining_s
        self.restored_at = float("-inf")
        self.repeated_ejections = 0
        self.has_said_leaving = False
        self._other_requests = 0.0
        self._load_reported_at = float("-inf")
        self._reported_slowdown = 1.0
        self._slowdown_reported_at = float("-inf")
        self._average_latency_ratio = 1.0
        self._average_failure_share = 0.0
        self._averaged_at = now
        self._unanswered_in_a_row = 0
        self._answered_at = float("-inf")
        self._pending_report: target_report.PendingReport | None = None

    @property
    def is_leaving(self) -> bool:
        """Whether the target leaves and gets no further requests."""
        return (
            self.has_said_leaving
            or self.record.lifecycle is serving_config.TargetLifecycle.LEAVING
        )

    @property
    def incarnation_key(self) -> tuple[ids.TargetId, int]:
        """Target id and start of the incarnation."""
        return (self.target_id, self.record.started_ms)

    def is_cold(self, now: float) -> bool:
        """Whether the target is still in its cold start."""
        return now < self.cold_until

    def estimated_requests(self, now: float) -> float:
        """Requests of all entries that run or wait at the target.

        Returns:
            The estimate. As the latest load report ages, the part of other
            entries returns to what is usual where the decisions for overload
            apply, otherwise to 0.
        """
        if self._overload.is_on:
            others = self.load_estimate.other_requests(now)
            return self.own_requests_in_flight + others
        return self.reported_requests(now)

    def reported_requests(self, now: float) -> float:
        """Requests of all entries, as far as a recent report shows them.

        Returns:
            The estimate; the part of other entries decays to 0 with the age
            of the latest load report.
        """
        age_s = now - self._load_reported_at
        decay = 0.5 ** (age_s / _LOAD_HALF_LIFE_S)
        return self.own_requests_in_flight + self._other_requests * decay

    def record_load(self, load: int, now: float) -> None:
        """Record the load that the target reported with an answer.

        Args:
            load (int): Running and waiting requests of all callers.
            now (float): Current time in seconds.
        """
        self._set_load(load, now, 0.0)
        self._get_pending_report().record_load(load, now)

    def record_slowdown(self, slowdown: float, now: float) -> None:
        """Record how slow the target reported its machine to be.

        Args:
            slowdown (float): Processing time at the moment of the report over
                the usual one; 1 means as usual.
            now (float): Current time in seconds.
        """
        self._set_slowdown(slowdown, now)
        self._get_pending_report().record_slowdown(slowdown, now)

    def _set_slowdown(self, slowdown: float, reported_at: float) -> None:
        self._overload.reports_slowdown = True
        if reported_at < self._slowdown_reported_at:
            return
        self._reported_slowdown = min(
            max(slowdown, _MIN_SLOWDOWN), _MAX_SLOWDOWN
        )
        self._slowdown_reported_at = reported_at

    def slowdown(self, now: float) -> float:
        """Processing time over the usual one, by the latest report.

        Returns:
            The ratio; its difference from 1 decays with the report's age.
        """
        age_s = max(0.0, now - self._slowdown_reported_at)
        decay = 0.5 ** (age_s / _SLOWDOWN_HALF_LIFE_S)
        return 1.0 + (self._reported_slowdown - 1.0) * decay

    def _set_load(self, load: int, now: float, age_s: float) -> None:
        self.load_estimate.record(
            load, self.own_requests_in_flight, now - max(0.0, age_s)
        )
        self._other_requests = max(0.0, load - self.own_requests_in_flight)
        self._load_reported_at = now

    def _get_pending_report(self) -> target_report.PendingReport:
        if self._pending_report is None:
            self._pending_report = target_report.PendingReport()
        return self._pending_report

    def pop_report(self, now: float) -> target_report.TargetReport | None:
        """Remove and return the report for region peers.

        Args:
            now (float): Current time in seconds.

        Returns:
            Observations since the last report; None without any.
        """
        pending, self._pending_report = self._pending_report, None
        if pending is None:
            return None
        return pending.build_report(
            self.target_id, self.record.started_ms, now
        )

    def apply_report(
        self, report: target_report.TargetReport, now: float
    ) -> None:
        """Apply the observations of a region peer.

        A report about another incarnation is ignored.
        """
        if report.started_ms != self.record.started_ms:
            return
        self.has_received_requests = True
        if report.reported_load >= 0:
            self._set_load(
                report.reported_load, now, report.load_age_ms / 1000
            )
        if report.slowdown_percent >= 0:
            self._set_slowdown(
                report.slowdown_percent / 100,
                now - report.slowdown_age_ms / 1000,
            )
        if report.answers > 0:
            weight = 1.0 - (1.0 - _PEER_OBSERVATION_WEIGHT) ** report.answers
            latency_ratio = report.latency_ratio_percent / 100
            has_latency = report.answers > report.failures
            self._update_averages(
                latency_ratio if has_latency else None,
                report.failures / report.answers,
                weight,
                now,
            )

    def load_age_s(self, now: float) -> float | None:
        """Age of the latest reported load; None if none was reported."""
        if self._load_reported_at == float("-inf"):
            return None
        if self._overload.is_on:
            return now - self.load_estimate.reported_at
        return now - self._load_reported_at

    def latency_ratio(self, now: float) -> float:
        """Average latency relative to the expected latency of the route."""
        return 1.0 + (
            self._average_latency_ratio - 1.0
        ) * self._remaining_weight(now)

    def failure_share(self, now: float) -> float:
        """Share of the latest requests that failed, 0 to 1."""
        return self._average_failure_share * self._remaining_weight(now)

    def _remaining_weight(self, now: float) -> float:
        return 0.5 ** ((now - self._averaged_at) / _AVERAGE_HALF_LIFE_S)

    def record_answer(
        self, ratio: float, is_failure: bool, now: float
    ) -> None:
        """Record an answer.

        Args:
            ratio (float): Measured latency over expected latency.
            is_failure (bool): Whether the target reported a failure of its
                own.
            now (float): Current time in seconds.
        """
        self._unanswered_in_a_row = 0
        self._answered_at = now
        self._record_outcome(ratio, is_failure, now)

    def record_broken_connection(self, now: float) -> None:
        """Record a request whose connection broke."""
        self._record_outcome(None, True, now)

    def record_unanswered(self, sent_at: float, now: float) -> bool:
        """Record a request that got no answer.

        Args:
            sent_at (float): Time when the request was sent.
            now (float): Current time in seconds.

        Returns:
            Whether the target counts as silent. A target that has answered
            another request since ``sent_at`` is only slow.
        """
        self._record_outcome(None, True, now)
        if self._answered_at > sent_at:
            return False
        self._unanswered_in_a_row += 1
        return self._unanswered_in_a_row >= _SILENT_AFTER_REQUESTS

    def _record_outcome(
        self, ratio: float | None, is_failure: bool, now: float
    ) -> None:
        pending = self._get_pending_report()
        pending.ended_requests += 1
        pending.failures += is_failure
        if ratio is not None and not is_failure:
            pending.latency_ratio_count += 1
            pending.latency_ratio_sum += ratio
        self._update_averages(
            ratio, float(is_failure), _OWN_OBSERVATION_WEIGHT, now
        )

    def _update_averages(
        self, ratio: float | None, failed: float, weight: float, now: float
    ) -> None:
        latency_ratio, failures = (
            self.latency_ratio(now),
            self.failure_share(now),
        )
        if ratio is not None:
            bounded = min(max(ratio, _MIN_LATENCY_RATIO), _MAX_LATENCY_RATIO)
            latency_ratio += weight * (bounded - latency_ratio)
        failures += weight * (failed - failures)
        self._average_latency_ratio, self._average_failure_share = (
            latency_ratio,
            failures,
        )
        self._averaged_at = now


_Views = dict[ids.TargetId, TargetView]


class TargetViews:
    """All known targets, by id and by service.

    Args:
        region_by_domain (dict): Regions of the failure domains.
        expects_overload (bool): Whether the settings expect overload. Defaults
            to False.

    Attributes:
        target_by_id (dict): All known targets.
        evacuated_domains (set): Failure domains whose targets get no
            requests.
        generation (int): Increases whenever the targets that may get
            requests may have changed.
    """

    def __init__(
        self,
        region_by_domain: abc.Mapping[ids.DomainId, ids.RegionId],
        expects_overload: bool = False,
    ) -> None:
        self._region_by_domain = region_by_domain
        self._overload = OverloadSwitch(expects_overload)
        # An entry ends with the last view of the service.
        self._load_by_service: weakref.WeakValueDictionary[
            ids.ServiceId, load_estimate.ServiceLoad
        ] = weakref.WeakValueDictionary()
        self.target_by_id: dict[ids.TargetId, TargetView] = {}
        self.evacuated_domains: set[ids.DomainId] = set()
        # Targets that should get requests, and those of them in use.
        self._wanted_by_service: dict[ids.ServiceId, _Views] = {}
        self._usable_by_service: dict[ids.ServiceId, _Views] = {}
        # Lists of the usable targets, made when they are asked for.
        self._usable_list_by_service: dict[
            ids.ServiceId, list[TargetView]
        ] = {}
        # Incarnations that said that they leave, the first to say it first.
        # Kept apart from the views, as a registration may lapse and return.
        self._said_leaving: dict[ids.TargetIncarnation, None] = {}
        self.generation = 0

    def add_or_update(
        self, record: serving_config.TargetRegistration, now: float
    ) -> TargetView:
        """Add or update a target from its registration.

        Returns:
            The target's view; a new one if the incarnation is not
            the known one. Times of start may go back with a clock.
        """
        view = self.target_by_id.get(record.target_id)
        if view is not None:
            self._remove_from_index(view)
        if view is None or record.started_ms != view.record.started_ms:
            view = TargetView(
                record,
                self._region_of(record.domain),
                now,
                self._overload,
                self._service_load(record.service_id),
            )
            view.has_said_leaving = view.incarnation_key in self._said_leaving
            self.target_by_id[record.target_id] = view
        else:
            _apply_record(view, record, now)
        view.is_registered = True
        self._add_to_index(view)
        return view

    def _service_load(
        self, service_id: ids.ServiceId
    ) -> load_estimate.ServiceLoad:
        load = self._load_by_service.get(service_id)
        if load is None:
            load = load_estimate.ServiceLoad()
            self._load_by_service[service_id] = load
        return load

    @property
    def reports_slowdown(self) -> bool:
        """Whether any target has reported a slowdown to this process."""
        return self._overload.reports_slowdown

    @property
    def decides_for_overload(self) -> bool:
        """Whether the decisions for overload apply.

        Either the settings expect overload or a target reports slowdowns.
        """
        return self._overload.is_on

    def remove(self, target_id: ids.TargetId) -> TargetView | None:
        """Remove a target and return its view, None if it is unknown."""
        view = self.target_by_id.pop(target_id, None)
        if view is not None:
            self._remove_from_index(view)
        return view

    def _region_of(self, domain: ids.DomainId) -> ids.RegionId:
        """Return a failure domain's region; empty if it is not known."""
        return self._region_by_domain.get(domain, ids.RegionId(""))

    def set_regions(
        self, region_by_domain: abc.Mapping[ids.DomainId, ids.RegionId]
    ) -> None:
        """Set the regions of the failure domains."""
        self._region_by_domain = region_by_domain
        for view in self.target_by_id.values():
            view.region = self._region_of(view.record.domain)
        self.rebuild_index()

    def set_evacuated_domains(
        self, domains: abc.Iterable[ids.DomainId], cold_until: float
    ) -> None:
        """Set the failure domains whose targets get no requests.

        Args:
            domains (Iterable): All evacuated failure domains.
            cold_until (float): Time until which the targets of a domain
                that is no longer evacuated count as cold.
        """
        new_domains = set(domains)
        returned = self.evacuated_domains - new_domains
        for view in self.target_by_id.values():
            if view.record.domain in returned:
                view.cold_until = max(view.cold_until, cold_until)
        self.evacuated_domains = new_domains
        self.rebuild_index()

    def pop_reports(self, now: float) -> list[target_report.TargetReport]:
        """Remove and return this entry's observations since the last call.

        Args:
            now (float): Current time in seconds.
        """
        reports = [view.pop_report(now) for view in self.target_by_id.values()]
        return [report for report in reports if report is not None]

    def apply_reports(
        self, reports: abc.Iterable[target_report.TargetReport], now: float
    ) -> None:
        """Apply the observations of a region peer."""
        for report in reports:
            view = self.target_by_id.get(report.target_id)
            if view is not None:
                view.apply_report(report, now)

    def rebuild_index(self) -> None:
        """Rebuild the index of the targets that may get requests."""
        self._wanted_by_service.clear()
        self._usable_by_service.clear()
        self._usable_list_by_service.clear()
        for view in self.target_by_id.values():
            self._add_to_index(view)
        self.generation += 1

    def _update_index(self, view: TargetView) -> None:
        """Index a target again after what counts for it has changed."""
        self._remove_from_index(view)
        if self.target_by_id.get(view.target_id) is view:
            self._add_to_index(view)

    def _add_to_index(self, view: TargetView) -> None:
        self._note_change(view)
        if not self.should_get_requests(view):
            return
        service_id, target_id = view.record.service_id, view.target_id
        self._wanted_by_service.setdefault(service_id, {})[target_id] = view
        if view.reach is Reach.IN_USE:
            usable = self._usable_by_service.setdefault(service_id, {})
            usable[target_id] = view

    def _remove_from_index(self, view: TargetView) -> None:
        self._note_change(view)
        for index in (self._wanted_by_service, self._usable_by_service):
            views = index.get(view.record.service_id, {})
            if views.get(view.target_id) is view:
                del views[view.target_id]
                if not views:
                    del index[view.record.service_id]

    def _note_change(self, view: TargetView) -> None:
        self._usable_list_by_service.pop(view.record.service_id, None)
        self.generation += 1

    def may_get_requests(self, view: TargetView) -> bool:
        """Whether a target may get new requests at all."""
        return self.find_exclusion(view) is None

    def find_exclusion(self, view: TargetView) -> Exclusion | None:
        """Return why a target gets no requests; None if it may get some."""
        if view.is_leaving:
            return Exclusion.LEAVING
        if view.reach is Reach.REPLACED:
            return Exclusion.REPLACED
        if view.record.domain in self.evacuated_domains:
            return Exclusion.EVACUATED
        if view.reach is Reach.UNREACHABLE:
            return Exclusion.UNREACHABLE
        return None

    def should_get_requests(self, view: TargetView) -> bool:
        """Whether a target may get requests from entries that reach it."""
        return self.find_exclusion(view) in (None, Exclusion.UNREACHABLE)

    def is_in_service(self, view: TargetView) -> bool:
        """Whether a target that was chosen earlier may still get requests."""
        known = self.target_by_id.get(view.target_id)
        return known is view and self.should_get_requests(view)

    def usable_targets(self, service_id: ids.ServiceId) -> list[TargetView]:
        """Targets of a service that may get requests."""
        usable = self._usable_list_by_service.get(service_id)
        if usable is None:
            usable = list(self._usable_by_service.get(service_id, {}).values())
            self._usable_list_by_service[service_id] = usable
        return usable

    def wanted_count_by_service(self) -> dict[ids.ServiceId, int]:
        """Number of targets that should get requests, usable or not."""
        return {
            service_id: len(views)
            for service_id, views in self._wanted_by_service.items()
        }

    def all_usable_targets(self) -> list[TargetView]:
        """Targets of all services that may get requests."""
        return [
            view
            for service_id in self._usable_by_service
            for view in self.usable_targets(service_id)
        ]

    def record_said_leaving(self, view: TargetView) -> None:
        """Record that a target has said in a response that it leaves."""
        if view.has_said_leaving:
            return
        view.has_said_leaving = True
        self._said_leaving[view.incarnation_key] = None
        if len(self._said_leaving) > _MAX_LEAVING:
            del self._said_leaving[next(iter(self._said_leaving))]
        self._update_index(view)
        _LOG.info("target says it leaves", extra={"target": view.target_id})

    def set_reach(self, view: TargetView, reach: Reach) -> None:
        """Set a target's reach."""
        if view.reach is not reach:
            view.reach = reach
            self._update_index(view)


def _apply_record(
    view: TargetView, record: serving_config.TargetRegistration, now: float
) -> None:
    """Apply a later registration of the same incarnation."""
    if record.warm_up_remaining_s > 0:
        view.cold_until = now + record.warm_up_remaining_s
    if record.address != view.record.address:
        view.reach = Reach.IN_USE
    view.load_estimate.slots = max(1, record.slots)
    view.record = record


def expected_wait_s(load: float, slots: int, processing_s: float) -> float:
    """Expected time in seconds that a new request waits for a slot.

    Args:
        load (float): Requests that run or wait at the target.
        slots (int): Requests that the target processes at the same time.
        processing_s (float): Mean processing time of a request.
    """
    ahead = math.floor(load) + 1 - slots
    return max(0.0, ahead / slots * processing_s)
