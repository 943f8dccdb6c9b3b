"""rhubarbfield: one scheduler for latency-critical services and batch work.

The names most users of the package need are re-exported here. Everything
else lives in the module named for it.
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
