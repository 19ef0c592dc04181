"""Defers SIGINT and SIGTERM while a child process is started and recorded.

Otherwise an interrupt between the two would leave the process running.
"""

import contextlib
import signal
from collections.abc import Iterator


class InterruptHandler:
    """Raises KeyboardInterrupt for SIGINT and SIGTERM, or defers it."""

    def __init__(self):
        self._deferred = False
        self._pending = False

    def install(self) -> None:
        """Installs the handler for both signals."""
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, self._handle)

    @contextlib.contextmanager
    def deferred(self) -> Iterator[None]:
        """Defers interrupts until the end of the block."""
        self._deferred = True
        try:
            yield
        finally:
            self._deferred = False
        if self._pending:
            self._pending = False
            raise KeyboardInterrupt

    def _handle(self, _number, _frame) -> None:
        if self._deferred:
            self._pending = True
            return
        raise KeyboardInterrupt
