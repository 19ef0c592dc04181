"""Notices changes of the settings file, with a signal or without one."""

import signal
from collections.abc import Callable
from pathlib import Path

from twisted.internet import task

from chicorystack import defaults
from chicorystack.observe.events import emit
from chicorystack.platform.settings import (
    PlatformSettings,
    SettingsError,
    load_settings,
)


class SettingsWatch:
    """Reads the file again at fixed times, and at once on SIGHUP."""

    def __init__(
        self,
        reactor,
        path: Path,
        settings: PlatformSettings,
        on_change: Callable[[PlatformSettings], None],
    ):
        self._reactor = reactor
        self._path = path
        self._settings = settings
        self._on_change = on_change
        self._loop = task.LoopingCall(self.review)
        self._loop.clock = reactor

    def start(self) -> None:
        """Begins to watch."""
        self._loop.start(defaults.SETTINGS_REVIEW_S, now=False)
        self._reactor.callWhenRunning(self._install)

    def stop(self) -> None:
        """Ends the watch."""
        if self._loop.running:
            self._loop.stop()

    def review(self) -> None:
        """Takes over a changed file; an unreadable one changes nothing."""
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            emit("settings", "unreadable", reason=str(error))
            return
        if settings != self._settings:
            self._settings = settings
            self._on_change(settings)

    def _install(self) -> None:
        signal.signal(
            signal.SIGHUP,
            lambda *_: self._reactor.callFromThread(self.review),
        )
