"""Commands that show the state of the system or change that of a VM."""

import secrets
from typing import Any, Final

import msgspec
from returns.result import Failure as Failed

from persimmonhold.cli._command_output import (
    CommandOutput,
    failure_output,
)
from persimmonhold.operations import OperatorClient, OperatorReply

_COMMAND_ID_BYTES: Final = 8
_GIGABYTE: Final = 1_000_000_000


async def show_status(client: OperatorClient) -> CommandOutput:
    """Show revisions, copies, orders and memory use."""
    reply = await client.get('/catalogue/v1/status')
    if isinstance(reply, Failed):
        return failure_output(reply.failure())
    return _build_output(reply.unwrap(), 'status', _format_status)


async def show_explanation(client: OperatorClient, name: str) -> CommandOutput:
    """Show the state of a model or adapter and the decisions about it."""
    reply = await client.get(f'/catalogue/v1/explain/{name}')
    if isinstance(reply, Failed):
        return failure_output(reply.failure())
    return _build_output(reply.unwrap(), f'explain {name}', _format_json)


async def show_claims(client: OperatorClient) -> CommandOutput:
    """Show the claims whose requests may have run."""
    reply = await client.get('/catalogue/v1/claims')
    if isinstance(reply, Failed):
        return failure_output(reply.failure())
    return _build_output(reply.unwrap(), 'claims', _format_claims)


async def change_vm(
    client: OperatorClient,
    vm: str,
    action: str,
) -> CommandOutput:
    """Apply `action` to a VM: drain, undrain or forget."""
    headers = {'persimmonhold-command-id': secrets.token_hex(_COMMAND_ID_BYTES)}
    target = f'/catalogue/v1/{action}/{vm}'
    reply = await client.send_change('POST', target, headers)
    if isinstance(reply, Failed):
        return failure_output(reply.failure())
    return _build_output(reply.unwrap(), f'{action} {vm}', _format_json)


def _build_output(
    reply: OperatorReply,
    step: str,
    format_text: Any,
) -> CommandOutput:
    result = reply.to_result(step)
    if isinstance(result, Failed):
        return failure_output(result.failure())
    document = result.unwrap()
    return CommandOutput(text=format_text(document), document=document)


def _format_json(document: dict[str, Any]) -> str:
    encoded = msgspec.json.encode(document)
    return msgspec.json.format(encoded, indent=2).decode()


def _format_status(document: dict[str, Any]) -> str:
    lines = [f'revision {document["revision"]}']
    for vm in document.get('vms', ()):
        state = 'live' if vm.get('live', True) else 'silent'
        if vm.get('draining'):
            state = 'draining'
        revision = vm.get('revision', '-')
        lines.append(f'vm        {vm["name"]:16} {state:9} r{revision}')
    for model in document.get('models', ()):
        lines.append(
            f'model     {model["name"]:28} wanted {model["wanted"]}'
            f' serving {model["serving"]}',
        )
    for memory in document.get('memory', ()):
        lines.append(_format_memory(memory))
    orders = document.get('orders', ())
    lines.append(f'{len(orders)} orders outstanding')
    return '\n'.join(lines)


def _format_claims(document: dict[str, Any]) -> str:
    claims = document['claims']
    lines = [
        f'claim {claim["claim"]:<8} {claim["service"]:16}'
        f' caller {claim["caller"]} key {claim["key"]} at {claim["vm"]}'
        for claim in claims
    ]
    lines.append(f'{len(claims)} claims in doubt')
    return '\n'.join(lines)


def _format_memory(memory: dict[str, Any]) -> str:
    held, reserved, capacity = (
        memory[key] / _GIGABYTE
        for key in ('held_bytes', 'reserved_bytes', 'capacity_bytes')
    )
    place = f'{memory["upstream"]}/{memory["accelerator"]}'
    return (
        f'memory    {place:28} held {held:.1f} reserved {reserved:.1f}'
        f' of {capacity:.1f} GB'
    )
