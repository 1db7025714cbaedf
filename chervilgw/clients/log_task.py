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

MAX_READ_WAIT_MS = 1000
READ_RETRY_DELAY_S = 0.3


class AppendOutcome(Enum):
    """Outcome of an append."""

    APPENDED = "appended"
    NOT_APPENDED = "not_appended"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class _StreamReader:
    channel: str
    offset: int = 0
    call: str = ""
    sent_s: float = 0.0
    next_read_s: float = 0.0


class LogTask(BaseComponent):
    """Reads streams for other tasks and appends their records."""

    def __init__(self, address: str, readers: Mapping[Stream, str], channel):
        super().__init__(channel=channel)
        self._spec = LogClientSpec(address, channel)
        self._readers = {
            stream: _StreamReader(reader_channel)
            for stream, reader_channel in readers.items()
        }
        self._read_calls: dict[str, Stream] = {}
        self._appends: dict[str, tuple[str, Stream, str]] = {}
        self._call_numbers = count(1)

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        for stream, reader in self._readers.items():
            if not reader.call and now_s >= reader.next_read_s:
                self._start_read(stream, reader, now_s)

    def _start_read(self, stream, reader, now_s):
        reader.call = call = f"stream-read-{next(self._call_numbers)}"
        reader.sent_s = now_s
        self._read_calls[call] = stream
        request = make_read_call(
            self._spec, call, stream, reader.offset, MAX_READ_WAIT_MS
        )
        self.fire(http_call(request), "http-client")

    @handler("log_append")
    def _on_append(self, token, stream, records, reply_to):
        call = f"stream-append-{next(self._call_numbers)}"
        self._appends[call] = (token, stream, reply_to)
        request = make_append_call(self._spec, call, stream, records)
        self.fire(http_call(request), "http-client")

    @handler("call_done")
    def _on_call_done(self, answer):
        if answer.call in self._appends:
            result = parse_append(answer)
            if is_successful(result):
                self._finish_append(answer.call, AppendOutcome.APPENDED)
            else:
                self._fail_append(answer.call, result.failure().may_have_run)
            return
        stream = self._read_calls.pop(answer.call, None)
        if stream is not None:
            self._finish_read(stream, self._readers[stream], parse_page(answer))

    def _finish_read(self, stream, reader, result):
        now_s = time.monotonic()
        reader.call = ""
        if is_successful(result):
            page = result.unwrap()
            if page.records:
                reader.offset = page.records[-1][0] + 1
            self.fire(log_page(stream, page, reader.sent_s), reader.channel)
            self._start_read(stream, reader, now_s)
        elif isinstance(result.failure(), RecordsExpired):
            reader.offset = max(reader.offset, result.failure().oldest_offset)
            self.fire(log_expired(stream, reader.offset), reader.channel)
            self._start_read(stream, reader, now_s)
        else:
            self._fail_read(stream, reader, now_s)

    def _fail_read(self, stream, reader, now_s):
        reader.call = ""
        reader.next_read_s = now_s + READ_RETRY_DELAY_S
        self.fire(log_read_failed(stream), reader.channel)

    @handler("call_failed")
    def _on_call_failed(self, failed):
        if failed.call in self._appends:
            self._fail_append(failed.call, failed.sent)
            return
        stream = self._read_calls.pop(failed.call, None)
        if stream is not None:
            self._fail_read(stream, self._readers[stream], time.monotonic())

    def _fail_append(self, call, may_have_run):
        outcome = AppendOutcome.UNKNOWN if may_have_run else AppendOutcome.NOT_APPENDED
        self._finish_append(call, outcome)

    def _finish_append(self, call, outcome):
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
        Streams to read from their beginning, each with the channel for its records.
    channel : str
        Channel of the task.

    Returns
    -------
    LogTask
    """
    return LogTask(address, readers, channel)
