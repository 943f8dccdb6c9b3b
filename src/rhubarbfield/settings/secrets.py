"""The secret shared by peers and operators."""

from __future__ import annotations

from pathlib import Path
from typing import NewType

from returns.result import Failure, Result, Success

from rhubarbfield.settings.problems import SettingsErrors, SettingsProblem

MIN_SECRET_BYTES = 32
MAX_SECRET_BYTES = 1_024

Secret = NewType("Secret", bytes)


def load_secret(path: str | Path) -> Result[Secret, SettingsErrors]:
    """Read the shared secret without the white space around it.

    Parameters
    ----------
    path
        Path of the file with the secret.

    Returns
    -------
    Result
        The secret, or why the file can't be used. The error never contains
        the secret.
    """
    try:
        with Path(path).open("rb") as file:
            secret = file.read(MAX_SECRET_BYTES + 1).strip()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "not a usable name"
        return _refuse(path, f"cannot be read: {reason}")
    if not MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
        return _refuse(
            path,
            f"a secret has {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes",
        )
    if not secret.isascii() or not secret.decode().isprintable():
        return _refuse(path, "a secret is one line of printable ASCII characters")
    return Success(Secret(secret))


def _refuse(path: str | Path, allowed: str) -> Result[Secret, SettingsErrors]:
    problem = SettingsProblem("secret_file", 0, "", allowed)
    return Failure(SettingsErrors(str(path), (problem,)))
