"""A simulated fleet of share ledgers: network, log, sidecar, all with faults."""

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
# A sidecar whose view was not confirmed for this time runs nothing.
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

    me: Incarnation
    quota: Quota
    clock_offset_s: float
    cursor: int = 0
    frozen: bool = False
    log_readable: bool = True
    stopping: bool = False
    backlog: list[Callable[[], None]] = field(default_factory=list)


class Fleet:
    """Entries that share a log, and one sidecar that runs what they dispatch."""

    def __init__(self, seed: int, budgets: dict[str, tuple[float, float]]) -> None:
        self.random = random.Random(seed)
        self.budgets = {BudgetName(name): value for name, value in budgets.items()}
        self.now_s = 0.0
        self.tick_s = TICK_S
        self.entries: dict[Incarnation, Entry] = {}
        self.stopped: set[Incarnation] = set()
        self.listed_gone: set[Incarnation] = set()
        self.log: list[Record] = []
        self.log_up = True
        self.network = Network()
        self.runs: dict[BudgetName, list[tuple[float, float]]] = defaultdict(list)
        self.results: dict[str, Output] = {}
        self.messages = 0
        self.on_granted: Callable[[Entry, Granted], None] = self.dispatch
        self.run_delay_s = (0.0, 0.002)
        self.run_s = (0.0, 0.01)
        self.used_parts = (1.0,)
        self.sidecar_members = Members()
        self.sidecar_blind = False
        # Requests that wait at the sidecar, or None while each runs on arrival.
        self.queued: list[tuple[Entry, Debit, float]] | None = None
        self._sidecar_confirmed_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._tokens = itertools.count()
        self._amounts: dict[str, float] = {}
        self.at(0.0, self._poll_sidecar)

    # Time and events

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
        """Let a process handle something: later if it is frozen, never if it died."""
        if entry.me not in self.entries:
            return
        if entry.frozen:
            entry.backlog.append(action)
        else:
            action()

    # Entries

    def start(self, vm: str) -> Incarnation:
        """Start a new process on a VM; an earlier one on it has ended."""
        earlier = [each for each in self.entries if each.vm == vm]
        for each in earlier:
            self.kill(each, listed=False)
        starts = [e.start_ms for e in self.stopped | set(self.entries) if e.vm == vm]
        me = Incarnation(VmId(vm), max(starts, default=0) + 1)
        offset_s = self.random.uniform(-1000, 1000)
        entry = Entry(me, make_quota(me, self.now_s + offset_s), offset_s)
        self.entries[me] = entry
        for name, (rate_per_s, burst) in self.budgets.items():
            entry.quota.set_budget(name, rate_per_s, burst, self.now_s + offset_s)
        self.at(self.now_s + self.random.uniform(0, TICK_S), lambda: self._tick(entry))
        return me

    def kill(self, me: Incarnation, listed: bool = True) -> None:
        del self.entries[me]
        self.stopped.add(me)
        if listed:
            self.after((0.5, 3.0), lambda: self.listed_gone.add(me))

    def thaw(self, me: Incarnation) -> None:
        entry = self.entries[me]
        entry.frozen = False
        backlog, entry.backlog = entry.backlog, []
        for action in backlog:
            action()

    def call(self, entry: Entry, method: Callable[..., Any], *arguments: Any) -> None:
        """Call a ledger and carry out its outputs."""
        now_s = self.now_s + entry.clock_offset_s
        for output in method(*arguments, now_s) or ():
            self._perform(entry, output)

    def reserve(self, me: Incarnation, budget: str, amount: float) -> str:
        token = str(next(self._tokens))
        self._amounts[token] = amount
        entry = self.entries[me]
        arguments = (token, BudgetName(budget), amount)
        self.on_entry(entry, lambda: self.call(entry, entry.quota.reserve, *arguments))
        return token

    def _tick(self, entry: Entry) -> None:
        if entry.me not in self.entries:
            return
        self.at(self.now_s + self.tick_s, lambda: self._tick(entry))
        if entry.frozen:
            return
        quota = entry.quota
        peers = [e for e in self.entries if self._connected(e, entry.me)]
        quota.set_peers(e for e in peers if not self.entries[e].frozen)
        quota.set_gone(self.listed_gone)
        if self.log_up and entry.log_readable:
            while entry.cursor < len(self.log):
                offset, record = Offset(entry.cursor), self.log[entry.cursor]
                entry.cursor += 1
                self.call(entry, quota.on_record, offset, record)
        self.call(entry, quota.tick)
        if entry.stopping and quota.handed_over and quota.is_dead(entry.me):
            self.kill(entry.me)

    def _perform(self, entry: Entry, output: Output) -> None:
        if isinstance(output, Send):
            self.messages += 1
            self._send(entry.me, output)
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

    # Network

    def _connected(self, one: Incarnation, other: Incarnation) -> bool:
        return one != other and frozenset((one, other)) not in self.network.cut

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

    # Sidecar

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
        """Run what waits at the sidecar, requests of ended processes included."""
        queued, self.queued = self.queued or [], None
        for each in queued:
            self._run(*each)

    def _run(self, entry: Entry, debit: Debit, amount: float) -> None:
        quota = entry.quota
        if self.queued is not None:
            self.queued.append((entry, debit, amount))
            return
        if not self.sidecar_accepts(entry.me):
            self.after(
                self.run_delay_s,
                lambda: self.on_entry(
                    entry, lambda: self.call(entry, quota.cancel, debit)
                ),
            )
            return
        used = amount * self.random.choice(self.used_parts)
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
            # Peers confirm that nothing newer is known while nobody reads the log.
            if self.sidecar_members.offset + 1 >= max(
                (each.cursor for each in self.entries.values()), default=0
            ):
                self._sidecar_confirmed_s = self.now_s
            return
        if not self.sidecar_blind:
            for offset in range(self.sidecar_members.offset + 1, len(self.log)):
                self.sidecar_members.fold(Offset(offset), self.log[offset])
            self._sidecar_confirmed_s = self.now_s

    # Oracles

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
            if not self.declared_dead(entry.me)
        )

    def declared_dead(self, me: Incarnation) -> bool:
        """Return whether the whole log declares an entry dead."""
        members = Members()
        for offset, record in enumerate(self.log):
            members.fold(Offset(offset), record)
        return members.is_dead(me)
