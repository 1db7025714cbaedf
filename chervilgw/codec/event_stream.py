"""Event boundaries and ids of a server-sent event stream that is forwarded opaquely."""

from __future__ import annotations

import re

from chervilgw.core.errors import ChervilError

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
# A block without a field holds comments only, which servers send to keep a connection.
_HAS_FIELD = re.compile(rb"(?:^|\n)[^:\r\n]")
# A longer event is forwarded in pieces, and its stream cannot be resumed.
MAX_PARTIAL_BYTES = 1_048_576
# Ids with more digits are not compared, and their stream cannot be resumed.
MAX_ID_DIGITS = 18


class EventOrderError(ChervilError):
    """A continued stream repeats, skips or omits the id of an event."""


class EventSplitter:
    """Splits a stream into whole events, so that it can be resumed after a failure.

    ``events`` counts them, without comments.
    """

    def __init__(self):
        self._partial = b""
        self.last_event_id: str | None = None
        self._is_resumable = True
        self._step = 1
        self.events = 0
        self._is_continuation = False

    @property
    def ends_inside_event(self) -> bool:
        """Return whether bytes of an incomplete event have arrived."""
        return bool(self._partial)

    @property
    def can_resume(self) -> bool:
        """Return whether a server can go on behind the last event.

        The first id of a continuation is checked against the last one, so that the ids
        have to be numbers.
        """
        last = self.last_event_id
        return self._is_resumable and last is not None and _is_number(last)

    def feed(self, data: bytes) -> bytes:
        r"""Return the bytes of the events that the data completes.

        Raises
        ------
        EventOrderError
            If the stream is a continuation, and an event does not follow the one before
            it. None of the data is to be relayed.

        Examples
        --------
        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 7\ndata: a\n\nid: 8\nda")
        b'id: 7\ndata: a\n\n'
        >>> splitter.last_event_id
        '7'
        """
        data = self._partial + data
        end, last_id = 0, self.last_event_id
        for match in _EVENT_END.finditer(data):
            if self._is_continuation:
                last_id = self._next_id(data[end : match.end()], last_id)
            # A comment that keeps the connection holds no output.
            self.events += data[end : end + 1] != b":"
            end = match.end()
        self.last_event_id = last_id
        events, self._partial = data[:end], data[end:]
        if not self._is_continuation:
            self._record_ids(events)
        if len(self._partial) > MAX_PARTIAL_BYTES:
            if self._is_continuation:
                raise EventOrderError("an event exceeds the size limit")
            events, self._partial = events + self._partial, b""
            self._is_resumable = False
        return events

    def _record_ids(self, events: bytes) -> None:
        ids = [found.decode("latin-1") for found in _ID.findall(events)]
        if not ids:
            return
        former = ids[-2] if len(ids) > 1 else self.last_event_id
        self.last_event_id = ids[-1]
        if former is not None and _is_number(former) and _is_number(ids[-1]):
            self._step = int(ids[-1]) - int(former)
            self._is_resumable = self._is_resumable and self._step > 0

    def _next_id(self, event: bytes, last_id: str) -> str:
        """Return the id of an event that follows another one, or the id before it."""
        ids = _ID.findall(event)
        if not ids and not _HAS_FIELD.search(event):
            return last_id
        found = ids[0].decode("latin-1") if len(ids) == 1 else ""
        expected = int(last_id) + self._step
        if not _is_number(found) or int(found) != expected:
            raise EventOrderError(f"event {found[:20]!r} came in place of {expected}")
        return found

    def take_partial(self) -> bytes:
        """Return and clear the bytes after the last whole event."""
        partial, self._partial = self._partial, b""
        return partial

    def begin_continuation(self) -> None:
        """Prepare for the answer of another server, which resumes the stream.

        The bytes of an incomplete event are discarded: the server sends it again.
        """
        self._partial = b""
        self._is_continuation = self.last_event_id is not None


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_ID_DIGITS


def make_event_splitter() -> EventSplitter:
    """Return a splitter for a new stream."""
    return EventSplitter()
