"""Registers the entry in the store under a lease and renews it."""

import asyncio
from collections import abc
import contextlib
import logging
import typing

from chicorydoor import errors
from chicorydoor.transport import clock as clock_module

# Registrations only let entries discover each other, and keep the rate shares
# of an entry that sends no heartbeats reserved until its lease expires;
# heartbeats show which entries are alive.
REGISTRATION_LEASE_S = 12.0
_RENEWAL_INTERVAL_S = 4.0
_RETRY_DELAY_S = 0.7
_WITHDRAWAL_TIMEOUT_S = 0.5

_LOG = logging.getLogger(__name__)


class LeaseStore(typing.Protocol):
    """The calls of a store that the registration of an entry needs."""

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Create a lease; return its id and its time to live in seconds."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which removes its keys."""

    async def put(self, key: str, value: bytes, lease: int) -> bool:
        """Write a key; return False if the lease has expired."""


class EntryRegistration:
    """Writes, renews and withdraws the entry's registration.

    Args:
        store (LeaseStore): The store.
        key (str): Key of the registration.
        make_value (callable): Returns the registration to write.
        clock (Clock): Source of time.
        on_contact (callable): Called when the store has answered.
    """

    def __init__(
        self,
        store: LeaseStore,
        key: str,
        make_value: abc.Callable[[], bytes],
        clock: clock_module.Clock,
        on_contact: abc.Callable[[], None],
    ) -> None:
        self._store = store
        self._key = key
        self._make_value = make_value
        self._clock = clock
        self._on_contact = on_contact
        self._lease: int | None = None
        self._is_written = False
        self._restored = asyncio.Event()
        self.renewed_at = float("-inf")

    async def run(self) -> None:
        """Keep the entry registered until cancelled."""
        while True:
            try:
                self._forget_lost_lease()
                await self._renew_or_register()
                self.renewed_at = self._clock.now()
                self._on_contact()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(_RENEWAL_INTERVAL_S):
                        await self._restored.wait()
            except errors.StoreUnavailableError as error:
                _LOG.warning(
                    "registration not renewed", extra={"reason": f"{error}"}
                )
                await asyncio.sleep(_RETRY_DELAY_S)

    def handle_restore(self) -> None:
        """Register again at once: the store has come back from a copy."""
        self._restored.set()

    def _forget_lost_lease(self) -> None:
        """Forget the lease if the store was restored since it was granted.

        The store may have given its id to another holder.
        """
        if self._restored.is_set():
            self._restored.clear()
            self._lease = None

    async def _renew_or_register(self) -> None:
        if self._lease is not None and not await self._store.renew_lease(
            self._lease
        ):
            _LOG.warning("registration lapsed", extra={"lease": self._lease})
            self._lease = None
        if self._lease is None:
            self._lease, _ = await self._store.grant_lease(
                REGISTRATION_LEASE_S
            )
            self._is_written = False
        if self._is_written:
            return
        # A write without an answer is repeated under the same lease: the store
        # may execute it later, and the key would go with another lease.
        if await self._store.put(self._key, self._make_value(), self._lease):
            self._is_written = True
            _LOG.info("registered", extra={"lease": self._lease})
        else:
            self._lease = None

    async def withdraw(self) -> None:
        """Remove the registration; if that fails, its lease expires."""
        self._forget_lost_lease()
        if self._lease is None:
            return
        try:
            async with asyncio.timeout(_WITHDRAWAL_TIMEOUT_S):
                await self._store.revoke_lease(self._lease)
        except (errors.StoreUnavailableError, TimeoutError) as error:
            _LOG.warning(
                "registration not withdrawn",
                extra={"reason": f"{type(error).__name__} {error}"},
            )
