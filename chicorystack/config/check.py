"""Findings on a configuration before it is published.

Errors are what a publication is refused for. Warnings are entries that have no
effect, limits that contradict each other, and targets that a failure would
leave without a substitute. Changes are differences from the version in force.
"""

from collections.abc import Iterator
from typing import NamedTuple

from chicorystack.config.findings import Finding, Severity
from chicorystack.config.model import (
    ConfigSpec,
    FleetConfig,
    Service,
    ServiceSpec,
    Site,
    SiteSpec,
)
from chicorystack.config.parser import ConfigDocument, ConfigError, NodePath

# Field values of an entry by field name, and entries by path.
EntryFields = dict[str, object]
PathFinding = tuple[NodePath, str]


class CheckedText(NamedTuple):
    """The result of checking one text.

    Attributes:
        findings: Errors and warnings.
        spec: The configuration; None if it has errors.
    """

    findings: list[Finding]
    spec: ConfigSpec | None


def check_text(text: str, source: str) -> CheckedText:
    """Checks a configuration text.

    Args:
        text: YAML text.
        source: Name of the text in findings, usually the file's path.
    """
    try:
        document = ConfigDocument(text, source)
    except ConfigError as error:
        return CheckedText([_syntax_finding(error, source)], None)
    errors = _locate(document, Severity.ERROR, document.errors())
    if errors:
        return CheckedText(errors, None)
    spec = document.spec()
    warnings = _locate(document, Severity.WARNING, _find_warnings(spec))
    return CheckedText(warnings, spec)


def _syntax_finding(error: ConfigError, source: str) -> Finding:
    """Returns the finding for a text that is not YAML."""
    position, _, message = str(error).partition(": ")
    if not position.startswith(source):
        position, message = source, str(error)
    return Finding(Severity.ERROR, position, message)


def _locate(
    document: ConfigDocument,
    severity: Severity,
    found: Iterator[PathFinding],
) -> list[Finding]:
    return [
        Finding(severity, document.position(path), message)
        for path, message in found
    ]


def _find_warnings(config: ConfigSpec) -> Iterator[PathFinding]:
    site_by_data_centre: dict[str, str] = {}
    for name, site in config["sites"].items():
        path = ("sites", name)
        if not site["services"]:
            yield path, f"site '{name}' has no services: it serves no calls"
        yield from _find_data_centre_warnings(
            name, site, path, site_by_data_centre
        )
        for service_name, service in site["services"].items():
            service_path = (*path, "services", service_name)
            yield from _find_target_warnings(
                service_name, service, site, service_path
            )
            yield from _find_dependency_warnings(service, site, service_path)
            yield from _find_unused_fields(service, service_path)


def _find_data_centre_warnings(
    name: str, site: SiteSpec, path: NodePath, site_by_data_centre: dict
) -> Iterator[PathFinding]:
    used = {
        target["data_centre"]
        for service in site["services"].values()
        for target in service["targets"].values()
    }
    for index, data_centre in enumerate(site["data_centres"]):
        data_centre_path = (*path, "data_centres", index)
        if data_centre not in used:
            yield (
                data_centre_path,
                f"no target is in data centre '{data_centre}'",
            )
        other = site_by_data_centre.setdefault(data_centre, name)
        if other != name:
            yield (
                data_centre_path,
                f"data centre '{data_centre}' belongs to site '{other}', too",
            )


def _find_target_warnings(
    name: str, service: ServiceSpec, site: SiteSpec, path: NodePath
) -> Iterator[PathFinding]:
    targets_path = (*path, "targets")
    targets = service["targets"].values()
    if not targets:
        yield (
            targets_path,
            f"service '{name}' has no targets: all its calls are refused",
        )
        return
    if len(targets) == 1:
        yield (
            targets_path,
            f"service '{name}' has one target: a call that fails there can't "
            "be tried at another one",
        )
        return
    data_centres = {target["data_centre"] for target in targets}
    if len(data_centres) == 1 and len(site["data_centres"]) > 1:
        yield (
            targets_path,
            f"all targets of service '{name}' are in data centre "
            f"'{data_centres.pop()}': it stops with that one",
        )


def _find_dependency_warnings(
    service: ServiceSpec, site: SiteSpec, path: NodePath
) -> Iterator[PathFinding]:
    for index, name in enumerate(service.get("depends_on", [])):
        if not site["services"][name]["targets"]:
            yield (
                (*path, "depends_on", index),
                f"the service depends on '{name}', which has no targets",
            )


