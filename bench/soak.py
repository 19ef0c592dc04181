"""`make soak`: long randomised runs of the budget state machine."""

import time

import fire
from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.budget.machine import BudgetMachine

EXAMPLES_PER_SEED = 25
STEPS = 40


def soak(seed: int = 1, minutes: float = 10) -> None:
    """Runs consecutive seeds until the time is up.

    Args:
        seed: The first seed.
        minutes: Time after which no further seed is started.
    """
    end_at = time.monotonic() + minutes * 60
    while True:
        _run_seed(seed)
        print(f"seed {seed}: {EXAMPLES_PER_SEED} examples passed", flush=True)
        seed += 1
        if time.monotonic() >= end_at:
            return


def _run_seed(number: int) -> None:
    machine = seed(number)(type("SeededBudgetMachine", (BudgetMachine,), {}))
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
        print(f"reproduce with: make soak SEED={number} MINUTES=0", flush=True)
        raise


if __name__ == "__main__":
    fire.Fire(soak)
