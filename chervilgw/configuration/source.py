"""Follows the configuration stream: log, peers, pending changes and snapshots."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any

from chervilgw.configuration.errors import ConfigurationError
from chervilgw.configuration.fold import fold
from chervilgw.configuration.outputs import (
    AppendResult,
    Applied,
    AskPeer,
    Confirmed,
    Output,
    PushRecords,
    PushSnapshot,
    ReadLog,
    Rejected,
    Undecided,
    WriteSnapshot,
)
from chervilgw.configuration.pending import PendingChanges, verdict_output
from chervilgw.configuration.records import SNAPSHOT, Change
from chervilgw.configuration.state import (
    ConfigurationState,
    empty_state,
    from_snapshot,
    to_snapshot,
)
from chervilgw.configuration.validation import check_change
from chervilgw.core.ids import ChangeId, Offset, VmId

POLL_S = 0.5
PEER_ANSWER_S = 1.0
APPEND_RETRY_S = 0.5
GIVE_UP_S = 10.0
SNAPSHOT_EVERY = 256
SNAPSHOT_AGE_S = 6 * 3600.0
"""A log with retention by time drops the snapshot of an idle stream as well."""
TAIL_RECORDS = 256
"""Newest records kept to answer peers; older requests get a snapshot."""

Record = tuple[int, dict[str, Any]]


class ConfigFollower:
    """State machine that keeps one process's configuration; see the factory."""

    def __init__(self, snapshot_jitter_s: float, snapshot_every: int):
        self.state: ConfigurationState = empty_state()
        self._jitter_s = snapshot_jitter_s
        self._every = snapshot_every
        self._tail: deque[Record] = deque(maxlen=TAIL_RECORDS)
        self._pending = PendingChanges(APPEND_RETRY_S, GIVE_UP_S)
        self._doubtful: dict[ChangeId, tuple[Change, float]] = {}
        self._read_s: float | None = None
        self._next_read_s = float("-inf")
        self._log_ok = False
        self._up_to_date = False
        self._oldest = 0
        self._scan: Offset | None = None
        self._peers: dict[VmId, Offset] = {}
        self._asked_s = float("-inf")
        self._write_at_s: float | None = None
        self._snapshot_seen_s: float | None = None

    def tick(self, now_s: float) -> list[Output]:
        """Poll the log, repeat appends, ask peers and write snapshots when due."""
        outputs = self._read_if_due(now_s)
        outputs += self._pending.tick(now_s)
        outputs += self._ask_if_behind(now_s)
        outputs += self._snapshot_if_due(now_s)
        return outputs

    def submit(self, change: Change, now_s: float) -> list[Output]:
        """Start a change; a repeated change id gets the known outcome."""
        if change.change_id in self._pending or change.change_id in self._doubtful:
            return []
        verdict = self.state.remembered.get(change.change_id)
        if verdict is not None:
            return [verdict_output(change.change_id, verdict)]
        if not self._log_ok:
            why = "the log cannot be read; nothing was appended"
            return [Rejected(change.change_id, why)]
        try:
            check_change(self.state, change)
        except ConfigurationError:
            # The state may be behind, and the same change may have been accepted at
            # another process: decide after a read that was sent from now on.
            self._doubtful[change.change_id] = (change, now_s)
            self._next_read_s = now_s
            return self._read_if_due(now_s)
        return [self._pending.add(change, now_s)]

    def on_append_result(
        self, change_id: ChangeId, result: AppendResult, now_s: float
    ) -> list[Output]:
        """Take the log's answer to an append and read the record back."""
        self._pending.on_append_result(change_id, result, now_s)
        self._next_read_s = now_s
        return self._read_if_due(now_s)

    def on_log_records(
        self, oldest: int, next_offset: int, records: Iterable[Record], now_s: float
    ) -> list[Output]:
        """Take the answer to the read in flight.

        Parameters
        ----------
        oldest : int
            Offset of the oldest record that the log still has.
        next_offset : int
            Offset that the next appended record will get.
        records : iterable of (int, mapping)
            Records from the requested offset on, with consecutive offsets.
        now_s : float
            Time of the answer.

        Notes
        -----
        The task drops answers to reads that it reported as failed.
        """
        asked_s, self._read_s = self._read_s, None
        if asked_s is None:
            return []
        self._log_ok = True
        self._oldest = oldest
        records = list(records)
        if self._scan is not None or oldest > self.state.offset + 1:
            return self._scan_for_snapshot(oldest, next_offset, records, now_s)
        before = self.state.offset
        outputs = self._apply(records, from_log=True, now_s=now_s)
        self._up_to_date = self.state.offset + 1 >= next_offset
        if self._up_to_date:
            self._next_read_s = now_s + POLL_S
            if self.state.offset + 1 == next_offset:
                outputs.append(Confirmed(asked_s))
                outputs += self._decide_doubtful(asked_s, now_s)
        else:
            moved = self.state.offset > before
            self._next_read_s = now_s if moved else now_s + POLL_S
        return outputs + self._read_if_due(now_s)

    def on_log_failed(self, now_s: float) -> list[Output]:
        """Take note that the read in flight failed or got no answer in time."""
        self._read_s = None
        self._log_ok = self._up_to_date = False
        self._next_read_s = now_s + POLL_S
        why = "the log cannot be read; this process appended nothing"
        outputs: list[Output] = [Undecided(each, why) for each in self._doubtful]
        self._doubtful.clear()
        return outputs + self._ask_if_behind(now_s)

    def on_peer_offset(self, peer: VmId, offset: Offset, now_s: float) -> list[Output]:
        """Take the offset that a peer's message carried."""
        self._peers[peer] = max(offset, self._peers.get(peer, offset))
        return self._ask_if_behind(now_s)

    def on_peer_lost(self, peer: VmId) -> None:
        """Forget a peer whose connection closed."""
        self._peers.pop(peer, None)

    def on_peer_request(self, peer: VmId, offset: Offset) -> list[Output]:
        """Answer a peer that asks for what follows ``offset``."""
        if offset >= self.state.offset:
            return []
        records = tuple(r for r in self._tail if r[0] > offset)
        if records and records[0][0] == offset + 1:
            return [PushRecords(peer, offset, records)]
        return [PushSnapshot(peer, self.state.offset, to_snapshot(self.state))]

    def on_peer_records(
        self, after: Offset, records: Iterable[Record], now_s: float
    ) -> list[Output]:
        """Apply records from a peer; those that leave a gap are dropped."""
        self._asked_s = float("-inf")
        if after > self.state.offset:
            return self._ask_if_behind(now_s)
        outputs = self._apply(list(records), from_log=False, now_s=now_s)
        return outputs + self._ask_if_behind(now_s)

    def on_peer_snapshot(
        self, snapshot: Mapping[str, Any], now_s: float
    ) -> list[Output]:
        """Move to a peer's state if it is newer."""
        self._asked_s = float("-inf")
        return self._adopt(snapshot, now_s)

    def _apply(
        self, records: list[Record], from_log: bool, now_s: float
    ) -> list[Output]:
        before = self.state.offset
        snapshot_before = self.state.snapshot_offset
        applied: list[Record] = []
        for offset, record in records:
            if offset > self.state.offset + 1:
                break
            if offset == self.state.offset + 1:
                self.state, _ = fold(self.state, offset, record)
                applied.append((offset, record))
        if not applied:
            return []
        self._tail.extend((o, _without_state(record)) for o, record in applied)
        if self.state.snapshot_offset != snapshot_before:
            self._snapshot_seen_s, self._write_at_s = now_s, None
        decided = self._pending.decide(self.state)
        outputs: list[Output] = [Applied(self.state), *decided]
        if decided and from_log:
            # Others find the records by polling or by a heartbeat's offset; one push,
            # by the process that accepted the change, reaches them sooner.
            outputs.append(PushRecords(None, before, self._tail_after(before)))
        return outputs

    def _decide_doubtful(self, asked_s: float, now_s: float) -> list[Output]:
        outputs: list[Output] = []
        for change_id, (change, since_s) in list(self._doubtful.items()):
            if since_s > asked_s:
                self._next_read_s = now_s
                continue
            del self._doubtful[change_id]
            verdict = self.state.remembered.get(change_id)
            if verdict is not None:
                outputs.append(verdict_output(change_id, verdict))
                continue
            try:
                check_change(self.state, change)
            except ConfigurationError as error:
                outputs.append(Rejected(change_id, str(error)))
            else:
                outputs.append(self._pending.add(change, now_s))
        return outputs

    def _tail_after(self, offset: Offset) -> tuple[Record, ...]:
        return tuple(record for record in self._tail if record[0] > offset)

    def _adopt(self, snapshot: Mapping[str, Any], now_s: float) -> list[Output]:
        try:
            state = from_snapshot(snapshot)
        except ConfigurationError:
            return []
        if state.offset <= self.state.offset:
            return []
        self.state = state
        self._tail.clear()
        self._scan = None
        self._snapshot_seen_s = now_s
        return [Applied(state), *self._pending.decide(state)]

    def _scan_for_snapshot(
        self, oldest: int, next_offset: int, records: list[Record], now_s: float
    ) -> list[Output]:
        """Look for a snapshot after retention passed the record that is due next.

        A snapshot is of use only if the log still has every record after it.
        """
        outputs: list[Output] = []
        for _, record in records:
            covers = _covered_offset(record)
            if covers > self.state.offset and covers + 1 >= oldest:
                outputs += self._adopt(record, now_s)
        self._up_to_date = False
        self._next_read_s = now_s
        if oldest <= self.state.offset + 1:
            self._scan = None
        elif records:
            self._scan = Offset(records[-1][0] + 1)
        elif self._scan is None or self._scan < oldest:
            self._scan = Offset(oldest)
        if self._scan is not None and self._scan >= next_offset:
            # No usable snapshot in the log: a peer may have the state.
            self._scan = Offset(oldest)
            self._next_read_s = now_s + POLL_S
        return outputs + self._read_if_due(now_s) + self._ask_if_behind(now_s)

    def _read_if_due(self, now_s: float) -> list[Output]:
        if self._read_s is not None or now_s < self._next_read_s:
            return []
        self._read_s = now_s
        start = self.state.offset + 1 if self._scan is None else self._scan
        return [ReadLog(Offset(start))]

    def _ask_if_behind(self, now_s: float) -> list[Output]:
        """Ask the most advanced peer, and another one when it does not answer."""
        ahead = {p: o for p, o in self._peers.items() if o > self.state.offset}
        if not ahead or now_s < self._asked_s + PEER_ANSWER_S:
            return []
        peer = max(ahead, key=lambda each: (ahead[each], each))
        # The peer counts as ahead again when its next message says so.
        del self._peers[peer]
        self._asked_s = now_s
        return [AskPeer(peer, self.state.offset)]

    def _snapshot_if_due(self, now_s: float) -> list[Output]:
        if self._snapshot_seen_s is None:
            self._snapshot_seen_s = now_s
        if not (self._up_to_date and self._snapshot_wanted(now_s)):
            self._write_at_s = None
            return []
        if self._write_at_s is None:
            self._write_at_s = now_s + self._jitter_s
        if now_s < self._write_at_s:
            return []
        self._write_at_s = now_s + self._jitter_s + GIVE_UP_S
        return [WriteSnapshot(to_snapshot(self.state))]

    def _snapshot_wanted(self, now_s: float) -> bool:
        state = self.state
        if state.offset < 0:
            return False
        return (
            state.offset - state.snapshot_covers > self._every
            or self._oldest > state.snapshot_covers + 1
            or now_s - self._snapshot_seen_s > SNAPSHOT_AGE_S
        )


def make_config_follower(
    snapshot_jitter_s: float, snapshot_every: int = SNAPSHOT_EVERY
) -> ConfigFollower:
    """Return a follower at the empty state.

    Parameters
    ----------
    snapshot_jitter_s : float
        Delay between seeing that a snapshot is due and writing it. The caller draws it
        at random, in proportion to the fleet's size, so that usually one writes.
    snapshot_every : int
        Records after which a snapshot is due.

    Returns
    -------
    ConfigFollower

    Examples
    --------
    >>> follower = make_config_follower(snapshot_jitter_s=3.0)
    >>> follower.tick(0.0)
    [ReadLog(offset=0)]
    >>> follower.on_log_records(0, 0, [], 0.1)
    [Confirmed(asked_s=0.0)]
    """
    return ConfigFollower(snapshot_jitter_s, snapshot_every)


def _covered_offset(record: Any) -> int:
    if isinstance(record, Mapping) and record.get("type") == SNAPSHOT:
        covers = record.get("offset")
        return covers if type(covers) is int else -1
    return -1


def _without_state(record: Any) -> Any:
    """Return a snapshot record without the state, which the fold does not use."""
    covers = _covered_offset(record)
    return record if covers < 0 else {"type": SNAPSHOT, "offset": covers}
