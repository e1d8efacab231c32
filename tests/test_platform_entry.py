"""A complete entry with store, targets and callers over loopback sockets.

Requests below /read/ may be repeated; an order, a request below /order/, must
not run twice.
"""

import asyncio
import json
import random
import time

import httpx
import msgspec
import pytest

from chicorydoor import compose_fleet
from chicorydoor.platform import documents
from chicorydoor.protocol import store_items
from chicorydoor.standins import platform_store
from chicorydoor.state import fleet_view
from chicorydoor.transport import buffered_connection
from chicorydoor.transport import clock as clock_module
from tests.support import clocks
from tests.support import config_builders as make
from tests.support import platform_cluster
from tests.support import scripted_target

Behaviour = scripted_target.TargetBehaviour

_NOT_RUN_RESPONSE = (
    b"HTTP/1.1 503 No\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"
)


class TestServing:
    def test_response_and_forwarded_headers(self):
        async def scenario(cluster):
            headers = {"tenant": "forged", "target-instance": "forged"}
            answer = await cluster.call(headers=headers)
            assert answer.status_code == 200
            assert answer.headers["response-seal"] == "s"
            (head,) = [h for t in cluster.targets for h in t.received_headers]
            assert head[b"tenant"] == b"c"
            assert head[b"host"] == b"shop.example"
            assert b"x-api-key" not in head
            assert head[b"target-instance"] in (b"t0", b"t1")
            assert 0 < int(head[b"deadline-ms"]) <= 1000

        platform_cluster.run(scenario)

    def test_requests_for_an_object_share_target_and_connection(self):
        async def scenario(cluster):
            for _ in range(5):
                assert (await cluster.call()).status_code == 200
            counts = sorted(len(t.received_headers) for t in cluster.targets)
            assert counts == [0, 5]
            assert sum(t.connection_count for t in cluster.targets) == 1

        platform_cluster.run(scenario)

    def test_body_is_forwarded(self):
        async def scenario(cluster):
            answer = await cluster.call(
                "POST", "/order/1?a=b", content=b"x" * 99
            )
            assert answer.status_code == 200
            (body,) = [b for t in cluster.targets for b in t.received_bodies]
            assert body == b"x" * 99
            (head,) = [h for t in cluster.targets for h in t.received_headers]
            assert head[b""] == b"POST /order/1?a=b HTTP/1.1"

        platform_cluster.run(scenario)

    def test_unknown_key_and_route_are_refused(self):
        async def scenario(cluster):
            wrong = await cluster.call(headers={"x-api-key": "no"})
            assert wrong.status_code == 401
            assert (await cluster.call(path="/none/")).status_code == 404
            assert cluster.request_count() == 0

        platform_cluster.run(scenario)

    def test_look_up_names_ready_entries(self):
        async def scenario(cluster):
            settings = cluster.entries[0].settings
            url = f"http://{settings.lookups}/resolve"
            answer = await cluster.client.get(
                url, params={"region": "n", "zone": "na"}
            )
            assert settings.callers in answer.json()["addresses"]
            assert answer.json()["ttl"].endswith("ms")

        platform_cluster.run(scenario)


