"""Settings of a daemon that are absent or half written when it starts."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from datetime import timedelta
from typing import TextIO, TypeVar

from rhubarbfield.earlysignals import find_stop
from rhubarbfield.exceptions import UsageError
from rhubarbfield.logs import LogValue, format_event

SETTINGS_PATIENCE = timedelta(seconds=5)
SETTINGS_INTERVAL = timedelta(milliseconds=100)

SettingsT = TypeVar("SettingsT")


def await_settings(load: Callable[[], SettingsT], stderr: TextIO) -> SettingsT:
    """Return settings as soon as they are valid.

    Parameters
    ----------
    load
        Loads the settings.
    stderr
        Told once what is wrong with them, as no log is set up yet.

    Raises
    ------
    UsageError
        If they are still not valid after a few seconds.
    SystemExit
        If a stop is requested before.
    """
    deadline = time.monotonic() + SETTINGS_PATIENCE.total_seconds()
    is_told = False
    while True:
        try:
            return load()
        except UsageError as error:
            if time.monotonic() >= deadline:
                raise
            if not is_told:
                is_told = True
                reason = error.format_message()
                _write_event(stderr, logging.WARNING, "settings-awaited", error=reason)
        stop = find_stop()
        if stop is not None:
            _write_event(stderr, logging.INFO, "stopped-while-starting", number=stop)
            raise SystemExit(0)
        time.sleep(SETTINGS_INTERVAL.total_seconds())


def _write_event(stderr: TextIO, level: int, event: str, /, **ids: LogValue) -> None:
    stderr.write(f"{format_event('daemon', level, event, **ids)}\n")
    stderr.flush()
