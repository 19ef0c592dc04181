"""Parses and validates configuration texts; errors state their position."""

import re
from collections.abc import Iterator
from typing import get_args, get_origin, get_type_hints, is_typeddict

import msgspec
from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError

from chicorystack.config.model import ConfigSpec, ServiceSpec
from chicorystack.errors import UserError

MAX_SHARDS = 4096
NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9-]{0,62}$")
# Keys and list indexes from the root of the document to a node.
NodePath = tuple[str | int, ...]


class ConfigError(UserError):
    """A configuration text is invalid; the message begins with the position."""


class ConfigDocument:
    """A configuration text that is valid YAML."""

    def __init__(self, text: str, source: str):
        """Parses a text.

        Args:
            text: YAML text.
            source: Name of the text in error messages, usually the file's path.

        Raises:
            ConfigError: If it is not a YAML mapping.
        """
        self._source = source
        self._tree = _parse(text, source)

    def errors(self) -> Iterator[tuple[NodePath, str]]:
        """Yields the path and the description of each error."""
        has_type_errors = False
        for error in _find_type_errors(self._tree, ConfigSpec, ()):
            has_type_errors = True
            yield error
        if not has_type_errors:
            yield from _find_errors(self.spec())

    def spec(self) -> ConfigSpec:
        """Returns the configuration, which must not have type errors."""
        return msgspec.convert(self._tree, ConfigSpec)

    def position(self, path: NodePath) -> str:
        """Returns source, line and column of a node."""
        return _format_position(self._tree, path, self._source)


def parse_config(text: str, source: str) -> ConfigSpec:
    """Parses and validates a configuration text.

    Args:
        text: YAML text.
        source: Name of the text in error messages, usually the file's path.

    Raises:
        ConfigError: With source, line and column of the first error.
    """
    document = ConfigDocument(text, source)
    for path, message in document.errors():
        raise ConfigError(f"{document.position(path)}: {message}")
    return document.spec()


def _parse(text: str, source: str):
    yaml = YAML(typ="rt")
    try:
        tree = yaml.load(text)
    except MarkedYAMLError as error:
        mark = error.problem_mark
        position = f"{source}:{mark.line + 1}:{mark.column + 1}"
        message = (error.problem or "not valid YAML").splitlines()[0]
        raise ConfigError(f"{position}: {message}") from error
    if not isinstance(tree, dict):
        raise ConfigError(f"{source}:1:1: expected a mapping with `sites`")
    return tree


def _find_type_errors(
    node, expected_type, path: NodePath
) -> Iterator[tuple[NodePath, str]]:
    """Yields unknown fields and type errors, the innermost first."""
    if is_typeddict(expected_type) and isinstance(node, dict):
        hint_by_field = get_type_hints(expected_type)
        for field, child in node.items():
            if field not in hint_by_field:
                yield (*path, field), f"unknown field '{field}'"
                continue
            yield from _find_type_errors(
                child, hint_by_field[field], (*path, field)
            )
    elif get_origin(expected_type) is dict and isinstance(node, dict):
        for name, child in node.items():
            yield from _find_type_errors(
                child, get_args(expected_type)[1], (*path, name)
            )
    elif get_origin(expected_type) is list and isinstance(node, list):
        for index, child in enumerate(node):
            yield from _find_type_errors(
                child, get_args(expected_type)[0], (*path, index)
            )
    try:
        msgspec.convert(node, expected_type)
    except msgspec.ValidationError as error:
        yield path, str(error).partition(" - at ")[0]


def _format_position(tree, path: NodePath, source: str) -> str:
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


def _find_errors(config: ConfigSpec) -> Iterator[tuple[NodePath, str]]:
    """Yields the path and the description of each error."""
    shards = config.get("shards", 1)
    if not 1 <= shards <= MAX_SHARDS:
        yield ("shards",), f"shards must be from 1 to {MAX_SHARDS}"
    if "evacuated" in config:
        yield ("evacuated",), "only `chicory-ctl evacuate` may set evacuated"
    owner_by_target: dict[str, str] = {}
    for name, site in config["sites"].items():
        path = ("sites", name)
        yield from _find_name_errors(name, path)
        if not site["data_centres"]:
            yield (
                (*path, "data_centres"),
                "a site needs at least one data centre",
            )
        if len(set(site["data_centres"])) < len(site["data_centres"]):
            yield (*path, "data_centres"), "a data centre is listed twice"
        for service_name, service in site["services"].items():
            service_path = (*path, "services", service_name)
            yield from _find_name_errors(service_name, service_path)
            yield from _find_service_errors(
                service, site["data_centres"], service_path, owner_by_target
            )
        yield from _find_dependency_errors(site["services"], path)


def _find_name_errors(
    name: str, path: NodePath
) -> Iterator[tuple[NodePath, str]]:
    if not NAME_PATTERN.match(name):
        yield (
            path,
            f"invalid name '{name}': use lower case, digits and '-' only",
        )


def _find_service_errors(
    service: ServiceSpec,
    data_centres: list[str],
    path: NodePath,
    owner_by_target: dict[str, str],
) -> Iterator[tuple[NodePath, str]]:
    if service.get("max_in_flight", 1) < 1:
        yield (*path, "max_in_flight"), "max_in_flight must be at least 1"
    if not service["operations"]:
        yield (*path, "operations"), "a service needs at least one operation"
    for name, operation in service["operations"].items():
        operation_path = (*path, "operations", name)
        yield from _find_name_errors(name, operation_path)
        for field in ("cost_tokens", "max_tokens"):
            if operation.get(field, 0) < 0:
                yield (*operation_path, field), f"{field} must not be negative"
    for name, target in service["targets"].items():
        target_path = (*path, "targets", name)
        yield from _find_name_errors(name, target_path)
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


def _find_dependency_errors(
    services: dict[str, ServiceSpec], site_path: NodePath
) -> Iterator[tuple[NodePath, str]]:
    for name, service in services.items():
        path = (*site_path, "services", name, "depends_on")
        for index, dependency in enumerate(service.get("depends_on", [])):
            if dependency not in services:
                yield (*path, index), f"unknown service '{dependency}'"
                continue
            cycle = _find_cycle(services, dependency, (name,))
            if cycle:
                chain = " -> ".join(cycle)
                yield (*path, index), f"dependencies form a cycle: {chain}"


def _find_cycle(
    services: dict[str, ServiceSpec], name: str, seen: tuple[str, ...]
) -> tuple[str, ...] | None:
    """Returns a dependency cycle back to the first service of `seen`, if any.

    Args:
        services: Services by name.
        name: Service to search from.
        seen: Names on the way to it.
    """
    if name == seen[0]:
        return (*seen, name)
    if name in seen or name not in services:
        return None
    for dependency in services[name].get("depends_on", []):
        cycle = _find_cycle(services, dependency, (*seen, name))
        if cycle:
            return cycle
    return None
