"""Reservations of one entry, and the requests for units that they cause."""

from __future__ import annotations

from dataclasses import dataclass

from returns.result import Success

from chervilgw.core.ids import NO_OFFSET, BudgetName, Incarnation, Offset
from chervilgw.core.messages import ShareRequest
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.quota.bucket import SHARE_UNITS
from chervilgw.quota.budgets import Budgets
from chervilgw.quota.holdings import Holding
from chervilgw.quota.records import Denied, Granted, Output, Send
from chervilgw.quota.waiting import COOLDOWN_S, Waiter, WaitingQueue

REBALANCE_INTERVAL_S = 3.0
# Units are asked for only when less than this part of the wanted ones is held: entries
# whose demand varies would otherwise pass units to and fro.
REBALANCE_BELOW = 0.8
# Interval while units are asked for; also how soon a new budget is spread.
SPREAD_INTERVAL_S = 1.0
# The same for the fair share that is held without demand.
STANDING_BELOW = 0.5
# Longest wait of a reservation while no units of its budget were seen since it was
# configured: nobody holds any before the first collection.
FIRST_UNITS_WAIT_S = 2.0
# A round that gained less than this part of what was asked ends the search.
SMALLEST_PROGRESS = 0.02
# A budget without units here and at the peers needs a collection after this time; it
# grows fourfold with each collection that did not help.
LACKING_FIRST_S = 0.3
LACKING_LONGEST_S = 600.0


