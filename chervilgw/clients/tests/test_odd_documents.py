"""Odd documents of the log, the VM list and engines: a bounded value or an error.

Guards against a process that no longer follows its log or list because one record is
nested too deeply or holds a number out of range.
"""

from __future__ import annotations

import json

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from chervilgw.clients.engine import parse_state
from chervilgw.clients.log import parse_append, parse_page
from chervilgw.clients.vm_list import parse_list
from chervilgw.codec.documents import MAX_INTEGER, DocumentError, load_document
from chervilgw.codec.frames import encode
from chervilgw.codec.openai_answers import parse_engine_event
from chervilgw.codec.sse import SseError
from chervilgw.configuration.fold import fold
from chervilgw.configuration.state import empty_state
from chervilgw.core.messages import End
from chervilgw.runtime.events import CallDone

DEEP = b"[" * 5000 + b"]" * 5000
VM = {"vm": "e1", "zone": "a", "address": "127.0.0.1:80", "state": "live"}
CHANGE = {
    "type": "change",
    "change_id": "c1",
    "kind": "customer",
    "name": "acme",
    "base_version": 0,
    "value": {},
    "operator": "ann",
    "reason": "",
    "time_ms": 5,
}
STATE = {"capacity_bytes": 10, "resident": [], "highest_fencing": 3, "crashes": 0}
PAGE = {"oldest": 0, "next": 4, "records": [[0, 7, CHANGE]]}
any_json = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**300, -1, 2**64])
    | st.floats()
    | st.text(st.characters(codec=None), max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=8,
)


def changed(record):
    return st.dictionaries(st.sampled_from(sorted(record)), any_json, max_size=3).map(
        lambda changes: json.dumps(record | changes).encode()
    )


def answer(body):
    return CallDone("1", 200, (), body)


@given(st.binary(max_size=60) | changed(PAGE))
@example(DEEP)
@example(b'{"oldest": 0, "next": 1e999, "records": []}')
def test_any_page_of_the_log_is_records_or_an_error(body):
    for parse in (parse_page, parse_append):
        result = parse(answer(body))
        if is_successful(result) and parse is parse_page:
            page = result.unwrap()
            assert 0 <= page.next_offset <= MAX_INTEGER
            state = empty_state()
            for offset, _, record in page.records:
                state, _ = fold(state, offset, record)


def test_odd_record_does_not_hide_those_beside_it():
    records = [[0, 7, "odd"], [1, 7, 10**300], [2, 7, CHANGE]]
    body = json.dumps({"oldest": 0, "next": 4, "records": records}).encode()
    body = body.replace(b'"odd"', DEEP)
    page = parse_page(answer(body)).unwrap()
    assert page.records == ((0, 7, {}), (1, 7, {}), (2, 7, CHANGE))


@given(st.lists(any_json | changed(VM).map(json.loads), max_size=4))
@example([VM | {"address": "127.0.0.1:99999"}, VM | {"state": "odd"}, "\ud800"])
def test_odd_vm_does_not_hide_those_beside_it(items):
    body = json.dumps({"vms": [*items, VM]}).encode()
    result = parse_list(answer(body))
    if is_successful(result):
        listing = result.unwrap()
        assert listing.vms[-1].vm == "e1"
        assert len(listing.vms) + len(listing.malformed) == len(items) + 1


@given(st.binary(max_size=60) | changed(STATE))
@example(DEEP)
def test_any_state_of_an_engine_is_within_bounds_or_an_error(body):
    result = parse_state(answer(body))
    if is_successful(result):
        assert 0 <= result.unwrap().report.highest_fencing_token <= MAX_INTEGER


@given(
    st.text(max_size=40)
    | changed({"choices": [], "usage": {}}).map(bytes.decode)
    | st.builds(lambda count: json.dumps({"usage": {"prompt_tokens": count}}), any_json)
)
@example(DEEP.decode())
@example('{"usage": {"prompt_tokens": 1' + "0" * 300 + "}}")
def test_any_engine_event_fits_into_a_frame_or_is_an_error(data):
    try:
        event = parse_engine_event(data)
    except SseError:
        return
    if event.prompt_tokens is not None:
        encode(End(None, 200, (), 0, 0, event.prompt_tokens))


@pytest.mark.parametrize(
    "data", [b"", b"NaN", b"1e999", b'"\\ud800"', b"[" * 5000, b"\xff", b'{"a":']
)
def test_malformed_document_is_an_error(data):
    with pytest.raises(DocumentError):
        load_document(data)
