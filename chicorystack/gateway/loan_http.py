"""Client and server for token loans between routers, as JSON over HTTP.

`POST /v1/loans` accepts a LoanRequest and returns a LoanAnswer; `POST
/v1/hand-overs` accepts a HandOver and returns a HandOverAnswer.
"""

from typing import TypeVar

from twisted.web import resource

from chicorystack.budget.lender import Lender
from chicorystack.budget.loans import (
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
ResponseT = TypeVar("ResponseT")


def add_loan_resources(api: resource.Resource, lender: Lender) -> None:
    """Adds the loan API below `/v1`."""
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
