"""Starts and stops the processes of a benchmark, and reads their usage."""

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
from chicorydoor.standins import local_fleet

_WAIT_TIMEOUT_S = 30.0


class ChildProcesses:
    """Starts, signals and ends the child processes of a benchmark.

    Args:
        cpu_core (int): CPU core of pinned processes. Defaults to 1.
    """

    def __init__(self, cpu_core: int = 1) -> None:
        self._cpu_core = cpu_core
        self._running: list[subprocess.Popen] = []
        self._temporary_folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary_folder.name)

    def start(
        self, *module_arguments: str, is_pinned: bool = False
    ) -> subprocess.Popen:
        """Start ``python -m`` with a module and its arguments."""
        process = subprocess.Popen([sys.executable, "-m", *module_arguments])
        if is_pinned:
            os.sched_setaffinity(process.pid, {self._cpu_core})
        self._running.append(process)
        return process

    def signal_and_wait(
        self, process: subprocess.Popen, signal_number: int = 9
    ) -> None:
        """Send a signal and wait up to 60 s for the process to exit.

        Args:
            process (Popen): Process that ``start`` returned.
            signal_number (int): Defaults to 9, SIGKILL.
        """
        process.send_signal(signal_number)
        process.wait(timeout=60)
        self._running.remove(process)

    def close(self) -> None:
        """Kill all running processes and remove the folder."""
        for process in self._running:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._running:
            process.wait(timeout=10)
        self._temporary_folder.cleanup()


