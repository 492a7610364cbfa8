"""Finds out whether the process of an upstream has ended."""

import asyncio
from typing import Final, TypeAlias, final

from returns.result import Failure as Failed

from persimmonhold.fleet import UpstreamFacts
from persimmonhold.forwarding._forward_hub import ForwardHub
from persimmonhold.forwarding._upstream_client import UpstreamClient
from persimmonhold.observability import log_event

_ProcessKey: TypeAlias = tuple[str, int]
# A stream is given up or kept by what was found this long ago at most.
_MAX_AGE_S: Final = 1.0
_MAX_FINDINGS: Final = 256


@final
class ProcessProbe:
    """Asks upstreams that the fleet controller does not hear.

    Such an upstream may only be cut off from the controller. `findings` has
    whether a process has ended, and when that was found. `probes` are the
    probes under way.
    """

    __slots__ = ('findings', 'hub', 'probes', 'upstream_client')

    def __init__(
        self, hub: ForwardHub, upstream_client: UpstreamClient
    ) -> None:
        """Create a probe that has not asked any upstream."""
        self.hub = hub
        self.upstream_client = upstream_client
        self.findings: dict[_ProcessKey, tuple[bool, float]] = {}
        self.probes: dict[_ProcessKey, asyncio.Task[None]] = {}

    def has_ended(self, upstream: UpstreamFacts) -> bool:
        """Tell whether the process of an upstream is known to have ended.

        If the fleet controller does not hear it, it is asked in the background,
        so a later call may tell more.
        """
        chooser = self.hub.dispatcher.chooser
        process = upstream.process_key
        if chooser.has_ended(process):
            return True
        if not chooser.trackers[upstream.name].facts.is_silent:
            return False
        found = self.findings.get(process)
        if found is not None and self.hub.clock() - found[1] <= _MAX_AGE_S:
            return found[0]
        if process not in self.probes:
            self.probes[process] = asyncio.get_running_loop().create_task(
                self._probe(upstream)
            )
        return False

    def close(self) -> None:
        """Cancel the probes under way."""
        for probe in self.probes.values():
            probe.cancel()

    async def _probe(self, upstream: UpstreamFacts) -> None:
        """Read a report of an upstream; one of another process shows its end."""
        process = upstream.process_key
        try:
            report = await self.upstream_client.read_report(
                upstream.name, upstream.address
            )
        finally:
            self.probes.pop(process)
        has_ended = True
        if not isinstance(report, Failed):
            has_ended = 0 < process[1] < report.unwrap().born_ms
        log_event(
            'upstream_probed', upstream=upstream.name, has_ended=has_ended
        )
        if len(self.findings) >= _MAX_FINDINGS:
            self.findings.clear()
        self.findings[process] = (has_ended, self.hub.clock())
