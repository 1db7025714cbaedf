"""HTTP client task: owns the connections to engines, services and the platform.

Other tasks send it ``http_call`` and ``http_call_cancel``; results go to the channel
that the call names. ``h11`` parses and writes HTTP.
"""

from __future__ import annotations

import time

import h11
from circuits import handler

from chervilgw.core.answers import AnswerOwner
from chervilgw.runtime.answer_parts import AnswerParts
from chervilgw.runtime.client_call import (
    ClientCall,
    MalformedAnswerError,
    RequestEncodingError,
    check_answer_head,
    describe_excess,
    is_body_overdue,
    is_connect_overdue,
    make_request_head,
    owner_of,
)
from chervilgw.runtime.dialer import Dialer
from chervilgw.runtime.events import (
    CallDone,
    CallFailed,
    CallHead,
    HttpCall,
    call_done,
    call_failed,
    call_head,
    call_sent,
)
from chervilgw.runtime.header_fields import decode_headers
from chervilgw.runtime.idle_connections import (
    MAX_IDLE_PER_ADDRESS,
    IdleConnection,
    make_idle_connections,
    reuse_time_s,
)
from chervilgw.telemetry import log_event


class HttpClient(AnswerParts):
    """HTTP client task; see :func:`make_http_client`."""

    def __init__(self, channel, max_idle: int, silence_timeout_s: float | None):
        super().__init__(channel)
        self._dialer = Dialer(
            channel, silence_timeout_s, on_data=self._on_read, on_reset=self._on_reset
        ).register(self)
        self._idle = make_idle_connections(max_idle)

    @handler("http_call")
    def _on_call(self, spec: HttpCall):
        now_s = time.monotonic()
        try:
            request = make_request_head(spec)
        except RequestEncodingError as error:
            detail = f"the request cannot be sent: {error}"
            failure = CallFailed(spec.call, False, detail, is_unsendable=True)
            self.fire(call_failed(failure), spec.reply_to)
            return
        call = self._calls[spec.call] = ClientCall(spec, now_s, now_s, request)
        idle = None if spec.new_connection else self._idle.take(spec.address)
        if idle is not None and now_s < idle.expires_s:
            call.is_connection_reused = True
            if self._send(call, idle.sock, idle.parser):
                return
            # The server has closed the connection since its last answer.
            del self._by_sock[idle.sock]
            call.sock, call.is_connection_reused = None, False
        elif idle is not None:
            self._dialer.close(idle.sock)
        host, _, port = spec.address.rpartition(":")
        self._dialer.dial(spec.call, host, int(port))

    @handler("dialed")
    def _on_dialed(self, token, sock, detail):
        call = self._calls.get(token)
        if call is None:
            if sock is not None:
                self._dialer.close(sock)
            return
        if sock is None:
            self._fail(call, sent=False, detail=detail)
            return
        if not self._send(call, sock, h11.Connection(our_role=h11.CLIENT)):
            self._fail(call, sent=False, detail="connection closed before the request")

    def _send(self, call: ClientCall, sock, parser) -> bool:
        """Write the request; return False if its connection is closed already."""
        spec = call.spec
        call.sock, call.parser = sock, parser
        self._by_sock[sock] = spec.call
        parts = [parser.send(call.request)]
        if spec.body:
            parts.append(parser.send(h11.Data(data=spec.body)))
        parts.append(parser.send(h11.EndOfMessage()))
        if not self._dialer.write(sock, b"".join(parts)):
            return False
        if spec.notify_sent:
            self.fire(call_sent(spec.call), spec.reply_to)
        return True

    def _on_read(self, sock, data):
        call = self._calls.get(self._by_sock.get(sock, ""))
        if call is None:
            self._idle.remove(sock)
            self._dialer.close(sock)
            return
        call.last_data_s = time.monotonic()
        if not call.status:
            call.before_answer_bytes += len(data)
        try:
            call.parser.receive_data(data)
            self._parse(call)
        except (h11.RemoteProtocolError, MalformedAnswerError) as error:
            detail = f"malformed answer: {error}"
            self._fail(call, sent=True, detail=detail, is_malformed=True)
            return
        self.bound_passing(sock)
        excess = describe_excess(call)
        if excess is not None and call.spec.call in self._calls:
            self._fail(call, sent=True, detail=excess)

    def _parse(self, call: ClientCall):
        received: list[bytes] = []
        while True:
            event = call.parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            if isinstance(event, (h11.Response, h11.InformationalResponse)):
                check_answer_head(event)
            if isinstance(event, h11.Response):
                owner = owner_of(call, event)
                call.skipping = owner is not AnswerOwner.THIS_CALL
                if call.skipping:
                    self._on_foreign_answer(call, owner, event.status_code)
                else:
                    self._on_head(call, event)
            elif isinstance(event, h11.Data):
                if not call.skipping:
                    received.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and call.skipping:
                self._skip_answer(call)
            elif isinstance(event, h11.EndOfMessage):
                self.deliver(call, received)
                self._finish(call)
                return
            elif isinstance(event, h11.ConnectionClosed):
                break
        self.deliver(call, received)

    def _on_foreign_answer(self, call: ClientCall, owner: AnswerOwner, status: int):
        """Record an answer that is skipped; the call goes on waiting for its own."""
        if owner is AnswerOwner.UNPROVEN:
            call.has_unproven_answer = True
        log_event(
            "answer_skipped",
            level="warning",
            owner=owner,
            status=status,
            call=call.spec.call,
        )

    def _skip_answer(self, call: ClientCall):
        """Prepare to parse the call's answer after one to another request.

        The old parser has ended its cycle and expects a request, so a new parser gets
        the bytes that follow. The request that it encodes is not sent.
        """
        following, _ = call.parser.trailing_data
        call.skipping = False
        call.parser = h11.Connection(our_role=h11.CLIENT)
        host = [("Host", call.spec.address)]
        call.parser.send(h11.Request(method="GET", target="/", headers=host))
        call.parser.send(h11.EndOfMessage())
        if following:
            call.parser.receive_data(following)

    def _on_head(self, call: ClientCall, head):
        call.status = head.status_code
        call.headers = decode_headers(head.headers)
        if call.spec.stream:
            message = CallHead(call.spec.call, call.status, call.headers)
            self.fire(call_head(message), call.spec.reply_to)

    def _finish(self, call: ClientCall):
        spec = call.spec
        del self._calls[spec.call]
        del self._by_sock[call.sock]
        self._held.pop(call.sock, None)
        self._dialer.resume_reading(call.sock)
        self._cache_or_close(call)
        body = b"".join(call.body)
        message = CallDone(spec.call, call.status, call.headers, body)
        self.send_parts(spec.reply_to)
        self.fire(call_done(message), spec.reply_to)

    def _cache_or_close(self, call: ClientCall):
        address = call.spec.address
        if not self._dialer.is_open(call.sock):
            # A body without a length ends with its connection.
            return
        try:
            call.parser.start_next_cycle()
        except h11.LocalProtocolError:
            self._dialer.close(call.sock)
            return
        # Bytes after the answer belong to no request. Unsent bytes are the rest of a
        # request body that the server answered early and still expects.
        trailing, _ = call.parser.trailing_data
        unsent = self._dialer.has_unsent(call.sock)
        if (
            call.spec.new_connection
            or trailing
            or unsent
            or not self._idle.has_room(address)
        ):
            self._dialer.close(call.sock)
            return
        limit_s = reuse_time_s(call.headers)
        if limit_s <= 0.0:
            self._dialer.close(call.sock)
            return
        expires_s = time.monotonic() + limit_s
        self._idle.keep(address, IdleConnection(call.sock, call.parser, expires_s))

    def _on_reset(self, sock, is_silent: bool):
        # A body without a length ends with its connection; after a reset it is
        # incomplete.
        call = self._calls.get(self._by_sock.get(sock, ""))
        if call is not None:
            detail = "nothing was acknowledged" if is_silent else "connection reset"
            self._fail(
                call,
                sent=True,
                detail=detail,
                connection_lost=True,
                is_silent=is_silent,
            )

    def _fail(
        self,
        call: ClientCall,
        sent: bool,
        detail: str,
        connection_lost: bool = False,
        is_silent: bool = False,
        is_malformed: bool = False,
    ):
        self._calls.pop(call.spec.call, None)
        if call.sock is not None:
            self._by_sock.pop(call.sock, None)
            self._close_unfinished(call)
        else:
            self._dialer.abandon(call.spec.call)
        # What ended the connection after an answer to another request is not known.
        connection_lost = connection_lost and not call.has_unproven_answer
        message = CallFailed(
            call.spec.call,
            sent,
            detail,
            connection_lost,
            is_silent,
            is_malformed=is_malformed,
        )
        self.send_parts(call.spec.reply_to)
        self.fire(call_failed(message), call.spec.reply_to)

    @handler("disconnect")
    def _on_disconnect(self, sock):
        self._idle.remove(sock)
        call = self._calls.get(self._by_sock.get(sock, ""))
        if call is None:
            return
        try:
            call.parser.receive_data(b"")
            self._parse(call)
        except (h11.RemoteProtocolError, MalformedAnswerError):
            pass
        if call.spec.call in self._calls:
            detail = "connection closed before the answer"
            self._fail(call, sent=True, detail=detail, connection_lost=True)

    @handler("http_call_cancel")
    def _on_cancel(self, call_id: str):
        call = self._calls.pop(call_id, None)
        if call is None:
            return
        if call.sock is None:
            self._dialer.abandon(call_id)
            return
        self._by_sock.pop(call.sock, None)
        self._close_unfinished(call)

    @handler("http_call_withdraw")
    def _on_withdraw(self, call_id: str):
        call = self._calls.get(call_id)
        if call is not None and call.sock is None:
            self._fail(call, sent=False, detail="withdrawn before it was sent")

    def _close_unfinished(self, call: ClientCall):
        """Close the connection of an unfinished call.

        A forwarded request must not reach its server after its caller was answered or
        has disconnected.
        """
        if call.spec.forwarded:
            self._dialer.abort(call.sock)
        else:
            self._dialer.close(call.sock)

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        for call in list(self._calls.values()):
            if paused:
                call.last_data_s = call.started_s = now_s
            elif call.sock is None and is_connect_overdue(call, now_s):
                self._fail(call, sent=False, detail="no connection in time")
            elif not call.status and now_s - call.started_s > call.spec.timeout_s:
                self._fail(call, call.sock is not None, "no answer in time")
            elif call.status and now_s - call.last_data_s > call.spec.idle_timeout_s:
                self._fail(call, sent=True, detail="the answer stalled")
            elif is_body_overdue(call, now_s):
                self._fail(call, sent=True, detail="the answer did not end in time")
        for idle in self._idle.take_expired(now_s):
            self._dialer.close(idle.sock)


def make_http_client(
    channel: str = "http-client",
    max_idle: int = MAX_IDLE_PER_ADDRESS,
    silence_timeout_s: float | None = None,
) -> HttpClient:
    """Return an HTTP client task.

    Parameters
    ----------
    channel : str
        Channel of the task.
    max_idle : int
        Idle connections kept open to one address.
    silence_timeout_s : float or None
        A connection whose peer acknowledges nothing for this long fails its call.

    Returns
    -------
    HttpClient
    """
    return HttpClient(channel, max_idle, silence_timeout_s)
