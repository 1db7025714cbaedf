"""Translation of the platform's headers in requests, answers and refusals.

:func:`decode_request` reads the headers that the platform defines into an
:class:`OpaqueRequest`, and :func:`encode_request` writes the request that a backend
server gets. Method, target and body are not changed.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Collection, Mapping
from email.utils import parsedate_to_datetime
from http import HTTPStatus

from chervilgw.core.answers import NOT_RUN_STATUSES, ServerSignals
from chervilgw.core.deployment import AttemptId, OpaqueRequest, PromptPartId
from chervilgw.core.ids import ModelName
from chervilgw.core.refusals import Refusal
from chervilgw.core.states import RefusalReason, RunState
from chervilgw.forward.messages import ServerAnswer, ServerRequest
from chervilgw.platform.errors import DecodeError
from chervilgw.platform.records import MAX_TIME_MS
from chervilgw.runtime.events import Headers, HttpRequest

ATTEMPT_HEADER = "x-attempt-id"
_CREDENTIAL_HEADER = "x-credential"
_DEADLINE_HEADER = "x-deadline-ms"
_MODEL_HEADER = "x-model"
_TOKEN_COUNTS_HEADER = "x-token-count"
_PROMPT_PREFIX_HEADER = "x-prompt-prefix"
_LENGTH_HINT_HEADER = "x-length-hint"
_LAST_EVENT_HEADER = "last-event-id"
_BEGUN_BY_HEADER = "resumes"
_SEAL_HEADER = "x-server-seal"
_NOT_RUN_HEADER = "x-not-executed"
_LEAVING_HEADER = "server-leaving"
_COLD_HEADER = "x-cold-ms"
_EVENT_STREAM_TYPE = "text/event-stream"

# Headers that concern one connection only; the framing is written anew.
_HOP_BY_HOP_HEADERS = frozenset(
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
# Headers without which a server cannot read a request, run it, or name it when it
# answers.
_REQUIRED_HEADERS = frozenset({"host", ATTEMPT_HEADER, _MODEL_HEADER})
# Request headers that are removed from a caller's request: the system alone sets or
# rewrites them.
_SYSTEM_HEADERS = frozenset(
    {
        _CREDENTIAL_HEADER,
        _DEADLINE_HEADER,
        _LAST_EVENT_HEADER,
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

# Ranks of routes start at 0; the engines' urgency ranges from 0 to 9.
URGENCY_PER_RANK = 2

# Status of a refusal before anything ran; reasons not listed here get 503.
_STATUS_BY_REASON = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.HEADERS_TOO_LARGE: 431,
    RefusalReason.REQUEST_TIMEOUT: 408,
    RefusalReason.NO_KEY: 401,
    RefusalReason.WRONG_KEY: 401,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.RATE_EXCEEDED: 429,
    RefusalReason.REQUEST_TOO_LARGE: 413,
}
# A caller waits no longer than this, whatever its deadline says.
MAX_WAIT_S = 86_400.0
# Longer prompts fit into no engine. The counts of all requests of an entry are summed
# and sent to the others, so that none may be huge or negative.
MAX_TOKENS = 100_000_000
_COUNT = re.compile(r"[0-9]{1,12}")
_DECIMAL = re.compile(r"[0-9]{1,18}(\.[0-9]{0,18})?")


def decode_request(http: HttpRequest) -> OpaqueRequest:
    """Decode a caller's request.

    Raises
    ------
    DecodeError
        If a header of the platform is malformed.
    """
    headers = http.headers
    model, _, adapter = headers.get(_MODEL_HEADER, "").partition("/")
    prompt, output = _decode_token_counts(headers.get(_TOKEN_COUNTS_HEADER))
    nominated = _nominated_headers(http.raw_headers)
    if not _REQUIRED_HEADERS.isdisjoint(nominated):
        raise DecodeError("the connection header names a header that must be forwarded")
    forwarded = _end_to_end_headers(http.raw_headers, nominated | _SYSTEM_HEADERS)
    return OpaqueRequest(
        method=http.method,
        target=http.path + (f"?{http.query}" if http.query else ""),
        host=headers.get("host", ""),
        headers=forwarded,
        body=http.body,
        attempt=AttemptId(headers.get(ATTEMPT_HEADER, "")),
        credential=headers.get(_CREDENTIAL_HEADER, ""),
        max_wait_s=_decode_deadline_s(headers.get(_DEADLINE_HEADER)),
        model=ModelName(model) if model else None,
        adapter=adapter or None,
        prompt_tokens=prompt,
        output_tokens=output,
        prompt_parts=_decode_prompt_parts(headers.get(_PROMPT_PREFIX_HEADER)),
        last_event=headers.get(_LAST_EVENT_HEADER),
        hinted_output_tokens=_decode_hint(headers.get(_LENGTH_HINT_HEADER)),
        begun_by=AttemptId(headers.get(_BEGUN_BY_HEADER, "")),
    )


def _nominated_headers(pairs: Headers) -> set[str]:
    """Return the headers that ``Connection`` fields name as of one connection only."""
    lists = (value for name, value in pairs if name.lower() == "connection")
    return {name.strip().lower() for names in lists for name in names.split(",")}


def _end_to_end_headers(pairs: Headers, also_excluded: Collection[str]) -> Headers:
    return tuple(
        pair
        for pair in pairs
        if pair[0].lower() not in _HOP_BY_HOP_HEADERS
        and pair[0].lower() not in also_excluded
    )


def _decode_token_counts(text: str | None) -> tuple[int | None, int | None]:
    if text is None:
        return None, None
    prompt, _, output = text.partition(",")
    return _decode_count(prompt), _decode_count(output or "0")


def _decode_count(text: str) -> int:
    text = text.strip()
    if not _COUNT.fullmatch(text) or int(text) > MAX_TOKENS:
        raise DecodeError(f"a token count is not an integer from 0 to {MAX_TOKENS}")
    return int(text)


def _decode_hint(text: str | None) -> int | None:
    """Decode a caller's estimate; a malformed one is ignored, as it binds nobody."""
    if text is None or not _DECIMAL.fullmatch(text.strip()):
        return None
    return min(MAX_TOKENS, round(float(text))) or None


