"""A malformed message or an unexpected error must not end an entry.

Guards against a process that ends, or stops hearing its peers, because of one
message, store item or failed periodic step.
"""

import asyncio
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from chicorydoor import compose_fleet
from chicorydoor.coordination import active_serving_config
from chicorydoor.coordination import supervision
from chicorydoor.coordination import target_registrations
from chicorydoor.platform import documents
from chicorydoor.platform import store_updates
from chicorydoor.protocol import gossip_messages
from chicorydoor.protocol import store_items
from chicorydoor.state import fleet_view
from chicorydoor.state import target_views
from chicorydoor.transport import metrics
from tests.support import clocks
from tests.support import platform_cluster
from tests.support import simulated_peers
from tests.support import virtual_time

_DEPTH = 3000


def _nest_in_relays(data):
    scope = gossip_messages.RelayScope.DOMAIN
    for _ in range(_DEPTH):
        message = gossip_messages.RelayedMessage(scope, data)
        data = gossip_messages.encode(message)
    return data


def _nest_in_compression(data):
    message = gossip_messages.RateTokenRelease("c")
    for _ in range(_DEPTH):
        message = gossip_messages.decode(
            gossip_messages.encode_compressed(message)
        )
    return gossip_messages.encode(message)


def _unexpected_error_count():
    return sum(
        sample.value
        for family in metrics.UNEXPECTED_ERRORS.collect()
        for sample in family.samples
        if sample.name.endswith("_total")
    )


def _hears_peers(entry):
    now = asyncio.get_running_loop().time()
    return len(entry.fleet.live_region_peers(now)) == 2


class TestPeerMessages:
    @pytest.mark.parametrize("nest", [_nest_in_relays, _nest_in_compression])
    def test_nested_messages_are_dropped(self, nest):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            network.sent_messages.clear()
            network.queue_by_address["e1:1"].put_nowait(nest(b""))
            await asyncio.sleep(3.0)
            assert _hears_peers(entries[1])

        simulated_peers.run_scenario(scenario)

    def test_unknown_message_of_a_later_build_is_relayed(self):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            unknown = msgspec.msgpack.encode({"type": "later", "number": 1})
            relay = gossip_messages.RelayedMessage(
                gossip_messages.RelayScope.REGION, unknown
            )
            network.sent_messages.clear()
            network.queue_by_address["e1:1"].put_nowait(
                gossip_messages.encode(relay)
            )
            await asyncio.sleep(0.05)
            receivers = {
                receiver
                for sender, receiver, size in network.sent_messages
                if sender == "e1:1" and size == len(unknown)
            }
            assert receivers == {"e0:1", "e2:1"}

        simulated_peers.run_scenario(scenario)

    def test_relays_are_not_passed_on_twice(self):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            network.sent_messages.clear()
            network.queue_by_address["e1:1"].put_nowait(_nest_in_relays(b""))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert not [
                each for each in network.sent_messages if each[0] == "e1:1"
            ]

        simulated_peers.run_scenario(scenario)

    def test_error_in_a_handler_costs_one_message(self):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            original = entries[1].cache_index.apply_published
            failures = [KeyError("first"), ValueError("second")]

            def fail_twice(*args):
                if failures:
                    raise failures.pop()
                original(*args)

            entries[1].cache_index.apply_published = fail_twice
            await asyncio.sleep(3.0)
            assert not failures
            assert _hears_peers(entries[1])

        simulated_peers.run_scenario(scenario)

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(st.integers(0, 10_000), st.integers(0, 255)),
            min_size=1,
            max_size=6,
        )
    )
    def test_altered_messages(self, changes):
        errors_before = _unexpected_error_count()

        async def scenario(network, entries):
            await asyncio.sleep(0.5)
            heartbeats = []
            send = entries[0].link.send
            entries[0].link.send = lambda address, data: heartbeats.append(
                data
            )
            entries[0].peers.send_heartbeats()
            entries[0].link.send = send
            data = bytearray(heartbeats[0])
            for position, value in changes:
                data[position % len(data)] = value
            network.queue_by_address["e1:1"].put_nowait(bytes(data))
            await asyncio.sleep(2.5)
            assert "e2" in {
                peer.registration.instance
                for peer in entries[1].fleet.live_region_peers(
                    asyncio.get_running_loop().time()
                )
            }

        simulated_peers.run_scenario(scenario)
        assert _unexpected_error_count() == errors_before


