"""Actions that the reassembly of an answer requests from the task that owns it."""

from __future__ import annotations

from dataclasses import dataclass

from chervilgw.core.messages import AttemptQuery, Cancel
from chervilgw.core.refusals import Refusal


@dataclass(frozen=True, slots=True)
class Deliver:
    """Send these bytes to the caller now; ``count`` is their number of tokens."""

    data: bytes
    count: int


@dataclass(frozen=True, slots=True)
class SendQuery:
    """Query the attempt's sidecar for missing parts of the answer."""

    message: AttemptQuery


@dataclass(frozen=True, slots=True)
class SendCancel:
    """Cancel the attempt at its sidecar; its answer is no longer used."""

    message: Cancel


@dataclass(frozen=True, slots=True)
class Resume:
    """Dispatch another attempt from ``position``, or give up with ``cause``.

    ``text`` is the answer up to there.
    """

    position: int
    text: str
    cause: Refusal


@dataclass(frozen=True, slots=True)
class Complete:
    """The answer is complete and its checksum matches.

    ``body`` is empty if its parts have been delivered. ``tokens`` counts each token of
    a model's answer once over all attempts; it is 0 for services.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    prompt_tokens: int
    tokens: int
    finish_reason: str


@dataclass(frozen=True, slots=True)
class Fail:
    """Refuse the request: the answer cannot be completed."""

    refusal: Refusal


Output = Deliver | SendQuery | SendCancel | Resume | Complete | Fail
