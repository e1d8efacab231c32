"""Bodies of the caller API: look-up of entries, and refusal."""

import msgspec

from chicorydoor.protocol import ids


class LookupEntry(msgspec.Struct, frozen=True):
    """An entry that the caller may use.

    Args:
        instance (str): Id of the entry.
        domain (str): Its failure domain.
        address (str): ``ip:port`` for HTTP.
        weight (float): Relative share of the caller's requests.
    """

    instance: ids.InstanceId
    domain: ids.DomainId
    address: str
    weight: float


class LookupAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Result of a look-up.

    Args:
        entries (list): Entries to use, nearest first.
        ttl_s (float): How long the answer may be cached.
        revision (int): Configuration revision that it is based on.
        idempotency_keys (list): Keys that the caller asked for. Defaults
            to none.
    """

    entries: list[LookupEntry]
    ttl_s: float
    revision: ids.Revision
    idempotency_keys: list[str] = []


class RefusalBody(msgspec.Struct, frozen=True):
    """Body of a refusal.

    Headers repeat the code, the outcome and, in whole seconds, the time after
    which a retry may succeed.

    Args:
        code (int): Number of the result code.
        name (str): Name of the result code.
        outcome (str): Whether the request ran; a value of
            ``result_codes.Outcome``.
        detail (str): Reason of the refusal.
        retry_after_s (float): Time after which a retry may succeed; 0 if
            none is stated.
    """

    code: int
    name: str
    outcome: str
    detail: str
    retry_after_s: float
