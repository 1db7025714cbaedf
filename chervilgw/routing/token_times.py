"""Time per output token of each server, learned from the streams that ended.

A server's times are compared with the mean of their model, so that the streams of all
models tell how fast the server is, although models differ by a factor of eight.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from chervilgw.core.deployment import ServerId
from chervilgw.core.ids import ModelName

# Step time of the engines on the deployments' data sheets.
DEFAULT_TOKEN_S = 0.010
# Weight of the newest stream in a model's mean, and in a server's factor. A server may
# become slow within seconds.
MODEL_WEIGHT = 0.02
SERVER_WEIGHT = 0.15
# Weight of the assumption that a server is as fast as the mean, in streams.
PRIOR_STREAMS = 2.0
# Bounds of one sample in relation to the mean; engines differ by a factor of 2.7, and
# by 2.5 for a time. A stream that was held up by its caller may take any time.
MIN_FACTOR = 0.2
MAX_FACTOR = 5.0


@dataclass(slots=True)
class _Mean:
    value: float
    count: float

    def add(self, sample: float, least_weight: float) -> None:
        self.count += 1.0
        self.value += max(least_weight, 1.0 / self.count) * (sample - self.value)


@dataclass(slots=True)
class TokenTimes:
    """Times per output token; see :func:`make_token_times`."""

    _models: dict[ModelName, _Mean] = field(default_factory=dict)
    _servers: dict[ServerId, _Mean] = field(default_factory=dict)

    def on_stream(
        self, server: ServerId, model: ModelName, tokens: int, took_s: float
    ) -> None:
        """Record a whole stream.

        Parameters
        ----------
        server : ServerId
        model : ModelName
        tokens : int
            Output tokens after the first event.
        took_s : float
            Time from the first to the last event.
        """
        if tokens <= 0 or took_s <= 0.0:
            return
        sample_s = took_s / tokens
        mean = self._models.setdefault(model, _Mean(DEFAULT_TOKEN_S, 0.0))
        factor = self._servers.setdefault(server, _Mean(1.0, PRIOR_STREAMS))
        ratio = min(MAX_FACTOR, max(MIN_FACTOR, sample_s / mean.value))
        factor.add(ratio, SERVER_WEIGHT)
        # A slow server does not raise the mean that it is compared with.
        mean.add(ratio * mean.value / factor.value, MODEL_WEIGHT)

    def token_s(self, server: ServerId, model: ModelName) -> float:
        """Return the expected time per output token of a stream, in s."""
        mean = self._models.get(model)
        if mean is None:
            return DEFAULT_TOKEN_S
        factor = self._servers.get(server)
        return mean.value if factor is None else mean.value * factor.value

    def drop_server(self, server: ServerId) -> None:
        """Drop the factor of a server that is gone."""
        self._servers.pop(server, None)


def make_token_times() -> TokenTimes:
    """Return times before any stream has ended.

    Examples
    --------
    >>> times = make_token_times()
    >>> for _ in range(200):
    ...     times.on_stream(ServerId("a"), ModelName("m"), 100, 1.0)
    ...     times.on_stream(ServerId("b"), ModelName("m"), 100, 2.0)
    >>> a, b = (times.token_s(ServerId(name), ModelName("m")) for name in "ab")
    >>> 0.0095 < a < 0.0105 and 0.019 < b < 0.021
    True
    """
    return TokenTimes()
