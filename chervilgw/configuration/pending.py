"""Changes that were submitted here and are not decided yet."""

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
    give_up_s: float
    retry_at_s: float
    in_flight: bool = True
    maybe_appended: bool = False


class PendingChanges:
    """Appends changes again until the fold has decided them or time is up.

    Parameters
    ----------
    retry_s : float
        Pause before an append is repeated with the same change id.
    give_up_s : float
        Time after which an undecided change is reported as such.
    """

    def __init__(self, retry_s: float, give_up_s: float):
        self._retry_s = retry_s
        self._give_up_s = give_up_s
        self._changes: dict[ChangeId, _Pending] = {}

    def __contains__(self, change_id: ChangeId) -> bool:
        return change_id in self._changes

    def add(self, change: Change, now_s: float) -> AppendRecord:
        """Start with a change that passed validation."""
        self._changes[change.change_id] = _Pending(
            change, now_s + self._give_up_s, now_s + self._retry_s
        )
        return AppendRecord(change.change_id, change_record(change))

    def on_append_result(
        self, change_id: ChangeId, result: AppendResult, now_s: float
    ) -> None:
        """Take the log's answer; only ``REFUSED`` says that nothing was appended."""
        pending = self._changes.get(change_id)
        if pending is None:
            return
        pending.in_flight = False
        pending.retry_at_s = now_s + self._retry_s
        if result is not AppendResult.REFUSED:
            pending.maybe_appended = True

    def decide(self, state: ConfigurationState) -> list[Output]:
        """Report the changes whose outcome the state knows."""
        found = [
            (change_id, verdict)
            for change_id in self._changes
            if (verdict := state.remembered.get(change_id)) is not None
        ]
        for change_id, _ in found:
            del self._changes[change_id]
        return [verdict_output(change_id, verdict) for change_id, verdict in found]

    def tick(self, now_s: float) -> list[Output]:
        """Repeat appends that are due and give up those whose time is up."""
        outputs: list[Output] = []
        for change_id, pending in list(self._changes.items()):
            if now_s >= pending.give_up_s:
                del self._changes[change_id]
                outputs.append(_given_up(change_id, pending))
            elif not pending.in_flight and now_s >= pending.retry_at_s:
                pending.in_flight = True
                outputs.append(AppendRecord(change_id, change_record(pending.change)))
        return outputs


def verdict_output(change_id: ChangeId, verdict: Verdict) -> Output:
    """Return the output for a remembered verdict."""
    if verdict.accepted:
        return Accepted(change_id, Offset(verdict.offset))
    return Rejected(change_id, verdict.why)


def _given_up(change_id: ChangeId, pending: _Pending) -> Output:
    if pending.in_flight or pending.maybe_appended:
        return Undecided(change_id, "the log did not confirm the change in time")
    return Rejected(change_id, "the log refused the change; nothing was appended")
