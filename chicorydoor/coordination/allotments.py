"""An instance's side of the grants: it reports, asks, and spends.

One task reports to the coordinator, at every heartbeat and at once when a
request waits for a token or a slot. Only one report is under way at a time.
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
from chicorydoor.coordination import requests
from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.protocol import result_codes
from chicorydoor.protocol import settings as settings_module
from chicorydoor.state import slot_purse
from chicorydoor.state import token_purse
from chicorydoor.transport import clock as clock_module

_LEAST_GAP_S = 0.004
_REPORT_S = 0.25
_REPORTS_AT_REST = 4
_CALL_TIMEOUT_S = 0.5
_PREFETCH_S = 0.25
_LENT_WAIT_S = 1.0
_SHORT_WAIT_S = 0.3
_MOST_WAITING = 8
_TOKEN_WAIT_S = 1.0
_TOKEN_WAIT_PART = 0.6


class SlotUser(typing.Protocol):
    """What spends an instance's slots."""

    def slot_wants(self) -> dict[ids.ServiceId, int]:
        """Further slots wanted."""

    def avoided_targets(self) -> list[ids.TargetId]:
        """Targets whose slots would not be used."""

    def slot_use(self) -> dict[ids.ServiceId, pm.ServiceUse]:
        """Mean use of the slots."""

    def give_back_idle(self, services: abc.Iterable[ids.ServiceId]) -> None:
        """Lower the limits of idle slots."""

    def serve_waiting(self) -> None:
        """Slots may have come free."""


class _NoSlotUser:
    """Until the composition names one."""

    def slot_wants(self) -> dict[ids.ServiceId, int]:
        return {}

    def avoided_targets(self) -> list[ids.TargetId]:
        return []

    def slot_use(self) -> dict[ids.ServiceId, pm.ServiceUse]:
        return {}

    def give_back_idle(self, services: abc.Iterable[ids.ServiceId]) -> None:
        return None

    def serve_waiting(self) -> None:
        return None


class _Waiter:
    """A request that waits for tokens."""

    def __init__(self, amount: float, since: float) -> None:
        self.amount = amount
        self.since = since
        self.future: asyncio.Future[float] = (
            asyncio.get_running_loop().create_future()
        )


