"""A stream goes on only at the version that began it, whichever processes are lost."""

from dataclasses import dataclass, field, replace

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
from chervilgw.routing.resumptions import (
    ORIGIN_WAIT_S,
    ResumptionDecision,
    Resumptions,
    ResumptionStep,
    ServingVersions,
    TakeUp,
    make_resumptions,
)
from chervilgw.routing.stream_origins import RETENTION_S, make_stream_origins
from chervilgw.routing.version_history import make_version_history

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
    """What one entry process knows; ``is_apart`` if it is stopped or cut off.

    ``is_record_due`` is of one that has not read the record since it returned, and
    ``missed_restore`` of one that was apart when the store was restored.
    """

    resumptions: Resumptions = field(default_factory=make_resumptions)
    record: VersionRecord = field(default_factory=make_version_record)
    versions: frozenset[str] = frozenset()
    read_s: float = float("-inf")
    is_apart: bool = False
    is_record_due: bool = False
    missed_restore: bool = False

    def read_list(self, servers: list[RegisteredServer], now_s: float) -> None:
        self.resumptions.on_servers(servers, now_s)
        self.versions = frozenset(each.software_version for each in servers)
        self.read_s = now_s

    def read_record(self, stored: bytes | None, now_s: float) -> None:
        if stored is not None:
            self.resumptions.on_record(decode_versions(stored), now_s)
        self.resumptions.on_records_read()

    def read_store(self, stored: bytes | None, now_s: float) -> None:
        if stored is not None:
            self.record.on_record(decode_versions(stored))
        self.record.on_listed(now_s)
        self.read_record(stored, now_s)

    def report_due(self) -> None:
        """Let the record be written if what the entry knows has changed."""
        changed = self.resumptions.take_changed_record()
        if changed is not None:
            self.record.on_due(changed)


@dataclass(frozen=True, slots=True)
class Stream:
    """A broken stream: the version that wrote its events, and who knows it."""

    attempt: str
    version: str
    begun_s: float
    agent: BegunStreams | None


