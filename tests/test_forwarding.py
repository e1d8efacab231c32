"""Responses of peers to forwarded requests on the product's own path."""

import asyncio

import pytest

from chicorydoor.coordination import forwarding
from chicorydoor.coordination import request_types
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.protocol import result_codes
from tests.support import clocks


class _Network:
    """Answers each forwarded request with a status and an empty body.

    Args:
        status (int): The status.
    """

    def __init__(self, status):
        self._status = status
        self._handler_by_kind = {}
        self.opened = 0

    def set_handler(self, kind, handler):
        self._handler_by_kind[kind] = handler

    async def call_peer(self, peer, message, timeout_s):
        self.opened += 1
        for answer in (
            pm.ForwardResponseHead(message.stream_id, 0, "", self._status, []),
            pm.ForwardData(message.stream_id, True, 0, b"", True),
        ):
            self._handler_by_kind[type(answer)](peer, answer)
        return pm.Ack()

    def send_message(self, peer, message):
        """Drop it: window updates do not matter here."""


def _forward(status):
    async def scenario():
        network = _Network(status)
        forwarder = forwarding.Forwarder(
            network=network,
            clock=clocks.ManualClock(),
            get_snapshot=None,
            run_in_domain=None,
            run_minted_here=None,
        )
        request = request_types.Request(
            method="POST",
            path="/order",
            query=b"",
            headers=[],
            body=request_types.Body(b""),
            route_id="r",
            route=None,
            customer="",
            key_id="",
            request_id="a1",
            deadline_at=1.0,
        )
        return await forwarder.forward("peer", request, False)

    return asyncio.run(scenario())


class TestStatuses:
    def test_valid_status_is_passed_on(self):
        assert _forward(599).status == 599

    # Guards against a status that the entry's own server cannot send, and
    # that would be recorded for the repetition of a request.
    @pytest.mark.parametrize("status", [-200, 0, 20, 99, 101, 600, 2000])
    def test_invalid_status_fails_with_unknown_outcome(self, status):
        with pytest.raises(request_types.RefusedError) as caught:
            _forward(status)
        assert caught.value.code is result_codes.ResultCode.PEER_FAILED
        assert caught.value.code.status == 502
        assert not caught.value.certainly_not_run
