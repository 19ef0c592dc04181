"""A changed settings file counts soon, with a signal or without one."""

import json

from twisted.internet.task import Clock

from chicorystack import defaults
from chicorystack.platform.settings import load_settings
from chicorystack.platform.settings_watch import SettingsWatch
from tests.platform.test_decoding import SETTINGS


class Reactor(Clock):
    """A driven clock that installs no signal handlers."""

    def callWhenRunning(self, _function):
        pass


def watch(path):
    clock, seen = Reactor(), []
    path.write_text(json.dumps(SETTINGS))
    watching = SettingsWatch(clock, path, load_settings(path), seen.append)
    watching.start()
    return clock, seen


def test_silent_change_is_noticed(tmp_path):
    path = tmp_path / "settings.json"
    clock, seen = watch(path)
    clock.advance(defaults.SETTINGS_REVIEW_S)
    assert seen == []
    changed = SETTINGS | {"Platform": {"Address": "10.0.0.7:9"}}
    path.write_text(json.dumps(changed))
    clock.advance(defaults.SETTINGS_REVIEW_S)
    assert [str(settings.store.address) for settings in seen] == ["10.0.0.7:9"]
    clock.advance(defaults.SETTINGS_REVIEW_S)
    assert len(seen) == 1


def test_file_that_is_half_written_changes_nothing(tmp_path):
    path = tmp_path / "settings.json"
    clock, seen = watch(path)
    path.write_text('{"NodeName":')
    clock.advance(defaults.SETTINGS_REVIEW_S)
    assert seen == []
