"""The soak: a short run, its checks, and its proxy."""

import asyncio

import pytest
import uvloop

from chicorydoor.soak import loopback_proxy
from chicorydoor.soak import soak_checks
from chicorydoor.soak import soak_faults
from chicorydoor.soak import soak_run
from chicorydoor.soak import soak_traffic
from chicorydoor.standins import platform_target


class TestShortRun:
    def test_promises_hold(self):
        report = uvloop.run(soak_run.play(7, 4.0, 3, None))
        assert report.broken_by_promise == {}
        assert report.requests > 100
        assert report.faults

    def test_every_kind_of_trouble_is_known(self):
        assert len(soak_faults.FAULTS.names()) >= 10


def _told(request_id="r", **changes):
    values = {
        "request_id": request_id,
        "at": 1.0,
        "entry": "e",
        "start": 1,
        "key": "acme-0",
        "is_order": True,
        "status": 200,
        "body": platform_target.response_body(request_id),
    }
    return soak_traffic.Told(**(values | changes))


def _arrival(request_id="r", **changes):
    values = {
        "request_id": request_id,
        "at": 1.0,
        "customer": "acme",
        "has_key": False,
    }
    return platform_target.Arrival(**(values | changes))


def _seen(told=(), arrivals=(), late=0, final=(), withdrawn=()):
    return soak_checks.Seen(
        list(told), list(arrivals), late, list(final), list(withdrawn)
    )


_BROKEN = [
    ("an order runs at most once", _seen([_told()], [_arrival()] * 2)),
    (
        "a refusal that says not run is true",
        _seen([_told(status=503)], [_arrival()]),
    ),
    (
        "answers are whole and belong to their request",
        _seen([_told(body="answer to")]),
    ),
    (
        "requests run for the customer of their key",
        _seen([_told()], [_arrival(customer="beta")]),
    ),
    ("no target sees a key", _seen([_told()], [_arrival(has_key=True)])),
    (
        "a withdrawn key that was refused once stays refused",
        _seen([_told(status=401), _told("s", at=5.0)]),
    ),
    (
        "rates hold over all entries",
        _seen(
            arrivals=[
                _arrival(f"r{n}", customer="beta", at=n / 100)
                for n in range(200)
            ]
        ),
    ),
    ("leaving targets get nothing once all is well", _seen(late=1)),
    (
        "the newest configuration is in force once all is well",
        _seen(final=[_told(status=401)]),
    ),
    (
        "every entry serves once all is well",
        _seen(final=[_told(status=503)]),
    ),
]


class TestChecks:
    @pytest.mark.parametrize(("name", "seen"), _BROKEN)
    def test_finds_what_is_broken(self, name, seen):
        assert soak_checks.CHECKS.get(name)(seen)

    def test_all_are_tried(self):
        assert {name for name, _ in _BROKEN} == set(soak_checks.CHECKS.names())

    @pytest.mark.parametrize("name", soak_checks.CHECKS.names())
    def test_nothing_is_found_where_all_is_well(self, name):
        told = [_told(), _told("s", is_order=False)]
        seen = _seen(told, [_arrival(), _arrival("s")], final=[_told("f")])
        assert soak_checks.CHECKS.get(name)(seen) == []


def _through_proxy(way):
    """What a client gets from an echo behind a proxy; None for nothing."""

    async def run():
        async def echo(reader, writer):
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        proxy = loopback_proxy.LoopbackProxy(f"{host}:{port}", slow_s=0.01)
        await proxy.start()
        proxy.set_way(way)
        reader, writer = await asyncio.open_connection(
            *proxy.endpoint.split(":")
        )
        try:
            writer.write(b"hello")
            async with asyncio.timeout(0.3):
                first = await reader.read(100)
                if way is loopback_proxy.Way.RESET:
                    return await reader.read(100)
                return first
        except TimeoutError:
            return None
        except ConnectionError:
            return b""
        finally:
            writer.transport.abort()
            await proxy.stop()
            server.close()

    return asyncio.run(run())


class TestProxy:
    @pytest.mark.parametrize(
        ("way", "expected"),
        [
            (loopback_proxy.Way.OPEN, b"hello"),
            (loopback_proxy.Way.SLOW, b"hello"),
            (loopback_proxy.Way.RESET, b""),
            (loopback_proxy.Way.SILENT, None),
            (loopback_proxy.Way.NO_ANSWERS, None),
        ],
    )
    def test_ways(self, way, expected):
        assert _through_proxy(way) == expected
