"""Stand-in for the platform's store: a log with keyed topics, in memory."""

import asyncio
import base64
import json
import struct
import time
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from http_server import Request, encode_response, serve

LENGTH = struct.Struct(">I")
READ_HEAD = struct.Struct(">QQ")
ANSWER_S = 0.004
# Topics that only the operator and the engines write to.
OPERATED_TOPICS = ("keyed.op", "keyed.servers")


class Record(NamedTuple):
    """One record of a keyed topic."""

    key: bytes
    value: bytes


class Append(NamedTuple):
    """An append as a router sends it.

    Attributes:
        topic: Its topic.
        part: Its partition.
        records: Its records.
        condition: Offset at which the partition must end; None for any.
    """

    topic: str
    part: int
    records: list[Record]
    condition: int | None


class Store:
    """The store.

    Attributes:
        records: Records by topic and partition.
        era: Rises by one each time that it comes back from an older copy.
        away: Whether it answers 503 to all calls.
        late_s: Returns after how many seconds an append is done, without an
            answer; None to do and answer it at once.
        appends: Number of appends received.
    """

    def __init__(self):
        self.records: dict[tuple[str, int], list[Record]] = defaultdict(list)
        self.era = 1
        self.away = False
        self._times: dict[tuple[str, int], list[float]] = defaultdict(list)
        self.late_s: Callable[[Append], float | None] = lambda _: None
        self.appends = 0
        self._server = None

    async def start(self, ip: str, port: int) -> None:
        """Starts to serve."""
        self._server = await serve(self._handle, ip, port)

    def put(self, topic: str, key: str, value: str) -> None:
        """Writes a record as the operator or an engine does."""
        self._add((topic, 0), [Record(key.encode(), value.encode())])

    def restore(self, age_s: float) -> None:
        """Comes back from a copy: what the system wrote since then is gone.

        What the operator and the engines wrote stays, as if written again.
        """
        self.era += 1
        copied_at = time.monotonic() - age_s
        for key, times in self._times.items():
            if key[0] not in OPERATED_TOPICS:
                kept = sum(at <= copied_at for at in times)
                del times[kept:]
                del self.records[key][kept:]

    def _add(self, key: tuple[str, int], records: list[Record]) -> None:
        self.records[key] += records
        self._times[key] += [time.monotonic()] * len(records)

    async def _handle(self, request: Request, reader, writer) -> bool:
        await asyncio.sleep(ANSWER_S)
        if self.away:
            writer.write(self._encode(503))
            return True
        url = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        name = url.path.rpartition("/")[2]
        key = (query.get("Topic", ""), int(query.get("part", "0")))
        if name == "log-newest":
            writer.write(self._encode(200, self._newest(key)))
        elif name == "log-read":
            await self._read(key, query, writer)
        elif name == "log-append":
            return await self._append(key, query, request.body, writer)
        else:
            writer.write(self._encode(404))
        return True

    def _encode(self, status: int, body: bytes = b"") -> bytes:
        return encode_response(status, {"Store-Era": str(self.era)}, body)

    def _newest(self, key: tuple[str, int]) -> bytes:
        records = self.records[key]
        newest = {r.key: (i, r.value) for i, r in enumerate(records)}
        entries = [
            {
                "Key": name.decode(),
                "Value": base64.b64encode(value).decode(),
                "Offset": offset,
            }
            for name, (offset, value) in sorted(newest.items())
            if value
        ]
        reply = {"Entries": entries, "HasMore": False, "End": len(records)}
        return json.dumps(reply).encode()

    async def _read(self, key, query: dict[str, str], writer) -> None:
        records = self.records[key]
        start = int(query["From"])
        if start > len(records):
            writer.write(self._encode(410, b'{"First": 0}'))
            return
        give_up_at = asyncio.get_running_loop().time() + (
            int(query.get("WaitMs", "0")) / 1000
        )
        while len(records) <= start:
            if asyncio.get_running_loop().time() >= give_up_at:
                break
            await asyncio.sleep(0.01)
        body = READ_HEAD.pack(len(records), 0)
        for record in records[start:]:
            content = bytes([len(record.key)]) + record.key + record.value
            body += LENGTH.pack(len(content)) + content
        writer.write(self._encode(200, body))

    async def _append(self, key, query, body: bytes, writer) -> bool:
        self.appends += 1
        condition = int(query["At"]) if "At" in query else None
        append = Append(*key, _decode(body), condition)
        late_s = self.late_s(append)
        if late_s is not None:
            # It is done later if its condition holds, and never answered.
            loop = asyncio.get_running_loop()
            loop.call_later(late_s, self._apply, append)
            return False
        offset = self._apply(append)
        end = len(self.records[key])
        if offset is None:
            reply = json.dumps({"End": end}).encode()
            writer.write(self._encode(412, reply))
        else:
            reply = json.dumps({"Offset": offset, "End": end}).encode()
            writer.write(self._encode(200, reply))
        return True

    def _apply(self, append: Append) -> int | None:
        records = self.records[append.topic, append.part]
        if append.condition not in (None, len(records)):
            return None
        offset = len(records)
        self._add((append.topic, append.part), append.records)
        return offset


def _decode(body: bytes) -> list[Record]:
    records, position = [], 0
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        content = body[position : position + length]
        key_end = 1 + content[0]
        records.append(Record(content[1:key_end], content[key_end:]))
        position += length
    return records
