"""Commands about the quarantines of the fleet controller."""

from typing import Any, Final

from returns.result import Failure as Failed

from persimmonhold.cli._command_output import (
    CommandOutput,
    failure_output,
)
from persimmonhold.operations import OperatorClient

_PATH: Final = '/fleet/v1/quarantines'


async def show_quarantines(client: OperatorClient) -> CommandOutput:
    """Show which requests are refused, as they crash upstreams."""
    reply = await client.get(_PATH)
    if isinstance(reply, Failed):
        return failure_output(reply.failure())
    listed = reply.unwrap().to_result('quarantines')
    if isinstance(listed, Failed):
        return failure_output(listed.failure())
    document = listed.unwrap()
    return CommandOutput(text=_format_quarantines(document), document=document)


async def end_quarantine(
    client: OperatorClient, quarantine: str
) -> CommandOutput:
    """End a quarantine before its time, at all entries."""
    target = f'{_PATH}/{quarantine}'
    reply = await client.send_change('DELETE', target, {})
    if isinstance(reply, Failed):
        return failure_output(reply.failure())
    ended = reply.unwrap().to_result(f'end quarantine {quarantine}')
    if isinstance(ended, Failed):
        return failure_output(ended.failure())
    return CommandOutput(
        text=f'ended quarantine {quarantine}', document=ended.unwrap()
    )


def _format_quarantines(document: dict[str, Any]) -> str:
    quarantines = document['quarantines']
    lines = [
        f'quarantine {one["id"]} for {one["left_s"]:.0f} s more,'
        f' {"proven" if one["is_proven"] else "not proven"},'
        f' parts {",".join(one["parts"])}'
        f' crashed {",".join(one["processes"])}'
        for one in quarantines
    ]
    lines.append(f'{len(quarantines)} quarantines')
    return '\n'.join(lines)
