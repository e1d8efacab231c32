"""Splits a configuration into content-addressed chunks.

A change of one record changes one chunk, so only that chunk is transferred.
The number of chunks of a collection doubles as its records grow, so that a
chunk stays small; such a step changes all of its chunks. The number
is bounded, so that the manifest fits into one value of the store.
"""

import hashlib

import msgspec

from chicorydoor.protocol import config_records
from chicorydoor.protocol import ids
from chicorydoor.protocol import manifest as manifest_module

_RECORDS_PER_CHUNK = 16
_MAX_CHUNKS = 2048
_DIGEST_BYTES = 12
# Number of revisions for which the manifest lists a chunk that is no longer
# used and that remains in the store for readers of earlier manifests.
_RETIRED_KEPT_REVISIONS = 16
_BLOCK_COLLECTION = "block_by_cidr"


def _chunk_digest(data: bytes) -> str:
    """Hex digest of a chunk's bytes."""
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


def _partition_count(records: int) -> int:
    count = 1
    while count < _MAX_CHUNKS and count * _RECORDS_PER_CHUNK < records:
        count *= 2
    return count


def _partition(record_id: str, count: int) -> int:
    digest = hashlib.blake2b(record_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % count


def encode_chunks(
    configuration: config_records.Configuration,
) -> dict[str, bytes]:
    """Encode a configuration as chunks.

    Returns:
        The chunks' bytes by chunk name.
    """
    data_by_chunk: dict[str, bytes] = {}
    for collection in config_records.RECORD_TYPE_BY_COLLECTION:
        records = getattr(configuration, collection)
        count = _partition_count(len(records))
        records_by_partition: dict[int, dict[str, msgspec.Raw]] = {}
        for record_id in sorted(records):
            encoded = msgspec.Raw(msgspec.json.encode(records[record_id]))
            partition = _partition(record_id, count)
            records_by_partition.setdefault(partition, {})[record_id] = encoded
        for partition, record_by_id in records_by_partition.items():
            name = f"{collection}/{count}/{partition}"
            chunk = manifest_module.Chunk(collection, record_by_id)
            data_by_chunk[name] = msgspec.json.encode(chunk)
    return data_by_chunk


def decode_chunk(
    data: bytes,
) -> tuple[str, dict[str, config_records.ConfigRecord]]:
    """Decode a chunk.

    Returns:
        The collection's name, and the records by id.
    """
    chunk = msgspec.json.decode(data, type=manifest_module.Chunk)
    record_type = config_records.RECORD_TYPE_BY_COLLECTION[chunk.collection]
    decoder = msgspec.json.Decoder(record_type)
    records = {
        record_id: decoder.decode(raw)
        for record_id, raw in chunk.record_by_id.items()
    }
    return chunk.collection, records


def _collection_name(chunk_name: str) -> str:
    return chunk_name.partition("/")[0]


def block_digests(manifest: manifest_module.Manifest) -> set[str]:
    """Digests of the chunks that hold client blocks."""
    return {
        digest
        for name, digest in manifest.digest_by_chunk.items()
        if _collection_name(name) == _BLOCK_COLLECTION
    }


class ChunkCache:
    """Chunks of the active and the next revision, by digest.

    It holds them encoded, and decoded once they were used.
    """

    def __init__(self) -> None:
        self._data_by_digest: dict[str, bytes] = {}
        self._decoded_by_digest: dict[
            str, tuple[str, dict[str, config_records.ConfigRecord]]
        ] = {}

    def add(self, data: bytes) -> str:
        """Add a chunk and return its digest."""
        digest = _chunk_digest(data)
        self._data_by_digest[digest] = data
        return digest

    def get(self, digest: str) -> bytes | None:
        """A chunk's bytes; None if the cache does not hold it."""
        return self._data_by_digest.get(digest)

    def missing_digests(self, manifest: manifest_module.Manifest) -> list[str]:
        """Digests of the manifest's chunks that the cache does not hold."""
        return [
            digest
            for digest in manifest.digest_by_chunk.values()
            if digest not in self._data_by_digest
        ]

    def assemble(
        self, manifest: manifest_module.Manifest
    ) -> config_records.Configuration:
        """Build a manifest's configuration from cached chunks.

        Client blocks are left out: there may be 100,000 of them, and
        requests need only their look-up table.
        """
        configuration = config_records.Configuration()
        for name, digest in manifest.digest_by_chunk.items():
            if _collection_name(name) == _BLOCK_COLLECTION:
                continue
            decoded = self._decoded_by_digest.get(digest)
            if decoded is None:
                decoded = decode_chunk(self._data_by_digest[digest])
                self._decoded_by_digest[digest] = decoded
            collection, records = decoded
            getattr(configuration, collection).update(records)
        return configuration

    def decode_client_blocks(
        self, manifest: manifest_module.Manifest
    ) -> dict[str, config_records.ClientBlock]:
        """Decode a manifest's client blocks at each call; by CIDR."""
        blocks: dict[str, config_records.ClientBlock] = {}
        for name, digest in manifest.digest_by_chunk.items():
            if _collection_name(name) == _BLOCK_COLLECTION:
                blocks.update(decode_chunk(self._data_by_digest[digest])[1])
        return blocks

    def remove_unused(self, manifest: manifest_module.Manifest) -> None:
        """Remove the chunks that the manifest does not name."""
        wanted = set(manifest.digest_by_chunk.values())
        for digest_map in (self._data_by_digest, self._decoded_by_digest):
            for digest in digest_map.keys() - wanted:
                del digest_map[digest]


def build_manifest(
    current: manifest_module.Manifest,
    configuration: config_records.Configuration,
    apply_id: str,
    revision: ids.Revision,
) -> tuple[manifest_module.Manifest, dict[str, bytes]]:
    """Build the manifest and the new chunks of a change.

    Args:
        current (Manifest): Manifest that the change is based on.
        configuration (Configuration): Configuration after the change.
        apply_id (str): Id of the change.
        revision (int): Revision of the change.

    Returns:
        The manifest, and the bytes by digest of the chunks to be written.
    """
    data_by_chunk = encode_chunks(configuration)
    digest_by_chunk = {n: _chunk_digest(d) for n, d in data_by_chunk.items()}
    current_digests = set(current.digest_by_chunk.values())
    new_digests = set(digest_by_chunk.values())
    retired = [
        chunk
        for chunk in current.retired
        if chunk.revision > revision - _RETIRED_KEPT_REVISIONS
        and chunk.digest not in new_digests
    ]
    retired += [
        manifest_module.RetiredChunk(d, revision)
        for d in sorted(current_digests - new_digests)
    ]
    manifest = manifest_module.Manifest(
        revision=revision,
        apply_id=apply_id,
        base=current.revision,
        digest_by_chunk=digest_by_chunk,
        # The ids of 15 earlier changes and of the manifest's own.
        apply_ids=[*current.apply_ids[-15:], apply_id],
        retired=retired,
    )
    new_data = {
        digest_by_chunk[name]: data
        for name, data in data_by_chunk.items()
        if digest_by_chunk[name] not in current_digests
    }
    return manifest, new_data
