"""Retries of a request: use of the retry budget, and when none is made."""

import asyncio
import contextlib

import pytest

from chicorydoor.coordination import call_runner
from chicorydoor.coordination import request_types
from chicorydoor.coordination import target_selection
from chicorydoor.coordination import target_sender
from chicorydoor.protocol import calls
from chicorydoor.protocol import wire_names
from chicorydoor.state import target_book
from tests.support import clocks
from tests.support import serving as make

_WIRE = wire_names.WireNames()
_VERDICTS = target_sender.Verdict


def _call(deadline=2.0, **changes):
    return calls.Call(
        method=b"GET",
        target=b"/read/1",
        headers=[],
        body=b"",
        request_id=b"r1",
        affinity=b"7",
        route=make.route(**changes),
        customer=None,
        arrived_at=0.0,
        deadline=deadline,
    )


def _choice(name):
    view = target_book.TargetView(make.record(name), "n", 0.0)
    return target_selection.Choice(view, 0.1, 0.0, 0.1, True, False)


class _Selection:
    """Chooses the given targets in turn."""

    def __init__(self, names):
        self._names = list(names)

    def choose(self, subject, now, excluded):
        return _choice(self._names.pop(0)) if self._names else None

    def sheds(self, subject, choice, now):
        return False


class _Sender:
    def __init__(self, verdicts):
        self._verdicts = list(verdicts)
        self.sent = []

    async def send(self, call, choice):
        self.sent.append(choice.view.target_id)
        return target_sender.Sent(self._verdicts.pop(0), choice.view.target_id)


class _Budget:
    def __init__(self, limit=10):
        self.spent = 0
        self._limit = limit

    def note_request(self, now):
        pass

    def try_spend(self, now, entries):
        if self.spent >= self._limit:
            return False
        self.spent += 1
        return True


def _run(names, verdicts, budget_limit=10, **changes):
    budget = _Budget(budget_limit)
    sender = _Sender(verdicts)
    runner = call_runner.CallRunner(
        selection=_Selection(names),
        sender=sender,
        new_budget=lambda: budget,
        entries=lambda: 1,
        clock=clocks.ManualClock(),
    )
    trace = call_runner.CallTrace()
    with contextlib.suppress(request_types.RefusedError):
        asyncio.run(runner.run(_call(**changes), trace))
    return budget, sender


class TestRetryBudget:
    def test_no_further_target_spends_nothing(self):
        budget, sender = _run(["a"], [_VERDICTS.NOT_RUN])
        assert sender.sent == ["a"]
        assert budget.spent == 0

    def test_retry_spends_once(self):
        verdicts = [_VERDICTS.NOT_RUN, _VERDICTS.NOT_SENT, _VERDICTS.NOT_RUN]
        budget, sender = _run(["a", "b", "c", "d"], verdicts)
        assert sender.sent == ["a", "b", "c"]
        assert budget.spent == 1

    def test_attempt_without_a_send_spends_nothing(self):
        verdicts = [_VERDICTS.NOT_SENT, _VERDICTS.NOT_RUN]
        budget, sender = _run(["a", "b"], verdicts)
        assert sender.sent == ["a", "b"]
        assert budget.spent == 0

    def test_exhausted_budget_prevents_retries(self):
        verdicts = [_VERDICTS.UNKNOWN] * 3
        budget, sender = _run(["a", "b"], verdicts, budget_limit=0)
        assert sender.sent == ["a"]
        assert budget.spent == 0


class _Pool:
    """Takes a given time to open a connection.

    Args:
        clock (ManualClock): Advanced by that time.
        connect_s (float): Seconds to open a connection.
    """

    def __init__(self, clock, connect_s):
        self._clock = clock
        self._connect_s = connect_s
        self.returned = []

    async def take(self, limit_s, most_idle_s):
        self._clock.at += self._connect_s
        return _Channel()

    def put_back(self, channel, keep):
        self.returned.append(channel)


class _Channel:
    async def exchange(self, request, request_id, is_head):
        pytest.fail("request written after its deadline")


class TestDeadline:
    def test_nothing_is_written_after_the_deadline(self):
        clock = clocks.ManualClock()
        pool = _Pool(clock, 2.5)
        sender = target_sender.TargetSender(
            book=None,
            selection=None,
            cold=None,
            cold_rate_per_s=lambda service_id: 0.0,
            wire=_WIRE,
            clock=clock,
            on_unreachable=lambda view, reason: None,
            on_distance=lambda region, seconds: None,
        )
        sender.pool = lambda view: pool
        sent = asyncio.run(sender.send(_call(), _choice("a")))
        assert sent.verdict is _VERDICTS.NOT_SENT
        assert len(pool.returned) == 1
