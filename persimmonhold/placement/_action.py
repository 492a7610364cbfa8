"""The union of actions that the order issuer asks its host to perform."""

from typing import TypeAlias

from persimmonhold.placement._commit_copy import CommitCopy
from persimmonhold.placement._commit_intent import CommitIntent
from persimmonhold.placement._commit_order_end import CommitOrderEnd
from persimmonhold.placement._read_inventory import ReadInventory
from persimmonhold.placement._send_order import SendOrder

Action: TypeAlias = (
    CommitIntent | CommitOrderEnd | CommitCopy | SendOrder | ReadInventory
)
