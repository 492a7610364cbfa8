"""The platform's headers of requests and responses."""

import math
from typing import Final, final

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.fleet import RequestProfile
from persimmonhold.forwarding import (
    DecodedResponseHead,
    Dialect,
    ForwardParameters,
)
from persimmonhold.platform import _names as names
from persimmonhold.routes import hash_key
from persimmonhold.streams import shorten_id
from persimmonhold.web import (
    Headers,
    RequestHead,
    ResponseHead,
    encode_headers,
    select_end_to_end_headers,
)

_MISDIRECTED_STATUS: Final = 421
_UNAVAILABLE_STATUS: Final = 503
_EVENT_STREAM: Final = 'text/event-stream'
_MAX_PROMPT_PARTS: Final = 64  # usual prompts have three or four
_MAX_PART_ID_CHARS: Final = 64
_MAX_TOKENS: Final = 1_000_000_000
_MAX_TOKEN_DIGITS: Final = 9  # of the tokens of a prompt part
_LEAVING_VALUE: Final = '1'
_KEY_SCHEME: Final = b'bearer'  # schemes are compared in lower case
# An upstream that asks for more is tried again after this time.
_MAX_TURNED_AWAY_S: Final = 3600.0
# Used where an upstream turns a request away for a time that cannot be read.
_UNREADABLE_TURNED_AWAY_S: Final = 1.0


@final
class PlatformDialect(Dialect):
    """Converts between the platform's headers and types of this system."""

    def decode_profile(self, head: RequestHead) -> Result[RequestProfile, str]:
        """Return the profile in a caller's headers, or what is malformed."""
        request_id = head.header(names.REQUEST_ID)
        if not request_id:
            return Failed(f'the header {names.REQUEST_ID} is missing')
        model, _, adapter = head.header(names.MODEL).partition('/')
        try:
            prompt, output = _parse_token_counts(
                head.header(names.TOKEN_COUNTS)
            )
            deadline_ms = _parse_deadline_ms(head.header(names.DEADLINE_MS))
        except ValueError as error:
            return Failed(f'malformed header: {error}')
        parts = _parse_prompt_parts(head.header(names.PROMPT_PARTS))
        return Success(
            RequestProfile(
                request_id=request_id,
                model=model,
                adapter=adapter,
                prompt_tokens=prompt,
                output_tokens=output,
                deadline_ms=deadline_ms,
                prompt_parts=tuple(part_id for part_id, _ in parts),
                part_tokens=tuple(tokens for _, tokens in parts),
                goes_on=bool(head.header(names.RESUME_AFTER)),
                begun_as=shorten_id(head.header(names.RESUMED_REQUEST)),
                caller=head.peer.rpartition(':')[0],
            ),
        )

    def hash_key(self, head: RequestHead) -> str:
        """Return the digest of the one key that a caller sent as a bearer.

        A key that is sent twice or not in UTF-8 is malformed.
        """
        values = _list_values(head.headers, names.AUTHORIZATION)
        if len(values) != 1:
            return ''
        scheme, _, key = values[0].partition(b' ')
        if scheme.lower() != _KEY_SCHEME:
            return ''
        try:
            text = key.lstrip(b' ').decode()
        except UnicodeDecodeError:
            return ''
        return hash_key(text) if text else ''

    def build_request_headers(
        self,
        head: RequestHead,
        parameters: ForwardParameters,
    ) -> Headers:
        """Return the caller's headers with those that this system sets.

        Headers that only this system sets are dropped from those of the caller,
        except the id of the event after which the caller resumes a stream.
        """
        dropped = names.SET_BY_SYSTEM
        if parameters.has_workspaces:
            dropped |= names.SET_FOR_WORKSPACES
        caller_headers = tuple(
            pair
            for pair in select_end_to_end_headers(head.headers)
            if pair[0] not in dropped
        )
        system_headers = {
            names.DEADLINE_MS: str(parameters.time_left_ms),
            names.EXPECTED_PROCESS: parameters.upstream,
        }
        resumed = parameters.resume_after or head.header(names.RESUME_AFTER)
        if resumed:
            system_headers[names.RESUME_AFTER] = resumed
        if head.header(names.MODEL):
            system_headers[names.URGENCY] = str(parameters.urgency)
        return (
            *caller_headers,
            *encode_headers(system_headers),
            *_encode_workspace(parameters.workspace),
        )

    def build_relay_headers(
        self, head: RequestHead, time_left_ms: int
    ) -> Headers:
        """Return the caller's headers with the deadline that is left."""
        deadline = names.DEADLINE_MS.encode('ascii')
        return (
            *(
                pair
                for pair in select_end_to_end_headers(head.headers)
                if pair[0] != deadline
            ),
            *encode_headers({names.DEADLINE_MS: str(time_left_ms)}),
        )

    def decode_response_head(
        self,
        head: ResponseHead,
    ) -> DecodedResponseHead:
        """Decode the headers set by an upstream."""
        is_misdirected = head.status == _MISDIRECTED_STATUS
        not_run = is_misdirected or bool(head.header(names.NOT_RUN))
        stated_limit = head.header(names.REQUEST_LIMIT)
        limit_per_s = _parse_quantity(stated_limit)
        leaving = _split_values(head, names.LEAVING)
        brittle = _split_values(head, names.BRITTLE)
        pauses: tuple[str, ...] = ()
        if head.status == _UNAVAILABLE_STATUS:
            pauses = _split_values(head, names.RETRY_AFTER)
        return DecodedResponseHead(
            status=head.status,
            request_id=head.header(names.REQUEST_ID),
            is_signed=bool(head.header(names.SIGNATURE)),
            is_not_run=not_run,
            is_misdirected=is_misdirected,
            process=head.header(names.ANSWERING_PROCESS),
            is_event_stream=head.header('content-type').startswith(
                _EVENT_STREAM
            ),
            limit_per_s=limit_per_s,
            is_limit_readable=limit_per_s is not None or not stated_limit,
            is_leaving=_LEAVING_VALUE in leaving,
            turned_away_s=_decode_pause_s(pauses) if pauses else None,
            refusals_per_s=_decode_refusals(brittle) if brittle else None,
            unusual_statements=_name_unusual(leaving, pauses, brittle),
        )

    def build_refusal_headers(self, retry_after_s: float | None) -> Headers:
        """Return `retry-after`; the platform accepts fractions of seconds."""
        if retry_after_s is None:
            return ()
        return encode_headers({names.RETRY_AFTER: f'{retry_after_s:.2f}'})

    def build_challenge_headers(self) -> Headers:
        """Return the challenge that each response with status 401 needs."""
        return ((b'www-authenticate', b'Bearer'),)


