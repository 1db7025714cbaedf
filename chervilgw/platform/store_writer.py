"""Base of the store task: what a process appends to the platform's store."""

from __future__ import annotations

import time

from circuits import BaseComponent, handler

from chervilgw.forward.events import fencing_token_assigned
from chervilgw.platform import log_format
from chervilgw.platform.errors import DecodeError
from chervilgw.platform.followers import MAX_RETRY_DELAY_S, Follower, Write
from chervilgw.platform.software_versions import encode_versions, make_version_record
from chervilgw.platform.store_era import make_era_tracker, to_position
from chervilgw.platform.usage import encode_usage
from chervilgw.telemetry import log_event


class StoreWriter(BaseComponent):
    """Task that owns the appends of a process, each of which is repeated until done.

    Subclasses define ``send_due_calls``, which sends the appends that are due.
    """

    def __init__(self, channel):
        super().__init__(channel=channel)
        self.eras = make_era_tracker()
        self.followers: list[Follower] = []
        self.writes: list[Write] = []
        self.version_record = make_version_record()
        self._fencing_token_reply_to = ""
        self._announcement: bytes | None = None

    @handler("announce_entry")
    def _on_announce_entry(self, vm: str, address: str):
        self._announcement = log_format.encode_keyed(address, vm.encode())
        self.announce()
        self.send_due_calls(time.monotonic())

    def announce(self):
        """Append the address of this entry, and list those of the others after it."""
        is_pending = any(write.kind == "entry" for write in self.writes)
        if self._announcement is not None and not is_pending:
            write = Write(log_format.ENTRIES_TOPIC, self._announcement, "entry")
            self.writes.append(write)

    @handler("usage_record_due")
    def _on_usage_record_due(self, used):
        record = encode_usage(used, int(time.time() * 1000), self.eras.era)
        body = log_format.encode_keyed(log_format.USAGE_KEY, record)
        waiting = [write for write in self.writes if write.kind == "usage"]
        if waiting:
            # Only the newest amounts matter; one in flight is followed by the next.
            if waiting[0].call is None:
                waiting[0].body = body
            return
        self.writes.append(Write(log_format.ENTRIES_TOPIC, body, "usage"))
        self.send_due_calls(time.monotonic())

    @handler("software_versions_due")
    def _on_software_versions_due(self, versions):
        self.version_record.on_due(versions)
        self._write_versions()

    def _write_versions(self):
        """Append the newest versions, after an append that is in flight."""
        now_s = time.monotonic()
        waiting = [write for write in self.writes if write.kind == "versions"]
        if waiting and waiting[0].call is not None:
            return
        versions = self.version_record.take_due(now_s)
        if versions is None:
            return
        record = encode_versions(versions)
        body = log_format.encode_keyed(log_format.VERSIONS_KEY, record)
        if waiting:
            waiting[0].body = body
        else:
            self.writes.append(Write(log_format.ENTRIES_TOPIC, body, "versions"))
        self.send_due_calls(now_s)

    @handler("fencing_token_requested")
    def _on_fencing_token_requested(self, reply_to: str, vm: str):
        self._fencing_token_reply_to = reply_to
        body = log_format.encode_record(vm.encode())
        self.writes.append(Write(log_format.FENCES_TOPIC, body, "fence"))
        self.send_due_calls(time.monotonic())

    def finish_write(self, write: Write, done):
        """Apply the acknowledgement of an append."""
        self.writes.remove(write)
        if write.kind == "usage":
            return
        if write.kind == "versions":
            self._write_versions()
            return
        if write.kind == "entry":
            # List the entries only after the local record is appended: of two entries
            # that start together, at least the later one then sees the other.
            self.followers.append(Follower(log_format.ENTRIES_TOPIC, 0.0, 0.0))
            return
        try:
            offset = log_format.decode_appended(done.body)
            token = to_position(self.eras.era, offset) + 1
        except DecodeError as error:
            log_event("store_answer_malformed", level="warning", detail=str(error))
            write.call = None
            write.due_s = time.monotonic() + MAX_RETRY_DELAY_S
            self.writes.append(write)
            return
        self.fire(fencing_token_assigned(token), self._fencing_token_reply_to)
