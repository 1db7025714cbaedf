"""State machine: no process uses a configuration that was replaced 3 s ago."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import permutations

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from returns.pipeline import is_successful

from chervilgw.configuration.freshness import Freshness, make_freshness
from chervilgw.core.ids import NO_OFFSET, Offset, VmId

VMS = tuple(VmId(f"vm-{number}") for number in range(4))
# Time within which a revoked key must stop working everywhere.
BOUND_S = 3.0
ROUND_S = 0.5

processes = st.sampled_from(VMS)


@dataclass(frozen=True)
class Heartbeat:
    """A heartbeat in transit; ``echoed_s`` is None if it echoes no earlier one."""

    sender: VmId
    receiver: VmId
    offset: Offset
    config_age_s: float
    sent_s: float
    echoed_s: float | None


class FreshnessMachine(RuleBasedStateMachine):
    """Checks trackers with an unreliable log and links against the append times.

    A change reaches the process that appended it and one other at once, so that every
    majority contains one of them; docs/properties.md describes the other case.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.appended_s: list[float] = []
        self.trackers: dict[VmId, Freshness] = {vm: make_freshness(vm) for vm in VMS}
        self.offsets: dict[VmId, Offset] = dict.fromkeys(VMS, NO_OFFSET)
        self.group: set[VmId] = set()
        self.reads: list[tuple[VmId, float, Offset]] = []
        self.heartbeats: list[Heartbeat] = []
        self.last_sent_s: dict[tuple[VmId, VmId], float] = {}

    def newest(self) -> Offset:
        return Offset(len(self.appended_s) - 1)

    def apply(self, vm: VmId, offset: Offset) -> None:
        self.offsets[vm] = max(offset, self.offsets[vm])
        self.trackers[vm].on_applied(self.offsets[vm])

    @initialize()
    def first_configuration(self):
        self.appended_s.append(self.now_s)
        for vm in VMS:
            self.apply(vm, self.newest())

    @rule(
        readers=st.sets(processes),
        group=st.sets(processes, max_size=2),
        rounds=st.sampled_from([1, 4, 7]),
        held=st.booleans(),
    )
    def operate(self, readers, group, rounds, held):
        """Run rounds of 0.5 s with reads and heartbeats in a partitioned fleet.

        Only ``readers`` reach the log, and ``group`` is separated from the other VMs.
        The first round's heartbeats may be delayed until the end.
        """
        self.group = group
        late: list[Heartbeat] = []
        for number in range(rounds):
            for vm in sorted(readers):
                self.read_at_once(vm)
            self.exchange()
            if held and number == 0:
                late, self.heartbeats = self.heartbeats, []
            self.now_s += ROUND_S
            self.nobody_relies_on_a_replaced_configuration()
        self.heartbeats += late
        self.deliver_all()

    def exchange(self) -> None:
        self.deliver_all()
        for sender in VMS:
            for receiver in VMS:
                if (sender in self.group) == (receiver in self.group):
                    self.send_heartbeat(sender, receiver)

    def deliver_all(self) -> None:
        pending, self.heartbeats = self.heartbeats, []
        for message in pending:
            self.deliver(message)

    def read_at_once(self, vm) -> None:
        self.apply(vm, self.newest())
        self.trackers[vm].on_log_read(self.now_s)

    @rule(pair=st.sampled_from(list(permutations(VMS, 2))))
    def append(self, pair):
        writer, other = pair
        self.appended_s.append(self.now_s)
        self.apply(writer, self.newest())
        self.apply(other, self.newest())

    @rule(vm=processes)
    def send_read(self, vm):
        self.reads.append((vm, self.now_s, self.newest()))

    @rule(data=st.data(), fresh=st.booleans())
    def answer_read(self, data, fresh):
        """The log answers with its state at the time of sending or of arrival."""
        if not self.reads:
            return
        index = data.draw(st.integers(0, len(self.reads) - 1))
        vm, requested_s, offset = self.reads.pop(index)
        end = self.newest() if fresh else offset
        self.apply(vm, end)
        if end >= self.offsets[vm]:
            self.trackers[vm].on_log_read(requested_s)

    def send_heartbeat(self, sender, receiver):
        if sender != receiver:
            self.heartbeats.append(
                Heartbeat(
                    sender,
                    receiver,
                    self.offsets[sender],
                    self.trackers[sender].age_s(self.now_s),
                    self.now_s,
                    self.last_sent_s.get((sender, receiver)),
                )
            )

    def deliver(self, message: Heartbeat) -> None:
        pair = (message.receiver, message.sender)
        self.last_sent_s[pair] = max(
            message.sent_s, self.last_sent_s.get(pair, message.sent_s)
        )
        if message.echoed_s is not None:
            self.trackers[message.receiver].on_peer_heartbeat(
                message.sender,
                message.offset,
                message.config_age_s,
                self.now_s,
                echoed_s=message.echoed_s,
            )

    @rule(vm=processes)
    def pause_detected(self, vm):
        self.trackers[vm].on_pause_detected(self.now_s)

    @rule(vm=processes, peer=processes)
    def link_lost(self, vm, peer):
        self.trackers[vm].on_peer_lost(peer)

    @invariant()
    def nobody_relies_on_a_replaced_configuration(self):
        """Guards against a revoked key that one process still accepts."""
        for vm, tracker in self.trackers.items():
            following = self.offsets[vm] + 1
            if following >= len(self.appended_s):
                continue
            if self.now_s - self.appended_s[following] > BOUND_S:
                assert not is_successful(tracker.check(self.now_s, VMS, VMS)), vm


class LiveFreshnessMachine(FreshnessMachine):
    """Checks also that processes that reach the log or a majority pass."""

    @rule()
    def all_read(self):
        """Guards against a tracker that refuses after a successful read of the log."""
        for vm in VMS:
            self.read_at_once(vm)
            assert is_successful(self.trackers[vm].check(self.now_s, VMS, ()))

    @rule()
    def majority_hears_itself(self):
        """Guards against refusals in a log outage while the VMs reach each other."""
        for vm in VMS:
            self.apply(vm, self.newest())
        self.heartbeats.clear()
        self.group = set()
        for _ in range(3):
            self.now_s += 0.05
            self.exchange()
        for vm in VMS:
            assert is_successful(self.trackers[vm].check(self.now_s, VMS, VMS)), vm


TestFreshness = FreshnessMachine.TestCase
TestLiveFreshness = LiveFreshnessMachine.TestCase
