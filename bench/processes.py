"""Starts and ends the processes that a measurement needs."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import httpx
import msgspec

from chicorydoor.protocol import config_records as records
from chicorydoor.protocol import settings as settings_module
from chicorydoor.standins import fleet

_START_S = 30.0


class Processes:
    """Child processes of one measurement, ended by id.

    Args:
        core (int): The core that pinned processes run on. Defaults to 1.
    """

    def __init__(self, core: int = 1) -> None:
        self._core = core
        self._running: list[subprocess.Popen] = []
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)

    def start(self, *words: str, pinned: bool = False) -> subprocess.Popen:
        """Start ``python -m WORDS``."""
        process = subprocess.Popen([sys.executable, "-m", *words])
        if pinned:
            os.sched_setaffinity(process.pid, {self._core})
        self._running.append(process)
        return process

    def end(self, process: subprocess.Popen, number: int = 9) -> None:
        """Signal a process and wait for its end."""
        process.send_signal(number)
        process.wait(timeout=60)
        self._running.remove(process)

    def close(self) -> None:
        """End everything."""
        for process in self._running:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._running:
            process.wait(timeout=10)
        self._folder.cleanup()


class ProcessFleet:
    """Entries as processes, with a store stand-in and targets.

    Args:
        configuration (Configuration): Its targets get processes.
        domains (list): Failure domain of each entry.
        timing (Timing): Of all entries.
        target_words (tuple): Module and arguments that run a target; the
            port follows. Defaults to the stand-in.
        pinned (bool): Whether the entries share a core. Defaults to False.
    """

    def __init__(
        self,
        configuration: records.Configuration,
        domains: list[str],
        timing: settings_module.Timing | None = None,
        target_words: tuple[str, ...] = (
            "chicorydoor",
            "standin",
            "target",
            "--slots",
            "9",
            "--port",
        ),
        pinned: bool = False,
    ) -> None:
        self.processes = Processes()
        self.configuration = configuration
        self._timing = timing or settings_module.Timing()
        self._target_words = target_words
        self._pinned = pinned
        self.settings_by_id: dict[str, settings_module.Settings] = {}
        self.process_by_id: dict[str, subprocess.Popen] = {}
        self.store_port = fleet.free_port()
        self.processes.start(
            "chicorydoor", "standin", "store", "--port", str(self.store_port)
        )
        self._start_targets()
        for number, domain in enumerate(domains, start=1):
            self.add(f"{domain}-{number}", domain)

    def _start_targets(self) -> None:
        targets = self.configuration.target_by_id
        for target_id, record in list(targets.items()):
            port = fleet.free_port()
            self.processes.start(*self._target_words, str(port))
            targets[target_id] = msgspec.structs.replace(
                record, address="127.0.0.1", port=port
            )

    def add(self, instance: str, domain: str) -> None:
        """Start an entry, or start one again."""
        settings = self.settings_by_id.get(instance)
        if settings is None:
            settings = self._settings(instance, domain)
            self.settings_by_id[instance] = settings
        path = self.processes.folder / f"{instance}.json"
        path.write_bytes(msgspec.json.encode(settings))
        self.process_by_id[instance] = self.processes.start(
            "chicorydoor",
            "entry",
            "--settings",
            str(path),
            pinned=self._pinned,
        )

    def _settings(
        self, instance: str, domain: str
    ) -> settings_module.Settings:
        peers = [
            settings_module.Peer(s.instance, s.domain, s.peer)
            for s in self.settings_by_id.values()
        ]
        base = fleet.entry_settings(
            instance,
            domain,
            f"127.0.0.1:{self.store_port}",
            None,
            peers,
            self._timing,
        )
        ports = [
            settings_module.Endpoint("127.0.0.1", fleet.free_port())
            for _ in range(2)
        ]
        return msgspec.structs.replace(
            base,
            callers=ports[0],
            administration=ports[1],
            log_level="WARNING",
        )

    def admin(self, instance: str | None = None) -> httpx.Client:
        """A client of an entry's administration API."""
        chosen = instance or next(iter(self.process_by_id))
        endpoint = self.settings_by_id[chosen].administration
        return httpx.Client(
            base_url=f"http://{endpoint}",
            headers={"authorization": f"Bearer {fleet.OPERATOR_TOKEN}"},
            timeout=10.0,
            trust_env=False,
        )

    def status(self, instance: str) -> dict | None:
        """An entry's status, or None while it does not answer."""
        with self.admin(instance) as client:
            try:
                return client.get("/v1/status").json()
            except httpx.HTTPError:
                return None

    def until(self, condition, what: str) -> float:
        """Wait for a condition; returns the seconds."""
        start = time.monotonic()
        while not condition():
            if time.monotonic() - start > _START_S:
                raise TimeoutError(what)
            time.sleep(0.05)
        return time.monotonic() - start

    def coordinated(self) -> bool:
        """Whether every entry follows a coordinator."""
        states = [self.status(name) for name in self.process_by_id]
        return all(state and state["coordinator"] for state in states)

    def in_force(self, revision: int) -> bool:
        """Whether a revision is in force at every entry."""
        states = [self.status(name) for name in self.process_by_id]
        return all(s and s["revision"] >= revision for s in states)

    def apply(self) -> int:
        """Apply the configuration through the first entry."""
        documents = msgspec.to_builtins(self.configuration)
        with self.admin() as client:
            view = client.get("/v1/configuration").json()
            body = {"base": view["revision"], "documents": documents}
            reply = client.post("/v1/configuration", json=body)
            reply.raise_for_status()
        return reply.json()["revision"]

    def ready(self, work_path: str, key: str = "") -> None:
        """Start up to where requests are answered."""
        self.until(self.coordinated, "no coordinator")
        revision = self.apply()
        self.until(lambda: self.in_force(revision), "not in force")
        self.until(
            lambda: self.answers(work_path, key), "no request is answered"
        )

    def answers(self, path: str, key: str) -> bool:
        """Whether every entry answers a request."""
        headers = {"x-api-key": key} if key else {}
        for settings in self.settings_by_id.values():
            url = f"http://{settings.callers}{path}"
            try:
                reply = httpx.get(url, headers=headers, trust_env=False)
            except httpx.HTTPError:
                return False
            if reply.headers.get("x-chicorydoor-code") != "0":
                return False
        return True

    def close(self) -> None:
        """End everything."""
        self.processes.close()


def cpu_seconds(process: subprocess.Popen) -> float:
    """Processor time that a process has used."""
    stat = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_bytes(process: subprocess.Popen) -> int:
    """Resident memory of a process."""
    statm = pathlib.Path(f"/proc/{process.pid}/statm").read_text()
    return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")


def emit(measure: str, **figures: object) -> None:
    """Print one result as a line of JSON."""
    print(json.dumps({"measure": measure, **figures}), flush=True)