class TestOutcomes:
    @pytest.mark.parametrize(
        "behaviour", [Behaviour.RESET, Behaviour.TRUNCATE, Behaviour.UNSEALED]
    )
    def test_order_with_unknown_outcome_is_not_sent_again(self, behaviour):
        async def scenario(cluster):
            for target in cluster.targets:
                target.behaviours = [behaviour]
            answer = await cluster.call("POST", "/order/1", content=b"x")
            assert answer.status_code == 502
            assert "retry-after" not in answer.headers
            assert cluster.request_count() == 1

        platform_cluster.run(scenario)

    @pytest.mark.parametrize(
        "behaviour", [Behaviour.SHED, Behaviour.MISDIRECT]
    )
    def test_order_that_did_not_run_is_retried(self, behaviour):
        async def scenario(cluster):
            for target in cluster.targets:
                target.behaviours = [behaviour]
            cluster.targets[0].behaviours = []
            answers = [
                await cluster.call(
                    "POST",
                    "/order/1",
                    content=b"x",
                    headers={"affinity-key": str(key)},
                )
                for key in range(6)
            ]
            assert {answer.status_code for answer in answers} == {200}

        platform_cluster.run(scenario)

    def test_order_shed_by_all_targets_is_refused_as_not_run(self):
        async def scenario(cluster):
            for target in cluster.targets:
                target.behaviours = [Behaviour.SHED] * 5
            answer = await cluster.call("POST", "/order/1", content=b"x")
            assert answer.status_code == 503
            assert float(answer.headers["retry-after"]) > 0
            assert "response-seal" not in answer.headers

        platform_cluster.run(scenario)

    @pytest.mark.parametrize(
        "behaviour", [Behaviour.RESET, Behaviour.TRUNCATE, Behaviour.FAIL]
    )
    def test_read_is_tried_at_another_target(self, behaviour):
        async def scenario(cluster):
            for key in range(4):
                cluster.targets[0].behaviours = [behaviour]
                answer = await cluster.call(headers={"affinity-key": str(key)})
                assert answer.status_code == 200

        platform_cluster.run(scenario)

    def test_failed_order_returns_the_response_of_the_target(self):
        async def scenario(cluster):
            for target in cluster.targets:
                target.behaviours = [Behaviour.FAIL]
            answer = await cluster.call("POST", "/order/1", content=b"x")
            assert answer.status_code == 500
            assert answer.headers["response-seal"] == "s"
            assert cluster.request_count() == 1

        platform_cluster.run(scenario)

    def test_response_to_another_request_is_not_forwarded(self):
        async def scenario(cluster):
            for target in cluster.targets:
                target.behaviours = [Behaviour.MISMATCHED_FIRST]
            answer = await cluster.call("POST", "/order/1", content=b"x")
            assert answer.status_code == 200
            assert answer.content != b"wrong"

        platform_cluster.run(scenario)

    def test_order_succeeds_when_one_target_refuses_connections(self):
        async def scenario(cluster):
            await cluster.targets[0].stop()
            for key in range(6):
                answer = await cluster.call(
                    "POST",
                    "/order/1",
                    content=b"x",
                    headers={"affinity-key": str(key)},
                )
                assert answer.status_code == 200

        platform_cluster.run(scenario)


class TestReachability:
    def test_target_that_resets_connections_stays_in_use(self):
        async def scenario(cluster):
            (target,) = cluster.targets
            target.behaviours = [Behaviour.RESET] * 4
            for _ in range(4):
                answer = await cluster.call("POST", "/order/1", content=b"x")
                assert answer.status_code == 502
            assert (await cluster.call()).status_code == 200

        platform_cluster.run(scenario, targets=1)

    def test_probe_refused_by_a_busy_target_returns_it_to_use(self):
        """A refusal for lack of capacity shows that a target is reachable.

        The two unanswered orders take the target out of use. When a refused
        probe did not count as an answer, it stayed out of use for 22 s.
        """

        async def scenario(cluster):
            (target,) = cluster.targets
            target.health_answer = _NOT_RUN_RESPONSE
            target.behaviours = [Behaviour.NO_ANSWER, Behaviour.NO_ANSWER]
            for _ in range(2):
                answer = await cluster.call("POST", "/order/1", content=b"x")
                assert answer.status_code == 504

            async def is_served_again():
                return (await cluster.call()).status_code == 200

            await cluster.wait_until(is_served_again)

        platform_cluster.run(scenario, targets=1)


