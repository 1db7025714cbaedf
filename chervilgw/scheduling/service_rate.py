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


class ServiceRate:
    """Throughput under saturation, speed of one request, and share of tokens used."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._busy_s = 0.0
        self._saturated_from_s: float | None = None
        self._seconds_per_token: float | None = None
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
            sample = (now_s - started_s) / used_tokens
            old = self._seconds_per_token
            mean = sample if old is None else old + STEP * (sample - old)
            self._seconds_per_token = mean

    def queue_s(self, tokens: float) -> float:
        """Return the expected time to serve that many queued tokens; 0 if unknown."""
        rate = self.tokens_per_s
        return tokens * self._used_share / rate if rate else 0.0

    def service_s(self, tokens: int) -> float:
        """Return the expected time of one request in service; 0 if unknown."""
        return tokens * self._used_share * (self._seconds_per_token or 0.0)
