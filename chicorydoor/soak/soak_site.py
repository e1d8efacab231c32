"""The deployment that a soak tests: entry processes, stand-ins, proxies."""

import asyncio
import pathlib
import signal

import msgspec

from chicorydoor.platform import documents
from chicorydoor.soak import loopback_proxy
from chicorydoor.standins import platform_site
from chicorydoor.standins import platform_store
from chicorydoor.standins import platform_target

# Region n has two failure domains, region m one.
REGION_BY_DOMAIN = {"na": "n", "nb": "n", "ma": "m"}
SERVICE = "shop"


class Customer(msgspec.Struct, frozen=True):
    """A customer of the soak.

    Args:
        name (str): Its id.
        rate_per_s (float): Its rate limit, 0 for none. Defaults to 0.
    """

    name: str
    rate_per_s: float = 0.0


CUSTOMERS = (Customer("acme"), Customer("beta", rate_per_s=20.0))


class SoakSite:
    """A deployment with a proxy before each target and for each entry's store.

    Args:
        folder (Path): Folder for settings and logs.
        entry_count (int): Number of entries.
        target_count (int): Number of targets.
    """

    def __init__(
        self, folder: pathlib.Path, entry_count: int, target_count: int
    ) -> None:
        domains = list(REGION_BY_DOMAIN)
        self.store = platform_store.PlatformStore()
        self.targets = [
            platform_target.PlatformTarget(
                f"t{index}", SERVICE, domains[index % len(domains)]
            )
            for index in range(target_count)
        ]
        self.proxy_by_target = {
            target.name: loopback_proxy.LoopbackProxy(target.endpoint)
            for target in self.targets
        }
        self.proxy_by_entry: dict[str, loopback_proxy.LoopbackProxy] = {}
        self.entries: list[platform_site.EntryProcess] = []
        for index in range(entry_count):
            name = f"entry-{index}"
            proxy = loopback_proxy.LoopbackProxy(self.store.endpoint)
            self.proxy_by_entry[name] = proxy
            self.entries.append(
                platform_site.EntryProcess(
                    name,
                    folder,
                    proxy.endpoint,
                    domain=domains[index % len(domains)],
                    region_by_domain=REGION_BY_DOMAIN,
                )
            )
        self.configuration_version = 0
        # A key is the customer's name, a hyphen and a number: the checks read
        # the customer from it.
        self.keys_by_customer = {
            customer.name: [f"{customer.name}-{n}" for n in range(6)]
            for customer in CUSTOMERS
        }
        self.withdrawn_keys: list[str] = []
        self.leaving_target_names: set[str] = set()
        # What each target last wrote to the store; None if it removed it.
        self._state_by_target: dict[str, str | None] = {}

    async def start(self) -> None:
        """Start store, proxies and targets, and last the entries."""
        await self.store.start()
        for proxy in self.proxies():
            await proxy.start()
        self.apply_configuration()
        for target in self.targets:
            await target.start()
            self.register_target(target)
        await asyncio.gather(*(entry.start() for entry in self.entries))

    def proxies(self) -> list[loopback_proxy.LoopbackProxy]:
        """The proxies of all entries and targets."""
        return [*self.proxy_by_entry.values(), *self.proxy_by_target.values()]

    def register_target(
        self,
        target: platform_target.PlatformTarget,
        state: str = "ready",
    ) -> None:
        """Register a target under the address of its proxy.

        Args:
            target (PlatformTarget): Target to register.
            state (str): State that it reports. Defaults to "ready".
        """
        self._state_by_target[target.name] = state
        address = self.proxy_by_target[target.name].endpoint
        target.register(self.store, state, address)

    def unregister_target(
        self, target: platform_target.PlatformTarget
    ) -> None:
        """Remove a target's registration."""
        self._state_by_target[target.name] = None
        target.unregister(self.store)

    def apply_configuration(self) -> None:
        """Write a new version of the configuration to the store."""
        self.configuration_version += 1
        self._write_configuration()

    def _write_configuration(self) -> None:
        customers = [
            platform_site.build_customer(
                customer.name,
                self.keys_by_customer[customer.name],
                customer.rate_per_s,
            )
            for customer in CUSTOMERS
        ]
        document = platform_site.build_configuration(
            self.configuration_version, customers
        )
        self.store.put(documents.CONFIGURATION_KEY, document)

    def write_again(self) -> None:
        """Write again what a store that comes back from a copy has lost."""
        self._write_configuration()
        self.write_registrations()

    def write_registrations(self) -> None:
        """Let all targets write their registrations again."""
        for target in self.targets:
            state = self._state_by_target[target.name]
            if state is None:
                self.unregister_target(target)
            else:
                self.register_target(target, state)

    def withdraw_key(self, customer: str) -> None:
        """Withdraw a customer's last key for good if it has others."""
        keys = self.keys_by_customer[customer]
        if len(keys) > 1:
            self.withdrawn_keys.append(keys.pop())
            self.apply_configuration()

    def end_faults(self) -> None:
        """End all faults of links and of the store."""
        self.store.failure_mode = platform_store.FailureMode.NORMAL
        for proxy in self.proxies():
            proxy.set_mode(loopback_proxy.ProxyMode.OPEN)

    async def stop(self) -> None:
        """Kill the entries and stop all proxies and servers."""
        for entry in self.entries:
            entry.send_signal(signal.SIGKILL)
        await asyncio.gather(*(entry.wait() for entry in self.entries))
        for proxy in self.proxies():
            await proxy.stop()
        for target in self.targets:
            await target.stop()
        await self.store.stop()
