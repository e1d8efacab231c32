"""The soak test: a short run, its checks and its fault proxy."""

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
        report = uvloop.run(soak_run.run_seed(7, 4.0, 3, None))
        assert report.broken_by_promise == {}
        assert report.requests > 100
        assert report.faults

    def test_at_least_ten_faults_are_registered(self):
        assert len(soak_faults.FAULTS.names()) >= 10


def _record(request_id="r", **overrides):
    values = {
        "request_id": request_id,
        "sent_at": 1.0,
        "entry": "e",
        "start_number": 1,
        "key": "acme-0",
        "is_order": True,
        "status": 200,
        "body": platform_target.response_body(request_id),
    }
    return soak_traffic.RequestRecord(**(values | overrides))


def _execution(request_id="r", **overrides):
    values = {
        "request_id": request_id,
        "started_at": 1.0,
        "customer": "acme",
        "has_key": False,
    }
    return platform_target.Execution(**(values | overrides))


def _observations(
    records=(),
    executions=(),
    late_execution_count=0,
    final_requests=(),
    withdrawn_keys=(),
):
    return soak_checks.Observations(
        list(records),
        list(executions),
        late_execution_count,
        list(final_requests),
        list(withdrawn_keys),
    )


_VIOLATIONS = [
    (
        "an order runs at most once",
        _observations([_record()], [_execution()] * 2),
    ),
    (
        "a refusal that says not run is true",
        _observations([_record(status=503)], [_execution()]),
    ),
    (
        "answers are whole and belong to their request",
        _observations([_record(body="answer to")]),
    ),
    (
        "requests run for the customer of their key",
        _observations([_record()], [_execution(customer="beta")]),
    ),
    (
        "no target sees a key",
        _observations([_record()], [_execution(has_key=True)]),
    ),
    (
        "a withdrawn key that was refused once stays refused",
        _observations([_record(status=401), _record("s", sent_at=5.0)]),
    ),
    (
        "rates hold over all entries",
        _observations(
            executions=[
                _execution(f"r{n}", customer="beta", started_at=n / 100)
                for n in range(200)
            ]
        ),
    ),
    (
        "nothing is sent on for callers that have left",
        _observations(
            [_record(f"r{n}", status=0, left_at=2.0) for n in range(4)],
            [_execution(f"r{n}", started_at=2.6) for n in range(4)],
        ),
    ),
    (
        "leaving targets get nothing once all is well",
        _observations(late_execution_count=1),
    ),
    (
        "the newest configuration is in force once all is well",
        _observations(final_requests=[_record(status=401)]),
    ),
    (
        "every entry serves once all is well",
        _observations(final_requests=[_record(status=503)]),
    ),
]


class TestChecks:
    @pytest.mark.parametrize(("name", "observed"), _VIOLATIONS)
    def test_finds_a_violation(self, name, observed):
        assert soak_checks.CHECKS.get(name)(observed)

    def test_all_checks_are_tested(self):
        assert {name for name, _ in _VIOLATIONS} == set(
            soak_checks.CHECKS.names()
        )

    @pytest.mark.parametrize("name", soak_checks.CHECKS.names())
    def test_accepts_a_correct_run(self, name):
        records = [
            _record(),
            _record("s", is_order=False),
            *(_record(f"l{n}", status=0, left_at=2.0) for n in range(4)),
        ]
        observed = _observations(
            records,
            [
                _execution(),
                _execution("s"),
                *(_execution(f"l{n}", started_at=2.4) for n in range(4)),
            ],
            final_requests=[_record("f")],
        )
        assert soak_checks.CHECKS.get(name)(observed) == []


def _receive_through_proxy(mode):
    """Bytes that a client receives from an echo server behind a proxy.

    Empty if the connection ends, None if nothing arrives in time.
    """

    async def run():
        async def echo(reader, writer):
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        proxy = loopback_proxy.LoopbackProxy(f"{host}:{port}", slow_s=0.01)
        await proxy.start()
        proxy.set_mode(mode)
        reader, writer = await asyncio.open_connection(
            *proxy.endpoint.split(":")
        )
        try:
            writer.write(b"hello")
            async with asyncio.timeout(0.3):
                first = await reader.read(100)
                if mode is loopback_proxy.ProxyMode.RESET:
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
        ("mode", "expected"),
        [
            (loopback_proxy.ProxyMode.OPEN, b"hello"),
            (loopback_proxy.ProxyMode.SLOW, b"hello"),
            (loopback_proxy.ProxyMode.RESET, b""),
            (loopback_proxy.ProxyMode.SILENT, None),
            (loopback_proxy.ProxyMode.NO_ANSWERS, None),
        ],
    )
    def test_mode_decides_what_the_client_receives(self, mode, expected):
        assert _receive_through_proxy(mode) == expected
