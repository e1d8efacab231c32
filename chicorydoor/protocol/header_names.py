"""Configurable names of the headers between callers, entries and targets."""

import msgspec


class HeaderNames(msgspec.Struct, frozen=True):
    """Header names in lower case.

    Args:
        request_id (bytes): Id of one attempt of a caller; targets echo it.
        deadline_ms (bytes): Milliseconds until the caller's deadline.
        affinity_key (bytes): Session affinity key: names the object that a
            request is about.
        api_key (bytes): The caller's API key; never forwarded.
        customer_id (bytes): Tells a target which customer sent the request.
        expected_target_id (bytes): Id of the intended target; any other
            target rejects the request.
        not_run (bytes): In a response, with any value: the target did not run
            the request.
        response_signature (bytes): A target's signature of its response.
        target_load (bytes): Running requests, queued requests and slots of a
            target, as decimal numbers separated by commas.
        target_rate_limit (bytes): Requests per second, a decimal number, that
            a target accepts from all entries together while it names them.
        target_leaving (bytes): In a response, with the value 1: the target
            leaves.
        warm_up_remaining_ms (bytes): Remaining warm-up time of a target, in
            milliseconds.
        target_id (bytes): Id of the responding target.
        relayed_service (bytes): Between entries: the service that the relaying
            entry chose for a request.
        relayed_send_count (bytes): Between entries: how often the relaying
            entry has sent it.
        relay_result (bytes): Between entries: whether a response comes from a
            target or is the peer's own refusal.
    """

    request_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"x-deadline-ms"
    affinity_key: bytes = b"x-affinity-key"
    api_key: bytes = b"x-api-key"
    customer_id: bytes = b"x-chicorydoor-customer"
    expected_target_id: bytes = b"x-chicorydoor-target"
    not_run: bytes = b"x-not-processed"
    response_signature: bytes = b"x-seal"
    target_load: bytes = b"x-load"
    target_rate_limit: bytes = b"x-rate-limit"
    target_leaving: bytes = b"x-leaving"
    warm_up_remaining_ms: bytes = b"x-cold-ms"
    target_id: bytes = b"x-target"
    relayed_service: bytes = b"x-chicorydoor-relayed-service"
    relayed_send_count: bytes = b"x-chicorydoor-relayed-send-count"
    relay_result: bytes = b"x-chicorydoor-relay-result"
