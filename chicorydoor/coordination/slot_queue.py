"""Assigns each request a concurrency slot on a target.

A request acquires a free slot at once, or waits in a queue that serves the
customers in weighted fair order. A request that could not finish before its
deadline is refused early, so that the queue holds only requests that can
still succeed.
"""

import asyncio
from collections import abc
import math
import random

from chicorydoor.coordination import local_grants
from chicorydoor.coordination import request_types
from chicorydoor.policies import target_choice
from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.protocol import result_codes
from chicorydoor.state import domain_target_table
from chicorydoor.state import fair_queue
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

_HOLD_TIME_SMOOTHING = 0.1
_INITIAL_HOLD_S = 0.02
_OVERLOAD_WAIT_IN_HOLD_TIMES = 2.0
_MEAN_USE_TIME_CONSTANT_S = 0.5
_MIN_SPARE_SLOTS = 2
_SPARE_SHARE_OF_PEAK = 0.25
_PEAK_WINDOW_S = 1.0
_MIN_RETRY_AFTER_S = 0.1


class _WaitingRequest:
    """A queued request and the future that resolves to its target."""

    def __init__(self, failed_targets: frozenset[ids.TargetId]) -> None:
        self.failed_targets = failed_targets
        self.granted_target: asyncio.Future[
            domain_target_table.TargetState
        ] = asyncio.get_running_loop().create_future()


class _ServiceState:
    """Queue and slot usage of one service.

    ``hold_s`` is the smoothed time, in seconds, that a request holds a slot;
    ``peak`` is the maximum of ``in_use`` since ``peak_at``; a change of
    ``in_use`` resets it if it is older than a second.
    """

    def __init__(self) -> None:
        self.queue: fair_queue.FairQueue[_WaitingRequest] = (
            fair_queue.FairQueue()
        )
        self.hold_s = _INITIAL_HOLD_S
        self.in_use = 0
        self.peak = 0
        self.peak_at = float("-inf")
        self._mean_use = 0.0
        self._mean_updated_at = 0.0

    def update_mean_use(self, now: float) -> float:
        """Update and return the mean number of slots in use.

        The mean is exponential with a time constant of half a second.
        """
        elapsed_s = now - self._mean_updated_at
        self._mean_updated_at = now
        weight = 1.0 - math.exp(-elapsed_s / _MEAN_USE_TIME_CONSTANT_S)
        self._mean_use += weight * (self.in_use - self._mean_use)
        return self._mean_use


