"""The whole entry on loopback: store, targets, callers, over real sockets."""

import asyncio
import contextlib
import json
import random
import time

import httpx
import msgspec
import pytest

from chicorydoor import compose_fleet
from chicorydoor import fleet_entry
from chicorydoor.protocol import fleet_settings
from chicorydoor.standins import platform_store
from chicorydoor.standins import ports
from chicorydoor.state import fleet_view
from chicorydoor.transport import clock as clock_module
from tests.support import clocks
from tests.support import scripted_target
from tests.support import serving as make

Act = scripted_target.Act

_PROMISES = fleet_settings.Promises(
    retry_ratio=0.2,
    retry_slack=56.0,
    retry_window_s=10.0,
    rate_overage=0.1,
    rate_slack=20.0,
    stop_grace_s=3.5,
    lookup_ttl_s=2.0,
)


_BUSY = b"HTTP/1.1 503 No\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"


def _settings(name, store, seeds=()):
    numbers = ports.free_ports(5)
    addresses = [f"127.0.0.1:{port}" for port in numbers[:4]]
    return fleet_settings.FleetSettings(
        instance=name,
        domain="na",
        region="n",
        callers=addresses[0],
        readiness=addresses[1],
        peers=addresses[2],
        lookups=addresses[3],
        metrics_port=numbers[4],
        seed_addresses=tuple(seeds),
        region_by_domain={"na": "n", "ma": "m"},
        store=store,
        promises=_PROMISES,
    )


def _config(version=1, **changes):
    route = {
        "host": "shop.example",
        "timeout": "1000ms",
        "targetLatency": "400ms",
        "maxAttempts": 2,
        "service": "s",
        "sessionAffinity": True,
    }
    routes = [
        route | {"name": "read", "prefix": "/read/", "kind": "safe"},
        route | {"name": "order", "prefix": "/order/", "kind": "unsafe"},
    ]
    service = {
        "name": "s",
        "healthPath": "/health",
        "maxConnections": 50,
        "coldStart": "0ms",
        "coldPerS": 0,
    }
    tenants = [{"name": "c", "apiKeys": ["key-1"], "ratePerS": 0}]
    document = {
        "version": version,
        "routes": routes,
        "services": [service],
        "tenants": tenants,
    }
    return json.dumps(document | changes).encode()


def _registration(target, state="ready"):
    return json.dumps(
        {
            "address": target.address,
            "born": 1,
            "info": {"service": "s", "zone": "na", "slots": 4},
            "status": {"state": state, "coldRemaining": "0ms"},
        }
    ).encode()


class _Site:
    """A store, targets and entries."""

    def __init__(self):
        self.store = platform_store.PlatformStore()
        self.targets = []
        self.entries = []
        self.tasks = []
        self.client = httpx.AsyncClient(trust_env=False, timeout=5.0)

    async def start(self, targets=2, entries=1):
        await self.store.start()
        self.store.put("op/config", _config())
        for index in range(targets):
            target = scripted_target.ScriptedTarget(f"t{index}")
            await target.start()
            self.targets.append(target)
            self.store.put(f"servers/t{index}", _registration(target))
        for index in range(entries):
            await self.add_entry(f"e{index}")

    async def add_entry(self, name, store=None, seeds=()):
        settings = _settings(name, store or self.store.endpoint, seeds)
        entry = fleet_entry.FleetEntry(settings)
        entry.settings = settings
        self.entries.append(entry)
        self.tasks.append(asyncio.create_task(entry.run()))
        await self.until_ready(settings)
        return entry

    async def until_ready(self, settings):
        for _ in range(200):
            with contextlib.suppress(httpx.HTTPError):
                url = f"http://{settings.readiness}/readiness"
                if (await self.client.get(url)).status_code == 200:
                    return
            await asyncio.sleep(0.02)
        raise AssertionError("entry is not ready")

    async def call(self, method="GET", path="/read/1", entry=0, **more):
        address = self.entries[entry].settings.callers
        headers = {
            "host": "shop.example",
            "request-id": f"{random.getrandbits(64):x}",
            "affinity-key": "7",
            "deadline-ms": "2000",
            "x-api-key": "key-1",
        }
        headers |= more.pop("headers", {})
        return await self.client.request(
            method, f"http://{address}{path}", headers=headers, **more
        )

    async def until(self, condition, seconds=3.0):
        for _ in range(int(seconds / 0.02)):
            if await condition():
                return
            await asyncio.sleep(0.02)
        raise AssertionError("did not come about in time")

    def arrivals(self):
        return sum(len(target.heads) for target in self.targets)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.client.aclose()
        for target in self.targets:
            await target.stop()
        await self.store.stop()


def _play(scenario, **start):
    async def run():
        site = _Site()
        try:
            await site.start(**start)
            await scenario(site)
        finally:
            await site.stop()

    asyncio.run(run())