def _find_unused_fields(
    service: ServiceSpec, path: NodePath
) -> Iterator[PathFinding]:
    is_engine = service["kind"] == "engine"
    if service.get("resumable"):
        if not is_engine:
            yield (
                (*path, "resumable"),
                "resumable has no effect: only engines send streams",
            )
        elif len(service["targets"]) < 2:
            yield (
                (*path, "resumable"),
                "resumable has no effect with fewer than two targets",
            )
    for name, operation in service["operations"].items():
        field_path = (*path, "operations", name, "max_tokens")
        max_tokens = operation.get("max_tokens")
        if max_tokens is None:
            continue
        if not is_engine:
            yield (
                field_path,
                "max_tokens has no effect: only engines generate tokens",
            )
        elif max_tokens == 0:
            yield field_path, "max_tokens is 0: no call can generate anything"


def find_changes(old: FleetConfig, new: FleetConfig) -> list[Finding]:
    """Returns how a configuration differs from the version in force.

    Entries of an entry that is added or removed are not listed.

    Args:
        old: The version in force.
        new: The configuration to be published.
    """
    old_by_path, new_by_path = _list_entries(old), _list_entries(new)
    findings = list(_find_refused_changes(old, new))
    for path in sorted(old_by_path.keys() | new_by_path.keys()):
        before, after = old_by_path.get(path), new_by_path.get(path)
        if before is None:
            if _has_parent(path, old_by_path):
                findings.append(Finding(Severity.ADDED, path, ""))
        elif after is None:
            if _has_parent(path, new_by_path):
                findings.append(Finding(Severity.REMOVED, path, ""))
        elif before != after:
            message = _describe_change(before, after)
            findings.append(Finding(Severity.CHANGED, path, message))
    return findings


def moves_keys(old: Service, new: Service) -> bool:
    """Returns whether keys of non-idempotent calls change owners."""
    if not old.runs_once:
        return False
    return set(old.target_by_name) != set(new.target_by_name)


def _find_refused_changes(
    old: FleetConfig, new: FleetConfig
) -> Iterator[Finding]:
    """Yields changes that `chicory-ctl publish` refuses."""
    if old.shard_count != new.shard_count:
        message = f"shards is {old.shard_count} and may not change"
        yield Finding(Severity.ERROR, "shards", message)
    for site in old.site_by_name.values():
        for service in site.service_by_name.values():
            new_service = new.service(site.name, service.name)
            if new_service is not None and moves_keys(service, new_service):
                yield Finding(
                    Severity.ERROR,
                    f"{_service_path(service)}/targets",
                    "its non-idempotent calls would move to other targets, "
                    "and a repeated call could run twice; `publish` needs "
                    "--move_keys=True",
                )


def _list_entries(config: FleetConfig) -> dict[str, EntryFields]:
    """Returns the fields of each entry by its path."""
    entries: dict[str, EntryFields] = {"shards": {"": config.shard_count}}
    for site in config.site_by_name.values():
        entries[f"sites/{site.name}"] = {
            "data_centres": sorted(site.data_centres)
        }
        entries.update(_list_site_entries(site))
    return entries


def _list_site_entries(site: Site) -> dict[str, EntryFields]:
    entries: dict[str, EntryFields] = {}
    for service in site.service_by_name.values():
        path = _service_path(service)
        entries[path] = {
            "kind": service.kind,
            "depends_on": sorted(service.depends_on),
            "max_in_flight": service.max_in_flight,
            "resumable": service.resumable,
        }
        for name, operation in service.operation_by_name.items():
            entries[f"{path}/operations/{name}"] = operation._asdict()
        for name, target in service.target_by_name.items():
            entries[f"{path}/targets/{name}"] = target._asdict()
    return entries


def _service_path(service: Service) -> str:
    return f"sites/{service.site}/services/{service.name}"


def _has_parent(path: str, entries: dict[str, EntryFields]) -> bool:
    """Whether the entry that contains this one is there, or none does."""
    parent = path.rpartition("/")[0].rpartition("/")[0]
    return not parent or parent in entries


def _describe_change(before: EntryFields, after: EntryFields) -> str:
    return ", ".join(
        f"{field} {before[field]} -> {value}".lstrip()
        for field, value in after.items()
        if before[field] != value
    )
