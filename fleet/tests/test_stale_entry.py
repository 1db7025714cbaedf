"""Streams at an entry that was stopped or cut off while a new software version joined.

Its list of servers is out of date when it returns. Callers must not get a text of two
versions, and streams must still go on where the entry can find out their version.
"""

from __future__ import annotations

import signal
import threading
from concurrent.futures import ThreadPoolExecutor
from enum import Enum

import pytest

from fleet.deployed import DeployedFleet
from fleet.process import Process, python_command
from fleet.tests.faulting import set_faults
from fleet.tests.stream_breaks import (
    NEW,
    OLD,
    SETTINGS,
    Break,
    add_engines,
    begin_streams,
    check_goes_on,
    check_not_joined,
    interrupt,
    kill_all,
    release,
    start_agents,
    statuses,
    wait_known,
    wait_logged,
)
from fleet.tests.stream_caller import Outcome
from standins.cut_state import Direction

CALLERS = 12


class Store(Enum):
    """Whether the store is reached when the entry has returned."""

    ANSWERS = "store_answers"
    SILENT = "store_silent"


class Sent(Enum):
    """When callers take their streams up at the stopped entry."""

    BEFORE = "sent_before"
    AFTER = "sent_after"


def named(value):
    """Return the part of a test's id that a parameter gives."""
    return value.value if isinstance(value, Enum) else None


@pytest.fixture
def fleet():
    with DeployedFleet() as running:
        yield running


@pytest.fixture
def link(fleet):
    """Return the forwarder between the stale entry and the store."""
    command = python_command("standins.cut", target=fleet.store.address)
    forwarder = Process("link", command, fleet.folder / "link.log").start()
    yield forwarder
    forwarder.stop()


def cut(link, direction=Direction.BOTH):
    """Withhold what the stale entry and the store send to each other."""
    faults = {"silence": "all", "direction": direction.value}
    set_faults(link.addresses["control"], **faults)


def start_entries(fleet, link, engines):
    """Return the entry that goes stale, behind the link, and another one."""
    settings = SETTINGS | {"platform.address": link.address}
    stale = fleet.add_entry("127.0.0.8", settings)
    other = fleet.add_entry("127.0.0.9", SETTINGS)
    wait_known([stale, other], engines)
    return stale, other


def pause(entry):
    entry.program.process.send_signal(signal.SIGSTOP)


def resume(entry):
    entry.program.process.send_signal(signal.SIGCONT)


def join_newer(fleet, other, older, has_agents=True):
    """Start engines of the new version, and let the older ones drain.

    Return the new ones once the other entry knows both.
    """
    newer = add_engines(fleet, [NEW, NEW], 3)
    if has_agents:
        start_agents(fleet, newer)
    for engine in older:
        fleet.register(engine, "draining")
    wait_known([other], newer)
    for engine in older:
        wait_logged([other], "server_changed", engine, 2)
    return newer


def take_up_at(stale, callers, sent):
    """Let all callers take their streams up at an entry that runs again."""
    with ThreadPoolExecutor(len(callers)) as pool:
        if sent is Sent.AFTER:
            resume(stale)
        began = [pool.submit(caller.take_up, stale) for caller in callers]
        if sent is Sent.BEFORE:
            threading.Event().wait(0.2)
            resume(stale)
        return [each.result() for each in began]


def check_unjoined_or_refused(callers):
    check_not_joined(callers)
    assert set(statuses(callers)) <= {200, 503}, statuses(callers)


@pytest.mark.parametrize("sent", Sent, ids=named)
@pytest.mark.parametrize("store", Store, ids=named)
@pytest.mark.parametrize("peer", [Break.RESET, Break.KILLED], ids=named)
def test_stopped_entry_joins_no_stream_of_a_version_that_it_has_not_seen(
    fleet, link, peer, store, sent
):
    """Guards against a list of before the stop that is taken for the current one."""
    older = add_engines(fleet, [OLD, OLD])
    stale, other = start_entries(fleet, link, older)
    start_agents(fleet, older)
    pause(stale)
    newer = join_newer(fleet, other, older)
    callers = begin_streams([other], CALLERS)
    interrupt(callers, other, peer)
    release([*older, *newer])
    if store is Store.SILENT:
        cut(link)
    take_up_at(stale, callers, sent)
    check_unjoined_or_refused(callers)
    if store is Store.ANSWERS:
        unfinished = [each for each in callers if len(each.events) < newer[0].events]
        check_goes_on(unfinished, stale)


@pytest.mark.parametrize("direction", Direction, ids=named)
def test_entry_that_is_cut_off_joins_no_stream_of_a_version_that_it_has_not_seen(
    fleet, link, direction
):
    """Guards against a list that is believed until a call of the store times out."""
    older = add_engines(fleet, [OLD, OLD])
    stale, other = start_entries(fleet, link, older)
    start_agents(fleet, older)
    cut(link, direction)
    newer = join_newer(fleet, other, older, has_agents=False)
    callers = begin_streams([other], CALLERS)
    interrupt(callers, other, Break.KILLED)
    release([*older, *newer])
    take_up_at(stale, callers, Sent.AFTER)
    check_unjoined_or_refused(callers)


@pytest.mark.parametrize("has_agents", [True, False], ids=["agents", "no_agents"])
@pytest.mark.parametrize("store", Store, ids=named)
def test_stopped_entry_resumes_no_stream_at_a_server_that_was_upgraded(
    fleet, link, store, has_agents
):
    """Guards against a server's registration of before the stop that is believed.

    The entry relays the streams itself. Their server ends while the entry is stopped,
    and the other one of their version starts again under its id with other software.
    """
    [first] = add_engines(fleet, [OLD])
    stale, other = start_entries(fleet, link, [first])
    callers = begin_streams([stale], 4)
    [second] = add_engines(fleet, [OLD], 2)
    wait_known([stale, other], [second])
    if has_agents:
        start_agents(fleet, [first, second])
    pause(stale)
    first.stop()
    second.restart(NEW)
    fleet.register(second)
    wait_logged([other], "server_changed", second, 2)
    if store is Store.SILENT:
        cut(link)
    release([second])
    resume(stale)
    outcomes = [caller.read() for caller in callers]
    check_not_joined(callers)
    assert outcomes == [Outcome.BROKEN] * len(callers)


@pytest.mark.parametrize("has_agents", [True, False], ids=["agents", "no_agents"])
def test_streams_go_on_at_an_entry_that_was_stopped_beside_one_version(
    fleet, link, has_agents
):
    """Guards against refused take-ups where no stream can be joined.

    The entry that relayed the streams is lost, so that nobody else is asked.
    """
    engines = add_engines(fleet, [OLD, OLD])
    stale, other = start_entries(fleet, link, engines)
    if has_agents:
        start_agents(fleet, engines)
    callers = begin_streams([other], CALLERS)
    pause(stale)
    kill_all([other], callers)
    threading.Event().wait(2.0)
    release(engines)
    outcomes = take_up_at(stale, callers, Sent.BEFORE)
    check_not_joined(callers)
    assert outcomes == [Outcome.WHOLE] * len(callers), statuses(callers)
