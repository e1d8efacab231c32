"""Second sends of a request: what they spend, and when none is made."""

import asyncio
import contextlib

import pytest

from chicorydoor.coordination import call_runner
from chicorydoor.coordination import requests
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
    """Hands out the targets that a test names."""

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
    def __init__(self, left=10):
        self.spent = 0
        self._left = left

    def note_request(self, now):
        pass

    def try_spend(self, now, entries):
        if self.spent >= self._left:
            return False
        self.spent += 1
        return True


def _run(names, verdicts, left=10, **changes):
    budget = _Budget(left)
    sender = _Sender(verdicts)
    runner = call_runner.CallRunner(
        selection=_Selection(names),
        sender=sender,
        new_budget=lambda: budget,
        entries=lambda: 1,
        clock=clocks.ManualClock(),
    )
    trace = call_runner.CallTrace()
    with contextlib.suppress(requests.RefusedError):
        asyncio.run(runner.run(_call(**changes), trace))
    return budget, sender


class TestSpending:
    def test_no_target_left_spends_nothing(self):
        budget, sender = _run(["a"], [_VERDICTS.NOT_RUN])
        assert sender.sent == ["a"]
        assert budget.spent == 0

    def test_repeated_send_spends_once(self):
        verdicts = [_VERDICTS.NOT_RUN, _VERDICTS.NOT_SENT, _VERDICTS.NOT_RUN]
        budget, sender = _run(["a", "b", "c", "d"], verdicts)
        assert sender.sent == ["a", "b", "c"]
        assert budget.spent == 1

    def test_target_that_got_nothing_is_free(self):
        verdicts = [_VERDICTS.NOT_SENT, _VERDICTS.NOT_RUN]
        budget, sender = _run(["a", "b"], verdicts)
        assert sender.sent == ["a", "b"]
        assert budget.spent == 0

    def test_spent_budget_ends_it(self):
        verdicts = [_VERDICTS.UNKNOWN] * 3
        budget, sender = _run(["a", "b"], verdicts, left=0)
        assert sender.sent == ["a"]
        assert budget.spent == 0


class _Pool:
    """Opens a connection in more time than the request has."""

    def __init__(self, clock, seconds):
        self._clock = clock
        self._seconds = seconds
        self.kept = []

    async def take(self, limit_s, most_idle_s):
        self._clock.at += self._seconds
        return _Channel()

    def put_back(self, channel, keep):
        self.kept.append(channel)


class _Channel:
    async def exchange(self, request, request_id, is_head):
        pytest.fail("written though no time was left")


class TestNoTimeLeft:
    def test_nothing_is_written(self):
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
        assert len(pool.kept) == 1
