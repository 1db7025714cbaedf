"""Transfers between one entry and its peers: requests, gifts and their answers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from chervilgw.core.ids import BudgetName, Incarnation, Offset
from chervilgw.core.messages import ShareReply, ShareRequest, ShareTransfer
from chervilgw.quota.budgets import Budgets
from chervilgw.quota.collection import Retry
from chervilgw.quota.members import Members
from chervilgw.quota.records import Append, Dead, Output, Send, UnitsChanged
from chervilgw.quota.reservations import Reservations
from chervilgw.quota.transfers import Incoming, Outgoing

# A holder whose bucket is full gives this part of its units to the peer that asked
# last, if recently: tokens that a full bucket drops are lost to the customer.
OVERFLOW_PART = 0.25
# Time between two such gifts. It doubles until the peer asks again: a peer that does
# not ask may be full itself and would only pass the units on.
OVERFLOW_FIRST_S = 0.5
OVERFLOW_LONGEST_S = 1.0
ASKED_RECENTLY_S = 30.0
# A final record that was not read back is appended again after this time.
RECORD_RETRY_S = 2.0
RECORD_RETRY_LONGEST_S = 30.0


@dataclass(slots=True)
class _Asker:
    peer: Incarnation
    asked_s: float
    gift_at_s: float
    interval_s: float = OVERFLOW_FIRST_S


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
        self._askers: dict[BudgetName, _Asker] = {}
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
        if allowed:
            self._askers[message.budget] = _Asker(sender, now_s, now_s)
        if holding is not None and allowed and not contested:
            gift = holding.surrender(message.units, now_s, message.spare_only)
        send = self.outgoing.send(sender, message.budget, gift, members.offset, now_s)
        if not gift[0]:
            return [send]
        return [send, UnitsChanged(message.budget, holding.units)]

    def on_transfer(
        self, sender: Incarnation, message: ShareTransfer, now_s: float
    ) -> list[Output]:
        """Take units, or refuse those from before the newest collection."""
        members = self._members
        budget, name = message.budget, message.transfer_id
        self._reservations.answered(sender, budget, message.units, now_s)
        if not (message.units or message.level):
            return self._serve(budget, now_s)
        if members.is_dead(sender) or self.incoming.is_forgotten(sender, name):
            return self._serve(budget, now_s)
        accepted = self.incoming.known(sender, name)
        if accepted is not None:
            return [Send(sender, ShareReply(name, accepted))]
        accepted = (
            message.ledger_offset >= members.collection_offset
            and members.is_member(self._me)
            and not self.leaving
            and self._budgets.is_set(budget)
        )
        self.incoming.remember(sender, name, accepted)
        reply = Send(sender, ShareReply(name, accepted))
        if not accepted:
            return [reply, *self._serve(budget, now_s)]
        self._budgets.put(budget, message.units, message.level, now_s)
        self.incoming.taken(sender, message, members.offset)
        return [reply, *self.changed(budget, now_s)]

    def on_reply(
        self, sender: Incarnation, message: ShareReply, now_s: float
    ) -> list[Output]:
        """Complete a transfer; a refused one brings its units back."""
        returned = self.outgoing.answered(sender, message)
        if returned is None or self._members.is_dead(self._me):
            return []
        self._budgets.put(returned.budget, returned.units, returned.level, now_s)
        return self.changed(returned.budget, now_s)

    def give_overflow(self, now_s: float) -> list[Output]:
        """Give part of full holdings to peers that asked recently."""
        if not self._members.is_member(self._me):
            return []
        outputs: list[Output] = []
        for budget, asker in list(self._askers.items()):
            holding = self._budgets.get(budget)
            if holding is None or now_s > asker.asked_s + ASKED_RECENTLY_S:
                del self._askers[budget]
                continue
            if now_s < asker.gift_at_s or asker.peer not in self.peers:
                continue
            if not holding.is_full(now_s):
                continue
            gift = holding.surrender(int(holding.units * OVERFLOW_PART), now_s)
            asker.gift_at_s = now_s + asker.interval_s
            asker.interval_s = min(OVERFLOW_LONGEST_S, 2 * asker.interval_s)
            if gift[0]:
                offset = self._members.offset
                send = self.outgoing.send(asker.peer, budget, gift, offset, now_s)
                outputs += [send, UnitsChanged(budget, holding.units)]
        return outputs

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
