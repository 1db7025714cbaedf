"""Tracks accepted engine orders until their effect or their failure is known."""

from __future__ import annotations

from collections.abc import Mapping, Set

from chervilgw.placement.orders import OrderAnswer, OrderProgress

# An accepted order that the engine does not list after this time counts as lost; one
# that it lists as done without having had its effect counts as failed.
ORDER_LOST_TIMEOUT_S = 2.0
FAILED_PROGRESS = {OrderProgress.FAILED, OrderProgress.REFUSED}


class AcceptedOrders:
    """Accepted orders of one engine; see :func:`make_accepted_orders`."""

    def __init__(self, timeout_s: float):
        self._timeout_s = timeout_s
        # Time at which an order was accepted or last listed as in progress.
        self._last_progress_s: dict[str, float] = {}

    def add(self, order_id: str, now_s: float) -> None:
        """Record that the engine accepted an order."""
        self._last_progress_s[order_id] = now_s

    def observe(
        self,
        orders: Mapping[str, OrderProgress],
        pending: Set[str],
        requested_s: float,
    ) -> tuple[tuple[str, OrderAnswer], ...]:
        """Return the order outcomes that a state report shows, for the memory ledger.

        An order listed as accepted or running stays tracked: the engine may still
        refuse it, or its load may fail.

        Parameters
        ----------
        orders : mapping of str to OrderProgress
            The orders that the engine lists.
        pending : set of str
            Orders still without a known effect once the ledger has applied this report.
        requested_s : float
            Time at which the report was requested.

        Returns
        -------
        tuple of (str, OrderAnswer)
        """
        answers = []
        for order_id, last_progress_s in list(self._last_progress_s.items()):
            progress = orders.get(order_id)
            overdue = requested_s - last_progress_s > self._timeout_s
            if order_id not in pending:
                del self._last_progress_s[order_id]
            elif progress in (OrderProgress.ACCEPTED, OrderProgress.RUNNING):
                self._last_progress_s[order_id] = max(last_progress_s, requested_s)
            elif progress in FAILED_PROGRESS or overdue:
                del self._last_progress_s[order_id]
                lost = progress is None
                answer = OrderAnswer.LOST if lost else OrderAnswer.REFUSED
                answers.append((order_id, answer))
        return tuple(answers)


def make_accepted_orders(timeout_s: float = ORDER_LOST_TIMEOUT_S) -> AcceptedOrders:
    """Return an empty collection of accepted orders.

    Parameters
    ----------
    timeout_s : float
        Time after which an order neither in progress nor in effect has failed.

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
    return AcceptedOrders(timeout_s)
