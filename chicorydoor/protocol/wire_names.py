"""Names of the headers that callers, entries and targets exchange."""

import msgspec


class WireNames(msgspec.Struct, frozen=True):
    """Header names in lower case.

    Args:
        request_id (bytes): Id of one attempt of a caller; targets echo it.
        deadline (bytes): Milliseconds that the caller will wait.
        affinity (bytes): Names the object that a request is about.
        key (bytes): The caller's key; never passed on.
        customer (bytes): Tells a target whose key the caller has.
        expected_target (bytes): Any target but the named one refuses.
        not_run (bytes): In an answer: the target did not run the request.
        seal (bytes): A target's signature of its answer.
        load (bytes): Running, waiting and slots of a target.
        cold (bytes): Milliseconds that a target stays cold.
        target (bytes): Id of the answering target.
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
