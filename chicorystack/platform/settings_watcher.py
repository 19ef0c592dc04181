"""Reloads the settings file when it changes."""

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


class SettingsWatcher:
    """Checks the settings file at regular intervals, and when told to."""

    def __init__(
        self,
        reactor,
        path: Path,
        settings: PlatformSettings,
        on_change: Callable[[PlatformSettings], None],
    ):
        self._path = path
        self._settings = settings
        self._on_change = on_change
        self._loop = task.LoopingCall(self.check_file)
        self._loop.clock = reactor

    def start(self) -> None:
        """Starts watching."""
        self._loop.start(defaults.SETTINGS_CHECK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stops watching."""
        if self._loop.running:
            self._loop.stop()

    def check_file(self) -> None:
        """Applies changed settings; reports an unreadable or invalid file."""
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            emit("settings", "unreadable", reason=str(error))
            return
        if settings != self._settings:
            try:
                self._on_change(settings)
            except Exception as error:
                # The file is read again at the next check.
                emit("settings", "bug", reason=repr(error))
                return
            self._settings = settings
