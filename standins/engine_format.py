"""OpenAI-compatible bodies of the engine: chat and plain text completions."""

from __future__ import annotations

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

DONE = b"data: [DONE]\n\n"


class Format(Protocol):
    """How one kind of completion is encoded."""

    object_name: str
    chunk_name: str

    def prompt(self, body: Mapping[str, Any]) -> str:
        """Return the prompt's text."""
        ...

    def part(self, text: str, finish_reason: str | None, whole: bool) -> dict[str, Any]:
        """Return one choice, of a whole answer or of a chunk."""
        ...


class ChatFormat:
    """Bodies of ``/v1/chat/completions``."""

    object_name = "chat.completion"
    chunk_name = "chat.completion.chunk"

    def prompt(self, body: Mapping[str, Any]) -> str:
        """Return the contents of all messages, one a line."""
        texts = []
        for message in body["messages"]:
            content = message.get("content") or ""
            if not isinstance(content, str):
                content = " ".join(part.get("text", "") for part in content)
            texts.append(f"{message['role']} {content}")
        return "\n".join(texts)

    def part(self, text: str, finish_reason: str | None, whole: bool) -> dict[str, Any]:
        """Return one choice with a message or a delta."""
        if whole:
            message = {"role": "assistant", "content": text}
            return {"index": 0, "message": message, "finish_reason": finish_reason}
        delta = {"content": text} if text else {}
        return {"index": 0, "delta": delta, "finish_reason": finish_reason}


class TextFormat:
    """Bodies of ``/v1/completions``."""

    object_name = "text_completion"
    chunk_name = "text_completion"

    def prompt(self, body: Mapping[str, Any]) -> str:
        """Return the prompt; a list of strings is joined."""
        prompt = body["prompt"]
        return prompt if isinstance(prompt, str) else " ".join(prompt)

    def part(self, text: str, finish_reason: str | None, whole: bool) -> dict[str, Any]:
        """Return one choice with its text."""
        return {"index": 0, "text": text, "finish_reason": finish_reason}


@dataclass(frozen=True, slots=True)
class Encoder:
    """Encodes the answer to one request."""

    format: Format
    request_id: str
    model: str

    def whole(self, text: str, finish_reason: str, usage: Any) -> dict[str, Any]:
        """Return the body of a plain answer."""
        choice = self.format.part(text, finish_reason, True)
        return self._head(self.format.object_name) | {
            "choices": [choice],
            "usage": usage,
        }

    def token_frame(self) -> tuple[bytes, bytes]:
        """Return what precedes and follows the JSON text of a token in its chunk."""
        mark = "\x00"
        before, after = self.chunk(mark, None).split(json.dumps(mark).encode())
        return before, after

    def chunk(self, text: str, finish_reason: str | None) -> bytes:
        """Return one chunk of a stream."""
        choice = self.format.part(text, finish_reason, False)
        return _to_event(self._head(self.format.chunk_name) | {"choices": [choice]})

    def usage_chunk(self, usage: Any) -> bytes:
        """Return the chunk that ``stream_options.include_usage`` asks for."""
        head = self._head(self.format.chunk_name)
        return _to_event(head | {"choices": [], "usage": usage})

    def _head(self, object_name: str) -> dict[str, Any]:
        return {
            "id": self.request_id,
            "object": object_name,
            "created": int(time.time()),
            "model": self.model,
        }


def error_body(message: str, code: str) -> dict[str, Any]:
    """Return an OpenAI error body."""
    return {"error": {"message": message, "type": "engine_error", "code": code}}


def error_event(message: str, code: str) -> bytes:
    """Return the event that ends a stream with an error."""
    return _to_event(error_body(message, code))


def _to_event(body: Any) -> bytes:
    return b"data: " + json.dumps(body, separators=(",", ":")).encode() + b"\n\n"
