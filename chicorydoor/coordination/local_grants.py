"""Grants that an instance receives: local tokens, slots and credits.

One task reports demand to the coordinator and applies the grants in its
answer. It reports periodically, and at once when a request waits for a token
or a slot. At most one report is in flight at a time.
"""

import asyncio
import collections
from collections import abc
import contextlib
import math
import typing

from chicorydoor import errors
from chicorydoor.coordination import coordinator as coordinator_module
from chicorydoor.coordination import membership as membership_module
from chicorydoor.coordination import peer_network
from chicorydoor.coordination import request_types
from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.protocol import result_codes
from chicorydoor.protocol import settings as settings_module
from chicorydoor.state import local_slots
from chicorydoor.state import local_tokens
from chicorydoor.transport import clock as clock_module

_MIN_REPORT_GAP_S = 0.004
_REPORT_INTERVAL_S = 0.25
_IDLE_REPORTS_PER_VALIDITY = 4
_CALL_TIMEOUT_S = 0.5
_PREFETCH_S = 0.25
_MAX_BORROW_WAIT_S = 1.0
_MAX_QUEUED_RETRY_S = 0.3
_MAX_QUEUED_WAITERS = 8
_MIN_TOKEN_TIMEOUT_S = 1.0
_TOKEN_TIMEOUT_SHARE = 0.6


class SlotScheduler(typing.Protocol):
    """User of an instance's slots, which the reports describe."""

    def wanted_slots_by_service(self) -> dict[ids.ServiceId, int]:
        """Number of further slots wanted, by service."""

    def release_slots_of_unusable_targets(self) -> list[ids.TargetId]:
        """Targets whose slots would stay unused; releases their free slots."""

    def slot_use_by_service(self) -> dict[ids.ServiceId, pm.ServiceUse]:
        """Mean use and hold time of the slots, by service."""

    def release_idle_slots(
        self, services: abc.Iterable[ids.ServiceId]
    ) -> None:
        """Lower targets' slot limits, so that idle slots are returned."""

    def serve_waiting_requests(self) -> None:
        """Start waiting requests, as slots may have become free."""


class _InactiveSlotScheduler:
    """Stands in until a slot scheduler is set."""

    def wanted_slots_by_service(self) -> dict[ids.ServiceId, int]:
        return {}

    def release_slots_of_unusable_targets(self) -> list[ids.TargetId]:
        return []

    def slot_use_by_service(self) -> dict[ids.ServiceId, pm.ServiceUse]:
        return {}

    def release_idle_slots(
        self, services: abc.Iterable[ids.ServiceId]
    ) -> None:
        return None

    def serve_waiting_requests(self) -> None:
        return None


class _TokenWaiter:
    """A request that waits for tokens.

    Args:
        amount (float): Tokens that it needs.
        since (float): When it began to wait, in seconds.

    Attributes:
        future (Future): Ends with 0 once the tokens are acquired, else
            with the seconds after which the caller may retry.
    """

    def __init__(self, amount: float, since: float) -> None:
        self.amount = amount
        self.since = since
        self.future: asyncio.Future[float] = (
            asyncio.get_running_loop().create_future()
        )


