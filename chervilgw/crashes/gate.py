"""Gate that lets at most one suspect at a time run on a backend server.

A suspect is a request that was running when a backend server crashed.
"""

from __future__ import annotations

from collections.abc import Sequence

from returns.result import Failure, Result, Success

from chervilgw.core.ids import RequestId
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason


class SuspectGate:
    """Holds the suspect that runs at this sidecar; see :func:`make_suspect_gate`."""

    def __init__(self, retry_after_s: float) -> None:
        self._retry_after_s = retry_after_s
        self._running: RequestId | None = None

    @property
    def busy(self) -> bool:
        """Return whether a suspect runs."""
        return self._running is not None

    def enter(self, attempt: RequestId, suspect: bool) -> Result[None, Refusal]:
        """Let an attempt run, or refuse a suspect while another one runs.

        Parameters
        ----------
        attempt : RequestId
        suspect : bool
            Whether the request was running at a crash.

        Returns
        -------
        Result[None, Refusal]
        """
        if not suspect or self._running == attempt:
            return Success(None)
        if self._running is not None:
            detail = "another request that was running at a crash is being tried"
            return Failure(
                make_refusal(RefusalReason.SUSPECT_BUSY, detail, self._retry_after_s)
            )
        self._running = attempt
        return Success(None)

    def retain_one(self, attempts: Sequence[RequestId]) -> tuple[RequestId, ...]:
        """Let one of the attempts that became suspects go on; return the others.

        A crash at another server can make running attempts suspects. Running together,
        a harmless one could share a second crash with the request that causes it.

        Parameters
        ----------
        attempts : sequence of RequestId
            Attempts that run here and are suspects now.

        Returns
        -------
        tuple of RequestId
            Attempts to stop here and send to other servers.
        """
        if self._running is None and attempts:
            self._running = attempts[0]
        return tuple(attempt for attempt in attempts if attempt != self._running)

    def leave(self, attempt: RequestId) -> None:
        """Free the gate if this attempt, which ended or is cleared, held it.

        Parameters
        ----------
        attempt : RequestId
        """
        if self._running == attempt:
            self._running = None


def make_suspect_gate(retry_after_s: float = 0.5) -> SuspectGate:
    """Return the gate of one backend server.

    Parameters
    ----------
    retry_after_s : float
        Retry time of a refused suspect, in seconds.

    Returns
    -------
    SuspectGate

    Examples
    --------
    >>> from chervilgw.core.ids import Incarnation, VmId
    >>> one, two = (RequestId(Incarnation(VmId("e1"), 1), n) for n in (1, 2))
    >>> gate = make_suspect_gate()
    >>> gate.enter(one, suspect=True)
    <Success: None>
    >>> gate.enter(two, suspect=True).failure().reason
    <RefusalReason.SUSPECT_BUSY: 'suspect_busy'>
    """
    return SuspectGate(retry_after_s)
