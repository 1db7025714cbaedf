"""Runs that were stopped at a server and may still have crashed it.

A request that was given up, as its time was over or its caller had left, is seen no
more. If its server ends soon after, the end of the connection tells nobody: a request
that crashes its servers late would never be blamed. So a stopped run is kept until the
server has answered a later request, and blamed if the server ends before that.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from chervilgw.core.deployment import ServerId
from chervilgw.core.ids import RequestTrait

# A server that drops a request when its connection closes does so within this time. An
# answer to a request that was sent later shows that it survived the stopped run.
DROP_TIMEOUT_S = 0.5
# From the crash of a server to the entry of its successor: the time of its restart and
# of the reads of the list, or three missed heartbeats.
RETENTION_S = 10.0
# Stopped runs kept for one server; the oldest are dropped first.
MAX_RUNS_PER_SERVER = 64


@dataclass(frozen=True, slots=True)
class StoppedRun:
    """A run that was stopped; ``strikes`` are those known when it was sent."""

    traits: tuple[RequestTrait, ...]
    strikes: tuple[int, ...]
    stopped_s: float


@dataclass(slots=True)
class StoppedRuns:
    """Stopped runs by the incarnation of their server; see :func:`make_stopped_runs`.

    An incarnation is a server id and the time of its start in ms.
    """

    _runs: dict[tuple[ServerId, int], list[StoppedRun]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def on_stopped(
        self,
        server: ServerId,
        started_ms: int,
        traits: Sequence[RequestTrait],
        strikes: Sequence[int],
        now_s: float,
    ) -> None:
        """Record a run that was stopped before it had ended.

        Parameters
        ----------
        server : ServerId
        started_ms : int
            Incarnation of the server.
        traits : sequence of RequestTrait
            Traits of the request.
        strikes : sequence of int
            Strikes of each trait when the request was sent.
        now_s : float
            Monotonic time in seconds.
        """
        runs = self._runs[server, started_ms]
        runs.append(StoppedRun(tuple(traits), tuple(strikes), now_s))
        del runs[:-MAX_RUNS_PER_SERVER]

    def on_answered(self, server: ServerId, started_ms: int, sent_s: float) -> None:
        """Drop the runs that a server survived, as it answers a later request."""
        runs = self._runs.get((server, started_ms))
        if runs is None:
            return
        runs[:] = [run for run in runs if run.stopped_s + DROP_TIMEOUT_S > sent_s]
        if not runs:
            del self._runs[server, started_ms]

    def take_ended(
        self, server: ServerId, started_ms: int, now_s: float
    ) -> list[StoppedRun]:
        """Return and drop the runs that may have ended a server's incarnation."""
        runs = self._runs.pop((server, started_ms), ())
        return [run for run in runs if now_s - run.stopped_s < RETENTION_S]

    def drop_past(self, now_s: float) -> None:
        """Drop the runs that were stopped long ago."""
        for key, runs in list(self._runs.items()):
            runs[:] = [run for run in runs if now_s - run.stopped_s < RETENTION_S]
            if not runs:
                del self._runs[key]


def make_stopped_runs() -> StoppedRuns:
    """Return a record without runs.

    Examples
    --------
    >>> runs, server = make_stopped_runs(), ServerId("i-1")
    >>> runs.on_stopped(server, 7, ["request/d"], [0], now_s=1.0)
    >>> runs.on_answered(server, 7, sent_s=1.2)
    >>> [run.traits for run in runs.take_ended(server, 7, now_s=3.0)]
    [('request/d',)]
    """
    return StoppedRuns()
