"""A small deployment of the fleet path, each entry a process, on loopback.

The platform's store and the targets are stand-in servers of this process.
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
from chicorydoor.platform import http_names
from chicorydoor.platform import settings_file
from chicorydoor.standins import platform_store
from chicorydoor.standins import platform_target
from chicorydoor.standins import port_allocation

CUSTOMER_KEY = "loopback-key"
CUSTOMER = "kivuli"
HOST = "shop.example"
# Allowed excess over customers' rates in the entries' settings, as in the
# deployments: RATE_OVERAGE is a fraction of the limit, RATE_SLACK a number of
# requests in addition.
RATE_OVERAGE = 0.1
RATE_SLACK = 20.0
_SERVICE = "shop"
_DOMAIN = "nairobi-a"
_REGION = "nairobi"
_READY_TIMEOUT_S = 10.0
_READINESS_POLL_S = 0.05


_JsonObject = dict[str, typing.Any]


def build_customer(
    name: str, keys: list[str], rate_per_s: float = 0.0
) -> _JsonObject:
    """A customer in the operator's configuration document.

    Args:
        name (str): Id of the customer.
        keys (list): Texts of its keys.
        rate_per_s (float): Rate limit with a burst of one second, 0 for no
            limit. Defaults to 0.
    """
    return {
        "name": name,
        "apiKeys": keys,
        "ratePerS": rate_per_s,
        "burst": rate_per_s,
    }


def build_configuration(version: int, customers: list[_JsonObject]) -> bytes:
    """The operator's configuration document in JSON.

    It has a route for safe reads and one for orders, which must not be
    repeated.

    Args:
        version (int): Version of the document.
        customers (list): Customers, as built by ``build_customer``.
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
    """An entry in a process of its own.

    Args:
        name (str): Id of the entry.
        folder (Path): Folder for its settings and its log.
        store_endpoint (str): ``ip:port`` of the store.
        domain (str): Its failure domain. Defaults to the single domain of
            a ``PlatformSite``.
        region_by_domain (dict): Region of each failure domain. Defaults to
            that single domain.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store_endpoint: str,
        domain: str = _DOMAIN,
        region_by_domain: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self._domain = domain
        self._region_by_domain = region_by_domain or {_DOMAIN: _REGION}
        self.start_count = 0
        self.is_reserved = False
        *port_numbers, self.relay_port, self.metrics_port = (
            port_allocation.allocate_ports(6)
        )
        self._address_by_listener = {
            listener: f"127.0.0.1:{port}"
            # Listeners of callers, readiness checks, peers and look-ups.
            for listener, port in zip(
                ("front", "ready", "control", "directory"),
                port_numbers,
                strict=True,
            )
        }
        self.caller_endpoint = self._address_by_listener["front"]
        self.caller_address = ("127.0.0.1", port_numbers[0])
        self._settings_path = folder / f"{name}.yaml"
        self.log_path = folder / f"{name}.log"
        self._settings_path.write_text(
            yaml.safe_dump(self._build_settings(store_endpoint))
        )
        self._process: asyncio.subprocess.Process | None = None

    def _build_settings(self, store_endpoint: str) -> dict[str, typing.Any]:
        return {
            "self": {
                "nodeName": self.name,
                "zone": self._domain,
                "region": self._region_by_domain[self._domain],
            },
            "network": {
                "listen": self._address_by_listener,
                "internalPortRange": [self.relay_port, self.metrics_port],
                "zones": self._region_by_domain,
            },
            "platform": {"platform": {"address": store_endpoint}},
            "terms": {
                "bounds": {
                    "grace": "4s",
                    "quotaOverage": RATE_OVERAGE,
                    "quotaSlack": RATE_SLACK,
                }
            },
        }

    @property
    def pid(self) -> int:
        """Id of the process."""
        assert self._process is not None
        return self._process.pid

    @contextlib.contextmanager
    def reserve(self) -> typing.Iterator[None]:
        """Reserve the process for one fault, which may pause or restart it.

        Faults choose entries with ``is_reserved`` unset; this does not check
        it.
        """
        self.is_reserved = True
        try:
            yield
        finally:
            self.is_reserved = False

    async def start(self, waits_for_ready: bool = True) -> None:
        """Start the process.

        Args:
            waits_for_ready (bool): Whether to wait until it is ready.
                Defaults to True.
        """
        self.start_count += 1
        environment = os.environ | {
            settings_file.SETTINGS_PATH_VARIABLE: str(self._settings_path)
        }
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "chicorydoor.platform",
                stdout=log,
                stderr=log,
                env=environment,
            )
        if waits_for_ready:
            await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until its readiness check succeeds.

        Raises:
            TimeoutError: If it is not ready in time.
        """
        url = f"http://{self._address_by_listener['ready']}{http_names.READINESS_PATH}"
        async with (
            asyncio.timeout(_READY_TIMEOUT_S),
            httpx.AsyncClient(trust_env=False) as client,
        ):
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    if (await client.get(url)).status_code == 200:
                        return
                await asyncio.sleep(_READINESS_POLL_S)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    async def wait(self) -> int:
        """Wait until the process ends; returns its exit code."""
        assert self._process is not None
        return await self._process.wait()


