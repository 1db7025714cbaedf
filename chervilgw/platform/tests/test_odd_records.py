"""Odd records of another writer: each decoder returns a bounded value or an error.

Guards against a process that ends, or that no longer follows a list, because of one
record that is deeply nested, holds a number out of range or names no address.
"""

from __future__ import annotations

import base64
import json
from functools import partial

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from chervilgw.codec.frames import FrameError, encode, make_decoder
from chervilgw.core.addresses import is_address
from chervilgw.core.ids import NO_OFFSET, LogPosition
from chervilgw.platform.boot import decode_settings
from chervilgw.platform.configuration import decode_configuration
from chervilgw.platform.engines import decode_report
from chervilgw.platform.errors import DecodeError
from chervilgw.platform.log_format import (
    KeyedRecord,
    decode_appended,
    decode_listing,
    decode_page,
    listing_path,
)
from chervilgw.platform.requests import decode_request
from chervilgw.platform.servers import decode_server
from chervilgw.platform.store_era import MAX_OFFSET
from chervilgw.runtime.events import HttpRequest

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
REPORT = {
    "born": 1_700_000_000_000,
    "models": ENTRY["models"],
    "busy": False,
    "sequence": 2,
    "waiting": 1,
    "running": 12,
    "kv_used": 41000,
    "at_hand": {"in_memory": ["m"], "on_disk": []},
    "coming": ["m/a2@1"],
}
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "hostname": "h",
            "path_prefix": "/",
            "route_kind": "streaming",
            "timeout_ms": 1500,
            "service": "drafting",
        }
    ],
    "services": [{"name": "drafting", "max_connections": 9}],
    "tenants": [{"name": "acme", "api_keys": ["k"]}],
}
DEEP = b"[" * 100_000
HUGE = 10**300
ODD_VALUES = {
    "nested": DEEP,
    "nested in a field": json.dumps(ENTRY).encode()[:-1] + b', "x": ' + DEEP,
    "started in the far future": json.dumps(ENTRY | {"born": HUGE}).encode(),
    "too many slots": json.dumps(ENTRY | {"slots": 10**30}).encode(),
    "too many orders": json.dumps(ENTRY | {"sequence": 2**64}).encode(),
    "port too large": json.dumps(ENTRY | {"address": "10.0.0.1:99999"}).encode(),
    "port 0": json.dumps(ENTRY | {"address": "10.0.0.1:0"}).encode(),
    "no address": json.dumps(ENTRY | {"address": "999.1.1.1:80"}).encode(),
    "endless time": json.dumps(ENTRY)[:-1].encode() + b', "time_left_ms": 1e999}',
    "negative time": json.dumps(ENTRY | {"time_left_ms": -1}).encode(),
    "lone surrogate": json.dumps(ENTRY | {"service": "\ud800"}).encode(),
    "surrogate in a model": json.dumps(
        ENTRY | {"models": [{"name": "\udfff"}]}
    ).encode(),
}

any_json = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([HUGE, -HUGE, 2**53, 2**64, -1])
    | st.floats()
    | st.text(st.characters(codec=None), max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=8,
)


def changed(record):
    """Return JSON texts of a record in which up to three fields are replaced."""
    return st.dictionaries(st.sampled_from(sorted(record)), any_json, max_size=3).map(
        lambda changes: json.dumps(record | changes).encode()
    )


@pytest.mark.parametrize("name", ODD_VALUES)
def test_odd_server_entry_is_a_decode_error(name):
    with pytest.raises(DecodeError):
        decode_server("i-1", ODD_VALUES[name])


@pytest.mark.parametrize("key", ["", "i\n1", "i-\xe9", "\ud800", "i" * 300])
def test_server_id_that_fits_into_no_header_is_a_decode_error(key):
    with pytest.raises(DecodeError):
        decode_server(key, json.dumps(ENTRY).encode())


@given(st.binary(max_size=60) | changed(ENTRY))
def test_any_server_entry_is_within_bounds_or_an_error(value):
    try:
        server = decode_server("i-1", value)
    except DecodeError:
        return
    assert is_address(server.address)
    assert server.remaining_s is None or 0 <= server.remaining_s < 1e9
    assert all(
        0 <= count <= 2**53
        for count in (server.slots, server.started_ms, server.orders)
    )
    names = [server.service, server.zone, *server.adapters]
    assert json.dumps(names, ensure_ascii=False).encode()


@given(st.binary(max_size=60) | changed(REPORT))
@example(DEEP)
@example(json.dumps(REPORT | {"sequence": HUGE}).encode())
@example(json.dumps(REPORT)[:-1].encode() + b', "time_left_ms": 1e999}')
@example(json.dumps(REPORT | {"at_hand": {"in_memory": ["\ud800"]}}).encode())
@example(json.dumps(REPORT | {"coming": [7]}).encode())
def test_any_engine_report_is_within_bounds_or_an_error(body):
    try:
        state = decode_report(body)
    except DecodeError:
        return
    counts = (state.started_ms, state.orders, state.waiting, state.running)
    assert all(0 <= count <= 2**53 for count in (*counts, state.used_tokens))
    assert state.remaining_s is None or 0 <= state.remaining_s < 1e9
    json.dumps([*state.local_models, *state.adapters], ensure_ascii=False).encode()


