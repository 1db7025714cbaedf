"""At most one run of a booking: state machine of sidecars with a faulty log."""

from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from chervilgw.bookings import (
    Answer,
    Append,
    Booking,
    Read,
    RecordedAnswer,
    Run,
    make_bookings,
)
from chervilgw.core.ids import Incarnation, RequestId, VmId
from chervilgw.core.refusals import Refusal
from chervilgw.core.states import RefusalReason, RunState

ENTRY = Incarnation(VmId("e1"), 1)
WINDOW_S = 3600
NOT_RUN, RAN, UNKNOWN = RunState.NOT_RUN, RunState.RUN, RunState.UNKNOWN


class Sidecars(RuleBasedStateMachine):
    """Sidecars, kills, and a log with outages, lost answers and late appends.

    Oracle: at most one run per digest at the service; an attempt that was answered "not
    run" has no run; every answer is that of the one run.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.log = []
        self.in_transit = []
        self.counter = 0
        self.start = 1
        self.runs = Counter()
        self.ran = set()
        self.not_run = set()
        self.answers = {}
        self.dispatched = []
        self.sidecars = [None] * 3
        self.operations = [[] for _ in self.sidecars]
        self.services = [{} for _ in self.sidecars]
        for index in range(3):
            self.boot(index)

    def boot(self, index):
        self.start += 1
        local = Incarnation(VmId(f"b{index}"), self.start)
        self.sidecars[index] = make_bookings(local, WINDOW_S, wait_s=2.0, retry_s=0.5)
        self.operations[index] = []
        self.services[index] = {}

    def carry_out(self, index, outputs):
        for output in outputs:
            if isinstance(output, Append | Read):
                self.operations[index].append(output)
            elif isinstance(output, Run):
                assert output.attempt not in self.not_run
                self.services[index][output.attempt] = True
            elif isinstance(output, Answer):
                digest = self.digest_of(output.attempt)
                assert output.answer == self.answers[digest]
            elif output.refusal.run is NOT_RUN:
                assert output.attempt not in self.ran
                self.not_run.add(output.attempt)

    def digest_of(self, attempt):
        [found] = {b.digest for b, _ in self.dispatched if b.attempt == attempt}
        return found

    def execute(self, attempt):
        digest = self.digest_of(attempt)
        self.runs[digest] += 1
        self.ran.add(attempt)
        answer = RecordedAnswer(200, (), str(attempt).encode())
        self.answers.setdefault(digest, answer)
        return answer

    index = st.integers(0, 2)

    @rule(index=index, digest=st.sampled_from("xy"), content=st.sampled_from("ccco"))
    def request(self, index, digest, content):
        self.counter += 1
        time_ms = int(self.now_s * 1000)
        item = Booking(digest, content, RequestId(ENTRY, self.counter), time_ms)
        self.dispatched.append((item, self.sidecars[index]))
        self.carry_out(index, self.sidecars[index].request(item, self.now_s))

    @precondition(lambda self: self.dispatched)
    @rule(data=st.data())
    def doubled_dispatch(self, data):
        item, sidecar = data.draw(st.sampled_from(self.dispatched))
        # A connection, and a dispatch in transit on it, ends with its process.
        if sidecar in self.sidecars:
            index = self.sidecars.index(sidecar)
            self.carry_out(index, sidecar.request(item, self.now_s))

    def some_operation(self):
        return any(self.operations)

    def pop_operation(self, data):
        choices = [i for i, found in enumerate(self.operations) if found]
        index = data.draw(st.sampled_from(choices))
        position = data.draw(st.integers(0, len(self.operations[index]) - 1))
        return index, self.operations[index].pop(position)

    def perform(self, index, operation, count=1000):
        sidecar = self.sidecars[index]
        if isinstance(operation, Append):
            self.log += operation.records
            outputs = sidecar.on_append_answer(operation, self.now_s)
        else:
            records = list(enumerate(self.log))[operation.start :][:count]
            outputs = sidecar.on_records(operation, records, self.now_s)
        self.carry_out(index, outputs)

    @precondition(some_operation)
    @rule(data=st.data(), count=st.integers(1, 4))
    def log_answers(self, data, count):
        self.perform(*self.pop_operation(data), count)

    @rule()
    def log_works(self):
        for _ in range(50):
            for index in range(3):
                while self.operations[index]:
                    self.perform(index, self.operations[index].pop(0))

    @precondition(some_operation)
    @rule(data=st.data(), effect=st.sampled_from(["none", "now", "late", "both"]))
    def log_fails(self, data, effect):
        """Lose the answer; the append takes effect now, later, twice or never."""
        index, operation = self.pop_operation(data)
        if isinstance(operation, Append):
            if effect in ("now", "both"):
                self.log += operation.records
            if effect in ("late", "both"):
                self.in_transit.append(operation.records)
        self.carry_out(index, self.sidecars[index].on_log_failed(operation, self.now_s))

    @precondition(lambda self: self.in_transit)
    @rule()
    def late_append(self):
        self.log += self.in_transit.pop(0)

    @rule(index=index, data=st.data())
    def kill(self, index, data):
        for operation in self.operations[index]:
            if isinstance(operation, Append) and data.draw(st.booleans()):
                self.in_transit.append(operation.records)
        for attempt in self.services[index]:
            if data.draw(st.booleans()):
                self.execute(attempt)
        self.boot(index)

    @precondition(lambda self: any(self.services))
    @rule(
        data=st.data(), how=st.sampled_from(["finished", "lost", "silent", "not run"])
    )
    def service(self, data, how):
        choices = [(i, a) for i, running in enumerate(self.services) for a in running]
        index, attempt = data.draw(st.sampled_from(choices))
        del self.services[index][attempt]
        sidecar = self.sidecars[index]
        if how == "finished":
            outputs = sidecar.on_finished(attempt, self.execute(attempt), self.now_s)
        else:
            if how == "lost":
                self.execute(attempt)
            run = NOT_RUN if how == "not run" else UNKNOWN
            refusal = Refusal(RefusalReason.BACKEND_LOST, run, "no answer")
            outputs = sidecar.refuse(attempt, refusal, self.now_s)
        self.carry_out(index, outputs)

    @rule(step_s=st.sampled_from([0.3, 1.0, 2.5]))
    def time(self, step_s):
        self.now_s += step_s
        for index, sidecar in enumerate(self.sidecars):
            self.carry_out(index, sidecar.tick(self.now_s))

    @invariant()
    def at_most_one_run(self):
        assert all(count <= 1 for count in self.runs.values()), self.runs
        assert not self.ran & self.not_run

    def teardown(self):
        """Check the oracle after all runs and late appends have ended."""
        for index, sidecar in enumerate(self.sidecars):
            running = self.services[index]
            for attempt in list(running):
                del running[attempt]
                answer = self.execute(attempt)
                self.carry_out(index, sidecar.on_finished(attempt, answer, self.now_s))
        while self.in_transit:
            self.late_append()
        for _ in range(4):
            self.time(1.0)
            self.log_works()
        self.at_most_one_run()


TestSidecars = Sidecars.TestCase
