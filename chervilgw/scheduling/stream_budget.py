"""Time that an engine may spend on prefill, so that its running streams stay in time.

An engine decodes no token while it prefills a prompt. Three budgets limit prefill: each
event of a running stream may contain only as much of it as the stream's longest pause
allows, over longer times the streams have to end before their deadlines, and no more
streams run than the engine has slots. Streams that state neither a pause nor a deadline
set no limit, and requests that state neither are not delayed.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from chervilgw.core.ids import ModelName, RequestId
from chervilgw.scheduling.decode_speed import (
    DEFAULT_TOKEN_S,
    DecodeSpeed,
    make_decode_speed,
)
from chervilgw.scheduling.prefill_speed import EngineSpeeds

# Part of the longest pause that the steps of one event may take. The rest covers the
# step in progress when a prompt arrives and the network between engine and caller.
PAUSE_FRACTION = 0.8
# Part of the time until a deadline that decoding may take: a long stream among short
# ones is decoded more slowly than on average.
DEADLINE_FRACTION = 0.9
# Least part of the time for prefill. The expected output is rough: streams whose
# estimate is too long must not stop all others.
MIN_PREFILL_FRACTION = 0.25
# Prefill that may be saved up while the engine reads nothing: about two long prompts.
MAX_CREDIT_S = 0.2
# A stream without a deadline whose end was lost counts as ended after this time.
STREAM_TIMEOUT_S = 60.0
# Prompts that were prefilled earlier share no event with a new one.
PREFILL_MEMORY_S = 2.0
# An engine is faster if its prefill speed exceeds this one's by that factor.
FASTER_FACTOR = 1.1
# One in so many refusals for a deadline is waived, to measure the engine again.
PROBE_INTERVAL = 20
# Until the next check whether a slot is free when no stream's end is known.
SLOT_CHECK_S = 0.1


@dataclass(frozen=True, slots=True)
class StreamNeeds:
    """What the stream of a request needs; 0 is unknown.

    ``deadline_s`` is the monotonic time by which it has to end. ``other_tokens_per_s``
    is the prefill speed of the fastest other engine that may take the request.
    """

    output_tokens: int = 0
    deadline_s: float = 0.0
    max_pause_s: float = 0.0
    other_tokens_per_s: float = 0.0


class DelayReason(Enum):
    """Why a request waits although the engine could read its prompt."""

    PAUSE = "pause"
    DEADLINE = "deadline"
    SLOTS = "slots"


@dataclass(frozen=True, slots=True)
class Delay:
    """A request waits for this reason, probably until ``until_s``."""

    reason: DelayReason
    until_s: float


@dataclass(slots=True)
class _Stream:
    model: ModelName
    needs: StreamNeeds
    ends_by_s: float
    # Time of the first event, and the engine's prefill until then.
    started_s: float | None = None
    prefill_before_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _Prefill:
    end_s: float
    took_s: float


@dataclass(slots=True)
class StreamBudget:
    """Streams at one engine; see :func:`make_stream_budget`."""

    speeds: EngineSpeeds
    decoding: DecodeSpeed
    slots: int = 0
    tokens_per_event: int = 1
    _streams: dict[RequestId, _Stream] = field(default_factory=dict)
    # Streams that the engine reports beyond those known here: those without needs, and
    # after a restart all.
    _unknown: int = 0
    _prefills: deque[_Prefill] = field(default_factory=deque)
    _prefill_total_s: float = 0.0
    _credit_s: float = 0.0
    _refreshed_for: tuple = ()
    _refreshed_s: float | None = None
    # Fraction of the time for prefill, decode time of an event, and the most that an
    # event may take (0: no limit), as of the last refresh.
    _fraction: float = 1.0
    _event_s: float = 0.0
    _limit_s: float = 0.0
    # Longest pause of the latest request that stated one, assumed for unknown streams.
    _usual_pause_s: float = 0.0
    # Requests since the last probe whose stream would not end in time.
    _hopeless: int = 0

    @property
    def running(self) -> int:
        """Return the streams at the engine, known or not."""
        return len(self._streams) + self._unknown

    def prefill_s(self, model: ModelName, tokens: int) -> float:
        """Return the time that the engine takes to prefill a prompt."""
        return tokens / self.speeds.of(model)

    def on_report(self, running: int) -> None:
        """Record the number of requests that the engine reports as running."""
        self._unknown = max(0, running - len(self._streams))

    def on_granted(
        self,
        request_id: RequestId,
        model: ModelName,
        needs: StreamNeeds | None,
        tokens: int,
        now_s: float,
    ) -> None:
        """Record a granted turn for a prompt of that many tokens.

        A stream without needs is not tracked: its entry may be of a version that does
        not report its end.
        """
        self._refresh(now_s)
        prefill_s = self.prefill_s(model, tokens)
        self._credit_s -= prefill_s
        begin_s = max(now_s, self._prefills[-1].end_s) if self._prefills else now_s
        self._prefills.append(_Prefill(begin_s + prefill_s, prefill_s))
        self._prefill_total_s += prefill_s
        if needs is None:
            return
        ends_by_s = needs.deadline_s or now_s + STREAM_TIMEOUT_S
        self._streams[request_id] = _Stream(model, needs, ends_by_s)

    def on_released(self, request_id: RequestId, was_read: bool, now_s: float) -> None:
        """Record the first event of a stream, or that the request was withdrawn."""
        stream = self._streams.get(request_id)
        if stream is None or stream.started_s is not None:
            return
        if was_read:
            stream.started_s, stream.prefill_before_s = now_s, self._prefill_total_s
        else:
            del self._streams[request_id]

    def on_ended(
        self, request_id: RequestId, output_tokens: int, took_s: float, whole=True
    ) -> None:
        """Record the end of a stream; repeated and late notifications change nothing.

        Parameters
        ----------
        request_id : RequestId
            The turn of the stream.
        output_tokens : int
            Tokens of the events that arrived.
        took_s : float
            Time from the first event to the last.
        whole : bool
            Whether the output is complete; else its length says nothing of others.
        """
        stream = self._streams.pop(request_id, None)
        if stream is None or stream.started_s is None or output_tokens <= 0:
            return
        ended_s = stream.started_s + took_s
        if whole:
            self.decoding.on_output(output_tokens, stream.needs.output_tokens, ended_s)
        prefill_s = self._prefill_total_s - stream.prefill_before_s
        tokens = output_tokens - self.tokens_per_event
        self.decoding.on_decoded(stream.model, tokens, took_s, prefill_s, ended_s)

    def clear(self) -> None:
        """Forget the streams, because the engine lost them."""
        self._streams.clear()
        self._prefills.clear()
        self._unknown, self._credit_s = 0, 0.0

    def delay(
        self,
        needs: StreamNeeds | None,
        model: ModelName,
        tokens: int,
        now_s: float,
    ) -> Delay | None:
        """Return why a request that would be read now has to wait, or None.

        Parameters
        ----------
        needs : StreamNeeds or None
            None for a request that states neither a pause nor a deadline.
        model : ModelName
        tokens : int
            Prompt tokens that the engine has to prefill.
        now_s : float
            Monotonic time in seconds.
        """
        if needs is None:
            return None
        self._usual_pause_s = needs.max_pause_s or self._usual_pause_s
        self._refresh(now_s)
        if self.slots and self.running >= self.slots:
            return Delay(DelayReason.SLOTS, now_s + self._slot_wait_s(now_s))
        wait_s = self._pause_wait_s(self.prefill_s(model, tokens), now_s)
        if wait_s > 0.0:
            return Delay(DelayReason.PAUSE, now_s + wait_s)
        if self._credit_s < 0.0 and self._fraction < 1.0:
            return Delay(DelayReason.DEADLINE, now_s - self._credit_s / self._fraction)
        return None

    def refusal(
        self,
        needs: StreamNeeds | None,
        model: ModelName,
        tokens: int,
        queued_tokens: int,
        late_in_s: float,
        now_s: float,
    ) -> str | None:
        """Return why a request is not queued here, or None.

        Parameters
        ----------
        needs, model, tokens, now_s
            As for :meth:`delay`.
        queued_tokens : int
            Prompt tokens that wait for their turns.
        late_in_s : float
            Time by which the turn has to be granted for the first event to be in time.
        """
        if needs is None:
            return None
        self._usual_pause_s = needs.max_pause_s or self._usual_pause_s
        self._refresh(now_s)
        prefill_s = self.prefill_s(model, tokens)
        if not (self._can_end(needs, model, prefill_s, now_s) or self._is_probe()):
            return "the stream would not end before its deadline"
        if not needs.other_tokens_per_s:
            return None
        is_full = self.slots and self.running >= self.slots
        if is_full and self._slot_wait_s(now_s) > late_in_s:
            return "no slot becomes free in time, and another engine may have one"
        queued_s = queued_tokens / self.speeds.tokens_per_s
        if self._streams and queued_s / self._read_fraction() > late_in_s:
            return "the waiting prompts are not read in time beside the streams"
        is_faster = needs.other_tokens_per_s > FASTER_FACTOR * self.speeds.of(model)
        is_pausing = self._limit_s and self._event_s + prefill_s > self._limit_s
        if is_faster and is_pausing:
            return "the prompt would make streams pause, and another engine is faster"
        return None

    def _refresh(self, now_s: float) -> None:
        """Update what follows from the streams, once for each time and set of them."""
        if self._refreshed_s is not None:
            earned_s = self._fraction * (now_s - self._refreshed_s)
            self._credit_s = min(MAX_CREDIT_S, self._credit_s + earned_s)
        self._refreshed_s = now_s
        self._expire(now_s)
        current = (now_s, len(self._streams), self._unknown, self._usual_pause_s)
        if self._refreshed_for != current:
            self._refreshed_for = current
            self._fraction = self._prefill_fraction(now_s)
            self._event_s, self._limit_s = self._pause_limit()

    def _prefill_fraction(self, now_s: float) -> float:
        """Return the part of the time in which the engine may prefill prompts."""
        fraction = 1.0
        for stream in self._streams.values():
            needs = stream.needs
            if not needs.deadline_s or not needs.output_tokens:
                continue
            remaining_s = DEADLINE_FRACTION * (needs.deadline_s - now_s)
            needed_s = self._decode_s(stream, now_s)
            # A stream that ends too late in any case does not delay the others.
            if needed_s < remaining_s:
                fraction = min(fraction, 1.0 - needed_s / remaining_s)
        return max(MIN_PREFILL_FRACTION, fraction)

    def _read_fraction(self) -> float:
        """Return the part of the time for prefill that pauses and deadlines allow."""
        if not self._limit_s:
            return self._fraction
        pause_fraction = 1.0 - self._event_s / self._limit_s
        return max(MIN_PREFILL_FRACTION, min(self._fraction, pause_fraction))

    def _can_end(self, needs, model, prefill_s, now_s: float) -> bool:
        if not needs.deadline_s or not self.decoding.knows_outputs:
            return True
        decode_s = self.decoding.stream_s(model, needs.output_tokens)
        return now_s + prefill_s + decode_s <= needs.deadline_s

    def _is_probe(self) -> bool:
        """Count a stream that would not end in time; return whether it may run."""
        self._hopeless = (self._hopeless + 1) % PROBE_INTERVAL
        return self._hopeless == 0

    def _decode_s(self, stream: _Stream, now_s: float) -> float:
        """Return the time to decode the rest of a stream, without prefill."""
        token_s = self.decoding.token_s(stream.model)
        total_s = self.decoding.stream_s(stream.model, stream.needs.output_tokens)
        if stream.started_s is None:
            return total_s
        prefill_s = self._prefill_total_s - stream.prefill_before_s
        decoded_s = max(0.0, now_s - stream.started_s - prefill_s)
        return max(self.tokens_per_event * token_s, total_s - decoded_s)

    def _slot_wait_s(self, now_s: float) -> float:
        ends = [
            self._decode_s(stream, now_s)
            for stream in self._streams.values()
            if stream.needs.output_tokens
        ]
        return max(SLOT_CHECK_S, min(ends, default=SLOT_CHECK_S))

    def _pause_limit(self) -> tuple[float, float]:
        """Return the decode time of an event and the most that an event may take.

        The limit is 0 if no running stream states a pause. Streams that are unknown
        since a restart are assumed to state what the latest request states.
        """
        pauses, tokens_s = [], [0.0]
        for stream in self._streams.values():
            if stream.needs.max_pause_s:
                pauses.append(stream.needs.max_pause_s)
                tokens_s.append(self.decoding.token_s(stream.model))
        if self._unknown and self._usual_pause_s:
            pauses.append(self._usual_pause_s)
            tokens_s.append(DEFAULT_TOKEN_S / self.speeds.mean_factor)
        event_s = self.tokens_per_event * max(tokens_s)
        return event_s, PAUSE_FRACTION * min(pauses, default=0.0)

    def _pause_wait_s(self, prefill_s: float, now_s: float) -> float:
        """Return how long the prompt has to wait for the event in progress.

        An event that contains a prompt's prefill lasts until its decode steps are done.
        A prompt on which no other is in the same event is never delayed.
        """
        if not self._limit_s:
            return 0.0
        free_s = self._limit_s - self._event_s - prefill_s
        later_s = 0.0
        for earlier in reversed(self._prefills):
            decoded_s = now_s - earlier.end_s - later_s
            if decoded_s >= self._event_s:
                return 0.0
            later_s += earlier.took_s
            if later_s > free_s:
                return self._event_s - decoded_s
        return 0.0

    def _expire(self, now_s: float) -> None:
        self.decoding.expire(now_s)
        while self._prefills and self._prefills[0].end_s < now_s - PREFILL_MEMORY_S:
            self._prefills.popleft()
        ended = [key for key, s in self._streams.items() if now_s > s.ends_by_s]
        for request_id in ended:
            del self._streams[request_id]


def make_stream_budget(speeds: EngineSpeeds) -> StreamBudget:
    """Return the budget of an engine without streams.

    Examples
    --------
    >>> from chervilgw.core.ids import Incarnation, VmId
    >>> from chervilgw.scheduling.prefill_speed import make_engine_speeds
    >>> budget = make_stream_budget(make_engine_speeds())
    >>> budget.tokens_per_event = 3
    >>> first = RequestId(Incarnation(VmId("e"), 1), 1)
    >>> needs = StreamNeeds(output_tokens=300, max_pause_s=0.3)
    >>> budget.on_granted(first, "m", needs, 3_000, now_s=0.0)
    >>> delay = budget.delay(needs, "m", 3_000, now_s=0.16)
    >>> delay.reason, round(delay.until_s, 3)
    (<DelayReason.PAUSE: 'pause'>, 0.184)
    >>> budget.delay(needs, "m", 3_000, now_s=0.19) is None
    True
    """
    return StreamBudget(speeds, make_decode_speed(speeds))
