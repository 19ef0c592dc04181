"""A small HTTP/1.1 server and client on asyncio for the cases' stand-ins."""

import asyncio
import contextlib
from typing import NamedTuple

MAX_LINE = 65_536


class Request(NamedTuple):
    """A complete request.

    Attributes:
        method: Such as `GET`.
        target: Path and query.
        headers: Values by lowercase name.
        body: The complete body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """What a client has received.

    Attributes:
        status: HTTP status; 0 if the connection ended before the head.
        headers: Values by lowercase name.
        body: The bytes of the body that arrived, without framing.
        whole: Whether the framing shows that the body is complete.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


async def read_head(reader) -> tuple[str, dict[str, str]] | None:
    """Returns the first line and the headers; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers: dict[str, str] = {}
    while True:
        raw = await reader.readline()
        if not raw:
            return None
        if raw in (b"\r\n", b"\n"):
            return line.decode("latin-1").strip(), headers
        name, _, value = raw.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_chunks(reader, parts: list[bytes]) -> bool:
    """Reads a chunked body; returns whether its end was received."""
    while True:
        line = await reader.readline()
        if not line:
            return False
        size = int(line.split(b";")[0].strip() or b"0", 16)
        if size == 0:
            return (await reader.readline()) in (b"\r\n", b"\n")
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)


async def read_request(reader) -> Request | None:
    """Returns the next request of a connection; None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    parts: list[bytes] = []
    if "chunked" in head[1].get("transfer-encoding", ""):
        await read_chunks(reader, parts)
    elif int(head[1].get("content-length", "0")):
        parts.append(await reader.readexactly(int(head[1]["content-length"])))
    return Request(method, target, head[1], b"".join(parts))


def encode_response(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def serve(handler, ip: str, port: int):
    """Serves connections; the handler gets a request and the writer."""

    async def run(reader, writer) -> None:
        with contextlib.suppress(
            ConnectionError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ValueError,
        ):
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if not await handler(request, reader, writer):
                    break
        writer.close()

    return await asyncio.start_server(
        run, ip, port, limit=MAX_LINE, backlog=512
    )


async def send(
    ip: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Sends one request on a new connection and returns its answer."""
    parts: list[bytes] = []
    state: dict = {"status": 0, "headers": {}}

    async def exchange() -> bool:
        reader, writer = await asyncio.open_connection(ip, port, limit=MAX_LINE)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            head = await read_head(reader)
            if head is None:
                return False
            state["status"] = int(head[0].split(" ")[1])
            state["headers"] = head[1]
            if "chunked" in head[1].get("transfer-encoding", ""):
                return await read_chunks(reader, parts)
            if "content-length" in head[1]:
                length = int(head[1]["content-length"])
                while length:
                    part = await reader.read(length)
                    if not part:
                        return False
                    parts.append(part)
                    length -= len(part)
                return True
            while part := await reader.read(MAX_LINE):
                parts.append(part)
            return True
        finally:
            writer.close()

    try:
        whole = await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        whole = False
    return Answer(state["status"], state["headers"], b"".join(parts), whole)
