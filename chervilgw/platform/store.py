"""Store task: the only client of the platform's store in a process.

It follows the operators' configuration and evacuated zones and the list of backend
servers, decodes their records and fires the changes as events. It never returns to an
older configuration.
"""

from __future__ import annotations

import time
from itertools import count

from circuits import handler

from chervilgw.core.addresses import is_address
from chervilgw.core.deployment import ServerId
from chervilgw.forward.events import (
    entry_list_read,
    server_list_confirmed,
    server_list_gap,
    server_list_read,
    software_versions_listed,
    software_versions_recorded,
    store_lost,
    store_recovered,
    store_restored,
)
from chervilgw.forward.metrics_task import store_call_counted, store_era_observed
from chervilgw.platform import log_format
from chervilgw.platform.errors import DecodeError
from chervilgw.platform.followers import (
    MIN_SERVERS_POLL_INTERVAL_S,
    WANTED_POLL_INTERVAL_S,
    Follower,
    FollowerStep,
    Write,
    servers_poll_interval_s,
)
from chervilgw.platform.operator_records import (
    Output,
    make_operator_records,
)
from chervilgw.platform.store_era import (
    EraStep,
    decode_era,
    to_position,
)
from chervilgw.platform.store_writer import StoreWriter
from chervilgw.platform.topic_records import (
    decode_shared_record,
    make_operator_event,
    make_server_records,
)
from chervilgw.runtime.events import HttpCall, http_call
from chervilgw.settings.vm import VmSettings
from chervilgw.telemetry import log_event

# The store answers in about 4 ms, or 60 times as long when it is slow.
CALL_TIMEOUT_S = 1.0
# How long a read waits for a new configuration in a process that needs only the sizes
# of models, which rarely change.
MODEL_SIZES_WAIT_S = 10.0


