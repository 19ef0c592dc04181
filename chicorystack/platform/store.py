"""The platform's store: its calls and bytes as the product's KeyedLog."""

import base64
import struct
from collections.abc import Iterator
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec

from chicorystack import defaults
from chicorystack.store.keyed_log import (
    ConflictError,
    HistoryGoneError,
    KeyedRecord,
    Partition,
    Records,
    StoreError,
)
from chicorystack.store.patience import CallPatience
from chicorystack.web.exchange import (
    Address,
    ConnectionPool,
    ExchangeError,
    HttpRequest,
    HttpResponse,
    fetch,
)

LENGTH = struct.Struct(">I")
# The end of the partition and its first record that is still there.
READ_PREFIX = struct.Struct(">QQ")
OK, GONE, CONDITION_FAILED = 200, 410, 412


class _Entry(msgspec.Struct):
    """A row of `log-newest`.

    Attributes:
        Key: The record's key.
        Value: Its value in base64.
        Offset: Its offset.
    """

    Key: str
    Value: str
    Offset: int


class _NewestReply(msgspec.Struct):
    """Reply of `log-newest`.

    Attributes:
        Entries: A page of records, by key.
        HasMore: Whether pages follow.
        End: Offset after the partition's last record.
    """

    Entries: list[_Entry]
    HasMore: bool
    End: int


class _AppendReply(msgspec.Struct):
    """Reply of `log-append`.

    Attributes:
        Offset: Offset of the first record; absent from a refusal.
        End: Offset after the partition's last record.
    """

    End: int
    Offset: int = -1


_newest_decoder = msgspec.json.Decoder(_NewestReply)
_append_decoder = msgspec.json.Decoder(_AppendReply)


class StoreSettings(NamedTuple):
    """Where the store is.

    Attributes:
        address: Its address.
    """

    address: Address


class PlatformStore:
    """Client of the store."""

    def __init__(self, reactor, settings: StoreSettings):
        self._reactor = reactor
        self._patience = CallPatience()
        self._connect_to(settings.address)

    def reload(self, settings: StoreSettings) -> None:
        """Takes over a changed address; calls under way end on the old one."""
        if settings.address != self._pool.address:
            self._pool.close()
            self._connect_to(settings.address)

    def _connect_to(self, address: Address) -> None:
        self._host = str(address).encode()
        self._pool = ConnectionPool(
            self._reactor, address, defaults.STORE_CONNECT_TIMEOUT_S
        )

    async def newest(self, partition: Partition) -> Records:
        """See KeyedLog; the end is that of the first page."""
        found: list[KeyedRecord] = []
        end: int | None = None
        after: str | None = None
        while True:
            page = await self._newest_page(partition, after)
            end = page.End if end is None else end
            found += [_record(entry) for entry in page.Entries]
            if not page.HasMore or not page.Entries:
                return Records(found, end)
            after = page.Entries[-1].Key

    async def read(
        self, partition: Partition, start: int, wait_s: float
    ) -> Records:
        """See KeyedLog."""
        query = _query(partition) | {"From": start}
        if wait_s:
            query["WaitMs"] = int(wait_s * 1000)
        answer = await self._call(b"GET", "log-read", query, wait_s=wait_s)
        if answer.status == GONE:
            raise HistoryGoneError(f"records from {start} on are gone")
        _require_ok(answer)
        return _decode_records(answer.body, start)

    async def append(
        self,
        partition: Partition,
        records: list[KeyedRecord],
        expected_end: int | None = None,
    ) -> int:
        """See KeyedLog."""
        query = _query(partition)
        if expected_end is not None:
            query["At"] = expected_end
        body = b"".join(map(_encode_record, records))
        answer = await self._call(b"POST", "log-append", query, body)
        if answer.status == CONDITION_FAILED:
            raise ConflictError(_decode(_append_decoder, answer).End)
        _require_ok(answer)
        return _decode(_append_decoder, answer).Offset

    async def _newest_page(
        self, partition: Partition, after: str | None
    ) -> _NewestReply:
        query = _query(partition)
        if after is not None:
            query["After"] = after
        answer = await self._call(b"GET", "log-newest", query)
        _require_ok(answer)
        return _decode(_newest_decoder, answer)

    async def _call(
        self,
        method: bytes,
        name: str,
        query: dict[str, str | int],
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> HttpResponse:
        request = HttpRequest(
            method,
            f"/-/{name}?{urlencode(query)}".encode(),
            [(b"host", self._host)],
            body,
        )
        asked_at = self._reactor.seconds()
        timeout_s = self._patience.timeout_s + wait_s
        try:
            answer = await fetch(
                self._reactor,
                self._pool,
                request,
                timeout_s,
                defaults.STORE_SILENCE_S,
            )
        except ExchangeError as error:
            self._patience.note_failure()
            raise StoreError(f"{name}: {error}", error.sent) from error
        if not wait_s:
            self._patience.note_answer(self._reactor.seconds() - asked_at)
        return answer


def _query(partition: Partition) -> dict[str, str | int]:
    return {"Topic": partition.topic, "part": partition.number}


def _require_ok(answer: HttpResponse) -> None:
    """Raises StoreError for a refusal, which has changed nothing."""
    if answer.status != OK:
        raise StoreError(f"refused with status {answer.status}")


def _decode(decoder, answer: HttpResponse):
    try:
        return decoder.decode(answer.body)
    except msgspec.DecodeError as error:
        raise StoreError(f"reply: {error}", maybe_done=True) from error


def _record(entry: _Entry) -> KeyedRecord:
    value = base64.b64decode(entry.Value)
    return KeyedRecord(entry.Key, value, entry.Offset)


def _encode_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + record.value
    return LENGTH.pack(len(content)) + content


def _decode_records(body: bytes, start: int) -> Records:
    """Decodes the reply of `log-read`, whose offsets have no gaps."""
    try:
        found = list(_split_records(body, start))
    except (struct.error, IndexError, UnicodeDecodeError) as error:
        raise StoreError(f"records: {error}") from error
    return Records(found, start + len(found))


def _split_records(body: bytes, offset: int) -> Iterator[KeyedRecord]:
    READ_PREFIX.unpack_from(body)
    place = READ_PREFIX.size
    while place < len(body):
        (length,) = LENGTH.unpack_from(body, place)
        place += LENGTH.size
        content = body[place : place + length]
        key_end = 1 + content[0]
        key = content[1:key_end].decode()
        yield KeyedRecord(key, content[key_end:], offset)
        place += length
        offset += 1
