"""Log task: reads streams for other tasks and appends their records."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from itertools import count

from circuits import BaseComponent, handler
from returns.pipeline import is_successful

from chervilgw.clients.errors import RecordsExpired
from chervilgw.clients.log import (
    LogClientSpec,
    Stream,
    make_append_call,
    make_read_call,
    parse_append,
    parse_page,
)
from chervilgw.clients.log_events import (
    log_appended,
    log_expired,
    log_page,
    log_read_failed,
)
from chervilgw.runtime.events import http_call

WAIT_MS = 1000
RETRY_S = 0.3


class AppendOutcome(Enum):
    """What is known of an append."""

    APPENDED = "appended"
    NOT_APPENDED = "not_appended"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class _Reading:
    owner: str
    offset: int = 0
    call: str = ""
    asked_s: float = 0.0
    next_read_s: float = 0.0


class LogTask(BaseComponent):
    """Log task; see :func:`make_log_task`."""

    def __init__(self, address: str, readers: Mapping[Stream, str], channel):
        super().__init__(channel=channel)
        self._spec = LogClientSpec(address, channel)
        self._readings = {stream: _Reading(owner) for stream, owner in readers.items()}
        self._calls: dict[str, Stream] = {}
        self._appends: dict[str, tuple[str, Stream, str]] = {}
        self._numbers = count(1)

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        for stream, reading in self._readings.items():
            if not reading.call and now_s >= reading.next_read_s:
                self._read(stream, reading, now_s)

    def _read(self, stream, reading, now_s):
        reading.call = call = f"stream-read-{next(self._numbers)}"
        reading.asked_s = now_s
        self._calls[call] = stream
        request = make_read_call(self._spec, call, stream, reading.offset, WAIT_MS)
        self.fire(http_call(request), "http-client")

    @handler("log_append")
    def _on_append(self, token, stream, records, reply_to):
        call = f"stream-append-{next(self._numbers)}"
        self._appends[call] = (token, stream, reply_to)
        request = make_append_call(self._spec, call, stream, records)
        self.fire(http_call(request), "http-client")

    @handler("call_done")
    def _on_call_done(self, answer):
        if answer.call in self._appends:
            result = parse_append(answer)
            if is_successful(result):
                self._appended(answer.call, AppendOutcome.APPENDED)
            else:
                self._append_failed(answer.call, result.failure().may_have_run)
            return
        stream = self._calls.pop(answer.call, None)
        if stream is not None:
            self._on_page(stream, self._readings[stream], parse_page(answer))

    def _on_page(self, stream, reading, result):
        now_s = time.monotonic()
        reading.call = ""
        if is_successful(result):
            page = result.unwrap()
            if page.records:
                reading.offset = page.records[-1][0] + 1
            self.fire(log_page(stream, page, reading.asked_s), reading.owner)
            self._read(stream, reading, now_s)
        elif isinstance(result.failure(), RecordsExpired):
            reading.offset = max(reading.offset, result.failure().oldest_offset)
            self.fire(log_expired(stream, reading.offset), reading.owner)
            self._read(stream, reading, now_s)
        else:
            self._read_failed(stream, reading, now_s)

    def _read_failed(self, stream, reading, now_s):
        reading.call = ""
        reading.next_read_s = now_s + RETRY_S
        self.fire(log_read_failed(stream), reading.owner)

    @handler("call_failed")
    def _on_call_failed(self, failed):
        if failed.call in self._appends:
            self._append_failed(failed.call, failed.sent)
            return
        stream = self._calls.pop(failed.call, None)
        if stream is not None:
            self._read_failed(stream, self._readings[stream], time.monotonic())

    def _append_failed(self, call, may_have_run):
        outcome = AppendOutcome.UNKNOWN if may_have_run else AppendOutcome.NOT_APPENDED
        self._appended(call, outcome)

    def _appended(self, call, outcome):
        token, stream, reply_to = self._appends.pop(call)
        self.fire(log_appended(token, stream, outcome), reply_to)


def make_log_task(
    address: str, readers: Mapping[Stream, str], channel: str = "log"
) -> LogTask:
    """Return a log task.

    Parameters
    ----------
    address : str
        Address of the append-only log.
    readers : mapping of Stream to str
        Streams to follow from their beginning, with the channel that gets the records.
    channel : str
        Channel of the task.

    Returns
    -------
    LogTask
    """
    return LogTask(address, readers, channel)
