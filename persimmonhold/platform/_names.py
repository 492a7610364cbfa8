"""Header names and paths of the platform's HTTP interface."""

from typing import Final

REQUEST_ID: Final = 'attempt-id'  # unique for each attempt of a caller
DEADLINE_MS: Final = 'deadline-ms'  # remaining time, not a point in time
EXPECTED_PROCESS: Final = 'expect-instance'  # the upstream meant to respond
ANSWERING_PROCESS: Final = 'instance-id'
SIGNATURE: Final = 'server-signature'  # on successful responses of upstreams
NOT_RUN: Final = 'not-executed'  # the upstream did not run the request
MODEL: Final = 'model'  # an adapter follows after a slash
TOKEN_COUNTS: Final = 'token-count'  # prompt tokens, maximum output tokens
PROMPT_PARTS: Final = 'prefix-hash'  # ID:TOKENS, comma-separated, in order
URGENCY: Final = 'request-urgency'  # 0 is the most urgent
RESUME_AFTER: Final = 'last-event-id'
RESUMED_REQUEST: Final = 'resumes'  # the id under which a stream began
RETRY_AFTER: Final = 'retry-after'
# Requests a second that an upstream accepts from all VMs together.
REQUEST_LIMIT: Final = 'server-limit'
# Requests a second that an upstream can refuse as full before it fails.
BRITTLE: Final = 'server-brittle'
LEAVING: Final = 'server-leaving'  # `1`: the upstream is about to end
AUTHORIZATION: Final = 'authorization'  # `Bearer` and the key of a workspace
WORKSPACE: Final = 'tenant'  # the name of the workspace that holds the key

# Headers that a caller cannot pass to an upstream: this system sets or omits
# them.
SET_BY_SYSTEM: Final = frozenset(
    name.encode('ascii')
    for name in (
        DEADLINE_MS,
        EXPECTED_PROCESS,
        RESUME_AFTER,
        URGENCY,
        'expect-version',
        'hold',
        'kv-backup',
        'kv-fetch',
        'kv-from',
        'pin-ms',
    )
)
# Headers that are dropped as well if workspaces are configured.
SET_FOR_WORKSPACES: Final = frozenset(
    name.encode('ascii') for name in (AUTHORIZATION, WORKSPACE)
)

CONFIGURATION_PATH: Final = '/config'
DIRECTORY_PATH: Final = '/resolve'
READY_PATH: Final = '/readyz'
LIST_PATH: Final = '/instances'
REPORT_PATH: Final = '/report'
ORDER_PATH: Final = '/order'
