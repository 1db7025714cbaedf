"""How long streams take after their first event, learned from those that ended.

A caller that states a deadline needs the whole stream by then. A request whose first
event would come too late for that is refused at once: it would take an engine's time
and end unfinished.
"""

from __future__ import annotations

from dataclasses import dataclass

# Weight of the newest stream; about the last fifty count.
STREAM_WEIGHT = 0.02
# Streams are shorter than the average as well, so that only requests that surely end
# too late are refused.
CERTAIN_FRACTION = 0.7


@dataclass(slots=True)
class StreamPace:
    """Mean time of a stream per output token; see :func:`make_stream_pace`."""

    _s_per_token: float | None = None

    def on_ended(self, output_tokens: int, took_s: float) -> None:
        """Record a stream that was complete.

        Parameters
        ----------
        output_tokens : int
            Most tokens that the request allowed; streams are shorter on average, which
            the mean includes.
        took_s : float
            Time from the first to the last event.
        """
        if output_tokens <= 0:
            return
        sample = took_s / output_tokens
        if self._s_per_token is None:
            self._s_per_token = sample
        else:
            self._s_per_token += STREAM_WEIGHT * (sample - self._s_per_token)

    def least_s(self, output_tokens: int | None) -> float:
        """Return how long a stream surely takes after its first event, in s."""
        if self._s_per_token is None or not output_tokens:
            return 0.0
        return CERTAIN_FRACTION * self._s_per_token * output_tokens


def make_stream_pace() -> StreamPace:
    """Return a pace before any stream has ended.

    Examples
    --------
    >>> pace = make_stream_pace()
    >>> pace.least_s(300)
    0.0
    >>> pace.on_ended(200, took_s=1.0)
    >>> round(pace.least_s(400), 3)
    1.4
    """
    return StreamPace()
