"""Page with the metrics of a process, in Prometheus text format."""

from __future__ import annotations

from http import HTTPStatus

from prometheus_client import REGISTRY, CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from rhubarbfield.httpserver import HttpRequest, HttpResponse

METRICS_PATH = "/metrics"
METRICS_TYPE = CONTENT_TYPE_LATEST


def format_metrics(*registries: CollectorRegistry) -> bytes:
    """Return the metrics of all ``registries`` in Prometheus text format."""
    return b"".join(generate_latest(each) for each in registries)


async def show_metrics(request: HttpRequest) -> HttpResponse:
    """Answer a request for the metrics of this process."""
    if request.path != METRICS_PATH:
        return HttpResponse(HTTPStatus.NOT_FOUND)
    return HttpResponse(HTTPStatus.OK, format_metrics(REGISTRY), METRICS_TYPE)
