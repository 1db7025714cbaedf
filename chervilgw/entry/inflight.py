"""One request between its reservation and its end."""

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
GAP_WAIT_S = 2.0
NO_SERVER_WAIT_S = 3.0
"""How long a request waits for a backend server, for example while one restarts."""
NO_SERVER_PAUSE_S = 0.2


class Stage(Enum):
    """Where a request is on its path."""

    RESERVING = "reserving"
    ATTEMPTING = "attempting"
    RUNNING = "running"
    WAITING_TO_RETRY = "waiting_to_retry"
    STOPPING = "stopping"


@dataclass(slots=True)
class Inflight:
    """State of one request; the gateway task owns it.

    ``server`` is the sidecar process of the present attempt, ``suspect_of`` the crashes
    at which the request was running.
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
        """Note that an attempt is sent to a sidecar process."""
        if self.stream is None:
            self.stream = make_stream(
                request_id,
                self.priced.kind,
                deliver=self.priced.stream,
                idempotent=self.priced.idempotent,
                gap_wait_s=GAP_WAIT_S,
            )
        else:
            self.stream.next_attempt(request_id)
        self.attempt, self.server = request_id, server
        self.attempts += 1
        self.no_server_since_s = None
        self.stage = Stage.ATTEMPTING

    def wait_for_server(self, now_s: float) -> bool:
        """Wait for a backend server; return False if that took too long."""
        # Every other server may have failed as well, and the excluded ones recovered.
        self.excluded.clear()
        if self.no_server_since_s is None:
            self.no_server_since_s = now_s
        if now_s >= self.no_server_since_s + NO_SERVER_WAIT_S:
            return False
        self.stage = Stage.WAITING_TO_RETRY
        self.retry_at_s = now_s + NO_SERVER_PAUSE_S
        return True

    def known_run(self) -> RunState:
        """Return whether the request ran, as far as this entry knows."""
        if self.started:
            return RunState.RUN
        if self.stage is Stage.ATTEMPTING:
            # The sidecar may have started it, and the message be on its way.
            return RunState.UNKNOWN
        return RunState.NOT_RUN if self.stream is None else self.stream.run

    def add_crash(self, crash: CrashId) -> None:
        """Note a crash at which the request was running."""
        if crash not in self.suspect_of:
            self.suspect_of = (*self.suspect_of, crash)

    def deadline_left_s(self, now_s: float) -> float | None:
        """Return the time left until the request's deadline."""
        if self.priced.deadline_s is None:
            return None
        return max(0.0, self.arrived_s + self.priced.deadline_s - now_s)

    def used_tokens(self, prompt_tokens: int) -> int:
        """Return the tokens to charge at the end.

        A run that started costs its prompt, in the engine's own count if known, and the
        tokens that were produced for it.
        """
        if self.priced.request is None:
            return self.priced.charge_tokens
        tokens = self.stream.tokens if self.stream is not None else 0
        prompt = prompt_tokens or self.priced.prompt_tokens
        return min(self.priced.charge_tokens, prompt + tokens)

    def may_repeat(self) -> Refusal | None:
        """Return a refusal if no further attempt is allowed."""
        if self.attempts < MAX_ATTEMPTS:
            return None
        detail = f"{self.attempts} attempts failed"
        return make_refusal(RefusalReason.BACKEND_LOST, detail, 1.0)


def refuse_without_budget() -> Refusal:
    """Return the refusal of a retry that the budget does not allow."""
    detail = "the retry budget of this entry is spent"
    return make_refusal(RefusalReason.BACKEND_LOST, detail, 1.0)
