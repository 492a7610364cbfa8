"""Upstreams that get no new requests of an entry, by their own wish.

An upstream states in its responses that it leaves, or that it turns requests
away for a time. Nothing in this package performs input or output.
"""

from persimmonhold.sparing._ended_sparing import EndedSparing
from persimmonhold.sparing._leaving_statement import LeavingStatement
from persimmonhold.sparing._spared_upstreams import SparedUpstreams
from persimmonhold.sparing._sparing import Sparing
from persimmonhold.sparing._sparing_cause import SparingCause
from persimmonhold.sparing._sparing_view import SparingView

__all__ = (
    'EndedSparing',
    'LeavingStatement',
    'SparedUpstreams',
    'Sparing',
    'SparingCause',
    'SparingView',
)
