"""The memory that bodies of requests and responses take is bounded."""

import asyncio
import contextlib
import gc
import pathlib
import signal
import socket

import httpx
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest
import yaml

from chicorydoor.coordination import body_reader
from chicorydoor.coordination import request_types
from chicorydoor.platform import settings_file
from chicorydoor.protocol import result_codes
from chicorydoor.standins import platform_site
from chicorydoor.transport import body_memory
from chicorydoor.transport import buffered_connection
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import connection_memory
from chicorydoor.transport import http_server
from chicorydoor.transport import metrics
from chicorydoor.transport import process_memory
from tests.support import platform_cluster

_MB = 1_000_000
_CODES = result_codes.ResultCode


def _build_part(capacity=100, max_waiting=10):
    return body_memory.MemoryPart("test", capacity, max_waiting)


class TestMemoryPart:
    def test_memory_is_given_out_in_the_order_of_asking(self):
        async def run():
            part = _build_part()
            first = part.try_reserve(80)
            order = []

            async def take(name, size):
                reservation = await part.reserve(size, 5.0)
                order.append(name)
                reservation.release()

            tasks = [
                asyncio.create_task(take("large", 90)),
                asyncio.create_task(take("small", 10)),
            ]
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            # It would fit, but another one was first.
            assert part.try_reserve(10) is None
            first.release()
            await asyncio.gather(*tasks)
            return order, part.used

        assert asyncio.run(run()) == (["large", "small"], 0)

    def test_wait_ends_in_time_and_frees_its_place(self):
        async def run():
            part = _build_part()
            first = part.try_reserve(80)
            late = asyncio.create_task(part.reserve(90, 0.02))
            next_one = asyncio.create_task(part.reserve(10, 5.0))
            assert await late is None
            assert (await next_one).size == 10
            next_one.result().release()
            first.release()
            return part.used

        assert asyncio.run(run()) == 0

    def test_no_more_than_the_allowed_number_wait(self):
        async def run():
            part = _build_part(max_waiting=1)
            first = part.try_reserve(100)
            waiting = asyncio.create_task(part.reserve(1, 5.0))
            await asyncio.sleep(0)
            assert await part.reserve(1, 5.0) is None
            first.release()
            assert (await waiting).size == 1

        asyncio.run(run())

    def test_body_above_the_capacity_does_not_wait(self):
        async def run():
            return await _build_part().reserve(101, None)

        assert asyncio.run(run()) is None

    def test_memory_of_a_dropped_body_is_given_back(self):
        part = _build_part()
        part.try_reserve(60)
        assert part.used == 0

    @settings(max_examples=50, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(1, 100),
                st.sampled_from(["hold", "cancel", "late"]),
            ),
            max_size=25,
        ),
        st.randoms(use_true_random=False),
    )
    def test_use_stays_within_the_capacity_and_ends_at_zero(self, bodies, rng):
        async def run():
            part = _build_part(max_waiting=30)
            worst = 0

            async def hold(size, timeout_s):
                nonlocal worst
                reservation = await part.reserve(size, timeout_s)
                if reservation is None:
                    return
                worst = max(worst, part.used)
                try:
                    for _ in range(rng.randrange(4)):
                        await asyncio.sleep(0)
                finally:
                    reservation.release()

            tasks = []
            for size, kind in bodies:
                timeout_s = 0.001 if kind == "late" else 5.0
                task = asyncio.create_task(hold(size, timeout_s))
                tasks.append(task)
                await asyncio.sleep(0)
                if kind == "cancel":
                    task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            return worst, part.used

        worst, used = asyncio.run(run())
        assert worst <= 100
        assert used == 0


class _Body:
    """A caller's body as the HTTP server passes it on.

    Args:
        sizes (list): Size of each piece; the last one ends the body.
        pause_s (float): Pause before each piece.
    """

    def __init__(self, sizes, pause_s=0.0):
        self._sizes = list(sizes)
        self._pause_s = pause_s

    async def receive(self):
        await asyncio.sleep(self._pause_s)
        size = self._sizes.pop(0)
        return {
            "type": "http.request",
            "body": b"x" * size,
            "more_body": bool(self._sizes),
        }


