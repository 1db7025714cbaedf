"""Response bodies of the OpenAI endpoints: chunks, complete answers, models, errors."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from chervilgw.codec import sse
from chervilgw.codec.openai import Endpoint
from chervilgw.core.ids import ModelName
from chervilgw.core.refusals import Refusal
from chervilgw.core.states import RefusalReason, RunState

# An engine that reports more counts wrongly; larger numbers fit into no frame.
MAX_TOKEN_COUNT = 2**53

_INVALID = "invalid_request_error"
_AUTHENTICATION = "authentication_error"
_SERVER = "server_error"

# HTTP status and error type of each reason. Clients treat 429 as their own fault, so it
# is only used for the customer's rate. A block after crashes is 422 because a retry
# with the same content cannot succeed before the block ends.
_STATUS_AND_TYPE: dict[RefusalReason, tuple[int, str]] = {
    RefusalReason.BAD_REQUEST: (400, _INVALID),
    RefusalReason.LARGER_THAN_BURST: (400, _INVALID),
    RefusalReason.NO_KEY: (401, _AUTHENTICATION),
    RefusalReason.WRONG_KEY: (401, _AUTHENTICATION),
    RefusalReason.KEY_WITHDRAWN: (401, _AUTHENTICATION),
    RefusalReason.NOT_ALLOWED: (403, "permission_error"),
    RefusalReason.UNKNOWN_MODEL: (404, _INVALID),
    RefusalReason.UNKNOWN_SERVICE: (404, _INVALID),
    RefusalReason.UNKNOWN_ROUTE: (404, _INVALID),
    RefusalReason.REQUEST_TIMEOUT: (408, _INVALID),
    RefusalReason.DUPLICATE_REQUEST: (409, "conflict_error"),
    RefusalReason.CONFLICT: (409, "conflict_error"),
    RefusalReason.BODY_TOO_LARGE: (413, _INVALID),
    RefusalReason.BLOCKED_AFTER_CRASHES: (422, _INVALID),
    RefusalReason.RATE_EXCEEDED: (429, "rate_limit_error"),
    RefusalReason.HEADERS_TOO_LARGE: (431, _INVALID),
    RefusalReason.CANCELLED: (499, "cancelled"),
    RefusalReason.BACKEND_LOST: (502, _SERVER),
    RefusalReason.BACKEND_ERROR: (502, _SERVER),
    RefusalReason.REQUEST_TOO_LARGE: (413, _INVALID),
    RefusalReason.QUEUE_FULL: (503, _SERVER),
    RefusalReason.DEADLINE_UNREACHABLE: (503, _SERVER),
    RefusalReason.NO_BACKEND_SERVER: (503, _SERVER),
    RefusalReason.MODEL_NOT_LOADED: (503, _SERVER),
    RefusalReason.NO_ROOM: (503, _SERVER),
    RefusalReason.CONFIGURATION_STALE: (503, _SERVER),
    RefusalReason.DRAINING: (503, _SERVER),
    RefusalReason.SUSPECT_BUSY: (503, _SERVER),
    RefusalReason.LOG_UNAVAILABLE: (503, _SERVER),
    RefusalReason.DEAD_ORIGIN: (503, _SERVER),
    RefusalReason.STREAM_VERSION_UNKNOWN: (503, _SERVER),
    RefusalReason.STREAM_VERSION_GONE: (503, _SERVER),
}


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status, headers and body of one HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def _dump_json(value: Any) -> bytes:
    return json.dumps(value, ensure_ascii=False, separators=(",", ":")).encode()


def encode_error_body(refusal: Refusal, param: str | None = None) -> bytes:
    """Return the error object of a refusal.

    Parameters
    ----------
    refusal : Refusal
    param : str or None
        Name of the invalid parameter.

    Returns
    -------
    bytes
    """
    error = {
        "message": refusal.detail,
        "type": _STATUS_AND_TYPE[refusal.reason][1],
        "param": param,
        "code": refusal.reason.value,
    }
    return _dump_json({"error": error})


def make_error_answer(refusal: Refusal, param: str | None = None) -> HttpAnswer:
    """Return the HTTP response of a refusal.

    OpenAI client libraries retry 408, 409, 429 and 5xx automatically;
    ``x-should-retry`` prevents it if the request may have run.

    Parameters
    ----------
    refusal : Refusal
    param : str or None
        Name of the invalid parameter.

    Returns
    -------
    HttpAnswer

    Examples
    --------
    >>> from chervilgw.core.refusals import make_refusal
    >>> answer = make_error_answer(make_refusal(RefusalReason.QUEUE_FULL, "full", 1.2))
    >>> answer.status, dict(answer.headers)["retry-after"]
    (503, '2')
    """
    not_run = refusal.run is RunState.NOT_RUN
    headers = [
        ("content-type", "application/json"),
        ("x-chervil-run", "not_run" if not_run else "unknown"),
    ]
    if refusal.retry_after_s is not None:
        headers.append(("retry-after", str(max(1, math.ceil(refusal.retry_after_s)))))
    if not not_run:
        headers.append(("x-should-retry", "false"))
    status = _STATUS_AND_TYPE[refusal.reason][0]
    return HttpAnswer(status, tuple(headers), encode_error_body(refusal, param))


def make_model_object(name: ModelName, created: int) -> dict[str, Any]:
    """Return the object that describes one model.

    Parameters
    ----------
    name : ModelName
    created : int
        Seconds since the epoch.

    Returns
    -------
    dict
    """
    return {"id": name, "object": "model", "created": created, "owned_by": "chervilgw"}


def encode_model_list(names: Iterable[ModelName], created: int) -> bytes:
    """Return the body of ``GET /v1/models``.

    Parameters
    ----------
    names : iterable of ModelName
    created : int
        Seconds since the epoch.

    Returns
    -------
    bytes

    Examples
    --------
    >>> encode_model_list([], 0)
    b'{"object":"list","data":[]}'
    """
    data = [make_model_object(name, created) for name in names]
    return _dump_json({"object": "list", "data": data})


class AnswerWriter:
    """Builds the events of a streamed answer, or the body of one that is not."""

    def __init__(
        self,
        endpoint: Endpoint,
        answer_id: str,
        created: int,
        model: str,
        include_usage: bool,
    ) -> None:
        self._chat = endpoint is Endpoint.CHAT
        self._include_usage = include_usage
        self._common_fields = {"id": answer_id, "created": created, "model": model}
        # The bytes before and after the text are the same in every chunk.
        placeholder = "\x00"
        before, after = _dump_json(self._chunk(placeholder, None)).rsplit(
            _dump_json(placeholder), 1
        )
        self._chunk_prefix, self._chunk_suffix = b"data: " + before, after + b"\n\n"

    def _chunk(self, text: str | None, finish_reason: str | None) -> dict[str, Any]:
        choice: dict[str, Any] = {"index": 0}
        if self._chat:
            choice["delta"] = {} if text is None else {"content": text}
        else:
            choice["text"] = text or ""
        choice |= {"logprobs": None, "finish_reason": finish_reason}
        return self._with_choices([choice])

    def _with_choices(self, choices: list[Any]) -> dict[str, Any]:
        kind = "chat.completion.chunk" if self._chat else "text_completion"
        body = {**self._common_fields, "object": kind, "choices": choices}
        if self._include_usage:
            body["usage"] = None
        return body

    def first_event(self) -> bytes:
        """Return the event that opens a chat stream; empty for text completions."""
        if not self._chat:
            return b""
        body = self._chunk("", None)
        body["choices"][0]["delta"] = {"role": "assistant", "content": ""}
        return sse.encode_event(_dump_json(body))

    def text_event(self, text: str) -> bytes:
        """Return the event that holds the next piece of text."""
        return self._chunk_prefix + json.dumps(text).encode() + self._chunk_suffix

    def final_events(
        self, finish_reason: str, prompt_tokens: int, completion_tokens: int
    ) -> bytes:
        """Return the events that complete a stream, ``[DONE]`` included."""
        events = sse.encode_event(_dump_json(self._chunk(None, finish_reason)))
        if self._include_usage:
            body = self._with_choices([])
            body["usage"] = _make_usage(prompt_tokens, completion_tokens)
            events += sse.encode_event(_dump_json(body))
        return events + sse.DONE_EVENT

    def error_event(self, refusal: Refusal) -> bytes:
        """Return the event that ends a stream with an error, without ``[DONE]``."""
        return sse.encode_event(encode_error_body(refusal))

    def complete_body(
        self, text: str, finish_reason: str, prompt_tokens: int, completion_tokens: int
    ) -> bytes:
        """Return the body of an answer that is not a stream."""
        choice: dict[str, Any] = {"index": 0}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        choice |= {"logprobs": None, "finish_reason": finish_reason}
        body = {
            **self._common_fields,
            "object": "chat.completion" if self._chat else "text_completion",
            "choices": [choice],
            "usage": _make_usage(prompt_tokens, completion_tokens),
        }
        return _dump_json(body)


def _make_usage(prompt_tokens: int, completion_tokens: int) -> dict[str, int]:
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    }


def make_answer_writer(
    endpoint: Endpoint,
    answer_id: str,
    created: int,
    model: str,
    include_usage: bool = False,
) -> AnswerWriter:
    r"""Return a writer for one answer.

    Parameters
    ----------
    endpoint : Endpoint
    answer_id : str
        ``id`` of every chunk.
    created : int
        Seconds since the epoch.
    model : str
        Name as the caller sent it.
    include_usage : bool
        Whether a chunk with the usage precedes ``[DONE]``.

    Returns
    -------
    AnswerWriter

    Examples
    --------
    >>> writer = make_answer_writer(Endpoint.TEXT, "c1", 0, "m")
    >>> writer.first_event()
    b''
    >>> writer.text_event("Hi").endswith(b'\n\n')
    True
    """
    return AnswerWriter(endpoint, answer_id, created, model, include_usage)


@dataclass(frozen=True, slots=True)
class EngineEvent:
    """Contents of one event of an engine's stream.

    ``finish_reason``, ``error`` and ``answer_id`` are empty, and the token counts None,
    if absent.
    """

    text: str = ""
    finish_reason: str = ""
    prompt_tokens: int | None = None
    error: str = ""
    completion_tokens: int | None = None
    answer_id: str = ""


def parse_engine_event(data: str) -> EngineEvent:
    """Parse an event of an engine's stream, of either endpoint.

    Parameters
    ----------
    data : str
        Data of the event; not ``[DONE]``.

    Returns
    -------
    EngineEvent

    Raises
    ------
    chervilgw.codec.sse.SseError
        If the event is not of the expected form.

    Examples
    --------
    >>> parse_engine_event('{"choices": [{"delta": {"content": "Hi"}}]}').text
    'Hi'
    """
    try:
        body = json.loads(data)
        if body.get("error"):
            return EngineEvent(error=str(body["error"].get("message", "engine error")))
        usage = body.get("usage") or {}
        choice = (body.get("choices") or [{}])[0]
        text = (choice.get("delta") or {}).get("content") or choice.get("text") or ""
        event = EngineEvent(
            text,
            choice.get("finish_reason") or "",
            usage.get("prompt_tokens"),
            completion_tokens=usage.get("completion_tokens"),
            answer_id=str(body.get("id") or ""),
        )
        # JSON can hold lone surrogates, which no message to the entry can.
        (event.text + event.finish_reason).encode()
    except (ValueError, AttributeError, TypeError, KeyError, RecursionError) as error:
        raise sse.SseError("engine event has an unexpected form") from error
    if type(event.text) is not str or type(event.finish_reason) is not str:
        raise sse.SseError("engine event has a field of the wrong type")
    counts = (event.prompt_tokens, event.completion_tokens)
    if not all(count is None or _is_token_count(count) for count in counts):
        raise sse.SseError("engine event has an invalid token count")
    return event


def _is_token_count(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_TOKEN_COUNT
