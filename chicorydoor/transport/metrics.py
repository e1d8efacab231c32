"""Prometheus metrics of an entry; ``docs/METRICS.md`` lists them."""

import prometheus_client

REQUESTS = prometheus_client.Counter(
    "chicorydoor_requests",
    "Finished requests by route, customer and result code number.",
    ["route", "customer", "code"],
)
REQUEST_SECONDS = prometheus_client.Histogram(
    "chicorydoor_request_seconds",
    "Time from the head of a request to the end of its answer.",
    ["route"],
)
LOOKUPS = prometheus_client.Counter(
    "chicorydoor_lookups", "Answered look-ups."
)
FORWARDED = prometheus_client.Counter(
    "chicorydoor_forwarded",
    "Requests sent to another failure domain.",
    ["domain"],
)
RETRIES = prometheus_client.Counter(
    "chicorydoor_retries", "Requests sent to a second target."
)
SENDS = prometheus_client.Counter(
    "chicorydoor_sends",
    "Attempts to send a request, by region of the target and why it was "
    "chosen.",
    ["region", "reason"],
)
EVENT_LOOP_DELAY_SECONDS = prometheus_client.Histogram(
    "chicorydoor_event_loop_delay_seconds",
    "How much later than planned a periodic task ran.",
)
RATE_OWNER_TIMEOUTS = prometheus_client.Counter(
    "chicorydoor_rate_desks_silent",
    "Questions about a customer's rate that a desk did not answer in time.",
)
BORROWED_RATE_TOKENS = prometheus_client.Counter(
    "chicorydoor_borrowed_rate_tokens",
    "Tokens of customers' rates that a region peer gave this entry.",
)
STANDBY_CONNECTIONS = prometheus_client.Counter(
    "chicorydoor_standby_connections",
    "Connections to distant targets that were opened ahead of requests.",
)
QUEUE_LENGTH = prometheus_client.Gauge(
    "chicorydoor_queue_length", "Requests waiting for a slot.", ["service"]
)
TARGET_EJECTIONS = prometheus_client.Counter(
    "chicorydoor_target_ejections",
    "Times that a target was taken out of use after failures.",
    ["target"],
)
RELAYED_REQUESTS = prometheus_client.Counter(
    "chicorydoor_relayed_requests",
    "Requests relayed to a peer, by outcome.",
    ["outcome"],
)
USABLE_TARGETS = prometheus_client.Gauge(
    "chicorydoor_usable_targets",
    "Targets that this entry can use.",
    ["service"],
)
TARGET_REQUESTS_PER_SLOT = prometheus_client.Gauge(
    "chicorydoor_target_requests_per_slot",
    "Mean over the usable targets of estimated requests by slots.",
    ["service"],
)
TARGET_LOAD_SPREAD = prometheus_client.Gauge(
    "chicorydoor_target_load_spread",
    "Estimated requests by slots of the busiest usable target over the mean.",
    ["service"],
)
LOAD_REPORT_AGE_SECONDS = prometheus_client.Histogram(
    "chicorydoor_load_report_age_seconds",
    "Age of the load reports of targets that hold requests of this entry.",
    buckets=(0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0),
)
PROBES = prometheus_client.Counter(
    "chicorydoor_probes", "Health probes sent to targets."
)
REVISION = prometheus_client.Gauge(
    "chicorydoor_revision", "Configuration revision in force."
)
IS_COORDINATOR = prometheus_client.Gauge(
    "chicorydoor_in_office",
    "1 while this entry coordinates its failure domain.",
)
STORE_CALLS = prometheus_client.Counter(
    "chicorydoor_store_calls",
    "Calls to the key-value service by kind and result.",
    ["kind", "result"],
)
STORE_RESTORES = prometheus_client.Counter(
    "chicorydoor_store_restores",
    "Times that the key-value service was found to be back from a copy.",
)
STORE_AGE_SECONDS = prometheus_client.Gauge(
    "chicorydoor_store_age_seconds",
    "Age of the latest known contact with the key-value service.",
)
STALE_KEY_REQUESTS = prometheus_client.Counter(
    "chicorydoor_keys_in_doubt",
    "Requests served or refused while cut off.",
    ["served"],
)
PEER_SENT_BYTES = prometheus_client.Counter(
    "chicorydoor_peer_sent_bytes", "Bytes sent to other entries."
)
PEER_SENT_MESSAGES = prometheus_client.Counter(
    "chicorydoor_peer_sent_messages", "Messages sent to other entries."
)
FLEET_MESSAGE_BYTES = prometheus_client.Counter(
    "chicorydoor_fleet_message_bytes",
    "Bytes of messages between entries of the fleet path, by message.",
    ["message"],
)
PEER_MESSAGE_DELAY_SECONDS = prometheus_client.Histogram(
    "chicorydoor_peer_message_delay_seconds",
    "How much longer a heartbeat took than the fastest recent one of its "
    "sender.",
)
PEER_MESSAGES_REJECTED = prometheus_client.Counter(
    "chicorydoor_peer_refused",
    "Messages from peers that were dropped.",
    ["reason"],
)
IDEMPOTENCY_RECORDS = prometheus_client.Gauge(
    "chicorydoor_idempotency_records", "Outcomes kept for repeats."
)
EVENTS_DROPPED = prometheus_client.Counter(
    "chicorydoor_events_dropped",
    "Events that left the ring before the bound on its age.",
)
TARGET_LOAD_PARSE_ERRORS = prometheus_client.Counter(
    "chicorydoor_target_load_unreadable",
    "Answers whose load header could not be read.",
)
TARGET_RATE_LIMIT_PARSE_ERRORS = prometheus_client.Counter(
    "chicorydoor_target_rate_limit_unreadable",
    "Answers whose named rate limit could not be read.",
)
RATE_LIMITED_TARGETS = prometheus_client.Gauge(
    "chicorydoor_rate_limited_targets",
    "Targets that name a rate limit in their answers.",
)
TARGET_RESTS = prometheus_client.Counter(
    "chicorydoor_target_rests",
    "Times that a target asked this entry for rest.",
)
REQUESTS_BLOCKED = prometheus_client.Counter(
    "chicorydoor_requests_blocked",
    "Times that a request was blocked because targets ended under it.",
)
BLOCKED_REQUESTS = prometheus_client.Gauge(
    "chicorydoor_blocked_requests",
    "Requests, by fingerprint, that are not sent to any target.",
)
UNEXPECTED_ERRORS = prometheus_client.Counter(
    "chicorydoor_unexpected_errors",
    "Errors that ended a task or a step of it, which then went on.",
    ["part"],
)
BODY_MEMORY_BYTES = prometheus_client.Gauge(
    "chicorydoor_body_memory_bytes",
    "Memory reserved for bodies of requests and responses.",
    ["part"],
)
CONNECTION_MEMORY_BYTES = prometheus_client.Gauge(
    "chicorydoor_connection_memory_bytes",
    "Memory of callers' connections beside bodies, as estimated.",
)
CONNECTIONS_SHED = prometheus_client.Counter(
    "chicorydoor_connections_shed",
    "Connections of callers that were closed for lack of memory.",
)
BODY_MEMORY_WAITS = prometheus_client.Counter(
    "chicorydoor_body_memory_waits",
    "Bodies that waited for memory.",
    ["part"],
)
LOG_LINES_DROPPED = prometheus_client.Counter(
    "chicorydoor_log_lines_dropped",
    "Log lines left out to bound their volume.",
)