class TestIdleConnections:
    def test_idle_connections_are_not_reused_after_a_loss(self):
        """A target may drop idle connections without notice.

        After a reset on a connection that was idle for 0.1 s, an entry
        trusts half of that idle time, so it opens a new one after 0.2 s.
        """

        async def scenario(cluster):
            (target,) = cluster.targets
            assert (await cluster.call()).status_code == 200
            await asyncio.sleep(0.1)
            target.behaviours = [Behaviour.RESET]
            lost = await cluster.call("POST", "/order/1", content=b"x")
            assert lost.status_code == 502
            assert (await cluster.call()).status_code == 200
            before = target.connection_count
            await asyncio.sleep(0.2)
            assert (await cluster.call()).status_code == 200
            assert target.connection_count == before + 1

        platform_cluster.run(scenario, targets=1)


class TestTimeouts:
    def test_request_to_a_silent_target_ends_at_the_route_timeout(self):
        async def scenario(cluster):
            for target in cluster.targets:
                target.behaviours = [Behaviour.NO_ANSWER]
            # The timeout of the route is 1 s, the caller's deadline 2 s.
            started = time.monotonic()
            answer = await cluster.call("POST", "/order/1", content=b"x")
            assert answer.status_code == 504
            assert 0.9 < time.monotonic() - started < 1.4
            await asyncio.sleep(0.1)
            assert sum(t.abandoned_requests for t in cluster.targets) == 1

        platform_cluster.run(scenario)

    # Guards against targets that get more time than the caller has, because
    # a request waited in the entry before it was handled.
    def test_time_in_a_busy_event_loop_counts_towards_the_deadline(self):
        turn_s = 0.05

        async def scenario(cluster):
            loop = asyncio.get_running_loop()
            # Opens the connection to the target.
            assert (await cluster.call()).status_code == 200

            def block_turn():
                time.sleep(turn_s)
                if cluster.request_count() < 2:
                    loop.call_soon(block_turn)

            loop.call_soon(block_turn)
            await cluster.call(headers={"deadline-ms": "900"})
            heads = cluster.targets[0].received_headers
            assert int(heads[-1][b"deadline-ms"]) <= 900 - turn_s * 1000

        platform_cluster.run(scenario, targets=1)

    def test_disconnect_of_the_caller_reaches_the_target(self):
        async def scenario(cluster):
            for target in cluster.targets:
                target.behaviours = [Behaviour.NO_ANSWER]
            with pytest.raises(httpx.ReadTimeout):
                await cluster.call(timeout=0.2)

            async def is_closed():
                return sum(t.abandoned_requests for t in cluster.targets) == 1

            await cluster.wait_until(is_closed, 0.5)

        platform_cluster.run(scenario)


_SHORT_CALLER_LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 1048576,
    "headerTimeout": "200ms",
    "idleTimeout": "400ms",
}
_INCOMPLETE_HEAD = (
    b"GET /read/1 HTTP/1.1\r\nhost: shop.example\r\nx-api-key: key-1\r\n"
)


async def _connect_with_short_timeouts(cluster):
    """Open a connection to an entry with short timeouts for callers."""
    cluster.store.put(
        "op/config",
        platform_cluster.build_config(2, limits=_SHORT_CALLER_LIMITS),
    )

    async def is_served():
        reply = await cluster.call()
        return reply.status_code == 200

    await cluster.wait_until(is_served)
    # Calls are also served before the new limits apply; wait for these.
    await asyncio.sleep(0.3)
    address = cluster.entries[0].settings.callers
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


class TestConnectionLimits:
    def test_incomplete_headers_time_out(self):
        async def scenario(cluster):
            reader, writer = await _connect_with_short_timeouts(cluster)
            writer.write(_INCOMPLETE_HEAD)
            async with asyncio.timeout(2.0):
                answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 408 ")
            assert b"x-chicorydoor-outcome: not-run" in answer
            writer.close()

        platform_cluster.run(scenario)

    def test_idle_connection_is_closed(self):
        async def scenario(cluster):
            reader, writer = await _connect_with_short_timeouts(cluster)
            writer.write(_INCOMPLETE_HEAD + b"request-id: r1\r\n\r\n")
            async with asyncio.timeout(2.0):
                answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 200 ")
            writer.close()

        platform_cluster.run(scenario)

    def test_late_pipelined_headers_do_not_end_a_running_request(self):
        async def scenario(cluster):
            for target in cluster.targets:
                target.work_s = 0.6
            reader, writer = await _connect_with_short_timeouts(cluster)
            writer.write(
                _INCOMPLETE_HEAD + b"request-id: r1\r\n\r\n" + _INCOMPLETE_HEAD
            )
            async with asyncio.timeout(3.0):
                answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert answer.count(b"HTTP/1.1 408 ") == 1
            writer.close()

        platform_cluster.run(scenario)


