"""Refusals: failures that are reported to a caller."""

from __future__ import annotations

from dataclasses import dataclass

from chervilgw.core.states import RefusalReason, RunState


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request got no complete answer.

    Parameters
    ----------
    reason : RefusalReason
        Reason code.
    run : RunState
        ``NOT_RUN`` only if it is certain that no backend server ran the request.
    detail : str
        One sentence for the caller. Holds no key and no prompt text.
    retry_after_s : float or None
        Seconds until a repeat may succeed, or None if it will not.

    Examples
    --------
    >>> make_refusal(RefusalReason.QUEUE_FULL, "queue is full", 1.5).run
    <RunState.NOT_RUN: 'not_run'>
    """

    reason: RefusalReason
    run: RunState
    detail: str
    retry_after_s: float | None = None


def make_refusal(
    reason: RefusalReason, detail: str, retry_after_s: float | None = None
) -> Refusal:
    """Return a refusal of a request that was certainly not run.

    Parameters
    ----------
    reason : RefusalReason
        Reason code.
    detail : str
        One sentence for the caller.
    retry_after_s : float or None
        Seconds until a repeat may succeed.

    Returns
    -------
    Refusal
    """
    return Refusal(reason, RunState.NOT_RUN, detail, retry_after_s)
