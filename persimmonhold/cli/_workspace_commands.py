"""The command that shows the workspaces of a fleet."""

from typing import Any, Final

from returns.result import Failure as Failed

from persimmonhold.cli._command_output import (
    CommandOutput,
    failure_output,
)
from persimmonhold.operations import OperatorClient

_PATH: Final = '/fleet/v1/workspaces'


async def show_workspaces(client: OperatorClient) -> CommandOutput:
    """Show the workspaces, their limits, usage and fingerprints of keys."""
    reply = await client.get(_PATH)
    if isinstance(reply, Failed):
        return failure_output(reply.failure())
    listed = reply.unwrap().to_result('workspaces')
    if isinstance(listed, Failed):
        return failure_output(listed.failure())
    document = listed.unwrap()
    return CommandOutput(text=_format_workspaces(document), document=document)


def _format_workspaces(document: dict[str, Any]) -> str:
    workspaces = document['workspaces']
    lines = [
        f'workspace {one["name"]}: priority {one["priority"]},'
        f' {_format_limit(one["limit"])},'
        f' used {one["tokens_per_s"]:g} tokens/s and'
        f' {one["requests_per_s"]:g} requests/s,'
        f' keys {",".join(one["keys"]) or "none"}'
        for one in workspaces
    ]
    public = ','.join(document['public_routes']) or 'none'
    lines.append(
        f'{len(workspaces)} workspaces in version {document["version"]},'
        f' public routes: {public}'
    )
    return '\n'.join(lines)


def _format_limit(limit: dict[str, Any] | None) -> str:
    if limit is None:
        return 'no limit'
    unit = 'tokens' if limit['counts_tokens'] else 'requests'
    return f'{limit["per_s"]:g} {unit}/s, burst {limit["burst"]:g}'
