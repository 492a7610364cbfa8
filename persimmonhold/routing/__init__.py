"""The choice of an upstream for a request."""

from persimmonhold.routing._route import Route
from persimmonhold.routing._route_request import RouteRequest
from persimmonhold.routing._router import Router

__all__ = ('Route', 'RouteRequest', 'Router')
