"""Settings of an instance, read from one YAML file and validated before startup."""

from rhubarbfield.settings.files import find_file_problems
from rhubarbfield.settings.loading import load_settings, parse_settings
from rhubarbfield.settings.model import (
    Addresses,
    DomainMembers,
    Fleet,
    FleetInstance,
    Instance,
    Limits,
    Logging,
    LogLevel,
    Settings,
    Tls,
)
from rhubarbfield.settings.policy import (
    Placement,
    PlacementProfile,
    Routing,
    Timing,
    Weights,
)
from rhubarbfield.settings.problems import SettingsErrors, SettingsProblem
from rhubarbfield.settings.reloading import (
    SettingChange,
    diff_reloadable,
    reload_settings,
)
from rhubarbfield.settings.secrets import Secret, load_secret

__all__ = [
    "load_settings",
    "parse_settings",
    "diff_reloadable",
    "reload_settings",
    "SettingChange",
    "find_file_problems",
    "load_secret",
    "Secret",
    "Settings",
    "Addresses",
    "DomainMembers",
    "Fleet",
    "FleetInstance",
    "Instance",
    "Limits",
    "Logging",
    "LogLevel",
    "Placement",
    "PlacementProfile",
    "Routing",
    "Timing",
    "Tls",
    "Weights",
    "SettingsErrors",
    "SettingsProblem",
]
