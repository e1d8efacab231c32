"""Request and response bodies of the administration API."""

import datetime
import enum
import typing

import msgspec

from chicorydoor.protocol import config_records
from chicorydoor.protocol import ids


class ConfigurationView(msgspec.Struct, frozen=True):
    """A configuration revision and its documents.

    Args:
        revision (int): The revision.
        documents (dict): Records by collection.
    """

    revision: ids.Revision
    documents: dict[str, typing.Any]


class ApplyCall(msgspec.Struct, frozen=True):
    """A complete configuration to be applied.

    Args:
        base (int): Revision that the change is based on.
        documents (dict): Records by collection.
    """

    base: int
    documents: dict[str, typing.Any]


class Ending(enum.Enum):
    """Outcome of a configuration change."""

    COMMITTED = "committed"
    NOT_COMMITTED = "not-committed"
    UNKNOWN = "unknown"


class ApplyResult(msgspec.Struct, frozen=True):
    """Result of a configuration change.

    Args:
        ending (Ending): Outcome; unknown if the store did not answer.
        revision (int): Revision of the change.
        apply_id (str): Id of the change.
    """

    ending: Ending
    revision: ids.Revision
    apply_id: str


class IssueCall(msgspec.Struct, frozen=True):
    """Requests a new API key.

    Args:
        key (str): Id of the key.
        customer (str): Id of its customer.
    """

    key: ids.KeyId
    customer: ids.CustomerId


class IssuedKey(msgspec.Struct, frozen=True):
    """A new API key.

    Args:
        key (str): Id of the key.
        text (str): The key itself; no other response contains it.
        result (ApplyResult): Result of the configuration change.
    """

    key: ids.KeyId
    text: str
    result: ApplyResult


class DrainCall(msgspec.Struct, frozen=True):
    """Plans a drain.

    Args:
        drain (str): Id of the drain.
        kind (DrainKind): Kind of the drained object.
        subject (str): Id of the drained object.
        starts_at (datetime): Start; with a time zone.
        ends_at (datetime): End; with a time zone. Defaults to never.
    """

    drain: ids.DrainId
    kind: config_records.DrainKind
    subject: str
    starts_at: datetime.datetime
    ends_at: datetime.datetime | None = None


class Status(msgspec.Struct, frozen=True):
    """State of one entry.

    Args:
        instance (str): Id of the entry.
        domain (str): Its failure domain.
        revision (int): Revision of its active configuration.
        is_ready (bool): Whether it has a configuration and knows the
            coordinator of its failure domain.
        is_leaving (bool): Whether it is about to stop or under a drain.
        coordinator (str): Id of the coordinator of its failure domain that it
            follows; empty if there is none.
        store_age_s (float): Age of the latest contact with the store that
            this entry had or was told of by others; -1 if there was none.
        doubt_s (float): Time for which API keys have not been trusted; 0
            while they are.
        running (int): Number of running requests.
        waiting (int): Number of queued requests.
        slot_by_target (dict): Slots that the coordinator granted to this
            entry, and those of them in use: ``[granted, in use]``.
        away_share_by_route (dict): Fraction of the requests forwarded to
            other failure domains.
        members (list): Ids of the live entries of its failure domain.
        domains_heard (list): Failure domains that were recently seen.
    """

    instance: ids.InstanceId
    domain: ids.DomainId
    revision: ids.Revision
    is_ready: bool
    is_leaving: bool
    coordinator: str
    store_age_s: float
    doubt_s: float
    running: int
    waiting: int
    slot_by_target: dict[str, list[int]]
    away_share_by_route: dict[str, float]
    members: list[str]
    domains_heard: list[str]