def _encode_workspace(name: str) -> Headers:
    """Return the header for a workspace, whose name may be beyond Latin-1."""
    if not name:
        return ()
    return ((names.WORKSPACE.encode('ascii'), name.encode()),)


def _list_values(headers: Headers, name: str) -> tuple[bytes, ...]:
    """Return the value of each header of that name."""
    wanted = name.encode('ascii')
    return tuple(text for found, text in headers if found == wanted)


def _parse_token_counts(text: str) -> tuple[int, int]:
    """Return the tokens of the prompt, and the most that the response may have.

    A count that is missing is 0. Raises `ValueError` if one is not a number, or
    out of range.
    """
    prompt, _, output = text.partition(',')
    counts = int(prompt or 0), int(output or 0)
    if min(counts) < 0 or max(counts) > _MAX_TOKENS:
        raise ValueError(f'token counts {text[:_MAX_PART_ID_CHARS]}')
    return counts


def _parse_deadline_ms(text: str) -> float | None:
    """Return the milliseconds left, or None; raises `ValueError` if invalid."""
    if not text:
        return None
    deadline_ms = float(text)
    if not math.isfinite(deadline_ms) or deadline_ms < 0:
        raise ValueError(f'deadline {text}')
    return deadline_ms


def _parse_prompt_parts(text: str) -> list[tuple[str, int]]:
    """Return the ids and tokens of the parts of a prompt, up to a maximum.

    Of too many parts, the last one is kept, as it is the request's own. A count
    that cannot be read is 0: the parts only decide which upstream is preferred.
    """
    parts = text.split(',')
    if len(parts) > _MAX_PROMPT_PARTS:
        parts = [*parts[: _MAX_PROMPT_PARTS - 1], parts[-1]]
    pairs = (part.partition(':') for part in parts)
    return [
        (
            part_id.strip().lower()[:_MAX_PART_ID_CHARS],
            _parse_part_tokens(tokens),
        )
        for part_id, _, tokens in pairs
        if part_id.strip()
    ]


def _parse_part_tokens(text: str) -> int:
    """Return the tokens of a part; 0 if the text is no number in range."""
    digits = text.strip()
    is_number = digits.isascii() and digits.isdigit()
    if not is_number or len(digits) > _MAX_TOKEN_DIGITS:
        return 0
    return int(digits)


def _parse_quantity(text: str) -> float | None:
    """Return a finite number from 0, or None if the text is not one."""
    try:
        number = float(text)
    except ValueError:
        return None
    if not math.isfinite(number) or number < 0:
        return None
    return number


def _split_values(head: ResponseHead, name: str) -> tuple[str, ...]:
    """Return all values of a header, however often it is repeated."""
    return tuple(
        part.strip()
        for text in _list_values(head.headers, name)
        for part in text.decode('latin-1').split(',')
    )


def _decode_pause_s(values: tuple[str, ...]) -> float:
    """Return for how many seconds an upstream wants no requests.

    Of repeated values the longest readable one counts.
    """
    seconds = [
        parsed_s
        for parsed_s in map(_parse_quantity, values)
        if parsed_s is not None
    ]
    longest_s = max(seconds, default=_UNREADABLE_TURNED_AWAY_S)
    return min(_MAX_TURNED_AWAY_S, longest_s)


def _decode_refusals(values: tuple[str, ...]) -> float:
    """Return how many refusals a second an upstream withstands.

    Of repeated values the lowest counts; one that cannot be read is 0.
    """
    return min(_parse_quantity(text) or 0 for text in values)


def _name_unusual(
    leaving: tuple[str, ...],
    pauses: tuple[str, ...],
    brittle: tuple[str, ...],
) -> tuple[str, ...]:
    """Name the statements that are not one plain value within its bounds."""
    unusual: list[str] = []
    if leaving and leaving != (_LEAVING_VALUE,):
        unusual.append('leaving')
    if pauses:
        parsed_s = _parse_quantity(pauses[0])
        is_plain = len(pauses) == 1 and parsed_s is not None
        if not is_plain or not 0 < (parsed_s or 0) <= _MAX_TURNED_AWAY_S:
            unusual.append('turned_away_s')
    if len(brittle) > 1 or (brittle and _parse_quantity(brittle[0]) is None):
        unusual.append('refusals_per_s')
    return tuple(unusual)
