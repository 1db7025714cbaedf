"""Header bytes outside ASCII are kept, and a field that is no bytes is an error."""

import h11
import pytest

from chervilgw.runtime.events import HttpPushStart, HttpReply
from chervilgw.runtime.header_fields import (
    HeaderTextError,
    decode_headers,
    encode_headers,
)
from chervilgw.runtime.opaque_messages import (
    AnswerEncodingError,
    encode_head,
    encode_part,
    encode_reply,
)

EACH_BYTE = bytes([*range(0x21, 0x7F), *range(0x80, 0x100)])


def answering():
    """Return a parser that has read a request, and the request."""
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    head = parser.next_event()
    parser.next_event()
    return parser, head


def test_each_byte_of_a_header_value_is_kept():
    headers = decode_headers([(b"x-id", EACH_BYTE)])
    assert encode_headers(headers) == [(b"x-id", EACH_BYTE)]


def test_character_that_is_no_byte_is_an_error():
    with pytest.raises(HeaderTextError):
        encode_headers([("x-id", "\u1ecc")])


def test_header_bytes_outside_ascii_are_sent_in_answers():
    """Guards against answers that are lost by one byte of 0x80 or more."""
    seal = decode_headers([(b"x-server-seal", b"i-1.\xb3\xff")])
    parser, _ = answering()
    assert b"i-1.\xb3\xff" in encode_head(parser, HttpPushStart(1, 200, seal), False)
    parser, head = answering()
    reply = HttpReply(1, 200, seal, b"whole")
    assert b"i-1.\xb3\xff" in encode_reply(parser, head, reply, closes=True)


@pytest.mark.parametrize("headers", [(("a b", "1"),), (("x-id", "\u1ecc"),)])
def test_malformed_field_of_an_answer_is_one_error(headers):
    parser, _ = answering()
    with pytest.raises(AnswerEncodingError):
        encode_head(parser, HttpPushStart(1, 200, headers), False)


def test_part_beyond_the_length_of_its_answer_is_an_error():
    parser, _ = answering()
    encode_head(parser, HttpPushStart(1, 200, (("Content-Length", "3"),)), False)
    with pytest.raises(AnswerEncodingError):
        encode_part(parser, b"four")
