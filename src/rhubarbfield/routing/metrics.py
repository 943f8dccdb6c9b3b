"""Metrics of the request path, with a bounded number of tenant labels."""

from __future__ import annotations

from datetime import timedelta

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from returns.result import Result, Success

from rhubarbfield.routing.requests import BackendAnswer, CallerRequest, Refusal
from rhubarbfield.types import Outcome, ServiceName, Tenant

OTHER_TENANT = "other"
LATENCY_BUCKETS_SECONDS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)


class RoutingMetrics:
    """Prometheus metrics of the request path.

    Parameters
    ----------
    registry
        Registry for the metrics; a new one if not given.
    tenants_limit
        Number of tenants with a label of their own; the rest share ``other``.
    """

    def __init__(
        self, registry: CollectorRegistry | None = None, tenants_limit: int = 50
    ) -> None:
        self.registry = registry if registry is not None else CollectorRegistry()
        self._tenants: set[Tenant] = set()
        self._tenants_limit = tenants_limit
        labels = ("tenant", "request_class")
        self._seconds = Histogram(
            "rhubarbfield_request_seconds",
            "Time from a caller's request to its answer or refusal.",
            (*labels, "outcome"),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self._waiting_seconds = Histogram(
            "rhubarbfield_request_waiting_seconds",
            "Time a request waited for a slot.",
            labels,
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self._refusals = Counter(
            "rhubarbfield_request_refusals",
            "Requests without an answer of a backend server.",
            ("request_class", "reason"),
            registry=self.registry,
        )
        self._retries = Counter(
            "rhubarbfield_request_retries",
            "Further attempts at a request.",
            registry=self.registry,
        )
        self._running = Gauge(
            "rhubarbfield_requests_running",
            "Requests dispatched to owned backend servers.",
            ("service",),
            registry=self.registry,
        )

    def label_tenant(self, tenant: Tenant) -> str:
        """Return the value of the tenant label for ``tenant``."""
        if tenant in self._tenants:
            return tenant
        if len(self._tenants) >= self._tenants_limit:
            return OTHER_TENANT
        self._tenants.add(tenant)
        return tenant

    def record_result(
        self,
        request: CallerRequest,
        result: Result[BackendAnswer, Refusal],
        duration: timedelta,
    ) -> None:
        """Record the outcome and duration of one request."""
        outcome = Outcome.ANSWERED
        if not isinstance(result, Success):
            refusal = result.failure()
            outcome = refusal.outcome
            self._refusals.labels(request.request_class, refusal.reason).inc()
        tenant = self.label_tenant(request.tenant)
        histogram = self._seconds.labels(tenant, request.request_class, outcome)
        histogram.observe(duration.total_seconds())

    def record_wait(self, request: CallerRequest, duration: timedelta) -> None:
        """Record how long one request waited for a slot."""
        tenant = self.label_tenant(request.tenant)
        histogram = self._waiting_seconds.labels(tenant, request.request_class)
        histogram.observe(duration.total_seconds())

    def record_retry(self) -> None:
        """Count one retry."""
        self._retries.inc()

    def change_running(self, service: ServiceName, change: int) -> None:
        """Change the number of running requests by ``change``."""
        self._running.labels(service).inc(change)
