"""One coordinator for each failure domain."""

import asyncio

from chicorydoor.protocol import peer_messages as pm
from tests.support import fleet as fleet_module
from tests.support import virtual_time


def _run(course, entries=3):
    async def wrapped():
        config = fleet_module.configuration(domains=2)
        fleet = fleet_module.Fleet(config, ["d0"] * entries + ["d1"])
        await asyncio.sleep(3.0)
        await course(fleet)

    virtual_time.run(wrapped())


class TestCoordinator:
    def test_exactly_one_takes_office(self):
        async def course(fleet):
            assert fleet.coordinator("d0") is not None
            assert fleet.coordinator("d1") is not None

        _run(course)

    def test_another_takes_office_within_5_s_of_a_kill(self):
        async def course(fleet):
            await fleet.coordinator("d0").kill()
            for _ in range(50):
                await asyncio.sleep(0.1)
                fleet.coordinator("d0")
            assert fleet.coordinator("d0") is not None

        _run(course)

    def test_never_two_in_office_around_a_freeze(self):
        async def course(fleet):
            frozen = fleet.coordinator("d0")
            await frozen.freeze()
            offices = []
            for _ in range(100):
                await asyncio.sleep(0.05)
                offices.append(fleet.coordinator("d0"))
            assert offices[-1] not in (None, frozen)
            frozen.thaw()
            for _ in range(100):
                await asyncio.sleep(0.05)
                assert fleet.coordinator("d0") is not None
            assert not frozen.in_office

        _run(course)

    def test_an_ended_term_never_comes_back(self):
        """A number that was lost would stand for an outdated account."""

        async def course(fleet):
            first = fleet.coordinator("d0")
            membership = first.parts.membership
            numbers = [membership.term()]
            await first.freeze()
            await asyncio.sleep(5.0)
            second = fleet.coordinator("d0")
            first.thaw()
            await asyncio.sleep(3.0)
            await second.kill()
            for _ in range(2000):
                await asyncio.sleep(0.003)
                for node in fleet.nodes("d0"):
                    if node is first and node.in_office:
                        numbers.append(membership.term())
            assert set(numbers[1:]) == {numbers[0] + 1}

        _run(course)

    def test_lossy_links_never_make_two(self):
        async def course(fleet):
            fleet.network.loss = 0.4
            for _ in range(300):
                await asyncio.sleep(0.1)
                fleet.coordinator("d0")

        _run(course)

    def test_handover_takes_less_than_a_second(self):
        async def course(fleet):
            node = fleet.coordinator("d0")
            node.parts.membership.leave()
            await asyncio.sleep(0.5)
            await node.parts.coordinator.hand_over()
            assert not node.in_office
            await asyncio.sleep(0.9)
            assert fleet.coordinator("d0") not in (None, node)

        _run(course)

    def test_replaced_instances_do_not_pile_up(self):
        async def course(fleet):
            for _ in range(5):
                victim = fleet.nodes("d0")[-1]
                fleet.add("d0")
                await victim.kill()
                await asyncio.sleep(5.0)
            await asyncio.sleep(130.0)
            for node in fleet.nodes("d0"):
                assert len(node.parts.membership.known()) == 2
            assert fleet.coordinator("d0") is not None

        _run(course)

    def test_a_lone_instance_takes_office(self):
        async def course(fleet):
            assert fleet.coordinator("d0") is not None

        _run(course, entries=1)

    def test_a_newcomer_with_a_lower_id_leaves_the_office_alone(self):
        async def course(fleet):
            before = fleet.coordinator("d0")
            fleet.add("d0")
            for _ in range(60):
                await asyncio.sleep(0.1)
                assert fleet.coordinator("d0") is before

        _run(course)


class TestPeerMessages:
    def test_forged_and_replayed_messages_change_nothing(self):
        async def course(fleet):
            nodes = fleet.nodes("d0")
            sender, receiver = nodes[0], nodes[1]
            network = receiver.parts.network
            seen = []
            kind = pm.InForceRequest
            network.on(kind, lambda _, message: seen.append(message))
            sender.parts.network.post(receiver.parts.me.instance, kind())
            sent = sender.parts.link.sent[-1]
            await asyncio.sleep(0.1)
            assert len(seen) == 1
            address = receiver.parts.me.peer_address
            forged = bytes(16) + sent[16:]
            for data in (sent, forged, b"", b"garbage" * 100):
                fleet.network.carry(sender.parts.link.address, address, data)
            await asyncio.sleep(0.1)
            assert len(seen) == 1

        _run(course)
