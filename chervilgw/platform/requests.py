"""Callers' requests and backend servers' answers: the platform's headers.

:func:`decode_request` reads the headers that the platform defines into an
:class:`OpaqueRequest`, and :func:`encode_request` writes the request that a backend
server gets. Method, target and body are not changed.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from http import HTTPStatus

from chervilgw.core.deployment import AttemptId, OpaqueRequest, PromptPartId
from chervilgw.core.ids import ModelName
from chervilgw.core.refusals import Refusal
from chervilgw.core.states import RefusalReason, RunState
from chervilgw.forward.messages import ServerAnswer, ServerRequest
from chervilgw.platform.errors import DecodeError
from chervilgw.runtime.events import Headers, HttpRequest

ATTEMPT = "x-attempt-id"
_KEY = "x-credential"
_DEADLINE = "x-deadline-ms"
_MODEL = "x-model"
_TOKENS = "x-token-count"
_PREFIX = "x-prompt-prefix"
_LAST_EVENT = "last-event-id"
_SEAL = "x-server-seal"
_NOT_RUN = "x-not-executed"

_CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
"""Headers that concern one connection; the framing is written anew."""
_OURS = frozenset(
    {
        _KEY,
        _DEADLINE,
        _LAST_EVENT,
        "x-tenant",
        "x-expect-instance",
        "x-expect-version",
        "x-request-urgency",
        "x-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
    }
)
"""Request headers that only this system sets, or that it rewrites."""

URGENCY_STEP = 2
"""Ranks of routes are 0, 1, 2 and more; the engines' urgency goes from 0 to 9."""

_STATUS = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.HEADERS_TOO_LARGE: 431,
    RefusalReason.REQUEST_TIMEOUT: 408,
    RefusalReason.NO_KEY: 401,
    RefusalReason.WRONG_KEY: 401,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.RATE_EXCEEDED: 429,
}
"""Status of refusals before anything ran; the others are 503."""
_REPEATABLE = frozenset({408, 429, 503})
"""Statuses that promise that the request has not run and never will."""


def decode_request(http: HttpRequest) -> OpaqueRequest:
    """Return the request of a caller.

    Raises
    ------
    DecodeError
        If a header of the platform has a wrong form.
    """
    headers = http.headers
    model, _, adapter = headers.get(_MODEL, "").partition("/")
    prompt, output = _tokens(headers.get(_TOKENS))
    passed = _passed_on(http.raw_headers, headers.get("connection", ""), _OURS)
    return OpaqueRequest(
        method=http.method,
        target=http.path + (f"?{http.query}" if http.query else ""),
        host=headers.get("host", ""),
        headers=passed,
        body=http.body,
        attempt=AttemptId(headers.get(ATTEMPT, "")),
        credential=headers.get(_KEY, ""),
        max_wait_s=_seconds(headers.get(_DEADLINE)),
        model=ModelName(model) if model else None,
        adapter=adapter or None,
        prompt_tokens=prompt,
        output_tokens=output,
        prompt_parts=_parts(headers.get(_PREFIX)),
        last_event=headers.get(_LAST_EVENT),
    )


def _passed_on(pairs: Headers, connection: str, dropped: Iterable[str]) -> Headers:
    named = {name.strip().lower() for name in connection.split(",")}
    without = _CONNECTION_HEADERS | named | set(dropped)
    return tuple(pair for pair in pairs if pair[0].lower() not in without)


def _tokens(text: str | None) -> tuple[int | None, int | None]:
    if text is None:
        return None, None
    prompt, _, output = text.partition(",")
    try:
        return int(prompt), int(output or 0)
    except ValueError:
        raise DecodeError("the token count is not two whole numbers") from None


def _seconds(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        return max(0.0, float(text)) / 1000
    except ValueError:
        raise DecodeError("the deadline is not a number") from None


def _parts(text: str | None) -> tuple[tuple[PromptPartId, int], ...]:
    if not text:
        return ()
    try:
        pairs = (part.rpartition(":") for part in text.split(","))
        return tuple((PromptPartId(name.strip()), int(size)) for name, _, size in pairs)
    except ValueError:
        raise DecodeError("a part of the prompt has no token count") from None


def encode_request(request: ServerRequest) -> Headers:
    """Return the headers of the request to a backend server."""
    opaque = request.opaque
    headers = list(opaque.headers)
    if request.server is not None:
        headers.append(("X-Expect-Instance", request.server))
    if request.left_s is not None:
        headers.append(("X-Deadline-Ms", str(max(1, int(request.left_s * 1000)))))
    if request.customer is not None:
        headers.append(("X-Tenant", request.customer))
    if opaque.model is not None and request.rank is not None:
        urgency = min(9, request.rank * URGENCY_STEP)
        headers.append(("X-Request-Urgency", str(urgency)))
    if request.last_event is not None:
        headers.append(("Last-Event-Id", request.last_event))
    return tuple(headers)


def decode_answer(status: int, pairs: Headers) -> ServerAnswer:
    """Return the head of a backend server's answer.

    The headers that go on to the caller leave out those of the connection.
    """
    headers = {name.lower(): value for name, value in pairs}
    length = headers.get("content-length")
    not_run = _NOT_RUN in headers or status == HTTPStatus.MISDIRECTED_REQUEST
    passed = _passed_on(pairs, headers.get("connection", ""), ())
    if length is not None:
        passed = (*passed, ("Content-Length", length))
    return ServerAnswer(
        status=status,
        headers=passed,
        not_run=not_run,
        sealed=_SEAL in headers,
        encoded="content-encoding" in headers,
        length_bytes=int(length) if length is not None and length.isdigit() else None,
    )


def encode_refusal(refusal: Refusal) -> tuple[int, Headers, bytes]:
    """Return status, headers and body that tell a caller of a refusal.

    A status that promises "not run" is used only where that is certain; else it is 502,
    or 504 after a timeout.
    """
    status = _STATUS.get(refusal.reason, 503)
    if refusal.reason is RefusalReason.DEADLINE_UNREACHABLE:
        status = 504
    elif refusal.run is not RunState.NOT_RUN and status in _REPEATABLE:
        status = 502
    body = json.dumps(
        {"error": refusal.reason.value, "detail": refusal.detail}
    ).encode()
    headers = [("Content-Type", "application/json")]
    if refusal.retry_after_s is not None and status in _REPEATABLE:
        headers.append(("Retry-After", f"{refusal.retry_after_s:.2f}"))
    return status, tuple(headers), body


class PlatformCodec:
    """The encoding of this platform for the forwarding path."""

    decode_request = staticmethod(decode_request)
    encode_request = staticmethod(encode_request)
    decode_answer = staticmethod(decode_answer)
    encode_refusal = staticmethod(encode_refusal)

    @staticmethod
    def echo(attempt: AttemptId) -> tuple[str, str] | None:
        """Return the header by which an answer names its request."""
        return (ATTEMPT, attempt) if attempt else None
