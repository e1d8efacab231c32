"""Callers' requests through a running entry, over real sockets.

Guards what callers and targets see: which headers are forwarded, which input
is refused and with which result code, and that an answer reaches only the
request that it belongs to.
"""

import asyncio
import json
import socket

import httpx
import pytest

from chicorydoor.protocol import config_records as records
from chicorydoor.protocol import settings as settings_module
from chicorydoor.standins import local_fleet

_TIMING = settings_module.Timing(
    heartbeat_s=0.1,
    dead_after_s=1.2,
    lease_s=1.6,
    slots_valid_s=1.2,
    exchange_s=0.2,
    store_poll_s=0.5,
)
_LARGE_BODY_BYTES = 700_000


def _configuration():
    result = records.Configuration()
    result.region_by_id["r"] = records.Region()
    result.service_by_id["svc"] = records.Service(slow_start_s=0.0)
    for domain in ("d0", "d1"):
        result.domain_by_id[domain] = records.Domain("r")
        result.target_by_id[f"{domain}-t"] = records.Target(
            "svc", domain, "127.0.0.1", 1, 8, 16
        )
    result.customer_by_id["acme"] = records.Customer(1000.0, 1000.0)
    result.route_by_id["main"] = records.Route("svc", "/main", deadline_s=1.0)
    result.route_by_id["open"] = records.Route(
        "svc", "/open", open=True, deadline_s=1.0
    )
    result.policy_by_id["default"] = records.Policy(lookup_ttl_s=0.3)
    return result


