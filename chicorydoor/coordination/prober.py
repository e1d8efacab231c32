"""Probes targets that get no requests to judge them by.

A probe costs a target several milliseconds, so only ejected targets whose
pause is nearly over are probed, and few at a time. A probe's answer is a
hint: a target comes back into use only by serving a request well.
"""

import asyncio

import httpx
import msgspec

from chicorydoor.state import target_table
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

_INTERVAL_S = 0.5
_TIMEOUT_S = 0.5
_PROBES_PER_ROUND = 2
_FAILED_PROBE_PAUSE_S = 2.0


class TargetReport(msgspec.Struct, frozen=True):
    """What a target says of itself."""

    load: float = 0.0


class Prober:
    """Sends probes within a budget.

    Args:
        targets (TargetTable): Whose targets are probed.
        clock (Clock): Time.
    """

    def __init__(
        self, targets: target_table.TargetTable, clock: clock_module.Clock
    ) -> None:
        self._targets = targets
        self._clock = clock
        self._client: httpx.AsyncClient | None = None

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            await self._round()

    async def _round(self) -> None:
        soon = self._clock.now() + _INTERVAL_S
        due = [
            state
            for state in self._targets.target_by_id.values()
            if state.health is target_table.TargetHealth.EJECTED
            and state.ejected_until <= soon
        ]
        due.sort(key=lambda state: state.ejected_until)
        for state in due[:_PROBES_PER_ROUND]:
            await self._probe(state)

    async def _probe(self, state: target_table.TargetState) -> None:
        metrics.PROBES.inc()
        if self._client is None:
            self._client = httpx.AsyncClient(
                timeout=_TIMEOUT_S, trust_env=False
            )
        url = f"http://{state.record.address}:{state.record.port}/health"
        try:
            response = await self._client.get(url)
            response.raise_for_status()
            report = msgspec.json.decode(response.content, type=TargetReport)
            state.reported_load = report.load
        except (httpx.HTTPError, msgspec.DecodeError):
            state.ejected_until = self._clock.now() + _FAILED_PROBE_PAUSE_S

    async def close(self) -> None:
        """Close the connections."""
        if self._client is not None:
            await self._client.aclose()
