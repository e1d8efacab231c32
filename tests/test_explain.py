"""Explanations name what real requests get, and change nothing.

An explanation that decides by other code, or on other state, would lead an
operator to the wrong cause; one that changes state would alter the decisions
that it explains.
"""

import asyncio
import json

import msgspec
import prometheus_client
import pytest

from chicorydoor.cli import exit_codes
from chicorydoor.cli import main
from chicorydoor.coordination import explanation
from chicorydoor.coordination import target_selection
from chicorydoor.standins import port_allocation
from chicorydoor.state import target_views
from tests.support import platform_cluster

_ROUTE = {
    "host": "shop.example",
    "timeout": "1000ms",
    "targetLatency": "400ms",
    "maxAttempts": 2,
    "kind": "safe",
}
_CONFIG = platform_cluster.build_config(
    2,
    routes=[
        _ROUTE
        | {
            "name": "read",
            "prefix": "/read/",
            "service": "s",
            "sessionAffinity": True,
        },
        _ROUTE
        | {
            "name": "bound",
            "prefix": "/bound/",
            "service": "s",
            "allowedRegions": ["n"],
        },
        _ROUTE
        | {"name": "away", "prefix": "/away/", "service": "s"}
        | {"allowedRegions": ["m"]},
        _ROUTE
        | {
            "name": "split",
            "prefix": "/split/",
            "trafficSplit": [
                {"service": "s", "weight": 2},
                {"service": "u", "weight": 1},
            ],
        },
    ],
    services=[
        {"name": name, "healthPath": "/health", "maxConnections": 50}
        for name in ("s", "u")
    ],
    tenants=[
        {"name": "c", "apiKeys": ["key-1"], "ratePerS": 0},
        {"name": "d", "apiKeys": ["key-2"], "ratePerS": 1, "burst": 3},
    ],
)


def _run(scenario, *, expects_overload=False, targets=3):
    """Run a scenario with an entry in process and its components."""

    async def with_components(cluster):
        cluster.store.put("op/config", _CONFIG)
        settings = platform_cluster.build_settings(
            "e0", cluster.store.endpoint
        )
        settings = msgspec.structs.replace(
            settings, expects_overload=expects_overload
        )
        entry = cluster.start_entry(settings)
        await cluster.wait_until_ready(settings)
        components = entry._components

        async def has_started():
            return components.active_config.current.version == 2 and (
                len(components.targets.target_by_id) == targets
            )

        await cluster.wait_until(has_started)
        await scenario(cluster, components)

    platform_cluster.run(with_components, targets=targets, entries=0)


def _explain(components, **query):
    return components.explainer.explain(explanation.ExplainQuery(**query))


async def _assert_next_request_goes_where_explained(
    cluster, components, object_key
):
    explained = _explain(
        components, route="read", customer="c", object=object_key
    )
    answer = await cluster.call(headers={"affinity-key": object_key})
    assert explained.result.action == "send"
    assert explained.choice.target_id == explained.result.target_id
    assert answer.text == explained.result.target_id
    return explained


def _reasons(explained):
    return {each.target_id: each.reason for each in explained.excluded}


