"""The contents of a snapshot of the replicated state."""

from typing import Final, final

import msgspec

from persimmonhold.control.machine._claim import Claim
from persimmonhold.control.machine._completed_command import CompletedCommand
from persimmonhold.control.machine._control_state import ControlState
from persimmonhold.control.machine._digest_set import DigestSet
from persimmonhold.control.machine._history_record import HistoryRecord
from persimmonhold.control.machine._state_machine_limits import (
    StateMachineLimits,
)
from persimmonhold.messages import ControlView, Order
from persimmonhold.streams import RecordedStreams, ServedBuilds, StreamRecord

IMAGE_VERSION: Final = 1


@final
class StateImage(msgspec.Struct, frozen=True, kw_only=True):
    """The whole replicated state; `version` is that of the format.

    Earlier builds leave out the fields that have defaults.
    """

    version: int
    index: int
    clock_ms: int
    view: ControlView
    history: tuple[HistoryRecord, ...]
    commands: tuple[CompletedCommand, ...]
    expired: bytes
    orders: tuple[Order, ...]
    claims: tuple[Claim, ...]
    order_giver: str = ''
    served_builds: tuple[ServedBuilds, ...] = ()
    begun_streams: tuple[RecordedStreams, ...] = ()


def build_image(state: ControlState) -> StateImage:
    """Return an image of a state, unaffected by later commands."""
    claims = sorted(
        state.claims.claims_by_scope.values(),
        key=lambda claim: claim.index,
    )
    return StateImage(
        version=IMAGE_VERSION,
        index=state.index,
        clock_ms=state.clock_ms,
        view=state.view.view(),
        history=tuple(state.history),
        commands=tuple(state.commands.completed.values()),
        expired=state.commands.expired_ids.encode(),
        orders=tuple(state.orders.values()),
        claims=tuple(claims),
        order_giver=state.fleet_controller,
        served_builds=tuple(state.streams.builds.values()),
        begun_streams=state.streams.begun,
    )


def restore_state(
    image: StateImage, limits: StateMachineLimits
) -> ControlState:
    """Create the state that an image describes."""
    state = ControlState(limits)
    state.index = image.index
    state.clock_ms = image.clock_ms
    state.fleet_controller = image.order_giver
    state.view.apply_view(image.view)
    state.history.extend(image.history)
    state.commands.expired_ids = DigestSet(image.expired)
    for command in image.commands:
        state.commands.record_command(command)
    state.orders.update({order.fence: order for order in image.orders})
    state.claims.restore_claims(image.claims)
    state.streams = StreamRecord(image.served_builds, image.begun_streams)
    return state
