"""Peer link task: owns the connections between the system's processes.

Two processes share one connection. Both prove that they have the fleet secret and send
heartbeats. A connection that is silent for :data:`SILENCE_TIMEOUT_S` is closed, because
it can stay silent for ever while new connections work.
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
from chervilgw.runtime.dialer import Dialer
from chervilgw.runtime.events import peer_down, peer_messages, peer_up
from chervilgw.runtime.sockets import DirectServer
from chervilgw.telemetry import log_event

SILENCE_TIMEOUT_S = 2.0
HANDSHAKE_TIMEOUT_S = 2.0
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
_NONCE_BYTES = 16
# A handshake takes some hundred bytes. A proven peer may send its first messages
# before the other side has read the proof, at most one read of 16 KiB.
MAX_UNPROVEN_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Peer:
    """Identity of a process on a link."""

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
        Identity of this process; an empty address means the listening address.
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
    unproven_bytes: int = 0


@dataclass(slots=True)
class _Target:
    address: str
    retry_delay_s: float = MIN_RETRY_DELAY_S
    next_dial_s: float = 0.0
    dialing: bool = False


def sign_hello(secret: bytes, nonce: bytes, peer: Peer) -> bytes:
    """Return the proof that a peer has the fleet secret.

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
        self.server = DirectServer(bind, "links.in", limit, self._on_data)
        self.server.register(self)
        # With port 0 the kernel chooses the port when the server binds.
        address = options.local_peer.address or f"{options.host}:{self.server.port}"
        self.local_peer = replace(options.local_peer, address=address)
        self._dialer = Dialer(
            "links.out", write_limit_bytes=limit, on_data=self._on_data
        ).register(self)

    @handler("peer_dial")
    def _on_dial(self, vm: VmId, address: str):
        target = self._targets.get(vm)
        if target is None:
            self._targets[vm] = _Target(address)
        elif target.address != address:
            target.address = address
            target.retry_delay_s = MIN_RETRY_DELAY_S

    @handler("peer_undial")
    def _on_undial(self, vm: VmId):
        self._targets.pop(vm, None)

    def _dial_due_targets(self, now_s: float):
        linked = {link.dialed_vm for link in self._links.values()}
        for vm, target in self._targets.items():
            if vm in linked or target.dialing or now_s < target.next_dial_s:
                continue
            target.dialing = True
            # Jitter spreads the reconnects to a failed VM from many processes.
            target.next_dial_s = now_s + random.uniform(0.5, 1.0) * target.retry_delay_s
            target.retry_delay_s = min(MAX_RETRY_DELAY_S, target.retry_delay_s * 2)
            host, _, port = target.address.rpartition(":")
            self._dialer.dial(vm, host, int(port))

    @handler("dialed", channel="links.out")
    def _on_dialed(self, vm, sock, detail):
        target = self._targets.get(vm)
        if target is not None:
            target.dialing = False
        if sock is not None:
            self._open_link(sock, self._dialer, dialed_vm=vm)

    @handler("connect", channel="links.in")
    def _on_connect(self, sock, *args):
        link = self._open_link(sock, self.server)
        self._write(link, Challenge(link.nonce))

    def _open_link(self, sock, server, dialed_vm=None) -> _Link:
        decoder = make_decoder(self._options.max_frame_bytes)
        nonce = secrets.token_bytes(_NONCE_BYTES)
        link = _Link(sock, server, decoder, nonce, time.monotonic(), dialed_vm)
        self._links[sock] = link
        return link

    def _on_data(self, sock, data):
        link = self._links.get(sock)
        if link is None:
            return
        link.last_data_s = time.monotonic()
        if link.peer is None:
            link.unproven_bytes += len(data)
            if link.unproven_bytes > MAX_UNPROVEN_BYTES:
                log_event("peer_refused", level="warning", detail="no proof")
                self._close(link)
                return
        try:
            messages = link.decoder.feed(data)
        except FrameError as error:
            log_event("peer_frame_error", level="warning", detail=str(error))
            self._close(link)
            return
        if link.peer is None:
            messages = self._handshake(link, messages)
        if messages and link.peer is not None:
            for owner, batch in self._group_by_owner(messages).items():
                self.fire(peer_messages(link.peer, batch), owner)

    def _group_by_owner(self, messages: list) -> dict[str, list]:
        """Group the messages of one read, so that each task gets one event."""
        batches = defaultdict(list)
        for message in messages:
            owner = self._options.routes.get(type(message))
            if owner is not None:
                batches[owner].append(message)
        return batches

    def _handshake(self, link: _Link, messages: list) -> list:
        """Process the handshake messages; return the messages after them."""
        for position, message in enumerate(messages):
            if isinstance(message, Challenge) and link.dialed_vm is not None:
                self._send_hello(link, message.nonce)
            elif isinstance(message, Hello) and self._accept_hello(link, message):
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

    def _accept_hello(self, link: _Link, hello: Hello) -> bool:
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
            self._targets[link.dialed_vm].retry_delay_s = MIN_RETRY_DELAY_S
        self.fire(peer_up(peer), self.channel)
        return True

    @handler("peer_send")
    def _on_send(self, incarnation: Incarnation, *messages):
        link = self._by_peer.get(incarnation)
        if link is not None:
            self._write(link, *messages)

    def _write(self, link: _Link, *messages):
        if not link.server.write(link.sock, b"".join(map(encode, messages))):
            # The loss of the messages is known by the loss of the peer.
            self._remove_link(link.sock)

    def _close(self, link: _Link):
        self._remove_link(link.sock)
        link.server._close(link.sock)

    def _remove_link(self, sock):
        link = self._links.pop(sock, None)
        if link is None or link.peer is None:
            return
        if self._by_peer.get(link.peer.incarnation) is link:
            del self._by_peer[link.peer.incarnation]
            self.fire(peer_down(link.peer), self.channel)

    @handler("disconnect", channel="links.in")
    def _on_disconnect_in(self, sock):
        self._remove_link(sock)

    @handler("disconnect", channel="links.out")
    def _on_disconnect_out(self, sock):
        self._remove_link(sock)

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        for link in list(self._links.values()):
            if paused:
                # After a pause of this process, data of the peers may still be in the
                # socket buffers.
                link.last_data_s = now_s
            limit_s = (
                SILENCE_TIMEOUT_S if link.peer is not None else HANDSHAKE_TIMEOUT_S
            )
            if now_s - link.last_data_s > limit_s:
                log_event("peer_silent", peer=str(link.peer))
                self._close(link)
        self._dial_due_targets(now_s)


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
