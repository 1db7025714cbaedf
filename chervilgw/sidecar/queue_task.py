"""Queue task: admits attempts, queues them fairly and starts them."""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import dataclass

from circuits import BaseComponent, handler
from returns.pipeline import is_successful
from returns.result import Failure

from chervilgw.configuration.freshness import make_stale_refusal
from chervilgw.configuration.lookups import defaults, lifted_blocks
from chervilgw.configuration.state import ConfigurationState, empty_state
from chervilgw.configuration.values import Kind
from chervilgw.core.ids import Digest, Incarnation, RequestId
from chervilgw.core.messages import CrashReport, Dispatch, Load
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import BackendKind, CopyState, RefusalReason
from chervilgw.crashes import make_crash_tracker
from chervilgw.keys.authenticate import check_identity
from chervilgw.runtime.control_events import drained, load_changed
from chervilgw.scheduling.fair_queue import QueuedItem, QueueLimits, make_fair_queue
from chervilgw.sidecar.admission import (
    Arrival,
    is_dead,
    is_open_route,
    is_retryable,
    make_admission,
)
from chervilgw.sidecar.calls import make_refused, refuse_engine_down
from chervilgw.sidecar.events import (
    EngineView,
    attempt_answer,
    attempt_resend,
    engine_load_request,
    engine_retired,
    run_begin,
    run_stop,
)
from chervilgw.sidecar.loading import copies_needed
from chervilgw.sidecar.running import StopRun, make_running_attempts
from chervilgw.sidecar.service_health import make_service_health
from chervilgw.telemetry import log_event

# An attempt that needs newer configuration records is parked for this long, then
# refused.
PARK_TIMEOUT_S = 1.0
# A draining server still accepts attempts for this long, until all entries have
# received the notice, so that a planned stop causes no retries.
DRAIN_GRACE_S = 1.5


@dataclass(frozen=True, slots=True)
class QueueOptions:
    """Options of the queue task.

    Parameters
    ----------
    kind : BackendKind
        What the backend server runs.
    pool : str
        Pool of the backend server.
    services : tuple of str
        Names of the plain services, empty for an engine.
    max_running : int
        Maximum number of concurrent requests at the engine or service.
    queue_tokens : int
        Maximum total tokens of the queued requests.
    """

    kind: BackendKind
    pool: str
    services: tuple[str, ...]
    max_running: int
    queue_tokens: int = 2_000_000


