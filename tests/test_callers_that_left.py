"""Callers that close their connections while their requests wait.

The load: an entry with more work than processor time, whose callers give up
before it reads their requests. Each test closes a caller's connection before
the event loop can notice it.
"""

import asyncio
import socket

import pytest

from chicorydoor.platform import http_names
from tests.support import platform_cluster
from tests.support import scripted_target
from tests.support import target_partition

Behaviour = scripted_target.TargetBehaviour

# Long enough for a request to reach a target of the cluster, and for a retry.
_SETTLE_S = 0.2
_NAMES = http_names.HEADER_NAMES


def _encode_request(method, path, headers=(), body=b""):
    lines = [
        f"{method} {path} HTTP/1.1".encode(),
        b"host: shop.example",
        b"x-api-key: key-1",
        b"request-id: gone",
        b"deadline-ms: 1000",
        b"content-length: %d" % len(body),
        *(b"%s: %s" % header for header in headers),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def _connect_and_send(address, request):
    """Send a request without giving the event loop a turn."""
    host, _, port = address.rpartition(":")
    caller = socket.create_connection((host, int(port)), 1.0)
    caller.sendall(request)
    return caller


def _leave_unread(address, request):
    """Send a request and leave before the entry can read it."""
    _connect_and_send(address, request).close()


async def _run_to_end(cluster):
    """Wait until requests that were sent on have arrived."""
    await asyncio.sleep(_SETTLE_S)
    return cluster.request_count()


_METHODS_AND_PATHS = [("GET", "/read/1"), ("POST", "/order/1")]


class TestUnreadRequests:
    # Guards against requests that are sent to targets although their callers
    # left before the entry read them.
    @pytest.mark.parametrize(("method", "path"), _METHODS_AND_PATHS)
    def test_are_not_sent_to_a_target(self, method, path):
        async def scenario(cluster):
            address = cluster.entries[0].settings.callers
            for served in range(1, 6):
                # Leaves a connection to a target open for the next request.
                assert (await cluster.call()).status_code == 200
                _leave_unread(address, _encode_request(method, path))
                assert await _run_to_end(cluster) == served

        platform_cluster.run(scenario)

    # Guards against the same on a connection that carried requests before.
    def test_are_not_sent_from_a_kept_connection(self):
        async def scenario(cluster):
            address = cluster.entries[0].settings.callers
            caller = _connect_and_send(
                address, _encode_request("GET", "/read/1")
            )
            assert await _run_to_end(cluster) == 1
            assert caller.recv(4096).startswith(b"HTTP/1.1 200 ")
            caller.sendall(_encode_request("GET", "/read/1"))
            caller.close()
            assert await _run_to_end(cluster) == 1

        platform_cluster.run(scenario)

    # Guards against callers that left using up their customer's rate.
    def test_take_no_part_of_the_rate(self):
        async def scenario(cluster):
            customer = {"name": "c", "apiKeys": ["key-1"], "ratePerS": 10}
            cluster.store.put(
                "op/config",
                platform_cluster.build_config(
                    2, tenants=[customer | {"burst": 10}]
                ),
            )
            # Long enough for the whole burst to be available.
            await asyncio.sleep(2.0)
            address = cluster.entries[0].settings.callers
            for _ in range(50):
                _leave_unread(address, _encode_request("GET", "/read/1"))
            await asyncio.sleep(_SETTLE_S)
            for _ in range(5):
                assert (await cluster.call()).status_code == 200

        platform_cluster.run(scenario)


class TestRetries:
    # Guards against retries for callers that left during an earlier attempt.
    @pytest.mark.parametrize(("method", "path"), _METHODS_AND_PATHS)
    def test_are_not_sent_after_the_caller_left(self, method, path):
        async def scenario(cluster):
            address = cluster.entries[0].settings.callers
            for attempt in range(1, 11):
                caller = _connect_and_send(
                    address, _encode_request(method, path)
                )
                for target in cluster.targets:
                    target.behaviours = [Behaviour.SHED]
                    target.before_answer = caller.close
                assert await _run_to_end(cluster) == attempt

        platform_cluster.run(scenario)


class TestPipelinedRequests:
    # Guards against running requests that go on after their callers left,
    # because another request had followed on the connection.
    @pytest.mark.parametrize("pause_s", [0.0, 0.1])
    def test_are_ended_when_the_caller_leaves(self, pause_s):
        async def scenario(cluster):
            for target in cluster.targets:
                target.behaviours = [Behaviour.NO_ANSWER]
            address = cluster.entries[0].settings.callers
            request = _encode_request("GET", "/read/1")
            caller = _connect_and_send(address, request)
            await asyncio.sleep(pause_s)
            caller.sendall(request)
            await asyncio.sleep(_SETTLE_S)
            caller.close()
            await asyncio.sleep(_SETTLE_S)
            assert sum(t.abandoned_requests for t in cluster.targets) == 1
            assert cluster.request_count() == 1

        platform_cluster.run(scenario)


class TestRelayedRequests:
    # Guards against relaying requests whose callers left before the entry
    # read them.
    def test_unread_requests_are_not_relayed(self, monkeypatch):
        async def scenario(cluster):
            partition = target_partition.TargetPartition(cluster, monkeypatch)
            partition.cut("e0", target_partition.CutMode.RESET)
            address = cluster.entries[0].settings.callers
            async with asyncio.timeout(5.0):
                # Until the entry has noticed that it reaches no target.
                while (await cluster.call()).status_code != 200:
                    await asyncio.sleep(0.05)
            before = cluster.request_count()
            for _ in range(10):
                _leave_unread(address, _encode_request("GET", "/read/1"))
            assert await _run_to_end(cluster) == before

        platform_cluster.run(scenario, targets=4, entries=2)

    # Guards against a peer sending on what the relaying entry has given up.
    def test_peer_does_not_send_what_was_given_up_unread(self):
        async def scenario(cluster):
            settings = cluster.entries[0].settings
            headers = [
                (_NAMES.expected_target_id, settings.instance.encode()),
                (_NAMES.relayed_service, b"s"),
                (_NAMES.relayed_send_count, b"0"),
                (_NAMES.customer_id, b"c"),
            ]
            request = _encode_request("GET", "/read/1", headers)
            with _connect_and_send(settings.relay, request) as peer:
                assert await _run_to_end(cluster) == 1
                assert peer.recv(4096).startswith(b"HTTP/1.1 200 ")
            for _ in range(10):
                _leave_unread(settings.relay, request)
            assert await _run_to_end(cluster) == 1

        platform_cluster.run(scenario)
