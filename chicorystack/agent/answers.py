"""Writes an agent's answers with the header that routers check."""

import msgspec
from twisted.web import server

from chicorystack.calls.messages import (
    ANSWER_HEADER,
    JSON_CONTENT,
    AnswerHeader,
    CallHeader,
)
from chicorystack.calls.run_table import CachedAnswer

encoder = msgspec.json.Encoder()


def set_answer_header(request: server.Request, answer: AnswerHeader) -> None:
    """Sets the header that identifies the call of an answer."""
    request.setHeader(ANSWER_HEADER, encoder.encode(answer).decode())


def send_answer(
    request: server.Request,
    call: CallHeader,
    answer: CachedAnswer,
    in_flight: int,
) -> None:
    """Sends a complete answer, unless the router has disconnected."""
    if request._disconnected:
        return
    header = AnswerHeader(
        key=call["key"],
        use=answer.use,
        tokens=answer.tokens,
        in_flight=in_flight,
    )
    set_answer_header(request, header)
    request.setResponseCode(answer.status)
    request.setHeader(b"content-type", JSON_CONTENT.encode())
    request.setHeader(b"content-length", str(len(answer.body)).encode())
    request.write(answer.body)
    request.finish()
