"""Messages between entries.

An envelope carries one message as MessagePack, behind a keyed digest. All
durations are seconds; ``sent_at`` values are on the sender's own clock and
only ever compared by their sender.
"""

import msgspec

from chicorydoor.protocol import event
from chicorydoor.protocol import ids
from chicorydoor.protocol import manifest

PROTOCOL_VERSION = 1


class Message(msgspec.Struct, frozen=True, tag_field="kind", array_like=True):
    """Base of all messages."""


class Hello(Message, frozen=True, tag="hello"):
    """Asks a peer for its incarnation."""

    nonce: int
    domain: ids.DomainId
    address: str


class Welcome(Message, frozen=True, tag="welcome"):
    """Answers a hello with the same nonce."""

    nonce: int
    domain: ids.DomainId
    incarnation: ids.Incarnation


class Acknowledged(Message, frozen=True, tag="ack"):
    """An empty answer."""


class Member(Message, frozen=True, tag="member"):
    """An entry as others see it.

    Args:
        leaving (bool): About to stop. Defaults to False.
        is_ready (bool): Has a configuration. Defaults to False.
    """

    instance: ids.InstanceId
    domain: ids.DomainId
    peer_address: str
    http_address: str
    leaving: bool = False
    is_ready: bool = False

    @property
    def is_serving(self) -> bool:
        """Whether callers and other domains should be sent to it."""
        return self.is_ready and not self.leaving


class Heartbeat(Message, frozen=True, tag="heartbeat"):
    """Sent to every instance of the own failure domain.

    Args:
        member (Member): The sender.
        sent_at (float): On the sender's clock.
        echo_sent_at (float): The latest ``sent_at`` received from the
            receiver, or -1.
        follows (str): The coordinator that the sender accepts, or empty.
        in_office (bool): Whether the sender coordinates.
        age_s (float): Since the sender started or woke from a pause; it
            takes no office before ``lease_s``.
        successor (str): Whom the sender, which has resigned, handed its
            office to; else empty.
        revision (int): In force at the sender.
        store_age_s (float): Age of the latest contact with the store that
            the sender knows of.
    """

    member: Member
    sent_at: float
    echo_sent_at: float
    follows: str
    in_office: bool
    age_s: float
    successor: str
    revision: ids.Revision
    store_age_s: float


class SlotState(msgspec.Struct, frozen=True, array_like=True):
    """Slots of one target at one instance."""

    limit: int
    in_use: int


class ServiceUse(msgspec.Struct, frozen=True, array_like=True):
    """How an instance uses its slots of a service.

    Args:
        busy (float): Mean number in use lately.
        hold_s (float): Smoothed time for which a request holds a slot.
    """

    busy: float
    hold_s: float


class SlotReport(msgspec.Struct, frozen=True):
    """What an instance holds and wants of one kind of slots.

    Args:
        state_by_target (dict): Held and used.
        wanted_by_service (dict): Further slots wanted.
        avoid (list): Targets whose slots would not be used. Defaults to
            none.
        use_by_service (dict): Means; reports are made when requests wait,
            so that what is in use just then says too much. Defaults to
            empty.
    """

    state_by_target: dict[ids.TargetId, SlotState]
    wanted_by_service: dict[ids.ServiceId, int]
    avoid: list[ids.TargetId] = []
    use_by_service: dict[ids.ServiceId, ServiceUse] = {}


class SlotGrant(msgspec.Struct, frozen=True):
    """All slots that an instance holds from now on.

    Args:
        valid_s (float): From the sending of the demand.
    """

    limit_by_target: dict[ids.TargetId, int]
    valid_s: float


class TokenReport(msgspec.Struct, frozen=True):
    """Tokens of one bucket at an instance.

    Args:
        held (float): Left of the own failure domain's tokens.
        urgent (float): Wanted by requests that wait.
        target (float): The instance would like to hold that many.
        lent (float): Left of other failure domains' tokens.
        demand_per_s (float): Smoothed demand.
    """

    held: float
    urgent: float
    target: float
    lent: float = 0.0
    demand_per_s: float = 0.0


class TokenGrant(msgspec.Struct, frozen=True):
    """Answer for one bucket.

    Args:
        granted (float): Tokens of the own failure domain.
        lent (float): Tokens of other failure domains.
        lent_valid_s (float): From the receipt of the allotment.
        retry_after_s (float): If over 0, the bucket is empty everywhere
            and a token is expected after so many seconds.
        spare (float): What a lender could still lend.
    """

    granted: float = 0.0
    lent: float = 0.0
    lent_valid_s: float = 0.0
    retry_after_s: float = 0.0
    spare: float = 0.0


