"""The platform's instance list on the product's own path."""

import asyncio

import pytest

from chicorydoor.coordination import instance_list_poller
from tests.support import scripted_target

_LIST = b'[{"instance": "a", "domain": "na", "peer": "127.0.0.1:1"}]'
_RawAnswer = scripted_target.RawAnswer


def _answer(status):
    head = b"HTTP/1.1 %s Odd\r\ncontent-length: %d\r\n\r\n"
    return _RawAnswer(head % (status, len(_LIST)) + _LIST)


def _poll(answer):
    """Return the instances that the first poll of a list passes on."""

    async def scenario():
        source = await scripted_target.ScriptedTarget().start()
        source.behaviours = [answer]
        members = []
        poller = instance_list_poller.InstanceListPoller(
            source.address, members.append
        )
        task = asyncio.create_task(poller.run())
        try:
            async with asyncio.timeout(5.0):
                while not (members or poller._is_unavailable):
                    await asyncio.sleep(0.01)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await source.stop()
        return [member.instance for member in members]

    return asyncio.run(scenario())


class TestInvalidResponses:
    def test_list_is_read(self):
        assert _poll(_answer(b"200")) == ["a"]

    # Guards against members that are recorded from a response that is none.
    @pytest.mark.parametrize("status", scripted_target.INVALID_STATUSES)
    def test_invalid_status_is_no_list(self, status):
        assert _poll(_answer(status)) == []

    # Guards against a list that is not read again, since one response has no
    # end.
    def test_endless_informational_responses_end_the_poll(self):
        answer = _RawAnswer(b"", b"HTTP/1.1 100 Continue\r\n\r\n", 0.01)
        assert _poll(answer) == []
