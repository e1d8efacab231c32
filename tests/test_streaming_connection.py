"""Responses of targets on the connections of the product's own path."""

import asyncio

import pytest

from chicorydoor import errors
from chicorydoor.transport import streaming_connection
from tests.support import scripted_target


class TestInvalidResponses:
    # Guards against a status that the entry's own server cannot send: it
    # closed the caller's connection without an answer.
    def test_response_with_an_invalid_status_is_rejected(self):
        async def scenario():
            target = await scripted_target.ScriptedTarget().start()
            target.behaviours = [scripted_target.TargetBehaviour.ODD_STATUS]
            connection = streaming_connection.HttpcoreConnection(
                target.address
            )
            with pytest.raises(errors.TargetError) as caught:
                await connection.send("GET", b"/", [], b"", 1.0)
            assert caught.value.may_have_been_sent
            await connection.close()
            await target.stop()

        asyncio.run(scenario())
