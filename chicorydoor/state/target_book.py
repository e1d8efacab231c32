"""All targets that an entry may use, and what it has seen of each.

Own observations rule: a target that does not answer is out of use until a
probe reaches it again, whatever its registration says.
"""

from collections import abc
import enum
import math

from chicorydoor.protocol import ids
from chicorydoor.protocol import serving
from chicorydoor.state import target_report

# Weight of the newest observation in the moving averages.
_OBSERVATION_WEIGHT = 0.15
# The same for each answer that another entry of the region has seen: there
# are many of these, so they may count less.
_HEARD_WEIGHT = 0.05
# Averages return to normal with this half-life, so that a target that was
# slow or failing is tried again.
_FORGETTING_HALF_LIFE_S = 4.0
# Load reported by a target is worth less the older it is.
_REPORT_HALF_LIFE_S = 1.0
# Bounds of the measured slowness, so that one outlier does not rule.
_SLOWNESS_LEAST, _SLOWNESS_MOST = 0.5, 20.0
# Requests in a row without any answer after which a target counts as silent.
_SILENT_REQUESTS = 2


class Reach(enum.Enum):
    """Whether an entry can use a target, by its own observation."""

    IN_USE = "in-use"
    UNREACHABLE = "unreachable"
    REPLACED = "replaced"


class TargetView:
    """One target as one entry sees it.

    Args:
        record (TargetRecord): Its registration.
        region (str): Where it is.
        now (float): When it was first seen, on the own clock.
    """

    def __init__(
        self,
        record: serving.TargetRecord,
        region: ids.RegionId,
        now: float,
    ) -> None:
        self.record = record
        self.target_id = record.target_id
        self.region = region
        self.reach = Reach.IN_USE
        self.is_listed = True
        self.own_running = 0
        self.has_worked = False
        self.cold_until = now + record.cold_remaining_s
        self.brought_back_at = float("-inf")
        self.relapses = 0
        self._others_running = 0.0
        self._reported_at = float("-inf")
        self._slowness = 1.0
        self._failures = 0.0
        self._observed_at = now
        self._unanswered = 0
        self._answered_at = float("-inf")
        self._untold: target_report.Untold | None = None

    @property
    def is_leaving(self) -> bool:
        """Whether it gets no further work."""
        return self.record.standing is serving.TargetStanding.LEAVING

    @property
    def holder(self) -> tuple[ids.TargetId, int]:
        """Its id and the start of its incarnation."""
        return (self.target_id, self.record.started_ms)

    def is_cold(self, now: float) -> bool:
        """Whether it is still slow after its start."""
        return now < self.cold_until

    def running(self, now: float) -> float:
        """Requests that it works on or queues, of all entries."""
        age_s = now - self._reported_at
        kept = 0.5 ** (age_s / _REPORT_HALF_LIFE_S)
        return self.own_running + self._others_running * kept

    def note_load(self, running: int, now: float) -> None:
        """Take in the load that it told with an answer.

        Args:
            running (int): Its running and waiting requests of all callers.
            now (float): Time.
        """
        self._set_load(running, now)
        self._to_tell().running = running

    def _set_load(self, running: int, now: float) -> None:
        self._others_running = max(0.0, running - self.own_running)
        self._reported_at = now

    def _to_tell(self) -> target_report.Untold:
        if self._untold is None:
            self._untold = target_report.Untold()
        return self._untold

    def take_report(self) -> target_report.TargetReport | None:
        """What has been seen since the last report; None for nothing."""
        untold, self._untold = self._untold, None
        if untold is None:
            return None
        return untold.report(self.target_id, self.record.started_ms)

    def hear(self, report: target_report.TargetReport, now: float) -> None:
        """Take in what another entry of the region has seen."""
        if report.started_ms != self.record.started_ms:
            return
        self.has_worked = True
        if report.running >= 0:
            self._set_load(report.running, now)
        if report.answers > 0:
            weight = 1.0 - (1.0 - _HEARD_WEIGHT) ** report.answers
            pace = report.pace_percent / 100
            is_timed = report.answers > report.failures
            self._average(
                pace if is_timed else None,
                report.failures / report.answers,
                weight,
                now,
            )

    def report_age_s(self, now: float) -> float | None:
        """Age of the load that it told last; None if it never told one."""
        if self._reported_at == float("-inf"):
            return None
        return now - self._reported_at

    def slowness(self, now: float) -> float:
        """Time that it takes, relative to what its route usually takes."""
        return 1.0 + (self._slowness - 1.0) * self._memory(now)

    def failure_share(self, now: float) -> float:
        """Share of the latest requests that failed."""
        return self._failures * self._memory(now)

    def _memory(self, now: float) -> float:
        return 0.5 ** ((now - self._observed_at) / _FORGETTING_HALF_LIFE_S)

    def note_answer(self, ratio: float, is_failure: bool, now: float) -> None:
        """Take in an answer.

        Args:
            ratio (float): Its time over the expected time.
            is_failure (bool): Whether it reported a failure of its own.
            now (float): Time.
        """
        self._unanswered = 0
        self._answered_at = now
        self._observe(ratio, is_failure, now)

    def note_broken(self, now: float) -> None:
        """Take in a request whose connection broke."""
        self._observe(None, True, now)

    def note_lost(self, sent_at: float, now: float) -> bool:
        """Take in a request without an answer.

        Args:
            sent_at (float): When it was sent.
            now (float): Time.

        Returns:
            Whether the target seems to be silent altogether: one that has
            answered others meanwhile is only slow.
        """
        self._observe(None, True, now)
        if self._answered_at > sent_at:
            return False
        self._unanswered += 1
        return self._unanswered >= _SILENT_REQUESTS

    def _observe(
        self, ratio: float | None, is_failure: bool, now: float
    ) -> None:
        untold = self._to_tell()
        untold.answers += 1
        untold.failures += is_failure
        if ratio is not None and not is_failure:
            untold.timed += 1
            untold.ratios += ratio
        self._average(ratio, float(is_failure), _OBSERVATION_WEIGHT, now)

    def _average(
        self, ratio: float | None, failed: float, weight: float, now: float
    ) -> None:
        slowness, failures = self.slowness(now), self.failure_share(now)
        if ratio is not None:
            bounded = min(max(ratio, _SLOWNESS_LEAST), _SLOWNESS_MOST)
            slowness += weight * (bounded - slowness)
        failures += weight * (failed - failures)
        self._slowness, self._failures = slowness, failures
        self._observed_at = now


