"""Tests of log lines, redaction, statsd metrics and the generated metrics page."""

import io
import json
import socket
from pathlib import Path

import pytest
from absl import logging

from chervilgw.telemetry import METRICS, configure_logs, log_event, make_metrics
from chervilgw.telemetry.logs import LogFieldError
from chervilgw.telemetry.table import FIRST_TOKEN, REFUSALS, STREAMS, metrics_page

PAGE = Path(__file__).parents[3] / "docs" / "metrics.md"
KEY = "cgw_ab12cd_0123456789abcdef0123456789abcdef"


@pytest.fixture
def lines():
    configure_logs("info")
    handler = logging.get_absl_handler()
    stream, before = io.StringIO(), handler.python_handler.stream
    handler.python_handler.stream = stream
    yield lambda: [json.loads(line) for line in stream.getvalue().splitlines()]
    handler.python_handler.stream = before
    handler.setFormatter(None)


def test_event_is_one_json_line(lines):
    """Guards against lines that a log collector cannot parse."""
    log_event("stream_ended", duration_ms=12, customer="a\nb")
    log_event("not_written", level="debug")
    (line,) = lines()
    assert line["event"] == "stream_ended"
    assert line["duration_ms"] == 12
    assert line["time"].endswith("Z") and "T" in line["time"]


@pytest.mark.parametrize("name", ["key", "Prompt", "authorization", "body", "event"])
def test_secret_fields_are_refused_at_every_level(name):
    """Guards against code that logs a key or prompt as a field."""
    with pytest.raises(LogFieldError):
        log_event("request", level="debug", **{name: "x"})


def test_keys_are_redacted_wherever_they_occur(lines):
    """Guards against a key in a path, a nested value or an exception's text."""
    log_event("request", path=f"/v1?k={KEY}", headers={"Authorization": "Bearer abc"})
    log_event("request", values=[{KEY: KEY}], error=ValueError(KEY))
    try:
        raise ValueError(KEY)
    except ValueError:
        logging.exception("failed with %s", KEY)
    text = json.dumps(lines())
    assert "0123456789abcdef" not in text
    assert "Bearer abc" not in text
    assert text.count("cgw_ab12cd_[redacted]") >= 5


def test_metrics_page_equals_table():
    """Guards against metrics that the page does not describe."""
    assert PAGE.read_text() == metrics_page()
    assert len({metric.name for metric in METRICS}) == len(METRICS)


def test_metrics_are_sent_as_statsd_datagrams():
    """Guards against names and types that a statsd server does not understand."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        metrics = make_metrics(f"127.0.0.1:{server.getsockname()[1]}", "e.1")
        metrics.record(REFUSALS, label="rate:exceeded")
        metrics.record(STREAMS, 3)
        metrics.record(FIRST_TOKEN, 12.5)
        received = [server.recv(1024).decode() for _ in range(3)]
    assert received[0] == "chervilgw.e_1.refusals.rate_exceeded:1|c"
    assert received[1] == "chervilgw.e_1.streams:3|g"
    assert received[2].startswith("chervilgw.e_1.first_token:12.5")


def test_sending_without_a_server_neither_raises_nor_blocks():
    """Guards against a request that fails because statsd is down."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        port = server.getsockname()[1]
    for address in (f"127.0.0.1:{port}", "not an address", None):
        metrics = make_metrics(address, "e1")
        for _ in range(100):
            metrics.record(STREAMS, 1)
