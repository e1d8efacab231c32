"""A small deployment of the product's own path in one process, on loopback.

For the demo, the tests and the benchmarks. Store, instance list and targets
are stand-in servers on free ports; the entries are real and run on the same
event loop.
"""

import asyncio
import hashlib
import itertools
import typing

import httpx
import msgspec

from chicorydoor import compose
from chicorydoor.coordination import instance_list_poller
from chicorydoor.protocol import config_records
from chicorydoor.protocol import ids
from chicorydoor.protocol import settings as settings_module
from chicorydoor.standins import etcd_store
from chicorydoor.standins import http_target
from chicorydoor.standins import instance_list_server
from chicorydoor.standins import port_allocation

OPERATOR_TOKEN = "local-operator-token"
_SECRET = "a secret for loopback only"


def find_free_port() -> int:
    """A TCP port of the loopback interface that is not in use."""
    return port_allocation.allocate_ports(1)[0]


def build_entry_settings(
    instance: str,
    domain: str,
    store_endpoint: str,
    instance_list_endpoint: str | None,
    peers: list[settings_module.Peer],
    timing: settings_module.Timing,
) -> settings_module.EntrySettings:
    """Settings of an entry on loopback.

    Args:
        instance (str): Id of the entry.
        domain (str): Its failure domain.
        store_endpoint (str): ``ip:port`` of the store.
        instance_list_endpoint (str): ``ip:port`` of the instance list, None
            for an entry that uses none.
        peers (list): Peers known at the start.
        timing (Timing): Intervals and time limits.
    """
    loopback = settings_module.Endpoint("127.0.0.1", 0)
    digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    return settings_module.EntrySettings(
        instance=ids.InstanceId(instance),
        domain=ids.DomainId(domain),
        callers=loopback,
        administration=loopback,
        peer=settings_module.Endpoint("127.0.0.1", find_free_port()),
        store=_parse_endpoint(store_endpoint),
        peer_secret=_SECRET,
        minting_secret=_SECRET,
        operator_digest_by_name={"local": digest},
        instance_list=_parse_endpoint(instance_list_endpoint)
        if instance_list_endpoint
        else None,
        peers=peers,
        timing=timing,
    )


def _parse_endpoint(text: str) -> settings_module.Endpoint:
    address, _, port = text.rpartition(":")
    return settings_module.Endpoint(address, int(port))


