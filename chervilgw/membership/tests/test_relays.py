"""Dissemination over a simulated network: reach, bounds and bytes.

Guards against entries that miss the reports of others when relays are lost, and against
traffic between availability zones that grows with the square of the fleet.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict

import hypothesis.strategies as st
import pytest
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from chervilgw.codec.frames import encode
from chervilgw.core.deployment import ServerId
from chervilgw.core.ids import Incarnation, VmId, ZoneId
from chervilgw.core.messages import EntryReport, EntryReportBatch
from chervilgw.membership.relays import (
    CANDIDATE_SILENCE_TIMEOUT_S,
    DISCOVERY_INTERVAL_REPORTS,
    MAX_ASKED_PEERS,
    MAX_MESH_ENTRIES,
    RELAY_SILENCE_TIMEOUT_S,
    make_relay_table,
)

INTERVAL_S = 0.2
# Receivers count a peer as silent after this time.
FRESH_S = 0.8


class Network:
    """Entries in zones that exchange reports as the gossip task does."""

    def __init__(self, per_zone, zones, seed=0, loss=0.0):
        self.draw = random.Random(seed)
        self.loss = loss
        self.now_s = 0.0
        self.number = 0
        self.tables = {}
        self.zone_of = {}
        self.down = set()
        self.heard_s = defaultdict(dict)
        self.bytes_between_zones = Counter()
        for zone in range(zones):
            for index in range(per_zone):
                self.add(f"10.{zone}.0.{index + 1}:7600", f"z{zone}")

    def add(self, address, zone):
        self.zone_of[address] = zone
        self.start(address)

    def start(self, address):
        """Start a process: it knows the list of the store, but no zone."""
        start_ms = int(self.now_s * 1000) + len(self.tables) + 1
        vm = VmId(address.split(":")[0])
        table = make_relay_table(
            address, ZoneId(self.zone_of[address]), Incarnation(vm, start_ms)
        )
        table.on_listed(tuple(self.zone_of), self.now_s)
        self.tables[address] = (table, Incarnation(vm, start_ms))
        self.heard_s[address] = {}
        self.down.discard(address)

    def send(self, sender, message, targets):
        size = len(encode(message))
        for target in targets:
            if self.zone_of[sender] != self.zone_of[target]:
                self.bytes_between_zones[sender] += size
            if target not in self.down and self.draw.random() >= self.loss:
                self.receive(target, sender, message)

    def receive(self, target, sender, message):
        table, _ = self.tables[target]
        if isinstance(message, EntryReport):
            self.hear(target, message)
            return
        for report in message.reports:
            self.hear(target, report)
        if not table.is_in_zone(sender):
            self.send(target, message, table.zone_members())

    def hear(self, target, report):
        if report.address != target:
            self.tables[target][0].on_report(report, self.now_s)
            self.heard_s[target][report.address] = self.now_s

    def step(self):
        self.now_s += INTERVAL_S
        self.number += 1
        order = sorted(set(self.tables) - self.down)
        self.draw.shuffle(order)
        for address in order:
            table, incarnation = self.tables[address]
            table.drop_silent(self.now_s)
            running = {f"i-{n:010d}": 3 for n in range(20)}
            report = EntryReport(
                incarnation, address, {"c": 7}, running, {}, zone=self.zone_of[address]
            )
            table.on_own_report(report, self.now_s)
            self.send(address, report, table.report_targets(self.number))
            targets = table.batch_targets(self.number, self.now_s)
            if targets:
                self.send(
                    address, EntryReportBatch(table.take_batch(self.now_s)), targets
                )

    def run(self, seconds):
        for _ in range(round(seconds / INTERVAL_S)):
            self.step()

    def stale(self):
        """Return pairs of live entries of which one has not heard the other lately."""
        live = set(self.tables) - self.down
        return [
            (target, source)
            for target in live
            for source in live - {target}
            if self.now_s - self.heard_s[target].get(source, -9.0) > FRESH_S
        ]


@pytest.mark.parametrize(("per_zone", "zones"), [(1, 4), (4, 3), (6, 5), (24, 5)])
def test_each_report_reaches_all_entries_within_the_bound(per_zone, zones):
    network = Network(per_zone, zones)
    network.run(3.0)
    for _ in range(10):
        network.step()
        assert network.stale() == []


def test_lost_datagrams_leave_few_reports_overdue():
    network = Network(6, 5, seed=3, loss=0.03)
    network.run(4.0)
    overdue = 0
    for _ in range(50):
        network.step()
        overdue += len(network.stale())
    assert overdue < 0.01 * 50 * 30 * 29


def test_bytes_between_zones_of_an_entry_do_not_grow_with_its_square():
    """Four times the entries: a mesh would send four times the bytes per entry."""
    per_entry = []
    for per_zone in (6, 24):
        network = Network(per_zone, 5)
        network.run(3.0)
        network.bytes_between_zones.clear()
        network.run(DISCOVERY_INTERVAL_REPORTS * INTERVAL_S)
        total = sum(network.bytes_between_zones.values())
        per_entry.append(total / len(network.tables))
    # Batches carry each report four times, whatever the size of the fleet; the rest is
    # discovery, once in 25 reports.
    assert per_entry[1] < 2.0 * per_entry[0]


def test_relays_send_less_than_a_quarter_of_the_bytes_of_a_mesh():
    network = Network(6, 5)
    network.run(3.0)
    network.bytes_between_zones.clear()
    network.run(DISCOVERY_INTERVAL_REPORTS * INTERVAL_S)
    table, incarnation = next(iter(network.tables.values()))
    report = EntryReport(
        incarnation,
        "10.0.0.1:7600",
        {"c": 7},
        {f"i-{n:010d}": 3 for n in range(20)},
        {},
    )
    mesh = DISCOVERY_INTERVAL_REPORTS * 30 * 24 * len(encode(report))
    assert sum(network.bytes_between_zones.values()) < mesh / 4


def test_lost_relays_are_replaced():
    network = Network(6, 5)
    network.run(3.0)
    for zone in range(5):
        members = [a for a, z in network.zone_of.items() if z == f"z{zone}"]
        relays = [
            a
            for a in members
            if any(network.tables[a][0].batch_targets(n, network.now_s) for n in (1, 2))
        ]
        assert len(relays) == 2
        network.down.update(relays)
    network.run(2 * RELAY_SILENCE_TIMEOUT_S + 1.0)
    for _ in range(5):
        network.step()
        assert network.stale() == []


def test_new_relay_does_not_pass_on_reports_of_ended_entries():
    """Guards against entries that are believed alive after they have ended."""
    network = Network(6, 5)
    network.run(3.0)
    members = [a for a, zone in network.zone_of.items() if zone == "z0"]
    ended = members[0]
    network.down.add(ended)
    network.run(2.0)
    for address in members[1:]:
        batch = network.tables[address][0].take_batch(network.now_s)
        assert ended not in [report.address for report in batch]


def test_each_engine_is_followed_by_one_entry_of_a_zone():
    network = Network(6, 5)
    network.run(3.0)
    for number in range(30):
        engine = ServerId(f"i-{number}")
        followers = Counter(
            network.zone_of[address]
            for address, (table, _) in network.tables.items()
            if table.followed([engine], network.now_s)
        )
        assert set(followers.values()) == {1} and len(followers) == 5


def test_demand_goes_to_the_planner_and_the_next_in_line():
    network = Network(6, 5)
    network.run(3.0)
    oldest = sorted(
        network.tables, key=lambda address: network.tables[address][1].start_ms
    )[:2]
    for address, (table, _) in network.tables.items():
        targets = table.demand_targets(network.now_s)
        assert set(targets) == set(oldest) - {address}
    network.down.add(oldest[0])
    network.run(CANDIDATE_SILENCE_TIMEOUT_S + 0.6)
    table, _ = network.tables[oldest[1]]
    assert oldest[0] not in table.demand_targets(network.now_s)


def test_small_fleet_exchanges_all_reports_directly():
    network = Network(MAX_MESH_ENTRIES // 4, 4)
    network.run(1.0)
    for address, (table, _) in network.tables.items():
        assert set(table.report_targets(1)) == set(network.tables) - {address}
        assert table.batch_targets(1, network.now_s) == []
        assert table.followed([ServerId("i-1")], network.now_s)


class DisseminationMachine(RuleBasedStateMachine):
    """Entries are killed, started again and moved while reports go round."""

    def __init__(self):
        super().__init__()
        self.network = Network(4, 4)
        self.network.run(3.0)
        self.calm_s = 3.0

    def change(self):
        self.calm_s = 0.0

    @rule(index=st.integers(0, 15))
    def entry_is_killed(self, index):
        address = sorted(self.network.zone_of)[index]
        zone = self.network.zone_of[address]
        members = [a for a, z in self.network.zone_of.items() if z == zone]
        if len(set(members) - self.network.down - {address}) >= 1:
            self.network.down.add(address)
            self.change()

    @precondition(lambda self: self.network.down)
    @rule()
    def entry_starts_again(self):
        self.network.start(sorted(self.network.down)[0])
        self.change()

    @precondition(lambda self: self.network.down)
    @rule()
    def all_entries_start_again(self):
        for address in sorted(self.network.down):
            self.network.start(address)
        self.change()

    @precondition(lambda self: len(self.network.zone_of) < 20)
    @rule(number=st.integers(20, 99))
    def entry_comes_at_another_address(self, number):
        address = f"10.1.0.{number}:7600"
        if address not in self.network.zone_of:
            self.network.add(address, "z1")
            self.change()

    @rule(seconds=st.sampled_from([0.2, 1.0, 3.0]))
    def time_passes(self, seconds):
        self.network.run(seconds)
        self.calm_s += seconds

    @invariant()
    def all_reports_arrive_once_the_fleet_is_calm(self):
        # A silent relay is replaced after 0.8 s, and an entry that has just started is
        # found by its own reports to the whole list.
        if self.calm_s >= 2 * RELAY_SILENCE_TIMEOUT_S + 1.4:
            assert self.network.stale() == []


TestDisseminationMachine = DisseminationMachine.TestCase


def test_queries_in_a_large_fleet_are_bounded_and_reach_all_entries_in_turn():
    """Guards against take-ups that load every entry of a large fleet."""
    table = make_relay_table("10.0.0.1:7600", ZoneId("z"), Incarnation(VmId("e"), 1))
    peers = [f"10.0.{index}.2:7600" for index in range(100)]
    table.on_listed(tuple(peers), 0.0)
    asked = [table.query_targets(number) for number in range(5)]
    assert {len(targets) for targets in asked} == {MAX_ASKED_PEERS}
    assert set().union(*asked) == set(peers)
