"""Reads a settings type from command-line flags and environment variables.

Each field of a settings NamedTuple is a flag (`--log_url`) and an environment
variable (`CHICORY_LOG_URL`). A flag overrides the variable, and the variable
overrides the default.
"""

import difflib
import functools
import inspect
import os
from collections.abc import Callable, Mapping
from typing import TypeVar, get_type_hints

import msgspec
from fire.decorators import SetParseFn

from chicorystack.errors import UserError
from chicorystack.settings import types
from chicorystack.settings.command_line import Action

ENVIRONMENT_PREFIX = "CHICORY_"
# Minimum similarity, from 0 to 1, for an unknown name to count as a typo.
TYPO_SIMILARITY = 0.7

SettingsT = TypeVar("SettingsT")


class SettingsError(UserError):
    """A setting is missing, unknown or has the wrong type."""


class _Required:
    """Shown in help texts as the default of a setting that has none."""

    def __repr__(self) -> str:
        return "required"


REQUIRED = _Required()


def load_settings(
    settings_type: type[SettingsT],
    flags: Mapping[str, object],
    environ: Mapping[str, str],
) -> SettingsT:
    """Returns validated settings.

    Raises:
        SettingsError: If a value is missing or of the wrong type, or if a
            variable looks like a misspelt setting.
    """
    _check_variable_names(environ)
    hints = get_type_hints(settings_type, include_extras=True)
    defaults = settings_type._field_defaults
    values = []
    for name in settings_type._fields:
        variable = ENVIRONMENT_PREFIX + name.upper()
        if flags.get(name) is not None:
            source, raw = f"flag --{name}", str(flags[name])
        elif variable in environ:
            source, raw = f"environment variable {variable}", environ[variable]
        elif name in defaults:
            values.append(defaults[name])
            continue
        else:
            raise SettingsError(f"--{name} (or {variable}) is required")
        values.append(_convert(name, raw, hints[name], source))
    return settings_type(*values)


def _check_variable_names(environ: Mapping[str, str]) -> None:
    """Rejects variables whose names look like misspelt settings.

    Other variables with the prefix are ignored, because platforms set some of
    their own.
    """
    known = {
        name.upper()
        for settings_type in types.SETTINGS_TYPES
        for name in settings_type._fields
    }
    for variable in sorted(environ):
        name = variable.removeprefix(ENVIRONMENT_PREFIX)
        if name == variable or name in known:
            continue
        for suggestion in difflib.get_close_matches(
            name, known, 1, TYPO_SIMILARITY
        ):
            raise SettingsError(
                f"unknown environment variable {variable}; "
                f"did you mean {ENVIRONMENT_PREFIX}{suggestion}?"
            )


def _convert(name: str, raw: str, expected_type: type, source: str) -> object:
    try:
        return types.convert(raw, expected_type)
    except msgspec.ValidationError as error:
        expected = types.describe(expected_type) or str(error)
        got = "a secret" if name in types.SECRET_FIELDS else f"'{raw}'"
        raise SettingsError(f"{source}: {expected}; got {got}") from error


def settings_command(
    settings_type: type[SettingsT], run: Callable[[SettingsT], None]
) -> Callable[..., Action]:
    """Returns a fire command that has each setting as a flag."""

    def command(**flags: object) -> Action:
        def load() -> SettingsT:
            return load_settings(settings_type, flags, os.environ)

        return Action(check=load, run=lambda: run(load()))

    hints = get_type_hints(settings_type)
    defaults = settings_type._field_defaults
    parameters = [
        inspect.Parameter(
            name,
            inspect.Parameter.KEYWORD_ONLY,
            default=defaults.get(name, REQUIRED),
            annotation=hints[name],
        )
        for name in settings_type._fields
    ]
    command.__signature__ = inspect.Signature(parameters)
    command.__doc__ = inspect.getdoc(settings_type)
    return SetParseFn(str)(command)


def typed_command(function: Callable[..., Action]) -> Callable[..., Action]:
    """Makes a method a fire command that checks arguments by their types.

    Otherwise fire would guess types from the values: `1e3` becomes a float, and
    a customer's key `007` becomes a number.
    """
    hints = get_type_hints(function, include_extras=True)
    signature = inspect.signature(function)

    @SetParseFn(str)
    @functools.wraps(function)
    def command(*arguments: object, **flags: object) -> Action:
        bound = signature.bind(*arguments, **flags)
        for name, raw in bound.arguments.items():
            # Other values are defaults and need no conversion.
            if isinstance(raw, str):
                value = _convert(name, raw, hints[name], name)
                bound.arguments[name] = value
        return function(*bound.args, **bound.kwargs)

    return command
