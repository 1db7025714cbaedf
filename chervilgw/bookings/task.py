"""Booking task: runs each keyed booking at most once in the whole fleet."""

from __future__ import annotations

import time
from itertools import count

from circuits import BaseComponent, handler
from returns.pipeline import is_successful

from chervilgw.bookings.decisions import make_bookings
from chervilgw.bookings.outputs import Answer, Append, Read, Refuse, Run
from chervilgw.bookings.records import (
    Booking,
    RecordedAnswer,
    from_value,
    to_value,
)
from chervilgw.clients.errors import RecordsExpired
from chervilgw.clients.log import (
    LogClientSpec,
    Stream,
    make_append_call,
    make_read_call,
    parse_append,
    parse_page,
)
from chervilgw.core.ids import Digest, Incarnation, Offset
from chervilgw.core.messages import Dispatch
from chervilgw.crashes import request_digest
from chervilgw.runtime.events import http_call
from chervilgw.sidecar.events import answer_booking, refuse_booking, run_booking


class BookingTask(BaseComponent):
    """Booking task; see :func:`make_booking_task`."""

    def __init__(self, local: Incarnation, log_address: str, channel):
        super().__init__(channel=channel)
        self._spec = LogClientSpec(log_address, channel)
        self._bookings = make_bookings(local)
        self._calls: dict[str, Append | Read] = {}
        self._numbers = count(1)

    @handler("booking_request")
    def _on_request(self, dispatch: Dispatch):
        booking = Booking(
            booking_digest(dispatch),
            dispatch.digest,
            dispatch.request_id,
            int(time.time() * 1000),
        )
        self._perform(self._bookings.request(booking, time.monotonic()))

    @handler("booking_finished")
    def _on_finished(self, request_id, status, headers, body):
        answer = RecordedAnswer(status, headers, body)
        outputs = self._bookings.on_finished(request_id, answer, time.monotonic())
        # The run task already has the answer.
        self._perform(output for output in outputs if not isinstance(output, Answer))

    @handler("booking_lost")
    def _on_lost(self, request_id, refusal):
        self._perform(self._bookings.refuse(request_id, refusal, time.monotonic()))

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        self._perform(self._bookings.tick(now_s))

    @handler("call_done")
    def _on_call_done(self, answer):
        operation = self._calls.pop(answer.call, None)
        now_s = time.monotonic()
        if isinstance(operation, Append):
            if is_successful(parse_append(answer)):
                self._perform(self._bookings.on_append_answer(operation, now_s))
            else:
                self._perform(self._bookings.on_log_failed(operation, now_s))
        elif isinstance(operation, Read):
            self._on_page(operation, parse_page(answer), now_s)

    def _on_page(self, read: Read, result, now_s):
        if not is_successful(result):
            error = result.failure()
            if isinstance(error, RecordsExpired):
                # Expired records are older than the idempotency window.
                self._read(read, error.oldest_offset)
            else:
                self._perform(self._bookings.on_log_failed(read, now_s))
            return
        records = [
            (Offset(offset), from_value(value))
            for offset, _, value in result.unwrap().records
        ]
        self._perform(self._bookings.on_records(read, records, now_s))

    @handler("call_failed")
    def _on_call_failed(self, failed):
        operation = self._calls.pop(failed.call, None)
        if operation is not None:
            outputs = self._bookings.on_log_failed(operation, time.monotonic())
            self._perform(outputs)

    def _perform(self, outputs):
        for output in outputs:
            match output:
                case Append(_, records):
                    call = f"booking-append-{next(self._numbers)}"
                    self._calls[call] = output
                    values = [to_value(record) for record in records]
                    append = make_append_call(self._spec, call, Stream.BOOKINGS, values)
                    self.fire(http_call(append), "http-client")
                case Read(_, start):
                    self._read(output, start)
                case Run(attempt):
                    self.fire(run_booking(attempt), "runs")
                case Answer(attempt, answer):
                    self.fire(answer_booking(attempt, answer), "runs")
                case Refuse(attempt, refusal):
                    self.fire(refuse_booking(attempt, refusal), "runs")

    def _read(self, operation: Read, start: int):
        call = f"booking-read-{next(self._numbers)}"
        self._calls[call] = operation
        read = make_read_call(self._spec, call, Stream.BOOKINGS, start, 0)
        self.fire(http_call(read), "http-client")


def booking_digest(dispatch: Dispatch) -> Digest:
    """Return the digest of a booking's customer, service and idempotency key.

    Parameters
    ----------
    dispatch : Dispatch
        Attempt with an idempotency key.

    Returns
    -------
    Digest
    """
    return request_digest(
        dispatch.customer, dispatch.target, dispatch.idempotency_key.encode()
    )


def make_booking_task(
    local: Incarnation, log_address: str, channel: str = "bookings"
) -> BookingTask:
    """Return a booking task.

    Parameters
    ----------
    local : Incarnation
        This process.
    log_address : str
        Address of the append-only log.
    channel : str
        Channel of the task.

    Returns
    -------
    BookingTask
    """
    return BookingTask(local, log_address, channel)
