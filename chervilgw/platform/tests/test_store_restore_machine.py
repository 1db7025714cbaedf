"""Store tasks of several processes on a store that forgets a suffix of its log."""

import base64
import json
import math
import struct
from collections import Counter
from urllib.parse import parse_qs, urlsplit

import hypothesis.strategies as st
from circuits import BaseComponent, Component, handler
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chervilgw.forward.events import fencing_token_requested
from chervilgw.membership.evacuations import REWRITE_TIMEOUT_S, make_evacuations
from chervilgw.platform.boot import decode_settings
from chervilgw.platform.store import make_store_task
from chervilgw.runtime.events import CallDone, CallFailed, call_done, call_failed

from .test_boot import ENTRY_SETTINGS
from .test_odd_records import CONFIGURATION

SETTINGS = decode_settings(ENTRY_SETTINGS)
PROCESSES = st.integers(0, 2)
ZONES = st.sampled_from("ab")
# A topic is listed once and read to its end; a call may wait for an earlier one.
SETTLING_ROUNDS = 4


class Store:
    """The operators' topic and the fencing tokens, with the operators' lost writes."""

    def __init__(self):
        self.era, self.fences, self.version = 1, 0, 0
        self.records = []
        self.acknowledged, self.lost = {}, {}

    def write(self, key, value):
        self.records.append((key, value))
        self.acknowledged[key] = value
        self.lost.pop(key, None)

    def write_again(self):
        for key, value in list(self.lost.items()):
            self.write(key, value)

    def restore(self, end, fences):
        self.lost = dict(self.records[end:]) | self.lost
        del self.records[end:]
        self.fences = min(fences, self.fences)
        self.era += 1

    def answer(self, spec):
        parts = urlsplit(spec.path)
        query = parse_qs(parts.query)
        is_followed = query["topic"] == ["keyed.op"]
        records = self.records if is_followed else []
        if parts.path == "/log-append":
            self.fences += 1
            body = json.dumps({"offset": self.fences - 1}).encode()
        elif parts.path == "/log-newest":
            body = self._listing(records)
        else:
            start = int(query["from"][0])
            if start > len(records):
                return self._done(spec, 410, b"{}")
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + value
                body += struct.pack(">I", len(content)) + content
        return self._done(spec, 200, body)

    def _listing(self, records):
        newest = {key: (at, value) for at, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": at}
            for key, (at, value) in sorted(newest.items())
            if value
        ]
        return json.dumps({"items": items, "end": len(records)}).encode()

    def _done(self, spec, status, body):
        headers = (("Store-Era", str(self.era)),)
        return CallDone(spec.call, status, headers, body)


class Process(BaseComponent):
    """Follows the store and applies what the store task tells the other tasks."""

    def __init__(self):
        super().__init__()
        self.evacuations, self.now_s = make_evacuations(), 0.0
        self.calls, self.tokens, self.version = {}, [], 0
        self.root = Component()
        self.register(self.root)
        self.store = make_store_task(SETTINGS, True).register(self.root)
        self.send_due()

    def send_due(self):
        self.store.send_due_calls(math.inf)
        self.flush_all()

    def flush_all(self):
        while len(self.root):
            self.root.flush()

    def tell(self, event):
        self.root.fire(event, "store")
        self.flush_all()
        self.send_due()

    @handler("http_call", channel="*")
    def _on_call(self, spec):
        self.calls[spec.call] = spec

    @handler("deployment_changed", channel="*")
    def _on_deployment(self, deployment):
        assert deployment.version > self.version
        self.version = deployment.version

    @handler("zone_record_read", channel="*")
    def _on_record(self, zone, is_evacuated, position):
        self.evacuations.on_record(zone, is_evacuated, position, self.now_s)

    @handler("evacuations_listed", channel="*")
    def _on_listed(self, positions, end):
        self.evacuations.on_set(positions, end, self.now_s)

    @handler("fencing_token_assigned", channel="*")
    def _on_token(self, token):
        self.tokens.append(token)