class TargetBook:
    """Targets by id and by service.

    Args:
        region_by_domain (dict): Regions of the failure domains.
    """

    def __init__(
        self, region_by_domain: abc.Mapping[ids.DomainId, ids.RegionId]
    ) -> None:
        self._region_by_domain = region_by_domain
        self.target_by_id: dict[ids.TargetId, TargetView] = {}
        self.evacuated_domains: set[ids.DomainId] = set()
        self._by_service: dict[ids.ServiceId, list[TargetView]] = {}
        self.generation = 0

    def put(self, record: serving.TargetRecord, now: float) -> TargetView:
        """Take in a registration, new or changed."""
        view = self.target_by_id.get(record.target_id)
        if view is None or record.started_ms > view.record.started_ms:
            region = self._region_by_domain.get(
                record.domain, ids.RegionId("")
            )
            view = TargetView(record, region, now)
            self.target_by_id[record.target_id] = view
        else:
            _update(view, record, now)
        view.is_listed = True
        self.reindex()
        return view

    def remove(self, target_id: ids.TargetId) -> TargetView | None:
        """Forget a target."""
        view = self.target_by_id.pop(target_id, None)
        self.reindex()
        return view

    def set_evacuated(
        self, domains: abc.Iterable[ids.DomainId], cold_until: float
    ) -> None:
        """Take note of the failure domains that are to be empty.

        Args:
            domains (Iterable): All of them.
            cold_until (float): Until when targets of a domain that is taken
                back count as cold.
        """
        now_evacuated = set(domains)
        returned = self.evacuated_domains - now_evacuated
        for view in self.target_by_id.values():
            if view.record.domain in returned:
                view.cold_until = max(view.cold_until, cold_until)
        self.evacuated_domains = now_evacuated
        self.reindex()

    def take_reports(self) -> list[target_report.TargetReport]:
        """What this entry has seen of targets since the last call."""
        reports = [view.take_report() for view in self.target_by_id.values()]
        return [report for report in reports if report is not None]

    def hear(
        self, reports: abc.Iterable[target_report.TargetReport], now: float
    ) -> None:
        """Take in what another entry of the region has seen."""
        for report in reports:
            view = self.target_by_id.get(report.target_id)
            if view is not None:
                view.hear(report, now)

    def reindex(self) -> None:
        """Rebuild the list of targets that may get work."""
        by_service: dict[ids.ServiceId, list[TargetView]] = {}
        for view in self.target_by_id.values():
            if self.may_get_work(view):
                by_service.setdefault(view.record.service_id, []).append(view)
        self._by_service = by_service
        self.generation += 1

    def may_get_work(self, view: TargetView) -> bool:
        """Whether a target takes new requests at all."""
        return (
            not view.is_leaving
            and view.reach is Reach.IN_USE
            and view.record.domain not in self.evacuated_domains
        )

    def of_service(self, service_id: ids.ServiceId) -> list[TargetView]:
        """Targets of a service that may get work."""
        return self._by_service.get(service_id, [])

    def set_reach(self, view: TargetView, reach: Reach) -> None:
        """Change whether a target is used."""
        if view.reach is not reach:
            view.reach = reach
            self.reindex()


def _update(
    view: TargetView, record: serving.TargetRecord, now: float
) -> None:
    """Take in a later registration of the same incarnation."""
    if record.cold_remaining_s > 0:
        view.cold_until = now + record.cold_remaining_s
    if record.address != view.record.address:
        view.reach = Reach.IN_USE
    view.record = record


def waiting_s(running: float, slots: int, work_s: float) -> float:
    """Time that a request waits for a slot.

    Args:
        running (float): Requests that run or wait at the target.
        slots (int): Requests that it works on at the same time.
        work_s (float): Mean time of one request.
    """
    ahead = math.floor(running) + 1 - slots
    return max(0.0, ahead / slots * work_s)
