"""Tests that log output never blocks and that dropped lines are counted."""

import os
import subprocess
import sys

import pytest

from chervilgw.telemetry.bounded import (
    MAX_BURST_LINES,
    MAX_LINES_PER_S,
    MAX_PENDING_BYTES,
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
            chunk = os.read(reader, 1 << 20)
        except BlockingIOError:
            return data
        if not chunk:
            return data
        data += chunk


def test_burst_is_limited_and_dropped_lines_are_reported(pipe):
    """Guards against a flood of log lines and against lines lost without notice."""
    reader, writer = pipe
    now_s = [0.0]
    stream = make_bounded_stream(writer, lambda: now_s[0])
    for _ in range(5000):
        stream.write("x\n")
    assert read_all(reader).count(b"x\n") == MAX_BURST_LINES
    now_s[0] = 10 / MAX_LINES_PER_S
    stream.write("y\n")
    text = read_all(reader)
    assert b'"logs_dropped", "lines": %d' % (5000 - MAX_BURST_LINES) in text
    assert text.endswith(b"y\n")


def test_stopped_reader_does_not_block_the_process(pipe):
    """Guards against a process that waits for a stopped reader, and cut lines."""
    reader, writer = pipe
    now_s = [0.0]
    stream = make_bounded_stream(writer, lambda: now_s[0])
    line = "z" * 4000 + "\n"
    for _ in range(400):
        now_s[0] += 1.0
        stream.write(line)
    assert stream.dropped > 0
    # The pipe holds less than is buffered, so several flushes are needed.
    data = chunk = read_all(reader)
    while chunk:
        stream.flush()
        chunk = read_all(reader)
        data += chunk
    # Lines are dropped only as a whole.
    assert set(data.splitlines()) == {line.strip().encode()}
    assert len(data) <= MAX_PENDING_BYTES + (1 << 20)


def test_process_that_logs_to_the_stream_exits_without_a_traceback():
    """Guards against an error of the logging library at each planned exit."""
    script = (
        "import sys\n"
        "from chervilgw.telemetry import configure_logs, log_event\n"
        "from chervilgw.telemetry.bounded import make_bounded_stream\n"
        "configure_logs(stream=make_bounded_stream(sys.stdout.fileno()))\n"
        "log_event('process_stopped')\n"
    )
    ended = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, timeout=60
    )
    assert '"event": "process_stopped"' in ended.stdout
    assert ended.stderr == ""
