"""Waiting reservations of one entry, and its requests for units from peers."""

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
from chervilgw.quota.waiting import ROUND_COOLDOWN_S, Waiter, WaitingQueue

REBALANCE_INTERVAL_S = 3.0
# Units are requested when the entry holds less than this fraction of what it needs.
# Without it units would oscillate between entries whose demand varies.
REBALANCE_FRACTION = 0.8
# Rebalancing interval while units are requested; a new budget is spread this soon.
SPREAD_INTERVAL_S = 1.0
# Fraction of the units held without demand below which they are requested.
BASELINE_FRACTION = 0.5
# Longest wait of a reservation for the first units of its budget: no entry holds any
# before the first collection.
MAX_INITIAL_WAIT_S = 2.0
# A round that received less than this fraction of its request ends the search.
MIN_ROUND_GAIN_FRACTION = 0.02
# Time after which a budget without units here and at peers needs a collection. It grows
# fourfold with each collection that brings none.
MIN_COLLECTION_DELAY_S = 0.3
MAX_COLLECTION_DELAY_S = 600.0


@dataclass(slots=True)
class _BudgetState:
    queue: WaitingQueue
    opened_s: float
    # Units to request without a waiting reservation, for demand or a first share.
    target_units: int = 0
    # Whether to request only units that peers do not need.
    spare_only: bool = False
    rebalance_at_s: float = 0.0
    no_units_since_s: float | None = None
    ineffective_collections: int = 0
    had_units: bool = False

    @property
    def is_idle(self) -> bool:
        """Whether no reservation waits and no units are requested."""
        queue = self.queue
        return not (queue.waiters or self.target_units or queue.round is not None)


