"""Frames: round trip of every message type, and malformed input."""

import contextlib
import dataclasses
import struct
import typing

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilgw.codec.frames import TYPE_NUMBERS, FrameError, encode, make_decoder
from chervilgw.core import messages
from chervilgw.core.ids import Incarnation, RequestId, VmId
from chervilgw.core.messages import Chunk, Heartbeat, Message, Refused, ShareReply

_LEAVES = st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text()
_ANY = st.recursive(
    _LEAVES,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)
_PLAIN = {
    int: st.integers(-(2**63), 2**64 - 1),
    float: st.floats(allow_nan=False),
    typing.Any: _ANY,
}

REQUEST = RequestId(Incarnation(VmId("e1"), 5), 9)


def frame(value):
    body = msgpack.packb(value)
    return struct.pack(">I", len(body)) + body


@pytest.mark.parametrize("cls", typing.get_args(Message))
def test_every_message_type_has_a_number(cls):
    assert cls in TYPE_NUMBERS


def test_numbers_are_distinct():
    assert len(set(TYPE_NUMBERS.values())) == len(TYPE_NUMBERS)


def _strategy(hint):
    """Return a strategy for an annotation, with ints in msgpack's range."""
    hint = getattr(hint, "__supertype__", hint)
    if hint in _PLAIN:
        return _PLAIN[hint]
    if dataclasses.is_dataclass(hint):
        hints = typing.get_type_hints(hint)
        return st.builds(hint, **{name: _strategy(hints[name]) for name in hints})
    parts = typing.get_args(hint)
    if typing.get_origin(hint) is dict:
        return st.dictionaries(*map(_strategy, parts), max_size=4)
    if typing.get_origin(hint) is tuple and parts[-1] is ...:
        return st.lists(_strategy(parts[0]), max_size=3).map(tuple)
    if typing.get_origin(hint) is tuple:
        return st.tuples(*map(_strategy, parts))
    if parts:
        return st.one_of(*map(_strategy, parts))
    return st.from_type(hint)


@pytest.mark.parametrize("cls", typing.get_args(Message))
def test_round_trip_in_pieces(cls):
    """Guards against lost fields when reads split a frame at any byte."""

    @given(st.lists(_strategy(cls), max_size=3), st.integers(1, 50))
    def check(sent, step):
        data = b"".join(encode(message) for message in sent)
        decoder = make_decoder(1_000_000)
        received = []
        for start in range(0, len(data), step):
            received += decoder.feed(data[start : start + step])
        decoder.close()
        assert received == sent

    check()


RID = [["e1", 5], 9]
MALFORMED = {
    "oversized": (struct.pack(">I", 2000) + b"x" * 9, "exceeds"),
    "truncated msgpack": (struct.pack(">I", 3) + b"\x95\x06\x01", "truncated"),
    "empty frame": (struct.pack(">I", 0), "truncated"),
    "unknown type": (frame([99, 1]), "unknown message type"),
    "no type": (frame([]), "type number"),
    "boolean as type": (frame([True, RID]), "type number"),
    "not an array": (frame({"a": 1}), "type number"),
    "str for bytes": (frame([6, RID, 0, 1, "x"]), "expected bytes"),
    "bool for int": (frame([6, RID, True, 1, b"x"]), "expected int"),
    "int for bool": (frame([16, "t", 1]), "expected bool"),
    "float for int": (frame([6, RID, 1.0, 1, b"x"]), "expected int"),
    "none for str": (frame([18, None, []]), "expected str"),
    "nan": (frame([15, "t", "b", 1, float("nan"), 0]), "a number"),
    "field missing": (frame([6, RID, 0, 1]), "3 of 4 fields"),
    "nested field missing": (frame([5, [["e1"], 9]]), "1 of 2 fields"),
    "nested not a list": (frame([5, "e1/5/9"]), "expected list"),
    "enum value": (frame([8, RID, "no_reason", "run", "x"]), "RefusalReason"),
    "boolean for urgency": (
        frame([4, RID, "c", "k", 0, "m", "engine", "POST", "/", [], b"", True, True]),
        "fields",
    ),
    "pair of three": (frame([7, RID, 200, [["a", "b", "c"]], 1, 2]), "2 values"),
    "dict key": (frame([17, 1, ["e", 1], {b"x": 1}]), "expected str"),
    "int for attempt": (frame([37, "llm", 5, "10.0.0.1:1"]), "expected str"),
    "bytes for attempt": (frame([37, "llm", b"a", "10.0.0.1:1"]), "expected str"),
    "no address": (frame([37, "llm", "a1"]), "2 of 3 fields"),
    "no version": (frame([38, "llm", "a1"]), "2 of 3 fields"),
    "none for version": (frame([38, "llm", "a1", None]), "expected str"),
    "endless attempt": (frame([37, "llm", "a" * 1000, "10.0.0.1:1"]), "exceeds"),
    "trailing bytes": (struct.pack(">I", 5) + b"\x92\x0b\x07\x00\x00", "trailing"),
    "extension": (frame([11, msgpack.ExtType(5, b"x")]), "extension"),
    "invalid utf-8": (struct.pack(">I", 4) + b"\x92\x0b\xa1\xff", "malformed"),
    "nesting": (struct.pack(">I", 1500) + b"\x91" * 1500, "malformed|exceeds"),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_input_is_an_error_and_stays_one(name):
    """Guards against partial messages and decoding from a wrong position."""
    data, text = MALFORMED[name]
    decoder = make_decoder(1000)
    with pytest.raises(FrameError, match=text):
        decoder.feed(data)
    with pytest.raises(FrameError, match=text):
        decoder.feed(encode(ShareReply("t", True)))


def test_close_within_a_frame():
    decoder = make_decoder(1000)
    assert decoder.feed(encode(ShareReply("t", True))[:-1]) == []
    with pytest.raises(FrameError, match="truncated"):
        decoder.close()


@given(st.binary(max_size=200))
def test_arbitrary_bytes_give_messages_or_frame_errors(body):
    with contextlib.suppress(FrameError):
        make_decoder(1000).feed(struct.pack(">I", len(body)) + body)


def test_absent_trailing_fields_take_defaults_and_unknown_ones_are_ignored():
    decoder = make_decoder(1000)
    [old] = decoder.feed(frame([3, 1, 2, 3, 4, 0.5]))
    assert old == Heartbeat(1, 2, 3, 4, 0.5, ())
    [new] = decoder.feed(frame([6, RID, 0, 1, b"x", "added later"]))
    assert new == Chunk(REQUEST, 0, 1, b"x")
    [released] = decoder.feed(frame([30, RID, "i-1", True]))
    assert released == messages.TurnReleased(REQUEST, "i-1", True, begun_by="")
    [subscription] = decoder.feed(frame([24, ["e1", 5], "e:1", "i-1", 7]))
    assert subscription.software_version == ""
    [refused] = decoder.feed(frame([8, RID, "leaving", "not_run", "x"]))
    assert isinstance(refused, Refused) and refused.crash is None


@pytest.mark.parametrize(
    "wrong",
    [
        "text",
        messages.ConfigRequest(2**70),
        Chunk(REQUEST, 0, 1, object()),
        Chunk("not an id", 0, 1, b""),
        messages.ShareReply("\ud800", True),
    ],
)
def test_encode_refuses_and_the_next_frame_is_whole(wrong):
    """Guards against bytes of a failed frame at the start of the next one."""
    with pytest.raises(FrameError):
        encode(wrong)
    good = ShareReply("t", True)
    assert make_decoder(1000).feed(encode(good)) == [good]
