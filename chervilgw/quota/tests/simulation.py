"""Simulated fleet of share ledgers with faults of the network, log and sidecar."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from chervilgw.core.ids import BudgetName, Incarnation, Offset, VmId
from chervilgw.quota.ledger import Quota, make_quota
from chervilgw.quota.members import Members
from chervilgw.quota.records import Append, Debit, Denied, Granted, Output, Record, Send

TICK_S = 0.02
LOG_DELAY_S = 0.005
SIDECAR_POLL_S = 0.5
# A sidecar refuses work if its view was not confirmed for this time.
SIDECAR_STALE_S = 2.5


@dataclass
class Network:
    """Faults of messages between processes."""

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: tuple[float, float] = (0.0005, 0.0015)
    cut: set[frozenset[Incarnation]] = field(default_factory=set)


@dataclass
class Entry:
    """One entry process."""

    incarnation: Incarnation
    quota: Quota
    clock_offset_s: float
    cursor: int = 0
    frozen: bool = False
    log_readable: bool = True
    stopping: bool = False
    backlog: list[Callable[[], None]] = field(default_factory=list)


class Fleet:
    """Entries that share a log, and one sidecar that runs their requests."""

    def __init__(self, seed: int, budgets: dict[str, tuple[float, float]]) -> None:
        self.random = random.Random(seed)
        self.budgets = {BudgetName(name): value for name, value in budgets.items()}
        self.now_s = 0.0
        self.tick_s = TICK_S
        self.entries: dict[Incarnation, Entry] = {}
        self.stopped: set[Incarnation] = set()
        self.reported_gone: set[Incarnation] = set()
        self.log: list[Record] = []
        self.log_up = True
        self.network = Network()
        self.runs: dict[BudgetName, list[tuple[float, float]]] = defaultdict(list)
        self.results: dict[str, Output] = {}
        self.messages = 0
        self.on_granted: Callable[[Entry, Granted], None] = self.dispatch
        self.run_delay_s = (0.0, 0.002)
        self.run_s = (0.0, 0.01)
        self.used_fractions = (1.0,)
        self.sidecar_members = Members()
        self.sidecar_log_failed = False
        # Requests that wait at the sidecar, or None while each runs on arrival.
        self.queued: list[tuple[Entry, Debit, float]] | None = None
        self._sidecar_confirmed_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._tokens = itertools.count()
        self._amounts: dict[str, float] = {}
        self.at(0.0, self._poll_sidecar)

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._sequence), action))

    def after(self, delay: tuple[float, float], action: Callable[[], None]) -> None:
        self.at(self.now_s + self.random.uniform(*delay), action)

    def advance(self, duration_s: float) -> None:
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s

    def on_entry(self, entry: Entry, action: Callable[[], None]) -> None:
        """Run an action of a process: after the thaw if frozen, never if it ended."""
        if entry.incarnation not in self.entries:
            return
        if entry.frozen:
            entry.backlog.append(action)
        else:
            action()

    def start(self, vm: str) -> Incarnation:
        """Start a new process on a VM; an earlier one on it has ended."""
        earlier = [incarnation for incarnation in self.entries if incarnation.vm == vm]
        for incarnation in earlier:
            self.kill(incarnation, reported=False)
        starts = [
            incarnation.start_ms
            for incarnation in self.stopped | set(self.entries)
            if incarnation.vm == vm
        ]
        incarnation = Incarnation(VmId(vm), max(starts, default=0) + 1)
        offset_s = self.random.uniform(-1000, 1000)
        entry = Entry(
            incarnation, make_quota(incarnation, self.now_s + offset_s), offset_s
        )
        self.entries[incarnation] = entry
        for name, (rate_per_s, burst) in self.budgets.items():
            entry.quota.set_budget(name, rate_per_s, burst, self.now_s + offset_s)
        self.at(self.now_s + self.random.uniform(0, TICK_S), lambda: self._tick(entry))
        return incarnation

    def kill(self, incarnation: Incarnation, reported: bool = True) -> None:
        del self.entries[incarnation]
        self.stopped.add(incarnation)
        if reported:
            self.after((0.5, 3.0), lambda: self.reported_gone.add(incarnation))

    def thaw(self, incarnation: Incarnation) -> None:
        entry = self.entries[incarnation]
        entry.frozen = False
        backlog, entry.backlog = entry.backlog, []
        for action in backlog:
            action()

    def call(self, entry: Entry, method: Callable[..., Any], *arguments: Any) -> None:
        """Call a ledger and perform its outputs."""
        now_s = self.now_s + entry.clock_offset_s
        for output in method(*arguments, now_s) or ():
            self._perform(entry, output)

    def reserve(self, incarnation: Incarnation, budget: str, amount: float) -> str:
        token = str(next(self._tokens))
        self._amounts[token] = amount
        entry = self.entries[incarnation]
        arguments = (token, BudgetName(budget), amount)
        self.on_entry(entry, lambda: self.call(entry, entry.quota.reserve, *arguments))
        return token

    def _tick(self, entry: Entry) -> None:
        if entry.incarnation not in self.entries:
            return
        self.at(self.now_s + self.tick_s, lambda: self._tick(entry))
        if entry.frozen:
            return
        quota = entry.quota
        peers = [
            incarnation
            for incarnation in self.entries
            if self._connected(incarnation, entry.incarnation)
        ]
        quota.set_peers(
            incarnation for incarnation in peers if not self.entries[incarnation].frozen
        )
        quota.set_gone(self.reported_gone)
        if self.log_up and entry.log_readable:
            while entry.cursor < len(self.log):
                offset, record = Offset(entry.cursor), self.log[entry.cursor]
                entry.cursor += 1
                self.call(entry, quota.on_record, offset, record)
        self.call(entry, quota.tick)
        if entry.stopping and quota.handed_over and quota.is_dead(entry.incarnation):
            self.kill(entry.incarnation)

    def _perform(self, entry: Entry, output: Output) -> None:
        if isinstance(output, Send):
            self.messages += 1
            self._send(entry.incarnation, output)
        elif isinstance(output, Append):
            self.after((0.0, LOG_DELAY_S), lambda: self._append(output.record))
        elif isinstance(output, Granted):
            self.results[output.token] = output
            self.on_granted(entry, output)
        elif isinstance(output, Denied):
            self.results[output.token] = output

    def _append(self, record: Record) -> None:
        # An append during an outage may take effect although its answer is lost.
        if self.log_up or self.random.random() < 0.3:
            self.log.append(record)

    def _connected(self, first: Incarnation, second: Incarnation) -> bool:
        return first != second and frozenset((first, second)) not in self.network.cut

    def _send(self, sender: Incarnation, send: Send) -> None:
        network = self.network
        copies = 2 if self.random.random() < network.duplication else 1
        for _ in range(copies):
            if self.random.random() >= network.loss:
                self.after(network.delay_s, lambda: self._deliver(sender, send))

    def _deliver(self, sender: Incarnation, send: Send) -> None:
        entry = self.entries.get(send.to)
        if entry is None or not self._connected(sender, send.to):
            return
        self.on_entry(
            entry,
            lambda: self.call(entry, entry.quota.on_message, sender, send.message),
        )

    def dispatch(self, entry: Entry, granted: Granted) -> None:
        """Run a granted reservation at the sidecar some time later."""
        amount = self._amounts[granted.token]
        # The process may freeze between the debit and the dispatch.
        self.after(
            self.run_delay_s,
            lambda: self.on_entry(
                entry,
                lambda: self.after(
                    self.run_delay_s, lambda: self._run(entry, granted.debit, amount)
                ),
            ),
        )

    def sidecar_accepts(self, origin: Incarnation) -> bool:
        fresh = self.now_s - self._sidecar_confirmed_s <= SIDECAR_STALE_S
        return fresh and not self.sidecar_members.is_dead(origin)

    def run_queued(self) -> None:
        """Run the requests that wait at the sidecar, also those of ended processes."""
        queued, self.queued = self.queued or [], None
        for run in queued:
            self._run(*run)

    def _run(self, entry: Entry, debit: Debit, amount: float) -> None:
        quota = entry.quota
        if self.queued is not None:
            self.queued.append((entry, debit, amount))
            return
        if not self.sidecar_accepts(entry.incarnation):
            self.after(
                self.run_delay_s,
                lambda: self.on_entry(
                    entry, lambda: self.call(entry, quota.cancel, debit)
                ),
            )
            return
        used = amount * self.random.choice(self.used_fractions)
        self.runs[debit.budget].append((self.now_s, used))
        started_s = self.now_s + self.random.uniform(*self.run_delay_s)
        ended_s = started_s + self.random.uniform(*self.run_s)
        confirm = lambda: self.call(entry, quota.confirm_start, debit)  # noqa: E731
        settle = lambda: self.call(entry, quota.settle, debit, used)  # noqa: E731
        if self.random.random() >= self.network.loss:
            self.at(started_s, lambda: self.on_entry(entry, confirm))
        self.at(ended_s, lambda: self.on_entry(entry, settle))

    def _poll_sidecar(self) -> None:
        self.at(self.now_s + SIDECAR_POLL_S, self._poll_sidecar)
        if not self.log_up:
            # During an outage of the log, peers confirm that they read no newer record.
            if self.sidecar_members.offset + 1 >= max(
                (entry.cursor for entry in self.entries.values()), default=0
            ):
                self._sidecar_confirmed_s = self.now_s
            return
        if not self.sidecar_log_failed:
            for offset in range(self.sidecar_members.offset + 1, len(self.log)):
                self.sidecar_members.fold(Offset(offset), self.log[offset])
            self._sidecar_confirmed_s = self.now_s

    def largest_window_excess(self, budget: str) -> float:
        """Return the largest ``tokens run - rate x window`` over all windows."""
        rate_per_s, _ = self.budgets[BudgetName(budget)]
        largest = total = 0.0
        lowest = 0.0
        for time_s, tokens in self.runs[BudgetName(budget)]:
            lowest = min(lowest, total - rate_per_s * time_s)
            total += tokens
            largest = max(largest, total - rate_per_s * time_s - lowest)
        return largest

    def held_units(self, budget: str) -> int:
        """Return the units of entries that the whole log does not declare dead."""
        return sum(
            entry.quota.units(BudgetName(budget))
            for entry in self.entries.values()
            if not self.declared_dead(entry.incarnation)
        )

    def declared_dead(self, incarnation: Incarnation) -> bool:
        """Return whether the whole log declares an entry dead."""
        members = Members()
        for offset, record in enumerate(self.log):
            members.fold(Offset(offset), record)
        return members.is_dead(incarnation)