class TestChanges:
    def test_new_configuration_replaces_keys(self):
        async def scenario(cluster):
            tenants = [{"name": "c", "apiKeys": ["key-2"]}]
            cluster.store.put(
                "op/config", platform_cluster.build_config(2, tenants=tenants)
            )

            async def is_old_key_refused():
                return (await cluster.call()).status_code == 401

            await cluster.wait_until(is_old_key_refused)
            answer = await cluster.call(headers={"x-api-key": "key-2"})
            assert answer.status_code == 200

        platform_cluster.run(scenario)

    def test_older_or_malformed_configuration_is_ignored(self):
        async def scenario(cluster):
            cluster.store.put("op/config", platform_cluster.build_config(5))
            # Would accept every key, as it has no customers.
            cluster.store.put(
                "op/config", platform_cluster.build_config(4, tenants=[])
            )
            cluster.store.put("op/config", b"\x00broken")
            await asyncio.sleep(0.3)
            assert (await cluster.call()).status_code == 200
            answer = await cluster.call(headers={"x-api-key": "no"})
            assert answer.status_code == 401

        platform_cluster.run(scenario)

    def test_leaving_and_removed_targets_get_no_requests(self):
        async def scenario(cluster):
            leaving, staying = cluster.targets
            cluster.store.put(
                "servers/t0",
                platform_cluster.build_registration(leaving, "draining"),
            )
            await asyncio.sleep(1.3)
            before = len(leaving.received_headers)
            for key in range(8):
                await cluster.call(headers={"affinity-key": str(key)})
            assert len(leaving.received_headers) == before
            assert len(staying.received_headers) >= 8
            cluster.store.put(
                "servers/t0", platform_cluster.build_registration(leaving)
            )
            cluster.store.remove("servers/t1")
            await asyncio.sleep(1.3)
            before = len(staying.received_headers)
            assert (await cluster.call()).status_code == 200
            assert len(staying.received_headers) == before

        platform_cluster.run(scenario)

    # Guards against requests that reach a target long after it left, because
    # the connection to it took so long to open.
    @pytest.mark.parametrize("change", ["draining", "removed", "evacuated"])
    def test_target_that_leaves_before_the_send_gets_no_request(
        self, change, monkeypatch
    ):
        acquiring = asyncio.Event()
        may_continue = asyncio.Event()
        acquire = buffered_connection.BufferedConnectionPool.acquire

        async def acquire_slowly(pool, *limits):
            connection = await acquire(pool, *limits)
            if not acquiring.is_set():
                acquiring.set()
                await may_continue.wait()
            return connection

        monkeypatch.setattr(
            buffered_connection.BufferedConnectionPool,
            "acquire",
            acquire_slowly,
        )

        async def scenario(cluster):
            (target,) = cluster.targets
            routes = json.loads(platform_cluster.build_config())["routes"]
            patient = [each | {"timeout": "5000ms"} for each in routes]
            cluster.store.put(
                "op/config", platform_cluster.build_config(2, routes=patient)
            )
            await asyncio.sleep(0.3)
            calling = asyncio.create_task(
                cluster.call(headers={"deadline-ms": "5000"})
            )
            await acquiring.wait()
            if change == "draining":
                record = platform_cluster.build_registration(target, change)
                cluster.store.put("servers/t0", record)
            elif change == "removed":
                cluster.store.remove("servers/t0")
            else:
                cluster.store.put("op/evacuate/na", b"{}")
            await asyncio.sleep(1.5)
            may_continue.set()
            answer = await calling
            assert answer.status_code == 503
            assert answer.headers["x-chicorydoor-outcome"] == "not-run"
            assert cluster.request_count() == 0

        platform_cluster.run(scenario, targets=1)

    # Guards against one unreadable registration that hides all later ones.
    def test_deeply_nested_registration_costs_itself_only(self):
        async def scenario(cluster):
            leaving = cluster.targets[0]
            for depth in (2000, 3000):
                # In a field that the entry does not know.
                nested = b'{"x":' + b"[" * depth + b"]" * depth + b"}"
                cluster.store.put("servers/strange", nested)
                await asyncio.sleep(0.3)
            cluster.store.put(
                "servers/t0",
                platform_cluster.build_registration(leaving, "draining"),
            )
            await asyncio.sleep(1.3)
            before = len(leaving.received_headers)
            for key in range(8):
                await cluster.call(headers={"affinity-key": str(key)})
            assert len(leaving.received_headers) == before

        platform_cluster.run(scenario)

    # Guards against requests to a target that left while its registration was
    # overwritten: an unreadable one names no target to use.
    @pytest.mark.parametrize(
        "registration",
        [
            b"\xff",
            b'{"address": "127.0.0.1:1"}',
            b'{"address": "127.0.0.1:1", "born": 1, "info": {"service": "s",'
            b' "zone": "na", "slots": 4}, "status": {"state": "resting"}}',
        ],
    )
    def test_target_without_readable_registration_gets_no_requests(
        self, registration
    ):
        async def scenario(cluster):
            async def count_runs():
                before = len(cluster.targets[0].received_headers)
                for key in range(8):
                    await cluster.call(headers={"affinity-key": str(key)})
                return len(cluster.targets[0].received_headers) - before

            assert await count_runs() > 0
            cluster.store.put("servers/t0", registration)
            await asyncio.sleep(1.3)
            assert await count_runs() == 0
            cluster.store.put(
                "servers/t0",
                platform_cluster.build_registration(cluster.targets[0]),
            )
            await asyncio.sleep(1.3)
            assert await count_runs() > 0

        platform_cluster.run(scenario)

    def test_evacuated_domain_gets_no_requests(self):
        async def scenario(cluster):
            cluster.store.put("op/evacuate/na", b"{}")

            async def is_refused():
                return (await cluster.call()).status_code == 503

            await cluster.wait_until(is_refused)
            cluster.store.remove("op/evacuate/na")

            async def is_served_again():
                return (await cluster.call()).status_code == 200

            await cluster.wait_until(is_served_again)

        platform_cluster.run(scenario)


