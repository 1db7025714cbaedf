"""Model engines and callers of streams, for the scripts of the cases 6 to 10."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
from dataclasses import dataclass, field

import fakes

MODEL = "m1"
KEY = "key-a"
# One event of each running request in each step of the batch.
STEP_S = 0.03
EVENTS = (20, 60)
# A load from the machine's memory or disk.
LOAD_S = 0.8
_NAMES = itertools.count()

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r-draft",
            "hostname": "desk.example",
            "path_prefix": "/draft/",
            "route_kind": "streaming",
            "timeout_ms": 15000,
            "target_latency_ms": 600,
            "priority": 2,
            "service": "llm",
            "max_attempts": 1,
            "allow_anonymous": False,
            "sticky_sessions": True,
            "resumable": False,
            "gap_aim_ms": 300,
        }
    ],
    "services": [
        {
            "name": "llm",
            "health_path": "/health",
            "max_connections": 360,
            "engine": {
                "slots": 64,
                "kv_tokens": 121069,
                "stride": 3,
                "weights_mb": 220000.0,
                "adapter_slots": 8,
                "loads_per_s": 1.1,
                "models": [
                    {
                        "name": MODEL,
                        "weights_mb": 72700.0,
                        "load_time_s": 8.6,
                        "warm_s": 0.81,
                        "disk_s": 1.7,
                        "adapters": 0,
                        "adapter_mb": 66.0,
                    }
                ],
            },
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {"name": "acme", "api_keys": [KEY], "unit": "token_rate", "plain_tokens": 200}
    ],
}


@dataclass
class Run:
    """A request that an engine runs."""

    attempt: str
    path: str
    writer: asyncio.StreamWriter
    events: int
    done: asyncio.Event
    written: int = 0


@dataclass
class ModelEngine(fakes.HttpStandIn):
    """A model engine, which answers reports and orders and streams in a batch.

    ``on_run`` is called with each run when it begins, and may change the seal.
    """

    service: str = "llm"
    zone: str = "a"
    record: fakes.Record | None = None
    batch: list[Run] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.begin()
        self.models = [MODEL]

    def begin(self) -> None:
        """Become a new incarnation, with a new id and no models."""
        self.name = f"i-{next(_NAMES)}{fakes.new_id(6)}"
        self.born = int(time.time() * 1000)
        self.models: list[str] = []
        self.sequence = 0
        self.busy = False
        self.is_alive = True

    def entry(self) -> dict:
        """Return what the engine writes into the list."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "born": self.born,
            "stage": "both",
            "models": self._models(),
            "sequence": self.sequence,
        }

    def _models(self) -> list[dict]:
        return [{"name": name, "version": 1, "adapters": []} for name in self.models]

    async def start(self) -> None:
        """Listen, and begin to step the batch."""
        await super().start()
        self.steps = asyncio.create_task(self._step())

    async def _step(self):
        while True:
            await asyncio.sleep(STEP_S)
            for run in list(self.batch):
                if run.writer.is_closing():
                    self.record.write(f"engine {self.name} sees {run.attempt} leave")
                    self._end(run)
                    continue
                run.written += 1
                data = f"id: {run.written}\ndata: {run.attempt}-{run.written}\n\n"
                run.writer.write(b"%x\r\n%b\r\n" % (len(data), data.encode()))
                if run.written == run.events:
                    run.writer.write(b"0\r\n\r\n")
                    self._end(run)

    def _end(self, run: Run):
        self.batch.remove(run)
        run.done.set()

    async def serve(self, request, reader, writer) -> bool:
        """Answer a report or an order, or run a request."""
        if request.path == "/report":
            return self._answer(writer, 200, json.dumps(self._report()).encode())
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return self._answer(writer, 421, b"", {"X-Not-Executed": "1"})
        if request.path == "/order":
            return self._answer(writer, self._take_order(json.loads(request.body)), b"")
        if request.headers.get("x-model") not in self.models:
            return self._answer(writer, 421, b"", {"X-Not-Executed": "1"})
        attempt = request.headers["x-attempt-id"]
        run = Run(attempt, request.path, writer, 0, asyncio.Event())
        run.events = random.randint(*EVENTS)
        seal = self.on_run(run, f"{self.name}.{attempt}")
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: {seal}\r\n"
            "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode("latin-1"))
        self.batch.append(run)
        await run.done.wait()
        return not writer.is_closing()

    def on_run(self, run: Run, seal: str) -> str:
        """Return the signature of an answer, when its run begins."""
        self.record.write(f"engine {self.name} runs {run.attempt}, {run.events} events")
        return seal

    def _answer(self, writer, status: int, body: bytes, headers=None) -> bool:
        writer.write(fakes.encode_answer(status, body, headers or {}))
        return True

    def _report(self) -> dict:
        return {
            "born": self.born,
            "models": self._models(),
            "busy": self.busy,
            "sequence": self.sequence,
            "at_hand": {"in_memory": [MODEL], "on_disk": [MODEL]},
            "waiting": 0,
            "running": len(self.batch),
            "kv_used": 1500 * len(self.batch),
            "kv_total": 121069,
            "handles": 0,
        }

    def _take_order(self, order: dict) -> int:
        if self.busy or order.get("expected", self.sequence) != self.sequence:
            return 409
        if order["op"] != "model_load" or "adapter" in order:
            return 400
        if order["model"] in self.models:
            return 200
        self.record.write(f"engine {self.name} loads {order['model']}")
        self.sequence += 1
        self.busy = True
        asyncio.get_running_loop().call_later(LOAD_S, self._on_loaded, self.name)
        return 202

    def _on_loaded(self, name: str):
        if self.name == name:
            self.models.append(MODEL)
            self.busy = False

    def crash(self) -> None:
        """Stop listening, and reset all connections."""
        self.is_alive = False
        self.stop()
        for run in list(self.batch):
            self._end(run)


@dataclass
class Outcome:
    """What one caller got: status, ids of the events, and whether it was complete."""

    attempt: str
    status: int = 0
    ids: list[int] = field(default_factory=list)
    complete: bool = False


async def read_stream(
    attempt: str, address: str, name: str = "", deadline_ms: int = 15000
) -> Outcome:
    """Send one request as a caller, and read its stream to the end.

    ``name`` stands for the path, the body and the parts of the prompt, which equal
    requests share.
    """
    outcome = Outcome(attempt)
    name = name or attempt
    host, _, port = address.rpartition(":")
    body, text = b"prompt " + name.encode(), b""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST /draft/{name} HTTP/1.1\r\nHost: desk.example\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Model: {MODEL}\r\nX-Token-Count: 400,180\r\n"
            f"X-Prompt-Prefix: {name[:8]}:300,{name[8:]}:100\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\nX-Credential: {KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        line, headers = await fakes.read_head(reader)
        outcome.status = int(line.split()[1])
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                text += (await reader.readexactly(size + 2))[:-2]
            outcome.complete = True
    except (EOFError, ValueError, OSError):
        # The connection was refused, or ended before the answer did.
        pass
    finally:
        if writer is not None:
            writer.close()
        lines = text.split(b"\n")
        outcome.ids = [int(line[4:]) for line in lines if line.startswith(b"id: ")]
    return outcome
