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


class _Entry:
    """An entry of a site, as the system sees its process."""

    def __init__(self, process, settings):
        self.process = process
        self.settings = settings
        resource.prlimit(
            process.pid,
            resource.RLIMIT_NOFILE,
            (_DESCRIPTOR_LIMIT, _DESCRIPTOR_LIMIT),
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
        self.most_bytes = 0
        self.most_descriptors = 0
        self.most_connections = 0

    def count_descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def count_connections(self):
        """Connections that the entry has accepted on the crowd's ports."""
        count = 0
        path = pathlib.Path(f"/proc/{self.process.pid}/net/tcp")
        for line in path.read_text().splitlines()[1:]:
            fields = line.split()
            port = int(fields[1].rpartition(":")[2], 16)
            is_listening, inode = fields[3] == "0A", int(fields[9])
            count += port in self._ports and not is_listening and inode > 0
        return count

    def is_within_limits(self):
        """Look at the process; False once it has exceeded its limits."""
        statm = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        resident = int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")
        # That of a process that has ended and was not waited for is 0.
        assert resident > 0, "the process has ended"
        self.most_bytes = max(self.most_bytes, resident)
        self.most_descriptors = max(
            self.most_descriptors, self.count_descriptors()
        )
        self.most_connections = max(
            self.most_connections, self.count_connections()
        )
        return self.most_bytes < _MEMORY_LIMIT_MB * 1_000_000 and (
            self.most_descriptors < _DESCRIPTOR_LIMIT
            and self.most_connections <= _CALLERS_DESCRIPTORS
        )

    def describe(self):
        return (
            f"{self.most_bytes} bytes, {self.most_descriptors} descriptors,"
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


async def _watch(entry, tasks):
    """Wait for a crowd; stops early once the entry exceeds its limits."""
    sending = asyncio.gather(*tasks)
    deadline = asyncio.get_running_loop().time() + _SENDING_S
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
async def _started_entry(folder):
    site = platform_site.PlatformSite(folder, entry_count=1)
    (process,) = site.entries
    path = folder / f"{process.name}.yaml"
    document = yaml.safe_load(path.read_text())
    document["self"]["limits"] = {"memoryMb": _MEMORY_LIMIT_MB}
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
        yield site, _Entry(process, settings_file.read_settings(path))
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
