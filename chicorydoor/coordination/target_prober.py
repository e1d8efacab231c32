"""Probes unreachable targets and returns them to use.

If targets of several failure domains become unreachable at the same time, the
entry itself may be cut off. It then checks all targets at once instead of
losing requests at each of them. A check opens a connection; if connections to
several targets broke without any response, it also sends a probe on it, since
whatever breaks them may accept them first.
"""

import asyncio
import collections
import contextlib
import logging
import random

from chicorydoor import errors
from chicorydoor.coordination import active_serving_config
from chicorydoor.coordination import target_sender
from chicorydoor.protocol import header_names
from chicorydoor.protocol import headers as http_headers
from chicorydoor.protocol import ids
from chicorydoor.protocol import serving_config
from chicorydoor.state import broken_connections
from chicorydoor.state import request_crashes
from chicorydoor.state import service_reach
from chicorydoor.state import target_views
from chicorydoor.transport import buffered_connection
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

# Back-off between probes. A probe occupies a slot of the target for some
# milliseconds, and every entry that cannot reach the target sends its own.
_INITIAL_BACKOFF_S = 0.4
_MAX_BACKOFF_S = 3.0
_CONNECT_TIMEOUT_S = 1.0
# Checks of whether targets accept connections use a shorter time, in which a
# lost packet of the handshake is not retransmitted: callers are waiting.
_CHECK_TIMEOUT_S = 0.7
# Targets that become unreachable within this time are looked at together. It
# includes two times in which a connection is given up.
_SIMULTANEOUS_S = 2.0
_MIN_SIMULTANEOUS_TARGETS = 2
_MIN_SIMULTANEOUS_DOMAINS = 2
# Targets that are checked first. Only if most of them are unreachable as well
# the others follow: every entry sees it when targets end.
_SAMPLE_SIZE = 8
# Time in which a cut shows after the first target has refused a connection.
_CUT_DETECTION_S = 0.3
# Longest back-off while the service is out of reach: requests make a detour
# until then.
_MAX_CUT_BACKOFF_S = 1.0
# A target that is unreachable again this soon after a successful probe answers
# probes but not requests. The delay before its first probe doubles each time,
# up to the limit below.
_RELAPSE_S = 10.0
_MAX_RELAPSE_BACKOFF_S = 6.4
# A probe waits for a slot like any request; a full queue takes this long.
_ANSWER_TIMEOUT_S = 3.0
_OK = 200
_MISDIRECTED = 421

_LOG = logging.getLogger(__name__)


