"""Coordinator election and authenticated peer messages.

Two coordinators in a domain would grant the same tokens and slots twice.
``fleet.coordinator`` fails if two entries hold the lease, so a bare call of it
is a check.
"""

import asyncio

from chicorydoor.protocol import peer_messages as pm
from tests.support import simulated_fleet
from tests.support import virtual_time


def _run_scenario(scenario, entry_count=3):
    async def run_on_fleet():
        config = simulated_fleet.build_configuration(domain_count=2)
        fleet = simulated_fleet.Fleet(config, ["d0"] * entry_count + ["d1"])
        await asyncio.sleep(3.0)
        await scenario(fleet)

    virtual_time.run(run_on_fleet())


class TestCoordinator:
    def test_each_domain_has_one_coordinator(self):
        async def scenario(fleet):
            assert fleet.coordinator("d0") is not None
            assert fleet.coordinator("d1") is not None

        _run_scenario(scenario)

    def test_another_becomes_coordinator_within_5_s_of_a_kill(self):
        async def scenario(fleet):
            await fleet.coordinator("d0").kill()
            for _ in range(50):
                await asyncio.sleep(0.1)
                fleet.coordinator("d0")
            assert fleet.coordinator("d0") is not None

        _run_scenario(scenario)

    def test_never_two_coordinators_around_a_pause_of_an_entry(self):
        async def scenario(fleet):
            paused = fleet.coordinator("d0")
            await paused.pause()
            coordinators = []
            for _ in range(100):
                await asyncio.sleep(0.05)
                coordinators.append(fleet.coordinator("d0"))
            assert coordinators[-1] not in (None, paused)
            paused.resume()
            for _ in range(100):
                await asyncio.sleep(0.05)
                assert fleet.coordinator("d0") is not None
            assert not paused.is_coordinator

        _run_scenario(scenario)

    def test_an_ended_term_number_is_not_reused(self):
        """A reused term number would stand for outdated ledgers.

        Term numbers count the terms of one process, so the second term of an
        entry has the next number, whoever was coordinator between.
        """

        async def scenario(fleet):
            first = fleet.coordinator("d0")
            membership = first.parts.membership
            term_numbers = [membership.term()]
            await first.pause()
            await asyncio.sleep(5.0)
            second = fleet.coordinator("d0")
            first.resume()
            await asyncio.sleep(3.0)
            await second.kill()
            for _ in range(2000):
                await asyncio.sleep(0.003)
                for entry in fleet.entries("d0"):
                    if entry is first and entry.is_coordinator:
                        term_numbers.append(membership.term())
            assert set(term_numbers[1:]) == {term_numbers[0] + 1}

        _run_scenario(scenario)

    def test_lossy_links_never_yield_two_coordinators(self):
        async def scenario(fleet):
            fleet.network.loss_probability = 0.4
            for _ in range(300):
                await asyncio.sleep(0.1)
                fleet.coordinator("d0")

        _run_scenario(scenario)

    def test_handover_takes_less_than_1_s(self):
        async def scenario(fleet):
            entry = fleet.coordinator("d0")
            entry.parts.membership.announce_leaving()
            await asyncio.sleep(0.5)
            await entry.parts.coordinator.hand_over()
            assert not entry.is_coordinator
            await asyncio.sleep(0.9)
            assert fleet.coordinator("d0") not in (None, entry)

        _run_scenario(scenario)

    def test_replaced_instances_expire(self):
        async def scenario(fleet):
            for _ in range(5):
                replaced = fleet.entries("d0")[-1]
                fleet.add_entry("d0")
                await replaced.kill()
                await asyncio.sleep(5.0)
            # Peers that are gone expire after 120 s.
            await asyncio.sleep(130.0)
            for entry in fleet.entries("d0"):
                assert len(entry.parts.membership.peer_ids()) == 2
            assert fleet.coordinator("d0") is not None

        _run_scenario(scenario)

    def test_a_single_instance_becomes_coordinator(self):
        async def scenario(fleet):
            assert fleet.coordinator("d0") is not None

        _run_scenario(scenario, entry_count=1)

    def test_a_new_instance_does_not_preempt_the_coordinator(self):
        async def scenario(fleet):
            coordinator_before = fleet.coordinator("d0")
            fleet.add_entry("d0")
            for _ in range(60):
                await asyncio.sleep(0.1)
                assert fleet.coordinator("d0") is coordinator_before

        _run_scenario(scenario)


class TestPeerMessages:
    def test_forged_and_replayed_messages_change_nothing(self):
        async def scenario(fleet):
            entries = fleet.entries("d0")
            sender, receiver = entries[0], entries[1]
            network = receiver.parts.network
            received = []
            message_type = pm.ActiveRevisionsRequest
            network.set_handler(
                message_type, lambda _, message: received.append(message)
            )
            sender.parts.network.send_message(
                receiver.parts.own_member.instance, message_type()
            )
            sent_data = sender.parts.link.sent[-1]
            await asyncio.sleep(0.1)
            assert len(received) == 1
            address = receiver.parts.own_member.peer_address
            forged = bytes(16) + sent_data[16:]
            for data in (sent_data, forged, b"", b"garbage" * 100):
                fleet.network.transmit(
                    sender.parts.link.address, address, data
                )
            await asyncio.sleep(0.1)
            assert len(received) == 1

        _run_scenario(scenario)
