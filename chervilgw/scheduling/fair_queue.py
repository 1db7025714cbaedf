"""Start-time fair queueing of requests per customer within urgency classes.

Each customer of a class has a start tag, the normalised service (tokens / weight) that
it has received in virtual time; the backlogged customer with the lowest tag is served
next. Between classes the more urgent one goes first, but each less urgent class earns
credit for a fraction of the tokens served while it waits. Within a customer the
earliest deadline goes first, so that a request that is repeated after a server was lost
does not wait behind newer ones.
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
from chervilgw.scheduling.stream_budget import StreamNeeds

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0
# A request without a deadline is ordered as if it were due after this time, so that
# newer requests with deadlines cannot starve it.
DEFAULT_DUE_S = 10.0


@dataclass(frozen=True, slots=True)
class QueuedItem:
    """One waiting request; ``tokens`` is prompt plus maximum completion.

    A request that starts after ``late_after_s`` is served late, and one that could only
    start after ``deadline_s`` is not served. ``stream`` is None if the request states
    neither a pause nor a deadline of its stream.
    """

    request_id: RequestId
    customer: CustomerId
    target: str
    tokens: int
    urgency: Urgency = Urgency.STANDARD
    deadline_s: float | None = None
    late_after_s: float | None = None
    stream: StreamNeeds | None = None

    def is_late(self, now_s: float) -> bool:
        """Return whether the request would be late if it started now."""
        return self.late_after_s is not None and now_s > self.late_after_s

    def yields(self, now_s: float) -> bool:
        """Return whether the requests of other customers that are in time go first."""
        return self.stream is not None and self.is_late(now_s)


RunCheck = Callable[[QueuedItem], bool]
_Heads = Mapping[Urgency, tuple[CustomerId, QueuedItem] | None]


@dataclass(frozen=True, slots=True)
class QueueLimits:
    """Bounds and weights of a queue.

    ``min_class_fractions`` maps a less urgent class to the fraction of the served
    tokens that it gets while it waits.
    ``wait_factor`` and ``service_factor`` multiply the estimates of the wait and of the
    time in service before they are compared with a deadline; values below 1 make
    refusals rarer, as a wrongful refusal costs more than a late answer.
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
    # Sorted tuples of due time, arrival number and item.
    order: list[tuple[float, int, QueuedItem]] = field(default_factory=list)
    keys: dict[RequestId, tuple[float, int]] = field(default_factory=dict)
    queued_tokens: int = 0

    def items(self) -> Iterator[QueuedItem]:
        return (entry[2] for entry in self.order)

    def add(self, item: QueuedItem, due_s: float, number: int) -> None:
        insort(self.order, (due_s, number, item))
        self.keys[item.request_id] = (due_s, number)
        self.queued_tokens += item.tokens

    def remove(self, request_id: RequestId) -> QueuedItem:
        _, _, item = self.order.pop(bisect_left(self.order, self.keys.pop(request_id)))
        self.queued_tokens -= item.tokens
        return item

    def tokens_before(self, due_s: float) -> int:
        """Return the tokens of requests that go before a new one due at that time."""
        position = bisect_left(self.order, (due_s, float("inf")))
        if 2 * position <= len(self.order):
            return sum(entry[2].tokens for entry in self.order[:position])
        return self.queued_tokens - sum(e[2].tokens for e in self.order[position:])


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
        self._waiting: dict[RequestId, QueuedItem] = {}
        self._started: dict[RequestId, tuple[QueuedItem, float]] = {}
        self._customer_tokens: dict[CustomerId, int] = {}
        self._total_tokens = 0
        self._arrivals = count()
        self._rate = ServiceRate()

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def total_tokens(self) -> int:
        """Return the tokens waiting."""
        return self._total_tokens

    def waiting(self) -> tuple[QueuedItem, ...]:
        """Return the waiting requests in the order of their arrival."""
        return tuple(self._waiting.values())

    def tokens_by_target(self) -> dict[str, int]:
        """Return the tokens waiting for each model, for the load report."""
        sums: dict[str, int] = {}
        for item in self._waiting.values():
            sums[item.target] = sums.get(item.target, 0) + item.tokens
        return sums

    def push(self, item: QueuedItem, now_s: float) -> Result[None, Refusal]:
        """Add a request, or refuse it if it does not fit or cannot end in time."""
        if item.request_id in self._waiting or item.request_id in self._started:
            text = "a request with this id is already queued or running"
            return Failure(make_refusal(RefusalReason.DUPLICATE_REQUEST, text))
        customer_tokens = self._customer_tokens.get(item.customer, 0) + item.tokens
        # A customer may hold no more than the free capacity, so that no customer fills
        # the queue alone.
        free_tokens = self._limits.total_tokens - self._total_tokens
        excess = customer_tokens - min(self._limits.customer_tokens, free_tokens)
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
        self._rate.record_saturated(now_s)
        return Success(None)

    def peek(self, now_s: float, can_run: RunCheck) -> QueuedItem | None:
        """Return the request that :meth:`pop` would remove, or None."""
        heads = self._heads(now_s, can_run)
        urgency = self._select_class(heads, now_s)
        return None if urgency is None else heads[urgency][1]

    def pop(
        self, now_s: float, can_run: RunCheck, fits: RunCheck | None = None
    ) -> QueuedItem | None:
        """Remove and return the next request that can run, or None.

        The tag of a customer none of whose requests can run advances meanwhile, so that
        it does not displace the others once its model is loaded. A customer whose
        request merely does not fit yet keeps its tag.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        can_run : callable
            Whether the backend server holds what a request needs.
        fits : callable or None
            Whether a request fits now; None if every request fits.
        """
        runnable = heads = self._heads(now_s, can_run)
        if fits is not None:
            heads = self._heads(now_s, lambda item: fits(item) and can_run(item))
        urgency = self._select_class(heads, now_s)
        if urgency is None:
            if self._select_class(runnable, now_s) is None:
                self._rate.record_idle()
            return None
        customer, item = heads[urgency]
        chosen = self._classes[urgency]
        flow = chosen.flows[customer]
        chosen.virtual = max(chosen.virtual, flow.tag)
        self._remove(item)
        flow.tag += item.tokens / flow.weight
        self._earn_credit(urgency, runnable, item.tokens)
        self._advance_blocked(chosen, can_run)
        self._started[item.request_id] = (item, now_s)
        if not self._waiting:
            self._rate.record_idle()
        return item

    def settle(self, item: QueuedItem, used_tokens: int, now_s: float) -> None:
        """Record a finished request and refund the tokens that it did not use."""
        started = self._started.pop(item.request_id, None)
        if started is None:
            return
        flow = self._classes[item.urgency].flows.get(item.customer)
        if flow is not None:
            flow.tag += (used_tokens - item.tokens) / flow.weight
        self._rate.record_finished(item.tokens, used_tokens, started[1], now_s)
        self._drop_idle_flow(item)

    def remove(self, request_id: RequestId) -> QueuedItem | None:
        """Remove and return a waiting request, or None if it is not waiting."""
        item = self._waiting.get(request_id)
        return None if item is None else self._remove(item)

    def expire(self, now_s: float) -> list[QueuedItem]:
        """Remove and return requests that would miss their deadline if started now."""
        late = [i for i in self._waiting.values() if self._lateness_s(i, now_s) > 0.0]
        return [self._remove(item) for item in late]

    def _add(self, item: QueuedItem, due_s: float) -> None:
        queue_class = self._classes[item.urgency]
        flow = queue_class.flows.get(item.customer)
        if flow is None:
            weight = self._limits.weights.get(item.customer, 1.0)
            flow = queue_class.flows[item.customer] = _Flow(weight, queue_class.virtual)
        if not flow.order:
            flow.tag = max(flow.tag, queue_class.virtual)
        flow.add(item, due_s, next(self._arrivals))
        self._waiting[item.request_id] = item
        tokens = self._customer_tokens.get(item.customer, 0)
        self._customer_tokens[item.customer] = tokens + item.tokens
        self._total_tokens += item.tokens

    def _remove(self, item: QueuedItem) -> QueuedItem:
        del self._waiting[item.request_id]
        self._classes[item.urgency].flows[item.customer].remove(item.request_id)
        self._total_tokens -= item.tokens
        # A request whose prompt is cached has no tokens to read, so that others of the
        # customer may wait while its sum is 0 and not kept.
        tokens = self._customer_tokens.pop(item.customer, 0) - item.tokens
        if tokens:
            self._customer_tokens[item.customer] = tokens
        return item

    def _drop_idle_flow(self, item: QueuedItem) -> None:
        """Drop the flow of a customer whose tag is not ahead of the virtual time."""
        queue_class = self._classes[item.urgency]
        flow = queue_class.flows.get(item.customer)
        if flow is not None and not flow.order and flow.tag <= queue_class.virtual:
            del queue_class.flows[item.customer]

    def _heads(self, now_s: float, can_run: RunCheck) -> _Heads:
        return {u: self._head(c, can_run, now_s) for u, c in self._classes.items()}

    def _head(
        self, queue_class: _Class, can_run: RunCheck, now_s: float
    ) -> tuple[CustomerId, QueuedItem] | None:
        """Return the next request of a class that can run, or None.

        Requests of a customer that are already late come after those that are not: in
        an overload every request would otherwise wait until it is late. Those that
        yield come after the ones in time of all customers.
        """
        ordered = sorted(
            queue_class.flows.items(), key=lambda pair: (pair[1].tag, pair[0])
        )
        yielding = None
        for customer, flow in ordered:
            late = None
            for item in flow.items():
                if not can_run(item):
                    continue
                if not item.is_late(now_s):
                    return customer, item
                late = late or item
            if late is not None and not late.yields(now_s):
                return customer, late
            if late is not None:
                yielding = yielding or (customer, late)
        return yielding

    def _select_class(self, heads: _Heads, now_s: float) -> Urgency | None:
        waiting = [urgency for urgency in sorted(heads) if heads[urgency] is not None]
        for urgency in waiting[1:]:
            if self._classes[urgency].credit >= heads[urgency][1].tokens:
                return urgency
        in_time = [
            urgency for urgency in waiting if not heads[urgency][1].yields(now_s)
        ]
        return next(iter(in_time or waiting), None)

    def _earn_credit(self, served: Urgency, heads: _Heads, tokens: int) -> None:
        for urgency, fraction in self._limits.min_class_fractions.items():
            queue_class = self._classes[urgency]
            if heads[urgency] is None:
                queue_class.credit = 0.0
            elif urgency is served:
                queue_class.credit = max(0.0, queue_class.credit - tokens)
            else:
                queue_class.credit += fraction * tokens

    def _advance_blocked(self, queue_class: _Class, can_run: RunCheck) -> None:
        for flow in queue_class.flows.values():
            if flow.tag < queue_class.virtual and not any(
                can_run(item) for item in flow.items()
            ):
                flow.tag = queue_class.virtual

    def _expected_wait_s(self, item: QueuedItem, due_s: float) -> float:
        queue_class = self._classes[item.urgency]
        flow = queue_class.flows.get(item.customer)
        weight = self._limits.weights.get(item.customer, 1.0)
        tag = max(queue_class.virtual, flow.tag) if flow else queue_class.virtual
        customer_tokens = flow.tokens_before(due_s) if flow else 0
        start_tag = tag + customer_tokens / weight
        ahead = float(customer_tokens)
        for customer, other in queue_class.flows.items():
            if customer != item.customer:
                served_before = max(0.0, start_tag - other.tag) * other.weight
                ahead += min(other.queued_tokens, served_before)
        urgent = sum(
            self._classes[urgency].queued_tokens()
            for urgency in Urgency
            if urgency < item.urgency
        )
        fraction = self._limits.min_class_fractions.get(item.urgency, 0.0)
        total = ahead + urgent
        if fraction > 0.0:
            total = min(total, (ahead + item.tokens) / fraction)
        return self._rate.queue_s(total)

    def _lateness_s(self, item: QueuedItem, start_s: float) -> float:
        if item.deadline_s is None:
            return 0.0
        service_s = self._limits.service_factor * self._rate.service_s(item.tokens)
        return start_s + service_s - item.deadline_s

    @staticmethod
    def _clamp(wait_s: float) -> float:
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))


def _due_s(item: QueuedItem, now_s: float) -> float:
    return now_s + DEFAULT_DUE_S if item.deadline_s is None else item.deadline_s


def make_fair_queue(limits: QueueLimits) -> FairQueue:
    """Return an empty queue.

    Parameters
    ----------
    limits : QueueLimits
        Bounds, weights and class fractions.

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
