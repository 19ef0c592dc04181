"""The timeout adapts to a store that is fast, becomes slow or fails."""

from chicorystack import defaults
from chicorystack.store.adaptive_timeout import AdaptiveTimeout


def converged_timeout(response_time_s):
    timeout = AdaptiveTimeout()
    for _ in range(60):
        timeout.record_response_time(response_time_s)
    return timeout


def test_fast_store_has_a_short_timeout():
    assert converged_timeout(0.008).timeout_s < 0.25


def test_timeout_grows_with_each_failure_up_to_the_limit():
    timeout = converged_timeout(0.008)
    for _ in range(3):
        timeout.record_failure()
    assert timeout.timeout_s == defaults.STORE_CALL_TIMEOUT_MAX_S


def test_slow_response_raises_the_timeout_at_once():
    timeout = converged_timeout(0.008)
    timeout.record_response_time(0.24)
    assert timeout.timeout_s == defaults.STORE_CALL_TIMEOUT_MAX_S
