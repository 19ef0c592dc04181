"""Commands on the configuration: check, publish and show."""

from pathlib import Path
from typing import TypedDict

from chicorystack.config.check import moves_keys
from chicorystack.config.messages import CONFIG_STREAM, ConfigRecord
from chicorystack.config.model import FleetConfig, build_config
from chicorystack.config.parser import ConfigError, parse_config
from chicorystack.config.store import ConfigStore
from chicorystack.ctl.session import CommandError, Session
from chicorystack.util import new_id


class PublishResult(TypedDict):
    """Version and offset of a publication that was accepted."""

    version: int
    offset: int


def read_text(path: str) -> str:
    """Reads a configuration file; raises ConfigError if it is unreadable."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from error


async def publish(
    session: Session, path: str, replaces: int | None, move_keys: bool
) -> PublishResult:
    """Publishes a file as the version after `replaces`.

    Args:
        session: Clients and settings.
        path: Path of the file.
        replaces: Version to replace; None for the one in force.
        move_keys: Whether keys of non-idempotent calls may change owners.

    Raises:
        CommandError: If another publication came first, or if the change is
            not allowed.
    """
    text = read_text(path)
    config = parse_config(text, path)
    store = await session.read_config()
    in_force = store.config.version
    replaces = in_force if replaces is None else replaces
    _check_version(store, replaces)
    if in_force:
        _check_change(store.config, build_config(config, 0), move_keys)
    if store.config.evacuated:
        config["evacuated"] = sorted(store.config.evacuated)
    record = ConfigRecord(
        kind="config_published",
        id=new_id(),
        replaces=replaces,
        operator=session.settings.operator,
        text=text,
        config=config,
    )
    offset = await session.append(CONFIG_STREAM, record)
    store = await session.read_config()
    if store.publication_id(replaces + 1) != record["id"]:
        raise CommandError(
            f"version {replaces} has been replaced by another publication; "
            f"version {store.config.version} is in force"
        )
    return PublishResult(version=replaces + 1, offset=offset)


def _check_complete(store: ConfigStore) -> None:
    if not store.log_state.is_complete:
        raise CommandError(
            "the record of the version in force has expired; start a router "
            "that appends a snapshot of it before publishing"
        )


def _check_version(store: ConfigStore, replaces: int) -> None:
    _check_complete(store)
    in_force = store.config.version
    if not 0 <= replaces <= in_force:
        raise CommandError(
            f"there is no version {replaces}; version {in_force} is in force"
        )


def _check_change(old: FleetConfig, new: FleetConfig, move_keys: bool) -> None:
    """Checks that a new version makes no change that is not allowed."""
    if new.shard_count != old.shard_count:
        raise CommandError(f"shards is {old.shard_count} and may not change")
    if move_keys:
        return
    for site in old.site_by_name.values():
        for service in site.service_by_name.values():
            new_service = new.service(site.name, service.name)
            if new_service is not None and moves_keys(service, new_service):
                raise CommandError(
                    f"the targets of {service.name} may not change: its "
                    "non-idempotent calls would move to other targets, and a "
                    "repeated call could run twice; --move_keys=True publishes "
                    "anyway"
                )


async def read_in_force(session: Session) -> FleetConfig:
    """Returns the configuration in force; version 0 if there is none.

    Raises:
        CommandError: If its record has expired.
    """
    store = await session.read_config()
    _check_complete(store)
    return store.config


async def show(session: Session) -> ConfigRecord:
    """Returns the record of the version in force."""
    store = await session.read_config()
    if store.log_state.latest is None:
        raise CommandError("no configuration has been published")
    return store.log_state.latest.record
