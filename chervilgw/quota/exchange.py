"""Transfers between one entry and its peers: requests, gifts and their answers."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

from chervilgw.core.ids import BudgetName, Incarnation, Offset
from chervilgw.core.messages import ShareReply, ShareRequest, ShareTransfer
from chervilgw.quota.budgets import Budgets
from chervilgw.quota.collection import Retry
from chervilgw.quota.members import Members
from chervilgw.quota.overflow import Overflow
from chervilgw.quota.records import Append, Dead, Debit, Output, Send, UnitsChanged
from chervilgw.quota.reservations import Reservations
from chervilgw.quota.transfers import Incoming, Outgoing

# A final record that was not read back is appended again after this time.
RECORD_RETRY_S = 2.0
RECORD_RETRY_LONGEST_S = 30.0


Serve = Callable[[BudgetName, float], list[Output]]


class Exchange:
    """Units on their way in and out.

    Parameters
    ----------
    me : Incarnation
        This process.
    members : Members
        Fold of the stream ``shares``.
    budgets : Budgets
        What this entry holds.
    reservations : Reservations
        What waits for units.
    serve : callable
        Serves the waiting reservations of a budget.
    """

    def __init__(
        self,
        me: Incarnation,
        members: Members,
        budgets: Budgets,
        reservations: Reservations,
        serve: Serve,
    ) -> None:
        self._me = me
        self._members = members
        self._budgets = budgets
        self._reservations = reservations
        self._serve = serve
        self.outgoing = Outgoing(me)
        self.incoming = Incoming()
        self.peers: frozenset[Incarnation] = frozenset()
        self.leaving = False
        self.dropped_units = False
        self._overflow = Overflow()
        self._lost_tokens: list[tuple[float, Debit]] = []
        self._dead_retry = Retry(RECORD_RETRY_S, RECORD_RETRY_LONGEST_S)

    @property
    def handed_over(self) -> bool:
        """Whether a planned stop may go on: nothing is held or under way."""
        return self.leaving and self._budgets.is_empty() and not self.outgoing

    def held_at(self, offset: Offset) -> Counter[BudgetName]:
        """Return the units to report for the collection at an offset, just read."""
        held = self._budgets.units()
        held.update(self.outgoing.units())
        # The difference of counters leaves out what would be negative: units that were
        # passed on are counted once too often rather than missed.
        return held - self.incoming.counted_by_givers(offset, self._members.is_dead)

    def changed(self, budget: BudgetName, now_s: float) -> list[Output]:
        """Report changed units and serve what waited for them."""
        holding = self._budgets.get(budget)
        changed = UnitsChanged(budget, holding.units if holding else 0)
        return [changed, *self._serve(budget, now_s)]

    def on_request(
        self, sender: Incarnation, message: ShareRequest, now_s: float
    ) -> list[Output]:
        """Give units to a peer that asked, or tell it that there are none."""
        members = self._members
        holding = self._budgets.get(message.budget)
        gift = (0, 0.0)
        allowed = members.is_member(sender) and not members.is_dead(self._me)
        # Of two entries that both wait, only the one with the lower id receives units;
        # otherwise each could give the other what it needs itself.
        contested = self._reservations.is_waiting(message.budget) and sender > self._me
        wanted = holding.wanted_units(now_s) if holding is not None else 0
        if allowed and (message.tokens > 0 or (wanted and not message.spare_only)):
            # Otherwise nobody uses the budget, and full peers would be offered tokens.
            self._overflow.asked(message.budget, sender, now_s)
        if holding is not None and allowed and not contested:
            gift = holding.surrender(
                message.units, now_s, message.spare_only, message.tokens > 0
            )
        if gift[0]:
            self._reservations.touch(message.budget)
            return [
                self.outgoing.send(sender, message.budget, gift, members.offset, now_s),
                UnitsChanged(message.budget, holding.units),
            ]
        tokens = 0.0
        if holding is not None and allowed and not contested and message.tokens > 0:
            tokens = holding.tokens_to_give(message.tokens, now_s)
        return [self._give_tokens(sender, message.budget, tokens, now_s)]

    def on_transfer(
        self, sender: Incarnation, message: ShareTransfer, now_s: float
    ) -> list[Output]:
        """Take units, or refuse those from before the newest collection."""
        members = self._members
        budget, name = message.budget, message.transfer_id
        self._reservations.answered(sender, budget, message.units, message.level, now_s)
        if not (message.units or message.level):
            return self._serve(budget, now_s)
        if members.is_dead(sender) or self.incoming.is_forgotten(sender, name):
            return self._serve(budget, now_s)
        earlier = self.incoming.known(sender, name)
        if earlier is not None:
            return [Send(sender, earlier)]
        accepted = (
            message.ledger_offset >= members.collection_offset
            and members.is_member(self._me)
            and not self.leaving
            and self._budgets.is_set(budget)
        )
        holding = self._budgets.get(budget)
        returned = 0.0
        if accepted and holding is not None and not message.units:
            # The giver keeps what would be dropped here.
            returned = max(0.0, message.level - holding.gift_room(now_s))
        reply = ShareReply(name, accepted, returned)
        self.incoming.remember(sender, reply)
        if not accepted:
            return [Send(sender, reply), *self._serve(budget, now_s)]
        self._budgets.put(budget, message.units, message.level - returned, now_s)
        self.incoming.taken(sender, message, members.offset)
        return [Send(sender, reply), *self.changed(budget, now_s)]

    def on_reply(
        self, sender: Incarnation, message: ShareReply, now_s: float
    ) -> list[Output]:
        """Complete a transfer; what was not taken comes back."""
        answered = self.outgoing.answered(sender, message)
        if answered is None or self._members.is_dead(self._me):
            return []
        sent, debit = answered
        if debit is not None:
            kept = sent.level - message.returned_level if message.accepted else 0.0
            self._overflow.answered(sent.budget, sender, accepted=kept >= sent.level)
            self._budgets.settle(debit, kept, now_s)
            return self._serve(sent.budget, now_s)
        if message.accepted:
            return []
        self._budgets.put(sent.budget, sent.units, sent.level, now_s)
        return self.changed(sent.budget, now_s)

    def give_overflow(self, now_s: float) -> list[Output]:
        """Give part of the level of full holdings to peers that asked recently."""
        if not self._members.is_member(self._me):
            return []
        outputs: list[Output] = []
        for budget in self._overflow.due(now_s):
            holding = self._budgets.get(budget)
            tokens = holding.overflow(now_s) if holding else 0.0
            if not tokens:
                continue
            peer = self._overflow.next_peer(budget, self.peers, now_s)
            if peer is not None:
                outputs.append(self._give_tokens(peer, budget, tokens, now_s))
        return outputs

    def receiver_died(self, receiver: Incarnation, settled_s: float) -> None:
        """Forget transfers to a dead receiver, which may have taken them.

        Parameters
        ----------
        receiver : Incarnation
            The dead entry.
        settled_s : float
            When nothing that the dead entry dispatched can run any more.
        """
        for debit in self.outgoing.drop_receiver(receiver):
            self._lost_tokens.append((settled_s, debit))

    def settle_lost(self, now_s: float) -> None:
        """Free the room of tokens that were given to entries now dead."""
        for _, debit in [each for each in self._lost_tokens if now_s >= each[0]]:
            self._budgets.settle(debit, math.inf, now_s)
        self._lost_tokens = [each for each in self._lost_tokens if now_s < each[0]]

    def _give_tokens(
        self, peer: Incarnation, budget: BudgetName, tokens: float, now_s: float
    ) -> Send:
        """Send level without units; 0 tells the peer that there is none.

        The tokens stay debited here until the peer has answered: refilled meanwhile,
        the cap would allow them once here and once at the peer.
        """
        debit = self._budgets.try_debit(budget, tokens, now_s) if tokens else None
        gift = (0, tokens if debit else 0.0)
        offset = self._members.offset
        return self.outgoing.send(peer, budget, gift, offset, now_s, debit)

    def give_all(self, now_s: float) -> list[Output]:
        """Give everything that open debits do not need; end the membership."""
        members = self._members
        peers = sorted(each for each in self.peers if members.is_member(each))
        self.dropped_units |= self._budgets.drop_dormant()
        outputs: list[Output] = []
        for index, (budget, holding) in enumerate(self._budgets if peers else ()):
            if not holding.units:
                continue
            gift = holding.surrender_all(now_s)
            if gift[0]:
                to = peers[(index + int(now_s)) % len(peers)]
                outputs.append(
                    self.outgoing.send(to, budget, gift, members.offset, now_s)
                )
                outputs.append(UnitsChanged(budget, holding.units))
        done = self.handed_over and members.is_member(self._me)
        if done and self._dead_retry.due(now_s):
            outputs.append(Append(Dead(self._me, handed_over=not self.dropped_units)))
        return outputs
