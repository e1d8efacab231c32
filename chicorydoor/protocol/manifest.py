"""How a revision is kept in the store and offered to peers."""

import msgspec

from chicorydoor.protocol import ids

MANIFEST_KEY = "chicorydoor/manifest"
_CHUNK_PREFIX = "chicorydoor/chunk/"


def chunk_key(digest: str) -> str:
    """The store's key of a chunk."""
    return _CHUNK_PREFIX + digest


class RetiredChunk(msgspec.Struct, frozen=True):
    """A chunk that no longer belongs to the configuration."""

    digest: str
    revision: ids.Revision


class Manifest(msgspec.Struct, frozen=True):
    """Names the chunks of one revision.

    Args:
        revision (int): Grows by every committed change.
        apply_id (str): Names the change; unique.
        base (int): The revision that the change was made from.
        digest_by_chunk (dict): Digest by chunk name.
        apply_ids (list): The latest changes' ids, oldest first.
        retired (list): Chunks still in the store for late readers.
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
        from_revision (int): The earlier one's revision; 0 for the empty
            manifest.
        manifest (Manifest): The later one, with only the changed chunks.
        removed (list): Names of chunks that are no more.
    """

    from_revision: ids.Revision
    manifest: Manifest
    removed: list[str]


class Chunk(msgspec.Struct, frozen=True):
    """Some records of one collection."""

    collection: str
    record_by_id: dict[str, msgspec.Raw]


EMPTY = Manifest(ids.Revision(0), "", ids.Revision(0), {})


def difference(earlier: Manifest, later: Manifest) -> ManifestDelta:
    """What leads from one manifest to another."""
    before = earlier.digest_by_chunk
    after = later.digest_by_chunk
    changed = {n: d for n, d in after.items() if before.get(n) != d}
    part = msgspec.structs.replace(later, digest_by_chunk=changed)
    removed = [name for name in before if name not in after]
    return ManifestDelta(earlier.revision, part, removed)


def patch(earlier: Manifest, delta: ManifestDelta) -> Manifest:
    """Apply a difference to the manifest that it was made from."""
    digest_by_chunk = {
        name: digest
        for name, digest in earlier.digest_by_chunk.items()
        if name not in delta.removed
    }
    digest_by_chunk.update(delta.manifest.digest_by_chunk)
    return msgspec.structs.replace(
        delta.manifest, digest_by_chunk=digest_by_chunk
    )
