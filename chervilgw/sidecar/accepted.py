"""Orders that the engine accepted, until their effect or their end is known."""

from __future__ import annotations

from collections.abc import Mapping, Set

from chervilgw.placement.orders import OrderAnswer, OrderProgress

LOST_ORDER_S = 2.0
"""An order that the engine accepted, but does not list this long after, was lost. One
that it lists as done, without the effect that was ordered, has failed."""
ENDED = {OrderProgress.FAILED, OrderProgress.REFUSED}


class AcceptedOrders:
    """Accepted orders of one engine; see :func:`make_accepted_orders`."""

    def __init__(self, lost_s: float):
        self._lost_s = lost_s
        # Time at which an order was accepted or last listed as in progress.
        self._progress_s: dict[str, float] = {}

    def add(self, order_id: str, now_s: float) -> None:
        """Note that the engine accepted an order."""
        self._progress_s[order_id] = now_s

    def observe(
        self,
        orders: Mapping[str, OrderProgress],
        pending: Set[str],
        requested_s: float,
    ) -> tuple[tuple[str, OrderAnswer], ...]:
        """Return the answers for the memory ledger that follow from a state report.

        An order is watched until it ends: one that is listed as accepted or running
        may still be refused, or its load fail.

        Parameters
        ----------
        orders : mapping of str to OrderProgress
            The orders that the engine lists.
        pending : set of str
            Orders whose effect the ledger does not know, with this report applied.
        requested_s : float
            Time at which the report was requested.

        Returns
        -------
        tuple of (str, OrderAnswer)
        """
        answers = []
        for order_id, progress_s in list(self._progress_s.items()):
            progress = orders.get(order_id)
            overdue = requested_s - progress_s > self._lost_s
            if order_id not in pending:
                del self._progress_s[order_id]
            elif progress in (OrderProgress.ACCEPTED, OrderProgress.RUNNING):
                self._progress_s[order_id] = max(progress_s, requested_s)
            elif progress in ENDED or overdue:
                del self._progress_s[order_id]
                lost = progress is None
                answer = OrderAnswer.LOST if lost else OrderAnswer.REFUSED
                answers.append((order_id, answer))
        return tuple(answers)


def make_accepted_orders(lost_s: float = LOST_ORDER_S) -> AcceptedOrders:
    """Return an empty collection of accepted orders.

    Parameters
    ----------
    lost_s : float
        How long an order may be neither in progress nor in effect.

    Returns
    -------
    AcceptedOrders

    Examples
    --------
    >>> accepted = make_accepted_orders()
    >>> accepted.add("1-1", now_s=0.0)
    >>> accepted.observe({"1-1": OrderProgress.RUNNING}, {"1-1"}, requested_s=0.1)
    ()
    >>> accepted.observe({"1-1": OrderProgress.FAILED}, {"1-1"}, requested_s=0.2)
    (('1-1', <OrderAnswer.REFUSED: 'refused'>),)
    """
    return AcceptedOrders(lost_s)
