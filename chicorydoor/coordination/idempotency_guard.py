"""Idempotency guard: runs a request at most once per idempotency key.

A request with an idempotency key is forwarded to the entry that minted the
key. That entry runs it once and answers retries from the recorded answer, or
with the fact that it ran if the body was streamed or too large to record.
When that entry is unreachable or was restarted, nothing is run and the
outcome is "unknown", or "not run" if the caller declared a first attempt.
"""

import asyncio
import hashlib

from chicorydoor.coordination import forwarding
from chicorydoor.coordination import peer_network
from chicorydoor.coordination import request_types
from chicorydoor.protocol import result_codes
from chicorydoor.state import idempotency
from chicorydoor.transport import clock as clock_module

_CODES = result_codes.ResultCode


def _request_fingerprint(request: request_types.Request) -> bytes:
    """Return a hash that tells requests with the same key apart.

    The body counts only if it is buffered whole.
    """
    digest = hashlib.blake2b(digest_size=16)
    parts = (request.customer, request.method, request.path)
    for part in parts:
        digest.update(part.encode() + b"\0")
    digest.update(request.query + b"\0")
    if request.body.is_replayable:
        digest.update(request.body.buffered)
    return digest.digest()


class IdempotencyGuard:
    """Runs requests with idempotency keys at the entry that minted them.

    Args:
        key_issuer (IdempotencyKeyIssuer): Verifies keys.
        table (IdempotencyTable): Records of the keys minted here.
        network (PeerNetwork): Tells the peers' incarnations.
        clock (Clock): Time source.
        max_recorded_answer_bytes (int): Size of the largest answer body that
            is recorded.
    """

    def __init__(
        self,
        *,
        key_issuer: idempotency.IdempotencyKeyIssuer,
        table: idempotency.IdempotencyTable,
        network: peer_network.PeerNetwork,
        clock: clock_module.Clock,
        max_recorded_answer_bytes: int,
    ) -> None:
        self._key_issuer = key_issuer
        self._table = table
        self._network = network
        self._clock = clock
        self._max_recorded_answer_bytes = max_recorded_answer_bytes
        self.forwarder: forwarding.Forwarder | None = None
        self._tasks: set[asyncio.Task] = set()

    def running_count(self) -> int:
        """Return the number of running requests.

        Requests whose caller disconnected are included.
        """
        return len(self._tasks)

    async def run(
        self,
        request: request_types.Request,
        run_request: forwarding.RunRequest,
    ) -> request_types.Answer:
        """Run a request with an idempotency key, or find its outcome.

        Args:
            request (Request): Request with an idempotency key.
            run_request (callable): Runs the request; called at most once per
                key, unless the request certainly did not run.

        Returns:
            The answer, which may be that of an earlier attempt.

        Raises:
            RefusedError: If the request was refused or failed, or only its
                outcome is known.
        """
        key = self._key_issuer.verify(request.idempotency_key)
        if key is None:
            # Forged or expired.
            raise request_types.RefusedError(_CODES.KEY_NOT_MINTED)
        if key.instance != self._network.instance:
            return await self._forward_to_minter(request, key)
        if key.incarnation != self._network.incarnation:
            raise self._lost_minter_refusal(request)
        return await self._run_minted_here(request, key, run_request)

    async def _forward_to_minter(
        self, request: request_types.Request, key: idempotency.MintedKey
    ) -> request_types.Answer:
        peer_incarnation = self._network.incarnation_of(key.instance)
        if peer_incarnation and peer_incarnation != key.incarnation:
            raise self._lost_minter_refusal(request)
        assert self.forwarder is not None
        try:
            return await self.forwarder.forward(
                key.instance, request, to_minter=True
            )
        except request_types.RefusedError as error:
            if error.code is _CODES.PEER_UNREACHABLE:
                raise self._lost_minter_refusal(request) from error
            raise

    def _lost_minter_refusal(
        self, request: request_types.Request
    ) -> request_types.RefusedError:
        """Return the refusal if the minter is unreachable or was restarted.

        An earlier attempt may have run, unless the caller declared that this
        is the first one.
        """
        if request.is_first_attempt:
            return request_types.RefusedError(_CODES.FIRST_ATTEMPT_LOST)
        return request_types.RefusedError(_CODES.OUTCOME_UNKNOWN)

    async def _run_minted_here(
        self,
        request: request_types.Request,
        key: idempotency.MintedKey,
        run_request: forwarding.RunRequest,
    ) -> request_types.Answer:
        key_text = request.idempotency_key
        fingerprint = _request_fingerprint(request)
        record = self._table.find(key_text)
        if record is not None:
            if record.fingerprint != fingerprint:
                raise request_types.RefusedError(_CODES.KEY_REUSED)
            return await self._await_recorded_answer(request, record)
        record = self._table.add_running(key_text, fingerprint, key.expires_at)
        if record is None:
            raise request_types.RefusedError(_CODES.LIMIT_OF_RECORDS)
        return await self._run_recorded(request, record, run_request)

    async def _await_recorded_answer(
        self,
        request: request_types.Request,
        record: idempotency.IdempotencyRecord,
    ) -> request_types.Answer:
        """Wait for the recorded run and return its answer."""
        remaining_s = request.deadline_at - self._clock.now()
        try:
            async with asyncio.timeout(remaining_s):
                answer = await asyncio.shield(record.answer)
        except TimeoutError as error:
            raise request_types.RefusedError(_CODES.OUTCOME_UNKNOWN) from error
        except asyncio.CancelledError as error:
            # The table cancels the answer of a request that did not run.
            if record.answer.cancelled():
                raise request_types.RefusedError(
                    _CODES.NO_CAPACITY, "the first attempt was not run"
                ) from error
            raise
        if answer.code:
            raise request_types.RefusedError(
                result_codes.RESULT_CODE_BY_NUMBER[answer.code],
                outcome=result_codes.Outcome.UNKNOWN,
            )
        if answer.body is None:
            raise request_types.RefusedError(_CODES.OUTCOME_RECORDED)
        return request_types.Answer(answer.status, answer.headers, answer.body)

    async def _run_recorded(
        self,
        request: request_types.Request,
        record: idempotency.IdempotencyRecord,
        run_request: forwarding.RunRequest,
    ) -> request_types.Answer:
        """Run the request in a separate task.

        The outcome is recorded even if the caller disconnects.
        """
        task = asyncio.create_task(
            self._execute_and_record(request, record, run_request)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _execute_and_record(
        self,
        request: request_types.Request,
        record: idempotency.IdempotencyRecord,
        run_request: forwarding.RunRequest,
    ) -> request_types.Answer:
        try:
            answer = await run_request(request)
            return await self._record_answer(record, answer)
        except request_types.RefusedError as error:
            if error.certainly_not_run:
                self._table.remove(request.idempotency_key)
            else:
                self._record_refusal(record, error.code)
            raise
        except BaseException:
            self._record_refusal(record, _CODES.INTERNAL)
            raise

    def _record_refusal(
        self,
        record: idempotency.IdempotencyRecord,
        code: result_codes.ResultCode,
    ) -> None:
        answer = idempotency.RecordedAnswer(code.number, code.status, [], b"")
        self._table.record_answer(record, answer)

    async def _record_answer(
        self,
        record: idempotency.IdempotencyRecord,
        answer: request_types.Answer,
    ) -> request_types.Answer:
        body: bytes | None = answer.buffered
        if answer.remaining_pieces is not None or (
            len(answer.buffered) > self._max_recorded_answer_bytes
        ):
            body = None
        recorded = idempotency.RecordedAnswer(
            0, answer.status, answer.headers, body
        )
        self._table.record_answer(record, recorded)
        return answer
