"""The demo's course of events."""

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
from chicorydoor.demo import promises
from chicorydoor.protocol import ids
from chicorydoor.standins import fleet as fleet_module
from chicorydoor.state import config_folder

_SEED = 7
_WORK_S = 0.01
_ADDRESSES = ("41.90.1.1", "102.140.1.1", "105.160.1.1")
_OVER_RATE = 50.0
_STEADY_RATE = 2.5


class Session:
    """One run of the demo.

    Args:
        folder (Path): Configuration to use.
        console (Console): Where a terminal's table goes.
    """

    def __init__(
        self, folder: pathlib.Path, console: rich.console.Console
    ) -> None:
        configuration = config_folder.read_folder(folder)
        domains = sorted(configuration.domain_by_id)
        self.fleet = fleet_module.LocalFleet(
            configuration, domains + domains[:4], work_s=_WORK_S
        )
        self._console = console
        self._rng = random.Random(_SEED)
        self.journal = callers_module.Journal()
        self.run_record = promises.RunRecord()
        self._callers: list[callers_module.Caller] = []
        self._tasks: list[asyncio.Task] = []
        self._step = "starting"

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def run(self, hold: bool) -> list[promises.Verdict]:
        """Run the demo.

        Args:
            hold (bool): Keep the fleet up until interrupted.
        """
        live = rich.live.Live(console=self._console, refresh_per_second=4)
        with live if self._console.is_terminal else _NoLive():
            showing = asyncio.create_task(self._show(live))
            try:
                await self._course()
                verdicts = promises.check_all(
                    self.fleet, self.journal, self.run_record
                )
                if hold:
                    self._say_where()
                    await asyncio.Event().wait()
            finally:
                showing.cancel()
                await self._end()
        return verdicts

    async def _course(self) -> None:
        await self._start()
        await self._withdraw()
        await self._drain_target()
        await self._stop_entry()
        await self._cut_store()
        await self._finish()

    def _say(self, step: str) -> None:
        self._step = step
        if not self._console.is_terminal:
            self._console.print(step, highlight=False)

    def _say_where(self) -> None:
        entry = list(self.fleet.entry_by_id.values())[-1]
        self._say(
            f"holding; administration {entry.administration.endpoint}, "
            f"callers {entry.callers.endpoint}, token "
            f"{fleet_module.OPERATOR_TOKEN}; end with Ctrl-C"
        )

    async def _start(self) -> None:
        self._say("starting 10 entries in 6 failure domains")
        await self.fleet.start()
        await self.fleet.until(self._all_coordinated, 10.0)
        self._tasks.append(asyncio.create_task(self._watch_revisions()))
        self._say("applying the configuration")
        await self._timed(self.fleet.apply())
        self._say("waiting until slots are out of doubt")
        await self.fleet.until(self._has_slots, 12.0)
        self._say("issuing keys and starting callers")
        await self._start_callers()
        await asyncio.sleep(2.0)

    def _has_slots(self) -> bool:
        """Whether slots are out of doubt in every failure domain."""
        return all(
            entry.parts.coordinator.free_slots() > 0
            for entry in self.fleet.entry_by_id.values()
            if entry.parts.membership.in_office()
        )

    def _all_coordinated(self) -> bool:
        holders = [
            entry.parts.me.domain
            for entry in self.fleet.entry_by_id.values()
            if entry.parts.membership.in_office()
        ]
        return len(holders) == len(self.fleet.configuration.domain_by_id)

    async def _timed(self, change: typing.Awaitable[typing.Any]) -> typing.Any:
        """Await a change and note how long it took to be in force."""
        began_at = self._now()
        result = await change
        self.run_record.in_force_s.append(self._now() - began_at)
        return result

    async def _start_callers(self) -> None:
        names = promises.customers_of(self.fleet.configuration)[:4]
        for index, customer in enumerate([*names, "kivuli"]):
            key = await self._timed(
                self.fleet.issue_key(f"demo-{index}", customer)
            )
            await self._add_caller(customer, key, index)
        await self._add_caller("", "", 0)

    async def _add_caller(self, customer: str, key: str, index: int) -> None:
        entries = [
            entry.callers.endpoint for entry in self.fleet.entry_by_id.values()
        ]
        for address in _ADDRESSES:
            caller = callers_module.Caller(
                self.journal,
                entries,
                address,
                customer,
                key,
                random.Random(self._rng.random()),
            )
            self._callers.append(caller)
            is_over = customer == "kivuli"
            rate = _OVER_RATE / 3 if is_over else _STEADY_RATE
            path = "/vipimo/catalogue/1"
            if customer:
                path = "/ufungaji/visit" if index == 1 else "/vipimo/room"
            self._tasks.append(asyncio.create_task(caller.run(rate, path)))

    async def _watch_revisions(self) -> None:
        seen: dict[ids.InstanceId, list[int]] = {}
        while True:
            for instance, entry in self.fleet.entry_by_id.items():
                if instance not in seen:
                    seen[instance] = []
                    self.run_record.revisions_seen.append(seen[instance])
                seen[instance].append(entry.parts.keeper.snapshot.revision)
            await asyncio.sleep(0.05)

    async def _withdraw(self) -> None:
        self._say("sending orders twice, then withdrawing a key")
        caller = self._callers[0]
        for number in range(10):
            pair = await caller.order_once(
                "/vipimo/order", b"order %d" % number
            )
            self.run_record.repeated.append(pair)
        leaver = self._callers[3 * 2]
        self.run_record.withdrawn_key = leaver.key
        async with self.fleet.admin_client() as client:
            response = await client.delete("/v1/keys/demo-2")
        response.raise_for_status()
        self.run_record.withdrawn_at = self._now()
        await self._timed(self._until_in_force(response))
        await asyncio.sleep(1.0)

    async def _until_in_force(self, response: httpx.Response) -> None:
        revision = response.json()["revision"]
        await self.fleet.until(lambda: self.fleet.in_force(revision), 10.0)

    async def _plan_drain(
        self, drain: str, kind: str, subject: str, in_s: float
    ) -> None:
        starts_at = datetime.datetime.now(datetime.UTC) + datetime.timedelta(
            seconds=in_s
        )
        async with self.fleet.admin_client() as client:
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
        await self._timed(self._until_in_force(response))

    async def _drain_target(self) -> None:
        self._say("planning drains of a target and of a failure domain")
        await self._plan_drain("domain", "domain", "kisumu-b", 12.5)
        busy = max(
            self.fleet.target_by_id,
            key=lambda t: len(self.fleet.target_by_id[t].seen),
        )
        self.run_record.drained_target = busy
        self.run_record.drain_started_at = self._now() + 1.0
        await self._plan_drain("target", "target", busy, 1.0)
        await asyncio.sleep(2.0)

    async def _stop_entry(self) -> None:
        self._say("stopping an entry under load")
        instance = sorted(self.fleet.entry_by_id)[0]
        entry = self.fleet.entry_by_id[instance]
        self.run_record.stop_began_at = self._now()
        await entry.leave()
        self.run_record.stop_ended_at = self._now()
        del self.fleet.entry_by_id[instance]
        self.fleet.list_entries()

    async def _cut_store(self) -> None:
        self._say("cutting the store off; starting an entry meanwhile")
        await self.fleet.store.set_down(True)
        await asyncio.sleep(1.0)
        await self.fleet.add_entry(ids.DomainId("mombasa-a"))
        await asyncio.sleep(3.0)
        self._say("the store is back, and answers from the past")
        self.fleet.store.faults.read_from_past = 2
        await self.fleet.store.set_down(False)
        await asyncio.sleep(3.0)
        self.fleet.store.faults.read_from_past = 0

    async def _finish(self) -> None:
        self._say("ending the callers")
        for task in self._tasks[1:]:
            task.cancel()
        await asyncio.gather(*self._tasks[1:], return_exceptions=True)

    async def _end(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for caller in self._callers:
            await caller.close()
        await self.fleet.stop()

    async def _show(self, live: rich.live.Live) -> None:
        while True:
            if self._console.is_terminal:
                live.update(self._table())
            await asyncio.sleep(0.25)

    def _table(self) -> rich.table.Table:
        table = rich.table.Table(title=self._step, title_justify="left")
        for column in ("entry", "revision", "office", "running", "waiting"):
            table.add_column(column)
        for instance, entry in sorted(self.fleet.entry_by_id.items()):
            status = entry.parts.status()
            office = "yes" if status.coordinator == instance else ""
            table.add_row(
                instance,
                str(status.revision),
                office,
                str(status.running),
                str(status.waiting),
            )
        return table


class _NoLive:
    """Stands in for the table where nobody watches."""

    def __enter__(self) -> None:
        return None

    def __exit__(self, *_: object) -> None:
        return None


def summary(
    verdicts: list[promises.Verdict], journal: callers_module.Journal
) -> bytes:
    """The last line of JSON."""
    codes = journal.count_by_code()
    return msgspec.json.encode(
        {
            "requests": len(journal.records),
            "count_by_code": {str(c): n for c, n in sorted(codes.items())},
            "promises": len(verdicts),
            "broken": sum(verdict.broken > 0 for verdict in verdicts),
            "verdicts": verdicts,
        }
    )