class StoreRestoreMachine(RuleBasedStateMachine):
    """Guards against state that goes back with the store, or is not written again.

    A configuration in force never goes back, nor an evacuation that a process knew and
    that was not revoked; tokens never repeat; all processes agree with the operators
    once these have written again what was lost.
    """

    @initialize()
    def start(self):
        self.store = Store()
        self.processes = [Process() for _ in range(3)]
        self.known = [set() for _ in range(3)]
        self.answers, self.reports, self.former_tokens = [], [], []

    @rule()
    def write_configuration(self):
        self.store.version += 1
        value = json.dumps(CONFIGURATION | {"version": self.store.version}).encode()
        self.store.write("config", value)

    @rule(zone=ZONES, is_evacuated=st.booleans())
    def write_zone(self, zone, is_evacuated):
        self.store.write(f"evacuate/{zone}", b"{}" if is_evacuated else b"")
        for known in self.known:
            known.discard(zone)

    @rule(data=st.data())
    def restore(self, data):
        end = data.draw(st.integers(0, len(self.store.records)))
        self.store.restore(end, data.draw(st.integers(0, self.store.fences)))

    @rule()
    def write_again(self):
        self.store.write_again()

    @rule(process=PROCESSES)
    def request_token(self, process):
        self.processes[process].tell(fencing_token_requested("agent", "vm"))

    @rule(process=PROCESSES, is_late=st.booleans())
    def answer_calls(self, process, is_late):
        self.take_answers(self.processes[process])
        if not is_late:
            self.deliver_answers()

    def take_answers(self, process):
        calls, process.calls = process.calls, {}
        for spec in calls.values():
            self.answers.append((process, self.store.answer(spec)))

    @rule(newest_first=st.booleans())
    def deliver_answers(self, newest_first=False):
        answers, self.answers = self.answers, []
        for process, answer in reversed(answers) if newest_first else answers:
            process.tell(call_done(answer))

    @rule(process=PROCESSES, data=st.data())
    def restore_between_answers(self, process, data):
        """Deliver an answer of the later era before those of the earlier one."""
        self.request_token(process)
        self.take_answers(self.processes[process])
        self.restore(data)
        self.request_token(process)
        self.take_answers(self.processes[process])
        self.deliver_answers(newest_first=True)
        self.answer_calls(process, False)

    @rule(process=PROCESSES)
    def fail_calls(self, process):
        calls, self.processes[process].calls = self.processes[process].calls, {}
        for call in calls:
            failed = CallFailed(call, True, "connection reset")
            self.processes[process].tell(call_failed(failed))

    @rule(process=PROCESSES)
    def start_anew(self, process):
        self.former_tokens += self.processes[process].tokens
        self.processes[process] = Process()
        self.processes[process].now_s = self.processes[process - 1].now_s
        self.known[process] = set()

    @rule(process=PROCESSES)
    def send_report(self, process):
        sender = self.processes[process]
        report = sender.evacuations.report(sender.now_s)
        if report is not None:
            self.reports.append(report)

    @rule(process=PROCESSES, data=st.data())
    def receive_report(self, process, data):
        if self.reports:
            report, to = data.draw(st.sampled_from(self.reports)), self.processes
            evacuations, now_s = to[process].evacuations, to[process].now_s
            evacuations.on_set(report.positions, report.end, now_s)
            evacuations.on_retained(report.retained, report.end, now_s)

    @rule()
    def settle(self):
        self.store.write_again()
        self.deliver_answers()
        for _ in range(SETTLING_ROUNDS):
            for process in self.processes:
                self.take_answers(process)
            self.deliver_answers()
        acknowledged = self.store.acknowledged
        zones = {zone for zone in "ab" if acknowledged.get(f"evacuate/{zone}")}
        for number, process in enumerate(self.processes):
            process.now_s += REWRITE_TIMEOUT_S
            process.evacuations.expire(process.now_s)
            assert process.version == self.store.version
            assert {zone for zone in "ab" if zone in process.evacuations} == zones
            self.known[number] = set(zones)

    @invariant()
    def known_evacuations_stay(self):
        for process, known in zip(self.processes, self.known, strict=True):
            assert all(zone in process.evacuations for zone in known)

    @invariant()
    def tokens_never_repeat(self):
        tokens = Counter(self.former_tokens)
        tokens.update(token for each in self.processes for token in each.tokens)
        assert all(count == 1 for count in tokens.values())

    def teardown(self):
        if hasattr(self, "store"):
            self.settle()


TestStoreRestoreMachine = StoreRestoreMachine.TestCase
