"""Interrupts that never strike between a process's start and its record."""

import contextlib
import signal
from collections.abc import Iterator


class Interrupts:
    """Turns SIGINT and SIGTERM into KeyboardInterrupt at safe points."""

    def __init__(self):
        self._deferred = False
        self._pending = False

    def install(self) -> None:
        """Takes over both signals."""
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, self._handle)

    @contextlib.contextmanager
    def deferred(self) -> Iterator[None]:
        """Holds interrupts back until the block has ended."""
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
