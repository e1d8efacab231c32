"""Configuration folders, chunks, distribution, applies and keys.

Guards against entries that stay on an old revision, against concurrent or
delayed writes to the store that undo each other, and against withdrawn keys
that still work somewhere.
"""

import asyncio
import pathlib

import msgspec
import pytest

from chicorydoor import errors
from chicorydoor.protocol import admin_api
from chicorydoor.protocol import config_records as records
from chicorydoor.protocol import manifest as manifest_module
from chicorydoor.state import config_chunks
from chicorydoor.state import config_folder
from tests.support import simulated_fleet
from tests.support import virtual_time

_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
_DOMAINS = ["d0", "d0", "d1", "d2"]


def _run_scenario(scenario, domains=_DOMAINS):
    async def run_on_fleet():
        config = simulated_fleet.build_configuration(domain_count=4)
        fleet = simulated_fleet.Fleet(config, domains)
        await asyncio.sleep(3.0)
        await scenario(fleet)

    virtual_time.run(run_on_fleet())


def _revisions(fleet):
    return [
        entry.parts.active_revision.snapshot.revision
        for entry in fleet.entries()
    ]


async def _change_rate(fleet, rate, entry=None):
    config = simulated_fleet.build_configuration(domain_count=4, rate=rate)
    return await fleet.apply_configuration(config, entry)


class TestFolder:
    @pytest.mark.parametrize("name", ["mwangaza", "anadolu"])
    def test_examples_are_valid_at_their_sizes(self, name):
        config = config_folder.read_folder(_EXAMPLES / name)
        assert len(config.domain_by_id) == 6
        assert len(config.region_by_id) == 3
        assert len(config.customer_by_id) == 8
        sizes = {"mwangaza": 32, "anadolu": 40}
        assert len(config.target_by_id) == sizes[name]

    @pytest.mark.parametrize(
        ("document", "expected_text"),
        [
            ({"customers": {}}, "customers: no such collection"),
            ({"region_by_id": {"r": {"x": 1}}}, "region_by_id.r"),
            (
                {"customer_by_id": {"c": {"rate_per_s": "1", "burst": 1}}},
                "customer_by_id.c: Expected `float`",
            ),
            (
                {"customer_by_id": {"c": {"rate_per_s": 0, "burst": 1}}},
                "rate_per_s must be over 0",
            ),
            ({"domain_by_id": {"d": {"region": "r"}}}, "'r' is not in"),
            ({"block_by_cidr": {"10.0.0.1/8": {"region": "r"}}}, "10.0.0.1"),
        ],
    )
    def test_errors_name_the_faulty_record(
        self, tmp_path, document, expected_text
    ):
        if "block_by_cidr" in document:
            document["region_by_id"] = {"r": {}}
        (tmp_path / "a.json").write_bytes(msgspec.json.encode(document))
        with pytest.raises(errors.ConfigurationError) as caught:
            config_folder.read_folder(tmp_path)
        assert expected_text in str(caught.value)

    def test_a_record_given_twice_is_refused(self, tmp_path):
        for name in ("a", "b"):
            path = tmp_path / f"{name}.json"
            path.write_text('{"region_by_id": {"r": {}}}')
        with pytest.raises(errors.ConfigurationError, match="given twice"):
            config_folder.read_folder(tmp_path)


class TestChunks:
    def test_a_change_of_one_customer_changes_one_chunk(self):
        config = records.Configuration()
        for number in range(1000):
            config.customer_by_id[f"c{number}"] = records.Customer(10.0, 20.0)
        first_manifest, data_by_chunk = config_chunks.build_manifest(
            manifest_module.EMPTY_MANIFEST, config, "a", 1
        )
        config.customer_by_id["c7"] = records.Customer(11.0, 20.0)
        second_manifest, changed_data_by_chunk = config_chunks.build_manifest(
            first_manifest, config, "b", 2
        )
        assert len(data_by_chunk) > 10
        assert len(changed_data_by_chunk) == 1
        delta = manifest_module.compute_delta(first_manifest, second_manifest)
        assert len(delta.manifest.digest_by_chunk) == 1
        assert (
            manifest_module.apply_delta(first_manifest, delta)
            == second_manifest
        )


