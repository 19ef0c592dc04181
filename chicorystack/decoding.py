"""Decodes JSON and numbers that another process has written.

Whatever the bytes are, decoding JSON fails with `msgspec.DecodeError` alone, so
that one unreadable message or record cannot stop what reads it.
"""

import functools
from typing import Generic, TypeVar

import msgspec

MessageT = TypeVar("MessageT")
# The interpreter refuses to convert numbers of thousands of digits.
MAX_DIGITS = 18
MAX_WHOLE_NUMBER = 10**MAX_DIGITS


class JsonDecoder(Generic[MessageT]):
    """Decodes messages of one type."""

    def __init__(self, message_type: type[MessageT]):
        self._decoder = msgspec.json.Decoder(message_type)

    def decode(self, data: bytes | str) -> MessageT:
        """Decodes a message.

        Raises:
            msgspec.DecodeError: If it is not valid JSON of the type.
        """
        try:
            return self._decoder.decode(data)
        except RecursionError as error:
            # msgspec limits nesting by the interpreter's recursion limit, also
            # in fields that it skips.
            raise msgspec.DecodeError("JSON is nested too deeply") from error


_decoder = functools.cache(JsonDecoder)


def decode_json(data: bytes | str, message_type: type[MessageT]) -> MessageT:
    """Decodes a message; see JsonDecoder."""
    return _decoder(message_type).decode(data)


def parse_whole_number(text: bytes | str) -> int | None:
    """Returns a number written in decimal digits; None if it is not one.

    MAX_WHOLE_NUMBER stands for all larger numbers.
    """
    if not text.isascii() or not text.isdigit():
        return None
    return int(text) if len(text) <= MAX_DIGITS else MAX_WHOLE_NUMBER
