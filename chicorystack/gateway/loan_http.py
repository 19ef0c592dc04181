"""Client and server for tokens between routers, as JSON over HTTP.

`POST /v1/loans` accepts a LoanRequest and returns a LoanAnswer; `POST
/v1/hand-overs` accepts a HandOver and returns a HandOverAnswer; `POST
/v1/grants` accepts a GrantsRequest and returns a GrantsReport; `POST
/v1/grant-notices` accepts a GrantNotice and returns an empty object. `POST
/v1/token-returns` accepts a TokenReturn and returns a TokenReturnAnswer. `POST
/v1/limits` accepts a LimitNotice and returns a LimitNoticeAnswer; `POST
/v1/limits-report` accepts a LimitsRequest and returns a LimitsReport.
"""

from twisted.web import resource

from chicorystack import defaults
from chicorystack.budget.grants.client import GrantClient
from chicorystack.budget.grants.holders import RouterPlace
from chicorystack.budget.grants.loans import (
    GrantsReport,
    GrantsRequest,
    HandOver,
    HandOverAnswer,
    LoanAnswer,
    LoanError,
    LoanRequest,
    TokenReturn,
    TokenReturnAnswer,
)
from chicorystack.budget.grants.witnesses import (
    GrantNotice,
    GrantNoticeAnswer,
    LimitNotice,
    LimitNoticeAnswer,
    LimitsReport,
    LimitsRequest,
)
from chicorystack.gateway.peer_http import (
    MessageResource,
    PeerChannel,
    PeerClient,
)
from chicorystack.util import stable_hash

LOANS_PATH = b"/v1/loans"
HAND_OVERS_PATH = b"/v1/hand-overs"
GRANTS_PATH = b"/v1/grants"
TOKEN_RETURNS_PATH = b"/v1/token-returns"
GRANT_NOTICES_PATH = b"/v1/grant-notices"
LIMITS_PATH = b"/v1/limits"
LIMITS_REPORT_PATH = b"/v1/limits-report"


def add_token_resources(api: resource.Resource, grants: GrantClient) -> None:
    """Adds the resources for tokens below `/v1`."""
    lender = grants.lender
    api.putChild(b"grants", MessageResource(GrantsRequest, grants.report))
    api.putChild(
        b"grant-notices", MessageResource(GrantNotice, grants.accept_grants)
    )
    api.putChild(b"loans", MessageResource(LoanRequest, lender.lend))
    api.putChild(
        b"hand-overs", MessageResource(HandOver, lender.accept_hand_over)
    )
    api.putChild(
        b"token-returns", MessageResource(TokenReturn, lender.accept_return)
    )
    limits = grants.witnessed_limits
    api.putChild(b"limits", MessageResource(LimitNotice, limits.store))
    api.putChild(
        b"limits-report", MessageResource(LimitsRequest, limits.report)
    )


class HttpRouterPeers:
    """HTTP implementation of RouterPeers."""

    def __init__(self, client: PeerClient, own: RouterPlace):
        """Starts without connections.

        Args:
            client: Sends the messages.
            own: This router.
        """
        self._channel = PeerChannel(
            client,
            defaults.PEER_TIMEOUT_S,
            lambda error: LoanError(str(error), error.maybe_done),
        )
        self._own = own

    def names(self) -> list[str]:
        """See LoanPeers."""
        return self._channel.names()

    def witness_candidates(self) -> list[str]:
        """See WitnessPeers.

        Routers of other data centres come first: one data centre may be lost as
        a whole. The rest of the order differs from router to router, so that
        each is a witness of about as many others.
        """
        near = set(self._channel.names(self._own.data_centre))
        return sorted(
            self._channel.names(),
            key=lambda router: (
                router in near,
                stable_hash(f"{self._own.router}\0{router}"),
            ),
        )

    async def announce_limits(
        self, router: str, notice: LimitNotice
    ) -> LimitNoticeAnswer:
        """See WitnessPeers."""
        return await self._channel.send(
            router, LIMITS_PATH, notice, LimitNoticeAnswer
        )

    async def tell_grants(
        self, router: str, notice: GrantNotice
    ) -> GrantNoticeAnswer:
        """See WitnessPeers."""
        return await self._channel.send(
            router, GRANT_NOTICES_PATH, notice, GrantNoticeAnswer
        )

    async def fetch_limits(
        self, router: str, request: LimitsRequest
    ) -> LimitsReport:
        """See WitnessPeers."""
        return await self._channel.send(
            router, LIMITS_REPORT_PATH, request, LimitsReport
        )

    async def request_loan(
        self, router: str, request: LoanRequest
    ) -> LoanAnswer:
        """See LoanPeers."""
        return await self._channel.send(router, LOANS_PATH, request, LoanAnswer)

    async def hand_over(self, router: str, message: HandOver) -> HandOverAnswer:
        """See LoanPeers."""
        return await self._channel.send(
            router, HAND_OVERS_PATH, message, HandOverAnswer
        )

    async def return_tokens(
        self, router: str, message: TokenReturn
    ) -> TokenReturnAnswer:
        """See LoanPeers."""
        return await self._channel.send(
            router, TOKEN_RETURNS_PATH, message, TokenReturnAnswer
        )

    async def fetch_grants(
        self, router: str, request: GrantsRequest
    ) -> GrantsReport:
        """See LoanPeers."""
        return await self._channel.send(
            router, GRANTS_PATH, request, GrantsReport
        )
