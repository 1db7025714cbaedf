"""Tests of decoding the log's answers, in particular malformed ones."""

import base64
import json
import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilgw.platform import log_format
from chervilgw.platform.errors import DecodeError

KEYS = st.text(st.characters(codec="ascii", min_codepoint=33), min_size=1, max_size=20)


@given(st.lists(st.tuples(KEYS, st.binary(min_size=1, max_size=50)), max_size=5))
def test_records_round_trip_with_their_offsets(records):
    body = struct.pack(">QQ", 100, 0)
    body += b"".join(log_format.encode_keyed(key, value) for key, value in records)
    page = log_format.decode_page(body, 40, None)
    assert [(r.key, r.value) for r in page.records] == records
    assert [r.position for r in page.records] == list(range(40, 40 + len(records)))
    assert page.next_offset == 40 + len(records)


@given(st.integers(1, 30))
def test_a_cut_answer_is_an_error(missing):
    """Guards against a position that skips records that were not received."""
    body = struct.pack(">QQ", 1, 0) + log_format.encode_keyed("key", b"x" * 30)
    with pytest.raises(DecodeError):
        log_format.decode_page(body[:-missing], 0, None)


def test_record_without_value_removes_its_key():
    body = struct.pack(">QQ", 1, 0) + log_format.encode_keyed("key", b"")
    assert log_format.decode_page(body, 0, None).records[0].value is None


def test_malformed_record_is_skipped_but_counted():
    """Guards against wrong offsets after a malformed record of another writer."""
    body = struct.pack(">QQ", 2, 0) + log_format.encode_record(b"\xffab")
    body += log_format.encode_keyed("key", b"v")
    page = log_format.decode_page(body, 0, None)
    assert [(r.position, r.key) for r in page.records] == [(1, "key")]


def test_truncated_listing_continues_after_last_key():
    item = {"key": "a", "value": base64.b64encode(b"v").decode(), "offset": 3}
    body = json.dumps({"items": [item], "truncated": True, "end": 9}).encode()
    listing = log_format.decode_listing(body, None)
    assert (listing.continue_after, listing.end) == ("a", 9)
    assert listing.records[0].value == b"v"


@pytest.mark.parametrize("body", [b"", b"[]", b'{"items": [{}], "end": 1}', b"{}"])
def test_malformed_listing_is_an_error(body):
    with pytest.raises(DecodeError):
        log_format.decode_listing(body, None)
