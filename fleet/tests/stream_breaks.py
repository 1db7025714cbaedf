"""Servers of several software versions, and what breaks their streams off."""

from __future__ import annotations

import os
import signal
from enum import Enum

from fleet.deployed import wait_for
from fleet.tests.stream_caller import Outcome, StreamCaller, timed

OLD, NEW = "v1", "v2"
BEGUN = 2
"""Events that a caller holds when its stream breaks off."""
GIVE_UP_S = 2.0
"""Callers abandon a stream after a gap of this length."""
CALLERS = 6
SETTINGS = {"bounds.grace_s": "2"}


class Failure(Enum):
    """What a server does to the streams that it runs."""

    KILLED = "killed"
    BROKEN_OFF = "broken_off"
    BROKEN_OFF_ONCE = "broken_off_once"


class Break(Enum):
    """What ends an answer before the last event of its stream."""

    RESET = "reset"
    KILLED = "killed"
    STOPPED = "stopped"


class Place(Enum):
    """The entry at which a caller takes its stream up."""

    SAME = "same"
    OTHER = "other"
    RESTARTED = "restarted"


class Loss(Enum):
    """How the servers of a version end."""

    KILLED = "servers_killed"
    LEFT = "servers_left"
    UPGRADED = "servers_upgraded"


def add_engines(fleet, versions, first=1):
    """Start engines on VMs of their own, which hold streams after the first events."""
    engines = []
    for number, version in enumerate(versions, first):
        ip, models = f"127.0.0.{number + 20}", {"m1": []}
        options = {"service": "llm", "ip": ip, "models": models, "version": version}
        engine = fleet.add_server(name=f"i-{number}", hold_after=BEGUN, **options)
        engine.hold.clear()
        engines.append(engine)
    return engines


def start_entries(fleet, count, engines):
    entries = [
        fleet.add_entry(f"127.0.0.{number + 8}", SETTINGS) for number in range(count)
    ]
    wait_known(entries, engines)
    return entries


def start_agents(fleet, engines):
    for agent in [fleet.add_agent(engine) for engine in engines]:
        wait_for(lambda a=agent: "fence_taken" in a.log_text(), "an agent is ready")


def count_logged(entry, event, engine):
    logged = f'"event": "{event}", "server": "{engine.name}"'
    return entry.program.log_text().count(logged)


def wait_logged(entries, event, engine, times=1):
    for entry in entries:
        wait_for(
            lambda e=entry: count_logged(e, event, engine) >= times,
            f"{event} of {engine.name}",
        )


def wait_known(entries, engines):
    for engine in engines:
        wait_logged(entries, "server_changed", engine)


def begin_streams(entries, count=CALLERS):
    """Return callers that hold the first events of their streams."""
    callers = [StreamCaller(os.urandom(4).hex()) for _ in range(count)]
    for number, caller in enumerate(callers):
        caller.open(entries[number % len(entries)])
        assert caller.read(BEGUN) is None, f"no stream, status {caller.status}"
    return callers


def release(engines):
    """Let streams run to their end."""
    for engine in engines:
        engine.hold.set()


def fail_streams(engine, failure, streams):
    if failure is Failure.KILLED:
        engine.stop()
        return
    engine.break_runs = streams if failure is Failure.BROKEN_OFF_ONCE else None
    engine.break_after = BEGUN
    release([engine])


def interrupt(callers, entry, way):
    """Break off the streams that an entry relays."""
    if way is Break.RESET:
        for caller in callers:
            caller.reset()
        return
    number = signal.SIGKILL if way is Break.KILLED else signal.SIGTERM
    entry.program.process.send_signal(number)
    for caller in callers:
        assert caller.read() is Outcome.BROKEN
    entry.program.process.wait(20)


def kill_all(entries, callers):
    for entry in entries:
        entry.program.process.kill()
    for caller in callers:
        assert caller.read() is Outcome.BROKEN


def end_servers(fleet, entries, engines, loss):
    """End servers; wait until the running entries know it if the list says so."""
    for engine in engines:
        if loss is Loss.UPGRADED:
            former = max(
                count_logged(entry, "server_changed", engine) for entry in entries
            )
            engine.restart(NEW)
            fleet.register(engine)
            wait_logged(entries, "server_changed", engine, former + 1)
            continue
        if loss is Loss.LEFT:
            fleet.register(engine, "draining")
            fleet.store.put("keyed.servers", engine.name, None)
            wait_logged(entries, "server_removed", engine)
        engine.stop()


def start_again(entries):
    for entry in entries:
        entry.program.start()
    for entry in entries:
        wait_for(entry.is_ready, "the entry is ready again")


def place_of(place, first, other):
    """Return the entry at which streams go on that broke off at the first one."""
    if place is Place.RESTARTED:
        start_again([first])
    return other if place is Place.OTHER else first


def check_not_joined(callers):
    """Check that no caller holds events of two versions, or skips or repeats one."""
    joined = [caller.events for caller in callers if len(caller.versions) > 1]
    assert joined == [], f"{len(joined)} of {len(callers)} streams are joined"
    assert all(caller.is_in_order for caller in callers)


def check_goes_on(callers, entry, changes=None):
    outcomes = [caller.take_up_with_retries(entry, changes) for caller in callers]
    check_not_joined(callers)
    assert outcomes == [Outcome.WHOLE] * len(callers), statuses(callers)


def check_refused(callers, entry, changes=None):
    """Check that take-ups are refused as not run, before their callers give up."""
    taken_up = [timed(lambda c=each: c.take_up(entry, changes)) for each in callers]
    check_not_joined(callers)
    assert statuses(callers) == [503] * len(callers), taken_up
    assert max(took_s for _, took_s in taken_up) < GIVE_UP_S


def statuses(callers):
    return [caller.status for caller in callers]
