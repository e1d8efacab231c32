"""Configurable names of the headers between callers, entries and targets."""

import msgspec


class HeaderNames(msgspec.Struct, frozen=True):
    """Header names in lower case.

    Args:
        request_id (bytes): Id of one attempt of a caller; targets echo it.
        deadline (bytes): Milliseconds until the caller's deadline.
        affinity (bytes): Session affinity key: names the object that a
            request is about.
        key (bytes): The caller's API key; never forwarded.
        customer (bytes): Tells a target which customer sent the request.
        expected_target (bytes): Id of the intended target; any other
            target rejects the request.
        not_run (bytes): In a response: the target did not run the request.
        seal (bytes): A target's signature of its response.
        load (bytes): Running requests, queued requests and slots of a
            target.
        cold (bytes): Remaining warm-up time of a target, in milliseconds.
        target (bytes): Id of the responding target.
    """

    request_id: bytes = b"x-request-id"
    deadline: bytes = b"x-deadline-ms"
    affinity: bytes = b"x-affinity-key"
    key: bytes = b"x-api-key"
    customer: bytes = b"x-chicorydoor-customer"
    expected_target: bytes = b"x-chicorydoor-target"
    not_run: bytes = b"x-not-processed"
    seal: bytes = b"x-seal"
    load: bytes = b"x-load"
    cold: bytes = b"x-cold-ms"
    target: bytes = b"x-target"
