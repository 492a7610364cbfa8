"""Reads requests of callers into jobs, or refuses them.

Nothing was sent anywhere while a request is read, so each refusal here says
that it did not run.
"""

import asyncio
from typing import Final, TypeAlias, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.admission import AdmissionRequest
from persimmonhold.attempts import RequestProperties
from persimmonhold.catalogue import (
    AdapterEntry,
    Bounds,
    Catalogue,
    ModelEntry,
    ServiceClass,
    ServiceEntry,
)
from persimmonhold.control.shell import ControlLink
from persimmonhold.entry._generation_document import (
    GenerationDocument,
    estimate_tokens,
)
from persimmonhold.entry._request_context import RequestContext
from persimmonhold.entry._request_job import RequestJob
from persimmonhold.failures import FailureKind, Ran, Refusal, RefusalReason
from persimmonhold.messages import prefix_hashes
from persimmonhold.web import (
    CALLER,
    DEADLINE_MS,
    IDEMPOTENCY_KEY,
    SERVICE_CLASS,
    RequestHead,
    select_end_to_end_headers,
)

SERVICES: Final = '/services/'
_MS_PER_S: Final = 1000
_MAX_DEADLINE_MS: Final = 86_400_000
_MAX_KEY_LENGTH: Final = 255
_COME_BACK_S: Final = 1.0
_REWRITTEN: Final = ('%2e', '%2f', '%5c', '\\', '..', ';')
_Entry: TypeAlias = ModelEntry | AdapterEntry | ServiceEntry


@final
class RequestReader:
    """Reads against the catalogue of the newest view."""

    __slots__ = ('_decoder', '_link')

    def __init__(self, link: ControlLink) -> None:
        """Create a reader that uses the view of a link."""
        self._link = link
        self._decoder = msgspec.json.Decoder(GenerationDocument)

    async def read_generation(
        self,
        context: RequestContext,
    ) -> Result[RequestJob, Refusal]:
        """Read a chat or completion request."""
        body = await _read_body(context)
        if isinstance(body, Failed):
            return body
        try:
            document = self._decoder.decode(body.unwrap())
        except msgspec.DecodeError as error:
            return _refused(RefusalReason.malformed_request, str(error))
        entry = self._catalogue.find(document.model)
        if not isinstance(entry, (ModelEntry, AdapterEntry)):
            return _refused(RefusalReason.unknown_model)
        checked = _check_headers(context.exchange.head, entry)
        if isinstance(checked, Failed):
            return checked
        return Success(
            self._generation(context, document, entry, body.unwrap()),
        )

    async def read_call(
        self,
        context: RequestContext,
    ) -> Result[RequestJob, Refusal]:
        """Read a call of a plain service."""
        head = context.exchange.head
        raw_name, _, rest = head.target[len(SERVICES) :].partition('/')
        name, _, query = raw_name.partition('?')
        entry = self._catalogue.find(name)
        if not isinstance(entry, ServiceEntry):
            return _refused(RefusalReason.unknown_service)
        checked = _check_headers(head, entry)
        if isinstance(checked, Failed):
            return checked
        body = await _read_body(context)
        if isinstance(body, Failed):
            return body
        target = f'/?{query}' if query else f'/{rest}'
        return Success(_call(context, entry, target, body.unwrap()))

    @property
    def _catalogue(self) -> Catalogue:
        return self._link.view.catalogue

    def _generation(
        self,
        context: RequestContext,
        document: GenerationDocument,
        entry: ModelEntry | AdapterEntry,
        body: bytes,
    ) -> RequestJob:
        head = context.exchange.head
        prompt = document.prompt_text
        ticket = msgspec.structs.replace(
            _ticket(context, entry),
            base=entry.base if isinstance(entry, AdapterEntry) else '',
            prompt_tokens=estimate_tokens(prompt),
            output_tokens=document.output_tokens,
            prefixes=prefix_hashes(entry.name, prompt),
        )
        plan = RequestProperties(
            is_idempotent=True,
            is_generation=True,
            is_streamed=document.stream,
            has_caller_deadline=bool(head.header(DEADLINE_MS)),
        )
        return RequestJob(
            ticket=ticket,
            plan=plan,
            method=head.method,
            target=head.target,
            headers=select_end_to_end_headers(head.headers),
            body=body,
        )


