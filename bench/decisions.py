"""Failover of real processes: kills, pauses and a graceful shutdown.

Each measurement prints one line of JSON with the limit it must stay within;
the exit code is 1 if any limit is exceeded.
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

_API_KEY = "cdk_bench"
_RATE_LIMIT_PER_S = 200.0
_DOMAINS = ["d0", "d0", "d1", "d1"]
_OFFERED_RATE_PER_S = 120.0
_TAKEOVER_LIMIT_S = 5.0
_ORDER_COUNT = 2000
_ORDERS_DURATION_S = 20.0
_ATTEMPTS_PER_ORDER = 3


class RequestResult(msgspec.Struct, frozen=True):
    """A request as its caller saw it.

    Args:
        started_at (float): Monotonic time in seconds.
        code (int): Result code, 0 if it was served, -1 without a response.
        outcome (str): Outcome header, or the class of the transport error.
        duration_s (float): Time until the response or the error in seconds.
    """

    started_at: float
    code: int
    outcome: str
    duration_s: float


def _configuration() -> records.Configuration:
    config = records.Configuration()
    config.region_by_id["r"] = records.Region()
    config.service_by_id["svc"] = records.Service(slow_start_s=0.0)
    for domain in ("d0", "d1"):
        config.domain_by_id[domain] = records.Domain("r")
        for index in range(2):
            # The fleet sets address and port; 9 slots, 64 connections.
            config.target_by_id[f"{domain}-t{index}"] = records.Target(
                "svc", domain, "127.0.0.1", 1, 9, 64
            )
    config.customer_by_id["c"] = records.Customer(
        _RATE_LIMIT_PER_S, _RATE_LIMIT_PER_S
    )
    digest = config_snapshot.key_digest(_API_KEY.encode())
    config.key_by_id["k"] = records.Key("c", digest)
    config.route_by_id["work"] = records.Route("svc", "/job", deadline_s=2.0)
    config.policy_by_id["default"] = records.Policy(lookup_ttl_s=1.0)
    return config


async def _get(client: httpx.AsyncClient, endpoint: str) -> RequestResult:
    started_at = time.monotonic()
    try:
        reply = await client.get(
            f"http://{endpoint}/job/x", headers={"x-api-key": _API_KEY}
        )
        code = int(reply.headers["x-chicorydoor-code"])
        outcome = reply.headers["x-chicorydoor-outcome"]
    except httpx.HTTPError as error:
        code, outcome = -1, type(error).__name__
    return RequestResult(
        started_at, code, outcome, time.monotonic() - started_at
    )


async def _send_load(
    endpoints: list[str], rate_per_s: float, duration_s: float, seed: int
) -> list[RequestResult]:
    """Send requests as a Poisson stream, each to a random entry."""
    rng = random.Random(seed)
    results: list[RequestResult] = []
    limits = httpx.Limits(max_connections=500)
    client = httpx.AsyncClient(trust_env=False, timeout=6.0, limits=limits)

    async def send_one(endpoint: str) -> None:
        results.append(await _get(client, endpoint))

    deadline = time.monotonic() + duration_s
    tasks = []
    while time.monotonic() < deadline:
        await asyncio.sleep(rng.expovariate(rate_per_s))
        tasks.append(asyncio.create_task(send_one(rng.choice(endpoints))))
    await asyncio.gather(*tasks)
    await client.aclose()
    return results


def _endpoints(
    entries: processes.ProcessFleet, excluded_instance: str = ""
) -> list[str]:
    return [
        str(settings.callers)
        for instance, settings in entries.settings_by_instance.items()
        if instance != excluded_instance
    ]


def _count_by_code(results: list[RequestResult]) -> dict[str, int]:
    counts = collections.Counter(result.code for result in results)
    return {str(code): count for code, count in sorted(counts.items())}


def _coordinator(entries: processes.ProcessFleet, domain: str) -> str:
    """Return the instance that coordinates a failure domain."""
    for instance in entries.process_by_instance:
        status = entries.status(instance)
        if status and status["domain"] == domain:
            return status["coordinator"]
    raise LookupError(domain)


def _send_load_during(entries, endpoints, duration_s, action, action_after_s):
    """Send load and run an action meanwhile.

    Returns:
        The results and the monotonic time at which the action began.
    """

    async def run_steps():
        load_task = asyncio.create_task(
            _send_load(endpoints, _OFFERED_RATE_PER_S, duration_s, 1)
        )
        await asyncio.sleep(action_after_s)
        acted_at = time.monotonic()
        await asyncio.to_thread(action)
        return await load_task, acted_at

    return uvloop.run(run_steps())


def measure_kill(entries: processes.ProcessFleet) -> bool:
    """Kill a coordinator; its peer must serve all requests again in time."""
    coordinator = _coordinator(entries, "d0")
    process = entries.process_by_instance[coordinator]

    def kill() -> None:
        entries.processes.signal_and_wait(process, signal.SIGKILL)
        del entries.process_by_instance[coordinator]

    results, killed_at = _send_load_during(
        entries, _endpoints(entries, coordinator), 12.0, kill, 3.0
    )
    failures = [result for result in results if result.code != 0]
    last_failure_after_s = max(
        (result.started_at - killed_at for result in failures), default=0.0
    )
    processes.emit(
        "coordinator-killed",
        count_by_code=_count_by_code(results),
        last_refusal_after_s=round(last_failure_after_s, 2),
        target_s=_TAKEOVER_LIMIT_S,
    )
    domain = coordinator.rpartition("-")[0]
    entries.start_entry(coordinator, domain)
    entries.wait_until(entries.all_know_coordinator, "no coordinator")
    entries.wait_until(
        lambda: entries.all_answer("/job/x", _API_KEY), "no answer"
    )
    return last_failure_after_s <= _TAKEOVER_LIMIT_S


def measure_pause(entries: processes.ProcessFleet) -> bool:
    """Pause a coordinator for 5 s under load of twice the rate limit."""
    coordinator = _coordinator(entries, "d1")
    process = entries.process_by_instance[coordinator]

    async def run_steps():
        load_task = asyncio.create_task(
            _send_load(_endpoints(entries), 2 * _RATE_LIMIT_PER_S, 12.0, 2)
        )
        await asyncio.sleep(2.0)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(5.0)
        process.send_signal(signal.SIGCONT)
        return await load_task

    results = uvloop.run(run_steps())
    served_at = sorted(
        result.started_at + result.duration_s
        for result in results
        if result.code == 0
    )
    burst_needed = _burst_needed(served_at)
    processes.emit(
        "coordinator-paused",
        count_by_code=_count_by_code(results),
        burst_needed=round(burst_needed, 1),
        target_burst=_RATE_LIMIT_PER_S,
    )
    return burst_needed <= _RATE_LIMIT_PER_S


def _burst_needed(times: list[float]) -> float:
    """Return the smallest burst of a bucket that admits these requests.

    Args:
        times (list): Times of admission, sorted, in seconds.
    """
    largest = 0.0
    level = 0.0
    previous = times[0]
    for at in times:
        level = max(0.0, level - (at - previous) * _RATE_LIMIT_PER_S) + 1.0
        previous = at
        largest = max(largest, level)
    return largest


def measure_stop(entries: processes.ProcessFleet) -> bool:
    """Shut a coordinator down by SIGTERM; no request may fail.

    Callers repeat their look-ups when the answers expire.
    """
    coordinator = _coordinator(entries, "d0")
    process = entries.process_by_instance[coordinator]
    other_endpoint = _endpoints(entries, coordinator)[0]

    async def run_steps():
        is_signalled = False
        results: list[RequestResult] = []
        client = httpx.AsyncClient(trust_env=False, timeout=6.0)
        lookup_endpoints: list[str] = []
        expires_at = 0.0
        deadline = time.monotonic() + 14.0
        while time.monotonic() < deadline:
            started_at = time.monotonic()
            if started_at >= expires_at:
                reply = await client.get(f"http://{other_endpoint}/v1/lookup")
                answer = reply.json()
                lookup_endpoints = [e["address"] for e in answer["entries"]]
                expires_at = started_at + answer["ttl_s"]
            # 3 s after the start of the load.
            if not is_signalled and started_at > deadline - 11.0:
                is_signalled = True
                process.send_signal(signal.SIGTERM)
            endpoint = lookup_endpoints[len(results) % len(lookup_endpoints)]
            results.append(await _get(client, endpoint))
        await client.aclose()
        return results

    results = uvloop.run(run_steps())
    has_exited = process.poll() is not None
    processes.emit(
        "planned-stop",
        count_by_code=_count_by_code(results),
        failed_target=0,
        process_ended=has_exited,
        exit_code=process.returncode,
    )
    return has_exited and set(_count_by_code(results)) == {"0"}


class _Order(msgspec.Struct):
    """The outcome of each attempt of one order, by request id."""

    outcome_by_id: dict[str, str]


async def _send_orders(endpoints: list[str]) -> list[_Order]:
    """Send orders under issued idempotency keys, each three times."""
    rng = random.Random(4)
    limits = httpx.Limits(max_connections=200)
    client = httpx.AsyncClient(trust_env=False, timeout=6.0, limits=limits)

    async def send_one(number: int) -> _Order:
        order = _Order({})
        await asyncio.sleep(rng.uniform(0.0, _ORDERS_DURATION_S))
        key = None
        while key is None:
            try:
                reply = await client.get(
                    f"http://{rng.choice(endpoints)}/v1/lookup?mint=1"
                )
                (key,) = reply.json()["idempotency_keys"]
            except httpx.HTTPError:
                continue
        for attempt in range(_ATTEMPTS_PER_ORDER):
            request_id = f"order-{number}-{attempt}"
            order.outcome_by_id[request_id] = "no answer"
            headers = {
                "x-api-key": _API_KEY,
                "x-request-id": request_id,
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
            order.outcome_by_id[request_id] = outcome
        return order

    orders = await asyncio.gather(
        *(send_one(number) for number in range(_ORDER_COUNT))
    )
    await client.aclose()
    return list(orders)


def _received_count_by_id(
    entries: processes.ProcessFleet,
) -> collections.Counter[str]:
    """Return how often the targets received each request id."""
    received_count_by_id: collections.Counter[str] = collections.Counter()
    for target in entries.configuration.target_by_id.values():
        url = f"http://{target.address}:{target.port}/standin/seen"
        received_count_by_id.update(
            httpx.get(url, trust_env=False, timeout=10.0).json()
        )
    return received_count_by_id


def measure_orders(entries: processes.ProcessFleet) -> bool:
    """Send repeated orders while the coordinator of each domain is killed."""
    coordinators = [_coordinator(entries, domain) for domain in ("d0", "d1")]

    async def run_steps():
        load_task = asyncio.create_task(_send_orders(_endpoints(entries)))
        for coordinator in coordinators:
            await asyncio.sleep(_ORDERS_DURATION_S / 3)
            process = entries.process_by_instance.pop(coordinator)
            await asyncio.to_thread(
                entries.processes.signal_and_wait, process, signal.SIGKILL
            )
        return await load_task

    orders = uvloop.run(run_steps())
    received_count_by_id = _received_count_by_id(entries)
    run_twice = sum(
        sum(
            received_count_by_id[request_id]
            for request_id in order.outcome_by_id
        )
        > 1
        for order in orders
    )
    count_by_outcome = collections.Counter(
        outcome for order in orders for outcome in order.outcome_by_id.values()
    )
    false_not_run = sum(
        received_count_by_id[request_id] > 0
        for order in orders
        for request_id, outcome in order.outcome_by_id.items()
        if outcome == "not-run"
    )
    processes.emit(
        "orders-repeated",
        orders=len(orders),
        attempts_by_outcome=dict(sorted(count_by_outcome.items())),
        run_twice=run_twice,
        false_not_run=false_not_run,
        target=0,
    )
    for coordinator in coordinators:
        entries.start_entry(coordinator, coordinator.rpartition("-")[0])
    entries.wait_until(entries.all_know_coordinator, "no coordinator")
    entries.wait_until(
        lambda: entries.all_answer("/job/x", _API_KEY), "no answer"
    )
    return run_twice == 0 and false_not_run == 0


def main() -> int:
    """Run all measurements on one fleet and return the exit code."""
    entries = processes.ProcessFleet(_configuration(), _DOMAINS)
    try:
        entries.start_serving("/job/x", _API_KEY)
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
