"""The daemons of a deployment whose workers are called."""

from __future__ import annotations

import logging
import os
import sys
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from absl import flags

from rhubarbfield.cli.options import load_part
from rhubarbfield.cli.registry import Call, subcommand
from rhubarbfield.exceptions import UsageError

if TYPE_CHECKING:
    from rhubarbfield.cli.daemons import Daemon

SETTINGS_VARIABLE = "RHUBARBFIELD_NODE_FILE"


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "settings",
        None,
        f"File with the settings of the instance; otherwise ${SETTINGS_VARIABLE}.",
        flag_values=values,
    )


@subcommand(
    "job-entry",
    help="Serve callers of job queues (a daemon).",
    usage="[--settings FILE]",
    flags=_define_flags,
)
def run_job_entry(call: Call) -> int:
    """Run the entry until it is told to stop."""
    return _run("job-entry", load_part("platform.daemons", "run_entry"), call)


@subcommand(
    "job-controller",
    help="Keep the log of jobs and call workers (a daemon).",
    usage="[--settings FILE]",
    flags=_define_flags,
)
def run_job_controller(call: Call) -> int:
    """Run the controller until it is told to stop."""
    return _run("job-controller", load_part("platform.daemons", "run_controller"), call)


def _run(name: str, daemon: Daemon, call: Call) -> int:
    import trio

    from rhubarbfield.logoutput import LogBudget, configure_bounded_logging
    from rhubarbfield.logs import get_logger, log_event
    from rhubarbfield.scheduling.deployment import load_deployment_settings

    given = call.flags.settings or os.environ.get(SETTINGS_VARIABLE)
    if not given:
        raise UsageError("--settings is missing", "give the file of an instance")
    path = Path(given)
    settings = load_deployment_settings(path)
    budget = LogBudget(lines_a_second=settings.log_lines_a_second)
    output = configure_bounded_logging(settings.log_level, sys.stdout.fileno(), budget)
    logger = get_logger("daemon")
    log_event(
        logger,
        logging.INFO,
        "daemon-starting",
        program=name,
        instance=settings.instance,
    )
    try:
        trio.run(partial(daemon, settings, path))
    except Exception as error:
        logger.error("daemon-failed", exc_info=error)
        raise
    else:
        log_event(logger, logging.INFO, "daemon-stopped", instance=settings.instance)
    finally:
        output.close()
    return 0
