"""A small deployment on loopback.

The platform's store and the targets are stand-ins, the entries real
processes.
"""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import typing

import httpx
import msgspec
import yaml

from chicorydoor.platform import documents
from chicorydoor.platform import settings as settings_module
from chicorydoor.platform import wire
from chicorydoor.standins import platform_store
from chicorydoor.standins import platform_target
from chicorydoor.standins import ports

KEY = "loopback-key"
CUSTOMER = "kivuli"
HOST = "shop.example"
# What the entries' settings promise for rates, as on the deployments.
RATE_OVERAGE = 0.1
RATE_SLACK = 20.0
_SERVICE = "shop"
_DOMAIN = "nairobi-a"
_REGION = "nairobi"
_READY_TIMEOUT_S = 10.0
_POLL_S = 0.05


_Document = dict[str, typing.Any]


def customer(name: str, keys: list[str], rate_per_s: float = 0.0) -> _Document:
    """The operator's entry for a customer, with a burst of one second."""
    return {
        "name": name,
        "apiKeys": keys,
        "ratePerS": rate_per_s,
        "burst": rate_per_s,
    }


def configuration(version: int, customers: list[_Document]) -> bytes:
    """The operator's document: reads, and orders that may run once.

    Args:
        version (int): Its version.
        customers (list): Entries for the customers.
    """
    route = {
        "host": HOST,
        "timeout": "1500ms",
        "targetLatency": "300ms",
        "maxAttempts": 2,
        "service": _SERVICE,
        "sessionAffinity": True,
    }
    return msgspec.json.encode(
        {
            "version": version,
            "routes": [
                route | {"name": "read", "prefix": "/read/", "kind": "safe"},
                route
                | {"name": "order", "prefix": "/order/", "kind": "unsafe"},
            ],
            "services": [
                {
                    "name": _SERVICE,
                    "healthPath": platform_target.HEALTH_PATH,
                    "maxConnections": 50,
                }
            ],
            "tenants": customers,
        }
    )


class EntryProcess:
    """One entry in a process of its own.

    Args:
        name (str): Its id.
        folder (Path): Where its settings and its log go.
        store (str): ``ip:port`` of the store.
        domain (str): Its failure domain. Defaults to the only one.
        region_by_domain (dict): All domains. Defaults to the only one.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store: str,
        domain: str = _DOMAIN,
        region_by_domain: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self._domain = domain
        self._region_by_domain = region_by_domain or {_DOMAIN: _REGION}
        self.starts = 0
        self.is_taken = False
        numbers = ports.free_ports(4)
        self._address_by_use = {
            use: f"127.0.0.1:{number}"
            for use, number in zip(
                ("front", "ready", "control", "directory"),
                numbers,
                strict=True,
            )
        }
        self.callers = self._address_by_use["front"]
        self._path = folder / f"{name}.yaml"
        self.log_path = folder / f"{name}.log"
        self._path.write_text(yaml.safe_dump(self._settings(store)))
        self._process: asyncio.subprocess.Process | None = None

    def _settings(self, store: str) -> dict[str, typing.Any]:
        metrics = ports.free_ports(1)[0]
        return {
            "self": {
                "nodeName": self.name,
                "zone": self._domain,
                "region": self._region_by_domain[self._domain],
            },
            "network": {
                "listen": self._address_by_use,
                "internalPortRange": [metrics, metrics],
                "zones": self._region_by_domain,
            },
            "platform": {"platform": {"address": store}},
            "terms": {
                "bounds": {
                    "grace": "4s",
                    "quotaOverage": RATE_OVERAGE,
                    "quotaSlack": RATE_SLACK,
                }
            },
        }

    @contextlib.contextmanager
    def taken(self) -> typing.Iterator[None]:
        """Keep it for one user that stops and starts it."""
        self.is_taken = True
        try:
            yield
        finally:
            self.is_taken = False

    async def start(self, is_awaited: bool = True) -> None:
        """Start the process.

        Args:
            is_awaited (bool): Whether to wait until it is ready. Defaults
                to True.
        """
        self.starts += 1
        variables = os.environ | {
            settings_module.PATH_VARIABLE: str(self._path)
        }
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "chicorydoor.platform",
                stdout=log,
                stderr=log,
                env=variables,
            )
        if is_awaited:
            await self.until_ready()

    async def until_ready(self) -> None:
        """Wait until it takes requests."""
        url = f"http://{self._address_by_use['ready']}{wire.READINESS_PATH}"
        async with (
            asyncio.timeout(_READY_TIMEOUT_S),
            httpx.AsyncClient(trust_env=False) as client,
        ):
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    if (await client.get(url)).status_code == 200:
                        return
                await asyncio.sleep(_POLL_S)

    def send_signal(self, number: signal.Signals) -> None:
        """Signal this very process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait for the process's end; returns its exit code."""
        assert self._process is not None
        return await self._process.wait()


class PlatformSite:
    """Store, targets and entries.

    Args:
        folder (Path): Where settings and logs go.
        targets (int): Number of targets. Defaults to 3.
        entries (int): Number of entries. Defaults to 2.
    """

    def __init__(
        self, folder: pathlib.Path, targets: int = 3, entries: int = 2
    ) -> None:
        self.store = platform_store.PlatformStore()
        self.targets = [
            platform_target.PlatformTarget(f"t{index}", _SERVICE, _DOMAIN)
            for index in range(targets)
        ]
        self.entries = [
            EntryProcess(f"entry-{index}", folder, self.store.endpoint)
            for index in range(entries)
        ]
        self.client = httpx.AsyncClient(trust_env=False, timeout=3.0)

    async def start(self) -> None:
        """Start all, the entries last."""
        await self.store.start()
        self.store.put(
            documents.CONFIGURATION_KEY,
            configuration(1, [customer(CUSTOMER, [KEY, "other-key"])]),
        )
        for target in self.targets:
            await target.start()
            target.register(self.store)
        await asyncio.gather(*(entry.start() for entry in self.entries))

    async def call(
        self,
        entry: EntryProcess,
        method: str,
        path: str,
        request_id: str,
        key: str = KEY,
    ) -> httpx.Response:
        """Send one request as a caller."""
        headers = {
            "host": HOST,
            wire.HEADERS.request_id.decode(): request_id,
            wire.HEADERS.affinity.decode(): path.rpartition("/")[2],
            wire.HEADERS.deadline.decode(): "1500",
            wire.HEADERS.key.decode(): key,
        }
        return await self.client.request(
            method, f"http://{entry.callers}{path}", headers=headers
        )

    def runs(self) -> dict[str, int]:
        """How often each request ran, over all targets."""
        runs: dict[str, int] = {}
        for target in self.targets:
            for request_id, count in target.runs_by_request().items():
                runs[request_id] = runs.get(request_id, 0) + count
        return runs

    async def stop(self) -> None:
        """End the processes and all servers."""
        await self.client.aclose()
        for entry in self.entries:
            entry.send_signal(signal.SIGKILL)
        await asyncio.gather(*(entry.wait() for entry in self.entries))
        for target in self.targets:
            await target.stop()
        await self.store.stop()