class TestBodyMemory:
    # Guards against parts that together leave too little to the program.
    @pytest.mark.parametrize("limit_mb", [60, 100, 300, 4000])
    def test_parts_take_at_most_three_fifths(self, limit_mb):
        memory = body_memory.BodyMemory(limit_mb * _MB)
        capacity = sum(part.capacity for part in memory.parts)
        assert capacity <= 0.6 * limit_mb * _MB

    # Guards against shares that fit beside a small program only.
    def test_large_program_leaves_less_to_bodies(self):
        memory = body_memory.BodyMemory(200 * _MB)
        memory.set_program_bytes(120 * _MB)
        assert memory.large_requests.try_reserve(20 * _MB) is None
        kept = memory.large_requests.try_reserve(14 * _MB)
        assert kept is not None
        memory.set_program_bytes(60 * _MB)
        assert memory.large_requests.try_reserve(20 * _MB) is not None

    # Guards against requests at work whose response finds no memory.
    def test_large_program_leaves_room_for_a_response(self):
        memory = body_memory.BodyMemory(200 * _MB)
        memory.set_program_bytes(300 * _MB)
        assert memory.large_requests.try_reserve(1) is None
        kept = memory.responses.try_reserve(8 * 1024 * 1024)
        assert kept is not None
        assert memory.responses.try_reserve(1) is None

    def test_small_bodies_have_memory_of_their_own(self):
        memory = body_memory.BodyMemory(200 * _MB)
        memory.set_program_bytes(300 * _MB)
        assert memory.small_requests.try_reserve(8 * _MB) is not None

    # Guards against bodies that wait until a body of their own kind ends.
    def test_memory_of_one_part_is_given_to_those_that_wait_in_another(self):
        async def run():
            memory = body_memory.BodyMemory(200 * _MB)
            memory.set_program_bytes(60 * _MB)
            bodies = memory.large_requests.try_reserve(70 * _MB)
            waiting = asyncio.create_task(
                memory.responses.reserve(15 * _MB, None)
            )
            await asyncio.sleep(0)
            assert not waiting.done()
            bodies.release()
            assert (await waiting).size == 15 * _MB

        asyncio.run(run())


class TestProcessMemory:
    LIMIT = 200 * _MB

    def _build(self, monkeypatch, bodies, resident_mb):
        """The memory of a process that has these sizes one after another."""
        monkeypatch.setattr(
            process_memory, "resident_bytes", lambda: resident_mb.pop(0) * _MB
        )
        return process_memory.ProcessMemory(
            self.LIMIT,
            bodies,
            connection_memory.ConnectionMemory(self.LIMIT),
        )

    # Of 144 MB, 8.4 MB stay free for a response.
    def _has_room(self, bodies, size_mb):
        return bodies.large_requests.try_reserve(size_mb * _MB) is not None

    def test_program_is_left_out(self, monkeypatch):
        bodies = body_memory.BodyMemory(self.LIMIT)
        self._build(monkeypatch, bodies, [100]).check()
        assert self._has_room(bodies, 35)
        assert not self._has_room(bodies, 36)

    # Guards against a program that seems small while bodies have memory that
    # they do not take yet.
    def test_reserved_memory_does_not_hide_the_program(self, monkeypatch):
        bodies = body_memory.BodyMemory(self.LIMIT)
        memory = self._build(monkeypatch, bodies, [100, 100])
        memory.check()
        held = bodies.large_requests.try_reserve(30 * _MB)
        memory.check()
        assert not self._has_room(bodies, 6)
        held.release()

    # Guards against freed memory that counts as the program's.
    def test_freed_memory_is_returned_first(self, monkeypatch):
        bodies = body_memory.BodyMemory(self.LIMIT)
        memory = self._build(monkeypatch, bodies, [80, 120, 82])
        memory.check()
        memory.check()
        assert self._has_room(bodies, 53)


