"""A caller's request on its way to a target, and its answer's headers."""

import msgspec

from chicorydoor.protocol import headers as header_names
from chicorydoor.protocol import serving
from chicorydoor.protocol import wire_names

Headers = list[tuple[bytes, bytes]]

_CONNECTION = b"connection"
# Set by this side of the connection, whatever the other side sent.
_REPLACED = frozenset(
    {b"content-length", b"date", b"server", b"connection", b"keep-alive"}
)


class Call(msgspec.Struct):
    """A request that was let in.

    Args:
        target (bytes): Path and query as the caller sent them.
        headers (list): Those that are passed on unchanged.
        request_id (bytes): The caller's id of this attempt.
        affinity (bytes): Names the object that it is about; may be empty.
        customer (CustomerRule): Whose key came with it; None on routes
            without keys.
        arrived_at (float): On the own clock.
        deadline (float): When it must be answered, on the own clock.
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
        """0 is the most urgent."""
        customer = self.customer
        if customer is not None and customer.priority is not None:
            return customer.priority
        return self.route.priority

    @property
    def regions(self) -> frozenset:
        """Regions that may serve it; empty for all."""
        own = self.route.home_regions
        theirs = self.customer.home_regions if self.customer else frozenset()
        if own and theirs:
            return own & theirs or frozenset({""})
        return own or theirs


def end_to_end(
    headers: Headers, wire: wire_names.WireNames, extra: frozenset[bytes]
) -> Headers:
    """A caller's headers that go on to the target.

    Left out are those of the connection, the key, and those that the
    entry sets itself.

    Args:
        headers (list): Names in lower case, and values.
        wire (WireNames): Names of the headers with a meaning.
        extra (frozenset): Names that the connection header lists.
    """
    own = {
        wire.key,
        wire.customer,
        wire.deadline,
        wire.expected_target,
        b"content-length",
    }
    return [
        (name, value)
        for name, value in headers
        if name not in own
        and name not in header_names.HOP_BY_HOP
        and name not in extra
    ]


def connection_options(headers: Headers) -> frozenset[bytes]:
    """Names that the connection header declares as its own."""
    options: set[bytes] = set()
    for name, value in headers:
        if name == _CONNECTION:
            options.update(part.strip().lower() for part in value.split(b","))
    return frozenset(options)


def encode(
    call: Call,
    wire: wire_names.WireNames,
    target_id: str,
    remaining_s: float,
) -> bytes:
    """The request as it is sent to a target.

    Args:
        call (Call): The request.
        wire (WireNames): Names of the headers with a meaning.
        target_id (str): The only target that may run it.
        remaining_s (float): Time that the target has.
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
    """A target's headers that go back to the caller."""
    return [
        (name, value)
        for name, value in headers
        if name not in _REPLACED and name not in header_names.HOP_BY_HOP
    ]
