"""Commands on the configuration: check, publish and show."""

from pathlib import Path
from typing import TypedDict

from chicorystack import defaults
from chicorystack.config.check import ConfigError, check_text
from chicorystack.config.messages import CONFIG_STREAM, ConfigRecord
from chicorystack.ctl.session import CommandError, Session
from chicorystack.util import new_id


class Published(TypedDict):
    """Result of a publication."""

    version: int
    offset: int


def read_text(path: str) -> str:
    """Reads a configuration file; raises ConfigError where it can't."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from error


async def publish(
    session: Session, path: str, replaces: int | None
) -> Published:
    """Publishes a file as the version after `replaces`.

    Args:
        session: Clients and settings.
        path: Path of the file.
        replaces: Version that the operator means to replace; None for the
            one in force.

    Raises:
        CommandError: If another publication came first.
    """
    text = read_text(path)
    config = check_text(text, path)
    store = await session.read_config()
    if not store.fold.based:
        raise CommandError(
            "the log has forgotten the version in force; start a router that "
            "states it again before publishing"
        )
    in_force = store.config.version
    if replaces is None:
        replaces = in_force
    if not 0 <= replaces <= in_force:
        raise CommandError(
            f"there is no version {replaces}; version {in_force} is in force"
        )
    if (
        in_force
        and config.get("shards", defaults.SHARD_COUNT)
        != store.config.shard_count
    ):
        raise CommandError(
            f"shards is {store.config.shard_count} and may not change"
        )
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
    winner = store.in_force()
    if store.winner_of(replaces + 1) != record["id"]:
        raise CommandError(
            f"version {replaces} has been replaced by another publication; "
            f"version {winner['version']} is in force"
        )
    return Published(version=replaces + 1, offset=offset)


async def show(session: Session) -> ConfigRecord:
    """Returns the record of the version in force."""
    store = await session.read_config()
    if store.fold.latest is None:
        raise CommandError("no configuration has been published")
    return store.fold.latest.record