class TestDistribution:
    def test_a_revision_is_active_everywhere_within_3_s(self):
        async def scenario(fleet):
            await fleet.apply_configuration()
            await asyncio.sleep(3.0)
            assert set(_revisions(fleet)) == {1}

        _run_scenario(scenario)

    def test_a_new_entry_gets_the_revision_from_peers_during_a_store_outage(
        self,
    ):
        async def scenario(fleet):
            await fleet.apply_configuration()
            await asyncio.sleep(3.0)
            fleet.store.is_unavailable = True
            in_known_domain = fleet.add_entry("d0")
            in_new_domain = fleet.add_entry("d3")
            await asyncio.sleep(8.0)
            assert in_known_domain.parts.active_revision.snapshot.revision == 1
            assert in_new_domain.parts.active_revision.snapshot.revision == 1

        _run_scenario(scenario)

    def test_stale_store_reads_change_nothing(self):
        async def scenario(fleet):
            await fleet.apply_configuration()
            await asyncio.sleep(1.0)
            earlier_values = dict(fleet.store.value_by_key)
            await _change_rate(fleet, 70.0)
            await asyncio.sleep(3.0)
            fleet.store.stale_value_by_key = earlier_values
            for _ in range(20):
                await asyncio.sleep(0.5)
                assert set(_revisions(fleet)) == {2}

        _run_scenario(scenario)

    def test_a_partitioned_domain_catches_up_from_its_peers(self):
        async def scenario(fleet):
            await fleet.apply_configuration()
            await asyncio.sleep(3.0)
            fleet.partition_domain("d2")
            await _change_rate(fleet, 70.0)
            await asyncio.sleep(5.0)
            partitioned = fleet.entries("d2")[0]
            assert partitioned.parts.active_revision.snapshot.revision == 1
            fleet.network.remove_partitions()
            await asyncio.sleep(3.0)
            assert partitioned.parts.active_revision.snapshot.revision == 2

        _run_scenario(scenario)


class TestApply:
    def test_a_lost_write_response_is_resolved(self):
        async def scenario(fleet):
            fleet.store.answers_to_lose = 1
            result = await fleet.apply_configuration()
            assert result.ending is admin_api.Ending.COMMITTED
            assert (
                fleet.entries()[0].parts.active_revision.snapshot.revision == 1
            )

        _run_scenario(scenario)

    def test_a_delayed_write_is_fenced_off(self):
        async def scenario(fleet):
            fleet.store.holds_next_write = True
            result = await fleet.apply_configuration()
            assert result.ending is admin_api.Ending.NOT_COMMITTED
            assert fleet.store.execute_held_writes() == [False]
            await asyncio.sleep(5.0)
            assert set(_revisions(fleet)) == {0}

        _run_scenario(scenario)

    def test_a_lasting_store_outage_leaves_the_outcome_unknown(self):
        async def scenario(fleet):
            fleet.store.holds_next_write = True
            applying = asyncio.create_task(fleet.apply_configuration())
            await asyncio.sleep(0.003)
            fleet.store.is_unavailable = True
            result = await applying
            assert result.ending is admin_api.Ending.UNKNOWN

        _run_scenario(scenario)

    def test_one_of_several_concurrent_applies_wins(self):
        async def scenario(fleet):
            entries = fleet.entries()
            results = await asyncio.gather(
                _change_rate(fleet, 10.0, entries[0]),
                _change_rate(fleet, 20.0, entries[2]),
                _change_rate(fleet, 30.0, entries[3]),
                return_exceptions=True,
            )
            conflicts = [
                r for r in results if isinstance(r, errors.ConflictError)
            ]
            assert len(conflicts) == 2
            await asyncio.sleep(3.0)
            assert set(_revisions(fleet)) == {1}

        _run_scenario(scenario)

    def test_an_outdated_base_revision_is_refused(self):
        async def scenario(fleet):
            await fleet.apply_configuration()
            entry = fleet.entries()[0]
            call = admin_api.ApplyCall(0, msgspec.to_builtins(fleet.config))
            with pytest.raises(errors.ConflictError):
                await entry.parts.administration.apply(call, "late")

        _run_scenario(scenario)

    def test_a_domain_drain_that_starts_too_early_is_refused(self):
        async def scenario(fleet):
            await fleet.apply_configuration()
            entry = fleet.entries()[0]
            drain = msgspec.convert(
                {
                    "kind": "domain",
                    "subject": "d1",
                    "starts_at": "2020-01-01T00:00:00Z",
                },
                records.Drain,
            )
            # "... moving the traffic under the shift caps takes ..."
            with pytest.raises(errors.ConfigurationError, match="caps takes"):
                await entry.parts.administration.plan_drain("x", drain, "op")

        _run_scenario(scenario)


