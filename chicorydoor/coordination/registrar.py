"""Keeps the entry's own registration in the store, under a lease."""

import asyncio
from collections import abc
import logging
import typing

from chicorydoor import errors
from chicorydoor.transport import clock as clock_module

# Registrations only introduce entries to each other and reserve the shares
# of those that are silent; heartbeats tell who is alive.
LEASE_S = 12.0
_RENEW_S = 4.0
_RETRY_S = 0.7
_LEAVE_TIMEOUT_S = 0.5

_LOG = logging.getLogger(__name__)


class Leases(typing.Protocol):
    """What is needed of the store."""

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Create a lease; returns its id and its time in seconds."""

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; False if it has ended."""

    async def end_lease(self, lease: int) -> None:
        """End a lease, which removes its keys."""

    async def put(self, key: str, value: bytes, lease: int) -> bool:
        """Write a key; False if the lease has ended."""


class Registrar:
    """Writes and renews the registration.

    Args:
        leases (Leases): The store.
        key (str): Key of the registration.
        value (callable): What is written.
        clock (Clock): Time.
        on_contact (callable): Called when the store has answered.
    """

    def __init__(
        self,
        leases: Leases,
        key: str,
        value: abc.Callable[[], bytes],
        clock: clock_module.Clock,
        on_contact: abc.Callable[[], None],
    ) -> None:
        self._leases = leases
        self._key = key
        self._value = value
        self._clock = clock
        self._on_contact = on_contact
        self._lease: int | None = None
        self.contact_at = float("-inf")

    async def run(self) -> None:
        """Stay registered until cancelled."""
        while True:
            try:
                await self._keep()
                self.contact_at = self._clock.now()
                self._on_contact()
                await asyncio.sleep(_RENEW_S)
            except errors.StoreUnavailableError as error:
                _LOG.warning(
                    "registration not renewed", extra={"reason": f"{error}"}
                )
                await asyncio.sleep(_RETRY_S)

    async def _keep(self) -> None:
        if self._lease is not None:
            if await self._leases.keep_lease(self._lease):
                return
            _LOG.warning("registration lapsed", extra={"lease": self._lease})
            self._lease = None
        lease, _ = await self._leases.grant_lease(LEASE_S)
        if await self._leases.put(self._key, self._value(), lease):
            self._lease = lease
            _LOG.info("registered", extra={"lease": lease})

    async def withdraw(self) -> None:
        """Remove the registration; a failure leaves it to the lease."""
        if self._lease is None:
            return
        try:
            async with asyncio.timeout(_LEAVE_TIMEOUT_S):
                await self._leases.end_lease(self._lease)
        except (errors.StoreUnavailableError, TimeoutError) as error:
            _LOG.warning(
                "registration not withdrawn",
                extra={"reason": f"{type(error).__name__} {error}"},
            )
