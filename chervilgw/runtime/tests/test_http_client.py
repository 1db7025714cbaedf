"""Parts of streamed answers keep their order, and those of one poll go on together."""

import socket

import pytest
from circuits import BaseComponent, handler

from chervilgw.runtime.events import HttpCall, http_call
from chervilgw.runtime.http_client import make_http_client

from .running import running, wait_until

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CUT, WHOLE = b"", b"0\r\n\r\n"


class Caller(BaseComponent):
    """Makes streamed calls and records what comes back."""

    channel = "caller"

    def __init__(self, address, calls):
        super().__init__()
        self._address = address
        self._calls = calls
        self.seen = []

    @handler("started", channel="*")
    def _on_started(self, *args):
        for call in self._calls:
            spec = HttpCall(
                call,
                "caller",
                self._address,
                "GET",
                "/",
                new_connection=True,
                stream=True,
            )
            self.fire(http_call(spec), "http-client")

    @handler("call_head")
    def _on_head(self, head):
        self.seen.append((head.call, "head"))

    @handler("call_data")
    def _on_data(self, parts):
        self.seen += [(part.call, part.data) for part in parts]

    @handler("call_done")
    def _on_done(self, done):
        self.seen.append((done.call, "done"))

    @handler("call_failed")
    def _on_failed(self, failed):
        self.seen.append((failed.call, "failed"))

    def of(self, call):
        return [what for name, what in self.seen if name == call]


@pytest.mark.parametrize(("tail", "end"), [(WHOLE, "done"), (CUT, "failed")])
def test_last_part_comes_before_the_end_of_its_answer(tail, end):
    # Parts wait for the other answers of the poll; an end that overtook them would
    # make a whole answer look cut, or lose the text before a break.
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = Caller(f"127.0.0.1:{listener.getsockname()[1]}", ["a", "b"])
        with running(make_http_client(), caller):
            socks = [listener.accept()[0] for _ in range(2)]
            for sock in socks:
                sock.recv(4096)
                sock.sendall(HEAD + b"2\r\nxy\r\n" + b"1\r\nz\r\n" + tail)
                sock.close()
            wait_until(lambda: all(end in caller.of(call) for call in "ab"))
    for call in "ab":
        assert caller.of(call) == ["head", b"xyz", end]
