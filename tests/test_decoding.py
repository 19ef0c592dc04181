"""Tests that JSON of other processes fails to decode in one way only."""

from pathlib import Path

import msgspec
import pytest

import chicorystack
from chicorystack.decoding import JsonDecoder, decode_json

NESTED = [b'{"x":' * 20_000, b"[" * 20_000]
PACKAGE = Path(chicorystack.__file__).parent


@pytest.mark.parametrize(
    "decode", [JsonDecoder(dict).decode, lambda data: decode_json(data, dict)]
)
@pytest.mark.parametrize("data", NESTED)
def test_nested_json_is_a_decode_error(decode, data):
    """Guards against an error that no reader of JSON expects."""
    with pytest.raises(msgspec.DecodeError):
        decode(data)


def test_all_json_is_decoded_by_one_module():
    """Guards against a new decoder that raises something else."""
    others = [
        str(path)
        for path in PACKAGE.rglob("*.py")
        if path.name != "decoding.py"
        and any(
            name in path.read_text()
            for name in ("msgspec.json.decode", "json.Decoder", "json.loads")
        )
    ]
    assert others == []
