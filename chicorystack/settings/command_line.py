"""Runs fire command lines: whole parse first, then the action, one line else.

fire runs a command before it looks at the words that follow, so commands
return an `Action`, which runs only once the whole line has been understood.
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

# Begins of fire's messages and what people read instead.
PLAIN_BY_FIRE_MESSAGE = {
    "Could not consume arg: ": "unknown argument: ",
    "The function received no value for the required argument: ": (
        "missing argument: "
    ),
    "Missing required flags: ": "missing arguments: ",
}
NOTICE_PATTERN = re.compile(r"^INFO: .*\n", re.MULTILINE)
OWN_GROUP_PATTERN = re.compile(
    r"^GROUPS\n    GROUP is one of the following:\n\n     FIRE_METADATA\n+",
    re.MULTILINE,
)


class CommandLineError(UserError):
    """The command line can't be understood."""


class Action:
    """What a command line asks for.

    It has no public members, so that fire takes no further word for one.
    """

    def __init__(self, check: Callable[[], object], run: Callable[[], None]):
        self._check = check
        self._run = run


class Words(NamedTuple):
    """A command line without the flags that all programs share.

    Attributes:
        words: What is left for fire.
        check_only: Whether settings are checked and nothing is run.
        version: Whether the version is wanted.
    """

    words: list[str]
    check_only: bool
    version: bool


def split_common_flags(arguments: list[str]) -> Words:
    """Takes `--check` and `--version` out of a command line."""
    common = (CHECK_FLAG, VERSION_FLAG)
    words = [word for word in arguments if word not in common]
    return Words(words, CHECK_FLAG in arguments, VERSION_FLAG in arguments)


def run_program(
    component: object,
    name: str,
    arguments: list[str] | None = None,
    check: Callable[[], object] | None = None,
) -> None:
    """Runs a command line; user errors become one line and exit code 2.

    Args:
        component: What fire offers; its commands return an Action.
        name: Name of the program.
        arguments: The words after the program's name; sys.argv's by default.
        check: Checks the settings where `--check` stands alone.
    """
    line = split_common_flags(sys.argv[1:] if arguments is None else arguments)
    if line.version:
        print(__version__)
        return
    try:
        _run_line(component, name, line, check)
    except UserError as error:
        print(f"{name}: {error}", file=sys.stderr)
        raise SystemExit(EXIT_USER_ERROR) from None


def _run_line(component, name: str, line: Words, check) -> None:
    if line.check_only and not line.words and check is not None:
        action = Action(check, check)
    else:
        action = _parse(component, name, line.words)
    if not isinstance(action, Action):
        return
    action._check()
    if line.check_only:
        print("settings are right")
        return
    action._run()


def _parse(component: object, name: str, words: list[str]) -> object:
    """Returns what the words ask for; prints the help where they ask for it.

    Raises:
        CommandLineError: If there is a word too many or too few.
    """
    os.environ.setdefault("PAGER", "cat")
    shown = io.StringIO()
    try:
        with contextlib.redirect_stderr(shown):
            return fire.Fire(
                component, command=words, name=name, serialize=_serialize
            )
    except FireExit as stop:
        if stop.code == 0 or any(word in HELP_FLAGS for word in words):
            print(_readable(shown.getvalue()))
            return None
        message = _plain(stop.trace.elements[-1].ErrorAsStr())
    raise CommandLineError(f"{message} (try {name} --help)")


def _serialize(result: object) -> object:
    return None if isinstance(result, Action) else result


def _readable(text: str) -> str:
    """Takes fire's notices and its own attribute out of a help text."""
    text = NOTICE_PATTERN.sub("", text)
    text = OWN_GROUP_PATTERN.sub("", text)
    return text.replace("GROUP | ", "").strip()


def _plain(message: str) -> str:
    for begin, plain in PLAIN_BY_FIRE_MESSAGE.items():
        if message.startswith(begin):
            return plain + message.removeprefix(begin)
    return message
