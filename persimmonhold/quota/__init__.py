"""Limits of workspaces, which all entries keep together.

The fleet controller grants credit out of one bucket for each workspace, and
entries obtain it before they spend it. Nothing in this package performs input
or output.
"""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports

if TYPE_CHECKING:
    from persimmonhold.quota._credit_need import CreditNeed
    from persimmonhold.quota._credit_spending import CreditSpending
    from persimmonhold.quota._entry_presence import EntryPresence
    from persimmonhold.quota._quota_account import QuotaAccount
    from persimmonhold.quota._quota_book import QuotaBook

__all__ = (
    'CreditNeed',
    'CreditSpending',
    'EntryPresence',
    'QuotaAccount',
    'QuotaBook',
)

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {
            'CreditNeed': '_credit_need',
            'CreditSpending': '_credit_spending',
            'EntryPresence': '_entry_presence',
            'QuotaAccount': '_quota_account',
            'QuotaBook': '_quota_book',
        },
    )
