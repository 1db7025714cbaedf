"""Peer link task: owns the connections between the system's own processes.

One connection joins two processes. Both ends prove that they know the fleet secret,
both send heartbeats, and a connection that is silent for :data:`SILENCE_S` is closed,
because a connection can go silent for good while new ones work.
"""

from __future__ import annotations

import hmac
import random
import secrets
import time
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from circuits import BaseComponent, handler

from chervilgw.codec.frames import FrameError, encode, make_decoder
from chervilgw.core.ids import Incarnation, VmId, ZoneId
from chervilgw.core.messages import Challenge, Hello
from chervilgw.core.states import Role
from chervilgw.runtime.events import peer_down, peer_messages, peer_up
from chervilgw.runtime.sockets import Dialer, DirectServer
from chervilgw.telemetry import log_event

SILENCE_S = 2.0
HANDSHAKE_S = 2.0
FIRST_RETRY_S = 0.2
LAST_RETRY_S = 2.0
_NONCE_BYTES = 16


@dataclass(frozen=True, slots=True)
class Peer:
    """Identity of a process at the other end of a link."""

    incarnation: Incarnation
    role: Role
    zone: ZoneId
    address: str


@dataclass(frozen=True, slots=True)
class LinkOptions:
    """Options of the peer link task.

    Parameters
    ----------
    local_peer : Peer
        Identity of this process; an empty address stands for the one listened on.
    host, port : str, int
        Address to listen on for peers.
    secret : bytes
        Fleet secret.
    routes : mapping of type to str
        Channel of the task that gets each message type; other types are ignored.
    max_frame_bytes : int
        A peer that announces a larger frame is disconnected.
    write_limit_bytes : int
        A peer that leaves more than this unread is disconnected.
    """

    local_peer: Peer
    host: str
    port: int
    secret: bytes
    routes: Mapping[type, str]
    max_frame_bytes: int = 16_777_216
    write_limit_bytes: int = 67_108_864


@dataclass(slots=True)
class _Link:
    sock: Any
    server: DirectServer
    decoder: Any
    nonce: bytes
    last_data_s: float
    dialed_vm: VmId | None = None
    peer: Peer | None = None


@dataclass(slots=True)
class _Target:
    address: str
    retry_s: float = FIRST_RETRY_S
    next_dial_s: float = 0.0
    busy: bool = False


def sign_hello(secret: bytes, nonce: bytes, peer: Peer) -> bytes:
    """Return the proof that a peer knows the fleet secret.

    Parameters
    ----------
    secret : bytes
        Fleet secret.
    nonce : bytes
        Nonce that the other side chose for this connection.
    peer : Peer
        Identity that the proof binds to the nonce.

    Returns
    -------
    bytes
        HMAC-SHA256, 32 bytes.
    """
    identity = f"{peer.incarnation}|{peer.role.value}|{peer.zone}|{peer.address}"
    return hmac.digest(secret, nonce + identity.encode(), "sha256")


