"""Stand-in for the platform's store: keyed topics in memory, with faults."""

import base64
from collections import defaultdict
from typing import Literal, NamedTuple

import msgspec
from twisted.internet import defer, task
from twisted.web import resource, server

from chicorystack.decoding import decode_json
from chicorystack.platform.store import READ_HEADER, RECORD_LENGTH

FaultKind = Literal["none", "refuse", "silent", "lost"]
LONG_POLL_INTERVAL_S = 0.02
# Topics that clients can only read; only `/standin/put` writes to them.
READ_ONLY_TOPICS = ("keyed.op", "keyed.servers")
# Keys of the operator's requests to evacuate data centres.
EVACUATION_PREFIX = "evacuate/"


class StoreFaults(msgspec.Struct):
    """Faults that a test injects.

    Attributes:
        reads: Fault of reads: `refuse` responds with status 503, `silent` and
            `lost` send no response.
        appends: Fault of appends; as for reads, but `lost` appends the records
            and sends no response.
    """

    reads: FaultKind = "none"
    appends: FaultKind = "none"


class PutRequest(msgspec.Struct):
    """A record that the operator or an engine writes.

    Attributes:
        topic: Topic to write to.
        key: Key of the record.
        value: Its value; empty to delete the key.
        part: Number of the partition.
        encoding: Whether key and value are text or bytes in base64, as another
            program may write them.
    """

    topic: str
    key: str
    value: str
    part: int = 0
    encoding: Literal["text", "base64"] = "text"

    def record(self, now: float) -> "Record":
        """Returns the record that is written at a clock time."""
        if self.encoding == "text":
            return Record(self.key, self.value.encode(), now)
        key = base64.b64decode(self.key)
        return Record(_decode_key(key), base64.b64decode(self.value), now)


class RestoreRequest(msgspec.Struct):
    """Asks the store to return to an older copy of its contents.

    Attributes:
        age_s: Age of the copy, in seconds.
        drop_requests: Whether the operator's newer evacuation requests are
            lost too.
    """

    age_s: float
    drop_requests: bool = False


class Record(NamedTuple):
    """One record.

    Attributes:
        key: Its key; bytes that are not UTF-8 are surrogate escapes.
        value: Its value; empty if the key is deleted.
        appended_at: Clock time of its append, in seconds.
    """

    key: str
    value: bytes
    appended_at: float


class StoreState:
    """Contents and faults of the store.

    Attributes:
        records_by_partition: Records by topic and partition number.
        faults: Current faults.
        call_counts: Calls received so far, by name.
        era: Number of this history; rises when an older copy is restored.
    """

    def __init__(self):
        self.records_by_partition: dict[tuple[str, int], list[Record]] = (
            defaultdict(list)
        )
        self.faults = StoreFaults()
        self.call_counts: dict[str, int] = defaultdict(int)
        self.era = 1

    def restore(self, copied_at: float, drop_requests: bool) -> None:
        """Drops what the system has written since a clock time.

        What the operator and the engines wrote stays, as they write it again.

        Args:
            copied_at: Clock time of the copy, in seconds.
            drop_requests: See RestoreRequest.
        """
        self.era += 1
        for (topic, _), records in self.records_by_partition.items():
            records[:] = [
                record
                for record in records
                if record.appended_at <= copied_at
                or _is_kept(topic, record, drop_requests)
            ]


