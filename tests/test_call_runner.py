"""Retries of a request: use of the retry budget, and when none is made."""

import asyncio
import contextlib

import msgspec
import pytest

from chicorydoor.coordination import call_runner
from chicorydoor.coordination import request_types
from chicorydoor.coordination import target_selection
from chicorydoor.coordination import target_sender
from chicorydoor.protocol import admitted_request
from chicorydoor.protocol import header_names
from chicorydoor.protocol import result_codes
from chicorydoor.state import request_crashes
from chicorydoor.state import send_permits
from chicorydoor.state import target_rate_limits
from chicorydoor.state import target_rests
from chicorydoor.state import target_views
from chicorydoor.transport import body_memory
from chicorydoor.transport import buffered_connection
from tests.support import clocks
from tests.support import config_builders as make

_HEADER_NAMES = header_names.HeaderNames()
_SendOutcome = target_sender.SendOutcome


def _build_request(deadline=2.0, relay_history=None, **changes):
    return admitted_request.AdmittedRequest(
        method=b"GET",
        request_target=b"/read/1",
        headers=[],
        body_chunks=(),
        request_id=b"r1",
        affinity_key=b"7",
        route=make.build_route_config(**changes),
        customer=None,
        arrived_at=0.0,
        deadline=deadline,
        relay_history=relay_history,
    )


def _build_selected_target(name):
    view = target_views.TargetView(
        make.build_target_registration(name), "n", 0.0
    )
    return target_selection.SelectedTarget(view, 0.1, 0.0, 0.1, True, False)


class _Selection:
    """Chooses the given targets in turn."""

    def __init__(self, names, decides_for_overload=False, **estimate):
        self._names = list(names)
        self._estimate = estimate
        self.decides_for_overload = decides_for_overload
        self.excluded = []

    def choose(self, constraints, now, excluded):
        self.excluded.append(list(excluded))
        if not self._names:
            return None
        choice = _build_selected_target(self._names.pop(0))
        return msgspec.structs.replace(choice, **self._estimate)

    def draw(self):
        return 0.5

    def wait_for_permit_s(self, constraints, now):
        return None

    def has_unreachable(self, constraints):
        return True

    def should_shed(self, constraints, choice, now):
        return False


class _Sender:
    """Sends nothing and returns the given outcomes in turn."""

    def __init__(self, outcomes):
        self._outcomes = list(outcomes)
        self.sent = []

    async def send(self, call, choice):
        self.sent.append(choice.target.target_id)
        outcome = self._outcomes.pop(0)
        answer = (
            buffered_connection.BufferedResponse(503, [], b"")
            if outcome is _SendOutcome.NOT_RUN
            else None
        )
        return target_sender.SendResult(
            outcome, choice.target.target_id, answer
        )


class _Budget:
    """Allows a fixed number of retries and counts them."""

    def __init__(self, limit=10):
        self.acquired = 0
        self._limit = limit

    def record_request(self, now):
        pass

    def try_acquire(self, now, entries):
        if self.acquired >= self._limit:
            return False
        self.acquired += 1
        return True


class _Relay:
    """Relays to the given peers in turn, with the given outcomes.

    Args:
        peers (list): Names of peers. Defaults to none.
        outcomes (list): Outcomes at the peers. Defaults to none.
    """

    def __init__(self, peers=(), outcomes=()):
        self._peers = list(peers)
        self._outcomes = list(outcomes)
        self.sent = []

    def is_needed(self, service_id):
        return bool(self._peers)

    def choose_peer(self, service_id, regions, excluded):
        return self._peers.pop(0) if self._peers else None

    async def send(self, call, peer, history):
        self.sent.append((peer, history.send_count))
        outcome = self._outcomes.pop(0)
        refusal = (
            request_types.RefusedError(result_codes.ResultCode.TARGET_SHED)
            if outcome is _SendOutcome.NOT_RUN
            else None
        )
        return target_sender.SendResult(outcome, peer, refusal=refusal)


