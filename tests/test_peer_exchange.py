"""Exchange of messages between entries over a lossy link."""

import asyncio
import zlib

import msgspec
import pytest

from chicorydoor.coordination import peer_exchange
from chicorydoor.protocol import gossip_messages
from chicorydoor.protocol import store_items
from chicorydoor.state import fleet_view
from tests.support import config_builders as make
from tests.support import simulated_peers


def _live_instances(entry):
    now = entry.peers._clock.now()
    return {
        peer.registration.instance
        for peer in entry.fleet.live_region_peers(now)
    }


class TestHeartbeats:
    def test_entries_receive_heartbeats_from_each_other(self):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            assert _live_instances(entries[0]) == {"e1", "e2"}

        simulated_peers.run_scenario(scenario)

    def test_state_change_is_published_at_once(self):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            entries[1].peers.set_state(fleet_view.EntryState.READY)
            await asyncio.sleep(0.01)
            now = entries[0].peers._clock.now()
            ready = entries[0].fleet.ready_peers(now)
            assert [entry.instance for entry in ready] == ["e1"]

        simulated_peers.run_scenario(scenario)

    def test_silent_entry_is_reconnected(self):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            network.dropped_pairs = {("e1:1", "e0:1")}
            await asyncio.sleep(4.0)
            assert _live_instances(entries[0]) == {"e2"}
            assert ("e0:1", "e1:1") in network.reset_pairs
            # Heartbeats of e0 say that it has not recently seen e1, so e1
            # reconnects too.
            assert ("e1:1", "e0:1") in network.reset_pairs
            network.dropped_pairs = set()
            await asyncio.sleep(1.0)
            assert _live_instances(entries[0]) == {"e1", "e2"}

        simulated_peers.run_scenario(scenario)

    def test_delay_of_heartbeats_is_known(self):
        async def scenario(network, entries):
            await asyncio.sleep(2.0)
            network.delay_s_by_pair = {("e1:1", "e0:1"): 1.5}
            await asyncio.sleep(3.0)
            peer_by_instance = entries[0].fleet.peer_by_instance
            assert abs(peer_by_instance["e1"].message_delay_s - 1.5) < 0.1
            assert peer_by_instance["e2"].message_delay_s < 0.1

        simulated_peers.run_scenario(scenario)

    def test_cached_objects_reach_all_peers(self):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            now = entries[0].peers._clock.now()
            entries[0].cache_index.record_use(("r", b"7"), ("t", 1), now)
            await asyncio.sleep(0.5)
            for other in entries[1:]:
                known = other.cache_index.caching_targets(("r", b"7"), now)
                assert list(known) == [("t", 1)]

        simulated_peers.run_scenario(scenario)

    def test_malformed_message_is_ignored(self):
        async def scenario(network, entries):
            network.queue_by_address["e0:1"].put_nowait(b"\xc1garbage")
            await asyncio.sleep(1.0)
            assert _live_instances(entries[0]) == {"e1", "e2"}

        simulated_peers.run_scenario(scenario)


class TestRestartAfterAClockStep:
    # Guards against an entry that its peers do not hear, and do not name to
    # callers, after a restart with a clock that was set back.
    def test_earlier_incarnation_is_heard_once_the_later_one_is_silent(self):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            restarted = entries[1]
            restarted.fleet.own_registration = msgspec.structs.replace(
                restarted.fleet.own_registration, incarnation=0
            )
            restarted.peers.set_state(fleet_view.EntryState.READY)
            await asyncio.sleep(4.0)
            now = entries[0].peers._clock.now()
            ready = entries[0].fleet.ready_peers(now)
            assert [entry.instance for entry in ready] == ["e1"]

        simulated_peers.run_scenario(scenario)

    def test_late_heartbeat_of_an_earlier_start_is_ignored(self):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            view = entries[0].fleet
            peer = view.peer_by_instance["e1"]
            late = msgspec.structs.replace(
                peer.heartbeat,
                registration=msgspec.structs.replace(
                    peer.registration, incarnation=0
                ),
            )
            assert not view.apply_heartbeat(
                late, entries[0].peers._clock.now()
            )
            assert peer.registration.incarnation == 1

        simulated_peers.run_scenario(scenario)

    # Guards against requests that are relayed to an address that an entry had
    # before it started again.
    def test_registration_of_an_earlier_incarnation_is_used(self):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            view = entries[2].fleet
            moved = msgspec.structs.replace(
                entries[0].fleet.own_registration,
                incarnation=0,
                caller_address="e0:9",
            )
            now = entries[2].peers._clock.now()
            view.record_registration(moved, now)
            peer = view.peer_by_instance["e0"]
            assert peer.registration.caller_address == "e0:9"

        simulated_peers.run_scenario(scenario, regions="nnm")


