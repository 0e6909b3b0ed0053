"""Header names and store keys of the platform. Header names are in lower case, as the parser returns them."""

REQUEST_ID = "x-request-id"
DEADLINE = "x-deadline-ms"
PROMPT_PARTS = "x-prompt-prefix"
LAST_EVENT_ID = "last-event-id"
RESUMED_REQUEST_ID = "resumes"
"""Identifier of the request that brought the first event of a stream which its caller takes up again."""
SEAL = "x-server-seal"
CUSTOMER = "x-tenant"
TARGET_ID = "x-target-instance"
NOT_RUN = "x-not-executed"
RETRY_AFTER = "retry-after"
LEAVING = "server-leaving"
REQUEST_RATE_LIMIT = "server-limit"
"""Requests per second that the target takes from all routers together."""
TOKENS = "x-token-usage"
LENGTH_HINT = "x-length-hint"
API_KEY = "x-credential"
TRANSFER_SOURCE = "kv-fetch"
"""Address of the engine from which the target fetches cached prompt parts."""

ROUTER_ONLY_HEADERS = frozenset(
    {CUSTOMER, TARGET_ID, API_KEY, "x-hold", "x-pin-ms", "x-kv-backup", "kv-from", TRANSFER_SOURCE}
)
"""Headers that are dropped from the requests of callers, as only the router may set them."""

STORE_GENERATION = "store-era"
"""In all answers of the store: a number that rises each time the store is restored from an older copy."""

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
TARGET_PREFIX = "servers/"
READY_PATH = "/readyz"
MISDIRECTED_STATUS = 421
"""The address belongs to another target now; the request did not run."""
UNAVAILABLE_STATUS = 503
NOT_RUN_STATUSES = frozenset({408, MISDIRECTED_STATUS, 429, UNAVAILABLE_STATUS})
"""Statuses by which a caller is told that its request has not run and never will."""
