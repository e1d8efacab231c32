"""Messages between the entries of the fleet path.

On this path all entries share the platform's key-value store and exchange
heartbeats, digests, store updates and rate tokens directly. The messages are
MessagePack maps, each with its tag in the field ``type``. ``peer_messages``
holds those of the other path.
"""

import enum
import zlib

import msgspec

from chicorydoor import errors
from chicorydoor.protocol import ids
from chicorydoor.protocol import store_items
from chicorydoor.state import fleet_view


class StoreChanges(msgspec.Struct, frozen=True, tag="news"):
    """Store changes that the sender has received, for its peers.

    Args:
        prefix (str): Key prefix that the changes lie below.
        since (int): Store revision; the batch holds every significant change
            after it.
        batch (StoreItemBatch): The changes.
    """

    prefix: str
    since: int
    batch: store_items.StoreItemBatch


class StoreProgress(msgspec.Struct, frozen=True, tag="hint"):
    """Announces how current the sender's copy of a prefix is.

    A receiver whose own copy is older reads the store or asks for a copy.

    Args:
        prefix (str): Key prefix of the copy.
        extent (Extent): Store revision up to which the copy is complete,
            and revision of its latest change.
        epoch (int): Epoch of the store that the extent refers to. Defaults
            to 0.
    """

    prefix: str
    extent: fleet_view.Extent
    epoch: int = 0


class StoreCopyRequest(msgspec.Struct, frozen=True, tag="copy-request"):
    """Asks a peer for what the sender's copy of a key prefix lacks.

    The reply is a ``StoreChanges``, or a ``StoreCopy`` if the peer does not
    know all changes since then.

    Args:
        prefix (str): Key prefix.
        reply_address (str): Peer address ``ip:port`` of the requester.
        since (int): Store revision up to which the requester's copy is
            complete; 0 for a full copy. Defaults to 0.
        epoch (int): Epoch of the store that the requester's copy is of.
            Defaults to 0.
    """

    prefix: str
    reply_address: str
    since: int = 0
    epoch: int = 0


class StoreCopy(msgspec.Struct, frozen=True, tag="copy"):
    """The sender's full copy of a key prefix.

    Args:
        prefix (str): Key prefix.
        batch (StoreItemBatch): All items that the sender has below it.
        latest (int): Store revision of the latest significant change that the
            sender's copy may contain; None if it does not tell. Defaults to
            None.
    """

    prefix: str
    batch: store_items.StoreItemBatch
    latest: int | None = None


class RateTokenRequest(msgspec.Struct, frozen=True, tag="rate-ask"):
    """Asks a rate owner to count one request against a customer's rate.

    Args:
        number (int): Correlates the reply; unique per sender.
        customer_id (str): Customer whose rate is charged.
        reply_address (str): Peer address ``ip:port`` of the requester.
        is_far (bool): Whether the requester is in another region; the
            receiver then passes the request on to the rate owners of its
            own region. Defaults to False.
        is_repeated (bool): Whether another rate owner was asked for the same
            request before and has counted it as demand. Defaults to False.
    """

    number: int
    customer_id: ids.CustomerId
    reply_address: str
    is_far: bool = False
    is_repeated: bool = False


class RateTokenReply(msgspec.Struct, frozen=True, tag="rate-answer"):
    """A rate owner's reply to a ``RateTokenRequest``.

    Args:
        number (int): The number of the request.
        wait_s (float): 0 if the request was counted, else seconds until
            a token may be available; None if the customer is unknown.
        share (float): The rate owner's own rate share, 0 to 1.
    """

    number: int
    wait_s: float | None
    share: float


class RateTokenRelease(msgspec.Struct, frozen=True, tag="rate-return"):
    """Releases a token: a request that the owner counted did not run."""

    customer_id: ids.CustomerId


class CompressedMessage(msgspec.Struct, frozen=True, tag="compressed"):
    """Another message in compressed form.

    Args:
        data (bytes): The encoded message, compressed by zlib.
    """

    data: bytes


class RelayScope(enum.Enum):
    """Which peers the receiver of a relayed message passes it on to."""

    DOMAIN = "domain"
    REGION = "region"


class RelayedMessage(msgspec.Struct, frozen=True, tag="relay"):
    """A message for its receiver and for that entry's peers.

    Args:
        scope (RelayScope): Which peers of the receiver get it as well.
        data (bytes): The encoded message.
    """

    scope: RelayScope
    data: bytes


Message = (
    fleet_view.Heartbeat
    | fleet_view.RegionDigest
    | StoreChanges
    | StoreProgress
    | StoreCopyRequest
    | StoreCopy
    | RateTokenRequest
    | RateTokenReply
    | RateTokenRelease
    | RelayedMessage
    | CompressedMessage
)

# Heartbeats are shorter.
_COMPRESSED_FROM_BYTES = 8192
# Bound of what compressed data may expand to.
_MAX_DECOMPRESSED_BYTES = 4 * 1024 * 1024

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the MessagePack encoding of a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Return the message that MessagePack data holds.

    Raises:
        PeerError: If the data is not a valid message.
    """
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise errors.PeerError(f"{error}") from error


def encode_compact(message: Message) -> bytes:
    """Return a message's encoding, as a ``CompressedMessage`` if it is long.

    Configurations and copies of the store compress several times.
    """
    data = encode(message)
    if len(data) < _COMPRESSED_FROM_BYTES:
        return data
    return _compress(data)


def encode_compressed(message: Message) -> bytes:
    """Return a message's encoding as a ``CompressedMessage``."""
    return _compress(encode(message))


def _compress(data: bytes) -> bytes:
    return encode(CompressedMessage(zlib.compress(data)))


def decompress(message: CompressedMessage) -> bytes:
    """Return the encoding of the message that a compressed one holds.

    Raises:
        PeerError: If the data is not valid, or too long.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(message.data, _MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise errors.PeerError(f"{error}") from error
    if not decompressor.eof:
        raise errors.PeerError("compressed data is incomplete or too long")
    return data