class TestNamedRateLimits:
    async def _call_for_three_seconds(self, cluster):
        answers = []
        for number in range(150):
            answers += await asyncio.gather(
                *(
                    cluster.call(
                        path=f"/read/{number}",
                        entry=entry,
                        headers={"affinity-key": f"{number}"},
                    )
                    for entry in (0, 1)
                )
            )
            await asyncio.sleep(0.02)
        return answers

    # Guards against requests beyond the limit that a target in need names.
    def test_other_targets_take_what_exceeds_a_limit(self):
        async def scenario(cluster):
            limited, other = cluster.targets
            limited.rate_limit = b"2"
            answers = await self._call_for_three_seconds(cluster)
            assert {each.status_code for each in answers} == {200}
            # One and a half times the limit and 5 requests in 4 s.
            assert 2 <= len(limited.received_headers) <= 1.5 * 2 * 4 + 5
            assert len(other.received_headers) >= 280

        platform_cluster.run(scenario, entries=2)

    def test_what_exceeds_all_limits_is_refused_at_once_as_not_run(self):
        async def scenario(cluster):
            for target in cluster.targets:
                target.rate_limit = b"2"
            answers = await self._call_for_three_seconds(cluster)
            refused = [each for each in answers if each.status_code == 503]
            assert len(refused) >= 250
            for answer in refused:
                assert answer.headers["x-chicorydoor-code"] == "130"
                assert float(answer.headers["retry-after"]) > 0
            run = [each for each in answers if each.status_code == 200]
            assert len(run) == cluster.request_count() == 300 - len(refused)

        platform_cluster.run(scenario, entries=2)

    def test_unreadable_limit_is_ignored(self):
        async def scenario(cluster):
            for target in cluster.targets:
                target.rate_limit = b"nan"
            for number in range(30):
                answer = await cluster.call(path=f"/read/{number}")
                assert answer.status_code == 200

        platform_cluster.run(scenario)


