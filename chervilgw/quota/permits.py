"""Permits over several budgets at once, such as one load of weights from the store.

The entry keeps one queue of requests from sidecars. A permit is granted when every
budget it names has granted one use; a request that waits for one of several budgets
returns the others meanwhile, so that two requests cannot block each other.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from chervilgw.core.ids import BudgetName, Incarnation
from chervilgw.core.messages import PermitGrant, PermitRelease, PermitRequest
from chervilgw.quota.ledger import PERMIT_SETTLE_S, Quota
from chervilgw.quota.records import Debit, Denied, Granted, Output, Send

TOKEN_PREFIX = "permit/"
MAX_QUEUE_S = 30.0
RETRY_SHORTEST_S = 0.05
RETRY_LONGEST_S = 1.0
# Ids of ended permits, kept so that a late copy of a request takes no new permit.
REMEMBERED_ENDED = 4096


@dataclass(slots=True)
class _Entry:
    sidecar: Incarnation
    permit_id: str
    budgets: tuple[BudgetName, ...]
    deadline_s: float
    retry_at_s: float = float("-inf")
    waiting_for: set[BudgetName] = field(default_factory=set)
    debits: list[Debit] = field(default_factory=list)
    denied: bool = False


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
        Time from a sidecar's being gone to the release of its permits: loads that it
        started may still be running at the store.
    """

    def __init__(self, quota: Quota, max_queue_s: float, settle_s: float) -> None:
        self._quota = quota
        self._max_queue_s = max_queue_s
        self._settle_s = settle_s
        self._queue: OrderedDict[_Key, _Entry] = OrderedDict()
        self._granted: dict[_Key, _Entry] = {}
        self._ended: OrderedDict[_Key, None] = OrderedDict()
        self._gone_since_s: dict[Incarnation, float] = {}
        self._tokens: dict[str, tuple[_Entry, BudgetName]] = {}
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
        """Queue a request, or repeat the answer to a repeated one."""
        key = (sidecar, message.permit_id)
        if key in self._granted:
            return [Send(sidecar, PermitGrant(message.permit_id, True))]
        if key in self._ended or key in self._queue:
            return []
        budgets = tuple(sorted(set(message.budgets)))
        deadline_s = now_s + self._max_queue_s
        self._queue[key] = _Entry(sidecar, message.permit_id, budgets, deadline_s)
        return self._advance(now_s)

    def on_release(
        self, sidecar: Incarnation, message: PermitRelease, now_s: float
    ) -> list[Output]:
        """End a permit, or withdraw a request that still waits."""
        key = (sidecar, message.permit_id)
        self._remember(key)
        entry = self._queue.pop(key, None)
        outputs = self._return(entry, now_s) if entry else []
        return outputs + self._release(key, now_s) + self._advance(now_s)

    def set_gone(self, incarnations: Iterable[Incarnation], now_s: float) -> None:
        """Set the sidecars whose VM is gone or has a later incarnation."""
        self._gone_since_s = {
            each: self._gone_since_s.get(each, now_s) for each in incarnations
        }

    def filter(self, outputs: Iterable[Output], now_s: float) -> list[Output]:
        """Take the results of this queue's reservations out of a ledger's outputs.

        Parameters
        ----------
        outputs : iterable of Output
            Outputs of any call of the ledger.
        now_s : float
            Monotonic time.

        Returns
        -------
        list of Output
            The other outputs, and those that follow from the results taken out.
        """
        rest = self._absorb(outputs, now_s)
        return rest + self._advance(now_s)

    def tick(self, now_s: float) -> list[Output]:
        """Release permits of gone sidecars, end requests that waited too long."""
        outputs: list[Output] = []
        for key, entry in list(self._queue.items()):
            if entry.sidecar in self._gone_since_s:
                del self._queue[key]
                outputs += self._return(entry, now_s)
            elif now_s >= entry.deadline_s:
                del self._queue[key]
                outputs += self._return(entry, now_s)
                refused = PermitGrant(entry.permit_id, False, RETRY_LONGEST_S)
                outputs.append(Send(entry.sidecar, refused))
        for key, entry in list(self._granted.items()):
            gone_s = self._gone_since_s.get(entry.sidecar)
            if gone_s is not None and now_s >= gone_s + self._settle_s:
                outputs += self._release(key, now_s)
        return outputs + self._advance(now_s)

    def _advance(self, now_s: float) -> list[Output]:
        """Start the reservations of each request that is first for its budgets."""
        outputs: list[Output] = []
        taken: set[BudgetName] = set()
        for key, entry in list(self._queue.items()):
            if key not in self._queue:
                continue
            first = taken.isdisjoint(entry.budgets)
            taken.update(entry.budgets)
            idle = not entry.waiting_for and not entry.debits
            if first and idle and now_s >= entry.retry_at_s:
                outputs += self._start(entry, now_s)
                if key not in self._queue:
                    taken.difference_update(entry.budgets)
        return outputs

    def _start(self, entry: _Entry, now_s: float) -> list[Output]:
        entry.denied = False
        entry.waiting_for = set(entry.budgets)
        if not entry.budgets:
            return self._complete(entry, now_s)
        outputs: list[Output] = []
        for budget in entry.budgets:
            self._counter += 1
            token = f"{TOKEN_PREFIX}{self._counter}"
            self._tokens[token] = (entry, budget)
            outputs += self._quota.reserve(token, budget, 1, now_s)
        return self._absorb(outputs, now_s)

    def _absorb(self, outputs: Iterable[Output], now_s: float) -> list[Output]:
        rest: list[Output] = []
        for output in outputs:
            known = (
                isinstance(output, Granted | Denied) and output.token in self._tokens
            )
            if not known:
                rest.append(output)
                continue
            entry, budget = self._tokens.pop(output.token)
            rest += self._result(entry, budget, output, now_s)
        return rest

    def _result(
        self, entry: _Entry, budget: BudgetName, output: Granted | Denied, now_s: float
    ) -> list[Output]:
        key = (entry.sidecar, entry.permit_id)
        if self._queue.get(key) is not entry:
            if isinstance(output, Granted):
                return self._absorb(self._quota.cancel(output.debit, now_s), now_s)
            return []
        entry.waiting_for.discard(budget)
        if isinstance(output, Granted):
            entry.debits.append(output.debit)
        else:
            entry.denied = True
            wait_s = output.refusal.retry_after_s or RETRY_LONGEST_S
            wait_s = min(RETRY_LONGEST_S, max(RETRY_SHORTEST_S, wait_s))
            entry.retry_at_s = now_s + wait_s
        if entry.waiting_for:
            return []
        return self._complete(entry, now_s)

    def _complete(self, entry: _Entry, now_s: float) -> list[Output]:
        key = (entry.sidecar, entry.permit_id)
        if entry.denied:
            return self._return(entry, now_s)
        del self._queue[key]
        self._granted[key] = entry
        # A rate budget is charged at the grant: the sidecar uses the permit at once.
        for debit in entry.debits:
            self._quota.confirm_start(debit, now_s)
        return [Send(entry.sidecar, PermitGrant(entry.permit_id, True))]

    def _return(self, entry: _Entry, now_s: float) -> list[Output]:
        debits, entry.debits = entry.debits, []
        outputs: list[Output] = []
        for debit in debits:
            outputs += self._quota.cancel(debit, now_s)
        return self._absorb(outputs, now_s)

    def _release(self, key: _Key, now_s: float) -> list[Output]:
        entry = self._granted.pop(key, None)
        if entry is None:
            return []
        self._remember(key)
        outputs: list[Output] = []
        for debit in entry.debits:
            outputs += self._quota.settle(debit, 1, now_s)
        return self._absorb(outputs, now_s)

    def _remember(self, key: _Key) -> None:
        self._ended[key] = None
        while len(self._ended) > REMEMBERED_ENDED:
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
