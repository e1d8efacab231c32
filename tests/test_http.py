"""The whole path over real sockets."""

import asyncio
import json

import httpx
import pytest

from chicorydoor.protocol import config_records as records
from chicorydoor.protocol import settings as settings_module
from chicorydoor.standins import fleet as fleet_module

_TIMING = settings_module.Timing(
    heartbeat_s=0.1,
    dead_after_s=1.2,
    lease_s=1.6,
    slots_valid_s=1.2,
    exchange_s=0.2,
    store_poll_s=0.5,
)
_LARGE = 700_000


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


class World:
    """A fleet of two entries in two domains, with a key."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.run = self.loop.run_until_complete
        self.run(self._start())

    async def _start(self):
        self.fleet = fleet_module.LocalFleet(
            _configuration(), ["d0", "d1"], _TIMING, work_s=0.002
        )
        fleet = self.fleet
        await fleet.start()
        entries = list(fleet.entry_by_id.values())
        in_office = lambda: all(  # noqa: E731
            e.parts.membership.in_office() for e in entries
        )
        assert await fleet.until(in_office, 10.0)
        await fleet.apply()
        self.key = await fleet.issue_key("k", "acme")
        has_slots = lambda: all(  # noqa: E731
            e.parts.coordinator.free_slots() > 0 for e in entries
        )
        assert await fleet.until(has_slots, 10.0)
        self.entry = entries[0]
        self.url = f"http://{self.entry.callers.endpoint}"
        self.client = httpx.AsyncClient(
            base_url=self.url, trust_env=False, timeout=5.0
        )

    def target(self):
        return self.fleet.target_by_id["d0-t"]

    def ask(self, method="GET", path="/main/x", **options):
        headers = {"x-api-key": self.key, **options.pop("headers", {})}
        return self.run(
            self.client.request(method, path, headers=headers, **options)
        )

    def raw(self, data):
        """Send bytes and read until the entry closes or pauses."""

        async def exchange():
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

        return self.run(exchange())

    def close(self):
        self.run(self.client.aclose())
        self.run(self.fleet.stop())
        self.loop.close()


@pytest.fixture(scope="module")
def world():
    made = World()
    yield made
    made.close()


def _code(reply):
    return int(reply.headers["x-chicorydoor-code"])


class TestAnswers:
    def test_request_id_is_echoed_and_the_key_stays_here(self, world):
        reply = world.ask(headers={"x-request-id": "my-id"})
        assert reply.headers["x-request-id"] == "my-id"
        assert reply.text.startswith("my-id")
        seen = world.target().seen[-1]
        raw = b"".join(name + value for name, value in seen.headers)
        assert world.key.encode() not in raw

    def test_internal_headers_of_the_caller_are_dropped(self, world):
        world.ask(
            headers={
                "x-chicorydoor-code": "0",
                "x-forward": world.key,
                "cookie": f"k={world.key}",
            }
        )
        names = {name for name, _ in world.target().seen[-1].headers}
        assert not names & {b"x-chicorydoor-code", b"x-forward", b"cookie"}

    def test_head_tells_the_length_of_the_body(self, world):
        reply = world.ask("HEAD")
        assert (_code(reply), reply.content) == (0, b"")
        assert reply.headers["content-length"] == "64"

    def test_bodies_pass_both_ways(self, world):
        body = bytes(range(256)) * (_LARGE // 256)
        reply = world.ask("POST", content=body)
        assert reply.content.endswith(body)
        assert world.target().seen[-1].body == body

    def test_forwarded_bodies_pass_both_ways(self, world):
        entry = world.entry
        dispatcher = entry.parts.dispatcher
        body = bytes(range(256)) * (_LARGE // 256)
        away = world.fleet.target_by_id["d1-t"]
        before = len(away.seen)

        async def credit(request):
            return "d1"

        original = dispatcher._should_forward_next, dispatcher._acquire_credit
        dispatcher._should_forward_next = lambda route: True
        dispatcher._acquire_credit = credit
        entry.parts.allotments.credits.put_back = lambda target: None
        try:
            reply = world.ask("POST", content=body)
        finally:
            dispatcher._should_forward_next, dispatcher._acquire_credit = (
                original
            )
            del entry.parts.allotments.credits.put_back
        assert reply.content.endswith(body)
        assert len(away.seen) == before + 1

    def test_a_cut_answer_is_no_answer(self, world):
        world.target().faults.cut_short = 1
        reply = world.ask("POST", content=b"order")
        assert (_code(reply), reply.status_code) == (141, 502)
        assert reply.headers["x-chicorydoor-outcome"] == "unknown"

    def test_a_large_answer_that_is_cut_never_looks_whole(self, world):
        world.target().faults.answer_bytes = _LARGE
        world.target().faults.cut_short = 1
        try:
            with pytest.raises(httpx.RemoteProtocolError):
                world.ask("GET")
        finally:
            world.target().faults.answer_bytes = 64

    def test_an_answer_to_another_request_is_refused(self, world):
        world.target().faults.cross = 1
        reply = world.ask("POST", content=b"order")
        assert _code(reply) == 141
        assert "somebody-else" not in reply.text

    def test_a_late_answer_reaches_nobody(self, world):
        world.target().faults.late_s = 0.5
        late = world.ask(headers={"x-deadline-ms": "100"})
        assert _code(late) == 142
        world.target().faults.late_s = 0.0
        own = world.ask(headers={"x-request-id": "own"})
        assert own.text.startswith("own")

    def test_cancellation_reaches_the_target(self, world):
        target = world.target()
        target.faults.late_s = 0.8
        before = target.cancelled

        async def give_up():
            with pytest.raises(httpx.ReadTimeout):
                await world.client.get(
                    "/main/x", headers={"x-api-key": world.key}, timeout=0.1
                )
            return await world.fleet.until(
                lambda: target.cancelled > before, 0.6
            )

        try:
            assert world.run(give_up())
        finally:
            target.faults.late_s = 0.0

    def test_a_shed_request_goes_nowhere_and_says_so(self, world):
        world.target().faults.shed = True
        reply = world.ask("POST", content=b"order")
        world.target().faults.shed = False
        assert _code(reply) == 143
        assert reply.headers["x-chicorydoor-outcome"] == "not-run"


class TestBadInput:
    @pytest.mark.parametrize(
        "data",
        [
            b"garbage\r\n\r\n",
            b"GET / HTTP/9.9\r\n\r\n",
            b"\x00\xff\x16\x03\x01" * 50,
            b"POST /main/x HTTP/1.1\r\ncontent-length: -5\r\n\r\n",
        ],
    )
    def test_malformed_http(self, world, data):
        answer = world.raw(data)
        assert b" 200 " not in answer
        assert _code(world.ask()) == 0

    def test_endless_headers(self, world):
        line = b"x-fill: " + b"a" * 1000 + b"\r\n"
        answer = world.raw(b"GET /main/x HTTP/1.1\r\n" + line * 100)
        assert b" 431 " in answer
        assert _code(world.ask()) == 0

    def test_a_body_over_the_limit(self, world):
        headers = {"content-length": str(10**9), "x-api-key": world.key}
        request = b"POST /main/x HTTP/1.1\r\nhost: x\r\n"
        for name, value in headers.items():
            request += f"{name}: {value}\r\n".encode()
        answer = world.raw(request + b"\r\n")
        assert b"x-chicorydoor-code: 102" in answer

    def test_a_body_that_does_not_come(self, world):
        request = (
            "POST /main/x HTTP/1.1\r\nhost: x\r\n"
            f"x-api-key: {world.key}\r\nx-deadline-ms: 200\r\n"
            "content-length: 10\r\n\r\nab"
        )
        answer = world.raw(request.encode())
        assert b"x-chicorydoor-code: 104" in answer
        assert b"x-chicorydoor-outcome: not-run" in answer

    @pytest.mark.parametrize(
        ("path", "code"),
        [
            ("/nowhere", 100),
            ("/main/../open/x", 101),
            ("/main/%2e%2e/x", 101),
            ("/main/x?key=cdk_abc", 103),
        ],
    )
    def test_bad_paths(self, world, path, code):
        request = (
            f"GET {path} HTTP/1.1\r\nhost: x\r\nx-api-key: {world.key}\r\n\r\n"
        )
        answer = world.raw(request.encode())
        assert b"x-chicorydoor-code: %d\r\n" % code in answer

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
    def test_bad_headers(self, world, headers, code):
        reply = world.ask("POST", headers=headers, content=b"x")
        assert _code(reply) == code
        assert reply.headers["x-chicorydoor-outcome"] == "not-run"
        assert reply.json()["code"] == code

    @pytest.mark.parametrize("query", ["address=x", "mint=x", "key=cdk_x"])
    def test_bad_lookups(self, world, query):
        reply = world.ask(path=f"/v1/lookup?{query}")
        assert reply.status_code == 400


class TestAdministration:
    def test_needs_a_token(self, world):
        async def call():
            url = f"http://{world.entry.administration.endpoint}"
            async with httpx.AsyncClient(trust_env=False) as client:
                bare = await client.get(f"{url}/v1/status")
                wrong = await client.get(
                    f"{url}/v1/status",
                    headers={"authorization": "Bearer wrong"},
                )
                return bare.status_code, wrong.status_code

        assert world.run(call()) == (401, 401)

    def test_metrics_are_for_operators(self, world):
        async def call():
            url = f"http://{world.entry.administration.endpoint}"
            async with httpx.AsyncClient(trust_env=False) as client:
                return await client.get(f"{url}/metrics")

        assert 'customer="acme"' in world.run(call()).text
        assert _code(world.ask(path="/metrics")) == 100

    def test_bad_configuration_is_refused(self, world):
        async def call():
            async with world.fleet.admin_client() as client:
                return await client.post(
                    "/v1/configuration",
                    json={"base": 2, "documents": {"nonsense": {}}},
                )

        reply = world.run(call())
        assert reply.status_code == 422
        assert "no such collection" in json.loads(reply.content)["error"]

    def test_timeline_follows_one_request(self, world):
        world.ask(path="/v1/lookup", headers={"x-request-id": "follow-me"})
        world.ask(headers={"x-request-id": "follow-me"})

        async def call():
            async with world.fleet.admin_client() as client:
                query = {"everywhere": True}
                return await client.get("/v1/events", params=query)

        events = world.run(call()).json()
        kinds = [
            e["kind"] for e in events if e.get("request_id") == "follow-me"
        ]
        assert kinds == ["looked-up", "received", "sent", "finished"]


class TestPlannedStop:
    def test_no_request_is_cut(self, world):
        def is_listed(entry):
            listed = world.entry.parts.directory.lookup("127.0.0.1")
            addresses = [e.address for e in listed.entries]
            return entry.callers.endpoint in addresses

        async def course():
            entry = await world.fleet.add_entry("d0")
            ready = entry.parts.is_ready
            assert await world.fleet.until(ready, 10.0)
            assert await world.fleet.until(lambda: is_listed(entry), 5.0)
            url = f"http://{entry.callers.endpoint}/main/x"
            stopping = asyncio.create_task(entry.leave())
            codes = []
            async with httpx.AsyncClient(trust_env=False) as client:
                while not stopping.done():
                    if not is_listed(entry):
                        break
                    reply = await client.get(
                        url, headers={"x-api-key": world.key}
                    )
                    codes.append(_code(reply))
            await stopping
            del world.fleet.entry_by_id[entry.settings.instance]
            return codes

        codes = world.run(course())
        assert codes
        assert set(codes) == {0}
