"""No fault may let a budget run more than rate x window + burst over the fleet."""

from contextlib import contextmanager

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from chervilgw.quota.bucket import SHARE_UNITS
from chervilgw.quota.records import Granted
from chervilgw.quota.tests.simulation import Fleet, Network

BUDGETS = {"acme": (100.0, 1000.0), "beta": (50.0, 200.0)}
budgets = st.sampled_from(sorted(BUDGETS))
parts = st.sampled_from([0.01, 0.1, 0.2, 0.3, 0.5, 1.0])
picks = st.integers(0, 3)
PROMPT_S = (0.0, 0.01)


class FleetMachine(RuleBasedStateMachine):
    """Three or four entries under faults, against a list of runs."""

    @initialize(seed=st.integers(0, 2**16), count=st.integers(3, 4))
    def start_fleet(self, seed, count):
        self.fleet = Fleet(seed, BUDGETS)
        self.fleet.run_delay_s = (0.0, 1.0)
        self.fleet.tick_s = 0.1
        self.fleet.run_s = (0.0, 5.0)
        self.fleet.used_parts = (0.1, 0.5, 1.0, 1.0)
        for index in range(count):
            self.fleet.start(f"e{index}")
        self.fleet.advance(6.0)

    def pick(self, index):
        entries = sorted(self.fleet.entries)
        return entries[index % len(entries)]

    def some_entry(self):
        return hasattr(self, "fleet") and bool(self.fleet.entries)

    @precondition(some_entry)
    @rule(index=picks, budget=budgets, part=parts, count=st.integers(1, 5))
    def reserve(self, index, budget, part, count):
        # The last entry may end its planned stop during an action that lets time pass.
        for _ in range(count if self.some_entry() else 0):
            self.fleet.reserve(self.pick(index), budget, part * BUDGETS[budget][1])
        self.fleet.advance(0.01)

    @precondition(some_entry)
    @rule(budget=budgets, part=parts, rounds=st.integers(1, 10))
    def spread_load(self, budget, part, rounds):
        for _ in range(rounds):
            for me in sorted(self.fleet.entries):
                self.fleet.reserve(me, budget, part * BUDGETS[budget][1])
            self.fleet.advance(0.3)

    @precondition(some_entry)
    @rule(
        index=picks, budget=budgets, part=parts, paused_s=st.sampled_from([2.0, 12.0])
    )
    def pause_between_debit_and_run(self, index, budget, part, paused_s):
        me = self.pick(index)
        self.reserve(index, budget, part, 5)
        if me not in self.fleet.entries:
            return
        self.fleet.entries[me].frozen = True
        self.fleet.advance(paused_s)
        self.fleet.thaw(me)
        self.reserve(index, budget, part, 5)

    def drain(self, budget, entries=None):
        """Debit in small amounts what each entry has, without letting time pass."""
        for me in sorted(entries or self.fleet.entries):
            for _ in range(50):
                token = self.fleet.reserve(me, budget, 0.02 * BUDGETS[budget][1])
                if not isinstance(self.fleet.results.get(token), Granted):
                    break

    def fill_buckets(self):
        """Let every process work, for longer than the refill time of any budget."""
        self.fleet.sidecar_blind = False
        for me in sorted(self.fleet.entries):
            self.fleet.thaw(me)
        self.fleet.advance(12.0)

    @contextmanager
    def runs(self, delay_s, run_s, used):
        """Set how requests run for the time of one action."""
        fleet = self.fleet
        before = fleet.run_delay_s, fleet.run_s, fleet.used_parts
        fleet.run_delay_s, fleet.run_s, fleet.used_parts = delay_s, run_s, used
        yield
        fleet.run_delay_s, fleet.run_s, fleet.used_parts = before

    @precondition(some_entry)
    @rule(budget=budgets)
    def burst_after_idle_time(self, budget):
        self.fill_buckets()
        with self.runs(PROMPT_S, (0.0, 0.01), (1.0,)):
            self.drain(budget)
            self.fleet.advance(0.1)

    @precondition(some_entry)
    @rule(budget=budgets, used=st.sampled_from([0.0, 0.1, 0.5]))
    def burst_when_refunds_come_late(self, budget, used):
        """Long runs end after the bucket was full again and spent once more."""
        self.fill_buckets()
        with self.runs(PROMPT_S, (14.0, 14.1), (used,)):
            self.drain(budget)
            self.fleet.advance(13.0)
        with self.runs(PROMPT_S, (0.0, 0.01), (1.0,)):
            self.drain(budget)
            self.fleet.advance(1.5)
            self.drain(budget)
            self.fleet.advance(0.1)

    @precondition(some_entry)
    @rule(
        index=picks,
        budget=budgets,
        paused_s=st.sampled_from([2.0, 12.0]),
        all_entries=st.booleans(),
    )
    def freeze_between_debit_and_run(self, index, budget, paused_s, all_entries):
        self.fill_buckets()
        if not self.some_entry():
            return
        entries = sorted(self.fleet.entries) if all_entries else [self.pick(index)]
        with self.runs(PROMPT_S, (0.0, 0.01), (1.0,)):
            self.drain(budget, entries)
            for me in entries:
                self.fleet.entries[me].frozen = True
            self.fleet.advance(paused_s)
            for me in set(entries) & set(self.fleet.entries):
                self.fleet.thaw(me)
            self.drain(budget)
            self.fleet.advance(0.2)

    @precondition(lambda self: self.some_entry() and len(self.fleet.entries) > 1)
    @rule(index=picks, budget=budgets, late_s=st.sampled_from([0.5, 1.5, 1.9]))
    def run_of_dead_entry_comes_late(self, index, budget, late_s):
        """Run a dead entry's request at the last moment its sidecar allows."""
        self.fill_buckets()
        if not self.some_entry():
            return
        fleet, me = self.fleet, self.pick(index)
        with self.runs(PROMPT_S, (0.0, 0.01), (1.0,)):
            fleet.queued = []
            self.drain(budget, [me])
            fleet.advance(0.01)
            if me in fleet.entries:
                fleet.kill(me)
            waited_s = 0.0
            while waited_s < 6.0 and not fleet.declared_dead(me):
                fleet.advance(0.05)
                waited_s += 0.05
            blind, fleet.sidecar_blind = fleet.sidecar_blind, True
            fleet.advance(late_s)
            fleet.run_queued()
            self.drain(budget)
            fleet.advance(0.1)
            fleet.sidecar_blind = blind

    @rule(longest_s=st.sampled_from([0.1, 5.0, 20.0]))
    def change_runs(self, longest_s):
        self.fleet.run_s = (0.0, longest_s)

    @rule(duration_s=st.sampled_from([0.002, 0.05, 0.3, 1.0, 4.0, 12.0]))
    def wait(self, duration_s):
        self.fleet.advance(duration_s)

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        duplication=st.sampled_from([0.0, 0.3]),
        longest_s=st.sampled_from([0.002, 0.2, 3.0]),
    )
    def change_network(self, loss, duplication, longest_s):
        cut = self.fleet.network.cut
        self.fleet.network = Network(loss, duplication, (0.0005, longest_s), cut)

    @precondition(some_entry)
    @rule(one=picks, other=picks)
    def cut(self, one, other):
        pair = frozenset((self.pick(one), self.pick(other)))
        if len(pair) == 2:
            self.fleet.network.cut.add(pair)

    @rule()
    def heal(self):
        self.fleet.network.cut.clear()

    @precondition(some_entry)
    @rule(index=picks)
    def freeze(self, index):
        self.fleet.entries[self.pick(index)].frozen = True

    @precondition(some_entry)
    @rule(index=picks)
    def thaw(self, index):
        self.fleet.thaw(self.pick(index))

    @precondition(lambda self: self.some_entry() and len(self.fleet.entries) > 1)
    @rule(index=picks)
    def kill(self, index):
        self.fleet.kill(self.pick(index))

    @rule(index=picks)
    def start(self, index):
        self.fleet.start(f"e{index}")

    @precondition(lambda self: self.some_entry() and len(self.fleet.entries) > 1)
    @rule(index=picks)
    def hand_over(self, index):
        entry = self.fleet.entries[self.pick(index)]
        if not entry.frozen and not entry.stopping:
            entry.stopping = True
            self.fleet.call(entry, entry.quota.hand_over)

    @rule(up=st.booleans())
    def log(self, up):
        self.fleet.log_up = up

    @precondition(some_entry)
    @rule(index=picks, readable=st.booleans())
    def log_for_entry(self, index, readable):
        self.fleet.entries[self.pick(index)].log_readable = readable

    @rule(blind=st.booleans())
    def log_for_sidecar(self, blind):
        self.fleet.sidecar_blind = blind

    @invariant()
    def never_above_rate_and_burst(self):
        if not hasattr(self, "fleet"):
            return
        for name, (_, burst) in BUDGETS.items():
            excess = self.fleet.largest_window_excess(name)
            assert excess <= burst * (1 + 1e-6), (name, excess, burst)

    @invariant()
    def never_more_units_than_there_are(self):
        if hasattr(self, "fleet"):
            for name in BUDGETS:
                assert self.fleet.held_units(name) <= SHARE_UNITS

    def teardown(self):
        """Lost capacity comes back after the faults end, at the latest by an audit."""
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        fleet.network = Network()
        fleet.log_up, fleet.sidecar_blind = True, False
        for me, entry in list(fleet.entries.items()):
            entry.log_readable = True
            fleet.thaw(me)
        fleet.start("e0")
        fleet.advance(20.0)
        self.never_above_rate_and_burst()
        self.never_more_units_than_there_are()
        waited_s = 0
        fleet.tick_s = 0.5
        while not self.all_units_held() and waited_s < 700:
            fleet.advance(1.0)
            waited_s += 1
        assert self.all_units_held(), [fleet.held_units(name) for name in BUDGETS]

    def all_units_held(self):
        return all(self.fleet.held_units(name) == SHARE_UNITS for name in BUDGETS)


TestFleetMachine = FleetMachine.TestCase
