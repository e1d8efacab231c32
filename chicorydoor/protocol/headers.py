"""HTTP headers with a meaning for the entries."""

from collections import abc

CONTENT_LENGTH = b"content-length"
KEY = b"x-api-key"
KEY_PREFIX = b"cdk_"
REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline-ms"
IDEMPOTENCY_KEY = b"idempotency-key"
FIRST_ATTEMPT = b"x-first-attempt"
NOT_PROCESSED = b"x-not-processed"
CODE = b"x-chicorydoor-code"
OUTCOME = b"x-chicorydoor-outcome"
_INTERNAL_PREFIX = b"x-chicorydoor-"

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
_NOT_PASSED_ON = frozenset(
    {
        *HOP_BY_HOP,
        b"host",
        CONTENT_LENGTH,
        KEY,
        REQUEST_ID,
        DEADLINE,
        IDEMPOTENCY_KEY,
        FIRST_ATTEMPT,
    }
)

Headers = list[tuple[bytes, bytes]]


def find(
    headers: abc.Iterable[tuple[bytes, bytes]], name: bytes
) -> bytes | None:
    """A header's first value, or None.

    Args:
        headers (Iterable): Names in lower case, and values.
        name (bytes): In lower case.
    """
    for known, value in headers:
        if known == name:
            return value
    return None


def for_target(headers: abc.Iterable[tuple[bytes, bytes]]) -> Headers:
    """A caller's headers without those that stay at the entry.

    Hop-by-hop headers, the key, internal headers and any value that looks
    like a key are left out.

    Args:
        headers (Iterable): Names in lower case, and values.
    """
    return [
        (name, value)
        for name, value in headers
        if name not in _NOT_PASSED_ON
        and not name.startswith(_INTERNAL_PREFIX)
        and KEY_PREFIX not in value
    ]


def end_to_end(headers: abc.Iterable[tuple[bytes, bytes]]) -> Headers:
    """A target's headers without those of its connection.

    The length is left to the server that sends the answer on.
    """
    return [
        (name, value)
        for raw_name, value in headers
        if (name := raw_name.lower()) not in HOP_BY_HOP
        and name not in (CONTENT_LENGTH, REQUEST_ID)
        and not name.startswith(_INTERNAL_PREFIX)
    ]
