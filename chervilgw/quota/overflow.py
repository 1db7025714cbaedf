"""Which peer receives the tokens that a full share would drop."""

from __future__ import annotations

from collections.abc import Iterable

from chervilgw.core.ids import BudgetName, Incarnation

# A peer that asked for units of a budget in this time may have room again.
ASKED_RECENTLY_S = 120.0
# Time between two gifts of one budget. It doubles with each refusal, as all peers may
# be full themselves, and starts again with a gift that was taken.
FIRST_INTERVAL_S = 0.1
LONGEST_INTERVAL_S = 2.0
# Peers remembered for each budget.
REMEMBERED_PEERS = 8


class _Turn:
    """Peers that asked for one budget, the next one first, and when it is offered."""

    __slots__ = ("asked_s", "interval_s", "next_s")

    def __init__(self, now_s: float) -> None:
        self.asked_s: dict[Incarnation, float] = {}
        self.next_s = now_s
        self.interval_s = FIRST_INTERVAL_S


class Overflow:
    """Peers that asked for each budget, in the order in which they are offered tokens.

    Examples
    --------
    >>> from chervilgw.core.ids import VmId
    >>> one, other = Incarnation(VmId("e1"), 1), Incarnation(VmId("e2"), 1)
    >>> overflow, acme = Overflow(), BudgetName("acme")
    >>> overflow.asked(acme, one, now_s=0.0)
    >>> overflow.asked(acme, other, now_s=1.0)
    >>> overflow.next_peer(acme, [one, other], now_s=1.0).vm
    'e2'
    >>> overflow.answered(acme, other, accepted=False)
    >>> overflow.next_peer(acme, [one, other], now_s=2.0).vm
    'e1'
    """

    def __init__(self) -> None:
        self._turns: dict[BudgetName, _Turn] = {}

    def asked(self, budget: BudgetName, peer: Incarnation, now_s: float) -> None:
        """Put a peer that lacks tokens first."""
        turn = self._turns.get(budget)
        if turn is None:
            turn = self._turns[budget] = _Turn(now_s)
        rest = [each for each in turn.asked_s.items() if each[0] != peer]
        turn.asked_s = dict([(peer, now_s), *rest[: REMEMBERED_PEERS - 1]])
        turn.interval_s = FIRST_INTERVAL_S
        turn.next_s = min(turn.next_s, now_s + FIRST_INTERVAL_S)

    def answered(self, budget: BudgetName, peer: Incarnation, accepted: bool) -> None:
        """Record whether a peer took a gift; a full one comes last."""
        turn = self._turns.get(budget)
        if turn is None or peer not in turn.asked_s:
            return
        if accepted:
            turn.interval_s = FIRST_INTERVAL_S
            return
        turn.interval_s = min(LONGEST_INTERVAL_S, 2 * turn.interval_s)
        turn.asked_s[peer] = turn.asked_s.pop(peer)

    def due(self, now_s: float) -> list[BudgetName]:
        """Return the budgets whose next gift may be made now."""
        budgets = []
        for budget, turn in list(self._turns.items()):
            if now_s > max(turn.asked_s.values()) + ASKED_RECENTLY_S:
                del self._turns[budget]
            elif now_s >= turn.next_s:
                budgets.append(budget)
        return budgets

    def next_peer(
        self, budget: BudgetName, connected: Iterable[Incarnation], now_s: float
    ) -> Incarnation | None:
        """Return who is offered tokens now, and wait for the interval after that."""
        turn = self._turns.get(budget)
        if turn is None or now_s < turn.next_s:
            return None
        peer = next((each for each in turn.asked_s if each in connected), None)
        if peer is not None:
            turn.next_s = now_s + turn.interval_s
        return peer
