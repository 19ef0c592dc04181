"""The pages name every error code, metric and setting that there is."""

import re
from pathlib import Path
from typing import get_args

import pytest

from chicorystack.ctl.main import Ctl
from chicorystack.errors import STATUS_BY_CODE, Outcome
from chicorystack.observe.metrics import METRIC_BY_NAME

ROOT = Path(__file__).parents[2]
API = (ROOT / "docs" / "API.md").read_text()
OPERATORS = (ROOT / "docs" / "OPERATORS.md").read_text()


@pytest.mark.parametrize("code", STATUS_BY_CODE)
def test_every_error_code_is_explained_to_callers(code):
    rows = re.findall(rf"^\| `{code}` \| (\d+) \| .+ \| .+ \|$", API, re.M)
    assert rows == [str(STATUS_BY_CODE[code])]


@pytest.mark.parametrize("outcome", get_args(Outcome))
def test_every_outcome_is_explained_to_callers(outcome):
    assert re.search(rf"^\| `{outcome}` \| .+ \| .+ \|$", API, re.M)


@pytest.mark.parametrize("name", METRIC_BY_NAME)
def test_every_metric_is_listed(name):
    metric = METRIC_BY_NAME[name]
    row = f"| `{name}` | {metric.kind} | {metric.meaning} |"
    assert row in OPERATORS.splitlines()


def test_every_metric_that_is_counted_is_documented():
    pattern = re.compile(r'metrics\.(?:count|timing)\(\s*f?"([^"]+)"')
    counted = set()
    for path in (ROOT / "chicorystack").rglob("*.py"):
        counted |= set(pattern.findall(path.read_text()))
    names = {re.sub(r"\{.*\}", "*", name) for name in counted}
    assert names <= set(METRIC_BY_NAME)


def test_every_command_is_in_the_interface_page():
    commands = [name for name in vars(Ctl) if not name.startswith("_")]
    assert [name for name in commands if f"| `{name}" not in API] == []


@pytest.mark.parametrize("page", ["README.md", *Path(ROOT).glob("docs/*.md")])
def test_links_between_pages_lead_somewhere(page):
    path = ROOT / page
    links = re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", path.read_text())
    assert [link for link in links if not (path.parent / link).exists()] == []
