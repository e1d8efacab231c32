"""What callers see of the look-up."""

import msgspec

from chicorydoor.protocol import ids


class LookupEntry(msgspec.Struct, frozen=True):
    """An entry that the caller may use.

    Args:
        instance (str): Its id.
        domain (str): Its failure domain.
        address (str): ``ip:port`` for HTTP.
        weight (float): Part of the requests, relative to the others.
    """

    instance: ids.InstanceId
    domain: ids.DomainId
    address: str
    weight: float


class LookupAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Entries, nearest first.

    Args:
        entries (list): What to use.
        ttl_s (float): How long the answer may be cached.
        revision (int): Configuration that it was made from.
        idempotency_keys (list): Minted on request. Defaults to none.
    """

    entries: list[LookupEntry]
    ttl_s: float
    revision: ids.Revision
    idempotency_keys: list[str] = []


class RefusalBody(msgspec.Struct, frozen=True):
    """Body of a refusal; the same facts as in its headers."""

    code: int
    name: str
    outcome: str
    detail: str
    retry_after_s: float
