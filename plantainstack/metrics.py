"""The Prometheus metrics that every instance exposes at /metrics."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

REGISTRY = CollectorRegistry()

REQUESTS = Counter(
    "plantainstack_requests",
    "Requests answered, by service, error kind (ok without one) and outcome.",
    ["service", "kind", "outcome"],
    registry=REGISTRY,
)
ATTEMPTS = Counter(
    "plantainstack_attempts",
    "Attempts sent to endpoints, by service.",
    ["service"],
    registry=REGISTRY,
)
ENDPOINT_SENDS = Counter(
    "plantainstack_endpoint_sends",
    "Requests whose first byte was sent to an endpoint, by connection (new or kept).",
    ["connection"],
    registry=REGISTRY,
)
SURPLUS_ANSWERS = Counter(
    "plantainstack_surplus_answers",
    "Answers with bytes behind them that belong to no request.",
    registry=REGISTRY,
)
CROSSED_ANSWERS = Counter(
    "plantainstack_crossed_answers",
    "Answers that did not belong to the request that awaited them.",
    registry=REGISTRY,
)
ANSWER_BYTES = Gauge(
    "plantainstack_answer_bytes",
    "Bytes that the answers of endpoints take in this process.",
    registry=REGISTRY,
)
ANSWERS_GIVEN_UP = Counter(
    "plantainstack_answers_given_up",
    "Answers given up for their memory, by limit (share of an endpoint, or total).",
    ["cause"],
    registry=REGISTRY,
)
BODY_BYTES = Gauge(
    "plantainstack_body_bytes",
    "Bytes that the bodies of clients' requests take in this process.",
    registry=REGISTRY,
)
MEMORY_BYTES = Gauge(
    "plantainstack_memory_bytes",
    "Bytes that the parts of this process hold for others, by part.",
    ["part"],
    registry=REGISTRY,
)
REQUEST_SECONDS = Histogram(
    "plantainstack_request_seconds",
    "Time from a request's arrival to the end of its answer, in seconds.",
    ["service"],
    registry=REGISTRY,
)
KEY_REFUSALS = Counter(
    "plantainstack_key_refusals",
    "Requests refused for their key or their tenant, by reason.",
    ["reason"],
    registry=REGISTRY,
)
TENANT_RATE_REQUESTS = Counter(
    "plantainstack_tenant_rate_requests",
    "Requests of tenants with a rate, by tenant and decision (admitted, admitted"
    " without the store, above the rate, or not known).",
    ["tenant", "decision"],
    registry=REGISTRY,
)
TENANT_RATE_FETCHES = Counter(
    "plantainstack_tenant_rate_fetches",
    "Fetches of permits for the rates of tenants, by end.",
    ["end"],
    registry=REGISTRY,
)
TENANT_RATE_CONFLICTS = Counter(
    "plantainstack_tenant_rate_conflicts",
    "Writes of the rates of tenants that met one of another instance.",
    registry=REGISTRY,
)
FAIR_WAITING = Gauge(
    "plantainstack_fair_waiting",
    "Requests of tenants that wait for a free slot of a full service.",
    registry=REGISTRY,
)
FAIR_REFUSALS = Counter(
    "plantainstack_fair_refusals",
    "Requests of tenants refused since a service was full, by service and tenant.",
    ["service", "tenant"],
    registry=REGISTRY,
)
CONFIG_VERSION = Gauge(
    "plantainstack_config_version",
    "Version of the fleet configuration in force.",
    registry=REGISTRY,
)
MEMBERS = Gauge(
    "plantainstack_members",
    "Entry instances that this one takes for members, with itself.",
    registry=REGISTRY,
)
ADMISSION_QUEUE = Gauge(
    "plantainstack_admission_queue",
    "Requests that wait for capacity on this instance.",
    registry=REGISTRY,
)
CAPACITY = Gauge(
    "plantainstack_capacity",
    "Attempts that this instance may have in flight, by service.",
    ["service"],
    registry=REGISTRY,
)
EJECTED_SHARE = Gauge(
    "plantainstack_ejected_share",
    "Share of a service's endpoints that this instance has ejected.",
    ["service"],
    registry=REGISTRY,
)
RETRY_SHARE = Gauge(
    "plantainstack_retry_share",
    "Retries for each request in the last 10 s, by service.",
    ["service"],
    registry=REGISTRY,
)
PEER_BYTES = Counter(
    "plantainstack_peer_bytes",
    "Bytes of control messages sent to and received from peers.",
    ["direction"],
    registry=REGISTRY,
)
REQUESTS_WITH_LOSSES = Gauge(
    "plantainstack_requests_with_losses",
    "Requests under which endpoints were lost, as known to this instance.",
    registry=REGISTRY,
)
STREAM_RECORDS = Counter(
    "plantainstack_stream_records",
    "Records of the software version that began a stream, as stored.",
    registry=REGISTRY,
)
STREAM_TAKE_UPS = Counter(
    "plantainstack_stream_take_ups",
    "Streams that clients took up, by route and by the source of the version that"
    " began them (memory, record, base), or refused.",
    ["route", "source"],
    registry=REGISTRY,
)
ENDPOINTS_LEAVING = Counter(
    "plantainstack_endpoints_leaving",
    "Endpoints that this instance learned to be leaving, by service and source.",
    ["service", "source"],
    registry=REGISTRY,
)
LIMITED_ENDPOINTS = Gauge(
    "plantainstack_limited_endpoints",
    "Endpoints that have named this instance a limit on their request rate.",
    registry=REGISTRY,
)
BATCH_CONFIRMATIONS = Counter(
    "plantainstack_batch_confirmations",
    "Reads of a batch's state that confirm an absence, by end (ok or an error kind).",
    ["end"],
    registry=REGISTRY,
)
LIMITED_REQUESTS = Counter(
    "plantainstack_limited_requests",
    "Requests sent to endpoints that have named a limit, by service.",
    ["service"],
    registry=REGISTRY,
)
DISCARDED_TEXTS = Counter(
    "plantainstack_discarded_texts",
    "Texts of items that were begun anew, by reason.",
    ["reason"],
    registry=REGISTRY,
)
PROMPT_PLACEMENTS = Counter(
    "plantainstack_prompt_placements",
    "Items with a shared prompt that were placed, by whether their endpoint probably"
    " has it cached (hit) or by the cause of the miss.",
    ["result"],
    registry=REGISTRY,
)
PROMPT_TOKENS = Counter(
    "plantainstack_prompt_tokens",
    "Shared prompt tokens of placed items that are expected to be cached, prefilled"
    " for the first time (new), or prefilled again (repeated).",
    ["expected"],
    registry=REGISTRY,
)
PROMPT_WAITS = Counter(
    "plantainstack_prompt_waits",
    "Items that waited for the first one of their group, by the end: placed where its"
    " prompt is cached (hit) or elsewhere (lost).",
    ["end"],
    registry=REGISTRY,
)
REWARD_CALLS = Counter(
    "plantainstack_reward_calls",
    "Attempts at reward calls, by service and end.",
    ["service", "end"],
    registry=REGISTRY,
)
REWARD_CALLS_WAITING = Gauge(
    "plantainstack_reward_calls_waiting",
    "Reward calls that wait for a slot on this instance.",
    registry=REGISTRY,
)
REWARD_WAIT_SECONDS = Histogram(
    "plantainstack_reward_wait_seconds",
    "Time that reward calls waited for a slot, in seconds.",
    registry=REGISTRY,
)
REWARD_SECONDS = Histogram(
    "plantainstack_reward_seconds",
    "Time from a complete text to its score or its abandonment, in seconds.",
    registry=REGISTRY,
)
SAMPLE_ATTEMPTS = Counter(
    "plantainstack_sample_attempts",
    "Attempts at samples, by trainer and end.",
    ["trainer", "end"],
    registry=REGISTRY,
)
SAMPLE_STALENESS = Histogram(
    "plantainstack_sample_staleness_versions",
    "Versions by which samples lagged at their first delivery.",
    ["trainer"],
    buckets=(0, 1, 2, 4, 8),
    registry=REGISTRY,
)
STEP_SECONDS = Histogram(
    "plantainstack_step_seconds",
    "Time from the opening of a step to its first delivery, in seconds.",
    ["trainer"],
    buckets=(1, 5, 15, 30, 60, 120, 300, 600, 1440),
    registry=REGISTRY,
)
CLIENT_CONNECTIONS = Gauge(
    "plantainstack_client_connections",
    "Open connections of clients.",
    registry=REGISTRY,
)
CLIENTS_CLOSED = Counter(
    "plantainstack_clients_closed",
    "Connections of clients that were closed early, by cause.",
    ["cause"],
    registry=REGISTRY,
)
FEED_FAILURES = Counter(
    "plantainstack_feed_failures",
    "Reads of a feed of the metadata store that failed, by feed.",
    ["feed"],
    registry=REGISTRY,
)
BATCH_SECONDS = Histogram(
    "plantainstack_batch_item_seconds",
    "Time from an item's first start to its end on this instance, in seconds.",
    ["end"],
    registry=REGISTRY,
)
ORDERS = Counter(
    "plantainstack_version_orders",
    "Orders to load a version, by the endpoint's answer.",
    ["answer"],
    registry=REGISTRY,
)
DUTY_CALLS = Counter(
    "plantainstack_duty_calls",
    "Calls of duties to the platform, by kind and answer.",
    ["kind", "answer"],
    registry=REGISTRY,
)
DUTY_LEASES = Counter(
    "plantainstack_duty_leases",
    "Leases of duties that this instance acquired, by duty.",
    ["duty"],
    registry=REGISTRY,
)
USAGE_WINDOWS = Counter(
    "plantainstack_usage_windows",
    "Windows of usage reports, by step (fixed, sent, late, refused).",
    ["step"],
    registry=REGISTRY,
)
USAGE_OMITTED = Counter(
    "plantainstack_usage_omitted",
    "Requests known or stored too late for the usage report of their window.",
    registry=REGISTRY,
)
SCALING_DEMAND = Gauge(
    "plantainstack_scaling_demand",
    "Items and requests that want a slot, by service, as known to this instance.",
    ["service"],
    registry=REGISTRY,
)
SCALING_ORDERS = Counter(
    "plantainstack_scaling_orders",
    "Orders of endpoints, by service and answer (failed without one).",
    ["service", "answer"],
    registry=REGISTRY,
)
TASK_FAILURES = Counter(
    "plantainstack_task_failures",
    "Exceptions that nobody expected, by the task that raised them.",
    ["task"],
    registry=REGISTRY,
)
LINES_DROPPED = Counter(
    "plantainstack_log_lines_dropped",
    "Log lines left out because they came too fast or could not be written.",
    registry=REGISTRY,
)
