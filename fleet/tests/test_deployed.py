"""The whole path on the platform's stand-ins, with the faults that its pages name."""

import http.client
import signal
import threading

import httpx
import psutil
import pytest

from fleet.deployed import DeployedFleet, wait_for
from standins.opaque_platform import StoreStandIn

MODEL = {"X-Model": "m1", "X-Token-Count": "100,20", "X-Prompt-Prefix": "5c:100"}


@pytest.fixture
def fleet():
    with DeployedFleet() as running:
        yield running


MOST_GROWTH_BYTES = 64 * 1_048_576
"""A fifth of an entry's memory on the deployments' sheets."""


def rss_bytes(entry):
    return psutil.Process(entry.program.process.pid).memory_info().rss


def listed(entry, server):
    return lambda: f'"server_changed", "server": "{server.name}"' in (
        entry.program.log_text()
    )


def test_a_request_reaches_its_server_and_the_answer_its_caller(fleet):
    server = fleet.add_server(name="i-1")
    entry = fleet.add_entry()
    wait_for(listed(entry, server), "the server is known")
    answer = entry.send("/reserve/7?x=1", content=b"body", headers={"X-Tenant": "no"})
    assert (answer.status_code, answer.content) == (200, b"answer of i-1")
    assert answer.headers["X-Server-Seal"] == "i-1.1"
    run = server.runs[0]
    assert (run["method"], run["path"], run["body"]) == (
        "POST",
        "/reserve/7?x=1",
        b"body",
    )
    assert run["headers"]["x-tenant"] == "acme"
    assert "x-credential" not in run["headers"]
    assert 0 < int(run["headers"]["x-deadline-ms"]) <= 1500


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/reserve/1", "wrong", 401), ("/nowhere/1", "key-a", 404)],
)
def test_what_is_not_allowed_is_refused_and_not_run(fleet, path, key, status):
    server = fleet.add_server(name="i-1")
    entry = fleet.add_entry()
    assert entry.send(path, key=key).status_code == status
    assert server.runs == []


def test_a_customer_over_its_limit_is_told_when_to_come_back(fleet):
    server = fleet.add_server(name="i-1")
    entry = fleet.add_entry()
    wait_for(listed(entry, server), "the server is known")
    # 50 tokens a second over a window of 8 s and a burst of 200, at 200 a request.
    answers = [entry.send("/reserve/1", key="key-s") for _ in range(4)]
    assert [each.status_code for each in answers] == [200, 200, 200, 429]
    assert 0 < float(answers[-1].headers["Retry-After"]) <= 8.0
    assert len(server.runs) == 3


def test_a_request_that_may_have_run_is_not_sent_again_and_not_called_refused(fleet):
    """Guards against a second booking, and against a promise that nothing has run."""
    first = fleet.add_server(name="i-1", break_after=0)
    second = fleet.add_server(name="i-2", break_after=0)
    entry = fleet.add_entry()
    wait_for(listed(entry, second), "the servers are known")
    assert entry.send("/reserve/1").status_code == 502
    assert len(first.runs) + len(second.runs) == 1


def test_a_request_that_may_run_twice_goes_to_another_server(fleet):
    broken = fleet.add_server(name="i-1", break_after=0)
    sound = fleet.add_server(name="i-2")
    entry = fleet.add_entry()
    wait_for(listed(entry, sound), "the servers are known")
    for _ in range(4):
        answer = entry.send("/stock/1", method="GET")
        assert (answer.status_code, answer.content) == (200, b"answer of i-2")
    assert len(broken.runs) >= 1


@pytest.mark.parametrize("sealed", [True, False])
def test_an_answer_without_end_leaves_the_entry_whole(fleet, sealed):
    """Guards against an answer without a length that fills an entry's memory.

    A signed one is passed on and cut at the time-out, so that it does not look whole;
    one that is not the server's own is given up, and another server is asked.
    """
    endless = fleet.add_server(name="i-1", endless=True, sealed=sealed)
    entry = fleet.add_entry()
    wait_for(listed(entry, endless), "the server is known")
    before = rss_bytes(entry)
    for _ in range(3):
        if sealed:
            with pytest.raises(httpx.RemoteProtocolError):
                entry.send("/stock/1", method="GET")
        else:
            assert entry.send("/stock/1", method="GET").status_code == 502
    assert rss_bytes(entry) - before < MOST_GROWTH_BYTES
    sound = fleet.add_server(name="i-2")
    wait_for(listed(entry, sound), "the server is known")
    endless.endless, endless.sealed = False, True
    assert entry.send("/stock/1", method="GET").status_code == 200