class TestCompression:
    def test_large_update_crosses_compressed(self):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            network.sent_messages.clear()
            # An entry whose copy is up to revision 0 merges it.
            item = store_items.StoreItemChange("p/a", 1, b"abc" * 10_000)
            batch = store_items.StoreItemBatch([item], 1)
            entries[0].peers.publish(
                gossip_messages.StoreChanges("p/", 0, batch)
            )
            assert max(size for _, _, size in network.sent_messages) < 3_000
            await asyncio.sleep(0.1)
            for entry in entries[1:]:
                assert entry.items == [item]

        simulated_peers.run_scenario(scenario)

    @pytest.mark.parametrize(
        "data",
        [
            b"not compressed",
            zlib.compress(b"cut off")[:-3],
            zlib.compress(bytes(64 * 1024 * 1024)),
            zlib.compress(b"no message"),
        ],
    )
    def test_malformed_compressed_data_is_ignored(self, data):
        async def scenario(network, entries):
            message = gossip_messages.CompressedMessage(data)
            network.queue_by_address["e1:1"].put_nowait(
                gossip_messages.encode(message)
            )
            await asyncio.sleep(3.0)
            now = asyncio.get_running_loop().time()
            assert len(entries[1].fleet.live_region_peers(now)) == 2

        simulated_peers.run_scenario(scenario)


class TestRelays:
    def test_heartbeat_crosses_to_another_domain_once(self):
        async def scenario(network, entries):
            await asyncio.sleep(3.0)
            network.sent_messages.clear()
            await asyncio.sleep(8.0)
            heartbeats = 8.0 / peer_exchange.HEARTBEAT_INTERVAL_S
            # Entries with odd numbers are in the other domain.
            crossing = [
                size
                for sender, receiver, size in network.sent_messages
                if sender == "e0:1" and int(receiver[1:-2]) % 2
            ]
            assert len(crossing) <= heartbeats + 2
            assert len(_live_instances(entries[0])) == 11

        simulated_peers.run_scenario(scenario, "n" * 12)

    def test_lost_relay_does_not_hide_other_entries(self):
        async def scenario(network, entries):
            await asyncio.sleep(3.0)
            network.dropped_pairs = {
                pair
                for other in range(12)
                for pair in (("e1:1", f"e{other}:1"), (f"e{other}:1", "e1:1"))
            }
            for _ in range(20):
                await asyncio.sleep(0.5)
                assert len(_live_instances(entries[0])) >= 10
                assert len(_live_instances(entries[3])) >= 10

        simulated_peers.run_scenario(scenario, "n" * 12)

    def test_heartbeat_out_of_order_is_ignored(self):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            fleet = entries[0].fleet
            peer = fleet.peer_by_instance["e1"]
            # Its sequence number is 0, below those received.
            outdated = fleet_view.Heartbeat(
                peer.registration, fleet_view.EntryState.LEAVING, {}, {}
            )
            now = entries[0].peers._clock.now()
            assert not fleet.apply_heartbeat(outdated, now)

        simulated_peers.run_scenario(scenario)


class TestStoreUpdates:
    def test_lost_update_is_repaired_by_a_copy(self):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            network.dropped_pairs = {("e0:1", "e1:1")}
            item = store_items.StoreItemChange("p/a", 5, b"1")
            batch = store_items.StoreItemBatch([item], 6)
            entries[0].follower.mirror.merge(batch, 0)
            changes = gossip_messages.StoreChanges("p/", 0, batch)
            entries[0].peers.publish(changes)
            await asyncio.sleep(0.1)
            assert [i.key for i in entries[2].items] == ["p/a"]
            network.dropped_pairs = set()
            await asyncio.sleep(1.0)
            assert [i.key for i in entries[1].items] == ["p/a"]

        simulated_peers.run_scenario(scenario)


def _ready_in_other_regions(entry):
    now = entry.peers._clock.now()
    region = entry.fleet.own_registration.region
    return {
        each.instance
        for each in entry.fleet.ready_peers(now)
        if each.region != region
    }


