"""Evidence on traits: single rules, and several entries over a lossy network."""

import heapq
import itertools
import random

import pytest

from chervilgw.codec.frames import encode, make_decoder
from chervilgw.core.ids import CrashId, Incarnation, VmId
from chervilgw.core.messages import SuspicionReport
from chervilgw.crashes.suspicion import (
    ALIVE_AFTER_S,
    BLOCK_S,
    MAX_SUSPICIONS,
    Ruling,
    Standing,
    make_suspicion_table,
)

ME, PEER = Incarnation(VmId("e1"), 1), Incarnation(VmId("e2"), 1)


@pytest.fixture
def table():
    return make_suspicion_table(ME)


def crash(table, name, traits, now_s):
    table.on_crash(CrashId(name), traits, table.strikes(traits), now_s)


def test_servers_that_crash_together_block_nothing(table):
    """Guards against a block of what was under way when several servers crashed."""
    known = table.strikes(("part/a",))
    for name in ("s1/1", "s2/1", "s3/1"):
        table.on_crash(CrashId(name), ("part/a",), known, 1.0)
    assert table.standing("part/a", 1.1) is Standing.SUSPECT


def test_server_that_breaks_off_again_and_again_gives_one_strike(table):
    """Guards against a block by one server that lives and breaks off its answers."""
    for _ in range(6):
        crash(table, "s1/1", ("request/a",), 1.0)
    assert table.strikes(("request/a",)) == (1,)


def test_one_request_at_a_time_is_tried(table):
    crash(table, "s1/1", ("part/a",), 1.0)
    assert table.verdict(("part/a",), 1.1).ruling is Ruling.TRY
    table.begin_trial(7, ("part/a",))
    assert table.verdict(("part/a",), 1.2).ruling is Ruling.WAIT
    table.end_trial(7)
    assert table.verdict(("part/a",), 1.3).ruling is Ruling.TRY


def test_sound_part_that_always_came_with_a_deadly_one_is_not_blocked(table):
    """Guards against a block of each part of a request that crashed a trial."""
    both = ("part/deadly", "part/fresh")
    crash(table, "s1/1", both, 1.0)
    crash(table, "s2/1", both, 2.0)
    assert table.verdict(both, 2.1).ruling is Ruling.REFUSE
    assert table.verdict(("part/fresh",), 2.1).ruling is Ruling.TRY
    table.on_survived(("part/fresh",), 2.5)
    assert table.verdict(("part/deadly", "part/other"), 2.6).ruling is Ruling.REFUSE
    assert table.verdict(("part/fresh",), 2.6).ruling is Ruling.SEND


def test_crash_that_a_blocked_part_explains_blames_no_other(table):
    crash(table, "s1/1", ("part/deadly", "part/fresh"), 1.0)
    crash(table, "s2/1", ("part/deadly", "part/other"), 2.0)
    assert table.blocked(2.1) == ("part/deadly",)
    for part in ("part/fresh", "part/other"):
        assert table.standing(part, 2.1) is Standing.CLEAR


def test_frequent_sound_part_is_neither_tried_nor_blocked(table):
    """Guards against refusals of a route's shared first part."""
    table.on_survived(("part/first",), 0.5)
    crash(table, "s1/1", ("part/first", "part/deadly"), 1.0)
    assert table.verdict(("part/first",), 1.1).ruling is Ruling.SEND
    crash(table, "s2/1", ("part/first", "part/deadly"), 1.2)
    assert table.verdict(("part/first",), 1.3).ruling is Ruling.SEND


def test_part_that_turns_deadly_is_blocked_after_the_fourth_crash(table):
    table.on_survived(("part/a", "part/b"), 0.5)
    for number in range(4):
        assert table.standing("part/a", number + 1.0) is not Standing.BLOCKED
        table.on_survived(("part/b",), number + 1.0)
        crash(table, f"s{number}/1", ("part/a", "part/b"), number + 1.0)
    assert table.blocked(5.0) == ("part/a",)


def test_block_ends_with_one_trial_and_doubles(table):
    """Guards against new crashes by everything that waited for the end of a block."""
    crash(table, "s1/1", ("part/a",), 0.0)
    crash(table, "s2/1", ("part/a",), 1.0)
    after_s = 1.0 + BLOCK_S
    assert table.verdict(("part/a",), after_s - 0.1).blocked_s == pytest.approx(0.1)
    table.drop_past(after_s)
    assert table.verdict(("part/a",), after_s).ruling is Ruling.TRY
    crash(table, "s3/1", ("part/a",), after_s)
    assert table.verdict(("part/a",), after_s).blocked_s == pytest.approx(2 * BLOCK_S)


def test_server_that_still_reports_has_not_crashed(table):
    """Guards against blame for connections that the network broke."""
    crash(table, "s1/1", ("part/a",), 0.0)
    table.on_server_alive(CrashId("s1/1"), ALIVE_AFTER_S)
    assert table.standing("part/a", 1.0) is Standing.SUSPECT
    table.on_server_alive(CrashId("s1/1"), ALIVE_AFTER_S + 0.1)
    assert table.standing("part/a", 1.2) is Standing.CLEAR