def test_refused_connections_are_not_run_and_tried_elsewhere(fleet):
    """Guards against a dead process that goes on getting its share of requests."""
    dead = fleet.add_server(name="i-1")
    sound = fleet.add_server(name="i-2")
    entry = fleet.add_entry()
    wait_for(listed(entry, sound), "the servers are known")
    dead.stop()
    answers = [entry.send("/reserve/1").status_code for _ in range(6)]
    assert answers == [200] * 6
    dead.start()


def test_a_server_that_refuses_has_not_run_the_request(fleet):
    full = fleet.add_server(name="i-1", refuse=True)
    entry = fleet.add_entry()
    wait_for(listed(entry, full), "the server is known")
    answer = entry.send("/reserve/1")
    assert answer.status_code == 503
    assert "Retry-After" in answer.headers
    assert full.runs == []


def test_no_new_work_for_a_server_that_drains(fleet):
    leaving = fleet.add_server(name="i-1")
    staying = fleet.add_server(name="i-2")
    entry = fleet.add_entry()
    wait_for(listed(entry, staying), "the servers are known")
    fleet.register(leaving, state="draining")
    wait_for(lambda: '"state": "draining"' in entry.program.log_text(), "it is known")
    before = len(leaving.runs)
    for _ in range(5):
        assert entry.send("/reserve/1").status_code == 200
    assert len(leaving.runs) == before


def test_another_server_at_the_same_address_does_not_run_the_request(fleet):
    server = fleet.add_server(name="i-1")
    entry = fleet.add_entry()
    wait_for(listed(entry, server), "the server is known")
    server.name = "i-9"
    assert entry.send("/reserve/1").status_code == 503
    assert server.runs == []


def test_a_stream_that_breaks_off_is_resumed_whole(fleet):
    """Guards against missing, repeated and cut events."""
    first = fleet.add_server(name="i-1", service="llm", models={"m1": []})
    first.break_after = 2
    entry = fleet.add_entry()
    wait_for(listed(entry, first), "the engine is known")
    second = fleet.add_server(name="i-2", service="llm", models={"m1": []})
    second.break_after = 2
    wait_for(listed(entry, second), "the engine is known")
    second.break_after = None
    first_only = {"X-Prompt-Prefix": "5c:100"}
    for _ in range(4):
        answer = entry.send("/draft/1", headers=MODEL | first_only)
        ids = [line for line in answer.text.splitlines() if line.startswith("id:")]
        assert ids == [f"id: {number}" for number in range(1, 6)]
        assert answer.text.count("data: token") == 5
    assert first.runs


def test_an_engine_gets_an_adapter_on_demand_by_its_agent_alone(fleet):
    engine = fleet.add_server(name="i-1", service="llm", models={"m1": []})
    entry = fleet.add_entry()
    agent = fleet.add_agent(engine)
    wait_for(lambda: "engine_known" in agent.log_text(), "the agent knows its engine")
    wait_for(lambda: "fence_taken" in agent.log_text(), "the agent may give orders")
    answer = entry.send("/draft/1", headers=MODEL | {"X-Model": "m1/a2"})
    assert answer.status_code == 200
    assert [order["adapter"] for order in engine.orders] == ["a2"]
    assert {order["holder"] for order in engine.orders} == {agent.fields["node_name"]}


