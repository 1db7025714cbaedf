"""Software version to which the answer of one request is bound.

The texts of two versions do not fit together: a stream goes on only at servers of the
version that began it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from chervilgw.core.deployment import RegisteredServer
from chervilgw.core.ids import SoftwareVersion
from chervilgw.routing.running_wait import RunningWait, make_running_wait
from chervilgw.routing.version_history import MAX_LIST_AGE_S


@dataclass(slots=True)
class StreamBinding:
    """Version of a stream; see :func:`make_stream_binding`.

    ``version`` is None before the first server has begun the stream. ``is_uncertain``
    means that the server which began it may run either of two versions. ``wait`` is
    how long the request has waited to learn where its stream may go on, and
    ``list_wait`` how long for a list of servers that was read since ``interrupted_s``,
    when its stream broke or its caller took the stream up.
    """

    version: SoftwareVersion | None = None
    is_uncertain: bool = False
    wait: RunningWait = field(default_factory=make_running_wait)
    interrupted_s: float = float("-inf")
    list_wait: RunningWait = field(default_factory=make_running_wait)
    _sent_version: SoftwareVersion = SoftwareVersion("")
    _is_relaying: bool = False
    _is_recorded: bool = False

    def on_sent(self, server: RegisteredServer) -> None:
        """Record the registration of the server that gets the request."""
        self._sent_version, self._is_relaying = server.software_version, False

    def on_interrupted(self, now_s: float) -> None:
        """Record that the stream needs another server, if it has begun."""
        self.interrupted_s, self.list_wait = now_s, make_running_wait()

    def needs_list(self, list_asked_s: float, now_s: float) -> bool:
        """Return whether the list is too old to send the stream to a server by it.

        A server may have started again under its id with other software, for as long
        as this process stood still or was cut off.

        Parameters
        ----------
        list_asked_s : float
            When the call was sent that read the list of servers, in monotonic time.
        now_s : float
            Monotonic time.
        """
        oldest_s = max(self.interrupted_s, now_s - MAX_LIST_AGE_S)
        return self.version is not None and list_asked_s < oldest_s

    def admits(self, server: RegisteredServer | None) -> bool:
        """Return whether the request may be sent to a server, given its registration.

        A server whose registration is not known any more was checked when it was.
        """
        if self.version is None or server is None:
            return True
        return server.software_version == self.version

    def on_bytes(self, server: RegisteredServer | None) -> bool:
        """Return whether bytes that have come from the current server may be relayed.

        The first ones of a stream bind it to the version of its server.

        Parameters
        ----------
        server : RegisteredServer or None
            Registration of the server now, None if it is not known any more. If it
            states another version than at the send, the server was started anew, and
            either start may have answered.
        """
        if self._is_relaying:
            return True
        is_same = server is None or server.software_version == self._sent_version
        if self.version is None:
            self.version, self.is_uncertain = self._sent_version, not is_same
            self._is_relaying = True
        else:
            self._is_relaying = is_same and self._sent_version == self.version
        return self._is_relaying

    def take_unrecorded(self) -> bool:
        """Return whether the version of the stream is to be recorded, which is once."""
        is_due = not (self._is_recorded or self.is_uncertain or self.version is None)
        self._is_recorded = self._is_recorded or is_due
        return is_due


def make_stream_binding() -> StreamBinding:
    """Return the binding of an answer that no server has begun."""
    return StreamBinding()
