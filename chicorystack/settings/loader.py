"""Reads a settings type from command-line flags and environment variables.

Each field of a settings NamedTuple is a flag (`--log_url`) and an environment
variable (`CHICORY_LOG_URL`); a flag goes before the variable, a variable
before the default.
"""

import inspect
import os
import sys
from collections.abc import Callable, Mapping
from typing import TypeVar, get_type_hints

import fire
import msgspec

from chicorystack import __version__
from chicorystack.errors import UserError

ENVIRONMENT_PREFIX = "CHICORY_"
EXIT_USER_ERROR = 2
# Flags without a value; fire would take the next word for their value.
SWITCHES = ("--json", "--check", "--version")

SettingsT = TypeVar("SettingsT")


class SettingsError(UserError):
    """A setting is missing or has the wrong type."""


def load_settings(
    settings_type: type[SettingsT],
    flags: Mapping[str, object],
    environ: Mapping[str, str],
) -> SettingsT:
    """Returns checked settings.

    Raises:
        SettingsError: If a value is missing or of the wrong type.
    """
    hints = get_type_hints(settings_type)
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
        values.append(_convert(raw, hints[name], source))
    return settings_type(*values)


def _convert(raw: str, kind: type, source: str) -> object:
    try:
        return msgspec.convert(raw, kind, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{source}: {error}; got '{raw}'") from error


def settings_command(
    settings_type: type[SettingsT], run: Callable[[SettingsT], None]
) -> Callable[..., None]:
    """Returns a function for fire that has each setting as a flag.

    Two more flags exist: `--version` prints the version, and `--check` reads
    the settings, says whether they are right, and starts nothing.
    """

    def command(**flags: object) -> None:
        if flags.pop("version", None):
            print(__version__)
            return
        check_only = flags.pop("check", None)
        settings = load_settings(settings_type, flags, os.environ)
        if check_only:
            print("settings are right")
            return
        run(settings)

    parameters = [
        inspect.Parameter(name, inspect.Parameter.KEYWORD_ONLY, default=None)
        for name in (*settings_type._fields, "check", "version")
    ]
    command.__signature__ = inspect.Signature(parameters)
    command.__doc__ = inspect.getdoc(settings_type)
    return command


def run_program(component: object, name: str) -> None:
    """Runs a fire command line; user errors become one line and exit code 2."""
    arguments = [
        f"{word}=True" if word in SWITCHES else word for word in sys.argv[1:]
    ]
    os.environ.setdefault("PAGER", "cat")
    try:
        fire.Fire(component, command=arguments, name=name)
    except UserError as error:
        raise SystemExit(_report(name, error)) from None


def _report(name: str, error: UserError) -> int:
    print(f"{name}: {error}", file=sys.stderr)
    return EXIT_USER_ERROR
