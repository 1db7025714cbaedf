"""Request bodies of ``/v1/chat/completions`` and ``/v1/completions``."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from returns.result import Failure, Result, Success

from chervilgw.core.errors import ChervilError
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason, Urgency

MAX_TOKENS_LIMIT = 10_000_000
MAX_DEADLINE_MS = 86_400_000
# OpenAI's documented limit; client code written against it never sends more.
MAX_STOPS = 4
# Chat templates wrap each message in a few tokens for its role and separators.
MESSAGE_OVERHEAD_TOKENS = 8
# Images and audio are priced by resolution or length, which is not decoded here. The
# figure is above what common vision models take for one image.
NON_TEXT_PART_TOKENS = 2048

_KNOWN = frozenset(
    [
        "model",
        "messages",
        "prompt",
        "max_tokens",
        "max_completion_tokens",
        "stream",
        "stream_options",
        "n",
        "best_of",
        "stop",
        "temperature",
        "user",
    ]
)
_URGENCIES = {urgency.name.lower(): urgency for urgency in Urgency}
_CHEAP = re.compile(r"[A-Za-z\s]+")


class Endpoint(Enum):
    """The two completion endpoints."""

    CHAT = "/v1/chat/completions"
    TEXT = "/v1/completions"


class BadParameterError(ChervilError):
    """A body or header is invalid.

    Parameters
    ----------
    param : str or None
        Name of the parameter, or None if the body as a whole is invalid.
    message : str
        One sentence that quotes nothing from the body, as it may hold a prompt.
    """

    def __init__(self, param: str | None, message: str) -> None:
        super().__init__(message)
        self.param = param
        self.message = message

    def to_refusal(self) -> Refusal:
        """Return the refusal that the caller gets."""
        return make_refusal(RefusalReason.BAD_REQUEST, self.message)


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """A checked and normalised completion request.

    ``messages`` is empty for text completions and ``prompt`` for chats. ``max_tokens``
    is None if the caller set no limit. ``extra`` holds all other fields as sent.
    """

    endpoint: Endpoint
    model: str
    messages: tuple[dict[str, Any], ...] = ()
    prompt: str = ""
    max_tokens: int | None = None
    stream: bool = False
    include_usage: bool = False
    stop: tuple[str, ...] = ()
    temperature: float | None = None
    user: str = ""
    urgency: Urgency = Urgency.STANDARD
    deadline_s: float | None = None
    extra: dict[str, Any] = field(default_factory=dict)


def parse_request(
    endpoint: Endpoint, body: bytes, headers: Iterable[tuple[str, str]] = ()
) -> Result[CompletionRequest, BadParameterError]:
    """Check a body and the two headers, and normalise them.

    Parameters
    ----------
    endpoint : Endpoint
        Which of the two body forms to expect.
    body : bytes
        JSON as the caller sent it.
    headers : iterable of (str, str)
        Request headers; names in any case. ``x-urgency`` and ``x-deadline-ms`` are
        read.

    Returns
    -------
    Result[CompletionRequest, BadParameterError]

    Examples
    --------
    >>> body = b'{"model": "m", "prompt": "Hello", "max_tokens": 5}'
    >>> parse_request(Endpoint.TEXT, body).unwrap().max_tokens
    5
    >>> parse_request(Endpoint.TEXT, b'{"model": 1}').failure().param
    'model'
    """
    try:
        return Success(_parse(endpoint, _load(body), dict(_lowered(headers))))
    except BadParameterError as error:
        return Failure(error)


def _lowered(headers: Iterable[tuple[str, str]]) -> Iterable[tuple[str, str]]:
    return ((name.lower(), value.strip()) for name, value in headers)


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not JSON")


def _load(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body, parse_constant=_reject_constant)
        if b"\\u" in body:
            # A lone surrogate is valid JSON but has no UTF-8 form to send on.
            json.dumps(value, ensure_ascii=False).encode()
    except (ValueError, RecursionError):
        raise BadParameterError(None, "the body is not valid JSON in UTF-8") from None
    if type(value) is not dict:
        raise BadParameterError(None, "the body must be a JSON object")
    return value


def _parse(
    endpoint: Endpoint, body: dict[str, Any], headers: Mapping[str, str]
) -> CompletionRequest:
    model = _get(body, "model", str, "")
    if not model:
        raise BadParameterError("model", "model is required and must not be empty")
    for name in ("n", "best_of"):
        if _get(body, name, int, 1) != 1:
            raise BadParameterError(name, f"{name} must be 1")
    stream = _get(body, "stream", bool, False)
    chat = endpoint is Endpoint.CHAT
    return CompletionRequest(
        endpoint=endpoint,
        model=model,
        messages=_messages(body) if chat else (),
        prompt="" if chat else _prompt(body),
        max_tokens=_max_tokens(body),
        stream=stream,
        include_usage=_include_usage(body, stream),
        stop=_stop(body),
        temperature=_temperature(body),
        user=_get(body, "user", str, ""),
        urgency=_urgency(headers),
        deadline_s=_deadline_s(headers),
        extra={name: value for name, value in body.items() if name not in _KNOWN},
    )


_JSON_NAMES = {str: "a string", int: "an integer", bool: "a boolean", dict: "an object"}


def _get(body: Mapping[str, Any], name: str, kind: type, default: Any) -> Any:
    """Return a field; client libraries send null for what the caller left out."""
    value = body.get(name)
    if value is None:
        return default
    if type(value) is not kind:
        raise BadParameterError(name, f"{name} must be {_JSON_NAMES[kind]}")
    return value


def _messages(body: Mapping[str, Any]) -> tuple[dict[str, Any], ...]:
    value = body.get("messages")
    if type(value) is not list or not value:
        raise BadParameterError("messages", "messages must be an array, not empty")
    for index, message in enumerate(value):
        _check_message(f"messages[{index}]", message)
    return tuple(value)


def _check_message(name: str, message: Any) -> None:
    if type(message) is not dict:
        raise BadParameterError(name, f"{name} must be an object")
    if type(message.get("role")) is not str or not message["role"]:
        raise BadParameterError(f"{name}.role", f"{name}.role must be a string")
    content = message.get("content")
    if content is None or type(content) is str:
        return
    if type(content) is not list:
        raise BadParameterError(
            f"{name}.content", f"{name}.content must be a string or an array of parts"
        )
    for index, part in enumerate(content):
        part_name = f"{name}.content[{index}]"
        if type(part) is not dict or type(part.get("type")) is not str:
            raise BadParameterError(
                part_name, f"{part_name} must be an object with a type"
            )
        if part["type"] == "text" and type(part.get("text")) is not str:
            raise BadParameterError(
                f"{part_name}.text", f"{part_name}.text must be a string"
            )


def _prompt(body: Mapping[str, Any]) -> str:
    value = body.get("prompt")
    if type(value) is list and len(value) == 1:
        [value] = value
    if type(value) is not str:
        raise BadParameterError(
            "prompt", "prompt must be a string or an array of one string"
        )
    return value


def _max_tokens(body: Mapping[str, Any]) -> int | None:
    """Return the limit; the newer name wins, as in OpenAI's API."""
    found = None
    for name in ("max_tokens", "max_completion_tokens"):
        value = _get(body, name, int, None)
        if value is None:
            continue
        if not 1 <= value <= MAX_TOKENS_LIMIT:
            raise BadParameterError(name, f"{name} must be 1 to {MAX_TOKENS_LIMIT}")
        found = value
    return found


