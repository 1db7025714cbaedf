"""Time that a request has waited for an answer while the process ran.

A process may stand still for seconds. No answer could have been read in that time, so
that it counts for no wait after which silence is taken for an answer.
"""

from __future__ import annotations

from dataclasses import dataclass

# Waits are looked at with each tick of 0.1 s; what is longer was a pause.
MAX_STEP_S = 0.1


@dataclass(slots=True)
class RunningWait:
    """Time waited; see :func:`make_running_wait`."""

    waited_s: float = 0.0
    _looked_s: float | None = None

    def advance(self, now_s: float) -> float:
        """Return the time waited until now, in s.

        Of the time since the last look at most :data:`MAX_STEP_S` count. The wait
        begins with the first look.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        """
        if self._looked_s is not None:
            step_s = max(0.0, now_s - self._looked_s)
            self.waited_s += min(step_s, MAX_STEP_S)
        self._looked_s = now_s
        return self.waited_s


def make_running_wait() -> RunningWait:
    """Return a wait that has not begun.

    Examples
    --------
    >>> wait = make_running_wait()
    >>> [wait.advance(now_s) for now_s in (3.0, 3.0625, 9.0)]
    [0.0, 0.0625, 0.1625]
    """
    return RunningWait()
