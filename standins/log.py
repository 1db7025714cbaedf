"""HTTP front of the append-only log: ``python -m standins.log``."""

from __future__ import annotations

import time
from dataclasses import dataclass

import fire
from circuits import Event, handler

from standins.faults import make_faults
from standins.http import HttpFront, Routes, serve, wall_time_ms
from standins.log_state import LogState, ReadState, Slice, StreamName
from standins.messages import Answer, Call, CallId

LONGEST_WAIT_MS = 2000
DEFAULT_LIMIT = 1000


class end_wait(Event):  # noqa: N801
    """A long poll's time is over: ``end_wait(call_id, stream)``."""


@dataclass(frozen=True, slots=True)
class _Waiter:
    start: int
    limit: int


class LogFront(HttpFront):
    """Task that owns the log and the long polls on it."""

    def __init__(self, listen: str, state: LogState) -> None:
        super().__init__(listen, make_faults())
        self._state = state
        self._waiters: dict[StreamName, dict[CallId, _Waiter]] = {}

    def routes(self) -> Routes:
        """Return the handlers by method and path pattern."""
        return {
            ("POST", "streams/*/records"): self._append,
            ("GET", "streams/*/records"): self._read,
        }

    def on_caller_left(self, call_id: CallId) -> None:
        """Forget the caller's long poll."""
        for waiters in self._waiters.values():
            waiters.pop(call_id, None)

    def _append(self, call: Call, name: str) -> Answer:
        records = call.body
        if not isinstance(records, list) or not all(
            isinstance(record, dict) for record in records
        ):
            raise ValueError("the body is not a list of JSON objects")
        stream = StreamName(name)
        result = self._state.append(stream, records, time.monotonic(), wall_time_ms())
        if result is None:
            return Answer(429, {"error": "too many appends"})
        for call_id, waiter in self._waiters.pop(stream, {}).items():
            self.answer(call_id, self._slice(stream, waiter.start, waiter.limit))
        return Answer(200, {"first": result[0], "next": result[1]})

    def _read(self, call: Call, name: str) -> Answer | None:
        stream = StreamName(name)
        start = int(call.query.get("from", 0))
        limit = int(call.query.get("limit", DEFAULT_LIMIT))
        wait_ms = min(LONGEST_WAIT_MS, int(call.query.get("wait_ms", 0)))
        found = self._state.read(stream, start, limit, wall_time_ms())
        if found.records or found.state is ReadState.EXPIRED or wait_ms <= 0:
            return _to_answer(found)
        if self.is_waiting(call.call_id):
            waiters = self._waiters.setdefault(stream, {})
            waiters[call.call_id] = _Waiter(start, limit)
            event = end_wait(call.call_id, stream)
            self.alarm.fire_after(wait_ms / 1000, event, self.channel)
        return None

    @handler("end_wait")
    def _on_end_wait(self, call_id: CallId, stream: StreamName) -> None:
        waiter = self._waiters.get(stream, {}).pop(call_id, None)
        if waiter is not None:
            self.answer(call_id, self._slice(stream, waiter.start, waiter.limit))

    def _slice(self, stream: StreamName, start: int, limit: int) -> Answer:
        return _to_answer(self._state.read(stream, start, limit, wall_time_ms()))


def _to_answer(found: Slice) -> Answer:
    body = {"oldest": found.oldest, "next": found.next}
    if found.state is ReadState.EXPIRED:
        return Answer(410, body)
    return Answer(200, body | {"records": found.records})


def main(
    listen: str = "127.0.0.1:0",
    keep_records: int = 100_000,
    keep_ms: int = 0,
    appends_per_s: float = 400,
) -> None:
    """Run the log until SIGTERM."""
    state = LogState(keep_records, keep_ms, appends_per_s, time.monotonic())
    serve(LogFront(listen, state))


if __name__ == "__main__":
    fire.Fire(main)
