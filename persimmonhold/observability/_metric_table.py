"""All metrics of the system.

docs/METRICS.md is generated from this table.
"""

from typing import Final

from persimmonhold.observability._metric_kind import MetricKind
from persimmonhold.observability._metric_spec import MetricSpec

REFUSALS: Final = MetricSpec(
    name='persimmonhold_refusals_total',
    kind=MetricKind.counter,
    help_text='Refused requests by reason, class and certainty of execution.',
    labels=('reason', 'service_class', 'ran'),
)
RETRIES: Final = MetricSpec(
    name='persimmonhold_retries_total',
    kind=MetricKind.counter,
    help_text='Further attempts by the reason for which the last one failed.',
    labels=('reason',),
)
HEDGES: Final = MetricSpec(
    name='persimmonhold_hedges_total',
    kind=MetricKind.counter,
    help_text='Second attempts that were sent beside a pausing one, by end.',
    labels=('end',),
)
UNACCEPTED_RESPONSES: Final = MetricSpec(
    name='persimmonhold_unaccepted_responses_total',
    kind=MetricKind.counter,
    help_text='Responses of upstreams not taken for the request sent, by why.',
    labels=('verdict',),
)
RELAYS: Final = MetricSpec(
    name='persimmonhold_relays_total',
    kind=MetricKind.counter,
    help_text='Requests that were relayed to another entry, by end.',
    labels=('end',),
)
SERVICES_LOST: Final = MetricSpec(
    name='persimmonhold_services_out_of_reach_total',
    kind=MetricKind.counter,
    help_text='Times an entry lost its path to all upstreams of a service.',
    labels=('service',),
)
SPARINGS_BEGUN: Final = MetricSpec(
    name='persimmonhold_sparings_begun_total',
    kind=MetricKind.counter,
    help_text='Times an entry began to send an upstream no new requests.',
    labels=('cause',),
)
SPARINGS_ENDED: Final = MetricSpec(
    name='persimmonhold_sparings_ended_total',
    kind=MetricKind.counter,
    help_text='Times an entry began to send new requests again, or it left.',
    labels=('cause',),
)
QUOTA: Final = MetricSpec(
    name='persimmonhold_quota_units_total',
    kind=MetricKind.counter,
    help_text='Tokens or requests of limited workspaces by what became of them.',
    labels=('workspace', 'outcome'),
)
REQUESTS: Final = MetricSpec(
    name='persimmonhold_requests_total',
    kind=MetricKind.counter,
    help_text='Requests by class and outcome; `cut` should stay 0: the entry'
    ' closed the connection of a request that had no response.',
    labels=('service_class', 'outcome'),
)
WORKSPACE_REQUESTS: Final = MetricSpec(
    name='persimmonhold_workspace_requests_total',
    kind=MetricKind.counter,
    help_text='Requests by the workspace of their key and by outcome.',
    labels=('workspace', 'outcome'),
)
WORKSPACE_TOKENS: Final = MetricSpec(
    name='persimmonhold_workspace_tokens_total',
    kind=MetricKind.counter,
    help_text='Tokens that the requests of a workspace stated.',
    labels=('workspace',),
)
FIRST_TOKEN: Final = MetricSpec(
    name='persimmonhold_first_token_seconds',
    kind=MetricKind.histogram,
    help_text='Time from the request head to the first relayed token.',
    labels=('service_class',),
)
TOKEN_GAP: Final = MetricSpec(
    name='persimmonhold_token_gap_seconds',
    kind=MetricKind.histogram,
    help_text='Longest time between relayed reads, one value a stream.',
    labels=('service_class',),
)
QUEUE_DEPTH: Final = MetricSpec(
    name='persimmonhold_queue_depth',
    kind=MetricKind.gauge,
    help_text='Requests that wait for dispatch.',
    labels=('service_class',),
)
IN_FLIGHT: Final = MetricSpec(
    name='persimmonhold_in_flight_requests',
    kind=MetricKind.gauge,
    help_text='Requests that an upstream is working on.',
    labels=('service_class',),
)
BUFFERED_BYTES: Final = MetricSpec(
    name='persimmonhold_buffered_bytes',
    kind=MetricKind.gauge,
    help_text='Bytes that this VM holds for its peers.',
)
EVICTIONS: Final = MetricSpec(
    name='persimmonhold_evictions_total',
    kind=MetricKind.counter,
    help_text='Connections whose request was refused or that were closed.',
    labels=('cause',),
)
CATALOGUE_REVISION: Final = MetricSpec(
    name='persimmonhold_catalogue_revision',
    kind=MetricKind.gauge,
    help_text='Catalogue revision in force on this VM.',
)
CONTROL_LOG_BYTES: Final = MetricSpec(
    name='persimmonhold_control_log_bytes',
    kind=MetricKind.gauge,
    help_text=(
        'Bytes of the control log: entries in memory, segments on disk, the'
        ' state in the snapshot, and what the last start read.'
    ),
    labels=('part',),
)
STALE_VIEWS: Final = MetricSpec(
    name='persimmonhold_stale_views_total',
    kind=MetricKind.counter,
    help_text='Offered control views older than the one in force; not taken.',
)
DIVERGED_VIEWS: Final = MetricSpec(
    name='persimmonhold_diverged_views_total',
    kind=MetricKind.counter,
    help_text='Views of equal index whose contents differ; a fault.',
)
DROPPED_MESSAGES: Final = MetricSpec(
    name='persimmonhold_dropped_messages_total',
    kind=MetricKind.counter,
    help_text='Messages between VMs that were not queued or not understood.',
)
CONTROL_BYTES: Final = MetricSpec(
    name='persimmonhold_control_bytes_total',
    kind=MetricKind.counter,
    help_text='Bytes of messages between VMs by direction and channel.',
    labels=('direction', 'channel'),
)
PROCESS_CPU: Final = MetricSpec(
    name='persimmonhold_process_cpu_seconds',
    kind=MetricKind.gauge,
    help_text='Processor time used by this process.',
)
COMMANDS: Final = MetricSpec(
    name='persimmonhold_commands_total',
    kind=MetricKind.counter,
    help_text='Operator commands by outcome.',
    labels=('outcome',),
)
ORDERS: Final = MetricSpec(
    name='persimmonhold_orders_total',
    kind=MetricKind.counter,
    help_text='Orders to engines by kind and outcome.',
    labels=('kind', 'outcome'),
)

METRIC_TABLE: Final = (
    REFUSALS,
    RETRIES,
    HEDGES,
    UNACCEPTED_RESPONSES,
    RELAYS,
    SERVICES_LOST,
    SPARINGS_BEGUN,
    SPARINGS_ENDED,
    QUOTA,
    REQUESTS,
    WORKSPACE_REQUESTS,
    WORKSPACE_TOKENS,
    FIRST_TOKEN,
    TOKEN_GAP,
    QUEUE_DEPTH,
    IN_FLIGHT,
    BUFFERED_BYTES,
    EVICTIONS,
    CATALOGUE_REVISION,
    CONTROL_LOG_BYTES,
    STALE_VIEWS,
    DIVERGED_VIEWS,
    DROPPED_MESSAGES,
    CONTROL_BYTES,
    PROCESS_CPU,
    COMMANDS,
    ORDERS,
)
