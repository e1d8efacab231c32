"""Requests that must not run twice, with entries and targets lost."""

import asyncio
import collections
import random

import pytest

from chicorydoor.state import idempotency
from chicorydoor.transport import clock as clock_module
from tests.support import clocks
from tests.support import fleet as fleet_module
from tests.support import virtual_time

_DOMAINS = ["d0", "d0", "d1", "d1"]


def _fleet(work_s=0.05):
    config = fleet_module.configuration(
        domains=2, slots=30, rate=5000.0, burst=5000.0
    )
    return fleet_module.Fleet(config, _DOMAINS, seed=9, work_s=work_s)


def _run(course, **options):
    async def wrapped():
        fleet = _fleet(**options)
        await fleet.ready()
        await course(fleet)

    virtual_time.run(wrapped())


def _order(node, key, request_id, **extra):
    return node.ask(
        "/read/order",
        method="POST",
        body=b"fabric",
        idempotency_key=key,
        x_request_id=request_id,
        **extra,
    )


def _runs(fleet):
    return collections.Counter(request_id for _, request_id, _ in fleet.seen())


class TestKeyMint:
    def _mint(self, secret="a secret of 16 c"):
        clock = clock_module.SystemClock()
        return idempotency.KeyMint(secret, "e1", 1, clock)

    @pytest.mark.parametrize("text", ["", "x", "ü", "AAAA" * 20])
    def test_forged_keys_are_refused(self, text):
        assert self._mint().verify(text) is None

    def test_a_key_of_another_fleet_is_refused(self):
        other = self._mint("another secret!!")
        assert self._mint().verify(other.mint()) is None


class TestIdempotencyTable:
    def test_bounds(self):
        async def course():
            clock = clocks.ManualClock()
            table = idempotency.IdempotencyTable(3, 100, clock)
            answer = idempotency.RecordedAnswer(0, 200, [], bytes(60))
            for name in ("a", "b", "c"):
                record = table.start(name, b"", clock.at + 300.0)
                table.settle(record, answer)
            kept = [table.find(n).answer.result().body for n in "abc"]
            assert kept == [bytes(60), None, None]
            assert table.start("d", b"", 300.0) is None
            clock.at = 301.0
            record = table.start("d", b"", 600.0)
            table.settle(record, answer)
            assert record.answer.result().body == bytes(60)
            assert len(table) == 1

        virtual_time.run(course())


class TestRepeats:
    def test_a_repeat_gets_the_recorded_answer(self):
        async def course(fleet):
            node, other = fleet.nodes("d0")
            key = node.parts.mint.mint()
            first = await _order(node, key, "a")
            again = await _order(node, key, "b")
            elsewhere = await _order(other, key, "c")
            assert (first.code, again.code, elsewhere.code) == (0, 0, 0)
            assert first.body == again.body == elsewhere.body
            assert sum(_runs(fleet)[i] for i in "abc") == 1

        _run(course)

    def test_a_repeat_in_another_domain_runs_at_the_minter(self):
        async def course(fleet):
            key = fleet.nodes("d0")[0].parts.mint.mint()
            far = fleet.nodes("d1")[0]
            replies = await asyncio.gather(
                *(_order(far, key, f"r{n}") for n in range(5))
            )
            assert {reply.code for reply in replies} == {0}
            assert sum(_runs(fleet).values()) == 1

        _run(course)

    def test_a_key_serves_one_request_only(self):
        async def course(fleet):
            node = fleet.nodes()[0]
            key = node.parts.mint.mint()
            await _order(node, key, "a")
            other = await node.ask(
                "/read/other", method="POST", idempotency_key=key
            )
            assert other.code == 164

        _run(course)

    def test_the_outcome_is_kept_when_the_caller_goes_away(self):
        async def course(fleet):
            node = fleet.nodes()[0]
            key = node.parts.mint.mint()
            gone = asyncio.create_task(_order(node, key, "a"))
            await asyncio.sleep(0.03)
            gone.cancel()
            await asyncio.sleep(0.0)
            assert (await _order(node, key, "b")).code == 0
            assert sum(_runs(fleet).values()) == 1

        _run(course)

    def test_a_request_that_was_not_run_may_be_repeated(self):
        async def course(fleet):
            node = fleet.nodes("d0")[0]
            for target in fleet.target_by_address.values():
                target.is_down = True
            key = node.parts.mint.mint()
            first = await _order(node, key, "a")
            assert (first.code, first.outcome) == (140, "not-run")
            for target in fleet.target_by_address.values():
                target.is_down = False
            await asyncio.sleep(3.0)
            assert (await _order(node, key, "b")).code == 0

        _run(course)


class TestLostMinter:
    def test_the_outcome_is_unknown_and_nothing_runs(self):
        async def course(fleet):
            minter, other = fleet.nodes("d0")
            key = minter.parts.mint.mint()
            await _order(minter, key, "a")
            await minter.kill()
            await asyncio.sleep(2.0)
            again = await _order(other, key, "b")
            assert again.outcome == "unknown"
            assert _runs(fleet)["b"] == 0

        _run(course)

    def test_a_first_attempt_is_told_that_it_did_not_run(self):
        async def course(fleet):
            minter, other = fleet.nodes("d0")
            key = minter.parts.mint.mint()
            await minter.kill()
            await asyncio.sleep(2.0)
            reply = await _order(other, key, "a", x_first_attempt=1)
            if reply.code == 150:
                reply = await _order(other, key, "b", x_first_attempt=1)
            assert reply.outcome in ("not-run", "unknown")
            assert not _runs(fleet)

        _run(course)

    def test_2000_orders_repeated_while_entries_die(self):
        async def course(fleet):
            rng = random.Random(8)
            attempts = collections.defaultdict(list)

            async def caller(number):
                await asyncio.sleep(rng.uniform(0.0, 8.0))
                nodes = fleet.nodes()
                key = rng.choice(nodes).parts.mint.mint()
                for attempt in range(3):
                    node = rng.choice(fleet.nodes())
                    name = f"o{number}-{attempt}"
                    reply = await _order(node, key, name)
                    attempts[number].append((name, reply))
                    await asyncio.sleep(rng.uniform(0.0, 0.2))

            orders = [asyncio.create_task(caller(n)) for n in range(2000)]
            for domain in ("d0", "d1"):
                await asyncio.sleep(2.5)
                await rng.choice(fleet.nodes(domain)).kill()
                failing = rng.choice(list(fleet.target_by_address.values()))
                failing.is_failing = True
            await asyncio.gather(*orders)
            runs = _runs(fleet)
            for replies in attempts.values():
                assert sum(runs[name] for name, _ in replies) <= 1
                for name, reply in replies:
                    if reply.outcome == "not-run":
                        assert runs[name] == 0
            served = sum(
                any(r.code == 0 for _, r in replies)
                for replies in attempts.values()
            )
            assert served > 1000

        _run(course)
