"""Responses with invalid statuses reach neither callers nor records.

Every connection is a real one, to a complete entry where a caller is involved.
"""

import pytest

from chicorydoor.state import target_views
from tests.support import platform_cluster
from tests.support import scripted_target

_RawAnswer = scripted_target.RawAnswer

_HEAD = b"HTTP/1.1 %s Odd\r\nrequest-id: {id}\r\nresponse-seal: s\r\n%s\r\n"
_EMPTY = b"content-length: 0\r\n"
_FINAL = _HEAD % (b"200", _EMPTY)
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_ODD_ANSWERS = {
    **{
        f"{status!r}": _RawAnswer(_HEAD % (status, _EMPTY))
        for status in scripted_target.INVALID_STATUSES
    },
    "until-close": _RawAnswer(_HEAD % (b"000", b"")),
    "endless-body": _RawAnswer(_HEAD % (b"000", b""), b"x" * 65536),
    "before-final": _RawAnswer(_HEAD % (b"000", b"") + _FINAL),
    "after-continue": _RawAnswer(_CONTINUE + _HEAD % (b"000", _EMPTY)),
    "endless-continue": _RawAnswer(_CONTINUE, _CONTINUE * 1000),
    "other-request-first": _RawAnswer(
        _HEAD.replace(b"{id}", b"zz") % (b"000", _EMPTY) + _FINAL
    ),
}


def _only_view(cluster):
    (view,) = cluster.entries[0]._components.targets.target_by_id.values()
    return view


def _failure_share(cluster):
    now = cluster.entries[0]._components.clock.now()
    return _only_view(cluster).failure_share(now)


class TestCallers:
    # Guards against a status such as 000 that callers receive, against orders
    # that run twice after it, and against targets that send it and count as
    # good.
    @pytest.mark.parametrize("method", ["POST", "HEAD"])
    def test_order_gets_502_with_its_id_and_is_not_sent_again(self, method):
        async def scenario(cluster):
            (target,) = cluster.targets
            for number, (name, answer) in enumerate(_ODD_ANSWERS.items()):
                target.behaviours = [answer]
                before = _failure_share(cluster)
                response = await cluster.call(
                    method, "/order/1", headers={"request-id": f"r{number}"}
                )
                assert response.status_code == 502, name
                assert response.headers["request-id"] == f"r{number}", name
                assert response.headers["x-chicorydoor-code"] == "141", name
                assert response.headers["x-chicorydoor-outcome"] == "unknown"
                assert "response-seal" not in response.headers, name
                assert cluster.request_count() == number + 1, name
                assert _failure_share(cluster) > before, name

        platform_cluster.run(scenario, targets=1)

    def test_idempotent_request_is_sent_to_another_target(self):
        async def scenario(cluster):
            for name, answer in _ODD_ANSWERS.items():
                # The first target that is reached takes the answer.
                behaviours = [answer]
                for target in cluster.targets:
                    target.behaviours = behaviours
                sent_before = cluster.request_count()
                assert (await cluster.call()).status_code == 200, name
                assert not behaviours, name
                assert cluster.request_count() == sent_before + 2, name

        platform_cluster.run(scenario)


class TestHealthResponses:
    # Guards against a target that returns to use, or stays in it, by a health
    # response that is none.
    def test_target_that_sends_one_is_out_of_use(self):
        async def scenario(cluster):
            (target,) = cluster.targets
            view = _only_view(cluster)
            components = cluster.entries[0]._components
            prober = components.prober
            prober._breaks.are_widespread = lambda service_id, now: True
            for status in scripted_target.INVALID_STATUSES:
                target.health_answer = _HEAD.replace(b"{id}", b"") % (
                    status,
                    _EMPTY + b"not-executed: 1\r\n",
                )
                components.targets.set_reach(view, target_views.Reach.IN_USE)
                await prober._check_listening(view)
                assert view.reach is target_views.Reach.UNREACHABLE, status
                await prober._probe(view)
                assert view.reach is target_views.Reach.UNREACHABLE, status
            target.health_answer = b"HTTP/1.1 200 OK\r\n" + _EMPTY + b"\r\n"
            await prober._probe(view)
            assert view.reach is target_views.Reach.IN_USE

        platform_cluster.run(scenario, targets=1)
