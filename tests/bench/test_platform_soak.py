"""A short run of random faults on real routers on the platform."""

import pytest

from bench.platform_soak import soak

SECONDS = 8.0


@pytest.mark.parametrize("seed", [1, 2])
def test_all_promises_are_kept_under_random_faults(seed):
    assert soak(seed, SECONDS) == 0
