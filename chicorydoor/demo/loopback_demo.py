"""Demo on a loopback fleet: steps, display and summary."""

import asyncio
import datetime
import pathlib
import random
import typing

import httpx
import msgspec
import rich.console
import rich.live
import rich.table

from chicorydoor.demo import callers as callers_module
from chicorydoor.demo import promise_checks
from chicorydoor.protocol import ids
from chicorydoor.standins import local_fleet
from chicorydoor.state import config_folder

_RANDOM_SEED = 7
_TARGET_WORK_S = 0.01
# One address in each region's client blocks of the example configuration.
_CLIENT_ADDRESSES = ("41.90.1.1", "102.140.1.1", "105.160.1.1")
_OVERLOAD_RATE_PER_S = 50.0
_STEADY_RATE_PER_S = 2.5


class DemoRun:
    """A run of the demo.

    Args:
        folder (Path): Configuration folder.
        console (Console): Shows a live table on a terminal, else the steps.
    """

    def __init__(
        self, folder: pathlib.Path, console: rich.console.Console
    ) -> None:
        configuration = config_folder.read_folder(folder)
        domains = sorted(configuration.domain_by_id)
        # Four of the domains get a second entry.
        self.fleet = local_fleet.LocalFleet(
            configuration, domains + domains[:4], work_s=_TARGET_WORK_S
        )
        self._console = console
        self._rng = random.Random(_RANDOM_SEED)
        self.request_log = callers_module.RequestLog()
        self.run_record = promise_checks.RunRecord()
        self._callers: list[callers_module.Caller] = []
        self._tasks: list[asyncio.Task] = []
        self._step = "starting"

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def run(self, hold: bool) -> list[promise_checks.Verdict]:
        """Run all steps and return the verdicts.

        Args:
            hold (bool): Whether to keep the fleet running afterwards until
                interrupted.
        """
        display = rich.live.Live(console=self._console, refresh_per_second=4)
        with display if self._console.is_terminal else _NoDisplay():
            display_task = asyncio.create_task(self._refresh_display(display))
            try:
                await self._run_steps()
                verdicts = promise_checks.check_all(
                    self.fleet, self.request_log, self.run_record
                )
                if hold:
                    self._announce_addresses()
                    await asyncio.Event().wait()
            finally:
                display_task.cancel()
                await self._shut_down()
        return verdicts

    async def _run_steps(self) -> None:
        await self._start_fleet()
        await self._withdraw_key()
        await self._drain_target()
        await self._stop_entry()
        await self._interrupt_store()
        await self._stop_callers()

    def _announce_step(self, step: str) -> None:
        self._step = step
        if not self._console.is_terminal:
            self._console.print(step, highlight=False)

    def _announce_addresses(self) -> None:
        entry = list(self.fleet.entry_by_id.values())[-1]
        self._announce_step(
            f"holding; administration {entry.administration.endpoint}, "
            f"callers {entry.callers.endpoint}, token "
            f"{local_fleet.OPERATOR_TOKEN}; end with Ctrl-C"
        )

    async def _start_fleet(self) -> None:
        self._announce_step("starting 10 entries in 6 failure domains")
        await self.fleet.start()
        await self.fleet.wait_until(self._has_all_coordinators, 10.0)
        self._tasks.append(asyncio.create_task(self._record_revisions()))
        self._announce_step("applying the configuration")
        await self._record_activation_time(self.fleet.apply_configuration())
        self._announce_step("waiting until slots are out of doubt")
        await self.fleet.wait_until(self._all_have_free_slots, 12.0)
        self._announce_step("issuing keys and starting callers")
        await self._start_callers()
        await asyncio.sleep(2.0)

    def _all_have_free_slots(self) -> bool:
        """Whether every coordinator has slots that it may grant.

        Slots that may still be held under an earlier grant are not counted.
        """
        return all(
            entry.parts.coordinator.count_free_slots() > 0
            for entry in self.fleet.entry_by_id.values()
            if entry.parts.membership.is_coordinator()
        )

    def _has_all_coordinators(self) -> bool:
        """Whether every failure domain has a coordinator."""
        domains = [
            entry.parts.own_member.domain
            for entry in self.fleet.entry_by_id.values()
            if entry.parts.membership.is_coordinator()
        ]
        return len(domains) == len(self.fleet.configuration.domain_by_id)

    async def _record_activation_time(
        self, change: typing.Awaitable[typing.Any]
    ) -> typing.Any:
        """Await a change and record how long it took to be active."""
        started_at = self._now()
        result = await change
        self.run_record.activation_times_s.append(self._now() - started_at)
        return result

    async def _start_callers(self) -> None:
        # The last customer exceeds its rate limit.
        customers = promise_checks.customers_by_rate(self.fleet.configuration)[
            :4
        ]
        for index, customer in enumerate([*customers, "kivuli"]):
            api_key = await self._record_activation_time(
                self.fleet.issue_key(f"demo-{index}", customer)
            )
            await self._add_callers(customer, api_key, index)
        await self._add_callers("", "", 0)

    async def _add_callers(
        self, customer: str, api_key: str, index: int
    ) -> None:
        entries = [
            entry.callers.endpoint for entry in self.fleet.entry_by_id.values()
        ]
        for address in _CLIENT_ADDRESSES:
            caller = callers_module.Caller(
                self.request_log,
                entries,
                address,
                customer,
                api_key,
                random.Random(self._rng.random()),
            )
            self._callers.append(caller)
            exceeds_rate = customer == "kivuli"
            rate_per_s = (
                _OVERLOAD_RATE_PER_S / 3
                if exceeds_rate
                else _STEADY_RATE_PER_S
            )
            # The open route needs no key.
            path = "/vipimo/catalogue/1"
            if customer:
                path = "/ufungaji/visit" if index == 1 else "/vipimo/room"
            self._tasks.append(
                asyncio.create_task(caller.run(rate_per_s, path))
            )

    async def _record_revisions(self) -> None:
        """Sample the active revision of every entry until cancelled."""
        revisions_by_instance: dict[ids.InstanceId, list[int]] = {}
        while True:
            for instance, entry in self.fleet.entry_by_id.items():
                if instance not in revisions_by_instance:
                    revisions_by_instance[instance] = []
                    self.run_record.sampled_revisions.append(
                        revisions_by_instance[instance]
                    )
                revisions_by_instance[instance].append(
                    entry.parts.active_revision.snapshot.revision
                )
            await asyncio.sleep(0.05)

    async def _withdraw_key(self) -> None:
        self._announce_step("sending orders twice, then withdrawing a key")
        caller = self._callers[0]
        for number in range(10):
            attempts = await caller.send_order_twice(
                "/vipimo/order", b"order %d" % number
            )
            self.run_record.repeated_orders.append(attempts)
        # Each key has three callers, one for each client address.
        withdrawn_caller = self._callers[3 * 2]
        self.run_record.withdrawn_key = withdrawn_caller.api_key
        async with self.fleet.create_admin_client() as client:
            response = await client.delete("/v1/keys/demo-2")
        response.raise_for_status()
        self.run_record.withdrawn_at = self._now()
        await self._record_activation_time(self._wait_until_active(response))
        await asyncio.sleep(1.0)

    async def _wait_until_active(self, response: httpx.Response) -> None:
        revision = response.json()["revision"]
        await self.fleet.wait_until(
            lambda: self.fleet.all_entries_use(revision), 10.0
        )

    async def _plan_drain(
        self, drain: str, kind: str, subject: str, delay_s: float
    ) -> None:
        starts_at = datetime.datetime.now(datetime.UTC) + datetime.timedelta(
            seconds=delay_s
        )
        async with self.fleet.create_admin_client() as client:
            response = await client.post(
                "/v1/drains",
                json={
                    "drain": drain,
                    "kind": kind,
                    "subject": subject,
                    "starts_at": starts_at.isoformat(),
                },
            )
        response.raise_for_status()
        await self._record_activation_time(self._wait_until_active(response))

    async def _drain_target(self) -> None:
        self._announce_step(
            "planning drains of a target and of a failure domain"
        )
        await self._plan_drain("domain", "domain", "kisumu-b", 12.5)
        busiest = max(
            self.fleet.target_by_id,
            key=lambda target_id: len(
                self.fleet.target_by_id[target_id].received_requests
            ),
        )
        self.run_record.drained_target = busiest
        self.run_record.drain_started_at = self._now() + 1.0
        await self._plan_drain("target", "target", busiest, 1.0)
        await asyncio.sleep(2.0)

    async def _stop_entry(self) -> None:
        self._announce_step("stopping an entry under load")
        instance = sorted(self.fleet.entry_by_id)[0]
        entry = self.fleet.entry_by_id[instance]
        self.run_record.stop_began_at = self._now()
        await entry.drain_and_stop()
        self.run_record.stop_ended_at = self._now()
        del self.fleet.entry_by_id[instance]
        self.fleet.update_instance_list()

    async def _interrupt_store(self) -> None:
        self._announce_step(
            "cutting the store off; starting an entry meanwhile"
        )
        await self.fleet.store.set_unavailable(True)
        await asyncio.sleep(1.0)
        await self.fleet.add_entry(ids.DomainId("mombasa-a"))
        await asyncio.sleep(3.0)
        self._announce_step("the store is back, and answers from the past")
        self.fleet.store.faults.stale_changes = 2
        await self.fleet.store.set_unavailable(False)
        await asyncio.sleep(3.0)
        self.fleet.store.faults.stale_changes = 0

    async def _stop_callers(self) -> None:
        self._announce_step("ending the callers")
        # The first task samples the revisions until the fleet shuts down.
        for task in self._tasks[1:]:
            task.cancel()
        await asyncio.gather(*self._tasks[1:], return_exceptions=True)

    async def _shut_down(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for caller in self._callers:
            await caller.close()
        await self.fleet.stop()

    async def _refresh_display(self, display: rich.live.Live) -> None:
        while True:
            if self._console.is_terminal:
                display.update(self._status_table())
            await asyncio.sleep(0.25)

    def _status_table(self) -> rich.table.Table:
        table = rich.table.Table(title=self._step, title_justify="left")
        for column in ("entry", "revision", "office", "running", "waiting"):
            table.add_column(column)
        for instance, entry in sorted(self.fleet.entry_by_id.items()):
            status = entry.parts.status()
            coordinator_mark = "yes" if status.coordinator == instance else ""
            table.add_row(
                instance,
                str(status.revision),
                coordinator_mark,
                str(status.running),
                str(status.waiting),
            )
        return table


class _NoDisplay:
    """Replaces the live table when the output is no terminal."""

    def __enter__(self) -> None:
        return None

    def __exit__(self, *_: object) -> None:
        return None


def encode_summary(
    verdicts: list[promise_checks.Verdict],
    request_log: callers_module.RequestLog,
) -> bytes:
    """Return the summary as JSON, the last line of the demo's output."""
    count_by_code = request_log.count_by_code()
    return msgspec.json.encode(
        {
            "requests": len(request_log.records),
            "count_by_code": {
                str(code): count
                for code, count in sorted(count_by_code.items())
            },
            "promises": len(verdicts),
            "broken": sum(verdict.broken > 0 for verdict in verdicts),
            "verdicts": verdicts,
        }
    )
