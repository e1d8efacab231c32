"""Messages between entries.

An envelope carries one message as MessagePack, preceded by a keyed digest
that authenticates it. All durations are seconds; ``sent_at`` values are on
the sender's own clock and only ever compared by their sender.
"""

import msgspec

from chicorydoor.protocol import event
from chicorydoor.protocol import ids
from chicorydoor.protocol import manifest

PROTOCOL_VERSION = 1


class Message(msgspec.Struct, frozen=True, tag_field="kind", array_like=True):
    """Base of all messages, and of records in them that have a tag too.

    Sent as an array that starts with the tag. The tags are part of the wire
    format; some differ from the names of the classes.
    """


class Hello(Message, frozen=True, tag="hello"):
    """Asks a peer for its incarnation.

    Args:
        nonce (int): Chosen by the sender; the answer repeats it.
        domain (str): Failure domain of the sender.
        address (str): Peer address of the sender.
    """

    nonce: int
    domain: ids.DomainId
    address: str


class Welcome(Message, frozen=True, tag="welcome"):
    """Answers a hello.

    Args:
        nonce (int): The nonce of the hello.
        domain (str): Failure domain of the sender.
        incarnation (int): Current incarnation of the sender.
    """

    nonce: int
    domain: ids.DomainId
    incarnation: ids.Incarnation


class Ack(Message, frozen=True, tag="ack"):
    """Confirms a call that has no result."""


class Member(Message, frozen=True, tag="member"):
    """Membership record of one entry.

    Args:
        instance (str): Id of the entry.
        domain (str): Its failure domain.
        peer_address (str): ``ip:port`` for peer messages.
        http_address (str): ``ip:port`` for callers.
        is_leaving (bool): Whether it is draining before it stops. Defaults to
            False.
        is_ready (bool): Whether it has a configuration. Defaults to False.
    """

    instance: ids.InstanceId
    domain: ids.DomainId
    peer_address: str
    http_address: str
    is_leaving: bool = False
    is_ready: bool = False

    @property
    def is_serving(self) -> bool:
        """Whether callers and other failure domains may use the entry."""
        return self.is_ready and not self.is_leaving


class Heartbeat(Message, frozen=True, tag="heartbeat"):
    """Sent periodically to all domain peers.

    Args:
        member (Member): The sender.
        sent_at (float): Send time on the sender's clock.
        echoed_sent_at (float): The latest ``sent_at`` that the sender has
            received from the receiver, or -1.
        accepted_coordinator (str): Id of the coordinator that the sender
            accepts, or empty.
        is_coordinator (bool): Whether the sender holds the coordinator lease.
        awake_s (float): Time since the sender started or resumed after a
            pause of its process; below the duration of the coordinator lease
            (``lease_s`` of the settings) it does not acquire that lease.
        lease_successor (str): Id of the instance to which the sender has
            handed over the coordinator lease; else empty.
        active_revision (int): Revision of the sender's active configuration.
        store_age_s (float): Age of the latest contact with the store that
            the sender knows of, its peers' contacts included.
    """

    member: Member
    sent_at: float
    echoed_sent_at: float
    accepted_coordinator: str
    is_coordinator: bool
    awake_s: float
    lease_successor: str
    active_revision: ids.Revision
    store_age_s: float


class TargetSlotState(msgspec.Struct, frozen=True, array_like=True):
    """Local slots of one target at one instance.

    Args:
        granted (int): Slots granted to the instance.
        in_use (int): Those that are in use.
    """

    granted: int
    in_use: int


class ServiceUse(msgspec.Struct, frozen=True, array_like=True):
    """How an instance uses its slots of a service.

    Args:
        mean_in_use (float): Recent mean number of slots in use.
        hold_s (float): Smoothed time for which a request holds a slot.
    """

    mean_in_use: float
    hold_s: float


class SlotReport(msgspec.Struct, frozen=True):
    """Local slots of one kind at an instance, and its demand for more.

    The kinds are slots of targets, and credits, which have pseudo target ids.

    Args:
        state_by_target (dict): Granted slots and slots in use.
        wanted_by_service (dict): Number of additional slots requested.
        avoid (list): Targets whose slots the instance would not use.
            Defaults to none.
        use_by_service (dict): Mean use. Reports are sent when requests
            queue, so the momentary use would be biased upwards. Defaults
            to empty.
    """

    state_by_target: dict[ids.TargetId, TargetSlotState]
    wanted_by_service: dict[ids.ServiceId, int]
    avoid: list[ids.TargetId] = []
    use_by_service: dict[ids.ServiceId, ServiceUse] = {}


