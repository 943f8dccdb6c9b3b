"""rhubarbfield: a scheduler for latency-critical services and batch work.

The most used names of the package are re-exported here, and imported when they are
first used: a daemon records signals before it imports anything that takes time.
"""

import os

# What is imported later comes from the version that was started, also after another
# one has been installed.
__path__ = [os.path.realpath(folder) for folder in __path__]

TYPE_CHECKING = False  # true for type checkers; typing takes long to import
if TYPE_CHECKING:
    from rhubarbfield.clock import Clock, TrioClock
    from rhubarbfield.exceptions import (
        BrokenInvariantError,
        RhubarbfieldError,
        UsageError,
    )
    from rhubarbfield.types import (
        FailureDomain,
        InstanceName,
        Outcome,
        ServiceName,
        Tenant,
    )

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

_MODULES = {
    "clock": ("Clock", "TrioClock"),
    "exceptions": ("BrokenInvariantError", "RhubarbfieldError", "UsageError"),
    "types": ("FailureDomain", "InstanceName", "Outcome", "ServiceName", "Tenant"),
}


def __getattr__(name: str) -> object:
    """Import a re-exported name."""
    import importlib

    for module, names in _MODULES.items():
        if name in names:
            value: object = getattr(
                importlib.import_module(f"{__name__}.{module}"), name
            )
            globals()[name] = value
            return value
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")


def __dir__() -> list[str]:
    """Return the names of the module, with those that are not imported yet."""
    return sorted({*globals(), *__all__})
