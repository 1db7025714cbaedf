"""Orders to one engine; only the agent on the engine's VM sends them.

Each order names the number of orders that the engine must have accepted before it. The
engine therefore rejects an order that arrives late, unless its state is still the one
for which the order was decided, and no record of earlier orders is needed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from chervilgw.core.deployment import EngineSpec
from chervilgw.core.ids import ModelName

# Adapters that may be loading on an engine at the same time.
MAX_ADAPTERS_IN_TRANSIT = 4
# An adapter request expires after this time: its caller's request waits no longer.
ADAPTER_REQUEST_S = 1.0
# A model request expires after this time unless the engine is carrying out an order:
# the planner then chooses another engine.
MODEL_REQUEST_S = 2.0
# An order without an answer is repeated after this time, with the same number.
ORDER_REPEAT_S = 0.5


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
    """State that an engine reports.

    ``adapters`` maps a loaded model to its loaded adapters, ``adapters_in_transit``
    lists those that are being loaded. ``local_models`` holds the models whose weights
    are in the VM's memory or on its disk. ``orders`` counts the orders that the engine
    accepted. ``cold_s`` is how much longer it is cold, None if the report omits it.
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
    cold_s: float | None = None


@dataclass(frozen=True, slots=True)
class Order:
    """One order; ``adapter`` is None if it concerns the model itself."""

    kind: OrderKind
    model: ModelName
    adapter: str | None
    expected_orders: int


@dataclass(slots=True)
class _ModelRequest:
    model: ModelName
    unload: tuple[ModelName, ...]
    until_s: float


