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
# OpenAI's documented limit, which its clients keep to.
MAX_STOP_SEQUENCES = 4
# Chat templates wrap each message in a few tokens for its role and separators.
MESSAGE_OVERHEAD_TOKENS = 8
# Images and audio are priced by resolution or length, which is not decoded here; common
# vision models take fewer tokens for one image.
NON_TEXT_PART_TOKENS = 2048

_KNOWN_FIELDS = frozenset(
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
_LETTERS_AND_SPACES = re.compile(r"[A-Za-z\s]+")


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
        One sentence without text from the body, which may hold a prompt.
    """

    def __init__(self, param: str | None, message: str) -> None:
        super().__init__(message)
        self.param = param
        self.message = message

    def to_refusal(self) -> Refusal:
        """Return the refusal to send to the caller."""
        return make_refusal(RefusalReason.BAD_REQUEST, self.message)


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """A validated and normalised completion request.

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
    """Validate and normalise a body and the two headers.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint that the body was sent to.
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
        return Success(
            _parse_body(endpoint, _load_json(body), dict(_lowercase_names(headers)))
        )
    except BadParameterError as error:
        return Failure(error)


def _lowercase_names(headers: Iterable[tuple[str, str]]) -> Iterable[tuple[str, str]]:
    return ((name.lower(), value.strip()) for name, value in headers)


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not JSON")


def _load_json(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body, parse_constant=_reject_constant)
        if b"\\u" in body:
            # A lone surrogate is valid JSON but cannot be encoded as UTF-8.
            json.dumps(value, ensure_ascii=False).encode()
    except (ValueError, RecursionError):
        raise BadParameterError(None, "the body is not valid JSON in UTF-8") from None
    if type(value) is not dict:
        raise BadParameterError(None, "the body must be a JSON object")
    return value


def _parse_body(
    endpoint: Endpoint, body: dict[str, Any], headers: Mapping[str, str]
) -> CompletionRequest:
    model = _get_field(body, "model", str, "")
    if not model:
        raise BadParameterError("model", "model is required and must not be empty")
    for name in ("n", "best_of"):
        if _get_field(body, name, int, 1) != 1:
            raise BadParameterError(name, f"{name} must be 1")
    stream = _get_field(body, "stream", bool, False)
    chat = endpoint is Endpoint.CHAT
    return CompletionRequest(
        endpoint=endpoint,
        model=model,
        messages=_parse_messages(body) if chat else (),
        prompt="" if chat else _parse_prompt(body),
        max_tokens=_parse_max_tokens(body),
        stream=stream,
        include_usage=_parse_include_usage(body, stream),
        stop=_parse_stop(body),
        temperature=_parse_temperature(body),
        user=_get_field(body, "user", str, ""),
        urgency=_parse_urgency(headers),
        deadline_s=_parse_deadline_s(headers),
        extra={
            name: value for name, value in body.items() if name not in _KNOWN_FIELDS
        },
    )


_JSON_NAMES = {str: "a string", int: "an integer", bool: "a boolean", dict: "an object"}


def _get_field(body: Mapping[str, Any], name: str, kind: type, default: Any) -> Any:
    """Return a field, or the default if it is absent or null.

    Client libraries send null for fields that the caller left out.
    """
    value = body.get(name)
    if value is None:
        return default
    if type(value) is not kind:
        raise BadParameterError(name, f"{name} must be {_JSON_NAMES[kind]}")
    return value


def _parse_messages(body: Mapping[str, Any]) -> tuple[dict[str, Any], ...]:
    value = body.get("messages")
    if type(value) is not list or not value:
        raise BadParameterError("messages", "messages must be a non-empty array")
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


def _parse_prompt(body: Mapping[str, Any]) -> str:
    value = body.get("prompt")
    if type(value) is list and len(value) == 1:
        [value] = value
    if type(value) is not str:
        raise BadParameterError(
            "prompt", "prompt must be a string or an array of one string"
        )
    return value


def _parse_max_tokens(body: Mapping[str, Any]) -> int | None:
    """Return the limit; ``max_completion_tokens`` takes precedence, as at OpenAI."""
    found = None
    for name in ("max_tokens", "max_completion_tokens"):
        value = _get_field(body, name, int, None)
        if value is None:
            continue
        if not 1 <= value <= MAX_TOKENS_LIMIT:
            raise BadParameterError(
                name, f"{name} must be from 1 to {MAX_TOKENS_LIMIT}"
            )
        found = value
    return found


def _parse_include_usage(body: Mapping[str, Any], stream: bool) -> bool:
    options = _get_field(body, "stream_options", dict, None)
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


def _parse_stop(body: Mapping[str, Any]) -> tuple[str, ...]:
    value = body.get("stop")
    if value is None:
        return ()
    values = [value] if type(value) is str else value
    if type(values) is not list or any(type(item) is not str for item in values):
        raise BadParameterError("stop", "stop must be a string or an array of strings")
    if len(values) > MAX_STOP_SEQUENCES:
        raise BadParameterError(
            "stop", f"stop holds at most {MAX_STOP_SEQUENCES} strings"
        )
    return tuple(values)


def _parse_temperature(body: Mapping[str, Any]) -> float | None:
    value = body.get("temperature")
    if value is None:
        return None
    if type(value) not in (int, float) or not 0 <= value <= 2:
        raise BadParameterError(
            "temperature", "temperature must be a number from 0 to 2"
        )
    return float(value)


def _parse_urgency(headers: Mapping[str, str]) -> Urgency:
    value = headers.get("x-urgency", "standard").lower()
    if value not in _URGENCIES:
        names = ", ".join(_URGENCIES)
        raise BadParameterError("x-urgency", f"x-urgency must be one of {names}")
    return _URGENCIES[value]


def _parse_deadline_s(headers: Mapping[str, str]) -> float | None:
    value = headers.get("x-deadline-ms")
    if value is None:
        return None
    # The length is checked first: int() refuses very long digit strings.
    if not re.fullmatch(r"[0-9]{1,9}", value) or not 1 <= int(value) <= MAX_DEADLINE_MS:
        raise BadParameterError(
            "x-deadline-ms",
            f"x-deadline-ms must be an integer from 1 to {MAX_DEADLINE_MS}",
        )
    return int(value) / 1000


def estimate_prompt_tokens(request: CompletionRequest) -> int:
    """Return an estimate of the prompt's tokens that is rarely too low.

    ASCII letters and spaces count a third of a token each (English has about four per
    token), other ASCII characters one token each, and other characters one token per
    UTF-8 byte, the maximum of a byte-level tokeniser.

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
        return 1 + _estimate_text(request.prompt)
    total = sum(map(_estimate_message, request.messages))
    for name in ("tools", "functions", "response_format"):
        if name in request.extra:
            total += _estimate_text(json.dumps(request.extra[name], ensure_ascii=False))
    return total


def _estimate_text(text: str) -> int:
    cheap_chars = sum(
        len(run) for run in _LETTERS_AND_SPACES.findall(text) if run.isascii()
    )
    return math.ceil(cheap_chars / 3) + len(text.encode()) - cheap_chars


def _estimate_message(message: Mapping[str, Any]) -> int:
    total = MESSAGE_OVERHEAD_TOKENS
    for name, value in message.items():
        if name != "content":
            total += _estimate_text(json.dumps(value, ensure_ascii=False))
        elif type(value) is str:
            total += _estimate_text(value)
        else:
            total += sum(
                _estimate_text(part["text"])
                if part["type"] == "text"
                else NON_TEXT_PART_TOKENS
                for part in value or ()
            )
    return total


def encode_engine_body(request: CompletionRequest, max_tokens: int) -> bytes:
    """Return the normalised body for the engine, which always requests a stream.

    Parameters
    ----------
    request : CompletionRequest
    max_tokens : int
        Completion limit that was charged; replaces that of the caller.

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