class TestKeys:
    def test_a_withdrawn_key_is_refused_everywhere_permanently(self):
        async def scenario(fleet):
            await fleet.apply_and_wait_for_slots()
            for entry in fleet.entries():
                assert (await entry.send_request()).code == 0
            administration = fleet.entries()[0].parts.administration
            await administration.withdraw_key("acme-key", "op")
            await asyncio.sleep(3.0)
            for entry in fleet.entries():
                assert (await entry.send_request()).code == 111
            with pytest.raises(errors.ConfigurationError, match="withdrawn"):
                await fleet.apply_configuration()

        _run_scenario(scenario)

    def test_an_issued_key_survives_an_apply_without_keys(self):
        async def scenario(fleet):
            await fleet.apply_and_wait_for_slots()
            administration = fleet.entries()[0].parts.administration
            issued = await administration.issue_key("new", "acme", "op")
            documents = msgspec.to_builtins(fleet.config)
            del documents["key_by_id"]
            base = issued.result.revision
            call = admin_api.ApplyCall(base, documents)
            await administration.apply(call, "op")
            snapshot = fleet.entries()[0].parts.active_revision.snapshot
            assert "new" in snapshot.configuration.key_by_id

        _run_scenario(scenario)

    def test_no_key_in_store_messages_or_events(self):
        async def scenario(fleet):
            await fleet.apply_and_wait_for_slots()
            entry = fleet.entries()[0]
            issued = await entry.parts.administration.issue_key(
                "new", "acme", "op"
            )
            await asyncio.sleep(1.0)
            reply = await entry.send_request(
                customer=None, x_api_key=issued.text
            )
            assert reply.code == 0
            key_text = issued.text.encode()
            stored_and_sent = [
                v.value for v in fleet.store.value_by_key.values()
            ]
            for other in fleet.entries():
                stored_and_sent += other.parts.link.sent
                events = other.parts.events.events_since(0, 10**6)
                stored_and_sent.append(msgspec.json.encode(events))
            assert not any(key_text in data for data in stored_and_sent)

        _run_scenario(scenario)


class TestPartitionedDomain:
    def test_keys_stay_fresh_while_every_domain_is_seen(self):
        async def scenario(fleet):
            await fleet.apply_and_wait_for_slots()
            fleet.store.is_unavailable = True
            await asyncio.sleep(60.0)
            for entry in fleet.entries():
                assert entry.parts.freshness.in_doubt_for_s() == 0

        _run_scenario(scenario, ["d0", "d1", "d2", "d3"])

    def test_a_partitioned_domain_serves_until_its_time_limit(self):
        async def scenario(fleet):
            acme = fleet.config.customer_by_id["acme"]
            fleet.config.customer_by_id["acme"] = msgspec.structs.replace(
                acme, stale_keys_serve_s=30.0
            )
            await fleet.apply_and_wait_for_slots()
            fleet.partition_domain("d3")
            entry = fleet.entries("d3")[0]
            await asyncio.sleep(20.0)
            assert entry.parts.freshness.in_doubt_for_s() > 0
            assert (await entry.send_request()).code == 0
            await asyncio.sleep(30.0)
            assert (await entry.send_request()).code == 112
            assert (
                await entry.send_request("/open/x", customer=None)
            ).code == 0
            fleet.remove_partitions()
            await asyncio.sleep(5.0)
            assert (await entry.send_request()).code == 0

        _run_scenario(scenario, ["d0", "d1", "d2", "d3"])