class TestAgreement:
    def test_next_request_goes_to_the_explained_target(self):
        """Also while a target is at rest, and while another one leaves."""

        async def scenario(cluster, components):
            by_name = {each.name: each for each in cluster.targets}
            keys = [str(key) for key in range(12)]
            for key in keys:
                await _assert_next_request_goes_where_explained(
                    cluster, components, key
                )
            first = _explain(components, route="read", object="0")
            resting = by_name[first.result.target_id]
            resting.retry_after = b"30"
            await cluster.call(headers={"affinity-key": "0"})
            for key in keys:
                explained = await _assert_next_request_goes_where_explained(
                    cluster, components, key
                )
                assert _reasons(explained)[resting.name] == "at rest"
            leaving = by_name[explained.result.target_id]
            cluster.store.put(
                f"servers/{leaving.name}",
                platform_cluster.build_registration(leaving, "draining"),
            )

            async def has_left():
                return components.targets.target_by_id[leaving.name].is_leaving

            await cluster.wait_until(has_left)
            for key in keys:
                explained = await _assert_next_request_goes_where_explained(
                    cluster, components, key
                )
                assert _reasons(explained) == {
                    resting.name: "at rest",
                    leaving.name: "leaving",
                }

        _run(scenario)

    @pytest.mark.parametrize("expects_overload", [False, True])
    def test_random_choices_agree_too(self, expects_overload):
        """Candidates and equal scores are drawn: the draws must agree."""

        async def scenario(cluster, components):
            selection = components.selection
            config = components.active_config.current
            chosen = set()
            for _ in range(50):
                explained = _explain(components, route="bound")
                choice = selection.choose(
                    target_selection.TargetConstraints(
                        config.route_by_id["bound"],
                        "s",
                        b"",
                        frozenset({"n"}),
                    ),
                    components.clock.now(),
                )
                assert explained.result.target_id == choice.target.target_id
                # The listed candidates are those that were drawn.
                assert explained.choice.target_id == choice.target.target_id
                chosen.add(choice.target.target_id)
                choice.target.has_received_requests = True
                choice.target.own_requests_in_flight += 1
            assert len(chosen) > 1

        _run(scenario, expects_overload=expects_overload, targets=6)

    def test_split_rate_and_regions_agree(self):
        async def scenario(cluster, components):
            split = components.runner._service_split
            route = components.active_config.current.route_by_id["split"]
            for _ in range(6):
                explained = _explain(components, route="split")
                assert explained.service_id == split.choose_service(route)
            away = _explain(components, route="away", customer="c")
            answer = await cluster.call(path="/away/1")
            assert away.allowed_regions == ["m"]
            assert set(_reasons(away).values()) == {"region not allowed"}
            code = int(answer.headers["x-chicorydoor-code"])
            assert away.result.code == code
            customer = components.active_config.current.customer_by_id["d"]

            async def has_tokens():
                rate = _explain(components, route="read", customer="d")
                return rate.rate.known.tokens >= 2

            await cluster.wait_until(has_tokens)
            results = []
            while not results or not results[-1]:
                rate = _explain(components, route="read", customer="d")
                decision = await components.rate_limiter.acquire(customer)
                is_refused = decision.wait_s > 0
                assert (rate.result.action == "refuse") is is_refused
                assert (rate.rate.result == "refused") is is_refused
                results.append(is_refused)
            assert len(results) > 2
            known_wait_s = rate.rate.known.wait_s
            assert known_wait_s == pytest.approx(decision.wait_s, abs=0.1)
            assert rate.result.code == 120
            assert 0 < rate.result.retry_after_s <= 4
            # The answer names the target although the rate refuses.
            assert rate.choice is not None

        _run(scenario)


class TestReasons:
    def test_each_excluded_target_has_its_reason(self):
        """An operator searches for the state that is named."""

        async def scenario(cluster, components):
            views = components.targets.target_by_id
            now = components.clock.now()
            reach = target_views.Reach
            components.targets.set_reach(views["t0"], reach.UNREACHABLE)
            components.targets.set_reach(views["t1"], reach.REPLACED)
            limited = views["t2"].incarnation_key
            components.rate_limits.record_response(limited, b"0.1", now, now)
            components.rate_limits.record_sent(limited, now)
            views["t3"].cold_until = now + 60
            components.cold_limits.record_sent("t3", 0.1, now)
            views["t4"].record = msgspec.structs.replace(
                views["t4"].record, domain="nb"
            )
            components.targets.set_evacuated_domains(["nb"], now)
            explained = _explain(components, route="read", object="7")
            expected = {
                "t0": "unreachable",
                "t1": "replaced",
                "t2": "rate limit",
                "t3": "warm-up",
                "t4": "evacuated domain",
            }
            reasons = _reasons(explained)
            assert expected.items() <= reasons.items()
            # The object has three candidates in the region.
            others = set(reasons) - set(expected)
            assert {reasons[other] for other in others} <= {
                "not a candidate of the object"
            }
            candidates = {each.target_id for each in explained.candidates}
            assert candidates | set(reasons) == set(views)
            assert not candidates & set(reasons)

        _run(scenario, targets=10)

    def test_relay_to_a_peer(self):
        """An entry that reaches no target names the peer, not a refusal."""

        async def scenario(cluster, components):
            await cluster.add_entry("e1", seeds=[components.settings.peers])

            async def relays():
                for view in components.targets.target_by_id.values():
                    components.targets.set_reach(
                        view, target_views.Reach.UNREACHABLE
                    )
                return _explain(components, route="read").result.peer == "e1"

            await cluster.wait_until(relays)
            assert _explain(components, route="read").choice is None

        _run(scenario)


def _dump(value, seen=None):
    """Return the attributes of an object, and of its own objects, as text."""
    seen = set() if seen is None else seen
    if isinstance(value, dict):
        return {
            repr(key): _dump(each, seen) for key, each in list(value.items())
        }
    if isinstance(value, list | tuple | set | frozenset):
        return [_dump(each, seen) for each in value]
    if type(value).__module__.startswith("chicorydoor.") and not callable(
        value
    ):
        if id(value) in seen:
            return "seen"
        seen.add(id(value))
        names = [
            *getattr(value, "__dict__", {}),
            *getattr(type(value), "__slots__", ()),
            *getattr(type(value), "__struct_fields__", ()),
        ]
        return {
            name: _dump(getattr(value, name, None), seen)
            for name in names
            if not name.startswith("__")
            # Pure memoization.
            and name != "_candidate_set_by_constraints"
        }
    return repr(value)


