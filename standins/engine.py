"""HTTP front of the model engine: ``python -m standins.engine``."""

from __future__ import annotations

import dataclasses
import json
import os
import time

import fire
from circuits import Event, handler

from standins import engine_format as formats
from standins.client import Fetch
from standins.engine_batch import Batch, BatchLimits, Step, StepKind
from standins.engine_batch import GenerationId as BatchId
from standins.engine_cache import PrefixCache
from standins.engine_memory import (
    Action,
    CopyKind,
    EngineMemory,
    Order,
    OrderState,
)
from standins.engine_orders import EngineTimes, parse_order, state_body
from standins.engine_requests import EngineRequest, make_request
from standins.faults import make_faults
from standins.http import HttpFront, Routes, serve
from standins.messages import Answer, Call, CallId

TRUNCATED_AT_TOKENS = 3
ENGINE_FAULTS = {
    "lose_orders": 0,
    "late_orders_ms": 0,
    "double_orders_ms": 0,
    "truncate_streams": 0,
    "double_chunks": 0,
    "mix_chunks": 0,
}


class step_batch(Event):  # noqa: N801
    """The batch's next step is due."""


class begin_order(Event):  # noqa: N801
    """An order takes effect: ``begin_order(order)``."""


class repeat_order(Event):  # noqa: N801
    """A duplicate of an order arrives: ``repeat_order(order)``."""


class finish_order(Event):  # noqa: N801
    """An order's time is over: ``finish_order(order)``."""


