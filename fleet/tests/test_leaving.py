"""Callers that leave, and processes that stop as planned."""

import http.client
import time
from concurrent.futures import ThreadPoolExecutor
from signal import SIGTERM

import pytest

from fleet.client import call, open_stream
from fleet.demo_steps import running_engines
from fleet.launcher import start_fleet
from fleet.plan import FleetPlan

CHAT = "/v1/chat/completions"


@pytest.fixture(scope="module")
def own_fleet(tmp_path_factory):
    """A fleet whose processes may be stopped."""
    plan = FleetPlan(engines=2, services=1, notice_s=0.5)
    with start_fleet(plan, tmp_path_factory.mktemp("leaving")) as running:
        running.wait_loaded()
        running.wait_for(
            lambda: _copies(running, "draft-small") == 2, "two copies of draft-small"
        )
        yield running


def _copies(fleet, name) -> int:
    servers = fleet.admin("GET", "fleet").json()["servers"]
    return sum(server["resident"].get(name) == "loaded" for server in servers)


def _body(tokens, prompt="A long letter"):
    message = {"role": "user", "content": prompt}
    return {"model": "draft-small", "messages": [message], "max_tokens": tokens}


def _open_streams(fleet, count, tokens):
    """Open streams and read the first part of each."""
    address, key = fleet.entry_addresses()[0], fleet.keys["surveyors"]
    streams = []
    for index in range(count):
        body = _body(tokens, f"Letter number {index}")
        stream = open_stream(address, CHAT, body, key)
        next(iter_once(stream))
        streams.append(stream)
    return streams


def iter_once(stream):
    """Return the stream's one iterator, which is kept for the rest."""
    stream.parts = iter(stream)
    return stream.parts


def _read_rest(stream):
    for _ in stream.parts:
        pass
    return stream.done, stream.error


def _check_complete(fleet, streams, tokens):
    with ThreadPoolExecutor(len(streams)) as pool:
        results = list(pool.map(_read_rest, streams))
    assert results == [(True, None)] * len(streams)
    address, key = fleet.entry_addresses()[-1], fleet.keys["surveyors"]
    for index, stream in enumerate(streams):
        body = _body(tokens, f"Letter number {index}")
        answer = call(address, "POST", CHAT, body, key).json()
        whole = answer["choices"][0]["message"]["content"]
        assert "".join(stream.text) == whole


def test_engine_work_of_a_caller_that_left_ends_within_a_second(own_fleet):
    """Guards against accelerators that work for callers who are gone."""
    fleet = own_fleet
    [stream] = _open_streams(fleet, 1, 1500)
    fleet.wait_for(lambda: running_engines(fleet), "engine runs", 3.0)
    left_s = time.monotonic()
    stream.close()
    fleet.wait_for(lambda: not running_engines(fleet), "engines idle", 1.0)
    assert time.monotonic() - left_s <= 1.0


def test_sigterm_to_a_sidecar_cuts_off_no_stream(own_fleet):
    """Guards against planned stops that callers notice."""
    fleet = own_fleet
    streams = _open_streams(fleet, 4, 150)
    fleet.wait_for(lambda: running_engines(fleet), "engines run", 3.0)
    name = running_engines(fleet)[0]
    daemon = fleet.vms[name].daemon
    daemon.signal(SIGTERM)
    _check_complete(fleet, streams, 150)
    assert daemon.wait() == 0
    fleet.start_daemon(name)
    fleet.wait_ready()


def test_sigterm_to_an_entry_cuts_off_no_stream(own_fleet):
    """Guards against planned stops that callers notice."""
    fleet = own_fleet
    streams = _open_streams(fleet, 4, 150)
    daemon = fleet.vms["entry-1"].daemon
    address = daemon.addresses["http"]
    daemon.signal(SIGTERM)
    fleet.wait_for(lambda: not _ready(address), "entry not ready", 0.5)
    _check_complete(fleet, streams, 150)
    assert daemon.wait() == 0


def _ready(address) -> bool:
    try:
        return call(address, "GET", "/readyz").status == 200
    except (OSError, http.client.HTTPException):
        return False
