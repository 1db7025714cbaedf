"""Checks of an opaque request's head, and refusals of requests read incompletely."""

from __future__ import annotations

from collections.abc import Iterable

import h11

from chervilgw.core.deployment import CallerLimits
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason, RunState

# A body that is read without a stall takes up to some seconds.
BODIES_RETRY_AFTER_S = 1.0
# Bytes that separate the name, the value and the next header.
_SEPARATOR_BYTES = 4

HeaderPairs = Iterable[tuple[bytes, bytes]]


def header_bytes(headers: HeaderPairs) -> int:
    """Return the size of the headers as the operators' limit counts it.

    Examples
    --------
    >>> header_bytes([(b"host", b"h")])
    9
    """
    return sum(len(name) + len(value) + _SEPARATOR_BYTES for name, value in headers)


def declared_bytes(headers: HeaderPairs) -> int:
    """Return the declared length of the body, or 0 if none is declared.

    Examples
    --------
    >>> declared_bytes([(b"content-length", b"12")])
    12
    """
    return int(dict(headers).get(b"content-length", b"0"))


def check_head(headers: HeaderPairs, limits: CallerLimits) -> Refusal | None:
    """Check the headers of a request.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case, and values.
    limits : CallerLimits
        Limits of what a caller may send.

    Returns
    -------
    Refusal or None
        Reason to refuse the request before its body is read, if there is one.

    Examples
    --------
    >>> check_head([(b"content-length", b"9")], CallerLimits(500, 8, 1, 1)).reason
    <RefusalReason.BODY_TOO_LARGE: 'body_too_large'>
    """
    names = {name for name, _ in headers}
    if header_bytes(headers) > limits.max_header_bytes:
        detail = f"the headers are over {limits.max_header_bytes} bytes"
        return make_refusal(RefusalReason.HEADERS_TOO_LARGE, detail)
    if b"content-length" in names and b"transfer-encoding" in names:
        # With two framings, another parser could find a different request.
        detail = "both content-length and transfer-encoding are set"
        return make_refusal(RefusalReason.BAD_REQUEST, detail)
    if declared_bytes(headers) > limits.max_body_bytes:
        return body_too_large(limits)
    return None


def body_too_large(limits: CallerLimits) -> Refusal:
    """Return the refusal of a body over the operators' limit."""
    detail = f"the body is over {limits.max_body_bytes} bytes"
    return make_refusal(RefusalReason.BODY_TOO_LARGE, detail)


def out_of_memory() -> Refusal:
    """Return the refusal of a request for which there is no memory now."""
    detail = "the bodies of the requests in progress use the memory for them"
    return make_refusal(RefusalReason.QUEUE_FULL, detail, BODIES_RETRY_AFTER_S)


def request_timeout(detail: str) -> Refusal:
    """Return the refusal of a request whose head or body arrives too slowly."""
    return make_refusal(RefusalReason.REQUEST_TIMEOUT, detail)


def answer_not_encoded() -> Refusal:
    """Return the refusal in the place of an answer that cannot be passed on."""
    detail = "the backend server's answer cannot be passed on"
    return Refusal(RefusalReason.BACKEND_LOST, RunState.UNKNOWN, detail)


def protocol_refusal(error: h11.RemoteProtocolError) -> Refusal:
    """Return the refusal of bytes that are no request in the protocol."""
    if error.error_status_hint == 431:
        detail = "the request head is too large"
        return make_refusal(RefusalReason.HEADERS_TOO_LARGE, detail)
    return make_refusal(RefusalReason.BAD_REQUEST, "malformed HTTP request")


def encode_closing_answer(status: int, headers, body: bytes) -> bytes:
    """Return an answer after which the connection is closed.

    Examples
    --------
    >>> encode_closing_answer(503, [], b"").splitlines()[0]
    b'HTTP/1.1 503 Refused'
    """
    lines = [f"HTTP/1.1 {status} Refused"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
