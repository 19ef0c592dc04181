"""A service is ready only with all that it depends on."""

import pytest

from chicorystack.config.model import Service, Site
from chicorystack.membership.readiness import missing_dependency


def site(**needs_by_name):
    service_by_name = {
        name: Service(name, "north", "plain", {}, {}, tuple(needs))
        for name, needs in needs_by_name.items()
    }
    return Site("north", ("north-1",), service_by_name)


@pytest.mark.parametrize(
    ("gone", "missing"),
    [
        ("", None),
        ("model", None),
        ("store", "store"),
        ("disk", "disk"),
        ("other", None),
    ],
)
def test_dependencies_of_dependencies_count(gone, missing):
    north = site(model=["cache", "store"], cache=["store"], store=["disk"],
                 disk=[], other=[])  # fmt: skip
    service = north.service_by_name["model"]
    found = missing_dependency(north, service, lambda s: s.name != gone)
    assert found == missing
