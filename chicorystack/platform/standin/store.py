"""A stand-in for the platform's store: keyed topics, conditions and faults."""

import base64
from collections import defaultdict
from typing import Literal, NamedTuple

import msgspec
from twisted.internet import defer, task
from twisted.web import resource, server

from chicorystack.platform.store import LENGTH, READ_PREFIX

Fault = Literal["none", "refuse", "silent", "lost"]
LONG_POLL_STEP_S = 0.02
SYSTEM_TOPICS = ("keyed.op", "keyed.servers")


class StandinFaults(msgspec.Struct):
    """What the store does wrong from now on.

    Attributes:
        reads: To reads.
        appends: To appends; `lost` does them and says nothing.
    """

    reads: Fault = "none"
    appends: Fault = "none"


class PutOrder(msgspec.Struct):
    """What the operator or an engine writes.

    Attributes:
        topic: The topic.
        key: The key.
        value: JSON text; empty to drop the key.
    """

    topic: str
    key: str
    value: str


class Row(NamedTuple):
    """One record.

    Attributes:
        key: Its key.
        value: Its value; empty where the key is dropped.
    """

    key: str
    value: bytes


class StoreState:
    """All topics.

    Attributes:
        rows_by_partition: Records by topic and partition.
        faults: What goes wrong now.
        calls: Calls answered so far, by name.
    """

    def __init__(self):
        self.rows_by_partition: dict[tuple[str, int], list[Row]] = defaultdict(
            list
        )
        self.faults = StandinFaults()
        self.calls: dict[str, int] = defaultdict(int)


class StoreResource(resource.Resource):
    """All calls of the store, and `/standin/` for tests."""

    isLeaf = True

    def __init__(self, reactor, state: StoreState):
        super().__init__()
        self._reactor = reactor
        self._state = state

    def render_GET(self, request: server.Request) -> bytes | int:
        """Reads."""
        name = request.path.decode().rpartition("/")[2]
        if name == "counts":
            return msgspec.json.encode(dict(self._state.calls))
        self._state.calls[name] += 1
        fault = self._state.faults.reads
        if fault != "none":
            return _fail(request, fault)
        if name == "log-newest":
            return self._newest(request)
        reading = defer.ensureDeferred(self._read(request))
        request.notifyFinish().addErrback(lambda _: reading.cancel())
        reading.addErrback(lambda failure: failure.trap(defer.CancelledError))
        return server.NOT_DONE_YET

    def render_POST(self, request: server.Request) -> bytes | int:
        """Writes."""
        name = request.path.decode().rpartition("/")[2]
        body = request.content.read()
        if name == "faults":
            self._state.faults = msgspec.json.decode(body, type=StandinFaults)
            return b"{}"
        if name == "put":
            order = msgspec.json.decode(body, type=PutOrder)
            rows = self._state.rows_by_partition[order.topic, 0]
            rows.append(Row(order.key, order.value.encode()))
            return b"{}"
        self._state.calls[name] += 1
        return self._append(request, body)

    def _append(self, request: server.Request, body: bytes) -> bytes | int:
        fault = self._state.faults.appends
        if fault in ("refuse", "silent"):
            return _fail(request, fault)
        partition = _partition(request)
        if partition[0] in SYSTEM_TOPICS:
            request.setResponseCode(403)
            return b"{}"
        rows = self._state.rows_by_partition[partition]
        expected = request.args.get(b"At")
        if expected is not None and int(expected[0]) != len(rows):
            request.setResponseCode(412)
            return msgspec.json.encode({"End": len(rows)})
        offset = len(rows)
        rows += _decode_rows(body)
        if fault == "lost":
            return _fail(request, fault)
        return msgspec.json.encode({"Offset": offset, "End": len(rows)})

    def _newest(self, request: server.Request) -> bytes:
        rows = self._state.rows_by_partition[_partition(request)]
        newest = {row.key: (offset, row) for offset, row in enumerate(rows)}
        entries = [
            {
                "Key": key,
                "Value": base64.b64encode(row.value).decode(),
                "Offset": offset,
            }
            for key, (offset, row) in sorted(newest.items())
            if row.value
        ]
        return msgspec.json.encode(
            {"Entries": entries, "HasMore": False, "End": len(rows)}
        )

    async def _read(self, request: server.Request) -> None:
        rows = self._state.rows_by_partition[_partition(request)]
        start = int(request.args[b"From"][0])
        wait_s = int(request.args.get(b"WaitMs", [b"0"])[0]) / 1000
        give_up_at = self._reactor.seconds() + wait_s
        while len(rows) <= start and self._reactor.seconds() < give_up_at:
            await task.deferLater(self._reactor, LONG_POLL_STEP_S)
        request.write(READ_PREFIX.pack(len(rows), 0))
        for row in rows[start:]:
            content = bytes([len(row.key)]) + row.key.encode() + row.value
            request.write(LENGTH.pack(len(content)) + content)
        request.finish()


def _partition(request: server.Request) -> tuple[str, int]:
    return request.args[b"Topic"][0].decode(), int(request.args[b"part"][0])


def _decode_rows(body: bytes) -> list[Row]:
    rows, place = [], 0
    while place < len(body):
        (length,) = LENGTH.unpack_from(body, place)
        place += LENGTH.size
        content = body[place : place + length]
        key_end = 1 + content[0]
        rows.append(Row(content[1:key_end].decode(), content[key_end:]))
        place += length
    return rows


def _fail(request: server.Request, fault: Fault) -> bytes | int:
    if fault == "refuse":
        request.setResponseCode(503)
        return b"{}"
    # Neither an answer nor an end.
    return server.NOT_DONE_YET
