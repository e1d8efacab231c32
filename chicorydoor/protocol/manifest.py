"""Manifest and chunks: a configuration revision in the store and on the wire.

The store holds content-addressed chunks of records and one manifest that
lists the digests of a revision's chunks.
"""

import msgspec

from chicorydoor.protocol import ids

MANIFEST_KEY = "chicorydoor/manifest"
_CHUNK_PREFIX = "chicorydoor/chunk/"


def chunk_key(digest: str) -> str:
    """Return the store key of the chunk with a digest."""
    return _CHUNK_PREFIX + digest


class RetiredChunk(msgspec.Struct, frozen=True):
    """A chunk that no longer belongs to the configuration.

    Args:
        digest (str): Its digest.
        revision (int): First revision without it.
    """

    digest: str
    revision: ids.Revision


class Manifest(msgspec.Struct, frozen=True):
    """Lists the chunks of one revision.

    Args:
        revision (int): Increases with every committed change.
        apply_id (str): Unique id of the change.
        base (int): Revision that the change was based on.
        digest_by_chunk (dict): Digest of the encoded chunk, by chunk name.
        apply_ids (list): Ids of the latest changes, oldest first. They show
            whether a write without a response took effect. Defaults to none.
        retired (list): Chunks that remain in the store for readers of
            earlier manifests. Defaults to none.
    """

    revision: ids.Revision
    apply_id: str
    base: ids.Revision
    digest_by_chunk: dict[str, str]
    apply_ids: list[str] = []
    retired: list[RetiredChunk] = []


class ManifestDelta(msgspec.Struct, frozen=True):
    """Difference between a manifest and an earlier one.

    Args:
        from_revision (int): Revision of the earlier manifest; 0 for the
            empty one.
        manifest (Manifest): The later manifest, with only the changed
            chunks.
        removed (list): Names of removed chunks.
    """

    from_revision: ids.Revision
    manifest: Manifest
    removed: list[str]


class Chunk(msgspec.Struct, frozen=True):
    """A part of one collection's records.

    Args:
        collection (str): Name of the collection.
        record_by_id (dict): Encoded records.
    """

    collection: str
    record_by_id: dict[str, msgspec.Raw]


EMPTY_MANIFEST = Manifest(ids.Revision(0), "", ids.Revision(0), {})


def compute_delta(earlier: Manifest, later: Manifest) -> ManifestDelta:
    """Return the delta from an earlier manifest to a later one."""
    before = earlier.digest_by_chunk
    after = later.digest_by_chunk
    changed = {
        name: digest
        for name, digest in after.items()
        if before.get(name) != digest
    }
    changed_only = msgspec.structs.replace(later, digest_by_chunk=changed)
    removed = [name for name in before if name not in after]
    return ManifestDelta(earlier.revision, changed_only, removed)


def apply_delta(earlier: Manifest, delta: ManifestDelta) -> Manifest:
    """Return the later manifest, from the earlier one and the delta."""
    digest_by_chunk = {
        name: digest
        for name, digest in earlier.digest_by_chunk.items()
        if name not in delta.removed
    }
    digest_by_chunk.update(delta.manifest.digest_by_chunk)
    return msgspec.structs.replace(
        delta.manifest, digest_by_chunk=digest_by_chunk
    )
