"""Reassembly of one answer from the messages of one or more attempts."""

from __future__ import annotations

from enum import Enum

import xxhash

from chervilgw.core.ids import RequestId
from chervilgw.core.messages import AttemptQuery, Cancel, Chunk, End, Refused, Started
from chervilgw.core.refusals import Refusal
from chervilgw.core.states import BackendKind, RefusalReason, RunState
from chervilgw.relay.outputs import (
    Complete,
    Deliver,
    Fail,
    Output,
    Resume,
    SendCancel,
    SendQuery,
)
from chervilgw.relay.refusals import is_final, max_run_state

# A stored answer arrives within a round trip; a connection counts as
# silent after 2 s.
DEFAULT_MAX_GAP_WAIT_S = 2.0
DEFAULT_MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_EARLY_CHUNKS = 1024
# Memory that a chunk takes at the entry in addition to its data.
CHUNK_OVERHEAD_BYTES = 64


class _State(Enum):
    RECEIVING = "receiving"
    LOST = "lost"
    ENDED = "ended"


class Stream:
    """State of one answer at the entry. See :func:`make_stream`."""

    def __init__(
        self,
        request_id: RequestId,
        kind: BackendKind,
        deliver: bool,
        idempotent: bool,
        limit_bytes: int,
        gap_wait_s: float,
    ) -> None:
        self._is_model = kind is BackendKind.ENGINE
        self._deliver = deliver and self._is_model
        self._repeatable = idempotent or self._is_model
        self._limit_bytes = limit_bytes
        self._gap_wait_s = gap_wait_s
        self._parts: list[bytes] = []
        self._position = 0
        self._bytes = 0
        self._run = RunState.NOT_RUN
        self._begin(request_id)

    def _begin(self, request_id: RequestId) -> None:
        self._id = request_id
        self._state = _State.RECEIVING
        self._start_position = self._position
        self._hash = xxhash.xxh64()
        self._early_chunks: dict[int, Chunk] = {}
        self._early_bytes = 0
        self._end: End | None = None
        self._has_run = False
        self._queried_position: int | None = None
        self._waiting_since_s: float | None = None

    @property
    def tokens(self) -> int:
        """Return the tokens received so far, each counted once."""
        return self._position if self._is_model else 0

    @property
    def run(self) -> RunState:
        """Return what is certain about the attempts that ended."""
        return self._run

    @property
    def ended(self) -> bool:
        """Return whether ``Complete`` or ``Fail`` was returned."""
        return self._state is _State.ENDED

    def next_attempt(self, request_id: RequestId) -> None:
        """Start receiving another attempt, after ``Resume``.

        Parameters
        ----------
        request_id : RequestId
            Id of the new attempt, not used before.
        """
        if self._state is _State.LOST:
            self._begin(request_id)

    def on_message(
        self, message: Started | Chunk | End | Refused, now_s: float
    ) -> list[Output]:
        """Process a message; those of earlier attempts or other requests are dropped.

        Parameters
        ----------
        message : Started, Chunk, End or Refused
        now_s : float

        Returns
        -------
        list of Output
        """
        if self._state is not _State.RECEIVING or message.request_id != self._id:
            return []
        if isinstance(message, Refused):
            return self._on_refused(message)
        self._has_run = self._has_run or not _is_empty_chunk(message)
        outputs: list[Output] = []
        if isinstance(message, Chunk):
            outputs = self._on_chunk(message)
        elif isinstance(message, End) and self._end is None:
            self._end = message
        if self._state is _State.RECEIVING:
            outputs += self._check_progress(now_s)
        return outputs

    def _on_chunk(self, chunk: Chunk) -> list[Output]:
        if _is_empty_chunk(chunk):
            return []
        if chunk.count < 1 or not (self._is_model or chunk.count == len(chunk.data)):
            return self._abandon_attempt("a chunk has a wrong count")
        if chunk.position + chunk.count <= self._position:
            return []
        if chunk.position < self._position:
            return self._abandon_attempt("a chunk overlaps an earlier one")
        if chunk.position > self._position:
            return self._buffer_early(chunk)
        outputs = self._append(chunk)
        while self._state is _State.RECEIVING and self._position in self._early_chunks:
            following = self._early_chunks.pop(self._position)
            self._early_bytes -= len(following.data)
            outputs += self._append(following)
        return outputs

    def _buffer_early(self, chunk: Chunk) -> list[Output]:
        if chunk.position in self._early_chunks:
            return []
        self._early_chunks[chunk.position] = chunk
        self._early_bytes += len(chunk.data)
        if (
            len(self._early_chunks) > MAX_EARLY_CHUNKS
            or self._bytes + self._early_bytes > self._limit_bytes
        ):
            return self._abandon_attempt("too many chunks arrived after a gap")
        return []

    def _append(self, chunk: Chunk) -> list[Output]:
        self._bytes += len(chunk.data) + CHUNK_OVERHEAD_BYTES
        if self._bytes > self._limit_bytes:
            return self._fail(
                RefusalReason.BACKEND_ERROR, "the answer exceeds the size limit"
            )
        if self._is_model and not _is_utf8(chunk.data):
            return self._abandon_attempt("a chunk is not UTF-8")
        self._parts.append(chunk.data)
        self._position += chunk.count
        self._hash.update(chunk.data)
        return [Deliver(chunk.data, chunk.count)] if self._deliver else []

    def _check_progress(self, now_s: float) -> list[Output]:
        """Complete the answer, or query the sidecar for what is missing."""
        end = self._end
        if end is not None and end.length <= self._position:
            if (end.length, end.checksum) == (self._position, self._hash.intdigest()):
                return self._complete(end)
            return self._on_bad_end()
        if end is None and not self._early_chunks:
            self._waiting_since_s = None
            return []
        if self._waiting_since_s is None or self._queried_position != self._position:
            self._waiting_since_s = now_s
        return self._query_missing()

    def _query_missing(self) -> list[Output]:
        """Query each position once; duplicate and reordered replies are dropped."""
        if self._queried_position == self._position:
            return []
        self._queried_position = self._position
        return [SendQuery(AttemptQuery(self._id, self._position))]

    def _complete(self, end: End) -> list[Output]:
        self._state = _State.ENDED
        body = b"" if self._deliver else b"".join(self._parts)
        return [
            Complete(
                end.status,
                end.headers,
                body,
                end.prompt_tokens,
                self.tokens,
                end.finish_reason,
            )
        ]

    def _on_bad_end(self) -> list[Output]:
        """Handle an end marker that contradicts the length or checksum received."""
        if self._deliver and self._position > self._start_position:
            return [
                SendCancel(Cancel(self._id)),
                *self._fail(
                    RefusalReason.BACKEND_ERROR, "the answer failed its checksum"
                ),
            ]
        if not self._deliver:
            # The damaged part may come from an earlier attempt, so discard everything.
            self._parts, self._position, self._bytes = [], 0, 0
        return self._abandon_attempt("the answer failed its checksum")

    def on_connection_lost(self, now_s: float) -> list[Output]:
        """Query the rest over a new connection; ``tick`` ends the wait for it.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        list of Output
        """
        if self._state is not _State.RECEIVING:
            return []
        self._waiting_since_s = now_s
        self._queried_position = None
        return self._query_missing()

    def on_server_lost(self, detail: str) -> list[Output]:
        """Give up on the attempt, as its backend server is lost.

        Parameters
        ----------
        detail : str
            One sentence for the caller.

        Returns
        -------
        list of Output
        """
        if self._state is not _State.RECEIVING:
            return []
        return self._abandon_attempt(detail)

    def tick(self, now_s: float) -> list[Output]:
        """Give up on the attempt if a missing part has not arrived in time.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        list of Output
        """
        since_s = self._waiting_since_s
        if self._state is not _State.RECEIVING or since_s is None:
            return []
        if now_s - since_s < self._gap_wait_s:
            return []
        return self._abandon_attempt("a part of the answer did not arrive in time")

    def give_up(self, cause: Refusal) -> list[Output]:
        """Fail the answer, for example when the retry budget is used up.

        Parameters
        ----------
        cause : Refusal
            Its run state is combined with that of all attempts.

        Returns
        -------
        list of Output
        """
        if self._state is _State.ENDED:
            return []
        if self._state is _State.RECEIVING:
            self._raise_run(RunState.UNKNOWN)
        self._raise_run(cause.run)
        return self._fail(cause.reason, cause.detail, cause.retry_after_s)

    def _on_refused(self, refused: Refused) -> list[Output]:
        run = refused.run
        if run is RunState.NOT_RUN and self._has_run:
            # The attempt has reported its start, so NOT_RUN is wrong.
            run = RunState.UNKNOWN
        self._raise_run(run)
        if is_final(refused.reason) or not self._may_repeat():
            return self._fail(refused.reason, refused.detail, refused.retry_after_s)
        return self._request_resume(
            Refusal(refused.reason, self._run, refused.detail, refused.retry_after_s)
        )

    def _abandon_attempt(self, detail: str) -> list[Output]:
        self._raise_run(RunState.UNKNOWN)
        stop = SendCancel(Cancel(self._id))
        if not self._may_repeat():
            return [stop, *self._fail(RefusalReason.BACKEND_LOST, detail)]
        return [
            stop,
            *self._request_resume(
                Refusal(RefusalReason.BACKEND_LOST, self._run, detail)
            ),
        ]

    def _request_resume(self, cause: Refusal) -> list[Output]:
        self._state = _State.LOST
        if not self._is_model:
            self._parts, self._position, self._bytes = [], 0, 0
        text = b"".join(self._parts).decode() if self._is_model else ""
        return [Resume(self._position, text, cause)]

    def _may_repeat(self) -> bool:
        return self._repeatable or self._run is RunState.NOT_RUN

    def _raise_run(self, run: RunState) -> None:
        """Combine the run state of one attempt with that of the request."""
        self._run = max_run_state(self._run, run)

    def _fail(
        self, reason: RefusalReason, detail: str, retry_after_s: float | None = None
    ) -> list[Output]:
        self._state = _State.ENDED
        if self._has_run:
            self._raise_run(RunState.UNKNOWN)
        if self._is_model and self._position > 0:
            self._raise_run(RunState.RUN)
        return [Fail(Refusal(reason, self._run, detail, retry_after_s))]


