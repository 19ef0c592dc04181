"""Parses and checks a configuration text; every fault has its line."""

import re
from collections.abc import Iterator
from typing import get_args, get_origin, get_type_hints, is_typeddict

import msgspec
from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError

from chicorystack.config.model import ConfigText, ServiceText
from chicorystack.errors import UserError

MAX_SHARDS = 4096
NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9-]{0,62}$")
# Keys and list positions that lead from the top of the text to a place.
Path = tuple[str | int, ...]


class ConfigError(UserError):
    """A configuration text is wrong; the message begins with the place."""


def check_text(text: str, source: str) -> ConfigText:
    """Returns the decoded text.

    Args:
        text: YAML text.
        source: Name of the text for messages, usually the file's path.

    Raises:
        ConfigError: With source, line and column of the first fault.
    """
    tree = _parse(text, source)
    config = _convert(tree, source)
    for path, problem in _faults(config):
        raise ConfigError(f"{_place(tree, path, source)}: {problem}")
    return config


def _parse(text: str, source: str):
    yaml = YAML(typ="rt")
    try:
        tree = yaml.load(text)
    except MarkedYAMLError as error:
        mark = error.problem_mark
        place = f"{source}:{mark.line + 1}:{mark.column + 1}"
        problem = (error.problem or "not valid YAML").splitlines()[0]
        raise ConfigError(f"{place}: {problem}") from error
    if not isinstance(tree, dict):
        raise ConfigError(f"{source}:1:1: expected a mapping with `sites`")
    return tree


def _convert(tree, source: str) -> ConfigText:
    for path, problem in _type_faults(tree, ConfigText, ()):
        raise ConfigError(f"{_place(tree, path, source)}: {problem}")
    return msgspec.convert(tree, ConfigText)


def _type_faults(node, kind, path: Path) -> Iterator[tuple[Path, str]]:
    """Yields unknown fields and wrong types, the innermost first."""
    if is_typeddict(kind) and isinstance(node, dict):
        hint_by_field = get_type_hints(kind)
        for field, child in node.items():
            if field not in hint_by_field:
                yield (*path, field), f"unknown field '{field}'"
                continue
            yield from _type_faults(child, hint_by_field[field], (*path, field))
    elif get_origin(kind) is dict and isinstance(node, dict):
        for name, child in node.items():
            yield from _type_faults(child, get_args(kind)[1], (*path, name))
    elif get_origin(kind) is list and isinstance(node, list):
        for index, child in enumerate(node):
            yield from _type_faults(child, get_args(kind)[0], (*path, index))
    try:
        msgspec.convert(node, kind)
    except msgspec.ValidationError as error:
        yield path, str(error).partition(" - at ")[0]


def _place(tree, path: Path, source: str) -> str:
    node, line, column = tree, 0, 0
    for step in path:
        if not hasattr(node, "lc"):
            break
        try:
            if isinstance(node, dict):
                line, column = node.lc.key(step)
            else:
                line, column = node.lc.item(step)
            node = node[step]
        except (KeyError, IndexError, TypeError):
            break
    return f"{source}:{line + 1}:{column + 1}"


def _faults(config: ConfigText) -> Iterator[tuple[Path, str]]:
    """Yields the path and the description of each fault."""
    shards = config.get("shards", 1)
    if not 1 <= shards <= MAX_SHARDS:
        yield ("shards",), f"shards must be from 1 to {MAX_SHARDS}"
    owner_by_target: dict[str, str] = {}
    for name, site in config["sites"].items():
        path = ("sites", name)
        yield from _name_faults(name, path)
        if not site["data_centres"]:
            yield (*path, "data_centres"), "a site needs a data centre"
        if len(set(site["data_centres"])) < len(site["data_centres"]):
            yield (*path, "data_centres"), "a data centre is listed twice"
        for service_name, service in site["services"].items():
            service_path = (*path, "services", service_name)
            yield from _name_faults(service_name, service_path)
            yield from _service_faults(
                service, site["data_centres"], service_path, owner_by_target
            )
        yield from _dependency_faults(site["services"], path)


def _name_faults(name: str, path: Path) -> Iterator[tuple[Path, str]]:
    if not NAME_PATTERN.match(name):
        yield path, f"'{name}' is no name: lower case, digits and '-' only"


def _service_faults(
    service: ServiceText,
    data_centres: list[str],
    path: Path,
    owner_by_target: dict[str, str],
) -> Iterator[tuple[Path, str]]:
    if service.get("max_in_flight", 1) < 1:
        yield (*path, "max_in_flight"), "max_in_flight must be at least 1"
    if not service["operations"]:
        yield (*path, "operations"), "a service needs an operation"
    for name, operation in service["operations"].items():
        operation_path = (*path, "operations", name)
        yield from _name_faults(name, operation_path)
        for field in ("cost_tokens", "max_tokens"):
            if operation.get(field, 0) < 0:
                yield (*operation_path, field), f"{field} may not be negative"
    for name, target in service["targets"].items():
        target_path = (*path, "targets", name)
        yield from _name_faults(name, target_path)
        if name in owner_by_target:
            other = owner_by_target[name]
            yield target_path, f"target '{name}' is also a target of {other}"
        owner_by_target[name] = str(path[-1])
        if target["data_centre"] not in data_centres:
            unknown = target["data_centre"]
            yield (
                (*target_path, "data_centre"),
                f"unknown data centre '{unknown}'",
            )


def _dependency_faults(
    services: dict[str, ServiceText], site_path: Path
) -> Iterator[tuple[Path, str]]:
    for name, service in services.items():
        path = (*site_path, "services", name, "depends_on")
        for index, needed in enumerate(service.get("depends_on", [])):
            if needed not in services:
                yield (*path, index), f"unknown service '{needed}'"
                continue
            cycle = _find_cycle(services, needed, (name,))
            if cycle:
                chain = " -> ".join(cycle)
                yield (*path, index), f"dependencies form a cycle: {chain}"


def _find_cycle(
    services: dict[str, ServiceText], name: str, seen: tuple[str, ...]
) -> tuple[str, ...] | None:
    if name == seen[0]:
        return (*seen, name)
    if name in seen or name not in services:
        return None
    for needed in services[name].get("depends_on", []):
        cycle = _find_cycle(services, needed, (*seen, name))
        if cycle:
            return cycle
    return None
