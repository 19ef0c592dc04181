"""Checks that the dependencies of a service have targets."""

from collections.abc import Callable, Iterator

from chicorystack.config.model import Service, Site


def transitive_dependencies(site: Site, service: Service) -> Iterator[Service]:
    """Yields the transitive dependencies of a service, breadth-first.

    Each is yielded once. The check of the configuration has rejected unknown
    names and cycles.
    """
    seen = {service.name}
    queue = list(service.depends_on)
    while queue:
        name = queue.pop(0)
        if name in seen or name not in site.service_by_name:
            continue
        seen.add(name)
        dependency = site.service_by_name[name]
        yield dependency
        queue.extend(dependency.depends_on)


def missing_dependency(
    site: Site, service: Service, has_target: Callable[[Service], bool]
) -> str | None:
    """Finds a dependency without a target that accepts new calls.

    Returns:
        The name of the first such service, or None if there is none.
    """
    for dependency in transitive_dependencies(site, service):
        if not has_target(dependency):
            return dependency.name
    return None
