"""What operators can configure, and how it joins the settings of an instance.

The keys are those of the settings' file that may change without a restart,
such as ``routing.retry_budget_fraction``. A configured value goes before that of the
file, on every instance.
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
    """Why a value can't be configured.

    Attributes
    ----------
    key
        The key as it was typed.
    allowed
        What is allowed.
    """

    key: str
    allowed: str

    def format(self) -> str:
        """Return the problem for a person."""
        return f"{self.key} {self.allowed}"


def list_configurable_keys() -> tuple[str, ...]:
    """Return every key that operators can configure, in the order of the pages."""
    return tuple(
        f"{name}.{key}"
        for name, section in _DEFAULT_SECTIONS.items()
        for key in _list_keys(section)
    )


def check_configuration(
    statement: Configure,
) -> Result[None, tuple[ConfigurationProblem, ...]]:
    """Check every value before the command goes into the log.

    Parameters
    ----------
    statement
        What an operator wants to configure.

    Returns
    -------
    Result
        Nothing, or everything that is wrong.
    """
    problems = [
        problem
        for one in statement.assignments
        if (problem := _check_value(one.key, one.value)) is not None
    ]
    return Failure(tuple(problems)) if problems else Success(None)


def overlay_configuration(settings: Settings, configuration: Configuration) -> Settings:
    """Return ``settings`` with what operators configured put over the file's values.

    Parameters
    ----------
    settings
        As read from the file.
    configuration
        The version in force.
    """
    sections = {
        name: _overlay_section(getattr(settings, name), name, configuration.values)
        for name in _DEFAULT_SECTIONS
    }
    return _keep_deadlines_in_order(settings.model_copy(update=sections))


def _keep_deadlines_in_order(settings: Settings) -> Settings:
    # Each value was checked alone, so that a version once accepted can be put
    # in force over any file.
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