class TestCrashingRequests:
    """A request that ends each target that runs it."""

    # A target registers again this long after it ended, in seconds.
    _RESTART_S = 1.0
    # The users' limit (stableWindow) for the time after the third crash.
    _STABLE_WINDOW_S = 4.0
    _MAX_LATER_SENDS = 3

    def _restart_crashed(self, cluster):
        async def restart(target):
            await asyncio.sleep(self._RESTART_S)
            await target.start()
            record = json.loads(platform_cluster.build_registration(target))
            record["born"] = 1 + len(target.crash_times)
            cluster.store.put(
                f"servers/{target.name}", json.dumps(record).encode()
            )

        for target in cluster.targets:
            target.on_crash = lambda each: cluster.tasks.append(
                asyncio.create_task(restart(each))
            )

    async def _call_both_entries(self, cluster, path, seconds):
        answers = []
        for number in range(int(seconds / 0.2)):
            answers.append(
                asyncio.create_task(cluster.call(path=path, entry=number % 2))
            )
            await asyncio.sleep(0.2)
        return await asyncio.gather(*answers)

    # Guards against a request that ends its targets being sent again whenever
    # a caller repeats it, at any entry, also if its connections stay open.
    @pytest.mark.parametrize("is_silent", [False, True])
    def test_request_that_ended_three_targets_is_not_sent_on(self, is_silent):
        async def scenario(cluster):
            self._restart_crashed(cluster)
            for target in cluster.targets:
                target.crashes_silently = is_silent
            await self._call_both_entries(cluster, "/read/crash", 9.0)
            crash_times = sorted(
                at for target in cluster.targets for at in target.crash_times
            )
            assert len(crash_times) >= 3
            later = [
                at
                for at in crash_times
                if at > crash_times[2] + self._STABLE_WINDOW_S
            ]
            assert len(later) <= self._MAX_LATER_SENDS

        platform_cluster.run(scenario, targets=6, entries=2)

    def test_blocked_request_is_refused_as_not_run_and_others_are_served(self):
        async def scenario(cluster):
            self._restart_crashed(cluster)
            answers = await self._call_both_entries(
                cluster, "/read/crash", 4.0
            )
            for answer in answers[-4:]:
                assert answer.status_code == 503
                assert answer.headers["x-chicorydoor-code"] == "144"
                assert answer.headers["x-chicorydoor-outcome"] == "not-run"
            for entry in (0, 1):
                other = await cluster.call(path="/read/other", entry=entry)
                assert other.status_code == 200

        platform_cluster.run(scenario, targets=6, entries=2)

    # Guards against forgetting a blocked request when all entries end at once.
    def test_request_stays_blocked_when_all_entries_end(self):
        async def scenario(cluster):
            self._restart_crashed(cluster)
            await self._call_both_entries(cluster, "/read/crash", 4.0)
            for task in cluster.tasks[:2]:
                task.cancel()
            await asyncio.gather(*cluster.tasks[:2], return_exceptions=True)
            crash_count = sum(len(t.crash_times) for t in cluster.targets)
            await cluster.add_entry("later")
            answer = await cluster.call(path="/read/crash", entry=2)
            assert answer.headers["x-chicorydoor-code"] == "144"
            assert crash_count == sum(
                len(t.crash_times) for t in cluster.targets
            )

        platform_cluster.run(scenario, targets=6, entries=2)

    def test_lost_connections_of_a_running_target_block_nothing(self):
        async def scenario(cluster):
            for target in cluster.targets:
                target.behaviours = [Behaviour.RESET] * 6
            for _ in range(6):
                await cluster.call("POST", "/order/1", content=b"x")
            cluster.targets[0].behaviours.clear()
            cluster.targets[1].behaviours.clear()
            answer = await cluster.call("POST", "/order/1", content=b"x")
            assert answer.status_code == 200

        platform_cluster.run(scenario)