def _include_usage(body: Mapping[str, Any], stream: bool) -> bool:
    options = _get(body, "stream_options", dict, None)
    if options is None:
        return False
    if not stream:
        raise BadParameterError(
            "stream_options", "stream_options is only allowed with stream"
        )
    value = options.get("include_usage")
    if value is not None and type(value) is not bool:
        name = "stream_options.include_usage"
        raise BadParameterError(name, f"{name} must be a boolean")
    return bool(value)


def _stop(body: Mapping[str, Any]) -> tuple[str, ...]:
    value = body.get("stop")
    if value is None:
        return ()
    values = [value] if type(value) is str else value
    if type(values) is not list or any(type(item) is not str for item in values):
        raise BadParameterError("stop", "stop must be a string or an array of strings")
    if len(values) > MAX_STOPS:
        raise BadParameterError("stop", f"stop holds at most {MAX_STOPS} strings")
    return tuple(values)


def _temperature(body: Mapping[str, Any]) -> float | None:
    value = body.get("temperature")
    if value is None:
        return None
    if type(value) not in (int, float) or not 0 <= value <= 2:
        raise BadParameterError("temperature", "temperature must be a number, 0 to 2")
    return float(value)


def _urgency(headers: Mapping[str, str]) -> Urgency:
    value = headers.get("x-urgency", "standard").lower()
    if value not in _URGENCIES:
        names = ", ".join(_URGENCIES)
        raise BadParameterError("x-urgency", f"x-urgency must be one of {names}")
    return _URGENCIES[value]


