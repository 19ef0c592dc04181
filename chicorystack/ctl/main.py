"""The chicory-ctl program: the operators' commands with their help."""

import argparse
import json
import os
import sys
from collections.abc import Awaitable, Callable

from chicorystack import defaults
from chicorystack.config.check import check_text
from chicorystack.ctl import audit, configuration, customers, fleet
from chicorystack.ctl.session import CommandError, Session, run_command
from chicorystack.settings.command_line import Action, run_program
from chicorystack.settings.loader import load_settings, typed_command
from chicorystack.settings.types import CtlSettings

Flags = dict[str, str | None]


class Ctl:
    """Operates a chicorystack fleet.

    Settings, as flags or as environment variables: --log_url
    (CHICORY_LOG_URL), --vm_list_url (CHICORY_VM_LIST_URL), --operator
    (CHICORY_OPERATOR, your name in the audit trail) and the fleet token, best
    in the environment as CHICORY_FLEET_TOKEN, because flags show in the list
    of processes. --json prints one JSON value for programs, --check checks
    the settings and does nothing else, --version prints the version.
    """

    def __init__(self, flags: Flags, as_json: bool):
        self._flags = flags
        self._as_json = as_json

    @typed_command
    def check(self, file: str) -> Action:
        """Checks a configuration file; needs no fleet and changes nothing.

        Args:
            file: Path of the file.
        """

        def run() -> None:
            check_text(configuration.read_text(file), file)
            self._print({"file": file, "ok": True}, f"{file}: right")

        return Action(check=lambda: None, run=run)

    @typed_command
    def publish(
        self, file: str, replaces: int | None = None, move_keys: bool = False
    ) -> Action:
        """Publishes a configuration file.

        Args:
            file: Path of the file.
            replaces: Version that you mean to replace; the one in force if
                left out. Where another operator was first, nothing changes.
            move_keys: Also publishes where unrepeatable calls pass to other
                targets; an order sent again within 10 minutes may then run
                twice.
        """
        return self._action(
            lambda session: configuration.publish(
                session, file, replaces, move_keys
            ),
            lambda result: f"version {result['version']} is published",
        )

    def show(self) -> Action:
        """Prints the configuration in force."""
        return self._action(configuration.show, lambda record: record["text"])

    @typed_command
    def create_customer(self, customer: str) -> Action:
        """Creates a customer and prints its secret key, this once.

        Args:
            customer: Name; an existing customer gets a new key.
        """
        return self._action(
            lambda session: customers.create(session, customer),
            lambda result: result["key"],
        )

    @typed_command
    def top_up(
        self,
        customer: str,
        tokens: int,
        budget: str = defaults.DEFAULT_BUDGET,
        id: str = "",
    ) -> Action:
        """Adds tokens to a customer's budget.

        Args:
            customer: Name of the customer.
            tokens: Number of tokens.
            budget: Name of the budget.
            id: Id of this top-up; sent again with the same id it counts once.
        """
        return self._action(
            lambda session: customers.top_up(
                session, customer, tokens, budget, id
            ),
            customers.print_top_up,
        )

    @typed_command
    def budget(self, customer: str) -> Action:
        """Shows a customer's budgets.

        Args:
            customer: Name of the customer.
        """
        return self._action(
            lambda session: customers.budgets(session, customer),
            customers.print_budgets,
        )

    def status(self) -> Action:
        """Shows VMs, versions in force, keepers, targets and violations."""
        return self._action(fleet.read_status, fleet.print_status)

    @typed_command
    def audit(
        self, customer: str = "", limit: int = 0, diff: bool = False
    ) -> Action:
        """Shows who changed what and when, by the log's order.

        Args:
            customer: Only this customer's changes.
            limit: Only so many of the newest changes; 0 for all.
            diff: Shows the lines that each configuration changed.
        """
        wanted = audit.AuditFilter(customer, limit)
        return self._action(
            lambda session: audit.read_changes(session, wanted),
            lambda changes: audit.print_changes(changes, diff),
        )

    @typed_command
    def explain(self, key: str, customer: str = "") -> Action:
        """Tells why a request went where it went, was retried or refused.

        Args:
            key: The caller's key, with its customer; or without a customer
                the request's id, from the answer's Chicory-Request header.
            customer: Name of the customer.
        """
        return self._action(
            lambda session: fleet.read_story(session, key, customer),
            fleet.print_story,
        )

    def _action(
        self,
        command: Callable[[Session], Awaitable[object]],
        text_of: Callable[[object], str],
    ) -> Action:
        def run() -> None:
            result = run_command(self._flags, command)
            self._print(result, text_of(result))

        return Action(check=self._check_settings, run=run)

    def _check_settings(self) -> None:
        load_settings(CtlSettings, self._flags, os.environ)

    def _print(self, message: object, text: str) -> None:
        print(json.dumps(message) if self._as_json else text)


def _split_flags(arguments: list[str]) -> tuple[Flags, bool, list[str]]:
    """Returns settings flags, whether JSON is wanted, and the other words.

    fire would take them in front of the command only and hide the commands
    from `--help`.
    """
    parser = argparse.ArgumentParser(add_help=False, allow_abbrev=False)
    for name in CtlSettings._fields:
        parser.add_argument(f"--{name}")
    parser.add_argument("--json", action="store_true")
    # A flag without its value is left over, and refused as unknown.
    parser.exit_on_error = False
    try:
        found, words = parser.parse_known_args(arguments)
    except argparse.ArgumentError as error:
        raise CommandError(str(error)) from error
    flags = vars(found)
    return flags, flags.pop("json"), words


def main() -> None:
    """Entry point of chicory-ctl."""
    try:
        flags, as_json, words = _split_flags(sys.argv[1:])
    except CommandError as error:
        print(f"chicory-ctl: {error}", file=sys.stderr)
        raise SystemExit(2) from None
    ctl = Ctl(flags, as_json)
    run_program(ctl, "chicory-ctl", words, ctl._check_settings)