def _run(names, outcomes, budget_limit=10, relay=None, **changes):
    budget = _Budget(budget_limit)
    sender = _Sender(outcomes)
    runner = call_runner.CallRunner(
        selection=_Selection(names),
        sender=sender,
        relay=relay or _Relay(),
        make_retry_budget=lambda: budget,
        crashes=request_crashes.RequestCrashes("e", lambda: ["e"]),
        count_entries=lambda: 1,
        clock=clocks.ManualClock(),
    )
    trace = call_runner.CallTrace()
    with contextlib.suppress(request_types.RefusedError):
        asyncio.run(runner.run(_build_request(**changes), trace))
    return budget, sender


class TestRelays:
    def test_peer_that_did_not_get_the_request_is_followed_by_another(self):
        relay = _Relay(
            ["p1", "p2"], [_SendOutcome.NOT_SENT, _SendOutcome.NOT_RUN]
        )
        _, sender = _run(["a"], [], relay=relay)
        assert relay.sent == [("p1", 0), ("p2", 0)]
        assert sender.sent == []

    # Guards against orders that run at a second peer.
    def test_order_lost_on_its_way_to_a_peer_is_not_sent_again(self):
        relay = _Relay(["p1", "p2"], [_SendOutcome.UNKNOWN])
        _, sender = _run(["a"], [], relay=relay, is_idempotent=False)
        assert [peer for peer, _ in relay.sent] == ["p1"]
        assert sender.sent == []

    def test_read_lost_on_its_way_to_a_peer_uses_the_budget(self):
        relay = _Relay(
            ["p1", "p2"], [_SendOutcome.UNKNOWN, _SendOutcome.UNKNOWN]
        )
        budget, _ = _run(["a"], [], relay=relay)
        assert relay.sent == [("p1", 0), ("p2", 1)]
        assert budget.acquired == 1

    # Guards against requests circling between entries without targets.
    def test_relayed_request_is_not_relayed_again(self):
        relay = _Relay(["p1"], [])
        history = admitted_request.RelayHistory("svc", 0)
        _, sender = _run(
            ["a"], [_SendOutcome.NOT_RUN], relay=relay, relay_history=history
        )
        assert relay.sent == []
        assert sender.sent == ["a"]

    def test_sends_of_the_relaying_entry_count(self):
        history = admitted_request.RelayHistory("svc", 1)
        _, sender = _run(
            ["a", "b"], [_SendOutcome.NOT_RUN], relay_history=history
        )
        assert sender.sent == ["a"]


class TestOverload:
    def _run(self, selection, outcomes):
        sender = _Sender(outcomes)
        runner = call_runner.CallRunner(
            selection=selection,
            sender=sender,
            relay=_Relay(),
            make_retry_budget=_Budget,
            crashes=request_crashes.RequestCrashes("e", lambda: ["e"]),
            count_entries=lambda: 1,
            clock=clocks.ManualClock(),
        )
        with pytest.raises(request_types.RefusedError) as caught:
            asyncio.run(runner.run(_build_request(), call_runner.CallTrace()))
        return sender.sent, caught.value

    # Guards against requests that hold a slot although they cannot be in time.
    @pytest.mark.parametrize("decides_for_overload", [True, False])
    def test_request_that_waits_until_it_is_late_is_refused(
        self, decides_for_overload
    ):
        selection = _Selection(
            ["a"],
            decides_for_overload,
            measured_latency_s=0.5,
            measured_wait_s=0.3,
        )
        sent, refusal = self._run(selection, [_SendOutcome.NOT_RUN])
        assert sent == ([] if decides_for_overload else ["a"])
        assert refusal.certainly_not_run
        if decides_for_overload:
            assert refusal.retry_after_s == pytest.approx(0.3)

    # Guards against objects that are loaded anew because their target turns
    # away a part of all requests, whatever its load.
    @pytest.mark.parametrize("decides_for_overload", [True, False])
    def test_target_that_has_room_is_tried_again(self, decides_for_overload):
        selection = _Selection(["a", "a"], decides_for_overload)
        sent, refusal = self._run(selection, [_SendOutcome.NOT_RUN] * 2)
        assert sent == ["a", "a"]
        excluded = [] if decides_for_overload else ["a"]
        assert selection.excluded[1] == excluded
        assert refusal.retry_after_s == (
            0.05 if decides_for_overload else 0.25
        )


