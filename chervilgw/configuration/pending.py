"""Changes that were submitted to this process and are not decided yet."""

from __future__ import annotations

from dataclasses import dataclass

from chervilgw.configuration.outputs import (
    Accepted,
    AppendRecord,
    AppendResult,
    Output,
    Rejected,
    Undecided,
)
from chervilgw.configuration.records import Change, change_record
from chervilgw.configuration.state import ConfigurationState, Verdict
from chervilgw.core.ids import ChangeId, Offset


@dataclass(slots=True)
class _Pending:
    change: Change
    deadline_s: float
    retry_at_s: float
    in_flight: bool = True
    maybe_appended: bool = False


class PendingChanges:
    """Repeats appends until the fold has decided the changes or they time out.

    Parameters
    ----------
    retry_interval_s : float
        Interval after which an append is repeated with the same change id.
    timeout_s : float
        Time after which an undecided change is given up and reported.
    """

    def __init__(self, retry_interval_s: float, timeout_s: float):
        self._retry_interval_s = retry_interval_s
        self._timeout_s = timeout_s
        self._changes: dict[ChangeId, _Pending] = {}

    def __contains__(self, change_id: ChangeId) -> bool:
        return change_id in self._changes

    def add(self, change: Change, now_s: float) -> AppendRecord:
        """Add a change that passed validation, and return its first append."""
        self._changes[change.change_id] = _Pending(
            change, now_s + self._timeout_s, now_s + self._retry_interval_s
        )
        return AppendRecord(change.change_id, change_record(change))

    def on_append_result(
        self, change_id: ChangeId, result: AppendResult, now_s: float
    ) -> None:
        """Record the result of an append; only ``REFUSED`` means not appended."""
        pending = self._changes.get(change_id)
        if pending is None:
            return
        pending.in_flight = False
        pending.retry_at_s = now_s + self._retry_interval_s
        if result is not AppendResult.REFUSED:
            pending.maybe_appended = True

    def pop_decided(self, state: ConfigurationState) -> list[Output]:
        """Remove and report the changes that the fold has decided."""
        found = [
            (change_id, verdict)
            for change_id in self._changes
            if (verdict := state.verdicts.get(change_id)) is not None
        ]
        for change_id, _ in found:
            del self._changes[change_id]
        return [verdict_output(change_id, verdict) for change_id, verdict in found]

    def tick(self, now_s: float) -> list[Output]:
        """Repeat appends that are due and report changes that timed out."""
        outputs: list[Output] = []
        for change_id, pending in list(self._changes.items()):
            if now_s >= pending.deadline_s:
                del self._changes[change_id]
                outputs.append(_timeout_output(change_id, pending))
            elif not pending.in_flight and now_s >= pending.retry_at_s:
                pending.in_flight = True
                outputs.append(AppendRecord(change_id, change_record(pending.change)))
        return outputs


def verdict_output(change_id: ChangeId, verdict: Verdict) -> Output:
    """Return the output that reports a verdict."""
    if verdict.accepted:
        return Accepted(change_id, Offset(verdict.offset))
    return Rejected(change_id, verdict.why)


def _timeout_output(change_id: ChangeId, pending: _Pending) -> Output:
    if pending.in_flight or pending.maybe_appended:
        return Undecided(change_id, "the log did not confirm the change in time")
    return Rejected(change_id, "the log refused the change; nothing was appended")
