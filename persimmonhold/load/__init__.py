"""Open-loop seeded load with an exactly-once audit."""

from persimmonhold.load._audit import AuditResult, audit
from persimmonhold.load._caller import Caller
from persimmonhold.load._entry_directory import EntryDirectory
from persimmonhold.load._load_command import (
    default_parameters,
    read_deployment,
    run_load,
)
from persimmonhold.load._load_plot import draw_plot
from persimmonhold.load._planned_request import PlannedRequest
from persimmonhold.load._report_text import comparison_text, report_text
from persimmonhold.load._request_kind import RequestKind
from persimmonhold.load._request_outcome import RequestOutcome
from persimmonhold.load._run_parameters import RunParameters
from persimmonhold.load._run_report import RunReport
from persimmonhold.load._schedule import Schedule
from persimmonhold.load._standin_record import (
    StandinRecord,
    read_standins,
)
from persimmonhold.load._stream_check import StreamCheck
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
    'StreamCheck',
    'audit',
    'comparison_text',
    'default_parameters',
    'draw_plot',
    'read_deployment',
    'read_standins',
    'report_text',
    'run_load',
)
