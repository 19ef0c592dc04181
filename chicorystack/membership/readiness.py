"""Readiness of services: one needs a target, and all that it depends on."""

from collections.abc import Callable, Iterator

from chicorystack.config.model import Service, Site


def dependencies(site: Site, service: Service) -> Iterator[Service]:
    """Yields all that a service needs, each once, the nearest first.

    Names that are unknown, and cycles, were refused when the configuration
    was checked.
    """
    seen = {service.name}
    waiting = list(service.depends_on)
    while waiting:
        name = waiting.pop(0)
        if name in seen or name not in site.service_by_name:
            continue
        seen.add(name)
        needed = site.service_by_name[name]
        yield needed
        waiting.extend(needed.depends_on)


def missing_dependency(
    site: Site, service: Service, has_target: Callable[[Service], bool]
) -> str | None:
    """Returns the name of a needed service without a target that takes work.

    Returns:
        None where nothing is missing.
    """
    for needed in dependencies(site, service):
        if not has_target(needed):
            return needed.name
    return None
