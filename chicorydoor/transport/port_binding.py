"""Binds the ports of an entry, each independently of the others.

A port may still be held when an entry starts, by its previous process or by
someone else's connection, and an address may not exist yet while a machine
boots. Neither ends the entry: each port is tried again until it is bound.
"""

import asyncio
from collections import abc
import logging

# A port is bound soon after it is free; an attempt takes some microseconds.
_RETRY_INTERVAL_S = 0.1
# A port may be held for long; then its log line is repeated at this interval.
_LOG_INTERVAL_S = 10.0

_LOG = logging.getLogger(__name__)


class PortBinder:
    """Binds ports and tries those again that cannot be bound."""

    def __init__(self) -> None:
        self._bound_uses: set[str] = set()
        self._task_by_use: dict[str, asyncio.Task] = {}

    def is_bound(self, use: str) -> bool:
        """Whether the port of a use is bound."""
        return use in self._bound_uses

    def bind(
        self, use: str, endpoint: str, listen: abc.Callable[[str], None]
    ) -> None:
        """Bind a port now, or in the background as soon as that works.

        Args:
            use (str): What the port is for.
            endpoint (str): ``ip:port``.
            listen (callable): Binds the endpoint and serves it; raises an
                ``OSError`` if it cannot be bound.
        """
        reason = self._try(use, endpoint, listen)
        if reason is not None:
            self._task_by_use[use] = asyncio.create_task(
                self._bind_later(use, endpoint, listen, reason)
            )

    def _try(
        self, use: str, endpoint: str, listen: abc.Callable[[str], None]
    ) -> OSError | None:
        """Bind a port; return the error that prevented it."""
        try:
            listen(endpoint)
        except OSError as error:
            return error
        self._bound_uses.add(use)
        return None

    async def _bind_later(
        self,
        use: str,
        endpoint: str,
        listen: abc.Callable[[str], None],
        reason: OSError | None,
    ) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        logged_at = float("-inf")
        while reason is not None:
            if loop.time() - logged_at >= _LOG_INTERVAL_S:
                logged_at = loop.time()
                _LOG.warning(
                    "port not bound, trying again",
                    extra={
                        "use": use,
                        "endpoint": endpoint,
                        "reason": f"{reason}",
                        "waited_s": round(logged_at - started_at, 1),
                    },
                )
            await asyncio.sleep(_RETRY_INTERVAL_S)
            reason = self._try(use, endpoint, listen)
        _LOG.info(
            "port bound",
            extra={
                "use": use,
                "endpoint": endpoint,
                "waited_s": round(loop.time() - started_at, 1),
            },
        )

    async def close(self) -> None:
        """Stop trying to bind ports; those that are bound stay so."""
        tasks = list(self._task_by_use.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
