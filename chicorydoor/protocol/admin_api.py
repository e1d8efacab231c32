"""Bodies of the administration API."""

import datetime
import enum
import typing

import msgspec

from chicorydoor.protocol import config_records
from chicorydoor.protocol import ids


class ConfigurationView(msgspec.Struct, frozen=True):
    """A revision and its documents."""

    revision: ids.Revision
    documents: dict[str, typing.Any]


class ApplyCall(msgspec.Struct, frozen=True):
    """A whole configuration.

    Args:
        base (int): The revision that it was made from.
        documents (dict): Records by collection.
    """

    base: int
    documents: dict[str, typing.Any]


class Ending(enum.Enum):
    """How a change ended."""

    COMMITTED = "committed"
    NOT_COMMITTED = "not-committed"
    UNKNOWN = "unknown"


class ApplyResult(msgspec.Struct, frozen=True):
    """How a change ended.

    Args:
        ending (Ending): Unknown if the store did not answer afterwards.
        revision (int): The change's revision.
        apply_id (str): The change's name.
    """

    ending: Ending
    revision: ids.Revision
    apply_id: str


class IssueCall(msgspec.Struct, frozen=True):
    """Asks for a key."""

    key: ids.KeyId
    customer: ids.CustomerId


class IssuedKey(msgspec.Struct, frozen=True):
    """A new key; ``text`` is shown only here."""

    key: ids.KeyId
    text: str
    result: ApplyResult


class DrainCall(msgspec.Struct, frozen=True):
    """Plans a drain."""

    drain: ids.DrainId
    kind: config_records.DrainKind
    subject: str
    starts_at: datetime.datetime
    ends_at: datetime.datetime | None = None


class Status(msgspec.Struct, frozen=True):
    """One entry's state.

    Args:
        store_age_s (float): Age of the latest known contact with the
            store, -1 if there was none.
        doubt_s (float): For how long keys have been in doubt.
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
