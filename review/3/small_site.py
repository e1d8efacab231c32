"""A small deployment on loopback: entries, store, upstreams and clients."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import typing
import urllib.parse

import http_stream
import platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
SERVICE = "huvo11a"
HEARTBEAT_S = 1.5
_FIRST_PORT, _LAST_PORT = 16_000, 32_000
_READY_TIMEOUT_S = 30.0
_used_ports: set[int] = set()


def is_trouble() -> bool:
    """Whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port of the loopback interface that nobody uses."""
    for _ in range(1000):
        port = random.randrange(_FIRST_PORT, _LAST_PORT)
        if port in _used_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            _used_ports.add(port)
            return port
    raise OSError("no free port")


class Record:
    """The file that tells what was sent, answered and run.

    Args:
        path (Path): The file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Seconds since the start of the record."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write a line with its time; nothing once the file is closed."""
        if not self._file.closed:
            self._file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line and print it."""
        self.write(text)
        print(f"{self.now():8.3f} {text}", flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Upstream:
    """A sound upstream: registers itself, serves its slots, sheds the rest.

    Args:
        name (str): Its id.
        zone (str): Its zone.
        store (Store): Where it registers.
        record (Record): Gets a line for each run.
        work_s (float): Time that a request takes. Defaults to 0.02.
        slots (int): Requests that it works on at once. Defaults to 9.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store: platform_store.Store,
        record: Record,
        work_s: float = 0.02,
        slots: int = 9,
    ) -> None:
        self.name = name
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.state = "ready"
        self.runs: list[tuple[float, str, str]] = []
        self.body_size_by_id: dict[str, int] = {}
        self.running = 0
        self._store = store
        self._record = record
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._server = http_stream.Server(self._handle, True)
        self._heartbeat: asyncio.Task | None = None

    @property
    def endpoint(self) -> str:
        """``ip:port`` where it listens."""
        return self._server.endpoint

    @property
    def address(self) -> str:
        """``ip:port`` that it registers."""
        return self.endpoint

    async def start(self) -> None:
        """Serve and register."""
        await self._server.start(free_port())
        self._heartbeat = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """End at once."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        await self._server.stop()

    def register(self) -> None:
        """Write the registration."""
        self._sequence += 1
        document = {
            "address": self.address,
            "born": self._born,
            "info": {
                "service": SERVICE,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self._sequence,
                "coldRemaining": "0ms",
            },
        }
        self._store.put(f"servers/{self.name}", json.dumps(document).encode())

    async def _beat(self) -> None:
        while True:
            if not self._store.is_down:
                self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, request: http_stream.Message) -> bytes | None:
        load = f"{self.running},0,{self.slots}"
        if request.start[1] == "/health":
            status = 200 if self.state == "ready" else 503
            headers = {"Instance-Id": self.name, "Server-Load": load}
            return http_stream.encode_answer(status, headers)
        request_id = request.header("request-id")
        if request.header("target-instance") not in ("", self.name):
            headers = {"Instance-Id": self.name, "Request-Id": request_id}
            return http_stream.encode_answer(421, headers)
        if self.running >= 3 * self.slots:
            headers = {"Not-Executed": "1", "Request-Id": request_id}
            return http_stream.encode_answer(503, headers)
        self.running += 1
        try:
            tenant = request.header("tenant")
            self.body_size_by_id[request_id] = len(request.body)
            self.runs.append((self._record.now(), request_id, tenant))
            self._record.write(
                f"run {request_id} at {self.name} for {tenant}, "
                f"body of {len(request.body)}"
            )
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        headers = {
            "Request-Id": request_id,
            "Response-Seal": "3e1b.07.5a2.600.0.c9f2a4d1",
            "Server-Load": load,
            "Keep-Alive": "timeout=10",
        }
        if self.state == "draining":
            headers["Server-Leaving"] = "1"
        return http_stream.encode_answer(200, headers, b"the server's bytes")


class Entry:
    """An entry in a process of its own.

    Args:
        name (str): Name of its machine.
        zone (str): Its zone.
        region_by_zone (dict): All zones and their regions.
        store_endpoint (str): ``ip:port`` of the store.
        folder (Path): For its settings and its log.
        bounds (dict): The ``bounds`` of the settings.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        region_by_zone: dict[str, str],
        store_endpoint: str,
        folder: pathlib.Path,
        bounds: dict[str, typing.Any],
    ) -> None:
        self.name = name
        self.zone = zone
        self.region = region_by_zone[zone]
        self.endpoint_by_use = {
            use: f"127.0.0.1:{free_port()}"
            for use in ("front", "ready", "control", "directory")
        }
        self.front = self.endpoint_by_use["front"]
        self.log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.yaml"
        settings = {
            "self": {
                "nodeName": name,
                "role": "entry",
                "machineClass": "front",
                "serves": ["front", "control", "directory"],
                "ip": "127.0.0.1",
                "zone": zone,
                "region": self.region,
                "bootstrap": True,
                "limits": {"cpuShare": 0.86, "cores": 1, "memoryMb": 300},
            },
            "network": {
                "listen": self.endpoint_by_use,
                "internalPortRange": [free_port(), free_port()],
                "seeds": [],
                "zones": region_by_zone,
            },
            "platform": {
                "discovery": "platform",
                "entry": "directory",
                "heartbeat": "1500ms",
                "platform": {"address": store_endpoint, "form": "kv"},
            },
            "terms": {"bounds": bounds},
        }
        # JSON is YAML.
        self._settings_path.write_text(json.dumps(settings))
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CHICORYDOOR_CONFIG"] = str(self._settings_path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "chicorydoor.platform"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self) -> None:
        """Wait for a 200 of the readiness check.

        Raises:
            TimeoutError: If it doesn't come in time.
        """
        connection = http_stream.Connection(self.endpoint_by_use["ready"])
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    answer = await connection.exchange(
                        "GET", "/readiness", {"Host": "ready"}
                    )
                    if answer is not None and answer.status == 200:
                        connection.close()
                        return
                connection.close()
                await asyncio.sleep(0.1)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    def memory_mb(self) -> float:
        """Resident memory of the process, 0 if it has ended."""
        if self.process is None or self.process.poll() is not None:
            return 0.0
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Directory:
    """A client's look-ups: asks the nearest entry where to connect.

    Args:
        entries (list): The entries, nearest first.
        region (str): The client's region.
        zone (str): The client's zone.
    """

    def __init__(self, entries: list[Entry], region: str, zone: str) -> None:
        self._entries = entries
        query = {"name": HOST, "region": region, "zone": zone}
        self._target = f"/resolve?{urllib.parse.urlencode(query)}"
        self.addresses: list[str] = []
        self._valid_until = 0.0

    async def choose(self) -> str:
        """Return an address to connect to."""
        if time.monotonic() >= self._valid_until or not self.addresses:
            await self._look_up()
        return random.choice(self.addresses)

    async def _look_up(self) -> None:
        for entry in self._entries[:3]:
            endpoint = entry.endpoint_by_use["directory"]
            connection = http_stream.Connection(endpoint)
            try:
                async with asyncio.timeout(1.0):
                    answer = await connection.exchange(
                        "GET", self._target, {"Host": HOST}
                    )
            except (OSError, TimeoutError):
                continue
            finally:
                connection.close()
            if answer is not None and answer.status == 200:
                document = json.loads(answer.body)
                ttl = document["ttl"]
                unit_s = 0.001 if ttl.endswith("ms") else 1.0
                ttl_s = float(ttl.removesuffix("ms").removesuffix("s"))
                self.addresses = document["addresses"]
                self._valid_until = time.monotonic() + ttl_s * unit_s
                return


