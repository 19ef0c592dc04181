"""Refusals of peers that know more codes still reach the caller."""

from chicorystack.errors import ApiError


def test_code_of_a_later_version_is_passed_on():
    refusal = ApiError("from_tomorrow", "x", "not_run")
    assert refusal.status == 500
    assert refusal.reply()["error"]["code"] == "from_tomorrow"
    assert refusal.reply()["error"]["outcome"] == "not_run"
