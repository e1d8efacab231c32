"""Bounds on what a target may send beside the bodies of its responses."""

# Everything but bodies: heads, trailers, informational responses and framing.
# Servers commonly limit the head of a request to a part of this.
MAX_OVERHEAD_BYTES = 64 * 1024
# A chunk of a single byte comes with five bytes of framing.
_MAX_FRAMING_PER_BODY_BYTE = 5


def has_excess_overhead(received_bytes: int, body_bytes: int) -> bool:
    """Whether a target has sent more beside bodies than a response needs.

    Args:
        received_bytes (int): All bytes that were received for one request.
        body_bytes (int): Bytes of bodies among them.
    """
    return received_bytes - body_bytes > (
        MAX_OVERHEAD_BYTES + _MAX_FRAMING_PER_BODY_BYTE * body_bytes
    )
