"""Receives the signals of a process, from before its modules are loaded.

A signal without a handler ends a process at once, and the modules of a router
take some hundred milliseconds to load. This module needs none of them.
"""

import importlib
import os
import signal
import time
from collections.abc import Callable

STARTING_NOTICE = b"stopped by SIGTERM while starting\n"


class ProcessSignals:
    """Handles SIGTERM and SIGHUP; keeps those that come too early.

    Until the process listens, SIGTERM ends it at once with exit code 0: it has
    neither opened a port nor written anything. SIGHUP is kept until then.

    Attributes:
        stopped_at: Time of the first SIGTERM on the monotonic clock, in
            seconds; None before.
    """

    def __init__(self):
        self.stopped_at: float | None = None
        self._reload_pending = False
        self._on_stop: Callable[[], None] | None = None
        self._on_reload: Callable[[], None] | None = None

    def install(self) -> None:
        """Installs the handlers."""
        signal.signal(signal.SIGHUP, self._handle_reload)
        signal.signal(signal.SIGTERM, self._handle_stop)

    def listen(
        self, on_stop: Callable[[], None], on_reload: Callable[[], None]
    ) -> None:
        """Passes signals on from now.

        The listeners are called at any point of the program, so they must only
        schedule what they do.

        Args:
            on_stop: Called with the first SIGTERM.
            on_reload: Called with each SIGHUP, also one that came before.
        """
        self._on_stop, self._on_reload = on_stop, on_reload
        if self._reload_pending:
            on_reload()

    def ignore(self) -> None:
        """Ignores further signals, as the process has come to its end.

        The interpreter restores the default actions as it exits, which would
        turn the exit into a death by a signal.
        """
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)

    def _handle_reload(self, _number, _frame) -> None:
        if self._on_reload is None:
            self._reload_pending = True
        else:
            self._on_reload()

    def _handle_stop(self, _number, _frame) -> None:
        if self._on_stop is None:
            os.write(2, STARTING_NOTICE)
            os._exit(0)
        if self.stopped_at is None:
            self.stopped_at = time.monotonic()
            self._on_stop()


def load_and_run(module: str) -> None:
    """Handles signals, loads a module and calls its `main` with them.

    Args:
        module: Name of the module.
    """
    signals = ProcessSignals()
    signals.install()
    importlib.import_module(module).main(signals)
