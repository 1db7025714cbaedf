"""Requests to the engine: decoding, and what their answers need."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from standins import engine_format as formats
from standins.engine_batch import Generation, GenerationId
from standins.engine_memory import Copy
from standins.engine_text import make_output
from standins.messages import Call

DEFAULT_MAX_TOKENS = 128


@dataclass(slots=True)
class EngineRequest:
    """A request for the batch, with what its answer needs."""

    generation: Generation
    copy: Copy
    encoder: formats.Encoder
    frame: tuple[bytes, bytes]
    stream: bool
    include_usage: bool
    crashes: bool
    cached_tokens: int = 0
    sent: int = 0
    parts: list[str] = field(default_factory=list)

    def usage(self) -> dict[str, Any]:
        """Return the OpenAI usage; resumed tokens count as completion tokens."""
        prompt = len(self.generation.prompt_words)
        completion = self.generation.position + self.sent
        return {
            "prompt_tokens": prompt,
            "completion_tokens": completion,
            "total_tokens": prompt + completion,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }


def make_request(
    call: Call, form: formats.Format, copy: Copy, crash_marker: str
) -> EngineRequest:
    """Return the request in a call's body.

    Raises
    ------
    KeyError, ValueError
        If a field is missing or not valid.
    """
    body = call.body
    prompt = form.prompt(body)
    longest = body.get("max_completion_tokens") or body.get("max_tokens")
    longest = DEFAULT_MAX_TOKENS if longest is None else int(longest)
    shortest = int(body.get("min_tokens") or 0)
    output = make_output(body["model"], prompt, longest, shortest)
    resume = body.get("resume") or {}
    position = int(resume.get("position", 0))
    if not 0 <= position <= output.length:
        raise ValueError("resume.position is outside the output")
    if "text" in resume and resume["text"] != output.text(position):
        raise ValueError("resume.text differs from the output up to the position")
    request_id = body.get("request_id") or call.headers.get("x-request-id")
    encoder = formats.Encoder(form, request_id or f"cmpl-{call.call_id}", body["model"])
    return EngineRequest(
        Generation(
            GenerationId(call.call_id),
            body["model"],
            prompt.split(),
            output,
            position,
            int(body.get("priority") or 0),
        ),
        copy,
        encoder,
        encoder.token_frame(),
        bool(body.get("stream")),
        bool((body.get("stream_options") or {}).get("include_usage")),
        bool(crash_marker) and crash_marker in prompt,
    )
