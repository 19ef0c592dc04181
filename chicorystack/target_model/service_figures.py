"""Figures of a service that are learned from its calls."""

from chicorystack import defaults
from chicorystack.target_model.held_tokens import HeldTokens
from chicorystack.target_model.messages import CallNeeds
from chicorystack.target_model.regression import OnlineRegression


class ServiceFigures:
    """Learned figures of one service, at usual pace and mean target speed.

    Attributes:
        first_event: Time to the first event of calls with prompts, in seconds,
            by 1, thousands of tokens to read, and running calls.
        response: Time to the response of calls without prompts, in seconds,
            by the number of calls that one slot has to run.
        held_tokens: KV cache that calls hold, and how long they run.
    """

    def __init__(self):
        self.first_event = OnlineRegression(
            defaults.MODEL_FIRST_EVENT_PRIOR, defaults.MODEL_FIRST_EVENT_SCALES
        )
        self.response = OnlineRegression(
            (defaults.MODEL_RESPONSE_PRIOR_S,), (1.0,)
        )
        self.held_tokens = HeldTokens(defaults.MODEL_GAIN)

    def regression(self, needs: CallNeeds) -> OnlineRegression:
        """Returns the regression for calls like this one."""
        return self.first_event if needs.prompt_tokens else self.response
