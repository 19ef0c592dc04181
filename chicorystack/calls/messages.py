"""Messages and headers exchanged by routers, agents and targets."""

from typing import Literal, NotRequired, TypedDict

from chicorystack.config.model import Priority
from chicorystack.quarantine.strikes import StrikeMessage

CALL_HEADER = "chicory-call"
ANSWER_HEADER = "chicory-answer"
# Key of the call that an agent refuses.
KEY_HEADER = "chicory-key"
EVENT_STREAM = "text/event-stream"
JSON_CONTENT = "application/json"

# Blank line that terminates an event of a stream.
EVENT_END = b"\n\n"
# Prefix of the last event of a complete stream.
END_EVENT_PREFIX = b"event: end\ndata: "
# Prefix of the last event of an interrupted stream.
ERROR_EVENT_PREFIX = b"event: error\ndata: "

AnswerOutcome = Literal["done", "cancelled"]


class CallHeader(TypedDict):
    """Header of a call from a router to an agent.

    Attributes:
        site: Site of the service.
        service: Service to call.
        operation: Operation to call.
        customer: Customer that is billed.
        budget: Id of the budget.
        key: Hash of the customer and the idempotency key.
        repeatable: Whether the call is idempotent.
        shard: Shard of the budget.
        epoch: Epoch under which the router holds the reserved tokens.
        use: Id of this run for billing.
        settled_below: All runs of the same router and shard with a lower
            number are settled with the keeper.
        reserved: Upper bound on the tokens of the call.
        cost_tokens: Tokens charged in addition to prompt and generated ones.
        max_tokens: Maximum number of tokens to generate; engines only.
        priority: Scheduling priority at the target.
        timeout_ms: Time left until the caller's deadline, in milliseconds.
            The receiver converts it to a deadline on its own clock at once.
        resume_tokens: Number of generated tokens that the caller already has.
        keep_answer: Whether to cache the answer; set where the caller chose
            the key and so may retry with it.
        refuse: Whether to record a tombstone instead of running the call,
            unless it has run already.
        config_version: Configuration version in force at the router.
        strikes: Strikes of the call's content that the router knows.
    """

    site: str
    service: str
    operation: str
    customer: str
    budget: str
    key: str
    repeatable: bool
    shard: int
    epoch: int
    use: str
    settled_below: int
    reserved: int
    cost_tokens: int
    max_tokens: int
    priority: Priority
    timeout_ms: int
    resume_tokens: NotRequired[int]
    keep_answer: NotRequired[bool]
    refuse: NotRequired[bool]
    config_version: NotRequired[int]
    strikes: NotRequired[list[StrikeMessage]]


class AnswerHeader(TypedDict):
    """Header of an answer from an agent to a router.

    Attributes:
        key: Key of the call that this answers.
        use: Id of the run that produced the answer; that of an earlier run
            where the answer is a cached one.
        tokens: Tokens used; absent for streams, whose end record has them.
        in_flight: Calls in flight at the target when the answer starts.
    """

    key: str
    use: str
    tokens: NotRequired[int]
    in_flight: int


class EndRecord(TypedDict):
    """Data of the last event of a complete stream.

    Attributes:
        outcome: Whether the answer is complete or was cancelled.
        tokens: Tokens used.
    """

    outcome: AnswerOutcome
    tokens: int


class LoadReport(TypedDict):
    """Load and state of a target, reported by its agent.

    Attributes:
        target: Name of the target.
        ready: Whether it accepts new calls.
        in_flight: Calls that the agent has sent to the target and that have
            not finished.
        running: Running calls, as last reported by the target.
        queued: Queued calls, as last reported by the target.
        config_version: Configuration version in force at the agent.
        leaving: Whether the target is draining and accepts no new calls.
        late_arrivals: New calls that routers sent after the time by which
            they should have known that the target is leaving.
        strikes: All strikes that the agent knows.
    """

    target: str
    ready: bool
    in_flight: int
    running: int
    queued: int
    config_version: int
    leaving: NotRequired[bool]
    late_arrivals: NotRequired[int]
    strikes: NotRequired[list[StrikeMessage]]


class Empty(TypedDict):
    """A message without fields."""


class GenerateBody(TypedDict):
    """Body of a call to a model engine.

    Attributes:
        prompt: The prompt.
        max_tokens: Maximum number of tokens to generate.
    """

    prompt: str
    max_tokens: NotRequired[int]


class EngineRequest(TypedDict):
    """Request of an agent to its engine.

    Attributes:
        prompt: The prompt.
        max_tokens: Maximum number of tokens to generate.
        priority: Scheduling priority at the engine.
        resume_tokens: Number of generated tokens that the caller already has.
    """

    prompt: str
    max_tokens: int
    priority: Priority
    resume_tokens: NotRequired[int]


class EngineUsage(TypedDict):
    """Data of the last event of an engine's stream."""

    done: bool
    prompt_tokens: int
    completion_tokens: int


class EngineLoad(TypedDict):
    """Load that an engine or service reports; it may be slightly stale."""

    running: int
    queued: int
