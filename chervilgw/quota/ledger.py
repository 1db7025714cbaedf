"""Share ledger of one entry: reservations, transfers, collections.

The ledger is a state machine without sockets or a clock. Records of the stream
``shares``, messages of peers and ticks go in; :data:`chervilgw.quota.records.Output`
values come out. Its safety rests on three rules: units leave the sender before the
transfer is sent, a transfer from before the newest collection is refused, and a
collection completes only with the snapshot of every member that is not declared dead.
"""

from __future__ import annotations

from collections.abc import Iterable

from chervilgw.core.ids import BudgetName, Incarnation, Offset
from chervilgw.core.messages import (
    Message,
    ShareReply,
    ShareRequest,
    ShareSnapshot,
    ShareTransfer,
)
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.quota.budgets import Budgets
from chervilgw.quota.collection import Collections, RetrySchedule
from chervilgw.quota.count_holding import CountHolding
from chervilgw.quota.holdings import Holding
from chervilgw.quota.members import Members
from chervilgw.quota.peer_transfers import (
    MAX_RECORD_RETRY_S,
    MIN_RECORD_RETRY_S,
    PeerTransfers,
)
from chervilgw.quota.records import (
    Append,
    Collect,
    Debit,
    Denied,
    Join,
    Output,
    Record,
)
from chervilgw.quota.reservations import Reservations

# Time from reading a death to using the dead entry's units. By then every sidecar has
# read the record, or refuses work because its view was not confirmed for 2.5 s.
DEAD_SETTLE_S = 3.0
# The same for counts: loads with permits of a dead entry may still be running.
PERMIT_SETTLE_S = 30.0
MAX_RESERVATION_WAIT_S = 0.25
# Time after the start at which an entry counts as supplied in any case. It covers a
# collection and the settling time, needed when all entries of a fleet restarted.
MAX_SUPPLY_WAIT_S = 5.0