class TargetProber:
    """Probes targets that are out of use because they did not answer.

    Args:
        targets (TargetViews): The known targets.
        sender (TargetSender): Holds the connections to targets.
        active_config (ActiveServingConfig): Holds the active configuration.
        names (HeaderNames): Header names.
        crashes (RequestCrashes): Learns which targets have ended.
        breaks (BrokenConnections): Knows where connections break.
        reach (ServiceReach): The services that this entry reaches.
        clock (Clock): Source of time.
        rng (Random): Source of random numbers.
    """

    def __init__(
        self,
        targets: target_views.TargetViews,
        sender: target_sender.TargetSender,
        active_config: active_serving_config.ActiveServingConfig,
        names: header_names.HeaderNames,
        crashes: request_crashes.RequestCrashes,
        breaks: broken_connections.BrokenConnections,
        reach: service_reach.ServiceReach,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self._targets = targets
        self._sender = sender
        self._active_config = active_config
        self._header_names = names
        self._clock = clock
        self._crashes = crashes
        self._breaks = breaks
        self._reach = reach
        self._rng = rng
        self._check_by_target: dict[ids.TargetId, asyncio.Task] = {}
        self._task_by_target: dict[ids.TargetId, asyncio.Task] = {}
        # Time and failure domain of each ejection of the last seconds.
        self._recent_ejections: collections.deque[
            tuple[float, ids.DomainId]
        ] = collections.deque()
        self._cut_check: asyncio.Task | None = None
        # Set when a target of a service out of reach answers a probe. Ends
        # the back-off of all probes; a new event replaces it for the next cut.
        self._reach_returns = asyncio.Event()

    def eject(self, view: target_views.TargetView, reason: str) -> None:
        """Eject a target until a probe succeeds.

        This has no effect on a target that is out of use already or no longer
        known.

        Args:
            view (TargetView): The target.
            reason (str): Reason for the log.
        """
        if view.reach is not target_views.Reach.IN_USE:
            return
        if self._targets.target_by_id.get(view.target_id) is not view:
            return
        self._targets.set_reach(view, target_views.Reach.UNREACHABLE)
        metrics.TARGET_EJECTIONS.labels(view.target_id).inc()
        _LOG.warning(
            "target unreachable",
            extra={
                "target": view.target_id,
                "address": view.record.address,
                "reason": reason,
            },
        )
        probing = self._task_by_target.get(view.target_id)
        if probing is None or probing.done():
            self._task_by_target[view.target_id] = asyncio.create_task(
                self._probe_until_reachable(view)
            )
        self._check_for_cut(view.record.domain)

    def _check_for_cut(self, domain: ids.DomainId) -> None:
        """Check other targets if several became unreachable together."""
        now = self._clock.now()
        recent = self._recent_ejections
        recent.append((now, domain))
        while now - recent[0][0] > _SIMULTANEOUS_S:
            recent.popleft()
        is_checking = self._cut_check and not self._cut_check.done()
        if is_checking or len(recent) < _MIN_SIMULTANEOUS_TARGETS:
            return
        views = self._targets.all_usable_targets()
        domains = {each for _, each in recent}
        is_widespread = len(domains) >= _MIN_SIMULTANEOUS_DOMAINS or all(
            view.record.domain in domains for view in views
        )
        if is_widespread and views:
            self._cut_check = asyncio.create_task(
                self._check_sample_then_rest(views)
            )

    async def _check_sample_then_rest(
        self, views: list[target_views.TargetView]
    ) -> None:
        """Check a sample and, if most of it is unreachable, the rest."""
        self._rng.shuffle(views)
        sample, rest = views[:_SAMPLE_SIZE], views[_SAMPLE_SIZE:]
        await asyncio.gather(*map(self._check_listening, sample))
        unreachable = sum(
            view.reach is not target_views.Reach.IN_USE for view in sample
        )
        if 2 * unreachable >= len(sample):
            await asyncio.gather(*map(self._check_listening, rest))

    def record_refused(self, view: target_views.TargetView) -> None:
        """Record that a target refused a connection.

        It has ended, unless this entry turns out to be cut off.
        """
        if self._reach.is_cut_off:
            return
        self._crashes.record_ended(view.incarnation_key, self._clock.now())

        def retract_if_cut_off() -> None:
            if self._reach.is_cut_off:
                self._crashes.retract_ended(view.incarnation_key)

        asyncio.get_running_loop().call_later(
            _CUT_DETECTION_S, retract_if_cut_off
        )

    def check_listening(self, view: target_views.TargetView) -> None:
        """Check whether a target still accepts connections; eject it if not.

        Only one check of a target runs at a time.
        """
        running = self._check_by_target.get(view.target_id)
        if running is not None and not running.done():
            return
        self._check_by_target[view.target_id] = asyncio.create_task(
            self._check_listening(view)
        )

    async def _check_listening(self, view: target_views.TargetView) -> None:
        pool = self._sender.connection_pool(view)
        try:
            connection = await pool.open_connection(_CHECK_TIMEOUT_S)
            await self._check_answering(view, connection)
        except errors.TargetError as error:
            if error.is_refused:
                self.record_refused(view)
            if not error.is_own_shortage:
                self.eject(view, f"{error}")
            return
        finally:
            if self._check_by_target.get(view.target_id) is (
                asyncio.current_task()
            ):
                del self._check_by_target[view.target_id]
        pool.release(connection, view.record.slots)

    async def _check_answering(
        self,
        view: target_views.TargetView,
        connection: buffered_connection.BufferedConnection,
    ) -> None:
        """Probe a target if the way to its service may be lost.

        A target that does not answer in time proves nothing: it may be full.

        Raises:
            TargetError: If the connection breaks.
        """
        service = self._active_config.current.service_by_id.get(
            view.record.service_id
        )
        now = self._clock.now()
        permits = self._sender.permits
        if (
            service is None
            or not self._breaks.are_widespread(service.service_id, now)
            or not permits.may_probe(view, now)
        ):
            return
        permits.record_probe(view, now)
        _LOG.info("checking with a probe", extra={"target": view.target_id})
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CHECK_TIMEOUT_S):
                await self._exchange_probe(view, service, connection)

    async def _probe_until_reachable(
        self, view: target_views.TargetView
    ) -> None:
        backoff_s = self._first_backoff_s(view)
        while self._needs_probe(view):
            await self._back_off(view, backoff_s)
            backoff_s = max(backoff_s, min(2 * backoff_s, _MAX_BACKOFF_S))
            if not self._needs_probe(view):
                break
            await self._probe(view)

    async def _back_off(
        self, view: target_views.TargetView, backoff_s: float
    ) -> None:
        """Wait until the back-off or a cut of this entry ends."""
        if view.record.service_id in self._reach.out_of_reach:
            backoff_s = min(backoff_s, _MAX_CUT_BACKOFF_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(backoff_s):
                await self._reach_returns.wait()

    def _first_backoff_s(self, view: target_views.TargetView) -> float:
        """Return the seconds before the first probe; more after a relapse."""
        now = self._clock.now()
        if now - view.restored_at > _RELAPSE_S:
            view.repeated_ejections = 0
        else:
            view.repeated_ejections += 1
        return min(
            _MAX_RELAPSE_BACKOFF_S,
            _INITIAL_BACKOFF_S * 2**view.repeated_ejections,
        )

    def _needs_probe(self, view: target_views.TargetView) -> bool:
        return (
            view.reach is target_views.Reach.UNREACHABLE
            and not view.is_leaving
            and self._targets.target_by_id.get(view.target_id) is view
        )

    async def _probe(self, view: target_views.TargetView) -> None:
        service = self._active_config.current.service_by_id.get(
            view.record.service_id
        )
        if service is None:
            return
        permits, now = self._sender.permits, self._clock.now()
        if not permits.may_probe(view, now):
            return
        permits.record_probe(view, now)
        pool = self._sender.connection_pool(view)
        try:
            connection = await pool.acquire(_CONNECT_TIMEOUT_S)
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                answer = await self._exchange_probe(view, service, connection)
        except (errors.TargetError, TimeoutError) as error:
            _LOG.info(
                "probe failed",
                extra={
                    "target": view.target_id,
                    "reason": f"{type(error).__name__} {error}",
                },
            )
            return
        pool.release(connection, view.record.slots)
        if answer.status != _MISDIRECTED:
            self._sender.record_announcements(
                view, answer, now, self._clock.now()
            )
        self._apply_probe_answer(view, answer, service.warm_up_s)

    async def _exchange_probe(
        self,
        view: target_views.TargetView,
        service: serving_config.ServiceConfig,
        connection: buffered_connection.BufferedConnection,
    ) -> buffered_connection.BufferedResponse:
        """Send a probe to a target and return its response.

        Raises:
            TargetError: If the connection breaks.
        """
        metrics.PROBES.inc()
        request = b"\r\n".join(
            [
                b"GET %s HTTP/1.1" % service.health_path.encode(),
                b"host: %s" % view.record.address.encode(),
                b"%s: %s"
                % (
                    self._header_names.expected_target_id,
                    view.target_id.encode(),
                ),
                b"",
                b"",
            ]
        )
        answer = await connection.exchange(request, b"")
        self._breaks.record_response(view)
        return answer

    def _apply_probe_answer(
        self,
        view: target_views.TargetView,
        answer: buffered_connection.BufferedResponse,
        warm_up_s: float,
    ) -> None:
        if answer.status == _MISDIRECTED:
            # In use again only after a registration with another address or a
            # later start.
            self._targets.set_reach(view, target_views.Reach.REPLACED)
            return
        # A target that did not run the probe is reachable, but its queue is
        # full.
        is_busy = answer.find_header(self._header_names.not_run) is not None
        if answer.status != _OK and not is_busy:
            return
        now = self._clock.now()
        warm_up_ms = answer.find_header(
            self._header_names.warm_up_remaining_ms
        )
        named_ms = http_headers.parse_whole_number(warm_up_ms or b"")
        if named_ms is not None:
            warm_up_s = named_ms / 1000
        elif is_busy:
            # Its queue is full, so it has worked for a while and is not cold.
            warm_up_s = 0.0
        view.cold_until = max(view.cold_until, now + warm_up_s)
        if view.record.service_id in self._reach.out_of_reach:
            # The way to one target is back, perhaps to all.
            self._reach_returns.set()
            self._reach_returns = asyncio.Event()
        self._targets.set_reach(view, target_views.Reach.IN_USE)
        view.restored_at = now
        _LOG.info(
            "target back",
            extra={"target": view.target_id, "cold_s": round(warm_up_s, 3)},
        )

    def close(self) -> None:
        """Stop probing."""
        for task in (
            *self._task_by_target.values(),
            *self._check_by_target.values(),
            *([self._cut_check] if self._cut_check else []),
        ):
            task.cancel()