class TestServing:
    def test_answer_and_headers(self):
        async def scenario(site):
            headers = {"tenant": "forged", "target-instance": "forged"}
            answer = await site.call(headers=headers)
            assert answer.status_code == 200
            assert answer.headers["response-seal"] == "s"
            (head,) = [h for t in site.targets for h in t.heads]
            assert head[b"tenant"] == b"c"
            assert head[b"host"] == b"shop.example"
            assert b"x-api-key" not in head
            assert head[b"target-instance"] in (b"t0", b"t1")
            assert 0 < int(head[b"deadline-ms"]) <= 1000

        _play(scenario)

    def test_same_object_same_target_one_connection(self):
        async def scenario(site):
            for _ in range(5):
                assert (await site.call()).status_code == 200
            counts = sorted(len(t.heads) for t in site.targets)
            assert counts == [0, 5]
            assert sum(t.connections for t in site.targets) == 1

        _play(scenario)

    def test_body_is_passed_on(self):
        async def scenario(site):
            answer = await site.call("POST", "/order/1?a=b", content=b"x" * 99)
            assert answer.status_code == 200
            (body,) = [b for t in site.targets for b in t.bodies]
            assert body == b"x" * 99
            (head,) = [h for t in site.targets for h in t.heads]
            assert head[b""] == b"POST /order/1?a=b HTTP/1.1"

        _play(scenario)

    def test_refusals(self):
        async def scenario(site):
            wrong = await site.call(headers={"x-api-key": "no"})
            assert wrong.status_code == 401
            assert (await site.call(path="/none/")).status_code == 404
            assert site.arrivals() == 0

        _play(scenario)

    def test_look_up_names_ready_entries(self):
        async def scenario(site):
            settings = site.entries[0].settings
            url = f"http://{settings.lookups}/resolve"
            answer = await site.client.get(
                url, params={"region": "n", "zone": "na"}
            )
            assert settings.callers in answer.json()["addresses"]
            assert answer.json()["ttl"].endswith("ms")

        _play(scenario)


class TestOutcomes:
    @pytest.mark.parametrize("act", [Act.RESET, Act.CUT, Act.UNSEALED])
    def test_order_is_never_sent_twice(self, act):
        async def scenario(site):
            for target in site.targets:
                target.acts = [act]
            answer = await site.call("POST", "/order/1", content=b"x")
            assert answer.status_code == 502
            assert "retry-after" not in answer.headers
            assert site.arrivals() == 1

        _play(scenario)

    @pytest.mark.parametrize("act", [Act.SHED, Act.MISDIRECT])
    def test_order_goes_on_after_not_run(self, act):
        async def scenario(site):
            for target in site.targets:
                target.acts = [act]
            site.targets[0].acts = []
            answers = [
                await site.call(
                    "POST",
                    "/order/1",
                    content=b"x",
                    headers={"affinity-key": str(key)},
                )
                for key in range(6)
            ]
            assert {answer.status_code for answer in answers} == {200}

        _play(scenario)

    def test_shed_everywhere_is_refused_as_not_run(self):
        async def scenario(site):
            for target in site.targets:
                target.acts = [Act.SHED] * 5
            answer = await site.call("POST", "/order/1", content=b"x")
            assert answer.status_code == 503
            assert float(answer.headers["retry-after"]) > 0
            assert "response-seal" not in answer.headers

        _play(scenario)

    @pytest.mark.parametrize("act", [Act.RESET, Act.CUT, Act.FAIL])
    def test_read_is_tried_at_another_target(self, act):
        async def scenario(site):
            for key in range(4):
                site.targets[0].acts = [act]
                answer = await site.call(headers={"affinity-key": str(key)})
                assert answer.status_code == 200

        _play(scenario)

    def test_order_that_failed_keeps_the_targets_answer(self):
        async def scenario(site):
            for target in site.targets:
                target.acts = [Act.FAIL]
            answer = await site.call("POST", "/order/1", content=b"x")
            assert answer.status_code == 500
            assert answer.headers["response-seal"] == "s"
            assert site.arrivals() == 1

        _play(scenario)

    def test_late_answer_to_another_request_is_not_passed_on(self):
        async def scenario(site):
            for target in site.targets:
                target.acts = [Act.FOREIGN_FIRST]
            answer = await site.call("POST", "/order/1", content=b"x")
            assert answer.status_code == 200
            assert answer.content != b"wrong"

        _play(scenario)

    def test_dead_target_costs_nothing_but_a_connection(self):
        async def scenario(site):
            await site.targets[0].stop()
            for key in range(6):
                answer = await site.call(
                    "POST",
                    "/order/1",
                    content=b"x",
                    headers={"affinity-key": str(key)},
                )
                assert answer.status_code == 200

        _play(scenario)


