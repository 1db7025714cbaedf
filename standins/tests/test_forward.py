"""TCP forwarders: shares and health of the balancer, silence and cut."""

import socket

import pytest

from standins.balancer_state import BalancerState
from standins.cut_state import CutFaults, CutState, PairAction, Scope
from standins.tests.processes import call, running, wait_for


def test_shares_follow_the_weights():
    """Guards against shares that differ from 80/15/5, or picks of unhealthy ones."""
    state = BalancerState([("a", 80), ("b", 15), ("c", 5)])
    picks = [state.pick() for _ in range(100)]
    assert [picks.count(name) for name in "abc"] == [80, 15, 5]
    state.checked("a", False)
    assert "a" not in [state.pick() for _ in range(20)]
    state.replace([("a", 1)])
    assert state.pick() is None
    with pytest.raises(ValueError):
        state.replace([("a", -1)])


@pytest.mark.parametrize(
    ("scope", "new_pair", "after_clear"),
    [
        (Scope.ESTABLISHED, None, []),
        (Scope.ALL, PairAction.SILENCE, [(1, "release"), (2, "release")]),
    ],
)
def test_silence_table(scope, new_pair, after_clear):
    """Guards against a silence that ends early or hits the wrong connections."""
    state = CutState()
    state.opened(1)
    assert state.change(CutFaults(silence=scope)) == [(1, PairAction.SILENCE)]
    assert state.opened(2) is new_pair
    released = state.change(CutFaults())
    assert [(pair, action.value) for pair, action in released] == after_clear
    assert state.change(CutFaults(cut=Scope.ALL)) == [
        (1, PairAction.RESET),
        (2, PairAction.RESET),
    ]
    assert state.opened(3) is PairAction.RESET
    assert not state.open


def open_connection(address):
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), timeout=5)


def exchange(sock, timeout_s=5.0):
    sock.settimeout(timeout_s)
    sock.sendall(b"GET /faults HTTP/1.1\r\nHost: x\r\n\r\n")
    return read_answer(sock)


def read_answer(sock):
    """Return one whole answer; head and body may arrive apart."""
    data = b""
    while b"}" not in data:
        part = sock.recv(65536)
        assert part, "the connection was closed in mid-answer"
        data += part
    return data


def test_cut_process():
    """Guards against a silence that closes, or a cut that stays open."""
    with (
        running("log") as (_, target),
        running("cut", f"--target={target['address']}") as (_, ready),
    ):
        address, control = ready["address"], ready["control"]
        old = open_connection(address)
        assert exchange(old).startswith(b"HTTP/1.1 200")
        call(control, "PUT", "/faults", {"silence": "established"})
        assert call(control, "GET", "/connections")[1] == {"open": 1, "silent": 1}
        with pytest.raises(TimeoutError):
            exchange(old, timeout_s=0.2)
        new = open_connection(address)
        assert exchange(new).startswith(b"HTTP/1.1 200")
        call(control, "PUT", "/faults", {"silence": "all", "direction": "to_caller"})
        with pytest.raises(TimeoutError):
            exchange(new, timeout_s=0.2)
        call(control, "PUT", "/faults", {})
        new.settimeout(5)
        assert read_answer(new).startswith(b"HTTP/1.1 200"), "held data was lost"
        call(control, "PUT", "/faults", {"cut": "established"})
        with pytest.raises(ConnectionResetError):
            new.recv(1)
        call(control, "PUT", "/faults", {})
        assert exchange(open_connection(address)).startswith(b"HTTP/1.1 200")
        assert call(control, "PUT", "/faults", {"silence": "some"})[0] == 400
        closing = open_connection(address)
        assert exchange(closing)
        closing.close()
        wait_for(lambda: call(control, "GET", "/connections")[1]["silent"] == 0)


def test_balancer_process():
    """Guards against a balancer that ignores weights, health or new targets."""
    option = "--check-path=/runs"
    with (
        running("service") as (first_process, first),
        running("service") as (_, second),
        running(
            "balancer",
            f"--targets={first['address']}=3,{second['address']}=1",
            "--check-interval-ms=100",
            option,
        ) as (_, ready),
    ):
        address, control = ready["address"], ready["control"]
        for _ in range(8):
            assert call(address, "POST", "/bookings", {"item": "x"})[0] == 201
        counts = [
            sum(call(t["address"], "GET", "/runs")[1].values()) for t in (first, second)
        ]
        assert counts == [6, 2]
        call(first["address"], "PUT", "/faults", {"freeze": True})
        wait_for(lambda: health(control) == [False, True])
        call(first["address"], "PUT", "/faults", {})
        wait_for(lambda: health(control) == [True, True])
        first_process.terminate()
        first_process.wait(5)
        wait_for(lambda: health(control) == [False, True])
        assert call(address, "GET", "/open/info")[0] == 200
        call(control, "PUT", "/targets", {"targets": []})
        wait_for(lambda: health(control) == [])
        with pytest.raises(ConnectionError):
            call(address, "GET", "/open/info")


def health(control):
    targets = call(control, "GET", "/targets")[1]["targets"]
    return [target["healthy"] for target in targets]
