"""Probes of ejected targets on the product's own path."""

import asyncio
import types

import pytest

from chicorydoor.coordination import ejected_target_prober
from chicorydoor.transport import streaming_connection
from tests.support import clocks
from tests.support import scripted_target

_RawAnswer = scripted_target.RawAnswer
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REPORT = b'{"load": 1}'
_HEAD = b"HTTP/1.1 %s Odd\r\ncontent-length: %d\r\n\r\n"


def _probe(answer):
    """Return the load that a probe records; None if the probe failed."""

    async def scenario():
        target = await scripted_target.ScriptedTarget().start()
        target.health_answer = answer
        host, _, port = target.address.rpartition(":")
        state = types.SimpleNamespace(
            record=types.SimpleNamespace(address=host, port=int(port)),
            reported_load=None,
            ejected_until=0.0,
        )
        prober = ejected_target_prober.EjectedTargetProber(
            None,
            clocks.ManualClock(),
            streaming_connection.HttpcoreConnection,
        )
        async with asyncio.timeout(3.0):
            await prober._probe(state)
        await target.stop()
        assert (state.reported_load is None) == (state.ejected_until > 0)
        return state.reported_load

    return asyncio.run(scenario())


class TestInvalidAnswers:
    def test_report_is_read(self):
        head = _HEAD % (b"200", len(_REPORT))
        assert _probe(_RawAnswer(head + _REPORT)) == 1.0

    # Guards against a load that is recorded from a response that is none.
    @pytest.mark.parametrize("status", scripted_target.INVALID_STATUSES)
    def test_invalid_status_fails_the_probe(self, status):
        head = _HEAD % (status, len(_REPORT))
        assert _probe(_RawAnswer(head + _REPORT)) is None

    # Guards against one target that holds up the probes of all others, or
    # fills the memory.
    @pytest.mark.parametrize(
        "answer",
        [
            _RawAnswer(b"", _CONTINUE, 0.01),
            _RawAnswer(_HEAD % (b"200", 10**9), b"x" * 100, 0.01),
            _RawAnswer(b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536),
        ],
        ids=["slow-informational", "slow-body", "body"],
    )
    def test_endless_answer_fails_the_probe(self, answer):
        assert _probe(answer) is None
