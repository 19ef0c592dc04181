"""The chicory-standin program: one stand-in for each command."""

from twisted.internet import reactor

from chicorystack import __version__, defaults
from chicorystack.observe.logs import part_logger, setup_logs
from chicorystack.settings.loader import run_program
from chicorystack.standin.engine import Engine, engine_tree
from chicorystack.standin.log_service import LogService, log_service_tree
from chicorystack.standin.plain_service import (
    PlainService,
    plain_service_tree,
)
from chicorystack.standin.vm_list import VmListService, vm_list_tree
from chicorystack.web.server import Tree, listen

log = part_logger("standin")


class Standins:
    """Small stand-ins for the platform and for targets, for development."""

    def log(
        self, port: int, retention_s: float = defaults.LOG_RETENTION_S
    ) -> None:
        """Serves the log service.

        Args:
            port: TCP port.
            retention_s: How long records are kept, in seconds.
        """
        _serve("log", log_service_tree(LogService(reactor, retention_s)), port)

    def vm_list(self, port: int, lag_s: float = 0.0) -> None:
        """Serves the list of VMs.

        Args:
            port: TCP port.
            lag_s: How late changes show, in seconds.
        """
        _serve("vm-list", vm_list_tree(VmListService(reactor, lag_s)), port)

    def engine(
        self,
        port: int,
        slots: int = 16,
        first_token_s: float = 0.05,
        gap_s: float = 0.01,
    ) -> None:
        """Serves a model engine.

        Args:
            port: TCP port.
            slots: Generations that run at a time.
            first_token_s: Time to the first token, in seconds.
            gap_s: Time between tokens, in seconds.
        """
        engine = Engine(reactor, slots, first_token_s, gap_s)
        _serve("engine", engine_tree(engine), port)

    def service(self, port: int, work_s: float = 0.01) -> None:
        """Serves a plain service.

        Args:
            port: TCP port.
            work_s: Time that a call takes, in seconds.
        """
        service = PlainService(reactor, work_s)
        _serve("service", plain_service_tree(service), port)

    def version(self) -> str:
        """Returns the version."""
        return __version__


def _serve(kind: str, root: Tree, port: int) -> None:
    setup_logs(f"{kind}-{port}", "INFO")
    listen(reactor, root, defaults.LOOPBACK, port)
    log.info("stand-in {} listens on port {}", kind, port)
    reactor.run()


def main() -> None:
    """Entry point of chicory-standin."""
    run_program(Standins, "chicory-standin")
