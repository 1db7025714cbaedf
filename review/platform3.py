"""Stand-ins of the platform for the cases 11 to 15, and the start of the programs.

They need the standard library alone. The store keeps logs and keyed topics, answers
410 for an offset that it does not have, and can come back from an older copy.
"""

from __future__ import annotations

import base64
import contextlib
import http.client
import json
import os
import random
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
BOUNDS = {
    "seed_lag_s": "3",
    "reuse_after_s": "2",
    "touch_ms": "3000",
    "ack_ms": "4000",
    "catch_up_s": "4",
    "drain_ms": "2000",
    "grace_s": "8",
    "loss_slack_ms": "200",
    "config_deadline_ms": "2000",
    "rollback_slack_ms": "250",
    "max_stretch_ms": "5000",
    "revoke_strict": "false",
    "revoke_ms": "5000",
    "budget_ratio": "0.2",
    "budget_window_s": "10",
    "budget_slack": "52",
    "quota_window_s": "8",
    "quota_over": "0.1",
    "quota_slack": "11000",
    "recover_s": "12",
    "pass_ms": "120",
    "again_s": "0",
    "require_fence": "false",
    "lease_ms": "3000",
    "thaw_slack_ms": "300",
    "ceiling_window_s": "5",
    "ceiling_over": "1.1",
}


class Record:
    """Writes what happened to ``record.txt`` and to standard output."""

    def __init__(self, folder: Path):
        self._file = open(folder / "record.txt", "w")  # noqa: SIM115
        self._start_s = time.monotonic()
        self._lock = threading.Lock()

    def __call__(self, text: str) -> None:
        """Write one line with the time since the start of the case."""
        with self._lock:
            line = f"{time.monotonic() - self._start_s:8.3f} {text}"
            print(line, flush=True)
            print(line, file=self._file, flush=True)


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        """Write nothing to standard error."""

    def _serve(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        self.server.owner.on_request(self, self.command, self.path, body)

    do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815

    def reply(self, status: int, body: bytes = b"", headers: dict | None = None):
        """Send a whole answer."""
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def drop(self):
        """Close the connection without an answer."""
        self.close_connection = True
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)


class _Listener(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, *args):
        super().__init__(*args)
        self._open: set[socket.socket] = set()

    def process_request(self, request, client_address):
        """Note the connection, and serve it in a thread."""
        self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        """Forget the connection and close it."""
        self._open.discard(request)
        super().shutdown_request(request)

    def break_connections(self):
        """End all open connections."""
        for connection in list(self._open):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def handle_error(self, request, client_address):
        """Pass over connections that were broken off."""


