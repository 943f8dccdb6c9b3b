"""The fleet's replicated state: commands, configuration, jobs and delegation."""

from rhubarbfield.fleet.commands import (
    CommandAnswered,
    CommandClash,
    NumberRefused,
    SubmitCommand,
    find_next_number,
)
from rhubarbfield.fleet.configuration import (
    ConfigurationProblem,
    check_configuration,
    list_configurable_keys,
    overlay_configuration,
)
from rhubarbfield.fleet.inforce import ConfigurationInForce
from rhubarbfield.fleet.jobs import (
    Delegated,
    DelegateJob,
    FinishJob,
    ReleaseJob,
    ReportJob,
)
from rhubarbfield.fleet.registry import fleet_commands
from rhubarbfield.fleet.state import (
    CommandOrigin,
    CommandRecord,
    CommandTable,
    Configuration,
    FleetJob,
    FleetState,
    JobRequest,
    Quota,
)

FLEET_REPLY_TYPES = (CommandAnswered, CommandClash, NumberRefused, Delegated)

__all__ = [
    "FleetState",
    "fleet_commands",
    "FLEET_REPLY_TYPES",
    "SubmitCommand",
    "CommandAnswered",
    "CommandClash",
    "NumberRefused",
    "CommandRecord",
    "CommandTable",
    "find_next_number",
    "Configuration",
    "ConfigurationInForce",
    "ConfigurationProblem",
    "check_configuration",
    "list_configurable_keys",
    "overlay_configuration",
    "FleetJob",
    "JobRequest",
    "DelegateJob",
    "Delegated",
    "ReleaseJob",
    "ReportJob",
    "FinishJob",
    "CommandOrigin",
    "Quota",
]
