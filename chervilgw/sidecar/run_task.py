"""Run task: owns the attempts that run at the engine or service."""

from __future__ import annotations

import time
from dataclasses import dataclass
from itertools import count

from circuits import BaseComponent, handler

from chervilgw.core.ids import CrashId, Digest, RequestId, VmId
from chervilgw.core.messages import CrashReport, Dispatch, End, Started
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import BackendKind, RefusalReason, RunState
from chervilgw.crashes import blamed_digests
from chervilgw.runtime.control_events import crash_seen
from chervilgw.runtime.events import http_call, http_call_cancel
from chervilgw.sidecar.calls import (
    answer_headers,
    make_backend_call,
    make_refused,
    refusal_of_status,
    refuse_backend_lost,
)
from chervilgw.sidecar.errors import DamagedAnswer
from chervilgw.sidecar.events import (
    attempt_answer,
    attempt_resend,
    booking_finished,
    booking_lost,
    booking_request,
    engine_probe,
    run_ended,
    service_answers,
    service_refuses,
    suspect_passed,
)
from chervilgw.sidecar.generation import (
    Generation,
    make_generation,
    service_messages,
)

MAX_CHUNK_BYTES = 65_536
# A suspect that produced this many tokens after its resume point did not cause the
# crash, since fewer tokens are produced but not yet relayed at a crash. Other suspects
# need not wait for its end.
TRIAL_TOKENS = 16


@dataclass(slots=True)
class _Run:
    dispatch: Dispatch
    call: str
    generation: Generation | None = None
    status: int = 0
    booking: bool = False
    interrupted: bool = False
    on_trial: bool = False

    def finish_trial(self) -> bool:
        """End the trial of a suspect that has run past the crash point.

        Returns whether it just did.
        """
        produced = self.generation.position - self.dispatch.resume_position
        if not self.on_trial or produced < TRIAL_TOKENS:
            return False
        self.on_trial = False
        return True

    def used_tokens(self, end: End | None = None) -> int:
        """Return the tokens that the backend server processed for the attempt."""
        if self.generation is None:
            return self.dispatch.charge_tokens
        produced = self.generation.position - self.dispatch.resume_position
        return produced + (end.prompt_tokens if end else self.generation.prompt_tokens)


