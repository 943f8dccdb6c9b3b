"""HTTP endpoint for Prometheus metrics."""

from __future__ import annotations

from prometheus_client import REGISTRY, CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from quart import Quart, Response
from quart_trio import QuartTrio

METRICS_PATH = "/metrics"


def make_metrics_response(*registries: CollectorRegistry) -> Response:
    """Return the metrics of all ``registries`` in Prometheus text format."""
    page = b"".join(generate_latest(each) for each in registries)
    return Response(page, content_type=CONTENT_TYPE_LATEST)


def create_metrics_app(registry: CollectorRegistry = REGISTRY) -> Quart:
    """Return an app that serves the metrics of ``registry``."""
    app = QuartTrio(__name__)

    @app.get(METRICS_PATH)
    async def show_metrics() -> Response:
        return make_metrics_response(registry)

    return app
