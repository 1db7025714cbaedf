"""Composes the path of a request from filters."""

from __future__ import annotations

from functools import reduce
from typing import Any, Protocol, TypeVar

from returns.result import Result

from chervilgw.core.refusals import Refusal

In = TypeVar("In", contravariant=True)
Out = TypeVar("Out", covariant=True)


class Filter(Protocol[In, Out]):
    """One step of the path: transforms a message or refuses it."""

    def __call__(self, message: In, now_s: float) -> Result[Out, Refusal]:
        """Return the next message or a refusal."""
        ...


def make_pipeline(*filters: Filter[Any, Any]) -> Filter[Any, Any]:
    """Return one filter that applies the given ones in order.

    The first refusal ends the path.

    Parameters
    ----------
    *filters : Filter
        Each takes the message that the one before it returns.

    Returns
    -------
    Filter

    Examples
    --------
    >>> from returns.result import Success
    >>> double = lambda message, now_s: Success(message * 2)
    >>> make_pipeline(double, double)(3, now_s=0.0)
    <Success: 12>
    """

    def run(message: Any, now_s: float) -> Result[Any, Refusal]:
        first, *rest = filters
        return reduce(
            lambda result, step: result.bind(lambda value: step(value, now_s)),
            rest,
            first(message, now_s),
        )

    return run
