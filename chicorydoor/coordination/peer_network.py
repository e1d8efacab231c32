"""Authenticated calls and messages between entries.

Each message carries a keyed digest, the sender's and the receiver's
incarnation and a growing sequence number, so that forged, replayed and
misdirected messages are dropped. A peer's incarnation is learnt by a hello
that the peer answers with the same nonce.
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
from chicorydoor.transport import nng_link

_MAC_BYTES = 16
_HELLO_INTERVAL_S = 0.25

_LOG = logging.getLogger(__name__)

MessageT = typing.TypeVar("MessageT", bound=pm.Message)
Handler = abc.Callable[[ids.InstanceId, typing.Any], typing.Any]


class _Peer:
    """What is known of one peer's process."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.incarnation = ids.Incarnation(0)
        self.nonce = 0
        self.hello_at = float("-inf")
        self.seen_incarnation = ids.Incarnation(0)
        self.seen_sequence = 0


class PeerNetwork:
    """One entry's end of all peer connections.

    Args:
        instance (str): The own id.
        domain (str): The own failure domain.
        incarnation (int): Grows with each start of the process.
        address (str): Where peers reach this entry.
        link (PeerLink): Moves the messages.
        secret (str): Shared by all entries.
        clock (Clock): Time.
        rng (Random): For nonces.
        stamps (HybridClock): Travels with every message.
    """

    def __init__(
        self,
        *,
        instance: ids.InstanceId,
        domain: ids.DomainId,
        incarnation: ids.Incarnation,
        address: str,
        link: nng_link.PeerLink,
        secret: str,
        clock: clock_module.Clock,
        rng: random.Random,
        stamps: event_ring.HybridClock,
    ) -> None:
        self.instance = instance
        self.domain = domain
        self.incarnation = incarnation
        self.address = address
        self._link = link
        self._secret = hashlib.blake2b(secret.encode()).digest()
        self._clock = clock
        self._rng = rng
        self._stamps = stamps
        self._peer_by_id: dict[ids.InstanceId, _Peer] = {}
        self._handler_by_type: dict[type, Handler] = {
            pm.Hello: self._on_hello,
            pm.Welcome: self._on_welcome,
        }
        self._future_by_call: dict[int, asyncio.Future] = {}
        self._sequence = 0
        self._call = 0
        self._tasks: set[asyncio.Task] = set()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(pm.Envelope)

    def on(self, message_type: type[MessageT], handler: Handler) -> None:
        """Let a function or coroutine function answer a message type.

        Its result, if not None, is the answer to a call.
        """
        self._handler_by_type[message_type] = handler

    def learn(self, peer: ids.InstanceId, address: str) -> None:
        """Say where a peer is reached."""
        known = self._peer_by_id.get(peer)
        if known is None:
            self._peer_by_id[peer] = _Peer(address)
        elif known.address != address:
            self._peer_by_id[peer] = _Peer(address)

    def forget(self, peer: ids.InstanceId) -> None:
        """Drop what is known of a peer."""
        self._peer_by_id.pop(peer, None)

    def incarnation_of(self, peer: ids.InstanceId) -> ids.Incarnation:
        """A peer's incarnation, or 0 if it has not answered."""
        known = self._peer_by_id.get(peer)
        return known.incarnation if known else ids.Incarnation(0)

    def post(self, peer: ids.InstanceId, message: pm.Message) -> None:
        """Send a message that needs no answer; it may be lost.

        Raises:
            PeerError: If the peer's incarnation is not known yet.
        """
        self._send(peer, message, 0, False)

    async def call(
        self, peer: ids.InstanceId, message: pm.Message, timeout: float
    ) -> typing.Any:
        """Send a message and wait for its answer.

        Args:
            peer (str): The receiver.
            message (Message): What is asked.
            timeout (float): Seconds.

        Raises:
            PeerTimeoutError: If no answer came in time; the message may
                have been received.
            PeerError: If the message was not sent.
        """
        self._call += 1
        call = self._call
        future = asyncio.get_running_loop().create_future()
        self._future_by_call[call] = future
        try:
            self._send(peer, message, call, False)
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError as error:
            self.greet(peer)
            raise errors.PeerTimeoutError(f"{peer} did not answer") from error
        finally:
            del self._future_by_call[call]

    def greet(self, peer: ids.InstanceId) -> None:
        """Ask a peer for its incarnation, at most once an interval."""
        known = self._peer_by_id.get(peer)
        now = self._clock.now()
        if known is None or now - known.hello_at < _HELLO_INTERVAL_S:
            return
        known.hello_at = now
        known.nonce = self._rng.getrandbits(62)
        hello = pm.Hello(known.nonce, self.domain, self.address)
        self._transmit(known, hello, ids.Incarnation(0), 0, False)

    def _send(
        self,
        peer: ids.InstanceId,
        message: pm.Message,
        call: int,
        is_reply: bool,
    ) -> None:
        known = self._peer_by_id.get(peer)
        if known is None:
            raise errors.PeerError(f"no address of {peer}")
        if not known.incarnation:
            self.greet(peer)
            raise errors.PeerError(f"{peer} has not answered a hello")
        self._transmit(known, message, known.incarnation, call, is_reply)

    def _transmit(
        self,
        peer: _Peer,
        message: pm.Message,
        to: ids.Incarnation,
        call: int,
        is_reply: bool,
    ) -> None:
        self._sequence += 1
        envelope = pm.Envelope(
            pm.PROTOCOL_VERSION,
            self._stamps.next(),
            self.instance,
            self.incarnation,
            to,
            self._sequence,
            call,
            is_reply,
            message,
        )
        data = self._encoder.encode(envelope)
        metrics.PEER_SENT_BYTES.inc(len(data) + _MAC_BYTES)
        metrics.PEER_SENT_MESSAGES.inc()
        self._link.send(peer.address, self._mac(data) + data)

    def _mac(self, data: bytes) -> bytes:
        return hashlib.blake2b(
            data, key=self._secret, digest_size=_MAC_BYTES
        ).digest()

    async def run(self) -> None:
        """Receive messages until cancelled."""
        while True:
            data = await self._link.receive()
            try:
                self._receive(data)
            except (msgspec.DecodeError, errors.PeerError) as error:
                metrics.PEER_REFUSED.labels(type(error).__name__).inc()
            except Exception:
                metrics.PEER_REFUSED.labels("fault").inc()
                _LOG.exception("peer message handler failed")

    def _receive(self, data: bytes) -> None:
        mac, body = data[:_MAC_BYTES], data[_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            raise errors.PeerError("wrong digest")
        envelope = self._decoder.decode(body)
        if envelope.version != pm.PROTOCOL_VERSION:
            raise errors.PeerError("unknown version")
        if not isinstance(envelope.message, pm.Hello | pm.Welcome):
            self._check_fresh(envelope)
        self._stamps.merge(envelope.stamp)
        if envelope.is_reply:
            self._on_reply(envelope)
        else:
            self._dispatch(envelope)

    def _check_fresh(self, envelope: pm.Envelope) -> None:
        if envelope.receiver_incarnation != self.incarnation:
            raise errors.PeerError("meant for an earlier process")
        peer = self._peer_by_id.get(envelope.sender)
        if peer is None:
            raise errors.PeerError("unknown sender")
        if envelope.incarnation < peer.seen_incarnation:
            raise errors.PeerError("from an earlier process")
        if envelope.incarnation > peer.seen_incarnation:
            peer.seen_incarnation = envelope.incarnation
            peer.seen_sequence = 0
        if envelope.sequence <= peer.seen_sequence:
            raise errors.PeerError("replayed")
        peer.seen_sequence = envelope.sequence

    def _on_reply(self, envelope: pm.Envelope) -> None:
        future = self._future_by_call.get(envelope.call)
        if future is not None and not future.done():
            future.set_result(envelope.message)

    def _dispatch(self, envelope: pm.Envelope) -> None:
        handler = self._handler_by_type.get(type(envelope.message))
        if handler is None:
            raise errors.PeerError("unexpected message")
        result = handler(envelope.sender, envelope.message)
        if inspect.isawaitable(result):
            task = asyncio.ensure_future(self._finish(envelope, result))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif result is not None:
            self._send(envelope.sender, result, envelope.call, True)

    async def _finish(
        self, envelope: pm.Envelope, result: abc.Awaitable
    ) -> None:
        try:
            reply = await result
            if reply is not None:
                self._send(envelope.sender, reply, envelope.call, True)
        except errors.ChicorydoorError as error:
            metrics.PEER_REFUSED.labels(type(error).__name__).inc()

    def _on_hello(self, sender: ids.InstanceId, hello: pm.Hello) -> None:
        self.learn(sender, hello.address)
        peer = self._peer_by_id[sender]
        welcome = pm.Welcome(hello.nonce, self.domain, self.incarnation)
        self._transmit(peer, welcome, ids.Incarnation(0), 0, False)
        if not peer.incarnation:
            self.greet(sender)

    def _on_welcome(self, sender: ids.InstanceId, welcome: pm.Welcome) -> None:
        peer = self._peer_by_id.get(sender)
        if peer is None or not peer.nonce or peer.nonce != welcome.nonce:
            raise errors.PeerError("welcome without a hello")
        peer.nonce = 0
        peer.incarnation = welcome.incarnation

    def close(self) -> None:
        """Cancel the running handlers."""
        for task in self._tasks:
            task.cancel()