class Allotments:
    """Tokens, slots and credits of one instance.

    Args:
        coordinator (Coordinator): The own entry's, asked directly while
            this entry is in office.
        membership (Membership): Names the coordinator.
        network (PeerNetwork): Carries the reports.
        timing (Timing): Intervals.
        clock (Clock): Time.
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
        self._coordinator = coordinator
        self._membership = membership
        self._network = network
        self._timing = timing
        self._clock = clock
        self.tokens = token_purse.TokenPurse(clock)
        self.slots = slot_purse.SlotPurse(clock)
        self.credits = slot_purse.SlotPurse(clock)
        self.away_share_by_route: dict[ids.RouteId, float] = {}
        self.slot_user: SlotUser = _NoSlotUser()
        self.credit_wants: abc.Callable[[], dict[ids.ServiceId, int]] = dict
        self._load_by_route: dict[ids.RouteId, list[int]] = {}
        self._waiters_by_bucket: dict[
            ids.BucketId, collections.deque[_Waiter]
        ] = {}
        self._denied_until: dict[ids.BucketId, float] = {}
        self._acks = 0
        self._acked_from: tuple[ids.InstanceId, int] | None = None
        self._wake = asyncio.Event()
        network.on(pm.Recall, lambda _, recall: self.recall(recall.services))
        coordinator.on_recall = self.recall

    def wake(self) -> None:
        """Report soon."""
        self._wake.set()

    def recall(self, services: list[ids.ServiceId]) -> None:
        """The coordinator wants a report and idle slots back."""
        self.slot_user.give_back_idle(services)
        self.wake()

    def note_arrival(self, route: ids.RouteId, is_delayed: bool) -> None:
        """Count a request, and whether it must expect a long wait."""
        counts = self._load_by_route.setdefault(route, [0, 0, 0])
        counts[0] += 1
        counts[1] += is_delayed

    def note_forwarded(self, route: ids.RouteId) -> None:
        """Count a request that is sent to another failure domain."""
        self._load_by_route.setdefault(route, [0, 0, 0])[2] += 1

    async def take_tokens(
        self, bucket: ids.BucketId, amount: float, remaining_s: float
    ) -> None:
        """Take tokens out of a bucket, waiting for a grant if needed.

        Args:
            bucket (str): The bucket.
            amount (float): Tokens.
            remaining_s (float): Time left for the request; only a part of
                it is spent here.

        Raises:
            RefusedError: If there are none.
        """
        self.tokens.note_demand(bucket, amount)
        if bucket not in self._waiters_by_bucket:
            if self.tokens.spend(bucket, amount):
                return
        self._refuse_if_denied(bucket)
        waiter = _Waiter(amount, self._clock.now())
        waiters = self._waiters_by_bucket.setdefault(
            bucket, collections.deque()
        )
        waiters.append(waiter)
        self.wake()
        await self._wait(bucket, waiter, remaining_s)

    def _refuse_if_denied(self, bucket: ids.BucketId) -> None:
        """Few wait for a token that is due soon; the others are refused."""
        wait_s = self._denied_until.get(bucket, 0.0) - self._clock.now()
        waiting = len(self._waiters_by_bucket.get(bucket, ()))
        if wait_s > _SHORT_WAIT_S or (wait_s > 0 and waiting >= _MOST_WAITING):
            raise requests.RefusedError(
                result_codes.ResultCode.RATE_EXCEEDED, retry_after_s=wait_s
            )

    async def _wait(
        self, bucket: ids.BucketId, waiter: _Waiter, remaining_s: float
    ) -> None:
        patience_s = max(_TOKEN_WAIT_S, remaining_s * _TOKEN_WAIT_PART)
        try:
            async with asyncio.timeout(min(patience_s, remaining_s)):
                retry_after_s = await waiter.future
        except TimeoutError as error:
            raise requests.RefusedError(
                result_codes.ResultCode.RATE_UNAVAILABLE,
                retry_after_s=self._timing.lease_s,
            ) from error
        finally:
            self._forget(bucket, waiter)
        if retry_after_s > 0:
            raise requests.RefusedError(
                result_codes.ResultCode.RATE_EXCEEDED,
                retry_after_s=retry_after_s,
            )

    def _forget(self, bucket: ids.BucketId, waiter: _Waiter) -> None:
        waiters = self._waiters_by_bucket.get(bucket)
        if waiters is None:
            return
        with contextlib.suppress(ValueError):
            waiters.remove(waiter)
        if not waiters:
            del self._waiters_by_bucket[bucket]

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            self._wake.clear()
            await self._report()
            await asyncio.sleep(_LEAST_GAP_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._pause_s()):
                    await self._wake.wait()

    def _pause_s(self) -> float:
        """Reports are rare while there is nothing to renew or to tell."""
        is_busy = (
            self._load_by_route
            or self._waiters_by_bucket
            or self.tokens.active()
            or self.away_share_by_route
            or self.slots.is_in_use()
        )
        if is_busy:
            return _REPORT_S
        return self._timing.slots_valid_s / _REPORTS_AT_REST

    async def _report(self) -> None:
        coordinator = self._membership.coordinator()
        if coordinator is None:
            return
        demand = self._demand(coordinator.instance)
        sent_at = self._clock.now()
        answer = await self._ask(coordinator.instance, demand)
        if isinstance(answer, pm.Allotment):
            self._apply(coordinator.instance, answer, sent_at)

    async def _ask(
        self, coordinator: ids.InstanceId, demand: pm.Demand
    ) -> pm.Message | None:
        if coordinator == self._membership.me.instance:
            return self._coordinator.answer_demand(
                coordinator, self._network.incarnation, demand
            )
        try:
            return await self._network.call(
                coordinator, demand, _CALL_TIMEOUT_S
            )
        except errors.PeerError:
            return None

    def _demand(self, coordinator: ids.InstanceId) -> pm.Demand:
        incarnation = self._network.incarnation_of(coordinator)
        term = (coordinator, incarnation)
        if self._acked_from != term:
            self._acks = 0
        loads = {
            route: pm.RouteLoad(*counts)
            for route, counts in self._load_by_route.items()
        }
        self._load_by_route.clear()
        self.tokens.decay()
        return pm.Demand(
            acks=self._acks,
            slots=pm.SlotReport(
                self.slots.state(),
                self.slot_user.slot_wants(),
                self.slot_user.avoided_targets(),
                self.slot_user.slot_use(),
            ),
            credits=pm.SlotReport(self.credits.state(), self.credit_wants()),
            token_by_bucket=self._token_reports(),
            load_by_route=loads,
        )

    def _token_reports(self) -> dict[ids.BucketId, pm.TokenReport]:
        held = self.tokens.held()
        reports: dict[ids.BucketId, pm.TokenReport] = {}
        buckets = {
            *held,
            *self._waiters_by_bucket,
            *self.tokens.active(),
        }
        for bucket in sorted(buckets):
            waiters = self._waiters_by_bucket.get(bucket, ())
            demand_per_s = self.tokens.demand_per_s(bucket)
            reports[bucket] = pm.TokenReport(
                held=held.get(bucket, 0.0),
                urgent=math.ceil(sum(w.amount for w in waiters)),
                target=math.ceil(demand_per_s * _PREFETCH_S),
                lent=self.tokens.lent(bucket),
                demand_per_s=demand_per_s,
            )
        return reports

    def _apply(
        self, coordinator: ids.InstanceId, answer: pm.Allotment, sent_at: float
    ) -> None:
        self._acks = answer.number
        self._acked_from = (
            coordinator,
            self._network.incarnation_of(coordinator),
        )
        self.slots.apply(
            answer.slots.limit_by_target, sent_at + answer.slots.valid_s
        )
        self.credits.apply(
            answer.credits.limit_by_target, sent_at + answer.credits.valid_s
        )
        self.away_share_by_route = answer.away_share_by_route
        self._apply_tokens(answer, sent_at)
        self.slot_user.serve_waiting()

    def _apply_tokens(self, answer: pm.Allotment, sent_at: float) -> None:
        now = self._clock.now()
        expires_at = sent_at + answer.tokens_valid_s
        buckets = {
            *self.tokens.held(),
            *answer.token_by_bucket,
            *self._waiters_by_bucket,
        }
        for bucket in sorted(buckets):
            grant = answer.token_by_bucket.get(bucket, pm.TokenGrant())
            self.tokens.add(bucket, grant.granted, expires_at)
            if grant.lent:
                self.tokens.add_lent(
                    bucket, grant.lent, now + grant.lent_valid_s
                )
            if grant.retry_after_s > 0:
                self._denied_until[bucket] = now + grant.retry_after_s
            self._serve(bucket, grant.retry_after_s, sent_at)

    def _serve(
        self, bucket: ids.BucketId, retry_after_s: float, sent_at: float
    ) -> None:
        """Give tokens to those that wait; refuse them if denied.

        A request that other domains could not help in time is refused
        too.
        """
        is_short = 0 < retry_after_s <= _SHORT_WAIT_S
        if is_short:
            loop = asyncio.get_running_loop()
            loop.call_later(retry_after_s, self.wake)
        kept = 0
        for waiter in list(self._waiters_by_bucket.get(bucket, ())):
            if waiter.future.done():
                continue
            if self.tokens.spend(bucket, waiter.amount):
                waiter.future.set_result(0.0)
            elif sent_at - waiter.since > _LENT_WAIT_S:
                waiter.future.set_result(_LENT_WAIT_S)
            elif is_short and kept < _MOST_WAITING:
                kept += 1
            elif retry_after_s > 0:
                waiter.future.set_result(retry_after_s)
            else:
                return
