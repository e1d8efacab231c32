"""An admitted request, its encoding for a target, and header filtering."""

from collections import abc
import functools
import hashlib

import msgspec

from chicorydoor.protocol import header_names
from chicorydoor.protocol import headers as http_headers
from chicorydoor.protocol import ids
from chicorydoor.protocol import serving_config

Headers = list[tuple[bytes, bytes]]

_CONNECTION_HEADER = b"connection"
# The entry's own server sets these, so the target's values are dropped.
_SET_BY_SERVER = frozenset(
    {b"content-length", b"date", b"server", b"connection", b"keep-alive"}
)


# Bytes of a fingerprint. Callers cannot make two requests with the same one.
FINGERPRINT_BYTES = 16


class RelayHistory(msgspec.Struct, frozen=True):
    """What an entry did with a request before it relayed it to a peer.

    Args:
        service_id (str): The service that it chose.
        send_count (int): How often it has sent the request.
    """

    service_id: ids.ServiceId
    send_count: int


class AdmittedRequest(msgspec.Struct, dict=True):
    """An admitted request.

    Args:
        method (bytes): HTTP method.
        request_target (bytes): Request target: path and query as the caller
            sent them.
        headers (list): The caller's headers after
            ``filter_request_headers``, which keeps the request id and the
            affinity key.
        body_chunks (Sequence): The whole body, in the pieces in which it was
            read.
        request_id (bytes): The caller's id of this attempt.
        affinity_key (bytes): Session affinity key: names the object that the
            request is about; may be empty.
        route (RouteConfig): The matching route.
        customer (CustomerConfig): Owner of the API key; None on routes
            without keys.
        arrived_at (float): Arrival time on the local clock, in seconds.
        deadline (float): Time on the local clock by which the caller must
            have the response.
        relay_history (RelayHistory): What the entry that relayed the request
            did with it; None if its caller sent it to this entry. Defaults to
            None.
        body_digest (bytes): Digest of a large body, computed as it was read;
            empty for a small one. Defaults to empty.
        is_caller_gone (callable): Returns whether the caller has closed its
            connection. Defaults to one that returns False.
    """

    method: bytes
    request_target: bytes
    headers: Headers
    body_chunks: abc.Sequence[bytes]
    request_id: bytes
    affinity_key: bytes
    route: serving_config.RouteConfig
    customer: serving_config.CustomerConfig | None
    arrived_at: float
    deadline: float
    relay_history: RelayHistory | None = None
    body_digest: bytes = b""
    is_caller_gone: abc.Callable[[], bool] = lambda: False

    @functools.cached_property
    def fingerprint(self) -> bytes:
        """Digest of what stays the same when a caller repeats a request.

        That is the customer, host, method, path with query, and body, but
        not the request id.
        """
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        customer = self.customer.customer_id if self.customer else ""
        for part in (
            customer.encode(),
            self.route.host.encode(),
            self.method,
            self.request_target,
        ):
            digest.update(b"%d:" % len(part))
            digest.update(part)
        digest.update(b"%d:" % self.body_size)
        if self.body_digest:
            digest.update(self.body_digest)
        else:
            for chunk in self.body_chunks:
                digest.update(chunk)
        return digest.digest()

    @property
    def body_size(self) -> int:
        """Size of the body in bytes."""
        return sum(map(len, self.body_chunks))

    @property
    def priority(self) -> int:
        """Effective priority; 0 is the most urgent."""
        customer = self.customer
        if customer is not None and customer.priority is not None:
            return customer.priority
        return self.route.priority

    @property
    def allowed_region_ids(self) -> frozenset:
        """Regions that may serve it; empty allows all.

        If route and customer have no region in common, the result holds
        only the empty id, which no region has.
        """
        by_route = self.route.allowed_region_ids
        by_customer = (
            self.customer.allowed_region_ids if self.customer else frozenset()
        )
        if by_route and by_customer:
            return by_route & by_customer or frozenset({""})
        return by_route or by_customer


def filter_request_headers(
    headers: Headers,
    names: header_names.HeaderNames,
    connection_options: frozenset[bytes],
) -> Headers:
    """Return the caller's headers that are forwarded to the target.

    Dropped are hop-by-hop headers, the API key, and headers that the entry
    sets itself.

    Args:
        headers (list): Names in lower case, and values.
        names (HeaderNames): Names of the headers that the entry interprets.
        connection_options (frozenset): Names that the connection header lists.
    """
    set_by_entry = {
        names.api_key,
        names.customer_id,
        names.deadline_ms,
        names.expected_target_id,
        names.relayed_service,
        names.relayed_send_count,
        b"content-length",
    }
    return [
        (name, value)
        for name, value in headers
        if name not in set_by_entry
        and name not in http_headers.HOP_BY_HOP
        and name not in connection_options
    ]


def parse_connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the hop-by-hop names that the connection headers list."""
    options: set[bytes] = set()
    for name, value in headers:
        if name == _CONNECTION_HEADER:
            options.update(part.strip().lower() for part in value.split(b","))
    return frozenset(options)


def encode_head(
    request: AdmittedRequest,
    names: header_names.HeaderNames,
    target_id: str,
    remaining_s: float,
    additional_headers: abc.Iterable[tuple[bytes, bytes]] = (),
) -> bytes:
    """Encode the head of a request as an HTTP/1.1 message.

    The body follows it unchanged.

    Args:
        request (AdmittedRequest): The request.
        names (HeaderNames): Names of the headers that the entry interprets.
        target_id (str): The only target or peer that may run it; any other
            rejects it.
        remaining_s (float): Time until the deadline; sent in milliseconds,
            at least 1.
        additional_headers (Iterable): Defaults to none.

    Returns:
        bytes: Request line and headers, with the empty line after them.
    """
    lines = [b"%s %s HTTP/1.1" % (request.method, request.request_target)]
    lines += [b"%s: %s" % header for header in request.headers]
    lines += [b"%s: %s" % header for header in additional_headers]
    lines.append(
        b"%s: %d" % (names.deadline_ms, max(1, int(remaining_s * 1000)))
    )
    lines.append(b"%s: %s" % (names.expected_target_id, target_id.encode()))
    if request.customer is not None:
        name = request.customer.customer_id.encode()
        lines.append(b"%s: %s" % (names.customer_id, name))
    size = request.body_size
    if size or request.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"content-length: %d" % size)
    return b"\r\n".join([*lines, b"", b""])


def filter_response_headers(headers: Headers) -> Headers:
    """Return the target's headers that are returned to the caller."""
    return [
        (name, value)
        for name, value in headers
        if name not in _SET_BY_SERVER and name not in http_headers.HOP_BY_HOP
    ]
