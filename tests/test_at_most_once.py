"""At-most-once execution while entries and targets fail.

A caller that gets no answer sends its request again with the same idempotency
key, perhaps to another entry. Without the record of the first attempt a target
would run the request twice. Only the entry that minted the key has the record,
so a request whose minter is lost must not run at all.
"""

import asyncio
import collections
import random

import pytest

from chicorydoor.state import idempotency
from chicorydoor.transport import clock as clock_module
from tests.support import clocks
from tests.support import simulated_fleet
from tests.support import virtual_time

_DOMAINS = ["d0", "d0", "d1", "d1"]


def _new_fleet(work_s=0.05):
    config = simulated_fleet.build_configuration(
        domain_count=2, slots=30, rate=5000.0, burst=5000.0
    )
    return simulated_fleet.Fleet(config, _DOMAINS, seed=9, work_s=work_s)


def _run_on_fleet(scenario, **options):
    async def run_scenario():
        fleet = _new_fleet(**options)
        await fleet.apply_and_wait_for_slots()
        await scenario(fleet)

    virtual_time.run(run_scenario())


def _send_order(entry, key, request_id, **extra):
    return entry.send_request(
        "/read/order",
        method="POST",
        body=b"fabric",
        idempotency_key=key,
        x_request_id=request_id,
        **extra,
    )


def _run_count_by_request_id(fleet):
    return collections.Counter(
        request_id for _, request_id, _ in fleet.received_requests()
    )


class TestIdempotencyKeyIssuer:
    def _new_key_issuer(self, secret="a secret of 16 c"):
        clock = clock_module.SystemClock()
        return idempotency.IdempotencyKeyIssuer(secret, "e1", 1, clock)

    @pytest.mark.parametrize("text", ["", "x", "ü", "AAAA" * 20])
    def test_verify_rejects_forged_keys(self, text):
        assert self._new_key_issuer().verify(text) is None

    def test_verify_rejects_keys_minted_with_another_secret(self):
        other = self._new_key_issuer("another secret!!")
        assert self._new_key_issuer().verify(other.mint()) is None


class TestIdempotencyTable:
    def test_limits_records_and_recorded_bytes(self):
        async def scenario():
            clock = clocks.ManualClock()
            # At most 3 records, and 100 bytes of recorded bodies.
            table = idempotency.IdempotencyTable(3, 100, clock)
            answer = idempotency.RecordedAnswer(0, 200, [], bytes(60))
            for key in ("a", "b", "c"):
                record = table.add_running(key, b"", clock.now_s + 300.0)
                table.record_answer(record, answer)
            recorded_bodies = [
                table.find(n).answer.result().body for n in "abc"
            ]
            assert recorded_bodies == [bytes(60), None, None]
            assert table.add_running("d", b"", 300.0) is None
            clock.now_s = 301.0
            record = table.add_running("d", b"", 600.0)
            table.record_answer(record, answer)
            assert record.answer.result().body == bytes(60)
            assert len(table) == 1

        virtual_time.run(scenario())