class Quota:
    """Share ledger with all budgets of one entry.

    Parameters
    ----------
    local : Incarnation
        This process.
    now_s : float
        Monotonic time.
    max_wait_s : float
        Longest time that a reservation waits for units from peers.
    dead_settle_s, permit_settle_s : float
        Time from reading a death to using units that the dead entry may have held.
    """

    def __init__(
        self,
        local: Incarnation,
        now_s: float,
        max_wait_s: float,
        dead_settle_s: float,
        permit_settle_s: float,
    ) -> None:
        self.local = local
        self._started_s = now_s
        self._members = Members()
        self._budgets = Budgets()
        self._collections = Collections(local, self._members, now_s)
        self._reservations = Reservations(local, self._budgets, max_wait_s)
        self._transfers = PeerTransfers(
            local, self._members, self._budgets, self._reservations, self._serve
        )
        self._gone: frozenset[Incarnation] = frozenset()
        self._dead_settle_s = dead_settle_s
        self._permit_settle_s = permit_settle_s
        self._last_loss_s = float("-inf")
        self._units_may_be_lost = False
        self._join_retry = RetrySchedule(MIN_RECORD_RETRY_S, MAX_RECORD_RETRY_S)

    @property
    def ledger_offset(self) -> Offset:
        """Return the offset of the last record folded."""
        return self._members.offset

    @property
    def handed_over(self) -> bool:
        """Whether a planned stop may proceed: no units are held or in transit."""
        return self._transfers.handed_over

    def dead_incarnations(self) -> frozenset[Incarnation]:
        """Return the latest dead incarnation of each VM; earlier ones are dead too."""
        return self._members.dead()

    def is_dead(self, incarnation: Incarnation) -> bool:
        """Return whether sidecars refuse requests of an incarnation."""
        return self._members.is_dead(incarnation)

    def members(self) -> tuple[Incarnation, ...]:
        """Return the entries that have joined and are not declared dead."""
        return self._members.live

    def units(self, budget: BudgetName) -> int:
        """Return the usable units held of a budget."""
        holding = self._budgets.get(budget)
        return holding.units if holding else 0

    def is_supplied(self, now_s: float) -> bool:
        """Return whether each budget that is spread without demand has units here.

        True in any case after :data:`MAX_SUPPLY_WAIT_S`: peers may need all units, and
        without the log this entry cannot join.
        """
        if now_s >= self._started_s + MAX_SUPPLY_WAIT_S:
            return True
        members = len(self._members.live)
        return self._members.is_member(self.local) and all(
            holding.units or not holding.baseline_units(members)
            for _, holding in self._budgets
        )

    def set_budget(
        self, budget: BudgetName, rate_per_s: float, burst: float, now_s: float
    ) -> None:
        """Configure a budget of tokens."""
        self._budgets.set_rate(budget, rate_per_s, burst, now_s)
        self._reservations.open_budget(budget, now_s)

    def set_count_budget(self, budget: BudgetName, count: int, now_s: float) -> None:
        """Configure a budget of permits in use at once."""
        self._budgets.set_count(budget, count)
        self._reservations.open_budget(budget, now_s)

    def remove_budget(self, budget: BudgetName, now_s: float) -> list[Output]:
        """Remove a budget and deny its waiting reservations."""
        self._budgets.remove(budget, now_s)
        return self._reservations.close_budget(budget)

    def set_peers(self, incarnations: Iterable[Incarnation]) -> None:
        """Set the connected entries."""
        peers = frozenset(incarnations) - {self.local}
        for peer in peers - self._transfers.peers:
            self._collections.on_peer_connected(peer)
        self._transfers.peers = peers

    def set_gone(self, incarnations: Iterable[Incarnation]) -> None:
        """Set the incarnations whose VM the platform's list shows as gone."""
        self._gone = frozenset(incarnations) - {self.local}

    def on_log_truncated(self, oldest: Offset) -> None:
        """Handle the loss of unread records before ``oldest`` from the log."""
        self._members.on_truncated(oldest)

    def confirm_members(self) -> None:
        """Treat the members known so far as complete.

        For a process that started on a truncated log without a collection record. The
        caller has checked that every registered entry VM is connected.
        """
        self._members.complete = True

    def reserve(
        self, token: str, budget: BudgetName, amount: float, now_s: float
    ) -> list[Output]:
        """Reserve an amount; ``Granted`` or ``Denied`` with the token follows.

        Parameters
        ----------
        token : str
            Chosen by the caller, returned with the result.
        budget : BudgetName
            Budget to debit.
        amount : float
            Tokens, or permits of a count budget.
        now_s : float
            Monotonic time.

        Returns
        -------
        list of Output
        """
        refusal = self._refusal()
        if refusal is not None:
            return [Denied(token, refusal)]
        self._refresh_view()
        return self._reservations.reserve(token, budget, amount, now_s)

    def abandon(self, token: str, budget: BudgetName) -> None:
        """Drop a waiting reservation whose result is no longer needed."""
        self._reservations.abandon(token, budget)

    def confirm_start(self, debit: Debit, now_s: float) -> None:
        """Record that the run of a debit has started."""
        self._budgets.confirm_start(debit, now_s)

    def settle(self, debit: Debit, used: float, now_s: float) -> list[Output]:
        """End a run, or return a permit; the unused part is refunded."""
        self._budgets.settle(debit, used, now_s)
        return self._serve(debit.budget, now_s)

    def cancel(self, debit: Debit, now_s: float) -> list[Output]:
        """Return a debit whose run certainly did not happen."""
        self._budgets.cancel(debit, now_s)
        return self._serve(debit.budget, now_s)

    def on_record(self, offset: Offset, record: Record, now_s: float) -> list[Output]:
        """Fold one record of the stream ``shares``.

        Parameters
        ----------
        offset : Offset
            Offset of the record; records come in order, repeats are ignored.
        record : Record
            The record.
        now_s : float
            Monotonic time.

        Returns
        -------
        list of Output
        """
        members = self._members
        if not members.fold(offset, record):
            return []
        if members.loss_offset == offset:
            self._last_loss_s = now_s
        for receiver in self._transfers.outgoing.receivers():
            if members.is_dead(receiver):
                settled_s = now_s + self._dead_settle_s
                self._transfers.on_receiver_dead(receiver, settled_s)
                self._units_may_be_lost = True
        self._transfers.incoming.drop_dead(members.is_dead)
        if not isinstance(record, Collect):
            return []
        self._collections.on_collection(record, self._transfers.held_at(offset), now_s)
        self._reservations.on_collection()
        self._units_may_be_lost = False
        return self._complete_collection(now_s)

    def on_message(
        self, sender: Incarnation, message: Message, now_s: float
    ) -> list[Output]:
        """Handle a message of another entry."""
        self._refresh_view()
        if isinstance(message, ShareRequest):
            return self._transfers.on_request(sender, message, now_s)
        if isinstance(message, ShareTransfer):
            return self._transfers.on_transfer(sender, message, now_s)
        if isinstance(message, ShareReply):
            return self._transfers.on_reply(sender, message, now_s)
        if isinstance(message, ShareSnapshot):
            self._collections.on_snapshot(sender, message)
            return self._complete_collection(now_s)
        return []

    def tick(self, now_s: float) -> list[Output]:
        """Perform the actions that are due; to be called about every 100 ms.

        Parameters
        ----------
        now_s : float
            Monotonic time.

        Returns
        -------
        list of Output
        """
        self._refresh_view()
        outputs: list[Output] = []
        members = self._members
        if members.is_dead(self.local):
            return self._reservations.deny_all(self._refusal())
        if not members.is_member(self.local) and self._join_retry.due(now_s):
            outputs.append(Append(Join(self.local)))
        self._transfers.settle_lost_tokens(now_s)
        outputs += self._transfers.outgoing.due(self._transfers.peers, now_s)
        snapshot = self._collections.snapshot_due(self._transfers.peers, now_s)
        if snapshot is not None:
            outputs.append(snapshot)
        outputs += self._complete_collection(now_s)
        for budget in self._budgets.activate_due(now_s):
            outputs += self._transfers.report_change(budget, now_s)
        if self._transfers.draining:
            return outputs + self._transfers.transfer_all(now_s)
        outputs += self._reservations.tick(now_s)
        outputs += self._transfers.transfer_overflow(now_s)
        units_missing = self._units_may_be_lost or self._reservations.needs_collection(
            now_s
        )
        record = self._collections.next_collection(self._gone, units_missing, now_s)
        if record is not None:
            outputs.append(Append(record))
        return outputs

    def hand_over(self, now_s: float) -> list[Output]:
        """Begin a planned stop: deny reservations, transfer units and levels to peers.

        Later ticks transfer the units that open debits still need. When all transfers
        are answered, a record that this entry is dead ends its membership.
        """
        self._transfers.draining = True
        self._refresh_view()
        return self._reservations.deny_all(
            self._refusal()
        ) + self._transfers.transfer_all(now_s)

    def _refusal(self) -> Refusal | None:
        if self._members.is_dead(self.local):
            detail = "this entry was declared dead and must restart"
            return make_refusal(RefusalReason.DEAD_ORIGIN, detail, 1.0)
        if self._transfers.draining:
            return make_refusal(RefusalReason.DRAINING, "this entry is stopping", 0.1)
        return None

    def _refresh_view(self) -> None:
        members = self._members
        peers = frozenset(
            peer for peer in self._transfers.peers if members.is_member(peer)
        )
        active = members.is_member(self.local) and not self._transfers.draining
        self._reservations.set_view(
            peers if active else frozenset(), len(members.live), members.offset
        )

    def _serve(self, budget: BudgetName, now_s: float) -> list[Output]:
        if self._refusal() is not None:
            return []
        self._refresh_view()
        return self._reservations.serve(budget, now_s)

    def _complete_collection(self, now_s: float) -> list[Output]:
        claimed = self._collections.finish(self._budgets.names)
        outputs: list[Output] = []
        for budget, units in (claimed or {}).items():
            usable_at_s = self._usable_at_s(self._budgets.get(budget))
            if units and usable_at_s > now_s:
                self._budgets.put_delayed(budget, units, usable_at_s)
            elif units:
                self._budgets.put(budget, units, 0.0, now_s)
                outputs += self._transfers.report_change(budget, now_s)
        return outputs

    def _usable_at_s(self, holding: Holding | None) -> float:
        counts = isinstance(holding, CountHolding)
        return self._last_loss_s + (
            self._permit_settle_s if counts else self._dead_settle_s
        )