class RouteLoad(msgspec.Struct, frozen=True):
    """Requests of one route at one instance since the last report.

    Args:
        arrived (int): Admitted requests.
        delayed (int): Those that had to expect a long wait.
        forwarded (int): Those sent to another failure domain.
    """

    arrived: int
    delayed: int
    forwarded: int


class Demand(Message, frozen=True, tag="demand"):
    """An instance's report to its coordinator, and what it asks for.

    Args:
        acks (int): Number of the latest allotment applied.
        slots (SlotReport): Of the failure domain's targets.
        credits (SlotReport): Of other failure domains' services.
        token_by_bucket (dict): Tokens held and wanted.
        load_by_route (dict): Since the last report.
    """

    acks: int
    slots: SlotReport
    credits: SlotReport
    token_by_bucket: dict[ids.BucketId, TokenReport]
    load_by_route: dict[ids.RouteId, RouteLoad]


class Allotment(Message, frozen=True, tag="allotment"):
    """A coordinator's answer to a demand.

    Args:
        number (int): Grows by one for each instance.
        slots (SlotGrant): Of the failure domain's targets.
        credits (SlotGrant): Of other failure domains' services.
        token_by_bucket (dict): Tokens granted.
        tokens_valid_s (float): From the sending of the demand; renews the
            tokens held as well.
        away_share_by_route (dict): Part to be sent elsewhere.
    """

    number: int
    slots: SlotGrant
    credits: SlotGrant
    token_by_bucket: dict[ids.BucketId, TokenGrant]
    tokens_valid_s: float
    away_share_by_route: dict[ids.RouteId, float]


