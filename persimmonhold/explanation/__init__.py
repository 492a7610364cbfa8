"""Explains what happened to a request, from the logs of several VMs."""

from persimmonhold.explanation._log_line import LogLine, parse_lines
from persimmonhold.explanation._request_explanation import RequestExplanation

__all__ = ('LogLine', 'RequestExplanation', 'parse_lines')
