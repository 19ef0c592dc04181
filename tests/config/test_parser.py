"""An invalid configuration is rejected with the position of its error."""

from pathlib import Path

import pytest

from chicorystack.config.model import build_config
from chicorystack.config.parser import ConfigError, parse_config

EXAMPLES = Path(__file__).parent.parent.parent / "examples"

TEXT = """\
sites:
  north:
    data_centres: [north-1]
    services:
      model:
        kind: engine
        depends_on: [store]
        operations:
          ask: {repeatable: true}
        targets:
          model-1: {data_centre: north-1}
      store:
        kind: plain
        operations:
          put: {repeatable: false}
        targets:
          store-1: {data_centre: north-1}
"""


@pytest.mark.parametrize("name", ["brandvagt", "cedarline"])
def test_examples_are_valid(name):
    path = EXAMPLES / f"{name}.yaml"
    config = build_config(parse_config(path.read_text(), str(path)), 1)
    (site,) = config.site_by_name.values()
    assert len(site.data_centres) == 3
    assert sum(len(s.target_by_name) for s in site.service_by_name.values())


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("[store]", "[stor]", "t:7:22: unknown service 'stor'"),
        ("north-1}", "east-1}", "t:11:21: unknown data centre 'east-1'"),
        ("store-1:", "model-1:", "t:17:11: target 'model-1' is also"),
        ("kind: plain", "kind: plane", "t:13:9: Invalid enum value 'plane'"),
        ("repeatable: true", "repeatable: 7", "t:9:17: Expected `bool`"),
        ("repeatable: true", "repeat: true", "t:9:17: unknown field 'repeat'"),
        ("      store:\n", "      model:\n", "t:12:7: found duplicate key"),
        ("sites:\n", "sites: [\n", "t:"),
        (
            "kind: plain",
            "kind: plain\n        depends_on: [model]",
            "t:7:22: dependencies form a cycle: model -> store -> model",
        ),
    ],
)
def test_error_message_begins_with_the_position(old, new, message):
    with pytest.raises(ConfigError) as excinfo:
        parse_config(TEXT.replace(old, new, 1), "t")
    assert str(excinfo.value).startswith(message)
