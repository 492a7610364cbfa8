"""A caller of long streams, mostly of rare models, that takes them up."""

import asyncio
import random
from typing import Any, Final, final

from returns.result import Failure as Failed

from bench.soak._call import Call, CallEnd
from bench.soak._caller import receive_response
from bench.soak._configuration import (
    ENGINE_SERVICE,
    HOST,
    PATIENT_ROUTE,
    PATIENT_S,
    name_key,
    name_models,
)
from bench.soak._record import Record
from bench.soak._shape import Shape
from bench.soak._stream import Stream
from bench.soak._stream_share import (
    StreamShare,
    StreamTry,
    has_copies_serving,
)
from bench.soak._upstream import EVENTS_HEADER, WORK_HEADER
from persimmonhold.platform import _names as names
from persimmonhold.web import (
    ClientConnection,
    ClientRequest,
    ResponseHead,
    encode_headers,
    parse_address,
)

_CONNECT_TIMEOUT_S: Final = 1.0
_LATE_S: Final = 2.0
_MAX_RETRIES: Final = 2
_MIN_WAIT_S: Final = 0.3
# A caller waits no longer than this part of the time that is left.
_MAX_WAIT_SHARE: Final = 1 / 3
_FIRST_RARE: Final = 0.4  # of the models, from the most popular one
_EVENT_COUNTS: Final = (8, 60)
_WORK_MS: Final = (1, 100)


@final
class PatientCaller:
    """Sends one stream after another, each with up to two retries.

    It honours the time to retry after, and avoids the entry that failed it.
    """

    def __init__(
        self,
        name: str,
        vms: dict[str, str],
        record: Record,
        share: StreamShare,
        listed: list[dict[str, Any]],
        shape: Shape,
    ) -> None:
        self.name = name
        self.vms = vms
        self.record = record
        self.share = share
        self.listed = listed
        self.shape = shape
        self.rng = random.Random(name)
        self.is_over = False
        self.call_count = 0

    async def run(self) -> None:
        """Send streams until the caller is over."""
        while not self.is_over:
            self.call_count += 1
            await self._play(f'{self.name}-{self.call_count}')
            await asyncio.sleep(self.rng.uniform(0, self.shape.think_s))

    async def _play(self, begun_as: str) -> None:
        """Send a stream, and again after a failure."""
        ends_at = _now() + PATIENT_S
        headers = self._draw_headers()
        event_count = int(headers[EVENTS_HEADER])
        stream = Stream('', event_count)
        failed = ''
        for number in range(1 + self.rng.randint(1, _MAX_RETRIES)):
            request_id = f'{begun_as}-{number}' if number else begun_as
            address = self.rng.choice([
                one for one in self.vms if one != failed
            ])
            left_s = ends_at - _now()
            call = _build_call(request_id, headers, stream, left_s)
            retry_after_s = await self._try(address, call, stream, begun_as)
            if not stream.begun_as and stream.last_id:
                stream.begun_as = request_id
            if stream.is_whole:
                return
            failed = address
            left_s = ends_at - _now()
            wait_s = max(_MIN_WAIT_S * 2**number, retry_after_s)
            await asyncio.sleep(min(wait_s, _MAX_WAIT_SHARE * max(0, left_s)))
            if self.is_over or ends_at - _now() < 1:
                return

    async def _try(
        self, address: str, call: Call, stream: Stream, begun_as: str
    ) -> float:
        """Send one request; return the seconds to retry after, or 0."""
        one = StreamTry(
            stream=begun_as,
            request_id=call.request_id,
            vm=self.vms[address],
            sent_at=_now(),
            after=stream.last_id,
            version=next(iter(stream.versions), ''),
        )
        one.has_copies_serving = self._has_copies(one)
        connected = await ClientConnection.connect(
            parse_address(address).unwrap(), _CONNECT_TIMEOUT_S
        )
        retry_after = ''
        if isinstance(connected, Failed):
            one.answer = 'no connection'
        else:
            retry_after = await self._use(connected.unwrap(), call, one)
        one.ended_at = _now()
        one.has_copies_serving = one.has_copies_serving and self._has_copies(
            one
        )
        stream.add_events(call.request_id, call.received)
        one.event_count = stream.last_id - one.after
        self.share.tries.append(one)
        return float(retry_after or 0)

    async def _use(
        self, connection: ClientConnection, call: Call, one: StreamTry
    ) -> str:
        head: ResponseHead | None = None
        call.begun_at = _now()
        call.vm = one.vm
        await connection.send_request(call.request)
        call.sent_at = _now()
        self.record.calls.append(call)
        try:
            async with asyncio.timeout(call.deadline_s + _LATE_S):
                head = await receive_response(connection, call)
        except TimeoutError:
            call.end = CallEnd.timed_out
        connection.close()
        call.ended_at = _now()
        one.answer = f'{call.end.value} {call.status}'
        return '' if head is None else head.header(names.RETRY_AFTER)

    def _has_copies(self, one: StreamTry) -> bool:
        return not one.after or has_copies_serving(
            self.listed, ENGINE_SERVICE, one.version
        )

    def _draw_headers(self) -> dict[str, str]:
        """Return the headers of a stream but for those of one try."""
        models = name_models(self.shape.model_count)
        rare = models[int(_FIRST_RARE * len(models)) :]
        event_count = self.rng.randint(*_EVENT_COUNTS)
        prompt_tokens = self.rng.randint(20, 2000)
        headers = {
            names.MODEL: self.rng.choice(rare),
            names.TOKEN_COUNTS: f'{prompt_tokens},{8 * event_count}',
            names.PROMPT_PARTS: (
                f'{self.rng.randrange(100):x}:{prompt_tokens // 2},'
                f'{self.rng.getrandbits(32):x}:'
                f'{prompt_tokens - prompt_tokens // 2}'
            ),
            WORK_HEADER: str(self.rng.randint(*_WORK_MS)),
            EVENTS_HEADER: str(event_count),
        }
        if self.shape.workspace_count:
            headers[names.AUTHORIZATION] = f'Bearer {name_key(0)}'
        return headers


def _build_call(
    request_id: str, headers: dict[str, str], stream: Stream, left_s: float
) -> Call:
    """Return the call that begins a stream, or goes on with it."""
    own = {
        names.REQUEST_ID: request_id,
        names.DEADLINE_MS: str(round(1000 * left_s)),
    }
    if stream.last_id:
        own[names.RESUME_AFTER] = str(stream.last_id)
        own[names.RESUMED_REQUEST] = stream.begun_as
    return Call(
        request_id=request_id,
        request=ClientRequest(
            method='POST',
            target=f'/{PATIENT_ROUTE}/one',
            headers=encode_headers(headers | own),
            host=HOST,
        ),
        deadline_s=left_s,
        is_repeatable=True,
        event_count=stream.event_count,
        after=stream.last_id,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
