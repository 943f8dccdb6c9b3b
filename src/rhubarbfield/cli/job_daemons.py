"""Subcommands that run the daemons of a deployment that calls its workers."""

from __future__ import annotations

import logging
import os
import sys
import time
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from absl import flags

from rhubarbfield.cli.failures import log_failed_start, log_failure
from rhubarbfield.cli.latesettings import await_settings
from rhubarbfield.cli.options import load_function
from rhubarbfield.cli.registry import Invocation, subcommand
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
def run_job_entry(invocation: Invocation) -> int:
    """Run the entry of job queues until a signal stops it."""
    return _run("job-entry", "platform.entry", "run_entry", invocation)


@subcommand(
    "job-controller",
    help="Keep the log of jobs and call workers (a daemon).",
    usage="[--settings FILE]",
    flags=_define_flags,
)
def run_job_controller(invocation: Invocation) -> int:
    """Run the controller of jobs until a signal stops it."""
    return _run("job-controller", "platform.controller", "run_controller", invocation)


def _run(name: str, module: str, function: str, invocation: Invocation) -> int:
    started_at = time.monotonic()
    import trio

    from rhubarbfield.collector import tune_collector
    from rhubarbfield.logoutput import LogBudget, configure_bounded_logging
    from rhubarbfield.logs import get_logger, log_event
    from rhubarbfield.loopmonitor import LoopMonitor
    from rhubarbfield.scheduling.deployment import load_deployment_settings
    from rhubarbfield.signals import report_early_stop

    descriptor = sys.stdout.fileno()
    with log_failed_start(
        "daemon", lambda: configure_bounded_logging("info", descriptor)
    ):
        path = _find_settings(invocation)
        daemon: Daemon = load_function(module, function)
        load = partial(load_deployment_settings, path)
        settings = await_settings(load, invocation.stderr)
    budget = LogBudget(lines_per_second=settings.log_lines_a_second)
    output = configure_bounded_logging(settings.log_level, descriptor, budget)
    logger = get_logger("daemon")
    log_event(
        logger,
        logging.INFO,
        "daemon-starting",
        program=name,
        instance=settings.instance,
        startup=round(time.monotonic() - started_at, 3),
    )
    tune_collector()
    try:
        if not report_early_stop():
            monitor = LoopMonitor(time.monotonic)
            trio.run(partial(daemon, settings, path), instruments=[monitor])
    except Exception as error:
        log_failure("daemon", error)
        raise
    else:
        log_event(logger, logging.INFO, "daemon-stopped", instance=settings.instance)
    finally:
        output.close()
    return 0


def _find_settings(invocation: Invocation) -> Path:
    given = invocation.flags.settings or os.environ.get(SETTINGS_VARIABLE)
    if not given:
        raise UsageError("--settings is missing", "give the file of an instance")
    return Path(given)
