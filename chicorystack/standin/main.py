"""The chicory-standin program, with one command per stand-in."""

from twisted.internet import reactor

from chicorystack import defaults
from chicorystack.observe.logs import part_logger, setup_logs
from chicorystack.settings.command_line import Action, run_program
from chicorystack.settings.loader import typed_command
from chicorystack.settings.types import Port
from chicorystack.standin.engine import Engine, engine_tree
from chicorystack.standin.log_service import LogService, log_service_tree
from chicorystack.standin.plain_service import (
    PlainService,
    plain_service_tree,
)
from chicorystack.standin.vm_list import VmListService, vm_list_tree
from chicorystack.web.server import ResourceTree, listen

log = part_logger("standin")


class Standins:
    """Stand-ins for the platform and targets, for tests and development."""

    @typed_command
    def log(
        self, port: Port, retention_s: float = defaults.LOG_RETENTION_S
    ) -> Action:
        """Serves the log service.

        Args:
            port: TCP port.
            retention_s: How long records are kept, in seconds.
        """
        return _serve(
            "log", log_service_tree(LogService(reactor, retention_s)), port
        )

    @typed_command
    def vm_list(self, port: Port, lag_s: float = 0.0) -> Action:
        """Serves the VM list.

        Args:
            port: TCP port.
            lag_s: Delay until changes become visible, in seconds.
        """
        return _serve(
            "vm-list", vm_list_tree(VmListService(reactor, lag_s)), port
        )

    @typed_command
    def engine(
        self,
        port: Port,
        slots: int = 16,
        first_token_s: float = 0.05,
        gap_s: float = 0.01,
        answer_tokens: int = 0,
    ) -> Action:
        """Serves a model engine.

        Args:
            port: TCP port.
            slots: Generations that can run concurrently.
            first_token_s: Time to the first token, in seconds.
            gap_s: Time between tokens, in seconds.
            answer_tokens: Length of every response in tokens; 0 to derive it
                from the prompt.
        """
        engine = Engine(reactor, slots, first_token_s, gap_s, answer_tokens)
        return _serve("engine", engine_tree(engine), port)

    @typed_command
    def service(self, port: Port, work_s: float = 0.01) -> Action:
        """Serves a plain service.

        Args:
            port: TCP port.
            work_s: Duration of a call, in seconds.
        """
        service = PlainService(reactor, work_s)
        return _serve("service", plain_service_tree(service), port)


def _serve(kind: str, root: ResourceTree, port: int) -> Action:
    def run() -> None:
        setup_logs(f"{kind}-{port}", "INFO")
        listen(reactor, root, defaults.LOOPBACK, port)
        log.info("stand-in {} is listening on port {}", kind, port)
        reactor.run()

    return Action(check=lambda: None, run=run)


def main() -> None:
    """Entry point of chicory-standin."""
    run_program(Standins, "chicory-standin")
