"""Decisions on an answer: whose it is, what it proves, and what may be relayed of it.

The functions need no socket. The HTTP client task of both fronts uses
:func:`owner_of_answer`, the forwarding path :func:`classify_answer`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# Statuses that promise a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Statuses with which a backend server refuses a request that it has not run.
REFUSAL_STATUSES = frozenset({400, 421, 429, 503})


class AnswerOwner(Enum):
    """The call to which an answer on a connection belongs."""

    THIS_CALL = "this_call"
    OTHER_CALL = "other_call"
    UNPROVEN = "unproven"


class AnswerKind(Enum):
    """What an answer means for a caller's request.

    ``REFUSAL`` proves that the request has not run. ``WHOLE`` is the server's answer
    from its beginning. ``CONTINUATION`` is an event stream that may go on behind the
    events that the caller has. ``UNUSABLE`` must not reach the caller, and proves
    nothing about the run.
    """

    REFUSAL = "refusal"
    WHOLE = "whole"
    CONTINUATION = "continuation"
    UNUSABLE = "unusable"


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Properties of an answer's head that decide on its use.

    ``not_run`` means that the server states that it has not run the request,
    ``from_server`` that the answer bears the server's signature and has the encoding
    that its servers use, and ``is_event_stream`` that its body is a series of events.
    """

    status: int
    not_run: bool
    from_server: bool
    is_event_stream: bool


@dataclass(frozen=True, slots=True)
class ServerSignals:
    """What a server says of itself beside an answer.

    ``leaving`` means that it drains. ``retry_after_s`` is how long it wants nothing
    from this process, and ``cold_s`` how much longer it is cold; None if it does not
    say.
    """

    leaving: bool = False
    retry_after_s: float | None = None
    cold_s: float | None = None


def owner_of_answer(
    expected: str | None, echoed: str | None, is_connection_reused: bool
) -> AnswerOwner:
    """Return whose an answer is, by the id that servers echo.

    Parameters
    ----------
    expected : str or None
        Id of the call; None if servers at this address echo none.
    echoed : str or None
        Id in the answer.
    is_connection_reused : bool
        Whether the connection carried an earlier request. An answer without an id may
        then be a repetition of the answer to that request.

    Examples
    --------
    >>> owner_of_answer("a7", None, is_connection_reused=True)
    <AnswerOwner.UNPROVEN: 'unproven'>
    """
    if expected is None or echoed == expected:
        return AnswerOwner.THIS_CALL
    if echoed is not None:
        return AnswerOwner.OTHER_CALL
    return AnswerOwner.UNPROVEN if is_connection_reused else AnswerOwner.THIS_CALL


def proves_survival(kind: AnswerKind, status: int) -> bool:
    """Return whether the end of an answer shows that its server survived the run.

    A refusal and an answer that is not of this call's run say nothing of it, nor does a
    server's error, which may come before the run has begun.

    Examples
    --------
    >>> proves_survival(AnswerKind.REFUSAL, 503), proves_survival(AnswerKind.WHOLE, 200)
    (False, True)
    """
    return kind in (AnswerKind.WHOLE, AnswerKind.CONTINUATION) and status < 500


def classify_answer(head: AnswerHead, is_resumed: bool) -> AnswerKind:
    """Return what an answer to this call means.

    Parameters
    ----------
    head : AnswerHead
    is_resumed : bool
        Whether the caller already has the head and events of an earlier answer.

    Examples
    --------
    >>> classify_answer(AnswerHead(503, False, True, False), is_resumed=False)
    <AnswerKind.UNUSABLE: 'unusable'>
    """
    if head.not_run and head.status in REFUSAL_STATUSES:
        return AnswerKind.REFUSAL
    if head.not_run or not head.from_server:
        return AnswerKind.UNUSABLE
    if head.status in NOT_RUN_STATUSES:
        # The server does not state that the request has not run, but the status would
        # promise that to the caller.
        return AnswerKind.UNUSABLE
    if not is_resumed:
        return AnswerKind.WHOLE
    if head.status == 200 and head.is_event_stream:
        return AnswerKind.CONTINUATION
    return AnswerKind.UNUSABLE
