"""State of one request from its quota reservation to its end."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from chervilgw.core.ids import CrashId, Incarnation, RequestId, VmId
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason, RunState
from chervilgw.entry.messages import Priced
from chervilgw.entry.writers import CallerWriter
from chervilgw.relay.outputs import Resume
from chervilgw.relay.stream import Stream, make_stream

MAX_ATTEMPTS = 4
GAP_TIMEOUT_S = 2.0
# A request waits this long for a backend server, for example while one restarts.
NO_SERVER_TIMEOUT_S = 3.0
NO_SERVER_RETRY_S = 0.2


class Stage(Enum):
    """Stage of a request."""

    RESERVING = "reserving"
    ATTEMPTING = "attempting"
    RUNNING = "running"
    WAITING_TO_RETRY = "waiting_to_retry"
    STOPPING = "stopping"


@dataclass(slots=True)
class Inflight:
    """State of one request; the gateway task owns it.

    ``server`` is the sidecar process of the current attempt; ``suspect_of`` lists the
    crashes at which the request was running.
    """

    priced: Priced
    request_id: str
    writer: CallerWriter
    arrived_s: float
    stage: Stage = Stage.RESERVING
    debit: Any = None
    stream: Stream | None = None
    attempt: RequestId | None = None
    server: Incarnation | None = None
    attempts: int = 0
    excluded: set[VmId] = field(default_factory=set)
    suspect_of: tuple[CrashId, ...] = ()
    started: bool = False
    resume: Resume | None = None
    retry_at_s: float = 0.0
    stopping_since_s: float = 0.0
    no_server_since_s: float | None = None
    first_token_s: float | None = None

    @property
    def token(self) -> str:
        """Return the token of the quota reservation."""
        return f"exchange/{self.priced.exchange}"

    def begin_attempt(self, request_id: RequestId, server: Incarnation) -> None:
        """Record that an attempt is sent to a sidecar process."""
        if self.stream is None:
            self.stream = make_stream(
                request_id,
                self.priced.kind,
                deliver=self.priced.stream,
                idempotent=self.priced.idempotent,
                gap_wait_s=GAP_TIMEOUT_S,
            )
        else:
            self.stream.next_attempt(request_id)
        self.attempt, self.server = request_id, server
        self.attempts += 1
        self.no_server_since_s = None
        self.stage = Stage.ATTEMPTING

    def wait_for_server(self, now_s: float) -> bool:
        """Schedule a retry; return False after :data:`NO_SERVER_TIMEOUT_S`."""
        # The excluded servers may have recovered, and all others may have failed.
        self.excluded.clear()
        if self.no_server_since_s is None:
            self.no_server_since_s = now_s
        if now_s >= self.no_server_since_s + NO_SERVER_TIMEOUT_S:
            return False
        self.stage = Stage.WAITING_TO_RETRY
        self.retry_at_s = now_s + NO_SERVER_RETRY_S
        return True

    def run_state(self) -> RunState:
        """Return whether the request ran, as far as this entry has been notified."""
        if self.started:
            return RunState.RUN
        if self.stage is Stage.ATTEMPTING:
            # The sidecar may have started it, with the message still in transit.
            return RunState.UNKNOWN
        return RunState.NOT_RUN if self.stream is None else self.stream.run

    def record_crash(self, crash: CrashId) -> None:
        """Record a crash at which the request was running."""
        if crash not in self.suspect_of:
            self.suspect_of = (*self.suspect_of, crash)

    def remaining_deadline_s(self, now_s: float) -> float | None:
        """Return the time until the request's deadline, or None without one."""
        if self.priced.deadline_s is None:
            return None
        return max(0.0, self.arrived_s + self.priced.deadline_s - now_s)

    def used_tokens(self, prompt_tokens: int) -> int:
        """Return the tokens to charge at the end.

        A run that started costs its prompt, as counted by the engine if available, and
        the tokens that were produced.
        """
        if self.priced.request is None:
            return self.priced.charge_tokens
        tokens = self.stream.tokens if self.stream is not None else 0
        prompt = prompt_tokens or self.priced.prompt_tokens
        return min(self.priced.charge_tokens, prompt + tokens)

    def check_retry(self) -> Refusal | None:
        """Return a refusal if :data:`MAX_ATTEMPTS` were made, else None."""
        if self.attempts < MAX_ATTEMPTS:
            return None
        detail = f"{self.attempts} attempts failed"
        return make_refusal(RefusalReason.BACKEND_LOST, detail, 1.0)


def refuse_without_retry_budget() -> Refusal:
    """Return the refusal of a retry that the budget does not allow."""
    detail = "the retry budget of this entry is spent"
    return make_refusal(RefusalReason.BACKEND_LOST, detail, 1.0)
