"""Has entries end a quarantine one after the other."""

import zlib
from typing import Final

import msgspec

from persimmonhold.quarantine._messages import QuarantineUpdate

_SPREAD_S: Final = 60.0
_MAX_SPREAD_SHARE: Final = 0.2  # of the time that is left
_CRC_RANGE: Final = 4_294_967_296


def spread_release(update: QuarantineUpdate, entry: str) -> QuarantineUpdate:
    """Return the update for an entry, with its own ends of quarantines.

    The first entries to end one show whether it is still needed, before all
    entries send such requests again.
    """
    share = zlib.crc32(entry.encode()) / _CRC_RANGE
    return msgspec.structs.replace(
        update,
        quarantined=tuple(
            msgspec.structs.replace(
                prompt,
                left_s=prompt.left_s
                + share * min(_SPREAD_S, _MAX_SPREAD_SHARE * prompt.left_s),
            )
            for prompt in update.quarantined
        ),
    )