@dataclass(slots=True)
class EngineOrders:
    """Requests for one engine and its next order; see :func:`make_engine_orders`."""

    spec: EngineSpec | None = None
    state: EngineState | None = None
    loading: ModelName | None = None
    _requested_adapters: dict[tuple[ModelName, str], float] = field(
        default_factory=dict
    )
    _last_requested_s: dict[tuple[ModelName, str], float] = field(default_factory=dict)
    _requested_model: _ModelRequest | None = None
    _pending: Order | None = None
    _pending_until_s: float = 0.0
    _stale: bool = True

    def on_state(self, state: EngineState) -> bool:
        """Record a report; return whether the entries must be notified of a change."""
        previous, self.state = self.state, state
        self._stale = False
        if previous is not None and previous.started_ms != state.started_ms:
            self._pending = None
            self.loading = None
        if not state.busy or (self.loading in state.adapters):
            self.loading = None
        if previous is None:
            return True
        return (
            previous.started_ms != state.started_ms
            or previous.adapters != state.adapters
            or previous.busy != state.busy
            or previous.draining != state.draining
        )

    def on_unreachable(self) -> None:
        """Record that the engine does not answer: it may have restarted empty."""
        self.state = None
        self._stale = True

    def request_adapter(self, model: ModelName, adapter: str, now_s: float) -> None:
        """Request an adapter for which a caller's request waits."""
        self._requested_adapters[model, adapter] = now_s + ADAPTER_REQUEST_S
        self._last_requested_s[model, adapter] = now_s

    def request_model(
        self, model: ModelName, unload: tuple[ModelName, ...], now_s: float
    ) -> None:
        """Request that a model be loaded after others were unloaded."""
        self._requested_model = _ModelRequest(model, unload, now_s + MODEL_REQUEST_S)

    def next_order(self, now_s: float) -> Order | None:
        """Return the order to send now, or None.

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
        if self.state.busy and self._requested_model is not None:
            self._requested_model.until_s = now_s + MODEL_REQUEST_S
        if self.state.draining or self.state.busy:
            return None
        order = self._adapter_order(now_s) or self._model_order(now_s)
        if order is not None:
            self._pending, self._pending_until_s = order, now_s + ORDER_REPEAT_S
        return order

    def on_reply(self, reply: OrderReply) -> None:
        """Apply the engine's answer; the next order waits for a new report."""
        order, self._pending = self._pending, None
        self._stale = True
        if order is None:
            return
        accepted = reply in (OrderReply.ACCEPTED, OrderReply.ALREADY_DONE)
        if accepted and order.adapter is None:
            if order.kind is OrderKind.LOAD:
                self._requested_model = None
                if reply is OrderReply.ACCEPTED:
                    self.loading = order.model
        elif reply is OrderReply.REFUSED and order.adapter is not None:
            # The engine does not know the adapter; a repeated order would fail too.
            self._requested_adapters.pop((order.model, order.adapter), None)
        elif reply is OrderReply.REFUSED:
            self._requested_model = None

    def expected_model(self) -> ModelName | None:
        """Return the model that the engine loads, or will once another is unloaded."""
        if self.loading is None and self._requested_model is not None:
            return self._requested_model.model
        return self.loading

    def available_models(self) -> dict[ModelName, frozenset[str]]:
        """Return the loaded models and adapters, except models about to be unloaded.

        A model that is being unloaded finishes its requests and refuses new ones.
        """
        to_unload = (
            () if self._requested_model is None else self._requested_model.unload
        )
        return {
            model: adapters
            for model, adapters in self.state.adapters.items()
            if model not in to_unload
        }

    def _adapter_order(self, now_s: float) -> Order | None:
        state = self.state
        for request, until_s in list(self._requested_adapters.items()):
            model, adapter = request
            held = adapter in state.adapters.get(model, ())
            if now_s > until_s or held or model not in state.adapters:
                del self._requested_adapters[request]
                continue
            if (
                request in state.adapters_in_transit
                or len(state.adapters_in_transit) >= MAX_ADAPTERS_IN_TRANSIT
            ):
                continue
            if self._free_adapter_slots() > 0 and self._fits_adapter(model):
                return Order(OrderKind.LOAD, model, adapter, state.orders)
            to_evict = self._least_recently_requested_adapter(now_s)
            if to_evict is not None:
                return Order(OrderKind.UNLOAD, to_evict[0], to_evict[1], state.orders)
        return None

    def _free_adapter_slots(self) -> int:
        held = sum(len(names) for names in self.state.adapters.values())
        return self.spec.adapter_slots - held - len(self.state.adapters_in_transit)

    def _fits_adapter(self, model: ModelName) -> bool:
        spec = self.spec.models.get(model)
        return spec is not None and self._free_mb() >= spec.adapter_mb

    def _least_recently_requested_adapter(
        self, now_s: float
    ) -> tuple[ModelName, str] | None:
        """Return the loaded adapter whose last request is oldest."""
        loaded = [
            (model, adapter)
            for model, adapters in self.state.adapters.items()
            for adapter in adapters
            if (model, adapter) not in self._requested_adapters
        ]
        return min(
            loaded, key=lambda name: self._last_requested_s.get(name, 0.0), default=None
        )

    def _free_mb(self) -> float:
        used_mb = 0.0
        models = self.spec.models
        for model, adapters in self.state.adapters.items():
            spec = models.get(model)
            if spec is None:
                # The size of the model is unknown, so nothing is loaded beside it.
                return 0.0
            used_mb += spec.weights_mb + spec.adapter_mb * len(adapters)
        for model, _ in self.state.adapters_in_transit:
            spec = models.get(ModelName(model))
            used_mb += spec.adapter_mb if spec is not None else 0.0
        return self.spec.capacity_mb - used_mb

    def _model_order(self, now_s: float) -> Order | None:
        request, state = self._requested_model, self.state
        if request is None:
            return None
        if now_s > request.until_s or request.model in state.adapters:
            self._requested_model = None
            return None
        spec = self.spec.models.get(request.model)
        if spec is None:
            self._requested_model = None
            return None
        if self._free_mb() >= spec.weights_mb:
            return Order(OrderKind.LOAD, request.model, None, state.orders)
        for model in request.unload:
            if model in state.adapters:
                return Order(OrderKind.UNLOAD, model, None, state.orders)
        self._requested_model = None
        return None


def make_engine_orders() -> EngineOrders:
    """Return the orders of an engine that has not reported yet."""
    return EngineOrders()
