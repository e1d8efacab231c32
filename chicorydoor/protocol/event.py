"""Events of an entry, from which time lines are built."""

import enum

import msgspec

from chicorydoor.protocol import ids


class EventKind(enum.Enum):
    """Kind of event."""

    STARTED = "started"
    STOPPING = "stopping"
    STOPPED = "stopped"
    # The entry became or ceased to be the coordinator of its failure domain.
    COORDINATOR_LEASE_ACQUIRED = "office-taken"
    COORDINATOR_LEASE_LOST = "office-lost"
    PEER_SEEN = "peer-seen"
    PEER_LOST = "peer-lost"
    # The entry's process did not run for a time.
    PAUSE_DETECTED = "pause-detected"
    # The entry activated a configuration revision.
    REVISION_ACTIVATED = "revision-in-force"
    # The entry committed an operator's change of the configuration.
    APPLIED = "applied"
    STORE_LOST = "store-lost"
    STORE_REACHED = "store-reached"
    KEYS_STALE = "keys-in-doubt"
    KEYS_FRESH = "keys-fresh"
    TARGET_EJECTED = "target-ejected"
    TARGET_RESTORED = "target-restored"
    DRAIN_STARTED = "drain-started"
    DRAIN_ENDED = "drain-ended"
    # The share of a route's requests, or of the look-ups, that go to other
    # failure domains changed.
    SHIFT_CHANGED = "shift-changed"
    LOOKED_UP = "looked-up"
    RECEIVED = "received"
    # Forwarded to an entry of another failure domain.
    FORWARDED = "forwarded"
    # Sent to a target.
    SENT = "sent"
    FINISHED = "finished"


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event; fields that do not apply are empty.

    Args:
        stamp (int): Hybrid logical clock of the event.
        instance (str): Id of the entry that recorded it.
        kind (EventKind): Kind of event.
        request_id (str): Id of the request. Defaults to empty.
        customer (str): Id of the customer. Defaults to empty.
        revision (int): Configuration revision. Defaults to 0.
        subject (str): Id of the object that the event is about. Defaults
            to empty.
        detail (str): Further details. Defaults to empty.
    """

    stamp: int
    instance: ids.InstanceId
    kind: EventKind
    request_id: str = ""
    customer: str = ""
    revision: int = 0
    subject: str = ""
    detail: str = ""
