"""Subcommands that run the two daemons of an instance."""

from __future__ import annotations

import logging
import os
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

from rhubarbfield.cli.failures import log_failed_start, log_failure
from rhubarbfield.cli.latesettings import await_settings
from rhubarbfield.cli.options import define_settings_flag, load_function, read_settings
from rhubarbfield.cli.program import find_error
from rhubarbfield.cli.registry import Invocation, subcommand
from rhubarbfield.exceptions import BrokenInvariantError, UsageError

if TYPE_CHECKING:
    from rhubarbfield.settings import Settings

BROKEN_INVARIANTS_FILE = "broken-invariants.jsonl"
Daemon = Callable[..., Awaitable[Any]]


@subcommand(
    "entry",
    help="Serve callers and own backend servers (a daemon).",
    usage="--settings FILE",
    flags=define_settings_flag,
)
def run_entry_daemon(invocation: Invocation) -> int:
    """Run the entry until a signal stops it."""
    settings, daemon = _load("entry", "run_entry", invocation)
    return run_daemon("entry", daemon, settings, invocation)


@subcommand(
    "controller",
    help="Keep the replicated logs and place work (a daemon).",
    usage="--settings FILE",
    flags=define_settings_flag,
)
def run_controller_daemon(invocation: Invocation) -> int:
    """Run the controller until a signal stops it."""
    settings, daemon = _load("controller", "run_controller", invocation)
    return run_daemon("controller", daemon, settings, invocation)


def _load(name: str, function: str, invocation: Invocation) -> tuple[Settings, Daemon]:
    from rhubarbfield.logs import configure_logging

    with log_failed_start(name, lambda: configure_logging("info", invocation.stderr)):
        return _await_settings(invocation), load_function(name, function)


def _await_settings(invocation: Invocation) -> Settings:
    if not invocation.flags.settings:
        return read_settings(invocation)
    return await_settings(partial(read_settings, invocation), invocation.stderr)


def run_daemon(
    name: str, daemon: Daemon, settings: Settings, invocation: Invocation
) -> int:
    """Run a daemon; save the details of a broken invariant to the data folder.

    Parameters
    ----------
    name
        Name of the daemon in logs.
    daemon
        Async function that takes the settings and ``task_status``.
    settings
        Settings of the instance.
    invocation
        Invocation of the subcommand.

    Returns
    -------
    int
        The exit code.
    """
    import trio

    from rhubarbfield.logs import configure_logging, get_logger, log_event
    from rhubarbfield.signals import report_early_stop

    if invocation.arguments:
        raise UsageError(
            f"{name} takes no arguments, but got {invocation.arguments[0]!r}"
        )
    configure_logging(settings.logging.level, invocation.stderr)
    logger = get_logger(name)
    ids = {"instance": settings.instance.name}
    log_event(logger, logging.INFO, "daemon-starting", **ids)
    try:
        if not report_early_stop():
            trio.run(partial(daemon, settings, task_status=trio.TASK_STATUS_IGNORED))
    except Exception as error:
        broken = find_error(error, BrokenInvariantError)
        if broken is not None:
            _save_broken_invariant(broken, name, settings)
        log_failure(name, error)
        raise
    log_event(logger, logging.INFO, "daemon-stopped", **ids)
    return 0


def _save_broken_invariant(
    error: BrokenInvariantError, name: str, settings: Settings
) -> None:
    import msgspec

    if settings.data_folder is None:
        return
    event = {
        "at": datetime.now(UTC).isoformat(),
        "daemon": name,
        "instance": settings.instance.name,
        "invariant": error.invariant,
        "seen": error.observed,
    }
    path = Path(settings.data_folder) / BROKEN_INVARIANTS_FILE
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        with path.open("ab") as file:
            file.write(msgspec.json.encode(event) + b"\n")
            file.flush()
            os.fsync(file.fileno())
    except OSError as failure:
        logging.getLogger(f"rhubarbfield.{name}").error(
            "broken-invariant-not-kept", exc_info=failure
        )
