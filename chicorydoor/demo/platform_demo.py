"""Demo of entry processes on stand-ins of the platform's store and targets.

It injects faults under load and checks the promises.
"""

import asyncio
import itertools
import pathlib
import random
import signal
import tempfile

import httpx

from chicorydoor.demo import promise_checks
from chicorydoor.platform import documents
from chicorydoor.standins import platform_site
from chicorydoor.standins import platform_store

_CALLER_COUNT = 6
_CALL_INTERVAL_S = 0.01
# Longest time until an operator's change is in force.
_IN_FORCE_LIMIT_S = 2.5


class _Traffic:
    """Sends reads and orders, and records the status of each response.

    Args:
        site (PlatformSite): Fleet under test: entries, store and targets.
    """

    def __init__(self, site: platform_site.PlatformSite) -> None:
        self._site = site
        self._request_numbers = itertools.count()
        self._rng = random.Random(1)
        self.status_by_order: dict[str, int] = {}
        self.statuses: list[int] = []
        self.unanswered_count = 0
        self.is_stopped = False

    async def run(self) -> None:
        """Send requests until ``is_stopped`` is set."""
        while not self.is_stopped:
            await self._call()
            await asyncio.sleep(_CALL_INTERVAL_S)

    async def _call(self) -> None:
        request_id = f"request-{next(self._request_numbers)}"
        entry = self._rng.choice(self._site.entries)
        is_order = self._rng.random() < 0.5
        method, path = ("POST", "/order/") if is_order else ("GET", "/read/")
        path += str(self._rng.randrange(20))
        try:
            answer = await self._site.call(entry, method, path, request_id)
        except httpx.HTTPError:
            self.unanswered_count += 1
            return
        self.statuses.append(answer.status_code)
        if is_order:
            self.status_by_order[request_id] = answer.status_code


async def run_demo() -> list[promise_checks.Verdict]:
    """Run the demo and return the verdicts."""
    with tempfile.TemporaryDirectory() as folder:
        site = platform_site.PlatformSite(pathlib.Path(folder))
        await site.start()
        try:
            return await _run_steps(site)
        finally:
            await site.stop()


async def _run_steps(
    site: platform_site.PlatformSite,
) -> list[promise_checks.Verdict]:
    """Run all steps under load and return the verdicts."""
    traffic = _Traffic(site)
    callers = [
        asyncio.create_task(traffic.run()) for _ in range(_CALLER_COUNT)
    ]
    await asyncio.sleep(1.0)
    served_in_outage = await _interrupt_store(site, traffic)
    late_request_count = await _drain_target(site)
    statuses_after_withdrawal = await _withdraw_key(site)
    unanswered_count_before = traffic.unanswered_count
    exit_code = await _stop_and_restart_entry(site)
    unanswered_during_stop = traffic.unanswered_count - unanswered_count_before
    await _kill_and_restart_entry(site)
    traffic.is_stopped = True
    await asyncio.gather(*callers)
    return [
        *_check_requests(site, traffic),
        promise_checks.Verdict(
            "an outage of the store stops no request",
            f"{served_in_outage} requests served meanwhile",
            int(not served_in_outage),
        ),
        promise_checks.Verdict(
            "a leaving target gets no new work",
            f"{late_request_count} requests after {_IN_FORCE_LIMIT_S} s",
            late_request_count,
        ),
        promise_checks.Verdict(
            "a withdrawn key stops working within seconds",
            f"answers {sorted(statuses_after_withdrawal)}",
            int(statuses_after_withdrawal != {401}),
        ),
        promise_checks.Verdict(
            "a planned stop cuts no request",
            f"{unanswered_during_stop} cut, exit code {exit_code}",
            unanswered_during_stop + int(exit_code != 0),
        ),
    ]


def _check_requests(
    site: platform_site.PlatformSite, traffic: _Traffic
) -> list[promise_checks.Verdict]:
    """Return the verdicts on the requests that callers sent."""
    run_count_by_request = site.run_count_by_request()
    run_twice = [
        name
        for name in traffic.status_by_order
        if run_count_by_request.get(name, 0) > 1
    ]
    # Status 429 or 503 tells the caller that no target ran the order.
    untrue_refusals = [
        name
        for name, status in traffic.status_by_order.items()
        if status in (429, 503) and run_count_by_request.get(name, 0)
    ]
    executions = [
        execution for target in site.targets for execution in target.executions
    ]
    customers = {execution.customer for execution in executions}
    has_seen_key = any(execution.has_key for execution in executions)
    return [
        promise_checks.Verdict(
            "an order runs at most once",
            f"{len(traffic.status_by_order)} orders, {len(run_twice)} twice",
            len(run_twice),
        ),
        promise_checks.Verdict(
            "a refusal that says not run is true",
            f"{len(untrue_refusals)} untrue",
            len(untrue_refusals),
        ),
        promise_checks.Verdict(
            "requests run for the customer of their key, without the key",
            f"customers {sorted(customers)}",
            int(customers != {platform_site.CUSTOMER} or has_seen_key),
        ),
    ]


async def _interrupt_store(
    site: platform_site.PlatformSite, traffic: _Traffic
) -> int:
    """Silence the store for 1.5 s; return the requests served meanwhile."""
    before = traffic.statuses.count(200)
    site.store.failure_mode = platform_store.FailureMode.SILENT
    await asyncio.sleep(1.5)
    site.store.failure_mode = platform_store.FailureMode.NORMAL
    served = traffic.statuses.count(200) - before
    await asyncio.sleep(_IN_FORCE_LIMIT_S)
    return served


async def _drain_target(site: platform_site.PlatformSite) -> int:
    """Drain a target; return how many requests it gets after the limit."""
    target = site.targets[0]
    target.register(site.store, "draining")
    await asyncio.sleep(_IN_FORCE_LIMIT_S)
    before = len(target.executions)
    await asyncio.sleep(0.5)
    late_executions = len(target.executions) - before
    target.register(site.store)
    return late_executions


async def _withdraw_key(site: platform_site.PlatformSite) -> set[int]:
    """Withdraw a key; return the statuses that its use yields afterwards."""
    customer = platform_site.build_customer(
        platform_site.CUSTOMER, [platform_site.CUSTOMER_KEY]
    )
    # Revision 2 lists only one key of the customer, not "other-key".
    value = platform_site.build_configuration(2, [customer])
    site.store.put(documents.CONFIGURATION_KEY, value)
    await asyncio.sleep(_IN_FORCE_LIMIT_S)
    answers = [
        await site.call(entry, "GET", "/read/1", "withdrawn", "other-key")
        for entry in site.entries
    ]
    return {answer.status_code for answer in answers}


async def _stop_and_restart_entry(site: platform_site.PlatformSite) -> int:
    """Restart an entry by SIGTERM; return its exit code."""
    entry = site.entries.pop()
    entry.send_signal(signal.SIGTERM)
    exit_code = await entry.wait()
    await entry.start()
    site.entries.append(entry)
    return exit_code


async def _kill_and_restart_entry(site: platform_site.PlatformSite) -> None:
    entry = site.entries[0]
    entry.send_signal(signal.SIGKILL)
    await entry.wait()
    await entry.start()
    await asyncio.sleep(0.5)
