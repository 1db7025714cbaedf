"""Reports of an engine's agent to the entries."""

from __future__ import annotations

from chervilgw.core.deployment import ServerId
from chervilgw.core.messages import EngineReport
from chervilgw.placement.engine_orders import EngineOrders
from chervilgw.scheduling.turns import TurnQueue


def make_engine_report(
    server: ServerId,
    started_ms: int,
    orders: EngineOrders,
    turns: TurnQueue,
    cold_s: float | None,
) -> EngineReport:
    """Return the report of an engine that has stated its state.

    Parameters
    ----------
    server : ServerId
        Registration of the engine.
    started_ms : int
        Start of the engine as registered.
    orders : EngineOrders
        What is ordered of the engine, and its state.
    turns : TurnQueue
        Turns at the engine, with its measured speeds.
    cold_s : float or None
        How much longer the engine is cold, None if that is not known.
    """
    state = orders.state
    available = orders.available_models()
    return EngineReport(
        server,
        started_ms,
        state.orders,
        state.draining,
        state.busy,
        orders.expected_model() or "",
        {name: tuple(sorted(adapters)) for name, adapters in available.items()},
        state.waiting,
        state.running,
        state.used_tokens,
        tuple(sorted(state.local_models)),
        prefill_tokens_per_s=round(turns.speeds.tokens_per_s),
        model_speeds={
            model: float(round(speed)) for model, speed in turns.speeds.measured.items()
        },
        token_s={
            model: round(token_s, 6)
            for model, token_s in turns.budget.decoding.measured.items()
        },
        cold_s=cold_s,
    )


def make_silence_report(server: ServerId, started_ms: int, orders: int) -> EngineReport:
    """Return the report of an engine that does not answer its agent."""
    return EngineReport(
        server, started_ms, orders, False, False, "", {}, 0, 0, 0, responding=False
    )
