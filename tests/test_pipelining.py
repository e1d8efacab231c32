"""Requests that a caller sends on one connection before earlier ones end.

Each test runs a complete entry, with targets and callers over sockets.
"""

import asyncio
import contextlib
import json
import pathlib
import socket

import pytest

from tests.support import platform_cluster
from tests.support import scripted_target

_SETTLE_S = 0.3
_LARGE_BYTES = 6_000_000
# What the kernel takes of responses that their caller does not read.
_SEND_BUFFER_BYTES = int(
    pathlib.Path("/proc/sys/net/ipv4/tcp_wmem").read_text().split()[2]
)
_LARGE_IN_KERNEL = _SEND_BUFFER_BYTES // _LARGE_BYTES
_LARGE_ANSWER = scripted_target.RawAnswer(
    b"HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-seal: s\r\n"
    b"content-length: %d\r\n\r\n" % _LARGE_BYTES + b"x" * _LARGE_BYTES
)


def _encode(request_id, method="GET", path="/read/1", extra="", body=b""):
    head = (
        f"{method} {path} HTTP/1.1\r\nhost: shop.example\r\n"
        f"x-api-key: key-1\r\nrequest-id: {request_id}\r\naffinity-key: 7\r\n"
        f"content-length: {len(body)}\r\n{extra}\r\n"
    )
    return head.encode() + body


