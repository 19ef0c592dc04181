"""Decodes JSON and numbers that another process has written.

Whatever the bytes are, decoding JSON fails with `msgspec.DecodeError` alone, so
that one unreadable message or record cannot stop what reads it.

Fields of messages and records have the types below, so that what has been
decoded can be used: sums of counts and timers do not overflow, and text can be
sent in a header.
"""

import functools
from typing import Annotated, Generic, TypeVar

import msgspec
from msgspec import Meta

MessageT = TypeVar("MessageT")
# The interpreter refuses to convert numbers of thousands of digits.
MAX_DIGITS = 18
MAX_WHOLE_NUMBER = 10**MAX_DIGITS
# Whole numbers up to here are exact as floats as well, and JSON encoders and
# timers take them. Times in milliseconds up to here are 285 years.
MAX_COUNT = 2**53 - 1
MAX_AMOUNT = 9e12
MAX_PORT = 2**16 - 1

Integer = Annotated[int, Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
PositiveCount = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
Port = Annotated[int, Meta(ge=1, le=MAX_PORT)]
Number = Annotated[float, Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
Amount = Annotated[float, Meta(ge=0.0, le=MAX_AMOUNT)]
PositiveAmount = Annotated[float, Meta(gt=0.0, le=MAX_AMOUNT)]
# An ID that is sent in a header: visible ASCII.
HeaderId = Annotated[str, Meta(pattern=r"\A[!-~]{1,255}\Z")]
# Text that is sent in a header: no control characters, no space at its ends.
HeaderText = Annotated[
    str,
    Meta(
        pattern=r"\A[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?\Z",
        max_length=1024,
    ),
]
Name = Annotated[str, Meta(min_length=1)]


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