@given(st.binary(max_size=60) | changed(CONFIGURATION))
@example(DEEP)
@example(json.dumps(CONFIGURATION | {"version": HUGE}).encode())
@example(json.dumps(CONFIGURATION | {"limits": {"max_body_bytes": HUGE}}).encode())
def test_any_configuration_is_within_bounds_or_an_error(value):
    try:
        deployment = decode_configuration(value)
    except DecodeError:
        return
    assert 0 <= deployment.version < 2**63
    assert all(0 < route.timeout_s < 1e9 for route in deployment.routes)


@given(st.binary(max_size=100))
@example(b"\0" * 16 + b"\xff\xff\xff\xff")
def test_any_page_is_records_or_an_error(body):
    try:
        page = decode_page(body, NO_OFFSET, None)
    except DecodeError:
        return
    for record in page.records:
        listing_path("keyed.servers", record.key)


@given(st.binary(max_size=60) | changed({"items": [], "end": 3, "truncated": False}))
@example(DEEP)
@example(b'{"items": [], "end": 1e999}')
@example(b'{"offset": 1e999}')
def test_any_listing_is_records_or_an_error(body):
    for decode in (partial(decode_listing, era=None), decode_appended):
        try:
            decoded = decode(body)
        except DecodeError:
            continue
        end = decoded.end if hasattr(decoded, "end") else decoded
        assert 0 <= end <= MAX_OFFSET


def test_odd_item_of_a_listing_does_not_hide_those_beside_it():
    """Guards against a list that is read again and again because of one item."""
    value = base64.b64encode(b"{}").decode()
    items = [
        {"key": "i-1", "value": value, "offset": 4},
        {"key": "i-2", "value": "~~~", "offset": 5},
        {"key": "i-3", "value": value, "offset": 10**30},
        {"key": "\ud800", "value": value, "offset": 6},
    ]
    body = json.dumps({"items": items, "truncated": True, "end": 9}).encode()
    listing = decode_listing(body, None)
    assert listing.records == (KeyedRecord(LogPosition(4), "i-1", b"{}"),)
    assert listing.malformed == 3
    # The next page follows the last item, also if that one is odd.
    assert listing_path("keyed.servers", listing.continue_after)


@given(st.text(max_size=80))
@example("node_name=a\nip=10.0.0.1\ninternal_ports=1,99999\nplatform.address=1.1.1.1:1")
@example("node_name=a\nip=10.0.0.1\ninternal_ports=1,2\nplatform.address=1.1.1.1:99999")
@example(
    "node_name=a\nip=10.0.0.1\ninternal_ports=1,2\nplatform.address=1.1.1.1:1\n"
    "bounds.grace_s=1e999"
)
@example(
    "node_name=a\nip=10.0.0.1\ninternal_ports=1,2\nplatform.address=1.1.1.1:1\n"
    "bounds.drain_ms=nan"
)
def test_any_settings_are_within_bounds_or_an_error(text):
    try:
        settings = decode_settings(text)
    except DecodeError:
        return
    assert is_address(settings.store.address)
    assert all(0 < port < 65536 for port in settings.peer_ports)
    assert all(0 <= bound < 1e12 for bound in settings.bounds.model_dump().values())


ODD_HEADERS = [
    {"x-token-count": "1" + "0" * 300},
    {"x-token-count": "-5,1"},
    {"x-token-count": "1_000,1"},
    {"x-deadline-ms": "nan"},
    {"x-prompt-prefix": "5c:" + "9" * 40},
    {"x-prompt-prefix": "5c:-1"},
]


@pytest.mark.parametrize("headers", ODD_HEADERS)
def test_odd_counts_of_a_caller_are_a_decode_error(headers):
    """Guards against counts that no report to the other entries can hold."""
    http = HttpRequest(1, "POST", "/", "", headers, b"")
    with pytest.raises(DecodeError):
        decode_request(http)


def test_endless_deadline_of_a_caller_is_bounded():
    http = HttpRequest(1, "POST", "/", "", {"x-deadline-ms": "1e999"}, b"")
    assert decode_request(http).max_wait_s <= 86_400.0


@given(st.binary(max_size=80))
@example(b"\x00\x00\xff\xff" + b"\x91" * 65_535)
def test_any_datagram_is_messages_or_an_error(data):
    try:
        messages = make_decoder(60_000).feed(data)
    except FrameError:
        return
    for message in messages:
        encode(message)
