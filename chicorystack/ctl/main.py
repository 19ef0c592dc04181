"""The chicory-ctl program: its commands and their help texts."""

import argparse
import json
import os
import sys
from collections.abc import Awaitable, Callable

from chicorystack import defaults
from chicorystack.ctl import (
    audit,
    checks,
    configuration,
    customers,
    evacuation,
    fleet,
)
from chicorystack.ctl.session import CommandError, Session, run_command
from chicorystack.errors import UserError
from chicorystack.settings.command_line import Action, run_program
from chicorystack.settings.loader import load_settings, typed_command
from chicorystack.settings.types import CtlSettings

EXIT_FOUND_ERRORS = 1
Flags = dict[str, str | None]


class Ctl:
    """Operates a chicorystack fleet.

    Settings are flags or environment variables: --log_url (CHICORY_LOG_URL),
    --vm_list_url (CHICORY_VM_LIST_URL), --operator (CHICORY_OPERATOR, your
    name in the audit trail) and the fleet token. Set the token in the
    environment as CHICORY_FLEET_TOKEN, because the list of processes shows
    flags. --json prints the result as one JSON value, --check only checks the
    settings, --version prints the version.
    """

    def __init__(self, flags: Flags, as_json: bool):
        self._flags = flags
        self._as_json = as_json

    @typed_command
    def check(self, file: str, offline: bool = False) -> Action:
        """Checks a configuration file and compares it with that in force.

        The exit code is 1 if it has errors, 0 if it has warnings only.

        Args:
            file: Path of the file; one that ends in .json is a configuration
                of the platform's operator, and is not compared.
            offline: Leaves out the comparison, which needs the log service.
        """
        offline = offline or checks.is_gateway_file(file)

        def run() -> None:
            report = checks.check_file(file)
            if not offline and report.config is not None:
                report = self._compare_with_in_force(report)
            self._print_report(report)
            if report.has_errors:
                raise SystemExit(EXIT_FOUND_ERRORS)

        settings_check = (lambda: None) if offline else self._check_settings
        return Action(check=settings_check, run=run)

    def _compare_with_in_force(
        self, report: checks.CheckReport
    ) -> checks.CheckReport:
        try:
            in_force = run_command(self._flags, configuration.read_in_force)
        except UserError as error:
            self._print_report(report)
            raise CommandError(
                f"the version in force can't be read: {error}; --offline "
                "leaves out the comparison"
            ) from error
        return checks.compare(report, in_force)

    def _print_report(self, report: checks.CheckReport) -> None:
        self._print(checks.to_json(report), checks.format_report(report))

    @typed_command
    def publish(
        self, file: str, replaces: int | None = None, move_keys: bool = False
    ) -> Action:
        """Publishes a configuration file.

        Args:
            file: Path of the file.
            replaces: Version to replace; by default the one in force. If
                another operator has already replaced it, nothing changes.
            move_keys: Publishes even if non-idempotent calls move to other
                targets; a call repeated within 10 minutes may then run twice.
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
    def evacuate(self, data_centre: str) -> Action:
        """Stops new calls to all targets of a data centre.

        Calls in progress may finish there.

        Args:
            data_centre: Name of the data centre.
        """
        return self._action(
            lambda session: evacuation.change(session, data_centre, True),
            evacuation.format_result,
        )

    @typed_command
    def restore(self, data_centre: str) -> Action:
        """Lets new calls go to the targets of an evacuated data centre again.

        Args:
            data_centre: Name of the data centre.
        """
        return self._action(
            lambda session: evacuation.change(session, data_centre, False),
            evacuation.format_result,
        )

    @typed_command
    def create_customer(self, customer: str) -> Action:
        """Creates a customer and prints its secret key, shown only once.

        Args:
            customer: Name; the key of an existing customer is replaced.
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
            id: Id of this top-up; repeated with the same id it counts once.
        """
        return self._action(
            lambda session: customers.top_up(
                session, customer, tokens, budget, id
            ),
            customers.format_top_up,
        )

    @typed_command
    def budget(self, customer: str) -> Action:
        """Shows a customer's budgets.

        Args:
            customer: Name of the customer.
        """
        return self._action(
            lambda session: customers.budgets(session, customer),
            customers.format_budgets,
        )

    def status(self) -> Action:
        """Shows VMs, config versions, keepers, targets and violations."""
        return self._action(fleet.read_status, fleet.format_status)

    @typed_command
    def audit(
        self, customer: str = "", limit: int = 0, diff: bool = False
    ) -> Action:
        """Shows who changed what and when, in the order of the log.

        Args:
            customer: Shows only changes of this customer.
            limit: Maximum number of changes, the newest ones; 0 for all.
            diff: Shows the changed lines of each configuration.
        """
        audit_filter = audit.AuditFilter(customer, limit)
        return self._action(
            lambda session: audit.read_changes(session, audit_filter),
            lambda changes: audit.format_changes(changes, diff),
        )

    @typed_command
    def explain(self, key: str, customer: str = "") -> Action:
        """Explains how a request was routed, retried or refused.

        Args:
            key: Idempotency key of the request if the customer is given,
                otherwise its id from the response's Chicory-Request header.
            customer: Name of the customer.
        """
        return self._action(
            lambda session: fleet.read_trace(session, key, customer),
            fleet.format_trace,
        )

    def _action(
        self,
        command: Callable[[Session], Awaitable[object]],
        format_result: Callable[[object], str],
    ) -> Action:
        def run() -> None:
            result = run_command(self._flags, command)
            self._print(result, format_result(result))

        return Action(check=self._check_settings, run=run)

    def _check_settings(self) -> None:
        load_settings(CtlSettings, self._flags, os.environ)

    def _print(self, result: object, text: str) -> None:
        print(json.dumps(result) if self._as_json else text)


def _split_flags(arguments: list[str]) -> tuple[Flags, bool, list[str]]:
    """Returns settings flags, whether to print JSON, and other arguments.

    fire would accept these flags only before the command, and would hide the
    commands in `--help`.
    """
    parser = argparse.ArgumentParser(add_help=False, allow_abbrev=False)
    for name in CtlSettings._fields:
        parser.add_argument(f"--{name}")
    parser.add_argument("--json", action="store_true")
    # Raises ArgumentError instead of exiting, for example for a missing value.
    parser.exit_on_error = False
    try:
        options, rest = parser.parse_known_args(arguments)
    except argparse.ArgumentError as error:
        raise CommandError(str(error)) from error
    flags = vars(options)
    return flags, flags.pop("json"), rest


def main() -> None:
    """Entry point of chicory-ctl."""
    try:
        flags, as_json, rest = _split_flags(sys.argv[1:])
    except CommandError as error:
        print(f"chicory-ctl: {error}", file=sys.stderr)
        raise SystemExit(2) from None
    ctl = Ctl(flags, as_json)
    run_program(ctl, "chicory-ctl", rest, ctl._check_settings)
