"""Runner task: queues attempts, runs them at the engine or service, answers entries."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from itertools import count

from circuits import BaseComponent, handler
from returns.pipeline import is_successful
from returns.result import Failure

from chervilgw.configuration.lookups import defaults, lifted_blocks
from chervilgw.configuration.state import ConfigurationState, empty_state
from chervilgw.configuration.values import Kind
from chervilgw.core.ids import CrashId, Digest, Incarnation, RequestId
from chervilgw.core.messages import (
    Cancel,
    CrashReport,
    Dispatch,
    End,
    Load,
    LookUp,
    Refused,
    Started,
)
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import BackendKind, CopyState, RefusalReason, RunState
from chervilgw.crashes import blamed, make_crash_tracker, make_suspect_gate
from chervilgw.keys.authenticate import check_identity
from chervilgw.relay.answers import make_answer_store
from chervilgw.runtime.control_events import crash_seen, drained, load_changed
from chervilgw.runtime.events import http_call, http_call_cancel, peer_send
from chervilgw.scheduling.fair_queue import QueuedItem, QueueLimits, make_fair_queue
from chervilgw.sidecar.admission import Arrival, is_open, make_admission, may_wait
from chervilgw.sidecar.calls import (
    answer_headers,
    backend_lost,
    make_backend_call,
    refusal_of_status,
)
from chervilgw.sidecar.errors import DamagedAnswer
from chervilgw.sidecar.events import (
    EngineView,
    booking_finished,
    booking_lost,
    booking_request,
    engine_probe,
    engine_retired,
    engine_want,
)
from chervilgw.sidecar.generation import (
    Generation,
    make_generation,
    service_messages,
)
from chervilgw.telemetry import log_event

PARK_S = 1.0
"""How long an attempt waits for newer configuration records before it is refused."""
ORPHAN_S = 3.0
"""How long a run goes on without a connection to its entry, which may look it up."""
LEAVING_GRACE_S = 1.5
"""Entries need this long to learn that the server is leaving; what they send until then
is accepted, so that a planned stop costs no retries."""
ANSWERS_BYTES = 8_000_000
ANSWERS_KEPT_S = 30.0
PART_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class RunnerOptions:
    """Options of the runner task.

    Parameters
    ----------
    me : Incarnation
        This process.
    kind : BackendKind
        What the backend server runs.
    address : str
        Address of the engine or service.
    pool : str
        Pool of the backend server.
    services : tuple of str
        Names of the plain services, empty for an engine.
    max_running : int
        Requests at the engine or service at once.
    queue_tokens : int
        Tokens that may wait in all.
    """

    me: Incarnation
    kind: BackendKind
    address: str
    pool: str
    services: tuple[str, ...]
    max_running: int
    queue_tokens: int = 2_000_000


@dataclass(slots=True)
class _Run:
    item: QueuedItem
    dispatch: Dispatch
    call: str
    generation: Generation | None = None
    status: int = 0
    error_body: list[bytes] = field(default_factory=list)
    booking: bool = False
    broken: bool = False
    cancelled: bool = False


class Runner(BaseComponent):
    """Runner task; see :func:`make_runner`."""

    def __init__(self, options: RunnerOptions, channel):
        super().__init__(channel=channel)
        self._options = options
        self._state: ConfigurationState = empty_state()
        self._fresh_until_s = float("-inf")
        self._dead: frozenset[Incarnation] = frozenset()
        self._dead_unsure = False
        self._admit = make_admission()
        self._weights: dict = {}
        self._fair_queue = make_fair_queue(
            QueueLimits(options.queue_tokens, options.queue_tokens, self._weights)
        )
        self._parked: dict[RequestId, tuple[Dispatch, float]] = {}
        self._waiting: dict[RequestId, Dispatch] = {}
        self._runs: dict[RequestId, _Run] = {}
        self._calls: dict[str, RequestId] = {}
        self._numbers = count(1)
        self._answers = make_answer_store(ANSWERS_BYTES, ANSWERS_KEPT_S)
        self._crashes = make_crash_tracker()
        self._gate = make_suspect_gate()
        self._engine = EngineView()
        self._retiring: set[str] = set()
        self._orphans: dict[Incarnation, float] = {}
        self._load: Load | None = None
        self._refuse_from_s = float("inf")
        self._leaving = self._drained = False

    # Arrival.

    @handler("peer_messages")
    def _on_messages(self, peer, messages):
        now_s = time.monotonic()
        for message in messages:
            if isinstance(message, Dispatch):
                self._on_dispatch(message, now_s)
            elif isinstance(message, Cancel):
                self._on_cancel(message.request_id, now_s)
            elif isinstance(message, LookUp):
                for answer in self._answers.look_up(message, now_s):
                    self.fire(peer_send(peer.incarnation, answer), "links")
        self._pump(now_s)

    def _on_dispatch(self, dispatch: Dispatch, now_s):
        if not self._answers.begin(dispatch.request_id, dispatch.resume_position):
            return
        self._consider(dispatch, now_s, now_s + PARK_S)

    def _consider(self, dispatch: Dispatch, now_s, park_until_s):
        arrival = Arrival(
            dispatch,
            self._state,
            float("-inf") if self._dead_unsure else self._fresh_until_s,
            self._dead,
            self._leaving,
            self._check_block,
        )
        result = self._admit(arrival, now_s)
        if may_wait(result) and now_s < park_until_s:
            self._parked[dispatch.request_id] = (dispatch, park_until_s)
            return
        if is_successful(result):
            result = self._enqueue(dispatch, now_s)
        if not is_successful(result):
            self._refuse(dispatch.request_id, result.failure(), now_s)

    def _check_block(self, digest: Digest):
        return self._crashes.check(digest, _wall_ms(), lifted_blocks(self._state))

    def _enqueue(self, dispatch: Dispatch, now_s):
        if dispatch.kind is BackendKind.ENGINE and not self._engine.up:
            return Failure(_engine_down())
        deadline_s = (
            None if dispatch.deadline_s is None else now_s + dispatch.deadline_s
        )
        item = QueuedItem(
            dispatch.request_id,
            dispatch.customer,
            dispatch.target,
            max(1, dispatch.charge_tokens),
            dispatch.urgency,
            deadline_s,
        )
        result = self._fair_queue.push(item, now_s)
        if is_successful(result):
            self._waiting[dispatch.request_id] = dispatch
        return result

    def _retry_parked(self, now_s):
        for request_id, (dispatch, until_s) in list(self._parked.items()):
            del self._parked[request_id]
            self._consider(dispatch, now_s, until_s)

    # Running.

    def _pump(self, now_s):
        while len(self._runs) < self._options.max_running:
            item = self._fair_queue.pop(now_s, self._can_run)
            if item is None:
                break
            dispatch = self._waiting.pop(item.request_id)
            self._begin(item, dispatch)
        self._want_models()
        if self._leaving:
            self._check_drained()

    def _can_run(self, item: QueuedItem) -> bool:
        dispatch = self._waiting[item.request_id]
        if dispatch.suspect_of and self._gate.busy:
            return False
        if dispatch.kind is BackendKind.SERVICE:
            return True
        return all(self._is_usable(name) for name in _names(dispatch, self._state))

    def _is_usable(self, name: str) -> bool:
        loaded = self._engine.resident.get(name) == CopyState.LOADED.value
        return loaded and name not in self._retiring

    def _want_models(self):
        if self._options.kind is not BackendKind.ENGINE or not self._waiting:
            return
        names = {
            name
            for dispatch in self._waiting.values()
            for name in _names(dispatch, self._state)
        }
        missing = tuple(n for n in names if n not in self._engine.resident)
        if missing:
            self.fire(engine_want(missing), "engine")

    def _begin(self, item: QueuedItem, dispatch: Dispatch):
        call = f"run-{next(self._numbers)}"
        self._gate.enter(dispatch.request_id, bool(dispatch.suspect_of))
        run = _Run(item, dispatch, call)
        self._runs[dispatch.request_id] = run
        self._calls[call] = dispatch.request_id
        if dispatch.kind is BackendKind.ENGINE:
            run.generation = make_generation(dispatch)
            self._start(run)
        elif dispatch.idempotency_key and not dispatch.idempotent:
            run.booking = True
            self.fire(booking_request(dispatch), "bookings")
        else:
            self._start(run)

    def _start(self, run: _Run):
        now_s = time.monotonic()
        self._send(Started(run.dispatch.request_id), now_s)
        call = make_backend_call(
            run.dispatch,
            run.call,
            self.channel,
            self._options.address,
            run.generation is not None,
        )
        self.fire(http_call(call), "http-client")

    @handler("run_booking")
    def _on_run_booking(self, request_id):
        run = self._runs.get(request_id)
        if run is not None:
            self._start(run)

    @handler("answer_booking")
    def _on_answer_booking(self, request_id, answer):
        run = self._runs.get(request_id)
        if run is not None:
            run.booking = False
            self._answer_service(run, answer.status, answer.headers, answer.body)

    @handler("refuse_booking")
    def _on_refuse_booking(self, request_id, refusal):
        run = self._runs.get(request_id)
        if run is not None:
            run.booking = False
            self._end_run(run, refusal)

    # Results of the engine or service.

    @handler("call_head")
    def _on_call_head(self, head):
        run = self._run_of(head.call)
        if run is not None:
            run.status = head.status

    @handler("call_data")
    def _on_call_data(self, part):
        run = self._run_of(part.call)
        if run is None or run.generation is None:
            return
        if run.status != 200:
            run.error_body.append(part.data)
            return
        try:
            chunks = run.generation.feed(part.data)
        except DamagedAnswer as error:
            self._break_off(run, str(error))
            return
        now_s = time.monotonic()
        for chunk in chunks:
            self._send(chunk, now_s)

    @handler("call_done")
    def _on_call_done(self, answer):
        run = self._run_of(answer.call)
        if run is None:
            return
        if run.generation is None:
            self._answer_service(run, answer.status, answer.headers, answer.body)
        elif run.status != 200:
            self._end_run(run, refusal_of_status(run.status))
        else:
            self._end_generation(run)

    def _end_generation(self, run: _Run):
        try:
            end = run.generation.end()
        except DamagedAnswer as error:
            self._break_off(run, str(error))
            return
        now_s = time.monotonic()
        self._send(end, now_s)
        self._finish(run, _used_tokens(run, end), now_s)

    def _answer_service(self, run: _Run, status, headers, body):
        now_s = time.monotonic()
        kept = answer_headers(headers)
        if run.booking:
            answer = (run.dispatch.request_id, status, kept, body)
            self.fire(booking_finished(*answer), "bookings")
        for message in service_messages(run.dispatch, status, kept, body, PART_BYTES):
            self._send(message, now_s)
        self._finish(run, run.item.tokens, now_s)

    @handler("call_failed")
    def _on_call_failed(self, failed):
        run = self._run_of(failed.call)
        if run is None:
            return
        if not failed.sent:
            detail = "the backend server's engine or service refuses connections"
            self._end_run(run, make_refusal(RefusalReason.BACKEND_LOST, detail, 0.0))
        elif run.generation is not None and not run.cancelled:
            # Whether this is a crash decides the engine task, which asks the engine.
            run.broken = True
            self.fire(engine_probe(), "engine")
        else:
            self._end_run(run, backend_lost(RunState.UNKNOWN, failed.detail))

    def _break_off(self, run: _Run, detail: str):
        self.fire(http_call_cancel(run.call), "http-client")
        self._end_run(run, backend_lost(RunState.RUN, detail))

    @handler("engine_verdict")
    def _on_verdict(self, crash: CrashId | None):
        runs = [run for run in self._runs.values() if run.generation is not None]
        if crash is not None and runs:
            running = {r.dispatch.digest: bool(r.dispatch.suspect_of) for r in runs}
            self._report_crash(crash, blamed(running))
        for run in runs:
            if crash is not None or run.broken:
                detail = "the engine ended before the answer was complete"
                self._end_run(run, backend_lost(RunState.RUN, detail), crash)

    def _report_crash(self, crash: CrashId, digests: tuple[Digest, ...]):
        report = CrashReport(crash, self._options.me.vm, digests, _wall_ms())
        self.fire(crash_seen(report), "crashes")

    @handler("engine_view")
    def _on_engine_view(self, view: EngineView):
        self._engine = view
        if not view.up:
            self._refuse_waiting(time.monotonic())
        loaded = CopyState.LOADED.value
        self._retiring = {n for n in self._retiring if view.resident.get(n) == loaded}
        self._pump(time.monotonic())

    def _refuse_waiting(self, now_s):
        """Send queued requests elsewhere; nothing says when the engine returns."""
        for request_id in list(self._waiting):
            self._take_waiting(request_id)
            self._refuse(request_id, _engine_down(), now_s)

    @handler("engine_retire")
    def _on_engine_retire(self, name):
        used = Counter(
            used
            for run in self._runs.values()
            for used in _names(run.dispatch, self._state)
        )
        idle = not used[name]
        if idle:
            self._retiring.add(name)
        self.fire(engine_retired(name, idle), "engine")

    # Ends.

    def _on_cancel(self, request_id, now_s):
        refusal = make_refusal(RefusalReason.CANCELLED, "the caller disconnected")
        if request_id in self._parked:
            del self._parked[request_id]
            self._refuse(request_id, refusal, now_s)
        elif request_id in self._waiting:
            self._take_waiting(request_id)
            self._refuse(request_id, refusal, now_s)
        elif request_id in self._runs:
            self._stop_run(self._runs[request_id], RefusalReason.CANCELLED)
        else:
            # The attempt has ended, and the message that said so may be lost.
            for answer in self._answers.look_up(LookUp(request_id, 0), now_s):
                self.fire(peer_send(request_id.origin, answer), "links")

    def _stop_run(self, run: _Run, reason: RefusalReason):
        if run.generation is None and not run.dispatch.idempotent:
            return
        run.cancelled = True
        self.fire(http_call_cancel(run.call), "http-client")
        self._end_run(run, Refusal(reason, RunState.RUN, "the request was stopped"))

    def _take_waiting(self, request_id) -> Dispatch:
        self._fair_queue.remove(request_id)
        return self._waiting.pop(request_id)

    def _end_run(self, run: _Run, refusal: Refusal, crash: CrashId | None = None):
        now_s = time.monotonic()
        if run.booking:
            may_have_run = refusal.run is not RunState.NOT_RUN
            lost = booking_lost(run.dispatch.request_id, may_have_run)
            self.fire(lost, "bookings")
        self._refuse(run.dispatch.request_id, refusal, now_s, crash)
        self._finish(run, _used_tokens(run), now_s)

    def _finish(self, run: _Run, used_tokens: int, now_s):
        del self._runs[run.dispatch.request_id]
        self._gate.leave(run.dispatch.request_id)
        self._calls.pop(run.call, None)
        self._fair_queue.settle(run.item, used_tokens, now_s)
        self._pump(now_s)

    def _refuse(self, request_id, refusal: Refusal, now_s, crash=None):
        message = Refused(
            request_id,
            refusal.reason,
            refusal.run,
            refusal.detail,
            refusal.retry_after_s,
            crash,
        )
        self._send(message, now_s)

    def _send(self, message, now_s):
        self._answers.record(message, now_s)
        self.fire(peer_send(message.request_id.origin, message), "links")

    def _run_of(self, call: str) -> _Run | None:
        request_id = self._calls.get(call)
        return None if request_id is None else self._runs.get(request_id)

    # Changes around the requests.

    @handler("config_applied", channel="*")
    def _on_config(self, state):
        now_s = time.monotonic()
        self._state = state
        self._crashes.set_block_s(defaults(state).crash_block_s)
        for name, item in state.items[Kind.CUSTOMER].items():
            self._weights[name] = item.value.weight
        self._stop_withdrawn(now_s)
        self._retry_parked(now_s)
        self._pump(now_s)

    def _stop_withdrawn(self, now_s):
        for request_id, dispatch in list(self._waiting.items()):
            refusal = self._key_refusal(dispatch)
            if refusal is not None:
                self._take_waiting(request_id)
                self._refuse(request_id, refusal, now_s)
        for run in list(self._runs.values()):
            refusal = self._key_refusal(run.dispatch)
            if refusal is not None and run.generation is not None:
                self._stop_run(run, refusal.reason)

    def _key_refusal(self, dispatch: Dispatch) -> Refusal | None:
        if not dispatch.key and is_open(self._state, dispatch):
            return None
        checked = check_identity(self._state, dispatch.key, dispatch.customer)
        return None if is_successful(checked) else checked.failure()

    @handler("config_fresh", channel="*")
    def _on_fresh(self, until_s):
        self._fresh_until_s = until_s
        self._retry_parked(time.monotonic())

    @handler("dead_incarnations", channel="*")
    def _on_dead(self, dead, behind):
        self._dead, self._dead_unsure = dead, behind

    @handler("crash_known", channel="*")
    def _on_crash_known(self, report: CrashReport):
        blocked = self._crashes.on_crash_report(report, _wall_ms())
        blamed_here = [
            run.dispatch.request_id
            for run in self._runs.values()
            if run.dispatch.digest in report.digests
        ]
        # An attempt that started before the report may be the guilty one as well.
        for request_id in self._gate.adopt(blamed_here):
            self._stop_run(self._runs[request_id], RefusalReason.SUSPECT_BUSY)
        for run in list(self._runs.values()):
            if run.dispatch.digest in blocked:
                self._stop_run(run, RefusalReason.BLOCKED_AFTER_CRASHES)

    @handler("peer_up", channel="*")
    def _on_peer_up(self, peer):
        self._orphans.pop(peer.incarnation, None)

    @handler("peer_down", channel="*")
    def _on_peer_down(self, peer):
        now_s = time.monotonic()
        origin = peer.incarnation
        self._orphans[origin] = now_s
        detail = "the connection to the entry was lost before the run"
        refusal = make_refusal(RefusalReason.BACKEND_LOST, detail, 0.0)
        for request_id in [*self._waiting, *self._parked]:
            if request_id.origin == origin:
                self._parked.pop(request_id, None)
                if request_id in self._waiting:
                    self._take_waiting(request_id)
                self._refuse(request_id, refusal, now_s)

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        self._answers.tick(now_s)
        for request_id, (dispatch, until_s) in list(self._parked.items()):
            if now_s >= until_s:
                del self._parked[request_id]
                self._consider(dispatch, now_s, until_s)
        for item in self._fair_queue.expire(now_s):
            self._waiting.pop(item.request_id)
            detail = "the deadline passed while the request was queued"
            refusal = make_refusal(RefusalReason.DEADLINE_UNREACHABLE, detail)
            self._refuse(item.request_id, refusal, now_s)
        self._stop_orphans(now_s)
        self._leaving = now_s >= self._refuse_from_s
        self._pump(now_s)
        self._report_load()

    def _stop_orphans(self, now_s):
        for origin, since_s in list(self._orphans.items()):
            if now_s - since_s < ORPHAN_S:
                continue
            del self._orphans[origin]
            for run in list(self._runs.values()):
                if run.dispatch.request_id.origin == origin:
                    self._stop_run(run, RefusalReason.CANCELLED)

    def _report_load(self):
        options = self._options
        load = Load(
            options.kind,
            self._engine.capacity_bytes,
            self._engine.free_bytes,
            len(self._runs),
            len(self._fair_queue),
            dict(self._engine.resident),
            self._fair_queue.tokens_by_target(),
            options.services,
            options.pool,
        )
        if load != self._load:
            self._load = load
            self.fire(load_changed(load), "fleet")

    @handler("drain", channel="*")
    def _on_drain(self):
        self._refuse_from_s = time.monotonic() + LEAVING_GRACE_S

    def _check_drained(self):
        if self._runs or self._waiting or self._parked or self._drained:
            return
        self._drained = True
        log_event("runner_drained")
        self.fire(drained("runner"), "role")


def _wall_ms() -> int:
    return int(time.time() * 1000)


def _names(dispatch: Dispatch, state: ConfigurationState) -> tuple[str, ...]:
    """Return the copies that a request needs: the model, and the adapter if any."""
    adapter = state.items[Kind.ADAPTER].get(dispatch.target)
    if adapter is None:
        return (dispatch.target,)
    return (adapter.value.base_model, dispatch.target)


def _used_tokens(run: _Run, end: End | None = None) -> int:
    if run.generation is None:
        return run.item.tokens
    made = run.generation.position - run.dispatch.resume_position
    return made + (end.prompt_tokens if end else run.generation.prompt_tokens)


def _engine_down() -> Refusal:
    detail = "the backend server's engine is down"
    return make_refusal(RefusalReason.BACKEND_LOST, detail, 0.5)


def make_runner(options: RunnerOptions, channel: str = "runner") -> Runner:
    """Return a runner task.

    Parameters
    ----------
    options : RunnerOptions
        The backend server and its bounds.
    channel : str
        Channel of the task.

    Returns
    -------
    Runner
    """
    return Runner(options, channel)