class StoreResource(resource.Resource):
    """HTTP interface of the store; `/standin/` is for tests."""

    isLeaf = True

    def __init__(self, reactor, state: StoreState):
        super().__init__()
        self._reactor = reactor
        self._state = state

    def render_GET(self, request: server.Request) -> bytes | int:
        """Handles reads."""
        self._set_era(request)
        name = request.path.decode().rpartition("/")[2]
        if name == "counts":
            return msgspec.json.encode(dict(self._state.call_counts))
        self._state.call_counts[name] += 1
        fault = self._state.faults.reads
        if fault != "none":
            return _respond_with_fault(request, fault)
        if name == "log-newest":
            return self._encode_newest(request)
        reading = defer.ensureDeferred(self._send_records(request))
        request.notifyFinish().addErrback(lambda _: reading.cancel())
        reading.addErrback(lambda failure: failure.trap(defer.CancelledError))
        return server.NOT_DONE_YET

    def render_POST(self, request: server.Request) -> bytes | int:
        """Handles writes."""
        self._set_era(request)
        name = request.path.decode().rpartition("/")[2]
        body = request.content.read()
        if name == "faults":
            self._state.faults = decode_json(body, StoreFaults)
            return b"{}"
        if name == "restore":
            restore = decode_json(body, RestoreRequest)
            self._state.restore(
                self._reactor.seconds() - restore.age_s, restore.drop_requests
            )
            return b"{}"
        if name == "put":
            put = decode_json(body, PutRequest)
            records = self._state.records_by_partition[put.topic, put.part]
            records.append(put.record(self._reactor.seconds()))
            return b"{}"
        self._state.call_counts[name] += 1
        return self._append(request, body)

    def _set_era(self, request: server.Request) -> None:
        request.setHeader("Store-Era", str(self._state.era))

    def _append(self, request: server.Request, body: bytes) -> bytes | int:
        fault = self._state.faults.appends
        if fault in ("refuse", "silent"):
            return _respond_with_fault(request, fault)
        partition = _requested_partition(request)
        if partition[0] in READ_ONLY_TOPICS:
            request.setResponseCode(403)
            return b"{}"
        records = self._state.records_by_partition[partition]
        expected_end = request.args.get(b"At")
        if expected_end is not None and int(expected_end[0]) != len(records):
            request.setResponseCode(412)
            return msgspec.json.encode({"End": len(records)})
        offset = len(records)
        records += _decode_records(body, self._reactor.seconds())
        if fault == "lost":
            return _respond_with_fault(request, fault)
        return msgspec.json.encode({"Offset": offset, "End": len(records)})

    def _encode_newest(self, request: server.Request) -> bytes:
        records = self._state.records_by_partition[
            _requested_partition(request)
        ]
        newest = {
            record.key: (offset, record)
            for offset, record in enumerate(records)
        }
        entries = [
            {
                "Key": _encode_key(key).decode(errors="replace"),
                "Value": base64.b64encode(record.value).decode(),
                "Offset": offset,
            }
            for key, (offset, record) in sorted(newest.items())
            if record.value
        ]
        return msgspec.json.encode(
            {"Entries": entries, "HasMore": False, "End": len(records)}
        )

    async def _send_records(self, request: server.Request) -> None:
        records = self._state.records_by_partition[
            _requested_partition(request)
        ]
        start = int(request.args[b"From"][0])
        if start > len(records):
            request.setResponseCode(410)
            request.write(b'{"First": 0}')
            request.finish()
            return
        wait_s = int(request.args.get(b"WaitMs", [b"0"])[0]) / 1000
        deadline = self._reactor.seconds() + wait_s
        while len(records) <= start and self._reactor.seconds() < deadline:
            await task.deferLater(self._reactor, LONG_POLL_INTERVAL_S)
        # The era may have changed while the request waited.
        self._set_era(request)
        request.write(READ_HEADER.pack(len(records), 0))
        for record in records[start:]:
            key = _encode_key(record.key)
            content = bytes([len(key)]) + key + record.value
            request.write(RECORD_LENGTH.pack(len(content)) + content)
        request.finish()


def _decode_key(key: bytes) -> str:
    return key.decode(errors="surrogateescape")


def _encode_key(key: str) -> bytes:
    return key.encode(errors="surrogateescape")


def _is_kept(topic: str, record: Record, drop_requests: bool) -> bool:
    """Returns whether a record newer than the restored copy stays."""
    if drop_requests and record.key.startswith(EVACUATION_PREFIX):
        return False
    return topic in READ_ONLY_TOPICS


def _requested_partition(request: server.Request) -> tuple[str, int]:
    return request.args[b"Topic"][0].decode(), int(request.args[b"part"][0])


def _decode_records(body: bytes, now: float) -> list[Record]:
    records, position = [], 0
    while position < len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        content = body[position : position + length]
        key_end = 1 + content[0]
        key = _decode_key(content[1:key_end])
        records.append(Record(key, content[key_end:], now))
        position += length
    return records


def _respond_with_fault(
    request: server.Request, fault: FaultKind
) -> bytes | int:
    if fault == "refuse":
        request.setResponseCode(503)
        return b"{}"
    # Sends nothing and keeps the connection open.
    return server.NOT_DONE_YET
