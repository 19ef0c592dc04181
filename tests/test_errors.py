"""Tests that error codes of later versions are passed on to the caller."""

from chicorystack.errors import ApiError


def test_unknown_error_code_is_passed_on():
    api_error = ApiError("from_tomorrow", "x", "not_run")
    assert api_error.status == 500
    assert api_error.to_reply()["error"]["code"] == "from_tomorrow"
    assert api_error.to_reply()["error"]["outcome"] == "not_run"
