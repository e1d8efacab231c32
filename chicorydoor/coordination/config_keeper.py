"""The configuration in force at one entry, and how it learns of others.

Only higher revisions are adopted, wherever they come from. The coordinator
of a failure domain watches the store for the whole domain; everybody else,
and a coordinator that cannot reach the store, takes revisions from peers.
"""

import asyncio
from collections import abc
import logging

import msgspec
import tenacity

from chicorydoor import errors
from chicorydoor.coordination import membership as membership_module
from chicorydoor.coordination import peer_network
from chicorydoor.protocol import config_records
from chicorydoor.protocol import ids
from chicorydoor.protocol import manifest as manifest_module
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.state import client_blocks
from chicorydoor.state import config_chunks
from chicorydoor.state import config_snapshot
from chicorydoor.state import event_ring
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics
from chicorydoor.transport import store_client

_LOG = logging.getLogger(__name__)
_CALL_TIMEOUT_S = 1.0
_KEPT_MANIFESTS = 16
_RETRY_FIRST_S = 0.2
_RETRY_LONGEST_S = 5.0
_STORE_LOST_S = 5.0


class ConfigKeeper:
    """Holds the revision in force.

    Args:
        clock (Clock): Time.
        events (EventRing): Gets changes of state.
    """

    def __init__(
        self, clock: clock_module.Clock, events: event_ring.EventRing
    ) -> None:
        self._clock = clock
        self._events = events
        self.cache = config_chunks.ChunkCache()
        self.snapshot = config_snapshot.EMPTY
        self._manifests: dict[ids.Revision, manifest_module.Manifest] = {
            ids.Revision(0): manifest_module.EMPTY
        }
        self.observers: list[
            abc.Callable[[config_snapshot.ConfigSnapshot], None]
        ] = []

    def current(self) -> config_snapshot.ConfigSnapshot:
        """The snapshot in force."""
        return self.snapshot

    def adopt(self, manifest: manifest_module.Manifest) -> bool:
        """Put a revision in force if it is higher than the present one.

        Args:
            manifest (Manifest): All its chunks must be in the cache.

        Returns:
            Whether it was adopted.
        """
        if manifest.revision <= self.snapshot.revision:
            return False
        configuration = self.cache.assemble(manifest)
        blocks = self._block_table(manifest)
        self.snapshot = config_snapshot.ConfigSnapshot(
            manifest, configuration, blocks
        )
        self._remember(manifest)
        self.cache.keep_only(manifest)
        metrics.REVISION.set(manifest.revision)
        self._events.add(
            event_ring.EventKind.REVISION_IN_FORCE, revision=manifest.revision
        )
        for observer in self.observers:
            observer(self.snapshot)
        return True

    def _block_table(
        self, manifest: manifest_module.Manifest
    ) -> client_blocks.ClientBlockTable:
        digests = config_chunks.block_digests(manifest)
        if digests == config_chunks.block_digests(self.snapshot.manifest):
            return self.snapshot.blocks
        blocks = self.cache.blocks(manifest)
        return client_blocks.ClientBlockTable(
            {cidr: block.region for cidr, block in blocks.items()}
        )

    def full_configuration(self) -> config_records.Configuration:
        """A copy of the revision in force with its client blocks.

        Records are frozen; the collections may be changed.
        """
        manifest = self.snapshot.manifest
        configuration = self.cache.assemble(manifest)
        configuration.block_by_cidr = self.cache.blocks(manifest)
        return configuration

    def _remember(self, manifest: manifest_module.Manifest) -> None:
        self._manifests[manifest.revision] = manifest
        while len(self._manifests) > _KEPT_MANIFESTS:
            del self._manifests[min(self._manifests)]

    def offer_since(self, revision: ids.Revision) -> pm.ConfigOffer | None:
        """What leads from a revision to the one in force, if known."""
        manifest = self.snapshot.manifest
        earlier = self._manifests.get(revision, manifest_module.EMPTY)
        delta = manifest_module.difference(earlier, manifest)
        data = [
            chunk
            for digest in delta.manifest.digest_by_chunk.values()
            if (chunk := self.cache.get(digest)) is not None
        ]
        return pm.ConfigOffer(delta, data)

    def take_offer(self, offer: pm.ConfigOffer) -> bool:
        """Adopt an offer; False if its base is not what is in force."""
        delta = offer.delta
        if delta.manifest.revision <= self.snapshot.revision:
            return True
        base = self._manifests.get(delta.from_revision)
        if base is None:
            return False
        for data in offer.data:
            self.cache.add(data)
        manifest = manifest_module.patch(base, delta)
        if self.cache.missing(manifest):
            return False
        return self.adopt(manifest)