class ProcessFleet:
    """Entry processes with a stand-in of the store and target processes.

    Instance ids are the failure domain, a hyphen and a number.

    Args:
        configuration (Configuration): A process starts for each of its
            targets.
        domains (list): Failure domain of each entry.
        timing (Timing): Timing of all entries. Defaults to the defaults of
            ``Timing``.
        target_command (tuple): Module and arguments that run a target; the
            port is appended. Defaults to the stand-in.
        is_pinned (bool): Whether all entries run on one CPU core. Defaults
            to False.
    """

    def __init__(
        self,
        configuration: records.Configuration,
        domains: list[str],
        timing: settings_module.Timing | None = None,
        target_command: tuple[str, ...] = (
            "chicorydoor",
            "standin",
            "target",
            "--slots",
            "9",
            "--port",
        ),
        is_pinned: bool = False,
    ) -> None:
        self.processes = ChildProcesses()
        self.configuration = configuration
        self._timing = timing or settings_module.Timing()
        self._target_command = target_command
        self._is_pinned = is_pinned
        self.settings_by_instance: dict[
            str, settings_module.EntrySettings
        ] = {}
        self.process_by_instance: dict[str, subprocess.Popen] = {}
        self.store_port = local_fleet.find_free_port()
        self.processes.start(
            "chicorydoor", "standin", "store", "--port", str(self.store_port)
        )
        self._start_targets()
        for number, domain in enumerate(domains, start=1):
            self.start_entry(f"{domain}-{number}", domain)

    def _start_targets(self) -> None:
        targets = self.configuration.target_by_id
        for target_id, record in list(targets.items()):
            port = local_fleet.find_free_port()
            self.processes.start(*self._target_command, str(port))
            targets[target_id] = msgspec.structs.replace(
                record, address="127.0.0.1", port=port
            )

    def start_entry(self, instance: str, domain: str) -> None:
        """Start an entry; with the same settings if it was started before."""
        settings = self.settings_by_instance.get(instance)
        if settings is None:
            settings = self._entry_settings(instance, domain)
            self.settings_by_instance[instance] = settings
        path = self.processes.folder / f"{instance}.json"
        path.write_bytes(msgspec.json.encode(settings))
        self.process_by_instance[instance] = self.processes.start(
            "chicorydoor",
            "entry",
            "--settings",
            str(path),
            is_pinned=self._is_pinned,
        )

    def _entry_settings(
        self, instance: str, domain: str
    ) -> settings_module.EntrySettings:
        peers = [
            settings_module.Peer(other.instance, other.domain, other.peer)
            for other in self.settings_by_instance.values()
        ]
        base_settings = local_fleet.build_entry_settings(
            instance,
            domain,
            f"127.0.0.1:{self.store_port}",
            None,
            peers,
            self._timing,
        )
        endpoints = [
            settings_module.Endpoint("127.0.0.1", local_fleet.find_free_port())
            for _ in range(2)
        ]
        return msgspec.structs.replace(
            base_settings,
            callers=endpoints[0],
            administration=endpoints[1],
            log_level="WARNING",
        )

    def admin_client(self, instance: str | None = None) -> httpx.Client:
        """Return a client of an entry's administration API.

        Args:
            instance (str): Entry to call; the first one if None. Defaults to
                None.
        """
        instance_id = instance or next(iter(self.process_by_instance))
        endpoint = self.settings_by_instance[instance_id].administration
        return httpx.Client(
            base_url=f"http://{endpoint}",
            headers={"authorization": f"Bearer {local_fleet.OPERATOR_TOKEN}"},
            timeout=10.0,
            trust_env=False,
        )

    def status(self, instance: str) -> dict | None:
        """Return an entry's status, or None if it does not answer."""
        with self.admin_client(instance) as client:
            try:
                return client.get("/v1/status").json()
            except httpx.HTTPError:
                return None

    def wait_until(self, condition, timeout_message: str) -> float:
        """Wait for a condition and return how long that took, in seconds.

        Raises:
            TimeoutError: The condition does not hold after 30 s.
        """
        start = time.monotonic()
        while not condition():
            if time.monotonic() - start > _WAIT_TIMEOUT_S:
                raise TimeoutError(timeout_message)
            time.sleep(0.05)
        return time.monotonic() - start

    def all_know_coordinator(self) -> bool:
        """Whether every entry knows the coordinator of its domain."""
        statuses = [
            self.status(instance) for instance in self.process_by_instance
        ]
        return all(status and status["coordinator"] for status in statuses)

    def is_in_force(self, revision: int) -> bool:
        """Whether a revision is in force at every entry."""
        statuses = [
            self.status(instance) for instance in self.process_by_instance
        ]
        return all(
            status and status["revision"] >= revision for status in statuses
        )

    def apply(self) -> int:
        """Apply the configuration at the first entry; return the revision."""
        documents = msgspec.to_builtins(self.configuration)
        with self.admin_client() as client:
            view = client.get("/v1/configuration").json()
            body = {"base": view["revision"], "documents": documents}
            reply = client.post("/v1/configuration", json=body)
            reply.raise_for_status()
        return reply.json()["revision"]

    def start_serving(self, request_path: str, key: str = "") -> None:
        """Apply the configuration and wait until every entry serves."""
        self.wait_until(self.all_know_coordinator, "no coordinator")
        revision = self.apply()
        self.wait_until(lambda: self.is_in_force(revision), "not in force")
        self.wait_until(
            lambda: self.all_answer(request_path, key),
            "no request is answered",
        )

    def all_answer(self, path: str, key: str) -> bool:
        """Whether every entry answers a request with result code 0."""
        headers = {"x-api-key": key} if key else {}
        for settings in self.settings_by_instance.values():
            url = f"http://{settings.callers}{path}"
            try:
                reply = httpx.get(url, headers=headers, trust_env=False)
            except httpx.HTTPError:
                return False
            if reply.headers.get("x-chicorydoor-code") != "0":
                return False
        return True

    def close(self) -> None:
        """Stop all processes."""
        self.processes.close()


def cpu_seconds(process: subprocess.Popen) -> float:
    """Return the CPU time that a process has used, in seconds."""
    stat_line = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    fields = stat_line.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_bytes(process: subprocess.Popen) -> int:
    """Return the resident memory of a process in bytes."""
    statm_line = pathlib.Path(f"/proc/{process.pid}/statm").read_text()
    return int(statm_line.split()[1]) * os.sysconf("SC_PAGE_SIZE")


def emit(measurement: str, **figures: object) -> None:
    """Print the figures of a measurement as one line of JSON."""
    print(json.dumps({"measure": measurement, **figures}), flush=True)
