"""Gateway task with engines of several software versions, without a network."""

import time
from dataclasses import replace

from circuits import BaseComponent, Component, handler

from chervilgw.core.deployment import RegisteredServer, ServerState
from chervilgw.core.ids import Incarnation
from chervilgw.core.messages import EngineReport, TurnGranted, TurnRequest
from chervilgw.forward import events
from chervilgw.forward.gateway import GatewayOptions, make_gateway
from chervilgw.forward.tests.test_evacuation import DEPLOYMENT, MODEL, STREAM
from chervilgw.platform.requests import PlatformCodec
from chervilgw.runtime.events import (
    CallData,
    CallFailed,
    CallHead,
    HttpRequest,
    call_data,
    call_failed,
    call_head,
    clock_tick,
    http_request,
)
from chervilgw.settings.vm import Bounds

ROUTE = replace(STREAM, resumable=True)
HEADERS = (
    ("Content-Type", "text/event-stream"),
    ("X-Server-Seal", "1"),
    ("Transfer-Encoding", "chunked"),
)
SENT = (
    "http_call",
    "http_call_cancel",
    "http_reply",
    "http_push_data",
    "http_push_end",
    "agent_send",
    "server_list_wanted",
    "stream_origin_requested",
    "stream_origin_answered",
    "software_versions_due",
    "resumption_counted",
)


class Recorder(BaseComponent):
    """Records what the gateway sends to the other tasks."""

    def __init__(self):
        super().__init__()
        self.seen = []

    @handler(*SENT, channel="*")
    def _on_sent(self, event, *args):
        self.seen.append((event.name, args))


class StreamEntry:
    """An entry with a resumable route to engines; ``versions`` maps them to versions.

    An engine ``i-N`` is at 10.0.0.N and holds the model.
    """

    def __init__(self, versions, reads_record=True, vm="e1", has_agents=False):
        self.root, self.recorder = Component(), Recorder()
        self.recorder.register(self.root)
        options = GatewayOptions(Incarnation(vm, 1), "a", Bounds(), first_start=True)
        self.gateway = make_gateway(options, PlatformCodec()).register(self.root)
        deployment = replace(DEPLOYMENT, routes=(ROUTE,))
        self.fire(events.deployment_changed(deployment), "*")
        self.position = 0
        for name, version in versions.items():
            self.register(name, version)
            if has_agents:
                report = EngineReport(name, 1, 0, False, False, "", {"m": ()}, 0, 0, 0)
                self.fire(events.engine_reported(report), "gateway")
        if versions:
            # So long ago that the first reports of agents are not waited for.
            self.gateway.fleet.on_listed(float("-inf"))
            self.fire(events.server_list_read(tuple(versions), 100), "*")
        if reads_record:
            self.fire(events.entry_list_read(()), "*")

    def fire(self, event, channel="gateway"):
        self.root.fire(event, channel)
        while len(self.root):
            self.root.flush()

    def register(self, name, version, started_ms=1, state=ServerState.READY):
        self.position += 1
        address = f"10.0.0.{name[2:]}:80"
        server = RegisteredServer(
            name, "llm", address, "a", 64, state, started_ms, {"m": frozenset()}
        )
        server = replace(server, software_version=version)
        self.fire(events.server_registered(server, self.position), "*")

    def leave(self, name):
        self.position += 1
        self.fire(events.server_unregistered(name, self.position), "*")

    def request(self, attempt="r", last_event=None, begun_by=None):
        headers = {"host": "h", "x-attempt-id": attempt} | MODEL
        if last_event is not None:
            headers["last-event-id"] = last_event
        if begun_by is not None:
            headers["resumes"] = begun_by
        number = len(self.recorder.seen) + 1
        http = HttpRequest(number, "GET", "/s/1", "", headers, b"")
        self.fire(http_request(http))

    def tick(self, after_s=0.0):
        self.fire(clock_tick(time.monotonic() + after_s, False), "*")

    def run_for(self, seconds):
        """Let ticks come at their interval for a time; return at its end."""
        for number in range(1, round(10 * seconds) + 1):
            self.tick(0.1 * number)

    def confirm_list(self, age_s=0.0):
        """Let the list of servers have been read by a call of this age."""
        self.fire(events.server_list_confirmed(time.monotonic() - age_s), "*")

    def grant(self):
        """Grant the turn that was requested last."""
        requests = [m for _, m in self.sent("agent_send") if type(m) is TurnRequest]
        turn = TurnGranted(requests[-1].turn, requests[-1].server)
        self.fire(events.turn_answered(turn))

    def head(self, attempt="r"):
        spec = self.sent("http_call")[-1][0]
        headers = (*HEADERS, ("X-Attempt-Id", attempt))
        self.fire(call_head(CallHead(spec.call, 200, headers)))

    def data(self, *numbers):
        spec = self.sent("http_call")[-1][0]
        body = b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)
        self.fire(call_data([CallData(spec.call, body)]))

    def answer(self, *numbers):
        """Let the server that was called last begin its answer with these events."""
        self.head()
        self.data(*numbers)

    def break_off(self, confirms_list=True):
        """Break the answer off; the list of servers is read at once, unless not."""
        spec = self.sent("http_call")[-1][0]
        failed = CallFailed(spec.call, True, "reset", connection_lost=True)
        self.fire(call_failed(failed))
        if confirms_list:
            self.confirm_list()

    def sent(self, name):
        return [args for seen, args in self.recorder.seen if seen == name]

    def called(self):
        """Return the servers that got a request."""
        addresses = [spec.address for (spec,) in self.sent("http_call")]
        return [f"i-{address.split('.')[-1][:-3]}" for address in addresses]

    def relayed(self):
        parts = [part for (parts,) in self.sent("http_push_data") for part in parts]
        return b"".join(part.data for part in parts).count(b"data: x")

    def refusals(self):
        return [reply.status for (reply,) in self.sent("http_reply")]

    def ends(self):
        """Return whether each relayed answer ended as complete."""
        return [is_complete for _, is_complete in self.sent("http_push_end")]
