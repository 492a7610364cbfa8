"""Open-loop load generator with an audit of executed calls.

The requests of a run depend on its seed alone, and their times do not depend
on the responses.
"""

from persimmonhold.load._audit import AuditResult, audit_calls
from persimmonhold.load._caller import Caller
from persimmonhold.load._entry_directory import EntryDirectory
from persimmonhold.load._load_command import (
    build_default_parameters,
    read_deployment,
    run_load,
)
from persimmonhold.load._load_plot import draw_plot
from persimmonhold.load._planned_request import PlannedRequest
from persimmonhold.load._report_text import format_comparison, format_report
from persimmonhold.load._request_kind import RequestKind
from persimmonhold.load._request_outcome import RequestOutcome
from persimmonhold.load._run_parameters import RunParameters
from persimmonhold.load._run_report import RunReport
from persimmonhold.load._schedule import Schedule
from persimmonhold.load._standin_record import (
    StandinRecord,
    read_standin_records,
)
from persimmonhold.load._stream_validator import StreamValidator
from persimmonhold.load._traffic_mix import HOOGWERK_MIX, LEVY_MIX, MIXES

__all__ = (
    'HOOGWERK_MIX',
    'LEVY_MIX',
    'MIXES',
    'AuditResult',
    'Caller',
    'EntryDirectory',
    'PlannedRequest',
    'RequestKind',
    'RequestOutcome',
    'RunParameters',
    'RunReport',
    'Schedule',
    'StandinRecord',
    'StreamValidator',
    'audit_calls',
    'format_comparison',
    'build_default_parameters',
    'draw_plot',
    'read_deployment',
    'read_standin_records',
    'format_report',
    'run_load',
)
