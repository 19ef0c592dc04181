"""Flags override environment variables, which override defaults."""

import pytest

from chicorystack.settings.loader import SettingsError, load_settings
from chicorystack.settings.types import CtlSettings, RouterSettings

REQUIRED_FLAGS = {
    "log_url": "http://127.0.0.1:1",
    "vm_list_url": "http://127.0.0.1:2/vms",
    "fleet_token": "a-fleet-token",
    "operator": "x",
}


def test_flag_overrides_environment():
    settings = load_settings(
        CtlSettings,
        REQUIRED_FLAGS | {"operator": "a"},
        {"CHICORY_OPERATOR": "b"},
    )
    assert settings.operator == "a"


def test_error_for_a_missing_setting_names_flag_and_variable():
    with pytest.raises(SettingsError, match=r"--log_url \(or CHICORY_LOG_URL"):
        load_settings(CtlSettings, {}, {})


def test_error_for_a_wrong_type_names_the_source():
    flags = {"name": "r", "site": "s", "data_centre": "d"}
    flags |= REQUIRED_FLAGS
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
def test_error_for_a_wrong_value_describes_expected_values(
    flag, value, expected
):
    flags = {"name": "r", "site": "s", "data_centre": "d"} | REQUIRED_FLAGS
    with pytest.raises(SettingsError, match=f"--{flag}: .*{expected}.*; got"):
        load_settings(RouterSettings, flags | {flag: value}, {})


def test_error_for_a_wrong_secret_does_not_contain_it():
    with pytest.raises(SettingsError) as excinfo:
        load_settings(
            CtlSettings, REQUIRED_FLAGS | {"fleet_token": "hunter2"}, {}
        )
    assert "hunter2" not in str(excinfo.value)


def test_misspelt_variable_is_rejected():
    with pytest.raises(SettingsError, match="OPERATR; did you mean .*OPERATOR"):
        load_settings(CtlSettings, REQUIRED_FLAGS, {"CHICORY_OPERATR": "b"})


def test_variable_of_the_platform_is_ignored():
    environ = {"CHICORY_DEMO_MARK": "x", "CHICORY_PORT_7100_TCP_ADDR": "y"}
    assert load_settings(CtlSettings, REQUIRED_FLAGS, environ).operator == "x"
