"""Permits over several budgets at once, such as one load of weights from the store.

The entry has one queue of requests from sidecars. A permit is granted when every budget
it names has granted one use. A request that one budget denies returns the debits of the
others until its next attempt, so that two requests cannot deadlock.

The permits of a sidecar that was lost count for a while, as its loads may still run.
The sender of a request that they may hold up is told so: it may load a model that no
other server has without a permit, within the limit of the store itself.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from chervilgw.core.ids import BudgetName, Incarnation
from chervilgw.core.messages import PermitGrant, PermitRelease, PermitRequest
from chervilgw.quota.budget_names import ADAPTER_STARTS_AT_ONCE, STORE_LOADS_AT_ONCE
from chervilgw.quota.ledger import PERMIT_SETTLE_S, Quota
from chervilgw.quota.records import Debit, Denied, Granted, Output, Send

TOKEN_PREFIX = "permit/"
MAX_QUEUE_S = 30.0
MIN_RETRY_S = 0.05
MAX_RETRY_S = 1.0
# Stored ids of ended permits, so that a late copy of a request gets no new permit.
MAX_ENDED_IDS = 4096
# Budgets of permits that are in use until they are released.
COUNT_BUDGETS = frozenset({STORE_LOADS_AT_ONCE, ADAPTER_STARTS_AT_ONCE})


@dataclass(slots=True)
class _Permit:
    sidecar: Incarnation
    permit_id: str
    budgets: tuple[BudgetName, ...]
    deadline_s: float
    retry_at_s: float = float("-inf")
    waiting_for: set[BudgetName] = field(default_factory=set)
    debits: list[Debit] = field(default_factory=list)
    denied: bool = False
    is_withheld: bool = False


_Key = tuple[Incarnation, str]


class Permits:
    """Permits that one entry grants.

    Parameters
    ----------
    quota : Quota
        Ledger whose budgets the permits use.
    max_queue_s : float
        Longest time a request stays in the queue.
    settle_s : float
        Time from a sidecar's end to the release of its permits: loads that it started
        may still be running at the store.
    """

    def __init__(self, quota: Quota, max_queue_s: float, settle_s: float) -> None:
        self._quota = quota
        self._max_queue_s = max_queue_s
        self._settle_s = settle_s
        self._queue: OrderedDict[_Key, _Permit] = OrderedDict()
        self._granted: dict[_Key, _Permit] = {}
        self._ended: OrderedDict[_Key, None] = OrderedDict()
        self._gone_since_s: dict[Incarnation, float] = {}
        # Sidecars whose connection ended, also before it is known that they are gone.
        self._lost_since_s: dict[Incarnation, float] = {}
        self._tokens: dict[str, tuple[_Permit, BudgetName]] = {}
        self._counter = 0

    @property
    def granted(self) -> int:
        """Return the number of permits that are in use."""
        return len(self._granted)

    @property
    def queued(self) -> int:
        """Return the number of requests that wait."""
        return len(self._queue)

    def on_request(
        self, sidecar: Incarnation, message: PermitRequest, now_s: float
    ) -> list[Output]:
        """Queue a request, or repeat the answer to a repeated request."""
        key = (sidecar, message.permit_id)
        if key in self._granted:
            return [Send(sidecar, PermitGrant(message.permit_id, True))]
        if key in self._ended or key in self._queue:
            return []
        budgets = tuple(sorted(set(message.budgets)))
        deadline_s = now_s + self._max_queue_s
        self._queue[key] = _Permit(sidecar, message.permit_id, budgets, deadline_s)
        return self._start_next(now_s)

    def on_release(
        self, sidecar: Incarnation, message: PermitRelease, now_s: float
    ) -> list[Output]:
        """End a permit, or withdraw a request that still waits."""
        key = (sidecar, message.permit_id)
        self._record_ended(key)
        permit = self._queue.pop(key, None)
        outputs = self._return_debits(permit, now_s) if permit else []
        return outputs + self._release(key, now_s) + self._start_next(now_s)

    def on_connected(self, sidecar: Incarnation) -> None:
        """Record a connection to a sidecar, which releases its permits itself."""
        self._lost_since_s.pop(sidecar, None)

    def on_disconnected(self, sidecar: Incarnation, now_s: float) -> None:
        """Record that a sidecar was lost, possibly with permits of any entry."""
        self._lost_since_s[sidecar] = now_s

    def set_gone(self, incarnations: Iterable[Incarnation], now_s: float) -> None:
        """Set the sidecars whose VM is gone or has a later incarnation."""
        self._gone_since_s = {
            incarnation: self._gone_since_s.get(incarnation, now_s)
            for incarnation in incarnations
        }

    def filter_outputs(self, outputs: Iterable[Output], now_s: float) -> list[Output]:
        """Handle the results of this queue's reservations in a ledger's outputs.

        Parameters
        ----------
        outputs : iterable of Output
            Outputs of any call of the ledger.
        now_s : float
            Monotonic time.

        Returns
        -------
        list of Output
            The other outputs, and those that follow from the handled results.
        """
        other_outputs = self._handle_results(outputs, now_s)
        return other_outputs + self._start_next(now_s)

    def tick(self, now_s: float) -> list[Output]:
        """Release permits of gone sidecars; refuse requests that waited too long."""
        outputs: list[Output] = []
        for sidecar, since_s in list(self._lost_since_s.items()):
            if now_s >= since_s + self._settle_s:
                del self._lost_since_s[sidecar]
        for key, permit in list(self._queue.items()):
            if permit.sidecar in self._gone_since_s:
                del self._queue[key]
                outputs += self._return_debits(permit, now_s)
            elif now_s >= permit.deadline_s:
                del self._queue[key]
                outputs += self._return_debits(permit, now_s)
                refused = PermitGrant(permit.permit_id, False, MAX_RETRY_S)
                outputs.append(Send(permit.sidecar, refused))
        for key, permit in list(self._granted.items()):
            gone_since_s = self._gone_since_s.get(permit.sidecar)
            if gone_since_s is not None and now_s >= gone_since_s + self._settle_s:
                outputs += self._release(key, now_s)
        return outputs + self._start_next(now_s)

    def _start_next(self, now_s: float) -> list[Output]:
        """Start the reservations of each request that is first for its budgets."""
        outputs: list[Output] = []
        claimed: set[BudgetName] = set()
        for key, permit in list(self._queue.items()):
            if key not in self._queue:
                continue
            first = claimed.isdisjoint(permit.budgets)
            claimed.update(permit.budgets)
            idle = not permit.waiting_for and not permit.debits
            if first and idle and now_s >= permit.retry_at_s:
                outputs += self._start(permit, now_s)
                if key not in self._queue:
                    claimed.difference_update(permit.budgets)
        return outputs

    def _start(self, permit: _Permit, now_s: float) -> list[Output]:
        permit.denied = permit.is_withheld = False
        permit.waiting_for = set(permit.budgets)
        if not permit.budgets:
            return self._complete(permit, now_s)
        outputs: list[Output] = []
        for budget in permit.budgets:
            self._counter += 1
            token = f"{TOKEN_PREFIX}{self._counter}"
            self._tokens[token] = (permit, budget)
            outputs += self._quota.reserve(token, budget, 1, now_s)
        return self._handle_results(outputs, now_s)

    def _handle_results(self, outputs: Iterable[Output], now_s: float) -> list[Output]:
        other_outputs: list[Output] = []
        for output in outputs:
            expected = (
                isinstance(output, Granted | Denied) and output.token in self._tokens
            )
            if not expected:
                other_outputs.append(output)
                continue
            permit, budget = self._tokens.pop(output.token)
            other_outputs += self._on_result(permit, budget, output, now_s)
        return other_outputs

    def _on_result(
        self,
        permit: _Permit,
        budget: BudgetName,
        output: Granted | Denied,
        now_s: float,
    ) -> list[Output]:
        key = (permit.sidecar, permit.permit_id)
        if self._queue.get(key) is not permit:
            if isinstance(output, Granted):
                return self._handle_results(
                    self._quota.cancel(output.debit, now_s), now_s
                )
            return []
        permit.waiting_for.discard(budget)
        if isinstance(output, Granted):
            permit.debits.append(output.debit)
        else:
            permit.denied = True
            is_withheld = budget in COUNT_BUDGETS and bool(self._lost_since_s)
            permit.is_withheld = permit.is_withheld or is_withheld
            wait_s = output.refusal.retry_after_s or MAX_RETRY_S
            wait_s = min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
            permit.retry_at_s = now_s + wait_s
        if permit.waiting_for:
            return []
        return self._complete(permit, now_s)

    def _complete(self, permit: _Permit, now_s: float) -> list[Output]:
        key = (permit.sidecar, permit.permit_id)
        if permit.denied:
            outputs = self._return_debits(permit, now_s)
            if permit.is_withheld:
                notice = PermitGrant(permit.permit_id, False, is_withheld=True)
                outputs.append(Send(permit.sidecar, notice))
            return outputs
        del self._queue[key]
        self._granted[key] = permit
        # A rate budget is charged at the grant: the sidecar uses the permit at once.
        for debit in permit.debits:
            self._quota.confirm_start(debit, now_s)
        return [Send(permit.sidecar, PermitGrant(permit.permit_id, True))]

    def _return_debits(self, permit: _Permit, now_s: float) -> list[Output]:
        debits, permit.debits = permit.debits, []
        outputs: list[Output] = []
        for debit in debits:
            outputs += self._quota.cancel(debit, now_s)
        return self._handle_results(outputs, now_s)

    def _release(self, key: _Key, now_s: float) -> list[Output]:
        permit = self._granted.pop(key, None)
        if permit is None:
            return []
        self._record_ended(key)
        outputs: list[Output] = []
        for debit in permit.debits:
            outputs += self._quota.settle(debit, 1, now_s)
        return self._handle_results(outputs, now_s)

    def _record_ended(self, key: _Key) -> None:
        self._ended[key] = None
        while len(self._ended) > MAX_ENDED_IDS:
            self._ended.popitem(last=False)


def make_permits(
    quota: Quota,
    max_queue_s: float = MAX_QUEUE_S,
    settle_s: float = PERMIT_SETTLE_S,
) -> Permits:
    """Return the permit queue of one entry.

    Parameters
    ----------
    quota : Quota
        Ledger whose budgets the permits use.
    max_queue_s, settle_s : float
        See :class:`Permits`.

    Returns
    -------
    Permits

    Examples
    --------
    >>> from chervilgw.core.ids import VmId
    >>> from chervilgw.quota.ledger import make_quota
    >>> permits = make_permits(make_quota(Incarnation(VmId("e1"), 1)))
    >>> sidecar = Incarnation(VmId("b1"), 1)
    >>> request = PermitRequest("p1", (BudgetName("loads"),))
    >>> permits.on_request(sidecar, request, now_s=0.0)
    []
    >>> permits.queued
    1
    """
    return Permits(quota, max_queue_s, settle_s)
