"""Log lines of daemons that fail, also before their settings are known."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from rhubarbfield.cli.program import find_error, find_exit_code
from rhubarbfield.exceptions import UsageError


def log_failure(name: str, error: Exception) -> None:
    """Log the error that ends a daemon, with the exit code.

    Parameters
    ----------
    name
        Name of the daemon in logs.
    error
        The error; a wrong setting, port or file refuses the start.
    """
    from rhubarbfield.logs import get_logger, log_event

    logger, code = get_logger(name), find_exit_code(error)
    usage, system = find_error(error, UsageError), find_error(error, OSError)
    if usage is not None:
        text = usage.format_message()
        log_event(logger, logging.ERROR, "daemon-refused", error=text, code=code)
    elif system is not None:
        logger.error("daemon-refused code=%d", code, exc_info=system)
    else:
        logger.error("daemon-failed code=%d", code, exc_info=error)


@contextmanager
def log_failed_start(
    name: str, configure: Callable[[], logging.Handler]
) -> Iterator[None]:
    """Log an error that is raised before the log is configured by the settings.

    Parameters
    ----------
    name
        Name of the daemon in logs.
    configure
        Configures the log in another way.
    """
    try:
        yield
    except Exception as error:
        handler = configure()
        log_failure(name, error)
        handler.close()
        raise
