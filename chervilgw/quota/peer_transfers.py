"""Requests, transfers and replies between one entry and its peers."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

from chervilgw.core.ids import BudgetName, Incarnation, Offset
from chervilgw.core.messages import ShareReply, ShareRequest, ShareTransfer
from chervilgw.quota.budgets import Budgets
from chervilgw.quota.collection import RetrySchedule
from chervilgw.quota.members import Members
from chervilgw.quota.overflow import OverflowReceivers
from chervilgw.quota.records import Append, Dead, Debit, Output, Send, UnitsChanged
from chervilgw.quota.reservations import Reservations
from chervilgw.quota.transfers import Incoming, Outgoing

# Interval after which a record that was not read back is appended again.
MIN_RECORD_RETRY_S = 2.0
MAX_RECORD_RETRY_S = 30.0


ServeBudget = Callable[[BudgetName, float], list[Output]]


class PeerTransfers:
    """Units and level in transit from and to peers.

    Parameters
    ----------
    local : Incarnation
        This process.
    members : Members
        Fold of the stream ``shares``.
    budgets : Budgets
        Holdings of this entry.
    reservations : Reservations
        Reservations that wait for units.
    serve : callable
        Serves the waiting reservations of a budget.
    """

    def __init__(
        self,
        local: Incarnation,
        members: Members,
        budgets: Budgets,
        reservations: Reservations,
        serve: ServeBudget,
    ) -> None:
        self._local = local
        self._members = members
        self._budgets = budgets
        self._reservations = reservations
        self._serve = serve
        self.outgoing = Outgoing(local)
        self.incoming = Incoming()
        self.peers: frozenset[Incarnation] = frozenset()
        self.draining = False
        self.dropped_units = False
        self._receivers = OverflowReceivers()
        self._lost_tokens: list[tuple[float, Debit]] = []
        self._dead_retry = RetrySchedule(MIN_RECORD_RETRY_S, MAX_RECORD_RETRY_S)

    @property
    def handed_over(self) -> bool:
        """Whether a planned stop may proceed: no units are held or in transit."""
        return self.draining and self._budgets.is_empty() and not self.outgoing

    def held_at(self, offset: Offset) -> Counter[BudgetName]:
        """Return the units to report for the collection at an offset, just read."""
        held = self._budgets.units()
        held.update(self.outgoing.units())
        # The difference of counters drops negative values: units that were transferred
        # again are counted twice rather than missed.
        return held - self.incoming.counted_by_senders(offset, self._members.is_dead)

    def report_change(self, budget: BudgetName, now_s: float) -> list[Output]:
        """Report changed units and serve the reservations that waited for them."""
        holding = self._budgets.get(budget)
        change = UnitsChanged(budget, holding.units if holding else 0)
        return [change, *self._serve(budget, now_s)]

    def on_request(
        self, sender: Incarnation, message: ShareRequest, now_s: float
    ) -> list[Output]:
        """Transfer units to a peer that requested them, or answer with none."""
        members = self._members
        holding = self._budgets.get(message.budget)
        released = (0, 0.0)
        allowed = members.is_member(sender) and not members.is_dead(self._local)
        # If both entries wait, only the one with the lower id receives units; otherwise
        # each could transfer units that it needs itself.
        contested = (
            self._reservations.is_waiting(message.budget) and sender > self._local
        )
        needed = holding.needed_units(now_s) if holding is not None else 0
        if allowed and (message.tokens > 0 or (needed and not message.spare_only)):
            # Without demand the peer is no receiver of overflow, since it may be full.
            self._receivers.record_request(message.budget, sender, now_s)
        if holding is not None and allowed and not contested:
            released = holding.release(
                message.units, now_s, message.spare_only, message.tokens > 0
            )
        if released[0]:
            self._reservations.mark_active(message.budget)
            return [
                self.outgoing.send(
                    sender, message.budget, released, members.offset, now_s
                ),
                UnitsChanged(message.budget, holding.units),
            ]
        tokens = 0.0
        if holding is not None and allowed and not contested and message.tokens > 0:
            tokens = holding.tokens_to_transfer(message.tokens, now_s)
        return [self._transfer_tokens(sender, message.budget, tokens, now_s)]

    def on_transfer(
        self, sender: Incarnation, message: ShareTransfer, now_s: float
    ) -> list[Output]:
        """Accept units, or refuse those from before the newest collection."""
        members = self._members
        budget, name = message.budget, message.transfer_id
        self._reservations.record_answer(
            sender, budget, message.units, message.level, now_s
        )
        if not (message.units or message.level):
            return self._serve(budget, now_s)
        if members.is_dead(sender) or self.incoming.is_too_old(sender, name):
            return self._serve(budget, now_s)
        earlier_reply = self.incoming.find_answer(sender, name)
        if earlier_reply is not None:
            return [Send(sender, earlier_reply)]
        accepted = (
            message.ledger_offset >= members.collection_offset
            and members.is_member(self._local)
            and not self.draining
            and self._budgets.is_configured(budget)
        )
        holding = self._budgets.get(budget)
        returned = 0.0
        if accepted and holding is not None and not message.units:
            # The sender gets back what would be dropped here.
            returned = max(0.0, message.level - holding.free_level(now_s))
        reply = ShareReply(name, accepted, returned)
        self.incoming.store_answer(sender, reply)
        if not accepted:
            return [Send(sender, reply), *self._serve(budget, now_s)]
        self._budgets.put(budget, message.units, message.level - returned, now_s)
        self.incoming.record_accepted(sender, message, members.offset)
        return [Send(sender, reply), *self.report_change(budget, now_s)]

    def on_reply(
        self, sender: Incarnation, message: ShareReply, now_s: float
    ) -> list[Output]:
        """Complete a transfer; units and level that were not accepted return."""
        completed = self.outgoing.complete(sender, message)
        if completed is None or self._members.is_dead(self._local):
            return []
        transfer, debit = completed
        if debit is not None:
            used = transfer.level - message.returned_level if message.accepted else 0.0
            self._receivers.record_answer(
                transfer.budget, sender, accepted=used >= transfer.level
            )
            self._budgets.settle(debit, used, now_s)
            return self._serve(transfer.budget, now_s)
        if message.accepted:
            return []
        self._budgets.put(transfer.budget, transfer.units, transfer.level, now_s)
        return self.report_change(transfer.budget, now_s)

    def transfer_overflow(self, now_s: float) -> list[Output]:
        """Transfer part of the level of full holdings to peers that requested some."""
        if not self._members.is_member(self._local):
            return []
        outputs: list[Output] = []
        for budget in self._receivers.due(now_s):
            holding = self._budgets.get(budget)
            tokens = holding.overflow_level(now_s) if holding else 0.0
            if not tokens:
                continue
            peer = self._receivers.next_peer(budget, self.peers, now_s)
            if peer is not None:
                outputs.append(self._transfer_tokens(peer, budget, tokens, now_s))
        return outputs

    def on_receiver_dead(self, receiver: Incarnation, settled_s: float) -> None:
        """Drop transfers to a dead receiver, which may have accepted them.

        Parameters
        ----------
        receiver : Incarnation
            The dead entry.
        settled_s : float
            Time after which no request of the dead entry can run.
        """
        for debit in self.outgoing.drop_receiver(receiver):
            self._lost_tokens.append((settled_s, debit))

    def settle_lost_tokens(self, now_s: float) -> None:
        """Settle the debits of tokens transferred to entries that are now dead."""
        for _, debit in [item for item in self._lost_tokens if now_s >= item[0]]:
            self._budgets.settle(debit, math.inf, now_s)
        self._lost_tokens = [item for item in self._lost_tokens if now_s < item[0]]

    def _transfer_tokens(
        self, peer: Incarnation, budget: BudgetName, tokens: float, now_s: float
    ) -> Send:
        """Transfer level without units; 0 answers that there is none.

        The tokens stay debited until the peer has answered. Otherwise a refill in the
        meantime would allow them once here and once at the peer.
        """
        debit = self._budgets.try_debit(budget, tokens, now_s) if tokens else None
        released = (0, tokens if debit else 0.0)
        offset = self._members.offset
        return self.outgoing.send(peer, budget, released, offset, now_s, debit)

    def transfer_all(self, now_s: float) -> list[Output]:
        """Transfer all units that open debits do not need, then end the membership."""
        members = self._members
        peers = sorted(peer for peer in self.peers if members.is_member(peer))
        self.dropped_units |= self._budgets.drop_delayed()
        outputs: list[Output] = []
        for index, (budget, holding) in enumerate(self._budgets if peers else ()):
            if not holding.units:
                continue
            released = holding.release_all(now_s)
            if released[0]:
                receiver = peers[(index + int(now_s)) % len(peers)]
                outputs.append(
                    self.outgoing.send(
                        receiver, budget, released, members.offset, now_s
                    )
                )
                outputs.append(UnitsChanged(budget, holding.units))
        finished = self.handed_over and members.is_member(self._local)
        if finished and self._dead_retry.due(now_s):
            outputs.append(
                Append(Dead(self._local, handed_over=not self.dropped_units))
            )
        return outputs
