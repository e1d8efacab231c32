"""Operators' changes and views of the configuration, keys and drains."""

import asyncio
from collections import abc
import datetime
import hashlib
import hmac
import secrets
import uuid

import msgspec

from chicorydoor import errors
from chicorydoor.coordination import membership as membership_module
from chicorydoor.coordination import peer_network
from chicorydoor.coordination import revision_sync as revision_sync_module
from chicorydoor.coordination import shift_planner
from chicorydoor.protocol import admin_api
from chicorydoor.protocol import config_records
from chicorydoor.protocol import headers as http_headers
from chicorydoor.protocol import ids
from chicorydoor.protocol import manifest as manifest_module
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.state import config_chunks
from chicorydoor.state import config_folder
from chicorydoor.state import config_snapshot
from chicorydoor.state import domain_limits
from chicorydoor.state import event_ring
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import etcd_store_client

_CALL_TIMEOUT_S = 1.0
_MAX_READ_BACK_ATTEMPTS = 5
_READ_BACK_PAUSE_S = 0.3
_KEY_BYTES = 32


class Administration:
    """Implements the operations of the administration API.

    Args:
        active_revision (ActiveRevision): Holds the active revision.
        revision_sync (RevisionSync): Loads a newer revision from the store.
        store (ConfigStore): The key-value store.
        membership (Membership): Members of the own failure domain.
        network (PeerNetwork): Calls entries and other coordinators.
        clock (Clock): Wall time.
        events (EventRing): Records applied changes.
        operator_digest_by_name (dict): SHA-256 digests of the operators'
            tokens.
        known_coordinators (callable): Returns known coordinators by domain.
        known_entries (callable): Returns all known entries.
        confirmed_revision (callable): Returns the lowest revision that this
            entry knows to be active at the failure domains' coordinators.
    """

    def __init__(
        self,
        *,
        active_revision: revision_sync_module.ActiveRevision,
        revision_sync: revision_sync_module.RevisionSync,
        store: etcd_store_client.ConfigStore,
        membership: membership_module.Membership,
        network: peer_network.PeerNetwork,
        clock: clock_module.Clock,
        events: event_ring.EventRing,
        operator_digest_by_name: abc.Mapping[str, str],
        known_coordinators: abc.Callable[
            [], dict[ids.DomainId, ids.InstanceId]
        ],
        known_entries: abc.Callable[[], list[ids.InstanceId]],
        confirmed_revision: abc.Callable[[], ids.Revision],
    ) -> None:
        self._active_revision = active_revision
        self._revision_sync = revision_sync
        self._store = store
        self._membership = membership
        self._network = network
        self._clock = clock
        self._events = events
        self._operator_digest_by_name = dict(operator_digest_by_name)
        self._coordinators = known_coordinators
        self._entries = known_entries
        self._confirmed_revision = confirmed_revision
        network.set_handler(pm.EventsRequest, self._handle_events_request)

    def authenticate_operator(self, token: str) -> str | None:
        """Name of the operator whose token this is, None if nobody's."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        operator: str | None = None
        for name, known_digest in self._operator_digest_by_name.items():
            if hmac.compare_digest(known_digest, digest):
                operator = name
        return operator

    def get_configuration_view(self) -> admin_api.ConfigurationView:
        """The active configuration."""
        snapshot = self._active_revision.snapshot
        return admin_api.ConfigurationView(
            snapshot.revision,
            msgspec.to_builtins(self._active_revision.copy_configuration()),
        )

    # Changes.

    async def apply(
        self, call: admin_api.ApplyCall, operator: str
    ) -> admin_api.ApplyResult:
        """Commit a whole configuration.

        The withdrawn keys are always kept, and the present keys if the
        documents hold no ``key_by_id``.

        Args:
            call (ApplyCall): Documents and the revision on which they are
                based.
            operator (str): Name of the operator.

        Returns:
            Whether it was committed, which may remain unknown, and its
            revision.

        Raises:
            ConfigurationError: If the configuration is not valid.
            ConflictError: If the base is not the latest revision, or another
                change was committed first.
        """
        configuration = config_records.Configuration()
        config_folder.merge_document(configuration, call.documents, "apply")
        current = self._active_revision.snapshot.configuration
        configuration.withdrawn_key_by_id.update(current.withdrawn_key_by_id)
        if "key_by_id" not in call.documents:
            configuration.key_by_id.update(current.key_by_id)
        config_folder.check_references(configuration)
        self._check_drains(configuration)
        return await self._commit(configuration, call.base, operator)

    def _check_drains(
        self, configuration: config_records.Configuration
    ) -> None:
        """Check that new drains leave time to shift traffic within the cap.

        Raises:
            ConfigurationError: If a drain of a domain or region starts too
                soon.
        """
        known = self._active_revision.snapshot.configuration.drain_by_id
        policy = configuration.policy_by_id.get(
            "default", config_records.Policy()
        )
        lead_s = shift_planner.drain_lead_s(
            configuration.route_by_id.values(), policy.lookup_ttl_s
        )
        kinds = (
            config_records.DrainKind.DOMAIN,
            config_records.DrainKind.REGION,
        )
        for drain_id, drain in configuration.drain_by_id.items():
            if known.get(drain_id) == drain or drain.kind not in kinds:
                continue
            notice_s = drain.starts_at.timestamp() - self._clock.wall()
            if notice_s < lead_s:
                raise errors.ConfigurationError(
                    f"drain_by_id.{drain_id}.starts_at: in {notice_s:.0f} s, "
                    f"but moving the traffic under the shift caps takes "
                    f"{lead_s:.0f} s"
                )

    async def _commit(
        self,
        configuration: config_records.Configuration,
        base: int,
        operator: str,
    ) -> admin_api.ApplyResult:
        """Write the chunks, then swap the manifest.

        Raises:
            ConflictError: If the base is not the latest revision, or another
                change was committed first.
        """
        stored = await self._read_manifest()
        stored_manifest, mod_revision = stored
        latest = max(
            stored_manifest.revision, self._active_revision.snapshot.revision
        )
        if base != latest:
            raise errors.ConflictError(
                f"made from revision {base}, but revision {latest} is in force"
            )
        apply_id = uuid.uuid4().hex
        revision = ids.Revision(latest + 1)
        domain_limits.record_replaced_limits(
            self._active_revision.snapshot.configuration,
            configuration,
            revision,
            self._confirmed_revision(),
        )
        manifest, data_by_digest = config_chunks.build_manifest(
            stored_manifest, configuration, apply_id, revision
        )
        await self._store.put_many(
            {
                manifest_module.chunk_key(digest): data
                for digest, data in data_by_digest.items()
            }
        )
        ending = await self._swap_manifest(
            stored_manifest, manifest, mod_revision
        )
        if ending is admin_api.Ending.COMMITTED:
            self._adopt_committed(manifest, data_by_digest, operator)
        return admin_api.ApplyResult(ending, revision, apply_id)

    async def _read_manifest(
        self,
    ) -> tuple[manifest_module.Manifest, int]:
        stored = await self._store.get(manifest_module.MANIFEST_KEY)
        if stored is None:
            return manifest_module.EMPTY_MANIFEST, 0
        manifest = msgspec.json.decode(
            stored.value, type=manifest_module.Manifest
        )
        return manifest, stored.mod_revision

    async def _swap_manifest(
        self,
        current: manifest_module.Manifest,
        manifest: manifest_module.Manifest,
        mod_revision: int,
    ) -> admin_api.Ending:
        """Compare and swap the manifest, and find out how that ended.

        Raises:
            ConflictError: If another change was committed first.
        """
        kept_digests = {chunk.digest for chunk in manifest.retired}
        kept_digests.update(manifest.digest_by_chunk.values())
        deletes = [
            manifest_module.chunk_key(chunk.digest)
            for chunk in current.retired
            if chunk.digest not in kept_digests
        ]
        try:
            is_swapped = await self._store.compare_and_swap(
                manifest_module.MANIFEST_KEY,
                mod_revision,
                msgspec.json.encode(manifest),
                deletes,
            )
        except errors.StoreUnavailableError:
            return await self._resolve_unknown_outcome(
                current, manifest, mod_revision
            )
        if not is_swapped:
            raise errors.ConflictError("another change was committed first")
        return admin_api.Ending.COMMITTED

    async def _resolve_unknown_outcome(
        self,
        current: manifest_module.Manifest,
        manifest: manifest_module.Manifest,
        mod_revision: int,
    ) -> admin_api.Ending:
        """Find out whether a write whose response was lost took effect.

        The write may still be in flight, so its absence proves nothing.
        Rewriting the previous manifest fences the write off, as its
        comparison then fails.
        """
        for _ in range(_MAX_READ_BACK_ATTEMPTS):
            try:
                stored, found_revision = await self._read_manifest()
                if manifest.apply_id in stored.apply_ids:
                    return admin_api.Ending.COMMITTED
                if found_revision != mod_revision:
                    return admin_api.Ending.NOT_COMMITTED
                if await self._store.compare_and_swap(
                    manifest_module.MANIFEST_KEY,
                    mod_revision,
                    msgspec.json.encode(current),
                ):
                    return admin_api.Ending.NOT_COMMITTED
            except errors.StoreUnavailableError:
                await asyncio.sleep(_READ_BACK_PAUSE_S)
        return admin_api.Ending.UNKNOWN

    def _adopt_committed(
        self,
        manifest: manifest_module.Manifest,
        data_by_digest: dict[str, bytes],
        operator: str,
    ) -> None:
        """Record the committed change; adopt it if all chunks are known."""
        self._events.add(
            event_ring.EventKind.APPLIED,
            revision=manifest.revision,
            detail=operator,
        )
        for data in data_by_digest.values():
            self._active_revision.cache.add(data)
        if not self._active_revision.cache.missing_digests(manifest):
            self._active_revision.adopt(manifest)

    async def _commit_change(
        self,
        operator: str,
        change: abc.Callable[[config_records.Configuration], None],
    ) -> admin_api.ApplyResult:
        """Commit a change of the latest configuration.

        Args:
            operator (str): Name of the operator.
            change (callable): Changes a copy of the configuration.
        """
        await self._load_latest_revision()
        snapshot = self._active_revision.snapshot
        configuration = self._active_revision.copy_configuration()
        change(configuration)
        config_folder.check_references(configuration)
        self._check_drains(configuration)
        return await self._commit(configuration, snapshot.revision, operator)

    async def _load_latest_revision(self) -> None:
        manifest, _ = await self._read_manifest()
        if manifest.revision > self._active_revision.snapshot.revision:
            await self._revision_sync.load_manifest(manifest)

    async def issue_key(
        self, key_id: ids.KeyId, customer: ids.CustomerId, operator: str
    ) -> admin_api.IssuedKey:
        """Issue a key; only the answer contains its text."""
        text = http_headers.API_KEY_PREFIX.decode() + secrets.token_urlsafe(
            _KEY_BYTES
        )
        digest = config_snapshot.key_digest(text.encode())
        key = config_records.Key(customer, digest)

        def change(configuration: config_records.Configuration) -> None:
            if key_id in configuration.key_by_id:
                raise errors.ConflictError(f"key {key_id!r} exists")
            configuration.key_by_id[key_id] = key

        result = await self._commit_change(operator, change)
        return admin_api.IssuedKey(key_id, text, result)

    async def withdraw_key(
        self, key_id: ids.KeyId, operator: str
    ) -> admin_api.ApplyResult:
        """Withdraw a key permanently."""
        now = datetime.datetime.fromtimestamp(self._clock.wall(), datetime.UTC)

        def change(configuration: config_records.Configuration) -> None:
            if configuration.key_by_id.pop(key_id, None) is None:
                raise errors.ConflictError(f"no key {key_id!r} is in force")
            withdrawn = config_records.WithdrawnKey(now)
            configuration.withdrawn_key_by_id[key_id] = withdrawn

        return await self._commit_change(operator, change)

    async def plan_drain(
        self, drain_id: ids.DrainId, drain: config_records.Drain, operator: str
    ) -> admin_api.ApplyResult:
        """Add or replace a planned drain."""
        drain.validate()

        def change(configuration: config_records.Configuration) -> None:
            configuration.drain_by_id[drain_id] = drain

        return await self._commit_change(operator, change)

    async def cancel_drain(
        self, drain_id: ids.DrainId, operator: str
    ) -> admin_api.ApplyResult:
        """Remove a planned drain."""

        def change(configuration: config_records.Configuration) -> None:
            if configuration.drain_by_id.pop(drain_id, None) is None:
                raise errors.ConflictError(f"no drain {drain_id!r}")

        return await self._commit_change(operator, change)

    # Views.

    async def get_active_revisions(self) -> dict[ids.InstanceId, ids.Revision]:
        """Active revision of each known live instance.

        Those of other domains come from their coordinators, as far as these
        answer; coordinators know them from heartbeats.
        """
        revisions = dict(self._membership.revision_by_instance())
        calls = [
            self._network.call_peer(
                peer, pm.ActiveRevisionsRequest(), _CALL_TIMEOUT_S
            )
            for domain, peer in self._coordinators().items()
            if domain != self._membership.own_member.domain
        ]
        answers = await asyncio.gather(*calls, return_exceptions=True)
        for answer in answers:
            if isinstance(answer, pm.ActiveRevisions):
                revisions.update(answer.revision_by_instance)
        return revisions

    async def collect_events(
        self, since: int, limit: int
    ) -> list[event_ring.Event]:
        """Events of all entries that can be reached, in causal order.

        Args:
            since (int): Stamp after which events are wanted.
            limit (int): Most events of each entry.
        """
        request = pm.EventsRequest(since, limit)
        calls = [
            self._network.call_peer(peer, request, _CALL_TIMEOUT_S)
            for peer in self._entries()
            if peer != self._membership.own_member.instance
        ]
        answers = await asyncio.gather(*calls, return_exceptions=True)
        rings = [self._events.events_since(since, limit)]
        rings += [a.events for a in answers if isinstance(a, pm.Events)]
        return event_ring.merge_events(rings)

    def _handle_events_request(
        self, sender: ids.InstanceId, request: pm.EventsRequest
    ) -> pm.Events:
        return pm.Events(
            self._events.events_since(request.since, request.limit)
        )
