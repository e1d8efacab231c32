"""Messages between entries that share a platform's store."""

import enum

import msgspec

from chicorydoor import errors
from chicorydoor.protocol import ids
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


class StoreHint(msgspec.Struct, frozen=True, tag="hint"):
    """The sender has read a part of the store; others may need to.

    Args:
        extent (Extent): How far its copy reaches now.
    """

    prefix: str
    extent: fleet_view.Extent


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


class RateAsk(msgspec.Struct, frozen=True, tag="rate-ask"):
    """Asks a desk to count a request against a customer's rate.

    Args:
        number (int): Names the question among the sender's.
        reply_address (str): ``ip:port`` of the asking entry.
        is_far (bool): Whether it is of another region: the asked entry then
            asks the desks of its own. Defaults to False.
    """

    number: int
    customer_id: ids.CustomerId
    reply_address: str
    is_far: bool = False


class RateAnswer(msgspec.Struct, frozen=True, tag="rate-answer"):
    """A desk's answer.

    Args:
        wait_s (float): 0 if the request was counted, else seconds until
            there may be room; None if the desk does not know the customer.
        share (float): The desk's part of the rate, 0 to 1.
    """

    number: int
    wait_s: float | None
    share: float


class RateReturn(msgspec.Struct, frozen=True, tag="rate-return"):
    """A request that the desk has counted did not run."""

    customer_id: ids.CustomerId


class RelayScope(enum.Enum):
    """Which entries near its receiver a message is for."""

    DOMAIN = "domain"
    REGION = "region"


class Relay(msgspec.Struct, frozen=True, tag="relay"):
    """A message for its receiver and for others near it.

    Args:
        data (bytes): The message.
    """

    scope: RelayScope
    data: bytes


Message = (
    fleet_view.Heartbeat
    | fleet_view.RegionDigest
    | StoreNews
    | StoreHint
    | CopyRequest
    | StoreCopy
    | RateAsk
    | RateAnswer
    | RateReturn
    | Relay
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