def make_quota(
    local: Incarnation,
    now_s: float = 0.0,
    max_wait_s: float = MAX_RESERVATION_WAIT_S,
    dead_settle_s: float = DEAD_SETTLE_S,
    permit_settle_s: float = PERMIT_SETTLE_S,
) -> Quota:
    """Return the share ledger of one entry.

    Parameters
    ----------
    local : Incarnation
        This process.
    now_s : float
        Monotonic time.
    max_wait_s : float
        Longest time that a reservation waits for units from peers.
    dead_settle_s, permit_settle_s : float
        Time from reading a death to using units that the dead entry may have held.

    Returns
    -------
    Quota

    Examples
    --------
    >>> from chervilgw.core.ids import VmId
    >>> quota = make_quota(Incarnation(VmId("e1"), 1))
    >>> quota.set_budget(BudgetName("acme"), 10.0, 100.0, now_s=0.0)
    >>> offset, now_s = 0, 0.0
    >>> while quota.units(BudgetName("acme")) == 0:
    ...     now_s += 0.1
    ...     for output in quota.tick(now_s):
    ...         _ = quota.on_record(Offset(offset), output.record, now_s)
    ...         offset += 1
    >>> quota.units(BudgetName("acme")), offset
    (1000000, 2)
    """
    return Quota(local, now_s, max_wait_s, dead_settle_s, permit_settle_s)
