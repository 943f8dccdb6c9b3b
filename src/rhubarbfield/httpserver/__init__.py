"""HTTP/1.1 server that bounds what its clients make it hold.

Requests and responses are whole. What the process holds of requests that are not
answered yet is counted in an :class:`Intake`, which all servers of the process share.
"""

from rhubarbfield.httpserver.apps import WHOLE_CONTENT, serve_app
from rhubarbfield.httpserver.messages import (
    JSON_TYPE,
    TEXT_TYPE,
    Handler,
    HttpLimits,
    HttpRefusal,
    HttpRequest,
    HttpResponse,
    RefusalMaker,
    RefusalReason,
    make_refusal,
)
from rhubarbfield.httpserver.server import HttpServer

__all__ = [
    "JSON_TYPE",
    "TEXT_TYPE",
    "Handler",
    "HttpLimits",
    "HttpRefusal",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "RefusalMaker",
    "RefusalReason",
    "WHOLE_CONTENT",
    "make_refusal",
    "serve_app",
]