def _call(
    context: RequestContext,
    entry: ServiceEntry,
    target: str,
    body: bytes,
) -> RequestJob:
    head = context.exchange.head
    path = target.partition('?')[0].lstrip('/')
    declared = entry.is_idempotent(head.method, path)
    idempotent = declared and _is_unambiguous(path)
    key = '' if idempotent else head.header(IDEMPOTENCY_KEY)
    ticket = msgspec.structs.replace(
        _ticket(context, entry),
        is_idempotent=idempotent,
        is_service=True,
    )
    plan = RequestProperties(
        is_idempotent=idempotent,
        has_claimable_key=bool(key),
        has_caller_deadline=bool(head.header(DEADLINE_MS)),
    )
    return RequestJob(
        ticket=ticket,
        plan=plan,
        method=head.method,
        target=target,
        headers=select_end_to_end_headers(head.headers),
        body=body,
        key=key,
        # A caller that does not name itself may come back from another
        # address, so its address must not be a part of the scope.
        caller_scope=head.header(CALLER),
    )


def _is_unambiguous(path: str) -> bool:
    """Tell whether a service can only read the path as it is written.

    A path that a service may rewrite could name another call than the one
    that the catalogue declares to be idempotent.
    """
    lowered = path.lower()
    if any(mark in lowered for mark in _REWRITTEN):
        return False
    segments = path.split('/')
    return '.' not in segments and '' not in segments[:-1]


def _ticket(context: RequestContext, entry: _Entry) -> AdmissionRequest:
    head = context.exchange.head
    now = asyncio.get_running_loop().time()
    return AdmissionRequest(
        request_id=context.request_id,
        caller=context.caller,
        owner=entry.owner,
        target=entry.name,
        service_class=_service_class(head, entry.service_class),
        deadline=now + _deadline_ms(head, entry.bounds) / _MS_PER_S,
        limits=entry.limits,
        bounds=entry.bounds,
    )


def _service_class(head: RequestHead, catalogued: ServiceClass) -> ServiceClass:
    """Return the class; a caller may only lower its priority."""
    asked = head.header(SERVICE_CLASS)
    if not asked:
        return catalogued
    return max(
        (catalogued, ServiceClass(asked)),
        key=lambda service_class: service_class.rank,
    )


def _deadline_ms(head: RequestHead, bounds: Bounds) -> int:
    asked = head.header(DEADLINE_MS)
    return int(asked) if asked else bounds.deadline_ms


def _check_headers(
    head: RequestHead,
    entry: _Entry,
) -> Result[None, Refusal]:
    asked = head.header(DEADLINE_MS)
    if asked and not _is_deadline(asked):
        return _malformed(f'{DEADLINE_MS}: expected 1 to {_MAX_DEADLINE_MS}')
    classes = {service_class.value for service_class in ServiceClass}
    if head.header(SERVICE_CLASS) not in {'', *classes}:
        return _malformed(f'{SERVICE_CLASS}: expected one of {classes}')
    if len(head.header(IDEMPOTENCY_KEY)) > _MAX_KEY_LENGTH:
        return _malformed(f'{IDEMPOTENCY_KEY}: longer than {_MAX_KEY_LENGTH}')
    return Success(None)


def _is_deadline(text: str) -> bool:
    if not (text.isascii() and text.isdecimal()):
        return False
    return len(text) < 10 and 0 < int(text) <= _MAX_DEADLINE_MS


async def _read_body(context: RequestContext) -> Result[bytes, Refusal]:
    body = await context.exchange.read_body()
    if not isinstance(body, Failed):
        return Success(body.unwrap())
    kind = body.failure().kind
    if kind is FailureKind.timed_out:
        return _malformed('the body was not sent in time')
    if kind is FailureKind.overloaded:
        refusal = Refusal(
            reason=RefusalReason.no_capacity,
            ran=Ran.no,
            detail='no memory for the body',
            retry_after_s=_COME_BACK_S,
        )
        return Failed(refusal)
    return _refused(RefusalReason.body_too_large)


def _malformed(detail: str) -> Failed[Refusal]:
    return _refused(RefusalReason.malformed_request, detail)


def _refused(reason: RefusalReason, detail: str = '') -> Failed[Refusal]:
    return Failed(Refusal(reason=reason, ran=Ran.no, detail=detail))
