"""Answer task: records what is sent to entries, so that they can look it up again."""

from __future__ import annotations

import time
from collections import defaultdict

from circuits import BaseComponent, handler

from chervilgw.core.messages import AttemptQuery, Cancel, Dispatch
from chervilgw.relay.answers import make_answer_store
from chervilgw.runtime.events import peer_send
from chervilgw.sidecar.events import attempt_arrived, attempt_cancelled

STORE_BYTES = 8_000_000
KEPT_S = 30.0


class AnswerTask(BaseComponent):
    """Answer task; see :func:`make_answer_task`."""

    def __init__(self, channel):
        super().__init__(channel=channel)
        self._store = make_answer_store(STORE_BYTES, KEPT_S)

    @handler("peer_messages")
    def _on_messages(self, peer, messages):
        # Cancels take the same way as dispatches, so that none overtakes its dispatch.
        for message in messages:
            if isinstance(message, Dispatch):
                if self._store.begin(message.request_id, message.resume_position):
                    self.fire(attempt_arrived(message), "queue")
            elif isinstance(message, Cancel):
                self.fire(attempt_cancelled(message.request_id), "queue")
            elif isinstance(message, AttemptQuery):
                self._repeat(message, peer.incarnation)

    @handler("attempt_answer")
    def _on_answer(self, *messages):
        now_s = time.monotonic()
        by_origin = defaultdict(list)
        for message in messages:
            self._store.record(message, now_s)
            by_origin[message.request_id.origin].append(message)
        for origin, batch in by_origin.items():
            self.fire(peer_send(origin, *batch), "links")

    @handler("attempt_repeat")
    def _on_repeat(self, request_id):
        self._repeat(AttemptQuery(request_id, 0), request_id.origin)

    def _repeat(self, look_up: AttemptQuery, origin):
        answers = self._store.look_up(look_up, time.monotonic())
        self.fire(peer_send(origin, *answers), "links")

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        self._store.tick(now_s)


def make_answer_task(channel: str = "answers") -> AnswerTask:
    """Return an answer task.

    Parameters
    ----------
    channel : str
        Channel of the task.

    Returns
    -------
    AnswerTask
    """
    return AnswerTask(channel)
