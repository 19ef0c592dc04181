"""Client of the platform's store; implements KeyedLog."""

import struct
from collections.abc import Iterator
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec

from chicorystack import defaults
from chicorystack.decoding import JsonDecoder, parse_whole_number
from chicorystack.observe.events import emit
from chicorystack.store.adaptive_timeout import AdaptiveTimeout
from chicorystack.store.keyed_log import (
    ConflictError,
    HistoryGoneError,
    KeyedRecord,
    Partition,
    ReadResult,
    StoreError,
)
from chicorystack.web.exchange import (
    Address,
    ConnectionPool,
    ExchangeError,
    FetchLimits,
    HttpRequest,
    HttpResponse,
    fetch,
)

ERA = b"store-era"
RECORD_LENGTH = struct.Struct(">I")
# Offset after the partition's last record, and offset of its first retained
# record.
READ_HEADER = struct.Struct(">QQ")
STATUS_OK, STATUS_GONE, STATUS_PRECONDITION_FAILED = 200, 410, 412


class _NewestEntry(msgspec.Struct):
    """A record in a reply to `log-newest`.

    Attributes:
        Key: Key of the record.
        Value: Value, sent in base64.
        Offset: Offset of the record.
    """

    Key: str
    Value: bytes
    Offset: int


class _NewestReply(msgspec.Struct):
    """Reply to `log-newest`.

    Attributes:
        Entries: A page of records, sorted by key.
        HasMore: Whether more pages follow.
        End: Offset after the partition's last record.
    """

    Entries: list[_NewestEntry]
    HasMore: bool
    End: int


class _AppendReply(msgspec.Struct):
    """Reply to `log-append`.

    Attributes:
        End: Offset after the partition's last record.
        Offset: Offset of the first appended record; absent if the append was
            rejected.
    """

    End: int
    Offset: int = -1


_newest_decoder = JsonDecoder(_NewestReply)
_append_decoder = JsonDecoder(_AppendReply)


class StoreSettings(NamedTuple):
    """Settings of the store's client.

    Attributes:
        address: Address of the store.
    """

    address: Address


class PlatformStore:
    """Client of the store over HTTP.

    Attributes:
        era: See KeyedLog.
    """

    def __init__(self, reactor, settings: StoreSettings):
        self._reactor = reactor
        self._timeout = AdaptiveTimeout()
        self.era = 0
        self._use_address(settings.address)

    def reload(self, settings: StoreSettings) -> None:
        """Applies a new address; calls in flight finish at the old one."""
        if settings.address != self._pool.address:
            self._pool.close()
            self._use_address(settings.address)

    def _use_address(self, address: Address) -> None:
        self._host = str(address).encode()
        self._pool = ConnectionPool(
            self._reactor, address, defaults.STORE_CONNECT_TIMEOUT_S
        )

    async def read_newest(self, partition: Partition) -> ReadResult:
        """See KeyedLog.

        The end is that of the first page, so that changes made while later
        pages are fetched are read again.
        """
        records: list[KeyedRecord] = []
        end: int | None = None
        after: str | None = None
        era: int | None = None
        while True:
            page = await self._newest_page(partition, after)
            if era not in (None, self.era):
                raise HistoryGoneError("the store's era changed between pages")
            era = self.era
            end = page.End if end is None else end
            records += [_decode_entry(entry) for entry in page.Entries]
            if not page.HasMore or not page.Entries:
                return ReadResult(records, end)
            after = page.Entries[-1].Key

    async def read(
        self, partition: Partition, start: int, wait_s: float
    ) -> ReadResult:
        """See KeyedLog."""
        query = _partition_query(partition) | {"From": start}
        if wait_s:
            query["WaitMs"] = int(wait_s * 1000)
        response = await self._call(b"GET", "log-read", query, wait_s=wait_s)
        if response.status == STATUS_GONE:
            raise HistoryGoneError(
                f"records from offset {start} on have been deleted"
            )
        _check_ok(response)
        return _decode_records(response.body, start)

    async def append(
        self,
        partition: Partition,
        records: list[KeyedRecord],
        expected_end: int | None = None,
    ) -> int:
        """See KeyedLog."""
        query = _partition_query(partition)
        if expected_end is not None:
            query["At"] = expected_end
        body = b"".join(map(_encode_record, records))
        response = await self._call(b"POST", "log-append", query, body)
        if response.status == STATUS_PRECONDITION_FAILED:
            raise ConflictError(_decode_json(_append_decoder, response).End)
        _check_ok(response)
        return _decode_json(_append_decoder, response).Offset

    def _record_era(self, response: HttpResponse) -> None:
        """Notes the era; a response that arrives late may name an older one."""
        era = parse_whole_number(_find_header(response, ERA).strip())
        if era is not None:
            self.era = max(self.era, era)

    async def _newest_page(
        self, partition: Partition, after: str | None
    ) -> _NewestReply:
        query = _partition_query(partition)
        if after is not None:
            query["After"] = after
        response = await self._call(b"GET", "log-newest", query)
        _check_ok(response)
        return _decode_json(_newest_decoder, response)

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
        started_at = self._reactor.seconds()
        timeout_s = self._timeout.timeout_s + wait_s
        try:
            response = await fetch(
                self._reactor,
                self._pool,
                request,
                FetchLimits(timeout_s, defaults.STORE_IDLE_TIMEOUT_S),
            )
        except ExchangeError as error:
            self._timeout.record_failure()
            raise StoreError(f"{name}: {error}", error.sent) from error
        self._record_era(response)
        if not wait_s:
            self._timeout.record_response_time(
                self._reactor.seconds() - started_at
            )
        return response


