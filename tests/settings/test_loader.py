"""Settings come from flags first, then the environment, then defaults."""

import pytest

from chicorystack.settings.loader import SettingsError, load_settings
from chicorystack.settings.types import CtlSettings, RouterSettings

NEEDED = {name: "x" for name in CtlSettings._fields}


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
    flags |= {"log_url": "u", "vm_list_url": "v", "fleet_token": "t"}
    with pytest.raises(SettingsError, match="variable CHICORY_PORT"):
        load_settings(RouterSettings, flags, {"CHICORY_PORT": "many"})