class SlotGrant(msgspec.Struct, frozen=True):
    """Slots granted to an instance; replaces all earlier grants.

    Args:
        limit_by_target (dict): Number of slots.
        valid_s (float): Validity from the time the demand was sent.
    """

    limit_by_target: dict[ids.TargetId, int]
    valid_s: float


class TokenReport(msgspec.Struct, frozen=True):
    """Local tokens of one bucket at an instance, and its demand.

    Args:
        held (float): Unspent tokens of the own failure domain.
        urgent (float): Tokens that queued requests need.
        target (float): Number of tokens that the instance wants to hold.
        lent (float): Unspent tokens lent by other failure domains.
            Defaults to 0.
        demand_per_s (float): Smoothed demand. Defaults to 0.
    """

    held: float
    urgent: float
    target: float
    lent: float = 0.0
    demand_per_s: float = 0.0


class TokenGrant(msgspec.Struct, frozen=True):
    """Tokens of one bucket granted to an instance.

    Args:
        granted (float): Tokens of the own failure domain. Defaults to 0.
        lent (float): Tokens of other failure domains. Defaults to 0.
        lent_valid_s (float): Validity of the lent tokens from the receipt
            of the grant. Defaults to 0.
        retry_after_s (float): If over 0, the bucket is empty in the whole
            fleet and a token is expected after this time. Defaults to 0.
        spare (float): Tokens that a lender could lend in addition.
            Defaults to 0.
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
        delayed (int): Those whose expected queueing time was long.
        forwarded (int): Those forwarded to another failure domain.
    """

    arrived: int
    delayed: int
    forwarded: int


class ResourceDemand(Message, frozen=True, tag="demand"):
    """An instance's load report and resource request to its coordinator.

    Args:
        applied_grant_number (int): Number of the latest grant that was
            applied.
        slots (SlotReport): Slots of targets of the own failure domain.
        credits (SlotReport): Credits at other failure domains' services.
        token_report_by_bucket (dict): Tokens held and requested.
        load_by_route (dict): Load since the last report.
    """

    applied_grant_number: int
    slots: SlotReport
    credits: SlotReport
    token_report_by_bucket: dict[ids.BucketId, TokenReport]
    load_by_route: dict[ids.RouteId, RouteLoad]


class Grants(Message, frozen=True, tag="allotment"):
    """A coordinator's grant in answer to a demand.

    Args:
        grant_number (int): Sequence number per instance.
        slots (SlotGrant): Slots of targets of the own failure domain.
        credits (SlotGrant): Credits at other failure domains' services.
        token_grant_by_bucket (dict): Tokens granted.
        tokens_valid_s (float): Validity from the time the demand was sent;
            also extends that of the tokens already held.
        forwarded_share_by_route (dict): Fraction of the requests to forward to
            other failure domains.
    """

    grant_number: int
    slots: SlotGrant
    credits: SlotGrant
    token_grant_by_bucket: dict[ids.BucketId, TokenGrant]
    tokens_valid_s: float
    forwarded_share_by_route: dict[ids.RouteId, float]


class OutstandingTokens(msgspec.Struct, frozen=True, array_like=True):
    """Outstanding tokens of one holder.

    Args:
        holder (str): Id of the holder.
        amount (float): Tokens that it may still spend.
        remaining_s (float): Remaining validity from now.
    """

    holder: ids.GrantHolderId
    amount: float
    remaining_s: float


class BucketState(msgspec.Struct, frozen=True):
    """State of one token bucket.

    Args:
        tokens (float): Tokens in the bucket.
        grants (list): Outstanding tokens by holder.
    """

    tokens: float
    grants: list[OutstandingTokens]


class UnconfirmedSlots(msgspec.Struct, frozen=True, array_like=True):
    """Slots in doubt: an unreachable or unknown holder may still use them.

    Args:
        slots (int): Number of slots.
        remaining_s (float): Time from now until they are free again.
    """

    slots: int
    remaining_s: float


class Handover(Message, frozen=True, tag="handover"):
    """Ledgers that a leaving coordinator transfers to its successor.

    Args:
        bucket_by_id (dict): Token buckets.
        slots_by_holder (dict): Slots granted, by holder and target.
        unconfirmed_slots_by_target (dict): Slots in doubt.
    """

    bucket_by_id: dict[ids.BucketId, BucketState]
    slots_by_holder: dict[ids.GrantHolderId, dict[ids.TargetId, int]]
    unconfirmed_slots_by_target: dict[ids.TargetId, UnconfirmedSlots]


class NotCoordinator(Message, frozen=True, tag="not-in-office"):
    """Rejects a call: the receiver does not hold the coordinator lease.

    Args:
        coordinator (Member): The coordinator that the receiver accepts, or
            None.
    """

    coordinator: Member | None