class TestRetriesWithKey:
    def test_retry_returns_the_recorded_answer(self):
        async def scenario(fleet):
            entry, other_entry = fleet.entries("d0")
            key = entry.parts.key_issuer.mint()
            first_reply = await _send_order(entry, key, "a")
            retry_reply = await _send_order(entry, key, "b")
            other_entry_reply = await _send_order(other_entry, key, "c")
            assert (
                first_reply.code,
                retry_reply.code,
                other_entry_reply.code,
            ) == (0, 0, 0)
            assert (
                first_reply.body == retry_reply.body == other_entry_reply.body
            )
            assert sum(_run_count_by_request_id(fleet)[i] for i in "abc") == 1

        _run_on_fleet(scenario)

    def test_concurrent_requests_in_another_domain_run_once(self):
        async def scenario(fleet):
            key = fleet.entries("d0")[0].parts.key_issuer.mint()
            other_domain_entry = fleet.entries("d1")[0]
            replies = await asyncio.gather(
                *(
                    _send_order(other_domain_entry, key, f"r{n}")
                    for n in range(5)
                )
            )
            assert {reply.code for reply in replies} == {0}
            assert sum(_run_count_by_request_id(fleet).values()) == 1

        _run_on_fleet(scenario)

    def test_key_reused_for_another_request_is_refused(self):
        async def scenario(fleet):
            entry = fleet.entries()[0]
            key = entry.parts.key_issuer.mint()
            await _send_order(entry, key, "a")
            reply = await entry.send_request(
                "/read/other", method="POST", idempotency_key=key
            )
            assert reply.code == 164

        _run_on_fleet(scenario)

    def test_outcome_is_recorded_when_the_caller_disconnects(self):
        async def scenario(fleet):
            entry = fleet.entries()[0]
            key = entry.parts.key_issuer.mint()
            disconnected_request = asyncio.create_task(
                _send_order(entry, key, "a")
            )
            # The target works for 50 ms, so the request is running here.
            await asyncio.sleep(0.03)
            disconnected_request.cancel()
            await asyncio.sleep(0.0)
            assert (await _send_order(entry, key, "b")).code == 0
            assert sum(_run_count_by_request_id(fleet).values()) == 1

        _run_on_fleet(scenario)

    def test_request_that_did_not_run_can_be_retried(self):
        async def scenario(fleet):
            entry = fleet.entries("d0")[0]
            for target in fleet.target_by_address.values():
                target.refuses_connections = True
            key = entry.parts.key_issuer.mint()
            first_reply = await _send_order(entry, key, "a")
            assert (first_reply.code, first_reply.outcome) == (140, "not-run")
            for target in fleet.target_by_address.values():
                target.refuses_connections = False
            await asyncio.sleep(3.0)
            assert (await _send_order(entry, key, "b")).code == 0

        _run_on_fleet(scenario)


class TestLostMinter:
    def test_retry_with_a_lost_minter_is_unknown_and_does_not_run(self):
        async def scenario(fleet):
            minter, other = fleet.entries("d0")
            key = minter.parts.key_issuer.mint()
            await _send_order(minter, key, "a")
            await minter.kill()
            await asyncio.sleep(2.0)
            retry_reply = await _send_order(other, key, "b")
            assert retry_reply.outcome == "unknown"
            assert _run_count_by_request_id(fleet)["b"] == 0

        _run_on_fleet(scenario)

    def test_first_attempt_with_a_lost_minter_does_not_run(self):
        async def scenario(fleet):
            minter, other = fleet.entries("d0")
            key = minter.parts.key_issuer.mint()
            await minter.kill()
            await asyncio.sleep(2.0)
            reply = await _send_order(other, key, "a", x_first_attempt=1)
            # 150: the connection on which it was forwarded was lost.
            if reply.code == 150:
                reply = await _send_order(other, key, "b", x_first_attempt=1)
            assert reply.outcome in ("not-run", "unknown")
            assert not _run_count_by_request_id(fleet)

        _run_on_fleet(scenario)

    def test_2000_orders_run_at_most_once_while_entries_are_killed(self):
        async def scenario(fleet):
            rng = random.Random(8)
            attempts_by_order = collections.defaultdict(list)

            async def send_order_with_retries(number):
                await asyncio.sleep(rng.uniform(0.0, 8.0))
                entries = fleet.entries()
                key = rng.choice(entries).parts.key_issuer.mint()
                for attempt in range(3):
                    entry = rng.choice(fleet.entries())
                    request_id = f"o{number}-{attempt}"
                    reply = await _send_order(entry, key, request_id)
                    attempts_by_order[number].append((request_id, reply))
                    await asyncio.sleep(rng.uniform(0.0, 0.2))

            order_tasks = [
                asyncio.create_task(send_order_with_retries(n))
                for n in range(2000)
            ]
            for domain in ("d0", "d1"):
                await asyncio.sleep(2.5)
                await rng.choice(fleet.entries(domain)).kill()
                failing_target = rng.choice(
                    list(fleet.target_by_address.values())
                )
                failing_target.resets_connections = True
            await asyncio.gather(*order_tasks)
            run_count = _run_count_by_request_id(fleet)
            for replies in attempts_by_order.values():
                assert (
                    sum(run_count[request_id] for request_id, _ in replies)
                    <= 1
                )
                for request_id, reply in replies:
                    if reply.outcome == "not-run":
                        assert run_count[request_id] == 0
            served_orders = sum(
                any(r.code == 0 for _, r in replies)
                for replies in attempts_by_order.values()
            )
            assert served_orders > 1000

        _run_on_fleet(scenario)