def test_an_engine_that_stops_gets_no_work_as_soon_as_its_agent_sees_it(fleet):
    """Guards against seconds of work for a dead engine that the list still names."""
    engine = fleet.add_server(name="i-1", service="llm", models={"m1": []})
    # A VM of its own: an agent takes the engine at its address for the one beside it.
    elsewhere = {"service": "llm", "models": {"m1": []}, "ip": "127.0.0.2"}
    other = fleet.add_server(name="i-2", **elsewhere)
    entry = fleet.add_entry()
    agent = fleet.add_agent(engine)
    wait_for(lambda: "engine_known" in agent.log_text(), "the agent knows its engine")
    wait_for(listed(entry, other), "the other engine is known")
    # An agent that has not read a report yet has no engine to miss.
    wait_for(lambda: "engine_changed" in agent.log_text(), "the engine has reported")
    engine.stop()
    wait_for(lambda: '"engine_down"' in entry.program.log_text(), "it is told", 5.0)
    for _ in range(4):
        assert entry.send("/draft/1", headers=MODEL).status_code == 200
    assert engine.runs == []


def test_a_model_that_no_engine_holds_is_loaded_for_those_who_ask(fleet):
    engine = fleet.add_server(name="i-1", service="llm", models={"m1": []})
    entry = fleet.add_entry()
    agent = fleet.add_agent(engine)
    wait_for(lambda: "fence_taken" in agent.log_text(), "the agent may give orders")

    def is_served():
        headers = MODEL | {"X-Model": "m2"}
        return entry.send("/draft/1", headers=headers).status_code == 200

    wait_for(is_served, "the model is served")
    assert engine.orders[0]["op"] == "model_load"


def test_a_newer_configuration_comes_into_force_and_an_older_never_again(fleet):
    server = fleet.add_server(name="i-1")
    entry = fleet.add_entry()
    wait_for(listed(entry, server), "the server is known")
    newer = fleet.configuration | {"version": 9, "routes": []}
    fleet.store.put("keyed.op", "config", newer)
    wait_for(lambda: entry.send("/reserve/1").status_code == 404, "it is in force", 3.0)
    fleet.store.put("keyed.op", "config", fleet.configuration)
    assert [entry.send("/reserve/1").status_code for _ in range(5)] == [404] * 5


def test_an_entry_serves_on_without_the_store(fleet):
    server = fleet.add_server(name="i-1")
    entry = fleet.add_entry()
    wait_for(listed(entry, server), "the server is known")
    fleet.store.down = True
    wait_for(lambda: "store_lost" in entry.program.log_text(), "the outage is seen")
    assert entry.send("/reserve/1").status_code == 200
    fleet.store.down = False
    wait_for(lambda: "store_regained" in entry.program.log_text(), "it is back")


def test_a_planned_stop_cuts_off_no_request(fleet):
    server = fleet.add_server(name="i-1")
    entry = fleet.add_entry()
    wait_for(listed(entry, server), "the server is known")
    server.hold.clear()
    answers = []
    caller = threading.Thread(
        target=lambda: answers.append(entry.send("/stock/1", method="GET"))
    )
    caller.start()
    wait_for(lambda: server.runs, "the request is at the server")
    entry.program.process.terminate()
    wait_for(lambda: not entry.is_ready(), "the entry is not ready")
    server.hold.set()
    caller.join(20)
    assert answers[0].status_code == 200
    assert entry.program.process.wait(20) == 0


def test_no_request_late_in_the_grace_time_ends_without_an_answer(fleet):
    """Guards against requests that are passed on and cut when the process ends."""
    server = fleet.add_server(name="i-1", work_s=0.6)
    entry, other = fleet.add_entry(), fleet.add_entry("127.0.0.2")
    for each in (entry, other):
        wait_for(listed(each, server), "the server is known")
    entry.program.process.terminate()
    statuses = []
    while entry.program.process.poll() is None:
        statuses.append(reserve(entry, len(statuses)))
    assert entry.program.process.wait(20) == 0
    passed_on = [status for status in statuses if status is not None]
    assert set(passed_on) <= {200, 503}
    assert passed_on.count(200) == len(server.runs)


