"""Speed at which an engine reads prompts, measured from the turns that it was given.

The time from a turn to its release is a fixed part (the network, the first steps) and a
part in proportion to the prompt. A line through recent samples separates the two, so
that the fixed part, which differs by network, does not count as reading.
"""

from __future__ import annotations

from dataclasses import dataclass

# The slowest engines of the known deployments; assumed until a speed is measured, and
# the least speed, as a slower sample shows other work beside the prompt.
DEFAULT_TOKENS_PER_S = 20_000.0
# Four times the default; a faster sample is a prompt that was mostly cached.
MAX_TOKENS_PER_S = 80_000.0
# Fraction of the variance of the times that the line has to explain. With less the
# slope is noise, and the default holds.
MIN_EXPLAINED_FRACTION = 0.1
# Time from a granted turn to the first event of an empty prompt: the network round trip
# and the engine steps of the event.
FIRST_EVENT_OVERHEAD_S = 0.04
# Each sample reduces the weight of the earlier ones, so that about the last hundred
# count.
FORGETTING_FACTOR = 0.99
# Weight of the assumed speed against one sample of the same size.
PRIOR_WEIGHT = 4.0
PRIOR_TOKENS = 2_000.0


@dataclass(slots=True)
class PrefillSpeed:
    """Least-squares line through reading times; see :func:`make_prefill_speed`."""

    _weight: float = 0.0
    _tokens: float = 0.0
    _time_s: float = 0.0
    _tokens_squared: float = 0.0
    _tokens_time: float = 0.0
    _time_squared: float = 0.0

    @property
    def tokens_per_s(self) -> float:
        """Return the measured speed, at least the default."""
        spread = self._weight * self._tokens_squared - self._tokens**2
        covariance = self._weight * self._tokens_time - self._tokens * self._time_s
        time_spread = self._weight * self._time_squared - self._time_s**2
        if covariance <= 0.0 or spread <= 0.0 or time_spread <= 0.0:
            return DEFAULT_TOKENS_PER_S
        if covariance**2 < MIN_EXPLAINED_FRACTION * spread * time_spread:
            return DEFAULT_TOKENS_PER_S
        measured = spread / covariance
        return min(MAX_TOKENS_PER_S, max(DEFAULT_TOKENS_PER_S, measured))

    @property
    def factor(self) -> float:
        """Return the speed in relation to the default, at least 1."""
        return self.tokens_per_s / DEFAULT_TOKENS_PER_S

    def on_read(self, tokens: int, took_s: float) -> None:
        """Record a prompt that was read alone.

        Parameters
        ----------
        tokens : int
            Prompt tokens that the engine had to read.
        took_s : float
            Time from the turn to its release.
        """
        self._add(float(tokens), took_s, 1.0, FORGETTING_FACTOR)

    def _add(self, tokens: float, took_s: float, weight: float, keep: float) -> None:
        self._weight = keep * self._weight + weight
        self._tokens = keep * self._tokens + weight * tokens
        self._time_s = keep * self._time_s + weight * took_s
        self._tokens_squared = keep * self._tokens_squared + weight * tokens**2
        self._tokens_time = keep * self._tokens_time + weight * tokens * took_s
        self._time_squared = keep * self._time_squared + weight * took_s**2


def first_event_s(tokens: int, tokens_per_s: float = DEFAULT_TOKENS_PER_S) -> float:
    """Return the time from a granted turn to the first event of a prompt."""
    return FIRST_EVENT_OVERHEAD_S + tokens / tokens_per_s


def make_prefill_speed() -> PrefillSpeed:
    """Return a speed that assumes the default.

    Examples
    --------
    >>> speed = make_prefill_speed()
    >>> round(speed.tokens_per_s)
    20000
    >>> for tokens in (200, 2_000) * 40:
    ...     speed.on_read(tokens, 0.05 + tokens / 40_000)
    >>> 38_000 < speed.tokens_per_s < 41_000
    True
    """
    speed = PrefillSpeed()
    for tokens in (0.0, PRIOR_TOKENS):
        took_s = FIRST_EVENT_OVERHEAD_S + tokens / DEFAULT_TOKENS_PER_S
        speed._add(tokens, took_s, PRIOR_WEIGHT / 2, 1.0)
    return speed
