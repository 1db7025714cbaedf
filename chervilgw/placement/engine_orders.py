"""Orders to one engine, given by the agent beside it and by nobody else.

Each order names the number of orders that the engine must have accepted before. An
order whose answer was lost and that is carried out late therefore finds another number,
unless the engine is still as it was when the order was given. So no record of former
orders is needed: each order fits the state that its number stands for.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from chervilgw.core.deployment import EngineSpec
from chervilgw.core.ids import ModelName

ADAPTERS_IN_TRANSIT = 4
"""Adapters that may be on their way to an engine at the same time."""
WANTED_S = 1.0
"""How long a wish for an adapter holds: its request waits no longer."""
MODEL_WANTED_S = 2.0
"""How long a wish for a model holds at an engine that carries out no order: the planner
then asks another one."""
REPEAT_S = 0.5
"""An order without an answer is given again after this time, with the same number."""


class OrderKind(Enum):
    """What an order does."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderReply(Enum):
    """What an engine answered to an order."""

    ACCEPTED = "accepted"
    ALREADY_DONE = "already_done"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_SERVER = "other_server"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class EngineState:
    """An engine's report of itself.

    ``adapters`` maps a loaded model to its loaded adapters, ``adapters_in_transit``
    lists those that are being loaded. ``local_models`` holds the models whose weights
    are in the VM's memory or on its disk. ``orders`` counts the orders that the engine
    accepted.
    """

    started_ms: int
    orders: int
    busy: bool
    draining: bool
    remaining_s: float | None
    adapters: Mapping[ModelName, frozenset[str]]
    adapters_in_transit: tuple[tuple[str, str], ...]
    local_models: frozenset[str]
    waiting: int
    running: int
    used_tokens: int


@dataclass(frozen=True, slots=True)
class Order:
    """One order; ``adapter`` is None if it concerns the model itself."""

    kind: OrderKind
    model: ModelName
    adapter: str | None
    expected_orders: int


@dataclass(slots=True)
class _ModelWish:
    model: ModelName
    unload: tuple[ModelName, ...]
    until_s: float


