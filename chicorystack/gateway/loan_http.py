"""Client and server for token loans between routers, as JSON over HTTP.

`POST /v1/loans` accepts a LoanRequest and returns a LoanAnswer; `POST
/v1/hand-overs` accepts a HandOver and returns a HandOverAnswer.
"""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from twisted.web import http, resource, server

from chicorystack import defaults
from chicorystack.budget.loans import (
    HandOver,
    HandOverAnswer,
    Lender,
    LoanAnswer,
    LoanError,
    LoanRequest,
)
from chicorystack.observe.events import emit
from chicorystack.web.exchange import (
    Address,
    ConnectionPool,
    ExchangeError,
    FetchLimits,
    HttpRequest,
    fetch,
)

LOANS_PATH = b"/v1/loans"
HAND_OVERS_PATH = b"/v1/hand-overs"
ResponseT = TypeVar("ResponseT")


class _MessageResource(resource.Resource):
    """Decodes and handles one type of message."""

    isLeaf = True

    def __init__(self, message_type: type, handler: Callable[[Any], object]):
        super().__init__()
        self._decoder = msgspec.json.Decoder(message_type)
        self._handler = handler

    def render_POST(self, request: server.Request) -> bytes:
        """Returns the handler's result as JSON; 400 if decoding fails."""
        try:
            message = self._decoder.decode(request.content.read())
        except msgspec.DecodeError as error:
            emit("loans", "unreadable", reason=str(error))
            request.setResponseCode(http.BAD_REQUEST)
            return b""
        request.setHeader(b"content-type", b"application/json")
        return msgspec.json.encode(self._handler(message))


class LoanResource(resource.Resource):
    """Root resource of the loan API."""

    def __init__(self, lender: Lender):
        super().__init__()
        api = resource.Resource()
        self.putChild(b"v1", api)
        api.putChild(b"loans", _MessageResource(LoanRequest, lender.lend))
        api.putChild(
            b"hand-overs", _MessageResource(HandOver, lender.accept_hand_over)
        )


class HttpLoanPeers:
    """HTTP implementation of LoanPeers."""

    def __init__(
        self, reactor, address_by_name: Callable[[], dict[str, Address]]
    ):
        self._reactor = reactor
        self._address_by_name = address_by_name
        self._pool_by_address: dict[Address, ConnectionPool] = {}

    def names(self) -> list[str]:
        """See LoanPeers."""
        return list(self._address_by_name())

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
        address = self._address_by_name().get(router)
        if address is None:
            raise LoanError(f"router {router} has left", maybe_done=False)
        request = HttpRequest(
            b"POST",
            path,
            [(b"host", str(address).encode())],
            msgspec.json.encode(message),
        )
        try:
            response = await fetch(
                self._reactor,
                self._connection_pool(address),
                request,
                FetchLimits(defaults.LOAN_TIMEOUT_S, defaults.LOAN_TIMEOUT_S),
            )
            return msgspec.json.decode(response.body, type=response_type)
        except ExchangeError as error:
            raise LoanError(f"{router}: {error}", error.sent) from error
        except msgspec.DecodeError as error:
            raise LoanError(f"{router}: {error}") from error

    def _connection_pool(self, address: Address) -> ConnectionPool:
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = ConnectionPool(
                self._reactor, address, defaults.LOAN_TIMEOUT_S
            )
            self._pool_by_address[address] = pool
        return pool
