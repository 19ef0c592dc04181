"""Tests the format of log lines, and that they show no variables."""

import io

import pytest
from loguru import logger
from twisted.internet import defer

from chicorystack.observe import logs


@pytest.fixture
def log_lines(monkeypatch):
    stream = io.StringIO()
    monkeypatch.setattr(
        logs.globalLogBeginner, "beginLoggingTo", lambda *_, **__: None
    )
    logs.setup_logs("router-1", "TRACE", stream)
    yield stream.getvalue
    logger.remove()


def test_line_has_process_part_and_fields(log_lines):
    logs.part_logger("calls").info("refused: {}", "x", key="k1", customer="a")
    assert "INFO    router-1 calls: refused: x key=k1 customer=a\n" in (
        log_lines()
    )


def test_traceback_shows_no_values_of_variables(log_lines):
    def authenticate(secret):
        raise ValueError("wrong")

    secret_key = "ck.alpha." + "s3cr3t"
    try:
        authenticate(secret_key)
    except ValueError as error:
        logs.part_logger("web").opt(exception=error).error("handler failed")
    text = log_lines()
    assert "ValueError: wrong" in text
    assert "s3cr3t" not in text


def test_unhandled_failure_is_logged(log_lines):
    deferred = defer.fail(RuntimeError("lost"))
    failure = deferred.result
    deferred.addErrback(lambda _: None)
    event = {"log_level": logs.LogLevel.critical, "log_failure": failure}
    logs.log_twisted_event(event)
    text = log_lines()
    assert "router-1 twisted: unhandled error" in text
    assert "RuntimeError: lost" in text
