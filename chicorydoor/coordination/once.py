"""Requests that run at most once although their caller repeats them.

A request with an idempotency key is taken to the entry that minted the key.
That entry runs it once and answers repeats from the recorded outcome. When
the entry is gone the answer is "unknown" and nothing is run.
"""

import asyncio
import hashlib

from chicorydoor.coordination import forwarding
from chicorydoor.coordination import peer_network
from chicorydoor.coordination import requests
from chicorydoor.protocol import result_codes
from chicorydoor.state import idempotency
from chicorydoor.transport import clock as clock_module

_CODES = result_codes.ResultCode


def _fingerprint(request: requests.Request) -> bytes:
    digest = hashlib.blake2b(digest_size=16)
    parts = (request.customer, request.method, request.path)
    for part in parts:
        digest.update(part.encode() + b"\0")
    digest.update(request.query + b"\0")
    if request.body.is_replayable:
        digest.update(request.body.first)
    return digest.digest()


class OnceGuard:
    """Minted keys, their records, and the way to the minting entry.

    Args:
        mint (KeyMint): Verifies keys.
        table (IdempotencyTable): The own records.
        network (PeerNetwork): Knows the peers' incarnations.
        clock (Clock): Time.
        kept_answer_bytes (int): Largest answer that is recorded.
    """

    def __init__(
        self,
        *,
        mint: idempotency.KeyMint,
        table: idempotency.IdempotencyTable,
        network: peer_network.PeerNetwork,
        clock: clock_module.Clock,
        kept_answer_bytes: int,
    ) -> None:
        self._mint = mint
        self._table = table
        self._network = network
        self._clock = clock
        self._kept_answer_bytes = kept_answer_bytes
        self.forwarder: forwarding.Forwarder | None = None
        self._tasks: set[asyncio.Task] = set()

    def running(self) -> int:
        """Requests under way, those of callers that went away included."""
        return len(self._tasks)

    async def run(
        self, request: requests.Request, execute: forwarding.Run
    ) -> requests.Answer:
        """Run a request that carries a key, or find its outcome.

        Args:
            request (Request): With an idempotency key.
            execute (callable): Runs it; called at most once for a key.

        Raises:
            RefusedError: If there is no whole answer.
        """
        key = self._mint.verify(request.idempotency_key)
        if key is None:
            raise requests.RefusedError(_CODES.KEY_NOT_MINTED)
        if key.instance != self._network.instance:
            return await self._run_at_minter(request, key)
        if key.incarnation != self._network.incarnation:
            raise self._minter_is_gone(request)
        return await self._run_own(request, key, execute)

    async def _run_at_minter(
        self, request: requests.Request, key: idempotency.MintedKey
    ) -> requests.Answer:
        known = self._network.incarnation_of(key.instance)
        if known and known != key.incarnation:
            raise self._minter_is_gone(request)
        assert self.forwarder is not None
        try:
            return await self.forwarder.forward(
                key.instance, request, own_target=True
            )
        except requests.RefusedError as error:
            if error.code is _CODES.PEER_UNREACHABLE:
                raise self._minter_is_gone(request) from error
            raise

    def _minter_is_gone(
        self, request: requests.Request
    ) -> requests.RefusedError:
        """An earlier attempt may have run, unless there was none."""
        if request.is_first_attempt:
            return requests.RefusedError(_CODES.FIRST_ATTEMPT_LOST)
        return requests.RefusedError(_CODES.OUTCOME_UNKNOWN)

    async def _run_own(
        self,
        request: requests.Request,
        key: idempotency.MintedKey,
        execute: forwarding.Run,
    ) -> requests.Answer:
        text = request.idempotency_key
        fingerprint = _fingerprint(request)
        record = self._table.find(text)
        if record is not None:
            if record.fingerprint != fingerprint:
                raise requests.RefusedError(_CODES.KEY_REUSED)
            return await self._repeat(request, record)
        record = self._table.start(text, fingerprint, key.expires_at)
        if record is None:
            raise requests.RefusedError(_CODES.LIMIT_OF_RECORDS)
        return await self._first(request, record, execute)

    async def _repeat(
        self, request: requests.Request, record: idempotency.Record
    ) -> requests.Answer:
        """Wait for the running request and answer as it was answered."""
        remaining_s = request.deadline - self._clock.now()
        try:
            async with asyncio.timeout(remaining_s):
                answer = await asyncio.shield(record.answer)
        except TimeoutError as error:
            raise requests.RefusedError(_CODES.OUTCOME_UNKNOWN) from error
        except asyncio.CancelledError as error:
            if record.answer.cancelled():
                raise requests.RefusedError(
                    _CODES.NO_CAPACITY, "the first attempt was not run"
                ) from error
            raise
        if answer.code:
            raise requests.RefusedError(
                result_codes.BY_NUMBER[answer.code],
                outcome=result_codes.Outcome.UNKNOWN,
            )
        if answer.body is None:
            raise requests.RefusedError(_CODES.OUTCOME_RECORDED)
        return requests.Answer(answer.status, answer.headers, answer.body)

    async def _first(
        self,
        request: requests.Request,
        record: idempotency.Record,
        execute: forwarding.Run,
    ) -> requests.Answer:
        """Run the request in a task of its own.

        The caller may go away: the outcome is recorded all the same.
        """
        task = asyncio.create_task(self._execute(request, record, execute))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _execute(
        self,
        request: requests.Request,
        record: idempotency.Record,
        execute: forwarding.Run,
    ) -> requests.Answer:
        try:
            answer = await execute(request)
            return await self._keep(record, answer)
        except requests.RefusedError as error:
            if error.is_not_run:
                self._table.discard(request.idempotency_key)
            else:
                self._settle(record, error.code)
            raise
        except BaseException:
            self._settle(record, _CODES.INTERNAL)
            raise

    def _settle(
        self, record: idempotency.Record, code: result_codes.ResultCode
    ) -> None:
        answer = idempotency.RecordedAnswer(code.number, code.status, [], b"")
        self._table.settle(record, answer)

    async def _keep(
        self, record: idempotency.Record, answer: requests.Answer
    ) -> requests.Answer:
        body: bytes | None = answer.first
        if answer.rest is not None or (
            len(answer.first) > self._kept_answer_bytes
        ):
            body = None
        recorded = idempotency.RecordedAnswer(
            0, answer.status, answer.headers, body
        )
        self._table.settle(record, recorded)
        return answer