class _Caller:
    """One connection of a caller to an entry.

    Args:
        cluster (Cluster): Its first entry is called.
        receive_buffer (int): Bytes that the kernel keeps for the caller.
            Defaults to 0, the kernel's default.
    """

    def __init__(self, cluster, receive_buffer=0):
        host, _, port = cluster.entries[0].settings.callers.rpartition(":")
        self._endpoint = (host, int(port))
        self._receive_buffer = receive_buffer

    async def __aenter__(self):
        connection = socket.socket()
        if self._receive_buffer:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer
            )
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, self._endpoint)
        self._reader, self._writer = await asyncio.open_connection(
            sock=connection, limit=2**14
        )
        return self

    async def __aexit__(self, *error):
        self._writer.transport.abort()
        await asyncio.sleep(0)

    def send(self, *requests):
        self._writer.write(b"".join(requests))

    async def read_response(self, pause_s=0.0):
        """Return status, request id and length of a response's body.

        Args:
            pause_s (float): Pause after each 64 KiB of the body, in seconds.
                Defaults to 0.

        Raises:
            IncompleteReadError: If the connection ends.
        """
        async with asyncio.timeout(5.0):
            head = await self._reader.readuntil(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            headers = dict(
                line.lower().split(": ", 1) for line in lines[1:] if line
            )
            remaining = length = int(headers.get("content-length", 0))
            while remaining:
                piece = min(remaining, 2**16)
                await self._reader.readexactly(piece)
                remaining -= piece
                await asyncio.sleep(pause_s)
        status = int(lines[0].split(" ")[1])
        return status, headers.get("request-id"), length

    async def is_at_end(self):
        """Whether the connection ends without a further response."""
        async with asyncio.timeout(3.0):
            with contextlib.suppress(ConnectionError):
                return await self._reader.read(1) == b""
            return True


def _response_memory(cluster):
    return cluster.entries[0]._components.body_memory.responses


async def _set_long_timeout(cluster):
    """Let requests wait for a slow caller longer than routes allow."""
    config = json.loads(platform_cluster.build_config(version=2))
    for route in config["routes"]:
        route["timeout"] = "20s"
    cluster.store.put("op/config", json.dumps(config).encode())
    active_config = cluster.entries[0]._components.active_config

    async def is_active():
        return active_config.current.version == 2

    await cluster.wait_until(is_active)


class TestOrder:
    # Guards against a response that overtakes that to an earlier request.
    def test_responses_come_in_request_order(self):
        async def scenario(cluster):
            (target,) = cluster.targets
            target.work_s = 0.4
            async with _Caller(cluster) as caller:
                caller.send(*(_encode(f"r{number}") for number in range(4)))
                while not target.received_headers:
                    await asyncio.sleep(0.01)
                # All but the first are ready at once.
                target.work_s = 0.0
                ids = [(await caller.read_response())[1] for _ in range(4)]
            assert ids == [f"r{number}" for number in range(4)]

        platform_cluster.run(scenario, targets=1)

    # Guards against a response that no target sent before those to requests
    # that were read earlier.
    @pytest.mark.parametrize(
        ("refused", "status"),
        [
            (_encode("r1", path="/none"), 404),
            (_encode("r1").replace(b"key-1", b"key-2"), 401),
        ],
    )
    def test_refusals_come_in_request_order(self, refused, status):
        async def scenario(cluster):
            cluster.targets[0].work_s = 0.2
            async with _Caller(cluster) as caller:
                caller.send(_encode("r0"), refused, _encode("r2"))
                responses = [await caller.read_response() for _ in range(3)]
            assert [each[:2] for each in responses] == [
                *((200, "r0"), (status, "r1"), (200, "r2"))
            ]

        platform_cluster.run(scenario, targets=1)


def _expect_overload(cluster):
    targets = cluster.entries[0]._components.targets
    view = next(iter(targets.target_by_id.values()))
    view.record_slowdown(1.0, 0.0)
    assert targets.decides_for_overload


class TestEarlyRequests:
    # Guards against idempotent requests that wait for each other, and are late
    # or refused because of the ones before them.
    @pytest.mark.parametrize("expects_overload", [True, False])
    def test_they_run_beside_each_other(self, expects_overload):
        async def scenario(cluster):
            (target,) = cluster.targets
            target.work_s = 0.3
            if expects_overload:
                _expect_overload(cluster)
            async with _Caller(cluster) as caller:
                caller.send(*(_encode(f"r{number}") for number in range(4)))
                while not target.request_ids:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.1)
                count = len(target.request_ids)
                assert count == (4 if expects_overload else 1)
                ids = [(await caller.read_response())[1] for _ in range(4)]
            assert ids == [f"r{number}" for number in range(4)]

        platform_cluster.run(scenario, targets=1)

    # Guards against orders that run although their caller may have to send
    # them again.
    def test_order_waits_for_its_turn(self):
        async def scenario(cluster):
            (target,) = cluster.targets
            target.work_s = 0.3
            _expect_overload(cluster)
            async with _Caller(cluster) as caller:
                caller.send(
                    _encode("r0"),
                    _encode("r1", "POST", "/order/1"),
                    _encode("r2", extra="connection: close\r\n"),
                    _encode("r3"),
                )
                while not target.request_ids:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.1)
                assert set(target.request_ids) == {"r0", "r2"}
                for number in range(3):
                    response = await caller.read_response()
                    assert response[:2] == (200, f"r{number}")
                assert await caller.is_at_end()
            assert "r3" not in target.request_ids

        platform_cluster.run(scenario, targets=1)

    # Guards against large responses that wait for their turn and take the
    # memory that the response before them needs.
    def test_downloads_wait_for_their_turn(self):
        async def scenario(cluster):
            (target,) = cluster.targets
            config = json.loads(platform_cluster.build_config(version=2))
            config["routes"][0]["kind"] = "download"
            cluster.store.put("op/config", json.dumps(config).encode())
            active_config = cluster.entries[0]._components.active_config

            async def is_active():
                return active_config.current.version == 2

            await cluster.wait_until(is_active)
            target.work_s = 0.3
            _expect_overload(cluster)
            async with _Caller(cluster) as caller:
                caller.send(_encode("r0"), _encode("r1"))
                while not target.request_ids:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.1)
                assert target.request_ids == ["r0"]
                for number in range(2):
                    response = await caller.read_response()
                    assert response[:2] == (200, f"r{number}")

        platform_cluster.run(scenario, targets=1)

    # Guards against tasks that wait forever for a turn that does not come.
    def test_nothing_remains_of_a_caller_that_leaves(self):
        async def scenario(cluster):
            (target,) = cluster.targets
            _expect_overload(cluster)
            app = cluster.entries[0]._components.call_app
            async with _Caller(cluster) as caller:
                target.work_s = 1.0
                caller.send(
                    *(_encode(f"r{number}") for number in range(3)),
                    # Refused at once, and waits to say so.
                    _encode("r3").replace(b"key-1", b"key-2"),
                )
                while len(target.request_ids) < 3:
                    await asyncio.sleep(0.01)
                assert app.running_count == 4

            async def is_idle():
                return app.running_count == 0

            await cluster.wait_until(is_idle)

        platform_cluster.run(scenario, targets=1)