class QueueTask(BaseComponent):
    """Queue task; see :func:`make_queue_task`."""

    def __init__(self, options: QueueOptions, channel):
        super().__init__(channel=channel)
        self._options = options
        self._state: ConfigurationState = empty_state()
        self._config_until_s = self._dead_until_s = float("-inf")
        self._dead: frozenset[Incarnation] = frozenset()
        self._admission = make_admission()
        self._weights: dict = {}
        self._fair_queue = make_fair_queue(
            QueueLimits(options.queue_tokens, options.queue_tokens, self._weights)
        )
        self._parked: dict[RequestId, tuple[Dispatch, float]] = {}
        self._waiting: dict[RequestId, Dispatch] = {}
        self._running = make_running_attempts()
        self._crashes = make_crash_tracker()
        self._engine = EngineView()
        self._load: Load | None = None
        self._health = make_service_health()
        self._refuse_from_s = float("inf")
        self._drained = False

    @handler("attempt_arrived")
    def _on_arrived(self, dispatch: Dispatch):
        now_s = time.monotonic()
        self._admit_attempt(dispatch, now_s, now_s + PARK_TIMEOUT_S)
        self._start_queued(now_s)

    def _admit_attempt(self, dispatch: Dispatch, now_s, park_until_s):
        arrival = Arrival(
            dispatch,
            self._state,
            self._fresh_until_s,
            self._dead,
            now_s >= self._refuse_from_s,
            self._check_block,
        )
        result = self._admission(arrival, now_s)
        if is_retryable(result) and now_s < park_until_s:
            self._parked[dispatch.request_id] = (dispatch, park_until_s)
            return
        if is_successful(result):
            result = self._enqueue(dispatch, now_s)
        if not is_successful(result):
            self._refuse(dispatch.request_id, result.failure())

    @property
    def _fresh_until_s(self) -> float:
        return min(self._config_until_s, self._dead_until_s)

    def _check_block(self, digest: Digest):
        return self._crashes.check(digest, _wall_ms(), lifted_blocks(self._state))

    def _enqueue(self, dispatch: Dispatch, now_s):
        if dispatch.kind is BackendKind.ENGINE and not self._engine.up:
            return Failure(refuse_engine_down())
        remaining_s = dispatch.deadline_s
        item = QueuedItem(
            dispatch.request_id,
            dispatch.customer,
            dispatch.target,
            max(1, dispatch.charge_tokens),
            dispatch.urgency,
            None if remaining_s is None else now_s + remaining_s,
        )
        result = self._fair_queue.push(item, now_s)
        if is_successful(result):
            self._waiting[dispatch.request_id] = dispatch
        return result

    def _retry_parked(self, now_s):
        parked, self._parked = self._parked, {}
        for dispatch, until_s in parked.values():
            self._admit_attempt(dispatch, now_s, until_s)

    def _start_queued(self, now_s):
        # After a pause of this process nothing starts until its state is confirmed
        # again: an attempt's entry may be dead by now, or its key withdrawn.
        while now_s <= self._fresh_until_s and self._has_slot():
            item = self._fair_queue.pop(now_s, lambda item: self._can_run(item, now_s))
            if item is None:
                break
            dispatch = self._waiting.pop(item.request_id)
            self._running.begin(item, dispatch)
            self.fire(run_begin(dispatch), "runs")
        self._request_missing_copies()

    def _has_slot(self) -> bool:
        return len(self._running) < self._options.max_running

    def _can_run(self, item: QueuedItem, now_s) -> bool:
        dispatch = self._waiting[item.request_id]
        if dispatch.suspect_of and self._running.is_suspect_running:
            return False
        if dispatch.kind is BackendKind.SERVICE:
            return True
        return all(
            self._engine.resident.get(name) == CopyState.LOADED.value
            and not self._running.is_retired(name, now_s)
            for name in copies_needed(self._state, dispatch.target)
        )

    def _request_missing_copies(self):
        if self._options.kind is not BackendKind.ENGINE or not self._waiting:
            return
        targets = {dispatch.target for dispatch in self._waiting.values()}
        names = {n for target in targets for n in copies_needed(self._state, target)}
        missing = tuple(n for n in sorted(names) if n not in self._engine.resident)
        if missing:
            self.fire(engine_load_request(missing), "engine")

    @handler("run_ended")
    def _on_run_ended(self, request_id, used_tokens):
        item = self._running.end(request_id)
        if item is None:
            return
        now_s = time.monotonic()
        self._fair_queue.settle(item, used_tokens, now_s)
        self._start_queued(now_s)

    @handler("suspect_passed")
    def _on_suspect_passed(self, request_id):
        self._running.on_suspect_passed(request_id)
        self._start_queued(time.monotonic())

    @handler("engine_view")
    def _on_engine_view(self, view: EngineView):
        self._engine = view
        if not view.up:
            # When the engine will be back is unknown, so the entries try other servers.
            for request_id in list(self._waiting):
                self._refuse_waiting(request_id, refuse_engine_down())
        self._running.on_copies(view.resident)
        self._start_queued(time.monotonic())

    @handler("engine_retire")
    def _on_engine_retire(self, name):
        idle = self._running.retire(name, self._state, time.monotonic())
        self.fire(engine_retired(name, idle), "engine")

    @handler("attempt_cancelled")
    def _on_cancelled(self, request_id):
        refusal = make_refusal(RefusalReason.CANCELLED, "the caller disconnected")
        if request_id in self._parked or request_id in self._waiting:
            self._refuse_waiting(request_id, refusal)
        elif request_id in self._running:
            self._stop([StopRun(request_id, RefusalReason.CANCELLED)])
        else:
            self.fire(attempt_resend(request_id), "answers")

    def _refuse_waiting(self, request_id, refusal: Refusal):
        self._parked.pop(request_id, None)
        if self._waiting.pop(request_id, None) is not None:
            self._fair_queue.remove(request_id)
        self._refuse(request_id, refusal)

    def _stop(self, stops: Iterable[StopRun]):
        for stop in stops:
            self.fire(run_stop(stop.request_id, stop.reason), "runs")

    def _refuse(self, request_id, refusal: Refusal):
        self.fire(attempt_answer(make_refused(request_id, refusal)), "answers")

    @handler("config_applied", channel="*")
    def _on_config(self, state):
        now_s = time.monotonic()
        self._state = state
        self._crashes.set_block_s(defaults(state).crash_block_s)
        for name, item in state.items[Kind.CUSTOMER].items():
            self._weights[name] = item.value.weight
        self._stop_withdrawn()
        self._retry_parked(now_s)
        self._start_queued(now_s)

    def _stop_withdrawn(self):
        for request_id, dispatch in list(self._waiting.items()):
            refusal = self._key_refusal(dispatch)
            if refusal is not None:
                self._refuse_waiting(request_id, refusal)
        self._stop(self._running.stop_withdrawn(self._key_refusal))

    def _key_refusal(self, dispatch: Dispatch) -> Refusal | None:
        if not dispatch.key and is_open_route(self._state, dispatch):
            return None
        checked = check_identity(self._state, dispatch.key, dispatch.customer)
        return None if is_successful(checked) else checked.failure()

    @handler("config_fresh", channel="*")
    def _on_config_fresh(self, until_s):
        self._config_until_s = until_s
        self._on_view_confirmed()

    @handler("dead_incarnations", channel="*")
    def _on_dead_incarnations(self, dead, until_s):
        self._dead, self._dead_until_s = dead, until_s
        detail = "the entry that sent the request was declared dead"
        refusal = make_refusal(RefusalReason.DEAD_ORIGIN, detail)
        for request_id in [*self._waiting, *self._parked]:
            if is_dead(request_id.origin, dead):
                self._refuse_waiting(request_id, refusal)
        self._on_view_confirmed()

    def _on_view_confirmed(self):
        now_s = time.monotonic()
        if now_s <= self._fresh_until_s:
            self._retry_parked(now_s)
            self._start_queued(now_s)

    @handler("crash_known", channel="*")
    def _on_crash_known(self, report: CrashReport):
        blocked = self._crashes.on_crash_report(report, _wall_ms())
        self._stop(self._running.on_crash(report, blocked))

    @handler("peer_up", channel="*")
    def _on_peer_up(self, peer):
        self._running.on_entry_connected(peer.incarnation)

    @handler("peer_down", channel="*")
    def _on_peer_down(self, peer):
        self._running.on_entry_lost(peer.incarnation, time.monotonic())
        detail = "the connection to the entry was lost before the run"
        refusal = make_refusal(RefusalReason.BACKEND_LOST, detail, 0.0)
        for request_id in [*self._waiting, *self._parked]:
            if request_id.origin == peer.incarnation:
                self._refuse_waiting(request_id, refusal)

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        for request_id, (dispatch, until_s) in list(self._parked.items()):
            if now_s >= until_s:
                del self._parked[request_id]
                self._admit_attempt(dispatch, now_s, until_s)
        self._expire(now_s)
        self._stop(self._running.stop_orphaned(now_s))
        self._start_queued(now_s)
        self._report_load()
        if now_s >= self._refuse_from_s:
            self._check_drained()

    def _expire(self, now_s):
        detail = "the deadline passed while the request was queued"
        refusal = make_refusal(RefusalReason.DEADLINE_UNREACHABLE, detail)
        for item in self._fair_queue.expire(now_s):
            self._waiting.pop(item.request_id)
            self._refuse(item.request_id, refusal)
        if now_s > self._fresh_until_s + PARK_TIMEOUT_S:
            for request_id in list(self._waiting):
                self._refuse_waiting(request_id, make_stale_refusal())

    @handler("service_refuses")
    def _on_service_refuses(self):
        self._health.on_refused(time.monotonic())
        log_event("service_refuses", level="warning", services=self._options.services)
        self._report_load()

    @handler("service_answers")
    def _on_service_answers(self):
        self._health.on_answer()

    def _report_load(self):
        options = self._options
        offered = self._health.is_available(time.monotonic())
        load = Load(
            options.kind,
            self._engine.capacity_bytes,
            self._engine.free_bytes,
            len(self._running),
            len(self._fair_queue),
            dict(self._engine.resident),
            self._fair_queue.tokens_by_target(),
            options.services if offered else (),
            options.pool,
        )
        if load != self._load:
            self._load = load
            self.fire(load_changed(load), "fleet")

    @handler("drain", channel="*")
    def _on_drain(self):
        self._refuse_from_s = time.monotonic() + DRAIN_GRACE_S

    def _check_drained(self):
        if self._running or self._waiting or self._parked or self._drained:
            return
        self._drained = True
        log_event("queue_drained")
        self.fire(drained("queue"), "role")


def _wall_ms() -> int:
    return int(time.time() * 1000)


def make_queue_task(options: QueueOptions, channel: str = "queue") -> QueueTask:
    """Return a queue task.

    Parameters
    ----------
    options : QueueOptions
        The backend server and its limits.
    channel : str
        Channel of the task.

    Returns
    -------
    QueueTask
    """
    return QueueTask(options, channel)
