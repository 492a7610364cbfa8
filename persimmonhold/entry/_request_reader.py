"""Parses and validates callers' requests, or refuses them.

Nothing has been sent to an upstream at this stage, so every refusal here
states that the request did not run.
"""

import asyncio
from typing import Final, TypeAlias, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold._json import decode_json
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
    estimate_prompt_tokens,
)
from persimmonhold.entry._parsed_request import ParsedRequest
from persimmonhold.entry._request_context import RequestContext
from persimmonhold.failures import FailureKind, Ran, Refusal, RefusalReason
from persimmonhold.messages import prefix_hashes
from persimmonhold.web import (
    CALLER_HEADER,
    DEADLINE_MS_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    SERVICE_CLASS_HEADER,
    RequestHead,
    select_end_to_end_headers,
)

SERVICES_PREFIX: Final = '/services/'
_MS_PER_S: Final = 1000
_MAX_DEADLINE_MS: Final = 86_400_000  # one day
_MAX_IDEMPOTENCY_KEY_LENGTH: Final = 255
_RETRY_AFTER_S: Final = 1.0
_REWRITABLE_PATH_PARTS: Final = ('%2e', '%2f', '%5c', '\\', '..', ';')
_TargetEntry: TypeAlias = ModelEntry | AdapterEntry | ServiceEntry


@final
class RequestReader:
    """Parses requests and looks up their targets in the catalogue."""

    __slots__ = ('_link',)

    def __init__(self, link: ControlLink) -> None:
        """Create a reader that uses the view of a control link."""
        self._link = link

    async def read_generation_request(
        self,
        context: RequestContext,
    ) -> Result[ParsedRequest, Refusal]:
        """Read a chat or completion request for a model or adapter."""
        body = await _read_body(context)
        if isinstance(body, Failed):
            return body
        try:
            document = decode_json(body.unwrap(), GenerationDocument)
        except msgspec.DecodeError as error:
            return _refuse(RefusalReason.malformed_request, str(error))
        entry = self._catalogue.find(document.model)
        if not isinstance(entry, (ModelEntry, AdapterEntry)):
            return _refuse(RefusalReason.unknown_model)
        validation = _validate_headers(context.exchange.head, entry)
        if isinstance(validation, Failed):
            return validation
        return Success(
            self._build_generation(context, document, entry, body.unwrap()),
        )

    async def read_service_call(
        self,
        context: RequestContext,
    ) -> Result[ParsedRequest, Refusal]:
        """Read a call to a plain service."""
        head = context.exchange.head
        raw_name, _, path = head.target[len(SERVICES_PREFIX) :].partition('/')
        name, _, query = raw_name.partition('?')
        entry = self._catalogue.find(name)
        if not isinstance(entry, ServiceEntry):
            return _refuse(RefusalReason.unknown_service)
        validation = _validate_headers(head, entry)
        if isinstance(validation, Failed):
            return validation
        body = await _read_body(context)
        if isinstance(body, Failed):
            return body
        target = f'/?{query}' if query else f'/{path}'
        return Success(_build_call(context, entry, target, body.unwrap()))

    @property
    def _catalogue(self) -> Catalogue:
        return self._link.view.catalogue

    def _build_generation(
        self,
        context: RequestContext,
        document: GenerationDocument,
        entry: ModelEntry | AdapterEntry,
        body: bytes,
    ) -> ParsedRequest:
        head = context.exchange.head
        prompt = document.prompt_text
        admission_request = msgspec.structs.replace(
            _build_admission_request(context, entry),
            base=entry.base if isinstance(entry, AdapterEntry) else '',
            prompt_tokens=estimate_prompt_tokens(prompt),
            output_tokens=document.max_output_tokens,
            prefix_hashes=prefix_hashes(entry.name, prompt),
        )
        properties = RequestProperties(
            is_idempotent=True,
            is_generation=True,
            is_streamed=document.stream,
            has_caller_deadline=bool(head.header(DEADLINE_MS_HEADER)),
        )
        return ParsedRequest(
            admission_request=admission_request,
            properties=properties,
            method=head.method,
            target=head.target,
            headers=select_end_to_end_headers(head.headers),
            body=body,
        )