class StreamVersionsMachine(RuleBasedStateMachine):
    """Entries, agents and engines of one service; all processes may be lost."""

    @initialize(
        held=versions.map(lambda version: [version] * len(VMS))
        | st.lists(versions, min_size=len(VMS), max_size=len(VMS))
    )
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

    def in_touch(self):
        return [entry for entry in self.running() if not entry.is_apart]

    def is_running(self):
        return bool(self.running())

    def is_in_touch(self):
        return bool(self.in_touch())

    def read_list(self):
        """Let all entries in touch read the list of servers, and the first one write.

        Without any there is nobody who begins a stream. A record that is due is read.
        """
        for entry in self.in_touch():
            if entry.is_record_due:
                entry.read_record(self.stored, self.now_s)
            entry.is_record_due = False
            entry.read_list(self.registered(), self.now_s)
        for entry in self.in_touch()[:1]:
            entry.report_due()
            self.stored = self.written_by(entry)
        for entry in self.in_touch()[1:]:
            entry.resumptions.on_kept_elsewhere()

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
        if engine is not None and agent is not None and self.is_in_touch():
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
        started.read_list(self.registered(), self.now_s)
        # What is known before the record was read is due before the listing.
        known = sorted({each.software_version for each in self.registered()})
        started.record.on_due({SERVICE: tuple(known)} if known else {})
        assert started.record.take_due(self.now_s) is None
        started.read_store(self.stored, self.now_s)
        self.stored = self.written_by(started)
        if is_lost:
            self.entries[entry] = None
        for vm in VMS:
            self.subscribe(vm)
        self.read_list()

    @precondition(is_in_touch)
    @rule(entry=entries)
    def set_apart(self, entry):
        """Stop an entry, or cut it off from the store and the other entries."""
        in_touch = self.in_touch()
        in_touch[entry % len(in_touch)].is_apart = True

    @precondition(is_in_touch)
    @rule(entry=entries, vm=vms, version=versions, leaves=st.booleans())
    def serve_unseen(self, entry, vm, version, leaves):
        """Begin streams at a server that an entry sees late, or never."""
        self.set_apart(entry)
        self.start_engine(vm, version)
        if self.is_in_touch():
            self.begin_streams(entry)
        if leaves:
            self.stop_engine(vm)

    @rule(reads_record=st.booleans())
    def return_entries(self, reads_record):
        """Let the entries that are apart read the list, after a gap."""
        returned = [entry for entry in self.running() if entry.is_apart]
        for entry in returned:
            entry.is_apart = False
            if entry.missed_restore:
                self.observe_restore(entry)
            entry.resumptions.on_list_gap(self.now_s)
            entry.read_list(self.registered(), self.now_s)
            if reads_record:
                entry.read_record(self.stored, self.now_s)
        # An agent grants no turn at a start of its engine that it was not told of.
        for vm in VMS:
            self.subscribe(vm)
        self.read_list()
        for entry in returned:
            entry.is_record_due = not reads_record

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

    @precondition(is_in_touch)
    @rule(returns_first=st.booleans())
    def restore_store(self, returns_first):
        """Go back to the copy; entries that are apart may return before the rewrite."""
        self.stored = self.copy
        in_touch = self.in_touch()
        for entry in self.running():
            entry.missed_restore = entry.is_apart
        if returns_first:
            self.return_entries(reads_record=True)
        for entry in in_touch:
            self.observe_restore(entry)
        self.read_list()

    def observe_restore(self, entry):
        entry.missed_restore = entry.is_record_due = False
        entry.record.on_restored(self.now_s)
        entry.resumptions.on_store_restored(self.now_s)
        entry.report_due()
        entry.read_store(self.stored, self.now_s)
        self.stored = self.written_by(entry)

    @precondition(is_in_touch)
    @rule(entry=entries)
    def begin_streams(self, entry):
        # A version is recorded before a stream on it begins (decisions, Limits).
        self.read_list()
        in_touch = self.in_touch()
        chosen = in_touch[entry % len(in_touch)]
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
        entry.resumptions.on_relayed(SERVICE, attempt, version, self.now_s)
        self.streams.append(Stream(attempt, version, self.now_s, agent))

    def ask(self, asking, attempt, heard_agents, hears_entries):
        """Return what agents that are heard, and entries in touch, answer."""
        query = StreamOriginQuery(SERVICE, attempt, "10.0.0.9:7600")
        agents = [self.vms[vm].agent for vm in heard_agents]
        origins = [agent.answer(query) for agent in agents if agent is not None]
        answers = [origin.version for origin in origins if origin is not None]
        if hears_entries and not asking.is_apart:
            relayed = [
                entry.resumptions.find_relayed(SERVICE, attempt)
                for entry in self.in_touch()
            ]
            answers += [version for version in relayed if version is not None]
        return answers

    def decide(self, entry, stream, heard_agents, hears_entries) -> ResumptionDecision:
        """Return where a stream that its caller takes up may go on.

        The request arrives now. Entries in touch read the list once more after it.
        """
        asked_s = entry.read_s if entry.is_apart else self.now_s + 0.1
        serving = ServingVersions(entry.versions, True, True, asked_s)
        request = TakeUp(SERVICE, stream.attempt, self.now_s + 0.1, ORIGIN_WAIT_S, 10.0)
        # Answers count for this decision only.
        resumptions = replace(entry.resumptions, _reported=make_stream_origins())
        answers = self.ask(entry, stream.attempt, heard_agents, hears_entries)
        for version in answers:
            resumptions.on_reported(SERVICE, stream.attempt, version, self.now_s)
        return resumptions.decide(request, serving)

    @precondition(is_running)
    @rule(entry=entries, heard=st.sets(vms), hears_entries=st.booleans())
    def take_streams_up(self, entry, heard, hears_entries):
        running = self.running()
        entry = running[entry % len(running)]
        for stream in self.streams:
            decision = self.decide(entry, stream, heard, hears_entries)
            if decision.step is ResumptionStep.RESUME:
                entry.resumptions.on_relayed(
                    SERVICE, stream.attempt, decision.version, self.now_s
                )

    @invariant()
    def no_stream_goes_on_at_another_version(self):
        """Guards against texts that are joined from two versions."""
        for entry in self.running():
            for stream in self.streams:
                for heard, hears_entries in ((VMS, True), ((), False)):
                    decision = self.decide(entry, stream, heard, hears_entries)
                    if decision.step is ResumptionStep.RESUME:
                        assert decision.version == stream.version

    @invariant()
    def streams_of_living_agents_go_on(self):
        """Guards against a refusal although the version is known and in service."""
        serving = [each.software_version for each in self.registered()]
        agents = [vm.agent for vm in self.vms if vm.agent is not None]
        for stream in self.streams:
            is_known = any(agent is stream.agent for agent in agents)
            if is_known and serving.count(stream.version) >= 2:
                for entry in self.in_touch():
                    decision = self.decide(entry, stream, VMS, hears_entries=True)
                    assert decision.step is ResumptionStep.RESUME