class StandIn:
    """HTTP server in threads; subclasses define ``on_request``."""

    def listen(self, ip: str) -> None:
        """Listen on a free port and serve."""
        self.listener = _Listener((ip, 0), _Handler)
        self.listener.owner = self
        self.ip = ip
        self.address = f"{ip}:{self.listener.server_address[1]}"
        threading.Thread(target=self.listener.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        self.listener.shutdown()
        self.listener.server_close()


class Store(StandIn):
    """The platform's store: topics with one partition each."""

    def __init__(self, ip: str, record: Record):
        self.topics: dict[str, list[tuple[float, bytes]]] = {}
        self.era = 1
        self.away = False
        self.changed = threading.Condition()
        self.record = record
        self.rewriters: list = []
        self.listen(ip)

    def put(self, topic: str, key: str, value: dict | None) -> int:
        """Append as the operator or a server does; return the offset."""
        name = key.encode()
        content = bytes([len(name)]) + name
        content += b"" if value is None else json.dumps(value).encode()
        return self.append(topic, [content])

    def append(self, topic: str, contents: list[bytes]) -> int:
        """Append records and return the offset of the first one."""
        with self.changed:
            records = self.topics.setdefault(topic, [])
            offset = len(records)
            records += [(time.monotonic(), content) for content in contents]
            self.changed.notify_all()
            return offset

    def end(self, topic: str) -> int:
        """Return the end offset of a topic."""
        return len(self.topics.get(topic, ()))

    def come_back_from_copy(self, copy_age_s: float, away_s: float) -> None:
        """Be away for a moment, and come back from a copy of some seconds before."""
        taken_s = time.monotonic() - copy_age_s
        before = {topic: self.end(topic) for topic in self.topics}
        with self.changed:
            self.away = True
            self.changed.notify_all()
        self.record(f"store: away for {away_s} s, its copy is {copy_age_s:.2f} s old")
        time.sleep(away_s)
        with self.changed:
            for topic, records in self.topics.items():
                self.topics[topic] = [item for item in records if item[0] <= taken_s]
            self.era += 1
            self.away = False
            self.changed.notify_all()
        ends = {
            topic: f"{before.get(topic, 0)} -> {self.end(topic)}"
            for topic in self.topics
        }
        self.record(f"store: back, Store-Era {self.era}, ends of the topics {ends}")
        for rewrite in self.rewriters:
            rewrite()

    def on_request(self, handler, method, path, body):
        """Serve appends, reads and listings."""
        parts = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        era = {"Store-Era": str(self.era)}
        if self.away:
            handler.reply(503, b"", era)
            return
        if parts.path == "/log-append":
            contents, position = [], 0
            while position < len(body):
                (size,) = struct.unpack_from(">I", body, position)
                contents.append(body[position + 4 : position + 4 + size])
                position += 4 + size
            offset = self.append(query["topic"], contents)
            answer = {"offset": offset, "end": offset + len(contents)}
            handler.reply(200, json.dumps(answer).encode(), era)
        elif parts.path == "/log-newest":
            handler.reply(200, self._newest(query["topic"]), era)
        elif parts.path == "/log-read":
            self._read(handler, query)
        else:
            handler.reply(404, b"", era)

    def _newest(self, topic: str) -> bytes:
        with self.changed:
            records = list(self.topics.get(topic, ()))
        newest = {}
        for offset, (_, content) in enumerate(records):
            end = 1 + content[0]
            newest[content[1:end].decode()] = (offset, content[end:])
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value
        ]
        answer = {"items": items, "truncated": False, "end": len(records)}
        return json.dumps(answer).encode()

    def _read(self, handler, query):
        topic, start = query["topic"], int(query["from"])
        until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        era = self.era
        with self.changed:
            while True:
                if self.away or self.era != era:
                    handler.drop()
                    return
                records = self.topics.get(topic, [])
                left_s = until_s - time.monotonic()
                if len(records) != start or left_s <= 0:
                    break
                self.changed.wait(left_s)
            records = list(records)
        header = {"Store-Era": str(self.era)}
        if start > len(records):
            handler.reply(410, json.dumps({"first": 0}).encode(), header)
            return
        body = struct.pack(">QQ", len(records), 0)
        for _, content in records[start:]:
            body += struct.pack(">I", len(content)) + content
        handler.reply(200, body, header)


