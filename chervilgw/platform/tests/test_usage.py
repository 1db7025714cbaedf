"""Record of used quotas, which another program may have overwritten."""

import pytest

from chervilgw.platform.errors import DecodeError
from chervilgw.platform.usage import decode_usage, encode_usage


def test_amounts_are_read_as_they_were_written():
    used = {"a": 0, "b": 2**40}
    assert decode_usage(encode_usage(used, 7)) == (used, 7)
    assert decode_usage(encode_usage(used, 7, era=3), era=3) == (used, 7)


@pytest.mark.parametrize(("written", "read"), [(3, 4), (None, 4), (3, None)])
def test_record_of_another_era_is_rejected(written, read):
    """Guards against the usage of a copy, which lacks later grants."""
    with pytest.raises(DecodeError):
        decode_usage(encode_usage({"a": 1}, 7, written), read)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b'{"used": {}}',
        b'{"used": [1], "at_ms": 1}',
        b'{"used": {"a": -1}, "at_ms": 1}',
        b'{"used": {"a": 1e300}, "at_ms": 1}',
    ],
)
def test_malformed_record_is_rejected(value):
    """Guards against an odd record that ends a start, or grants without a bound."""
    with pytest.raises(DecodeError):
        decode_usage(value)
