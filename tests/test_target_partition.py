"""Entries that lose the way to all targets while callers still reach them."""

import asyncio
import collections
import itertools
import json

import pytest

from chicorydoor.transport import metrics
from tests.support import platform_cluster
from tests.support import target_partition

CutMode = target_partition.CutMode
_ACCEPTING_MODES = target_partition.ACCEPTING_MODES

# From then on after the begin of a cut callers must be served.
_STABLE_WINDOW_S = 4.0
# An entry serves by itself again this long after the end of a cut.
_RECOVERY_S = 3.0
_CALL_INTERVAL_S = 0.04
_NOT_RUN_STATUSES = (429, 503)


class _Callers:
    """Callers that send reads and orders to all entries of a cluster.

    They keep their connections and don't repeat requests.
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self._numbers = itertools.count()
        self.statuses_by_entry = collections.defaultdict(list)
        self.status_by_order = {}
        self.slowest_s = 0.0

    async def call_all(self, seconds, entries):
        self.statuses_by_entry.clear()
        self.slowest_s = 0.0
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < ends_at:
                for entry in entries:
                    group.create_task(self._call(entry))
                await asyncio.sleep(_CALL_INTERVAL_S)

    async def _call(self, entry):
        number = next(self._numbers)
        is_order = number % 3 == 0
        started_at = asyncio.get_running_loop().time()
        response = await self._cluster.call(
            "POST" if is_order else "GET",
            f"/order/{number}" if is_order else f"/read/{number % 20}",
            entry,
            headers={
                "request-id": f"r{number}",
                "affinity-key": str(number % 20),
            },
        )
        elapsed_s = asyncio.get_running_loop().time() - started_at
        self.slowest_s = max(self.slowest_s, elapsed_s)
        self.statuses_by_entry[entry].append(response.status_code)
        if is_order:
            self.status_by_order[f"r{number}"] = response.status_code

    def served_share(self, entries):
        statuses = [
            status
            for entry in entries
            for status in self.statuses_by_entry[entry]
        ]
        return statuses.count(200) / len(statuses)

    def check_orders(self):
        runs = collections.Counter(
            itertools.chain.from_iterable(
                target.request_ids for target in self._cluster.targets
            )
        )
        for order, status in self.status_by_order.items():
            assert runs[order] <= 1
            if status in _NOT_RUN_STATUSES:
                assert runs[order] == 0


class TestCutOffEntries:
    # Guards against entries without targets refusing what peers can serve.
    @pytest.mark.parametrize("cut_count", [1, 3])
    @pytest.mark.parametrize("mode", list(CutMode))
    def test_callers_are_served_through_peers(
        self, mode, cut_count, monkeypatch
    ):
        async def scenario(cluster):
            partition = target_partition.TargetPartition(cluster, monkeypatch)
            callers = _Callers(cluster)
            everyone = range(len(cluster.entries))
            cut, others = everyone[:cut_count], everyone[cut_count:]
            await callers.call_all(1.0, everyone)
            for entry in cut:
                partition.cut(f"e{entry}", mode)
            await callers.call_all(_STABLE_WINDOW_S, everyone)
            await callers.call_all(2.0, everyone)
            assert callers.served_share(cut) >= (
                2 / 3 * callers.served_share(others)
            )
            partition.end()
            await callers.call_all(_RECOVERY_S, everyone)
            # Nobody else reaches the targets.
            for entry in others:
                partition.cut(f"e{entry}", CutMode.RESET)
            await callers.call_all(1.0, cut)
            assert callers.served_share(cut) >= 0.9
            callers.check_orders()

        platform_cluster.run(scenario, targets=6, entries=5)

    # Guards against an entry that goes on answering 502 because connections
    # to all its targets are accepted and then break.
    @pytest.mark.parametrize("cut_count", [1, 3, 6])
    @pytest.mark.parametrize("mode", _ACCEPTING_MODES)
    def test_broken_connections_to_all_targets_are_a_cut(
        self, mode, cut_count, monkeypatch
    ):
        async def scenario(cluster):
            partition = target_partition.TargetPartition(cluster, monkeypatch)
            callers = _Callers(cluster)
            # The first six entries are those of a failure domain.
            await cluster.add_entry("e6", domain="nb")
            await cluster.add_entry("e7", domain="nb")
            await asyncio.sleep(1.0)
            everyone = range(len(cluster.entries))
            cut, others = everyone[:cut_count], everyone[cut_count:]
            await callers.call_all(1.0, everyone)
            for entry in cut:
                partition.cut(f"e{entry}", mode)
            await callers.call_all(_STABLE_WINDOW_S, everyone)
            await callers.call_all(2.0, everyone)
            assert callers.served_share(cut) >= (
                0.9 * callers.served_share(others)
            )
            partition.end()
            await callers.call_all(_RECOVERY_S, everyone)
            relayed_before = _relayed_count()
            await callers.call_all(1.0, cut)
            assert callers.served_share(cut) >= 0.9
            assert _relayed_count() == relayed_before
            callers.check_orders()

        platform_cluster.run(scenario, targets=6, entries=6)

    # Guards against callers being sent to entries that reach no target.
    @pytest.mark.parametrize("mode", [CutMode.RESET, *_ACCEPTING_MODES])
    def test_look_ups_name_only_entries_that_reach_targets(
        self, mode, monkeypatch
    ):
        async def scenario(cluster):
            partition = target_partition.TargetPartition(cluster, monkeypatch)
            callers = _Callers(cluster)
            partition.cut("e0", mode)
            await callers.call_all(_STABLE_WINDOW_S, range(3))
            for entry in cluster.entries:
                answer = await cluster.client.get(
                    f"http://{entry.settings.lookups}/resolve",
                    params={"region": "n", "zone": "na"},
                )
                assert set(answer.json()["addresses"]) == {
                    other.settings.callers for other in cluster.entries[1:]
                }

        platform_cluster.run(scenario, targets=4, entries=3)

    # Guards against requests circling between entries without targets.
    @pytest.mark.parametrize(
        "mode", [CutMode.HANG, CutMode.RESET, *_ACCEPTING_MODES]
    )
    def test_requests_are_refused_at_once_if_all_are_cut_off(
        self, mode, monkeypatch
    ):
        async def scenario(cluster):
            partition = target_partition.TargetPartition(cluster, monkeypatch)
            callers = _Callers(cluster)
            await callers.call_all(0.5, range(3))
            for entry in range(3):
                partition.cut(f"e{entry}", mode)
            await callers.call_all(_STABLE_WINDOW_S, range(3))
            await callers.call_all(1.0, range(3))
            for statuses in callers.statuses_by_entry.values():
                assert set(statuses) == {503}
            assert callers.slowest_s < 0.3
            partition.end()
            await callers.call_all(_RECOVERY_S, range(3))
            await callers.call_all(1.0, range(3))
            assert callers.served_share(range(3)) >= 0.9
            callers.check_orders()

        platform_cluster.run(scenario, targets=4, entries=3)


class TestSingleReachingEntry:
    # Guards against callers that know only an entry that has just failed,
    # though the other one of their region would relay to another region.
    def test_entry_that_is_cut_off_serves_when_the_other_one_fails(
        self, monkeypatch
    ):
        async def scenario(cluster):
            partition = target_partition.TargetPartition(cluster, monkeypatch)
            callers = _Callers(cluster)
            seed = cluster.entries[0].settings.peers
            await cluster.add_entry("e2", seeds=[seed], domain="ma")
            partition.cut("e0", CutMode.RESET)
            await callers.call_all(_STABLE_WINDOW_S, [0, 1])
            both = {each.settings.callers for each in cluster.entries[:2]}
            for entry in cluster.entries[:2]:
                answer = await cluster.client.get(
                    f"http://{entry.settings.lookups}/resolve",
                    params={"region": "n", "zone": "na"},
                )
                assert set(answer.json()["addresses"]) == both
            cluster.tasks[1].cancel()
            await callers.call_all(_STABLE_WINDOW_S, [0])
            await callers.call_all(1.0, [0])
            assert callers.served_share([0]) >= 0.9

        platform_cluster.run(scenario, targets=6, entries=2)


def _relayed_count():
    return sum(
        sample.value
        for metric in metrics.RELAYED_REQUESTS.collect()
        for sample in metric.samples
        if sample.name.endswith("_total")
    )


class TestServicesWithoutTargets:
    # Guards against sending a request from peer to peer that none can serve.
    def test_requests_are_refused_without_a_relay(self):
        async def scenario(cluster):
            callers = _Callers(cluster)
            for target in cluster.targets:
                cluster.store.remove(f"servers/{target.name}")
            await asyncio.sleep(2.0)
            relayed_before = _relayed_count()
            await callers.call_all(1.0, range(3))
            for statuses in callers.statuses_by_entry.values():
                assert set(statuses) == {503}
            assert _relayed_count() == relayed_before

        platform_cluster.run(scenario, targets=2, entries=3)

    # Guards against the same for requests that only some regions may serve,
    # while the targets of other regions go on.
    def test_targets_that_all_peers_lost_cost_one_relay_at_most(self):
        async def scenario(cluster):
            tenant = {
                "name": "c",
                "apiKeys": ["key-1"],
                "ratePerS": 0,
                "allowedRegions": ["n"],
            }
            for index in range(4):
                record = json.loads(
                    platform_cluster.build_registration(cluster.targets[0])
                )
                record["info"]["zone"] = "ma"
                cluster.store.put(
                    f"servers/other{index}", json.dumps(record).encode()
                )
            cluster.store.put(
                "op/config", platform_cluster.build_config(2, tenants=[tenant])
            )
            await asyncio.sleep(2.0)
            await cluster.targets[1].stop()
            cluster.store.remove("servers/t0")
            callers = _Callers(cluster)
            await callers.call_all(2.0, range(3))
            relayed_before = _relayed_count()
            await callers.call_all(1.0, range(3))
            statuses = [
                status
                for entry_statuses in callers.statuses_by_entry.values()
                for status in entry_statuses
            ]
            assert set(statuses) == {503}
            assert _relayed_count() - relayed_before <= len(statuses)

        platform_cluster.run(scenario, targets=2, entries=4)
