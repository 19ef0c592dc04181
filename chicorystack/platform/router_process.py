"""Runs a gateway router that is configured by the platform's settings file."""

import os
import sys
import time
from pathlib import Path

from loguru import logger
from twisted.internet import reactor

from chicorystack import defaults
from chicorystack.errors import UserError
from chicorystack.gateway.process import GatewayProcess, PlatformAdapter
from chicorystack.lifecycle import run_until_stopped, use_monotonic_time
from chicorystack.observe.events import emit, event_log, start_events
from chicorystack.platform import operator_config, target_entries
from chicorystack.platform.headers import (
    PlatformCallerCodec,
    PlatformTargetCodec,
)
from chicorystack.platform.settings import (
    SETTINGS_VARIABLE,
    PlatformSettings,
    SettingsError,
    load_settings,
)
from chicorystack.platform.settings_watcher import SettingsWatcher
from chicorystack.platform.store import PlatformStore
from chicorystack.signals import ProcessSignals

EXIT_USER_ERROR = 2
ADAPTER = PlatformAdapter(
    caller_codec=PlatformCallerCodec(),
    target_codec=PlatformTargetCodec(),
    config_partition=operator_config.PARTITION,
    decode_config=lambda update: operator_config.find_newest_config(
        update.records
    ),
    decode_evacuations=operator_config.decode_evacuations,
    targets_partition=target_entries.PARTITION,
    decode_targets=lambda update: list(
        target_entries.decode_entries(update.records)
    ),
)


def settings_path() -> Path:
    """Returns the path of the settings file; raises SettingsError."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
    return Path(path)


def wait_for_settings(path: Path) -> PlatformSettings:
    """Reads the settings file, which may be in the middle of a change.

    Raises:
        SettingsError: If it cannot be read, or is invalid, for some time.
    """
    give_up_at = time.monotonic() + defaults.SETTINGS_START_WAIT_S
    while True:
        try:
            return load_settings(path)
        except SettingsError:
            if time.monotonic() >= give_up_at:
                raise
            time.sleep(defaults.SETTINGS_START_RETRY_S)


def run(path: Path, signals: ProcessSignals) -> None:
    """Runs a router until it is signalled to stop."""
    use_monotonic_time(reactor)
    settings = wait_for_settings(path)
    start_events(reactor, settings.gateway.name)
    send_logs_to_events()
    store = PlatformStore(reactor, settings.store)
    process = GatewayProcess(reactor, settings.gateway, store, ADAPTER)

    def reload(new_settings: PlatformSettings) -> None:
        process.reload(new_settings.gateway)
        store.reload(new_settings.store)

    watcher = SettingsWatcher(reactor, path, settings, reload)

    def start() -> None:
        process.start()
        watcher.start()

    run_until_stopped(
        reactor,
        signals,
        start,
        lambda: process.drain(signals.stopped_at),
        watcher.check_file,
    )
    event_log.flush()


def send_logs_to_events() -> None:
    """Emits the log lines of shared modules as events."""
    logger.remove()
    logger.configure(extra={"part": "main"})
    logger.add(_emit_log_line, level="INFO", format="{message}", diagnose=False)


def _emit_log_line(message) -> None:
    record = message.record
    emit(
        record["extra"]["part"],
        "log",
        level=record["level"].name,
        message=record["message"],
        error=repr(record["exception"].value) if record["exception"] else "",
    )


def main(signals: ProcessSignals) -> None:
    """Runs a router.

    Args:
        signals: Its signals; the handlers are installed.
    """
    try:
        run(settings_path(), signals)
    except UserError as error:
        print(f"chicory-router: {error}", file=sys.stderr)
        sys.exit(EXIT_USER_ERROR)
