"""Header names and HTTP paths that the platform prescribes.

``HeaderNames`` says what each header holds.
"""

from chicorydoor.protocol import header_names

HEADER_NAMES = header_names.HeaderNames(
    request_id=b"request-id",
    deadline_ms=b"deadline-ms",
    affinity_key=b"affinity-key",
    api_key=b"x-api-key",
    customer_id=b"tenant",
    expected_target_id=b"target-instance",
    not_run=b"not-executed",
    response_signature=b"response-seal",
    target_load=b"server-load",
    target_rate_limit=b"server-limit",
    target_leaving=b"server-leaving",
    warm_up_remaining_ms=b"cold-ms",
    target_id=b"instance-id",
)
READINESS_PATH = "/readiness"
LOOKUP_PATH = "/resolve"
