"""Requests that one entry hands to another.

A request goes to another failure domain's targets, or to the entry that
minted its idempotency key. It is handed over once; when the other side falls
silent the outcome is unknown.
"""

import asyncio
from collections import abc
import contextlib
import itertools

from chicorydoor import errors
from chicorydoor.coordination import peer_network
from chicorydoor.coordination import requests
from chicorydoor.coordination import streams
from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.protocol import result_codes
from chicorydoor.state import config_snapshot
from chicorydoor.transport import clock as clock_module

_OPEN_TIMEOUT_S = 0.6
_GRACE_S = 0.2

_CODES = result_codes.ResultCode

Run = abc.Callable[[requests.Request], abc.Awaitable[requests.Answer]]


class _Stream:
    """The bodies of one forwarded request."""

    def __init__(
        self,
        post: abc.Callable[[pm.Message], None],
        number: int,
        is_opener: bool,
    ) -> None:
        self.sender = streams.PieceSender(post, number, not is_opener)
        self.receiver = streams.PieceReceiver(post, number, is_opener)


class _Opened(_Stream):
    """A stream that this entry opened."""

    def __init__(
        self, post: abc.Callable[[pm.Message], None], number: int
    ) -> None:
        super().__init__(post, number, is_opener=True)
        self.head: asyncio.Future[pm.ForwardHead] = (
            asyncio.get_running_loop().create_future()
        )


class _Accepted(_Stream):
    """A stream that another entry opened."""

    def __init__(
        self, post: abc.Callable[[pm.Message], None], number: int
    ) -> None:
        super().__init__(post, number, is_opener=False)
        self.task: asyncio.Task | None = None


