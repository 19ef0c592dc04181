"""Settings come from flags first, then the environment, then defaults."""

import pytest

from chicorystack.settings.loader import SettingsError, load_settings
from chicorystack.settings.types import CtlSettings, RouterSettings

NEEDED = {
    "log_url": "http://127.0.0.1:1",
    "vm_list_url": "http://127.0.0.1:2/vms",
    "fleet_token": "a-fleet-token",
    "operator": "x",
}


def test_flag_goes_before_environment():
    settings = load_settings(
        CtlSettings, NEEDED | {"operator": "a"}, {"CHICORY_OPERATOR": "b"}
    )
    assert settings.operator == "a"


def test_missing_setting_names_flag_and_variable():
    with pytest.raises(SettingsError, match=r"--log_url \(or CHICORY_LOG_URL"):
        load_settings(CtlSettings, {}, {})


def test_wrong_type_names_its_source():
    flags = {"name": "r", "site": "s", "data_centre": "d"}
    flags |= NEEDED
    with pytest.raises(SettingsError, match="variable CHICORY_PORT"):
        load_settings(RouterSettings, flags, {"CHICORY_PORT": "many"})


@pytest.mark.parametrize(
    ("flag", "value", "expected"),
    [
        ("log_url", "127.0.0.1:1", "URL"),
        ("log_url", "http://127.0.0.1:1\n", "URL"),
        ("port", "70000", "TCP port"),
        ("address", "localhost", "IP address"),
        ("name", "Router 1", "name"),
        ("log_level", "LOUD", "one of TRACE"),
        ("statsd", "127.0.0.1", "IP:port"),
    ],
)
def test_wrong_value_says_what_is_expected(flag, value, expected):
    flags = {"name": "r", "site": "s", "data_centre": "d"} | NEEDED
    with pytest.raises(SettingsError, match=f"--{flag}: .*{expected}.*; got"):
        load_settings(RouterSettings, flags | {flag: value}, {})


def test_wrong_secret_is_not_repeated():
    with pytest.raises(SettingsError) as caught:
        load_settings(CtlSettings, NEEDED | {"fleet_token": "hunter2"}, {})
    assert "hunter2" not in str(caught.value)


def test_misspelt_variable_is_refused():
    with pytest.raises(SettingsError, match="OPERATR; did you mean .*OPERATOR"):
        load_settings(CtlSettings, NEEDED, {"CHICORY_OPERATR": "b"})


def test_variable_of_the_platform_is_let_alone():
    environ = {"CHICORY_DEMO_MARK": "x", "CHICORY_PORT_7100_TCP_ADDR": "y"}
    assert load_settings(CtlSettings, NEEDED, environ).operator == "x"