class LocalGrants:
    """Local tokens, slots and credits of one instance.

    Args:
        coordinator (Coordinator): The one of this entry, called directly
            while this entry holds the coordinator lease.
        membership (Membership): Names the coordinator.
        network (PeerNetwork): Sends the reports.
        timing (Timing): Validity of slots and lease duration.
        clock (Clock): Monotonic time.

    Attributes:
        local_tokens (LocalTokens): Local tokens by bucket.
        local_slots (LocalSlots): Local slots by target.
        local_credits (LocalSlots): Local credits by remote domain and service.
        forwarded_share_by_route (dict): Share of each route's traffic to send
            to other domains.
        slot_scheduler (SlotScheduler): User of the slots.
        pop_wanted_credits (callable): Returns and clears the credits wanted
            by service.
    """

    def __init__(
        self,
        *,
        coordinator: coordinator_module.Coordinator,
        membership: membership_module.Membership,
        network: peer_network.PeerNetwork,
        timing: settings_module.Timing,
        clock: clock_module.Clock,
    ) -> None:
        self._own_coordinator = coordinator
        self._membership = membership
        self._network = network
        self._timing = timing
        self._clock = clock
        self.local_tokens = local_tokens.LocalTokens(clock)
        self.local_slots = local_slots.LocalSlots(clock)
        self.local_credits = local_slots.LocalSlots(clock)
        self.forwarded_share_by_route: dict[ids.RouteId, float] = {}
        self.slot_scheduler: SlotScheduler = _InactiveSlotScheduler()
        self.pop_wanted_credits: abc.Callable[[], dict[ids.ServiceId, int]] = (
            dict
        )
        # Requests arrived, delayed and forwarded since the latest report.
        self._load_by_route: dict[ids.RouteId, list[int]] = {}
        self._waiters_by_bucket: dict[
            ids.BucketId, collections.deque[_TokenWaiter]
        ] = {}
        self._denied_until_by_bucket: dict[ids.BucketId, float] = {}
        self._applied_grant_number = 0
        self._applied_coordinator: tuple[ids.InstanceId, int] | None = None
        self._report_requested = asyncio.Event()
        network.set_handler(
            pm.SlotRevocation,
            lambda _, revocation: self.release_idle_slots(
                revocation.service_ids
            ),
        )
        coordinator.on_report_requested = self.release_idle_slots

    def request_report(self) -> None:
        """Request a report without waiting for the interval to end."""
        self._report_requested.set()

    def release_idle_slots(self, services: list[ids.ServiceId]) -> None:
        """Release idle slots of these services and request a report."""
        self.slot_scheduler.release_idle_slots(services)
        self.request_report()

    def record_arrival(self, route: ids.RouteId, is_delayed: bool) -> None:
        """Count a request, and whether its service's queue is overloaded."""
        counts = self._load_by_route.setdefault(route, [0, 0, 0])
        counts[0] += 1
        counts[1] += is_delayed

    def record_forwarded(self, route: ids.RouteId) -> None:
        """Count a request that is forwarded to another failure domain."""
        self._load_by_route.setdefault(route, [0, 0, 0])[2] += 1

    async def acquire_tokens(
        self, bucket: ids.BucketId, amount: float, remaining_s: float
    ) -> None:
        """Acquire tokens of a bucket, waiting for a grant if needed.

        Args:
            bucket (str): The bucket.
            amount (float): Tokens.
            remaining_s (float): Seconds until the request's deadline.
                The wait ends after ``_TOKEN_TIMEOUT_SHARE`` of them, but
                not before ``_MIN_TOKEN_TIMEOUT_S``, and at the deadline at
                the latest.

        Raises:
            RefusedError: If no tokens are granted in time.
        """
        self.local_tokens.record_demand(bucket, amount)
        if bucket not in self._waiters_by_bucket:
            if self.local_tokens.acquire(bucket, amount):
                return
        self._refuse_if_denied(bucket)
        waiter = _TokenWaiter(amount, self._clock.now())
        waiters = self._waiters_by_bucket.setdefault(
            bucket, collections.deque()
        )
        waiters.append(waiter)
        self.request_report()
        await self._wait_for_tokens(bucket, waiter, remaining_s)

    def _refuse_if_denied(self, bucket: ids.BucketId) -> None:
        """Refuse a request unless it may wait for a token that is due soon.

        The number of such waiting requests is limited.

        Raises:
            RefusedError: If the request can't wait.
        """
        wait_s = (
            self._denied_until_by_bucket.get(bucket, 0.0) - self._clock.now()
        )
        waiting = len(self._waiters_by_bucket.get(bucket, ()))
        if wait_s > _MAX_QUEUED_RETRY_S or (
            wait_s > 0 and waiting >= _MAX_QUEUED_WAITERS
        ):
            raise request_types.RefusedError(
                result_codes.ResultCode.RATE_EXCEEDED, retry_after_s=wait_s
            )

    async def _wait_for_tokens(
        self, bucket: ids.BucketId, waiter: _TokenWaiter, remaining_s: float
    ) -> None:
        max_wait_s = max(
            _MIN_TOKEN_TIMEOUT_S, remaining_s * _TOKEN_TIMEOUT_SHARE
        )
        try:
            async with asyncio.timeout(min(max_wait_s, remaining_s)):
                retry_after_s = await waiter.future
        except TimeoutError as error:
            raise request_types.RefusedError(
                result_codes.ResultCode.RATE_UNAVAILABLE,
                retry_after_s=self._timing.lease_s,
            ) from error
        finally:
            self._remove_waiter(bucket, waiter)
        if retry_after_s > 0:
            raise request_types.RefusedError(
                result_codes.ResultCode.RATE_EXCEEDED,
                retry_after_s=retry_after_s,
            )

    def _remove_waiter(
        self, bucket: ids.BucketId, waiter: _TokenWaiter
    ) -> None:
        waiters = self._waiters_by_bucket.get(bucket)
        if waiters is None:
            return
        with contextlib.suppress(ValueError):
            waiters.remove(waiter)
        if not waiters:
            del self._waiters_by_bucket[bucket]

    async def run(self) -> None:
        """Report to the coordinator until cancelled."""
        while True:
            self._report_requested.clear()
            await self._report_once()
            await asyncio.sleep(_MIN_REPORT_GAP_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._report_interval_s()):
                    await self._report_requested.wait()

    def _report_interval_s(self) -> float:
        """Seconds until the next report, longer while the instance is idle."""
        is_busy = (
            self._load_by_route
            or self._waiters_by_bucket
            or self.local_tokens.buckets_in_demand()
            or self.forwarded_share_by_route
            or self.local_slots.has_slots_in_use()
        )
        if is_busy:
            return _REPORT_INTERVAL_S
        return self._timing.slots_valid_s / _IDLE_REPORTS_PER_VALIDITY

    async def _report_once(self) -> None:
        coordinator = self._membership.followed_coordinator()
        if coordinator is None:
            return
        demand = self._make_demand(coordinator.instance)
        sent_at = self._clock.now()
        answer = await self._send_demand(coordinator.instance, demand)
        if isinstance(answer, pm.Grants):
            self._apply_grants(coordinator.instance, answer, sent_at)

    async def _send_demand(
        self, coordinator: ids.InstanceId, demand: pm.ResourceDemand
    ) -> pm.Message | None:
        if coordinator == self._membership.own_member.instance:
            return self._own_coordinator.answer_demand(
                coordinator, self._network.incarnation, demand
            )
        try:
            return await self._network.call_peer(
                coordinator, demand, _CALL_TIMEOUT_S
            )
        except errors.PeerError:
            return None

    def _make_demand(self, coordinator: ids.InstanceId) -> pm.ResourceDemand:
        incarnation = self._network.incarnation_of(coordinator)
        coordinator_process = (coordinator, incarnation)
        if self._applied_coordinator != coordinator_process:
            self._applied_grant_number = 0
        loads = {
            route: pm.RouteLoad(*counts)
            for route, counts in self._load_by_route.items()
        }
        self._load_by_route.clear()
        self.local_tokens.decay_demand()
        return pm.ResourceDemand(
            applied_grant_number=self._applied_grant_number,
            slots=pm.SlotReport(
                self.local_slots.report_states(),
                self.slot_scheduler.wanted_slots_by_service(),
                self.slot_scheduler.release_slots_of_unusable_targets(),
                self.slot_scheduler.slot_use_by_service(),
            ),
            credits=pm.SlotReport(
                self.local_credits.report_states(), self.pop_wanted_credits()
            ),
            token_report_by_bucket=self._token_reports(),
            load_by_route=loads,
        )

    def _token_reports(self) -> dict[ids.BucketId, pm.TokenReport]:
        held = self.local_tokens.granted_tokens()
        reports: dict[ids.BucketId, pm.TokenReport] = {}
        buckets = {
            *held,
            *self._waiters_by_bucket,
            *self.local_tokens.buckets_in_demand(),
        }
        for bucket in sorted(buckets):
            waiters = self._waiters_by_bucket.get(bucket, ())
            demand_per_s = self.local_tokens.demand_per_s(bucket)
            reports[bucket] = pm.TokenReport(
                held=held.get(bucket, 0.0),
                urgent=math.ceil(sum(w.amount for w in waiters)),
                target=math.ceil(demand_per_s * _PREFETCH_S),
                lent=self.local_tokens.lent_tokens(bucket),
                demand_per_s=demand_per_s,
            )
        return reports

    def _apply_grants(
        self, coordinator: ids.InstanceId, answer: pm.Grants, sent_at: float
    ) -> None:
        self._applied_grant_number = answer.grant_number
        self._applied_coordinator = (
            coordinator,
            self._network.incarnation_of(coordinator),
        )
        self.local_slots.apply_grant(
            answer.slots.limit_by_target, sent_at + answer.slots.valid_s
        )
        self.local_credits.apply_grant(
            answer.credits.limit_by_target, sent_at + answer.credits.valid_s
        )
        self.forwarded_share_by_route = answer.forwarded_share_by_route
        self._apply_tokens(answer, sent_at)
        self.slot_scheduler.serve_waiting_requests()

    def _apply_tokens(self, answer: pm.Grants, sent_at: float) -> None:
        now = self._clock.now()
        expires_at = sent_at + answer.tokens_valid_s
        buckets = {
            *self.local_tokens.granted_tokens(),
            *answer.token_grant_by_bucket,
            *self._waiters_by_bucket,
        }
        for bucket in sorted(buckets):
            grant = answer.token_grant_by_bucket.get(bucket, pm.TokenGrant())
            self.local_tokens.add_granted(bucket, grant.granted, expires_at)
            if grant.lent:
                self.local_tokens.add_lent(
                    bucket, grant.lent, now + grant.lent_valid_s
                )
            if grant.retry_after_s > 0:
                self._denied_until_by_bucket[bucket] = (
                    now + grant.retry_after_s
                )
            self._serve_waiters(bucket, grant.retry_after_s, sent_at)

    def _serve_waiters(
        self, bucket: ids.BucketId, retry_after_s: float, sent_at: float
    ) -> None:
        """Give tokens to waiting requests in order, or refuse them.

        Requests are refused if the coordinator denied tokens, except for
        a few if tokens are due soon, and if no domain lent in time.
        """
        is_short = 0 < retry_after_s <= _MAX_QUEUED_RETRY_S
        if is_short:
            loop = asyncio.get_running_loop()
            loop.call_later(retry_after_s, self.request_report)
        queued_count = 0
        for waiter in list(self._waiters_by_bucket.get(bucket, ())):
            if waiter.future.done():
                continue
            if self.local_tokens.acquire(bucket, waiter.amount):
                waiter.future.set_result(0.0)
            elif sent_at - waiter.since > _MAX_BORROW_WAIT_S:
                waiter.future.set_result(_MAX_BORROW_WAIT_S)
            elif is_short and queued_count < _MAX_QUEUED_WAITERS:
                queued_count += 1
            elif retry_after_s > 0:
                waiter.future.set_result(retry_after_s)
            else:
                return
