"""An admitted request, its encoding for a target, and header filtering."""

import msgspec

from chicorydoor.protocol import headers as http_headers
from chicorydoor.protocol import serving
from chicorydoor.protocol import wire_names

Headers = list[tuple[bytes, bytes]]

_CONNECTION_HEADER = b"connection"
# The entry's own server sets these, so the target's values are dropped.
_SET_BY_SERVER = frozenset(
    {b"content-length", b"date", b"server", b"connection", b"keep-alive"}
)


class Call(msgspec.Struct):
    """An admitted request.

    Args:
        method (bytes): HTTP method.
        target (bytes): Request target: path and query as the caller sent
            them.
        headers (list): Headers that are forwarded unchanged.
        body (bytes): The whole body.
        request_id (bytes): The caller's id of this attempt.
        affinity (bytes): Session affinity key: names the object that the
            request is about; may be empty.
        route (RouteRule): The matching route.
        customer (CustomerRule): Owner of the API key; None on routes
            without keys.
        arrived_at (float): Arrival time on the local clock, in seconds.
        deadline (float): Time on the local clock by which the caller must
            have the response.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    request_id: bytes
    affinity: bytes
    route: serving.RouteRule
    customer: serving.CustomerRule | None
    arrived_at: float
    deadline: float

    @property
    def priority(self) -> int:
        """Effective priority; 0 is the most urgent."""
        customer = self.customer
        if customer is not None and customer.priority is not None:
            return customer.priority
        return self.route.priority

    @property
    def regions(self) -> frozenset:
        """Regions that may serve it; empty allows all.

        If route and customer have no region in common, the result holds
        only the empty id, which no region has.
        """
        by_route = self.route.home_regions
        by_customer = (
            self.customer.home_regions if self.customer else frozenset()
        )
        if by_route and by_customer:
            return by_route & by_customer or frozenset({""})
        return by_route or by_customer


def end_to_end(
    headers: Headers, wire: wire_names.WireNames, extra: frozenset[bytes]
) -> Headers:
    """Return the caller's headers that are forwarded to the target.

    Dropped are hop-by-hop headers, the API key, and headers that the entry
    sets itself.

    Args:
        headers (list): Names in lower case, and values.
        wire (WireNames): Names of the headers that the entry interprets.
        extra (frozenset): Names that the connection header lists.
    """
    set_by_entry = {
        wire.key,
        wire.customer,
        wire.deadline,
        wire.expected_target,
        b"content-length",
    }
    return [
        (name, value)
        for name, value in headers
        if name not in set_by_entry
        and name not in http_headers.HOP_BY_HOP
        and name not in extra
    ]


def connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the hop-by-hop names that the connection headers list."""
    options: set[bytes] = set()
    for name, value in headers:
        if name == _CONNECTION_HEADER:
            options.update(part.strip().lower() for part in value.split(b","))
    return frozenset(options)


def encode(
    call: Call,
    wire: wire_names.WireNames,
    target_id: str,
    remaining_s: float,
) -> bytes:
    """Encode a request as an HTTP/1.1 message for a target.

    Args:
        call (Call): The request.
        wire (WireNames): Names of the headers that the entry interprets.
        target_id (str): The only target that may run it; any other rejects
            it.
        remaining_s (float): Time until the deadline; sent in milliseconds,
            at least 1.

    Returns:
        bytes: Head and body.
    """
    lines = [b"%s %s HTTP/1.1" % (call.method, call.target)]
    lines += [b"%s: %s" % header for header in call.headers]
    lines.append(b"%s: %d" % (wire.deadline, max(1, int(remaining_s * 1000))))
    lines.append(b"%s: %s" % (wire.expected_target, target_id.encode()))
    if call.customer is not None:
        name = call.customer.customer_id.encode()
        lines.append(b"%s: %s" % (wire.customer, name))
    if call.body or call.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"content-length: %d" % len(call.body))
    return b"\r\n".join([*lines, b"", call.body])


def answer_headers(headers: Headers) -> Headers:
    """Return the target's headers that are returned to the caller."""
    return [
        (name, value)
        for name, value in headers
        if name not in _SET_BY_SERVER and name not in http_headers.HOP_BY_HOP
    ]
