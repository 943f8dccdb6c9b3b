"""The configuration that one process has in force."""

from __future__ import annotations

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.fleet.configuration import overlay_configuration
from rhubarbfield.fleet.state import Configuration
from rhubarbfield.settings import Settings


class ConfigurationInForce:
    """Takes configurations in any order and never goes back to an older one.

    Parameters
    ----------
    settings
        As read from the file; what is configured goes before it.
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
        """The settings in force, the configuration included."""
        return self._settings

    def offer(self, configuration: Configuration) -> bool:
        """Put ``configuration`` in force if it is newer.

        Parameters
        ----------
        configuration
            A version that was accepted, however old.

        Returns
        -------
        bool
            Whether anything changed.
        """
        if configuration.version == self._configuration.version:
            check_invariant(
                configuration == self._configuration,
                "configuration-version-unique",
                f"two configurations {configuration.version}",
            )
        if configuration.version <= self._configuration.version:
            return False
        self._configuration = configuration
        self._settings = overlay_configuration(self._file_settings, configuration)
        return True

    def reload(self, settings: Settings) -> None:
        """Take over other settings of the file, which were checked before.

        Parameters
        ----------
        settings
            Such that :func:`rhubarbfield.settings.diff_reloadable` succeeds.
        """
        self._file_settings = settings
        self._settings = overlay_configuration(settings, self._configuration)