TestStreamVersions = StreamVersionsMachine.TestCase


def test_record_that_a_restored_store_lacks_joins_no_stream():
    """Guards against a version that served in the gap and is not in the copy."""
    machine = StreamVersionsMachine()
    machine.start(["1"] * len(VMS))
    machine.serve_unseen(entry=0, vm=0, version="2", leaves=True)
    machine.return_entries(reads_record=False)
    machine.restore_store(returns_first=False)
    machine.no_stream_goes_on_at_another_version()
    machine.wait(RETENTION_S / 2)
    machine.no_stream_goes_on_at_another_version()


def test_entry_that_returns_to_a_restored_store_joins_no_stream():
    """Guards against a record that is read before another entry wrote it again."""
    machine = StreamVersionsMachine()
    machine.start(["1"] * len(VMS))
    machine.serve_unseen(entry=0, vm=0, version="2", leaves=True)
    machine.restore_store(returns_first=True)
    machine.no_stream_goes_on_at_another_version()


def test_version_that_comes_back_is_recorded_by_the_entry_that_recorded_it_before():
    """Guards against an entry that takes its former record for the present one."""
    machine = StreamVersionsMachine()
    machine.start(["2", "1", "1", "1"])
    machine.kill_entry(0)
    for vm in (1, 2):
        machine.stop_engine(vm)
    machine.start_engine(vm=3, version="2")
    machine.start_entry(0, is_lost=False)
    machine.wait(RETENTION_S + 1.0)
    machine.serve_unseen(entry=0, vm=0, version="1", leaves=True)
    machine.start_entry(0, is_lost=False)
    machine.no_stream_goes_on_at_another_version()


def test_entry_that_returned_to_a_restored_store_keeps_no_lesser_record():
    """Guards against an entry that never saw a version and writes the record anew."""
    machine = StreamVersionsMachine()
    machine.start(["1"] * len(VMS))
    machine.serve_unseen(entry=1, vm=0, version="2", leaves=True)
    machine.restore_store(returns_first=True)
    machine.set_apart(0)
    machine.lose_power(agents=False, stopped=None, waited_s=0.0)
    machine.no_stream_goes_on_at_another_version()


def test_sole_version_decides_again_once_no_stream_of_the_gap_is_taken_up():
    """Guards against an entry that refuses streams for good after a restore."""
    history = make_version_history()
    history.on_records_read()
    history.on_gap(1.0)
    history.on_store_restored(2.0)
    history.on_records_read()
    history.on_servers([], RETENTION_S + 1.0)
    assert history.recent(SERVICE) is None
    history.on_servers([], RETENTION_S + 2.0)
    assert history.recent(SERVICE) == frozenset()