def build_config(
    version: int,
    tenants: list[dict[str, typing.Any]],
    timeout: str = "3000ms",
    session_affinity: bool = False,
) -> bytes:
    """Return a configuration with a safe and an unsafe route.

    Args:
        version (int): Its version.
        tenants (list): Its tenants.
        timeout (str): Time-out of the routes. Defaults to 3 s.
        session_affinity (bool): Whether the routes have it. Defaults to
            False.
    """
    route = {
        "host": HOST,
        "timeout": timeout,
        "targetLatency": "500ms",
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 2,
        "public": False,
        "sessionAffinity": session_affinity,
        "allowedRegions": [],
    }
    routes = [
        route | {"name": "read", "prefix": "/lohu930/", "kind": "safe"},
        route | {"name": "order", "prefix": "/pufi791/", "kind": "unsafe"},
    ]
    service = {
        "name": SERVICE,
        "healthPath": "/health",
        "maxConnections": 330,
        "protocol": "h1",
        "tls": False,
        "coldStart": "3s",
        "coldPerS": 15.0,
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    }
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [service],
            "limits": limits,
            "tenants": tenants,
        }
    ).encode()


def build_tenant(
    name: str, keys: list[str], rate_per_s: float = 0, burst: float = 0
) -> dict[str, typing.Any]:
    """Return a tenant of a configuration."""
    return {
        "name": name,
        "apiKeys": keys,
        "ratePerS": rate_per_s,
        "burst": burst,
        "allowedRegions": [],
    }