class TestReach:
    def test_target_that_resets_stays_in_use(self):
        async def scenario(site):
            (target,) = site.targets
            target.acts = [Act.RESET] * 4
            for _ in range(4):
                answer = await site.call("POST", "/order/1", content=b"x")
                assert answer.status_code == 502
            assert (await site.call()).status_code == 200

        _play(scenario, targets=1)

    def test_busy_target_is_back_with_its_probe(self):
        """Seen as a target out of use for 22 s: its probes were refused."""

        async def scenario(site):
            (target,) = site.targets
            target.health = _BUSY
            target.acts = [Act.SILENT, Act.SILENT]
            for _ in range(2):
                answer = await site.call("POST", "/order/1", content=b"x")
                assert answer.status_code == 504

            async def served():
                return (await site.call()).status_code == 200

            await site.until(served)

        _play(scenario, targets=1)


class TestIdleConnections:
    def test_rested_connections_are_not_trusted_after_a_loss(self):
        async def scenario(site):
            (target,) = site.targets
            assert (await site.call()).status_code == 200
            await asyncio.sleep(0.1)
            target.acts = [Act.RESET]
            lost = await site.call("POST", "/order/1", content=b"x")
            assert lost.status_code == 502
            assert (await site.call()).status_code == 200
            before = target.connections
            await asyncio.sleep(0.2)
            assert (await site.call()).status_code == 200
            assert target.connections == before + 1

        _play(scenario, targets=1)


class TestTimes:
    def test_silent_target_is_answered_at_the_routes_timeout(self):
        async def scenario(site):
            for target in site.targets:
                target.acts = [Act.SILENT]
            started = time.monotonic()
            answer = await site.call("POST", "/order/1", content=b"x")
            assert answer.status_code == 504
            assert 0.9 < time.monotonic() - started < 1.4
            await asyncio.sleep(0.1)
            assert sum(t.closed_at_work for t in site.targets) == 1

        _play(scenario)

    def test_target_sees_its_caller_leave(self):
        async def scenario(site):
            for target in site.targets:
                target.acts = [Act.SILENT]
            with pytest.raises(httpx.ReadTimeout):
                await site.call(timeout=0.2)

            async def left():
                return sum(t.closed_at_work for t in site.targets) == 1

            await site.until(left, 0.5)

        _play(scenario)


_LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 1048576,
    "headerTimeout": "200ms",
    "idleTimeout": "400ms",
}
_HEAD = b"GET /read/1 HTTP/1.1\r\nhost: shop.example\r\nx-api-key: key-1\r\n"


async def _open_limited(site):
    """A connection to an entry whose operator limits callers' times."""
    site.store.put("op/config", _config(2, limits=_LIMITS))

    async def in_force():
        reply = await site.call()
        return reply.status_code == 200

    await site.until(in_force)
    await asyncio.sleep(0.3)
    address = site.entries[0].settings.callers
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


class TestCallerLimits:
    def test_headers_that_never_end(self):
        async def scenario(site):
            reader, writer = await _open_limited(site)
            writer.write(_HEAD)
            async with asyncio.timeout(2.0):
                answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 408 ")
            assert b"x-chicorydoor-outcome: not-run" in answer
            writer.close()

        _play(scenario)

    def test_idle_connection_is_closed(self):
        async def scenario(site):
            reader, writer = await _open_limited(site)
            writer.write(_HEAD + b"request-id: r1\r\n\r\n")
            async with asyncio.timeout(2.0):
                answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 200 ")
            writer.close()

        _play(scenario)

    def test_next_headers_do_not_end_a_running_request(self):
        async def scenario(site):
            for target in site.targets:
                target.work_s = 0.6
            reader, writer = await _open_limited(site)
            writer.write(_HEAD + b"request-id: r1\r\n\r\n" + _HEAD)
            async with asyncio.timeout(3.0):
                answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert answer.count(b"HTTP/1.1 408 ") == 1
            writer.close()

        _play(scenario)


