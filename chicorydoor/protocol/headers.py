"""HTTP headers that entries interpret, and header filtering.

The fixed names and the filters are those of entries that an operator
configures. Entries that share the platform's store use ``header_names`` and
``admitted_request`` instead.
"""

from collections import abc

CONTENT_LENGTH = b"content-length"
API_KEY = b"x-api-key"
API_KEY_PREFIX = b"cdk_"
REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"
IDEMPOTENCY_KEY = b"idempotency-key"
FIRST_ATTEMPT = b"x-first-attempt"
NOT_PROCESSED = b"x-not-processed"
RESULT_CODE = b"x-chicorydoor-code"
RESULT_OUTCOME = b"x-chicorydoor-outcome"
_INTERNAL_PREFIX = b"x-chicorydoor-"

# Parsers of responses accept any three digits; servers send only these.
VALID_STATUSES = range(100, 600)
# Informational responses come before a response.
FINAL_STATUSES = range(200, 600)

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
        API_KEY,
        REQUEST_ID,
        DEADLINE_MS,
        IDEMPOTENCY_KEY,
        FIRST_ATTEMPT,
    }
)

Headers = list[tuple[bytes, bytes]]

# Far above every count and every time in milliseconds that a header names. It
# can be converted to a float and encoded in any message.
_MAX_WHOLE_NUMBER = 10**12


def find_header(
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


def parse_whole_number(value: bytes) -> int | None:
    """Return the whole number that a header names; at most 10**12.

    Python refuses to convert very long numbers, and larger ones to floats.

    Args:
        value (bytes): Value of the header.

    Returns:
        The number; None if the value is not one.
    """
    if not value.isdigit():
        return None
    digits = value.lstrip(b"0")
    if len(digits) > len(b"%d" % _MAX_WHOLE_NUMBER):
        return _MAX_WHOLE_NUMBER
    return min(int(digits or b"0"), _MAX_WHOLE_NUMBER)


def content_length(headers: abc.Iterable[tuple[bytes, bytes]]) -> int | None:
    """Return the length of a request's body.

    Args:
        headers (Iterable): Names in lower case, and values. The HTTP parser
            has checked that a length is a number.

    Returns:
        Bytes; None if the body is chunked.
    """
    length = 0
    for name, value in headers:
        if name == b"transfer-encoding":
            return None
        if name == b"content-length":
            length = int(value)
    return length


def filter_request_headers(
    headers: abc.Iterable[tuple[bytes, bytes]],
) -> Headers:
    """Return the caller's headers that are forwarded to a target.

    Dropped are hop-by-hop headers, headers that the entry consumes or sets
    itself (the API key among them), internal headers, and any header whose
    value contains the prefix of API keys.

    Args:
        headers (Iterable): Names in lower case, and values.
    """
    return [
        (name, value)
        for name, value in headers
        if name not in _CONSUMED_BY_ENTRY
        and not name.startswith(_INTERNAL_PREFIX)
        and API_KEY_PREFIX not in value
    ]


def filter_response_headers(
    headers: abc.Iterable[tuple[bytes, bytes]],
) -> Headers:
    """Return the target's headers that are returned to the caller.

    Dropped are hop-by-hop headers, internal headers and the request id. The
    content length is left to the server that sends the response.
    """
    return [
        (name, value)
        for raw_name, value in headers
        if (name := raw_name.lower()) not in HOP_BY_HOP
        and name not in (CONTENT_LENGTH, REQUEST_ID)
        and not name.startswith(_INTERNAL_PREFIX)
    ]
