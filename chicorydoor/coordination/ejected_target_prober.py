"""Probes ejected targets, which get no requests that show their health.

A probe costs a target several milliseconds, so only targets whose ejection
time is nearly over are probed, and few per round. A probe's answer is a hint:
a target returns to use only after it has served a request successfully.
"""

import asyncio

import msgspec

from chicorydoor import errors
from chicorydoor.state import domain_target_table
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics
from chicorydoor.transport import streaming_connection

_ROUND_INTERVAL_S = 0.5
# Of connecting and of each read.
_PROBE_TIMEOUT_S = 0.5
# Of a whole probe; the others of the round wait for it.
_PROBE_LIMIT_S = 1.5
# A report is much smaller.
_MAX_REPORT_BYTES = 64 * 1024
_MAX_PROBES_PER_ROUND = 2
_EJECTION_AFTER_FAILED_PROBE_S = 2.0


class HealthReport(msgspec.Struct, frozen=True):
    """Load that a target reports in its answer to a probe."""

    load: float = 0.0


class EjectedTargetProber:
    """Probes a bounded number of ejected targets per round.

    Args:
        targets (DomainTargetTable): Targets to probe.
        clock (Clock): Time source.
        connect (callable): Creates a connection to a target, which is opened
            by the first request.
    """

    def __init__(
        self,
        targets: domain_target_table.DomainTargetTable,
        clock: clock_module.Clock,
        connect: streaming_connection.ConnectionFactory,
    ) -> None:
        self._targets = targets
        self._clock = clock
        self._connect = connect

    async def run(self) -> None:
        """Probe ejected targets until cancelled."""
        while True:
            await asyncio.sleep(_ROUND_INTERVAL_S)
            await self._probe_due_targets()

    async def _probe_due_targets(self) -> None:
        next_round_at = self._clock.now() + _ROUND_INTERVAL_S
        due_states = [
            state
            for state in self._targets.target_by_id.values()
            if state.health is domain_target_table.TargetHealth.EJECTED
            and state.ejected_until <= next_round_at
        ]
        due_states.sort(key=lambda state: state.ejected_until)
        for state in due_states[:_MAX_PROBES_PER_ROUND]:
            await self._probe(state)

    async def _probe(self, state: domain_target_table.TargetState) -> None:
        """Probe a target; only a missing or invalid answer is a failure.

        The HTTP status is ignored.
        """
        metrics.PROBES.inc()
        record = state.record
        connection = self._connect(f"{record.address}:{record.port}")
        try:
            async with asyncio.timeout(_PROBE_LIMIT_S):
                report = await self._exchange_probe(connection)
            state.reported_load = report.load
        except (errors.TargetError, msgspec.DecodeError, TimeoutError):
            state.ejected_until = (
                self._clock.now() + _EJECTION_AFTER_FAILED_PROBE_S
            )
        finally:
            await connection.close()

    async def _exchange_probe(
        self, connection: streaming_connection.StreamingConnection
    ) -> HealthReport:
        """Send a probe and return the report of its answer.

        Raises:
            TargetError: If there is no answer, or too much of one.
            DecodeError: If the answer is no report.
        """
        answer = await connection.send(
            "GET", b"/health", [], b"", _PROBE_TIMEOUT_S
        )
        content = bytearray()
        async for piece in answer.body_chunks:
            content += piece
            if len(content) > _MAX_REPORT_BYTES:
                raise errors.TargetError(
                    "report is too large", may_have_been_sent=True
                )
        return msgspec.json.decode(content, type=HealthReport)