def test_reports_in_any_order_and_number_give_the_same_standing():
    source = make_suspicion_table(PEER)
    reports = []
    for name, now_s in (("s1/1", 0.0), ("s2/1", 1.0)):
        crash(source, name, ("part/a", "part/b"), now_s)
        reports.append(SuspicionReport(PEER, source.take_changed(2.0)))
    source.on_survived(("part/b",), 2.0)
    reports.append(SuspicionReport(PEER, source.take_changed(2.0)))
    for order in itertools.permutations(reports + reports[:1]):
        table = make_suspicion_table(ME)
        for report in order:
            [sent] = make_decoder().feed(encode(report))
            table.merge(sent, 2.0)
        assert table.blocked(2.0) == ("part/a",)
        assert table.standing("part/b", 2.0) is Standing.CLEAR


def test_entry_that_hears_of_a_crash_tells_what_it_knows_against_it(table):
    table.on_survived(("part/a",), 0.5)
    peer = make_suspicion_table(PEER)
    crash(peer, "s1/1", ("part/a",), 1.0)
    report = SuspicionReport(PEER, peer.take_changed(1.0))
    _, lacking = table.merge(report, 1.0)
    assert lacking == ("part/a",)
    reply = SuspicionReport(ME, table.evidence(lacking, 1.1))
    assert peer.merge(reply, 1.1) == ((), ())
    assert peer.standing("part/a", 1.1) is Standing.CLEAR


def test_block_is_told_before_many_newer_suspects(table):
    """Guards against a new entry that hears of the newest suspects only."""
    crash(table, "s1/1", ("part/a",), 0.0)
    crash(table, "s2/1", ("part/a",), 1.0)
    for number in range(100):
        crash(table, f"t{number}/1", (f"request/{number}",), 2.0)
    for evidence in (table.all_evidence(3.0), table.reminders(3.0)):
        assert evidence[0].trait == "part/a"


def test_memory_is_bounded(table):
    for number in range(3_000):
        crash(table, f"s{number}/1", (f"request/{number}",), 0.0)
    assert len(table) == MAX_SUSPICIONS


# The simulation: times in seconds.
BEGIN_S = 0.2
CRASH_S = 0.1
SURVIVE_S = 0.3
RESTART_S = 3.0
TOUCH_S = 3.0
REMINDER_S = 1.0
CRASHES_ALLOWED = 5
LATE_ALLOWED = 3