def _deadline_s(headers: Mapping[str, str]) -> float | None:
    value = headers.get("x-deadline-ms")
    if value is None:
        return None
    # The length is checked first: int() refuses very long digit strings.
    if not re.fullmatch(r"[0-9]{1,9}", value) or not 1 <= int(value) <= MAX_DEADLINE_MS:
        raise BadParameterError(
            "x-deadline-ms", f"x-deadline-ms must be an integer, 1 to {MAX_DEADLINE_MS}"
        )
    return int(value) / 1000


def estimate_prompt_tokens(request: CompletionRequest) -> int:
    """Return an estimate of the prompt's tokens that is rarely too low.

    Letters and spaces count a third of a token each (English has about four per
    token), other ASCII characters one token each, and other characters one token per
    UTF-8 byte, which is the most that a byte-level tokeniser uses.

    Parameters
    ----------
    request : CompletionRequest

    Returns
    -------
    int

    Examples
    --------
    >>> estimate_prompt_tokens(CompletionRequest(Endpoint.TEXT, "m", prompt="a cat"))
    3
    """
    if request.endpoint is Endpoint.TEXT:
        return 1 + _text_tokens(request.prompt)
    total = sum(map(_message_tokens, request.messages))
    for name in ("tools", "functions", "response_format"):
        if name in request.extra:
            total += _text_tokens(json.dumps(request.extra[name], ensure_ascii=False))
    return total


def _text_tokens(text: str) -> int:
    cheap = sum(len(run) for run in _CHEAP.findall(text) if run.isascii())
    return math.ceil(cheap / 3) + len(text.encode()) - cheap


def _message_tokens(message: Mapping[str, Any]) -> int:
    total = MESSAGE_OVERHEAD_TOKENS
    for name, value in message.items():
        if name != "content":
            total += _text_tokens(json.dumps(value, ensure_ascii=False))
        elif type(value) is str:
            total += _text_tokens(value)
        else:
            total += sum(
                _text_tokens(part["text"])
                if part["type"] == "text"
                else NON_TEXT_PART_TOKENS
                for part in value or ()
            )
    return total


def encode_engine_body(request: CompletionRequest, max_tokens: int) -> bytes:
    """Return the normalised body that goes to the engine, always as a stream.

    Parameters
    ----------
    request : CompletionRequest
    max_tokens : int
        Completion limit that was charged; replaces the caller's.

    Returns
    -------
    bytes

    Examples
    --------
    >>> encode_engine_body(CompletionRequest(Endpoint.TEXT, "m", prompt="a"), 5)
    b'{"model":"m","prompt":"a","max_tokens":5,"stream":true}'
    """
    body: dict[str, Any] = {**request.extra, "model": request.model}
    if request.endpoint is Endpoint.CHAT:
        body["messages"] = request.messages
    else:
        body["prompt"] = request.prompt
    body["max_tokens"] = max_tokens
    body["stream"] = True
    if request.stop:
        body["stop"] = request.stop
    if request.temperature is not None:
        body["temperature"] = request.temperature
    if request.user:
        body["user"] = request.user
    return json.dumps(body, ensure_ascii=False, separators=(",", ":")).encode()