class TestClosedConnections:
    # Guards against requests that run behind a response that closes the
    # connection: their callers send them again, orders too.
    @pytest.mark.parametrize(
        "first",
        [
            _encode("r0", extra="connection: close\r\n"),
            _encode("r0").replace(b"HTTP/1.1", b"HTTP/1.0"),
        ],
        ids=["close", "http-1.0"],
    )
    @pytest.mark.parametrize("is_one_read", [True, False])
    def test_requests_behind_are_not_sent_on(self, first, is_one_read):
        async def scenario(cluster):
            (target,) = cluster.targets
            target.work_s = 0.2
            rest = [_encode("r1"), _encode("r2", "POST", "/order/1")]
            async with _Caller(cluster) as caller:
                if is_one_read:
                    caller.send(first, *rest)
                else:
                    for request in (first, *rest):
                        caller.send(request)
                        await asyncio.sleep(0.05)
                await caller.read_response()
                assert await caller.is_at_end()
            await asyncio.sleep(_SETTLE_S)
            assert not {"r1", "r2"} & set(target.request_ids)

        platform_cluster.run(scenario, targets=1)

    def test_requests_behind_a_malformed_one_are_not_sent_on(self):
        async def scenario(cluster):
            malformed = _encode("r1").replace(b"length: 0", b"length: x")
            async with _Caller(cluster) as caller:
                caller.send(_encode("r0"), malformed, _encode("r2"))
                assert (await caller.read_response())[:2] == (200, "r0")
                assert (await caller.read_response())[0] == 400
                assert await caller.is_at_end()
            await asyncio.sleep(_SETTLE_S)
            assert cluster.targets[0].request_ids == ["r0"]

        platform_cluster.run(scenario, targets=1)

    # Guards against a caller's connection that ends because its target closes
    # the one to the entry.
    def test_target_that_closes_its_connection_ends_none_of_a_caller(self):
        async def scenario(cluster):
            (target,) = cluster.targets
            target.behaviours = [
                scripted_target.RawAnswer(
                    b"HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n"
                    b"response-seal: s\r\nconnection: close\r\n"
                    b"content-length: 0\r\n\r\n"
                )
            ] * 3
            async with _Caller(cluster) as caller:
                caller.send(*(_encode(f"r{number}") for number in range(3)))
                for number in range(3):
                    response = await caller.read_response()
                    assert response[:2] == (200, f"r{number}")

        platform_cluster.run(scenario, targets=1)


class TestSlowCallers:
    # Guards against large responses that gather in the entry, without a
    # reservation of memory, while their caller does not read.
    def test_unread_responses_are_counted_and_few(self):
        async def scenario(cluster):
            (target,) = cluster.targets
            # One is for the call that is made meanwhile.
            target.behaviours = [_LARGE_ANSWER] * 6
            memory = _response_memory(cluster)
            await _set_long_timeout(cluster)
            async with _Caller(cluster, receive_buffer=2**14) as caller:
                caller.send(*(_encode(f"r{number}") for number in range(5)))
                await asyncio.sleep(1.0)
                assert cluster.request_count() <= 2 + _LARGE_IN_KERNEL
                # One is being written, another waits.
                assert _LARGE_BYTES <= memory.used <= 2 * _LARGE_BYTES
                assert (await cluster.call()).status_code == 200
                for number in range(5):
                    response = await caller.read_response(pause_s=0.002)
                    assert response == (200, f"r{number}", _LARGE_BYTES)
            await asyncio.sleep(_SETTLE_S)
            assert memory.used == 0

        platform_cluster.run(scenario, targets=1)

    # Guards against memory that stays reserved for a caller that has left.
    def test_leaving_gives_the_memory_back(self):
        async def scenario(cluster):
            cluster.targets[0].behaviours = [_LARGE_ANSWER] * 5
            async with _Caller(cluster, receive_buffer=2**14) as caller:
                caller.send(*(_encode(f"r{number}") for number in range(5)))
                await asyncio.sleep(_SETTLE_S)
                assert _response_memory(cluster).used >= _LARGE_BYTES
            await asyncio.sleep(_SETTLE_S)
            assert _response_memory(cluster).used == 0
            assert cluster.request_count() <= 2 + _LARGE_IN_KERNEL

        platform_cluster.run(scenario, targets=1)


class _UnreadingTarget:
    """A target that accepts connections and reads nothing from them."""

    async def __aenter__(self):
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2**14)
        self._writers = []
        self._server = await asyncio.start_server(
            self._serve, sock=listener, limit=2**14
        )
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        return self

    async def __aexit__(self, *error):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        writer.transport.pause_reading()
        self._writers.append(writer)


class TestSlowTargets:
    # Guards against a target that does not read its request and so holds up
    # the requests behind it, or the memory of its body, beyond the deadline.
    @pytest.mark.parametrize("path", ["/read/1", "/order/1"])
    def test_request_that_is_not_read_ends_at_its_deadline(self, path):
        async def scenario(cluster):
            components = cluster.entries[0]._components
            async with (
                _UnreadingTarget() as target,
                _Caller(cluster) as caller,
            ):
                cluster.store.put(
                    "servers/u", platform_cluster.build_registration(target)
                )
                cluster.store.remove("servers/t0")
                await cluster.wait_until(lambda: _has_only(components, "u"))
                body = b"x" * 3_000_000
                caller.send(
                    _encode("r0", "POST", path, "deadline-ms: 600\r\n", body),
                    _encode("r1", path="/none"),
                )
                responses = [await caller.read_response() for _ in range(2)]
                assert [each[:2] for each in responses] == [
                    *((504, "r0"), (404, "r1"))
                ]
                await asyncio.sleep(_SETTLE_S)
                memory = components.body_memory
                assert not any(part.used for part in memory.parts)

        platform_cluster.run(scenario, targets=1)


async def _has_only(components, target_id):
    return set(components.targets.target_by_id) == {target_id}