class StoreTask(StoreWriter):
    """Store task; see :func:`make_store_task`."""

    def __init__(self, settings: VmSettings, follow_servers: bool, channel):
        super().__init__(channel=channel)
        self._address = settings.store.address
        self._call_numbers = count(1)
        self._operator_records = make_operator_records()
        self._is_store_lost = False
        self._server_records = make_server_records()
        topic = log_format.CONFIGURATION_TOPIC
        # A silent connection delays a record by the time that a read waits.
        bounds = settings.bounds
        deadline_s = min(bounds.configuration_deadline_s, bounds.evacuation_deadline_s)
        wait_s = deadline_s if follow_servers else MODEL_SIZES_WAIT_S
        self.followers = [Follower(topic, wait_s, 0.0)]
        if follow_servers:
            topic = log_format.SERVERS_TOPIC
            poll_interval_s = servers_poll_interval_s(settings.bounds.drain_s)
            self.followers.append(Follower(topic, 0.0, poll_interval_s))

    @handler("settings_changed", channel="*")
    def _on_settings_changed(self, settings):
        self._address = settings.store.address

    @handler("started", channel="*")
    def _on_started(self, *args):
        self.send_due_calls(time.monotonic())

    @handler("clock_tick", channel="*")
    def _on_clock_tick(self, now_s, paused):
        self.send_due_calls(now_s)

    def send_due_calls(self, now_s: float):
        """Send the appends and queries that are due."""
        for write in self.writes:
            if write.call is None and now_s >= write.due_s:
                path = log_format.append_path(write.topic)
                write.call = self._send("POST", path, write.body, CALL_TIMEOUT_S)
        for follower in self.followers:
            if follower.call is None and now_s >= follower.due_s:
                self._send_query(follower, now_s)

    def _send_query(self, follower: Follower, now_s: float):
        follower.on_asked(now_s)
        if follower.step is FollowerStep.LIST:
            path = log_format.listing_path(follower.topic, follower.page_after)
            follower.call = self._send("GET", path, b"", CALL_TIMEOUT_S)
            return
        path = log_format.read_path(follower.topic, follower.position, follower.wait_s)
        timeout_s = CALL_TIMEOUT_S + follower.wait_s
        follower.call = self._send("GET", path, b"", timeout_s)

    def _send(self, method: str, path: str, body: bytes, timeout_s: float) -> str:
        call = f"store-{next(self._call_numbers)}"
        spec = HttpCall(
            call,
            self.channel,
            self._address,
            method,
            path,
            body=body,
            timeout_s=timeout_s,
            idle_timeout_s=timeout_s,
            connect_timeout_s=CALL_TIMEOUT_S,
        )
        self.fire(http_call(spec), "store-client")
        return call

    @handler("call_done")
    def _on_call_done(self, done):
        now_s = time.monotonic()
        match self._observe_era(done, now_s):
            case EraStep.UNCONFIRMED:
                self._repeat(done.call, now_s)
                return
            case EraStep.OUTDATED:
                self.fire(store_call_counted("outdated"), "metrics")
                self._schedule_retry(done.call, now_s)
                return
        if done.status >= 500 or done.status == 429:
            self._handle_failure(done.call, f"status {done.status}", now_s)
            return
        self.fire(store_call_counted("answered"), "metrics")
        self._mark_store_available()
        match self._find_pending(done.call):
            case Write() as write:
                self.finish_write(write, done)
            case Follower() as follower:
                follower.call = None
                self._apply_answer(follower, done, now_s)
                self.send_due_calls(now_s)

    def _observe_era(self, done, now_s: float) -> EraStep:
        former = self.eras.era
        step = self.eras.on_answer(decode_era(done.headers))
        if self.eras.era != former:
            self.fire(store_era_observed(self.eras.era), "metrics")
        if step is EraStep.RESTORED:
            log_event(
                "store_restored", level="warning", era=self.eras.era, former=former
            )
            self.fire(store_restored(), "*")
            self.version_record.on_restored(now_s)
            for follower in self.followers:
                follower.on_restored(now_s)
            self.announce()
            self.send_due_calls(now_s)
        return step

    @handler("call_failed")
    def _on_call_failed(self, failed):
        self._handle_failure(failed.call, failed.detail, time.monotonic())

    def _handle_failure(self, call: str, detail: str, now_s: float):
        self.fire(store_call_counted("failed"), "metrics")
        if not self._schedule_retry(call, now_s):
            # The call was given up when the store came back from a copy.
            return
        if not self._is_store_lost:
            self._is_store_lost = True
            log_event("store_lost", level="warning", detail=detail)
            self.fire(store_lost(), "*")

    def _repeat(self, call: str, now_s: float):
        """Repeat a call at once; its answer states an era that no other one states."""
        pending = self._find_pending(call)
        if pending is not None:
            pending.call, pending.due_s = None, now_s
            self.send_due_calls(now_s)

    def _schedule_retry(self, call: str, now_s: float) -> bool:
        """Repeat a call after a delay; return whether it is still needed."""
        pending = self._find_pending(call)
        if pending is None:
            return False
        pending.call = None
        pending.schedule_retry(now_s)
        return True

    def _find_pending(self, call: str) -> Follower | Write | None:
        for pending in (*self.followers, *self.writes):
            if pending.call == call:
                return pending
        return None

    def _mark_store_available(self):
        if self._is_store_lost:
            self._is_store_lost = False
            log_event("store_regained")
            self.fire(store_recovered(), "*")

    def _apply_answer(self, follower: Follower, done, now_s: float):
        follower.on_answered(now_s)
        try:
            if follower.step is FollowerStep.LIST:
                self._apply_listing_page(follower, done, now_s)
            elif done.status == 200:
                page = log_format.decode_page(
                    done.body, follower.position, self.eras.era
                )
                follower.position = page.next_offset
                for record in page.records:
                    self._apply_record(follower, record)
                if page.is_last:
                    self._confirm(follower)
            else:
                log_event(
                    "log_position_lost",
                    topic=follower.topic,
                    offset=follower.position,
                    status=done.status,
                )
                follower.restart_listing(now_s)
        except DecodeError as error:
            log_event("store_answer_malformed", level="warning", detail=str(error))
            follower.restart_listing(now_s)
            follower.schedule_retry(now_s)

    def _apply_listing_page(self, follower: Follower, done, now_s: float):
        if done.status != 200:
            # A topic does not exist before its first record.
            follower.schedule_retry(now_s)
            return
        listing = log_format.decode_listing(done.body, self.eras.era)
        if listing.malformed:
            log_event(
                "log_items_ignored",
                level="warning",
                topic=follower.topic,
                count=listing.malformed,
            )
        if follower.page_after is None:
            follower.listed_keys, follower.listed_end = set(), listing.end
            if follower.topic == log_format.CONFIGURATION_TOPIC:
                self._operator_records.on_listing_started()
        for record in listing.records:
            follower.listed_keys.add(record.key)
            self._apply_record(follower, record)
        follower.page_after = listing.continue_after
        follower.due_s = now_s
        if listing.continue_after is None:
            follower.step, follower.position = FollowerStep.READ, follower.listed_end
            self._finish_listing(follower)

    def _finish_listing(self, follower: Follower):
        end = to_position(self.eras.era, follower.listed_end)
        if follower.topic == log_format.SERVERS_TOPIC:
            listed = tuple(map(ServerId, follower.listed_keys))
            self.fire(server_list_read(listed, end), "*")
            self._confirm(follower)
        elif follower.is_recheck:
            self.followers.remove(follower)
            self.fire(software_versions_listed(), "*")
        elif follower.topic == log_format.ENTRIES_TOPIC:
            addresses = tuple(filter(is_address, follower.listed_keys))
            self.fire(entry_list_read(addresses), "*")
            self.followers.remove(follower)
            self.version_record.on_listed(time.monotonic())
            self._write_versions()
        elif follower.topic == log_format.CONFIGURATION_TOPIC:
            ended = self._operator_records.on_listing_ended(end)
            self._fire_outputs(ended)

    def _confirm(self, follower: Follower):
        """Report that an answer has reached the end of the list of servers."""
        if follower.topic != log_format.SERVERS_TOPIC:
            return
        follower.on_current()
        if follower.take_gap():
            self.fire(server_list_gap(), "*")
            if not any(each.is_recheck for each in self.followers):
                topic = log_format.ENTRIES_TOPIC
                self.followers.append(Follower(topic, 0.0, 0.0, is_recheck=True))
        self.fire(server_list_confirmed(follower.current_s), "*")

    def _apply_record(self, follower: Follower, record: log_format.KeyedRecord):
        if follower.topic == log_format.SERVERS_TOPIC:
            event = self._server_records.decode(record)
            if event is not None:
                self.fire(event, "*")
        elif follower.topic == log_format.CONFIGURATION_TOPIC:
            records = self._operator_records
            is_listing = follower.step is FollowerStep.LIST
            decode = records.on_listed if is_listing else records.on_record
            self._fire_outputs(decode(record))
        else:
            self._apply_shared_record(follower, record)

    def _apply_shared_record(self, follower: Follower, record: log_format.KeyedRecord):
        if follower.is_recheck and record.key != log_format.VERSIONS_KEY:
            return
        event = decode_shared_record(record, self.eras.era, time.time())
        if isinstance(event, software_versions_recorded) and not follower.is_recheck:
            self.version_record.on_record(*event.args)
        if event is not None:
            self.fire(event, "*")

    def _fire_outputs(self, outputs: list[Output]):
        for output in outputs:
            self.fire(make_operator_event(output), "*")

    @handler("server_list_outdated")
    def _on_server_list_outdated(self):
        self._hasten()

    @handler("server_list_wanted")
    def _on_server_list_wanted(self):
        self._hasten(WANTED_POLL_INTERVAL_S)

    def _hasten(self, interval_s: float = MIN_SERVERS_POLL_INTERVAL_S):
        for follower in self.followers:
            if follower.topic == log_format.SERVERS_TOPIC:
                follower.hasten(interval_s)
        self.send_due_calls(time.monotonic())


def make_store_task(
    settings: VmSettings, follow_servers: bool, channel="store"
) -> StoreTask:
    """Return the store task of a process.

    Parameters
    ----------
    settings : VmSettings
        Address of the platform's store, and the bounds that its records must meet.
    follow_servers : bool
        Whether this process needs the list of backend servers.
    channel : str
        Channel of the task. The HTTP client task at the channel ``store-client`` sends
        its calls.
    """
    return StoreTask(settings, follow_servers, channel)
