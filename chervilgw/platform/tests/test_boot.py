"""Settings of the platform are decoded once, and errors name the field."""

import pytest

from chervilgw.platform.boot import decode_settings
from chervilgw.platform.errors import DecodeError

FRONT = """node_name=front-a-1
ip=10.1.0.25
zone=a
listen.front=10.1.0.25:8221
listen.ready=10.1.0.25:8224
internal_ports=7600,7615
limits.max_fds=4200
bounds.drain_ms=2000
bounds.budget_slack=54
bounds.unknown=1
platform.address=10.200.1.7:8225
"""


def test_times_are_seconds_and_unknown_fields_are_ignored():
    settings = decode_settings(FRONT)
    assert settings.bounds.drain_s == 2.0
    assert settings.bounds.retry_slack == 54
    assert settings.peer_ports == (7600, 7615)
    assert settings.app is None


@pytest.mark.parametrize(
    ("line", "named"),
    [
        ("platform.address=10.200.1.7:8225", "platform.address"),
        ("node_name=front-a-1", "node_name"),
        ("internal_ports=7600,7615", "internal_ports"),
    ],
)
def test_a_missing_field_is_named(line, named):
    with pytest.raises(DecodeError, match=named):
        decode_settings(FRONT.replace(line + "\n", ""))


def test_a_wrong_value_is_an_error():
    with pytest.raises(DecodeError):
        decode_settings(FRONT.replace("7600,7615", "many"))
