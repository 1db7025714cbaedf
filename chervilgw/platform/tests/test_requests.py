"""Tests of the headers of requests, answers and refusals."""

import pytest

from chervilgw.core.answers import ServerSignals
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason, RunState
from chervilgw.forward.messages import ServerRequest
from chervilgw.platform.errors import DecodeError
from chervilgw.platform.requests import (
    decode_answer,
    decode_request,
    encode_refusal,
    encode_request,
)
from chervilgw.runtime.events import HttpRequest


def make_request(*pairs, method="POST", path="/a/b", query="", body=b"x"):
    headers = {name.lower(): value for name, value in pairs}
    return HttpRequest(1, method, path, query, headers, body, "http", pairs)


REQUEST = (
    ("Host", "h.example"),
    ("X-Attempt-Id", "id1"),
    ("X-Credential", "secret"),
    ("X-Deadline-Ms", "1500"),
    ("X-Model", "m/a3"),
    ("X-Token-Count", "1460,80"),
    ("X-Prompt-Prefix", "5c:800,91:660"),
    ("X-Tenant", "someone-else"),
    ("X-Hold", "stolen"),
    ("X-Pin-Ms", "4000"),
    ("X-Kv-Backup", "10.0.0.1:1"),
    ("Kv-From", "10.0.0.1:1/x"),
    ("X-Request-Urgency", "0"),
    ("X-Expect-Instance", "i-9"),
    ("Connection", "keep-alive, X-Hop"),
    ("X-Hop", "1"),
    ("Transfer-Encoding", "chunked"),
    ("X-Other", "kept"),
)


def test_request_is_decoded():
    opaque = decode_request(make_request(*REQUEST, query="q=1"))
    assert (opaque.model, opaque.adapter) == ("m", "a3")
    assert (opaque.prompt_tokens, opaque.output_tokens) == (1460, 80)
    assert opaque.prompt_parts == (("5c", 800), ("91", 660))
    assert opaque.max_wait_s == 1.5
    assert opaque.target == "/a/b?q=1"


@pytest.mark.parametrize(
    ("text", "tokens"),
    [
        ("240", 240),
        (" 80.4 ", 80),
        ("0", None),
        ("-3", None),
        ("nan", None),
        ("", None),
    ],
)
def test_length_hint_is_decoded_or_ignored(text, tokens):
    """Guards against a refusal of requests for a malformed estimate."""
    opaque = decode_request(make_request(*REQUEST, ("X-Length-Hint", text)))
    assert opaque.hinted_output_tokens == tokens
    assert ("X-Length-Hint", text) in opaque.headers


def sent_headers(opaque, **changes):
    fields = {
        "opaque": opaque,
        "server": "i-1",
        "remaining_s": 1.2,
        "customer": "acme",
        "rank": 1,
        "last_event_id": None,
    }
    return encode_request(ServerRequest(**fields | changes))


def test_credential_and_system_headers_are_not_forwarded():
    """Guards against a leaked key and against callers that set system headers."""
    headers = sent_headers(decode_request(make_request(*REQUEST)))
    names = [name.lower() for name, _ in headers]
    assert "secret" not in [value for _, value in headers]
    for name in ("x-credential", "x-hold", "x-pin-ms", "x-kv-backup", "kv-from"):
        assert name not in names
    for name in ("x-hop", "connection", "transfer-encoding"):
        assert name not in names
    by_name = {name.lower(): value for name, value in headers}
    assert len(by_name) == len(headers)
    assert by_name["x-tenant"] == "acme"
    assert by_name["x-expect-instance"] == "i-1"
    assert by_name["x-request-urgency"] == "2"
    assert by_name["x-deadline-ms"] == "1200"
    assert by_name["x-other"] == "kept"
    assert by_name["x-attempt-id"] == "id1"


def test_anonymous_request_has_no_customer_header():
    """Guards against a caller on an anonymous route that poses as a customer."""
    headers = sent_headers(decode_request(make_request(*REQUEST)), customer=None)
    assert "x-tenant" not in {name.lower() for name, _ in headers}


@pytest.mark.parametrize(
    "pair",
    [("X-Token-Count", "many"), ("X-Deadline-Ms", "soon"), ("X-Prompt-Prefix", "a,b")],
)
def test_malformed_header_is_an_error(pair):
    with pytest.raises(DecodeError):
        decode_request(make_request(pair))


