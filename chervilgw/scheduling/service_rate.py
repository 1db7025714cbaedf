"""Measured service rate of one backend server."""

from __future__ import annotations

import math

# Time constant with which the throughput decays. Short enough to follow a change of
# models, long enough to average over tens of requests.
DECAY_TIME_S = 20.0
# Saturated time from which the measured throughput is used.
MIN_SATURATED_S = 1.0
# Weight of one finished request in the moving averages.
AVERAGE_WEIGHT = 0.05


class _TimeFit:
    """Linear fit of service time over tokens: a fixed time plus a time per token.

    Without the fixed time, which dominates in short requests, long requests would be
    estimated several times too long.
    """

    def __init__(self) -> None:
        self._tokens = self._time_s = 0.0
        self._variance = self._covariance = 0.0
        self._is_empty = True

    def add(self, tokens: float, time_s: float) -> None:
        """Add one request to the fit."""
        if self._is_empty:
            self._tokens, self._time_s, self._is_empty = tokens, time_s, False
            return
        from_mean = tokens - self._tokens
        self._tokens += AVERAGE_WEIGHT * from_mean
        self._time_s += AVERAGE_WEIGHT * (time_s - self._time_s)
        self._variance += AVERAGE_WEIGHT * (
            from_mean * (tokens - self._tokens) - self._variance
        )
        sample = from_mean * (time_s - self._time_s)
        self._covariance += AVERAGE_WEIGHT * (sample - self._covariance)

    def time_s(self, tokens: float) -> float:
        """Return the time that a request of that size takes; 0 if unknown."""
        if self._is_empty:
            return 0.0
        max_slope = self._time_s / self._tokens
        slope = self._covariance / self._variance if self._variance > 0.0 else max_slope
        slope = min(max_slope, max(0.0, slope))
        return self._time_s + slope * (tokens - self._tokens)


class ServiceRate:
    """Throughput under saturation, service time, and fraction of the tokens used."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._busy_s = 0.0
        self._saturated_from_s: float | None = None
        self._fit = _TimeFit()
        self._used_fraction = 1.0

    @property
    def tokens_per_s(self) -> float | None:
        """Return the throughput under saturation, or None if not known yet."""
        return self._tokens / self._busy_s if self._busy_s >= MIN_SATURATED_S else None

    def record_saturated(self, now_s: float) -> None:
        """Record that a request waits for a slot."""
        if self._saturated_from_s is None:
            self._saturated_from_s = now_s

    def record_idle(self) -> None:
        """Record that no request waits for a slot."""
        self._saturated_from_s = None

    def record_finished(
        self, requested_tokens: int, used_tokens: int, started_s: float, now_s: float
    ) -> None:
        """Record a finished request."""
        if self._saturated_from_s is not None:
            interval_s = now_s - self._saturated_from_s
            decay = math.exp(-interval_s / DECAY_TIME_S)
            self._tokens = self._tokens * decay + used_tokens
            self._busy_s = self._busy_s * decay + interval_s
            self._saturated_from_s = now_s
        if requested_tokens > 0:
            self._used_fraction += AVERAGE_WEIGHT * (
                used_tokens / requested_tokens - self._used_fraction
            )
        if used_tokens > 0:
            self._fit.add(used_tokens, now_s - started_s)

    def queue_s(self, tokens: float) -> float:
        """Return the expected time to serve that many queued tokens; 0 if unknown."""
        rate = self.tokens_per_s
        return tokens * self._used_fraction / rate if rate else 0.0

    def service_s(self, tokens: int) -> float:
        """Return the expected time of one request in service; 0 if unknown."""
        return self._fit.time_s(tokens * self._used_fraction)
