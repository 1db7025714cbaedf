"""HTTP front that all stand-ins share, and the start of a stand-in's process.

A request passes ``decode -> apply faults -> route -> handler -> answer``. A handler
returns an `Answer`, or None if it answers later with `HttpFront.answer` or starts a
stream with `HttpFront.begin_stream`.
"""

from __future__ import annotations

import heapq
import itertools
import json
import os
import signal
import sys
import time
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import parse_qsl, unquote

from circuits import BaseComponent, Event, handler
from circuits.core.pollers import EPoll
from circuits.net.events import close, write
from circuits.web.events import response, stream
from circuits.web.http import HTTP

from standins.faults import FaultAction, Faults
from standins.messages import Answer, Call, CallId
from standins.tcp import PromptTCPServer

SEEN_REQUESTS = 500
READ_BYTES = 65536


Handler = Callable[..., Answer | None]
Routes = Mapping[tuple[str, str], Handler]


class handle_call(Event):  # noqa: N801
    """Carry out a call whose delay has passed: ``handle_call(call, lose_answer)``."""


class Alarm(BaseComponent):
    """Fires events at given times.

    ``circuits.Timer`` clears the handler cache each time one is registered or expires;
    this component stays registered and holds all pending events in one heap.
    """

    channel = "alarm"

    def __init__(self) -> None:
        super().__init__()
        self._pending: list[tuple[float, int, Event, str]] = []
        self._counter = itertools.count()

    def fire_after(self, delay_s: float, event: Event, channel: str) -> None:
        """Fire an event on a channel after ``delay_s`` seconds."""
        due_s = time.monotonic() + delay_s
        heapq.heappush(self._pending, (due_s, next(self._counter), event, channel))

    @handler("generate_events")
    def _on_generate_events(self, event: Event) -> None:
        now_s = time.monotonic()
        while self._pending and self._pending[0][0] <= now_s:
            _, _, due, channel = heapq.heappop(self._pending)
            self.fire(due, channel)
            event.reduce_time_left(0)
        if self._pending:
            event.reduce_time_left(max(0.0, self._pending[0][0] - now_s))


