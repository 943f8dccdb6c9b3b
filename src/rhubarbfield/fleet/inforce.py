"""The configuration that a process has in force."""

from __future__ import annotations

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.fleet.configuration import overlay_configuration
from rhubarbfield.fleet.state import Configuration
from rhubarbfield.settings import Settings


class ConfigurationInForce:
    """Keeps the newest of the configurations offered, which come in any order.

    Parameters
    ----------
    settings
        Settings as read from the file, which the configuration overrides.
    """

    def __init__(self, settings: Settings) -> None:
        self._file_settings = settings
        self._configuration = Configuration()
        self._settings = settings

    @property
    def configuration(self) -> Configuration:
        """The version in force."""
        return self._configuration

    @property
    def settings(self) -> Settings:
        """The settings in force, including the configuration."""
        return self._settings

    def offer(self, configuration: Configuration) -> bool:
        """Put ``configuration`` in force if it is newer.

        Parameters
        ----------
        configuration
            An accepted version of any age.

        Returns
        -------
        bool
            Whether ``configuration`` was put in force.
        """
        if configuration.version == self._configuration.version:
            check_invariant(
                configuration == self._configuration,
                "configuration-version-unique",
                f"two different configurations have version {configuration.version}",
            )
        if configuration.version <= self._configuration.version:
            return False
        self._configuration = configuration
        self._settings = overlay_configuration(self._file_settings, configuration)
        return True

    def reload(self, settings: Settings) -> None:
        """Replace the settings of the file, which the caller has checked.

        Parameters
        ----------
        settings
            Settings for which :func:`rhubarbfield.settings.diff_reloadable` succeeds.
        """
        self._file_settings = settings
        self._settings = overlay_configuration(settings, self._configuration)