class ConfigRelay:
    """Keeps an entry's configuration up to date.

    Args:
        keeper (ConfigKeeper): Holds the revision in force.
        store (Store): The key-value service.
        membership (Membership): Says whether this entry coordinates.
        network (PeerNetwork): Carries offers.
        clock (Clock): Time.
        events (EventRing): Gets changes of state.
        poll_s (float): Between reads of the manifest.
        newer_peers (callable): Coordinators of other failure domains
            that are known to have a higher revision.
    """

    def __init__(
        self,
        *,
        keeper: ConfigKeeper,
        store: store_client.Store,
        membership: membership_module.Membership,
        network: peer_network.PeerNetwork,
        clock: clock_module.Clock,
        events: event_ring.EventRing,
        poll_s: float,
        newer_peers: abc.Callable[[], list[ids.InstanceId]],
    ) -> None:
        self._keeper = keeper
        self._store = store
        self._membership = membership
        self._network = network
        self._clock = clock
        self._events = events
        self._poll_s = poll_s
        self._newer_peers = newer_peers
        self._is_store_lost = False
        self._lock = asyncio.Lock()
        network.on(pm.ConfigOffer, self._on_offer)
        network.on(pm.ConfigRequest, self._on_request)
        keeper.observers.append(self._push)

    async def run(self) -> None:
        """Follow the store and the peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll())
            group.create_task(self._watch())
            group.create_task(self._follow_peers())

    async def _poll(self) -> None:
        """Read the manifest regularly while in office."""
        while True:
            if self._membership.in_office():
                await self._read_store()
            self._note_store()
            await asyncio.sleep(self._poll_s)

    def _note_store(self) -> None:
        contact_at = self._membership.store_contact_at
        is_lost = self._clock.now() - contact_at > _STORE_LOST_S
        if is_lost != self._is_store_lost:
            self._is_store_lost = is_lost
            kinds = event_ring.EventKind
            self._events.add(
                kinds.STORE_LOST if is_lost else kinds.STORE_REACHED
            )

    async def _read_store(self) -> None:
        asked_at = self._clock.now()
        try:
            stored = await self._store.get(manifest_module.MANIFEST_KEY)
            self._note_contact(asked_at)
            if stored is not None:
                await self._take_stored(stored)
        except errors.StoreError:
            return

    def _note_contact(self, at: float) -> None:
        membership = self._membership
        membership.store_contact_at = max(membership.store_contact_at, at)

    async def _watch(self) -> None:
        """Hold one watch while in office."""
        retrying = tenacity.AsyncRetrying(
            retry=tenacity.retry_if_exception_type(errors.StoreError),
            wait=tenacity.wait_random_exponential(
                multiplier=_RETRY_FIRST_S, max=_RETRY_LONGEST_S
            ),
            sleep=asyncio.sleep,
        )
        while True:
            await asyncio.sleep(_RETRY_FIRST_S)
            async for attempt in retrying:
                with attempt:
                    await self._watch_once()

    async def _watch_once(self) -> None:
        while not self._membership.in_office():
            await asyncio.sleep(_RETRY_FIRST_S)
        stored = await self._store.get(manifest_module.MANIFEST_KEY)
        after = stored.mod_revision if stored else 0
        if stored is not None:
            await self._take_stored(stored)
        async with self._store.watch(
            manifest_module.MANIFEST_KEY, after
        ) as changes:
            async for change in changes:
                self._note_contact(self._clock.now())
                await self._take_stored(change)
                if not self._membership.in_office():
                    return
        raise errors.StoreUnavailableError("watch ended")

    async def _take_stored(self, stored: store_client.StoredValue) -> None:
        try:
            manifest = msgspec.json.decode(
                stored.value, type=manifest_module.Manifest
            )
        except msgspec.DecodeError as error:
            raise errors.StoreError(f"manifest: {error}") from error
        await self.load(manifest)

    async def load(self, manifest: manifest_module.Manifest) -> None:
        """Fetch the chunks that a manifest needs and adopt it.

        Raises:
            StoreError: If a chunk is missing or not what its digest says.
        """
        async with self._lock:
            if manifest.revision <= self._keeper.snapshot.revision:
                return
            missing = self._keeper.cache.missing(manifest)
            keys = [manifest_module.chunk_key(d) for d in missing]
            data_by_key = await self._store.get_many(keys)
            for key in keys:
                data = data_by_key.get(key)
                if data is None:
                    raise errors.StoreError(f"{key} is missing")
                digest = self._keeper.cache.add(data)
                if manifest_module.chunk_key(digest) != key:
                    raise errors.StoreError(f"{key} holds other bytes")
            self._keeper.adopt(manifest)

    # Peers.

    def _push(self, snapshot: config_snapshot.ConfigSnapshot) -> None:
        """Offer a new revision to the members that lack it."""
        self._membership.revision = snapshot.revision
        if not self._membership.in_office():
            return
        revisions = self._membership.revision_by_instance()
        for instance, revision in revisions.items():
            if instance == self._membership.me.instance:
                continue
            offer = self._keeper.offer_since(revision)
            if offer is not None:
                self._post(instance, offer)

    def _post(self, instance: ids.InstanceId, message: pm.Message) -> None:
        try:
            self._network.post(instance, message)
        except errors.PeerError:
            self._network.greet(instance)

    def _on_offer(self, sender: ids.InstanceId, offer: pm.ConfigOffer) -> None:
        self._keeper.take_offer(offer)

    def _on_request(
        self, sender: ids.InstanceId, request: pm.ConfigRequest
    ) -> pm.Message:
        if request.revision >= self._keeper.snapshot.revision:
            return pm.Acknowledged()
        return self._keeper.offer_since(request.revision)

    async def _follow_peers(self) -> None:
        """Ask peers that have a higher revision for what is missing."""
        while True:
            await asyncio.sleep(self._poll_s / 4)
            for peer in self._ahead():
                if await self._ask(peer):
                    break

    def _ahead(self) -> list[ids.InstanceId]:
        own = self._keeper.snapshot.revision
        revisions = self._membership.revision_by_instance()
        mates = [i for i, revision in revisions.items() if revision > own]
        return mates or self._newer_peers()

    async def _ask(self, peer: ids.InstanceId) -> bool:
        known = self._keeper.snapshot.revision
        if known not in self._keeper._manifests:
            known = ids.Revision(0)
        try:
            answer = await self._network.call(
                peer, pm.ConfigRequest(known), _CALL_TIMEOUT_S
            )
        except errors.PeerError:
            return False
        if isinstance(answer, pm.ConfigOffer):
            return self._keeper.take_offer(answer)
        return False
