"""Commands that evacuate data centres and cancel it.

The evacuated data centres are part of the configuration, so that all routers
learn of them as of any other version. A publication of a file keeps them.
"""

from typing import TypedDict

from chicorystack import defaults
from chicorystack.config.messages import CONFIG_STREAM, ConfigRecord
from chicorystack.config.model import ConfigSpec
from chicorystack.config.store import ConfigStore
from chicorystack.ctl.session import CommandError, Session
from chicorystack.util import new_id


class EvacuationResult(TypedDict):
    """The evacuated data centres after a command.

    Attributes:
        data_centre: The data centre that the command named.
        evacuated: All evacuated data centres.
        version: Version of the configuration in which they are.
        changed: Whether the command has changed anything.
    """

    data_centre: str
    evacuated: list[str]
    version: int
    changed: bool


async def change(
    session: Session, data_centre: str, evacuate: bool
) -> EvacuationResult:
    """Evacuates a data centre, or cancels its evacuation.

    If another publication comes first, it is tried again on top of that one.

    Raises:
        CommandError: If the data centre is unknown, nothing has been published
            or other publications came first each time.
    """
    store = await session.read_config()
    for _ in range(defaults.EVACUATION_PUBLICATIONS_MAX):
        record = _build_record(session, store, data_centre, evacuate)
        if record is None:
            return _build_result(store, data_centre, changed=False)
        await session.append(CONFIG_STREAM, record)
        store = await session.read_config()
        if store.publication_id(record["replaces"] + 1) == record["id"]:
            return _build_result(store, data_centre, changed=True)
    raise CommandError("other publications came first; give the command again")


def _build_record(
    session: Session, store: ConfigStore, data_centre: str, evacuate: bool
) -> ConfigRecord | None:
    """Returns the publication; None if there is nothing to change."""
    latest = store.log_state.latest
    if latest is None or not store.log_state.is_complete:
        raise CommandError("the configuration in force is not known")
    evacuated = set(store.config.evacuated)
    if (data_centre in evacuated) == evacuate:
        return None
    if evacuate:
        _check_data_centre(store, data_centre)
    evacuated ^= {data_centre}
    config = ConfigSpec(**latest.record["config"])
    config["evacuated"] = sorted(evacuated)
    return ConfigRecord(
        kind="config_published",
        id=new_id(),
        replaces=latest.version,
        operator=session.settings.operator,
        text=latest.record["text"],
        config=config,
        change=f"{'evacuate' if evacuate else 'restore'} {data_centre}",
    )


def _check_data_centre(store: ConfigStore, data_centre: str) -> None:
    sites = store.config.site_by_name.values()
    known = {name for site in sites for name in site.data_centres}
    if data_centre not in known:
        names = ", ".join(sorted(known))
        raise CommandError(
            f"there is no data centre '{data_centre}'; there are {names}"
        )


def _build_result(
    store: ConfigStore, data_centre: str, changed: bool
) -> EvacuationResult:
    return EvacuationResult(
        data_centre=data_centre,
        evacuated=sorted(store.config.evacuated),
        version=store.config.version,
        changed=changed,
    )


def format_result(result: EvacuationResult) -> str:
    """Returns a result as human-readable text."""
    names = ", ".join(result["evacuated"]) or "none"
    suffix = "" if result["changed"] else " (unchanged)"
    return (
        f"evacuated data centres: {names}{suffix}, "
        f"as of version {result['version']}"
    )
