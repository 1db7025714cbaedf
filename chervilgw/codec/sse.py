"""Server-sent events: an encoder, and an incremental parser of bounded memory."""

from __future__ import annotations

from chervilgw.core.errors import ChervilError

DONE_EVENT = b"data: [DONE]\n\n"
DONE_DATA = "[DONE]"
DEFAULT_MAX_EVENT_BYTES = 1024 * 1024


class SseError(ChervilError):
    """An event stream is malformed, or an event is too long."""


def encode_event(data: bytes) -> bytes:
    r"""Return an event with the given data.

    Parameters
    ----------
    data : bytes
        JSON on one line.

    Returns
    -------
    bytes

    Examples
    --------
    >>> encode_event(b"{}")
    b'data: {}\n\n'
    """
    return b"data: " + data + b"\n\n"


class SseParser:
    """Parser of one event stream; yields the data of each complete event.

    Comments, event names, ids and retry times are skipped. An event that is incomplete
    at the stream's end is dropped, as the format requires.
    """

    def __init__(self, max_event_bytes: int) -> None:
        self._max_event_bytes = max_event_bytes
        self._partial_line = b""
        self._data: list[bytes] = []
        self._data_bytes = 0
        self._after_cr = False
        self._at_start = True

    def feed(self, chunk: bytes) -> list[str]:
        """Return the data of the events that the chunk completes.

        Parameters
        ----------
        chunk : bytes
            The next bytes, split at any position.

        Returns
        -------
        list of str

        Raises
        ------
        SseError
            If an event is too long or not UTF-8.
        """
        if self._after_cr and chunk:
            # The CR that ended the previous chunk and this LF are one line end.
            self._after_cr = False
            chunk = chunk.removeprefix(b"\n")
        if not chunk:
            return []
        self._after_cr = chunk.endswith(b"\r")
        # Searching only the new bytes keeps the time for long lines linear.
        lines = chunk.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n")
        lines[0] = self._partial_line + lines[0]
        self._partial_line = lines.pop()
        events = []
        for line in lines:
            events += self._parse_line(line)
        if self._data_bytes + len(self._partial_line) > self._max_event_bytes:
            raise SseError(f"event exceeds {self._max_event_bytes} bytes")
        return events

    def _parse_line(self, line: bytes) -> list[str]:
        if self._at_start:
            self._at_start = False
            line = line.removeprefix(b"\xef\xbb\xbf")
        if line:
            name, _, value = line.partition(b":")
            if name == b"data":
                self._data.append(value.removeprefix(b" "))
                self._data_bytes += len(value) + 1
                if self._data_bytes > self._max_event_bytes:
                    raise SseError(f"event exceeds {self._max_event_bytes} bytes")
            return []
        if not self._data:
            return []
        data = b"\n".join(self._data)
        self._data, self._data_bytes = [], 0
        try:
            return [data.decode()]
        except UnicodeDecodeError as error:
            raise SseError("event is not UTF-8") from error


def make_sse_parser(max_event_bytes: int = DEFAULT_MAX_EVENT_BYTES) -> SseParser:
    r"""Return a parser for one event stream.

    Parameters
    ----------
    max_event_bytes : int
        Length limit of an event; also bounds the memory of the parser.

    Returns
    -------
    SseParser

    Examples
    --------
    >>> parser = make_sse_parser()
    >>> parser.feed(b'data: {"a"')
    []
    >>> parser.feed(b': 1}\n\ndata: [DONE]\n\n')
    ['{"a": 1}', '[DONE]']
    """
    return SseParser(max_event_bytes)