def test_only_header_or_status_421_marks_request_as_not_run():
    """Guards against a second run of a request that may have run."""
    assert decode_answer(503, (("x-not-executed", "1"),)).not_run
    assert decode_answer(421, ()).not_run
    assert not decode_answer(503, ()).not_run
    assert not decode_answer(500, (("X-Server-Seal", "s"),)).not_run


def test_seal_is_forwarded_unchanged():
    answer = decode_answer(500, (("X-Server-Seal", "s"), ("Connection", "close")))
    assert answer.sealed
    assert answer.headers == (("X-Server-Seal", "s"),)


NOT_RUN_STATUSES = (408, 421, 429, 503)


@pytest.mark.parametrize("reason", RefusalReason)
def test_refusal_with_unknown_run_state_gets_no_not_run_status(reason):
    """Guards against callers that repeat a refused request that may have run."""
    status, headers, _ = encode_refusal(Refusal(reason, RunState.UNKNOWN, "x", 1.0))
    assert status not in NOT_RUN_STATUSES
    assert "Retry-After" not in dict(headers)


def test_refusal_has_retry_time():
    refusal = make_refusal(RefusalReason.RATE_EXCEEDED, "x", 1.25)
    status, headers, _ = encode_refusal(refusal)
    assert status == 429
    assert dict(headers)["Retry-After"] == "1.25"


@pytest.mark.parametrize(
    ("status", "headers", "retry_after_s"),
    [
        (503, {"Retry-After": "3"}, 3.0),
        (503, {"Retry-After": "0.25"}, 0.25),
        (503, {"Retry-After": " 2 "}, 2.0),
        (503, {}, None),
        (503, {"Retry-After": "-1"}, None),
        (503, {"Retry-After": "nan"}, None),
        (503, {"Retry-After": "1e9"}, None),
        (503, {"Retry-After": "soon"}, None),
        (503, {"Retry-After": "9" * 18}, 999999999999999999.0),
        (503, {"Retry-After": "Sat, 05 Dec 2026 04:00:07 GMT"}, None),
        (
            503,
            {
                "Retry-After": "Sat, 05 Dec 2026 04:00:07 GMT",
                "Date": "Sat, 05 Dec 2026 04:00:03 GMT",
            },
            4.0,
        ),
        (429, {"Retry-After": "3"}, None),
        (421, {"Retry-After": "3", "Server-Leaving": "1"}, None),
    ],
)
def test_time_to_retry_of_a_server(status, headers, retry_after_s):
    """Guards against a pause that a malformed or foreign answer asks for."""
    answer = decode_answer(status, tuple(headers.items()))
    assert answer.signals == ServerSignals(False, retry_after_s)


@pytest.mark.parametrize("status", [200, 500, 503])
def test_notice_of_a_server_counts_in_each_of_its_answers(status):
    assert decode_answer(status, (("Server-Leaving", "1"),)).signals.leaving


@pytest.mark.parametrize("name", ["host", " X-Attempt-Id", "X-MODEL"])
def test_header_that_servers_need_must_not_concern_one_connection(name):
    """Guards against requests that no server can read (RFC 9110, section 7.6.1)."""
    pairs = [pair for pair in REQUEST if pair[0] != "Connection"]
    with pytest.raises(DecodeError):
        decode_request(make_request(*pairs, ("Connection", f"close,{name}")))


def test_headers_of_one_connection_are_removed_by_each_connection_field():
    pairs = [pair for pair in REQUEST if pair[0] != "Connection"]
    fields = (("Connection", "X-Hop"), ("Connection", "close"))
    opaque = decode_request(make_request(*pairs, *fields))
    assert "X-Hop" not in dict(opaque.headers)


def test_of_two_framings_of_an_answer_only_the_chunks_count():
    """Guards against a body longer than the length that its caller was told."""
    pairs = (("Content-Length", "3"), ("Transfer-Encoding", "chunked"))
    answer = decode_answer(200, pairs)
    assert answer.headers == ()
    assert (answer.length_bytes, answer.framed) == (None, True)


def test_customer_name_outside_ascii_is_sent_as_utf_8():
    """Guards against requests that cannot be sent for the name of their customer."""
    opaque = decode_request(make_request(*REQUEST))
    name = "\u1eccr\u00ecnr\u00ecn"
    headers = encode_request(ServerRequest(opaque, "i-1", 1.0, name, 1, None))
    assert dict(headers)["X-Tenant"].encode("latin-1") == name.encode()