class TestBodyReader:
    LIMIT = 10 * _MB

    def _read(self, body, length, remaining_s=5.0, used=0, max_bytes=8 * _MB):
        async def run():
            clock = clock_module.SystemClock()
            memory = body_memory.BodyMemory(self.LIMIT)
            reader = body_reader.BodyReader(memory, clock)
            framing = (b"transfer-encoding", b"chunked")
            if length is not None:
                framing = (b"content-length", b"%d" % length)
            scope = {"headers": [framing]}
            taken = memory.large_requests.try_reserve(used) if used else None
            reader.admit(scope)
            try:
                result = await reader.read(
                    scope,
                    body.receive,
                    max_bytes,
                    clock.now() + remaining_s,
                )
                reserved = sum(part.used for part in memory.parts)
                size = sum(map(len, result.chunks))
                result.release()
                return size, reserved
            except request_types.RefusedError as refusal:
                assert refusal.certainly_not_run
                return refusal.code
            finally:
                if taken is not None:
                    taken.release()
                assert all(part.used == 0 for part in memory.parts)

        return asyncio.run(run())

    # Guards against two fingerprints of a request that is repeated in another
    # framing, and against one that is computed while all others wait.
    def test_large_body_has_a_digest_whatever_its_framing(self):
        async def run(length):
            clock = clock_module.SystemClock()
            reader = body_reader.BodyReader(body_memory.BodyMemory(), clock)
            framing = (b"transfer-encoding", b"chunked")
            if length is not None:
                framing = (b"content-length", b"%d" % length)
            scope = {"headers": [framing]}
            reader.admit(scope)
            pieces = _Body([50_000, 150_000])
            body = await reader.read(
                scope, pieces.receive, _MB, clock.now() + 5.0
            )
            return body.digest

        digests = {asyncio.run(run(length)) for length in (200_000, None)}
        assert len(digests) == 1
        assert digests != {b""}

    def test_body_takes_its_length(self):
        assert self._read(_Body([_MB, _MB]), 2 * _MB) == (2 * _MB, 2 * _MB)

    def test_body_without_a_length_takes_what_it_needs(self):
        size, reserved = self._read(_Body([400_000] * 5), None)
        assert size == 2 * _MB
        assert size <= reserved <= 2 * size + _MB

    @pytest.mark.parametrize("length", [2 * _MB, None])
    def test_body_without_memory_is_refused(self, length):
        body = _Body([_MB, _MB])
        code = self._read(body, length, remaining_s=0.2, used=3 * _MB)
        assert code is _CODES.NO_BODY_MEMORY

    @pytest.mark.parametrize("length", [9 * _MB, None])
    def test_body_over_the_limit_is_refused(self, length):
        body = _Body([500_000] * 5)
        code = self._read(body, length, max_bytes=2 * _MB)
        assert code is _CODES.BODY_TOO_LARGE

    # Guards against memory that a caller holds by never ending its body.
    def test_late_body_is_refused(self):
        body = _Body([10, 10], pause_s=5.0)
        assert self._read(body, 20, remaining_s=0.05) is _CODES.BODY_LATE


