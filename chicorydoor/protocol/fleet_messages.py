"""Messages between entries that share a platform's store."""

import msgspec

from chicorydoor import errors
from chicorydoor.protocol import store_items
from chicorydoor.state import fleet_view


class StoreNews(msgspec.Struct, frozen=True, tag="news"):
    """Changes that the sender has read from the store.

    Args:
        since (int): The changes after this revision are complete.
    """

    prefix: str
    since: int
    batch: store_items.ItemBatch


class CopyRequest(msgspec.Struct, frozen=True, tag="copy-request"):
    """Asks for everything below a prefix.

    Args:
        reply_address (str): ``ip:port`` of the asking entry.
    """

    prefix: str
    reply_address: str


class StoreCopy(msgspec.Struct, frozen=True, tag="copy"):
    """Everything that the sender knows below a prefix."""

    prefix: str
    batch: store_items.ItemBatch


Message = (
    fleet_view.Heartbeat
    | fleet_view.RegionDigest
    | StoreNews
    | CopyRequest
    | StoreCopy
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """A message's bytes."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """The message in some bytes.

    Raises:
        PeerError: If there is none.
    """
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise errors.PeerError(f"{error}") from error
