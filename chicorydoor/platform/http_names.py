"""Header names and HTTP paths that the platform prescribes."""

from chicorydoor.protocol import header_names

HEADERS = header_names.HeaderNames(
    request_id=b"request-id",
    deadline=b"deadline-ms",
    affinity=b"affinity-key",
    key=b"x-api-key",
    customer=b"tenant",
    expected_target=b"target-instance",
    not_run=b"not-executed",
    seal=b"response-seal",
    load=b"server-load",
    cold=b"cold-ms",
    target=b"instance-id",
)
READINESS_PATH = "/readiness"
LOOKUP_PATH = "/resolve"