_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=6),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                [
                    "service",
                    "address",
                    "zone",
                    "slots",
                    "info",
                    "status",
                    "state",
                    "born",
                    "coldRemaining",
                    "version",
                    "routes",
                    "tenants",
                    "limits",
                    "timeout",
                    "ratePerS",
                    "apiKeys",
                    "instance",
                    "incarnation",
                ]
            ),
            inner,
            max_size=8,
        )
    ),
    max_leaves=20,
)


class TestStoreItems:
    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(
            st.one_of(
                _JSON.map(lambda value: repr(value).encode()),
                _JSON.map(
                    lambda value: msgspec.json.encode(
                        str(value) if isinstance(value, int) else value
                    )
                ),
                st.binary(max_size=40),
            ),
            max_size=4,
        )
    )
    def test_arbitrary_values_raise_nothing(self, values):
        clock = clocks.ManualClock()
        targets = target_views.TargetViews({})
        registration = fleet_view.Registration("e", 1, "d", "r", "a:1", "a:2")
        handler = store_updates.StoreUpdateHandler(
            active_serving_config.ActiveServingConfig(),
            target_registrations.TargetRegistrations(targets, clock),
            targets,
            fleet_view.FleetView(registration, 2.0, 12.0, 4.0),
            clock,
        )
        errors_before = _unexpected_error_count()
        for number, value in enumerate(values):
            for apply, key in (
                (handler.apply_operator_items, documents.CONFIGURATION_KEY),
                (handler.apply_target_items, documents.TARGET_PREFIX + "t"),
                (handler.apply_entry_items, documents.ENTRY_PREFIX + "f"),
            ):
                item = store_items.StoreItemChange(key, number, value)
                apply([item])
        assert _unexpected_error_count() == errors_before

    def test_error_in_one_item_does_not_hide_the_next(self):
        clock = clocks.ManualClock()
        targets = target_views.TargetViews({})
        applied = []

        class _Registrations:
            def handle_removal(self, target_id):
                if target_id == "bad":
                    raise RuntimeError("unexpected")
                applied.append(target_id)

        handler = store_updates.StoreUpdateHandler(
            active_serving_config.ActiveServingConfig(),
            _Registrations(),
            targets,
            None,
            clock,
        )
        handler.apply_target_items(
            [
                store_items.StoreItemChange(
                    documents.TARGET_PREFIX + name, 1, None
                )
                for name in ("bad", "good")
            ]
        )
        assert applied == ["good"]


class TestTasks:
    def test_failed_task_is_started_again(self):
        started_at = []

        async def fail_at_first():
            started_at.append(asyncio.get_running_loop().time())
            if len(started_at) < 4:
                raise RuntimeError("unexpected")
            await asyncio.Event().wait()

        async def run():
            task = asyncio.create_task(
                supervision.run_supervised("test", fail_at_first)
            )
            await asyncio.sleep(30.0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        virtual_time.run(run())
        assert len(started_at) == 4
        # Not restarted in a busy loop.
        assert started_at[3] - started_at[0] >= 0.3

    # Guards against a part of an entry that stops for good when something
    # that it waits for is cancelled.
    def test_task_that_ends_as_cancelled_is_started_again(self):
        started_at = []

        async def wait_for_cancelled():
            loop = asyncio.get_running_loop()
            started_at.append(loop.time())
            if len(started_at) < 4:
                future = loop.create_future()
                future.cancel()
                await future
            await asyncio.Event().wait()

        async def run():
            task = asyncio.create_task(
                supervision.run_supervised("test", wait_for_cancelled)
            )
            await asyncio.sleep(30.0)
            assert not task.done()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert task.cancelled()

        virtual_time.run(run())
        assert len(started_at) == 4
        assert started_at[3] - started_at[0] >= 0.3

    @pytest.mark.parametrize(
        "name", ["_rebalance_rates", "_announce_reach", "_close_unused"]
    )
    def test_failed_maintenance_step_does_not_end_the_entry(self, name):
        components = compose_fleet.FleetComponents(
            settings=platform_cluster.build_settings("e", "127.0.0.1:1"),
            store=None,
            link=None,
            clock=clocks.ManualClock(),
            rng=random.Random(1),
            incarnation=3,
        )
        steps = []
        for each in ("_rebalance_rates", "_announce_reach", "_close_unused"):
            setattr(components, each, lambda each=each: steps.append(each))

        def fail():
            raise RuntimeError("unexpected")

        setattr(components, name, fail)

        async def run():
            task = asyncio.create_task(components.run_maintenance())
            await asyncio.sleep(1.0)
            assert not task.done()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        virtual_time.run(run())
        assert len(set(steps)) == 2
        assert len(steps) >= 4
