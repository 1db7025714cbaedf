"""Checks of a caller's bytes before the HTTP library parses them.

``circuits.web`` 3.2.5 bounds neither head nor body, decompresses bodies of any size,
and fails on some malformed heads with an internal error. This module checks the raw
bytes and does not use sockets.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason

_HEAD_END = b"\r\n\r\n"
# Tab, line feed and carriage return are allowed.
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f]")


class GuardPhase(Enum):
    """Part of a request that a connection is processing."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    ANSWERING = "answering"


@dataclass(frozen=True, slots=True)
class GuardLimits:
    """Limits of what a caller may send."""

    max_head_bytes: int = 32_768
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 10.0
    body_timeout_s: float = 60.0


@dataclass(slots=True)
class RequestGuard:
    """State of one caller connection; see :func:`make_request_guard`."""

    limits: GuardLimits
    phase: GuardPhase = GuardPhase.IDLE
    expects_continue: bool = False
    _head: bytes = b""
    _body_bytes: int = 0
    _declared_bytes: int | None = 0
    _phase_start_s: float = 0.0

    def on_data(self, data: bytes, now_s: float) -> Refusal | None:
        """Check received bytes.

        Parameters
        ----------
        data : bytes
            Bytes as they arrived.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        Refusal or None
            A refusal if the connection must be answered with an error and closed.
        """
        if self.phase is GuardPhase.ANSWERING:
            return _bad_request(
                "data arrived before the answer to the previous request"
            )
        if self.phase is GuardPhase.IDLE:
            self.phase = GuardPhase.HEAD
            self._phase_start_s = now_s
        if self.phase is GuardPhase.HEAD:
            return self._on_head(data, now_s)
        return self._on_body(len(data))

    def on_request(self) -> None:
        """Record that the library delivered the whole request."""
        self.phase = GuardPhase.ANSWERING

    def on_answered(self) -> None:
        """Record that the answer is complete, so that the next request may begin."""
        self.phase = GuardPhase.IDLE
        self._head = b""
        self._body_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return the bytes of the request that is being read or in progress."""
        return len(self._head) + self._body_bytes

    def check_time(self, now_s: float) -> Refusal | None:
        """Return a refusal if the head or body takes too long, or None."""
        waited_s = now_s - self._phase_start_s
        if self.phase is GuardPhase.HEAD and waited_s > self.limits.head_timeout_s:
            return _request_timeout("the request head took too long")
        if self.phase is GuardPhase.BODY and waited_s > self.limits.body_timeout_s:
            return _request_timeout("the request body took too long")
        return None

    def _on_head(self, data: bytes, now_s: float) -> Refusal | None:
        self._head += data
        end = self._head.find(_HEAD_END)
        size_bytes = end if end >= 0 else len(self._head)
        if size_bytes > self.limits.max_head_bytes:
            detail = f"the head is over {self.limits.max_head_bytes} bytes"
            return make_refusal(RefusalReason.HEADERS_TOO_LARGE, detail)
        if end < 0:
            return None
        refusal = self._check_fields(self._head[:end])
        if refusal is not None:
            return refusal
        body_bytes = len(self._head) - end - len(_HEAD_END)
        self._head = b""
        self.phase = GuardPhase.BODY
        self._phase_start_s = now_s
        return self._on_body(body_bytes)

    def _check_fields(self, head: bytes) -> Refusal | None:
        # The library decodes the head with "unicode_escape", so a backslash could
        # inject line ends into a header.
        if b"\\" in head or _CONTROL_CHARACTER.search(head):
            return _bad_request("the head contains a control character or a backslash")
        lines = head.split(b"\r\n")
        if any(b":" not in line for line in lines[1:]):
            return _bad_request("a header line has no colon")
        pairs = [line.split(b":", 1) for line in lines[1:]]
        fields = [(name.strip().lower(), value.strip()) for name, value in pairs]
        headers = dict(fields)
        self.expects_continue = headers.get(b"expect", b"").lower() == b"100-continue"
        if headers.get(b"content-encoding", b"identity").lower() != b"identity":
            return _bad_request("compressed request bodies are not supported")
        return self._check_length(fields, headers)

    def _check_length(self, fields, headers) -> Refusal | None:
        lengths = {value for name, value in fields if name == b"content-length"}
        transfer = headers.get(b"transfer-encoding")
        if transfer is not None:
            if lengths or transfer.lower() != b"chunked":
                return _bad_request("unsupported transfer-encoding")
            self._declared_bytes = None
            return None
        if len(lengths) > 1 or not all(value.isdigit() for value in lengths):
            return _bad_request("invalid content-length")
        self._declared_bytes = int(lengths.pop()) if lengths else 0
        if self._declared_bytes > self.limits.max_body_bytes:
            return self._body_too_large()
        return None

    def _on_body(self, size_bytes: int) -> Refusal | None:
        self._body_bytes += size_bytes
        if self._declared_bytes is None:
            if self._body_bytes > 2 * self.limits.max_body_bytes:
                return self._body_too_large()
        elif self._body_bytes > self._declared_bytes:
            return _bad_request("the body is longer than its content-length")
        return None

    def _body_too_large(self) -> Refusal:
        detail = f"the body is over {self.limits.max_body_bytes} bytes"
        return make_refusal(RefusalReason.BODY_TOO_LARGE, detail)


def make_request_guard(limits: GuardLimits) -> RequestGuard:
    r"""Return the guard of a new caller connection.

    Parameters
    ----------
    limits : GuardLimits
        Limits from the settings.

    Returns
    -------
    RequestGuard

    Examples
    --------
    >>> guard = make_request_guard(GuardLimits(max_body_bytes=3))
    >>> guard.on_data(b"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n", 0.0).reason
    <RefusalReason.BODY_TOO_LARGE: 'body_too_large'>
    """
    return RequestGuard(limits)


def _bad_request(detail: str) -> Refusal:
    return make_refusal(RefusalReason.BAD_REQUEST, detail)


def _request_timeout(detail: str) -> Refusal:
    return make_refusal(RefusalReason.REQUEST_TIMEOUT, detail)
