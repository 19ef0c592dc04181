"""Client and server for tokens between routers, as JSON over HTTP.

`POST /v1/loans` accepts a LoanRequest and returns a LoanAnswer; `POST
/v1/hand-overs` accepts a HandOver and returns a HandOverAnswer; `POST
/v1/grants` accepts an empty object and returns a GrantsReport.
"""

from typing import TypeVar

import msgspec
from twisted.web import resource

from chicorystack.budget.grant_client import GrantClient
from chicorystack.budget.loans import (
    GrantsReport,
    HandOver,
    HandOverAnswer,
    LoanAnswer,
    LoanError,
    LoanRequest,
)
from chicorystack.gateway.peer_http import (
    MessageResource,
    PeerClient,
    PeerError,
)

LOANS_PATH = b"/v1/loans"
HAND_OVERS_PATH = b"/v1/hand-overs"
GRANTS_PATH = b"/v1/grants"
ResponseT = TypeVar("ResponseT")


class GrantsRequest(msgspec.Struct, frozen=True):
    """Asks a router what it holds."""


def add_token_resources(api: resource.Resource, grants: GrantClient) -> None:
    """Adds the resources for tokens below `/v1`."""
    lender = grants.lender
    api.putChild(
        b"grants", MessageResource(GrantsRequest, lambda _: grants.report())
    )
    api.putChild(b"loans", MessageResource(LoanRequest, lender.lend))
    api.putChild(
        b"hand-overs", MessageResource(HandOver, lender.accept_hand_over)
    )


class HttpLoanPeers:
    """HTTP implementation of LoanPeers."""

    def __init__(self, client: PeerClient):
        self._client = client

    def names(self) -> list[str]:
        """See LoanPeers."""
        return self._client.names()

    async def request_loan(
        self, router: str, request: LoanRequest
    ) -> LoanAnswer:
        """See LoanPeers."""
        return await self._send(router, LOANS_PATH, request, LoanAnswer)

    async def hand_over(self, router: str, message: HandOver) -> HandOverAnswer:
        """See LoanPeers."""
        return await self._send(
            router, HAND_OVERS_PATH, message, HandOverAnswer
        )

    async def fetch_grants(self, router: str) -> GrantsReport:
        """See LoanPeers."""
        return await self._send(
            router, GRANTS_PATH, GrantsRequest(), GrantsReport
        )

    async def _send(
        self,
        router: str,
        path: bytes,
        message: object,
        response_type: type[ResponseT],
    ) -> ResponseT:
        try:
            return await self._client.send(router, path, message, response_type)
        except PeerError as error:
            raise LoanError(str(error), error.maybe_done) from error
