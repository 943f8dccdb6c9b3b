"""rhubarbfield: a scheduler for latency-critical services and batch work.

The most used names of the package are re-exported here.
"""

from rhubarbfield.clock import Clock, TrioClock
from rhubarbfield.exceptions import BrokenInvariantError, RhubarbfieldError, UsageError
from rhubarbfield.types import FailureDomain, InstanceName, Outcome, ServiceName, Tenant

__version__ = "0.1.0"

__all__ = [
    "BrokenInvariantError",
    "Clock",
    "FailureDomain",
    "InstanceName",
    "Outcome",
    "RhubarbfieldError",
    "ServiceName",
    "Tenant",
    "TrioClock",
    "UsageError",
    "__version__",
]
