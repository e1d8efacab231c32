"""Idempotency keys and the outcomes of requests that carry them.

An entry mints signed keys that carry its instance id, its incarnation and an
expiry. Only that incarnation runs a request with the key, at most once, and
it keeps the outcome until the key expires.

Example:
    >>> class Fixed:
    ...     def now(self): return 0.0
    ...     def wall(self): return 1000.0
    >>> issuer = IdempotencyKeyIssuer(
    ...     "a secret of some length", "entry-1", 7, Fixed()
    ... )
    >>> minted = issuer.verify(issuer.mint())
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

_KEY_LIFETIME_S = 300.0
_SIGNATURE_BYTES = 12
_REMOVAL_INTERVAL_S = 10.0


class MintedKey(msgspec.Struct, frozen=True, array_like=True):
    """Signed content of a minted key.

    Args:
        instance (str): Instance id of the entry that minted the key.
        incarnation (int): That entry's incarnation.
        expires_at (int): Wall time of the expiry, seconds since the epoch.
        nonce (int): Makes the keys of an incarnation unique.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    expires_at: int
    nonce: int


class IdempotencyKeyIssuer:
    """Mints and verifies idempotency keys.

    Args:
        secret (str): Signing secret, shared by all entries.
        instance (str): This entry's instance id.
        incarnation (int): This entry's incarnation.
        clock (Clock): Source of the wall time for expiries.
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
        """Mint a new key."""
        expires_at = int(self._clock.wall() + _KEY_LIFETIME_S)
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
        """Content of a key; None if it is forged or has expired."""
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
    """Answer to a request, or its refusal.

    Args:
        code (int): Number of the refusal's result code, 0 for an answer.
        status (int): HTTP status.
        headers (list): Names and values of the headers.
        body (bytes): Whole body, or None if it was streamed or too large to
            keep, or the table's space was used up.
    """

    code: int
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes | None


class IdempotencyRecord:
    """Record of a key's request and its answer.

    Args:
        fingerprint (bytes): Digest of the request, which detects use of a
            key for two requests.
        expires_at (float): Wall time of the expiry, seconds since the epoch.

    Attributes:
        answer (Future): The answer; cancelled if the request certainly did
            not run.
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
        max_records (int): Maximum number of records; beyond it new ones are
            refused, since evicting one early could let a request run twice.
        max_body_bytes (int): Maximum total size of kept answer bodies;
            beyond it records keep no body.
        clock (Clock): Source of the wall time that expiries are compared
            with.
    """

    def __init__(
        self,
        max_records: int,
        max_body_bytes: int,
        clock: clock_module.Clock,
    ) -> None:
        self._max_records = max_records
        self._free_body_bytes = max_body_bytes
        self._clock = clock
        self._last_removal_at = clock.wall()
        self._record_by_key: dict[str, IdempotencyRecord] = {}

    def __len__(self) -> int:
        return len(self._record_by_key)

    def find(self, key: str) -> IdempotencyRecord | None:
        """Record of a key; None if no request with it was started."""
        return self._record_by_key.get(key)

    def add_running(
        self, key: str, fingerprint: bytes, expires_at: float
    ) -> IdempotencyRecord | None:
        """Add a record before the request runs.

        Args:
            key (str): The request's idempotency key.
            fingerprint (bytes): Digest of the request.
            expires_at (float): Wall time of the expiry, seconds since the
                epoch.

        Returns:
            The record; None if the table is full.
        """
        self._remove_expired()
        if len(self._record_by_key) >= self._max_records:
            return None
        record = IdempotencyRecord(fingerprint, expires_at)
        self._record_by_key[key] = record
        metrics.IDEMPOTENCY_RECORDS.set(len(self._record_by_key))
        return record

    def record_answer(
        self, record: IdempotencyRecord, answer: RecordedAnswer
    ) -> None:
        """Record the answer, without its body if the space is used up."""
        if record.answer.done():
            return
        body_size = len(answer.body or b"")
        if body_size > self._free_body_bytes:
            answer = msgspec.structs.replace(answer, body=None)
            body_size = 0
        self._free_body_bytes -= body_size
        record.answer.set_result(answer)

    def remove(self, key: str) -> None:
        """Remove the record of a request that certainly did not run."""
        record = self._record_by_key.pop(key, None)
        if record is not None and not record.answer.done():
            record.answer.cancel()
        metrics.IDEMPOTENCY_RECORDS.set(len(self._record_by_key))

    def _remove_expired(self) -> None:
        now = self._clock.wall()
        is_full = len(self._record_by_key) >= self._max_records
        if not is_full and now - self._last_removal_at < _REMOVAL_INTERVAL_S:
            return
        self._last_removal_at = now
        expired = [
            key
            for key, record in self._record_by_key.items()
            if record.expires_at <= now and record.answer.done()
        ]
        for key in expired:
            answer = self._record_by_key.pop(key).answer.result()
            self._free_body_bytes += len(answer.body or b"")
