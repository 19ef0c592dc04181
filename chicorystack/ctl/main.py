"""The chicory-ctl program: the operators' commands with their help."""

import json

from chicorystack import __version__, defaults
from chicorystack.config.check import check_text
from chicorystack.ctl import configuration, customers
from chicorystack.ctl.session import run_command
from chicorystack.settings.loader import run_program


class Ctl:
    """Operates a chicorystack fleet.

    Flags before the command, or environment variables: --log_url
    (CHICORY_LOG_URL), --vm_list_url (CHICORY_VM_LIST_URL), --fleet_token
    (CHICORY_FLEET_TOKEN), --operator (CHICORY_OPERATOR), and --json for
    output that programs read.
    """

    def __init__(
        self,
        log_url: str | None = None,
        vm_list_url: str | None = None,
        fleet_token: str | None = None,
        operator: str | None = None,
        json: bool = False,
    ):
        self._json = json
        self._flags = {
            "log_url": log_url,
            "vm_list_url": vm_list_url,
            "fleet_token": fleet_token,
            "operator": operator,
        }

    def check(self, file: str) -> None:
        """Checks a configuration file and changes nothing."""
        check_text(configuration.read_text(file), file)
        self._print({"file": file, "ok": True}, f"{file}: right")

    def publish(self, file: str, replaces: int | None = None) -> None:
        """Publishes a configuration file.

        Args:
            file: Path of the file.
            replaces: Version that you mean to replace; the one in force if
                left out. Where another operator was first, nothing changes.
        """
        result = run_command(
            self._flags,
            lambda session: configuration.publish(session, file, replaces),
        )
        self._print(result, f"version {result['version']} is published")

    def show(self) -> None:
        """Prints the configuration in force."""
        record = run_command(self._flags, configuration.show)
        self._print(record, record["text"])

    def create_customer(self, customer: str) -> None:
        """Creates a customer and prints its secret key, this once.

        Args:
            customer: Name; an existing customer gets a new key.
        """
        result = run_command(
            self._flags, lambda session: customers.create(session, customer)
        )
        self._print(result, result["key"])

    def top_up(
        self,
        customer: str,
        tokens: int,
        budget: str = defaults.DEFAULT_BUDGET,
        id: str = "",
    ) -> None:
        """Adds tokens to a customer's budget.

        Args:
            customer: Name of the customer.
            tokens: Number of tokens.
            budget: Name of the budget.
            id: Id of this top-up; sent again with the same id it counts once.
        """
        result = run_command(
            self._flags,
            lambda session: customers.top_up(
                session, customer, tokens, budget, id
            ),
        )
        self._print(result, f"added {tokens} tokens to {customer}/{budget}")

    def budget(self, customer: str) -> None:
        """Shows a customer's budgets."""
        reply = run_command(
            self._flags, lambda session: customers.budgets(session, customer)
        )
        lines = [
            "{budget}: topped up {topped_up}, billed {billed}, held {held}, "
            "unsettled {unsettled}, free {free}".format(**view)
            for view in reply["budgets"]
        ]
        self._print(reply, "\n".join(lines) or "no budgets")

    def version(self) -> None:
        """Prints the version."""
        self._print({"version": __version__}, __version__)

    def _print(self, message: object, text: str) -> None:
        print(json.dumps(message) if self._json else text)


def main() -> None:
    """Entry point of chicory-ctl."""
    run_program(Ctl, "chicory-ctl")
