"""Selection of the server for an attempt, refusals, load board and route table."""

import pytest
from returns.pipeline import is_successful

from chervilgw.core.deployment import (
    Destination,
    RegisteredServer,
    RouteKind,
    RouteRule,
    ServerState,
)
from chervilgw.core.ids import VmId
from chervilgw.core.states import RefusalReason
from chervilgw.routing.board import (
    MAX_EJECTION_S,
    MIN_EJECTION_S,
    PEER_SILENCE_TIMEOUT_S,
    make_load_board,
)
from chervilgw.routing.dispatch import Candidate, DispatchRequest, choose_server
from chervilgw.routing.table import make_route_table, select_destination


def candidate(name, running=0, unread=0, failures=0.0, zone="a", **options):
    server = RegisteredServer(
        name, "llm", "10.0.0.1:80", zone, 64, ServerState.READY, 1
    )
    return Candidate(server, running, unread, failures, **options)


def choose(*candidates, model="m", limit_s=2.0):
    request = DispatchRequest("a", model, 1400, limit_s)
    return choose_server(request, candidates)


def chosen(*candidates, **options):
    return choose(*candidates, **options).unwrap().server


def test_server_with_the_shortest_wait_is_chosen():
    assert chosen(candidate("x", unread=5000), candidate("y", unread=1000)) == "y"


def test_cached_prompt_outweighs_a_longer_queue():
    cached = candidate("x", unread=1000, cached_tokens=1400)
    assert chosen(cached, candidate("y", unread=500)) == "x"


def test_same_zone_is_preferred_between_equals():
    assert chosen(candidate("x", zone="b"), candidate("y", zone="a")) == "y"


def test_busy_engine_without_the_adapter_comes_last():
    """Guards against a request whose adapter load waits for the load of a model."""
    busy = candidate("x", has_adapter=False, is_busy=True)
    idle = candidate("y", unread=4000, has_adapter=False)
    assert chosen(busy, idle) == "y"


def test_engine_without_the_model_is_never_chosen():
    refusal = choose(candidate("x", has_model=False)).failure()
    assert refusal.reason is RefusalReason.MODEL_NOT_LOADED


def test_failing_server_is_avoided_while_another_works():
    failing = candidate("x", failures=0.6)
    assert chosen(failing, candidate("y", running=3), model=None) == "y"
    assert chosen(failing, model=None) == "x"


@pytest.mark.parametrize("unread", [60_000, 200_000])
def test_wait_beyond_the_first_token_limit_is_refused_with_a_retry_time(unread):
    refusal = choose(candidate("x", unread=unread)).failure()
    assert refusal.reason is RefusalReason.QUEUE_FULL
    assert refusal.retry_after_s > 0.1


def test_request_without_any_server_is_refused():
    assert choose().failure().reason is RefusalReason.NO_BACKEND_SERVER


def test_work_of_silent_peers_is_ignored():
    """Guards against a server that looks loaded after the entry using it is gone."""
    board = make_load_board()
    board.on_peer_report(VmId("e2"), {"x": 5}, {"x": 900}, 0.0)
    assert board.running("x", PEER_SILENCE_TIMEOUT_S / 2) == 5
    assert board.running("x", PEER_SILENCE_TIMEOUT_S + 0.1) == 0


def test_sent_started_and_ended_request_leaves_no_work():
    board = make_load_board()
    board.on_sent("x", 1000)
    assert (board.running("x", 0.0), board.unread_tokens("x", 0.0)) == (1, 1000)
    board.on_started("x", 1000)
    assert (board.running("x", 0.0), board.unread_tokens("x", 0.0)) == (1, 0)
    board.on_ended("x", 0)
    assert board.report() == ({}, {})


def test_unreachable_server_is_ejected_for_longer_each_time():
    board = make_load_board()
    now_s, lengths = 0.0, []
    for _ in range(6):
        lengths.append(board.on_unreachable("x", now_s))
        assert board.is_ejected("x", now_s)
        now_s += lengths[-1] + 0.01
        assert not board.is_ejected("x", now_s)
    assert lengths[0] == MIN_EJECTION_S
    assert lengths[-1] == MAX_EJECTION_S
    board.on_answer("x", failed=False)
    assert board.on_unreachable("x", now_s) == MIN_EJECTION_S


def route(name, prefix, host="h.example"):
    return RouteRule(
        name, host, prefix, RouteKind.IDEMPOTENT, 1.0, 0.1, 0, (), 1, False, False, 0.0
    )


@pytest.mark.parametrize(
    ("host", "target", "name"),
    [
        ("h.example", "/a/b/c", "long"),
        ("H.Example:80", "/a/x?b=/a/b/", "short"),
        ("h.example", "/a/bc", "short"),
        ("h.example", "/b/", None),
        ("other", "/a/b/", None),
        ("h.example", "a", None),
    ],
)
def test_route_has_the_longest_prefix_of_the_host(host, target, name):
    table = make_route_table([route("short", "/a/"), route("long", "/a/b/")])
    found = table.find(host, target)
    assert (found.name if found else None) == name


def test_destinations_are_selected_by_weight():
    split = (Destination("a", 90), Destination("b", 10))
    found = [select_destination(split, step / 1000) for step in range(1000)]
    assert found.count("b") == 100


def test_plain_service_is_chosen_by_running_requests():
    result = choose(candidate("x", running=6), candidate("y", running=2), model=None)
    assert is_successful(result)
    assert result.unwrap().server == "y"


def test_engine_with_a_silent_agent_is_avoided_if_another_holds_the_model():
    """Guards against requests that time out at an unreachable VM.

    The platform's list still names the VM for 3 s after it became unreachable.
    """
    silent, busy = candidate("a", is_silent=True), candidate("b", running=40)
    assert chosen(silent, busy) == "b"
    assert chosen(silent) == "a"