class LocalFleet:
    """Entries with a stand-in store, instance list and targets.

    Args:
        configuration (Configuration): Configuration to apply; its target
            records are replaced by those of the stand-ins.
        domains (list): Failure domain of each entry.
        timing (Timing): Timing of all entries. Defaults to the standard
            values.
        work_s (float): Processing time of the targets. Defaults to 0.005.
    """

    def __init__(
        self,
        configuration: config_records.Configuration,
        domains: list[ids.DomainId],
        timing: settings_module.Timing | None = None,
        work_s: float = 0.005,
    ) -> None:
        self.configuration = configuration
        self._domains = domains
        self._timing = timing or settings_module.Timing()
        self._work_s = work_s
        self._entry_numbers = itertools.count(1)
        self.entry_by_id: dict[ids.InstanceId, compose.Entry] = {}
        self.target_by_id: dict[ids.TargetId, http_target.StandinTarget] = {}

    async def start(self) -> None:
        """Start all servers and entries; does not apply the configuration."""
        self.store = etcd_store.EtcdStandin()
        await self.store.start()
        self.instance_list = instance_list_server.StandinInstanceList(
            lag_s=1.0
        )
        await self.instance_list.start()
        await self._start_targets()
        for domain in self._domains:
            await self.add_entry(domain)

    async def _start_targets(self) -> None:
        for target_id, record in self.configuration.target_by_id.items():
            standin = http_target.StandinTarget(record.slots)
            standin.behaviour.work_s = self._work_s
            await standin.start()
            self.target_by_id[target_id] = standin
            self.configuration.target_by_id[target_id] = (
                msgspec.structs.replace(
                    record, address=standin.address, port=standin.port
                )
            )

    async def add_entry(self, domain: ids.DomainId) -> compose.Entry:
        """Start another entry in a failure domain and list it."""
        instance = f"{domain}-{next(self._entry_numbers)}"
        settings = build_entry_settings(
            instance,
            domain,
            self.store.endpoint,
            self.instance_list.endpoint,
            self._peer_settings(),
            self._timing,
        )
        entry = compose.Entry(settings)
        await entry.start()
        self.entry_by_id[settings.instance] = entry
        self.update_instance_list()
        return entry

    def _peer_settings(self) -> list[settings_module.Peer]:
        return [
            settings_module.Peer(
                entry.settings.instance,
                entry.settings.domain,
                entry.settings.peer,
            )
            for entry in self.entry_by_id.values()
        ]

    def update_instance_list(self) -> None:
        """Update the instance list to the running entries."""
        self.instance_list.set_instances(
            [
                instance_list_poller.ListedInstance(
                    entry.settings.instance,
                    entry.settings.domain,
                    entry.parts.own_member.peer_address,
                )
                for entry in self.entry_by_id.values()
            ]
        )

    async def stop(self) -> None:
        """Stop all entries and servers."""
        await asyncio.gather(
            *(entry.close() for entry in self.entry_by_id.values())
        )
        await asyncio.gather(
            *(standin.stop() for standin in self.target_by_id.values())
        )
        await self.instance_list.stop()
        await self.store.stop()

    async def wait_until(
        self, condition: typing.Callable[[], bool], timeout_s: float
    ) -> bool:
        """Wait until a condition holds.

        Args:
            condition (callable): Polled every 0.02 s.
            timeout_s (float): Longest wait.

        Returns:
            bool: Whether it held before the time limit.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout_s
        while not condition():
            if loop.time() > ends_at:
                return False
            await asyncio.sleep(0.02)
        return True

    def all_entries_use(self, revision: int) -> bool:
        """Whether all entries use at least this configuration revision."""
        return all(
            entry.parts.active_revision.snapshot.revision >= revision
            for entry in self.entry_by_id.values()
        )

    def any_entry(self) -> compose.Entry:
        """The entry that was started first."""
        return next(iter(self.entry_by_id.values()))

    def create_admin_client(
        self, entry: compose.Entry | None = None
    ) -> httpx.AsyncClient:
        """An authorized client of an entry's administration API.

        Args:
            entry (Entry): Defaults to the entry that was started first.
        """
        chosen = entry or self.any_entry()
        return httpx.AsyncClient(
            base_url=f"http://{chosen.administration.endpoint}",
            headers={"authorization": f"Bearer {OPERATOR_TOKEN}"},
            timeout=10.0,
            trust_env=False,
        )

    async def apply_configuration(self, timeout_s: float = 10.0) -> int:
        """Apply the configuration and wait until all entries use it.

        Returns also if they do not use it in time.

        Args:
            timeout_s (float): Longest wait for the entries. Defaults to 10.

        Returns:
            int: Its revision.
        """
        base = max(
            entry.parts.active_revision.snapshot.revision
            for entry in self.entry_by_id.values()
        )
        body = {
            "base": base,
            "documents": msgspec.to_builtins(self.configuration),
        }
        async with self.create_admin_client() as client:
            response = await client.post("/v1/configuration", json=body)
        response.raise_for_status()
        revision = response.json()["revision"]
        await self.wait_until(
            lambda: self.all_entries_use(revision), timeout_s
        )
        return revision

    async def issue_key(self, key_id: str, customer: str) -> str:
        """Issue a key and wait until all entries know it; returns its text."""
        async with self.create_admin_client() as client:
            response = await client.post(
                "/v1/keys", json={"key": key_id, "customer": customer}
            )
        response.raise_for_status()
        revision = response.json()["result"]["revision"]
        await self.wait_until(lambda: self.all_entries_use(revision), 10.0)
        return response.json()["text"]
