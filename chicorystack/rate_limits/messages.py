"""Messages between routers on rate limits, and how they are sent."""

from typing import Protocol

import msgspec

from chicorystack.decoding import Amount, Count, Integer
from chicorystack.errors import ChicoryError

Incarnation = tuple[str, int]


class RatePeerError(ChicoryError):
    """A router sent no valid answer.

    Attributes:
        not_running: Whether its VM refused the connection, so that no process
            runs there.
    """

    def __init__(self, message: str, not_running: bool = False):
        super().__init__(message)
        self.not_running = not_running


class LimitStatement(msgspec.Struct, frozen=True):
    """What a target has stated about the rate of calls that it accepts.

    Attributes:
        target: ID of the target.
        started_ms: Unix time of its start in milliseconds.
        revision: Number of the statement; a higher one is newer.
        calls_per_s: Calls a second that it accepts from all routers together;
            None if it has no limit any more.
    """

    target: str
    started_ms: Count
    revision: Integer
    calls_per_s: Amount | None

    @property
    def incarnation(self) -> Incarnation:
        """The run of the target that made the statement."""
        return self.target, self.started_ms


class ColdStatement(msgspec.Struct, frozen=True):
    """What a cold target has answered.

    Attributes:
        target: ID of the target.
        started_ms: Unix time of its start in milliseconds.
        calls_per_s: Calls a second that it accepts from all routers together
            while it is cold.
        cold_s: Seconds for which it stays cold.
    """

    target: str
    started_ms: Count
    calls_per_s: Amount
    cold_s: Amount

    @property
    def incarnation(self) -> Incarnation:
        """The run of the target."""
        return self.target, self.started_ms


class TargetWait(msgspec.Struct, frozen=True):
    """A target for which the coordinator has no permit.

    Attributes:
        target: ID of the target.
        started_ms: Unix time of its start in milliseconds.
        wait_s: Seconds until a permit may be available.
    """

    target: str
    started_ms: Count
    wait_s: Amount


class ShareRequest(msgspec.Struct, frozen=True):
    """A coordinator asks a router for the lease of its share of all limits.

    Attributes:
        router: Name of the coordinator.
        process: ID of its process.
        lease_s: Requested duration of the lease, in seconds.
        statements: What it knows of targets' limits.
        cold: What it knows of cold targets' answers.
    """

    router: str
    process: str
    lease_s: Amount
    statements: list[LimitStatement]
    cold: list[ColdStatement] = []


class ShareAnswer(msgspec.Struct, frozen=True):
    """The answer to a ShareRequest.

    Attributes:
        leased: Whether the coordinator may use the share.
        statements: What the answering router knows of targets' limits.
        cold: What it knows of cold targets' answers.
    """

    leased: bool
    statements: list[LimitStatement]
    cold: list[ColdStatement] = []


class PermitRequest(msgspec.Struct, frozen=True):
    """A router asks its coordinator for permits to send calls to a target.

    Attributes:
        target: ID of the target.
        started_ms: Unix time of its start in milliseconds.
        count: Number of calls; 0 to report the statements only.
        statements: What the router knows of targets' limits.
        cold_per_s: Calls a second that the target accepts as it is cold; 0 if
            the router does not take it for cold.
        cold: What the router knows of cold targets' answers, if it reports.
    """

    target: str
    started_ms: Count
    count: Count
    statements: list[LimitStatement]
    cold_per_s: Amount = 0.0
    cold: list[ColdStatement] = []


class PermitAnswer(msgspec.Struct, frozen=True):
    """The answer to a PermitRequest.

    Attributes:
        granted: Number of calls that may be sent now.
        wait_s: Seconds until a further permit may be available.
        statements: What the coordinator knows of targets' limits.
        waits: Other targets without permits, if too few were granted.
    """

    granted: Count
    wait_s: Amount
    statements: list[LimitStatement]
    waits: list[TargetWait] = []


class RatePeers(Protocol):
    """Access to the other routers; each call raises RatePeerError."""

    def names(self) -> list[str]:
        """Returns the other routers."""

    async def request_share(
        self, router: str, request: ShareRequest
    ) -> ShareAnswer:
        """Asks a router for the lease of its share."""

    async def request_permits(
        self, router: str, request: PermitRequest
    ) -> PermitAnswer:
        """Asks a coordinator for permits."""
