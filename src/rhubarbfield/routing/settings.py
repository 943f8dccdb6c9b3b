"""Limits and weights of the request path."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.types import RequestClass, ServiceName, Tenant

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


class ServiceSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of one service.

    Attributes
    ----------
    idempotent_methods
        Methods that are idempotent besides GET, HEAD, OPTIONS, PUT and DELETE.
    non_idempotent_methods
        Methods that are not idempotent although they usually are.
    """

    idempotent_methods: tuple[str, ...] = ()
    non_idempotent_methods: tuple[str, ...] = ()


class TenantSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of one tenant.

    Attributes
    ----------
    weight
        Share of a full service, relative to the other tenants' weights.
    in_flight
        Maximum number of requests that wait or run at one entry.
    """

    weight: float = 1.0
    in_flight: int = 256


class ClassSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of one class of requests.

    Attributes
    ----------
    weight
        Share of a full service, relative to the other classes' weights.
    queue_length
        Maximum number of requests that wait for one service.
    timeout
        Timeout of requests that don't specify one.
    """

    weight: float
    queue_length: int
    timeout: timedelta


def _make_classes() -> dict[RequestClass, ClassSettings]:
    return {
        RequestClass.URGENT: ClassSettings(
            weight=64.0, queue_length=128, timeout=timedelta(seconds=5)
        ),
        RequestClass.INTERACTIVE: ClassSettings(
            weight=8.0, queue_length=128, timeout=timedelta(seconds=10)
        ),
        RequestClass.BULK: ClassSettings(
            weight=1.0, queue_length=256, timeout=timedelta(seconds=30)
        ),
    }


class RoutingSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits and weights of the request path of one entry.

    Attributes
    ----------
    longest_timeout
        Longest timeout that a caller may request; a backend server must end a
        request within it.
    settle_time
        How long sent bytes may be in transit after their connection was closed.
    report_age
        Maximum age of a backend server's own report when it arrives.
    freeze_limit
        A longer pause of the process counts as a freeze, during which reports
        may have been buffered.
    body_limit, answer_limit
        Maximum size of a request and of an answer, in bytes.
    retry_ratio
        Retries added to the retry budget for each success.
    retry_burst
        Initial and maximum balance of the retry budget.
    attempts_limit
        Maximum number of attempts at one request.
    ejection_failures
        Consecutive failures after which a backend server is ejected.
    ejection_time
        Duration of the first ejection; repeated ejections last longer.
    ejection_cap
        Maximum fraction of a service's backend servers that is ejected at a time.
    slow_start
        How long a new backend server gets less than its share.
    latency_weight
        Weight of one answer in the mean latency, from 0 to 1.
    peer_entry_pause
        How long a peer entry that had no free slot is not tried again.
    offload_interval
        How often waiting requests are offered to peer entries.
    max_local_wait
        A request whose estimated wait for a slot of an owned backend server is
        at most this long is not forwarded.
    classes, default_tenant, tenants, services
        Settings of each class, tenant and service.
    metrics_tenants
        Number of tenants with a label of their own in the metrics.
    """

    longest_timeout: timedelta = timedelta(seconds=30)
    settle_time: timedelta = timedelta(seconds=1)
    report_age: timedelta = timedelta(seconds=3)
    freeze_limit: timedelta = timedelta(seconds=1)
    body_limit: int = 1 << 20
    answer_limit: int = 4 << 20
    retry_ratio: float = 0.1
    retry_burst: float = 5.0
    attempts_limit: int = 3
    ejection_failures: int = 5
    ejection_time: timedelta = timedelta(seconds=5)
    ejection_cap: float = 0.5
    slow_start: timedelta = timedelta(seconds=10)
    latency_weight: float = 0.1
    peer_entry_pause: timedelta = timedelta(milliseconds=20)
    offload_interval: timedelta = timedelta(milliseconds=10)
    max_local_wait: timedelta = timedelta(milliseconds=5)
    classes: dict[RequestClass, ClassSettings] = msgspec.field(
        default_factory=_make_classes
    )
    default_tenant: TenantSettings = TenantSettings()
    tenants: dict[Tenant, TenantSettings] = {}
    services: dict[ServiceName, ServiceSettings] = {}
    metrics_tenants: int = 50

    def get_tenant(self, tenant: Tenant) -> TenantSettings:
        """Return the settings of ``tenant``."""
        return self.tenants.get(tenant, self.default_tenant)

    def is_idempotent(self, service: ServiceName, method: str) -> bool:
        """Return whether ``method`` is idempotent at ``service``."""
        particular = self.services.get(service)
        if particular is not None and method in particular.idempotent_methods:
            return True
        if particular is not None and method in particular.non_idempotent_methods:
            return False
        return method in IDEMPOTENT_METHODS


class LiveSettings:
    """The current settings, which a reload replaces as a whole.

    Parameters
    ----------
    current
        Initial settings.

    Attributes
    ----------
    current
        Current settings.
    """

    def __init__(self, current: RoutingSettings | None = None) -> None:
        self.current = current if current is not None else RoutingSettings()

    def replace(self, settings: RoutingSettings) -> None:
        """Make ``settings`` the current settings for everything that begins later."""
        self.current = settings
