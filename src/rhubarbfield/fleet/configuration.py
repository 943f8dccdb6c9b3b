"""Keys that operators can configure, and their overlay over an instance's settings.

The keys are those of the settings file that may change without a restart,
such as ``routing.retry_budget_fraction``. A configured value overrides that of
the file on every instance.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec
from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success

from rhubarbfield.fleet.state import UNSET_VALUE, Configuration
from rhubarbfield.language import Configure, Value
from rhubarbfield.language.problems import find_nearest
from rhubarbfield.settings import (
    Logging,
    Placement,
    PlacementProfile,
    Routing,
    Settings,
    Weights,
)
from rhubarbfield.settings.loading import describe_error

_DEFAULT_SECTIONS: dict[str, BaseModel] = {
    "routing": Routing(),
    "placement": Placement(profile=PlacementProfile.LENDING, weights=Weights()),
    "logging": Logging(),
}


class ConfigurationProblem(msgspec.Struct, frozen=True):
    """A value that can't be configured, and what is allowed instead.

    Attributes
    ----------
    key
        The key as typed.
    allowed
        The values that are allowed, or why the key can't be configured.
    """

    key: str
    allowed: str

    def format(self) -> str:
        """Return the problem as a sentence for the operator."""
        return f"{self.key} {self.allowed}"


def list_configurable_keys() -> tuple[str, ...]:
    """Return the keys that operators can configure, in the documented order."""
    return tuple(
        f"{name}.{key}"
        for name, section in _DEFAULT_SECTIONS.items()
        for key in _list_keys(section)
    )


def check_configuration(
    statement: Configure,
) -> Result[None, tuple[ConfigurationProblem, ...]]:
    """Check every value before the command is committed to the log.

    Parameters
    ----------
    statement
        An operator's statement with the keys and values to set.

    Returns
    -------
    Result
        Success, or every problem found.
    """
    problems = [
        problem
        for one in statement.assignments
        if (problem := _check_value(one.key, one.value)) is not None
    ]
    return Failure(tuple(problems)) if problems else Success(None)


def overlay_configuration(settings: Settings, configuration: Configuration) -> Settings:
    """Return ``settings`` with operators' values in place of the file's.

    Parameters
    ----------
    settings
        Settings as read from the file.
    configuration
        The version in force.
    """
    sections = {
        name: _overlay_section(getattr(settings, name), name, configuration.values)
        for name in _DEFAULT_SECTIONS
    }
    return _clamp_default_deadline(settings.model_copy(update=sections))


def _clamp_default_deadline(settings: Settings) -> Settings:
    # Each value is checked on its own, so that an accepted version can be put in
    # force over any settings file. The default deadline may then exceed the
    # longest one.
    routing = settings.routing
    if routing.default_request <= routing.longest_request:
        return settings
    routing = routing.model_copy(update={"default_request": routing.longest_request})
    return settings.model_copy(update={"routing": routing})


def _list_keys(section: BaseModel) -> Iterator[str]:
    for name, field in type(section).model_fields.items():
        value = getattr(section, name)
        if isinstance(value, BaseModel):
            yield from (f"{name}.{key}" for key in _list_keys(value))
        else:
            yield field.alias or name


def _check_value(key: str, value: Value) -> ConfigurationProblem | None:
    known = list_configurable_keys()
    if key not in known:
        nearest = find_nearest(key, known)
        hint = f"; did you mean {nearest}?" if nearest else ""
        return ConfigurationProblem(key, f"can't be configured{hint}")
    if value == UNSET_VALUE:
        return None
    name, _, path = key.partition(".")
    try:
        _replace(_DEFAULT_SECTIONS[name], {path: value})
    except ValidationError as error:
        allowed = describe_error(error.errors(include_url=False)[0])
        return ConfigurationProblem(key, allowed)
    return None


def _overlay_section(
    section: BaseModel, name: str, values: Mapping[str, Value]
) -> BaseModel:
    if isinstance(section, Placement):
        section = section.model_copy(update={"weights": section.effective_weights})
    own = {
        key.removeprefix(f"{name}."): value
        for key, value in values.items()
        if key.startswith(f"{name}.")
    }
    return _replace(section, own) if own else section


def _replace(section: BaseModel, values: Mapping[str, Value]) -> BaseModel:
    content: dict[str, Any] = section.model_dump(by_alias=True)
    for path, value in values.items():
        *parents, key = path.split(".")
        target = content
        for parent in parents:
            target = target[parent]
        target[key] = value
    return type(section).model_validate(content)
