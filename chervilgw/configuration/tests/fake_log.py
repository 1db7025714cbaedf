"""A fake log with outages, lost answers, late appends and retention."""

from chervilgw.configuration.outputs import AppendResult


class FakeLog:
    """Keeps the whole history; readers get the records from ``oldest`` on."""

    def __init__(self):
        self.history = []
        self.oldest = 0
        self.up = True
        self.late = []

    def append(self, record, fate):
        """Append with one of the outcomes that a real append can have."""
        if not self.up or fate == "refused":
            return AppendResult.REFUSED
        if fate == "late":
            self.late.append(record)
        elif fate != "lost":
            self.history.append(record)
        return AppendResult.APPENDED if fate == "appended" else AppendResult.UNKNOWN

    def append_late(self):
        self.history += self.late
        self.late = []

    def read(self, offset, limit=4):
        """Return the arguments of ``on_log_records``, None during an outage."""
        if not self.up:
            return None
        start = max(offset, self.oldest)
        records = list(enumerate(self.history))[start : start + limit]
        return self.oldest, len(self.history), records

    def retain(self, keep):
        """Drop old records, but none that the newest snapshot does not cover."""
        covers = [r["offset"] for r in self.history if r.get("type") == "snapshot"]
        limit = min(len(self.history) - keep, max(covers, default=-1) + 1)
        self.oldest = max(self.oldest, limit)
