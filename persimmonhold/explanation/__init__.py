"""Explains requests from the logs of several VMs: one, or all that were lost."""

from persimmonhold.explanation._log_line import LogLine, parse_lines
from persimmonhold.explanation._loss_cause import LossCause
from persimmonhold.explanation._loss_report import LossReport, LossSum
from persimmonhold.explanation._request_explanation import RequestExplanation

__all__ = (
    'LogLine',
    'LossCause',
    'LossReport',
    'LossSum',
    'RequestExplanation',
    'parse_lines',
)
