"""Messages about requests under which upstreams end.

Any of them may be lost, delayed or duplicated. Times are ages or remaining
times in seconds, as VMs share no clock.
"""

from typing import final

import msgspec


@final
class ObservedCrash(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that cut its response before it answered a request.

    Whether its process ended is not known yet. `upstream` and `born_ms` identify
    the process. `parts` are what other requests may have in common with it: its
    fingerprints, see `fingerprint_request`, and those parts of its prompt that
    others may share. If it `was_silent`, the age is since the entry noticed it,
    and the connection may have ended earlier.
    """

    upstream: str
    born_ms: int
    request_id: str
    parts: tuple[str, ...]
    age_s: float
    was_silent: bool = False

    @property
    def process_key(self) -> tuple[str, int]:
        """The name and the start time, which together identify a process."""
        return self.upstream, self.born_ms


@final
class AnsweredPart(msgspec.Struct, frozen=True, array_like=True):
    """A part or fingerprint that an upstream began to answer, and survived."""

    part: str
    age_s: float


@final
class QuarantinedPrompt(msgspec.Struct, frozen=True, array_like=True):
    """Parts and fingerprints; requests with all are refused for a time.

    `processes` are those, by name and start time, that cut such requests; empty
    if that is not known. If it `is_proven`, they have ended.
    """

    parts: tuple[str, ...]
    left_s: float
    processes: tuple[tuple[str, int], ...] = ()
    is_proven: bool = True


@final
class ProcessSign(msgspec.Struct, frozen=True, array_like=True):
    """What an entry noticed of an upstream that had cut a response.

    The upstream has answered a request that was sent `age_s` ago, or it could
    not be reached then. Another process may have taken its name meanwhile.
    """

    upstream: str
    born_ms: int
    age_s: float
    has_answered: bool

    @property
    def process_key(self) -> tuple[str, int]:
        """The process that had cut a response."""
        return self.upstream, self.born_ms


@final
class PromptNews(msgspec.Struct, frozen=True, array_like=True):
    """What became of requests under a quarantine at an entry.

    It has refused some, sent one as a trial, or an upstream has answered one.
    """

    parts: tuple[str, ...]
    is_refused: bool = False
    is_tried: bool = False
    is_answered: bool = False


@final
class PromptEvidence(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='prompt_evidence',
    array_like=True,
):
    """Tells the fleet controller what an entry observed of prompt parts.

    It is repeated until the controller confirms `number`. After a change of
    the controller, it also has what the entry knows from the last one.
    `answered_age_s` is since when an upstream has been answering a prompt, the
    latest one of any parts; None if there was none.
    """

    number: int
    crashes: tuple[ObservedCrash, ...] = ()
    answered: tuple[AnsweredPart, ...] = ()
    answered_age_s: float | None = None
    quarantined: tuple[QuarantinedPrompt, ...] = ()
    signs: tuple[ProcessSign, ...] = ()
    news: tuple[PromptNews, ...] = ()


@final
class QuarantineUpdate(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='quarantine',
    array_like=True,
):
    """Tells an entry which prompts to refuse, and which parts are suspected.

    `version` increases within the leadership term; quarantines that began up to
    version `base` are left out. `confirmed` is the number of
    the entry's last evidence that the controller has recorded. The entry
    reports if a part in `watched` is answered. Quarantines in `revoked` end at
    once. One request under each of `trials` may be sent, within a few seconds.
    """

    term: int
    version: int
    confirmed: int
    watched: tuple[str, ...] = ()
    quarantined: tuple[QuarantinedPrompt, ...] = ()
    base: int = 0
    revoked: tuple[tuple[str, ...], ...] = ()
    trials: tuple[tuple[str, ...], ...] = ()