def reserve(entry, number):
    """Return the status of a request, or None if it was not read."""
    host, port = entry.url.removeprefix("http://").split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    headers = {
        "Host": "desk.example",
        "X-Attempt-Id": f"late{number:04}",
        "X-Credential": "key-a",
        "X-Deadline-Ms": "1500",
    }
    try:
        connection.request("POST", f"/reserve/{number}", b"x", headers)
        return connection.getresponse().status
    except (ConnectionError, http.client.BadStatusLine):
        return None
    finally:
        connection.close()


def test_a_request_that_outlasts_the_grace_time_is_answered(fleet):
    """Guards against a whole request that gets neither an answer nor a refusal."""
    server = fleet.add_server(name="i-1", service="llm", models={"m1": []})
    entry = fleet.add_entry()
    wait_for(listed(entry, server), "the server is known")
    server.hold.clear()
    answers = []
    headers = MODEL | {"X-Deadline-Ms": "15000"}
    caller = threading.Thread(
        target=lambda: answers.append(entry.send("/draft/1", headers=headers))
    )
    caller.start()
    wait_for(lambda: server.runs, "the request is at the server")
    entry.program.process.terminate()
    caller.join(20)
    server.hold.set()
    # It may have run, so the answer must not promise that it has not.
    assert [each.status_code for each in answers] == [502]


def test_the_last_entry_serves_plain_requests_while_it_leaves(fleet):
    """Guards against a rolling restart in which all entries refuse at the same time."""
    engine = fleet.add_server(name="i-1", service="llm", models={"m1": []})
    desk = fleet.add_server(name="i-2")
    entry = fleet.add_entry()
    wait_for(listed(entry, engine), "the engine is known")
    wait_for(listed(entry, desk), "the desk is known")
    engine.hold.clear()
    headers = MODEL | {"X-Deadline-Ms": "15000"}
    caller = threading.Thread(
        target=lambda: entry.send("/draft/1", headers=headers), daemon=True
    )
    caller.start()
    wait_for(lambda: engine.runs, "a stream is under way")
    entry.program.process.terminate()
    short = {"X-Deadline-Ms": "300"}
    wait_for(
        lambda: entry.send("/draft/2", headers=MODEL | short).status_code == 503,
        "streams are refused",
    )
    assert entry.send("/reserve/1", headers=short).status_code == 200
    engine.hold.set()
    caller.join(20)
    assert entry.program.process.wait(20) == 0


def test_sighup_and_a_changed_store_address_are_taken_without_a_restart(fleet):
    """Guards against a process that the signal ends, or that follows an old store."""
    server = fleet.add_server(name="i-1")
    entry = fleet.add_entry()
    wait_for(listed(entry, server), "the server is known")
    second = StoreStandIn()
    second.start()
    newer = fleet.configuration | {"version": 9, "routes": []}
    for _ in range(3):
        second.put("keyed.op", "config", newer)
    entry.program.fields["platform.address"] = second.address
    entry.program.write_settings()
    entry.program.process.send_signal(signal.SIGHUP)
    wait_for(lambda: '"settings_changed"' in entry.program.log_text(), "it is read")
    wait_for(lambda: entry.send("/reserve/1").status_code == 404, "it is in force")
    assert entry.program.process.poll() is None
    second.stop()


def test_a_caller_that_leaves_is_cancelled_at_the_server(fleet):
    server = fleet.add_server(name="i-1")
    entry = fleet.add_entry()
    wait_for(listed(entry, server), "the server is known")
    server.hold.clear()
    with pytest.raises(httpx.ReadTimeout):
        headers = {"Host": "desk.example", "X-Credential": "key-a"}
        httpx.post(entry.url + "/reserve/1", headers=headers, timeout=0.5)
    wait_for(
        lambda: '"caller_left"' in entry.program.log_text(), "it is cancelled", 2.0
    )
    server.hold.set()


def test_two_framings_in_one_request_are_refused(fleet):
    """Guards against a request that is smuggled inside another one."""
    server = fleet.add_server(name="i-1")
    entry = fleet.add_entry()
    headers = {"Content-Length": "4", "Transfer-Encoding": "chunked"}
    answer = entry.send("/reserve/1", headers=headers, content=iter([b"0\r\n\r\nGET"]))
    assert answer.status_code == 400
    assert server.runs == []