class SlotQueue:
    """Request queues and slot usage of one instance.

    Args:
        grants (LocalGrants): Holds the local slots.
        targets (DomainTargetTable): State and health of the targets.
        clock (Clock): Time source.
        rng (Random): Random source for the choice of targets.
        max_waiting (int): Maximum of waiting requests over all services.
    """

    def __init__(
        self,
        *,
        grants: local_grants.LocalGrants,
        targets: domain_target_table.DomainTargetTable,
        clock: clock_module.Clock,
        rng: random.Random,
        max_waiting: int,
    ) -> None:
        self._grants = grants
        self._targets = targets
        self._clock = clock
        self._rng = rng
        self._max_waiting = max_waiting
        self._service_by_id: dict[ids.ServiceId, _ServiceState] = {}
        self.choice_policy_name = "least-loaded"
        grants.slot_scheduler = self

    def _service_state(self, service_id: ids.ServiceId) -> _ServiceState:
        service = self._service_by_id.get(service_id)
        if service is None:
            service = _ServiceState()
            self._service_by_id[service_id] = service
        return service

    def waiting_count(self) -> int:
        """Return the number of requests in all queues."""
        return sum(len(s.queue) for s in self._service_by_id.values())

    def is_overloaded(self, request: request_types.Request) -> bool:
        """Return whether the service's queue shows a lack of capacity.

        Random arrivals form short queues even below capacity. A wait of more
        than twice the hold time of a request, that is a queue longer than
        twice the slots held, means that there is too little capacity.
        """
        service = self._service_state(request.route.service)
        if not len(service.queue):
            return False
        slots_held = self._slots_held(request.route.service)
        wait_s = len(service.queue) * service.hold_s / max(1, slots_held)
        return wait_s > _OVERLOAD_WAIT_IN_HOLD_TIMES * service.hold_s

    def _candidates(
        self,
        service_id: ids.ServiceId,
        failed_targets: frozenset[ids.TargetId],
    ) -> list[domain_target_table.TargetState]:
        now = self._clock.now()
        slots = self._grants.local_slots
        return [
            state
            for state in self._targets.usable_targets(service_id)
            if slots.free_slots(state.target_id) > 0
            and state.target_id not in failed_targets
            and state.requests_in_flight
            < state.slow_start_limit(slots.limit(state.target_id), now)
        ]

    def _try_acquire(
        self,
        service_id: ids.ServiceId,
        failed_targets: frozenset[ids.TargetId],
    ) -> domain_target_table.TargetState | None:
        candidates = self._candidates(service_id, failed_targets)
        return self._acquire_from(candidates) if candidates else None

    def _acquire_from(
        self, candidates: list[domain_target_table.TargetState]
    ) -> domain_target_table.TargetState:
        """Acquire a slot on one of the candidates."""
        choose = target_choice.TARGET_CHOICE_POLICIES.get(
            self.choice_policy_name
        )
        state = choose(candidates, self._rng)
        self._grants.local_slots.acquire(state.target_id)
        state.requests_in_flight += 1
        self._record_use_change(self._service_state(state.record.service), 1)
        return state

    def _record_use_change(self, service: _ServiceState, change: int) -> None:
        now = self._clock.now()
        service.update_mean_use(now)
        service.in_use += change
        if service.in_use >= service.peak or (
            now - service.peak_at > _PEAK_WINDOW_S
        ):
            service.peak = service.in_use
            service.peak_at = now

    async def acquire(
        self,
        request: request_types.Request,
        weight: float,
        queue_limit: int,
        failed_targets: frozenset[ids.TargetId] = frozenset(),
    ) -> domain_target_table.TargetState:
        """Acquire a slot, waiting for one if needed.

        Args:
            request (Request): The request; its deadline bounds the wait.
            weight (float): The customer's weight in the fair queue.
            queue_limit (int): Maximum of waiting requests of the customer.
            failed_targets (frozenset): Targets on which the request failed.
                A queued request gets one of them only if no other target
                has a free slot. Defaults to none.

        Returns:
            The target's state; pass it to ``release`` after use.

        Raises:
            RefusedError: If no slot becomes free in time.
        """
        service_id = request.route.service
        service = self._service_state(service_id)
        if not len(service.queue):
            state = self._try_acquire(service_id, failed_targets)
            if state is not None:
                return state
        self._check_queue_admission(request, service, weight, queue_limit)
        waiter = _WaitingRequest(failed_targets)
        queue_ticket = service.queue.push(request.customer, weight, waiter)
        metrics.QUEUE_LENGTH.labels(service_id).set(len(service.queue))
        self._grants.request_report()
        try:
            remaining_s = request.deadline_at - self._clock.now()
            async with asyncio.timeout(remaining_s - service.hold_s):
                return await waiter.granted_target
        except TimeoutError as error:
            self._release_if_granted(waiter)
            raise self._capacity_refusal(service) from error
        except asyncio.CancelledError:
            self._release_if_granted(waiter)
            raise
        finally:
            service.queue.remove(queue_ticket)

    def _release_if_granted(self, waiter: _WaitingRequest) -> None:
        """Release a slot that was granted while its request was ending."""
        if (
            waiter.granted_target.done()
            and not waiter.granted_target.cancelled()
        ):
            self.release(waiter.granted_target.result(), 0.0)

    def _check_queue_admission(
        self,
        request: request_types.Request,
        service: _ServiceState,
        weight: float,
        queue_limit: int,
    ) -> None:
        codes = result_codes.ResultCode
        if not self._targets.usable_targets(request.route.service):
            raise request_types.RefusedError(codes.NO_TARGET)
        is_full = service.queue.count_waiting(request.customer) >= queue_limit
        if is_full or self.waiting_count() >= self._max_waiting:
            raise self._capacity_refusal(service, codes.QUEUE_FULL)
        remaining_s = request.deadline_at - self._clock.now()
        wait_s = self.expected_wait_s(request, weight)
        if wait_s + service.hold_s > remaining_s:
            raise self._capacity_refusal(service, codes.NO_CAPACITY)

    def expected_wait_s(
        self, request: request_types.Request, weight: float
    ) -> float:
        """Return the expected queueing time in seconds of a new request.

        It is 0 while no slots are held, or while the grants have expired, so
        that the request is not refused but waits for a grant.
        """
        service = self._service_state(request.route.service)
        slots_held = self._slots_held(request.route.service)
        requests_ahead = service.queue.count_ahead(request.customer, weight)
        if slots_held == 0 or not self._grants.local_slots.is_valid():
            return 0.0
        return (requests_ahead + 1) * service.hold_s / slots_held

    def _slots_held(self, service_id: ids.ServiceId) -> int:
        slots = self._grants.local_slots
        return sum(
            slots.limit(state.target_id)
            for state in self._targets.usable_targets(service_id)
        )

    def _capacity_refusal(
        self,
        service: _ServiceState,
        code: result_codes.ResultCode = result_codes.ResultCode.NO_CAPACITY,
    ) -> request_types.RefusedError:
        return request_types.RefusedError(
            code,
            # Four mean hold times of a slot.
            retry_after_s=max(_MIN_RETRY_AFTER_S, 4 * service.hold_s),
        )

    def release(
        self, state: domain_target_table.TargetState, held_s: float
    ) -> None:
        """Release a slot and grant it to a waiting request.

        Args:
            state (TargetState): The state that ``acquire`` returned.
            held_s (float): How long the slot was used in seconds, 0 if it
                was not used.
        """
        service_id = state.record.service
        service = self._service_state(service_id)
        state.requests_in_flight -= 1
        self._grants.local_slots.release(state.target_id)
        self._record_use_change(service, -1)
        if held_s > 0:
            service.hold_s += _HOLD_TIME_SMOOTHING * (held_s - service.hold_s)
        self._grant_to_waiting(service_id)

    def serve_waiting_requests(self) -> None:
        """Grant slots that may have become free to waiting requests."""
        for service_id in list(self._service_by_id):
            self._grant_to_waiting(service_id)

    def _grant_to_waiting(self, service_id: ids.ServiceId) -> None:
        """Grant free slots to the waiting requests of a service."""
        queue = self._service_state(service_id).queue
        while len(queue):
            candidates = self._candidates(service_id, frozenset())
            if not candidates:
                break
            waiter = queue.pop()
            if waiter is None or waiter.granted_target.done():
                continue
            untried = [
                state
                for state in candidates
                if state.target_id not in waiter.failed_targets
            ]
            waiter.granted_target.set_result(
                self._acquire_from(untried or candidates)
            )
        metrics.QUEUE_LENGTH.labels(service_id).set(len(queue))

    def wanted_slots_by_service(self) -> dict[ids.ServiceId, int]:
        """Return the further slots to request from the coordinator.

        These are one per waiting request, plus the spare slots, less the
        idle ones.
        """
        wanted_by_service: dict[ids.ServiceId, int] = {}
        for service_id, service in self._service_by_id.items():
            idle = self._idle_slots(service_id)
            wanted = (
                len(service.queue) + self._spare_slots_wanted(service) - idle
            )
            if wanted > 0:
                wanted_by_service[service_id] = wanted
        return wanted_by_service

    def _spare_slots_wanted(self, service: _ServiceState) -> int:
        return max(
            _MIN_SPARE_SLOTS, math.ceil(service.peak * _SPARE_SHARE_OF_PEAK)
        )

    def _idle_slots(self, service_id: ids.ServiceId) -> int:
        slots = self._grants.local_slots
        return sum(
            slots.free_slots(state.target_id)
            for state in self._targets.usable_targets(service_id)
        )

    def slot_use_by_service(self) -> dict[ids.ServiceId, pm.ServiceUse]:
        """Return the mean slot usage and hold time of each service."""
        now = self._clock.now()
        return {
            service_id: pm.ServiceUse(
                service.update_mean_use(now), service.hold_s
            )
            for service_id, service in self._service_by_id.items()
        }

    def release_slots_of_unusable_targets(self) -> list[ids.TargetId]:
        """Lower the limits of unusable targets to their slots in use.

        The next report releases their free slots to the coordinator.

        Returns:
            The ids of the unusable targets.
        """
        slots = self._grants.local_slots
        unusable: list[ids.TargetId] = []
        for state in self._targets.target_by_id.values():
            if not self._targets.is_usable(state):
                slots.lower_limit(
                    state.target_id, slots.free_slots(state.target_id)
                )
                unusable.append(state.target_id)
        return unusable

    def release_idle_slots(
        self, services: abc.Iterable[ids.ServiceId]
    ) -> None:
        """Lower limits by idle slots, which the next report releases.

        One idle slot is kept, and those that the recent peak of this
        instance needed.
        """
        slots = self._grants.local_slots
        for service_id in services:
            service = self._service_state(service_id)
            surplus = self._idle_slots(service_id) - 1
            is_peak_recent = (
                self._clock.now() - service.peak_at < _PEAK_WINDOW_S
            )
            if is_peak_recent:
                surplus -= max(0, service.peak - service.in_use)
            for state in self._targets.service_targets(service_id):
                free = min(slots.free_slots(state.target_id), max(0, surplus))
                slots.lower_limit(state.target_id, free)
                surplus -= free