class TestEndlessAnswers:
    """One of four targets sends bytes that are no answer without end."""

    # Sockets buffer a few megabytes beyond what the entry reads.
    _SOCKET_BUFFERS_BYTES = 8 * 1024 * 1024
    # The route's latency objective.
    _LATENCY_OBJECTIVE_S = 0.4

    # Guards against a target that sends without end holding up the requests
    # at other targets, and filling the entry's memory.
    @pytest.mark.parametrize(
        ("behaviour", "max_bytes"),
        [
            (Behaviour.ENDLESS_HEAD, 64 * 1024),
            (Behaviour.ENDLESS_BODY, 8 * 1024 * 1024),
        ],
    )
    def test_connection_is_closed_and_others_are_served(
        self, behaviour, max_bytes
    ):
        async def timed_call(cluster, number):
            started_at = time.monotonic()
            answer = await cluster.call(
                path=f"/read/{number}", headers={"affinity-key": f"{number}"}
            )
            return answer.status_code, time.monotonic() - started_at

        async def scenario(cluster):
            endless = cluster.targets[0]
            endless.behaviours = [behaviour] * 1000
            results = []
            for start in range(0, 200, 8):
                results += await asyncio.gather(
                    *(timed_call(cluster, start + i) for i in range(8))
                )
            assert {status for status, _ in results} == {200}
            times = sorted(seconds for _, seconds in results)
            assert times[int(0.95 * len(times))] < self._LATENCY_OBJECTIVE_S
            assert endless.endless_bytes
            assert (
                max(endless.endless_bytes)
                <= max_bytes + self._SOCKET_BUFFERS_BYTES
            )

        platform_cluster.run(scenario, targets=4)


class TestStoreFailures:
    def test_lost_store_history_is_followed_by_a_new_listing(self):
        async def scenario(cluster):
            cluster.store.put("servers/other", b"{}")
            cluster.store.compact_history()
            # Without customers every key is accepted.
            cluster.store.put(
                "op/config", platform_cluster.build_config(9, tenants=[])
            )

            async def is_any_key_accepted():
                answer = await cluster.call(headers={"x-api-key": "no"})
                return answer.status_code == 200

            await cluster.wait_until(is_any_key_accepted)

        platform_cluster.run(scenario)

    def test_store_outage_does_not_affect_callers(self):
        async def scenario(cluster):
            for failure_mode in (
                platform_store.FailureMode.REFUSING,
                platform_store.FailureMode.SILENT,
            ):
                cluster.store.failure_mode = failure_mode
                await asyncio.sleep(0.3)
                assert (await cluster.call()).status_code == 200
            cluster.store.failure_mode = platform_store.FailureMode.NORMAL

        platform_cluster.run(scenario)

    def test_entry_without_the_store_learns_from_its_peers(self):
        async def scenario(cluster):
            unavailable = platform_store.PlatformStore()
            await unavailable.start()
            unavailable.failure_mode = platform_store.FailureMode.REFUSING
            seed = cluster.entries[0].settings.peers
            await cluster.add_entry("e9", unavailable.endpoint, [seed])
            assert (await cluster.call(entry=1)).status_code == 200
            # Without customers every key is accepted.
            cluster.store.put(
                "op/config", platform_cluster.build_config(3, tenants=[])
            )

            async def is_any_key_accepted():
                answer = await cluster.call(
                    entry=1, headers={"x-api-key": "no"}
                )
                return answer.status_code == 200

            await cluster.wait_until(is_any_key_accepted)
            await unavailable.stop()

        platform_cluster.run(scenario)


