"""Attempts that run at the engine or service, and decisions to stop them."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from chervilgw.configuration.state import ConfigurationState
from chervilgw.core.ids import Digest, Incarnation, RequestId
from chervilgw.core.messages import CrashReport, Dispatch
from chervilgw.core.refusals import Refusal
from chervilgw.core.states import BackendKind, CopyState, RefusalReason
from chervilgw.crashes import make_suspect_gate
from chervilgw.scheduling.fair_queue import QueuedItem
from chervilgw.sidecar.loading import copies_needed

# A run goes on for this long without a connection to its entry, which may reconnect
# and look the answer up.
ORPHAN_TIMEOUT_S = 3.0

# A retired copy (idle, to be unloaded) takes no new attempts for this long. The engine
# task orders the unload at once, and the copy then no longer counts as loaded. If the
# order fails or another version stays loaded, the copy takes attempts again.
RETIREMENT_S = 1.0


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a running attempt."""

    request_id: RequestId
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class _Running:
    item: QueuedItem
    dispatch: Dispatch


class RunningAttempts:
    """Running attempts of one backend server; see :func:`make_running_attempts`."""

    def __init__(self, orphan_timeout_s: float):
        self._orphan_timeout_s = orphan_timeout_s
        self._running: dict[RequestId, _Running] = {}
        self._gate = make_suspect_gate()
        self._entry_lost_s: dict[Incarnation, float] = {}
        self._retired_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of running attempts."""
        return len(self._running)

    def __contains__(self, request_id: RequestId) -> bool:
        """Return whether the attempt is running."""
        return request_id in self._running

    @property
    def is_suspect_running(self) -> bool:
        """Return whether a suspect (a request that was running at a crash) runs."""
        return self._gate.busy

    def begin(self, item: QueuedItem, dispatch: Dispatch) -> None:
        """Record that an attempt starts."""
        self._gate.enter(item.request_id, bool(dispatch.suspect_of))
        self._running[item.request_id] = _Running(item, dispatch)

    def end(self, request_id: RequestId) -> QueuedItem | None:
        """Remove an ended attempt; return its queue item, or None if unknown."""
        running = self._running.pop(request_id, None)
        if running is None:
            return None
        self._gate.leave(request_id)
        return running.item

    def on_suspect_passed(self, request_id: RequestId) -> None:
        """Allow another suspect to run beside one that is past the crash point."""
        self._gate.leave(request_id)

    def retire(self, name: str, state: ConfigurationState, now_s: float) -> bool:
        """Retire a copy, unless a running attempt uses it.

        Parameters
        ----------
        name : str
            Model or adapter.
        state : ConfigurationState
            Current configuration.
        now_s : float
            Present time.

        Returns
        -------
        bool
            Whether the copy is idle, and stays so for :data:`RETIREMENT_S`.
        """
        for running in self._running.values():
            if name in copies_needed(state, running.dispatch.target):
                return False
        self._retired_s[name] = now_s
        return True

    def on_copies(self, resident: Mapping[str, str]) -> None:
        """End the retirement of copies that are no longer loaded."""
        for name in list(self._retired_s):
            if resident.get(name) != CopyState.LOADED.value:
                del self._retired_s[name]

    def is_retired(self, name: str, now_s: float) -> bool:
        """Return whether new attempts must not use the copy."""
        return now_s - self._retired_s.get(name, float("-inf")) < RETIREMENT_S

    def stop_withdrawn(
        self, check: Callable[[Dispatch], Refusal | None]
    ) -> tuple[StopRun, ...]:
        """Return the attempts to stop because their keys were withdrawn.

        A request at a plain service goes on: its effect cannot be undone.

        Parameters
        ----------
        check : callable
            Returns why an attempt may not run, or None.

        Returns
        -------
        tuple of StopRun
        """
        return tuple(
            StopRun(request_id, refusal.reason)
            for request_id, running in self._running.items()
            if running.dispatch.kind is BackendKind.ENGINE
            and (refusal := check(running.dispatch)) is not None
        )

    def on_crash(
        self, report: CrashReport, blocked: Collection[Digest]
    ) -> tuple[StopRun, ...]:
        """Return the attempts to stop after a crash of another backend server.

        Each running attempt with a reported digest may have caused the crash, so only
        one of these suspects goes on.

        Parameters
        ----------
        report : CrashReport
            The crash, with the requests that were running.
        blocked : collection of Digest
            Requests that are now blocked.

        Returns
        -------
        tuple of StopRun
        """
        if report.cleared:
            return ()
        suspects = self._with_digests(report.digests)
        stops = [
            StopRun(request_id, RefusalReason.SUSPECT_BUSY)
            for request_id in self._gate.retain_one(suspects)
        ]
        stops += [
            StopRun(request_id, RefusalReason.BLOCKED_AFTER_CRASHES)
            for request_id in self._with_digests(blocked)
        ]
        return tuple(stops)

    def on_entry_lost(self, entry: Incarnation, now_s: float) -> None:
        """Record that the connection to an entry was lost."""
        self._entry_lost_s[entry] = now_s

    def on_entry_connected(self, entry: Incarnation) -> None:
        """Record that an entry is connected."""
        self._entry_lost_s.pop(entry, None)

    def stop_orphaned(self, now_s: float) -> tuple[StopRun, ...]:
        """Return the attempts whose entry stayed disconnected for too long."""
        gone = {
            entry
            for entry, lost_s in self._entry_lost_s.items()
            if now_s - lost_s >= self._orphan_timeout_s
        }
        for entry in gone:
            del self._entry_lost_s[entry]
        return tuple(
            StopRun(request_id, RefusalReason.CANCELLED)
            for request_id in self._running
            if request_id.origin in gone
        )

    def _with_digests(self, digests: Collection[Digest]) -> list[RequestId]:
        return [
            request_id
            for request_id, running in self._running.items()
            if running.dispatch.digest in digests
        ]


def make_running_attempts(
    orphan_timeout_s: float = ORPHAN_TIMEOUT_S,
) -> RunningAttempts:
    """Return an empty collection of running attempts.

    Parameters
    ----------
    orphan_timeout_s : float
        How long an attempt runs on without a connection to its entry.

    Returns
    -------
    RunningAttempts

    Examples
    --------
    >>> from chervilgw.core.ids import VmId
    >>> running = make_running_attempts()
    >>> running.on_entry_lost(Incarnation(VmId("entry-1"), 1), now_s=0.0)
    >>> len(running), running.stop_orphaned(now_s=3.0)
    (0, ())
    """
    return RunningAttempts(orphan_timeout_s)
