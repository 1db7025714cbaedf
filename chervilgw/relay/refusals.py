"""What the refusal of an attempt means for further attempts and the request."""

from __future__ import annotations

from chervilgw.core.states import RefusalReason, RunState

_FINAL = frozenset(
    {
        RefusalReason.BAD_REQUEST,
        RefusalReason.NO_KEY,
        RefusalReason.WRONG_KEY,
        RefusalReason.KEY_WITHDRAWN,
        RefusalReason.NOT_ALLOWED,
        RefusalReason.RATE_EXCEEDED,
        RefusalReason.BLOCKED_AFTER_CRASHES,
        RefusalReason.LOG_UNAVAILABLE,
        RefusalReason.DUPLICATE_REQUEST,
        RefusalReason.DEAD_ORIGIN,
        RefusalReason.CONFLICT,
        RefusalReason.CANCELLED,
    }
)
_RUN_ORDER = (RunState.NOT_RUN, RunState.UNKNOWN, RunState.RUN)


def is_final(reason: RefusalReason) -> bool:
    """Return whether every other backend server would refuse as well.

    Parameters
    ----------
    reason : RefusalReason
        Why an attempt was refused.

    Returns
    -------
    bool

    Examples
    --------
    >>> is_final(RefusalReason.BAD_REQUEST), is_final(RefusalReason.BACKEND_LOST)
    (True, False)
    """
    return reason in _FINAL


def max_run_state(one: RunState, other: RunState) -> RunState:
    """Return the run state of a request from those of two of its attempts.

    Parameters
    ----------
    one, other : RunState
        Run states of two attempts.

    Returns
    -------
    RunState

    Examples
    --------
    >>> max_run_state(RunState.UNKNOWN, RunState.NOT_RUN)
    <RunState.UNKNOWN: 'unknown'>
    """
    return max(one, other, key=_RUN_ORDER.index)
