"""Keeps the blocked requests in the store, for when all entries have ended.

Entries tell each other of blocked requests. Only an entry that starts while
no other one runs needs the records, so each reads them once, at its start.
"""

import asyncio
import logging
import typing

import msgspec

from chicorydoor import errors
from chicorydoor.protocol import store_items
from chicorydoor.state import request_crashes
from chicorydoor.transport import clock as clock_module

# Records disappear by themselves after this time, the longest that the store
# allows for a lease.
_LEASE_S = 600.0
# A record is written again well before its lease ends.
_REWRITE_INTERVAL_S = 240.0
# Interval at which newly blocked requests are looked for. Blocking a request
# takes seconds, so a shorter one would not save a target.
_CHECK_INTERVAL_S = 0.5
_RETRY_DELAY_S = 0.7

_LOG = logging.getLogger(__name__)


class RecordStore(typing.Protocol):
    """The calls of a store that the records need."""

    async def list_items(self, prefix: str) -> store_items.StoreItemBatch:
        """Read all items below a prefix."""

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Create a lease; return its id and its time to live in seconds."""

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which removes its keys."""

    async def put(self, key: str, value: bytes, lease: int) -> bool:
        """Write a key; return False if the lease has expired."""


class _Record(msgspec.Struct):
    """A record that this entry wrote.

    Args:
        lease (int): Lease of the record.
        written_at (float): Time in seconds of the entry's clock.
    """

    lease: int
    written_at: float


class BlockedRequestRecords:
    """Reads and writes the records of blocked requests.

    Of all entries that know a blocked request, a designated one writes it.

    Args:
        store (RecordStore): The store.
        prefix (str): Prefix of the records' keys.
        crashes (RequestCrashes): The blocked requests.
        clock (Clock): Source of time.
    """

    def __init__(
        self,
        store: RecordStore,
        prefix: str,
        crashes: request_crashes.RequestCrashes,
        clock: clock_module.Clock,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._crashes = crashes
        self._clock = clock
        self._record_by_fingerprint: dict[
            request_crashes.Fingerprint, _Record
        ] = {}
        self._is_restored = False

    async def run(self) -> None:
        """Read the records, then keep them current until cancelled."""
        has_read = False
        while True:
            try:
                if not has_read:
                    await self._read()
                    has_read = True
                await self._write_changes()
                await asyncio.sleep(_CHECK_INTERVAL_S)
            except errors.StoreUnavailableError as error:
                _LOG.warning(
                    "blocked requests not recorded",
                    extra={"reason": f"{error}"},
                )
                await asyncio.sleep(_RETRY_DELAY_S)

    def handle_restore(self) -> None:
        """Write all records again: the store has come back from a copy.

        Their leases are not revoked, since the store may have given their ids
        to other holders.
        """
        self._is_restored = True

    async def _read(self) -> None:
        batch = await self._store.list_items(self._prefix)
        reports = []
        for item in batch.items:
            try:
                reports.append(
                    msgspec.json.decode(
                        item.value or b"", type=request_crashes.CrashReport
                    )
                )
            except msgspec.DecodeError as error:
                _LOG.warning(
                    "invalid record of a blocked request ignored",
                    extra={"key": item.key, "reason": f"{error}"},
                )
        self._crashes.apply_reports(reports, self._clock.now())

    async def _write_changes(self) -> None:
        if self._is_restored:
            self._is_restored = False
            self._record_by_fingerprint.clear()
        now = self._clock.now()
        blocked = self._crashes.blocked_reports(now)
        for report in blocked:
            record = self._record_by_fingerprint.get(report.fingerprint)
            is_current = (
                record is not None
                and now - record.written_at < _REWRITE_INTERVAL_S
            )
            if not is_current and self._crashes.is_designated(
                report.fingerprint
            ):
                await self._write(report, now)
        blocked_fingerprints = {report.fingerprint for report in blocked}
        for fingerprint in (
            self._record_by_fingerprint.keys() - blocked_fingerprints
        ):
            record = self._record_by_fingerprint[fingerprint]
            await self._store.revoke_lease(record.lease)
            del self._record_by_fingerprint[fingerprint]

    async def _write(
        self, report: request_crashes.CrashReport, now: float
    ) -> None:
        lease, _ = await self._store.grant_lease(_LEASE_S)
        key = self._prefix + report.fingerprint.hex()
        if await self._store.put(key, msgspec.json.encode(report), lease):
            self._record_by_fingerprint[report.fingerprint] = _Record(
                lease, now
            )
