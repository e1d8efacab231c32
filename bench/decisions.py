"""The decisions on real processes: kills, pauses, a planned stop.

Each measure prints one line of JSON with its target; the exit code is 1 if a
target is missed.
"""

import asyncio
import collections
import random
import signal
import sys
import time

import httpx
import msgspec
import uvloop

from bench import processes
from chicorydoor.protocol import config_records as records
from chicorydoor.state import config_snapshot

_KEY = "cdk_bench"
_RATE = 200.0
_DOMAINS = ["d0", "d0", "d1", "d1"]
_OFFERED_PER_S = 120.0
_TAKEOVER_S = 5.0
_ORDERS = 2000
_ORDERS_S = 20.0
_ATTEMPTS = 3


class Outcome(msgspec.Struct, frozen=True):
    """One request as its caller saw it."""

    at: float
    code: int
    outcome: str
    seconds: float


def _configuration() -> records.Configuration:
    config = records.Configuration()
    config.region_by_id["r"] = records.Region()
    config.service_by_id["svc"] = records.Service(slow_start_s=0.0)
    for domain in ("d0", "d1"):
        config.domain_by_id[domain] = records.Domain("r")
        for index in range(2):
            config.target_by_id[f"{domain}-t{index}"] = records.Target(
                "svc", domain, "127.0.0.1", 1, 9, 64
            )
    config.customer_by_id["c"] = records.Customer(_RATE, _RATE)
    digest = config_snapshot.key_digest(_KEY.encode())
    config.key_by_id["k"] = records.Key("c", digest)
    config.route_by_id["work"] = records.Route("svc", "/job", deadline_s=2.0)
    config.policy_by_id["default"] = records.Policy(lookup_ttl_s=1.0)
    return config


async def _get(client: httpx.AsyncClient, endpoint: str) -> Outcome:
    began = time.monotonic()
    try:
        reply = await client.get(
            f"http://{endpoint}/job/x", headers={"x-api-key": _KEY}
        )
        code = int(reply.headers["x-chicorydoor-code"])
        outcome = reply.headers["x-chicorydoor-outcome"]
    except httpx.HTTPError as error:
        code, outcome = -1, type(error).__name__
    return Outcome(began, code, outcome, time.monotonic() - began)


async def _offer(
    endpoints: list[str], rate: float, duration_s: float, seed: int
) -> list[Outcome]:
    """Requests at random times, spread over entries."""
    rng = random.Random(seed)
    outcomes: list[Outcome] = []
    limits = httpx.Limits(max_connections=500)
    client = httpx.AsyncClient(trust_env=False, timeout=6.0, limits=limits)

    async def one(endpoint: str) -> None:
        outcomes.append(await _get(client, endpoint))

    end = time.monotonic() + duration_s
    tasks = []
    while time.monotonic() < end:
        await asyncio.sleep(rng.expovariate(rate))
        tasks.append(asyncio.create_task(one(rng.choice(endpoints))))
    await asyncio.gather(*tasks)
    await client.aclose()
    return outcomes


def _endpoints(
    entries: processes.ProcessFleet, without: str = ""
) -> list[str]:
    return [
        str(settings.callers)
        for name, settings in entries.settings_by_id.items()
        if name != without
    ]


def _counts(outcomes: list[Outcome]) -> dict[str, int]:
    counted = collections.Counter(o.code for o in outcomes)
    return {str(code): count for code, count in sorted(counted.items())}


def _coordinator(entries: processes.ProcessFleet, domain: str) -> str:
    for name in entries.process_by_id:
        state = entries.status(name)
        if state and state["domain"] == domain:
            return state["coordinator"]
    raise LookupError(domain)


def _offer_during(entries, endpoints, duration_s, action, at_s):
    """Run the load, and an action in its course; returns its time too."""

    async def course():
        load = asyncio.create_task(
            _offer(endpoints, _OFFERED_PER_S, duration_s, 1)
        )
        await asyncio.sleep(at_s)
        acted_at = time.monotonic()
        await asyncio.to_thread(action)
        return await load, acted_at

    return uvloop.run(course())


def measure_kill(entries: processes.ProcessFleet) -> bool:
    """A coordinator is killed; the other instance goes on."""
    victim = _coordinator(entries, "d0")
    process = entries.process_by_id[victim]

    def kill() -> None:
        entries.processes.end(process, signal.SIGKILL)
        del entries.process_by_id[victim]

    outcomes, killed_at = _offer_during(
        entries, _endpoints(entries, victim), 12.0, kill, 3.0
    )
    bad = [o for o in outcomes if o.code != 0]
    last_bad_s = max((o.at - killed_at for o in bad), default=0.0)
    processes.emit(
        "coordinator-killed",
        count_by_code=_counts(outcomes),
        last_refusal_after_s=round(last_bad_s, 2),
        target_s=_TAKEOVER_S,
    )
    domain = victim.rpartition("-")[0]
    entries.add(victim, domain)
    entries.until(entries.coordinated, "no coordinator")
    entries.until(lambda: entries.answers("/job/x", _KEY), "no answer")
    return last_bad_s <= _TAKEOVER_S


def measure_pause(entries: processes.ProcessFleet) -> bool:
    """A coordinator is stopped for 5 s under twice the rate."""
    victim = _coordinator(entries, "d1")
    process = entries.process_by_id[victim]

    async def course():
        load = asyncio.create_task(
            _offer(_endpoints(entries), 2 * _RATE, 12.0, 2)
        )
        await asyncio.sleep(2.0)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(5.0)
        process.send_signal(signal.SIGCONT)
        return await load

    outcomes = uvloop.run(course())
    served = sorted(o.at + o.seconds for o in outcomes if o.code == 0)
    needed = _burst_needed(served)
    processes.emit(
        "coordinator-paused",
        count_by_code=_counts(outcomes),
        burst_needed=round(needed, 1),
        target_burst=_RATE,
    )
    return needed <= _RATE


