"""Stand-ins of the platform for opaque requests: its store and its backend servers.

They speak what the platform's pages describe, as far as the tests need it, and run as
threads of the test's process. Faults are attributes that a test sets.
"""

from __future__ import annotations

import base64
import contextlib
import itertools
import json
import socket
import struct
import threading
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

WAIT_STEP_S = 0.01
DEFAULT_VERSION = "v1"
_BORN = itertools.count(1_700_000_000_000)


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args: Any) -> None:
        """Write nothing; the tests read what the stand-in recorded."""

    def _serve(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        self.server.owner.on_request(self, self.command, self.path, body)

    do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815

    def reply(self, status: int, body: bytes, headers: dict | None = None) -> None:
        """Send a whole answer."""
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def drop(self) -> None:
        """Close the connection without an answer."""
        self.close_connection = True


class _Server(ThreadingHTTPServer):
    daemon_threads = True

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.open: set[socket.socket] = set()

    def process_request(self, request: Any, client_address: Any) -> None:
        """Note the connection, and serve it in a thread."""
        self.open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Forget the connection and close it."""
        self.open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Pass over callers that left."""


@dataclass
class StandIn:
    """HTTP server in a thread; ``address`` is where it listens."""

    ip: str = "127.0.0.1"
    port: int = 0

    def start(self) -> None:
        """Listen, and serve until :meth:`stop`."""
        self.server = _Server((self.ip, self.port), _Handler)
        self.server.owner = self
        self.address = "{}:{}".format(*self.server.server_address[:2])
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Refuse further connections and break off the open ones."""
        self.server.shutdown()
        self.server.server_close()
        self.break_connections()

    def break_connections(self) -> None:
        """Break off the open connections."""
        for connection in list(self.server.open):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def on_request(self, handler: _Handler, method: str, path: str, body: bytes):
        """Answer a request."""
        raise RuntimeError("a stand-in answers its own requests")


@dataclass
class StoreStandIn(StandIn):
    """The store: topics with one partition, records with keys.

    ``down`` refuses all calls with 503, ``calls`` counts them. ``era`` is stated in all
    answers and rises when the store comes back from a copy.
    """

    down: bool = False
    era: int = 1
    topics: dict[str, list[tuple[str, bytes]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    lock: threading.RLock = field(default_factory=threading.RLock)
    calls: int = 0

    def put(self, topic: str, key: str, value: Any) -> None:
        """Append a record as an operator or a backend server does."""
        self.put_bytes(topic, key, b"" if value is None else json.dumps(value).encode())

    def put_bytes(self, topic: str, key: str, value: bytes) -> None:
        """Append a record with a value that need not be JSON."""
        with self.lock:
            self.topics[topic].append((key, value))

    def take_copy(self) -> dict[str, list[tuple[str, bytes]]]:
        """Return the records of each topic, for :meth:`restore`."""
        with self.lock:
            return {topic: list(records) for topic, records in self.topics.items()}

    def restore(self, copy: dict[str, list[tuple[str, bytes]]]) -> None:
        """Break off all connections and go back to a copy, in a new era."""
        with self.lock:
            for topic in list(self.topics):
                self.topics[topic] = list(copy.get(topic, ()))
            self.era += 1
        self.break_connections()

    def on_request(self, handler: _Handler, method: str, path: str, body: bytes):
        """Serve appends, reads and listings."""
        self.calls += 1
        if self.down:
            self._reply(handler, 503, b"")
            return
        parts = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/log-append":
            self._append(handler, query["topic"], body)
        elif parts.path == "/log-newest":
            self._newest(handler, query["topic"])
        else:
            self._read(handler, query)

    def _reply(
        self, handler: _Handler, status: int, body: bytes, era: int | None = None
    ):
        stated = self.era if era is None else era
        handler.reply(status, body, {"Store-Era": str(stated)})

    def _append(self, handler: _Handler, topic: str, body: bytes):
        content = body[4:]
        with self.lock:
            era, offset = self.era, len(self.topics[topic])
            if topic.startswith("keyed."):
                end = 1 + content[0]
                self.topics[topic].append((content[1:end].decode(), content[end:]))
            else:
                self.topics[topic].append(("", content))
        answer = {"offset": offset, "end": offset + 1}
        self._reply(handler, 200, json.dumps(answer).encode(), era)

    def _newest(self, handler: _Handler, topic: str):
        with self.lock:
            era, records = self.era, list(self.topics[topic])
        newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in newest.items()
            if value
        ]
        answer = {"items": items, "truncated": False, "end": len(records)}
        self._reply(handler, 200, json.dumps(answer).encode(), era)

    def _read(self, handler: _Handler, query: dict[str, str]):
        with self.lock:
            era, records = self.era, self.topics[query["topic"]]
        start = int(query["from"])
        if start > len(records):
            self._reply(handler, 410, json.dumps({"first": 0}).encode(), era)
            return
        until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(records) <= start and time.monotonic() < until_s and not self.down:
            threading.Event().wait(WAIT_STEP_S)
        if self.era != era:
            handler.drop()
            return
        records = list(records)
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        self._reply(handler, 200, body, era)


class OnResume(Enum):
    """Answer of a faulty server to a request that resumes a stream."""

    CONTINUE = "continue"
    RESTART = "restart"
    SKIP = "skip"
    ERROR = "error"
    REFUSE_UNPROVEN = "refuse_unproven"
    NO_EVENTS = "no_events"
    STOP_INSIDE_EVENT = "stop_inside_event"


# Status and content type of a signed answer that does not continue the stream.
_RESUME_ERRORS = {
    OnResume.ERROR: (500, "text/event-stream"),
    OnResume.REFUSE_UNPROVEN: (503, "text/event-stream"),
    OnResume.NO_EVENTS: (200, "text/plain"),
}


@dataclass
class ServerStandIn(StandIn):
    """A backend server; it records what it runs.

    ``break_after`` closes the connection after that many events of a stream, 0 before
    any answer; ``break_runs`` limits this to that many further runs. ``endless`` sends
    bodies without end. With ``sealed`` False answers do not bear the server's
    signature. ``work_s`` is the time of a run; ``hold`` delays each answer until it is
    set, or each stream after ``hold_after`` events. ``refuse`` answers that nothing has
    run. With ``framed`` False a stream has neither a length nor chunks and ends with
    its connection. ``stale_answer`` is written before each answer on a kept connection,
    as if it were the answer to an earlier request. ``on_resume`` says how a request
    that resumes a stream is answered. ``signals`` are headers that all answers bear.
    ``zone`` is the availability zone that the server registers with. ``status_line``
    takes the place of the first line of each answer to a request. ``version`` is the
    version of its software; each event states it unless it is the default.
    """

    name: str = "i-1"
    service: str = "desk"
    models: dict[str, list[str]] = field(default_factory=dict)
    break_after: int | None = None
    break_runs: int | None = None
    endless: bool = False
    sealed: bool = True
    refuse: bool = False
    signals: dict[str, str] = field(default_factory=dict)
    stale_answer: bytes = b""
    on_resume: OnResume = OnResume.CONTINUE
    work_s: float = 0.0
    events: int = 5
    event_pause_s: float = 0.0
    framed: bool = True
    deadly_part: str = ""
    on_crash: Callable[[ServerStandIn], None] | None = None
    hold: threading.Event = field(default_factory=threading.Event)
    hold_after: int = 0
    runs: list[dict[str, Any]] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    refused_s: list[float] = field(default_factory=list)
    zone: str = "a"
    status_line: bytes = b""
    version: str = DEFAULT_VERSION

    def __post_init__(self) -> None:
        self.born = next(_BORN)
        self.hold.set()

    def start_again(self) -> None:
        """Listen at another port, as a new incarnation under the same id."""
        self.born, self.signals = next(_BORN), {}
        self.orders.clear()
        self.start()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return what the server says of itself in the platform's list."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 64,
            "state": state,
            "cold_left_ms": 0,
            "born": self.born,
            "models": self._models(),
            "sequence": len(self.orders),
        }

    def _models(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "version": 1, "adapters": adapters}
            for name, adapters in self.models.items()
        ]

    def on_request(self, handler: _Handler, method: str, path: str, body: bytes):
        """Serve reports, orders and requests."""
        if path == "/report":
            self._report(handler)
        elif path == "/order":
            self._order(handler, json.loads(body))
        else:
            self._run(handler, method, path, body)

    def _report(self, handler: _Handler):
        report = {
            "models": self._models(),
            "busy": False,
            "sequence": len(self.orders),
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 1000,
            "born": self.born,
        }
        handler.reply(200, json.dumps(report).encode(), self.signals)

    def _order(self, handler: _Handler, order: dict[str, Any]):
        if handler.headers.get("X-Expect-Instance") != self.name:
            handler.reply(421, b"")
        elif order["expected"] != len(self.orders):
            handler.reply(409, b"")
        else:
            self.orders.append(order)
            if "adapter" in order and order["op"] == "model_unload":
                self.models[order["model"]].remove(order["adapter"])
            elif "adapter" in order:
                self.models[order["model"]].append(order["adapter"])
            elif order["op"] == "model_load":
                self.models[order["model"]] = []
            else:
                self.models.pop(order["model"], None)
            handler.reply(202, b"")

    def _run(self, handler: _Handler, method: str, path: str, body: bytes):
        headers = {name.lower(): value for name, value in handler.headers.items()}
        wrong = headers.get("x-expect-instance", self.name) != self.name
        if wrong or self.refuse:
            self.refused_s.append(time.monotonic())
            refusal = {"X-Not-Executed": "1"} | self.signals
            handler.reply(421 if wrong else 503, b"", refusal)
            return
        run = {"method": method, "path": path, "headers": headers, "body": body}
        run |= {"at_s": time.monotonic(), "born": self.born, "leaving": False}
        self.runs.append(run)
        is_kept, handler.answered = getattr(handler, "answered", False), True
        if is_kept and self.stale_answer:
            handler.wfile.write(self.stale_answer)
            handler.wfile.flush()
        threading.Event().wait(self.work_s)
        if not self.hold_after:
            self.hold.wait(30)
        if self.break_after == 0 and self._breaks():
            handler.drop()
            return
        seal = {
            "X-Server-Seal": f"{self.name}.{len(self.runs)}",
            "X-Attempt-Id": headers.get("x-attempt-id", ""),
        }
        if not self.sealed:
            seal = {}
        seal |= self.signals
        run["leaving"] = "Server-Leaving" in self.signals
        if self.status_line:
            self._answer_oddly(handler, seal)
        elif self.endless:
            self._pour(handler, seal)
        elif "last-event-id" in headers and self.on_resume in _RESUME_ERRORS:
            status, content_type = _RESUME_ERRORS[self.on_resume]
            seal["Content-Type"] = content_type
            handler.reply(status, b"id: 3\ndata: no answer\n\n", seal)
        elif "x-model" in headers:
            self._stream(handler, headers, seal)
        else:
            handler.reply(200, b"answer of " + self.name.encode(), seal)

    def _answer_oddly(self, handler: _Handler, seal: dict):
        """Send a signed answer that has an odd first line."""
        lines = [f"{name}: {value}".encode() for name, value in seal.items()]
        lines += [b"Content-Type: text/event-stream", b"Content-Length: 20", b"", b""]
        head = b"\r\n".join([self.status_line, *lines])
        handler.wfile.write(head + b"id: 1\ndata: odd one\n\n"[:20])

    def _pour(self, handler: _Handler, seal: dict):
        """Send a body until the other end closes the connection."""
        handler.send_response(200)
        for name, value in seal.items():
            handler.send_header(name, value)
        handler.end_headers()
        try:
            while True:
                handler.wfile.write(b"x" * 65_536)
        except OSError:
            handler.close_connection = True

    def _stream(self, handler: _Handler, headers: dict, seal: dict):
        handler.send_response(200)
        for name, value in seal.items():
            handler.send_header(name, value)
        handler.send_header("Content-Type", "text/event-stream")
        if self.framed:
            handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        parts = headers.get("x-prompt-prefix", "").split(",")
        if any(part.partition(":")[0] == self.deadly_part for part in parts):
            self._crash(handler)
            return
        first = int(headers.get("last-event-id", 0)) + 1
        if first > 1 and self.on_resume is OnResume.RESTART:
            first = 1
        elif first > 1 and self.on_resume is OnResume.SKIP:
            first += 1
        elif first > 1 and self.on_resume is OnResume.STOP_INSIDE_EVENT:
            self._chunk(handler, b"id: %d\ndata: to" % first)
            first = self.events + 1
        for number in range(first, self.events + 1):
            if self.hold_after and number > self.hold_after:
                self.hold.wait(30)
            is_late = self.break_after is not None and number > self.break_after
            if is_late and self._breaks():
                self._chunk(handler, b"id: %d\ndata: cu" % number)
                handler.wfile.flush()
                handler.drop()
                return
            self._chunk(handler, b"id: %d\ndata: %b\n\n" % (number, self._token()))
            threading.Event().wait(self.event_pause_s)
        if self.framed:
            handler.wfile.write(b"0\r\n\r\n")
        else:
            handler.drop()

    def _token(self) -> bytes:
        """Return the data of an event."""
        if self.version == DEFAULT_VERSION:
            return b"token"
        return b"token " + self.version.encode()

    def _breaks(self) -> bool:
        """Return whether a run that may break off does so."""
        if self.break_runs is None:
            return True
        self.break_runs -= 1
        return self.break_runs >= 0

    def restart(self, version: str) -> None:
        """Start again under the same id with another version of the software."""
        self.stop()
        self.port = int(self.address.rpartition(":")[2])
        self.version, self.born, self.orders = version, next(_BORN), []
        self.start()

    def _crash(self, handler: _Handler):
        handler.wfile.flush()
        handler.drop()
        self.stop()
        if self.on_crash is not None:
            self.on_crash(self)

    def _chunk(self, handler: _Handler, data: bytes):
        if self.framed:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        handler.wfile.write(data)
