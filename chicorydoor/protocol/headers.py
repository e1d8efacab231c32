"""HTTP headers that entries interpret, and header filtering."""

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
_CONSUMED_BY_ENTRY = frozenset(
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
    """Return the first value of a header, or None.

    Args:
        headers (Iterable): Names in lower case, and values.
        name (bytes): Name in lower case.
    """
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def for_target(headers: abc.Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the caller's headers that are forwarded to a target.

    Dropped are hop-by-hop headers, headers that the entry consumes (the API
    key among them), internal headers, and any header whose value contains
    the prefix of API keys.

    Args:
        headers (Iterable): Names in lower case, and values.
    """
    return [
        (name, value)
        for name, value in headers
        if name not in _CONSUMED_BY_ENTRY
        and not name.startswith(_INTERNAL_PREFIX)
        and KEY_PREFIX not in value
    ]


def end_to_end(headers: abc.Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the target's headers that are returned to the caller.

    Hop-by-hop and internal headers are dropped. The content length is left
    to the server that sends the response.
    """
    return [
        (name, value)
        for raw_name, value in headers
        if (name := raw_name.lower()) not in HOP_BY_HOP
        and name not in (CONTENT_LENGTH, REQUEST_ID)
        and not name.startswith(_INTERNAL_PREFIX)
    ]
