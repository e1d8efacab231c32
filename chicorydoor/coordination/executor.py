"""Runs a request on a target of the own failure domain.

A request is sent to a second target only if it is repeatable, or if the
first one certainly did not run it; and only within a budget, a part of the
recent requests, so that retries cannot multiply a failure.
"""

import asyncio
from collections import abc
import random

from chicorydoor import errors
from chicorydoor.coordination import placement as placement_module
from chicorydoor.coordination import requests
from chicorydoor.protocol import headers as header_names
from chicorydoor.protocol import ids
from chicorydoor.protocol import result_codes
from chicorydoor.state import config_snapshot
from chicorydoor.state import event_ring
from chicorydoor.state import target_table
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics
from chicorydoor.transport import target_connection

_RETRY_PART = 0.1
_RETRY_BURST = 10.0
_MOST_ATTEMPTS = 3
_CANCEL_GRACE_S = 0.05
_SERVER_ERROR = 500
_SHED_STATUS = 503
_WITHOUT_BODY = (204, 304)
_FRAMING = (header_names.CONTENT_LENGTH, b"transfer-encoding")

_CODES = result_codes.ResultCode
_TARGET_FAULTS = frozenset(
    {
        _CODES.TARGET_FAILED,
        _CODES.TARGET_UNREACHABLE,
        _CODES.DEADLINE_PASSED,
    }
)