class TestChanges:
    def test_configuration_and_keys(self):
        async def scenario(site):
            tenants = [{"name": "c", "apiKeys": ["key-2"]}]
            site.store.put("op/config", _config(2, tenants=tenants))

            async def withdrawn():
                return (await site.call()).status_code == 401

            await site.until(withdrawn)
            answer = await site.call(headers={"x-api-key": "key-2"})
            assert answer.status_code == 200

        _play(scenario)

    def test_older_or_broken_configuration_changes_nothing(self):
        async def scenario(site):
            site.store.put("op/config", _config(5))
            site.store.put("op/config", _config(4, tenants=[]))
            site.store.put("op/config", b"\x00broken")
            await asyncio.sleep(0.3)
            assert (await site.call()).status_code == 200
            answer = await site.call(headers={"x-api-key": "no"})
            assert answer.status_code == 401

        _play(scenario)

    def test_leaving_and_removed_targets_get_nothing(self):
        async def scenario(site):
            left, stays = site.targets
            site.store.put("servers/t0", _registration(left, "draining"))
            await asyncio.sleep(1.3)
            before = len(left.heads)
            for key in range(8):
                await site.call(headers={"affinity-key": str(key)})
            assert len(left.heads) == before
            assert len(stays.heads) >= 8
            site.store.put("servers/t0", _registration(left))
            site.store.remove("servers/t1")
            await asyncio.sleep(1.3)
            before = len(stays.heads)
            assert (await site.call()).status_code == 200
            assert len(stays.heads) == before

        _play(scenario)

    def test_evacuated_domain_gets_nothing(self):
        async def scenario(site):
            site.store.put("op/evacuate/na", b"{}")

            async def refused():
                return (await site.call()).status_code == 503

            await site.until(refused)
            site.store.remove("op/evacuate/na")

            async def served():
                return (await site.call()).status_code == 200

            await site.until(served)

        _play(scenario)


class TestStoreTroubles:
    def test_history_lost(self):
        async def scenario(site):
            site.store.put("servers/other", b"{}")
            site.store.forget_history()
            site.store.put("op/config", _config(9, tenants=[]))

            async def open_to_all():
                answer = await site.call(headers={"x-api-key": "no"})
                return answer.status_code == 200

            await site.until(open_to_all)

        _play(scenario)

    def test_outage_changes_nothing_for_callers(self):
        async def scenario(site):
            for mood in (platform_store.Mood.BUSY, platform_store.Mood.SILENT):
                site.store.mood = mood
                await asyncio.sleep(0.3)
                assert (await site.call()).status_code == 200
            site.store.mood = platform_store.Mood.NORMAL

        _play(scenario)

    def test_entry_without_the_store_learns_from_its_peers(self):
        async def scenario(site):
            nowhere = platform_store.PlatformStore()
            await nowhere.start()
            nowhere.mood = platform_store.Mood.BUSY
            seed = site.entries[0].settings.peers
            await site.add_entry("e9", nowhere.endpoint, [seed])
            assert (await site.call(entry=1)).status_code == 200
            site.store.put("op/config", _config(3, tenants=[]))

            async def open_to_all():
                answer = await site.call(entry=1, headers={"x-api-key": "no"})
                return answer.status_code == 200

            await site.until(open_to_all)
            await nowhere.stop()

        _play(scenario)


class TestPlannedStop:
    def test_running_request_gets_its_answer(self):
        async def scenario(site):
            for target in site.targets:
                target.work_s = 0.6
            running = asyncio.create_task(site.call())
            await asyncio.sleep(0.2)
            site.entries[0].stop()
            assert (await running).status_code == 200
            late = await site.call()
            assert late.status_code == 200
            assert late.headers["connection"] == "close"
            url = f"http://{site.entries[0].settings.readiness}/readiness"
            assert (await site.client.get(url)).status_code == 503
            async with asyncio.timeout(4.0):
                await site.tasks[0]
            assert "chicorydoor/entries/e0" not in site.store.keys()

        _play(scenario)


class TestCancelling:
    def test_nothing_of_the_entry_runs_on(self):
        async def scenario(site):
            site.tasks[0].cancel()
            await asyncio.gather(site.tasks[0], return_exceptions=True)
            await asyncio.sleep(0)
            running = {
                task.get_coro().__qualname__ for task in asyncio.all_tasks()
            }
            ours = ("NngLink.", "_Sender.", "FleetParts.", "StoreFollower.")
            assert not [name for name in running if name.startswith(ours)]

        _play(scenario)


def _parts(clock):
    return compose_fleet.FleetParts(
        settings=_settings("e", "127.0.0.1:1"),
        store=None,
        link=None,
        clock=clock,
        rng=random.Random(1),
        incarnation=3,
    )


class TestParts:
    def test_any_part_of_the_store_shows_that_it_is_back(self):
        clock = clocks.ManualClock()
        parts = _parts(clock)
        parts.registry.put(make.record("t0"))
        for follower in parts.followers:
            clock.at += 3.0
            for _ in range(20):
                clock.at += 0.5
                extent = fleet_view.Extent(follower.mirror.as_of + 1, 0)
                follower.wants_copy(extent)
            parts.registry.put(make.record("t0"))
            parts.registry.remove("t0")
            assert parts.book.target_by_id == {}

    def test_registration_can_be_read_back(self):
        parts = _parts(clock_module.SystemClock())
        encoded = msgspec.json.encode(parts.fleet.me)
        assert msgspec.json.decode(encoded)["incarnation"] == 3
