"""Expected output of a request, learned from the streams that ended.

Requests of one route, customer and model are compared. The logarithm of their output is
taken as normally distributed, and so is the error of the caller's hint. Both are
weighted by the inverse of their measured variance, so that hints count as much as they
have proved accurate.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from chervilgw.core.deployment import RouteName
from chervilgw.core.ids import CustomerId, ModelName

# Fewer streams say too little about their mean; a wider group is used then.
MIN_SAMPLES = 8
# Weight of the newest stream; about the last fifty count.
SAMPLE_WEIGHT = 0.02
# Least variance of the logarithms. Similar samples by chance would otherwise exclude
# the other source altogether.
MIN_VARIANCE = 0.01
# Groups that are kept; the one that was not updated for the longest time is dropped.
MAX_GROUPS = 2_000


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Properties by which requests are compared."""

    route: RouteName
    customer: CustomerId
    model: ModelName


@dataclass(frozen=True, slots=True)
class StatedOutput:
    """What a caller says of the output; None if it says nothing.

    ``maximum`` is a bound, ``hint`` the caller's estimate.
    """

    maximum: int | None
    hint: int | None


@dataclass(frozen=True, slots=True)
class OutputEstimate:
    """Expected output tokens of a request.

    ``is_learned`` is False while the stated maximum stands in for samples.
    ``tokens_per_event`` is 0 if the configuration does not state it.
    """

    tokens: int
    is_learned: bool
    tokens_per_event: int = 0


@dataclass(slots=True)
class _Average:
    """Mean and variance that forget old samples."""

    count: int = 0
    mean: float = 0.0
    variance: float = 0.0

    def add(self, sample: float) -> None:
        self.count += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / self.count)
        change = sample - self.mean
        self.mean += weight * change
        self.variance = (1.0 - weight) * (self.variance + weight * change**2)


@dataclass(slots=True)
class _Group:
    """Logarithms of the outputs and of the errors of the hints."""

    output: _Average = field(default_factory=_Average)
    hint_error: _Average = field(default_factory=_Average)


@dataclass(slots=True)
class RequestCosts:
    """Outputs of ended streams; see :func:`make_request_costs`."""

    _groups: dict[tuple, _Group] = field(default_factory=dict)

    def estimate(
        self, kind: RequestKind, stated: StatedOutput, tokens_per_event: int
    ) -> OutputEstimate:
        """Return the expected output of a request.

        It is at least one event and at most the stated maximum.

        Parameters
        ----------
        kind : RequestKind
        stated : StatedOutput
        tokens_per_event : int
            Tokens in an event of the service's streams, 0 if unknown.
        """
        group = next(
            (
                found
                for key in _keys(kind)
                if (found := self._groups.get(key)) is not None
                and found.output.count >= MIN_SAMPLES
            ),
            None,
        )
        if group is None:
            tokens = stated.maximum or stated.hint or 0
            return OutputEstimate(tokens, False, tokens_per_event)
        expected = _expected_tokens(group, stated.hint)
        expected = max(expected, float(max(1, tokens_per_event)))
        if stated.maximum:
            expected = min(expected, float(stated.maximum))
        return OutputEstimate(round(expected), True, tokens_per_event)

    def on_ended(self, kind: RequestKind, stated: StatedOutput, tokens: int) -> None:
        """Record the output tokens of a whole stream."""
        if tokens <= 0:
            return
        log_tokens = math.log(tokens)
        for key in _keys(kind):
            group = self._take_group(key)
            group.output.add(log_tokens)
            if stated.hint:
                group.hint_error.add(log_tokens - math.log(stated.hint))

    def on_interrupted(
        self, kind: RequestKind, stated: StatedOutput, tokens: int
    ) -> None:
        """Record a stream that ended early, if it exceeded its estimate by then.

        Without these, the longest streams, which reach their deadline, would be missing
        among the samples. Shorter ones say nothing of the whole output.
        """
        estimate = self.estimate(kind, stated, 0)
        if estimate.is_learned and tokens > estimate.tokens:
            self.on_ended(kind, stated, tokens)

    def _take_group(self, key: tuple) -> _Group:
        """Return a group and move it to the end of the order of updates."""
        group = self._groups.pop(key, None)
        if group is None:
            group = _Group()
            if len(self._groups) >= MAX_GROUPS:
                del self._groups[next(iter(self._groups))]
        self._groups[key] = group
        return group


def _keys(kind: RequestKind) -> Iterator[tuple]:
    """Yield the groups of a request from the narrowest to the widest."""
    yield kind.route, kind.customer, kind.model
    yield kind.route, kind.model
    yield (kind.route,)


def _expected_tokens(group: _Group, hint: int | None) -> float:
    """Return the mean of the log-normal distribution of the output."""
    mean, variance = group.output.mean, max(MIN_VARIANCE, group.output.variance)
    if hint and group.hint_error.count >= MIN_SAMPLES:
        error = group.hint_error
        error_variance = max(MIN_VARIANCE, error.variance)
        share = variance / (variance + error_variance)
        mean += share * (math.log(hint) + error.mean - mean)
        variance *= 1.0 - share
    return math.exp(mean + variance / 2)


def make_request_costs() -> RequestCosts:
    """Return estimates before any stream has ended.

    Examples
    --------
    >>> costs = make_request_costs()
    >>> kind = RequestKind(RouteName("r"), CustomerId("c"), ModelName("m"))
    >>> costs.estimate(kind, StatedOutput(500, 90), 3).tokens
    500
    >>> for _ in range(MIN_SAMPLES):
    ...     costs.on_ended(kind, StatedOutput(500, None), 60)
    >>> costs.estimate(kind, StatedOutput(500, None), 3).tokens
    60
    """
    return RequestCosts()
