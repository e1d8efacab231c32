"""What operators do through an entry's administration port."""

import asyncio
from collections import abc
import datetime
import hashlib
import hmac
import secrets
import uuid

import msgspec

from chicorydoor import errors
from chicorydoor.coordination import config_keeper
from chicorydoor.coordination import membership as membership_module
from chicorydoor.coordination import peer_network
from chicorydoor.coordination import shifts
from chicorydoor.protocol import admin_api
from chicorydoor.protocol import config_records
from chicorydoor.protocol import headers as header_names
from chicorydoor.protocol import ids
from chicorydoor.protocol import manifest as manifest_module
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.state import config_chunks
from chicorydoor.state import config_folder
from chicorydoor.state import config_snapshot
from chicorydoor.state import domain_parts
from chicorydoor.state import event_ring
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import store_client

_CALL_TIMEOUT_S = 1.0
_READ_BACK_TRIES = 5
_READ_BACK_PAUSE_S = 0.3
_KEY_BYTES = 32


class Administration:
    """Changes and views of the configuration.

    Args:
        keeper (ConfigKeeper): Holds the revision in force.
        relay (ConfigRelay): Puts a committed revision in force here.
        store (Store): The key-value service.
        membership (Membership): The own failure domain.
        network (PeerNetwork): Asks other failure domains.
        clock (Clock): Time.
        events (EventRing): Gets what is applied.
        operator_digest_by_name (dict): SHA-256 digests of tokens.
        coordinators (callable): Known coordinators by failure domain.
        entries (callable): All known entries.
        confirmed (callable): Revision known to be in force everywhere.
    """

    def __init__(
        self,
        *,
        keeper: config_keeper.ConfigKeeper,
        relay: config_keeper.ConfigRelay,
        store: store_client.Store,
        membership: membership_module.Membership,
        network: peer_network.PeerNetwork,
        clock: clock_module.Clock,
        events: event_ring.EventRing,
        operator_digest_by_name: abc.Mapping[str, str],
        coordinators: abc.Callable[[], dict[ids.DomainId, ids.InstanceId]],
        entries: abc.Callable[[], list[ids.InstanceId]],
        confirmed: abc.Callable[[], ids.Revision],
    ) -> None:
        self._keeper = keeper
        self._relay = relay
        self._store = store
        self._membership = membership
        self._network = network
        self._clock = clock
        self._events = events
        self._operators = dict(operator_digest_by_name)
        self._coordinators = coordinators
        self._entries = entries
        self._confirmed = confirmed
        network.on(pm.EventsRequest, self._on_events)

    def operator_of(self, token: str) -> str | None:
        """Name of the operator whose token this is."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        found: str | None = None
        for name, known in self._operators.items():
            if hmac.compare_digest(known, digest):
                found = name
        return found

    def documents(self) -> admin_api.ConfigurationView:
        """The configuration in force."""
        snapshot = self._keeper.snapshot
        return admin_api.ConfigurationView(
            snapshot.revision,
            msgspec.to_builtins(self._keeper.full_configuration()),
        )

    # Changes.

    async def apply(
        self, call: admin_api.ApplyCall, operator: str
    ) -> admin_api.ApplyResult:
        """Commit a whole configuration.

        Args:
            call (ApplyCall): Documents and the revision they were made
                from.
            operator (str): Who applies it.

        Returns:
            Whether it was committed, and its revision.

        Raises:
            ConfigurationError: If it is not valid.
            ConflictError: If the base is no longer the latest revision.
        """
        configuration = config_records.Configuration()
        config_folder.merge_document(configuration, call.documents, "apply")
        current = self._keeper.snapshot.configuration
        configuration.withdrawn_key_by_id.update(current.withdrawn_key_by_id)
        if "key_by_id" not in call.documents:
            configuration.key_by_id.update(current.key_by_id)
        config_folder.check_references(configuration)
        self._check_drains(configuration)
        return await self._commit(configuration, call.base, operator)

    def _check_drains(
        self, configuration: config_records.Configuration
    ) -> None:
        """New drains of domains need notice, so that the cap can hold."""
        known = self._keeper.snapshot.configuration.drain_by_id
        policy = configuration.policy_by_id.get(
            "default", config_records.Policy()
        )
        lead_s = shifts.drain_lead_s(
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
        """Write the chunks, then switch the manifest."""
        stored = await self._read_manifest()
        current, mod_revision = stored
        latest = max(current.revision, self._keeper.snapshot.revision)
        if base != latest:
            raise errors.ConflictError(
                f"made from revision {base}, but revision {latest} is in force"
            )
        apply_id = uuid.uuid4().hex
        revision = ids.Revision(latest + 1)
        domain_parts.note_changes(
            self._keeper.snapshot.configuration,
            configuration,
            revision,
            self._confirmed(),
        )
        manifest, data_by_digest = config_chunks.next_manifest(
            current, configuration, apply_id, revision
        )
        await self._store.put_many(
            {
                manifest_module.chunk_key(digest): data
                for digest, data in data_by_digest.items()
            }
        )
        ending = await self._switch(current, manifest, mod_revision)
        if ending is admin_api.Ending.COMMITTED:
            self._take(manifest, data_by_digest, operator)
        return admin_api.ApplyResult(ending, revision, apply_id)

    async def _read_manifest(
        self,
    ) -> tuple[manifest_module.Manifest, int]:
        stored = await self._store.get(manifest_module.MANIFEST_KEY)
        if stored is None:
            return manifest_module.EMPTY, 0
        manifest = msgspec.json.decode(
            stored.value, type=manifest_module.Manifest
        )
        return manifest, stored.mod_revision

    async def _switch(
        self,
        current: manifest_module.Manifest,
        manifest: manifest_module.Manifest,
        mod_revision: int,
    ) -> admin_api.Ending:
        """Compare and swap, and learn how it ended.

        Raises:
            ConflictError: If another change was committed first.
        """
        kept = {chunk.digest for chunk in manifest.retired}
        kept.update(manifest.digest_by_chunk.values())
        deletes = [
            manifest_module.chunk_key(chunk.digest)
            for chunk in current.retired
            if chunk.digest not in kept
        ]
        try:
            is_swapped = await self._store.compare_and_swap(
                manifest_module.MANIFEST_KEY,
                mod_revision,
                msgspec.json.encode(manifest),
                deletes,
            )
        except errors.StoreUnavailableError:
            return await self._resolve(current, manifest, mod_revision)
        if not is_swapped:
            raise errors.ConflictError("another change was committed first")
        return admin_api.Ending.COMMITTED

    async def _resolve(
        self,
        current: manifest_module.Manifest,
        manifest: manifest_module.Manifest,
        mod_revision: int,
    ) -> admin_api.Ending:
        """Learn whether a write took effect whose answer was lost.

        The write may still be under way, so its absence proves nothing.
        Writing the old manifest once more makes its comparison fail.
        """
        for _ in range(_READ_BACK_TRIES):
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

    def _take(
        self,
        manifest: manifest_module.Manifest,
        data_by_digest: dict[str, bytes],
        operator: str,
    ) -> None:
        """Put the committed change in force here at once."""
        self._events.add(
            event_ring.EventKind.APPLIED,
            revision=manifest.revision,
            detail=operator,
        )
        for data in data_by_digest.values():
            self._keeper.cache.add(data)
        if not self._keeper.cache.missing(manifest):
            self._keeper.adopt(manifest)

    async def _change(
        self,
        operator: str,
        change: abc.Callable[[config_records.Configuration], None],
    ) -> admin_api.ApplyResult:
        """Commit a change of the latest configuration."""
        await self._catch_up()
        snapshot = self._keeper.snapshot
        configuration = self._keeper.full_configuration()
        change(configuration)
        config_folder.check_references(configuration)
        self._check_drains(configuration)
        return await self._commit(configuration, snapshot.revision, operator)

    async def _catch_up(self) -> None:
        manifest, _ = await self._read_manifest()
        if manifest.revision > self._keeper.snapshot.revision:
            await self._relay.load(manifest)

    async def issue_key(
        self, key_id: ids.KeyId, customer: ids.CustomerId, operator: str
    ) -> admin_api.IssuedKey:
        """Make a key; its text is in the answer and nowhere else."""
        text = header_names.KEY_PREFIX.decode() + secrets.token_urlsafe(
            _KEY_BYTES
        )
        digest = config_snapshot.key_digest(text.encode())
        key = config_records.Key(customer, digest)

        def change(configuration: config_records.Configuration) -> None:
            if key_id in configuration.key_by_id:
                raise errors.ConflictError(f"key {key_id!r} exists")
            configuration.key_by_id[key_id] = key

        result = await self._change(operator, change)
        return admin_api.IssuedKey(key_id, text, result)

    async def withdraw_key(
        self, key_id: ids.KeyId, operator: str
    ) -> admin_api.ApplyResult:
        """Withdraw a key for good."""
        now = datetime.datetime.fromtimestamp(self._clock.wall(), datetime.UTC)

        def change(configuration: config_records.Configuration) -> None:
            if configuration.key_by_id.pop(key_id, None) is None:
                raise errors.ConflictError(f"no key {key_id!r} is in force")
            withdrawn = config_records.WithdrawnKey(now)
            configuration.withdrawn_key_by_id[key_id] = withdrawn

        return await self._change(operator, change)

    async def plan_drain(
        self, drain_id: ids.DrainId, drain: config_records.Drain, operator: str
    ) -> admin_api.ApplyResult:
        """Add or replace a planned drain."""
        drain.check()

        def change(configuration: config_records.Configuration) -> None:
            configuration.drain_by_id[drain_id] = drain

        return await self._change(operator, change)

    async def cancel_drain(
        self, drain_id: ids.DrainId, operator: str
    ) -> admin_api.ApplyResult:
        """Remove a planned drain."""

        def change(configuration: config_records.Configuration) -> None:
            if configuration.drain_by_id.pop(drain_id, None) is None:
                raise errors.ConflictError(f"no drain {drain_id!r}")

        return await self._change(operator, change)

    # Views.

    async def in_force(self) -> dict[ids.InstanceId, ids.Revision]:
        """Revision in force at each instance that can be asked."""
        revisions = dict(self._membership.revision_by_instance())
        calls = [
            self._network.call(peer, pm.InForceRequest(), _CALL_TIMEOUT_S)
            for domain, peer in self._coordinators().items()
            if domain != self._membership.me.domain
        ]
        answers = await asyncio.gather(*calls, return_exceptions=True)
        for answer in answers:
            if isinstance(answer, pm.InForce):
                revisions.update(answer.revision_by_instance)
        return revisions

    async def timeline(self, since: int, limit: int) -> list[event_ring.Event]:
        """Events of all entries that can be asked, in causal order."""
        request = pm.EventsRequest(since, limit)
        calls = [
            self._network.call(peer, request, _CALL_TIMEOUT_S)
            for peer in self._entries()
            if peer != self._membership.me.instance
        ]
        answers = await asyncio.gather(*calls, return_exceptions=True)
        rings = [self._events.latest(since, limit)]
        rings += [a.events for a in answers if isinstance(a, pm.Events)]
        return event_ring.merge(rings)

    def _on_events(
        self, sender: ids.InstanceId, request: pm.EventsRequest
    ) -> pm.Events:
        return pm.Events(self._events.latest(request.since, request.limit))
