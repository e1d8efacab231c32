"""Splits a configuration into content-addressed chunks.

A change of one record changes one chunk, so only that chunk travels. The
number of chunks of a collection grows with its records, a power of two at a
time, so that a chunk stays small; it is bounded, so that the manifest fits
into one value of the store.
"""

import hashlib

import msgspec

from chicorydoor.protocol import config_records
from chicorydoor.protocol import ids
from chicorydoor.protocol import manifest as manifest_module

_RECORDS_PER_CHUNK = 16
_MOST_CHUNKS = 2048
_DIGEST_BYTES = 12
RETIRED_KEPT = 16
BLOCKS = "block_by_cidr"


def digest_of(data: bytes) -> str:
    """Digest of a chunk's bytes, in hex."""
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


def _bucket_count(records: int) -> int:
    count = 1
    while count < _MOST_CHUNKS and count * _RECORDS_PER_CHUNK < records:
        count *= 2
    return count


def _bucket(record_id: str, count: int) -> int:
    digest = hashlib.blake2b(record_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % count


def split(configuration: config_records.Configuration) -> dict[str, bytes]:
    """Encode a configuration as chunks.

    Returns:
        The chunks' bytes by chunk name.
    """
    data_by_chunk: dict[str, bytes] = {}
    for collection in config_records.RECORD_TYPE_BY_COLLECTION:
        records = getattr(configuration, collection)
        count = _bucket_count(len(records))
        buckets: dict[int, dict[str, msgspec.Raw]] = {}
        for record_id in sorted(records):
            encoded = msgspec.Raw(msgspec.json.encode(records[record_id]))
            bucket = _bucket(record_id, count)
            buckets.setdefault(bucket, {})[record_id] = encoded
        for bucket, record_by_id in buckets.items():
            name = f"{collection}/{count}/{bucket}"
            chunk = manifest_module.Chunk(collection, record_by_id)
            data_by_chunk[name] = msgspec.json.encode(chunk)
    return data_by_chunk


def decode(data: bytes) -> tuple[str, dict[str, config_records.Record]]:
    """Decode one chunk to its collection's name and records by id."""
    chunk = msgspec.json.decode(data, type=manifest_module.Chunk)
    record_type = config_records.RECORD_TYPE_BY_COLLECTION[chunk.collection]
    decoder = msgspec.json.Decoder(record_type)
    records = {
        record_id: decoder.decode(raw)
        for record_id, raw in chunk.record_by_id.items()
    }
    return chunk.collection, records


def _collection(chunk_name: str) -> str:
    return chunk_name.partition("/")[0]


def block_digests(manifest: manifest_module.Manifest) -> set[str]:
    """Digests of the chunks that hold client blocks."""
    return {
        digest
        for name, digest in manifest.digest_by_chunk.items()
        if _collection(name) == BLOCKS
    }


class ChunkCache:
    """Decoded chunks of the revision in force, by digest."""

    def __init__(self) -> None:
        self._data_by_digest: dict[str, bytes] = {}
        self._decoded_by_digest: dict[
            str, tuple[str, dict[str, config_records.Record]]
        ] = {}

    def add(self, data: bytes) -> str:
        """Keep a chunk; returns its digest."""
        digest = digest_of(data)
        self._data_by_digest[digest] = data
        return digest

    def get(self, digest: str) -> bytes | None:
        """A chunk's bytes, if held."""
        return self._data_by_digest.get(digest)

    def missing(self, manifest: manifest_module.Manifest) -> list[str]:
        """Digests that the manifest names and the cache does not hold."""
        return [
            digest
            for digest in manifest.digest_by_chunk.values()
            if digest not in self._data_by_digest
        ]

    def assemble(
        self, manifest: manifest_module.Manifest
    ) -> config_records.Configuration:
        """Build the configuration of a manifest whose chunks are held.

        Client blocks are left out: there may be a hundred thousand, and
        requests need only their table.
        """
        configuration = config_records.Configuration()
        for name, digest in manifest.digest_by_chunk.items():
            if _collection(name) == BLOCKS:
                continue
            decoded = self._decoded_by_digest.get(digest)
            if decoded is None:
                decoded = decode(self._data_by_digest[digest])
                self._decoded_by_digest[digest] = decoded
            collection, records = decoded
            getattr(configuration, collection).update(records)
        return configuration

    def blocks(
        self, manifest: manifest_module.Manifest
    ) -> dict[str, config_records.ClientBlock]:
        """Client blocks by CIDR, decoded anew at each call."""
        blocks: dict[str, config_records.ClientBlock] = {}
        for name, digest in manifest.digest_by_chunk.items():
            if _collection(name) == BLOCKS:
                blocks.update(decode(self._data_by_digest[digest])[1])
        return blocks

    def keep_only(self, manifest: manifest_module.Manifest) -> None:
        """Forget the chunks that the manifest does not name."""
        wanted = set(manifest.digest_by_chunk.values())
        for held in (self._data_by_digest, self._decoded_by_digest):
            for digest in held.keys() - wanted:
                del held[digest]


def next_manifest(
    current: manifest_module.Manifest,
    configuration: config_records.Configuration,
    apply_id: str,
    revision: ids.Revision,
) -> tuple[manifest_module.Manifest, dict[str, bytes]]:
    """Manifest and new chunks of a change.

    Args:
        current (Manifest): What the change is made from.
        configuration (Configuration): What it leads to.
        apply_id (str): Names the change.
        revision (int): The new revision.

    Returns:
        The manifest, and the bytes by digest of chunks to be written.
    """
    data_by_chunk = split(configuration)
    digest_by_chunk = {n: digest_of(d) for n, d in data_by_chunk.items()}
    before = set(current.digest_by_chunk.values())
    after = set(digest_by_chunk.values())
    retired = [
        chunk
        for chunk in current.retired
        if chunk.revision > revision - RETIRED_KEPT
        and chunk.digest not in after
    ]
    retired += [
        manifest_module.RetiredChunk(d, revision)
        for d in sorted(before - after)
    ]
    manifest = manifest_module.Manifest(
        revision=revision,
        apply_id=apply_id,
        base=current.revision,
        digest_by_chunk=digest_by_chunk,
        apply_ids=[*current.apply_ids[-15:], apply_id],
        retired=retired,
    )
    new_data = {
        digest_by_chunk[name]: data
        for name, data in data_by_chunk.items()
        if digest_by_chunk[name] not in before
    }
    return manifest, new_data