class SlotRevocation(Message, frozen=True, tag="recall"):
    """Asks an instance to release idle slots and to report at once.

    Args:
        service_ids (list): Services whose idle slots are to be released.
    """

    service_ids: list[ids.ServiceId]


class ServiceLoad(Message, frozen=True, tag="service-load"):
    """Load of one service in a failure domain.

    Args:
        slots (int): Total number of slots.
        smoothed_in_use (float): Smoothed number of slots that are in use or in
            doubt (see ``UnconfirmedSlots``).
        hold_s (float): Smoothed time for which a request holds a slot.
            Defaults to 0.
    """

    slots: int
    smoothed_in_use: float
    hold_s: float = 0.0


class DomainSummary(Message, frozen=True, tag="summary"):
    """State of a failure domain that is published to the others.

    Args:
        domain (str): The failure domain.
        coordinator (Member): Its coordinator.
        active_revision (int): Revision of the coordinator's active
            configuration.
        store_age_s (float): Age of the latest contact with the store.
        members (list): A bounded sample of its entries.
        load_by_service (dict): Load of its own targets.
        drained_share (float): Fraction of its traffic already shifted
            ahead of a planned drain, 0 to 1.
    """

    domain: ids.DomainId
    coordinator: Member
    active_revision: ids.Revision
    store_age_s: float
    members: list[Member]
    load_by_service: dict[ids.ServiceId, ServiceLoad]
    drained_share: float


class CoordinatorExchange(Message, frozen=True, tag="exchange"):
    """State and resource requests sent from coordinator to coordinator.

    Args:
        summary (DomainSummary): The sender's failure domain.
        tokens_requested_by_bucket (dict): Tokens requested, by bucket.
        credits_requested_by_service (dict): Credits requested, by service; a
            credit allows one forwarded request in flight.
        in_flight_by_service (dict): Forwarded requests of the sender's domain
            in flight at the receiver's, by service.
        round_trip_s (float): Smoothed round-trip time of an exchange.
    """

    summary: DomainSummary
    tokens_requested_by_bucket: dict[ids.BucketId, float]
    credits_requested_by_service: dict[ids.ServiceId, int]
    in_flight_by_service: dict[ids.ServiceId, int]
    round_trip_s: float


class CoordinatorExchangeReply(Message, frozen=True, tag="exchange-reply"):
    """Answers an exchange.

    Args:
        summary (DomainSummary): The receiver's failure domain.
        token_grant_by_bucket (dict): Tokens lent, in the field ``granted``,
            or the time after which to retry.
        tokens_valid_s (float): Validity from the time the exchange was
            sent.
        credit_by_service (dict): Total of forwarded requests that may be in
            flight; replaces the earlier one.
        credits_valid_s (float): Validity from the time the exchange was
            sent.
    """

    summary: DomainSummary
    token_grant_by_bucket: dict[ids.BucketId, TokenGrant]
    tokens_valid_s: float
    credit_by_service: dict[ids.ServiceId, int]
    credits_valid_s: float


class DomainStoreAge(msgspec.Struct, frozen=True, array_like=True):
    """Time since a failure domain's latest contact with the store.

    Args:
        domain (str): The failure domain.
        store_age_s (float): That time.
    """

    domain: ids.DomainId
    store_age_s: float


class DomainView(Message, frozen=True, tag="domain-view"):
    """State of the failure domains, from coordinator to instances.

    Args:
        summaries (list): The summaries that changed; that of the own domain
            may be among them.
        store_ages (list): All failure domains that were recently seen.
        all_domains_seen (bool): Whether every configured failure domain was
            recently seen.
    """

    summaries: list[DomainSummary]
    store_ages: list[DomainStoreAge]
    all_domains_seen: bool


class ConfigOffer(Message, frozen=True, tag="config-offer"):
    """Offers a newer revision of the configuration.

    Args:
        delta (ManifestDelta): Difference to the revision of the receiver.
        data (list): Contents of the chunks that changed.
    """

    delta: manifest.ManifestDelta
    data: list[bytes]


class ConfigRequest(Message, frozen=True, tag="config-request"):
    """Asks for the changes of the configuration since a revision."""

    revision: ids.Revision


class ActiveRevisionsRequest(Message, frozen=True, tag="in-force-request"):
    """Asks for the active revisions of a failure domain's instances."""


class ActiveRevisions(Message, frozen=True, tag="in-force"):
    """Revision of the active configuration by instance."""

    revision_by_instance: dict[ids.InstanceId, ids.Revision]