class TestGracefulStop:
    def test_running_request_is_completed(self):
        async def scenario(cluster):
            for target in cluster.targets:
                target.work_s = 0.6
            running = asyncio.create_task(cluster.call())
            await asyncio.sleep(0.2)
            cluster.entries[0].request_stop()
            assert (await running).status_code == 200
            late = await cluster.call()
            assert late.status_code == 200
            assert late.headers["connection"] == "close"
            url = f"http://{cluster.entries[0].settings.readiness}/readiness"
            assert (await cluster.client.get(url)).status_code == 503
            async with asyncio.timeout(4.0):
                await cluster.tasks[0]
            assert "chicorydoor/entries/e0" not in cluster.store.keys()

        platform_cluster.run(scenario)


class TestCancellation:
    def test_no_task_of_the_entry_remains(self):
        async def scenario(cluster):
            cluster.tasks[0].cancel()
            await asyncio.gather(cluster.tasks[0], return_exceptions=True)
            await asyncio.sleep(0)
            running = {
                task.get_coro().__qualname__ for task in asyncio.all_tasks()
            }
            entry_tasks = (
                "NngPeerTransport.",
                "_Sender.",
                "FleetComponents.",
                "StoreFollower.",
            )
            assert not [
                name for name in running if name.startswith(entry_tasks)
            ]

        platform_cluster.run(scenario)


def _components(clock):
    return compose_fleet.FleetComponents(
        settings=platform_cluster.build_settings("e", "127.0.0.1:1"),
        store=None,
        link=None,
        clock=clock,
        rng=random.Random(1),
        incarnation=3,
    )


class TestComposition:
    def test_contact_of_any_follower_ends_the_store_outage(self):
        """After an outage of the store, removed targets stay for a while.

        Each follower in turn is the only one with contact to the store, for
        10 s after an outage of 3 s. A removal then takes effect at once.
        """
        clock = clocks.ManualClock()
        components = _components(clock)
        components.target_registrations.apply_registration(
            make.build_target_registration("t0")
        )
        for follower in components.followers:
            clock.now_s += 3.0
            for _ in range(20):
                clock.now_s += 0.5
                extent = fleet_view.Extent(follower.mirror.as_of + 1, 0)
                follower.should_request_copy(extent)
            components.target_registrations.apply_registration(
                make.build_target_registration("t0")
            )
            components.target_registrations.handle_removal("t0")
            assert components.targets.target_by_id == {}

    def test_registration_is_encoded_with_its_incarnation(self):
        components = _components(clock_module.SystemClock())
        encoded = msgspec.json.encode(components.fleet.own_registration)
        assert msgspec.json.decode(encoded)["incarnation"] == 3

    # Guards against an entry that has just started sending cold or limited
    # targets the part of all entries, since it knows no others.
    def test_entry_that_has_not_read_the_others_takes_no_part_of_a_rate(self):
        components = _components(clocks.ManualClock())
        incarnation = ("t0", 1)
        components.rate_limits.record_response(incarnation, b"8", 0.0, 0.0)

        def may_send():
            return (
                components.cold_limits.may_send("t0", 1.0),
                components.rate_limits.may_send(incarnation, "n", 1.0),
            )

        assert may_send() == (False, False)
        mirror = components.peer_exchange.follower_by_prefix[
            documents.ENTRY_PREFIX
        ].mirror
        mirror.replace(store_items.StoreItemBatch([], 5))
        components.clock.now_s += 1.0
        components.rate_limits.record_response(incarnation, b"9", 0.0, 0.0)
        assert may_send() == (True, True)
