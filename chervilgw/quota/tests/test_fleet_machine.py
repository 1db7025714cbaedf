"""Under faults a fleet must not run more than rate x window + burst of a budget."""

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
fractions = st.sampled_from([0.01, 0.1, 0.2, 0.3, 0.5, 1.0])
indices = st.integers(0, 3)
PROMPT_S = (0.0, 0.01)


class FleetMachine(RuleBasedStateMachine):
    """Three or four entries under faults, checked against the list of runs."""

    @initialize(seed=st.integers(0, 2**16), count=st.integers(3, 4))
    def start_fleet(self, seed, count):
        self.fleet = Fleet(seed, BUDGETS)
        self.fleet.run_delay_s = (0.0, 1.0)
        self.fleet.tick_s = 0.1
        self.fleet.run_s = (0.0, 5.0)
        self.fleet.used_fractions = (0.1, 0.5, 1.0, 1.0)
        for index in range(count):
            self.fleet.start(f"e{index}")
        self.fleet.advance(6.0)

    def entry_at(self, index):
        entries = sorted(self.fleet.entries)
        return entries[index % len(entries)]

    def has_entry(self):
        return hasattr(self, "fleet") and bool(self.fleet.entries)

    @precondition(has_entry)
    @rule(index=indices, budget=budgets, fraction=fractions, count=st.integers(1, 5))
    def reserve(self, index, budget, fraction, count):
        # The last entry may end its planned stop while an action advances the time.
        for _ in range(count if self.has_entry() else 0):
            self.fleet.reserve(
                self.entry_at(index), budget, fraction * BUDGETS[budget][1]
            )
        self.fleet.advance(0.01)

    @precondition(has_entry)
    @rule(budget=budgets, fraction=fractions, rounds=st.integers(1, 10))
    def spread_load(self, budget, fraction, rounds):
        for _ in range(rounds):
            for incarnation in sorted(self.fleet.entries):
                self.fleet.reserve(incarnation, budget, fraction * BUDGETS[budget][1])
            self.fleet.advance(0.3)

    @precondition(has_entry)
    @rule(
        index=indices,
        budget=budgets,
        fraction=fractions,
        paused_s=st.sampled_from([2.0, 12.0]),
    )
    def pause_between_debit_and_run(self, index, budget, fraction, paused_s):
        incarnation = self.entry_at(index)
        self.reserve(index, budget, fraction, 5)
        if incarnation not in self.fleet.entries:
            return
        self.fleet.entries[incarnation].frozen = True
        self.fleet.advance(paused_s)
        self.fleet.thaw(incarnation)
        self.reserve(index, budget, fraction, 5)

    def debit_all(self, budget, entries=None):
        """Debit all that each entry has in small amounts, at one moment."""
        for incarnation in sorted(entries or self.fleet.entries):
            for _ in range(50):
                token = self.fleet.reserve(
                    incarnation, budget, 0.02 * BUDGETS[budget][1]
                )
                if not isinstance(self.fleet.results.get(token), Granted):
                    break

    def fill_buckets(self):
        """Run all processes for longer than the refill time of any budget."""
        self.fleet.sidecar_log_failed = False
        for incarnation in sorted(self.fleet.entries):
            self.fleet.thaw(incarnation)
        self.fleet.advance(12.0)

    @contextmanager
    def run_settings(self, delay_s, run_s, used):
        """Set how requests run during one action."""
        fleet = self.fleet
        before = fleet.run_delay_s, fleet.run_s, fleet.used_fractions
        fleet.run_delay_s, fleet.run_s, fleet.used_fractions = delay_s, run_s, used
        yield
        fleet.run_delay_s, fleet.run_s, fleet.used_fractions = before

    @precondition(has_entry)
    @rule(budget=budgets)
    def burst_after_idle_time(self, budget):
        self.fill_buckets()
        with self.run_settings(PROMPT_S, (0.0, 0.01), (1.0,)):
            self.debit_all(budget)
            self.fleet.advance(0.1)

    @precondition(has_entry)
    @rule(budget=budgets, used=st.sampled_from([0.0, 0.1, 0.5]))
    def burst_when_refunds_come_late(self, budget, used):
        """End long runs after the bucket was refilled and spent again."""
        self.fill_buckets()
        with self.run_settings(PROMPT_S, (14.0, 14.1), (used,)):
            self.debit_all(budget)
            self.fleet.advance(13.0)
        with self.run_settings(PROMPT_S, (0.0, 0.01), (1.0,)):
            self.debit_all(budget)
            self.fleet.advance(1.5)
            self.debit_all(budget)
            self.fleet.advance(0.1)

    @precondition(has_entry)
    @rule(
        index=indices,
        budget=budgets,
        paused_s=st.sampled_from([2.0, 12.0]),
        all_entries=st.booleans(),
    )
    def freeze_between_debit_and_run(self, index, budget, paused_s, all_entries):
        self.fill_buckets()
        if not self.has_entry():
            return
        entries = sorted(self.fleet.entries) if all_entries else [self.entry_at(index)]
        with self.run_settings(PROMPT_S, (0.0, 0.01), (1.0,)):
            self.debit_all(budget, entries)
            for incarnation in entries:
                self.fleet.entries[incarnation].frozen = True
            self.fleet.advance(paused_s)
            for incarnation in set(entries) & set(self.fleet.entries):
                self.fleet.thaw(incarnation)
            self.debit_all(budget)
            self.fleet.advance(0.2)

    @precondition(lambda self: self.has_entry() and len(self.fleet.entries) > 1)
    @rule(index=indices, budget=budgets, late_s=st.sampled_from([0.5, 1.5, 1.9]))
    def run_of_dead_entry_comes_late(self, index, budget, late_s):
        """Run a dead entry's request at the last moment that its sidecar allows."""
        self.fill_buckets()
        if not self.has_entry():
            return
        fleet, incarnation = self.fleet, self.entry_at(index)
        with self.run_settings(PROMPT_S, (0.0, 0.01), (1.0,)):
            fleet.queued = []
            self.debit_all(budget, [incarnation])
            fleet.advance(0.01)
            if incarnation in fleet.entries:
                fleet.kill(incarnation)
            waited_s = 0.0
            while waited_s < 6.0 and not fleet.declared_dead(incarnation):
                fleet.advance(0.05)
                waited_s += 0.05
            blind, fleet.sidecar_log_failed = fleet.sidecar_log_failed, True
            fleet.advance(late_s)
            fleet.run_queued()
            self.debit_all(budget)
            fleet.advance(0.1)
            fleet.sidecar_log_failed = blind

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

    @precondition(has_entry)
    @rule(first=indices, second=indices)
    def cut(self, first, second):
        pair = frozenset((self.entry_at(first), self.entry_at(second)))
        if len(pair) == 2:
            self.fleet.network.cut.add(pair)

    @rule()
    def reconnect(self):
        self.fleet.network.cut.clear()

    @precondition(has_entry)
    @rule(index=indices)
    def freeze(self, index):
        self.fleet.entries[self.entry_at(index)].frozen = True

    @precondition(has_entry)
    @rule(index=indices)
    def thaw(self, index):
        self.fleet.thaw(self.entry_at(index))

    @precondition(lambda self: self.has_entry() and len(self.fleet.entries) > 1)
    @rule(index=indices)
    def kill(self, index):
        self.fleet.kill(self.entry_at(index))

    @rule(index=indices)
    def start(self, index):
        self.fleet.start(f"e{index}")

    @precondition(lambda self: self.has_entry() and len(self.fleet.entries) > 1)
    @rule(index=indices)
    def hand_over(self, index):
        entry = self.fleet.entries[self.entry_at(index)]
        if not entry.frozen and not entry.stopping:
            entry.stopping = True
            self.fleet.call(entry, entry.quota.hand_over)

    @rule(up=st.booleans())
    def log(self, up):
        self.fleet.log_up = up

    @precondition(has_entry)
    @rule(index=indices, readable=st.booleans())
    def log_for_entry(self, index, readable):
        self.fleet.entries[self.entry_at(index)].log_readable = readable

    @rule(blind=st.booleans())
    def log_for_sidecar(self, blind):
        self.fleet.sidecar_log_failed = blind

    @invariant()
    def runs_stay_within_rate_and_burst(self):
        if not hasattr(self, "fleet"):
            return
        for name, (_, burst) in BUDGETS.items():
            excess = self.fleet.largest_window_excess(name)
            assert excess <= burst * (1 + 1e-6), (name, excess, burst)

    @invariant()
    def held_units_stay_within_total(self):
        if hasattr(self, "fleet"):
            for name in BUDGETS:
                assert self.fleet.held_units(name) <= SHARE_UNITS

    def teardown(self):
        """Check that all units are held again after the faults."""
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        fleet.network = Network()
        fleet.log_up, fleet.sidecar_log_failed = True, False
        for incarnation, entry in list(fleet.entries.items()):
            entry.log_readable = True
            fleet.thaw(incarnation)
        fleet.start("e0")
        fleet.advance(20.0)
        self.runs_stay_within_rate_and_burst()
        self.held_units_stay_within_total()
        waited_s = 0
        fleet.tick_s = 0.5
        while not self.all_units_held() and waited_s < 700:
            fleet.advance(1.0)
            waited_s += 1
        assert self.all_units_held(), [fleet.held_units(name) for name in BUDGETS]

    def all_units_held(self):
        return all(self.fleet.held_units(name) == SHARE_UNITS for name in BUDGETS)


TestFleetMachine = FleetMachine.TestCase
