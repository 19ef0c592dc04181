"""Records and messages that carry configuration versions."""

from typing import Literal, TypedDict

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


class ConfigInForce(TypedDict):
    """A version with its contents, as one process tells another.

    Attributes:
        version: The version; 0 where none is known.
        config: The decoded text; None with version 0.
        offset: Offset of the version's record in the config stream.
    """

    version: int
    config: ConfigText | None
    offset: int
