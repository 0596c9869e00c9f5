"""Header names and paths of the platform's HTTP interface."""

REQUEST_ID = "Plantainstack-Request-Id"
DEADLINE_MS = "Plantainstack-Deadline-Ms"
EXPECT_INSTANCE = "Plantainstack-Expect-Instance"
SEAL = "Plantainstack-Server-Seal"
LOAD = "Plantainstack-Server-Load"
AUTHORIZATION = "Authorization"
TENANT = "Plantainstack-Tenant"
PRIORITY = "Plantainstack-Request-Priority"
DUTY_HOLDER = "Plantainstack-Duty-Holder"
FENCE_TOKEN = "Plantainstack-Fence-Token"
# Requests a second that the endpoint takes from all instances together.
RATE_LIMIT = "Server-Limit"
# Sent in all answers of an endpoint that is shutting down.
LEAVING = "Server-Leaving"
NOT_EXECUTED = "Plantainstack-Not-Executed"
WEIGHT_VERSIONS = "Plantainstack-Weight-Versions"
MODEL = "Plantainstack-Model"
# Parts of a request's prompt: ID:TOKENS, separated by commas.
PROMPT_PREFIX = "Plantainstack-Prompt-Prefix"
LENGTH_HINT = "Plantainstack-Length-Hint"
WAIT_MS = "Plantainstack-Wait-Ms"
LAST_EVENT_ID = "Last-Event-Id"
# Request id of the attempt that brought a client the first event of its stream.
RESUMES = "Resumes"

READY_PATH = "/api/ready"
LOTS_PATH = "/api/lots/"
ITEMS_PATH = "/api/items/"
ORDER_PATH = "/api/order"
REPORT_PATH = "/api/report"
USAGE_PATH = "/usage"
SCALE_PATH = "/scale"

# Hop-by-hop headers, and others that concern a single connection: not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that this service sets on requests to endpoints; values sent by clients are
# dropped.
OWN_HEADERS = frozenset(
    name.lower()
    for name in (REQUEST_ID, DEADLINE_MS, EXPECT_INSTANCE, LAST_EVENT_ID, RESUMES)
)

# Headers that concern tenants. With tenants, values sent by clients are dropped.
TENANT_HEADERS = frozenset(name.lower() for name in (AUTHORIZATION, TENANT, PRIORITY))


def without_tenant_headers(headers) -> tuple[tuple[str, str], ...]:
    """Return the headers without those that concern tenants."""
    return tuple(
        (name, value) for name, value in headers if name.lower() not in TENANT_HEADERS
    )


def headers(pairs, name: str) -> list[str]:
    """Return all values of a header, ignoring the case of its name."""
    return [value for key, value in pairs if key.lower() == name.lower()]


def header(headers, name: str) -> str | None:
    """Return a header's first value, ignoring case; pairs hold str or bytes."""
    wanted = name.lower()
    for key, value in headers:
        text = key.decode("latin-1") if isinstance(key, bytes) else key
        if text.lower() == wanted:
            return value.decode("latin-1") if isinstance(value, bytes) else value
    return None
