"""Callers that send without end do not exhaust the memory of an entry.

Each test starts an entry as a process of its own with a lowered memory limit
and a small crowd of connections. Only one of these tests may run at a time.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import resource
import socket

import httpx
import pytest
import yaml

from chicorydoor.platform import documents
from chicorydoor.platform import settings_file
from chicorydoor.standins import platform_site
from chicorydoor.standins import platform_target

# The limits that are stated to the process. Its memory has to stay below the
# first; callers' connections leave a quarter of the descriptors to others.
_MEMORY_LIMIT_MB = 160
_DESCRIPTOR_LIMIT = 256
_CALLERS_DESCRIPTORS = _DESCRIPTOR_LIMIT * 3 // 4
_MAX_HEADER_BYTES = 16384
_LIMITS = {
    "maxHeaderBytes": _MAX_HEADER_BYTES,
    "maxBodyBytes": 64 * 1024 * 1024,
    "headerTimeout": "3000ms",
    "idleTimeout": "2000ms",
}
_CROWD = 12
# More connections than the others: each may hold no more than one head.
_HEADER_CROWD = 170
_UNREAD_CROWD = 100
_BYTES_EACH = 24 * 1024 * 1024
# Callers that are slowed down stop after this.
_SENDING_S = 1.5
_BLOCK_BYTES = 64 * 1024
_TRAILER = b"x-t: " + b"x" * 4096 + b"\r\n"
_HEADERS = (
    b"host: "
    + platform_site.HOST.encode()
    + b"\r\nx-api-key: "
    + platform_site.CUSTOMER_KEY.encode()
    + b"\r\n"
)
_CHUNKED = _HEADERS + b"transfer-encoding: chunked\r\n\r\n"
_ORDER = b"POST /order/1 HTTP/1.1\r\nrequest-id: o\r\n" + _CHUNKED
_READ = b"GET /read/1 HTTP/1.1\r\nrequest-id: r\r\n"
_SHORT_BODY = b"4\r\nbody\r\n"
# Crowds that send bodies: large ones of legal size take the process's memory
# several times, small ones do together with them.
_BODY_CROWD_DESCRIPTORS = 512
_LARGE_BODIES = 240
_LARGE_BODY_BYTES = 8 * 1024 * 1024
_MIXED_LARGE_BODIES = 15
_MIXED_LARGE_BODY_BYTES = 4 * 1024 * 1024
_MIXED_SMALL_BODIES = 130
_SMALL_BODIES = 300
_SMALL_BODY_BYTES = 60_000
_MIXED_CHUNKED_BODIES = 40
_MIXED_READERS = 60
_LARGE_RESPONSE_BYTES = 2 * 1024 * 1024
_PEER_MESSAGES = 60
_PEER_MESSAGE_BYTES = 4 * 1024 * 1024
# Crowds that come again whenever they are closed stop after this.
_RETURNING_S = 3.0
_RETURN_PAUSE_S = 0.1
# Fewer than the callers' part of the descriptors; each has a request at work.
_WAITING_READERS = 150
_SLOW_WORK_S = 1.2
# The largest body of the limits, at the smallest machine in use.
_CALM_MEMORY_LIMIT_MB = 200
# What nng sends first on a connection, from a push socket.
_NNG_GREETING = b"\0SP\0\0\x50\0\0"


class _Entry:
    """An entry of a site, as the system sees its process.

    The system counts what its connections have received and it has not read
    as memory of the process.
    """

    def __init__(self, process, settings, descriptor_limit):
        self.process = process
        self.settings = settings
        self._descriptor_limit = descriptor_limit
        self._callers_descriptors = (
            descriptor_limit * _CALLERS_DESCRIPTORS // _DESCRIPTOR_LIMIT
        )
        resource.prlimit(
            process.pid,
            resource.RLIMIT_NOFILE,
            (descriptor_limit, descriptor_limit),
        )
        self._ports = {
            int(endpoint.rpartition(":")[2])
            for endpoint in (
                settings.callers,
                settings.lookups,
                settings.readiness,
                settings.relay,
            )
        }
        self._all_ports = self._ports | {
            process.metrics_port,
            int(settings.peers.rpartition(":")[2]),
        }
        self.most_bytes = 0
        self.most_resident_bytes = 0
        self.most_descriptors = 0
        self.most_connections = 0

    def _look_at_sockets(self):
        """Connections accepted from the crowd, and bytes not read."""
        folder = pathlib.Path(f"/proc/{self.process.pid}/fd")
        own = set()
        descriptors = os.listdir(folder)
        for each in descriptors:
            # It may be closed meanwhile.
            with contextlib.suppress(OSError):
                own.add(os.readlink(folder / each))
        self.most_descriptors = max(self.most_descriptors, len(descriptors))
        count = unread = 0
        path = pathlib.Path(f"/proc/{self.process.pid}/net/tcp")
        for line in path.read_text().splitlines()[1:]:
            fields = line.split()
            if fields[3] == "0A":
                # It listens.
                continue
            port, inode = int(fields[1].rpartition(":")[2], 16), fields[9]
            # A connection that was not accepted yet has no inode.
            waits = inode == "0" and port in self._all_ports
            if waits or f"socket:[{inode}]" in own:
                unread += int(fields[4].partition(":")[2], 16)
            count += port in self._ports and inode != "0"
        return count, unread

    def is_within_limits(self):
        """Look at the process; False once it has exceeded its limits."""
        connections, unread = self._look_at_sockets()
        statm = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        resident = int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")
        # That of a process that has ended and was not waited for is 0.
        assert resident > 0, "the process has ended"
        self.most_bytes = max(self.most_bytes, resident + unread)
        self.most_resident_bytes = max(self.most_resident_bytes, resident)
        self.most_connections = max(self.most_connections, connections)
        return self.most_bytes < _MEMORY_LIMIT_MB * 1_000_000 and (
            self.most_descriptors < self._descriptor_limit
            and self.most_connections <= self._callers_descriptors
        )

    def find_in_log(self, message):
        """The first line of the log with a message; empty for none."""
        with self.process.log_path.open() as log:
            return next((line for line in log if message in line), "")

    def describe(self):
        return (
            f"{self.most_bytes} bytes ({self.most_resident_bytes} resident),"
            f" {self.most_descriptors} descriptors,"
            f" {self.most_connections} connections at most"
        )


class _Caller:
    """Sends a beginning and then the same block over and over."""

    def __init__(self, address, beginning, block, max_bytes):
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._socket.setblocking(False)
        self._address = address
        self._beginning = beginning
        count = max(1, _BLOCK_BYTES // len(block)) if block else 0
        self._block = block * count
        self._max_bytes = max_bytes

    async def send(self):
        loop = asyncio.get_running_loop()
        # The entry may close the connection at any time.
        with contextlib.suppress(OSError):
            await loop.sock_connect(self._socket, self._address)
            await loop.sock_sendall(self._socket, self._beginning)
            sent = 0
            while sent < self._max_bytes:
                block = self._block[: self._max_bytes - sent]
                await loop.sock_sendall(self._socket, block)
                sent += len(block)

    def close(self):
        self._socket.close()


class _ReturningCaller:
    """Sends the same bytes, stays open, and comes again once it is closed."""

    def __init__(self, address, blocks, reads=True):
        self._address = address
        self._blocks = blocks
        self._reads = reads
        self._socket = socket.socket()

    async def send(self):
        while True:
            # The entry may close the connection at any time.
            with contextlib.suppress(OSError):
                await self._send_once()
            await asyncio.sleep(_RETURN_PAUSE_S)

    async def _send_once(self):
        loop = asyncio.get_running_loop()
        self._socket.close()
        self._socket = socket.socket()
        self._socket.setblocking(False)
        if not self._reads:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await loop.sock_connect(self._socket, self._address)
        for block in self._blocks:
            await loop.sock_sendall(self._socket, block)
        while self._reads and await loop.sock_recv(self._socket, 4096):
            pass
        if not self._reads:
            await asyncio.Event().wait()

    def close(self):
        self._socket.close()


def _split(data):
    return [
        data[start : start + _BLOCK_BYTES]
        for start in range(0, len(data), _BLOCK_BYTES)
    ]


def _order_with_length(size, missing=1):
    """An order in pieces, without its last bytes."""
    head = b"POST /order/1 HTTP/1.1\r\nrequest-id: o\r\n" + _HEADERS
    head += b"content-length: %d\r\n\r\n" % size
    return [head, *_split(b"x" * (size - missing))]


def _order_in_chunks(size, chunk_size, end=b""):
    """An order in chunks, without its last one by default."""
    chunk = b"%x\r\n%b\r\n" % (chunk_size, b"x" * chunk_size)
    return [_ORDER, *_split(chunk * (size // chunk_size)), end]


_LARGE_BODY_BY_KIND = {
    "with-length": _order_with_length(_LARGE_BODY_BYTES),
    "chunks": _order_in_chunks(_LARGE_BODY_BYTES, 64 * 1024),
    "short-chunks": _order_in_chunks(_LARGE_BODY_BYTES // 4, 100),
    "whole": _order_with_length(_LARGE_BODY_BYTES, missing=0),
    "whole-chunks": _order_in_chunks(
        _LARGE_BODY_BYTES, 64 * 1024, end=b"0\r\n\r\n"
    ),
}
_SMALL_BODY_BY_KIND = {
    "with-length": _order_with_length(_SMALL_BODY_BYTES),
    "chunks": _order_in_chunks(_SMALL_BODY_BYTES, 1000),
}


async def _watch(entry, tasks, for_s=_SENDING_S):
    """Wait for a crowd; stops early once the entry exceeds its limits."""
    sending = asyncio.gather(*tasks)
    deadline = asyncio.get_running_loop().time() + for_s
    while (
        entry.is_within_limits()
        and not sending.done()
        and asyncio.get_running_loop().time() < deadline
    ):
        await asyncio.sleep(0.01)
    sending.cancel()
    await asyncio.gather(sending, *tasks, return_exceptions=True)


async def _is_served(site, entry):
    """Whether an ordinary request is answered, in one of several attempts."""
    for number in range(40):
        with contextlib.suppress(httpx.HTTPError):
            reply = await site.call(
                entry.process, "GET", "/read/7", f"ordinary-{number}"
            )
            if reply.status_code == 200:
                return True
        if not entry.is_within_limits():
            return False
        await asyncio.sleep(0.1)
    return False


@contextlib.asynccontextmanager
async def _started_entry(
    folder,
    descriptor_limit=_DESCRIPTOR_LIMIT,
    memory_limit_mb=_MEMORY_LIMIT_MB,
):
    site = platform_site.PlatformSite(folder, entry_count=1)
    (process,) = site.entries
    path = folder / f"{process.name}.yaml"
    document = yaml.safe_load(path.read_text())
    document["self"]["limits"] = {"memoryMb": memory_limit_mb}
    path.write_text(yaml.safe_dump(document))
    await site.start()
    try:
        customer = platform_site.build_customer(
            platform_site.CUSTOMER, [platform_site.CUSTOMER_KEY]
        )
        configuration = json.loads(
            platform_site.build_configuration(2, [customer])
        )
        site.store.put(
            documents.CONFIGURATION_KEY,
            json.dumps(configuration | {"limits": _LIMITS}).encode(),
        )
        async with asyncio.timeout(10.0):
            while (
                '"configuration in force"'
                not in process.log_path.read_text().partition('"version":2')[0]
                or '"version":2' not in process.log_path.read_text()
            ):
                await asyncio.sleep(0.02)
        settings = settings_file.read_settings(path)
        yield site, _Entry(process, settings, descriptor_limit)
    finally:
        await site.stop()


def _play(
    folder,
    beginning,
    block,
    port="callers",
    crowd=_CROWD,
    max_bytes=_BYTES_EACH,
):
    """Let a crowd send; check the process during and after it."""

    async def run():
        async with _started_entry(folder) as (site, entry):
            assert entry.is_within_limits()
            host, _, number = getattr(entry.settings, port).rpartition(":")
            callers = [
                _Caller((host, int(number)), beginning, block, max_bytes)
                for _ in range(crowd)
            ]
            try:
                await _watch(
                    entry,
                    [asyncio.create_task(each.send()) for each in callers],
                )
                assert entry.is_within_limits(), entry.describe()
                # The connections of the crowd are still open.
                assert await _is_served(site, entry), entry.describe()
            finally:
                for each in callers:
                    each.close()
            assert entry.is_within_limits(), entry.describe()

    asyncio.run(run())


def _endpoint(entry, port):
    if port == "metrics":
        return "127.0.0.1", entry.process.metrics_port
    host, _, number = getattr(entry.settings, port).rpartition(":")
    return host, int(number)


def _play_returning(
    folder,
    *crowds,
    prepare=None,
    descriptor_limit=_BODY_CROWD_DESCRIPTORS,
    check=lambda entry: True,
):
    """Let crowds of returning callers send; check the process.

    Args:
        folder (Path): For settings and logs.
        crowds (tuple): Number of callers, port, what each sends, and whether
            they read.
        prepare (callable): Called with the site before. Defaults to None.
        descriptor_limit (int): Of the entry.
        check (callable): Whether something else holds for the entry
            afterwards. Defaults to none.
    """

    async def run():
        async with _started_entry(folder, descriptor_limit) as (site, entry):
            if prepare is not None:
                prepare(site)
            assert entry.is_within_limits()
            callers = [
                _ReturningCaller(_endpoint(entry, port), blocks, reads)
                for count, port, blocks, reads in crowds
                for _ in range(count)
            ]
            tasks = [asyncio.create_task(each.send()) for each in callers]
            try:
                await _watch(entry, tasks, _RETURNING_S)
                assert entry.is_within_limits(), entry.describe()
                # The connections that the entry did not close are still open.
                assert await _is_served(site, entry), entry.describe()
            finally:
                for each in callers:
                    each.close()
            assert entry.is_within_limits(), entry.describe()
            assert check(entry)

    asyncio.run(run())


class TestTrailers:
    # Guards against trailers that are collected without a limit while the
    # request waits for its end.
    def test_behind_a_short_body(self, tmp_path):
        _play(tmp_path, _ORDER + _SHORT_BODY + b"0\r\n", _TRAILER)

    def test_behind_an_empty_body(self, tmp_path):
        beginning = _READ + _CHUNKED + b"0\r\n"
        _play(tmp_path, beginning, _TRAILER)

    # Guards against one trailer that the parser puts together.
    def test_one_trailer_without_end(self, tmp_path):
        beginning = _ORDER + _SHORT_BODY + b"0\r\nx-t: "
        _play(tmp_path, beginning, b"x")

    # Guards against a limit that only the callers' port has. Look-ups and
    # readiness are answered before the trailers, relayed requests are not.
    @pytest.mark.parametrize("port", ["lookups", "readiness", "relay"])
    def test_on_other_ports(self, tmp_path, port):
        beginning = _ORDER + _SHORT_BODY + b"0\r\n"
        _play(tmp_path, beginning, _TRAILER, port=port)


class TestChunks:
    # Guards against framing that is kept, or read for ever, beside a body.
    @pytest.mark.parametrize(
        ("beginning", "block"),
        [
            (_ORDER + b"4;a=", b"x"),
            (_ORDER, b"1;a=" + b"x" * 1000 + b"\r\nx\r\n"),
            (_ORDER, b"0"),
        ],
        ids=["endless-extension", "extensions", "endless-size"],
    )
    def test_framing_without_end(self, tmp_path, beginning, block):
        _play(tmp_path, beginning, block)


class TestPipelinedRequests:
    # Guards against requests that are read while earlier ones on their
    # connection run, and whose answers nobody reads.
    def test_requests_whose_answers_are_not_read(self, tmp_path):
        _play(tmp_path, b"", _READ + _HEADERS + b"\r\n")

    def test_shortest_requests(self, tmp_path):
        _play(
            tmp_path,
            _READ + _HEADERS + b"\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            crowd=_UNREAD_CROWD,
            max_bytes=4 * 1024 * 1024,
        )


class TestHeaders:
    # Guards against heads that are each within their limit but not in sum.
    def test_headers_that_never_end(self, tmp_path):
        beginning = _READ + _HEADERS
        _play(
            tmp_path,
            beginning,
            b"a:b\r\n",
            crowd=_HEADER_CROWD,
            max_bytes=_MAX_HEADER_BYTES - len(beginning) - 100,
        )


class TestLargeBodies:
    # Guards against bodies of legal size that take more memory in sum than
    # the process has, read or waiting to be read.
    @pytest.mark.parametrize(
        "port", ["callers", "relay", "lookups", "readiness", "metrics"]
    )
    @pytest.mark.parametrize("kind", _LARGE_BODY_BY_KIND)
    def test_many_at_once(self, tmp_path, kind, port):
        blocks = _LARGE_BODY_BY_KIND[kind]
        _play_returning(tmp_path, (_LARGE_BODIES, port, blocks, True))

    # Guards against a share for each kind of memory that is within the limit,
    # while the sum of all kinds is not.
    @pytest.mark.parametrize("port", ["callers", "relay"])
    def test_beside_small_ones_and_responses(self, tmp_path, port):
        large = _order_with_length(_MIXED_LARGE_BODY_BYTES)
        reads = 4 * (_READ + _HEADERS + b"\r\n")
        _play_returning(
            tmp_path,
            (_MIXED_READERS, "callers", [reads], False),
            (_MIXED_LARGE_BODIES, port, large, True),
            (
                _MIXED_SMALL_BODIES,
                port,
                _SMALL_BODY_BY_KIND["with-length"],
                True,
            ),
            (_MIXED_CHUNKED_BODIES, port, _LARGE_BODY_BY_KIND["chunks"], True),
            prepare=_answer_with_large_responses,
        )

    # Guards against a largest allowed body that is refused though nothing
    # else takes memory.
    @pytest.mark.parametrize("kind", ["with-length", "chunks"])
    def test_largest_body_in_calm(self, tmp_path, kind):
        async def run():
            async with _started_entry(
                tmp_path, memory_limit_mb=_CALM_MEMORY_LIMIT_MB
            ) as (site, entry):
                assert await _is_served(site, entry)
                status = await _send_largest_body(site, entry, kind)
                assert status == 200
                assert entry.most_bytes < _CALM_MEMORY_LIMIT_MB * 1_000_000

        asyncio.run(run())


def _answer_with_large_responses(site):
    """Let the targets answer each read that is not an ordinary one so."""

    def response_body(request_id):
        if request_id.startswith("ordinary"):
            return platform_target.response_body(request_id)
        return "x" * _LARGE_RESPONSE_BYTES

    for target in site.targets:
        target.response_body = response_body


async def _send_largest_body(site, entry, kind):
    size = _LIMITS["maxBodyBytes"]

    async def pieces():
        for _ in range(size // _BLOCK_BYTES):
            yield b"x" * _BLOCK_BYTES

    headers = {
        "host": platform_site.HOST,
        "x-api-key": platform_site.CUSTOMER_KEY,
        "request-id": "largest",
    }
    if kind == "with-length":
        headers["content-length"] = str(size)
    url = f"http://{entry.process.caller_endpoint}/order/1"
    reply = await site.client.post(url, headers=headers, content=pieces())
    entry.is_within_limits()
    return reply.status_code


class TestSmallBodies:
    # Guards against small bodies that are each within their limit but not in
    # sum, and against the memory for their pieces.
    @pytest.mark.parametrize("kind", _SMALL_BODY_BY_KIND)
    def test_many_at_once(self, tmp_path, kind):
        blocks = _SMALL_BODY_BY_KIND[kind]
        _play_returning(tmp_path, (_SMALL_BODIES, "callers", blocks, True))


class TestDescriptors:
    # Guards against connections to targets that use up the descriptors, and
    # against targets that count as unreachable when none is free.
    def test_many_requests_at_slow_targets(self, tmp_path):
        _play_returning(
            tmp_path,
            (_WAITING_READERS, "callers", [_READ + _HEADERS + b"\r\n"], True),
            prepare=_answer_slowly,
            descriptor_limit=_DESCRIPTOR_LIMIT,
            check=lambda entry: not entry.find_in_log("target unreachable"),
        )


def _answer_slowly(site):
    for target in site.targets:
        target.work_s = _SLOW_WORK_S


class TestPeerMessages:
    # Guards against messages on the peers' port for which memory is taken
    # when they begin, or while they wait to be handled.
    @pytest.mark.parametrize("missing", [0, 1], ids=["whole", "short"])
    def test_large_ones_at_once(self, tmp_path, missing):
        size = _PEER_MESSAGE_BYTES
        message = _split(b"\xff" * (size - missing))
        blocks = [_NNG_GREETING, size.to_bytes(8, "big"), *message]
        _play_returning(tmp_path, (_PEER_MESSAGES, "peers", blocks, True))