class TokenGrantState(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that a holder may still spend, for a time from now."""

    holder: ids.HolderId
    amount: float
    left_s: float


class BucketState(msgspec.Struct, frozen=True):
    """Tokens of one bucket and what is out of it."""

    tokens: float
    grants: list[TokenGrantState]


class SlotDoubt(msgspec.Struct, frozen=True, array_like=True):
    """Slots of a target whose holder is in doubt, for a time from now."""

    slots: int
    left_s: float


class Handover(Message, frozen=True, tag="handover"):
    """A leaving coordinator gives its successor what it keeps account of.

    Args:
        bucket_by_id (dict): Tokens.
        slots_by_holder (dict): Slots held, by holder and target.
        doubt_by_target (dict): Slots in doubt.
    """

    bucket_by_id: dict[ids.BucketId, BucketState]
    slots_by_holder: dict[ids.HolderId, dict[ids.TargetId, int]]
    doubt_by_target: dict[ids.TargetId, SlotDoubt]


class NotInOffice(Message, frozen=True, tag="not-in-office"):
    """The receiver of a call does not coordinate its failure domain."""

    coordinator: Member | None


class Recall(Message, frozen=True, tag="recall"):
    """Asks an instance to report now.

    Args:
        services (list): Idle slots of these are to be given back.
    """

    services: list[ids.ServiceId]


class ServiceLoad(Message, frozen=True, tag="service-load"):
    """Slots of one service in a failure domain.

    Args:
        in_use (float): Smoothed number of slots in use or in doubt.
        hold_s (float): Smoothed time for which a request holds a slot.
    """

    slots: int
    in_use: float
    hold_s: float = 0.0


class DomainSummary(Message, frozen=True, tag="summary"):
    """What other failure domains know of one.

    Args:
        revision (int): In force at the coordinator.
        store_age_s (float): Age of the latest contact with the store.
        members (list): A bounded sample of its entries.
        load_by_service (dict): Its own targets' load.
        leaving_share (float): Part of its traffic already moved ahead of
            a planned drain, 0 to 1.
    """

    domain: ids.DomainId
    coordinator: Member
    revision: ids.Revision
    store_age_s: float
    members: list[Member]
    load_by_service: dict[ids.ServiceId, ServiceLoad]
    leaving_share: float


class Exchange(Message, frozen=True, tag="exchange"):
    """From coordinator to coordinator.

    Args:
        summary (DomainSummary): The sender's.
        token_wants (dict): Tokens asked for, by bucket.
        credit_wants (dict): Requests wished to be in flight, by service.
        credits_in_flight (dict): Requests in flight, by service.
        round_trip_s (float): Smoothed time of an exchange.
    """

    summary: DomainSummary
    token_wants: dict[ids.BucketId, float]
    credit_wants: dict[ids.ServiceId, int]
    credits_in_flight: dict[ids.ServiceId, int]
    round_trip_s: float


class ExchangeReply(Message, frozen=True, tag="exchange-reply"):
    """Answers an exchange.

    Args:
        token_by_bucket (dict): Tokens lent, in ``granted``, or when it is
            worth asking again.
        tokens_valid_s (float): From the sending of the exchange.
        credit_by_service (dict): Requests that may be in flight.
        credits_valid_s (float): From the sending of the exchange.
    """

    summary: DomainSummary
    token_by_bucket: dict[ids.BucketId, TokenGrant]
    tokens_valid_s: float
    credit_by_service: dict[ids.ServiceId, int]
    credits_valid_s: float


class DomainAge(msgspec.Struct, frozen=True, array_like=True):
    """Age of the latest contact with the store of a failure domain."""

    domain: ids.DomainId
    store_age_s: float


class DomainView(Message, frozen=True, tag="domain-view"):
    """A coordinator tells its instances of the other failure domains.

    Args:
        summaries (list): Those that changed.
        ages (list): All failure domains that were heard of lately.
        heard_all (bool): Whether every configured failure domain was
            heard of lately.
    """

    summaries: list[DomainSummary]
    ages: list[DomainAge]
    heard_all: bool


class ConfigOffer(Message, frozen=True, tag="config-offer"):
    """A newer revision, with the chunks that changed."""

    delta: manifest.ManifestDelta
    data: list[bytes]


class ConfigRequest(Message, frozen=True, tag="config-request"):
    """Asks for what is newer than a revision."""

    revision: ids.Revision


class InForceRequest(Message, frozen=True, tag="in-force-request"):
    """Asks for the revisions of a failure domain's instances."""


class InForce(Message, frozen=True, tag="in-force"):
    """Revision in force by instance."""

    revision_by_instance: dict[ids.InstanceId, ids.Revision]


class EventsRequest(Message, frozen=True, tag="events-request"):
    """Asks for events after a stamp."""

    since: int
    limit: int


class Events(Message, frozen=True, tag="events"):
    """Events of one entry, oldest first."""

    events: list[event.Event]


class ForwardOpen(Message, frozen=True, tag="forward-open"):
    """Starts a forwarded request.

    Args:
        stream (int): Chosen by the sender.
        customer (str): The customer, or empty on open routes.
        remaining_s (float): Time left for the request.
        own_target (bool): The receiver runs it as its own request (it
            minted the idempotency key) rather than on its own targets
            only.
        idempotency_key (str): Or empty.
        key (str): Id of the caller's key, or empty on open routes.
        is_first_attempt (bool): The caller said so.
    """

    stream: int
    method: str
    path: str
    query: bytes
    headers: list[tuple[bytes, bytes]]
    route: ids.RouteId
    customer: str
    request_id: str
    remaining_s: float
    own_target: bool
    idempotency_key: str
    key: str
    is_first_attempt: bool


class ForwardData(Message, frozen=True, tag="forward-data"):
    """A piece of a body, numbered from 0 without gaps."""

    stream: int
    to_opener: bool
    number: int
    data: bytes
    last: bool


class ForwardCredit(Message, frozen=True, tag="forward-credit"):
    """Pieces consumed by the receiver; further ones may be sent."""

    stream: int
    to_opener: bool
    consumed: int


class ForwardHead(Message, frozen=True, tag="forward-head"):
    """Status and headers of the answer, or a refusal.

    Args:
        code (int): Result code; 0 means that the target answered.
        outcome (str): Of a refusal.
        retry_after_s (float): Of a refusal.
    """

    stream: int
    code: int
    detail: str
    status: int
    headers: list[tuple[bytes, bytes]]
    outcome: str = ""
    retry_after_s: float = 0.0


class ForwardAbort(Message, frozen=True, tag="forward-abort"):
    """Either side gives the stream up."""

    stream: int
    to_opener: bool


AnyMessage = (
    Hello
    | Welcome
    | Acknowledged
    | Heartbeat
    | Demand
    | Allotment
    | Handover
    | NotInOffice
    | Recall
    | Exchange
    | ExchangeReply
    | DomainView
    | ConfigOffer
    | ConfigRequest
    | EventsRequest
    | Events
    | InForceRequest
    | InForce
    | ForwardOpen
    | ForwardData
    | ForwardCredit
    | ForwardHead
    | ForwardAbort
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """What travels between two entries.

    Args:
        version (int): Of this protocol.
        stamp (int): The sender's hybrid logical clock.
        sender (str): Instance id.
        incarnation (int): The sender's.
        receiver_incarnation (int): The receiver's, or 0 in a hello or
            welcome.
        sequence (int): Grows with every message from one sender.
        call (int): Number of the call, or 0.
        is_reply (bool): Whether it answers that call.
    """

    version: int
    stamp: int
    sender: ids.InstanceId
    incarnation: ids.Incarnation
    receiver_incarnation: ids.Incarnation
    sequence: int
    call: int
    is_reply: bool
    message: AnyMessage