def _decode_deadline_s(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        deadline_ms = float(text)
    except ValueError:
        deadline_ms = math.nan
    if math.isnan(deadline_ms):
        raise DecodeError("the deadline is not a number")
    return min(MAX_WAIT_S, max(0.0, deadline_ms / 1000))


def _decode_prompt_parts(text: str | None) -> tuple[tuple[PromptPartId, int], ...]:
    if not text:
        return ()
    pairs = (part.rpartition(":") for part in text.split(","))
    return tuple(
        (PromptPartId(name.strip()), _decode_count(size)) for name, _, size in pairs
    )


def encode_request(request: ServerRequest) -> Headers:
    """Return the headers of the request to a backend server."""
    opaque = request.opaque
    headers = list(opaque.headers)
    if request.server is not None:
        headers.append(("X-Expect-Instance", request.server))
    if request.remaining_s is not None:
        headers.append(("X-Deadline-Ms", str(max(1, int(request.remaining_s * 1000)))))
    if request.customer is not None:
        # Names are not bound to the characters of a header field.
        text = request.customer.encode().decode("latin-1")
        headers.append(("X-Tenant", text))
    if opaque.model is not None and request.rank is not None:
        urgency = min(9, request.rank * URGENCY_PER_RANK)
        headers.append(("X-Request-Urgency", str(urgency)))
    if request.last_event_id is not None:
        headers.append(("Last-Event-Id", request.last_event_id))
    return tuple(headers)


def decode_answer(status: int, pairs: Headers) -> ServerAnswer:
    """Decode the status and headers of a backend server's answer.

    Hop-by-hop headers are not forwarded to the caller, except the content length.
    """
    headers = {name.lower(): value for name, value in pairs}
    # Of two framings only the chunks count (RFC 9112, section 6.3).
    is_chunked = "transfer-encoding" in headers
    length = None if is_chunked else headers.get("content-length")
    not_run = _NOT_RUN_HEADER in headers or status == HTTPStatus.MISDIRECTED_REQUEST
    forwarded = _end_to_end_headers(pairs, _nominated_headers(pairs))
    if length is not None:
        forwarded = (*forwarded, ("Content-Length", length))
    return ServerAnswer(
        status=status,
        headers=forwarded,
        not_run=not_run,
        sealed=_SEAL_HEADER in headers,
        encoded="content-encoding" in headers,
        length_bytes=int(length) if length is not None and length.isdigit() else None,
        is_event_stream=headers.get("content-type", "")
        .lower()
        .startswith(_EVENT_STREAM_TYPE),
        framed=length is not None or is_chunked,
        signals=_signals_of(status, headers),
    )


def decode_signals(status: int, pairs: Headers) -> ServerSignals:
    """Decode what a server says of itself beside an answer.

    A time to retry counts only with 503. One that is negative, no number or a date
    without the date of the answer is ignored.
    """
    return _signals_of(status, {name.lower(): value for name, value in pairs})


def _signals_of(status: int, headers: Mapping[str, str]) -> ServerSignals:
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        # Another server answered, at the address of the one that was asked.
        return ServerSignals()
    retry_after_s = None
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        retry_after_s = _decode_retry_after_s(
            headers.get("retry-after"), headers.get("date")
        )
    return ServerSignals(
        headers.get(_LEAVING_HEADER) == "1",
        retry_after_s,
        _decode_cold_s(headers.get(_COLD_HEADER)),
    )


def _decode_cold_s(text: str | None) -> float | None:
    if text is None or not _DECIMAL.fullmatch(text.strip()):
        return None
    return min(float(text), MAX_TIME_MS) / 1000


def _decode_retry_after_s(text: str | None, answered_at: str | None) -> float | None:
    if text is None:
        return None
    text = text.strip()
    if _DECIMAL.fullmatch(text):
        return float(text)
    try:
        until = parsedate_to_datetime(text)
        return max(0.0, (until - parsedate_to_datetime(answered_at)).total_seconds())
    except (ValueError, TypeError, OverflowError):
        return None


def encode_refusal(refusal: Refusal) -> tuple[int, Headers, bytes]:
    """Return status, headers and body of a refusal.

    A status that promises "not run" is used only if that is certain; otherwise it is
    replaced by 502. An unreachable deadline is always 504.
    """
    status = _STATUS_BY_REASON.get(refusal.reason, 503)
    if refusal.reason is RefusalReason.DEADLINE_UNREACHABLE:
        status = 504
    elif refusal.run is not RunState.NOT_RUN and status in NOT_RUN_STATUSES:
        status = 502
    body = json.dumps(
        {"error": refusal.reason.value, "detail": refusal.detail}
    ).encode()
    headers = [("Content-Type", "application/json")]
    if refusal.retry_after_s is not None and status in NOT_RUN_STATUSES:
        headers.append(("Retry-After", f"{refusal.retry_after_s:.2f}"))
    return status, tuple(headers), body


class PlatformCodec:
    """Message format of the platform's callers and servers, used by the entries."""

    decode_request = staticmethod(decode_request)
    encode_request = staticmethod(encode_request)
    decode_answer = staticmethod(decode_answer)
    encode_refusal = staticmethod(encode_refusal)

    @staticmethod
    def echo(attempt: AttemptId) -> tuple[str, str] | None:
        """Return the header that identifies the request in an answer."""
        return (ATTEMPT_HEADER, attempt) if attempt else None