def _find_header(response: HttpResponse, name: bytes) -> bytes:
    return dict(response.headers).get(name, b"")


def _partition_query(partition: Partition) -> dict[str, str | int]:
    return {"Topic": partition.topic, "part": partition.number}


def _check_ok(response: HttpResponse) -> None:
    """Raises StoreError for an error status; the call changed nothing."""
    if response.status != STATUS_OK:
        raise StoreError(f"the store responded with status {response.status}")


def _decode_json(decoder, response: HttpResponse):
    try:
        return decoder.decode(response.body)
    except msgspec.DecodeError as error:
        raise StoreError(
            f"cannot decode reply: {error}", maybe_done=True
        ) from error


def _decode_entry(entry: _NewestEntry) -> KeyedRecord:
    return KeyedRecord(entry.Key, entry.Value, entry.Offset)


def _encode_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + record.value
    return RECORD_LENGTH.pack(len(content)) + content


def _decode_records(body: bytes, start: int) -> ReadResult:
    """Decodes the reply to `log-read`, whose offsets have no gaps."""
    try:
        records = list(_iterate_records(body, start))
    except struct.error as error:
        raise StoreError(f"cannot decode records: {error}") from error
    partition_end, _first = READ_HEADER.unpack_from(body)
    return ReadResult(records, start + len(records), partition_end)


def _iterate_records(body: bytes, offset: int) -> Iterator[KeyedRecord]:
    READ_HEADER.unpack_from(body)
    position = READ_HEADER.size
    while position < len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        if position + length > len(body):
            raise StoreError("the reply ends in the middle of a record")
        yield _decode_record(body[position : position + length], offset)
        position += length
        offset += 1


def _decode_record(content: bytes, offset: int) -> KeyedRecord:
    """Decodes a record that any program may have written.

    One without a whole key counts as the deletion of a key that nobody has.
    """
    key_end = 1 + content[0] if content else 1
    if key_end > len(content):
        emit("store", "unreadable", offset=offset, size=len(content))
        return KeyedRecord("", b"", offset)
    key = content[1:key_end].decode(errors="backslashreplace")
    return KeyedRecord(key, content[key_end:], offset)
