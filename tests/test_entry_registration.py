"""The entry's registration in a store whose answers are lost."""

import asyncio

from chicorydoor import errors
from chicorydoor.coordination import entry_registration
from tests.support import clocks


class _LateStore:
    """A store that executes the first write after it has failed.

    A key belongs to the lease under which it was written last.
    """

    def __init__(self):
        self.lease_count = 0
        self.renewed = []
        self.revoked = []
        self.lease_by_key = {}
        self.late_writes = []

    async def grant_lease(self, ttl_s):
        self.lease_count += 1
        return self.lease_count, ttl_s

    async def renew_lease(self, lease):
        self.renewed.append(lease)
        return True

    async def revoke_lease(self, lease):
        self.revoked.append(lease)

    async def put(self, key, value, lease):
        if not self.late_writes:
            self.late_writes.append((key, lease))
            raise errors.StoreUnavailableError("kv-txn: ReadTimeout")
        self.lease_by_key[key] = lease
        return True

    def execute_late_writes(self):
        self.lease_by_key.update(self.late_writes)


def _build_registration(store):
    return entry_registration.EntryRegistration(
        store, "k", lambda: b"v", clocks.ManualClock(), lambda: None
    )


class TestLostAnswers:
    # Guards against a registration that goes with a lease that nobody renews:
    # the store executes a call without an answer seconds later.
    def test_late_write_belongs_to_the_lease_that_is_renewed(
        self, monkeypatch
    ):
        monkeypatch.setattr(entry_registration, "_RETRY_DELAY_S", 0.01)
        monkeypatch.setattr(entry_registration, "_RENEWAL_INTERVAL_S", 0.05)

        async def run():
            store = _LateStore()
            task = asyncio.create_task(_build_registration(store).run())
            await asyncio.sleep(0.03)
            store.execute_late_writes()
            store.renewed.clear()
            await asyncio.sleep(0.2)
            task.cancel()
            assert store.renewed
            assert set(store.renewed) == {store.lease_by_key["k"]}

        asyncio.run(run())

    # Guards against an entry that stays registered after its stop.
    def test_lease_of_an_unanswered_write_is_withdrawn(self):
        async def run():
            store = _LateStore()
            registration = _build_registration(store)
            task = asyncio.create_task(registration.run())
            await asyncio.sleep(0.05)
            task.cancel()
            await registration.withdraw()
            assert store.revoked == [1]

        asyncio.run(run())