class TestRetryBudget:
    def test_without_a_further_target_no_budget_is_used(self):
        budget, sender = _run(["a"], [_SendOutcome.NOT_RUN])
        assert sender.sent == ["a"]
        assert budget.acquired == 0

    def test_retry_over_two_targets_uses_the_budget_once(self):
        # The retry could not be sent to b and goes to c. None goes to d, as
        # the route allows two sends of a request.
        outcomes = [
            _SendOutcome.NOT_RUN,
            _SendOutcome.NOT_SENT,
            _SendOutcome.NOT_RUN,
        ]
        budget, sender = _run(["a", "b", "c", "d"], outcomes)
        assert sender.sent == ["a", "b", "c"]
        assert budget.acquired == 1

    def test_attempt_after_an_unsent_one_uses_no_budget(self):
        outcomes = [_SendOutcome.NOT_SENT, _SendOutcome.NOT_RUN]
        budget, sender = _run(["a", "b"], outcomes)
        assert sender.sent == ["a", "b"]
        assert budget.acquired == 0

    def test_exhausted_budget_prevents_retries(self):
        outcomes = [_SendOutcome.UNKNOWN] * 3
        budget, sender = _run(["a", "b"], outcomes, budget_limit=0)
        assert sender.sent == ["a"]
        assert budget.acquired == 0


class _Pool:
    """Takes a given time to open a connection.

    Args:
        clock (ManualClock): Advanced by that time.
        connect_s (float): Seconds to open a connection.
    """

    def __init__(self, clock, connect_s):
        self._clock = clock
        self._connect_s = connect_s
        self.released = []

    async def acquire(self, limit_s, max_idle_s):
        self._clock.now_s += self._connect_s
        return _Connection()

    def release(self, connection, max_idle_connections):
        self.released.append(connection)


class _Connection:
    async def exchange(self, request, request_id, is_head):
        pytest.fail("request written after its deadline")


class TestDeadline:
    def test_nothing_is_written_after_the_deadline(self):
        clock = clocks.ManualClock()
        # Connects in 2.5 s; the deadline of the request is at 2 s.
        pool = _Pool(clock, 2.5)
        sender = target_sender.TargetSender(
            targets=None,
            selection=None,
            permits=send_permits.SendPermits(
                target_rests.TargetRests(),
                target_rate_limits.TargetRateLimits(
                    "e", lambda: ["e"], lambda region: ["e"]
                ),
                None,
                None,
            ),
            names=_HEADER_NAMES,
            clock=clock,
            crashes=None,
            breaks=None,
            response_memory=body_memory.BodyMemory().responses,
            on_unreachable=lambda view, reason: None,
            on_refused=lambda view: None,
            on_connection_lost=lambda view: None,
            on_round_trip=lambda region, seconds: None,
        )
        sender.connection_pool = lambda view: pool
        sent = asyncio.run(
            sender.send(_build_request(), _build_selected_target("a"))
        )
        assert sent.outcome is _SendOutcome.NOT_SENT
        assert len(pool.released) == 1


class TestFingerprint:
    """Repetitions of a request have new ids but the same fingerprint."""

    def test_request_id_and_deadline_do_not_matter(self):
        first, second = _build_request(2.0), _build_request(3.0)
        second.request_id = b"r2"
        assert first.fingerprint == second.fingerprint

    def test_customer_method_path_and_body_matter(self):
        requests = [_build_request() for _ in range(6)]
        requests[1].customer = make.build_customer_config()
        requests[2].method = b"POST"
        requests[3].request_target = b"/read/2"
        requests[4].body_chunks = [b"x"]
        # The parts are delimited.
        requests[5].request_target = b"/read/"
        requests[5].body_chunks = [b"1"]
        assert len({each.fingerprint for each in requests}) == 6

    def test_pieces_of_the_body_do_not_matter(self):
        first, second = _build_request(), _build_request()
        first.body_chunks = [b"abc", b"d"]
        second.body_chunks = [b"ab", b"cd"]
        assert first.fingerprint == second.fingerprint
