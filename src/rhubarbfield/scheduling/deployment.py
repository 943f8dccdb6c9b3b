"""Settings of one instance of a deployment whose workers are called."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path

import msgspec
import yaml

from rhubarbfield.exceptions import UsageError
from rhubarbfield.replication import GroupSettings
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.types import FailureDomain, GroupId, InstanceName

SCHEDULING_GROUP = GroupId("scheduling")
DEFAULT_LEASE = timedelta(seconds=9)  # all controllers dark for 5 s, and an election


class WorkerTimes(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Bounds that the workers' platform sets, in ms.

    Attributes
    ----------
    report_ms
        How often workers report themselves.
    longest_lease_ms
        The longest lease that they grant.
    """

    report_ms: int
    longest_lease_ms: int


class DeploymentSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The settings of one instance.

    Instances are known to each other by their host, so that one that was
    never heard of can be reached by its name.

    Attributes
    ----------
    instance
        Its name in logs.
    failure_domain
        Where it stands.
    host
        Its own address.
    peer_port
        Where controllers listen for each other and for entries, on every host.
    callers, readiness, control, metrics
        ``host:port`` that the instance serves, or "".
    seeds
        Hosts of some controllers.
    may_form_group
        Whether the deployment starts for the first time.
    data_folder
        Where its log is kept, or "" on an instance without a disk.
    tolerated_losses
        How many controllers may be lost at once.
    grace_ms
        How long a planned stop may take.
    workers
        Bounds of the workers.
    log_level
        ``debug``, ``info``, ``warning`` or ``error``.
    log_lines_a_second
        Most lines of one event; what exceeds it is counted.
    secret
        What peers present to each other.
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
    workers: WorkerTimes
    log_level: str = "info"
    log_lines_a_second: int = 200
    secret: str = "rhubarbfield"

    @property
    def name(self) -> InstanceName:
        """The name by which other instances reach this one."""
        return InstanceName(self.host)

    @property
    def seed_names(self) -> tuple[InstanceName, ...]:
        """The controllers that are known from the start."""
        return tuple(InstanceName(seed.rpartition(":")[0]) for seed in self.seeds)

    @property
    def control_port(self) -> int:
        """The port on which controllers serve workers and operators."""
        return int(self.seeds[0].rpartition(":")[2])

    def locate(self, name: InstanceName) -> tuple[str, int]:
        """Return host and peer port of an instance."""
        return name, self.peer_port

    def make_group_settings(self) -> GroupSettings:
        """Return the times of the replicated log."""
        return GroupSettings(
            heartbeat=timedelta(milliseconds=200),
            lease=timedelta(milliseconds=900),
            election_min=timedelta(milliseconds=1100),
            election_max=timedelta(milliseconds=1800),
            snapshot_after=2000,
            kept_entries=1000,
            propose_timeout=timedelta(milliseconds=2500),
            replace_after=timedelta(milliseconds=2500),
            wanted_voters=2 * self.tolerated_losses + 1,
        )

    def make_scheduling_settings(self) -> SchedulingSettings:
        """Return the times of scheduling."""
        longest = timedelta(milliseconds=self.workers.longest_lease_ms)
        report = timedelta(milliseconds=self.workers.report_ms)
        return SchedulingSettings(
            lease=min(DEFAULT_LEASE, longest),
            longest_lease=longest,
            silence_limit=report * 2.5,
        )


def load_deployment_settings(path: Path) -> DeploymentSettings:
    """Return the checked settings of a YAML file.

    Raises
    ------
    UsageError
        If the file can't be read or a value is wrong; says which.
    """
    try:
        text = path.read_text(encoding="utf-8")
        return msgspec.convert(yaml.safe_load(text), DeploymentSettings)
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"settings {path} can't be read: {error}") from None
    except yaml.YAMLError as error:
        raise UsageError(f"settings {path} are not YAML: {error}") from None
    except msgspec.ValidationError as error:
        raise UsageError(f"settings {path}: {error}") from None