class TestDigests:
    def test_digests_name_all_ready_entries_of_a_small_region(self):
        async def scenario(network, entries):
            for entry in entries:
                entry.peers.set_state(fleet_view.EntryState.READY)
            await asyncio.sleep(6.0)
            assert _live_instances(entries[0]) == {"e1"}
            assert _ready_in_other_regions(entries[0]) == {"e2", "e3", "e4"}
            assert _ready_in_other_regions(entries[4]) == {"e0", "e1"}

        simulated_peers.run_scenario(scenario, "nnmmm")

    def test_summed_rates_reach_the_other_region(self):
        async def scenario(network, entries):
            # Each of the two entries claims the whole rate, since it is given
            # no announcement of the other.
            customer = make.build_customer_config(
                rate_per_s=100.0, burst=100.0
            )
            entries[2].shares.rebalance([customer], [], 0.0)
            entries[3].shares.rebalance([customer], [], 0.0)
            await asyncio.sleep(6.0)
            (reported,) = entries[0].fleet.announced_rates_of_other_regions()
            assert reported.peer_count == 2
            assert 1.99 <= reported.rate_by_customer["kivuli"].share <= 2.01

        simulated_peers.run_scenario(scenario, "nnmm")

    def test_lost_digest_sender_is_replaced_by_another(self):
        async def scenario(network, entries):
            for entry in entries:
                entry.peers.set_state(fleet_view.EntryState.READY)
            await asyncio.sleep(6.0)
            network.dropped_pairs = {("e2:1", f"e{i}:1") for i in range(2)}
            for _ in range(20):
                await asyncio.sleep(0.5)
                assert _ready_in_other_regions(entries[0])
                assert _ready_in_other_regions(entries[1])

        simulated_peers.run_scenario(scenario, "nnmmm")

    def test_silent_region_has_no_ready_entries_but_keeps_its_rates(self):
        async def scenario(network, entries):
            for entry in entries:
                entry.peers.set_state(fleet_view.EntryState.READY)
            await asyncio.sleep(6.0)
            network.dropped_pairs = {("e2:1", "e0:1"), ("e2:1", "e1:1")}
            await asyncio.sleep(5.0)
            assert _ready_in_other_regions(entries[0]) == set()
            (reported,) = entries[0].fleet.announced_rates_of_other_regions()
            assert reported.rate_by_customer is not None

        simulated_peers.run_scenario(scenario, "nnm")

    def test_live_unregistered_entry_stays_known_to_other_regions(self):
        async def scenario(network, entries):
            await asyncio.sleep(6.0)
            for entry in entries:
                entry.fleet.record_unregistration(
                    "e2", entry.peers._clock.now()
                )
            await asyncio.sleep(15.0)
            assert "e2" in entries[0].fleet.peer_by_instance
            network.dropped_pairs = {("e2:1", f"e{i}:1") for i in range(4)}
            await asyncio.sleep(30.0)
            assert "e2" not in entries[0].fleet.peer_by_instance

        simulated_peers.run_scenario(scenario, "nnmm")

    # Guards against others that take over the rates of an entry that the store
    # turns away and that no other entry of its region can speak for.
    def test_only_entry_of_a_region_stays_known_without_registration(self):
        async def scenario(network, entries):
            await asyncio.sleep(6.0)
            for entry in entries:
                entry.fleet.record_unregistration(
                    "e2", entry.peers._clock.now()
                )
            await asyncio.sleep(30.0)
            assert "e2" in entries[0].fleet.peer_by_instance
            assert "e2" in entries[1].fleet.peer_by_instance
            network.dropped_pairs = {("e2:1", f"e{i}:1") for i in range(2)}
            await asyncio.sleep(30.0)
            assert "e2" not in entries[0].fleet.peer_by_instance

        simulated_peers.run_scenario(scenario, "nnm")

    def test_store_updates_reach_a_region_that_cannot_read_the_store(self):
        async def scenario(network, entries):
            await asyncio.sleep(4.0)
            item = store_items.StoreItemChange("p/a", 5, b"1")
            batch = store_items.StoreItemBatch([item], 6)
            entries[2].follower.mirror.merge(batch, 0)
            entries[3].follower.mirror.merge(batch, 0)
            await asyncio.sleep(4.5)
            for entry in entries[:2]:
                assert [i.key for i in entry.items] == ["p/a"]

        simulated_peers.run_scenario(scenario, "nnmm")

    def test_message_count_barely_grows_with_other_regions(self):
        async def count_messages(network, entries, counts):
            await asyncio.sleep(3.0)
            network.sent_messages.clear()
            await asyncio.sleep(12.0)
            sent = [
                each for each in network.sent_messages if each[0] == "e0:1"
            ]
            counts.append(len(sent))

        counts = []
        for other_region_size in (4, 40):
            simulated_peers.run_scenario(
                lambda network, entries: count_messages(
                    network, entries, counts
                ),
                "nnnn" + "m" * other_region_size,
            )
        heartbeats = 3 * 12.0 / peer_exchange.HEARTBEAT_INTERVAL_S
        assert counts[0] <= heartbeats + 20
        assert counts[1] <= heartbeats + 20 + 40 / 4 * 15
