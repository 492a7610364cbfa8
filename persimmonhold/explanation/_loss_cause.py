"""The causes for which a request was not served in time."""

import enum
from typing import final


@final
@enum.unique
class LossCause(enum.StrEnum):
    """Why a request was lost or late, as far as the log of its entry tells.

    `model_nowhere`: refused, as no upstream had the model.
    `no_place`: refused at once, as all that could run it were taken.
    `held_in_vain`: held for a second or more, and then refused or ended unsent.
    `failed_after_send`: sent, and ended without a whole response.
    `waited_long`: answered, but it waited for a place for over half of the time
    to its first byte, and for a second or more.
    `other_refusal`: refused for another reason.
    """

    model_nowhere = 'model_nowhere'
    no_place = 'no_place'
    held_in_vain = 'held_in_vain'
    failed_after_send = 'failed_after_send'
    waited_long = 'waited_long'
    other_refusal = 'other_refusal'
