"""The active configuration of an entry and its distribution to entries.

A revision's records are stored in chunks, each under the digest of its bytes.
A manifest lists the digests of a revision's chunks.

Only higher revisions are adopted, from whatever source. The coordinator of a
failure domain watches the store for the whole domain. All other entries, and
a coordinator that can't reach the store, get revisions from peers.
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
from chicorydoor.transport import etcd_store_client
from chicorydoor.transport import metrics

_LOG = logging.getLogger(__name__)
_CALL_TIMEOUT_S = 1.0
_MAX_KEPT_MANIFESTS = 16
_MIN_RETRY_S = 0.2
_MAX_RETRY_S = 5.0
_STORE_LOST_AFTER_S = 5.0


class ActiveRevision:
    """Holds the active configuration revision.

    Args:
        clock (Clock): Monotonic time.
        events (EventRing): Records state changes.

    Attributes:
        cache (ChunkCache): Chunks of the active revision.
        snapshot (ConfigSnapshot): The active revision.
        observers (list): Functions called with each new snapshot.
    """

    def __init__(
        self, clock: clock_module.Clock, events: event_ring.EventRing
    ) -> None:
        self._clock = clock
        self._events = events
        self.cache = config_chunks.ChunkCache()
        self.snapshot = config_snapshot.EMPTY
        self._manifest_by_revision: dict[
            ids.Revision, manifest_module.Manifest
        ] = {ids.Revision(0): manifest_module.EMPTY_MANIFEST}
        self.observers: list[
            abc.Callable[[config_snapshot.ConfigSnapshot], None]
        ] = []

    def get_snapshot(self) -> config_snapshot.ConfigSnapshot:
        """Snapshot of the active revision."""
        return self.snapshot

    def adopt(self, manifest: manifest_module.Manifest) -> bool:
        """Activate a revision if it is higher than the active one.

        Args:
            manifest (Manifest): The revision; the cache must hold all its
                chunks.

        Returns:
            Whether it was adopted.
        """
        if manifest.revision <= self.snapshot.revision:
            return False
        configuration = self.cache.assemble(manifest)
        blocks = self._make_block_table(manifest)
        self.snapshot = config_snapshot.ConfigSnapshot(
            manifest, configuration, blocks
        )
        self._keep_manifest(manifest)
        self.cache.remove_unused(manifest)
        metrics.REVISION.set(manifest.revision)
        self._events.add(
            event_ring.EventKind.REVISION_ACTIVATED, revision=manifest.revision
        )
        for observer in self.observers:
            observer(self.snapshot)
        return True

    def _make_block_table(
        self, manifest: manifest_module.Manifest
    ) -> client_blocks.ClientBlockTable:
        digests = config_chunks.block_digests(manifest)
        if digests == config_chunks.block_digests(self.snapshot.manifest):
            return self.snapshot.blocks
        blocks = self.cache.decode_client_blocks(manifest)
        return client_blocks.ClientBlockTable(
            {cidr: block.region for cidr, block in blocks.items()}
        )

    def copy_configuration(self) -> config_records.Configuration:
        """Copy of the active configuration, including its client blocks.

        Its records are frozen; its collections may be changed.
        """
        manifest = self.snapshot.manifest
        configuration = self.cache.assemble(manifest)
        configuration.block_by_cidr = self.cache.decode_client_blocks(manifest)
        return configuration

    def _keep_manifest(self, manifest: manifest_module.Manifest) -> None:
        self._manifest_by_revision[manifest.revision] = manifest
        while len(self._manifest_by_revision) > _MAX_KEPT_MANIFESTS:
            del self._manifest_by_revision[min(self._manifest_by_revision)]

    def make_offer(self, revision: ids.Revision) -> pm.ConfigOffer | None:
        """Difference from a revision to the active one, with its chunks.

        A revision that is not kept counts as the empty one.
        """
        manifest = self.snapshot.manifest
        base_manifest = self._manifest_by_revision.get(
            revision, manifest_module.EMPTY_MANIFEST
        )
        delta = manifest_module.compute_delta(base_manifest, manifest)
        data = [
            chunk
            for digest in delta.manifest.digest_by_chunk.values()
            if (chunk := self.cache.get(digest)) is not None
        ]
        return pm.ConfigOffer(delta, data)

    def apply_offer(self, offer: pm.ConfigOffer) -> bool:
        """Apply an offer and adopt its revision.

        Returns:
            False if its base revision or a chunk of it is unknown, else
            True; an offer that is not newer is ignored.
        """
        delta = offer.delta
        if delta.manifest.revision <= self.snapshot.revision:
            return True
        base = self._manifest_by_revision.get(delta.from_revision)
        if base is None:
            return False
        for data in offer.data:
            self.cache.add(data)
        manifest = manifest_module.apply_delta(base, delta)
        if self.cache.missing_digests(manifest):
            return False
        return self.adopt(manifest)


class RevisionSync:
    """Keeps an entry's configuration up to date.

    Args:
        active_revision (ActiveRevision): Holds the active revision.
        store (ConfigStore): The key-value store.
        membership (Membership): Says whether this entry is coordinator.
        network (PeerNetwork): Sends and receives offers and requests.
        clock (Clock): Monotonic time.
        events (EventRing): Records state changes.
        poll_s (float): Interval of reading the manifest from the store, in
            seconds; peers are asked four times as often.
        peers_with_newer_revision (callable): Returns coordinators of other
            failure domains that are known to have a higher revision.
    """

    def __init__(
        self,
        *,
        active_revision: ActiveRevision,
        store: etcd_store_client.ConfigStore,
        membership: membership_module.Membership,
        network: peer_network.PeerNetwork,
        clock: clock_module.Clock,
        events: event_ring.EventRing,
        poll_s: float,
        peers_with_newer_revision: abc.Callable[[], list[ids.InstanceId]],
    ) -> None:
        self._active_revision = active_revision
        self._store = store
        self._membership = membership
        self._network = network
        self._clock = clock
        self._events = events
        self._poll_s = poll_s
        self._remote_peers_with_newer_revision = peers_with_newer_revision
        self._is_store_lost = False
        self._load_lock = asyncio.Lock()
        network.set_handler(pm.ConfigOffer, self._handle_offer)
        network.set_handler(pm.ConfigRequest, self._handle_request)
        active_revision.observers.append(self._send_to_members)

    async def run(self) -> None:
        """Get new revisions from the store and peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_store())
            group.create_task(self._watch_store())
            group.create_task(self._request_from_peers())

    async def _poll_store(self) -> None:
        """Read the manifest periodically while this entry is coordinator."""
        while True:
            if self._membership.is_coordinator():
                await self._read_manifest_from_store()
            self._record_store_state()
            await asyncio.sleep(self._poll_s)

    def _record_store_state(self) -> None:
        contact_at = self._membership.store_contact_at
        is_lost = self._clock.now() - contact_at > _STORE_LOST_AFTER_S
        if is_lost != self._is_store_lost:
            self._is_store_lost = is_lost
            kinds = event_ring.EventKind
            self._events.add(
                kinds.STORE_LOST if is_lost else kinds.STORE_REACHED
            )

    async def _read_manifest_from_store(self) -> None:
        requested_at = self._clock.now()
        try:
            stored = await self._store.get(manifest_module.MANIFEST_KEY)
            self._record_store_contact(requested_at)
            if stored is not None:
                await self._load_stored_manifest(stored)
        except errors.StoreError:
            return

    def _record_store_contact(self, at: float) -> None:
        membership = self._membership
        membership.store_contact_at = max(membership.store_contact_at, at)

    async def _watch_store(self) -> None:
        """Watch the manifest as coordinator.

        The lease is checked only after a change, so a watch may outlast the
        term until the next change.
        """
        retrying = tenacity.AsyncRetrying(
            retry=tenacity.retry_if_exception_type(errors.StoreError),
            wait=tenacity.wait_random_exponential(
                multiplier=_MIN_RETRY_S, max=_MAX_RETRY_S
            ),
            sleep=asyncio.sleep,
        )
        while True:
            await asyncio.sleep(_MIN_RETRY_S)
            async for attempt in retrying:
                with attempt:
                    await self._watch_until_term_ends()

    async def _watch_until_term_ends(self) -> None:
        while not self._membership.is_coordinator():
            await asyncio.sleep(_MIN_RETRY_S)
        stored = await self._store.get(manifest_module.MANIFEST_KEY)
        after = stored.mod_revision if stored else 0
        if stored is not None:
            await self._load_stored_manifest(stored)
        async with self._store.watch(
            manifest_module.MANIFEST_KEY, after
        ) as changes:
            async for change in changes:
                self._record_store_contact(self._clock.now())
                await self._load_stored_manifest(change)
                if not self._membership.is_coordinator():
                    return
        raise errors.StoreUnavailableError("watch ended")

    async def _load_stored_manifest(
        self, stored: etcd_store_client.StoredValue
    ) -> None:
        try:
            manifest = msgspec.json.decode(
                stored.value, type=manifest_module.Manifest
            )
        except msgspec.DecodeError as error:
            raise errors.StoreError(f"manifest: {error}") from error
        await self.load_manifest(manifest)

    async def load_manifest(self, manifest: manifest_module.Manifest) -> None:
        """Read a manifest's missing chunks from the store and adopt it.

        Raises:
            StoreError: If a chunk is missing or doesn't match its digest.
        """
        async with self._load_lock:
            if manifest.revision <= self._active_revision.snapshot.revision:
                return
            missing = self._active_revision.cache.missing_digests(manifest)
            keys = [manifest_module.chunk_key(d) for d in missing]
            data_by_key = await self._store.get_many(keys)
            for key in keys:
                data = data_by_key.get(key)
                if data is None:
                    raise errors.StoreError(f"{key} is missing")
                digest = self._active_revision.cache.add(data)
                if manifest_module.chunk_key(digest) != key:
                    raise errors.StoreError(f"{key} holds other bytes")
            self._active_revision.adopt(manifest)

    # Peers.

    def _send_to_members(
        self, snapshot: config_snapshot.ConfigSnapshot
    ) -> None:
        """Send a new revision to all other live members, as coordinator.

        Each gets the difference from the revision that it last reported.
        """
        self._membership.own_revision = snapshot.revision
        if not self._membership.is_coordinator():
            return
        revisions = self._membership.revision_by_instance()
        for instance, revision in revisions.items():
            if instance == self._membership.own_member.instance:
                continue
            offer = self._active_revision.make_offer(revision)
            if offer is not None:
                self._send_message_or_hello(instance, offer)

    def _send_message_or_hello(
        self, instance: ids.InstanceId, message: pm.Message
    ) -> None:
        """Send a message, or only a hello if the incarnation is unknown.

        The message is lost in that case.
        """
        try:
            self._network.send_message(instance, message)
        except errors.PeerError:
            self._network.send_hello(instance)

    def _handle_offer(
        self, sender: ids.InstanceId, offer: pm.ConfigOffer
    ) -> None:
        self._active_revision.apply_offer(offer)

    def _handle_request(
        self, sender: ids.InstanceId, request: pm.ConfigRequest
    ) -> pm.Message:
        if request.revision >= self._active_revision.snapshot.revision:
            return pm.Ack()
        return self._active_revision.make_offer(request.revision)

    async def _request_from_peers(self) -> None:
        """Request a higher revision from peers until cancelled."""
        while True:
            await asyncio.sleep(self._poll_s / 4)
            for peer in self._peers_with_newer_revision():
                if await self._request_revision(peer):
                    break

    def _peers_with_newer_revision(self) -> list[ids.InstanceId]:
        own_revision = self._active_revision.snapshot.revision
        revisions = self._membership.revision_by_instance()
        domain_peers = [
            i for i, revision in revisions.items() if revision > own_revision
        ]
        return domain_peers or self._remote_peers_with_newer_revision()

    async def _request_revision(self, peer: ids.InstanceId) -> bool:
        base_revision = self._active_revision.snapshot.revision
        if base_revision not in self._active_revision._manifest_by_revision:
            base_revision = ids.Revision(0)
        try:
            answer = await self._network.call_peer(
                peer, pm.ConfigRequest(base_revision), _CALL_TIMEOUT_S
            )
        except errors.PeerError:
            return False
        if isinstance(answer, pm.ConfigOffer):
            return self._active_revision.apply_offer(answer)
        return False
