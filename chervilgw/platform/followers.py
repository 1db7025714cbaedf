"""State of the store task's calls: what it follows and what it appends."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from chervilgw.core.ids import NO_OFFSET, Offset
from chervilgw.routing.version_history import MAX_LIST_AGE_S

# Doubled after each failed call up to MAX_RETRY_DELAY_S, with jitter.
FIRST_RETRY_DELAY_S = 0.25
# A configuration must be in force within 2 s of its acknowledgement, so a process must
# reconnect to the store well within that.
MAX_RETRY_DELAY_S = 0.6
# The servers together write several heartbeats a second, so a waiting read would return
# at once. A draining server must get no new requests ``drain_s`` after it reported its
# state; the rest of that time covers a slow answer and a repeated call.
POLLS_PER_DRAIN = 2.5
# Each call is charged, but a new server is not used before it is read.
MIN_SERVERS_POLL_INTERVAL_S = 0.4
MAX_SERVERS_POLL_INTERVAL_S = 1.6
# A request that waits for the list needs it within some tenths of a second; requests
# that come together share the call.
WANTED_POLL_INTERVAL_S = 0.1
NEVER_S = float("-inf")


class FollowerStep(Enum):
    """Next call of a follower: list a topic's keys or read new records."""

    LIST = "list"
    READ = "read"


@dataclass(slots=True)
class Follower:
    """State of following one keyed topic.

    ``is_recheck`` is of a single listing that reads the record of software versions
    again, and nothing else of the topic.
    """

    topic: str
    wait_s: float
    poll_interval_s: float
    step: FollowerStep = FollowerStep.LIST
    position: Offset = NO_OFFSET
    listed_end: Offset = NO_OFFSET
    page_after: str | None = None
    listed_keys: set = None
    due_s: float = 0.0
    answered_s: float = 0.0
    retry_delay_s: float = FIRST_RETRY_DELAY_S
    call: str | None = None
    is_recheck: bool = False
    # When the call in progress was sent, or the first one of a listing.
    asked_s: float = NEVER_S
    # When the call was sent whose answer reached the end of the topic.
    current_s: float = NEVER_S
    has_gap: bool = False

    def on_asked(self, now_s: float) -> None:
        """Record that a call is sent."""
        if self.step is FollowerStep.READ or self.page_after is None:
            self.asked_s = now_s

    def on_current(self) -> None:
        """Record that an answer has reached the end of the topic."""
        gap_s = self.asked_s - self.current_s
        self.has_gap = self.has_gap or MAX_LIST_AGE_S < gap_s < float("inf")
        self.current_s = self.asked_s

    def take_gap(self) -> bool:
        """Return whether records may have come and gone unread; they are told once."""
        has_gap, self.has_gap = self.has_gap, False
        return has_gap

    def on_answered(self, now_s: float) -> None:
        """Schedule the next call after an answer."""
        self.retry_delay_s = FIRST_RETRY_DELAY_S
        self.answered_s, self.due_s = now_s, now_s + self.poll_interval_s

    def hasten(self, interval_s: float = MIN_SERVERS_POLL_INTERVAL_S) -> None:
        """Make the next call this long after the last answer, or sooner."""
        if self.retry_delay_s > FIRST_RETRY_DELAY_S:
            # The store does not answer; retries of many entries must stay apart.
            return
        soon_s = self.answered_s + interval_s
        self.due_s = min(self.due_s, soon_s)

    def schedule_retry(self, now_s: float) -> None:
        """Repeat the call after a delay that grows with each failure."""
        # The jitter keeps processes from retrying all at once after an outage.
        self.due_s = now_s + random.uniform(0.5, 1.0) * self.retry_delay_s
        self.retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * self.retry_delay_s)

    def restart_listing(self, now_s: float) -> None:
        """List all keys of the topic again; records may have been deleted unread."""
        self.has_gap = self.has_gap or self.current_s > NEVER_S
        self._list_again(now_s)

    def _list_again(self, now_s: float) -> None:
        self.step, self.page_after = FollowerStep.LIST, None
        self.due_s = now_s

    def on_restored(self, now_s: float) -> None:
        """Discard the position and the call, which refer to an earlier era."""
        self.call = None
        self._list_again(now_s)


@dataclass(slots=True)
class Write:
    """An append that is retried until it is acknowledged."""

    topic: str
    body: bytes
    kind: str
    due_s: float = 0.0
    call: str | None = None

    def schedule_retry(self, now_s: float) -> None:
        """Repeat the call after a delay."""
        self.due_s = now_s + random.uniform(0.5, 1.0) * MAX_RETRY_DELAY_S


def servers_poll_interval_s(drain_s: float) -> float:
    """Return how often the list of servers is read.

    Examples
    --------
    >>> servers_poll_interval_s(2.0), servers_poll_interval_s(4.0)
    (0.8, 1.6)
    >>> servers_poll_interval_s(0.0)
    0.4
    """
    interval_s = drain_s / POLLS_PER_DRAIN
    return min(
        MAX_SERVERS_POLL_INTERVAL_S, max(MIN_SERVERS_POLL_INTERVAL_S, interval_s)
    )
