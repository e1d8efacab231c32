"""Targets that ask for rest or say that they leave, in their responses."""

import asyncio
import itertools
import json

from tests.support import platform_cluster

_KEYS = itertools.count()
_CALL_INTERVAL_S = 0.02
# Requests that were under way when a target asked for rest.
_UNDER_WAY_S = 0.5
# Requests of one entry that a target tolerates in its rest.
_MAX_REQUESTS_IN_REST = 2
_REST_S = 3.0
# The users' limit for requests to a target that has said that it leaves.
_DRAIN_S = 2.5


async def _call_for(cluster, seconds):
    """Send reads, each of another object; return the responses."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    calls = []
    while loop.time() < ends_at:
        key = str(next(_KEYS))
        calls.append(
            asyncio.create_task(
                cluster.call(
                    path=f"/read/{key}", headers={"affinity-key": key}
                )
            )
        )
        await asyncio.sleep(_CALL_INTERVAL_S)
    return await asyncio.gather(*calls)


def _count_in_rest(target):
    asked_at = target.turned_away_at[0]
    return sum(
        asked_at + _UNDER_WAY_S < at < asked_at + _REST_S
        for at in target.turned_away_at
    )


class TestRests:
    # Guards against sending on to a target that has asked for rest.
    def test_others_serve_while_a_target_rests(self):
        async def scenario(cluster):
            await _call_for(cluster, 0.5)
            resting = cluster.targets[0]
            resting.retry_after = b"3"
            responses = await _call_for(cluster, _REST_S)
            assert resting.turned_away_at
            assert _count_in_rest(resting) <= _MAX_REQUESTS_IN_REST
            assert {each.status_code for each in responses} == {200}
            resting.retry_after = None
            served_before = len(resting.arrived_at)
            await _call_for(cluster, 1.0)
            assert len(resting.arrived_at) > served_before

        platform_cluster.run(scenario, targets=6)

    # Guards against callers being sent back to targets that all rest, and
    # against all of them returning at the same moment.
    def test_requests_are_refused_until_the_first_rest_ends(self):
        async def scenario(cluster):
            await _call_for(cluster, 0.5)
            for target in cluster.targets:
                target.retry_after = b"3"
            await _call_for(cluster, _UNDER_WAY_S)
            started_at = asyncio.get_running_loop().time()
            refused = await _call_for(cluster, 1.0)
            for target in cluster.targets:
                assert _count_in_rest(target) <= _MAX_REQUESTS_IN_REST
            assert {each.status_code for each in refused} == {503}
            outcomes = {
                each.headers["x-chicorydoor-outcome"] for each in refused
            }
            assert outcomes == {"not-run"}
            first_end = _REST_S + min(
                target.turned_away_at[0] for target in cluster.targets
            )
            waits_s = [float(each.headers["retry-after"]) for each in refused]
            # The latest was sent up to 1 s later.
            assert min(waits_s) >= first_end - started_at - 1.1
            assert max(waits_s) <= 2 * _REST_S
            assert len(set(waits_s)) > len(waits_s) / 2

        platform_cluster.run(scenario, targets=6)

    # Guards against probes that reach an ejected target in its rest.
    def test_probes_wait_for_the_end_of_the_rest(self):
        async def scenario(cluster):
            await _call_for(cluster, 0.5)
            resting = cluster.targets[0]
            await resting.stop()
            await _call_for(cluster, 0.5)
            resting.retry_after = b"3"
            await resting.start()
            await _call_for(cluster, _REST_S)
            assert resting.turned_away_at
            assert _count_in_rest(resting) <= _MAX_REQUESTS_IN_REST

        platform_cluster.run(scenario, targets=6)

    def test_unreadable_rests_change_nothing(self):
        async def scenario(cluster):
            await _call_for(cluster, 0.5)
            strange = cluster.targets[0]
            for value in (b"-1", b"nan", b"Fri, 31 Dec 1999 23:59:59 GMT"):
                strange.retry_after = value
                await _call_for(cluster, 0.3)
            strange.retry_after = None
            served_before = len(strange.arrived_at)
            await _call_for(cluster, 0.5)
            assert len(strange.arrived_at) > served_before

        platform_cluster.run(scenario, targets=3)


class TestLeaving:
    # Guards against sending on to a target that says that it leaves while its
    # registration still says ready.
    def test_target_that_says_it_leaves_gets_no_further_requests(self):
        async def scenario(cluster):
            leaving = cluster.targets[0]
            leaving.says_leaving = True
            await _call_for(cluster, 1.0)
            assert leaving.arrived_at
            deadline = leaving.arrived_at[0] + _DRAIN_S
            # A re-list of the store, and a registration that lapses.
            cluster.store.compact_history()
            cluster.store.remove("servers/t0")
            await _call_for(cluster, 1.0)
            record = json.loads(platform_cluster.build_registration(leaving))
            cluster.store.put("servers/t0", json.dumps(record).encode())
            responses = await _call_for(cluster, 3.0)
            assert {each.status_code for each in responses} == {200}
            assert not [at for at in leaving.arrived_at if at > deadline]
            # A new incarnation has said nothing.
            leaving.says_leaving = False
            record["born"] = 2
            cluster.store.put("servers/t0", json.dumps(record).encode())
            await _call_for(cluster, 2.5)
            assert leaving.arrived_at[-1] > deadline

        platform_cluster.run(scenario, targets=4)
