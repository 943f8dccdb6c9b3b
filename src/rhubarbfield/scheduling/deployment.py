"""Settings of one instance of a deployment whose workers are called."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path

import msgspec
import yaml

from rhubarbfield.exceptions import UsageError
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.types import FailureDomain, GroupId, InstanceName

SCHEDULING_GROUP = GroupId("scheduling")
# Outlasts an outage of all controllers for 5 s and the election after it.
DEFAULT_LEASE = timedelta(seconds=9)
# The event loop of a running program waits while they are parsed.
MAX_SETTINGS_BYTES = 131_072


class WorkerTimes(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Times that the workers' platform sets, in ms.

    Attributes
    ----------
    report_ms
        Interval between two reports of a worker.
    longest_lease_ms
        Longest lease that workers grant.
    """

    report_ms: int
    longest_lease_ms: int


class DeploymentSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The settings of one instance.

    An instance's name among its peers is its host, so that an instance that no
    peer has in its settings can be reached by its name.

    Attributes
    ----------
    instance
        Name of the instance in logs.
    failure_domain
        Failure domain of the instance.
    host
        Host name or address of the instance.
    peer_port
        Port on every host where controllers listen for each other and entries.
    callers, readiness, control, metrics
        ``host:port`` at which the instance serves each, or "".
    seeds
        ``host:port`` of some controllers; the port serves workers and operators.
    may_form_group
        Whether the deployment starts for the first time.
    data_folder
        Folder of the log, or "" on an instance without a disk.
    tolerated_losses
        Number of controllers that may be lost at once.
    grace_ms
        Longest duration of a planned stop.
    memory_mb, disk_mb
        Memory of a process and size of its disk; 0 or absent without a limit. The log
        keeps within a share of both.
    workers
        Times of the workers' platform.
    log_level
        ``debug``, ``info``, ``warning`` or ``error``.
    log_lines_a_second
        Limit of log lines per event and second; lines above it are only counted.
    secret
        Secret with which peers authenticate to each other.
    """

    instance: str
    failure_domain: FailureDomain
    host: str
    peer_port: int
    callers: str = ""
    readiness: str = ""
    control: str = ""
    metrics: str = ""
    seeds: tuple[str, ...]
    may_form_group: bool = False
    data_folder: str = ""
    tolerated_losses: int = 1
    grace_ms: int = 6000
    memory_mb: float | None = None
    disk_mb: float | None = None
    workers: WorkerTimes
    log_level: str = "info"
    log_lines_a_second: int = 200
    secret: str = "rhubarbfield"

    @property
    def name(self) -> InstanceName:
        """Name by which other instances reach this one."""
        return InstanceName(self.host)

    @property
    def seed_names(self) -> tuple[InstanceName, ...]:
        """Names of the seed controllers."""
        return tuple(InstanceName(seed.rpartition(":")[0]) for seed in self.seeds)

    @property
    def control_port(self) -> int:
        """Port on which controllers serve workers and operators."""
        return int(self.seeds[0].rpartition(":")[2])

    def locate(self, name: InstanceName) -> tuple[str, int]:
        """Return host and peer port of an instance."""
        return name, self.peer_port

    def make_scheduling_settings(self) -> SchedulingSettings:
        """Return the settings of scheduling."""
        longest = timedelta(milliseconds=self.workers.longest_lease_ms)
        report = timedelta(milliseconds=self.workers.report_ms)
        return SchedulingSettings(
            lease=min(DEFAULT_LEASE, longest),
            longest_lease=longest,
            silence_timeout=report * 2.5,
        )


def load_deployment_settings(path: Path) -> DeploymentSettings:
    """Return the checked settings of a YAML file.

    Raises
    ------
    UsageError
        If the file can't be read or a value is invalid; the message names it.
    """
    try:
        with path.open("rb") as file:
            content = file.read(MAX_SETTINGS_BYTES + 1)
        if len(content) > MAX_SETTINGS_BYTES:
            raise UsageError(f"settings {path} exceed {MAX_SETTINGS_BYTES} bytes")
        text = content.decode("utf-8")
        return msgspec.convert(yaml.safe_load(text), DeploymentSettings)
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"settings {path} can't be read: {error}") from None
    except msgspec.ValidationError as error:
        raise UsageError(f"settings {path}: {error}") from None
    except (
        yaml.YAMLError,
        ValueError,
        RecursionError,
        # PyYAML raises these for a tag whose value it can't convert.
        AttributeError,
        LookupError,
    ) as error:
        raise UsageError(f"settings {path} are not YAML: {error}") from None
