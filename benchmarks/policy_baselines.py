"""Baseline queue of the policy cases."""

from __future__ import annotations

from collections import deque

from returns.result import Success

from chervilgw.scheduling.fair_queue import QueuedItem


class FifoQueue:
    """First in, first out, with a bound on its length."""

    def __init__(self, bound: int = 400):
        self.items: deque[QueuedItem] = deque()
        self.bound = bound

    def __len__(self):
        return len(self.items)

    def push(self, item, now_s):
        """Append a request, or return None when full."""
        if len(self.items) >= self.bound:
            return None
        self.items.append(item)
        return Success(None)

    def pop(self, now_s, can_run):
        """Take the first request that can run."""
        for index, item in enumerate(self.items):
            if can_run(item):
                del self.items[index]
                return item
        return None

    def settle(self, item, used, now_s):
        """Do nothing; first in, first out keeps no account."""
        pass

    def expire(self, now_s):
        """Take out requests whose deadline has passed."""
        late = [item for item in self.items if item.deadline_s < now_s]
        self.items = deque(item for item in self.items if item.deadline_s >= now_s)
        return late

    def tokens_by_target(self):
        """Return the tokens waiting for each model."""
        sums = {}
        for item in self.items:
            sums[item.target] = sums.get(item.target, 0) + item.tokens
        return sums