class TestManySmallBodies:
    LIMIT = 300 * _MB
    CALLERS = 300

    def _read_all(self, framing, size):
        """Read many bodies and keep them; how many could be read."""

        async def run():
            clock = clock_module.SystemClock()
            memory = body_memory.BodyMemory(self.LIMIT)
            reader = body_reader.BodyReader(memory, clock)
            scopes = [{"headers": [framing]} for _ in range(self.CALLERS)]
            bodies = []
            # Each is still held, for its answer, when the next one comes.
            for scope in scopes:
                reader.admit(scope)
                with contextlib.suppress(request_types.RefusedError):
                    body = await reader.read(
                        scope, _Body([size]).receive, _MB, clock.now() + 5.0
                    )
                    bodies.append(body)
            held = sum(part.used for part in memory.parts)
            for body in bodies:
                body.release()
            assert all(part.used == 0 for part in memory.parts)
            return len(bodies), held

        return asyncio.run(run())

    # Guards against refusals of small bodies sent in chunks: each took the
    # room of a large one's beginning until its request was answered.
    def test_chunked_ones_take_what_they_need(self):
        count, held = self._read_all((b"transfer-encoding", b"chunked"), 100)
        assert count == self.CALLERS
        assert held == self.CALLERS * 100

    # Guards against refusals of small bodies while there is memory.
    def test_they_use_the_memory_that_large_ones_leave(self):
        size = body_memory.SMALL_BODY_BYTES
        count, held = self._read_all((b"content-length", b"%d" % size), size)
        assert count == self.CALLERS
        assert held == self.CALLERS * size


