"""Records of blocked requests in the store."""

import asyncio
import contextlib

from chicorydoor import errors
from chicorydoor.coordination import blocked_request_records
from chicorydoor.protocol import store_items
from chicorydoor.state import request_crashes
from tests.support import clocks

_PREFIX = "blocked/"
_DEADLY = b"deadly"


class _Store:
    """Holds records in memory; fails as many calls as told."""

    def __init__(self):
        self.value_by_key = {}
        self.key_by_lease = {}
        self.failures = 0

    def _begin_call(self):
        if self.failures:
            self.failures -= 1
            raise errors.StoreUnavailableError("down")

    async def list_items(self, prefix):
        self._begin_call()
        return store_items.StoreItemBatch(
            [
                store_items.StoreItemChange(key, 1, value)
                for key, value in self.value_by_key.items()
            ],
            1,
        )

    async def grant_lease(self, ttl_s):
        self._begin_call()
        return len(self.key_by_lease) + 1, ttl_s

    async def revoke_lease(self, lease):
        self._begin_call()
        self.value_by_key.pop(self.key_by_lease[lease], None)

    async def put(self, key, value, lease):
        self._begin_call()
        self.value_by_key[key] = value
        self.key_by_lease[lease] = key
        return True


def _build(store, instance="e", instances=("e",)):
    clock = clocks.ManualClock()
    crashes = request_crashes.RequestCrashes(instance, lambda: instances)
    records = blocked_request_records.BlockedRequestRecords(
        store, _PREFIX, crashes, clock
    )
    return crashes, records


def _block(crashes):
    for number in range(3):
        crashes.record_lost(_DEADLY, (f"t{number}", 1), 0.0, 0.0)
        crashes.record_ended((f"t{number}", 1), 0.0)


def _run(records, seconds=0.05):
    async def run():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await records.run()

    asyncio.run(run())


class TestRecords:
    def test_entry_that_starts_reads_what_another_wrote(self):
        store = _Store()
        crashes, records = _build(store)
        _block(crashes)
        _run(records)
        later, later_records = _build(store)
        assert later.may_send(_DEADLY, 1.0)
        _run(later_records)
        assert not later.may_send(_DEADLY, 1.0)

    def test_one_entry_writes_the_record(self):
        names = ["e0", "e1", "e2"]
        written = []
        for name in names:
            store = _Store()
            crashes, records = _build(store, name, names)
            _block(crashes)
            _run(records)
            written.append(len(store.value_by_key))
        assert sorted(written) == [0, 0, 1]

    def test_cleared_request_has_no_record(self):
        store = _Store()
        crashes, records = _build(store)
        _block(crashes)
        _run(records)
        assert store.value_by_key
        crashes.record_answered(_DEADLY, 1.0)
        _run(records)
        assert not store.value_by_key

    def test_failed_calls_are_repeated(self):
        store = _Store()
        store.failures = 1
        crashes, records = _build(store)
        _block(crashes)
        _run(records, seconds=1.0)
        assert len(store.value_by_key) == 1

    # Guards against records that are lost with a store's copy, so that an
    # entry that starts later sends a request that ends its targets.
    def test_records_are_written_again_after_a_restore(self):
        store = _Store()
        crashes, records = _build(store)
        _block(crashes)
        _run(records)
        store.value_by_key.clear()
        records.handle_restore()
        _run(records)
        assert len(store.value_by_key) == 1

    def test_unreadable_record_is_ignored(self):
        store = _Store()
        crashes, records = _build(store)
        _block(crashes)
        _run(records)
        store.value_by_key[_PREFIX + "0"] = b"\xff not a record"
        later, later_records = _build(store)
        _run(later_records)
        assert not later.may_send(_DEADLY, 1.0)
