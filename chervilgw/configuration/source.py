"""Follows the configuration log: reads, peer queries, pending changes, snapshots."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any

from chervilgw.configuration.errors import ConfigurationError
from chervilgw.configuration.fold import fold
from chervilgw.configuration.outputs import (
    AppendResult,
    Applied,
    Confirmed,
    Output,
    PushRecords,
    PushSnapshot,
    QueryPeer,
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

POLL_INTERVAL_S = 0.5
PEER_ANSWER_TIMEOUT_S = 1.0
APPEND_RETRY_INTERVAL_S = 0.5
CHANGE_TIMEOUT_S = 10.0
SNAPSHOT_INTERVAL_RECORDS = 256
# Retention by time would otherwise drop the only snapshot of an idle log.
MAX_SNAPSHOT_AGE_S = 6 * 3600.0
# Newest records retained for peers; a peer that is further behind gets a snapshot.
MAX_TAIL_RECORDS = 256

Record = tuple[int, dict[str, Any]]


class ConfigFollower:
    """Keeps one process's configuration current; see :func:`make_config_follower`."""

    def __init__(self, snapshot_jitter_s: float, snapshot_interval_records: int):
        self.state: ConfigurationState = empty_state()
        self._snapshot_jitter_s = snapshot_jitter_s
        self._snapshot_interval_records = snapshot_interval_records
        self._tail: deque[Record] = deque(maxlen=MAX_TAIL_RECORDS)
        self._pending = PendingChanges(APPEND_RETRY_INTERVAL_S, CHANGE_TIMEOUT_S)
        self._to_recheck: dict[ChangeId, tuple[Change, float]] = {}
        self._read_sent_s: float | None = None
        self._next_read_s = float("-inf")
        self._log_readable = False
        self._up_to_date = False
        self._oldest_offset = 0
        self._scan_offset: Offset | None = None
        self._peers: dict[VmId, Offset] = {}
        self._query_sent_s = float("-inf")
        self._snapshot_due_s: float | None = None
        self._snapshot_seen_s: float | None = None

    def tick(self, now_s: float) -> list[Output]:
        """Poll the log, repeat appends, query peers and write snapshots when due."""
        outputs = self._read_if_due(now_s)
        outputs += self._pending.tick(now_s)
        outputs += self._query_peer_if_behind(now_s)
        outputs += self._write_snapshot_if_due(now_s)
        return outputs

    def submit(self, change: Change, now_s: float) -> list[Output]:
        """Submit a change; a decided change id returns its outcome."""
        if change.change_id in self._pending or change.change_id in self._to_recheck:
            return []
        verdict = self.state.verdicts.get(change.change_id)
        if verdict is not None:
            return [verdict_output(change.change_id, verdict)]
        if not self._log_readable:
            why = "the log cannot be read; nothing was appended"
            return [Rejected(change.change_id, why)]
        try:
            check_change(self.state, change)
        except ConfigurationError:
            # The state may be behind, or another process may already have accepted the
            # same change, so check again after a read sent from now on.
            self._to_recheck[change.change_id] = (change, now_s)
            self._next_read_s = now_s
            return self._read_if_due(now_s)
        return [self._pending.add(change, now_s)]

    def on_append_result(
        self, change_id: ChangeId, result: AppendResult, now_s: float
    ) -> list[Output]:
        """Record the result of an append and read the log."""
        self._pending.on_append_result(change_id, result, now_s)
        self._next_read_s = now_s
        return self._read_if_due(now_s)

    def on_log_records(
        self, oldest: int, next_offset: int, records: Iterable[Record], now_s: float
    ) -> list[Output]:
        """Apply the answer to the read in flight.

        Parameters
        ----------
        oldest : int
            Offset of the oldest record in the log.
        next_offset : int
            Offset of the next appended record.
        records : iterable of (int, mapping)
            Records from the requested offset on, with consecutive offsets.
        now_s : float
            Time of the answer.

        Notes
        -----
        The task drops answers to reads that it reported as failed.
        """
        requested_s, self._read_sent_s = self._read_sent_s, None
        if requested_s is None:
            return []
        self._log_readable = True
        self._oldest_offset = oldest
        records = list(records)
        if self._scan_offset is not None or oldest > self.state.offset + 1:
            return self._scan_for_snapshot(oldest, next_offset, records, now_s)
        before = self.state.offset
        outputs = self._apply(records, from_log=True, now_s=now_s)
        self._up_to_date = self.state.offset + 1 >= next_offset
        if self._up_to_date:
            self._next_read_s = now_s + POLL_INTERVAL_S
            if self.state.offset + 1 == next_offset:
                outputs.append(Confirmed(requested_s))
                outputs += self._recheck_changes(requested_s, now_s)
        else:
            advanced = self.state.offset > before
            self._next_read_s = now_s if advanced else now_s + POLL_INTERVAL_S
        return outputs + self._read_if_due(now_s)

    def on_log_failed(self, now_s: float) -> list[Output]:
        """Handle a read in flight that failed or timed out."""
        self._read_sent_s = None
        self._log_readable = self._up_to_date = False
        self._next_read_s = now_s + POLL_INTERVAL_S
        why = "the log cannot be read; this process appended nothing"
        outputs: list[Output] = [
            Undecided(change_id, why) for change_id in self._to_recheck
        ]
        self._to_recheck.clear()
        return outputs + self._query_peer_if_behind(now_s)

    def on_peer_offset(self, peer: VmId, offset: Offset, now_s: float) -> list[Output]:
        """Record the configuration offset in a peer's message."""
        self._peers[peer] = max(offset, self._peers.get(peer, offset))
        return self._query_peer_if_behind(now_s)

    def on_peer_lost(self, peer: VmId) -> None:
        """Remove a peer whose connection closed."""
        self._peers.pop(peer, None)

    def on_peer_request(self, peer: VmId, offset: Offset) -> list[Output]:
        """Answer a peer's request for the records after ``offset``."""
        if offset >= self.state.offset:
            return []
        records = tuple(r for r in self._tail if r[0] > offset)
        if records and records[0][0] == offset + 1:
            return [PushRecords(peer, offset, records)]
        return [PushSnapshot(peer, self.state.offset, to_snapshot(self.state))]

    def on_peer_records(
        self, after: Offset, records: Iterable[Record], now_s: float
    ) -> list[Output]:
        """Apply records from a peer, and drop those that follow a gap."""
        self._query_sent_s = float("-inf")
        if after > self.state.offset:
            return self._query_peer_if_behind(now_s)
        outputs = self._apply(list(records), from_log=False, now_s=now_s)
        return outputs + self._query_peer_if_behind(now_s)

    def on_peer_snapshot(
        self, snapshot: Mapping[str, Any], now_s: float
    ) -> list[Output]:
        """Adopt a peer's state if it is newer."""
        self._query_sent_s = float("-inf")
        return self._adopt_snapshot(snapshot, now_s)

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
            self._snapshot_seen_s, self._snapshot_due_s = now_s, None
        decided = self._pending.pop_decided(self.state)
        outputs: list[Output] = [Applied(self.state), *decided]
        if decided and from_log:
            # Peers would find the records by polling or by a heartbeat's offset; a push
            # from the process that submitted the change reaches them sooner.
            outputs.append(PushRecords(None, before, self._tail_after(before)))
        return outputs

    def _recheck_changes(self, requested_s: float, now_s: float) -> list[Output]:
        outputs: list[Output] = []
        for change_id, (change, since_s) in list(self._to_recheck.items()):
            if since_s > requested_s:
                self._next_read_s = now_s
                continue
            del self._to_recheck[change_id]
            verdict = self.state.verdicts.get(change_id)
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

    def _adopt_snapshot(
        self, snapshot: Mapping[str, Any], now_s: float
    ) -> list[Output]:
        try:
            state = from_snapshot(snapshot)
        except ConfigurationError:
            return []
        if state.offset <= self.state.offset:
            return []
        self.state = state
        self._tail.clear()
        self._scan_offset = None
        self._snapshot_seen_s = now_s
        return [Applied(state), *self._pending.pop_decided(state)]

    def _scan_for_snapshot(
        self, oldest: int, next_offset: int, records: list[Record], now_s: float
    ) -> list[Output]:
        """Look for a snapshot after retention has dropped the next record.

        A snapshot is usable only if the log still has every record after it.
        """
        outputs: list[Output] = []
        for _, record in records:
            covered_offset = _covered_offset(record)
            if covered_offset > self.state.offset and covered_offset + 1 >= oldest:
                outputs += self._adopt_snapshot(record, now_s)
        self._up_to_date = False
        self._next_read_s = now_s
        if oldest <= self.state.offset + 1:
            self._scan_offset = None
        elif records:
            self._scan_offset = Offset(records[-1][0] + 1)
        elif self._scan_offset is None or self._scan_offset < oldest:
            self._scan_offset = Offset(oldest)
        if self._scan_offset is not None and self._scan_offset >= next_offset:
            # The log has no usable snapshot: scan again later, and query a peer.
            self._scan_offset = Offset(oldest)
            self._next_read_s = now_s + POLL_INTERVAL_S
        return outputs + self._read_if_due(now_s) + self._query_peer_if_behind(now_s)

    def _read_if_due(self, now_s: float) -> list[Output]:
        if self._read_sent_s is not None or now_s < self._next_read_s:
            return []
        self._read_sent_s = now_s
        start = (
            self.state.offset + 1 if self._scan_offset is None else self._scan_offset
        )
        return [ReadLog(Offset(start))]

    def _query_peer_if_behind(self, now_s: float) -> list[Output]:
        """Query the most advanced peer, and the next one if it does not answer."""
        ahead = {p: o for p, o in self._peers.items() if o > self.state.offset}
        if not ahead or now_s < self._query_sent_s + PEER_ANSWER_TIMEOUT_S:
            return []
        peer = max(ahead, key=lambda vm: (ahead[vm], vm))
        # The peer's next message records its offset again.
        del self._peers[peer]
        self._query_sent_s = now_s
        return [QueryPeer(peer, self.state.offset)]

    def _write_snapshot_if_due(self, now_s: float) -> list[Output]:
        if self._snapshot_seen_s is None:
            self._snapshot_seen_s = now_s
        if not (self._up_to_date and self._is_snapshot_due(now_s)):
            self._snapshot_due_s = None
            return []
        if self._snapshot_due_s is None:
            self._snapshot_due_s = now_s + self._snapshot_jitter_s
        if now_s < self._snapshot_due_s:
            return []
        self._snapshot_due_s = now_s + self._snapshot_jitter_s + CHANGE_TIMEOUT_S
        return [WriteSnapshot(to_snapshot(self.state))]

    def _is_snapshot_due(self, now_s: float) -> bool:
        state = self.state
        if state.offset < 0:
            return False
        return (
            state.offset - state.snapshot_covers > self._snapshot_interval_records
            or self._oldest_offset > state.snapshot_covers + 1
            or now_s - self._snapshot_seen_s > MAX_SNAPSHOT_AGE_S
        )


def make_config_follower(
    snapshot_jitter_s: float, snapshot_interval_records: int = SNAPSHOT_INTERVAL_RECORDS
) -> ConfigFollower:
    """Return a follower at the empty state.

    Parameters
    ----------
    snapshot_jitter_s : float
        Delay before a due snapshot is written. The caller draws it at random, in
        proportion to the fleet's size, so that usually only one process writes it.
    snapshot_interval_records : int
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
    [Confirmed(requested_s=0.0)]
    """
    return ConfigFollower(snapshot_jitter_s, snapshot_interval_records)


def _covered_offset(record: Any) -> int:
    if isinstance(record, Mapping) and record.get("type") == SNAPSHOT:
        covered_offset = record.get("offset")
        return covered_offset if type(covered_offset) is int else -1
    return -1


def _without_state(record: Any) -> Any:
    """Return a snapshot record without the state, which the fold does not use."""
    covered_offset = _covered_offset(record)
    return (
        record if covered_offset < 0 else {"type": SNAPSHOT, "offset": covered_offset}
    )