@dataclass(slots=True)
class EngineOrders:
    """Wishes for one engine and the next order; see :func:`make_engine_orders`."""

    spec: EngineSpec | None = None
    state: EngineState | None = None
    loading: ModelName | None = None
    _adapters: dict[tuple[ModelName, str], float] = field(default_factory=dict)
    _used_s: dict[tuple[ModelName, str], float] = field(default_factory=dict)
    _model: _ModelWish | None = None
    _pending: Order | None = None
    _pending_until_s: float = 0.0
    _stale: bool = True

    def on_state(self, state: EngineState) -> bool:
        """Take a report; return whether others should know of a change."""
        last, self.state = self.state, state
        self._stale = False
        if last is not None and last.started_ms != state.started_ms:
            self._pending = None
            self.loading = None
        if not state.busy or (self.loading in state.adapters):
            self.loading = None
        if last is None:
            return True
        return (
            last.started_ms != state.started_ms
            or last.adapters != state.adapters
            or last.busy != state.busy
            or last.draining != state.draining
        )

    def on_unreachable(self) -> None:
        """Note that the engine does not answer: it may have restarted empty."""
        self.state = None
        self._stale = True

    def request_adapter(self, model: ModelName, adapter: str, now_s: float) -> None:
        """Note that a request waits for an adapter."""
        self._adapters[model, adapter] = now_s + WANTED_S
        self._used_s[model, adapter] = now_s

    def request_model(
        self, model: ModelName, unload: tuple[ModelName, ...], now_s: float
    ) -> None:
        """Note that a model is to be loaded, after others were unloaded."""
        self._model = _ModelWish(model, unload, now_s + MODEL_WANTED_S)

    def next_order(self, now_s: float) -> Order | None:
        """Return the order to give now, or None.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        if self._pending is not None:
            if now_s < self._pending_until_s:
                return None
            self._pending = None
            self._stale = True
        if self._stale or self.state is None or self.spec is None:
            return None
        if self.state.busy and self._model is not None:
            self._model.until_s = now_s + MODEL_WANTED_S
        if self.state.draining or self.state.busy:
            return None
        order = self._adapter_order(now_s) or self._model_order(now_s)
        if order is not None:
            self._pending, self._pending_until_s = order, now_s + REPEAT_S
        return order

    def on_reply(self, reply: OrderReply) -> None:
        """Take the engine's answer; the next order waits for a new report."""
        order, self._pending = self._pending, None
        self._stale = True
        if order is None:
            return
        accepted = reply in (OrderReply.ACCEPTED, OrderReply.ALREADY_DONE)
        if accepted and order.adapter is None:
            if order.kind is OrderKind.LOAD:
                self._model = None
                if reply is OrderReply.ACCEPTED:
                    self.loading = order.model
        elif reply is OrderReply.REFUSED and order.adapter is not None:
            # The engine knows no such adapter; asking again would not help.
            self._adapters.pop((order.model, order.adapter), None)
        elif reply is OrderReply.REFUSED:
            self._model = None

    def expected_model(self) -> ModelName | None:
        """Return the model that the engine loads, or will once another is unloaded."""
        if self.loading is None and self._model is not None:
            return self._model.model
        return self.loading

    def available_models(self) -> dict[ModelName, frozenset[str]]:
        """Return the loaded models without one that is about to be unloaded.

        An unload waits for its runs and refuses new ones, so no more should be sent.
        """
        victims = () if self._model is None else self._model.unload
        return {
            model: adapters
            for model, adapters in self.state.adapters.items()
            if model not in victims
        }

    # Adapters.

    def _adapter_order(self, now_s: float) -> Order | None:
        state = self.state
        for wish, until_s in list(self._adapters.items()):
            model, adapter = wish
            held = adapter in state.adapters.get(model, ())
            if now_s > until_s or held or model not in state.adapters:
                del self._adapters[wish]
                continue
            if (
                wish in state.adapters_in_transit
                or len(state.adapters_in_transit) >= ADAPTERS_IN_TRANSIT
            ):
                continue
            if self._adapter_places() > 0 and self._fits_adapter(model):
                return Order(OrderKind.LOAD, model, adapter, state.orders)
            victim = self._unused_adapter(now_s)
            if victim is not None:
                return Order(OrderKind.UNLOAD, victim[0], victim[1], state.orders)
        return None

    def _adapter_places(self) -> int:
        held = sum(len(names) for names in self.state.adapters.values())
        return self.spec.adapter_slots - held - len(self.state.adapters_in_transit)

    def _fits_adapter(self, model: ModelName) -> bool:
        spec = self.spec.models.get(model)
        return spec is not None and self._free_mb() >= spec.adapter_mb

    def _unused_adapter(self, now_s: float) -> tuple[ModelName, str] | None:
        """Return the loaded adapter that was asked for longest ago."""
        loaded = [
            (model, adapter)
            for model, adapters in self.state.adapters.items()
            for adapter in adapters
            if (model, adapter) not in self._adapters
        ]
        return min(loaded, key=lambda name: self._used_s.get(name, 0.0), default=None)

    # Models.

    def _free_mb(self) -> float:
        used_mb = 0.0
        models = self.spec.models
        for model, adapters in self.state.adapters.items():
            spec = models.get(model)
            if spec is None:
                # A model of an unknown size: nothing more is loaded beside it.
                return 0.0
            used_mb += spec.weights_mb + spec.adapter_mb * len(adapters)
        for model, _ in self.state.adapters_in_transit:
            spec = models.get(ModelName(model))
            used_mb += spec.adapter_mb if spec is not None else 0.0
        return self.spec.capacity_mb - used_mb

    def _model_order(self, now_s: float) -> Order | None:
        wish, state = self._model, self.state
        if wish is None:
            return None
        if now_s > wish.until_s or wish.model in state.adapters:
            self._model = None
            return None
        spec = self.spec.models.get(wish.model)
        if spec is None:
            self._model = None
            return None
        if self._free_mb() >= spec.weights_mb:
            return Order(OrderKind.LOAD, wish.model, None, state.orders)
        for victim in wish.unload:
            if victim in state.adapters:
                return Order(OrderKind.UNLOAD, victim, None, state.orders)
        self._model = None
        return None


def make_engine_orders() -> EngineOrders:
    """Return the orders of an engine of which nothing is known yet."""
    return EngineOrders()
