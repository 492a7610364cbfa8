"""How often entries report to the fleet controller while requests wait."""

import asyncio
from unittest.mock import patch

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, LessThan

from bench.virtual_loop import run_in_virtual_time
from persimmonhold.forwarding._fleet_client import FleetClient
from tests.forwarding_harness import ForwardingHarness

_DURATION_S = 4.0
_ARRIVAL_S = 0.005
# Handling a report takes the controller up to a millisecond.
_MAX_REPORTS_PER_S = 1100


async def _count_reports(entry_count: int) -> int:
    """Return how often an entry reports while requests arrive that wait."""
    async with ForwardingHarness() as harness:
        hub = harness.hub
        hub.dispatcher.entry_count = entry_count
        client = harness.services.fleet_client
        with patch.object(FleetClient, '_send_report') as report:
            running = asyncio.create_task(client.run())
            for _ in range(round(_DURATION_S / _ARRIVAL_S)):
                hub.request_waiting.set()
                await asyncio.sleep(_ARRIVAL_S)
            running.cancel()
            return report.call_count


@pytest.mark.parametrize('entry_count', [1, 9, 80, 200, 540])
def test_reports_of_all_entries_together_are_bounded(entry_count: int) -> None:
    """80 entries sent a leader that had just begun 4,000 reports a second."""
    count = run_in_virtual_time(_count_reports(entry_count))
    per_s = entry_count * count / _DURATION_S
    assert_that(per_s, LessThan(_MAX_REPORTS_PER_S))
    # An entry that is silent for 2 s is dropped.
    assert_that(count, GreaterThan(_DURATION_S))
