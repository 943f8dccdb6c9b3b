"""Settings of a daemon that are absent or half written when it starts."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from datetime import timedelta
from typing import TextIO, TypeVar

from rhubarbfield.earlysignals import find_stop
from rhubarbfield.exceptions import UsageError
from rhubarbfield.logs import format_event

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
        If they are still not valid after a few seconds, or when a stop is requested.
    """
    deadline = time.monotonic() + SETTINGS_PATIENCE.total_seconds()
    is_told = False
    while True:
        try:
            return load()
        except UsageError as error:
            if time.monotonic() >= deadline or find_stop() is not None:
                raise
            if not is_told:
                is_told = True
                reason = error.format_message()
                event = format_event(
                    "daemon", logging.WARNING, "settings-awaited", error=reason
                )
                stderr.write(f"{event}\n")
                stderr.flush()
        time.sleep(SETTINGS_INTERVAL.total_seconds())
