"""Speed at which an engine reads the prompts of each model, measured from its turns.

The time from a turn to its release is a fixed part (the network, the first steps) and a
part in proportion to the prompt. The median slope between pairs of recent samples
separates the two. A median is used because some samples always mislead: an engine that
does other work beside a prompt reads it slowly, a cached prompt takes no reading.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from chervilgw.core.ids import ModelName

# Middle of the engines of the known deployments; assumed until a speed is measured.
DEFAULT_TOKENS_PER_S = 20_000.0
# Four times the default; a faster sample is a prompt that was mostly cached.
MAX_TOKENS_PER_S = 80_000.0
# A third of the slowest engine of the data sheets, 12,750. A lower measurement shows
# other work of the engine.
MIN_TOKENS_PER_S = 4_000.0
# Time from a granted turn to the first event of an empty prompt: the network round trip
# and the engine steps of the event.
FIRST_EVENT_OVERHEAD_S = 0.04
# Samples that count. Enough for a median, and recent: an engine of a busy service reads
# this many prompts of a model in some seconds.
WINDOW_SAMPLES = 40
# With fewer samples a single misleading one decides.
MIN_SAMPLES = 4
# Least excess of pairs whose longer prompt took longer over the other pairs, as a
# fraction of all. In 40 samples without a relation chance exceeds it about once in 300.
MIN_CONCORDANCE = 0.3
# Weight of the ratio of all times to the assumed ones, in pairs of samples. It steadies
# the slope of fewer than ten samples.
RATIO_WEIGHT_PAIRS = 10
# Each prompt reduces the weight of the earlier ones in the mean of an engine's models.
FORGETTING_FACTOR = 0.99


def first_event_s(tokens: int, tokens_per_s: float = DEFAULT_TOKENS_PER_S) -> float:
    """Return the time from a granted turn to the first event of a prompt."""
    return FIRST_EVENT_OVERHEAD_S + tokens / tokens_per_s


@dataclass(slots=True)
class PrefillSpeed:
    """Speed of one model; see :func:`make_prefill_speed`."""

    # Prompt tokens and time of recent samples.
    _samples: deque[tuple[int, float]]
    _measured: float | None = None

    @property
    def measured(self) -> float | None:
        """Return the speed, or None if the samples show none."""
        return self._measured

    @property
    def tokens_per_s(self) -> float:
        """Return the measured speed, or the default without one."""
        return self._measured or DEFAULT_TOKENS_PER_S

    def on_read(self, tokens: int, took_s: float) -> None:
        """Record a prompt that was read alone.

        Parameters
        ----------
        tokens : int
            Prompt tokens that the engine had to read.
        took_s : float
            Time from the turn to its release.
        """
        self._samples.append((tokens, took_s))
        self._measured = self._measure()

    def _measure(self) -> float | None:
        """Return the speed of the median slope, each pair weighted by its distance."""
        if len(self._samples) < MIN_SAMPLES:
            return None
        ordered = sorted(self._samples)
        slopes, excess = [], 0
        for number, (tokens, took_s) in enumerate(ordered):
            for longer_tokens, longer_took_s in ordered[number + 1 :]:
                distance = longer_tokens - tokens
                if distance > 0:
                    slope = (longer_took_s - took_s) / distance
                    slopes.append((slope, distance))
                    excess += 1 if slope > 0.0 else -1
        if not slopes or excess < MIN_CONCORDANCE * len(slopes):
            return None
        mean_distance = sum(distance for _, distance in slopes) / len(slopes)
        slopes.append((self._ratio_slope(), RATIO_WEIGHT_PAIRS * mean_distance))
        slope = max(_weighted_median(slopes), 1.0 / MAX_TOKENS_PER_S)
        return max(MIN_TOKENS_PER_S, 1.0 / slope)

    def _ratio_slope(self) -> float:
        """Return the slope if all of an engine's times scale with its speed."""
        ratios = sorted(
            took_s / first_event_s(tokens) for tokens, took_s in self._samples
        )
        return ratios[len(ratios) // 2] / DEFAULT_TOKENS_PER_S


def _weighted_median(values: Iterable[tuple[float, float]]) -> float:
    ordered = sorted(values)
    half = sum(weight for _, weight in ordered) / 2
    for value, weight in ordered:
        half -= weight
        if half <= 0.0:
            return value
    return ordered[-1][0]


@dataclass(slots=True)
class EngineSpeeds:
    """Speeds of the models of one engine; see :func:`make_engine_speeds`."""

    _models: dict[ModelName, PrefillSpeed] = field(default_factory=dict)
    # Prompt tokens read of each model, earlier ones with less weight.
    _read_tokens: dict[ModelName, float] = field(default_factory=dict)

    def on_read(self, model: ModelName, tokens: int, took_s: float) -> None:
        """Record a prompt that was read alone; see :meth:`PrefillSpeed.on_read`."""
        self._models.setdefault(model, make_prefill_speed()).on_read(tokens, took_s)
        for other in self._read_tokens:
            self._read_tokens[other] *= FORGETTING_FACTOR
        self._read_tokens[model] = self._read_tokens.get(model, 0.0) + tokens

    @property
    def measured(self) -> dict[ModelName, float]:
        """Return the speeds of the models that have enough samples."""
        return {
            model: speed.measured
            for model, speed in self._models.items()
            if speed.measured is not None
        }

    @property
    def tokens_per_s(self) -> float:
        """Return the mean speed of the measured models by prompt tokens read."""
        measured = self.measured
        tokens = sum(self._read_tokens[model] for model in measured)
        if not tokens:
            return DEFAULT_TOKENS_PER_S
        time_s = sum(self._read_tokens[name] / measured[name] for name in measured)
        return tokens / time_s

    def of(self, model: ModelName) -> float:
        """Return a model's speed; without samples the mean of the engine's others."""
        speed = self._models.get(model)
        if speed is None or speed.measured is None:
            return self.tokens_per_s
        return speed.measured

    @property
    def mean_factor(self) -> float:
        """Return the mean speed in relation to the default."""
        return self.tokens_per_s / DEFAULT_TOKENS_PER_S

    def factor(self, model: ModelName) -> float:
        """Return the speed of a model in relation to the default."""
        return self.of(model) / DEFAULT_TOKENS_PER_S


def make_prefill_speed() -> PrefillSpeed:
    """Return a speed that assumes the default.

    Examples
    --------
    >>> speed = make_prefill_speed()
    >>> round(speed.tokens_per_s)
    20000
    >>> for tokens in (200, 2_000) * 20:
    ...     speed.on_read(tokens, 0.05 + tokens / 12_500)
    >>> round(speed.tokens_per_s)
    12500
    """
    return PrefillSpeed(deque(maxlen=WINDOW_SAMPLES))


def make_engine_speeds() -> EngineSpeeds:
    """Return the speeds of an engine that has read nothing yet.

    Examples
    --------
    >>> speeds = make_engine_speeds()
    >>> for tokens in (200, 2_000) * 20:
    ...     speeds.on_read("large", tokens, 0.05 + tokens / 12_500)
    ...     speeds.on_read("small", tokens, 0.05 + tokens / 50_000)
    >>> [round(speeds.of(model), -3) for model in ("large", "small", "other")]
    [12000.0, 50000.0, 20000.0]
    """
    return EngineSpeeds()
