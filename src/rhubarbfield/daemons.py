"""Startup and settings handling shared by the two daemons."""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path

from returns.result import Failure, Success

from rhubarbfield.exceptions import UsageError
from rhubarbfield.fleet import Configuration, ConfigurationInForce
from rhubarbfield.intake import BYTES_IN_MB, IntakeLimits, choose_limits
from rhubarbfield.logs import set_level
from rhubarbfield.peering import Credentials, find_least_bytes
from rhubarbfield.settings import Settings, reload_settings
from rhubarbfield.settings.secrets import Secret, load_secret

logger = logging.getLogger(__name__)


def load_credentials(settings: Settings) -> tuple[Secret, Credentials]:
    """Return the shared secret and the credentials for connections to peers.

    Raises
    ------
    UsageError
        If the secret can't be read.
    """
    loaded = load_secret(settings.secret_file)
    match loaded:
        case Success(secret):
            return secret, _make_credentials(settings, secret)
        case Failure(errors):
            raise UsageError(errors.format())
    raise AssertionError


def _make_credentials(settings: Settings, secret: Secret) -> Credentials:
    tls = settings.tls
    if tls is None:
        return Credentials(secret=secret.decode())
    return Credentials(
        secret=secret.decode(),
        certificate_file=Path(tls.certificate_file),
        key_file=Path(tls.key_file),
        authority_file=Path(tls.authority_file),
    )


def make_intake_limits(settings: Settings) -> IntakeLimits:
    """Return the limits of what clients may make a daemon hold."""
    return choose_limits(
        memory_mb=None,
        held_mb=settings.limits.held_requests_mb,
        least_bytes=find_least_bytes(
            round(settings.routing.largest_request_mb * BYTES_IN_MB)
        ),
    )


class SettingsInForce:
    """Settings of a running instance.

    Values that operators configured override those of the file. Changes of
    either take effect without a restart.

    Parameters
    ----------
    settings
        Settings read from the file at startup.
    apply
        Called with the settings in force after each change.
    """

    def __init__(self, settings: Settings, apply: Callable[[Settings], None]) -> None:
        self._file_settings = settings
        self._in_force = ConfigurationInForce(settings)
        self._apply = apply

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._in_force.configuration

    def offer(self, configuration: Configuration) -> None:
        """Put ``configuration`` in force if it is newer."""
        if self._in_force.offer(configuration):
            logger.info("configuration-in-force version=%d", configuration.version)
            self._apply_settings()

    def reload(self) -> None:
        """Read the file again; change nothing if the file has any error."""
        match reload_settings(self._file_settings):
            case Success(settings):
                self._file_settings = settings
                self._in_force.reload(settings)
                logger.info("settings-reloaded")
                self._apply_settings()
            case Failure(errors):
                logger.error("settings-refused %s", errors.format())

    def _apply_settings(self) -> None:
        settings = self._in_force.settings
        set_level(settings.logging.level)
        self._apply(settings)
