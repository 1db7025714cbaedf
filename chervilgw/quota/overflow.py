"""Choice of the peer that receives the tokens that a full bucket would drop."""

from __future__ import annotations

from collections.abc import Iterable

from chervilgw.core.ids import BudgetName, Incarnation

# A peer is a possible receiver for this long after it requested units of a budget.
REQUEST_RETENTION_S = 120.0
# Time between two transfers of one budget. It doubles with each refusal, as all peers
# may be full, and returns to the minimum with an accepted transfer.
MIN_TRANSFER_INTERVAL_S = 0.1
MAX_TRANSFER_INTERVAL_S = 2.0
# Bounds the memory of each budget.
MAX_RECEIVERS = 8


class _Receivers:
    """Peers that requested one budget, next receiver first, and the next transfer."""

    __slots__ = ("requested_s", "interval_s", "next_transfer_s")

    def __init__(self, now_s: float) -> None:
        self.requested_s: dict[Incarnation, float] = {}
        self.next_transfer_s = now_s
        self.interval_s = MIN_TRANSFER_INTERVAL_S


class OverflowReceivers:
    """Peers that requested each budget, in the order in which they receive tokens.

    Examples
    --------
    >>> from chervilgw.core.ids import VmId
    >>> first, second = Incarnation(VmId("e1"), 1), Incarnation(VmId("e2"), 1)
    >>> overflow, acme = OverflowReceivers(), BudgetName("acme")
    >>> overflow.record_request(acme, first, now_s=0.0)
    >>> overflow.record_request(acme, second, now_s=1.0)
    >>> overflow.next_peer(acme, [first, second], now_s=1.0).vm
    'e2'
    >>> overflow.record_answer(acme, second, accepted=False)
    >>> overflow.next_peer(acme, [first, second], now_s=2.0).vm
    'e1'
    """

    def __init__(self) -> None:
        self._receivers: dict[BudgetName, _Receivers] = {}

    def record_request(
        self, budget: BudgetName, peer: Incarnation, now_s: float
    ) -> None:
        """Make a peer that requested tokens the next receiver."""
        receivers = self._receivers.get(budget)
        if receivers is None:
            receivers = self._receivers[budget] = _Receivers(now_s)
        others = [item for item in receivers.requested_s.items() if item[0] != peer]
        receivers.requested_s = dict([(peer, now_s), *others[: MAX_RECEIVERS - 1]])
        receivers.interval_s = MIN_TRANSFER_INTERVAL_S
        receivers.next_transfer_s = min(
            receivers.next_transfer_s, now_s + MIN_TRANSFER_INTERVAL_S
        )

    def record_answer(
        self, budget: BudgetName, peer: Incarnation, accepted: bool
    ) -> None:
        """Record whether a peer accepted a transfer; a peer that refused goes last."""
        receivers = self._receivers.get(budget)
        if receivers is None or peer not in receivers.requested_s:
            return
        if accepted:
            receivers.interval_s = MIN_TRANSFER_INTERVAL_S
            return
        receivers.interval_s = min(MAX_TRANSFER_INTERVAL_S, 2 * receivers.interval_s)
        receivers.requested_s[peer] = receivers.requested_s.pop(peer)

    def due(self, now_s: float) -> list[BudgetName]:
        """Return the budgets whose next transfer is due."""
        budgets = []
        for budget, receivers in list(self._receivers.items()):
            if now_s > max(receivers.requested_s.values()) + REQUEST_RETENTION_S:
                del self._receivers[budget]
            elif now_s >= receivers.next_transfer_s:
                budgets.append(budget)
        return budgets

    def next_peer(
        self, budget: BudgetName, connected: Iterable[Incarnation], now_s: float
    ) -> Incarnation | None:
        """Return the next receiver, if a transfer is due, and schedule the next one."""
        receivers = self._receivers.get(budget)
        if receivers is None or now_s < receivers.next_transfer_s:
            return None
        peer = next((peer for peer in receivers.requested_s if peer in connected), None)
        if peer is not None:
            receivers.next_transfer_s = now_s + receivers.interval_s
        return peer
