"""The HTTP adapter for callers."""

from rhubarbfield.callers.app import create_app, make_request_id
from rhubarbfield.callers.readiness import Readiness
from rhubarbfield.callers.serving import ServingSettings, serve

__all__ = [
    "Readiness",
    "ServingSettings",
    "create_app",
    "make_request_id",
    "serve",
]
