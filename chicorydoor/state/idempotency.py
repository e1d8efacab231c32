"""Idempotency keys and the outcomes of requests that carry them.

An entry signs the keys that it mints with its instance id, its incarnation
and an expiry. Only that incarnation ever runs a request under the key, once,
and it keeps the outcome until the key expires.

Example:
    >>> class Fixed:
    ...     def now(self): return 0.0
    ...     def wall(self): return 1000.0
    >>> mint = KeyMint("a secret of some length", "entry-1", 7, Fixed())
    >>> minted = mint.verify(mint.mint())
    >>> minted.instance, minted.incarnation
    ('entry-1', 7)
"""

import asyncio
import base64
import hashlib
import hmac
import itertools
import secrets

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

KEY_LIFETIME_S = 300.0
_SIGNATURE_BYTES = 12
_EXPIRE_EVERY_S = 10.0


class MintedKey(msgspec.Struct, frozen=True, array_like=True):
    """What a minted key says."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    expires_at: int
    nonce: int


class KeyMint:
    """Mints and verifies idempotency keys.

    Args:
        secret (str): Shared by all entries.
        instance (str): The own instance id.
        incarnation (int): The own incarnation.
        clock (Clock): Its wall time gives the expiry.
    """

    def __init__(
        self,
        secret: str,
        instance: ids.InstanceId,
        incarnation: ids.Incarnation,
        clock: clock_module.Clock,
    ) -> None:
        self._secret = hashlib.blake2b(
            secret.encode(), person=b"idempotency"
        ).digest()
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        start = secrets.randbits(48)
        self._nonces = itertools.count(start)

    def mint(self) -> str:
        """A new key."""
        expires_at = int(self._clock.wall() + KEY_LIFETIME_S)
        key = MintedKey(
            self._instance, self._incarnation, expires_at, next(self._nonces)
        )
        data = msgspec.msgpack.encode(key)
        return base64.urlsafe_b64encode(self._sign(data) + data).decode()

    def _sign(self, data: bytes) -> bytes:
        return hashlib.blake2b(
            data, key=self._secret, digest_size=_SIGNATURE_BYTES
        ).digest()

    def verify(self, text: str) -> MintedKey | None:
        """What a key says, or None if it is forged or has expired."""
        try:
            signed = base64.urlsafe_b64decode(text.encode("ascii"))
            signature = signed[:_SIGNATURE_BYTES]
            data = signed[_SIGNATURE_BYTES:]
            if not hmac.compare_digest(signature, self._sign(data)):
                return None
            key = msgspec.msgpack.decode(data, type=MintedKey)
        except (ValueError, msgspec.DecodeError):
            return None
        return key if key.expires_at > self._clock.wall() else None


class RecordedAnswer(msgspec.Struct, frozen=True):
    """An answer as it was given.

    Args:
        code (int): Result code number.
        status (int): HTTP status.
        headers (list): Names and values.
        body (bytes): Whole body, or None if it was too large to keep.
    """

    code: int
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes | None


class Record:
    """One key's request.

    Args:
        fingerprint (bytes): Digest of customer, method, path and body
            length, so that a key is not used for two requests.
        expires_at (float): Wall time.
    """

    def __init__(self, fingerprint: bytes, expires_at: float) -> None:
        self.fingerprint = fingerprint
        self.expires_at = expires_at
        self.answer: asyncio.Future[RecordedAnswer] = (
            asyncio.get_running_loop().create_future()
        )


class IdempotencyTable:
    """Records of one process, by key.

    Args:
        limit (int): Most records; beyond it new ones are refused, since
            dropping one early could let a request run twice.
        body_bytes (int): Most bytes of answers; beyond it records keep no
            body.
        clock (Clock): Its wall time is compared with the expiries.
    """

    def __init__(
        self, limit: int, body_bytes: int, clock: clock_module.Clock
    ) -> None:
        self._limit = limit
        self._bytes_left = body_bytes
        self._clock = clock
        self._expired_at = clock.wall()
        self._record_by_key: dict[str, Record] = {}

    def __len__(self) -> int:
        return len(self._record_by_key)

    def find(self, key: str) -> Record | None:
        """The record of a key, if its request was seen."""
        return self._record_by_key.get(key)

    def start(
        self, key: str, fingerprint: bytes, expires_at: float
    ) -> Record | None:
        """Make a record, before the request runs.

        Returns:
            None if there is no room.
        """
        self._expire()
        if len(self._record_by_key) >= self._limit:
            return None
        record = Record(fingerprint, expires_at)
        self._record_by_key[key] = record
        metrics.IDEMPOTENCY_RECORDS.set(len(self._record_by_key))
        return record

    def settle(self, record: Record, answer: RecordedAnswer) -> None:
        """Record an answer, without its body if there is no room."""
        if record.answer.done():
            return
        size = len(answer.body or b"")
        if size > self._bytes_left:
            answer = msgspec.structs.replace(answer, body=None)
            size = 0
        self._bytes_left -= size
        record.answer.set_result(answer)

    def discard(self, key: str) -> None:
        """Forget a record whose request was certainly not run."""
        record = self._record_by_key.pop(key, None)
        if record is not None and not record.answer.done():
            record.answer.cancel()
        metrics.IDEMPOTENCY_RECORDS.set(len(self._record_by_key))

    def _expire(self) -> None:
        now = self._clock.wall()
        is_full = len(self._record_by_key) >= self._limit
        if not is_full and now - self._expired_at < _EXPIRE_EVERY_S:
            return
        self._expired_at = now
        expired = [
            key
            for key, record in self._record_by_key.items()
            if record.expires_at <= now and record.answer.done()
        ]
        for key in expired:
            answer = self._record_by_key.pop(key).answer.result()
            self._bytes_left += len(answer.body or b"")
