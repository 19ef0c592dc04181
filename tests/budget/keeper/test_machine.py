"""A short run of the budget state machine; `make soak` does longer ones."""

from hypothesis import settings

from tests.budget.keeper.machine import BudgetMachine

TestBudgetMachine = BudgetMachine.TestCase
TestBudgetMachine.settings = settings(
    max_examples=8, stateful_step_count=25, deadline=None
)
