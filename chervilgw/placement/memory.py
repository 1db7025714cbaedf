"""Accelerator memory ledger of one engine.

Memory is reserved for every copy that the engine holds or that an order may still
create. It is released only when the engine confirms the unload, or when a report of the
engine is *final* for the order: no attempt of the order can take effect after it. On an
engine that checks fencing tokens, a report is final for every order with a lower token
than the report's highest; on other engines, once ``settle_s`` has passed between the
last attempt and the request for the report.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from chervilgw.core.ids import ModelName
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import CopyState, RefusalReason
from chervilgw.placement.orders import (
    EngineCopy,
    EngineReport,
    Fence,
    Order,
    OrderAnswer,
    OrderKind,
    ReadState,
)

# Interval between attempts of a lost order, fence or state read. Shorter than the 3 s
# within which a draining server must stop, long enough not to flood a slow engine.
REPEAT_INTERVAL_S = 1.0
# Interval between state reads of an idle engine; bounds how long a change that the
# engine made by itself goes unnoticed.
IDLE_READ_INTERVAL_S = 5.0
# Gap left above a fencing token that a former process may still be raising.
FENCING_TOKEN_GAP = 1 << 20

CopyKey = tuple[ModelName, str]


@dataclass(frozen=True, slots=True)
class ResidentCopy:
    """One copy with reserved memory."""

    name: ModelName
    version: str
    size_bytes: int
    state: CopyState


@dataclass(slots=True)
class _Pending:
    order: Order
    sent_at_s: float
    lost: bool = False
    abandoned: bool = False


@dataclass(slots=True)
class _Copy:
    size_bytes: int
    state: CopyState
    order_id: str
    # Last time at which the engine is known to have held the copy, or None.
    seen_at_s: float | None
    pending: _Pending | None


class MemoryLedger:
    """Reserved memory of one engine; see :func:`make_memory_ledger`."""

    def __init__(
        self,
        capacity_bytes: int,
        fenced: bool,
        settle_s: float,
        first_fencing_token: int,
        now_s: float,
    ):
        self._capacity_bytes = capacity_bytes
        self._fenced = fenced
        self._settle_s = settle_s
        self._fencing_token = first_fencing_token
        self._id_prefix = first_fencing_token
        self._started_s = now_s
        self._ready = False
        self._counter = 0
        self._copies: dict[CopyKey, _Copy] = {}
        self._removed_s: dict[str, float] = {}
        self._report_requested_s = float("-inf")
        self._confirmed_fencing_token = -1
        self._fence_sent_s = float("-inf")
        self._read_sent_s = float("-inf")

    @property
    def ready(self) -> bool:
        """Return whether orders of a former process can no longer take effect."""
        return self._ready

    @property
    def free_bytes(self) -> int:
        """Return the unreserved memory; negative if the engine holds more than fits."""
        return self._capacity_bytes - sum(c.size_bytes for c in self._copies.values())

    def resident(self) -> tuple[ResidentCopy, ...]:
        """Return every reserved copy, in the order in which they were reserved."""
        return tuple(
            ResidentCopy(name, version, copy.size_bytes, copy.state)
            for (name, version), copy in self._copies.items()
        )

    def pending_orders(self) -> frozenset[str]:
        """Return the ids of the orders with an unknown outcome."""
        copies = self._copies.values()
        return frozenset(c.pending.order.order_id for c in copies if c.pending)

    def request_load(
        self, name: ModelName, version: str, size_bytes: int, now_s: float
    ) -> Result[Order, Refusal]:
        """Reserve memory for a copy and return the order to send now."""
        if not self._ready:
            return Failure(self._not_ready(now_s))
        copy = self._copies.get((name, version))
        if copy is not None:
            pending = copy.pending
            if copy.state is CopyState.LOADING and pending and not pending.abandoned:
                return Success(self._attempt(pending, now_s))
            text = f"{name} {version} is {copy.state.value} on this server"
            return Failure(
                make_refusal(RefusalReason.CONFLICT, text, REPEAT_INTERVAL_S)
            )
        if size_bytes > self.free_bytes:
            text = f"{name} needs {size_bytes} bytes and {self.free_bytes} are free"
            return Failure(make_refusal(RefusalReason.NO_ROOM, text, REPEAT_INTERVAL_S))
        order = self._make_order(OrderKind.LOAD, name, version, size_bytes)
        self._copies[(name, version)] = _Copy(
            size_bytes, CopyState.LOADING, order.order_id, None, _Pending(order, now_s)
        )
        return Success(order)

    def request_unload(
        self, name: ModelName, now_s: float, version: str | None = None
    ) -> Result[Order, Refusal]:
        """Return the order that unloads a copy; its memory stays reserved until done.

        Without a version, the oldest loaded copy of the model is unloaded. The load of
        a copy that is still loading is abandoned: it is not repeated, and the refusal's
        ``retry_after_s`` says when its outcome may be known.
        """
        if not self._ready:
            return Failure(self._not_ready(now_s))
        found = [
            (key, copy)
            for key, copy in self._copies.items()
            if key[0] == name and version in (None, key[1])
        ]
        for key, copy in found:
            if copy.state is CopyState.LOADED:
                order = self._make_order(OrderKind.UNLOAD, *key, copy.size_bytes)
                copy.state = CopyState.UNLOADING
                copy.pending = _Pending(order, now_s)
                return Success(order)
        for _, copy in found:
            pending = copy.pending
            if pending and pending.order.kind is OrderKind.LOAD:
                pending.abandoned = True
            elif pending and not pending.abandoned:
                return Success(self._attempt(pending, now_s))
        text = f"no loaded copy of {name} on this server"
        wait_s = self._settle_s if found else None
        return Failure(make_refusal(RefusalReason.MODEL_NOT_LOADED, text, wait_s))

    def on_order_answer(self, order_id: str, answer: OrderAnswer, now_s: float) -> None:
        """Apply the outcome of one attempt of an order."""
        found = self._find_pending(order_id)
        if found is None:
            return
        key, copy, pending = found
        if answer is OrderAnswer.LOST:
            pending.lost = True
        elif answer is OrderAnswer.REFUSED:
            # An attempt refused for its old fencing token does not decide the attempt
            # with the current one.
            if self._fenced and pending.order.fencing_token < self._fencing_token:
                pending.lost = True
            else:
                # Another attempt of the order may still be accepted, so the memory
                # stays reserved until a final report.
                pending.abandoned = True
        elif pending.order.kind is OrderKind.LOAD:
            copy.state, copy.seen_at_s, copy.pending = CopyState.LOADED, now_s, None
        else:
            self._remove(key, now_s)

    def on_engine_state(
        self, report: EngineReport, requested_at_s: float, now_s: float
    ) -> None:
        """Apply the engine's report, unless a later one has been applied."""
        if requested_at_s < self._report_requested_s:
            return
        self._report_requested_s = requested_at_s
        self._confirmed_fencing_token = report.highest_fencing_token
        reported = {(copy.name, copy.version): copy for copy in report.copies}
        for key, engine_copy in reported.items():
            self._apply_reported(key, engine_copy, report, requested_at_s, now_s)
        for key in [key for key in self._copies if key not in reported]:
            self._apply_missing(key, report, requested_at_s, now_s)
        for order_id, removed_s in list(self._removed_s.items()):
            if removed_s < requested_at_s:
                del self._removed_s[order_id]
        if not self._ready:
            self._check_ready(report, requested_at_s)

    def tick(self, now_s: float) -> list[Order | Fence | ReadState]:
        """Return what must be sent now: lost orders, a fence, a state read."""
        outputs: list[Order | Fence | ReadState] = []
        pending = [copy.pending for copy in self._copies.values() if copy.pending]
        if self._fenced:
            self._raise_fence_if_needed(pending)
            unconfirmed = self._confirmed_fencing_token < self._fencing_token
            if unconfirmed and now_s - self._fence_sent_s >= REPEAT_INTERVAL_S:
                self._fence_sent_s = now_s
                outputs.append(Fence(self._fencing_token))
        for attempt in pending:
            due = now_s - attempt.sent_at_s >= REPEAT_INTERVAL_S
            if attempt.lost and due and not attempt.abandoned and self._ready:
                outputs.append(self._attempt(attempt, now_s))
        unsettled = any(c.state is not CopyState.LOADED for c in self._copies.values())
        busy = not self._ready or unsettled
        if now_s - self._read_sent_s >= (
            REPEAT_INTERVAL_S if busy else IDLE_READ_INTERVAL_S
        ):
            self._read_sent_s = now_s
            outputs.append(ReadState())
        return outputs

    def _not_ready(self, now_s: float) -> Refusal:
        wait_s = max(REPEAT_INTERVAL_S, self._started_s + self._settle_s - now_s)
        text = "orders of this server's former process may still take effect"
        return make_refusal(RefusalReason.MODEL_NOT_LOADED, text, wait_s)

    def _make_order(
        self, kind: OrderKind, name: ModelName, version: str, size_bytes: int
    ) -> Order:
        return Order(
            self._next_order_id(), kind, name, version, size_bytes, self._fencing_token
        )

    def _next_order_id(self) -> str:
        self._counter += 1
        return f"{self._id_prefix}-{self._counter}"

    def _attempt(self, pending: _Pending, now_s: float) -> Order:
        previous = pending.order
        pending.order = Order(
            previous.order_id,
            previous.kind,
            previous.name,
            previous.version,
            previous.size_bytes,
            self._fencing_token,
        )
        pending.sent_at_s, pending.lost = now_s, False
        return pending.order

    def _find_pending(self, order_id: str) -> tuple[CopyKey, _Copy, _Pending] | None:
        for key, copy in self._copies.items():
            if copy.pending and copy.pending.order.order_id == order_id:
                return key, copy, copy.pending
        return None

    def _is_final(
        self, pending: _Pending, report: EngineReport, requested_at_s: float
    ) -> bool:
        if self._fenced:
            return report.highest_fencing_token > pending.order.fencing_token
        return requested_at_s >= pending.sent_at_s + self._settle_s

    def _apply_reported(
        self,
        key: CopyKey,
        engine_copy: EngineCopy,
        report: EngineReport,
        requested_at_s: float,
        now_s: float,
    ) -> None:
        copy = self._copies.get(key)
        if copy is None:
            # The report may be older than the unload that removed the copy.
            if engine_copy.order_id not in self._removed_s:
                self._copies[key] = _Copy(
                    engine_copy.size_bytes,
                    engine_copy.state,
                    engine_copy.order_id,
                    now_s,
                    None,
                )
            return
        pending = copy.pending
        copy.size_bytes = max(copy.size_bytes, engine_copy.size_bytes)
        if pending is None:
            copy.state, copy.order_id = engine_copy.state, engine_copy.order_id
        elif pending.order.kind is OrderKind.LOAD:
            if engine_copy.state is CopyState.LOADED:
                copy.state, copy.seen_at_s = CopyState.LOADED, now_s
                copy.order_id, copy.pending = engine_copy.order_id, None
        elif self._is_final(pending, report, requested_at_s):
            # Either the unload is running, or no attempt of it can take effect, for
            # example because a fence raised for another order has rejected it.
            copy.state, copy.pending = engine_copy.state, None

    def _apply_missing(
        self, key: CopyKey, report: EngineReport, requested_at_s: float, now_s: float
    ) -> None:
        copy = self._copies[key]
        if copy.seen_at_s is not None:
            # The engine held the copy and runs its load order only once, so it cannot
            # return. At equal times the report may be older than the load.
            if copy.seen_at_s < requested_at_s:
                self._remove(key, now_s)
            return
        pending = copy.pending
        if pending and self._is_final(pending, report, requested_at_s):
            if pending.abandoned:
                self._remove(key, now_s)
            else:
                # No attempt took or can take effect, so repeating is safe. The engine
                # may have rejected the old id and would not run it again.
                order_id = copy.order_id = self._next_order_id()
                pending.order = replace(pending.order, order_id=order_id)
                pending.lost = True

    def _remove(self, key: CopyKey, now_s: float) -> None:
        copy = self._copies.pop(key)
        self._removed_s[copy.order_id] = now_s

    def _check_ready(self, report: EngineReport, requested_at_s: float) -> None:
        if not self._fenced:
            self._ready = requested_at_s >= self._started_s + self._settle_s
        elif report.highest_fencing_token > self._fencing_token:
            self._fencing_token = report.highest_fencing_token + FENCING_TOKEN_GAP
        else:
            self._ready = report.highest_fencing_token == self._fencing_token

    def _raise_fence_if_needed(self, pending: list[_Pending]) -> None:
        """Raise the fence so that the next report is final for abandoned orders."""
        if self._ready and any(
            p.abandoned and p.order.fencing_token >= self._fencing_token
            for p in pending
        ):
            self._fencing_token += 1


