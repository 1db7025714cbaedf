"""Attempts that run at the engine or service, and the reasons to stop one."""

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

ORPHAN_S = 3.0
"""How long a run goes on without a connection to its entry, which may look it up."""

RETIRE_S = 1.0
"""How long a copy that is to be unloaded takes no new attempts. The engine's task
orders the unload at once, after which the copy no longer counts as loaded; if it did
not, or another version of the copy stays loaded, attempts go on."""


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

    def __init__(self, orphan_s: float):
        self._orphan_s = orphan_s
        self._running: dict[RequestId, _Running] = {}
        self._gate = make_suspect_gate()
        self._lost_s: dict[Incarnation, float] = {}
        self._retired_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of running attempts."""
        return len(self._running)

    def __contains__(self, request_id: RequestId) -> bool:
        """Return whether the attempt runs."""
        return request_id in self._running

    @property
    def suspect_runs(self) -> bool:
        """Return whether one of them was running at a crash."""
        return self._gate.busy

    def begin(self, item: QueuedItem, dispatch: Dispatch) -> None:
        """Note that an attempt starts."""
        self._gate.enter(item.request_id, bool(dispatch.suspect_of))
        self._running[item.request_id] = _Running(item, dispatch)

    def end(self, request_id: RequestId) -> QueuedItem | None:
        """Note that an attempt ended; return its queue item, or None if unknown."""
        running = self._running.pop(request_id, None)
        if running is None:
            return None
        self._gate.leave(request_id)
        return running.item

    def pass_suspect(self, request_id: RequestId) -> None:
        """Let another suspect run beside one that is past the place of the crash."""
        self._gate.leave(request_id)

    def retire(self, name: str, state: ConfigurationState, now_s: float) -> bool:
        """Keep new attempts from a copy, unless a running one uses it.

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
            Whether the copy is idle and stays so for :data:`RETIRE_S`.
        """
        for running in self._running.values():
            if name in copies_needed(state, running.dispatch.target):
                return False
        self._retired_s[name] = now_s
        return True

    def on_copies(self, resident: Mapping[str, str]) -> None:
        """Forget the retirement of copies that are no longer loaded."""
        for name in list(self._retired_s):
            if resident.get(name) != CopyState.LOADED.value:
                del self._retired_s[name]

    def is_retired(self, name: str, now_s: float) -> bool:
        """Return whether new attempts must not use the copy."""
        return now_s - self._retired_s.get(name, float("-inf")) < RETIRE_S

    def withdrawn(
        self, check: Callable[[Dispatch], Refusal | None]
    ) -> tuple[StopRun, ...]:
        """Return the attempts to stop because they may no longer run.

        A request at a plain service goes on: its effect cannot be taken back.

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
        """Return the attempts to stop after a crash elsewhere.

        An attempt that started before the report may be the guilty one as well, so that
        only one of the suspects goes on here.

        Parameters
        ----------
        report : CrashReport
            The crash, with the requests that were running.
        blocked : collection of Digest
            Requests that are blocked by now.

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
        """Note that the connection to an entry was lost."""
        self._lost_s[entry] = now_s

    def on_entry_back(self, entry: Incarnation) -> None:
        """Note that an entry is connected."""
        self._lost_s.pop(entry, None)

    def orphaned(self, now_s: float) -> tuple[StopRun, ...]:
        """Return the attempts to stop because their entry has long been away."""
        gone = {
            entry
            for entry, lost_s in self._lost_s.items()
            if now_s - lost_s >= self._orphan_s
        }
        for entry in gone:
            del self._lost_s[entry]
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


def make_running_attempts(orphan_s: float = ORPHAN_S) -> RunningAttempts:
    """Return the running attempts of a backend server that runs none yet.

    Parameters
    ----------
    orphan_s : float
        How long an attempt runs on without a connection to its entry.

    Returns
    -------
    RunningAttempts

    Examples
    --------
    >>> from chervilgw.core.ids import VmId
    >>> running = make_running_attempts()
    >>> running.on_entry_lost(Incarnation(VmId("entry-1"), 1), now_s=0.0)
    >>> len(running), running.orphaned(now_s=3.0)
    (0, ())
    """
    return RunningAttempts(orphan_s)
