"""Records and messages that contain configuration versions."""

from typing import Literal, NotRequired, TypedDict

import msgspec

from chicorystack.config.model import ConfigSpec
from chicorystack.decoding import decode_json

CONFIG_STREAM = "config"


class ConfigRecord(TypedDict):
    """Publishes a configuration.

    If several records replace the same version, the first is accepted.

    Attributes:
        kind: Always `config_published`.
        id: Id of the record.
        replaces: Version that this one replaces; 0 for the first publication.
        operator: Name of the operator who published it.
        text: The YAML text as written, with its comments.
        config: The decoded text, and the evacuated data centres.
        change: What the operator asked for, if not to publish a text.
    """

    kind: Literal["config_published"]
    id: str
    replaces: int
    operator: str
    text: str
    config: ConfigSpec
    change: NotRequired[str]


class ConfigSnapshot(TypedDict):
    """Repeats the version in force before its record expires.

    It does not create a version. A reader can start from it when the beginning
    of the stream has expired, provided that it has all records from `read_to`
    on.

    Attributes:
        kind: Always `config_kept`.
        id: Id of the record.
        version: Version in force before `read_to`.
        offset: Offset of that version's publication.
        read_to: Offset up to which the writer had read, exclusive.
        publication: Publication of that version.
    """

    kind: Literal["config_kept"]
    id: str
    version: int
    offset: int
    read_to: int
    publication: ConfigRecord


class _RecordHeader(TypedDict):
    kind: str


RECORD_TYPE_BY_KIND: dict[str, type] = {
    "config_published": ConfigRecord,
    "config_kept": ConfigSnapshot,
}


def decode_record(raw: str) -> ConfigRecord | ConfigSnapshot:
    """Decodes a record of the config stream by its kind.

    Raises:
        msgspec.DecodeError: If it is not a valid record of the stream.
    """
    kind = decode_json(raw, _RecordHeader)["kind"]
    if kind not in RECORD_TYPE_BY_KIND:
        raise msgspec.ValidationError(f"unknown kind '{kind}'")
    return decode_json(raw, RECORD_TYPE_BY_KIND[kind])


class ConfigQuery(TypedDict):
    """Query for a version newer than `known`, or for any if it is absent."""

    known: NotRequired[int]


class ConfigInForce(TypedDict):
    """Reply to a `ConfigQuery`: the version in force at the replying process.

    Attributes:
        version: The version; 0 if none is known.
        config: The decoded text; None with version 0, or if the version is not
            newer than the one in the query.
        offset: Offset of the version's record in the config stream.
    """

    version: int
    config: ConfigSpec | None
    offset: int
