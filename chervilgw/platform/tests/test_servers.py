"""Tests of decoding the server list: malformed entries must yield no server."""

import json

import pytest

from chervilgw.core.deployment import ServerState
from chervilgw.platform.errors import DecodeError
from chervilgw.platform.servers import decode_server

ENTRY = {
    "service": "drafting",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "slots": 64,
    "state": "ready",
    "born": 1_700_000_000_000,
    "models": [{"name": "m", "version": 1, "adapters": ["a1"]}],
    "sequence": 4,
}


def test_entry_is_decoded():
    server = decode_server("i-1", json.dumps(ENTRY).encode())
    assert server.state is ServerState.READY
    assert server.adapters == {"m": frozenset({"a1"})}
    assert server.started_ms == 1_700_000_000_000


def test_server_without_engine_has_no_models():
    entry = {name: value for name, value in ENTRY.items() if name != "models"}
    assert decode_server("i-1", json.dumps(entry).encode()).adapters == {}


MALFORMED = {
    "truncated": b'{"service": "draf',
    "not an object": b"[1]",
    "not UTF-8": b"\xff\xfe",
    "unknown state": json.dumps(ENTRY | {"state": "asleep"}).encode(),
    "address without port": json.dumps(ENTRY | {"address": "10.0.0.1"}).encode(),
    "address of another type": json.dumps(ENTRY | {"address": 7}).encode(),
    "slots of another type": json.dumps(ENTRY | {"slots": "64"}).encode(),
    "born of another type": json.dumps(ENTRY | {"born": 1.5}).encode(),
    "no service": json.dumps(
        {k: v for k, v in ENTRY.items() if k != "service"}
    ).encode(),
    "models of another type": json.dumps(ENTRY | {"models": 3}).encode(),
    "negative orders": json.dumps(ENTRY | {"sequence": -1}).encode(),
    "remaining time of another type": json.dumps(
        ENTRY | {"time_left_ms": "x"}
    ).encode(),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_entry_is_an_error(name):
    with pytest.raises(DecodeError):
        decode_server("i-1", MALFORMED[name])