@dataclass(slots=True)
class _State:
    queue: WaitingQueue
    opened_s: float
    # Units that demand or a first share calls for; asked for without a reservation.
    target: int = 0
    # Whether only what peers do not need is asked for.
    spare_only: bool = False
    rebalance_at_s: float = 0.0
    lacking_since_s: float | None = None
    fruitless_collections: int = 0
    had_units: bool = False

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits and no units are asked for."""
        queue = self.queue
        return not (queue.waiters or self.target or queue.round is not None)


class Reservations:
    """Waiting reservations of all budgets of one entry.

    Parameters
    ----------
    me : Incarnation
        This process.
    budgets : Budgets
        What it holds.
    max_wait_s : float
        Longest wait of a reservation.
    """

    def __init__(self, me: Incarnation, budgets: Budgets, max_wait_s: float) -> None:
        self._me = me
        self._budgets = budgets
        self._max_wait_s = max_wait_s
        self._states: dict[BudgetName, _State] = {}
        # Budgets that a tick visits, in the order in which something happened to them:
        # demand, moved units, waiting reservations, units asked for.
        self._active: dict[BudgetName, None] = {}
        self._lacking: dict[BudgetName, None] = {}
        self._peers: frozenset[Incarnation] = frozenset()
        self._members = 1
        self._offset = NO_OFFSET

    def set_view(
        self, peers: frozenset[Incarnation], members: int, offset: Offset
    ) -> None:
        """Set the peers that may be asked, the number of members, the ledger offset."""
        if peers != self._peers:
            for state in self._states.values():
                state.queue.keep_peers(peers)
        if peers != self._peers or members != self._members:
            # The fair share changes with the members.
            self._active.update(dict.fromkeys(self._states))
        self._peers = peers
        self._members = members
        self._offset = offset

    def open(self, budget: BudgetName, now_s: float) -> None:
        """Prepare for a configured budget."""
        if budget not in self._states:
            queue = WaitingQueue(f"{self._me}/{budget}")
            self._states[budget] = _State(queue, now_s, rebalance_at_s=now_s)
        self.touch(budget)

    def touch(self, budget: BudgetName) -> None:
        """Let ticks visit a budget whose demand, units or limits changed."""
        if budget in self._states:
            self._active[budget] = None

    def close(self, budget: BudgetName) -> list[Output]:
        """Deny what waits for a budget that was removed."""
        state = self._states.pop(budget, None)
        self._active.pop(budget, None)
        self._lacking.pop(budget, None)
        waiters = state.queue.waiters if state else ()
        return [Denied(each.token, _unknown_budget(budget)) for each in waiters]

    def deny_all(self, refusal: Refusal) -> list[Output]:
        """Deny everything that waits."""
        outputs: list[Output] = []
        for state in self._states.values():
            outputs += [Denied(each.token, refusal) for each in state.queue.waiters]
            state.queue.waiters.clear()
            state.queue.round = None
        return outputs

    def is_waiting(self, budget: BudgetName) -> bool:
        """Return whether a reservation waits for a budget."""
        state = self._states.get(budget)
        return state is not None and bool(state.queue.waiters)

    def abandon(self, token: str, budget: BudgetName) -> None:
        """Drop a waiting reservation."""
        state = self._states.get(budget)
        if state is not None:
            kept = [each for each in state.queue.waiters if each.token != token]
            state.queue.waiters.clear()
            state.queue.waiters.extend(kept)

    def collection_folded(self) -> None:
        """Wait longer before the next collection for a budget without units."""
        for budget, holding in self._budgets:
            state = self._states[budget]
            if not holding.units:
                state.fruitless_collections += 1
            state.lacking_since_s = None
        self._lacking.clear()
        self._active.update(dict.fromkeys(self._states))

    def lacks_units(self, now_s: float) -> bool:
        """Return whether some budget has no units here and at no peer for long."""
        for state in (self._states[budget] for budget in self._lacking):
            wait_s = LACKING_FIRST_S * 4**state.fruitless_collections
            since_s = state.lacking_since_s
            if since_s is not None and now_s >= since_s + min(
                LACKING_LONGEST_S, wait_s
            ):
                return True
        return False

    def reserve(
        self, token: str, budget: BudgetName, amount: float, now_s: float
    ) -> list[Output]:
        """Grant at once, or queue the reservation and ask peers for units."""
        holding = self._budgets.get(budget)
        if holding is None:
            return [Denied(token, _unknown_budget(budget))]
        refusal = holding.check(amount)
        if refusal is not None:
            return [Denied(token, refusal)]
        holding.note_demand(amount, now_s)
        state = self._states[budget]
        wait_s = self._max_wait_s
        if not (state.had_units or holding.units):
            wait_s = max(wait_s, FIRST_UNITS_WAIT_S)
        state.queue.waiters.append(Waiter(token, amount, now_s + wait_s))
        return self.serve(budget, now_s)

    def answered(
        self,
        peer: Incarnation,
        budget: BudgetName,
        units: int,
        level: float,
        now_s: float,
    ) -> None:
        """Record what a peer gave for a request."""
        state, holding = self._states.get(budget), self._budgets.get(budget)
        if state is not None and holding is not None:
            gained = holding.gained_units(units, level)
            state.queue.answered(peer, gained, now_s)

    def tick(self, now_s: float) -> list[Output]:
        """Serve what waits, and ask for units that recent demand calls for."""
        outputs: list[Output] = []
        for budget in list(self._active):
            holding = self._budgets.get(budget)
            if holding is None:
                del self._active[budget]
                continue
            state = self._states[budget]
            state.queue.expire_asked(now_s)
            if holding.units:
                state.fruitless_collections = 0
                state.lacking_since_s = None
                self._lacking.pop(budget, None)
            rebalanced = now_s >= state.rebalance_at_s
            if rebalanced:
                self._rebalance(holding, state, now_s)
                # A short share is asked for sooner: the holder of the rest may be lost.
                interval_s = SPREAD_INTERVAL_S if state.target else REBALANCE_INTERVAL_S
                state.rebalance_at_s = now_s + interval_s
            outputs += self.serve(budget, now_s)
            if rebalanced and state.is_idle:
                # Without new demand the wanted units only fall.
                self._active.pop(budget, None)
        return outputs

    def serve(self, budget: BudgetName, now_s: float) -> list[Output]:
        """Grant what can be granted, deny what cannot, ask peers for the rest."""
        holding = self._budgets.get(budget)
        if holding is None:
            return []
        self._active[budget] = None
        state = self._states[budget]
        queue = state.queue
        state.had_units |= holding.units > 0
        outputs = self._grant(budget, holding, queue, now_s)
        if queue.exhausted:
            outputs += self._end_round(budget, holding, state, now_s)
        asked = self._units_to_ask(holding, state, now_s)
        if not asked:
            queue.round = None
            return outputs
        if queue.round is None:
            if not self._peers:
                if not holding.units:
                    self._note_lacking(budget, state, now_s)
                return outputs + self._deny_hopeless(budget, holding, queue, now_s)
            if now_s < queue.cooldown_until_s:
                return outputs
            peers = queue.askable(self._peers, now_s)
            if not peers:
                return outputs
            queue.open_round(peers)
        spare_only = state.spare_only and not queue.waiters
        amount = sum(each.amount for each in queue.waiters)
        tokens = holding.ask_tokens(amount, now_s) if amount else 0.0
        request = ShareRequest(budget, asked, self._offset, spare_only, tokens)
        return outputs + [
            Send(peer, request) for peer in queue.next_peers(holding.fanout, now_s)
        ]

    def _rebalance(self, holding: Holding, state: _State, now_s: float) -> None:
        wanted = holding.wanted_units(now_s)
        state.spare_only = False
        first = 0 if holding.units else holding.first_units(self._members)
        if first > wanted:
            # A peer keeps half of what it does not need: this entry may be lost, and
            # the peer would be left without units until they are collected.
            state.spare_only, state.target = True, first
            return
        if holding.units < wanted * REBALANCE_BELOW:
            state.target = min(SHARE_UNITS, wanted)
            return
        # An entry that served little holds little. When the holder of the rest is lost,
        # its units are missing until they are collected, so each keeps a fair share of
        # what nobody needs.
        standing = holding.standing_units(self._members)
        state.spare_only = holding.units < standing * STANDING_BELOW
        state.target = standing if state.spare_only else 0

    def _units_to_ask(self, holding: Holding, state: _State, now_s: float) -> int:
        if state.queue.waiters:
            amount = sum(each.amount for each in state.queue.waiters)
            asked = holding.ask_units(amount, now_s)
            if asked:
                return asked
        return max(0, state.target - holding.units)

    def _grant(
        self, budget: BudgetName, holding: Holding, queue: WaitingQueue, now_s: float
    ) -> list[Output]:
        outputs: list[Output] = []
        while queue.waiters:
            head = queue.waiters[0]
            result = holding.try_debit(head.amount, now_s)
            if isinstance(result, Success):
                debit = self._budgets.debit(budget, result.unwrap())
                outputs.append(Granted(head.token, debit))
            elif now_s >= head.deadline_s:
                outputs.append(Denied(head.token, result.failure()))
            else:
                return outputs + self._deny_expired(holding, queue, now_s)
            queue.waiters.popleft()
        return outputs

    def _deny_expired(
        self, holding: Holding, queue: WaitingQueue, now_s: float
    ) -> list[Output]:
        # The first waiter may have a later deadline than those behind it.
        expired = [each for each in queue.waiters if now_s >= each.deadline_s]
        for each in expired:
            queue.waiters.remove(each)
        return [Denied(each.token, _used_up(holding)) for each in expired]

    def _end_round(
        self, budget: BudgetName, holding: Holding, state: _State, now_s: float
    ) -> list[Output]:
        queue = state.queue
        asked = self._units_to_ask(holding, state, now_s)
        gained = queue.round.gained
        queue.round = None
        if not asked or (gained >= asked * SMALLEST_PROGRESS and queue.waiters):
            return []
        state.target = 0
        queue.cooldown_until_s = now_s + COOLDOWN_S
        if not holding.units:
            self._note_lacking(budget, state, now_s)
        return self._deny_hopeless(budget, holding, queue, now_s)

    def _note_lacking(self, budget: BudgetName, state: _State, now_s: float) -> None:
        self._lacking[budget] = None
        if state.lacking_since_s is None:
            state.lacking_since_s = now_s

    def _deny_hopeless(
        self, budget: BudgetName, holding: Holding, queue: WaitingQueue, now_s: float
    ) -> list[Output]:
        # Without any units a collection or a peer may still bring some in time.
        if not holding.units:
            return []
        outputs: list[Output] = []
        waiters = list(queue.waiters)
        queue.waiters.clear()
        for each in waiters:
            result = holding.try_debit(each.amount, now_s)
            if isinstance(result, Success):
                debit = self._budgets.debit(budget, result.unwrap())
                outputs.append(Granted(each.token, debit))
            elif holding.fits_within(each.amount, each.deadline_s - now_s):
                queue.waiters.append(each)
            else:
                outputs.append(Denied(each.token, result.failure()))
        return outputs


def _used_up(holding: Holding) -> Refusal:
    detail = f"the rate of this budget is used up, {holding.units} units are held here"
    return make_refusal(RefusalReason.RATE_EXCEEDED, detail, 0.5)


def _unknown_budget(budget: BudgetName) -> Refusal:
    return make_refusal(RefusalReason.NOT_ALLOWED, f"no budget named {budget}")
