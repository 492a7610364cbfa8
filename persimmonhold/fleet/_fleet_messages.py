"""Messages between entries and the fleet controller.

Any message may be lost, delayed or duplicated. An update carries all facts
changed since the number that the entry last confirmed, so the next update
makes up for a lost one.
"""

from typing import Self, TypeAlias, final

import msgspec

from persimmonhold.fleet._limit_observation import LimitObservation
from persimmonhold.fleet._model_demand import ModelDemand
from persimmonhold.fleet._model_loading import ModelLoading
from persimmonhold.fleet._model_waiting import ModelWaiting
from persimmonhold.fleet._shared_load import SharedLoad
from persimmonhold.fleet._speed_sums import SpeedSums
from persimmonhold.fleet._upstream_facts import UpstreamFacts
from persimmonhold.quarantine import PromptEvidence, QuarantineUpdate
from persimmonhold.streams import (
    BegunStream,
    SeenBuild,
    StreamOriginReply,
    StreamOriginRequest,
)
from persimmonhold.usage import WorkspaceUsage


@final
class FleetUpdate(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='update',
    array_like=True,
):
    """Tells an entry which facts about upstreams have changed.

    Covers the changes after change number `base`, up to `number`. If `base` is
    0, the facts are complete. `term` is the leadership term of the controller,
    in which `sequence` increases with each update. `gone` names the upstreams
    that left the list. `others` is the load of the other entries, and
    `waiting` has the models that requests wait for there. `list_age_s`
    is the age of the latest upstream list. `orders_in_s` is how long a new
    fleet controller still waits before it issues orders. `loading` are the
    models that nobody serves yet and that are being loaded. `speeds` are some
    of the prefill speeds that the entries have observed.
    """

    term: int
    sequence: int
    base: int
    number: int
    list_age_s: float
    facts: tuple[UpstreamFacts, ...] = ()
    gone: tuple[str, ...] = ()
    others: tuple[SharedLoad, ...] = ()
    orders_in_s: float = 0
    waiting: tuple[ModelWaiting, ...] = ()
    loading: tuple[ModelLoading, ...] = ()
    speeds: tuple[SpeedSums, ...] = ()


@final
class StatedLimit(msgspec.Struct, frozen=True, array_like=True):
    """A request limit that an entry observed; see `LimitObservation`.

    Times are ages in seconds, as VMs share no clock. `upstream` and `born_ms`
    identify the process that stated it.
    """

    upstream: str
    born_ms: int
    per_s: float | None
    sent_age_s: float
    received_age_s: float

    @classmethod
    def from_observation(
        cls,
        process: tuple[str, int],
        observation: LimitObservation,
        now: float,
    ) -> Self:
        """Return an observation as it is told to another VM at `now`."""
        return cls(
            upstream=process[0],
            born_ms=process[1],
            per_s=observation.per_s,
            sent_age_s=now - observation.sent_at,
            received_age_s=now - observation.received_at,
        )

    @property
    def process_key(self) -> tuple[str, int]:
        """The name and the start time, which together identify a process."""
        return self.upstream, self.born_ms

    def to_observation(self, now: float) -> LimitObservation:
        """Return the observation in times of the clock that shows `now`."""
        return LimitObservation(
            per_s=self.per_s,
            sent_at=now - self.sent_age_s,
            received_at=now - self.received_age_s,
        )


@final
class WantedCopy(msgspec.Struct, frozen=True, array_like=True):
    """A model that no upstream of a build holds, and the requests that need it."""

    service: str
    model: str
    build: str
    waiting: int = 1


@final
class EntryReport(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='entry',
    array_like=True,
):
    """Tells the fleet controller the load and demand of one entry.

    `term` and `number` confirm the last update that the entry applied.
    `sequence` increases with each report. `limits` are the request limits of
    upstreams that the facts sent to this entry may not include yet.
    `quarantine_version` is that of the last `QuarantineUpdate` of the term.
    `leaving` are the processes of upstreams, by name and start time, that
    stated to this entry that they leave and that the facts do not show so.
    `streams` have begun lately, or are all that may still be taken up if the
    controller is new; `builds` have served lately. `wanted` are the copies that
    streams wait for which callers have taken up. `speeds` are the prefill
    speeds observed since the last report. `brittle` are the refusals a second
    that upstreams withstand, in the form of limits that the facts may lack.
    `observed_s` is for how many seconds the entry has observed without a gap
    which builds serve, and `leaving_ages_s` how long ago each process of
    `leaving` stated it last; earlier builds state neither.
    """

    term: int
    number: int
    sequence: int
    loads: tuple[SharedLoad, ...] = ()
    demand: tuple[ModelDemand, ...] = ()
    limits: tuple[StatedLimit, ...] = ()
    quarantine_version: int = 0
    leaving: tuple[tuple[str, int], ...] = ()
    streams: tuple[BegunStream, ...] = ()
    builds: tuple[SeenBuild, ...] = ()
    wanted: tuple[WantedCopy, ...] = ()
    speeds: tuple[SpeedSums, ...] = ()
    brittle: tuple[StatedLimit, ...] = ()
    observed_s: float = 0
    leaving_ages_s: tuple[float, ...] = ()

    @property
    def content(self) -> tuple[object, ...]:
        """What the report tells, without the count of reports and updates."""
        return (
            self.term,
            self.loads,
            self.demand,
            self.limits,
            self.quarantine_version,
            self.leaving,
            self.streams,
            self.wanted,
            self.speeds,
            self.brittle,
        )