def _build_call(
    context: RequestContext,
    entry: ServiceEntry,
    target: str,
    body: bytes,
) -> ParsedRequest:
    head = context.exchange.head
    path = target.partition('?')[0].lstrip('/')
    is_declared_idempotent = entry.is_idempotent(head.method, path)
    is_idempotent = is_declared_idempotent and _is_normalized_path(path)
    idempotency_key = (
        '' if is_idempotent else head.header(IDEMPOTENCY_KEY_HEADER)
    )
    admission_request = msgspec.structs.replace(
        _build_admission_request(context, entry),
        is_idempotent=is_idempotent,
        is_service=True,
    )
    properties = RequestProperties(
        is_idempotent=is_idempotent,
        has_claimable_key=bool(idempotency_key),
        has_caller_deadline=bool(head.header(DEADLINE_MS_HEADER)),
    )
    return ParsedRequest(
        admission_request=admission_request,
        properties=properties,
        method=head.method,
        target=target,
        headers=select_end_to_end_headers(head.headers),
        body=body,
        idempotency_key=idempotency_key,
        # A caller that does not name itself may retry from another
        # address, so its address must not be part of the scope.
        caller_scope=head.header(CALLER_HEADER),
    )


def _is_normalized_path(path: str) -> bool:
    """Tell whether path normalization would leave the path unchanged.

    A service could normalize any other path to that of a different call,
    which the catalogue does not declare idempotent.
    """
    lowered = path.lower()
    if any(part in lowered for part in _REWRITABLE_PATH_PARTS):
        return False
    segments = path.split('/')
    return '.' not in segments and '' not in segments[:-1]


def _build_admission_request(
    context: RequestContext, entry: _TargetEntry
) -> AdmissionRequest:
    head = context.exchange.head
    now = asyncio.get_running_loop().time()
    return AdmissionRequest(
        request_id=context.request_id,
        caller=context.caller,
        owner=entry.owner,
        target=entry.name,
        service_class=_effective_service_class(head, entry.service_class),
        deadline=now + _effective_time_limit_ms(head, entry.bounds) / _MS_PER_S,
        limits=entry.limits,
        bounds=entry.bounds,
    )


def _effective_service_class(
    head: RequestHead, default_class: ServiceClass
) -> ServiceClass:
    """Return the lower-priority class of `default_class` and the header.

    A caller can thus lower the priority of its request, but not raise it.
    """
    requested = head.header(SERVICE_CLASS_HEADER)
    if not requested:
        return default_class
    return max(
        (default_class, ServiceClass(requested)),
        key=lambda service_class: service_class.rank,
    )


def _effective_time_limit_ms(head: RequestHead, bounds: Bounds) -> int:
    requested = head.header(DEADLINE_MS_HEADER)
    return int(requested) if requested else bounds.deadline_ms


def _validate_headers(
    head: RequestHead,
    entry: _TargetEntry,
) -> Result[None, Refusal]:
    requested_deadline = head.header(DEADLINE_MS_HEADER)
    if requested_deadline and not _is_valid_deadline(requested_deadline):
        return _refuse_malformed(
            f'{DEADLINE_MS_HEADER}: expected an integer from 1 to'
            f' {_MAX_DEADLINE_MS}'
        )
    classes = {service_class.value for service_class in ServiceClass}
    if head.header(SERVICE_CLASS_HEADER) not in {'', *classes}:
        return _refuse_malformed(
            f'{SERVICE_CLASS_HEADER}: expected one of {classes}'
        )
    if len(head.header(IDEMPOTENCY_KEY_HEADER)) > _MAX_IDEMPOTENCY_KEY_LENGTH:
        return _refuse_malformed(
            f'{IDEMPOTENCY_KEY_HEADER}: longer than'
            f' {_MAX_IDEMPOTENCY_KEY_LENGTH} characters'
        )
    return Success(None)


def _is_valid_deadline(text: str) -> bool:
    if not (text.isascii() and text.isdecimal()):
        return False
    return len(text) < 10 and 0 < int(text) <= _MAX_DEADLINE_MS


async def _read_body(context: RequestContext) -> Result[bytes, Refusal]:
    body = await context.exchange.read_body()
    if not isinstance(body, Failed):
        return Success(body.unwrap())
    kind = body.failure().kind
    if kind is FailureKind.timed_out:
        return _refuse_malformed('request body was not received in time')
    if kind is FailureKind.overloaded:
        refusal = Refusal(
            reason=RefusalReason.no_capacity,
            ran=Ran.no,
            detail='not enough memory for the request body',
            retry_after_s=_RETRY_AFTER_S,
        )
        return Failed(refusal)
    return _refuse(RefusalReason.body_too_large)


def _refuse_malformed(detail: str) -> Failed[Refusal]:
    return _refuse(RefusalReason.malformed_request, detail)


def _refuse(reason: RefusalReason, detail: str = '') -> Failed[Refusal]:
    return Failed(Refusal(reason=reason, ran=Ran.no, detail=detail))