def _is_empty_chunk(message: Started | Chunk | End) -> bool:
    """Return whether this is the empty chunk of a queued attempt."""
    return isinstance(message, Chunk) and message.count == 0 and not message.data


def _is_utf8(data: bytes) -> bool:
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True


def make_stream(
    request_id: RequestId,
    kind: BackendKind = BackendKind.ENGINE,
    deliver: bool = True,
    idempotent: bool = True,
    limit_bytes: int = DEFAULT_MAX_ANSWER_BYTES,
    gap_wait_s: float = DEFAULT_MAX_GAP_WAIT_S,
) -> Stream:
    """Return the reassembly of one answer.

    Parameters
    ----------
    request_id : RequestId
        Id of the first attempt.
    kind : BackendKind
        Positions count tokens for engines and bytes for services. A service's answer
        is delivered as a whole, after its end marker has been checked.
    deliver : bool
        Whether the caller gets parts as they arrive; ignored for services.
    idempotent : bool
        Whether a service may get the request again after an attempt that may have run
        it.
    limit_bytes : int
        Longest answer, with the overhead of its chunks.
    gap_wait_s : float
        How long to wait for a missing part before the attempt counts as lost.

    Returns
    -------
    Stream

    Examples
    --------
    >>> from chervilgw.core.ids import Incarnation, VmId
    >>> first = RequestId(Incarnation(VmId("e1"), 1), 1)
    >>> stream = make_stream(first)
    >>> stream.on_message(Chunk(first, 0, 1, b"Hi"), 0.0)
    [Deliver(data=b'Hi', count=1)]
    >>> stream.on_message(Chunk(first, 0, 1, b"Hi"), 0.1)
    []
    >>> end = End(first, 200, (), 1, xxhash.xxh64_intdigest(b"Hi"), 5, "stop")
    >>> [complete] = stream.on_message(end, 0.2)
    >>> complete.tokens
    1
    """
    return Stream(request_id, kind, deliver, idempotent, limit_bytes, gap_wait_s)
