"""A stream goes on only at the version that began it, whichever processes are lost."""

from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from chervilgw.core.deployment import RegisteredServer, ServerState
from chervilgw.core.ids import Incarnation, RequestId, VmId
from chervilgw.core.messages import StreamOriginQuery
from chervilgw.platform.software_versions import (
    VersionRecord,
    decode_versions,
    encode_versions,
    make_version_record,
)
from chervilgw.routing.begun_streams import BegunStreams, make_begun_streams
from chervilgw.routing.stream_origins import (
    RETENTION_S,
    ResumptionStep,
    StreamOrigins,
    decide_resumption,
    make_stream_origins,
)
from chervilgw.routing.version_history import VersionHistory, make_version_history

SERVICE, MODELS = "llm", {"m": frozenset()}
VMS, ENTRIES = range(4), range(3)
versions = st.sampled_from(["1", "2"])
vms, entries = st.sampled_from(VMS), st.sampled_from(ENTRIES)


@dataclass(slots=True)
class Vm:
    """An engine, None if there is none, and its agent, None if it does not run."""

    engine: RegisteredServer | None = None
    agent: BegunStreams | None = None


@dataclass(slots=True)
class Entry:
    """What one entry process knows."""

    relayed: StreamOrigins = field(default_factory=make_stream_origins)
    history: VersionHistory = field(default_factory=make_version_history)
    record: VersionRecord = field(default_factory=make_version_record)
    written: dict | None = None

    def read_store(self, stored: bytes | None, now_s: float) -> None:
        if stored is not None:
            self.history.on_record(decode_versions(stored), now_s)
            self.record.on_record(decode_versions(stored))
        self.record.on_listed(now_s)
        self.history.on_records_read()

    def report_due(self) -> None:
        """Let the record be written if what the entry knows has changed."""
        known = self.history.to_record()
        if known != self.written:
            self.written = known
            self.record.on_due(known)


@dataclass(frozen=True, slots=True)
class Stream:
    """A broken stream: the version that wrote its events, and who knows it."""

    attempt: str
    version: str
    begun_s: float
    agent: BegunStreams | None


