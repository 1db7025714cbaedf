"""Accelerator memory of the engine and the orders that change it.

The engine obeys every order, even one that does not fit: it counts an overcommit
instead, which is how a test sees that the sender's ledger was wrong.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NewType

OrderId = NewType("OrderId", str)

KEPT_ORDERS = 5_000


class Action(Enum):
    """What an order asks for."""

    LOAD = "load"
    UNLOAD = "unload"


class CopyKind(Enum):
    """What a copy is a copy of."""

    MODEL = "model"
    ADAPTER = "adapter"


class CopyState(Enum):
    """State of one copy in memory."""

    LOADING = "loading"
    LOADED = "loaded"
    UNLOADING = "unloading"


class OrderState(Enum):
    """State of one order."""

    ACCEPTED = "accepted"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Order:
    """One command to load or unload a copy."""

    order_id: OrderId
    action: Action
    kind: CopyKind
    name: str
    version: str
    base_model: str
    size_bytes: int
    fencing: int

    @property
    def key(self) -> tuple[CopyKind, str, str]:
        """Return what identifies the copy."""
        return self.kind, self.name, self.version


@dataclass(slots=True)
class Copy:
    """A copy in memory, and the order that last changed it."""

    order: Order
    state: CopyState
    changed_by: OrderId


class EngineMemory:
    """Copies, orders and the highest fencing number seen.

    Parameters
    ----------
    capacity_bytes : int
        Size of the memory.
    fenced : bool
        Whether orders with a lower fencing number are refused.

    Examples
    --------
    >>> memory = EngineMemory(100, fenced=True)
    >>> order = Order("o1", Action.LOAD, CopyKind.MODEL, "m", "1", "", 60, 1)
    >>> memory.accept(order)
    <OrderState.ACCEPTED: 'accepted'>
    >>> memory.begin(order), memory.used_bytes, memory.find("m")
    (<OrderState.RUNNING: 'running'>, 60, None)
    >>> _ = memory.finish(order, succeeded=True)
    >>> memory.find("m").order.version
    '1'
    """

    def __init__(self, capacity_bytes: int, fenced: bool) -> None:
        self.capacity_bytes = capacity_bytes
        self.fenced = fenced
        self.highest_fencing = 0
        self.overcommits = 0
        self.copies: list[Copy] = []
        self.orders: dict[OrderId, OrderState] = {}

    @property
    def used_bytes(self) -> int:
        """Return the bytes of all copies, including those being (un)loaded."""
        return sum(copy.order.size_bytes for copy in self.copies)

    def fence(self, number: int) -> bool:
        """Raise the highest fencing number; False if a higher one was seen."""
        if number < self.highest_fencing:
            return False
        self.highest_fencing = number
        return True

    def is_known(self, order_id: OrderId) -> bool:
        """Return whether an order with this id was accepted before."""
        return order_id in self.orders

    def accept(self, order: Order) -> OrderState:
        """Take an order, or return ``REFUSED`` if its fencing number is too low."""
        if self.is_known(order.order_id):
            return self.orders[order.order_id]
        if self.fenced and not self.fence(order.fencing):
            return OrderState.REFUSED
        if len(self.orders) >= KEPT_ORDERS:
            del self.orders[next(iter(self.orders))]
        return self._set(order, OrderState.ACCEPTED)

    def begin(self, order: Order) -> OrderState:
        """Start an accepted order; ``RUNNING`` means that `finish` must follow."""
        if self.fenced and order.fencing < self.highest_fencing:
            return self._set(order, OrderState.REFUSED)
        if order.action is Action.LOAD:
            return self._begin_load(order)
        return self._begin_unload(order)

    def _begin_load(self, order: Order) -> OrderState:
        present = (CopyState.LOADING, CopyState.LOADED)
        if any(c.order.key == order.key and c.state in present for c in self.copies):
            return self._set(order, OrderState.DONE)
        if order.kind is CopyKind.ADAPTER and not self._model(order.base_model):
            return self._set(order, OrderState.FAILED)
        self.copies.append(Copy(order, CopyState.LOADING, order.order_id))
        if self.used_bytes > self.capacity_bytes:
            self.overcommits += 1
        return self._set(order, OrderState.RUNNING)

    def _begin_unload(self, order: Order) -> OrderState:
        for copy in self.copies:
            if copy.order.key == order.key and copy.state is not CopyState.UNLOADING:
                if copy.state is CopyState.LOADING:
                    self._set(copy.order, OrderState.FAILED)
                copy.state = CopyState.UNLOADING
                copy.changed_by = order.order_id
                return self._set(order, OrderState.RUNNING)
        return self._set(order, OrderState.DONE)

    def finish(self, order: Order, succeeded: bool) -> Copy | None:
        """End a running order; return the copy that it changed."""
        for copy in self.copies:
            if copy.changed_by == order.order_id:
                if order.action is Action.LOAD and succeeded:
                    copy.state = CopyState.LOADED
                else:
                    self.copies.remove(copy)
                self._set(order, OrderState.DONE if succeeded else OrderState.FAILED)
                return copy
        return None

    def find(self, name: str) -> Copy | None:
        """Return the newest loaded copy that can serve a model or adapter name."""
        for copy in reversed(self.copies):
            if copy.order.name == name and copy.state is CopyState.LOADED:
                if copy.order.kind is CopyKind.MODEL:
                    return copy
                if self._model(copy.order.base_model):
                    return copy
        return None

    def loading(self, kind: CopyKind) -> int:
        """Return the number of copies of a kind that are being loaded."""
        return sum(
            copy.order.kind is kind and copy.state is CopyState.LOADING
            for copy in self.copies
        )

    def _model(self, name: str) -> bool:
        return any(
            copy.order.kind is CopyKind.MODEL
            and copy.order.name == name
            and copy.state is CopyState.LOADED
            for copy in self.copies
        )

    def _set(self, order: Order, state: OrderState) -> OrderState:
        self.orders[order.order_id] = state
        return state
