"""Records and messages that carry configuration versions."""

from typing import Literal, NotRequired, TypedDict

import msgspec

from chicorystack.config.model import ConfigText

CONFIG_STREAM = "config"


class ConfigRecord(TypedDict):
    """Publishes a configuration; the first to replace a version wins.

    Attributes:
        kind: Always `config_published`.
        id: The record's own id.
        replaces: Version that the publisher saw in force; 0 for the first.
        operator: Who published.
        text: The text as written, with its comments.
        config: The text decoded.
    """

    kind: Literal["config_published"]
    id: str
    replaces: int
    operator: str
    text: str
    config: ConfigText


class ConfigKept(TypedDict):
    """States the version in force again, before its record expires.

    It is no publication. It is a starting point for a reader that finds the
    beginning of the stream expired, where that reader has every record from
    `read_to` on.

    Attributes:
        kind: Always `config_kept`.
        id: The record's own id.
        version: The version in force before `read_to`.
        offset: Offset of the version's publication.
        read_to: Offset up to which the writer had read, exclusive.
        publication: The version's publication.
    """

    kind: Literal["config_kept"]
    id: str
    version: int
    offset: int
    read_to: int
    publication: ConfigRecord


class _RecordHead(TypedDict):
    kind: str


RECORD_TYPE_BY_KIND: dict[str, type] = {
    "config_published": ConfigRecord,
    "config_kept": ConfigKept,
}


def decode_record(raw: str) -> ConfigRecord | ConfigKept:
    """Decodes a record of the config stream by its kind.

    Raises:
        msgspec.DecodeError: If it is no such record.
    """
    kind = msgspec.json.decode(raw, type=_RecordHead)["kind"]
    if kind not in RECORD_TYPE_BY_KIND:
        raise msgspec.ValidationError(f"unknown kind '{kind}'")
    return msgspec.json.decode(raw, type=RECORD_TYPE_BY_KIND[kind])


class ConfigQuery(TypedDict):
    """Asks a peer for a version newer than `known`, which may be left out."""

    known: NotRequired[int]


class ConfigInForce(TypedDict):
    """A version with its contents, as one process tells another.

    Attributes:
        version: The version; 0 where none is known.
        config: The decoded text; None with version 0, or where the version
            is not newer than the one that the asker knows.
        offset: Offset of the version's record in the config stream.
    """

    version: int
    config: ConfigText | None
    offset: int
