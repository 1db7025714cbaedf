"""Bounded, non-blocking output for log lines."""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable

# A busy entry ends about 50 requests a second and writes one or two lines for each; a
# burst of refusals writes several times that.
MAX_LINES_PER_S = 300.0
MAX_BURST_LINES = 600.0
# Bound of the output buffered for a slow reader; beyond it lines are dropped.
MAX_PENDING_BYTES = 262_144


class BoundedStream:
    """Stream that drops lines instead of blocking; see :func:`make_bounded_stream`."""

    def __init__(self, descriptor: int, clock: Callable[[], float]):
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = MAX_BURST_LINES
        self._last_refill_s = clock()
        self._pending = bytearray()
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write one line, or drop and count it if a bound is exceeded."""
        now_s = self._clock()
        refill = (now_s - self._last_refill_s) * MAX_LINES_PER_S
        self._last_refill_s = now_s
        self._tokens = min(MAX_BURST_LINES, self._tokens + refill)
        data = text.encode("utf-8", "replace")
        if self._tokens < 1.0 or len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
            return len(text)
        self._tokens -= 1.0
        if self.dropped and self._tokens >= 1.0:
            line = {"level": "warning", "event": "logs_dropped", "lines": self.dropped}
            self._pending += json.dumps(line).encode() + b"\n"
            self.dropped = 0
        self._pending += data
        self._write_pending()
        return len(text)

    def flush(self) -> None:
        """Write as much buffered output as the reader accepts without blocking."""
        self._write_pending()

    def close(self) -> None:
        """Write the buffered output; the descriptor stays open.

        The logging library closes a handler's stream when the process exits.
        """
        self._write_pending()

    def _write_pending(self) -> None:
        while self._pending:
            try:
                sent = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, so the buffered lines are discarded.
                self._pending.clear()
                return
            del self._pending[:sent]


def make_bounded_stream(
    descriptor: int, clock: Callable[[], float] = time.monotonic
) -> BoundedStream:
    """Return a bounded stream on a file descriptor, which becomes non-blocking.

    Parameters
    ----------
    descriptor : int
        Open file descriptor, such as that of standard output.
    clock : callable
        Monotonic time in seconds.
    """
    os.set_blocking(descriptor, False)
    return BoundedStream(descriptor, clock)