class EngineFront(HttpFront):
    """Task that owns the engine's batch, memory and connections."""

    def __init__(
        self,
        listen: str,
        batch: Batch,
        cache: PrefixCache,
        memory: EngineMemory,
        times: EngineTimes,
        store_address: str = "",
        crash_marker: str = "CRASH-ENGINE",
        crashes: int = 0,
    ) -> None:
        super().__init__(listen, make_faults(ENGINE_FAULTS))
        self._batch = batch
        self._cache = cache
        self._memory = memory
        self._times = times
        self._store_address = store_address
        self._crash_marker = crash_marker
        self._crashes = crashes
        self._active: dict[CallId, EngineRequest] = {}
        self._step_pending = False

    def routes(self) -> Routes:
        """Return the handlers by method and path pattern."""
        chat, text = formats.ChatFormat(), formats.TextFormat()
        return {
            ("POST", "v1/chat/completions"): lambda call: self._generate(call, chat),
            ("POST", "v1/completions"): lambda call: self._generate(call, text),
            ("GET", "v1/models"): self._models,
            ("DELETE", "requests/*"): self._cancel,
            ("GET", "cache/events"): self._cache_events,
            ("POST", "orders"): self._order,
            ("POST", "fence"): self._fence,
            ("GET", "state"): self._state,
        }

    # Generation

    def _generate(self, call: Call, form: formats.Format) -> Answer | None:
        body = call.body
        copy = self._memory.find(body["model"])
        if copy is None:
            error = formats.error_body("the model is not loaded", "model_not_found")
            return Answer(404, error)
        if not self.is_waiting(call.call_id):
            return None
        active = make_request(call, form, copy, self._crash_marker)
        if any(
            active.encoder.request_id == other.encoder.request_id
            for other in self._active.values()
        ):
            return Answer(409, formats.error_body("the id is in use", "duplicate_id"))
        self._active[call.call_id] = active
        if active.stream:
            self.begin_stream(call.call_id)
        self._carry_out(self._batch.submit(active.generation, time.monotonic()))
        return None

    @handler("step_batch")
    def _on_step_batch(self) -> None:
        self._step_pending = False
        if not self.faults.value("freeze"):
            self._carry_out(self._batch.step(time.monotonic()))

    def _carry_out(self, steps: list[Step]) -> None:
        for step in steps:
            call_id = CallId(step.generation.generation_id)
            active = self._active.get(call_id)
            if active is None:
                continue
            if step.kind is StepKind.STARTED:
                active.cached_tokens = step.value
                if active.crashes:
                    os._exit(1)
            elif step.kind is StepKind.TOKEN:
                self._emit(call_id, active, step.generation.output.token(step.value))
            else:
                reason = step.generation.output.finish_reason
                self._end(call_id, self._active.pop(call_id), reason)
        self._plan_step()

    def _plan_step(self) -> None:
        due_s = self._batch.next_step_s
        if due_s is None or self._step_pending or self.faults.value("freeze"):
            return
        self._step_pending = True
        delay_s = max(0.0, due_s - time.monotonic())
        self.alarm.fire_after(delay_s, step_batch(), self.channel)

    def on_faults_changed(self) -> None:
        """Continue the batch after a freeze."""
        self._plan_step()

    def _emit(self, call_id: CallId, active: EngineRequest, token: str) -> None:
        active.sent += 1
        if not active.stream:
            active.parts.append(token)
            return
        before, after = active.frame
        data = before + json.dumps(token).encode() + after
        target = call_id
        if self.faults.take_one("mix_chunks"):
            streams = [c for c, a in self._active.items() if a.stream and c != call_id]
            target = streams[0] if streams else call_id
        self.push(target, data)
        if self.faults.take_one("double_chunks"):
            self.push(target, data)
        if active.sent == TRUNCATED_AT_TOKENS and self.faults.take_one(
            "truncate_streams"
        ):
            del self._active[call_id]
            self.end_stream(call_id)
            self._stop(call_id)

    def _end(self, call_id: CallId, active: EngineRequest, reason: str) -> None:
        usage = active.usage()
        if not active.stream:
            text = "".join(active.parts)
            body = active.encoder.whole(text, reason, usage)
            self.answer(call_id, Answer(200, body))
            return
        tail = active.encoder.chunk("", reason)
        if active.include_usage:
            tail += active.encoder.usage_chunk(usage)
        self.push(call_id, tail + formats.DONE)
        self.end_stream(call_id)

    def _fail(self, call_id: CallId, status: int, message: str, code: str) -> None:
        active = self._active.pop(call_id)
        if active.stream:
            self.push(call_id, formats.error_event(message, code))
            self.end_stream(call_id)
        else:
            self.answer(call_id, Answer(status, formats.error_body(message, code)))
        self._stop(call_id)

    def _stop(self, call_id: CallId) -> None:
        now_s = time.monotonic()
        self._carry_out(self._batch.cancel(BatchId(call_id), now_s))

    def on_caller_left(self, call_id: CallId) -> None:
        """Cancel the request of a caller that left."""
        if self._active.pop(call_id, None) is not None:
            self._stop(call_id)

    def _cancel(self, call: Call, request_id: str) -> Answer:
        for call_id, active in self._active.items():
            if active.encoder.request_id == request_id:
                self._fail(call_id, 499, "the request was cancelled", "cancelled")
                return Answer(200, {"cancelled": True})
        return Answer(404, {"cancelled": False})

    def _models(self, call: Call) -> Answer:
        names = {copy.order.name for copy in self._memory.copies}
        served = sorted(name for name in names if self._memory.find(name))
        models = [{"id": n, "object": "model", "owned_by": "standins"} for n in served]
        return Answer(200, {"object": "list", "data": models})

    def _cache_events(self, call: Call) -> Answer:
        after = int(call.query.get("after", 0))
        events = self._cache.events(after, time.monotonic())
        body = [
            {
                "sequence": event.sequence,
                "change": event.change.value,
                "model": event.model,
                "block": event.block,
            }
            for event in events
        ]
        return Answer(200, {"events": body})

    # Orders

    def _order(self, call: Call) -> Answer:
        order = parse_order(call.body)
        if self._memory.is_known(order.order_id):
            state = self._memory.orders[order.order_id]
            return Answer(202, {"order_id": order.order_id, "state": state.value})
        if self.faults.take_one("lose_orders"):
            return Answer(202, {"order_id": order.order_id, "state": "accepted"})
        state = self._memory.accept(order)
        if state is OrderState.REFUSED:
            highest = self._memory.highest_fencing
            return Answer(409, {"error": "fenced", "highest_fencing": highest})
        late_s = self.faults.value("late_orders_ms") / 1000
        double_s = self.faults.value("double_orders_ms") / 1000
        self.alarm.fire_after(late_s, begin_order(order), self.channel)
        if double_s:
            twice = dataclasses.replace(order, order_id=f"{order.order_id}#2")
            self.alarm.fire_after(double_s, repeat_order(twice), self.channel)
        return Answer(202, {"order_id": order.order_id, "state": state.value})

    @handler("repeat_order")
    def _on_repeat_order(self, order: Order) -> None:
        if self._memory.accept(order) is OrderState.ACCEPTED:
            self._on_begin_order(order)

    @handler("begin_order")
    def _on_begin_order(self, order: Order) -> None:
        if self._memory.begin(order) is not OrderState.RUNNING:
            return
        if order.action is Action.UNLOAD:
            delay_s = self._times.unload_s
        elif order.kind is CopyKind.ADAPTER:
            in_flight = self._memory.loading(CopyKind.ADAPTER)
            delay_s = self._times.adapter(in_flight)
        elif self._store_address:
            self._fetch(order)
            return
        else:
            delay_s = self._times.load_s
        self.alarm.fire_after(delay_s, finish_order(order), self.channel)

    def _fetch(self, order: Order) -> None:
        body = {"name": order.name, "size_bytes": order.size_bytes}
        try:
            fetch = Fetch(
                order, self._store_address, "POST", "/loads", body, self.channel
            )
        except OSError:
            self._memory.finish(order, succeeded=False)
        else:
            fetch.register(self)

    @handler("fetched")
    def _on_fetched(self, order: Order, status: int) -> None:
        self._memory.finish(order, succeeded=status == 200)

    @handler("finish_order")
    def _on_finish_order(self, order: Order) -> None:
        copy = self._memory.finish(order, succeeded=True)
        if copy is None or order.action is Action.LOAD:
            return
        self._cache.clear(order.name, time.monotonic())
        for call_id, active in list(self._active.items()):
            if active.copy is copy and call_id in self._active:
                self._fail(call_id, 500, "the model was unloaded", "unloaded")

    def _fence(self, call: Call) -> Answer:
        if not self._memory.fenced:
            return Answer(404, {"error": "this engine does not check fencing numbers"})
        raised = self._memory.fence(int(call.body["fencing"]))
        body = {"highest_fencing": self._memory.highest_fencing}
        return Answer(200 if raised else 409, body)

    def _state(self, call: Call) -> Answer:
        load = self._batch.load(time.monotonic())
        body = state_body(self._memory, load, self._crashes)
        return Answer(200, body)