class PlatformSite:
    """A deployment of entries with a stand-in store and targets.

    Args:
        folder (Path): Folder for settings and logs.
        target_count (int): Number of targets. Defaults to 3.
        entry_count (int): Number of entries. Defaults to 2.
    """

    def __init__(
        self, folder: pathlib.Path, target_count: int = 3, entry_count: int = 2
    ) -> None:
        self.store = platform_store.PlatformStore()
        self.targets = [
            platform_target.PlatformTarget(f"t{index}", _SERVICE, _DOMAIN)
            for index in range(target_count)
        ]
        self.entries = [
            EntryProcess(f"entry-{index}", folder, self.store.endpoint)
            for index in range(entry_count)
        ]
        self.client = httpx.AsyncClient(trust_env=False, timeout=3.0)

    async def start(self) -> None:
        """Start the store, the targets and, last, the entries."""
        await self.store.start()
        self.store.put(
            documents.CONFIGURATION_KEY,
            build_configuration(
                1, [build_customer(CUSTOMER, [CUSTOMER_KEY, "other-key"])]
            ),
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
        key: str = CUSTOMER_KEY,
    ) -> httpx.Response:
        """Send a request to an entry as a caller does.

        Args:
            entry (EntryProcess): Entry that receives it.
            method (str): HTTP method.
            path (str): Path; its last segment is the affinity key.
            request_id (str): Id of the request.
            key (str): Key of the customer. Defaults to ``CUSTOMER_KEY``.
        """
        headers = {
            "host": HOST,
            http_names.HEADER_NAMES.request_id.decode(): request_id,
            http_names.HEADER_NAMES.affinity_key.decode(): path.rpartition(
                "/"
            )[2],
            http_names.HEADER_NAMES.deadline_ms.decode(): "1500",
            http_names.HEADER_NAMES.api_key.decode(): key,
        }
        return await self.client.request(
            method, f"http://{entry.caller_endpoint}{path}", headers=headers
        )

    def run_count_by_request(self) -> dict[str, int]:
        """Number of executions over all targets, by request id."""
        count_by_request: dict[str, int] = {}
        for target in self.targets:
            for request_id, count in target.run_count_by_request().items():
                count_by_request[request_id] = (
                    count_by_request.get(request_id, 0) + count
                )
        return count_by_request

    async def stop(self) -> None:
        """Kill the entries and stop all servers."""
        await self.client.aclose()
        for entry in self.entries:
            entry.send_signal(signal.SIGKILL)
        await asyncio.gather(*(entry.wait() for entry in self.entries))
        for target in self.targets:
            await target.stop()
        await self.store.stop()
