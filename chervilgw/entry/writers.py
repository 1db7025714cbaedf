"""Writers of the caller's answer: event stream, JSON body, or a service's body."""

from __future__ import annotations

import time
from typing import Protocol

from chervilgw.codec.openai_answers import (
    AnswerWriter,
    HttpAnswer,
    make_answer_writer,
    make_error_answer,
)
from chervilgw.core.refusals import Refusal
from chervilgw.entry.messages import Priced
from chervilgw.relay.outputs import Complete
from chervilgw.runtime.events import (
    HttpPart,
    HttpPushStart,
    HttpReply,
    http_push_data,
    http_push_end,
    http_push_start,
    http_reply,
)

REQUEST_ID_HEADER = "x-request-id"


class CallerWriter(Protocol):
    """Turns an answer into events for the HTTP server task."""

    def begin(self) -> list:
        """Return the events to send before the first part."""
        ...

    def part(self, data: bytes) -> HttpPart | None:
        """Return a part to send, or None if the answer is sent whole at the end."""
        ...

    def complete(self, answer: Complete) -> list:
        """Return the events that end a complete answer."""
        ...

    def fail(self, refusal: Refusal) -> list:
        """Return the events that end an answer with an error."""
        ...


class StreamWriter:
    """Writes server-sent events; the head is sent with the first part."""

    def __init__(self, exchange: int, request_id: str, writer: AnswerWriter):
        self._exchange = exchange
        self._request_id = request_id
        self._writer = writer
        self._begun = False

    def begin(self) -> list:
        """Return the head and the endpoint's first event, once."""
        if self._begun:
            return []
        self._begun = True
        headers = (
            ("content-type", "text/event-stream"),
            ("cache-control", "no-cache"),
            (REQUEST_ID_HEADER, self._request_id),
        )
        start = http_push_start(HttpPushStart(self._exchange, 200, headers))
        first = self._writer.first_event()
        return [start, self._push(first)] if first else [start]

    def part(self, data: bytes) -> HttpPart:
        """Return the server-sent event of one token."""
        return HttpPart(self._exchange, self._writer.text_event(data.decode()))

    def complete(self, answer: Complete) -> list:
        """Return the final events, ``[DONE]`` included."""
        tail = self._writer.final_events(
            answer.finish_reason, answer.prompt_tokens, answer.tokens
        )
        return [
            *self.begin(),
            self._push(tail),
            http_push_end(self._exchange),
        ]

    def fail(self, refusal: Refusal) -> list:
        """Return an error answer, or an error event and an abort within a stream."""
        if not self._begun:
            return [error_reply(self._exchange, self._request_id, refusal)]
        error = self._writer.error_event(refusal)
        return [
            self._push(error),
            http_push_end(self._exchange, False),
        ]

    def _push(self, data: bytes):
        return http_push_data([HttpPart(self._exchange, data)])


class JsonWriter:
    """Writes one JSON body at the end."""

    def __init__(self, exchange: int, request_id: str, writer: AnswerWriter):
        self._exchange = exchange
        self._request_id = request_id
        self._writer = writer

    def begin(self) -> list:
        """Return nothing; the head is sent with the body."""
        return []

    def part(self, data: bytes) -> None:
        """Return nothing; the relay collects the text."""

    def complete(self, answer: Complete) -> list:
        """Return the complete answer."""
        body = self._writer.complete_body(
            answer.body.decode(),
            answer.finish_reason,
            answer.prompt_tokens,
            answer.tokens,
        )
        headers = (("content-type", "application/json"),)
        reply = HttpAnswer(answer.status, headers, body)
        return [_reply(self._exchange, self._request_id, reply)]

    def fail(self, refusal: Refusal) -> list:
        """Return an error answer."""
        return [error_reply(self._exchange, self._request_id, refusal)]


class ServiceWriter:
    """Writes a plain service's status, headers and body."""

    def __init__(self, exchange: int, request_id: str):
        self._exchange = exchange
        self._request_id = request_id

    def begin(self) -> list:
        """Return nothing; the head is sent with the body."""
        return []

    def part(self, data: bytes) -> None:
        """Return nothing; the body is sent only once it is complete."""

    def complete(self, answer: Complete) -> list:
        """Return the complete answer."""
        reply = HttpAnswer(answer.status, answer.headers, answer.body)
        return [_reply(self._exchange, self._request_id, reply)]

    def fail(self, refusal: Refusal) -> list:
        """Return an error answer."""
        return [error_reply(self._exchange, self._request_id, refusal)]


def make_writer(priced: Priced, request_id: str) -> CallerWriter:
    """Return the writer for a request.

    Parameters
    ----------
    priced : Priced
        The request.
    request_id : str
        Id that the caller sees.

    Returns
    -------
    CallerWriter
    """
    if priced.request is None:
        return ServiceWriter(priced.exchange, request_id)
    request = priced.request
    writer = make_answer_writer(
        request.endpoint,
        f"chatcmpl-{request_id}",
        int(time.time()),
        request.model,
        request.include_usage,
    )
    writer_type = StreamWriter if request.stream else JsonWriter
    return writer_type(priced.exchange, request_id, writer)


def error_reply(exchange: int, request_id: str, refusal: Refusal):
    """Return the event that answers a request with an error.

    Parameters
    ----------
    exchange : int
        Exchange at the HTTP server task.
    request_id : str
        Id that the caller sees.
    refusal : Refusal
        Why there is no answer.

    Returns
    -------
    http_reply
    """
    return _reply(exchange, request_id, make_error_answer(refusal))


def _reply(exchange: int, request_id: str, answer: HttpAnswer):
    headers = (*answer.headers, (REQUEST_ID_HEADER, request_id))
    return http_reply(HttpReply(exchange, answer.status, headers, answer.body))