class Forwarder:
    """Both ends of forwarded requests at one entry.

    Args:
        network (PeerNetwork): Carries the messages.
        clock (Clock): Time.
        snapshot (callable): The configuration in force.
        run_here (callable): Runs a request on the own domain's targets.
        run_own (callable): Runs a request whose key was minted here.
    """

    def __init__(
        self,
        *,
        network: peer_network.PeerNetwork,
        clock: clock_module.Clock,
        snapshot: abc.Callable[[], config_snapshot.ConfigSnapshot],
        run_here: Run,
        run_own: Run,
    ) -> None:
        self._network = network
        self._clock = clock
        self._snapshot = snapshot
        self._run_here = run_here
        self._run_own = run_own
        self._numbers = itertools.count(1)
        self._opened_by_stream: dict[int, _Opened] = {}
        self._accepted_by_stream: dict[
            tuple[ids.InstanceId, int], _Accepted
        ] = {}
        network.on(pm.ForwardOpen, self._on_open)
        network.on(pm.ForwardHead, self._on_head)
        network.on(pm.ForwardData, self._on_data)
        network.on(pm.ForwardCredit, self._on_credit)
        network.on(pm.ForwardAbort, self._on_abort)

    def running(self) -> int:
        """Requests that other entries handed over."""
        return len(self._accepted_by_stream)

    # The opener's side.

    async def forward(
        self,
        peer: ids.InstanceId,
        request: requests.Request,
        own_target: bool,
    ) -> requests.Answer:
        """Hand a request to another entry.

        Args:
            peer (str): The entry.
            request (Request): The request.
            own_target (bool): The entry minted the request's idempotency
                key.

        Raises:
            RefusedError: If there is no whole answer.
        """
        stream = next(self._numbers)
        post = self._poster(peer)
        opened = _Opened(post, stream)
        self._opened_by_stream[stream] = opened
        try:
            await self._open(peer, stream, request, own_target)
            answer = await self._exchange(request, opened)
        except BaseException:
            self._abandon(stream, post)
            raise
        if answer.rest is None:
            del self._opened_by_stream[stream]
            return answer

        async def close() -> None:
            self._abandon(stream, post)

        return requests.Answer(
            answer.status, answer.headers, answer.first, answer.rest, close
        )

    def _poster(
        self, peer: ids.InstanceId
    ) -> abc.Callable[[pm.Message], None]:
        def post(message: pm.Message) -> None:
            with contextlib.suppress(errors.PeerError):
                self._network.post(peer, message)

        return post

    def _abandon(
        self, stream: int, post: abc.Callable[[pm.Message], None]
    ) -> None:
        if self._opened_by_stream.pop(stream, None) is not None:
            post(pm.ForwardAbort(stream, False))

    async def _open(
        self,
        peer: ids.InstanceId,
        stream: int,
        request: requests.Request,
        own_target: bool,
    ) -> None:
        message = pm.ForwardOpen(
            stream=stream,
            method=request.method,
            path=request.path,
            query=request.query,
            headers=request.headers,
            route=request.route_id,
            customer=request.customer,
            request_id=request.request_id,
            remaining_s=request.deadline - self._clock.now(),
            own_target=own_target,
            idempotency_key=request.idempotency_key,
            key=request.key,
            is_first_attempt=request.is_first_attempt,
        )
        timeout_s = min(_OPEN_TIMEOUT_S, max(0.0, message.remaining_s))
        try:
            await self._network.call(peer, message, timeout_s)
        except errors.PeerTimeoutError as error:
            raise requests.RefusedError(_CODES.PEER_FAILED) from error
        except errors.PeerError as error:
            raise requests.RefusedError(_CODES.PEER_UNREACHABLE) from error

    async def _exchange(
        self, request: requests.Request, opened: _Opened
    ) -> requests.Answer:
        sending = asyncio.create_task(self._send_body(request, opened.sender))
        remaining_s = request.deadline - self._clock.now() + _GRACE_S
        try:
            async with asyncio.timeout(remaining_s):
                head = await opened.head
                if head.code:
                    code = result_codes.BY_NUMBER[head.code]
                    outcome = result_codes.Outcome(head.outcome)
                    raise requests.RefusedError(
                        code, head.detail, head.retry_after_s, outcome
                    )
                return await self._answer(head, opened)
        except TimeoutError as error:
            raise requests.RefusedError(_CODES.PEER_FAILED) from error
        except errors.PeerError as error:
            raise requests.RefusedError(_CODES.PEER_FAILED) from error
        finally:
            sending.cancel()

    async def _send_body(
        self, request: requests.Request, sender: streams.PieceSender
    ) -> None:
        async for piece in request.body.pieces():
            await sender.send(piece, last=False)
        await sender.send(b"", last=True)

    async def _answer(
        self, head: pm.ForwardHead, opened: _Opened
    ) -> requests.Answer:
        pieces = opened.receiver.pieces()
        first = bytearray()
        async for piece in pieces:
            first += piece
            if len(first) >= requests.REPLAYABLE_BYTES:
                rest = self._rest(pieces)
                return requests.Answer(
                    head.status, head.headers, bytes(first), rest
                )
        return requests.Answer(head.status, head.headers, bytes(first))

    async def _rest(
        self, pieces: abc.AsyncIterator[bytes]
    ) -> abc.AsyncIterator[bytes]:
        try:
            async for piece in pieces:
                yield piece
        except errors.PeerError as error:
            raise requests.RefusedError(_CODES.PEER_FAILED) from error

    def _on_head(self, sender: ids.InstanceId, head: pm.ForwardHead) -> None:
        opened = self._opened_by_stream.get(head.stream)
        if opened is not None and not opened.head.done():
            opened.head.set_result(head)

    # The accepting side.

    def _on_open(
        self, sender: ids.InstanceId, message: pm.ForwardOpen
    ) -> pm.Message:
        post = self._poster(sender)
        accepted = _Accepted(post, message.stream)
        stream = (sender, message.stream)
        self._accepted_by_stream[stream] = accepted
        accepted.task = asyncio.create_task(
            self._accept(stream, message, accepted, post)
        )
        return pm.Acknowledged()

    async def _accept(
        self,
        stream: tuple[ids.InstanceId, int],
        message: pm.ForwardOpen,
        accepted: _Accepted,
        post: abc.Callable[[pm.Message], None],
    ) -> None:
        try:
            request = await self._request(message, accepted.receiver)
            run = self._run_own if message.own_target else self._run_here
            answer = await run(request)
            try:
                await self._send_answer(message.stream, answer, accepted, post)
            finally:
                await answer.close()
        except requests.RefusedError as error:
            post(_refusal_head(message.stream, error))
            post(pm.ForwardAbort(message.stream, True))
        except errors.PeerError:
            post(pm.ForwardAbort(message.stream, True))
        finally:
            self._accepted_by_stream.pop(stream, None)

    async def _request(
        self, message: pm.ForwardOpen, receiver: streams.PieceReceiver
    ) -> requests.Request:
        snapshot = self._snapshot()
        route = snapshot.configuration.route_by_id.get(message.route)
        if route is None:
            raise requests.RefusedError(_CODES.NO_ROUTE)
        if not route.open:
            key = snapshot.configuration.key_by_id.get(message.key)
            if key is None or key.customer != message.customer:
                raise requests.RefusedError(_CODES.KEY_REFUSED)
        return requests.Request(
            method=message.method,
            path=message.path,
            query=message.query,
            headers=message.headers,
            body=await requests.read_body(receiver.pieces()),
            route_id=message.route,
            route=route,
            customer=ids.CustomerId(message.customer),
            key=ids.KeyId(message.key),
            request_id=message.request_id,
            deadline=self._clock.now() + message.remaining_s,
            idempotency_key=message.idempotency_key,
            is_first_attempt=message.is_first_attempt,
            may_go_away=message.own_target,
            may_retry=message.own_target,
        )

    async def _send_answer(
        self,
        stream: int,
        answer: requests.Answer,
        accepted: _Accepted,
        post: abc.Callable[[pm.Message], None],
    ) -> None:
        post(pm.ForwardHead(stream, 0, "", answer.status, answer.headers))
        await accepted.sender.send(answer.first, last=answer.rest is None)
        if answer.rest is not None:
            async for piece in answer.rest:
                await accepted.sender.send(piece, last=False)
            await accepted.sender.send(b"", last=True)

    def _on_data(self, sender: ids.InstanceId, piece: pm.ForwardData) -> None:
        stream = self._find(sender, piece.stream, piece.to_opener)
        if stream is not None:
            stream.receiver.put(piece)

    def _on_credit(
        self, sender: ids.InstanceId, credit: pm.ForwardCredit
    ) -> None:
        stream = self._find(sender, credit.stream, credit.to_opener)
        if stream is not None:
            stream.sender.credit(credit.consumed)

    def _on_abort(
        self, sender: ids.InstanceId, abort: pm.ForwardAbort
    ) -> None:
        stream = self._find(sender, abort.stream, abort.to_opener)
        if isinstance(stream, _Opened):
            stream.receiver.abort()
        elif stream is not None and stream.task is not None:
            stream.task.cancel()

    def _find(
        self, sender: ids.InstanceId, stream: int, to_opener: bool
    ) -> _Opened | _Accepted | None:
        if to_opener:
            return self._opened_by_stream.get(stream)
        return self._accepted_by_stream.get((sender, stream))


def _refusal_head(stream: int, error: requests.RefusedError) -> pm.ForwardHead:
    return pm.ForwardHead(
        stream=stream,
        code=error.code.number,
        detail=error.detail,
        status=error.code.status,
        headers=[],
        outcome=error.outcome.value,
        retry_after_s=error.retry_after_s,
    )