def main(
    listen: str = "127.0.0.1:0",
    slots: int = 16,
    token_ms: float = 20,
    prompt_token_ms: float = 0.2,
    report_lag_ms: float = 200,
    batch_slowdown: float = 0.001,
    capacity_bytes: int = 80_000_000_000,
    fenced: bool = True,
    no_fenced: bool = False,
    load_ms: float = 500,
    unload_ms: float = 20,
    adapter_ms: float = 5,
    adapter_knee: int = 90,
    store_address: str = "",
    cache_tokens: int = 100_000,
    cache_lag_ms: float = 200,
    cache_gap_every: int = 0,
    crash_marker: str = "CRASH-ENGINE",
    crashes: int = 0,
) -> None:
    """Run the engine until SIGTERM or a crash."""
    limits = BatchLimits(
        slots,
        token_ms / 1000,
        prompt_token_ms / 1000,
        report_lag_ms / 1000,
        batch_slowdown,
    )
    times = EngineTimes(
        load_ms / 1000, unload_ms / 1000, adapter_ms / 1000, adapter_knee
    )
    cache = PrefixCache(cache_tokens, cache_lag_ms / 1000, cache_gap_every)
    memory = EngineMemory(capacity_bytes, fenced and not no_fenced)
    front = EngineFront(
        listen,
        Batch(limits, cache),
        cache,
        memory,
        times,
        store_address,
        crash_marker,
        crashes,
    )
    serve(front)


if __name__ == "__main__":
    fire.Fire(main)