def _state(cluster, components):
    metrics = [
        line
        for line in prometheus_client.generate_latest().splitlines()
        if line.startswith(b"chicorydoor_")
    ]
    return {
        "generator": components.rng.getstate(),
        "metrics": metrics,
        "requests": cluster.request_count(),
        "selection": _dump(components.selection),
        "limiter": _dump(components.rate_limiter),
        "split": _dump(components.runner._service_split),
        "budgets": _dump(dict(components.runner._budget_by_service)),
        "relay": _dump(components.relay),
        "crashes": _dump(components.crashes),
        "sender": _dump(components.sender),
    }


class TestNoChange:
    @pytest.mark.parametrize("expects_overload", [False, True])
    def test_state_is_the_same_after_50_calls(
        self, expects_overload, monkeypatch
    ):
        """No rate, counter, random number, request, message or demand."""

        async def scenario(cluster, components):
            for key in range(4):
                await cluster.call(headers={"affinity-key": str(key)})
                await cluster.call(headers={"x-api-key": "key-2"})
                await cluster.call(path="/bound/1")
                await cluster.call(path="/split/1")
            # With a second entry, a pooled rate asks a rate owner.
            await cluster.add_entry("e1", seeds=[components.settings.peers])

            async def knows_peer():
                known = _explain(components, route="read", customer="d")
                return known.rate.result == "asks peers"

            await cluster.wait_until(knows_peer)
            messages = []
            link = components.rate_limiter._link
            monkeypatch.setattr(link, "send", messages.append)
            before = _state(cluster, components)
            for _ in range(50):
                for route in ("read", "bound", "away", "split"):
                    for customer in ("", "c", "d"):
                        for key in ("", "1", "new"):
                            _explain(
                                components,
                                route=route,
                                customer=customer,
                                object=key,
                                deadline_ms=300,
                            )
            assert _state(cluster, components) == before
            assert messages == []
            monkeypatch.undo()
            # The dump sees what a real decision changes.
            components.runner._service_split.choose_service(
                components.active_config.current.route_by_id["split"]
            )
            changed = _state(cluster, components)
            assert changed["split"] != before["split"]

        _run(scenario, expects_overload=expects_overload)


class TestCommand:
    def test_answers_and_errors(self, capsys):
        """A script relies on the exit codes, a person on the message."""

        async def scenario(cluster, components):
            entry = f"127.0.0.1:{components.settings.metrics_port}"

            async def call(*arguments, address=entry):
                code = await asyncio.to_thread(
                    main.main, ["explain", "--entry", address, *arguments]
                )
                captured = capsys.readouterr()
                return code, captured.out, captured.err

            by_path = ["--host", "shop.example", "--path", "/read/1"]
            by_path += ["--customer", "c", "--object", "7"]
            code, text, _ = await call(*by_path, "--deadline-ms", "200")
            assert code == exit_codes.ExitCode.OK
            code, document, _ = await call(*by_path, "--json")
            assert code == exit_codes.ExitCode.OK
            target = json.loads(document)["result"]["target_id"]
            assert target == (await cluster.call()).text
            assert f"would be sent to {target}" in text
            codes = exit_codes.ExitCode
            for arguments, expected_code, message in (
                (["--route", "none"], codes.REFUSED, "no route 'none'"),
                (
                    ["--host", "shop.example", "--path", "/other/"],
                    codes.REFUSED,
                    "no route for shop.example/other/",
                ),
                (
                    ["--route", "read", "--customer", "x"],
                    codes.REFUSED,
                    "no customer 'x'",
                ),
                (
                    ["--route", "read", "--deadline-ms", "-1"],
                    codes.REFUSED,
                    "deadline_ms is not a whole number",
                ),
            ):
                code, _, error = await call(*arguments)
                assert (code, message in error) == (expected_code, True)
            (free_port,) = port_allocation.allocate_ports(1)
            for address in (
                f"127.0.0.1:{free_port}",
                "127.0.0.1:x",
                components.settings.lookups,
            ):
                code, _, error = await call("--route", "read", address=address)
                assert code == codes.UNREACHABLE
                assert address in error
            metrics = await cluster.client.get(f"http://{entry}/metrics")
            assert "chicorydoor_" in metrics.text

        _run(scenario)

    def test_entry_without_a_configuration(self, capsys):
        async def scenario(cluster):
            settings = platform_cluster.build_settings(
                "e0", cluster.store.endpoint
            )
            cluster.store.remove("op/config")
            cluster.start_entry(settings)
            address = f"127.0.0.1:{settings.metrics_port}"

            async def responds():
                code = await asyncio.to_thread(
                    main.main,
                    ["explain", "--entry", address, "--route", "read"],
                )
                return code == exit_codes.ExitCode.REFUSED

            await cluster.wait_until(responds)
            error = capsys.readouterr().err
            assert "the entry has no configuration yet" in error

        platform_cluster.run(scenario, entries=0)

    def test_host_needs_a_path(self):
        with pytest.raises(SystemExit) as caught:
            main.main(["explain", "--entry", "127.0.0.1:1", "--host", "h"])
        assert caught.value.code == exit_codes.ExitCode.USAGE
