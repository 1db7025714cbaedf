"""Logs never hold a process up, and a flood of lines is bounded and counted."""

import os

import pytest

from chervilgw.telemetry.bounded import (
    BURST_LINES,
    LINES_PER_S,
    PENDING_BYTES,
    make_bounded_stream,
)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_all(reader):
    data = b""
    while True:
        try:
            part = os.read(reader, 1 << 20)
        except BlockingIOError:
            return data
        if not part:
            return data
        data += part


def test_a_flood_is_cut_to_the_burst_and_the_loss_is_told(pipe):
    reader, writer = pipe
    now_s = [0.0]
    stream = make_bounded_stream(writer, lambda: now_s[0])
    for _ in range(5000):
        stream.write("x\n")
    assert read_all(reader).count(b"x\n") == BURST_LINES
    now_s[0] = 10 / LINES_PER_S
    stream.write("y\n")
    text = read_all(reader)
    assert b'"logs_dropped", "lines": %d' % (5000 - BURST_LINES) in text
    assert text.endswith(b"y\n")


def test_a_reader_that_stops_does_not_block_the_process(pipe):
    reader, writer = pipe
    now_s = [0.0]
    stream = make_bounded_stream(writer, lambda: now_s[0])
    line = "z" * 4000 + "\n"
    for _ in range(400):
        now_s[0] += 1.0
        stream.write(line)
    assert stream.dropped > 0
    # The pipe takes less than what waits, so the rest comes with further flushes.
    data = part = read_all(reader)
    while part:
        stream.flush()
        part = read_all(reader)
        data += part
    # Whole lines only, whatever was dropped between them.
    assert set(data.splitlines()) == {line.strip().encode()}
    assert len(data) <= PENDING_BYTES + (1 << 20)