class Simulation:
    """Entries with their tables, servers that crash, and a network that loses reports.

    Entries are killed at random and start without memory; a started one is told what
    its peers know. One server in ten crashes for no reason of a request's.
    """

    def __init__(self, seed, deadly, entries, loss):
        self.random = random.Random(seed)
        self.deadly, self.loss = frozenset(deadly), loss
        self.queue, self.order = [], itertools.count()
        self.tables = {}
        self.starts = itertools.count(1)
        self.down_until_s = dict.fromkeys(range(6), 0.0)
        self.incarnations = dict.fromkeys(range(6), 1)
        self.running = {}
        self.requests = itertools.count(1)
        self.crashes_s = {part: [] for part in deadly}
        self.arrivals_s = {part: [] for part in deadly}
        self.sound = []
        for number in range(entries):
            self.restart(0.0, number)

    def at(self, when_s, call, *arguments):
        heapq.heappush(self.queue, (when_s, next(self.order), call, arguments))

    def run(self, until_s):
        while self.queue and self.queue[0][0] < until_s:
            now_s, _, call, arguments = heapq.heappop(self.queue)
            call(now_s, *arguments)

    def restart(self, now_s, number):
        self.tables[number] = make_suspicion_table(
            Incarnation(VmId(f"e{number}"), next(self.starts))
        )
        self.running = {
            key: run for key, run in self.running.items() if run[0] != number
        }
        for peer, table in self.tables.items():
            if peer != number:
                self.send(now_s, peer, table.all_evidence(now_s), [number])

    def send(self, now_s, sender, evidence, receivers):
        if not evidence:
            return
        report = SuspicionReport(self.tables[sender]._incarnation, evidence)
        for receiver in receivers:
            if self.random.random() >= self.loss:
                delay_s = self.random.uniform(0.001, 0.05)
                self.at(now_s + delay_s, self.receive, receiver, sender, report)

    def publish(self, now_s, number):
        others = [peer for peer in self.tables if peer != number]
        self.send(now_s, number, self.tables[number].take_changed(now_s), others)

    def receive(self, now_s, number, sender, report):
        table = self.tables[number]
        blocked, lacking = table.merge(report, now_s)
        self.send(now_s, number, table.evidence(lacking, now_s), [sender])
        self.publish(now_s, number)
        self.stop(number, blocked)

    def stop(self, number, blocked):
        for key, (entry, _, traits, _, survived) in list(self.running.items()):
            if entry == number and not survived and set(blocked) & set(traits):
                del self.running[key]
                self.tables[number].end_trial(key)

    def remind(self, now_s):
        for number, table in self.tables.items():
            table.drop_past(now_s)
            others = [peer for peer in self.tables if peer != number]
            chosen = self.random.sample(others, min(2, len(others)))
            self.send(now_s, number, table.reminders(now_s), chosen)
        self.at(now_s + REMINDER_S, self.remind)

    def request(self, now_s, number, traits, since_s=None, key=None):
        key = key or next(self.requests)
        since_s = now_s if since_s is None else since_s
        is_sound = not self.deadly & set(traits)
        table = self.tables[number]
        verdict = table.verdict(traits, now_s)
        up = [server for server, until in self.down_until_s.items() if until <= now_s]
        if verdict.ruling is Ruling.WAIT and now_s - since_s < 1.4:
            self.at(now_s + 0.1, self.request, number, traits, since_s, key)
            return
        if verdict.ruling in (Ruling.WAIT, Ruling.REFUSE) or not up:
            if is_sound and up:
                self.sound.append((since_s, False))
            return
        server = self.random.choice(up)
        known = table.strikes(traits)
        table.begin_trial(key, verdict.suspects)
        self.publish(now_s, number)
        self.running[key] = (number, server, traits, known, False)
        for part in self.deadly & set(traits):
            self.arrivals_s[part].append(now_s)
            self.at(now_s + BEGIN_S + CRASH_S, self.crash, server, key)
        if is_sound:
            self.sound.append((since_s, True))
            self.at(now_s + BEGIN_S + SURVIVE_S, self.survive, key)

    def survive(self, now_s, key):
        if key not in self.running:
            return
        number, server, traits, known, _ = self.running[key]
        self.running[key] = (number, server, traits, known, True)
        self.tables[number].on_survived(traits, now_s)
        self.tables[number].end_trial(key)
        self.publish(now_s, number)
        self.at(now_s + 1.5, self.end, key)

    def end(self, now_s, key):
        self.running.pop(key, None)

    def crash(self, now_s, server, key=None):
        if key is not None and key not in self.running:
            return
        if self.down_until_s[server] > now_s:
            return
        crashed = CrashId(f"s{server}/{self.incarnations[server]}")
        self.incarnations[server] += 1
        self.down_until_s[server] = now_s + RESTART_S
        if key is not None:
            for part in self.deadly & set(self.running[key][2]):
                self.crashes_s[part].append(now_s)
        there = [item for item, run in self.running.items() if run[1] == server]
        for item in there:
            number, _, traits, known, survived = self.running.pop(item)
            table = self.tables[number]
            blocked = ()
            if not survived:
                blocked = table.on_crash(crashed, traits, known, now_s)
            table.end_trial(item)
            self.publish(now_s, number)
            self.stop(number, blocked)

    def late_arrivals(self, part):
        crashes_s = self.crashes_s[part]
        if len(crashes_s) < CRASHES_ALLOWED:
            return 0
        limit_s = crashes_s[CRASHES_ALLOWED - 1] + TOUCH_S
        return sum(arrival_s > limit_s for arrival_s in self.arrivals_s[part])


@pytest.mark.parametrize("seed", range(40))
def test_few_requests_reach_servers_and_sound_ones_begin(seed):
    """Guards against an endless series of crashes and against blocks of sound parts.

    Forty seeds: one or two deadly parts, 2 to 8 entries, up to a third of the reports
    lost, entries killed, servers that crash for other reasons.
    """
    chance = random.Random(seed)
    deadly = [f"part/deadly{number}" for number in range(1 + seed % 2)]
    entries = chance.choice((2, 4, 8))
    simulation = Simulation(seed, deadly, entries, loss=chance.choice((0, 0.1, 0.3)))
    simulation.at(REMINDER_S, simulation.remind)
    for number in range(1_800):
        when_s = chance.uniform(0.0, 40.0)
        firsts = f"part/first{chance.randrange(3)}"
        second = f"part/second{chance.randrange(30)}"
        traits = (f"request/{number}", firsts, second)
        if chance.random() < 0.06 and 4.0 < when_s < 35.0:
            traits = (*traits, chance.choice(deadly))
        entry = chance.randrange(entries)
        simulation.at(when_s, simulation.request, entry, traits)
    for _ in range(4):
        when_s = chance.uniform(1.0, 35.0)
        simulation.at(when_s, simulation.restart, chance.randrange(entries))
        simulation.at(when_s + 2.0, simulation.crash, chance.randrange(6))
    simulation.run(45.0)
    for part in deadly:
        assert simulation.late_arrivals(part) <= LATE_ALLOWED
    began = [ok for since_s, ok in simulation.sound if since_s > 10.0]
    assert began.count(True) >= 0.9 * len(began)
