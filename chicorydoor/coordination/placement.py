"""Finds a slot on a target for each request.

A request takes a free slot at once, or waits in a queue that serves the
customers in weighted fair order. One that could not finish before its
deadline is refused early, so that the queue holds only work worth doing.
"""

import asyncio
from collections import abc
import math
import random

from chicorydoor.coordination import allotments as allotments_module
from chicorydoor.coordination import requests
from chicorydoor.policies import target_choice
from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.protocol import result_codes
from chicorydoor.state import fair_queue
from chicorydoor.state import target_table
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

_HOLD_WEIGHT = 0.1
_FIRST_HOLD_S = 0.02
_LONG_WAIT_HOLDS = 2.0
_MEAN_TIME_CONSTANT_S = 0.5
_IDLE_KEPT = 2
_IDLE_PART = 0.25
_IDLE_AFTER_S = 1.0
_LEAST_RETRY_AFTER_S = 0.1


class _Waiter:
    """A request that waits for a slot."""

    def __init__(self, exclude: frozenset[ids.TargetId]) -> None:
        self.exclude = exclude
        self.future: asyncio.Future[target_table.TargetState] = (
            asyncio.get_running_loop().create_future()
        )


class _Service:
    """Queue and use of one service's slots."""

    def __init__(self) -> None:
        self.queue: fair_queue.FairQueue[_Waiter] = fair_queue.FairQueue()
        self.hold_s = _FIRST_HOLD_S
        self.in_use = 0
        self.peak = 0
        self.peak_at = float("-inf")
        self._mean = 0.0
        self._mean_at = 0.0

    def mean_use(self, now: float) -> float:
        """Mean of the slots in use, over about half a second."""
        elapsed = now - self._mean_at
        self._mean_at = now
        weight = 1.0 - math.exp(-elapsed / _MEAN_TIME_CONSTANT_S)
        self._mean += weight * (self.in_use - self._mean)
        return self._mean


