"""Probes targets that get no requests to judge them by.

A probe costs a target several milliseconds, so only ejected targets whose
pause is nearly over are probed, and few at a time. A probe's answer is a
hint: a target comes back into use only by serving a request well.
"""

import asyncio

import msgspec

from chicorydoor import errors
from chicorydoor.state import target_table
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics
from chicorydoor.transport import target_connection

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
        connect (callable): Makes a connection to a target.
    """

    def __init__(
        self,
        targets: target_table.TargetTable,
        clock: clock_module.Clock,
        connect: target_connection.Connect,
    ) -> None:
        self._targets = targets
        self._clock = clock
        self._connect = connect

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
        record = state.record
        connection = self._connect(f"{record.address}:{record.port}")
        try:
            answered = await connection.send(
                "GET", b"/health", [], b"", _TIMEOUT_S
            )
            content = b"".join([piece async for piece in answered.pieces])
            report = msgspec.json.decode(content, type=TargetReport)
            state.reported_load = report.load
        except (errors.TargetError, msgspec.DecodeError):
            state.ejected_until = self._clock.now() + _FAILED_PROBE_PAUSE_S
        finally:
            await connection.close()