class HttpFront(BaseComponent):
    """Task that owns the listening socket and the connections of a stand-in.

    Subclasses pass their routes; ``*`` in a pattern matches one path segment, which is
    passed to the handler after the call.

    Parameters
    ----------
    listen : str
        ``ip:port``; port 0 lets the kernel choose.
    faults : Faults
        The faults that ``PUT /faults`` switches.
    """

    channel = "web"

    def __init__(self, listen: str, faults: Faults) -> None:
        super().__init__()
        self.faults = faults
        self.server = PromptTCPServer(listen, channel=self.channel, bufsize=READ_BYTES)
        self.server.register(self)
        HTTP(self.server, channel=self.channel).register(self)
        self.alarm = Alarm().register(self)
        self._responses: dict[CallId, Any] = {}
        self._losing: set[CallId] = set()
        self._frozen: list[Call] = []
        self._calls_of_socket: dict[Any, CallId] = {}
        self._seen: deque[dict[str, Any]] = deque(maxlen=SEEN_REQUESTS)
        self._seen_numbers = itertools.count(1)
        self._call_ids = itertools.count(1)

    def routes(self) -> Routes:
        """Return the handlers by method and path pattern."""
        return {}

    def on_faults_changed(self) -> None:
        """React to new fault values."""

    def on_caller_left(self, call_id: CallId) -> None:
        """React to a caller that left before its answer was complete."""

    @property
    def address(self) -> str:
        """Return ``ip:port`` of the listening socket."""
        return f"{self.server.host}:{self.server.port}"

    # Incoming

    @handler("disconnect")
    def _on_disconnect(self, sock: Any) -> None:
        call_id = self._calls_of_socket.pop(sock, None)
        if call_id is not None and self._responses.pop(call_id, None) is not None:
            self._losing.discard(call_id)
            self.on_caller_left(call_id)

    @handler("request", priority=1)
    def _on_request(self, event: Event, req: Any, res: Any) -> bool:
        event.stop()
        call_id = CallId(next(self._call_ids))
        self._responses[call_id] = res
        self._calls_of_socket[req.sock] = call_id
        segments = tuple(unquote(part) for part in req.path.strip("/").split("/"))
        raw = req.body.read()
        try:
            body = json.loads(raw) if raw else None
        except ValueError:
            self.answer(call_id, Answer(400, {"error": "the body is not JSON"}))
            return True
        headers = {name.lower(): value for name, value in req.headers.items()}
        query = dict(parse_qsl(req.qs or ""))
        call = Call(call_id, req.method, segments, query, headers, body)
        if segments in (("faults",), ("seen",)):
            self._route(call)
            return True
        seen = {"method": req.method, "path": req.path, "headers": headers}
        seen |= {"number": next(self._seen_numbers), "time_ms": wall_time_ms()}
        self._seen.append(seen | {"body": body})
        self._apply_faults(call)
        return True

    def _apply_faults(self, call: Call) -> None:
        action = self.faults.take()
        if action is FaultAction.FREEZE:
            self._frozen.append(call)
        elif action is FaultAction.REFUSE:
            self.answer(call.call_id, Answer(503, {"error": "outage"}))
        else:
            lose_answer = action is FaultAction.LOSE_ANSWER
            delay_s = self.faults.value("delay_ms") / 1000
            if delay_s:
                event = handle_call(call, lose_answer)
                self.alarm.fire_after(delay_s, event, self.channel)
            else:
                self._on_handle_call(call, lose_answer)

    @handler("handle_call")
    def _on_handle_call(self, call: Call, lose_answer: bool) -> None:
        if lose_answer and call.call_id in self._responses:
            self._losing.add(call.call_id)
        self._route(call)

    def _route(self, call: Call) -> None:
        common = {
            ("GET", "faults"): self._get_faults,
            ("PUT", "faults"): self._put_faults,
            ("GET", "seen"): self._get_seen,
        }
        answer: Answer | None = Answer(404, {"error": "no such path"})
        for (method, pattern), handle in itertools.chain(
            common.items(), self.routes().items()
        ):
            names = _match(pattern, call.segments)
            if method == call.method and names is not None:
                answer = _call_handler(handle, call, names)
                break
        if answer is not None:
            self.answer(call.call_id, answer)

    def _get_faults(self, call: Call) -> Answer:
        return Answer(200, self.faults.values())

    def _put_faults(self, call: Call) -> Answer:
        if not isinstance(call.body, dict):
            raise ValueError("the body is not a mapping")
        self.faults.replace(call.body)
        if not self.faults.value("freeze"):
            frozen, self._frozen = self._frozen, []
            for held in frozen:
                self._apply_faults(held)
        self.on_faults_changed()
        return Answer(200, self.faults.values())

    def _get_seen(self, call: Call) -> Answer:
        return Answer(200, {"requests": list(self._seen)})

    # Outgoing

    def is_waiting(self, call_id: CallId) -> bool:
        """Return whether the caller is still there and not fully answered."""
        return call_id in self._responses

    def answer(self, call_id: CallId, answer: Answer) -> None:
        """Send a plain answer, or close the connection if its answer is to be lost."""
        res = self._finish(call_id)
        if res is None:
            return
        res.status = answer.status
        res.headers["Content-Type"] = "application/json"
        res.body = json.dumps(answer.body, separators=(",", ":"))
        self.fire(response(res))

    def begin_stream(self, call_id: CallId) -> None:
        """Send the head of a server-sent event stream."""
        res = self._responses.get(call_id)
        if res is None:
            return
        if call_id in self._losing:
            self.fire(close(res.request.sock))
            return
        res.headers["Content-Type"] = "text/event-stream"
        res.headers["Cache-Control"] = "no-cache"
        # An iterator as body makes ``prepare`` choose chunked encoding. The generator
        # form of streams delivers one chunk per idle tick (100 ms), so chunks are
        # pushed instead.
        res.stream = True
        res.body = iter(())
        res.prepare()
        res.body = []
        self.fire(write(res.request.sock, bytes(res) + bytes(res.headers)))

    def push(self, call_id: CallId, data: bytes) -> None:
        """Send one chunk of a stream."""
        res = self._responses.get(call_id)
        if res is not None:
            # Framed here, because a ``stream`` event adds three events per chunk.
            framed = b"%x\r\n%b\r\n" % (len(data), data) if res.chunked else data
            self.fire(write(res.request.sock, framed))

    def end_stream(self, call_id: CallId) -> None:
        """End a stream."""
        res = self._finish(call_id)
        if res is not None:
            self.fire(stream(res, None))

    def abort(self, call_id: CallId) -> None:
        """Close the connection of a call."""
        res = self._responses.get(call_id)
        if res is not None:
            self.fire(close(res.request.sock))

    def _finish(self, call_id: CallId) -> Any:
        """Forget a call and return its response, or None if nothing may be sent."""
        if call_id in self._losing:
            self.abort(call_id)
            return None
        res = self._responses.pop(call_id, None)
        if res is not None:
            self._calls_of_socket.pop(res.request.sock, None)
        return res


def _match(pattern: str, segments: tuple[str, ...]) -> tuple[str, ...] | None:
    """Return the segments that stand for ``*``, or None without a match."""
    parts = pattern.split("/")
    if len(parts) != len(segments):
        return None
    pairs = list(zip(parts, segments, strict=True))
    if any(part not in ("*", segment) for part, segment in pairs):
        return None
    return tuple(segment for part, segment in pairs if part == "*")


def _call_handler(handle: Handler, call: Call, names: tuple[str, ...]) -> Answer | None:
    """Call a handler; invalid input, which it raises, is answered 400."""
    try:
        return handle(call, *names)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return Answer(400, {"error": f"{type(error).__name__}: {error}"})


def wall_time_ms() -> int:
    """Return the time since the epoch in milliseconds."""
    return time.time_ns() // 1_000_000


class Process(BaseComponent):
    """Root component of a stand-in's process: announces it and stops it."""

    channel = "process"

    def __init__(self, main: BaseComponent, **addresses: Callable[[], str]) -> None:
        super().__init__()
        EPoll().register(self)
        main.register(self)
        self._addresses = addresses

    @handler("started", channel="*")
    def _on_started(self, component: BaseComponent) -> None:
        # A stand-in keeps nothing on disk, so it ends at once; the manager's own signal
        # handler would first wait for its event queue.
        signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
        ready = {"event": "ready"}
        ready |= {name: address() for name, address in self._addresses.items()}
        sys.stdout.write(json.dumps(ready) + "\n")
        sys.stdout.flush()


def serve(front: HttpFront) -> None:
    """Run a stand-in until it gets SIGTERM."""
    Process(front, address=lambda: front.address).run()