class Server(StandIn):
    """A backend server: runs requests, and writes its entry every heartbeat."""

    def __init__(self, fleet: Fleet, name: str, service: str, models: list[str]):
        self.store, self.record = fleet.store, fleet.record
        self.name, self.service = name, service
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.models: dict[str, list[str]] = {model: [] for model in models}
        self.runs: list[tuple[float, str, str, dict]] = []
        self.orders: list[tuple[float, dict]] = []
        self.work_s = 0.01
        self.answer = b"answer of " + name.encode()
        self.lock = threading.Lock()
        self.signals: dict[str, str] = {}
        self.beating = True
        self.listen(fleet.next_ip())
        self.store.rewriters.append(self.beat)
        threading.Thread(target=self._beat_forever, daemon=True).start()

    def model_list(self) -> list[dict]:
        """Return the models as entries and reports list them."""
        return [
            {"name": name, "version": 1, "adapters": list(adapters)}
            for name, adapters in self.models.items()
        ]

    def beat(self) -> None:
        """Write the entry."""
        if not self.beating or self.store.away:
            return
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "jyl-a",
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "born": self.born,
            "cold_left_ms": 0,
            "models": self.model_list(),
            "sequence": len(self.orders),
        }
        self.store.put("keyed.servers", self.name, entry)

    def _beat_forever(self):
        while self.beating:
            self.beat()
            time.sleep(HEARTBEAT_S)

    def leave_unannounced(self) -> None:
        """Remove the entry without a report of draining, and go on serving."""
        self.beating = False
        self.signals = {"Server-Leaving": "1"}
        offset = self.store.put("keyed.servers", self.name, None)
        self.record(f"server {self.name}: entry removed, offset {offset}")

    def exit(self) -> None:
        """End with all requests in progress."""
        self.record(f"server {self.name}: exits")
        self.listener.break_connections()
        self.close()

    def on_request(self, handler, method, path, body):
        """Serve reports, orders and requests."""
        if path == "/report":
            self._report(handler)
        elif path == "/order":
            self._order(handler, json.loads(body))
        else:
            self._run(handler, method, path, body)

    def _report(self, handler):
        report = {
            "stage": "both",
            "born": self.born,
            "models": self.model_list(),
            "busy": False,
            "sequence": len(self.orders),
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 90000,
            "handles": 0,
            "coming": [],
        }
        handler.reply(200, json.dumps(report).encode())

    def _order(self, handler, order):
        if handler.headers.get("X-Expect-Instance") != self.name:
            handler.reply(421)
            return
        with self.lock:
            if order["expected"] != len(self.orders):
                handler.reply(409)
                return
            self.orders.append((time.monotonic(), order))
            model, adapter = order["model"], order.get("adapter")
            if order["op"] == "model_load" and adapter:
                self.models[model].append(adapter)
            elif order["op"] == "model_load":
                self.models[model] = []
            elif adapter:
                self.models[model].remove(adapter)
            else:
                self.models.pop(model, None)
        self.record(f"engine {self.name}: accepted {json.dumps(order)}")
        handler.reply(202)

    def _run(self, handler, method, path, body):
        headers = {name.lower(): value for name, value in handler.headers.items()}
        attempt = headers.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": attempt} | self.signals
        if headers.get("x-expect-instance", self.name) != self.name:
            handler.reply(421, b"", echo | {"X-Not-Executed": "1"})
            return
        model, _, adapter = headers.get("x-model", "").partition("/")
        if model and (
            model not in self.models or (adapter and adapter not in self.models[model])
        ):
            handler.reply(421, b"", echo | {"X-Not-Executed": "1"})
            return
        with self.lock:
            self.runs.append((time.monotonic(), attempt, path, headers))
            number = len(self.runs)
        tenant = headers.get("x-tenant")
        self.record(f"server {self.name}: runs {attempt} {path} tenant={tenant}")
        time.sleep(self.work_s)
        seal = echo | {"X-Server-Seal": f"{self.name}.{number}"}
        if not model:
            handler.reply(200, self.answer, seal)
            return
        events = b"".join(b"id: %d\ndata: token\n\n" % n for n in range(1, 4))
        handler.reply(200, events, seal | {"Content-Type": "text/event-stream"})


