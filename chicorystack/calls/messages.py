"""What travels with a call between router, agent and target."""

from typing import Literal, NotRequired, TypedDict

from chicorystack.config.model import Priority

CALL_HEADER = "chicory-call"
ANSWER_HEADER = "chicory-answer"
# Key of the call that an agent's refusal is for.
KEY_HEADER = "chicory-key"
EVENT_STREAM = "text/event-stream"
JSON_CONTENT = "application/json"

# Blank line that ends an event of a stream.
EVENT_END = b"\n\n"
# Begins the last event of a complete stream.
END_EVENT_PREFIX = b"event: end\ndata: "
# Begins the last event of a stream that broke off.
ERROR_EVENT_PREFIX = b"event: error\ndata: "

AnswerOutcome = Literal["done", "cancelled"]


class CallHeader(TypedDict):
    """Header of a call from a router to an agent.

    Attributes:
        site: Site of the service.
        service: Service to call.
        operation: Operation to call.
        customer: Customer who pays.
        budget: Budget's id.
        key: Hash of customer and call key.
        repeatable: Whether running the call twice does no harm.
        shard: Shard of the budget.
        epoch: Epoch under which the tokens are held.
        use: Id of this run for billing.
        settled_below: All runs of the same router and shard with a lower
            number are settled with the keeper.
        reserved: Upper bound on the tokens of the call.
        cost_tokens: Tokens charged besides prompt and generated ones.
        max_tokens: Most tokens to generate; engines only.
        priority: Order in which the target takes calls.
        timeout_ms: Time left to the caller's deadline; the receiver turns it
            into a deadline on its own clock at once.
        resume_tokens: Generated tokens that the caller has already.
        keep_answer: Whether the caller gave the key and so may ask again.
        refuse: Whether the call is to be refused for good unless it has run.
        config_version: Configuration in force at the router.
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


class AnswerHeader(TypedDict):
    """Header of an answer from an agent to a router.

    Attributes:
        key: Key of the call that this answers.
        use: Id of the run that made the answer; another run's where a kept
            answer is given again.
        tokens: Tokens used; absent where the end record of a stream says it.
        in_flight: Calls running at the target as the answer begins.
    """

    key: str
    use: str
    tokens: NotRequired[int]
    in_flight: int


class EndRecord(TypedDict):
    """Data of the last event of a complete stream.

    Attributes:
        outcome: Whether the answer is whole.
        tokens: Tokens used.
    """

    outcome: AnswerOutcome
    tokens: int


class LoadReport(TypedDict):
    """How busy a target is, as its agent knows.

    Attributes:
        target: Name of the target.
        ready: Whether it takes new calls.
        in_flight: Calls that the agent has given to the target.
        running: Calls running, as the target last said.
        queued: Calls waiting, as the target last said.
        config_version: Configuration in force at the agent.
        leaving: Whether it takes no new calls any more.
        late_arrivals: New calls that came when routers should have known.
    """

    target: str
    ready: bool
    in_flight: int
    running: int
    queued: int
    config_version: int
    leaving: NotRequired[bool]
    late_arrivals: NotRequired[int]


class Empty(TypedDict):
    """A message without contents."""


class GenerateBody(TypedDict):
    """Body of a call to a model engine.

    Attributes:
        prompt: The prompt.
        max_tokens: Most tokens to generate.
    """

    prompt: str
    max_tokens: NotRequired[int]


class EngineRequest(TypedDict):
    """What an agent sends to its engine.

    Attributes:
        prompt: The prompt.
        max_tokens: Most tokens to generate.
        priority: Order in which the engine takes calls.
        resume_tokens: Generated tokens that the caller has already.
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
    """What an engine or service reports of its load, some time late."""

    running: int
    queued: int
