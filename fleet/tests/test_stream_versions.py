"""Streams beside servers of several software versions: no stream mixes two of them.

Each test looks at the events that a caller holds over all its attempts.
"""

from __future__ import annotations

import os
from enum import Enum

import pytest

from fleet.deployed import DeployedFleet
from fleet.tests.stream_breaks import (
    BEGUN,
    GIVE_UP_S,
    NEW,
    OLD,
    Break,
    Failure,
    Loss,
    Place,
    add_engines,
    begin_streams,
    check_goes_on,
    check_not_joined,
    check_refused,
    end_servers,
    fail_streams,
    interrupt,
    kill_all,
    place_of,
    release,
    start_again,
    start_agents,
    start_entries,
    statuses,
    wait_known,
    wait_logged,
)
from fleet.tests.stream_caller import Outcome, StreamCaller, timed

WAYS = [
    (Break.RESET, Place.SAME),
    (Break.RESET, Place.OTHER),
    (Break.KILLED, Place.OTHER),
    (Break.KILLED, Place.RESTARTED),
    (Break.STOPPED, Place.OTHER),
    (Break.STOPPED, Place.RESTARTED),
]
LOSSES = [
    (Break.RESET, Place.SAME, Loss.KILLED),
    (Break.KILLED, Place.OTHER, Loss.KILLED),
    (Break.STOPPED, Place.RESTARTED, Loss.KILLED),
    (Break.RESET, Place.OTHER, Loss.LEFT),
    (Break.RESET, Place.SAME, Loss.UPGRADED),
    (Break.KILLED, Place.RESTARTED, Loss.UPGRADED),
]


def named(value):
    """Return the part of a test's id that a parameter gives."""
    return value.value if isinstance(value, Enum) else None


@pytest.fixture
def fleet():
    with DeployedFleet() as running:
        yield running


@pytest.mark.parametrize("failure", Failure, ids=named)
def test_entry_resumes_no_stream_at_another_version(fleet, failure):
    """Guards against an answer that goes on at another version, or ends as if whole.

    No server of the stream's version is left but the one that failed it.
    """
    [first] = add_engines(fleet, [OLD])
    [entry] = start_entries(fleet, 1, [first])
    callers = begin_streams([entry], 3)
    newer = add_engines(fleet, [NEW, NEW], 2)
    wait_known([entry], newer)
    release(newer)
    fail_streams(first, failure, len(callers))
    ended = [timed(caller.read) for caller in callers]
    check_not_joined(callers)
    allowed = {Outcome.BROKEN}
    if failure is Failure.BROKEN_OFF_ONCE:
        allowed.add(Outcome.WHOLE)
    for caller, (outcome, took_s) in zip(callers, ended, strict=True):
        assert outcome in allowed
        assert (outcome is Outcome.WHOLE) == (len(caller.events) == first.events)
        assert took_s < GIVE_UP_S


@pytest.mark.parametrize("failure", [Failure.KILLED, Failure.BROKEN_OFF], ids=named)
def test_entry_resumes_streams_at_another_server_of_their_version(fleet, failure):
    """Guards against streams that break off though their version is in service."""
    [first] = add_engines(fleet, [OLD])
    [entry] = start_entries(fleet, 1, [first])
    callers = begin_streams([entry], 3)
    others = add_engines(fleet, [NEW, OLD, NEW], 2)
    wait_known([entry], others)
    release(others)
    fail_streams(first, failure, len(callers))
    outcomes = [caller.read() for caller in callers]
    check_not_joined(callers)
    assert outcomes == [Outcome.WHOLE] * len(callers)


@pytest.mark.parametrize(("way", "place"), WAYS, ids=named)
def test_taken_up_stream_goes_on_at_its_version(fleet, way, place):
    """Guards against a text of two versions over the attempts of a caller.

    It guards as well against refusals while the stream's version is in service.
    """
    engines = add_engines(fleet, [OLD, OLD, NEW, NEW])
    first, other = start_entries(fleet, 2, engines)
    start_agents(fleet, engines)
    callers = begin_streams([first])
    interrupt(callers, first, way)
    entry = place_of(place, first, other)
    release(engines)
    check_goes_on(callers, entry)


@pytest.mark.parametrize(("way", "place", "loss"), LOSSES, ids=named)
def test_taken_up_stream_is_refused_without_its_version(fleet, way, place, loss):
    """Guards against a take-up at another version, or held until its deadline.

    The streams begin while the old version alone is in service.
    """
    older = add_engines(fleet, [OLD, OLD])
    first, other = entries = start_entries(fleet, 2, older)
    start_agents(fleet, older)
    callers = begin_streams([first])
    newer = add_engines(fleet, [NEW, NEW], 3)
    start_agents(fleet, newer)
    wait_known(entries, newer)
    interrupt(callers, first, way)
    end_servers(fleet, entries if way is Break.RESET else [other], older, loss)
    entry = place_of(place, first, other)
    release(newer + older)
    check_refused(callers, entry)


