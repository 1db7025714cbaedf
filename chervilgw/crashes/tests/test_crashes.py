"""Crash tracker and gate with one request that crashes servers; limits of blocks."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from returns.pipeline import is_successful

from chervilgw.core.ids import Incarnation, RequestId, VmId
from chervilgw.core.messages import CrashReport
from chervilgw.crashes import make_crash_tracker, make_suspect_gate, request_digest
from chervilgw.crashes.tracker import blamed_digests


def report(crash, *digests, time_ms=0):
    return CrashReport(crash, VmId("b"), digests, time_ms)


def test_same_crash_counts_once():
    tracker = make_crash_tracker()
    for _ in range(3):
        tracker.on_crash_report(report("c1", "d"), 0)
    assert is_successful(tracker.check("d", 1)) and tracker.suspect_crashes("d") == (
        "c1",
    )


@pytest.mark.parametrize(("now_ms", "allowed"), [(10_999, False), (11_000, True)])
def test_block_ends(now_ms, allowed):
    tracker = make_crash_tracker(crash_block_s=10)
    tracker.on_crash_report(report("c1", "d"), 0)
    tracker.on_crash_report(report("c2", "d", time_ms=1000), 1000)
    assert is_successful(tracker.check("d", now_ms)) is allowed


def test_block_is_lifted_by_configuration():
    tracker = make_crash_tracker()
    for crash in ("c1", "c2"):
        tracker.on_crash_report(report(crash, "d"), 0)
    assert is_successful(tracker.check("d", 1, lifted={"d": 1}))
    assert not is_successful(tracker.check("d", 1))


def test_memory_is_bounded_and_a_flood_lifts_no_block():
    tracker = make_crash_tracker(max_digests=10)
    for crash in ("c1", "c2"):
        tracker.on_crash_report(report(crash, "d"), 0)
    for number in range(100):
        tracker.on_crash_report(report(f"f{number}", f"d{number}"), 0)
    assert len(tracker) == 10 and not is_successful(tracker.check("d", 1))


def test_digest_separates_its_parts():
    assert request_digest("ab", "c", b"") != request_digest("a", "bc", b"")


class Fleet(RuleBasedStateMachine):
    """Three entries and three servers; reports reach all entries at once.

    Oracle: the poison request crashes at most two servers, and no other request is ever
    blocked.
    """

    def __init__(self):
        super().__init__()
        self.trackers = [make_crash_tracker() for _ in range(3)]
        self.counter = self.crashes = 0
        self.boot = lambda: (make_suspect_gate(), {})
        self.servers = [self.boot() for _ in range(3)]

    @rule(
        entry=st.integers(0, 2),
        server=st.integers(0, 2),
        digest=st.sampled_from(["poison", "a", "b", "c"]),
    )
    def request(self, entry, server, digest):
        allowed = is_successful(self.trackers[entry].check(digest, 0))
        assert allowed or digest == "poison"
        self.counter += 1
        attempt = RequestId(Incarnation(VmId("e"), 1), self.counter)
        suspect = bool(self.trackers[entry].suspect_crashes(digest))
        gate, running = self.servers[server]
        if allowed and is_successful(gate.enter(attempt, suspect)):
            running[attempt] = (digest, suspect)

    @precondition(lambda self: any(running for _, running in self.servers))
    @rule(data=st.data())
    def end(self, data):
        index = data.draw(st.sampled_from([i for i in range(3) if self.servers[i][1]]))
        gate, running = self.servers[index]
        attempt = data.draw(st.sampled_from(sorted(running)))
        digest, _ = running[attempt]
        if digest == "poison":
            self.crash(index)
            return
        gate.leave(attempt)
        del running[attempt]
        for tracker in self.trackers:
            tracker.on_completed(digest)

    @precondition(lambda self: any(running for _, running in self.servers))
    @rule(data=st.data())
    def end_trial(self, data):
        """Clear a suspect that ran past the point of the crash, unless it is poison."""
        index = data.draw(st.sampled_from([i for i in range(3) if self.servers[i][1]]))
        gate, running = self.servers[index]
        attempt = data.draw(st.sampled_from(sorted(running)))
        digest, suspect = running[attempt]
        if digest == "poison":
            self.crash(index)
        elif suspect:
            gate.leave(attempt)
            running[attempt] = (digest, False)

    def crash(self, index):
        self.crashes += 1
        _, running = self.servers[index]
        suspects_by_digest = {}
        for digest, suspect in running.values():
            suspects_by_digest[digest] = (
                suspects_by_digest.get(digest, False) or suspect
            )
        found = report(f"crash{self.crashes}", *blamed_digests(suspects_by_digest))
        self.servers[index] = self.boot()
        for tracker in self.trackers:
            blocked = tracker.on_crash_report(found, 0)
        for gate, running in self.servers:
            suspects = [
                attempt
                for attempt, (digest, _) in running.items()
                if self.trackers[0].suspect_crashes(digest)
            ]
            stopped = gate.retain_one(suspects)
            for attempt in suspects:
                digest, _ = running[attempt]
                running[attempt] = (digest, True)
                if attempt in stopped or digest in blocked:
                    gate.leave(attempt)
                    del running[attempt]

    @invariant()
    def at_most_two_crashes(self):
        assert self.crashes <= 2


TestFleet = Fleet.TestCase