class EventsRequest(Message, frozen=True, tag="events-request"):
    """Asks for the events after a hybrid logical clock value.

    Args:
        since (int): That value.
        limit (int): Maximum number of events.
    """

    since: int
    limit: int


class Events(Message, frozen=True, tag="events"):
    """Events of one entry, oldest first."""

    events: list[event.Event]


class ForwardOpen(Message, frozen=True, tag="forward-open"):
    """Opens a stream for a forwarded request.

    Args:
        stream_id (int): Stream id, chosen by the sender.
        method (str): HTTP method.
        path (str): Path of the request.
        query (bytes): Query string.
        headers (list): End-to-end headers.
        route_id (str): Id of the route.
        customer_id (str): Id of the customer, or empty on open routes.
        request_id (str): Id of the request.
        remaining_s (float): Time until the request's deadline.
        runs_as_own_request (bool): Whether the receiver handles the request as
            one of its own callers' (it issued the idempotency key), and so may
            forward or retry it; otherwise it uses its own targets only.
        idempotency_key (str): Idempotency key, or empty.
        key_id (str): Id of the caller's API key, or empty on open routes.
        is_first_attempt (bool): Whether the caller declared this its first
            attempt.
    """

    stream_id: int
    method: str
    path: str
    query: bytes
    headers: list[tuple[bytes, bytes]]
    route_id: ids.RouteId
    customer_id: str
    request_id: str
    remaining_s: float
    runs_as_own_request: bool
    idempotency_key: str
    key_id: str
    is_first_attempt: bool


class ForwardData(Message, frozen=True, tag="forward-data"):
    """One piece of a body.

    Args:
        stream_id (int): Stream id.
        is_to_opener (bool): Direction: whether the receiver of this message
            opened the stream.
        sequence_number (int): Sequence number, from 0 without gaps.
        data (bytes): Content of the piece.
        is_last (bool): Whether the body ends with this piece.
    """

    stream_id: int
    is_to_opener: bool
    sequence_number: int
    data: bytes
    is_last: bool


class ForwardWindowUpdate(Message, frozen=True, tag="forward-credit"):
    """Flow control: the peer may send more pieces.

    Args:
        stream_id (int): Stream id.
        is_to_opener (bool): Whether the receiver of this message opened the
            stream.
        consumed (int): Total number of pieces that the sender has consumed.
    """

    stream_id: int
    is_to_opener: bool
    consumed: int


class ForwardResponseHead(Message, frozen=True, tag="forward-head"):
    """Head of the response to a forwarded request, or a refusal.

    Args:
        stream_id (int): Stream id.
        code (int): Result code; 0 means that the target answered.
        detail (str): Reason of a refusal.
        status (int): HTTP status.
        headers (list): Response headers.
        outcome (str): Outcome of a refused request. Defaults to empty.
        retry_after_s (float): Retry-after time of a refusal. Defaults
            to 0.
    """

    stream_id: int
    code: int
    detail: str
    status: int
    headers: list[tuple[bytes, bytes]]
    outcome: str = ""
    retry_after_s: float = 0.0


class ForwardAbort(Message, frozen=True, tag="forward-abort"):
    """Aborts a stream; either side may send it.

    Args:
        stream_id (int): Stream id.
        is_to_opener (bool): Whether the receiver of this message opened the
            stream.
    """

    stream_id: int
    is_to_opener: bool


PeerMessage = (
    Hello
    | Welcome
    | Ack
    | Heartbeat
    | ResourceDemand
    | Grants
    | Handover
    | NotCoordinator
    | SlotRevocation
    | CoordinatorExchange
    | CoordinatorExchangeReply
    | DomainView
    | ConfigOffer
    | ConfigRequest
    | EventsRequest
    | Events
    | ActiveRevisionsRequest
    | ActiveRevisions
    | ForwardOpen
    | ForwardData
    | ForwardWindowUpdate
    | ForwardResponseHead
    | ForwardAbort
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One message with its transport metadata.

    Args:
        version (int): Protocol version.
        clock_stamp (int): Hybrid logical clock of the sender.
        sender (str): Instance id of the sender.
        incarnation (int): Incarnation of the sender.
        receiver_incarnation (int): Incarnation of the receiver, or 0 in a
            hello or welcome.
        sequence_number (int): Increases with every message of one sender.
        call_number (int): Correlates a call and its reply; 0 for neither.
        is_reply (bool): Whether the message is the reply to that call.
        message (Message): The payload.
    """

    version: int
    clock_stamp: int
    sender: ids.InstanceId
    incarnation: ids.Incarnation
    receiver_incarnation: ids.Incarnation
    sequence_number: int
    call_number: int
    is_reply: bool
    message: PeerMessage
