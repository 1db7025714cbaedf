"""What the reassembly of an answer asks its task to do."""

from __future__ import annotations

from dataclasses import dataclass

from chervilgw.core.messages import AttemptQuery, Cancel
from chervilgw.core.refusals import Refusal


@dataclass(frozen=True, slots=True)
class Deliver:
    """Send this part to the caller now; ``count`` is its number of tokens."""

    data: bytes
    count: int


@dataclass(frozen=True, slots=True)
class Ask:
    """Send this look-up to the attempt's sidecar."""

    message: AttemptQuery


@dataclass(frozen=True, slots=True)
class Stop:
    """Send this to the attempt's sidecar; its answer is no longer used."""

    message: Cancel


@dataclass(frozen=True, slots=True)
class Resume:
    """Dispatch another attempt from here, or give up with ``cause``."""

    position: int
    text: str
    cause: Refusal


@dataclass(frozen=True, slots=True)
class Complete:
    """The answer is whole and checked.

    ``body`` is empty if its parts were delivered before. ``tokens`` counts each token
    of a model's answer once, over all attempts; it is 0 for services.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    prompt_tokens: int
    tokens: int
    finish_reason: str


@dataclass(frozen=True, slots=True)
class Fail:
    """Tell the caller that the answer cannot be completed."""

    refusal: Refusal


Output = Deliver | Ask | Stop | Resume | Complete | Fail
