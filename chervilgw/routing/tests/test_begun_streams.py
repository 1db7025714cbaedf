"""Bounds of the memory of streams that engines began."""

from chervilgw.core.ids import Incarnation, RequestId, VmId
from chervilgw.core.messages import StreamOriginQuery
from chervilgw.routing import begun_streams
from chervilgw.routing.begun_streams import make_begun_streams
from chervilgw.routing.stream_origins import (
    MAX_ATTEMPT_LENGTH,
    RETENTION_S,
    make_stream_origins,
)


def turn(number):
    return RequestId(Incarnation(VmId("e"), 1), number)


def query(attempt):
    return StreamOriginQuery("llm", attempt, "10.0.0.1:7600")


def make_streams():
    streams = make_begun_streams("llm")
    streams.on_registered(5, "1")
    return streams


def test_turns_whose_entry_was_lost_do_not_pile_up(monkeypatch):
    """Guards against memory that grows with each lost entry."""
    monkeypatch.setattr(begun_streams, "MAX_GRANTED_TURNS", 3)
    streams = make_streams()
    for number in range(5):
        streams.on_granted(turn(number))
    for number in range(5):
        streams.on_begun(turn(number), f"a{number}", 1.0)
    known = [number for number in range(5) if streams.answer(query(f"a{number}"))]
    assert known == [2, 3, 4]


def test_streams_are_forgotten_when_no_caller_takes_them_up_any_more():
    streams = make_streams()
    for number, now_s in ((1, 0.0), (2, RETENTION_S), (3, RETENTION_S + 1.0)):
        streams.on_granted(turn(number))
        streams.on_begun(turn(number), f"a{number}", now_s)
    known = [number for number in (1, 2, 3) if streams.answer(query(f"a{number}"))]
    assert known == [2, 3]


def test_id_that_is_too_long_is_not_remembered():
    """Guards against callers that fill the memory by the length of their ids."""
    origins = make_stream_origins()
    longest = "a" * MAX_ATTEMPT_LENGTH
    for attempt in (longest, longest + "a"):
        origins.on_begun("llm", attempt, "1", 1.0)
    assert origins.find("llm", longest) == "1"
    assert origins.find("llm", longest + "a") is None