class RunTask(BaseComponent):
    """Run task; see :func:`make_run_task`."""

    def __init__(self, vm: VmId, address: str, channel):
        super().__init__(channel=channel)
        self._vm = vm
        self._address = address
        self._runs: dict[RequestId, _Run] = {}
        self._calls: dict[str, RequestId] = {}
        self._call_numbers = count(1)

    @handler("run_begin")
    def _on_begin(self, dispatch: Dispatch):
        call = f"run-{next(self._call_numbers)}"
        run = self._runs[dispatch.request_id] = _Run(dispatch, call)
        run.on_trial = bool(dispatch.suspect_of)
        self._calls[call] = dispatch.request_id
        if dispatch.kind is BackendKind.ENGINE:
            run.generation = make_generation(dispatch)
        elif dispatch.idempotency_key and not dispatch.idempotent:
            run.booking = True
            self.fire(booking_request(dispatch), "bookings")
            return
        self._start(run)

    def _start(self, run: _Run):
        call = make_backend_call(
            run.dispatch,
            run.call,
            self.channel,
            self._address,
            run.generation is not None,
        )
        self.fire(http_call(call), "http-client")

    @handler("run_stop")
    def _on_stop(self, request_id, reason: RefusalReason):
        run = self._runs.get(request_id)
        if run is None:
            # The run has ended, but the message about it may be lost.
            self.fire(attempt_resend(request_id), "answers")
        elif run.generation is not None or run.dispatch.idempotent:
            self.fire(http_call_cancel(run.call), "http-client")
            self._refuse(run, Refusal(reason, RunState.RUN, "the request was stopped"))

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
            self._refuse(run, refusal)

    @handler("call_sent")
    def _on_call_sent(self, call: str):
        # Only sent once connected: after a refused connection the attempt certainly
        # did not run, and the entry tries another backend server.
        run = self._run_of(call)
        if run is not None:
            self._answer(Started(run.dispatch.request_id))

    @handler("call_head")
    def _on_call_head(self, head):
        run = self._run_of(head.call)
        if run is not None:
            run.status = head.status

    @handler("call_data")
    def _on_call_data(self, parts):
        chunks = []
        for part in parts:
            run = self._run_of(part.call)
            if run is None or run.generation is None or run.status != 200:
                continue
            try:
                chunks += run.generation.feed(part.data)
            except DamagedAnswer as error:
                self._answer(*chunks)
                chunks = []
                self._abort(run, str(error))
                continue
            if run.finish_trial():
                self.fire(suspect_passed(run.dispatch.request_id), "queue")
        self._answer(*chunks)

    @handler("call_done")
    def _on_call_done(self, answer):
        run = self._run_of(answer.call)
        if run is None:
            return
        if run.generation is None:
            self._answer_service(run, answer.status, answer.headers, answer.body)
        elif run.status != 200:
            self._refuse(run, refusal_of_status(run.status))
        else:
            self._end_generation(run)

    def _end_generation(self, run: _Run):
        try:
            end = run.generation.end()
        except DamagedAnswer as error:
            self._abort(run, str(error))
            return
        self._answer(end)
        self._finish(run, run.used_tokens(end))

    def _answer_service(self, run: _Run, status, headers, body):
        caller_headers = answer_headers(headers)
        if run.booking:
            answer = (run.dispatch.request_id, status, caller_headers, body)
            self.fire(booking_finished(*answer), "bookings")
        self.fire(service_answers(), "queue")
        self._answer(
            *service_messages(
                run.dispatch, status, caller_headers, body, MAX_CHUNK_BYTES
            )
        )
        self._finish(run, run.used_tokens())

    @handler("call_failed")
    def _on_call_failed(self, failed):
        run = self._run_of(failed.call)
        if run is None:
            return
        if failed.is_unsendable:
            self._refuse(run, make_refusal(RefusalReason.BAD_REQUEST, failed.detail))
        elif not failed.sent:
            if run.generation is None:
                self.fire(service_refuses(), "queue")
            detail = "the backend server's engine or service refuses connections"
            self._refuse(run, make_refusal(RefusalReason.BACKEND_LOST, detail, 0.0))
        elif run.generation is not None:
            # The engine task queries the engine and decides whether it crashed.
            run.interrupted = True
            self.fire(engine_probe(), "engine")
        else:
            self._refuse(run, refuse_backend_lost(RunState.UNKNOWN, failed.detail))

    def _abort(self, run: _Run, detail: str):
        self.fire(http_call_cancel(run.call), "http-client")
        self._refuse(run, refuse_backend_lost(RunState.RUN, detail))

    @handler("engine_probe_result")
    def _on_probe_result(self, crash: CrashId | None):
        runs = [run for run in self._runs.values() if run.generation is not None]
        blamed: tuple[Digest, ...] = ()
        if crash is not None and runs:
            blamed = blamed_digests({run.dispatch.digest: run.on_trial for run in runs})
            now_ms = int(time.time() * 1000)
            report = CrashReport(crash, self._vm, blamed, now_ms)
            self.fire(crash_seen(report), "crashes")
        for run in runs:
            if crash is not None or run.interrupted:
                detail = "the engine ended before the answer was complete"
                # The entry counts the crash only if the refusal names it.
                named = crash if run.dispatch.digest in blamed else None
                self._refuse(run, refuse_backend_lost(RunState.RUN, detail), named)

    def _refuse(self, run: _Run, refusal: Refusal, crash: CrashId | None = None):
        request_id = run.dispatch.request_id
        if run.booking:
            # The booking task refuses the attempt once its key is released.
            self.fire(booking_lost(request_id, refusal), "bookings")
            return
        self._answer(make_refused(request_id, refusal, crash))
        self._finish(run, run.used_tokens())

    def _finish(self, run: _Run, used_tokens: int):
        request_id = run.dispatch.request_id
        del self._runs[request_id]
        self._calls.pop(run.call, None)
        self.fire(run_ended(request_id, used_tokens), "queue")

    def _answer(self, *messages):
        if messages:
            self.fire(attempt_answer(*messages), "answers")

    def _run_of(self, call: str) -> _Run | None:
        request_id = self._calls.get(call)
        return None if request_id is None else self._runs.get(request_id)


def make_run_task(vm: VmId, address: str, channel: str = "runs") -> RunTask:
    """Return a run task.

    Parameters
    ----------
    vm : VmId
        This VM, for crash reports.
    address : str
        Address of the engine or service.
    channel : str
        Channel of the task.

    Returns
    -------
    RunTask
    """
    return RunTask(vm, address, channel)