class Program:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, role: str, name: str, ip: str, fields: dict, folder: Path):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.words = deploy["roles"][role]["run"].split()
        self.name, self.ip, self.folder = name, ip, folder
        self.fields = {
            "node_name": name,
            "role": role,
            "ip": ip,
            "zone": "jyl-a",
            "region": "dk-jylland",
            "zones.jyl-a": "dk-jylland",
            "bootstrap": "true",
            "loss_counted": "false",
            "limits.cpu_share": "0.817",
            "limits.cores": "1",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "discovery": "platform",
            "entry_mode": "vip",
            "heartbeat_ms": "1200",
            "platform.form": "log",
            "platform.record_bytes": "262144",
        }
        self.fields |= {f"bounds.{key}": value for key, value in BOUNDS.items()}
        self.fields |= fields
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Write the settings file and start the process at the repository's root."""
        path = self.folder / f"{self.name}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in self.fields.items()))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "CHERVILGW_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.words[1:]],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        # The platform sets this only when the whole system starts for the first time.
        self.fields["bootstrap"] = "false"

    def kill(self) -> None:
        """End the process without notice."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10)

    def log_text(self) -> str:
        """Return what the process has written."""
        return (self.folder / f"{self.name}.log").read_text(errors="replace")


class Fleet:
    """Store, servers and programs of one case, on loopback addresses of their own."""

    def __init__(self, folder: Path):
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.net = f"127.{random.randint(64, 120)}.{random.randint(1, 250)}"
        self._hosts = iter(range(10, 250))
        self.store = Store(self.next_ip(), self.record)
        self.servers: list[Server] = []
        self.programs: list[Program] = []
        self.config: dict = {}

    def next_ip(self) -> str:
        """Return a loopback address that no other part uses."""
        return f"{self.net}.{next(self._hosts)}"

    def configure(self, config: dict) -> None:
        """Write a configuration as the operator; the store's answer acknowledges it."""
        self.config = json.loads(json.dumps(config))
        offset = self.store.put("keyed.op", "config", self.config)
        version = config["version"]
        self.record(f"operator: version {version} acknowledged, offset {offset}")

    def rewrite_config(self) -> None:
        """Write the newest configuration again if the store has lost it."""
        newest = self.store.topics["keyed.op"][-1:]
        if not newest or json.dumps(self.config).encode() not in newest[0][1]:
            self.configure(self.config)

    def add_server(self, name: str, service: str, *models: str) -> Server:
        """Start a backend server."""
        server = Server(self, name, service, list(models))
        self.servers.append(server)
        return server

    def add_program(self, role: str, name: str, ip: str, fields: dict) -> Program:
        """Start a process of the system."""
        fields = {
            "platform.address": self.store.address,
            "internal_ports": "7600,7615",
        } | fields
        program = Program(role, name, ip, fields, self.folder)
        self.programs.append(program)
        program.start()
        return program

    def add_entry(self, name: str, **fields: str) -> Program:
        """Start an entry."""
        ip = self.next_ip()
        fields = {
            "machine_class": "front",
            "serves": "front",
            "listen.front": f"{ip}:8221",
            "listen.ready": f"{ip}:8224",
        } | fields
        return self.add_program("entry", name, ip, fields)

    def add_agent(self, name: str, server: Server) -> Program:
        """Start the agent beside an engine."""
        fields = {
            "machine_class": "side",
            "serves": "",
            "app": server.address,
            "service": server.service,
        }
        return self.add_program("agent", name, server.ip, fields)

    def stop(self) -> None:
        """End all processes and stand-ins."""
        for program in self.programs:
            program.kill()
        for server in self.servers:
            server.beating = False
        for stand_in in (*self.servers, self.store):
            with contextlib.suppress(OSError):
                stand_in.close()
        if os.environ.get("KEEP_LOGS"):
            for program in self.programs:
                Path(os.environ["KEEP_LOGS"], f"{program.name}.log").write_text(
                    program.log_text()
                )
        self._temporary.cleanup()


def is_ready(entry: Program) -> bool:
    """Return what the balancer would see."""
    try:
        connection = http.client.HTTPConnection(entry.ip, 8224, timeout=1)
        connection.request("GET", "/ready")
        return connection.getresponse().status == 200
    except OSError:
        return False


def send(
    fleet: Fleet, entry: Program, path: str, key: str | None, what: str = "", **headers
) -> tuple[str, int, bytes, dict]:
    """Send a request as a client; return its id, and the answer."""
    attempt = os.urandom(8).hex()
    method = headers.pop("method", "POST")
    fields = {"Host": "desk.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "1500"}
    if key is not None:
        fields["X-Credential"] = key
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    connection = http.client.HTTPConnection(entry.ip, 8221, timeout=20)
    try:
        connection.request(method, path, b"" if method == "GET" else b"body", fields)
        answer = connection.getresponse()
        status, body, found = answer.status, answer.read(), dict(answer.headers)
    except (OSError, http.client.HTTPException) as error:
        status, body, found = 0, str(error).encode(), {}
    finally:
        connection.close()
    fleet.record(
        f"client: {attempt} {path} at {entry.name} {what}-> {status} {body[:70]!r}"
    )
    return attempt, status, body, found


def wait_for(condition, what: str, within_s: float = 25.0) -> None:
    """Wait until a condition holds; raise ``TimeoutError`` if it does not."""
    until_s = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > until_s:
            raise TimeoutError(f"not within {within_s} s: {what}")
        time.sleep(0.02)


def run_case(file: str, play) -> None:
    """Run a case: exit with 1 if ``play`` returns broken rules, 0 if not, 2 else."""
    folder = Path(file).resolve().parent
    trouble = os.environ.get("TROUBLE") != "0"
    fleet = Fleet(folder)
    status = 2
    try:
        broken = play(fleet, trouble)
        for line in broken:
            fleet.record(f"BROKEN: {line}")
        fleet.record("result: broken" if broken else "result: held")
        status = 1 if broken else 0
    except Exception as error:  # noqa: BLE001
        fleet.record(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        fleet.stop()
    sys.exit(status)