class StreamVersionsMachine(RuleBasedStateMachine):
    """Entries, agents and engines of one service; all processes may be lost."""

    @initialize(held=st.lists(versions, min_size=len(VMS), max_size=len(VMS)))
    def start(self, held):
        self.now_s, self.number = 0.0, 0
        self.stored, self.copy = None, None
        self.vms = [Vm() for _ in VMS]
        self.entries: list[Entry | None] = [None for _ in ENTRIES]
        self.streams: list[Stream] = []
        for vm, version in zip(VMS, held, strict=True):
            self.start_agent(vm)
            self.start_engine(vm, version)
        for entry in ENTRIES:
            self.start_entry(entry)
        self.begin_streams(0)

    def next_number(self):
        self.number += 1
        return self.number

    def registered(self):
        return [vm.engine for vm in self.vms if vm.engine is not None]

    def running(self):
        return [entry for entry in self.entries if entry is not None]

    def is_running(self):
        return bool(self.running())

    def read_list(self):
        """Let all entries read the list of servers, and the first one write."""
        for entry in self.running():
            entry.history.on_servers(self.registered(), self.now_s)
        for entry in self.running()[:1]:
            entry.report_due()
            self.stored = self.written_by(entry)

    @rule(seconds=st.sampled_from([1.0, 1.0, 30.0, RETENTION_S + 1.0]))
    def wait(self, seconds):
        self.now_s += seconds
        self.streams = [
            stream
            for stream in self.streams
            if self.now_s - stream.begun_s <= RETENTION_S
        ]
        self.read_list()

    @rule(vm=vms, version=versions)
    def start_engine(self, vm, version):
        number = self.next_number()
        name, address = f"i-{number}", f"10.0.0.{vm}:80"
        self.vms[vm].engine = RegisteredServer(
            name,
            SERVICE,
            address,
            "a",
            64,
            ServerState.READY,
            number,
            MODELS,
            software_version=version,
        )
        self.subscribe(vm)
        self.read_list()

    def subscribe(self, vm):
        engine, agent = self.vms[vm].engine, self.vms[vm].agent
        if engine is not None and agent is not None and self.is_running():
            agent.on_registered(engine.started_ms, engine.software_version)

    @rule(vm=vms)
    def stop_engine(self, vm):
        self.vms[vm].engine = None
        self.read_list()

    def stop_version(self, version):
        for vm in self.vms:
            if vm.engine is not None and vm.engine.software_version == version:
                vm.engine = None
        self.read_list()

    @rule(vm=vms, runs=st.booleans())
    def kill_agent(self, vm, runs):
        self.vms[vm].agent = None
        if runs:
            self.start_agent(vm)

    def start_agent(self, vm):
        self.vms[vm].agent = make_begun_streams(SERVICE)
        self.subscribe(vm)

    @rule(entry=entries, is_lost=st.booleans())
    def start_entry(self, entry, is_lost=False):
        self.entries[entry] = started = Entry()
        started.history.on_servers(self.registered(), self.now_s)
        # What is known before the record was read is due before the listing.
        started.record.on_due(started.history.to_record())
        assert started.record.take_due(self.now_s) is None
        started.read_store(self.stored, self.now_s)
        self.stored = self.written_by(started)
        if is_lost:
            self.entries[entry] = None
        for vm in VMS:
            self.subscribe(vm)
        self.read_list()

    def written_by(self, entry):
        """Return the record after an entry wrote what was due, if anything was."""
        due = entry.record.take_due(self.now_s)
        return self.stored if due is None else encode_versions(due)

    @rule(entry=entries)
    def kill_entry(self, entry):
        self.entries[entry] = None

    @rule(
        agents=st.booleans(),
        stopped=st.none() | versions,
        waited_s=st.sampled_from([0.0, 30.0]),
    )
    def lose_power(self, agents, stopped, waited_s):
        """Start all entries anew, and agents; a version may just have left."""
        if stopped is not None:
            self.stop_version(stopped)
        self.wait(waited_s)
        self.entries = [None for _ in ENTRIES]
        for vm in VMS if agents else ():
            self.start_agent(vm)
        for entry in ENTRIES:
            self.start_entry(entry)

    @rule()
    def copy_store(self):
        self.copy = self.stored

    @precondition(is_running)
    @rule()
    def restore_store(self):
        self.stored = self.copy
        for entry in self.running():
            entry.record.on_restored(self.now_s)
            entry.written = None
            entry.read_store(self.stored, self.now_s)
        self.read_list()

    @precondition(is_running)
    @rule(entry=entries)
    def begin_streams(self, entry):
        running = self.running()
        chosen = running[entry % len(running)]
        for vm in self.vms:
            if vm.engine is not None:
                self.begin_stream(chosen, vm.engine.software_version, vm.agent)

    def begin_stream(self, entry, version, agent):
        number = self.next_number()
        attempt = f"a{number}"
        if agent is not None:
            turn = RequestId(Incarnation(VmId("e"), 1), number)
            agent.on_granted(turn)
            agent.on_begun(turn, attempt, self.now_s)
        entry.relayed.on_begun(SERVICE, attempt, version, self.now_s)
        self.streams.append(Stream(attempt, version, self.now_s, agent))

    def ask(self, attempt, heard_agents):
        """Return what agents that are heard, and all entries, answer."""
        query = StreamOriginQuery(SERVICE, attempt, "10.0.0.9:7600")
        reported = make_stream_origins()
        for vm in heard_agents:
            agent = self.vms[vm].agent
            origin = agent.answer(query) if agent is not None else None
            if origin is not None:
                reported.on_begun(SERVICE, attempt, origin.version, self.now_s)
        for entry in self.running():
            known = entry.relayed.find(SERVICE, attempt)
            if known is not None:
                reported.on_begun(SERVICE, attempt, known, self.now_s)
        return reported.find(SERVICE, attempt)

    def decide(self, entry, stream, heard_agents):
        """Return where a stream that its caller takes up may go on."""
        known = entry.relayed.find(SERVICE, stream.attempt)
        if known is None:
            known = self.ask(stream.attempt, heard_agents)
        in_service = frozenset(each.software_version for each in self.registered())
        recent = entry.history.recent(SERVICE)
        return decide_resumption(known, recent, in_service, may_ask=False)

    @precondition(is_running)
    @rule(entry=entries, heard=st.sets(vms))
    def take_streams_up(self, entry, heard):
        running = self.running()
        entry = running[entry % len(running)]
        for stream in self.streams:
            version = self.decide(entry, stream, heard).version
            if version is not None:
                entry.relayed.on_begun(SERVICE, stream.attempt, version, self.now_s)

    @invariant()
    def no_stream_goes_on_at_another_version(self):
        """Guards against texts that are joined from two versions."""
        for entry in self.running():
            for stream in self.streams:
                for heard in (VMS, ()):
                    decision = self.decide(entry, stream, heard)
                    assert decision.version in (None, stream.version)

    @invariant()
    def streams_of_living_agents_go_on(self):
        """Guards against a refusal although the version is known and in service."""
        serving = [each.software_version for each in self.registered()]
        agents = [vm.agent for vm in self.vms if vm.agent is not None]
        for stream in self.streams:
            is_known = any(agent is stream.agent for agent in agents)
            if is_known and serving.count(stream.version) >= 2:
                for entry in self.running():
                    decision = self.decide(entry, stream, VMS)
                    assert decision.step is ResumptionStep.RESUME


TestStreamVersions = StreamVersionsMachine.TestCase
