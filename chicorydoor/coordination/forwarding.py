"""Forwards requests from one entry to another.

A request is forwarded to an entry of another failure domain, which runs it
on its targets, or to the entry that minted its idempotency key, which may
forward it once more, to another failure domain. When the peer stops
responding, the outcome is unknown.
"""

import asyncio
from collections import abc
import contextlib
import itertools

from chicorydoor import errors
from chicorydoor.coordination import body_streams
from chicorydoor.coordination import peer_network
from chicorydoor.coordination import request_types
from chicorydoor.protocol import headers as http_headers
from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.protocol import result_codes
from chicorydoor.state import config_snapshot
from chicorydoor.transport import clock as clock_module

_OPEN_ACK_TIMEOUT_S = 0.6
# A peer's answer is accepted this long after the request's deadline.
_ANSWER_GRACE_S = 0.2

_CODES = result_codes.ResultCode

RunRequest = abc.Callable[
    [request_types.Request], abc.Awaitable[request_types.Answer]
]


class _BodyStream:
    """Request and answer body of one forwarded request."""

    def __init__(
        self,
        post: abc.Callable[[pm.Message], None],
        stream_id: int,
        is_opener: bool,
    ) -> None:
        self.piece_sender = body_streams.PieceSender(
            post, stream_id, not is_opener
        )
        self.piece_receiver = body_streams.PieceReceiver(
            post, stream_id, is_opener
        )


class _OutgoingStream(_BodyStream):
    """A stream that this entry opened."""

    def __init__(
        self, post: abc.Callable[[pm.Message], None], stream_id: int
    ) -> None:
        super().__init__(post, stream_id, is_opener=True)
        self.head: asyncio.Future[pm.ForwardResponseHead] = (
            asyncio.get_running_loop().create_future()
        )


class _IncomingStream(_BodyStream):
    """A stream that a peer opened."""

    def __init__(
        self, post: abc.Callable[[pm.Message], None], stream_id: int
    ) -> None:
        super().__init__(post, stream_id, is_opener=False)
        self.task: asyncio.Task | None = None


