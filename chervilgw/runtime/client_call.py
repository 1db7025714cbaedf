"""One call of the HTTP client task: its request, its state and its limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import h11

from chervilgw.core.answers import AnswerOwner, owner_of_answer
from chervilgw.core.errors import ChervilError
from chervilgw.runtime.events import HttpCall
from chervilgw.runtime.header_fields import HeaderTextError, encode_headers

# Bounds the late answers to other requests and the interim heads before the head of a
# call's answer.
MAX_BEFORE_ANSWER_BYTES = 1_048_576
# Bounds the body of an answer that is not streamed; the platform's longest page has
# 1 MB. The receiver of a streamed answer bounds its parts.
MAX_COLLECTED_BYTES = 16_777_216
# First number above the statuses of answers.
STATUS_END = 600
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
# Methods whose requests need no length if they have no body.
_METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})


class RequestEncodingError(ChervilError):
    """A request cannot be sent, for instance as a header field is missing."""


class MalformedAnswerError(ChervilError):
    """What a server sent is no answer, though it has the form of one."""


@dataclass(slots=True)
class ClientCall:
    """A call of the HTTP client task, and how far its answer has come."""

    spec: HttpCall
    started_s: float
    last_data_s: float
    request: h11.Request
    sock: Any = None
    parser: Any = None
    status: int = 0
    headers: tuple = ()
    body: list[bytes] = field(default_factory=list)
    skipping: bool = False
    is_connection_reused: bool = False
    has_unproven_answer: bool = False
    paused: bool = False
    before_answer_bytes: int = 0
    collected_bytes: int = 0


def make_request_head(spec: HttpCall) -> h11.Request:
    """Return the head of a request.

    Raises
    ------
    RequestEncodingError
        If no server could read the request.
    """
    headers = list(spec.headers)
    if not spec.forwarded:
        headers.insert(0, ("Host", spec.address))
    if spec.body or not spec.forwarded or spec.method not in _METHODS_WITHOUT_BODY:
        headers.append(("Content-Length", str(len(spec.body))))
    try:
        fields = encode_headers(headers)
        return h11.Request(method=spec.method, target=spec.path, headers=fields)
    except (HeaderTextError, UnicodeEncodeError, h11.LocalProtocolError) as error:
        raise RequestEncodingError(str(error)) from error


def check_answer_head(head: h11.Response | h11.InformationalResponse) -> None:
    """Check the parts of a head that the parser does not.

    Raises
    ------
    MalformedAnswerError
        If the status is none of RFC 9110, section 15, or the version not HTTP/1; or if
        an interim head announces a body, as its server then means a final one.
    """
    if not head.http_version.startswith(b"1."):
        version = head.http_version.decode("latin-1")
        raise MalformedAnswerError(f"an answer in HTTP/{version}")
    if head.status_code >= STATUS_END:
        raise MalformedAnswerError(f"an answer with status {head.status_code}")
    if isinstance(head, h11.InformationalResponse):
        names = {name for name, _ in head.headers}
        if not names.isdisjoint(_FRAMING_HEADERS):
            raise MalformedAnswerError(
                f"an interim answer with status {head.status_code} and a body"
            )


def owner_of(call: ClientCall, head) -> AnswerOwner:
    """Return whose an answer is, by its echo header."""
    if call.spec.echo_header is None:
        return AnswerOwner.THIS_CALL
    name, expected = call.spec.echo_header
    found = [
        value.decode("latin-1") for key, value in head.headers if key == name.encode()
    ]
    return owner_of_answer(
        expected, found[0] if found else None, call.is_connection_reused
    )


def describe_excess(call: ClientCall) -> str | None:
    """Return which size limit an answer exceeds, or None."""
    if not call.status and call.before_answer_bytes > MAX_BEFORE_ANSWER_BYTES:
        return f"over {MAX_BEFORE_ANSWER_BYTES} bytes came without an answer"
    if call.collected_bytes > MAX_COLLECTED_BYTES:
        return f"the answer is longer than {MAX_COLLECTED_BYTES} bytes"
    return None


def is_body_overdue(call: ClientCall, now_s: float) -> bool:
    """Return whether an answer that is not streamed exceeds its total time."""
    spec = call.spec
    limit_s = spec.timeout_s + spec.idle_timeout_s
    return bool(call.status) and not spec.stream and now_s - call.started_s > limit_s


def is_connect_overdue(call: ClientCall, now_s: float) -> bool:
    """Return whether a connection takes longer to open than the call allows."""
    limit_s = call.spec.connect_timeout_s
    return limit_s is not None and now_s - call.started_s > limit_s
