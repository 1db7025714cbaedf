"""Measured service rate of one backend server."""

from __future__ import annotations

import math

# Time over which measurements lose weight. Short enough to follow a change of models,
# long enough to average over tens of requests.
MEMORY_S = 20.0
# Saturated time after which the throughput is believed.
ENOUGH_S = 1.0
# Weight of one finished request in the moving averages.
STEP = 0.05


class _TimeFit:
    """Straight line through times by size: a fixed part, and one for each token.

    With a time for each token alone, short requests, whose time is mostly the fixed
    part, would make long ones look several times as long as they are.
    """

    def __init__(self) -> None:
        self._tokens = self._time_s = 0.0
        self._variance = self._covariance = 0.0
        self._is_empty = True

    def add(self, tokens: float, time_s: float) -> None:
        """Count one request."""
        if self._is_empty:
            self._tokens, self._time_s, self._is_empty = tokens, time_s, False
            return
        from_mean = tokens - self._tokens
        self._tokens += STEP * from_mean
        self._time_s += STEP * (time_s - self._time_s)
        self._variance += STEP * (from_mean * (tokens - self._tokens) - self._variance)
        sample = from_mean * (time_s - self._time_s)
        self._covariance += STEP * (sample - self._covariance)

    def time_s(self, tokens: float) -> float:
        """Return the time that a request of that size takes; 0 if unknown."""
        if self._is_empty:
            return 0.0
        most = self._time_s / self._tokens
        slope = self._covariance / self._variance if self._variance > 0.0 else most
        slope = min(most, max(0.0, slope))
        return self._time_s + slope * (tokens - self._tokens)


class ServiceRate:
    """Throughput under saturation, speed of one request, and share of tokens used."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._busy_s = 0.0
        self._saturated_from_s: float | None = None
        self._fit = _TimeFit()
        self._used_share = 1.0

    @property
    def tokens_per_s(self) -> float | None:
        """Return the throughput while requests waited, or None if not known yet."""
        return self._tokens / self._busy_s if self._busy_s >= ENOUGH_S else None

    def saturated(self, now_s: float) -> None:
        """Note that a request waits for a slot."""
        if self._saturated_from_s is None:
            self._saturated_from_s = now_s

    def idle(self) -> None:
        """Note that no request waits for a slot."""
        self._saturated_from_s = None

    def finished(
        self, asked_tokens: int, used_tokens: int, started_s: float, now_s: float
    ) -> None:
        """Count a finished request."""
        if self._saturated_from_s is not None:
            interval_s = now_s - self._saturated_from_s
            decay = math.exp(-interval_s / MEMORY_S)
            self._tokens = self._tokens * decay + used_tokens
            self._busy_s = self._busy_s * decay + interval_s
            self._saturated_from_s = now_s
        if asked_tokens > 0:
            self._used_share += STEP * (used_tokens / asked_tokens - self._used_share)
        if used_tokens > 0:
            self._fit.add(used_tokens, now_s - started_s)

    def queue_s(self, tokens: float) -> float:
        """Return the expected time to serve that many queued tokens; 0 if unknown."""
        rate = self.tokens_per_s
        return tokens * self._used_share / rate if rate else 0.0

    def service_s(self, tokens: int) -> float:
        """Return the expected time of one request in service; 0 if unknown."""
        return self._fit.time_s(tokens * self._used_share)