class Forwarder:
    """Forwards requests to peers, and serves those that peers forward.

    Args:
        network (PeerNetwork): Sends and receives the messages.
        clock (Clock): Time source.
        get_snapshot (callable): Returns the active configuration.
        run_in_domain (callable): Runs a request on a target of the own
            failure domain.
        run_minted_here (callable): Runs a request whose idempotency key this
            entry minted.
    """

    def __init__(
        self,
        *,
        network: peer_network.PeerNetwork,
        clock: clock_module.Clock,
        get_snapshot: abc.Callable[[], config_snapshot.ConfigSnapshot],
        run_in_domain: RunRequest,
        run_minted_here: RunRequest,
    ) -> None:
        self._network = network
        self._clock = clock
        self._get_snapshot = get_snapshot
        self._run_in_domain = run_in_domain
        self._run_minted_here = run_minted_here
        self._stream_ids = itertools.count(1)
        self._outgoing_by_stream_id: dict[int, _OutgoingStream] = {}
        self._incoming_by_key: dict[
            tuple[ids.InstanceId, int], _IncomingStream
        ] = {}
        network.set_handler(pm.ForwardOpen, self._handle_open)
        network.set_handler(pm.ForwardResponseHead, self._handle_head)
        network.set_handler(pm.ForwardData, self._handle_data)
        network.set_handler(pm.ForwardWindowUpdate, self._handle_window_update)
        network.set_handler(pm.ForwardAbort, self._handle_abort)

    def running_count(self) -> int:
        """Return the number of running requests that peers forwarded."""
        return len(self._incoming_by_key)

    # Streams that this entry opens.

    async def forward(
        self,
        peer: ids.InstanceId,
        request: request_types.Request,
        to_minter: bool,
    ) -> request_types.Answer:
        """Forward a request to a peer and return its answer.

        Args:
            peer (str): Instance id of the peer.
            request (Request): The request.
            to_minter (bool): Whether the peer minted the request's
                idempotency key. It then handles the request as one of its
                own callers'.

        Raises:
            RefusedError: If no answer was received that is complete, or
                long enough to be streamed.
        """
        stream_id = next(self._stream_ids)
        post = self._make_post(peer)
        outgoing = _OutgoingStream(post, stream_id)
        self._outgoing_by_stream_id[stream_id] = outgoing
        try:
            await self._open_stream(peer, stream_id, request, to_minter)
            answer = await self._send_and_receive(request, outgoing)
        except BaseException:
            self._abort_outgoing(stream_id, post)
            raise
        if answer.remaining_pieces is None:
            del self._outgoing_by_stream_id[stream_id]
            return answer

        async def close() -> None:
            self._abort_outgoing(stream_id, post)

        return request_types.Answer(
            answer.status,
            answer.headers,
            answer.buffered,
            answer.remaining_pieces,
            close,
        )

    def _make_post(
        self, peer: ids.InstanceId
    ) -> abc.Callable[[pm.Message], None]:
        def post(message: pm.Message) -> None:
            with contextlib.suppress(errors.PeerError):
                self._network.send_message(peer, message)

        return post

    def _abort_outgoing(
        self, stream_id: int, post: abc.Callable[[pm.Message], None]
    ) -> None:
        if self._outgoing_by_stream_id.pop(stream_id, None) is not None:
            post(pm.ForwardAbort(stream_id, False))

    async def _open_stream(
        self,
        peer: ids.InstanceId,
        stream_id: int,
        request: request_types.Request,
        to_minter: bool,
    ) -> None:
        message = pm.ForwardOpen(
            stream_id=stream_id,
            method=request.method,
            path=request.path,
            query=request.query,
            headers=request.headers,
            route_id=request.route_id,
            customer_id=request.customer,
            request_id=request.request_id,
            remaining_s=request.deadline_at - self._clock.now(),
            runs_as_own_request=to_minter,
            idempotency_key=request.idempotency_key,
            key_id=request.key_id,
            is_first_attempt=request.is_first_attempt,
        )
        timeout_s = min(_OPEN_ACK_TIMEOUT_S, max(0.0, message.remaining_s))
        try:
            await self._network.call_peer(peer, message, timeout_s)
        except errors.PeerTimeoutError as error:
            # The peer may have received the message and run the request.
            raise request_types.RefusedError(_CODES.PEER_FAILED) from error
        except errors.PeerError as error:
            # The message was not sent.
            raise request_types.RefusedError(
                _CODES.PEER_UNREACHABLE
            ) from error

    async def _send_and_receive(
        self, request: request_types.Request, outgoing: _OutgoingStream
    ) -> request_types.Answer:
        body_task = asyncio.create_task(
            self._send_body(request, outgoing.piece_sender)
        )
        remaining_s = request.deadline_at - self._clock.now() + _ANSWER_GRACE_S
        try:
            async with asyncio.timeout(remaining_s):
                head = await outgoing.head
                if head.code:
                    code = result_codes.RESULT_CODE_BY_NUMBER[head.code]
                    outcome = result_codes.Outcome(head.outcome)
                    raise request_types.RefusedError(
                        code, head.detail, head.retry_after_s, outcome
                    )
                if head.status not in http_headers.FINAL_STATUSES:
                    raise request_types.RefusedError(
                        _CODES.PEER_FAILED,
                        f"answer has the invalid status {head.status}",
                    )
                return await self._read_answer(head, outgoing)
        except TimeoutError as error:
            raise request_types.RefusedError(_CODES.PEER_FAILED) from error
        except errors.PeerError as error:
            raise request_types.RefusedError(_CODES.PEER_FAILED) from error
        finally:
            body_task.cancel()

    async def _send_body(
        self,
        request: request_types.Request,
        piece_sender: body_streams.PieceSender,
    ) -> None:
        async for piece in request.body.pieces():
            await piece_sender.send(piece, last=False)
        await piece_sender.send(b"", last=True)

    async def _read_answer(
        self, head: pm.ForwardResponseHead, outgoing: _OutgoingStream
    ) -> request_types.Answer:
        pieces = outgoing.piece_receiver.pieces()
        first = bytearray()
        async for piece in pieces:
            first += piece
            if len(first) >= request_types.STREAMING_THRESHOLD_BYTES:
                rest = self._stream_rest(pieces)
                return request_types.Answer(
                    head.status, head.headers, bytes(first), rest
                )
        return request_types.Answer(head.status, head.headers, bytes(first))

    async def _stream_rest(
        self, pieces: abc.AsyncIterator[bytes]
    ) -> abc.AsyncIterator[bytes]:
        try:
            async for piece in pieces:
                yield piece
        except errors.PeerError as error:
            raise request_types.RefusedError(_CODES.PEER_FAILED) from error

    def _handle_head(
        self, peer: ids.InstanceId, head: pm.ForwardResponseHead
    ) -> None:
        outgoing = self._outgoing_by_stream_id.get(head.stream_id)
        if outgoing is not None and not outgoing.head.done():
            outgoing.head.set_result(head)

    # Streams that peers open.

    def _handle_open(
        self, peer: ids.InstanceId, message: pm.ForwardOpen
    ) -> pm.Message:
        post = self._make_post(peer)
        incoming = _IncomingStream(post, message.stream_id)
        incoming_key = (peer, message.stream_id)
        self._incoming_by_key[incoming_key] = incoming
        incoming.task = asyncio.create_task(
            self._serve_incoming(incoming_key, message, incoming, post)
        )
        return pm.Ack()

    async def _serve_incoming(
        self,
        incoming_key: tuple[ids.InstanceId, int],
        message: pm.ForwardOpen,
        incoming: _IncomingStream,
        post: abc.Callable[[pm.Message], None],
    ) -> None:
        try:
            request = await self._build_request(
                message, incoming.piece_receiver
            )
            run_request = (
                self._run_minted_here
                if message.runs_as_own_request
                else self._run_in_domain
            )
            answer = await run_request(request)
            try:
                await self._send_answer(
                    message.stream_id, answer, incoming, post
                )
            finally:
                await answer.close()
        except request_types.RefusedError as error:
            post(_refusal_head(message.stream_id, error))
            # The peer ignores this head if it has received one before; then
            # the abort ends its reading of the answer.
            post(pm.ForwardAbort(message.stream_id, True))
        except errors.PeerError:
            post(pm.ForwardAbort(message.stream_id, True))
        finally:
            self._incoming_by_key.pop(incoming_key, None)

    async def _build_request(
        self,
        message: pm.ForwardOpen,
        piece_receiver: body_streams.PieceReceiver,
    ) -> request_types.Request:
        snapshot = self._get_snapshot()
        route = snapshot.configuration.route_by_id.get(message.route_id)
        if route is None:
            raise request_types.RefusedError(_CODES.NO_ROUTE)
        if not route.open:
            key = snapshot.configuration.key_by_id.get(message.key_id)
            if key is None or key.customer != message.customer_id:
                raise request_types.RefusedError(_CODES.KEY_REFUSED)
        return request_types.Request(
            method=message.method,
            path=message.path,
            query=message.query,
            headers=message.headers,
            body=await request_types.buffer_body(piece_receiver.pieces()),
            route_id=message.route_id,
            route=route,
            customer=ids.CustomerId(message.customer_id),
            key_id=ids.KeyId(message.key_id),
            request_id=message.request_id,
            deadline_at=self._clock.now() + message.remaining_s,
            idempotency_key=message.idempotency_key,
            is_first_attempt=message.is_first_attempt,
            # A request from another failure domain is neither forwarded
            # again nor retried here.
            may_leave_domain=message.runs_as_own_request,
            may_retry=message.runs_as_own_request,
        )

    async def _send_answer(
        self,
        stream_id: int,
        answer: request_types.Answer,
        incoming: _IncomingStream,
        post: abc.Callable[[pm.Message], None],
    ) -> None:
        post(
            pm.ForwardResponseHead(
                stream_id, 0, "", answer.status, answer.headers
            )
        )
        await incoming.piece_sender.send(
            answer.buffered, last=answer.remaining_pieces is None
        )
        if answer.remaining_pieces is not None:
            async for piece in answer.remaining_pieces:
                await incoming.piece_sender.send(piece, last=False)
            await incoming.piece_sender.send(b"", last=True)

    def _handle_data(
        self, peer: ids.InstanceId, piece: pm.ForwardData
    ) -> None:
        stream = self._find_stream(peer, piece.stream_id, piece.is_to_opener)
        if stream is not None:
            stream.piece_receiver.handle_piece(piece)

    def _handle_window_update(
        self, peer: ids.InstanceId, window_update: pm.ForwardWindowUpdate
    ) -> None:
        stream = self._find_stream(
            peer, window_update.stream_id, window_update.is_to_opener
        )
        if stream is not None:
            stream.piece_sender.handle_window_update(window_update.consumed)

    def _handle_abort(
        self, peer: ids.InstanceId, abort: pm.ForwardAbort
    ) -> None:
        stream = self._find_stream(peer, abort.stream_id, abort.is_to_opener)
        if isinstance(stream, _OutgoingStream):
            stream.piece_receiver.abort()
        elif stream is not None and stream.task is not None:
            stream.task.cancel()

    def _find_stream(
        self, peer: ids.InstanceId, stream_id: int, to_opener: bool
    ) -> _OutgoingStream | _IncomingStream | None:
        if to_opener:
            return self._outgoing_by_stream_id.get(stream_id)
        return self._incoming_by_key.get((peer, stream_id))


def _refusal_head(
    stream_id: int, error: request_types.RefusedError
) -> pm.ForwardResponseHead:
    return pm.ForwardResponseHead(
        stream_id=stream_id,
        code=error.code.number,
        detail=error.detail,
        status=error.code.status,
        headers=[],
        outcome=error.outcome.value,
        retry_after_s=error.retry_after_s,
    )
