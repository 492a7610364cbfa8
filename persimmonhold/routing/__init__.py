"""The choice of an upstream for a request."""

from persimmonhold.routing._attempt import Attempt
from persimmonhold.routing._attempt_outcome import AttemptOutcome
from persimmonhold.routing._route import Route
from persimmonhold.routing._route_request import RouteRequest
from persimmonhold.routing._router import Router
from persimmonhold.routing._router_settings import RouterSettings

__all__ = (
    'Attempt',
    'AttemptOutcome',
    'Route',
    'RouteRequest',
    'Router',
    'RouterSettings',
)