class TestBodiesThatAreNotRead:
    # Guards against memory that stays reserved for a body whose request was
    # refused, as long as its caller keeps the connection.
    def test_memory_of_a_refused_request_is_given_back(self):
        async def scenario(cluster):
            part = metrics.BODY_MEMORY_BYTES.labels("large-requests")._value
            reply = await cluster.call(
                "POST", "/no-route/1", content=b"x" * 500_000
            )
            assert reply.status_code == 404
            assert part.get() == 0
            reply = await cluster.call(
                "POST", "/order/1", content=b"x" * 500_000
            )
            assert reply.status_code == 200
            assert len(cluster.targets[0].received_bodies[-1]) == 500_000

        platform_cluster.run(scenario, targets=1)

    # Guards against many bodies that begin at the same moment: what the HTTP
    # server read of each was kept, although all were refused.
    def test_beginnings_of_bodies_are_bounded(self):
        memory = body_memory.BodyMemory(10 * _MB)
        reader = body_reader.BodyReader(memory, clock_module.SystemClock())
        scopes = [
            {"headers": [(b"content-length", b"%d" % (_MB // 2))]}
            for _ in range(1000)
        ]
        admitted = sum(reader.admit(scope) for scope in scopes)
        held = sum(part.used for part in memory.parts)
        assert 0 < admitted < 1000
        assert held <= sum(part.capacity for part in memory.parts)
        for scope in scopes:
            body_reader.discard(scope)
        assert all(part.used == 0 for part in memory.parts)

    # Guards against memory that requests behind another one on a connection
    # keep after their caller has left, until garbage is collected.
    def test_memory_of_requests_that_were_not_begun_is_given_back(self):
        async def run():
            memory = body_memory.BodyMemory()
            reader = body_reader.BodyReader(memory, clock_module.SystemClock())
            has_begun = asyncio.Event()

            async def app(scope, receive, send):
                has_begun.set()
                while (await receive())["type"] != "http.disconnect":
                    pass
                body_reader.discard(scope)

            server = http_server.HttpServer(
                app, "127.0.0.1", admit_body=reader.admit
            )
            await server.start()
            body = b"x" * 1000
            head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
            _, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write((head % len(body) + body) * 2)
            await has_begun.wait()
            while memory.small_requests.used < 2 * len(body):
                await asyncio.sleep(0.01)
            writer.close()
            await asyncio.sleep(0.1)
            left = memory.small_requests.used
            await server.stop()
            return left

        gc.disable()
        try:
            assert asyncio.run(run()) == 0
        finally:
            gc.enable()


class _Target(asyncio.Protocol):
    """Answers a request with a body of the length that its path names."""

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        path = data.split(b" ", 2)[1].decode()
        _, framing, size = path.split("/")
        body = b"y" * int(size)
        head = b"HTTP/1.1 200 OK\r\nrequest-id: r\r\n"
        if framing == "length":
            self._transport.write(
                head + b"content-length: %d\r\n\r\n" % len(body) + body
            )
        else:
            self._transport.write(
                head
                + b"transfer-encoding: chunked\r\n\r\n%x\r\n" % len(body)
                + body
                + b"\r\n0\r\n\r\n"
            )


class TestResponses:
    def _exchange_all(self, paths, capacity, timeout_s=5.0):
        async def run():
            loop = asyncio.get_running_loop()
            server = await loop.create_server(_Target, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            part = _build_part(capacity, 1000)
            pool = buffered_connection.BufferedConnectionPool(
                f"127.0.0.1:{port}",
                b"request-id",
                clock_module.SystemClock(),
                part,
            )
            worst = 0

            async def exchange(path):
                nonlocal worst
                connection = await pool.acquire(1.0)
                head = f"GET {path} HTTP/1.1\r\n\r\n".encode()
                async with asyncio.timeout(timeout_s):
                    answer = await connection.exchange(head, b"r")
                worst = max(worst, part.used)
                await asyncio.sleep(0.01)
                if answer.reservation is not None:
                    answer.reservation.release()
                pool.release(connection, 10)
                return len(answer.body)

            sizes = await asyncio.gather(
                *map(exchange, paths), return_exceptions=True
            )
            pool.close()
            server.close()
            return sizes, worst, part.used

        return asyncio.run(run())

    @pytest.mark.parametrize("framing", ["length", "chunked"])
    def test_all_arrive_within_the_memory(self, framing):
        # Each without a length takes the largest allowed size.
        capacity = 9 * _MB
        sizes, worst, used = self._exchange_all(
            [f"/{framing}/{2 * _MB}"] * 12, capacity
        )
        assert sizes == [2 * _MB] * 12
        assert 0 < worst <= capacity
        assert used == 0

    def test_response_above_the_capacity_takes_all_of_it(self):
        sizes, worst, used = self._exchange_all([f"/length/{2 * _MB}"], _MB)
        assert (sizes, worst, used) == ([2 * _MB], _MB, 0)

    def test_wait_that_takes_too_long_leaves_nothing_behind(self):
        async def run():
            loop = asyncio.get_running_loop()
            server = await loop.create_server(_Target, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            part = _build_part(2 * _MB, 10)
            taken = part.try_reserve(2 * _MB)
            pool = buffered_connection.BufferedConnectionPool(
                f"127.0.0.1:{port}",
                b"request-id",
                clock_module.SystemClock(),
                part,
            )
            connection = await pool.acquire(1.0)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    head = b"GET /length/2000000 HTTP/1.1\r\n\r\n"
                    await connection.exchange(head, b"r")
            assert not connection.is_usable
            taken.release()
            server.close()
            # The task that waited handles its cancellation.
            await asyncio.sleep(0)
            return part.used

        assert asyncio.run(run()) == 0


_LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeout": "3000ms",
    "idleTimeout": "300ms",
}


class TestResponsesNotTaken:
    RESPONSE_BYTES = 7 * _MB

    # Guards against memory that a caller holds by not reading a response.
    def test_connection_is_closed_and_the_memory_given_back(self):
        async def scenario(cluster):
            cluster.store.put(
                "op/config",
                platform_cluster.build_config(2, limits=_LIMITS),
            )
            for target in cluster.targets:
                target.name = "x" * self.RESPONSE_BYTES
            reply = await cluster.call()
            assert len(reply.content) == self.RESPONSE_BYTES
            used = metrics.BODY_MEMORY_BYTES.labels("responses")._value
            host, _, port = cluster.entries[0].settings.callers.rpartition(":")
            # A small buffer, so that most of it waits in the entry.
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.connect((host, int(port)))
            caller.sendall(
                b"GET /read/2 HTTP/1.1\r\nhost: shop.example\r\n"
                b"x-api-key: key-1\r\nrequest-id: r1\r\n"
                b"deadline-ms: 2000\r\n\r\n"
            )

            async def is_held():
                return used.get() == self.RESPONSE_BYTES

            async def is_given_back():
                return used.get() == 0

            await cluster.wait_until(is_held)
            await cluster.wait_until(is_given_back)
            caller.settimeout(5.0)
            received = 0
            with caller, contextlib.suppress(ConnectionResetError):
                while data := caller.recv(65536):
                    received += len(data)
            assert received < self.RESPONSE_BYTES

        platform_cluster.run(scenario)


def _resident_mb(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(
        line for line in status.splitlines() if line.startswith("VmRSS:")
    )
    return int(line.split()[1]) / 1000


class TestProcess:
    LIMIT_MB = 300
    CALLERS = 6
    ROUNDS = 3
    BODY_BYTES = 24 * 1024 * 1024

    async def _order(self, site, name):
        """Send orders; how many ran, or were closed, without an answer."""
        lost = 0
        async with httpx.AsyncClient(trust_env=False, timeout=30.0) as client:
            for number in range(self.ROUNDS):
                request_id = f"{name}-{number}"
                try:
                    await client.post(
                        f"http://{site.entries[0].caller_endpoint}/order/1",
                        headers={
                            "host": platform_site.HOST,
                            "request-id": request_id,
                            "deadline-ms": "10000",
                            "x-api-key": platform_site.CUSTOMER_KEY,
                        },
                        content=b"x" * self.BODY_BYTES,
                    )
                except httpx.HTTPError:
                    lost += 1
        return lost

    # Guards against entries that end by their memory limit, and with them
    # orders that targets ran, when callers send large bodies at once.
    def test_large_orders_at_once_stay_within_the_memory(self, tmp_path):
        async def run():
            site = platform_site.PlatformSite(tmp_path, entry_count=1)
            entry = site.entries[0]
            path = tmp_path / f"{entry.name}.yaml"
            document = yaml.safe_load(path.read_text())
            document["self"]["limits"] = {"memoryMb": self.LIMIT_MB}
            path.write_text(yaml.safe_dump(document))
            await site.start()
            callers = [
                asyncio.create_task(self._order(site, f"caller-{number}"))
                for number in range(self.CALLERS)
            ]
            most_mb = 0.0
            try:
                while not all(task.done() for task in callers):
                    most_mb = max(most_mb, _resident_mb(entry.pid))
                    await asyncio.sleep(0.02)
                entry.send_signal(signal.SIGTERM)
                exit_code = await entry.wait()
            finally:
                await site.stop()
            return most_mb, [task.result() for task in callers], exit_code

        most_mb, lost, exit_code = asyncio.run(run())
        assert most_mb < self.LIMIT_MB
        assert lost == [0] * self.CALLERS
        assert exit_code == 0

    # Guards against memory that a request to another port than the callers'
    # holds for a body that nobody reads.
    def test_bodies_of_lookups_take_no_memory(self, tmp_path):
        async def run():
            site = platform_site.PlatformSite(tmp_path, entry_count=1)
            entry = site.entries[0]
            path = tmp_path / f"{entry.name}.yaml"
            document = yaml.safe_load(path.read_text())
            document["self"]["limits"] = {"memoryMb": self.LIMIT_MB}
            path.write_text(yaml.safe_dump(document))
            await site.start()
            settings = settings_file.read_settings(path)
            length = body_memory.BodyMemory(
                settings.memory_limit_bytes
            ).large_requests.capacity
            host, _, port = settings.lookups.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
                    % length
                )
                await reader.readuntil(b"\r\n\r\n")
                async with httpx.AsyncClient(trust_env=False) as client:
                    reply = await client.post(
                        f"http://{entry.caller_endpoint}/order/1",
                        headers={
                            "host": platform_site.HOST,
                            "request-id": "order",
                            "x-api-key": platform_site.CUSTOMER_KEY,
                        },
                        content=b"x" * _MB,
                    )
                return reply.status_code
            finally:
                writer.close()
                await site.stop()

        assert asyncio.run(run()) == 200