def test_streams_go_on_at_their_version_after_all_entries_were_killed(fleet):
    """Guards against joined streams where no entry remembers who began them.

    The agents beside the engines have run on.
    """
    engines = add_engines(fleet, [OLD, OLD, NEW, NEW])
    entries = start_entries(fleet, 2, engines)
    start_agents(fleet, engines)
    callers = begin_streams(entries, 8)
    kill_all(entries, callers)
    start_again(entries)
    release(engines)
    for number, entry in enumerate(entries):
        check_goes_on(callers[number::2], entry)


class Memory(Enum):
    """Which processes run on, and when the older servers leave."""

    AGENTS = "agents"
    NONE = "none"
    NONE_LEAVE_MEANWHILE = "none_leave_meanwhile"


@pytest.mark.parametrize("memory", Memory, ids=named)
def test_streams_of_servers_that_left_are_refused_after_all_entries_were_killed(
    fleet, memory
):
    """Guards against joined streams where nobody remembers that a version served."""
    older = add_engines(fleet, [OLD, OLD])
    entries = start_entries(fleet, 2, older)
    if memory is Memory.AGENTS:
        start_agents(fleet, older)
    callers = begin_streams(entries, 4)
    newer = add_engines(fleet, [NEW, NEW], 3)
    if memory is Memory.AGENTS:
        start_agents(fleet, newer)
    wait_known(entries, newer)
    if memory is not Memory.NONE_LEAVE_MEANWHILE:
        end_servers(fleet, entries, older, Loss.LEFT)
    kill_all(entries, callers)
    if memory is Memory.NONE_LEAVE_MEANWHILE:
        end_servers(fleet, [], older, Loss.LEFT)
    start_again(entries)
    release(newer)
    for number, entry in enumerate(entries):
        check_refused(callers[number::2], entry)


def test_stream_that_is_taken_up_twice_goes_on_at_its_version(fleet):
    """Guards against forgetting the origin of a stream once it has gone on."""
    engines = add_engines(fleet, [OLD, OLD, NEW, NEW])
    first, other = entries = start_entries(fleet, 2, engines)
    start_agents(fleet, engines)
    callers = begin_streams([first])
    interrupt(callers, first, Break.RESET)
    for engine in engines:
        engine.hold_after = BEGUN + 1
    for caller in callers:
        caller.open(other)
        assert caller.read(BEGUN + 1) is None, statuses(callers)
    check_not_joined(callers)
    kill_all(entries, callers)
    start_again(entries)
    release(engines)
    check_goes_on(callers, first)


def test_stream_goes_on_at_the_version_of_its_first_event(fleet):
    """Guards against taking a server that was only tried for the one that began."""
    tried, *newer = engines = add_engines(fleet, [OLD, NEW, NEW])
    tried.break_after = 0
    [entry] = start_entries(fleet, 1, engines)
    callers = begin_streams([entry])
    assert tried.runs, "the older server was tried"
    interrupt(callers, entry, Break.RESET)
    tried.break_after = None
    release(engines)
    check_goes_on(callers, entry)
    assert {version for caller in callers for version in caller.versions} == {NEW}


UNPROVEN = {
    "no_origin": {"Resumes": None},
    "unknown_origin": {"Resumes": "0123456789abcdef"},
}


@pytest.mark.parametrize("has_left", [False, True], ids=["both_serve", "one_left"])
@pytest.mark.parametrize("origin", UNPROVEN)
def test_take_up_of_unknown_origin_is_refused_beside_two_versions(
    fleet, origin, has_left
):
    """Guards against a stream that goes on at a version that was guessed."""
    engines = add_engines(fleet, [OLD, OLD, NEW, NEW])
    [entry] = start_entries(fleet, 1, engines)
    callers = begin_streams([entry])
    interrupt(callers, entry, Break.RESET)
    if has_left:
        end_servers(fleet, [entry], engines[:2], Loss.LEFT)
    release(engines)
    check_refused(callers, entry, UNPROVEN[origin])


@pytest.mark.parametrize("origin", [*UNPROVEN, "stated_origin"])
def test_take_up_goes_on_where_one_version_has_served(fleet, origin):
    """Guards against refused take-ups on deployments with one version."""
    engines = add_engines(fleet, [OLD, OLD])
    first, other = start_entries(fleet, 2, engines)
    callers = begin_streams([first])
    interrupt(callers, first, Break.RESET)
    release(engines)
    check_goes_on(callers, other, UNPROVEN.get(origin))


def test_new_streams_begin_at_any_version(fleet):
    """Guards against new streams that are bound to the version of earlier ones."""
    [older] = add_engines(fleet, [OLD])
    [entry] = start_entries(fleet, 1, [older])
    callers = begin_streams([entry], 3)
    [newer] = add_engines(fleet, [NEW], 2)
    wait_known([entry], [newer])
    release([older, newer])
    fleet.register(older, "draining")
    wait_logged([entry], "server_changed", older, 2)
    later = [StreamCaller(os.urandom(4).hex()) for _ in range(4)]
    check_goes_on(later, entry)
    assert {version for caller in later for version in caller.versions} == {NEW}
    assert [caller.read() for caller in callers] == [Outcome.WHOLE] * 3
    assert {version for caller in callers for version in caller.versions} == {OLD}
