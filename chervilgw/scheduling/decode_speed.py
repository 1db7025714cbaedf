"""Time per output token of an engine's models and the output of its streams, measured.

Both are learned from streams that ended.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from chervilgw.core.ids import ModelName
from chervilgw.scheduling.prefill_speed import DEFAULT_TOKENS_PER_S, EngineSpeeds

# Seconds per output token of an engine of the default prefill speed with some streams.
DEFAULT_TOKEN_S = 0.0115
# Samples of the time per token of a model that count, and the least number.
TOKEN_SAMPLES = 40
MIN_TOKEN_SAMPLES = 3
# Refused streams give no samples: older ones would refuse streams for ever after a slow
# period. Longer than a stream takes that has no deadline.
MAX_SAMPLE_AGE_S = 120.0
# A measured time per token differs from the one that follows from the prefill speed by
# at most this factor. A larger one shows streams that stood still, not the engine.
MAX_TOKEN_FACTOR = 4.0
# Shorter streams show the network rather than the engine.
MIN_SAMPLE_TOKENS = 10
# Decoding is at least this part of a stream's time; less shows a wrong prefill speed.
MIN_DECODE_FRACTION = 0.2
# Weight of the newest stream in the ratio of output to expected output, and the streams
# from which the ratio is known.
RATIO_WEIGHT = 0.05
MIN_RATIO_SAMPLES = 5
MIN_OUTPUT_RATIO = 0.1
# The expected output is a mean. A bound nearer to 1 on this side than on the other
# would make the ratio too low: outputs of a lognormal distribution gave 0.68 with 1.
MAX_OUTPUT_RATIO = 1.0 / MIN_OUTPUT_RATIO


@dataclass(slots=True)
class DecodeSpeed:
    """Decoding at one engine; see :func:`make_decode_speed`."""

    _speeds: EngineSpeeds
    # Pairs of the time of a stream's end and its time per token.
    _samples: dict[ModelName, deque[tuple[float, float]]] = field(default_factory=dict)
    _token_s: dict[ModelName, float] = field(default_factory=dict)
    _output_ratio: float = 1.0
    _ratio_samples: int = 0
    # Time of the end of the latest stream that counts for the ratio.
    _ratio_s: float = float("-inf")

    @property
    def measured(self) -> dict[ModelName, float]:
        """Return the seconds per token without prefill of the measured models."""
        return {model: self.token_s(model) for model in self._token_s}

    @property
    def knows_outputs(self) -> bool:
        """Return whether enough streams have ended to correct expected outputs."""
        return self._ratio_samples >= MIN_RATIO_SAMPLES

    def token_s(self, model: ModelName) -> float:
        """Return the seconds per token of a model, by its prefill speed if unmeasured.

        Decoding and prefill of a model are faster or slower by the same factor.
        """
        plausible_s = DEFAULT_TOKEN_S * DEFAULT_TOKENS_PER_S / self._speeds.of(model)
        measured_s = self._token_s.get(model, plausible_s)
        longest_s = MAX_TOKEN_FACTOR * plausible_s
        return min(max(measured_s, plausible_s / MAX_TOKEN_FACTOR), longest_s)

    def stream_s(self, model: ModelName, expected_tokens: int) -> float:
        """Return the time to decode a whole stream without prefill."""
        return self._output_ratio * expected_tokens * self.token_s(model)

    def on_output(
        self, output_tokens: int, expected_tokens: int, ended_s: float
    ) -> None:
        """Record the output of a whole stream that ended then, in monotonic time."""
        if expected_tokens <= 0:
            return
        ratio = output_tokens / expected_tokens
        ratio = min(max(ratio, MIN_OUTPUT_RATIO), MAX_OUTPUT_RATIO)
        self._output_ratio += RATIO_WEIGHT * (ratio - self._output_ratio)
        self._ratio_samples += 1
        self._ratio_s = max(self._ratio_s, ended_s)

    def on_decoded(
        self,
        model: ModelName,
        tokens: int,
        took_s: float,
        prefill_s: float,
        ended_s: float,
    ) -> None:
        """Record the tokens after the first event of a stream that ended.

        Parameters
        ----------
        model : ModelName
        tokens : int
        took_s : float
            Time from the first event to the last.
        prefill_s : float
            Time that the engine spent on prefill meanwhile.
        ended_s : float
            Monotonic time of the last event.
        """
        if tokens < MIN_SAMPLE_TOKENS:
            return
        decode_s = max(MIN_DECODE_FRACTION * took_s, took_s - prefill_s)
        samples = self._samples.setdefault(model, deque(maxlen=TOKEN_SAMPLES))
        samples.append((ended_s, decode_s / tokens))
        self._measure(model)

    def expire(self, now_s: float) -> None:
        """Forget the streams that ended too long ago."""
        oldest_s = now_s - MAX_SAMPLE_AGE_S
        if self._ratio_s < oldest_s:
            self._output_ratio, self._ratio_samples = 1.0, 0
        for model, samples in self._samples.items():
            if samples and samples[0][0] < oldest_s:
                while samples and samples[0][0] < oldest_s:
                    samples.popleft()
                self._measure(model)

    def _measure(self, model: ModelName) -> None:
        samples = self._samples[model]
        if len(samples) < MIN_TOKEN_SAMPLES:
            self._token_s.pop(model, None)
            return
        ordered = sorted(token_s for _, token_s in samples)
        self._token_s[model] = ordered[len(ordered) // 2]


def make_decode_speed(speeds: EngineSpeeds) -> DecodeSpeed:
    """Return the decode speed of an engine of which no stream has ended.

    Examples
    --------
    >>> from chervilgw.scheduling.prefill_speed import make_engine_speeds
    >>> decoding = make_decode_speed(make_engine_speeds())
    >>> decoding.token_s("m")
    0.0115
    >>> for _ in range(3):
    ...     decoding.on_decoded("m", tokens=100, took_s=1.5, prefill_s=0.5, ended_s=2.0)
    >>> decoding.token_s("m")
    0.01
    >>> decoding.expire(now_s=1_000.0)
    >>> decoding.token_s("m")
    0.0115
    """
    return DecodeSpeed(speeds)
