"""Limits and weights of the request path."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.types import RequestClass, ServiceName, Tenant

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


class ServiceSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What is particular to one service.

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
    """What is particular to one tenant.

    Attributes
    ----------
    weight
        Its share of a full service, against the other tenants' weights.
    in_flight
        The most requests it may have waiting and running at one entry.
    """

    weight: float = 1.0
    in_flight: int = 256


class ClassSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What is particular to one class of requests.

    Attributes
    ----------
    weight
        Its share of a full service, against the other classes' weights.
    queue_length
        The most requests that wait for one service.
    timeout
        How long a caller waits that names no time.
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
        The longest time a caller may ask for; a backend server must end a
        request within it.
    settle_time
        How long bytes may be under way after their connection was closed.
    report_age
        How old a backend server's own report may be when it arrives.
    freeze_limit
        A longer pause of the process means that reports may have waited here.
    body_limit, answer_limit
        The largest request and answer, in bytes.
    retry_ratio
        Retries granted for each success.
    retry_burst
        Retries granted before there was any success.
    attempts_limit
        The most attempts at one request.
    ejection_failures
        Failures in a row after which a backend server is ejected.
    ejection_time
        How long the first ejection lasts; repeats last longer.
    ejection_cap
        The largest part of a service's backend servers ejected at a time.
    slow_start
        How long a newcomer gets less than its share.
    latency_weight
        How much one answer counts in the mean latency, from 0 to 1.
    sibling_pause
        How long an entry that had no room is not asked again.
    offload_interval
        How often waiting requests are offered to other entries.
    hop_patience
        How long a request rather waits for an own slot than being passed on.
    classes, default_tenant, tenants, services
        Settings for each class, tenant and service.
    metrics_tenants
        How many tenants get a label of their own in the metrics.
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
    sibling_pause: timedelta = timedelta(milliseconds=20)
    offload_interval: timedelta = timedelta(milliseconds=10)
    hop_patience: timedelta = timedelta(milliseconds=5)
    classes: dict[RequestClass, ClassSettings] = msgspec.field(
        default_factory=_make_classes
    )
    default_tenant: TenantSettings = TenantSettings()
    tenants: dict[Tenant, TenantSettings] = {}
    services: dict[ServiceName, ServiceSettings] = {}
    metrics_tenants: int = 50

    def get_tenant(self, tenant: Tenant) -> TenantSettings:
        """Return the settings that hold for ``tenant``."""
        return self.tenants.get(tenant, self.default_tenant)

    def is_idempotent(self, service: ServiceName, method: str) -> bool:
        """Say whether ``method`` may run twice at ``service``."""
        particular = self.services.get(service)
        if particular is not None and method in particular.idempotent_methods:
            return True
        if particular is not None and method in particular.non_idempotent_methods:
            return False
        return method in SAFE_METHODS


class LiveSettings:
    """The settings in force, which a reload replaces as a whole.

    Parameters
    ----------
    current
        The first settings.

    Attributes
    ----------
    current
        The settings in force.
    """

    def __init__(self, current: RoutingSettings | None = None) -> None:
        self.current = current if current is not None else RoutingSettings()

    def replace(self, settings: RoutingSettings) -> None:
        """Put ``settings`` in force for everything that begins from now on."""
        self.current = settings
