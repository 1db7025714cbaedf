"""Memory by imports, and of one peer link."""

from __future__ import annotations

import socket
import subprocess
import sys
from collections.abc import Iterator

from benchmarks.slopes_inputs import Row, allocated_bytes
from chervilgw.codec.frames import encode, make_decoder
from chervilgw.core.ids import Incarnation, VmId, ZoneId
from chervilgw.core.messages import Challenge, Hello
from chervilgw.core.states import Role
from chervilgw.runtime.app import make_app
from chervilgw.runtime.links import LinkOptions, Peer, make_peer_links, sign_hello

STEPS = (
    ("interpreter", "pass"),
    ("circuits", "import circuits"),
    ("circuits.web", "import circuits.web"),
    ("pydantic", "import pydantic"),
    ("msgpack, xxhash, returns", "import msgpack, xxhash, returns.result"),
    ("absl.logging", "import absl.logging"),
)
ROLES = {"entry": "chervilgw.entry.app", "sidecar": "chervilgw.sidecar.app"}
_REPORT = "print(int(open('/proc/self/statm').read().split()[1]) * 4096)"
SECRET = b"0123456789abcdef"


def import_rows() -> Iterator[Row]:
    """Resident memory that each step of a role's imports adds."""
    for role, module in ROLES.items():
        steps = (*STEPS, ("the rest", f"import {module}"))
        lines = [line for _, step in steps for line in (step, _REPORT)]
        command = [sys.executable, "-c", "\n".join(lines)]
        answer = subprocess.run(command, capture_output=True, text=True, check=True)
        before = 0
        for (name, _), text in zip(steps, answer.stdout.split(), strict=True):
            added = (int(text) - before) / 1e6
            before = int(text)
            yield Row(f"imports, {role}: {name}", "MB", 0, added)
        yield Row(f"imports, {role}: all", "MB", 0, before / 1e6)


def link_rows() -> Iterator[Row]:
    """Python memory per link: the accepting task and the client's socket object."""
    for links in (50, 100, 200):
        size = allocated_bytes(lambda n=links: _accept_links(n), _stop) / links
        yield Row("peer link: memory per link", "B", links, size)


def _accept_links(count: int):
    me = Peer(Incarnation(VmId("me"), 1), Role.SIDECAR, ZoneId("z"), "")
    links = make_peer_links(LinkOptions(me, "127.0.0.1", 0, SECRET, "none"))
    app = make_app(links)
    app.start()
    socks = [_connect(links.server.port, number) for number in range(count)]
    return app, socks


def _stop(kept) -> None:
    app, socks = kept
    app.stop()
    app.join()
    for sock in socks:
        sock.close()


def _connect(port: int, number: int) -> socket.socket:
    """Open a link and wait for the answer that ends its handshake."""
    sock = socket.create_connection(("127.0.0.1", port), timeout=10.0)
    peer = Peer(Incarnation(VmId(f"e{number}"), 1), Role.ENTRY, ZoneId("z"), "a:1")
    decoder = make_decoder()
    challenge = decoder.feed(sock.recv(4096))[0]
    assert isinstance(challenge, Challenge)
    proof = sign_hello(SECRET, challenge.nonce, peer)
    hello = Hello(peer.incarnation, peer.role, peer.zone, peer.address, b"n", proof)
    sock.sendall(encode(hello))
    assert isinstance(decoder.feed(sock.recv(4096))[0], Hello)
    return sock
