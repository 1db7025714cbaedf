"""Event stream parser: split reads, line ends and the length limit."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilgw.codec.sse import DONE_EVENT, SseError, encode_event, make_sse_parser

LINE = st.text(st.characters(exclude_characters="\r\n", codec="utf-8"), max_size=20)


@given(
    st.lists(st.lists(LINE, min_size=1, max_size=3), max_size=4),
    st.sampled_from(["\n", "\r\n", "\r"]),
    st.integers(1, 30),
)
def test_any_cut_gives_the_same_events(sent, end, step):
    """Guards against lost bytes when a read ends within a line end or a character."""
    data = "".join(
        f":comment{end}event: x{end}"
        + "".join(f"data: {line}{end}" for line in lines)
        + end
        for lines in sent
    ).encode()
    parser = make_sse_parser(10_000)
    found = []
    for start in range(0, len(data), step):
        found += parser.feed(data[start : start + step])
    assert found == ["\n".join(lines) for lines in sent]


def test_event_and_done():
    assert make_sse_parser().feed(encode_event(b"{}") + DONE_EVENT) == ["{}", "[DONE]"]


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"data:x\n\n", ["x"]),
        (b"\xef\xbb\xbfdata: x\n\n", ["x"]),
        (b"id: 5\n\n", []),
        (b"data\n\n", [""]),
        (b"data: cut\n", []),
        (b"\n\n\ndata: x\n\n\n", ["x"]),
    ],
)
def test_forms(data, expected):
    assert make_sse_parser().feed(data) == expected


@pytest.mark.parametrize("data", [b"x" * 200, b"data: x\n" * 50, b"data: \xff\n\n"])
def test_malformed(data):
    """Guards against unbounded memory when an engine never ends an event."""
    with pytest.raises(SseError):
        make_sse_parser(100).feed(data)
