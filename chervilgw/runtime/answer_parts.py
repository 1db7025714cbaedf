"""Base of the HTTP client task: passes the parts of streamed answers on.

The parts that one poll found readable go to each receiver in one event. While too many
bytes are on their way through the tasks, answers are left in the system's buffers.
"""

from __future__ import annotations

import time
from typing import Any

from circuits import BaseComponent, Event, handler

from chervilgw.runtime.client_call import ClientCall
from chervilgw.runtime.dialer import Dialer
from chervilgw.runtime.events import CallData, call_data

# Bytes of answers on their way through the tasks of this process. While there are more,
# answers are left in the system's buffers.
MAX_PASSING_BYTES = 2_097_152
# Smaller batches are not counted; those of event streams are much smaller.
MIN_COUNTED_BYTES = 16_384
# Tasks behind this one that hold the bytes of an answer: its receiver and the task that
# owns the caller's socket.
TASKS_BEHIND = 2


class parts_due(Event):  # noqa: N801
    """Send the parts of all answers that the last poll found readable."""


class parts_passed(Event):  # noqa: N801
    """Parts of answers have reached the next task: bytes, tasks still before them."""


class AnswerParts(BaseComponent):
    """Task that delivers answers in parts; subclasses set ``_dialer`` and read them."""

    _dialer: Dialer

    def __init__(self, channel):
        super().__init__(channel=channel)
        self._calls: dict[str, ClientCall] = {}
        self._by_sock: dict[Any, str] = {}
        self._parts: dict[str, list[CallData]] = {}
        self._passing_bytes = 0
        self._held: dict[Any, None] = {}

    def deliver(self, call: ClientCall, received: list[bytes]):
        """Pass on what has been received, or keep it if the answer is not streamed."""
        if not received:
            return
        if not call.spec.stream:
            call.body.extend(received)
            call.collected_bytes += sum(map(len, received))
            return
        if not self._parts:
            self.fire(parts_due(), self.channel)
        part = CallData(call.spec.call, b"".join(received))
        self._parts.setdefault(call.spec.reply_to, []).append(part)

    @handler("parts_due")
    def _on_parts_due(self):
        for reply_to in list(self._parts):
            self.send_parts(reply_to)

    def send_parts(self, reply_to: str):
        """Send a receiver the parts that wait for it."""
        parts = self._parts.pop(reply_to, None)
        if parts is None:
            return
        self.fire(call_data(parts), reply_to)
        size_bytes = sum(len(part.data) for part in parts)
        if size_bytes >= MIN_COUNTED_BYTES:
            self._passing_bytes += size_bytes
            # Events are handled in their order, so that this one follows the parts.
            self.fire(parts_passed(size_bytes, TASKS_BEHIND), self.channel)

    @handler("parts_passed")
    def _on_parts_passed(self, size_bytes: int, tasks_before: int):
        if tasks_before:
            self.fire(parts_passed(size_bytes, tasks_before - 1), self.channel)
            return
        self._passing_bytes -= size_bytes
        if self._held and self._passing_bytes < MAX_PASSING_BYTES / 2:
            held, self._held = self._held, {}
            for sock in held:
                self._resume(sock)

    def _resume(self, sock):
        call = self._calls.get(self._by_sock.get(sock, ""))
        if sock not in self._held and not (call is not None and call.paused):
            self._dialer.resume_reading(sock)

    def bound_passing(self, sock):
        """Stop reading from a connection while too many bytes are on their way."""
        if self._passing_bytes > MAX_PASSING_BYTES and self._dialer.is_open(sock):
            self._held[sock] = None
            self._dialer.pause_reading(sock)

    @handler("http_call_pause")
    def _on_pause(self, call_id: str):
        call = self._calls.get(call_id)
        if call is not None and call.sock is not None:
            call.paused = True
            self._dialer.pause_reading(call.sock)

    @handler("http_call_resume")
    def _on_resume(self, call_id: str):
        call = self._calls.get(call_id)
        if call is not None and call.sock is not None:
            call.paused, call.last_data_s = False, time.monotonic()
            self._resume(call.sock)
