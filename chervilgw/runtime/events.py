"""Events by which tasks exchange messages.

The class name of a ``circuits`` event is its event name, hence the lower-case names.
Every event carries one typed message.
"""

from __future__ import annotations

from dataclasses import dataclass

from circuits import Event

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request of a caller.

    ``exchange`` identifies the request and its answer at the HTTP server task whose
    channel is ``server``. Names in ``headers`` are in lower case. ``raw_headers`` are
    the unchanged pairs, including repeated names; only the opaque server sets them.
    """

    exchange: int
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    server: str = "http"
    raw_headers: Headers = ()


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete answer."""

    exchange: int
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpPushStart:
    """Status and headers of an answer whose body follows in parts."""

    exchange: int
    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class HttpCall:
    """A request that the HTTP client task sends.

    ``reply_to`` is the channel of the result events. ``new_connection`` opens a
    connection for this call: on a reused one, the server's idle close can race with the
    request, and the outcome would be unknown. ``stream`` delivers the body in parts.
    ``forwarded`` sends the headers unchanged, without adding a Host header or the
    length of an empty body. ``echo_header`` is a header pair by which an answer names
    its request; an answer with another value is skipped. ``notify_sent`` requests a
    ``call_sent`` event when the connection is open and the request is sent.
    """

    call: str
    reply_to: str
    address: str
    method: str
    path: str
    headers: Headers = ()
    body: bytes = b""
    timeout_s: float = 5.0
    idle_timeout_s: float = 30.0
    new_connection: bool = False
    stream: bool = False
    connect_timeout_s: float | None = None
    forwarded: bool = False
    echo_header: tuple[str, str] | None = None
    notify_sent: bool = False


@dataclass(frozen=True, slots=True)
class HttpPart:
    """Part of the answer to an exchange."""

    exchange: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CallHead:
    """Status and headers of a streamed answer."""

    call: str
    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class CallData:
    """Part of the body of a streamed answer."""

    call: str
    data: bytes


@dataclass(frozen=True, slots=True)
class CallDone:
    """End of an answer; ``body`` is empty for a streamed one."""

    call: str
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call ended without a complete answer.

    ``sent`` is False only if no byte of the request can have reached the server.
    ``connection_lost`` is True if the server closed or reset the connection, and with
    ``is_silent`` if it acknowledged nothing: its VM or the network is down.
    ``is_unsendable`` is True if the request cannot be encoded, so that no connection
    was used and nothing is known of the server. ``is_malformed`` is True if what came
    is no answer.
    """

    call: str
    sent: bool
    detail: str
    connection_lost: bool = False
    is_silent: bool = False
    is_unsendable: bool = False
    is_malformed: bool = False


class http_request(Event):  # noqa: N801
    """A caller's request arrived: ``HttpRequest``."""


class http_disconnected(Event):  # noqa: N801
    """The caller of an unfinished exchange disconnected: exchange number."""


class http_reply(Event):  # noqa: N801
    """Send a complete answer: ``HttpReply``."""


class http_push_start(Event):  # noqa: N801
    """Begin an answer in parts: ``HttpPushStart``."""


class http_push_data(Event):  # noqa: N801
    """Send parts of answers: list of ``HttpPart``."""


class http_push_end(Event):  # noqa: N801
    """End an answer in parts: exchange number, whether it is complete."""


class http_call(Event):  # noqa: N801
    """Send a request: ``HttpCall``."""


class http_call_cancel(Event):  # noqa: N801
    """Close the connection of a call: call id."""


class http_call_withdraw(Event):  # noqa: N801
    """Fail a call whose request has not been sent, else go on with it: call id."""


class http_call_pause(Event):  # noqa: N801
    """Read no more of an answer until ``http_call_resume``: call id."""


class http_call_resume(Event):  # noqa: N801
    """Read an answer again: call id."""


class http_push_blocked(Event):  # noqa: N801
    """The caller of an exchange does not read its answer: exchange number."""


class http_push_unblocked(Event):  # noqa: N801
    """The caller of an exchange has read most of what was sent: exchange number."""


class call_sent(Event):  # noqa: N801
    """The request of a call is sent on an open connection: call id."""


class call_head(Event):  # noqa: N801
    """Status and headers of a streamed answer arrived: ``CallHead``."""


class call_data(Event):  # noqa: N801
    """Parts of streamed answers, batched per poll: list of ``CallData``."""


class call_done(Event):  # noqa: N801
    """A call ended with a complete answer: ``CallDone``."""


class call_failed(Event):  # noqa: N801
    """A call ended without a complete answer: ``CallFailed``."""


class peer_up(Event):  # noqa: N801
    """The handshake with a peer succeeded: ``Peer``."""


class peer_down(Event):  # noqa: N801
    """The connection to a peer ended: ``Peer``."""


class peer_messages(Event):  # noqa: N801
    """Messages of a peer, in order: ``Peer``, list of messages."""


class peer_send(Event):  # noqa: N801
    """Send messages, in one write: incarnation of the peer, messages."""


class peer_dial(Event):  # noqa: N801
    """Open a connection to a VM and reopen it when it ends: VM id, address."""


class peer_undial(Event):  # noqa: N801
    """Stop reopening the connection to a VM: VM id."""


class connection_dropped(Event):  # noqa: N801
    """A caller's connection was closed to keep a total: :class:`DropReason`."""


class clock_tick(Event):  # noqa: N801
    """Periodic tick: monotonic time in seconds, whether the process was paused."""


class shut_down(Event):  # noqa: N801
    """Begin the graceful shutdown."""


class http_drain(Event):  # noqa: N801
    """Close each caller connection after its current answer."""


class http_close_idle(Event):  # noqa: N801
    """Close the caller connections on which no request has begun."""


class http_stop_listening(Event):  # noqa: N801
    """Accept no further caller connections."""
