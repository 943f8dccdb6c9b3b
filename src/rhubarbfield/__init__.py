"""rhubarbfield: a scheduler for latency-critical services and batch work.

The most used names of the package are re-exported here.
"""

import os

# What is imported later comes from the version that was started, also after another
# one has been installed.
__path__ = [os.path.realpath(folder) for folder in __path__]

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