class Placement:
    """Queues and slots of one instance.

    Args:
        allotments (Allotments): Holds the slots.
        targets (TargetTable): What is known of the targets.
        clock (Clock): Time.
        rng (Random): For the choice of targets.
        waiting_limit (int): Most waiting requests.
    """

    def __init__(
        self,
        *,
        allotments: allotments_module.Allotments,
        targets: target_table.TargetTable,
        clock: clock_module.Clock,
        rng: random.Random,
        waiting_limit: int,
    ) -> None:
        self._allotments = allotments
        self._targets = targets
        self._clock = clock
        self._rng = rng
        self._waiting_limit = waiting_limit
        self._service_by_id: dict[ids.ServiceId, _Service] = {}
        self.choice_name = "least-loaded"
        allotments.slot_user = self

    def _service(self, service_id: ids.ServiceId) -> _Service:
        service = self._service_by_id.get(service_id)
        if service is None:
            service = _Service()
            self._service_by_id[service_id] = service
        return service

    def waiting(self) -> int:
        """Requests in all queues."""
        return sum(len(s.queue) for s in self._service_by_id.values())

    def is_wait_long(self, request: requests.Request) -> bool:
        """Whether the queue is longer than chance makes it.

        A short queue forms now and then below the capacity; one that takes
        several times as long as a request means too little capacity.
        """
        service = self._service(request.route.service)
        if not len(service.queue):
            return False
        held = self._held(request.route.service)
        wait_s = len(service.queue) * service.hold_s / max(1, held)
        return wait_s > _LONG_WAIT_HOLDS * service.hold_s

    def _candidates(
        self, service_id: ids.ServiceId, exclude: frozenset[ids.TargetId]
    ) -> list[target_table.TargetState]:
        now = self._clock.now()
        slots = self._allotments.slots
        return [
            state
            for state in self._targets.usable(service_id)
            if slots.free(state.target_id) > 0
            and state.target_id not in exclude
            and state.in_use
            < state.allowance(slots.limit(state.target_id), now)
        ]

    def _try(
        self, service_id: ids.ServiceId, exclude: frozenset[ids.TargetId]
    ) -> target_table.TargetState | None:
        candidates = self._candidates(service_id, exclude)
        return self._take(candidates) if candidates else None

    def _take(
        self, candidates: list[target_table.TargetState]
    ) -> target_table.TargetState:
        """Take a slot on one of the candidates."""
        choose = target_choice.CHOICES.get(self.choice_name)
        state = choose(candidates, self._rng)
        self._allotments.slots.take(state.target_id)
        state.in_use += 1
        self._note_use(self._service(state.record.service), 1)
        return state

    def _note_use(self, service: _Service, change: int) -> None:
        now = self._clock.now()
        service.mean_use(now)
        service.in_use += change
        if service.in_use >= service.peak or (
            now - service.peak_at > _IDLE_AFTER_S
        ):
            service.peak = service.in_use
            service.peak_at = now

    async def acquire(
        self,
        request: requests.Request,
        weight: float,
        queue_limit: int,
        exclude: frozenset[ids.TargetId] = frozenset(),
    ) -> target_table.TargetState:
        """Take a slot, waiting for one if needed.

        Args:
            request (Request): Whose deadline bounds the wait.
            weight (float): The customer's.
            queue_limit (int): Most waiting requests of the customer.
            exclude (frozenset): Targets that failed it. Defaults to none.

        Returns:
            The target; ``release`` must follow.

        Raises:
            RefusedError: If no slot comes free in time.
        """
        service_id = request.route.service
        service = self._service(service_id)
        if not len(service.queue):
            state = self._try(service_id, exclude)
            if state is not None:
                return state
        self._check_room(request, service, weight, queue_limit)
        waiter = _Waiter(exclude)
        ticket = service.queue.push(request.customer, weight, waiter)
        metrics.QUEUE_LENGTH.labels(service_id).set(len(service.queue))
        self._allotments.wake()
        try:
            remaining_s = request.deadline - self._clock.now()
            async with asyncio.timeout(remaining_s - service.hold_s):
                return await waiter.future
        except TimeoutError as error:
            self._return_late(waiter)
            raise self._refusal(service) from error
        except asyncio.CancelledError:
            self._return_late(waiter)
            raise
        finally:
            service.queue.remove(ticket)

    def _return_late(self, waiter: _Waiter) -> None:
        """A request that ends may just have been given a slot."""
        if waiter.future.done() and not waiter.future.cancelled():
            self.release(waiter.future.result(), 0.0)

    def _check_room(
        self,
        request: requests.Request,
        service: _Service,
        weight: float,
        queue_limit: int,
    ) -> None:
        codes = result_codes.ResultCode
        if not self._targets.usable(request.route.service):
            raise requests.RefusedError(codes.NO_TARGET)
        is_full = service.queue.waiting(request.customer) >= queue_limit
        if is_full or self.waiting() >= self._waiting_limit:
            raise self._refusal(service, codes.QUEUE_FULL)
        remaining_s = request.deadline - self._clock.now()
        wait_s = self.expected_wait_s(request, weight)
        if wait_s + service.hold_s > remaining_s:
            raise self._refusal(service, codes.NO_CAPACITY)

    def expected_wait_s(
        self, request: requests.Request, weight: float
    ) -> float:
        """Time until a new request of a customer would get a slot."""
        service = self._service(request.route.service)
        held = self._held(request.route.service)
        ahead = service.queue.ahead(request.customer, weight)
        if held == 0 or not self._allotments.slots.is_valid():
            return 0.0
        return (ahead + 1) * service.hold_s / held

    def _held(self, service_id: ids.ServiceId) -> int:
        slots = self._allotments.slots
        return sum(
            slots.limit(state.target_id)
            for state in self._targets.usable(service_id)
        )

    def _refusal(
        self,
        service: _Service,
        code: result_codes.ResultCode = result_codes.ResultCode.NO_CAPACITY,
    ) -> requests.RefusedError:
        return requests.RefusedError(
            code,
            retry_after_s=max(_LEAST_RETRY_AFTER_S, 4 * service.hold_s),
        )

    def release(self, state: target_table.TargetState, held_s: float) -> None:
        """End the use of a slot.

        Args:
            state (TargetState): What ``acquire`` returned.
            held_s (float): How long it was used, 0 if it was not.
        """
        service_id = state.record.service
        service = self._service(service_id)
        state.in_use -= 1
        self._allotments.slots.put_back(state.target_id)
        self._note_use(service, -1)
        if held_s > 0:
            service.hold_s += _HOLD_WEIGHT * (held_s - service.hold_s)
        self._serve(service_id)

    def serve_waiting(self) -> None:
        """Slots may have come free."""
        for service_id in list(self._service_by_id):
            self._serve(service_id)

    def _serve(self, service_id: ids.ServiceId) -> None:
        """Give free slots to waiting requests."""
        queue = self._service(service_id).queue
        while len(queue):
            candidates = self._candidates(service_id, frozenset())
            if not candidates:
                break
            waiter = queue.pop()
            if waiter is None or waiter.future.done():
                continue
            untried = [
                state
                for state in candidates
                if state.target_id not in waiter.exclude
            ]
            waiter.future.set_result(self._take(untried or candidates))
        metrics.QUEUE_LENGTH.labels(service_id).set(len(queue))

    def slot_wants(self) -> dict[ids.ServiceId, int]:
        """Slots to ask for: those that requests wait for, and a reserve."""
        wants: dict[ids.ServiceId, int] = {}
        for service_id, service in self._service_by_id.items():
            idle = self._idle(service_id)
            wanted = len(service.queue) + self._reserve(service) - idle
            if wanted > 0:
                wants[service_id] = wanted
        return wants

    def _reserve(self, service: _Service) -> int:
        return max(_IDLE_KEPT, math.ceil(service.peak * _IDLE_PART))

    def _idle(self, service_id: ids.ServiceId) -> int:
        slots = self._allotments.slots
        return sum(
            slots.free(state.target_id)
            for state in self._targets.usable(service_id)
        )

    def slot_use(self) -> dict[ids.ServiceId, pm.ServiceUse]:
        """Mean use of the slots."""
        now = self._clock.now()
        return {
            service_id: pm.ServiceUse(service.mean_use(now), service.hold_s)
            for service_id, service in self._service_by_id.items()
        }

    def avoided_targets(self) -> list[ids.TargetId]:
        """Targets that get no work; their free slots are given back."""
        slots = self._allotments.slots
        avoided: list[ids.TargetId] = []
        for state in self._targets.target_by_id.values():
            if not self._targets.is_usable(state):
                slots.give_back(state.target_id, slots.free(state.target_id))
                avoided.append(state.target_id)
        return avoided

    def give_back_idle(self, services: abc.Iterable[ids.ServiceId]) -> None:
        """Give idle slots back, those over the own recent peak first."""
        slots = self._allotments.slots
        for service_id in services:
            service = self._service(service_id)
            surplus = self._idle(service_id) - 1
            recent = self._clock.now() - service.peak_at < _IDLE_AFTER_S
            if recent:
                surplus -= max(0, service.peak - service.in_use)
            for state in self._targets.of_service(service_id):
                free = min(slots.free(state.target_id), max(0, surplus))
                slots.give_back(state.target_id, free)
                surplus -= free