class PeerLinks(BaseComponent):
    """Peer link task; see :func:`make_peer_links`."""

    def __init__(self, options: LinkOptions, channel="links"):
        super().__init__(channel=channel)
        self._options = options
        self._links: dict[Any, _Link] = {}
        self._by_peer: dict[Incarnation, _Link] = {}
        self._targets: dict[VmId, _Target] = {}
        limit = options.write_limit_bytes
        bind = (options.host, options.port)
        self.server = DirectServer(bind, "links.in", limit, self._receive)
        self.server.register(self)
        # With port 0 the kernel chooses, so the address is known only now.
        address = options.local_peer.address or f"{options.host}:{self.server.port}"
        self.local_peer = replace(options.local_peer, address=address)
        self._dialer = Dialer(
            "links.out", write_limit_bytes=limit, on_data=self._receive
        ).register(self)

    # Connections that this process opens.

    @handler("peer_dial")
    def _on_dial(self, vm: VmId, address: str):
        target = self._targets.get(vm)
        if target is None:
            self._targets[vm] = _Target(address)
        elif target.address != address:
            target.address = address
            target.retry_s = FIRST_RETRY_S

    @handler("peer_undial")
    def _on_undial(self, vm: VmId):
        self._targets.pop(vm, None)

    def _dial_due(self, now_s: float):
        linked = {link.dialed_vm for link in self._links.values()}
        for vm, target in self._targets.items():
            if vm in linked or target.busy or now_s < target.next_dial_s:
                continue
            target.busy = True
            # Full jitter spreads the reconnects after a VM that many dial has failed.
            target.next_dial_s = now_s + random.uniform(0.5, 1.0) * target.retry_s
            target.retry_s = min(LAST_RETRY_S, target.retry_s * 2)
            host, _, port = target.address.rpartition(":")
            self._dialer.dial(vm, host, int(port))

    @handler("dialed", channel="links.out")
    def _on_dialed(self, vm, sock, detail):
        target = self._targets.get(vm)
        if target is not None:
            target.busy = False
        if sock is not None:
            self._open(sock, self._dialer, dialed_vm=vm)

    @handler("connect", channel="links.in")
    def _on_connect(self, sock, *args):
        link = self._open(sock, self.server)
        self._write(link, Challenge(link.nonce))

    def _open(self, sock, server, dialed_vm=None) -> _Link:
        decoder = make_decoder(self._options.max_frame_bytes)
        nonce = secrets.token_bytes(_NONCE_BYTES)
        link = _Link(sock, server, decoder, nonce, time.monotonic(), dialed_vm)
        self._links[sock] = link
        return link

    # Received bytes.

    def _receive(self, sock, data):
        link = self._links.get(sock)
        if link is None:
            return
        link.last_data_s = time.monotonic()
        try:
            messages = link.decoder.feed(data)
        except FrameError as error:
            log_event("peer_frame_error", level="warning", detail=str(error))
            self._close(link)
            return
        if link.peer is None:
            messages = self._handshake(link, messages)
        if messages and link.peer is not None:
            for owner, batch in self._by_owner(messages).items():
                self.fire(peer_messages(link.peer, batch), owner)

    def _by_owner(self, messages: list) -> dict[str, list]:
        """Group the messages of one read, so that each task gets one event."""
        batches = defaultdict(list)
        for message in messages:
            owner = self._options.routes.get(type(message))
            if owner is not None:
                batches[owner].append(message)
        return batches

    def _handshake(self, link: _Link, messages: list) -> list:
        """Process messages up to the end of the handshake; return those after it."""
        for position, message in enumerate(messages):
            if isinstance(message, Challenge) and link.dialed_vm is not None:
                self._send_hello(link, message.nonce)
            elif isinstance(message, Hello) and self._accept(link, message):
                return messages[position + 1 :]
            else:
                log_event("peer_refused", level="warning", detail="handshake failed")
                self._close(link)
                return []
        return []

    def _send_hello(self, link: _Link, nonce: bytes):
        me = self.local_peer
        proof = sign_hello(self._options.secret, nonce, me)
        hello = Hello(me.incarnation, me.role, me.zone, me.address, link.nonce, proof)
        self._write(link, hello)

    def _accept(self, link: _Link, hello: Hello) -> bool:
        peer = Peer(hello.incarnation, hello.role, hello.zone, hello.address)
        expected = sign_hello(self._options.secret, link.nonce, peer)
        if not hmac.compare_digest(expected, hello.proof):
            return False
        if link.dialed_vm is not None and peer.incarnation.vm != link.dialed_vm:
            return False
        for known in list(self._by_peer):
            if known.vm != peer.incarnation.vm:
                continue
            if known.start_ms > peer.incarnation.start_ms:
                return False
            self._close(self._by_peer[known])
        link.peer = peer
        self._by_peer[peer.incarnation] = link
        if link.dialed_vm is None:
            self._send_hello(link, hello.nonce)
        elif link.dialed_vm in self._targets:
            self._targets[link.dialed_vm].retry_s = FIRST_RETRY_S
        self.fire(peer_up(peer), self.channel)
        return True

    # Sending and closing.

    @handler("peer_send")
    def _on_send(self, incarnation: Incarnation, *messages):
        link = self._by_peer.get(incarnation)
        if link is not None:
            self._write(link, *messages)

    def _write(self, link: _Link, *messages):
        link.server.write(link.sock, b"".join(map(encode, messages)))

    def _close(self, link: _Link):
        self._forget(link.sock)
        link.server._close(link.sock)

    def _forget(self, sock):
        link = self._links.pop(sock, None)
        if link is None or link.peer is None:
            return
        if self._by_peer.get(link.peer.incarnation) is link:
            del self._by_peer[link.peer.incarnation]
            self.fire(peer_down(link.peer), self.channel)

    @handler("disconnect", channel="links.in")
    def _on_disconnect_in(self, sock):
        self._forget(sock)

    @handler("disconnect", channel="links.out")
    def _on_disconnect_out(self, sock):
        self._forget(sock)

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        for link in list(self._links.values()):
            if paused:
                # After a pause of this process all peers look silent; their data may
                # be waiting in the socket buffers.
                link.last_data_s = now_s
            limit_s = SILENCE_S if link.peer is not None else HANDSHAKE_S
            if now_s - link.last_data_s > limit_s:
                log_event("peer_silent", peer=str(link.peer))
                self._close(link)
        self._dial_due(now_s)


def make_peer_links(options: LinkOptions, channel: str = "links") -> PeerLinks:
    """Return a peer link task.

    Parameters
    ----------
    options : LinkOptions
        Identity, address and limits.
    channel : str
        Channel of the task.

    Returns
    -------
    PeerLinks
    """
    return PeerLinks(options, channel)
