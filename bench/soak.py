"""Long randomised runs of the budgets' state machine."""

import time

import fire
from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.budget.machine import BudgetMachine

EXAMPLES_PER_SEED = 25
STEPS = 40


def soak(seed: int = 1, minutes: float = 10) -> None:
    """Runs seed after seed until the time is over.

    Args:
        seed: The first seed.
        minutes: How long to go on; the seed in course is finished.
    """
    end_at = time.monotonic() + minutes * 60
    while True:
        _run_seed(seed)
        print(f"seed {seed}: {EXAMPLES_PER_SEED} lives passed", flush=True)
        seed += 1
        if time.monotonic() >= end_at:
            return


def _run_seed(number: int) -> None:
    machine = seed(number)(type("Life", (BudgetMachine,), {}))
    try:
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=EXAMPLES_PER_SEED,
                stateful_step_count=STEPS,
                database=None,
                deadline=None,
                suppress_health_check=list(HealthCheck),
            ),
        )
    except BaseException:
        print(f"replay with: make soak SEED={number} MINUTES=0", flush=True)
        raise


if __name__ == "__main__":
    fire.Fire(soak)
