"""Authenticated calls and one-way messages between entries.

Each message carries a message authentication code (MAC), the incarnations of
sender and receiver, and an increasing sequence number, so that forged,
replayed and misdirected messages are dropped. An entry learns a peer's
incarnation by sending a hello, which the peer answers with a welcome that
carries the same nonce. Hellos and welcomes are not checked for replay and
receiver; a welcome must carry the nonce of a pending hello.
"""

import asyncio
from collections import abc
import hashlib
import hmac
import inspect
import logging
import random
import typing

import msgspec

from chicorydoor import errors
from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.state import event_ring
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics
from chicorydoor.transport import nng_transport

_MAC_BYTES = 16
_HELLO_INTERVAL_S = 0.25

_LOG = logging.getLogger(__name__)

MessageT = typing.TypeVar("MessageT", bound=pm.Message)
Handler = abc.Callable[[ids.InstanceId, typing.Any], typing.Any]


class _PeerState:
    """State of the connection to one peer's process.

    Args:
        address (str): Where the peer is reached.

    Attributes:
        incarnation (int): Confirmed by a handshake; messages are addressed
            to it. Defaults to 0 for unknown.
        nonce (int): Of a hello that waits for its answer, else 0.
        hello_sent_at (float): When the latest hello was sent, in seconds.
        latest_incarnation (int): Highest of a sender in the messages received,
            for the replay check.
        latest_sequence (int): Highest sequence number received from that
            incarnation.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.incarnation = ids.Incarnation(0)
        self.nonce = 0
        self.hello_sent_at = float("-inf")
        self.latest_incarnation = ids.Incarnation(0)
        self.latest_sequence = 0


class PeerNetwork:
    """Sends messages to peers and dispatches those received.

    Args:
        instance (str): Id of this entry.
        domain (str): Failure domain of this entry.
        incarnation (int): Increases with each start of the process.
        address (str): Where peers reach this entry.
        link (PeerTransport): Transports the encoded messages.
        secret (str): Shared by all entries; its digest keys the MAC.
        clock (Clock): Monotonic time.
        rng (Random): Generates nonces.
        hybrid_clock (HybridLogicalClock): Hybrid clock whose stamp every
            message carries, so that events can be put in causal order.
    """

    def __init__(
        self,
        *,
        instance: ids.InstanceId,
        domain: ids.DomainId,
        incarnation: ids.Incarnation,
        address: str,
        link: nng_transport.PeerTransport,
        secret: str,
        clock: clock_module.Clock,
        rng: random.Random,
        hybrid_clock: event_ring.HybridLogicalClock,
    ) -> None:
        self.instance = instance
        self.domain = domain
        self.incarnation = incarnation
        self.address = address
        self._link = link
        self._secret = hashlib.blake2b(secret.encode()).digest()
        self._clock = clock
        self._rng = rng
        self._hybrid_clock = hybrid_clock
        self._peer_by_id: dict[ids.InstanceId, _PeerState] = {}
        self._handler_by_type: dict[type, Handler] = {
            pm.Hello: self._handle_hello,
            pm.Welcome: self._handle_welcome,
        }
        self._future_by_call_id: dict[int, asyncio.Future] = {}
        self._last_sequence = 0
        self._last_call_id = 0
        self._tasks: set[asyncio.Task] = set()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(pm.Envelope)

    def set_handler(
        self, message_type: type[MessageT], handler: Handler
    ) -> None:
        """Register the handler of a message type.

        Args:
            message_type (type): The type of message.
            handler (callable): Function or coroutine function that gets
                the sender and the message. Its result, if not None, is
                sent as the reply; the sender of a one-way message drops
                it.
        """
        self._handler_by_type[message_type] = handler

    def set_address(self, peer: ids.InstanceId, address: str) -> None:
        """Set a peer's address; a changed address resets its state."""
        peer_state = self._peer_by_id.get(peer)
        if peer_state is None:
            self._peer_by_id[peer] = _PeerState(address)
        elif peer_state.address != address:
            self._peer_by_id[peer] = _PeerState(address)

    def remove_peer(self, peer: ids.InstanceId) -> None:
        """Remove the address and state of a peer."""
        self._peer_by_id.pop(peer, None)

    def incarnation_of(self, peer: ids.InstanceId) -> ids.Incarnation:
        """A peer's incarnation, 0 if it has not answered a hello."""
        peer_state = self._peer_by_id.get(peer)
        return peer_state.incarnation if peer_state else ids.Incarnation(0)

    def send_message(self, peer: ids.InstanceId, message: pm.Message) -> None:
        """Send a message without a reply; it may be lost.

        Raises:
            PeerError: If the peer's incarnation is not known yet.
        """
        self._send(peer, message, 0, False)

    async def call_peer(
        self, peer: ids.InstanceId, message: pm.Message, timeout: float
    ) -> typing.Any:
        """Send a message and wait for its reply.

        Args:
            peer (str): The receiver.
            message (Message): The request.
            timeout (float): Longest wait for the reply, in seconds.

        Returns:
            The message in the reply.

        Raises:
            PeerTimeoutError: If no reply came in time; the message may
                have been received.
            PeerError: If the message was not sent.
        """
        self._last_call_id += 1
        call_id = self._last_call_id
        future = asyncio.get_running_loop().create_future()
        self._future_by_call_id[call_id] = future
        try:
            self._send(peer, message, call_id, False)
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError as error:
            self.send_hello(peer)
            raise errors.PeerTimeoutError(
                f"{peer} did not reply in time"
            ) from error
        finally:
            del self._future_by_call_id[call_id]

    def send_hello(self, peer: ids.InstanceId) -> None:
        """Ask a peer for its incarnation, at most once per interval."""
        peer_state = self._peer_by_id.get(peer)
        now = self._clock.now()
        if (
            peer_state is None
            or now - peer_state.hello_sent_at < _HELLO_INTERVAL_S
        ):
            return
        peer_state.hello_sent_at = now
        peer_state.nonce = self._rng.getrandbits(62)
        hello = pm.Hello(peer_state.nonce, self.domain, self.address)
        self._send_envelope(peer_state, hello, ids.Incarnation(0), 0, False)

    def _send(
        self,
        peer: ids.InstanceId,
        message: pm.Message,
        call_id: int,
        is_reply: bool,
    ) -> None:
        peer_state = self._peer_by_id.get(peer)
        if peer_state is None:
            raise errors.PeerError(f"address of {peer} is unknown")
        if not peer_state.incarnation:
            self.send_hello(peer)
            raise errors.PeerError(f"{peer} has not answered a hello")
        self._send_envelope(
            peer_state, message, peer_state.incarnation, call_id, is_reply
        )

    def _send_envelope(
        self,
        peer: _PeerState,
        message: pm.Message,
        receiver_incarnation: ids.Incarnation,
        call_id: int,
        is_reply: bool,
    ) -> None:
        self._last_sequence += 1
        envelope = pm.Envelope(
            pm.PROTOCOL_VERSION,
            self._hybrid_clock.next_stamp(),
            self.instance,
            self.incarnation,
            receiver_incarnation,
            self._last_sequence,
            call_id,
            is_reply,
            message,
        )
        data = self._encoder.encode(envelope)
        metrics.PEER_SENT_BYTES.inc(len(data) + _MAC_BYTES)
        metrics.PEER_SENT_MESSAGES.inc()
        self._link.send(peer.address, self._compute_mac(data) + data)

    def _compute_mac(self, data: bytes) -> bytes:
        return hashlib.blake2b(
            data, key=self._secret, digest_size=_MAC_BYTES
        ).digest()

    async def run(self) -> None:
        """Receive and dispatch messages until cancelled."""
        while True:
            data = await self._link.receive()
            try:
                self._handle_data(data)
            except (msgspec.DecodeError, errors.PeerError) as error:
                metrics.PEER_MESSAGES_REJECTED.labels(
                    type(error).__name__
                ).inc()
            except Exception:
                metrics.PEER_MESSAGES_REJECTED.labels("fault").inc()
                _LOG.exception("peer message handler failed")

    def _handle_data(self, data: bytes) -> None:
        mac, body = data[:_MAC_BYTES], data[_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._compute_mac(body)):
            raise errors.PeerError("message authentication code is wrong")
        envelope = self._decoder.decode(body)
        if envelope.version != pm.PROTOCOL_VERSION:
            raise errors.PeerError("unknown protocol version")
        if not isinstance(envelope.message, pm.Hello | pm.Welcome):
            self._check_not_replayed(envelope)
        self._hybrid_clock.merge(envelope.clock_stamp)
        if envelope.is_reply:
            self._handle_reply(envelope)
        else:
            self._dispatch(envelope)

    def _check_not_replayed(self, envelope: pm.Envelope) -> None:
        if envelope.receiver_incarnation != self.incarnation:
            raise errors.PeerError("message is not addressed to this process")
        peer = self._peer_by_id.get(envelope.sender)
        if peer is None:
            raise errors.PeerError("sender is unknown")
        if envelope.incarnation < peer.latest_incarnation:
            raise errors.PeerError("message was sent by an earlier process")
        if envelope.incarnation > peer.latest_incarnation:
            peer.latest_incarnation = envelope.incarnation
            peer.latest_sequence = 0
        if envelope.sequence_number <= peer.latest_sequence:
            raise errors.PeerError(
                "message was replayed or arrived out of order"
            )
        peer.latest_sequence = envelope.sequence_number

    def _handle_reply(self, envelope: pm.Envelope) -> None:
        future = self._future_by_call_id.get(envelope.call_number)
        if future is not None and not future.done():
            future.set_result(envelope.message)

    def _dispatch(self, envelope: pm.Envelope) -> None:
        handler = self._handler_by_type.get(type(envelope.message))
        if handler is None:
            raise errors.PeerError("message type has no handler")
        result = handler(envelope.sender, envelope.message)
        if inspect.isawaitable(result):
            task = asyncio.ensure_future(
                self._reply_when_done(envelope, result)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif result is not None:
            self._send(envelope.sender, result, envelope.call_number, True)

    async def _reply_when_done(
        self, envelope: pm.Envelope, result: abc.Awaitable
    ) -> None:
        try:
            reply = await result
            if reply is not None:
                self._send(envelope.sender, reply, envelope.call_number, True)
        except errors.ChicorydoorError as error:
            metrics.PEER_MESSAGES_REJECTED.labels(type(error).__name__).inc()

    def _handle_hello(self, sender: ids.InstanceId, hello: pm.Hello) -> None:
        self.set_address(sender, hello.address)
        peer = self._peer_by_id[sender]
        welcome = pm.Welcome(hello.nonce, self.domain, self.incarnation)
        self._send_envelope(peer, welcome, ids.Incarnation(0), 0, False)
        if not peer.incarnation:
            self.send_hello(sender)

    def _handle_welcome(
        self, sender: ids.InstanceId, welcome: pm.Welcome
    ) -> None:
        peer = self._peer_by_id.get(sender)
        if peer is None or not peer.nonce or peer.nonce != welcome.nonce:
            raise errors.PeerError("welcome does not answer a pending hello")
        peer.nonce = 0
        peer.incarnation = welcome.incarnation

    def close(self) -> None:
        """Cancel all running handlers."""
        for task in self._tasks:
            task.cancel()