class Reservations:
    """Waiting reservations of all budgets of one entry.

    Parameters
    ----------
    local : Incarnation
        This process.
    budgets : Budgets
        Holdings of this entry.
    max_wait_s : float
        Longest wait of a reservation.
    """

    def __init__(self, local: Incarnation, budgets: Budgets, max_wait_s: float) -> None:
        self._local = local
        self._budgets = budgets
        self._max_wait_s = max_wait_s
        self._states: dict[BudgetName, _BudgetState] = {}
        # Budgets that a tick visits, in the order in which they became active: by
        # demand, changed units, waiting reservations or requested units.
        self._active: dict[BudgetName, None] = {}
        self._without_units: dict[BudgetName, None] = {}
        self._peers: frozenset[Incarnation] = frozenset()
        self._members = 1
        self._offset = NO_OFFSET

    def set_view(
        self, peers: frozenset[Incarnation], members: int, offset: Offset
    ) -> None:
        """Set the peers to send requests to, the member count and the ledger offset."""
        if peers != self._peers:
            for state in self._states.values():
                state.queue.retain_peers(peers)
        if peers != self._peers or members != self._members:
            # The fair share changes with the members.
            self._active.update(dict.fromkeys(self._states))
        self._peers = peers
        self._members = members
        self._offset = offset

    def open_budget(self, budget: BudgetName, now_s: float) -> None:
        """Create the waiting queue of a configured budget."""
        if budget not in self._states:
            queue = WaitingQueue(f"{self._local}/{budget}")
            self._states[budget] = _BudgetState(queue, now_s, rebalance_at_s=now_s)
        self.mark_active(budget)

    def mark_active(self, budget: BudgetName) -> None:
        """Make ticks visit a budget whose demand, units or limits changed."""
        if budget in self._states:
            self._active[budget] = None

    def close_budget(self, budget: BudgetName) -> list[Output]:
        """Deny the waiting reservations of a removed budget."""
        state = self._states.pop(budget, None)
        self._active.pop(budget, None)
        self._without_units.pop(budget, None)
        waiters = state.queue.waiters if state else ()
        return [
            Denied(waiter.token, _unknown_budget_refusal(budget)) for waiter in waiters
        ]

    def deny_all(self, refusal: Refusal) -> list[Output]:
        """Deny all waiting reservations."""
        outputs: list[Output] = []
        for state in self._states.values():
            outputs += [Denied(waiter.token, refusal) for waiter in state.queue.waiters]
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
            others = [item for item in state.queue.waiters if item.token != token]
            state.queue.waiters.clear()
            state.queue.waiters.extend(others)

    def on_collection(self) -> None:
        """Lengthen the collection delay of budgets that still have no units."""
        for budget, holding in self._budgets:
            state = self._states[budget]
            if not holding.units:
                state.ineffective_collections += 1
            state.no_units_since_s = None
        self._without_units.clear()
        self._active.update(dict.fromkeys(self._states))

    def needs_collection(self, now_s: float) -> bool:
        """Return whether a budget has been without units for its collection delay."""
        for state in (self._states[budget] for budget in self._without_units):
            wait_s = MIN_COLLECTION_DELAY_S * 4**state.ineffective_collections
            since_s = state.no_units_since_s
            if since_s is not None and now_s >= since_s + min(
                MAX_COLLECTION_DELAY_S, wait_s
            ):
                return True
        return False

    def reserve(
        self, token: str, budget: BudgetName, amount: float, now_s: float
    ) -> list[Output]:
        """Grant at once, or queue the reservation and request units from peers."""
        holding = self._budgets.get(budget)
        if holding is None:
            return [Denied(token, _unknown_budget_refusal(budget))]
        refusal = holding.check(amount)
        if refusal is not None:
            return [Denied(token, refusal)]
        holding.record_demand(amount, now_s)
        state = self._states[budget]
        wait_s = self._max_wait_s
        if not (state.had_units or holding.units):
            wait_s = max(wait_s, MAX_INITIAL_WAIT_S)
        state.queue.waiters.append(Waiter(token, amount, now_s + wait_s))
        return self.serve(budget, now_s)

    def record_answer(
        self,
        peer: Incarnation,
        budget: BudgetName,
        units: int,
        level: float,
        now_s: float,
    ) -> None:
        """Record the answer of a peer to a request."""
        state, holding = self._states.get(budget), self._budgets.get(budget)
        if state is not None and holding is not None:
            received_units = holding.equivalent_units(units, level)
            state.queue.record_answer(peer, received_units, now_s)

    def tick(self, now_s: float) -> list[Output]:
        """Serve waiting reservations, and request the units that demand needs."""
        outputs: list[Output] = []
        for budget in list(self._active):
            holding = self._budgets.get(budget)
            if holding is None:
                del self._active[budget]
                continue
            state = self._states[budget]
            state.queue.expire_pending(now_s)
            if holding.units:
                state.ineffective_collections = 0
                state.no_units_since_s = None
                self._without_units.pop(budget, None)
            rebalanced = now_s >= state.rebalance_at_s
            if rebalanced:
                self._rebalance(holding, state, now_s)
                # The interval is shorter while units are missing: the holder of the
                # others may be lost.
                interval_s = (
                    SPREAD_INTERVAL_S if state.target_units else REBALANCE_INTERVAL_S
                )
                state.rebalance_at_s = now_s + interval_s
            outputs += self.serve(budget, now_s)
            if rebalanced and state.is_idle:
                # Without new demand the needed units only decrease.
                self._active.pop(budget, None)
        return outputs

    def serve(self, budget: BudgetName, now_s: float) -> list[Output]:
        """Grant or deny waiting reservations, and request missing units from peers."""
        holding = self._budgets.get(budget)
        if holding is None:
            return []
        self._active[budget] = None
        state = self._states[budget]
        queue = state.queue
        state.had_units |= holding.units > 0
        outputs = self._grant(budget, holding, queue, now_s)
        if queue.is_exhausted:
            outputs += self._end_round(budget, holding, state, now_s)
        requested = self._units_to_request(holding, state, now_s)
        if not requested:
            queue.round = None
            return outputs
        if queue.round is None:
            if not self._peers:
                if not holding.units:
                    self._record_no_units(budget, state, now_s)
                return outputs + self._deny_unservable(budget, holding, queue, now_s)
            if now_s < queue.cooldown_until_s:
                return outputs
            peers = queue.available_peers(self._peers, now_s)
            if not peers:
                return outputs
            queue.start_round(peers)
        spare_only = state.spare_only and not queue.waiters
        amount = sum(waiter.amount for waiter in queue.waiters)
        tokens = holding.tokens_to_request(amount, now_s) if amount else 0.0
        request = ShareRequest(budget, requested, self._offset, spare_only, tokens)
        return outputs + [
            Send(peer, request) for peer in queue.next_peers(holding.fanout, now_s)
        ]

    def _rebalance(self, holding: Holding, state: _BudgetState, now_s: float) -> None:
        needed = holding.needed_units(now_s)
        state.spare_only = False
        initial = 0 if holding.units else holding.initial_units(self._members)
        if initial > needed:
            # A peer retains half of its spare units: if this entry is lost, the peer
            # would otherwise have no units until they are collected.
            state.spare_only, state.target_units = True, initial
            return
        if holding.units < needed * REBALANCE_FRACTION:
            state.target_units = min(SHARE_UNITS, needed)
            return
        # The units of a lost entry are missing until they are collected, so each entry
        # also holds a fair share of the units that no demand needs.
        baseline = holding.baseline_units(self._members)
        state.spare_only = holding.units < baseline * BASELINE_FRACTION
        state.target_units = baseline if state.spare_only else 0

    def _units_to_request(
        self, holding: Holding, state: _BudgetState, now_s: float
    ) -> int:
        if state.queue.waiters:
            amount = sum(waiter.amount for waiter in state.queue.waiters)
            requested = holding.units_to_request(amount, now_s)
            if requested:
                return requested
        return max(0, state.target_units - holding.units)

    def _grant(
        self, budget: BudgetName, holding: Holding, queue: WaitingQueue, now_s: float
    ) -> list[Output]:
        outputs: list[Output] = []
        while queue.waiters:
            head = queue.waiters[0]
            result = holding.try_debit(head.amount, now_s)
            if isinstance(result, Success):
                debit = self._budgets.make_debit(budget, result.unwrap())
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
        expired = [waiter for waiter in queue.waiters if now_s >= waiter.deadline_s]
        for waiter in expired:
            queue.waiters.remove(waiter)
        return [Denied(waiter.token, _rate_refusal(holding)) for waiter in expired]

    def _end_round(
        self, budget: BudgetName, holding: Holding, state: _BudgetState, now_s: float
    ) -> list[Output]:
        queue = state.queue
        requested = self._units_to_request(holding, state, now_s)
        received_units = queue.round.received_units
        queue.round = None
        if not requested or (
            received_units >= requested * MIN_ROUND_GAIN_FRACTION and queue.waiters
        ):
            return []
        state.target_units = 0
        queue.cooldown_until_s = now_s + ROUND_COOLDOWN_S
        if not holding.units:
            self._record_no_units(budget, state, now_s)
        return self._deny_unservable(budget, holding, queue, now_s)

    def _record_no_units(
        self, budget: BudgetName, state: _BudgetState, now_s: float
    ) -> None:
        self._without_units[budget] = None
        if state.no_units_since_s is None:
            state.no_units_since_s = now_s

    def _deny_unservable(
        self, budget: BudgetName, holding: Holding, queue: WaitingQueue, now_s: float
    ) -> list[Output]:
        # An entry without units may still get some in time from a peer or a collection.
        if not holding.units:
            return []
        outputs: list[Output] = []
        waiters = list(queue.waiters)
        queue.waiters.clear()
        for waiter in waiters:
            result = holding.try_debit(waiter.amount, now_s)
            if isinstance(result, Success):
                debit = self._budgets.make_debit(budget, result.unwrap())
                outputs.append(Granted(waiter.token, debit))
            elif holding.is_grantable_within(waiter.amount, waiter.deadline_s - now_s):
                queue.waiters.append(waiter)
            else:
                outputs.append(Denied(waiter.token, result.failure()))
        return outputs


def _rate_refusal(holding: Holding) -> Refusal:
    detail = f"the rate of this budget is used up, {holding.units} units are held here"
    return make_refusal(RefusalReason.RATE_EXCEEDED, detail, 0.5)


def _unknown_budget_refusal(budget: BudgetName) -> Refusal:
    return make_refusal(RefusalReason.NOT_ALLOWED, f"no budget named {budget}")
