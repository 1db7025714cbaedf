"""Event boundaries and ids of a server-sent event stream that is forwarded opaquely."""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
# A longer event is forwarded in pieces, and its stream cannot be resumed.
MAX_PARTIAL_BYTES = 1_048_576


class EventSplitter:
    """Splits a stream into whole events, so that it can be resumed after a failure."""

    def __init__(self):
        self._partial = b""
        self.last_event_id: str | None = None
        self.only_whole_events = True

    def feed(self, data: bytes) -> bytes:
        r"""Return the bytes of the events that the data completes.

        Examples
        --------
        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 7\ndata: a\n\nid: 8\nda")
        b'id: 7\ndata: a\n\n'
        >>> splitter.last_event_id
        '7'
        """
        data = self._partial + data
        end = 0
        for match in _EVENT_END.finditer(data):
            end = match.end()
        events, self._partial = data[:end], data[end:]
        ids = _ID.findall(events)
        if ids:
            self.last_event_id = ids[-1].decode("latin-1")
        if len(self._partial) > MAX_PARTIAL_BYTES:
            events, self._partial = events + self._partial, b""
            self.only_whole_events = False
        return events

    def take_partial(self) -> bytes:
        """Return and clear the bytes after the last whole event."""
        partial, self._partial = self._partial, b""
        return partial

    def drop_partial(self) -> None:
        """Discard an incomplete event before another server resumes the stream."""
        self._partial = b""


def make_event_splitter() -> EventSplitter:
    """Return a splitter for a new stream."""
    return EventSplitter()