@final
class AdapterLoadRequest(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='adapter',
    array_like=True,
):
    """Asks the fleet controller to load an adapter at an upstream.

    A retransmission keeps the `request_id`.
    """

    request_id: int
    service: str
    upstream: str
    model: str
    adapter: str


@final
class AdapterLoadReply(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='adapter_reply',
    array_like=True,
):
    """Tells an entry that an adapter is loaded, or why its load failed."""

    request_id: int
    is_ready: bool
    reason: str = ''


@final
class PermitRequest(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='permit',
    array_like=True,
):
    """Asks the fleet controller for a permit to send one request.

    `limit` is what the entry knows of the limit of the upstream. It is not
    retransmitted: a lost permit is only not used.
    """

    request_id: int
    limit: StatedLimit


@final
class PermitReply(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='permit_reply',
    array_like=True,
):
    """Issues a permit, or states the seconds until one can be issued.

    `wait_s` is 0 if the permit is issued.
    """

    request_id: int
    wait_s: float


@final
class CreditRequest(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='credit',
    array_like=True,
):
    """Asks the fleet controller for credit of a workspace.

    All of `tokens` is granted or none; of `prefetch` any part may be. The unit
    is that of the limit of the workspace. `returned` are (grant id, credit)
    pairs: all credit of a grant that was returned so far, so that repeats and
    lost messages do no harm. A retransmission keeps the `request_id`; a request
    that was refused and asks again gets a new one and `has_asked`. An entry that
    `is_alone` gets no replies; it then asks for no credit, only for a reply.
    """

    request_id: int
    workspace: str
    tokens: float
    returned: tuple[tuple[int, float], ...] = ()
    prefetch: float = 0
    has_asked: bool = False
    is_alone: bool = False


@final
class CreditReply(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='credit_reply',
    array_like=True,
):
    """Grants credit, or states the seconds until it can be granted.

    The grant expires `term_s` after the request was sent. `tokens` and
    `grant_id` are 0 if nothing is granted. `admit_share` is the share of the
    credit requested for the workspace lately that was granted. `short_shares`
    are those of the workspaces to which least was granted, as (name, share):
    an entry may have to decide on one for which it asked nothing lately.
    """

    request_id: int
    grant_id: int
    tokens: float
    term_s: float
    wait_s: float
    admit_share: float
    short_shares: tuple[tuple[str, float], ...] = ()


@final
class SlotRequest(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='slot',
    array_like=True,
):
    """Asks the fleet controller for a slot of a brittle upstream.

    `upstream` and `born_ms` identify its process. A `PermitReply` assigns
    the slot. It is not retransmitted; a slot whose reply comes too late is
    returned.
    """

    request_id: int
    upstream: str
    born_ms: int

    @property
    def process_key(self) -> tuple[str, int]:
        """The name and the start time, which together identify a process."""
        return self.upstream, self.born_ms


@final
class SlotReturn(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='slot_return',
    array_like=True,
):
    """Returns the slot that a `SlotRequest` asked for.

    `is_refused` tells that the upstream refused the request for want of room.
    """

    request_id: int
    upstream: str
    born_ms: int
    is_refused: bool = False

    @property
    def process_key(self) -> tuple[str, int]:
        """The name and the start time, which together identify a process."""
        return self.upstream, self.born_ms


FleetMessage: TypeAlias = (
    FleetUpdate
    | EntryReport
    | AdapterLoadRequest
    | AdapterLoadReply
    | PermitRequest
    | PermitReply
    | StreamOriginRequest
    | StreamOriginReply
    | PromptEvidence
    | QuarantineUpdate
    | CreditRequest
    | CreditReply
    | WorkspaceUsage
    | SlotRequest
    | SlotReturn
)
