"""Turns the engine's event stream for one attempt into messages to the entry."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

import xxhash

from chervilgw.codec.openai_answers import EngineEvent, parse_engine_event
from chervilgw.codec.sse import DONE_DATA, SseError, SseParser, make_sse_parser
from chervilgw.core.messages import Chunk, Dispatch, End
from chervilgw.sidecar.errors import DamagedAnswer


@dataclass(slots=True)
class Generation:
    """State of one engine answer; see :func:`make_generation`."""

    dispatch: Dispatch
    answer_id: str
    position: int
    prompt_tokens: int = 0
    finish_reason: str = ""
    complete: bool = False
    _reported_tokens: int | None = None
    _parser: SseParser = field(default_factory=make_sse_parser)
    _hash: xxhash.xxh64 = field(default_factory=xxhash.xxh64)

    def feed(self, data: bytes) -> list[Chunk]:
        """Parse more bytes of the engine's stream and return the completed chunks.

        Parameters
        ----------
        data : bytes
            Bytes as they arrived.

        Returns
        -------
        list of Chunk

        Raises
        ------
        DamagedAnswer
            If the stream is malformed or reports an error.
        """
        try:
            events = self._parser.feed(data)
            return [c for text in events if (c := self._on_event(text)) is not None]
        except SseError as error:
            raise DamagedAnswer(str(error)) from error

    def _on_event(self, text: str) -> Chunk | None:
        if text == DONE_DATA:
            self.complete = True
            return None
        event = parse_engine_event(text)
        if event.error:
            raise DamagedAnswer("the engine reported an error")
        if event.answer_id and event.answer_id != self.answer_id:
            # If the engine mixes up two streams, no caller may receive another's
            # tokens. The final token count shows whether this answer lacks any.
            return None
        return self._on_content(event)

    def _on_content(self, event: EngineEvent) -> Chunk | None:
        if event.prompt_tokens is not None:
            self.prompt_tokens = event.prompt_tokens
        if event.completion_tokens is not None:
            self._reported_tokens = event.completion_tokens
        if event.finish_reason:
            self.finish_reason = event.finish_reason
        if not event.text:
            return None
        data = event.text.encode()
        chunk = Chunk(self.dispatch.request_id, self.position, 1, data)
        self.position += 1
        self._hash.update(data)
        return chunk

    def end(self) -> End:
        """Check the finished answer and return its end marker.

        Returns
        -------
        End

        Raises
        ------
        DamagedAnswer
            If the answer is cut, or its token count differs from the tokens received.
        """
        if not self.complete:
            raise DamagedAnswer("the engine's answer was cut")
        if self._reported_tokens not in (None, self.position):
            raise DamagedAnswer("the engine's answer has missing or duplicate tokens")
        return End(
            self.dispatch.request_id,
            200,
            (),
            self.position,
            self._hash.intdigest(),
            self.prompt_tokens,
            self.finish_reason,
        )


def make_generation(dispatch: Dispatch) -> Generation:
    """Return the state of a new engine answer.

    Parameters
    ----------
    dispatch : Dispatch
        The attempt; a resumed one starts at its resume position.

    Returns
    -------
    Generation
    """
    answer_id = str(dispatch.request_id)
    return Generation(dispatch, answer_id, dispatch.resume_position)


def engine_request_body(dispatch: Dispatch) -> bytes:
    """Return the caller's body with request id, priority and resume point added.

    Parameters
    ----------
    dispatch : Dispatch
        The attempt; the entry has checked and normalised its body.

    Returns
    -------
    bytes
    """
    body = json.loads(dispatch.body)
    body["request_id"] = str(dispatch.request_id)
    body["priority"] = int(dispatch.urgency)
    body["stream_options"] = {"include_usage": True}
    if dispatch.resume_position:
        body["resume"] = {
            "position": dispatch.resume_position,
            "text": dispatch.resume_text,
        }
    return json.dumps(body, ensure_ascii=False).encode()


def service_messages(
    dispatch: Dispatch, status: int, headers: tuple, body: bytes, max_chunk_bytes: int
) -> list[Chunk | End]:
    """Return a plain service's answer as chunks and an end marker.

    Parameters
    ----------
    dispatch : Dispatch
        The attempt.
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers for the caller.
    body : bytes
        The whole body.
    max_chunk_bytes : int
        Largest data of one chunk, so that a long answer does not delay others.

    Returns
    -------
    list of Chunk or End
    """
    messages: list[Chunk | End] = []
    for position in range(0, len(body), max_chunk_bytes):
        part = body[position : position + max_chunk_bytes]
        messages.append(Chunk(dispatch.request_id, position, len(part), part))
    checksum = xxhash.xxh64_intdigest(body)
    end = End(dispatch.request_id, status, headers, len(body), checksum)
    return [*messages, end]