class RetryBudget:
    """Retries allowed, as a part of the requests.

    Args:
        part (float): Retries per request. Defaults to 0.1.
        burst (float): Most retries saved up. Defaults to 10.

    Example:
        >>> budget = RetryBudget(part=0.5, burst=1)
        >>> budget.take(), budget.take()
        (True, False)
        >>> budget.note_request(); budget.note_request()
        >>> budget.take()
        True
    """

    def __init__(
        self, part: float = _RETRY_PART, burst: float = _RETRY_BURST
    ) -> None:
        self._part = part
        self._burst = burst
        self._left = burst

    def note_request(self) -> None:
        """A first attempt was made."""
        self._left = min(self._burst, self._left + self._part)

    def take(self) -> bool:
        """Use one retry; False if there is none left."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class Executor:
    """Sends requests to targets.

    Args:
        placement (Placement): Gives slots.
        targets (TargetTable): Learns how targets do.
        clock (Clock): Time.
        rng (Random): For jitter.
        events (EventRing): Gets what is sent.
        slot_limit (callable): Limit of a target's slots here, for idle
            connections.
        connect (callable): Makes a connection to a target.
    """

    def __init__(
        self,
        *,
        placement: placement_module.Placement,
        targets: target_table.TargetTable,
        clock: clock_module.Clock,
        rng: random.Random,
        events: event_ring.EventRing,
        slot_limit: abc.Callable[[ids.TargetId], int],
        connect: target_connection.Connect,
    ) -> None:
        self._placement = placement
        self._targets = targets
        self._clock = clock
        self._rng = rng
        self._events = events
        self._slot_limit = slot_limit
        self._connect = connect
        self._budget = RetryBudget()
        self._connections_by_target: dict[
            str, target_connection.ConnectionList
        ] = {}
        self.snapshot: abc.Callable[[], config_snapshot.ConfigSnapshot] = (
            lambda: config_snapshot.EMPTY
        )

    async def run(self, request: requests.Request) -> requests.Answer:
        """Run a request, with retries where they are allowed.

        Raises:
            RefusedError: If there is no whole answer.
        """
        self._budget.note_request()
        failed: frozenset[ids.TargetId] = frozenset()
        not_run = True
        for attempt in range(1, _MOST_ATTEMPTS + 1):
            try:
                state = await self._acquire(request, failed)
            except requests.RefusedError as error:
                raise _after_attempts(error, not_run) from error
            try:
                return await self._attempt(request, state)
            except requests.RefusedError as error:
                not_run = not_run and error.is_not_run
                failed |= {state.target_id}
                if not self._may_retry(request, error, attempt):
                    raise _after_attempts(error, not_run) from error
            metrics.RETRIES.inc()
        raise AssertionError("the last attempt returns or raises")

    async def _acquire(
        self, request: requests.Request, failed: frozenset[ids.TargetId]
    ) -> target_table.TargetState:
        customer = self.snapshot().customer_by_id.get(request.customer)
        weight = customer.weight if customer else 1.0
        queue_limit = customer.queue_limit if customer else 64
        return await self._placement.acquire(
            request, weight, queue_limit, failed
        )

    def _may_retry(
        self,
        request: requests.Request,
        error: requests.RefusedError,
        attempt: int,
    ) -> bool:
        if attempt >= _MOST_ATTEMPTS or not request.may_retry:
            return False
        if not request.body.is_replayable:
            return False
        if not (error.is_not_run or request.is_repeatable):
            return False
        if error.code is _CODES.DEADLINE_PASSED:
            return False
        return self._budget.take()

    async def _attempt(
        self, request: requests.Request, state: target_table.TargetState
    ) -> requests.Answer:
        if not self._key_holds(request):
            self._placement.release(state, 0.0)
            raise requests.RefusedError(_CODES.KEY_REFUSED)
        connections = self._connections(state)
        connection = connections.take(not request.is_repeatable)
        exchange = _Exchange(self, request, state, connection)
        try:
            answer = await exchange.send()
        except requests.RefusedError as error:
            await exchange.fail(error.code in _TARGET_FAULTS)
            raise
        except BaseException:
            await exchange.fail(is_fault=False)
            raise
        if answer.rest is None:
            await exchange.finish()
        return answer

    def _key_holds(self, request: requests.Request) -> bool:
        """Whether the key is still in force, after any wait."""
        if not request.key:
            return True
        return request.key in self.snapshot().configuration.key_by_id

    def _connections(
        self, state: target_table.TargetState
    ) -> target_connection.ConnectionList:
        address = f"{state.record.address}:{state.record.port}"
        known = self._connections_by_target.get(address)
        if known is None:
            known = target_connection.ConnectionList(
                address, self._connect, self._clock
            )
            self._connections_by_target[address] = known
        return known

    async def close(self) -> None:
        """Close all idle connections."""
        for connections in self._connections_by_target.values():
            await connections.close()


def _after_attempts(
    error: requests.RefusedError, not_run: bool
) -> requests.RefusedError:
    """The final refusal; not-run only if no attempt may have run."""
    if not_run or not error.is_not_run:
        return error
    return requests.RefusedError(
        error.code,
        error.detail,
        error.retry_after_s,
        result_codes.Outcome.UNKNOWN,
    )


class _Exchange:
    """One attempt: one slot, one connection, one answer."""

    def __init__(
        self,
        executor: Executor,
        request: requests.Request,
        state: target_table.TargetState,
        connection: target_connection.Connection,
    ) -> None:
        self._executor = executor
        self._request = request
        self._state = state
        self._connection = connection
        self._clock = executor._clock
        self._started_at = self._clock.now()
        self._is_done = False
        self._answered: target_connection.TargetAnswer | None = None

    def _remaining_s(self) -> float:
        return self._request.deadline - self._clock.now()

    async def send(self) -> requests.Answer:
        """Send the request and read the head of the answer.

        A small body is read too, so that a short answer is whole before
        any of it is passed on.
        """
        request = self._request
        remaining_s = self._remaining_s()
        if remaining_s <= 0:
            raise requests.RefusedError(_CODES.DEADLINE_TOO_SHORT)
        self._executor._events.add(
            event_ring.EventKind.SENT,
            request_id=request.request_id,
            customer=request.customer,
            subject=self._state.target_id,
        )
        try:
            async with asyncio.timeout(remaining_s):
                self._answered = await self._send(remaining_s)
                return await self._answer(self._answered)
        except TimeoutError as error:
            raise requests.RefusedError(_CODES.DEADLINE_PASSED) from error
        except errors.TargetError as error:
            code = _CODES.TARGET_FAILED
            if not error.sent:
                code = _CODES.TARGET_UNREACHABLE
            raise requests.RefusedError(code, str(error)) from error

    async def _send(
        self, remaining_s: float
    ) -> target_connection.TargetAnswer:
        request = self._request
        target = request.path.encode("latin-1")
        if request.query:
            target += b"?" + request.query
        headers = [
            *request.headers,
            (header_names.REQUEST_ID, request.request_id.encode()),
            (header_names.DEADLINE, b"%d" % max(1, int(remaining_s * 1000))),
        ]
        if request.idempotency_key:
            key = request.idempotency_key.encode()
            headers.append((header_names.IDEMPOTENCY_KEY, key))
        body: bytes | abc.AsyncIterator[bytes] = request.body.first
        if not request.body.is_replayable:
            body = request.body.pieces()
        return await self._connection.send(
            request.method, target, headers, body, remaining_s
        )

    async def _answer(
        self, answered: target_connection.TargetAnswer
    ) -> requests.Answer:
        self._check_head(answered)
        passed_on = header_names.end_to_end(answered.headers)
        length = answered.header(header_names.CONTENT_LENGTH)
        if self._request.method == "HEAD" and length is not None:
            passed_on.append((header_names.CONTENT_LENGTH, length))
        first = bytearray()
        async for piece in answered.pieces:
            first += piece
            if len(first) >= requests.REPLAYABLE_BYTES:
                rest = self._rest(answered.pieces)
                return requests.Answer(
                    answered.status,
                    passed_on,
                    bytes(first),
                    rest,
                    self.give_up,
                )
        self._note_status(answered.status)
        return requests.Answer(answered.status, passed_on, bytes(first))

    def _check_head(self, answered: target_connection.TargetAnswer) -> None:
        """Refuse answers that are not to this request, or have no end."""
        request = self._request
        echoed = answered.header(header_names.REQUEST_ID)
        if echoed not in (None, request.request_id.encode()):
            raise errors.TargetError("answer to another request", sent=True)
        is_shed = answered.header(header_names.NOT_PROCESSED) is not None
        if answered.status == _SHED_STATUS and is_shed:
            raise requests.RefusedError(_CODES.TARGET_SHED)
        has_body = request.method != "HEAD" and (
            answered.status not in _WITHOUT_BODY
        )
        is_framed = any(answered.header(name) is not None for name in _FRAMING)
        if has_body and not is_framed:
            raise errors.TargetError("answer without length", sent=True)

    def _note_status(self, status: int) -> None:
        executor = self._executor
        latency_s = self._clock.now() - self._started_at
        if status >= _SERVER_ERROR:
            executor._targets.note_failure(self._state, executor._rng.random())
        else:
            executor._targets.note_success(self._state, latency_s)

    async def _rest(
        self, pieces: abc.AsyncIterator[bytes]
    ) -> abc.AsyncIterator[bytes]:
        """The rest of a large answer; frees the slot at its end."""
        try:
            async with asyncio.timeout(self._remaining_s()):
                async for piece in pieces:
                    if not self._executor._key_holds(self._request):
                        raise requests.RefusedError(_CODES.KEY_WITHDRAWN)
                    yield piece
            self._note_status(200)
            await self.finish()
        except TimeoutError as error:
            raise requests.RefusedError(_CODES.DEADLINE_PASSED) from error
        except errors.TargetError as error:
            raise requests.RefusedError(
                _CODES.TARGET_FAILED, str(error)
            ) from error

    async def give_up(self) -> None:
        """Nobody reads on; nothing happens after the end."""
        await self.fail(is_fault=False)

    async def finish(self) -> None:
        """The answer was read to its end: keep the connection."""
        if self._is_done:
            return
        self._is_done = True
        state = self._state
        limit = self._executor._slot_limit(state.target_id)
        connections = self._executor._connections(state)
        self._release()
        keep = max(0, limit - state.in_use)
        if self._answered is not None:
            await self._answered.close()
        await connections.put_back(self._connection, keep)

    async def fail(self, is_fault: bool) -> None:
        """The answer was not read to its end: close the connection.

        The target sees the end of the connection as a cancellation; its
        slot is kept back until it surely did.

        Args:
            is_fault (bool): Whether it speaks against the target.
        """
        if self._is_done:
            return
        self._is_done = True
        executor = self._executor
        if is_fault:
            jitter = executor._rng.random()
            executor._targets.note_failure(self._state, jitter)
        loop = asyncio.get_running_loop()
        loop.call_later(_CANCEL_GRACE_S, self._release)
        await self._connection.close()

    def _release(self) -> None:
        held_s = self._clock.now() - self._started_at
        self._executor._placement.release(self._state, held_s)