class LiveFleet:
    """Two running entries in two domains, a customer's key and a client."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.run = self.loop.run_until_complete
        self.run(self._start())

    async def _start(self):
        self.fleet = local_fleet.LocalFleet(
            _configuration(), ["d0", "d1"], _TIMING, work_s=0.002
        )
        fleet = self.fleet
        await fleet.start()
        entries = list(fleet.entry_by_id.values())
        is_coordinator = lambda: all(  # noqa: E731
            e.parts.membership.is_coordinator() for e in entries
        )
        assert await fleet.wait_until(is_coordinator, 10.0)
        await fleet.apply_configuration()
        self.key = await fleet.issue_key("k", "acme")
        has_slots = lambda: all(  # noqa: E731
            e.parts.coordinator.count_free_slots() > 0 for e in entries
        )
        assert await fleet.wait_until(has_slots, 10.0)
        self.entry = entries[0]
        self.url = f"http://{self.entry.callers.endpoint}"
        self.client = httpx.AsyncClient(
            base_url=self.url, trust_env=False, timeout=5.0
        )

    def target(self):
        return self.fleet.target_by_id["d0-t"]

    def send_request(self, method="GET", path="/main/x", **options):
        headers = {"x-api-key": self.key, **options.pop("headers", {})}
        return self.run(
            self.client.request(method, path, headers=headers, **options)
        )

    def send_raw(self, data):
        """Send bytes and return what the entry answers within a second."""

        async def exchange_bytes():
            host, port = self.entry.callers.endpoint.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            try:
                async with asyncio.timeout(1.0):
                    return await reader.read(4096)
            except TimeoutError:
                return b""
            finally:
                writer.close()

        return self.run(exchange_bytes())

    def close(self):
        self.run(self.client.aclose())
        self.run(self.fleet.stop())
        self.loop.close()


@pytest.fixture(scope="module")
def live_fleet():
    started = LiveFleet()
    yield started
    started.close()


def _result_code(reply):
    return int(reply.headers["x-chicorydoor-code"])


class TestAnswers:
    def test_request_id_is_echoed_and_the_key_is_not_forwarded(
        self, live_fleet
    ):
        reply = live_fleet.send_request(headers={"x-request-id": "my-id"})
        assert reply.headers["x-request-id"] == "my-id"
        assert reply.text.startswith("my-id")
        forwarded = live_fleet.target().received_requests[-1]
        header_bytes = b"".join(
            name + value for name, value in forwarded.headers
        )
        assert live_fleet.key.encode() not in header_bytes

    def test_internal_headers_of_the_caller_are_dropped(self, live_fleet):
        live_fleet.send_request(
            headers={
                "x-chicorydoor-code": "0",
                "x-forward": live_fleet.key,
                "cookie": f"k={live_fleet.key}",
            }
        )
        forwarded_names = {
            name
            for name, _ in live_fleet.target().received_requests[-1].headers
        }
        assert not forwarded_names & {
            b"x-chicorydoor-code",
            b"x-forward",
            b"cookie",
        }

    def test_head_returns_the_content_length(self, live_fleet):
        reply = live_fleet.send_request("HEAD")
        assert (_result_code(reply), reply.content) == (0, b"")
        assert reply.headers["content-length"] == "64"

    def test_large_bodies_are_streamed_in_both_directions(self, live_fleet):
        body = bytes(range(256)) * (_LARGE_BODY_BYTES // 256)
        reply = live_fleet.send_request("POST", content=body)
        assert reply.content.endswith(body)
        assert live_fleet.target().received_requests[-1].body == body

    def test_forwarded_bodies_are_streamed_in_both_directions(
        self, live_fleet
    ):
        entry = live_fleet.entry
        dispatcher = entry.parts.dispatcher
        body = bytes(range(256)) * (_LARGE_BODY_BYTES // 256)
        remote_target = live_fleet.fleet.target_by_id["d1-t"]
        received_before = len(remote_target.received_requests)

        async def acquire_fixed_credit(request):
            return "d1"

        original_methods = (
            dispatcher._should_forward_next,
            dispatcher._acquire_credit,
        )
        dispatcher._should_forward_next = lambda route: True
        dispatcher._acquire_credit = acquire_fixed_credit
        entry.parts.grants.local_credits.release = lambda target: None
        try:
            reply = live_fleet.send_request("POST", content=body)
        finally:
            dispatcher._should_forward_next, dispatcher._acquire_credit = (
                original_methods
            )
            del entry.parts.grants.local_credits.release
        assert reply.content.endswith(body)
        assert len(remote_target.received_requests) == received_before + 1

    def test_truncated_answer_is_refused(self, live_fleet):
        live_fleet.target().behaviour.answers_to_truncate = 1
        reply = live_fleet.send_request("POST", content=b"order")
        assert (_result_code(reply), reply.status_code) == (141, 502)
        assert reply.headers["x-chicorydoor-outcome"] == "unknown"

    def test_truncated_large_answer_ends_with_a_protocol_error(
        self, live_fleet
    ):
        live_fleet.target().behaviour.answer_bytes = _LARGE_BODY_BYTES
        live_fleet.target().behaviour.answers_to_truncate = 1
        try:
            with pytest.raises(httpx.RemoteProtocolError):
                live_fleet.send_request("GET")
        finally:
            live_fleet.target().behaviour.answer_bytes = 64

    def test_answer_to_another_request_is_refused(self, live_fleet):
        live_fleet.target().behaviour.answers_to_mismatch = 1
        reply = live_fleet.send_request("POST", content=b"order")
        assert _result_code(reply) == 141
        assert "somebody-else" not in reply.text

    def test_late_answer_is_not_sent_to_the_next_request(self, live_fleet):
        live_fleet.target().behaviour.answer_delay_s = 0.5
        late_reply = live_fleet.send_request(headers={"x-deadline-ms": "100"})
        assert _result_code(late_reply) == 142
        live_fleet.target().behaviour.answer_delay_s = 0.0
        next_reply = live_fleet.send_request(headers={"x-request-id": "own"})
        assert next_reply.text.startswith("own")

    # Guards against a stand-in target whose empty error overtakes the entry's
    # own deadline, which is up to a millisecond later.
    def test_target_is_silent_when_the_deadline_has_passed(self, live_fleet):
        target = live_fleet.target()
        target.behaviour.answer_delay_s = 0.5

        async def wait_for_answer():
            url = f"http://{target.address}:{target.port}/main/x"
            headers = {"x-deadline-ms": "20"}
            with pytest.raises(httpx.ReadTimeout):
                await live_fleet.client.get(url, headers=headers, timeout=0.2)

        try:
            live_fleet.run(wait_for_answer())
        finally:
            target.behaviour.answer_delay_s = 0.0

    def test_disconnect_cancels_the_request_at_the_target(self, live_fleet):
        target = live_fleet.target()
        target.behaviour.answer_delay_s = 0.8
        cancelled_before = target.cancelled_count

        async def disconnect_early():
            with pytest.raises(httpx.ReadTimeout):
                await live_fleet.client.get(
                    "/main/x",
                    headers={"x-api-key": live_fleet.key},
                    timeout=0.1,
                )
            return await live_fleet.fleet.wait_until(
                lambda: target.cancelled_count > cancelled_before, 0.6
            )

        try:
            assert live_fleet.run(disconnect_early())
        finally:
            target.behaviour.answer_delay_s = 0.0

    # Guards against requests that are sent to targets although their callers
    # left before the entry read them.
    def test_unread_request_of_a_caller_that_left_is_not_sent(
        self, live_fleet
    ):
        target = live_fleet.target()
        host, port = live_fleet.entry.callers.endpoint.split(":")
        request = (
            f"GET /main/x HTTP/1.1\r\nhost: a\r\n"
            f"x-api-key: {live_fleet.key}\r\n\r\n"
        ).encode()

        async def leave_unread():
            caller = socket.create_connection((host, int(port)), 1.0)
            caller.sendall(request)
            caller.close()
            await asyncio.sleep(0.2)

        for _ in range(5):
            # Leaves a connection to the target open for the next request.
            assert live_fleet.send_request().status_code == 200
            before = len(target.received_requests)
            live_fleet.run(leave_unread())
            assert len(target.received_requests) == before

    def test_request_shed_by_the_target_is_refused_as_not_run(
        self, live_fleet
    ):
        live_fleet.target().behaviour.sheds_requests = True
        reply = live_fleet.send_request("POST", content=b"order")
        live_fleet.target().behaviour.sheds_requests = False
        assert _result_code(reply) == 143
        assert reply.headers["x-chicorydoor-outcome"] == "not-run"


class TestInvalidInput:
    @pytest.mark.parametrize(
        "data",
        [
            b"garbage\r\n\r\n",
            b"GET / HTTP/9.9\r\n\r\n",
            b"\x00\xff\x16\x03\x01" * 50,
            b"POST /main/x HTTP/1.1\r\ncontent-length: -5\r\n\r\n",
        ],
    )
    def test_malformed_http_is_refused_and_the_entry_serves_on(
        self, live_fleet, data
    ):
        response = live_fleet.send_raw(data)
        assert b" 200 " not in response
        assert _result_code(live_fleet.send_request()) == 0

    def test_oversized_headers_are_refused(self, live_fleet):
        header_line = b"x-fill: " + b"a" * 1000 + b"\r\n"
        response = live_fleet.send_raw(
            b"GET /main/x HTTP/1.1\r\n" + header_line * 100
        )
        assert b" 431 " in response
        assert _result_code(live_fleet.send_request()) == 0

    def test_body_over_the_limit_is_refused(self, live_fleet):
        headers = {"content-length": str(10**9), "x-api-key": live_fleet.key}
        request = b"POST /main/x HTTP/1.1\r\nhost: x\r\n"
        for name, value in headers.items():
            request += f"{name}: {value}\r\n".encode()
        response = live_fleet.send_raw(request + b"\r\n")
        assert b"x-chicorydoor-code: 102" in response

    def test_incomplete_body_is_refused_at_the_deadline(self, live_fleet):
        request = (
            "POST /main/x HTTP/1.1\r\nhost: x\r\n"
            f"x-api-key: {live_fleet.key}\r\nx-deadline-ms: 200\r\n"
            "content-length: 10\r\n\r\nab"
        )
        response = live_fleet.send_raw(request.encode())
        assert b"x-chicorydoor-code: 104" in response
        assert b"x-chicorydoor-outcome: not-run" in response

    @pytest.mark.parametrize(
        ("path", "code"),
        [
            ("/nowhere", 100),
            ("/main/../open/x", 101),
            ("/main/%2e%2e/x", 101),
            ("/main/x?key=cdk_abc", 103),
        ],
    )
    def test_invalid_paths_are_refused(self, live_fleet, path, code):
        request = (
            f"GET {path} HTTP/1.1\r\nhost: x\r\n"
            f"x-api-key: {live_fleet.key}\r\n\r\n"
        )
        response = live_fleet.send_raw(request.encode())
        assert b"x-chicorydoor-code: %d\r\n" % code in response

    @pytest.mark.parametrize(
        ("headers", "code"),
        [
            ({"x-api-key": ""}, 110),
            ({"x-api-key": "cdk_wrong"}, 111),
            ({"x-deadline-ms": "soon"}, 101),
            ({"x-deadline-ms": "0"}, 132),
            ({"idempotency-key": "forged"}, 160),
        ],
    )
    def test_invalid_headers_are_refused(self, live_fleet, headers, code):
        reply = live_fleet.send_request("POST", headers=headers, content=b"x")
        assert _result_code(reply) == code
        assert reply.headers["x-chicorydoor-outcome"] == "not-run"
        assert reply.json()["code"] == code

    @pytest.mark.parametrize("query", ["address=x", "mint=x", "key=cdk_x"])
    def test_invalid_lookups_are_refused(self, live_fleet, query):
        reply = live_fleet.send_request(path=f"/v1/lookup?{query}")
        assert reply.status_code == 400


class TestAdministration:
    def test_requests_without_a_valid_token_are_refused(self, live_fleet):
        async def send_requests():
            url = f"http://{live_fleet.entry.administration.endpoint}"
            async with httpx.AsyncClient(trust_env=False) as client:
                without_token = await client.get(f"{url}/v1/status")
                wrong_token = await client.get(
                    f"{url}/v1/status",
                    headers={"authorization": "Bearer wrong"},
                )
                return without_token.status_code, wrong_token.status_code

        assert live_fleet.run(send_requests()) == (401, 401)

    def test_metrics_are_served_on_the_administration_port_only(
        self, live_fleet
    ):
        async def send_requests():
            url = f"http://{live_fleet.entry.administration.endpoint}"
            async with httpx.AsyncClient(trust_env=False) as client:
                return await client.get(f"{url}/metrics")

        assert 'customer="acme"' in live_fleet.run(send_requests()).text
        assert _result_code(live_fleet.send_request(path="/metrics")) == 100

    def test_invalid_configuration_is_refused(self, live_fleet):
        async def send_requests():
            async with live_fleet.fleet.create_admin_client() as client:
                return await client.post(
                    "/v1/configuration",
                    json={"base": 2, "documents": {"nonsense": {}}},
                )

        reply = live_fleet.run(send_requests())
        assert reply.status_code == 422
        assert "no such collection" in json.loads(reply.content)["error"]

    def test_events_show_the_course_of_one_request(self, live_fleet):
        live_fleet.send_request(
            path="/v1/lookup", headers={"x-request-id": "follow-me"}
        )
        live_fleet.send_request(headers={"x-request-id": "follow-me"})

        async def send_requests():
            async with live_fleet.fleet.create_admin_client() as client:
                query = {"everywhere": True}
                return await client.get("/v1/events", params=query)

        events = live_fleet.run(send_requests()).json()
        kinds = [
            e["kind"] for e in events if e.get("request_id") == "follow-me"
        ]
        assert kinds == ["looked-up", "received", "sent", "finished"]


class TestPlannedStop:
    def test_no_request_is_interrupted(self, live_fleet):
        def is_listed(entry):
            lookup_answer = live_fleet.entry.parts.directory.lookup(
                "127.0.0.1"
            )
            addresses = [e.address for e in lookup_answer.entries]
            return entry.callers.endpoint in addresses

        async def stop_under_load():
            entry = await live_fleet.fleet.add_entry("d0")
            ready = entry.parts.is_ready
            assert await live_fleet.fleet.wait_until(ready, 10.0)
            assert await live_fleet.fleet.wait_until(
                lambda: is_listed(entry), 5.0
            )
            url = f"http://{entry.callers.endpoint}/main/x"
            drain_task = asyncio.create_task(entry.drain_and_stop())
            codes = []
            async with httpx.AsyncClient(trust_env=False) as client:
                while not drain_task.done():
                    if not is_listed(entry):
                        break
                    reply = await client.get(
                        url, headers={"x-api-key": live_fleet.key}
                    )
                    codes.append(_result_code(reply))
            await drain_task
            del live_fleet.fleet.entry_by_id[entry.settings.instance]
            return codes

        codes = live_fleet.run(stop_under_load())
        assert codes
        assert set(codes) == {0}