def _burst_needed(times: list[float]) -> float:
    most = 0.0
    level = 0.0
    previous = times[0]
    for at in times:
        level = max(0.0, level - (at - previous) * _RATE) + 1.0
        previous = at
        most = max(most, level)
    return most


def measure_stop(entries: processes.ProcessFleet) -> bool:
    """SIGTERM to an entry whose callers follow the look-ups."""
    victim = _coordinator(entries, "d0")
    process = entries.process_by_id[victim]
    other = _endpoints(entries, victim)[0]

    async def course():
        stopping = False
        outcomes: list[Outcome] = []
        client = httpx.AsyncClient(trust_env=False, timeout=6.0)
        known: list[str] = []
        expires_at = 0.0
        end = time.monotonic() + 14.0
        while time.monotonic() < end:
            began = time.monotonic()
            if began >= expires_at:
                reply = await client.get(f"http://{other}/v1/lookup")
                answer = reply.json()
                known = [e["address"] for e in answer["entries"]]
                expires_at = began + answer["ttl_s"]
            if not stopping and began > end - 11.0:
                stopping = True
                process.send_signal(signal.SIGTERM)
            endpoint = known[len(outcomes) % len(known)]
            outcomes.append(await _get(client, endpoint))
        await client.aclose()
        return outcomes

    outcomes = uvloop.run(course())
    has_ended = process.poll() is not None
    processes.emit(
        "planned-stop",
        count_by_code=_counts(outcomes),
        failed_target=0,
        process_ended=has_ended,
        exit_code=process.returncode,
    )
    return has_ended and set(_counts(outcomes)) == {"0"}


class _Order(msgspec.Struct):
    """One order's attempts: request id and outcome of each."""

    outcome_by_id: dict[str, str]


async def _send_orders(endpoints: list[str]) -> list[_Order]:
    """Orders under minted keys, each sent three times."""
    rng = random.Random(4)
    limits = httpx.Limits(max_connections=200)
    client = httpx.AsyncClient(trust_env=False, timeout=6.0, limits=limits)

    async def one(number: int) -> _Order:
        order = _Order({})
        await asyncio.sleep(rng.uniform(0.0, _ORDERS_S))
        key = None
        while key is None:
            try:
                reply = await client.get(
                    f"http://{rng.choice(endpoints)}/v1/lookup?mint=1"
                )
                (key,) = reply.json()["idempotency_keys"]
            except httpx.HTTPError:
                continue
        for attempt in range(_ATTEMPTS):
            name = f"order-{number}-{attempt}"
            order.outcome_by_id[name] = "no answer"
            headers = {
                "x-api-key": _KEY,
                "x-request-id": name,
                "idempotency-key": key,
            }
            try:
                reply = await client.post(
                    f"http://{rng.choice(endpoints)}/job/order",
                    headers=headers,
                    content=b"fabric",
                )
            except httpx.HTTPError:
                continue
            outcome = reply.headers["x-chicorydoor-outcome"]
            order.outcome_by_id[name] = outcome
        return order

    orders = await asyncio.gather(*(one(n) for n in range(_ORDERS)))
    await client.aclose()
    return list(orders)


def _seen(entries: processes.ProcessFleet) -> collections.Counter[str]:
    seen: collections.Counter[str] = collections.Counter()
    for target in entries.configuration.target_by_id.values():
        url = f"http://{target.address}:{target.port}/standin/seen"
        seen.update(httpx.get(url, trust_env=False, timeout=10.0).json())
    return seen


def measure_orders(entries: processes.ProcessFleet) -> bool:
    """Repeated orders while an entry of each domain is killed."""
    victims = [_coordinator(entries, domain) for domain in ("d0", "d1")]

    async def course():
        sending = asyncio.create_task(_send_orders(_endpoints(entries)))
        for victim in victims:
            await asyncio.sleep(_ORDERS_S / 3)
            process = entries.process_by_id.pop(victim)
            await asyncio.to_thread(
                entries.processes.end, process, signal.SIGKILL
            )
        return await sending

    orders = uvloop.run(course())
    seen = _seen(entries)
    twice = sum(
        sum(seen[name] for name in order.outcome_by_id) > 1 for order in orders
    )
    outcomes = collections.Counter(
        outcome for order in orders for outcome in order.outcome_by_id.values()
    )
    false_not_run = sum(
        seen[name] > 0
        for order in orders
        for name, outcome in order.outcome_by_id.items()
        if outcome == "not-run"
    )
    processes.emit(
        "orders-repeated",
        orders=len(orders),
        attempts_by_outcome=dict(sorted(outcomes.items())),
        run_twice=twice,
        false_not_run=false_not_run,
        target=0,
    )
    for victim in victims:
        entries.add(victim, victim.rpartition("-")[0])
    entries.until(entries.coordinated, "no coordinator")
    entries.until(lambda: entries.answers("/job/x", _KEY), "no answer")
    return twice == 0 and false_not_run == 0


def main() -> int:
    """Run all measures on one fleet."""
    entries = processes.ProcessFleet(_configuration(), _DOMAINS)
    try:
        entries.ready("/job/x", _KEY)
        results = [
            measure_kill(entries),
            measure_orders(entries),
            measure_pause(entries),
            measure_stop(entries),
        ]
    finally:
        entries.close()
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
