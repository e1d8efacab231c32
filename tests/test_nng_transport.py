"""Peer messages over pynng, on real sockets."""

import asyncio
import time

import pynng

from chicorydoor.transport import nng_transport

_MESSAGE_LIMIT_BYTES = 4096


def _occupy(seconds):
    time.sleep(seconds)


def _run_with_two_transports(scenario):
    async def wrapped():
        transports = [
            nng_transport.NngPeerTransport("127.0.0.1:0", _MESSAGE_LIMIT_BYTES)
            for _ in range(2)
        ]
        try:
            async with asyncio.timeout(20.0):
                await scenario(*transports)
        finally:
            for transport in transports:
                await transport.close()

    asyncio.run(wrapped())


class TestNngPeerTransport:
    def test_messages_arrive_in_order(self):
        async def scenario(first, second):
            sent = [b"%d" % number for number in range(500)]
            for data in sent:
                first.send(second.address, data)
            received = [await second.receive() for _ in sent]
            assert received == sent

        _run_with_two_transports(scenario)

    def test_receives_after_oversized_or_malformed_data(self):
        async def scenario(first, second):
            host, port = second.address.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET / HTTP/1.1\r\n\r\n" * 100)
            await writer.drain()
            writer.close()
            with pynng.Push0(
                dial=f"tcp://{second.address}", block_on_dial=False
            ) as raw:
                await raw.asend(b"x" * (_MESSAGE_LIMIT_BYTES + 1))
            first.send(second.address, b"well")
            assert await second.receive() == b"well"

        _run_with_two_transports(scenario)

    def test_cancelled_receive_loses_no_message(self):
        async def scenario(first, second):
            for number in range(50):
                cancelled_receive = asyncio.create_task(second.receive())
                await asyncio.sleep(0)
                first.send(second.address, b"%d" % number)
                cancelled_receive.cancel()
                await asyncio.gather(cancelled_receive, return_exceptions=True)
                assert cancelled_receive.cancelled()
                assert await second.receive() == b"%d" % number

        _run_with_two_transports(scenario)


class TestBusyReceiver:
    # Guards against updates that wait behind hundreds of messages while the
    # receiver's event loop is busy: it then acts by an old configuration.
    def test_messages_wait_for_about_one_turn(self):
        turn_s = 0.25
        # In a turn more messages arrive than a socket's usual buffer holds.
        messages_per_s = 1200

        def send_for(address, seconds):
            async def run():
                transport = nng_transport.NngPeerTransport(
                    "127.0.0.1:0", _MESSAGE_LIMIT_BYTES
                )
                started_at = time.monotonic()
                sent = 0
                while (elapsed_s := time.monotonic() - started_at) < seconds:
                    while sent < elapsed_s * messages_per_s:
                        transport.send(address, b"%f" % time.monotonic())
                        sent += 1
                    await asyncio.sleep(0.005)
                await asyncio.sleep(2 * turn_s)
                await transport.close()
                return sent

            return asyncio.run(run())

        async def scenario(receiver, _):
            waits_s = []

            async def receive():
                while True:
                    sent_at = float(await receiver.receive())
                    waits_s.append(time.monotonic() - sent_at)

            receiving = asyncio.create_task(receive())
            sending = asyncio.get_running_loop().run_in_executor(
                None, send_for, receiver.address, 3.0
            )
            while not sending.done():
                # Work that occupies the event loop for a whole turn.
                _occupy(turn_s)
                await asyncio.sleep(0)
            await asyncio.sleep(0.1)
            receiving.cancel()
            assert len(waits_s) == await sending
            assert max(waits_s) < 4 * turn_s

        _run_with_two_transports(scenario)