def make_memory_ledger(
    capacity_bytes: int,
    fenced: bool,
    settle_s: float,
    first_fencing_token: int,
    now_s: float,
) -> MemoryLedger:
    """Return the ledger of an engine whose state is not known yet.

    It issues no order until those of a former process can no longer take effect: a
    fenced engine must have confirmed a higher fencing token, any other must have got no
    order for ``settle_s``. A sidecar also makes a new ledger when its engine restarts.

    Parameters
    ----------
    capacity_bytes : int
        Accelerator memory for weights.
    fenced : bool
        Whether the engine rejects orders with a lower fencing token.
    settle_s : float
        Longest time from sending an order until it takes effect.
    first_fencing_token : int
        Unique to this process and above the numbers of earlier ones, for example the
        start time in ms times 1024.
    now_s : float
        Current time in seconds.

    Returns
    -------
    MemoryLedger

    Examples
    --------
    >>> ledger = make_memory_ledger(100, False, 10.0, 1, now_s=0.0)
    >>> ledger.request_load("m", "1", 60, now_s=0.0).failure().retry_after_s
    10.0
    >>> ledger.on_engine_state(EngineReport(()), requested_at_s=10.0, now_s=10.1)
    >>> ledger.request_load("m", "1", 60, now_s=10.2).unwrap().order_id
    '1-1'
    >>> ledger.free_bytes
    40
    >>> ledger.request_load("n", "1", 60, now_s=10.2).failure().reason.value
    'no_room'
    """
    return MemoryLedger(capacity_bytes, fenced, settle_s, first_fencing_token, now_s)
