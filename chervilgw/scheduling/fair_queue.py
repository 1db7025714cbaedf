"""Start-time fair queueing of requests per customer within urgency classes.

Each customer of a class has a start tag, the normalised service (tokens / weight) that
it has received in virtual time; the backlogged customer with the lowest tag is served
next. Between classes the more urgent one goes first, but each lower class earns a share
of the tokens served while it waits. Within a customer the earliest deadline goes first,
so that a request sent again after a server was lost does not wait behind newer ones.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import count

from returns.result import Failure, Result, Success

from chervilgw.core.ids import CustomerId, RequestId
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason, Urgency
from chervilgw.scheduling.service_rate import ServiceRate

MIN_RETRY_S = 0.1
MAX_RETRY_S = 60.0
# A request without a deadline takes its customer's turn as if it were due after this
# time, so that newer requests with deadlines cannot hold it back for ever.
NO_DEADLINE_S = 10.0


@dataclass(frozen=True, slots=True)
class QueuedItem:
    """One waiting request; ``tokens`` is prompt plus maximum completion.

    A request that starts after ``late_after_s`` is served late, and one that could only
    start after ``deadline_s`` is not served.
    """

    request_id: RequestId
    customer: CustomerId
    target: str
    tokens: int
    urgency: Urgency = Urgency.STANDARD
    deadline_s: float | None = None
    late_after_s: float | None = None

    def is_late(self, now_s: float) -> bool:
        """Return whether the request would be late if it started now."""
        return self.late_after_s is not None and now_s > self.late_after_s


RunCheck = Callable[[QueuedItem], bool]
_Heads = Mapping[Urgency, tuple[CustomerId, QueuedItem] | None]


@dataclass(frozen=True, slots=True)
class QueueLimits:
    """Bounds and weights of a queue.

    ``min_class_fractions`` maps a less urgent class to the fraction of the served
    tokens that it gets while it waits.
    ``wait_factor`` and ``service_factor`` multiply the estimates of the wait and of the
    time in service before they are compared with a deadline; below 1 they make refusals
    rarer, as a wrongful refusal costs more than a late answer.
    """

    customer_tokens: int
    total_tokens: int
    weights: Mapping[CustomerId, float] = field(default_factory=dict)
    min_class_fractions: Mapping[Urgency, float] = field(
        default_factory=lambda: {Urgency.STANDARD: 0.05, Urgency.OVERNIGHT: 0.05}
    )
    wait_factor: float = 0.25
    service_factor: float = 0.25


@dataclass(slots=True)
class _Flow:
    weight: float
    tag: float
    # Entries (due time, number of arrival, item), sorted.
    order: list[tuple[float, int, QueuedItem]] = field(default_factory=list)
    keys: dict[RequestId, tuple[float, int]] = field(default_factory=dict)
    queued_tokens: int = 0

    def items(self) -> Iterator[QueuedItem]:
        return (entry[2] for entry in self.order)

    def add(self, item: QueuedItem, due_s: float, number: int) -> None:
        insort(self.order, (due_s, number, item))
        self.keys[item.request_id] = (due_s, number)
        self.queued_tokens += item.tokens

    def take(self, request_id: RequestId) -> QueuedItem:
        _, _, item = self.order.pop(bisect_left(self.order, self.keys.pop(request_id)))
        self.queued_tokens -= item.tokens
        return item

    def tokens_before(self, due_s: float) -> int:
        """Return the tokens of requests that go before a new one due at that time."""
        place = bisect_left(self.order, (due_s, float("inf")))
        if 2 * place <= len(self.order):
            return sum(entry[2].tokens for entry in self.order[:place])
        return self.queued_tokens - sum(e[2].tokens for e in self.order[place:])


@dataclass(slots=True)
class _Class:
    virtual: float = 0.0
    credit: float = 0.0
    flows: dict[CustomerId, _Flow] = field(default_factory=dict)

    def queued_tokens(self) -> int:
        return sum(flow.queued_tokens for flow in self.flows.values())


class FairQueue:
    """Waiting requests of one backend server; see :func:`make_fair_queue`."""

    def __init__(self, limits: QueueLimits):
        self._limits = limits
        self._classes = {urgency: _Class() for urgency in Urgency}
        self._where: dict[RequestId, QueuedItem] = {}
        self._started: dict[RequestId, tuple[QueuedItem, float]] = {}
        self._customer_tokens: dict[CustomerId, int] = {}
        self._total_tokens = 0
        self._numbers = count()
        self._rate = ServiceRate()

    def __len__(self) -> int:
        return len(self._where)

    @property
    def total_tokens(self) -> int:
        """Return the tokens waiting."""
        return self._total_tokens

    def waiting(self) -> tuple[QueuedItem, ...]:
        """Return the waiting requests in the order of their arrival."""
        return tuple(self._where.values())

    def tokens_by_target(self) -> dict[str, int]:
        """Return the tokens waiting for each model, for the load report."""
        sums: dict[str, int] = {}
        for item in self._where.values():
            sums[item.target] = sums.get(item.target, 0) + item.tokens
        return sums

    def push(self, item: QueuedItem, now_s: float) -> Result[None, Refusal]:
        """Add a request, or refuse it when it would not fit or not end in time."""
        if item.request_id in self._where or item.request_id in self._started:
            text = "a request with this id is already queued or running"
            return Failure(make_refusal(RefusalReason.DUPLICATE_REQUEST, text))
        mine = self._customer_tokens.get(item.customer, 0) + item.tokens
        # A customer may hold no more than what is left for the others, so that none
        # fills the queue alone.
        room = self._limits.total_tokens - self._total_tokens
        excess = mine - min(self._limits.customer_tokens, room)
        if excess > 0:
            text = "too many tokens of this customer are waiting on the backend server"
            wait_s = self._clamp(self._rate.queue_s(excess))
            return Failure(make_refusal(RefusalReason.QUEUE_FULL, text, wait_s))
        due_s = _due_s(item, now_s)
        start_s = now_s + self._limits.wait_factor * self._expected_wait_s(item, due_s)
        late_s = self._lateness_s(item, start_s)
        if late_s > 0.0:
            text = "the expected end of the request is after its deadline"
            return Failure(
                make_refusal(
                    RefusalReason.DEADLINE_UNREACHABLE, text, self._clamp(late_s)
                )
            )
        self._add(item, due_s)
        self._rate.saturated(now_s)
        return Success(None)

    def peek(self, now_s: float, can_run: RunCheck) -> QueuedItem | None:
        """Return the request that :meth:`pop` would take, or None."""
        heads = self._heads(now_s, can_run)
        urgency = self._select_class(heads)
        return None if urgency is None else heads[urgency][1]

    def pop(
        self, now_s: float, can_run: RunCheck, fits: RunCheck | None = None
    ) -> QueuedItem | None:
        """Take the next request that can run, or None.

        A customer none of whose requests can run earns no credit meanwhile, so that it
        does not displace the others once its model is loaded. One whose request only
        does not fit yet keeps its place.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        can_run : callable
            Whether the backend server holds what a request needs.
        fits : callable or None
            Whether there is room for a request now; None if there is for each.
        """
        runnable = heads = self._heads(now_s, can_run)
        if fits is not None:
            heads = self._heads(now_s, lambda item: fits(item) and can_run(item))
        urgency = self._select_class(heads)
        if urgency is None:
            if self._select_class(runnable) is None:
                self._rate.idle()
            return None
        customer, item = heads[urgency]
        chosen = self._classes[urgency]
        flow = chosen.flows[customer]
        chosen.virtual = max(chosen.virtual, flow.tag)
        self._take(item)
        flow.tag += item.tokens / flow.weight
        self._earn_credit(urgency, runnable, item.tokens)
        self._hold_back_blocked(chosen, can_run)
        self._started[item.request_id] = (item, now_s)
        if not self._where:
            self._rate.idle()
        return item

    def settle(self, item: QueuedItem, used_tokens: int, now_s: float) -> None:
        """Count a finished request and give its customer back what it did not use."""
        started = self._started.pop(item.request_id, None)
        if started is None:
            return
        flow = self._classes[item.urgency].flows.get(item.customer)
        if flow is not None:
            flow.tag += (used_tokens - item.tokens) / flow.weight
        self._rate.finished(item.tokens, used_tokens, started[1], now_s)
        self._forget_idle(item)

    def remove(self, request_id: RequestId) -> QueuedItem | None:
        """Take out a waiting request whose caller is gone; None if it is not here."""
        item = self._where.get(request_id)
        return None if item is None else self._take(item)

    def expire(self, now_s: float) -> list[QueuedItem]:
        """Take out requests that could not end in time if they started now."""
        late = [i for i in self._where.values() if self._lateness_s(i, now_s) > 0.0]
        return [self._take(item) for item in late]

    def _add(self, item: QueuedItem, due_s: float) -> None:
        urgency = self._classes[item.urgency]
        flow = urgency.flows.get(item.customer)
        if flow is None:
            weight = self._limits.weights.get(item.customer, 1.0)
            flow = urgency.flows[item.customer] = _Flow(weight, urgency.virtual)
        if not flow.order:
            flow.tag = max(flow.tag, urgency.virtual)
        flow.add(item, due_s, next(self._numbers))
        self._where[item.request_id] = item
        tokens = self._customer_tokens.get(item.customer, 0)
        self._customer_tokens[item.customer] = tokens + item.tokens
        self._total_tokens += item.tokens

    def _take(self, item: QueuedItem) -> QueuedItem:
        del self._where[item.request_id]
        self._classes[item.urgency].flows[item.customer].take(item.request_id)
        self._total_tokens -= item.tokens
        self._customer_tokens[item.customer] -= item.tokens
        if not self._customer_tokens[item.customer]:
            del self._customer_tokens[item.customer]
        return item

    def _forget_idle(self, item: QueuedItem) -> None:
        """Drop the tag of a customer that owes nothing; it would start afresh."""
        urgency = self._classes[item.urgency]
        flow = urgency.flows.get(item.customer)
        if flow is not None and not flow.order and flow.tag <= urgency.virtual:
            del urgency.flows[item.customer]

    def _heads(self, now_s: float, can_run: RunCheck) -> _Heads:
        return {u: self._head(c, can_run, now_s) for u, c in self._classes.items()}

    def _head(
        self, urgency: _Class, can_run: RunCheck, now_s: float
    ) -> tuple[CustomerId, QueuedItem] | None:
        """Return the next request of a class that can run, or None.

        A request that is late already gives way to those of its customer that are not:
        in an overload all would otherwise wait until they are late.
        """
        ordered = sorted(urgency.flows.items(), key=lambda pair: (pair[1].tag, pair[0]))
        for customer, flow in ordered:
            late = None
            for item in flow.items():
                if not can_run(item):
                    continue
                if not item.is_late(now_s):
                    return customer, item
                late = late or item
            if late is not None:
                return customer, late
        return None

    def _select_class(self, heads: _Heads) -> Urgency | None:
        waiting = [urgency for urgency in sorted(heads) if heads[urgency] is not None]
        for urgency in waiting[1:]:
            if self._classes[urgency].credit >= heads[urgency][1].tokens:
                return urgency
        return waiting[0] if waiting else None

    def _earn_credit(self, served: Urgency, heads: _Heads, tokens: int) -> None:
        for urgency, share in self._limits.min_class_fractions.items():
            other = self._classes[urgency]
            if heads[urgency] is None:
                other.credit = 0.0
            elif urgency is served:
                other.credit = max(0.0, other.credit - tokens)
            else:
                other.credit += share * tokens

    def _hold_back_blocked(self, urgency: _Class, can_run: RunCheck) -> None:
        for flow in urgency.flows.values():
            if flow.tag < urgency.virtual and not any(
                can_run(item) for item in flow.items()
            ):
                flow.tag = urgency.virtual

    def _expected_wait_s(self, item: QueuedItem, due_s: float) -> float:
        own = self._classes[item.urgency]
        flow = own.flows.get(item.customer)
        weight = self._limits.weights.get(item.customer, 1.0)
        tag = max(own.virtual, flow.tag) if flow else own.virtual
        mine = flow.tokens_before(due_s) if flow else 0
        start_tag = tag + mine / weight
        ahead = float(mine)
        for customer, other in own.flows.items():
            if customer != item.customer:
                share = max(0.0, start_tag - other.tag) * other.weight
                ahead += min(other.queued_tokens, share)
        urgent = sum(
            self._classes[urgency].queued_tokens()
            for urgency in Urgency
            if urgency < item.urgency
        )
        share = self._limits.min_class_fractions.get(item.urgency, 0.0)
        total = ahead + urgent
        if share > 0.0:
            total = min(total, (ahead + item.tokens) / share)
        return self._rate.queue_s(total)

    def _lateness_s(self, item: QueuedItem, start_s: float) -> float:
        if item.deadline_s is None:
            return 0.0
        service_s = self._limits.service_factor * self._rate.service_s(item.tokens)
        return start_s + service_s - item.deadline_s

    @staticmethod
    def _clamp(wait_s: float) -> float:
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))


def _due_s(item: QueuedItem, now_s: float) -> float:
    return now_s + NO_DEADLINE_S if item.deadline_s is None else item.deadline_s


def make_fair_queue(limits: QueueLimits) -> FairQueue:
    """Return an empty queue.

    Parameters
    ----------
    limits : QueueLimits
        Bounds, weights and guaranteed shares.

    Returns
    -------
    FairQueue

    Examples
    --------
    >>> from chervilgw.core.ids import Incarnation, VmId
    >>> entry = Incarnation(VmId("entry-1"), 1)
    >>> queue = make_fair_queue(QueueLimits(customer_tokens=1000, total_tokens=4000))
    >>> for number, customer in enumerate("aaab"):
    ...     item = QueuedItem(RequestId(entry, number), CustomerId(customer), "m", 100)
    ...     _ = queue.push(item, now_s=0.0)
    >>> [queue.pop(0.0, lambda item: True).customer for _ in range(4)]
    ['a', 'b', 'a', 'a']
    """
    return FairQueue(limits)
