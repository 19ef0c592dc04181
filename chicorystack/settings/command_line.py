"""Runs fire command lines; a command runs only after all arguments parse.

fire calls a command before it parses the arguments that follow. Commands
therefore return an `Action`, which runs only once the whole command line has
been parsed. User errors are printed as one line.
"""

import contextlib
import io
import os
import re
import sys
from collections.abc import Callable
from typing import NamedTuple

import fire
from fire.core import FireExit

from chicorystack import __version__
from chicorystack.errors import UserError

EXIT_USER_ERROR = 2
HELP_FLAGS = ("-h", "--help")
CHECK_FLAG = "--check"
VERSION_FLAG = "--version"

# Prefixes of fire's error messages and the prefixes that replace them.
PREFIX_BY_FIRE_PREFIX = {
    "Could not consume arg: ": "unknown argument: ",
    "The function received no value for the required argument: ": (
        "missing argument: "
    ),
    "Missing required flags: ": "missing arguments: ",
}
INFO_LINE_PATTERN = re.compile(r"^INFO: .*\n", re.MULTILINE)
METADATA_GROUP_PATTERN = re.compile(
    r"^GROUPS\n    GROUP is one of the following:\n\n     FIRE_METADATA\n+",
    re.MULTILINE,
)


class CommandLineError(UserError):
    """The command line is invalid."""


class Action:
    """The action that a command line selects.

    It has no public members, because fire would treat them as subcommands.
    """

    def __init__(self, check: Callable[[], object], run: Callable[[], None]):
        self._check = check
        self._run = run


class ParsedArguments(NamedTuple):
    """Command-line arguments, separated from the flags of all programs.

    Attributes:
        rest: Arguments that are passed to fire.
        check_only: Whether to check the settings without running anything.
        version: Whether to print the version.
    """

    rest: list[str]
    check_only: bool
    version: bool


def split_common_flags(arguments: list[str]) -> ParsedArguments:
    """Separates `--check` and `--version` from the other arguments."""
    common = (CHECK_FLAG, VERSION_FLAG)
    rest = [argument for argument in arguments if argument not in common]
    return ParsedArguments(
        rest, CHECK_FLAG in arguments, VERSION_FLAG in arguments
    )


def run_program(
    component: object,
    name: str,
    arguments: list[str] | None = None,
    check: Callable[[], object] | None = None,
) -> None:
    """Runs a command line; user errors print one line and exit with code 2.

    Args:
        component: fire component; its commands return an Action.
        name: Name of the program.
        arguments: Arguments after the program's name; by default those of
            sys.argv.
        check: Checks the settings if `--check` is given without a command.
    """
    parsed = split_common_flags(
        sys.argv[1:] if arguments is None else arguments
    )
    if parsed.version:
        print(__version__)
        return
    try:
        _run_arguments(component, name, parsed, check)
    except UserError as error:
        print(f"{name}: {error}", file=sys.stderr)
        raise SystemExit(EXIT_USER_ERROR) from None


def _run_arguments(
    component, name: str, parsed: ParsedArguments, check
) -> None:
    if parsed.check_only and not parsed.rest and check is not None:
        action = Action(check, check)
    else:
        action = _parse(component, name, parsed.rest)
    if not isinstance(action, Action):
        return
    action._check()
    if parsed.check_only:
        print("settings are valid")
        return
    action._run()


def _parse(component: object, name: str, arguments: list[str]) -> object:
    """Returns the result of the selected command; prints requested help.

    Raises:
        CommandLineError: If an argument is missing or unknown.
    """
    os.environ.setdefault("PAGER", "cat")
    output = io.StringIO()
    try:
        with contextlib.redirect_stderr(output):
            return fire.Fire(
                component, command=arguments, name=name, serialize=_serialize
            )
    except FireExit as fire_exit:
        if fire_exit.code == 0 or any(
            argument in HELP_FLAGS for argument in arguments
        ):
            print(_clean_help(output.getvalue()))
            return None
        message = _replace_prefix(fire_exit.trace.elements[-1].ErrorAsStr())
    raise CommandLineError(f"{message} (try {name} --help)")


def _serialize(result: object) -> object:
    return None if isinstance(result, Action) else result


def _clean_help(text: str) -> str:
    """Removes fire's INFO lines and FIRE_METADATA from a help text."""
    text = INFO_LINE_PATTERN.sub("", text)
    text = METADATA_GROUP_PATTERN.sub("", text)
    return text.replace("GROUP | ", "").strip()


def _replace_prefix(message: str) -> str:
    for fire_prefix, prefix in PREFIX_BY_FIRE_PREFIX.items():
        if message.startswith(fire_prefix):
            return prefix + message.removeprefix(fire_prefix)
    return message