class Deployment:
    """A store, upstreams and entries, which run inside ``async with``.

    Args:
        folder (Path): Folder of the case; gets ``record.txt``.
        region_by_zone (dict): Each zone gets an entry.
        bounds (dict): The ``bounds`` of the settings.
        config (bytes): The first configuration.
        upstream_zones (list): Zone of each upstream.
        work_s (float): Time that a request takes. Defaults to 0.02.
        make_upstream (callable): Makes an upstream. Defaults to a sound one.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        region_by_zone: dict[str, str],
        bounds: dict[str, typing.Any],
        config: bytes,
        upstream_zones: list[str],
        work_s: float = 0.02,
        make_upstream: type[Upstream] = Upstream,
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.store = platform_store.Store()
        self.store.put("op/config", config)
        self.entries: list[Entry] = []
        self.store_port_by_entry: dict[str, int] = {}
        self.upstreams = [
            make_upstream(
                f"i-{index:08x}", zone, self.store, self.record, work_s
            )
            for index, zone in enumerate(upstream_zones)
        ]
        self._region_by_zone = region_by_zone
        self._bounds = bounds
        self._tasks: list[asyncio.Task] = []
        self._folder = tempfile.TemporaryDirectory()

    async def __aenter__(self) -> "Deployment":
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stop()

    async def _start(self) -> None:
        for upstream in self.upstreams:
            await upstream.start()
        for zone in self._region_by_zone:
            name = f"front-{zone}-1"
            port = free_port()
            self.store_port_by_entry[name] = port
            entry = Entry(
                name,
                zone,
                self._region_by_zone,
                await self.store.listen(port),
                pathlib.Path(self._folder.name),
                self._bounds,
            )
            entry.start()
            self.entries.append(entry)
        for entry in self.entries:
            await entry.wait_until_ready()
        self.record.say("all entries are ready")

    def run_task(self, work: typing.Coroutine) -> None:
        """Run a coroutine until the end of the deployment."""
        self._tasks.append(asyncio.create_task(work))

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for entry in self.entries:
            entry.kill()
        for upstream in self.upstreams:
            await upstream.stop()
        await self.store.stop()
        self.record.close()
        self._folder.cleanup()


async def _run_until_signal(main: typing.Any) -> int:
    task = asyncio.create_task(main())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        print("the case was interrupted")
        return 2


def run(main: typing.Any) -> typing.NoReturn:
    """Run a case; its exit code is 0, 1 or, if it couldn't run, 2."""
    try:
        code = asyncio.run(_run_until_signal(main))
    except Exception:
        print("the case couldn't run:")
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    sys.stderr.flush()
    # Connections that are still open would complain of the closed loop.
    os._exit(code)
