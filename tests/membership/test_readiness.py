"""A service needs targets of all its transitive dependencies."""

import pytest

from chicorystack.config.model import Service, Site
from chicorystack.membership.readiness import missing_dependency


def make_site(**dependencies_by_name):
    service_by_name = {
        name: Service(name, "north", "plain", {}, {}, tuple(dependencies))
        for name, dependencies in dependencies_by_name.items()
    }
    return Site("north", ("north-1",), service_by_name)


@pytest.mark.parametrize(
    ("without_target", "missing"),
    [
        ("", None),
        ("model", None),
        ("store", "store"),
        ("disk", "disk"),
        ("other", None),
    ],
)
def test_transitive_dependencies_need_targets(without_target, missing):
    north = make_site(model=["cache", "store"], cache=["store"],
                      store=["disk"], disk=[], other=[])  # fmt: skip
    service = north.service_by_name["model"]
    found = missing_dependency(
        north, service, lambda s: s.name != without_target
    )
    assert found == missing
