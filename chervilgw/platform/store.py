"""Store task: the only client of the platform's store in a process.

It follows the operators' configuration and the list of backend servers, and passes on
what they say as the product's own types. It never goes back to an older configuration.
"""

from __future__ import annotations

import random
import time
from dataclasses import dataclass
from enum import Enum
from itertools import count

from circuits import BaseComponent, handler

from chervilgw.core.deployment import ServerId
from chervilgw.core.ids import NO_OFFSET, Offset
from chervilgw.forward.events import (
    deployment_changed,
    entry_list_read,
    fencing_token_assigned,
    server_list_read,
    server_registered,
    server_unregistered,
    store_lost,
    store_recovered,
)
from chervilgw.forward.metrics_task import store_call_counted
from chervilgw.platform import log_format
from chervilgw.platform.configuration import decode_configuration
from chervilgw.platform.errors import DecodeError
from chervilgw.platform.servers import decode_server
from chervilgw.runtime.events import HttpCall, http_call
from chervilgw.telemetry import log_event

CALL_TIMEOUT_S = 1.0
"""The store answers in about 4 ms; one that is merely slow takes 60 times as long."""
RETRY_S = 0.25
"""First pause after a failed call; doubled up to :data:`LAST_RETRY_S`, with jitter."""
LAST_RETRY_S = 0.6
"""A configuration must be in force within 2 s of its acknowledgement, so a process
finds the store again well within that."""
CONFIGURATION_WAIT_S = 2.0
"""A read waits this long for a new configuration. It also bounds how long a connection
that has gone silent hides one."""
SIZES_WAIT_S = 10.0
"""The same for a process that needs only the sizes of models, which rarely change."""
SERVERS_POLL_S = 0.8
"""Servers write several heartbeats a second in all, so a waiting read would return at
once each time. A leaving server must get no work 2 s after it said so."""


class Step(Enum):
    """What a follower does next."""

    LIST = "list"
    READ = "read"


@dataclass(slots=True)
class _Follower:
    """Position in one keyed topic."""

    topic: str
    wait_s: float
    poll_s: float
    step: Step = Step.LIST
    position: Offset = NO_OFFSET
    listed_end: Offset = NO_OFFSET
    page_after: str | None = None
    listed: set = None
    due_s: float = 0.0
    retry_s: float = RETRY_S
    call: str | None = None


@dataclass(slots=True)
class _Write:
    """An append that is repeated until it is acknowledged."""

    topic: str
    body: bytes
    done: str
    due_s: float = 0.0
    call: str | None = None


class StoreTask(BaseComponent):
    """Store task; see :func:`make_store_task`."""

    def __init__(self, address: str, follow_servers: bool, channel):
        super().__init__(channel=channel)
        self._address = address
        self._numbers = count(1)
        self._version = -1
        self._config_offset = NO_OFFSET
        self._lost = False
        self._writes: list[_Write] = []
        self._fence_to = ""
        topic = log_format.CONFIGURATION_TOPIC
        wait_s = CONFIGURATION_WAIT_S if follow_servers else SIZES_WAIT_S
        self._followers = [_Follower(topic, wait_s, 0.0)]
        if follow_servers:
            topic = log_format.SERVERS_TOPIC
            self._followers.append(_Follower(topic, 0.0, SERVERS_POLL_S))

    @handler("settings_changed", channel="*")
    def _on_settings(self, settings):
        self._address = settings.store.address

    # Calls.

    @handler("started", channel="*")
    def _on_started(self, *args):
        self._go_on(time.monotonic())

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        self._go_on(now_s)

    def _go_on(self, now_s: float):
        for write in self._writes:
            if write.call is None and now_s >= write.due_s:
                path = log_format.append_path(write.topic)
                write.call = self._send("POST", path, write.body, CALL_TIMEOUT_S)
        for follower in self._followers:
            if follower.call is None and now_s >= follower.due_s:
                self._follow(follower)

    def _follow(self, follower: _Follower):
        if follower.step is Step.LIST:
            path = log_format.newest_path(follower.topic, follower.page_after)
            follower.call = self._send("GET", path, b"", CALL_TIMEOUT_S)
            return
        path = log_format.read_path(follower.topic, follower.position, follower.wait_s)
        timeout_s = CALL_TIMEOUT_S + follower.wait_s
        follower.call = self._send("GET", path, b"", timeout_s)

    def _send(self, method: str, path: str, body: bytes, timeout_s: float) -> str:
        call = f"store-{next(self._numbers)}"
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
    def _on_done(self, done):
        now_s = time.monotonic()
        if done.status >= 500 or done.status == 429:
            self._on_trouble(done.call, f"status {done.status}", now_s)
            return
        self.fire(store_call_counted("answered"), "metrics")
        self._on_answered()
        for write in self._writes:
            if write.call == done.call:
                self._on_written(write, done)
                return
        for follower in self._followers:
            if follower.call == done.call:
                follower.call = None
                self._on_followed(follower, done, now_s)
                self._go_on(now_s)
                return

    @handler("call_failed")
    def _on_failed(self, failed):
        self._on_trouble(failed.call, failed.detail, time.monotonic())

    def _on_trouble(self, call: str, detail: str, now_s: float):
        self.fire(store_call_counted("failed"), "metrics")
        for follower in self._followers:
            if follower.call == call:
                follower.call = None
                self._pause(follower, now_s)
        for write in self._writes:
            if write.call == call:
                write.call = None
                write.due_s = now_s + random.uniform(0.5, 1.0) * LAST_RETRY_S
        if not self._lost:
            self._lost = True
            log_event("store_lost", level="warning", detail=detail)
            self.fire(store_lost(), "*")

    def _pause(self, follower: _Follower, now_s: float):
        # Jitter keeps processes that lost the store together from coming back together.
        follower.due_s = now_s + random.uniform(0.5, 1.0) * follower.retry_s
        follower.retry_s = min(LAST_RETRY_S, 2 * follower.retry_s)

    def _on_answered(self):
        if self._lost:
            self._lost = False
            log_event("store_regained")
            self.fire(store_recovered(), "*")

    # What the topics say.

    def _on_followed(self, follower: _Follower, done, now_s: float):
        follower.retry_s = RETRY_S
        follower.due_s = now_s + follower.poll_s
        try:
            if follower.step is Step.LIST:
                self._on_listing(follower, done, now_s)
            elif done.status == 200:
                page = log_format.decode_page(done.body, follower.position)
                follower.position = page.following
                for record in page.records:
                    self._on_record(follower.topic, record)
            else:
                log_event(
                    "log_position_lost",
                    topic=follower.topic,
                    offset=follower.position,
                    status=done.status,
                )
                self._restart_listing(follower, now_s)
        except DecodeError as error:
            log_event("store_answer_malformed", level="warning", detail=str(error))
            self._restart_listing(follower, now_s)
            self._pause(follower, now_s)

    def _restart_listing(self, follower: _Follower, now_s: float):
        follower.step, follower.page_after = Step.LIST, None
        follower.due_s = now_s

    def _on_listing(self, follower: _Follower, done, now_s: float):
        if done.status != 200:
            # The topic does not exist before its first record.
            self._pause(follower, now_s)
            return
        listing = log_format.decode_listing(done.body)
        if follower.page_after is None:
            follower.listed, follower.listed_end = set(), listing.end
        for record in listing.records:
            follower.listed.add(record.key)
            self._on_record(follower.topic, record)
        follower.page_after = listing.more_after
        follower.due_s = now_s
        if listing.more_after is None:
            follower.step, follower.position = Step.READ, follower.listed_end
            self._on_listed(follower)

    def _on_listed(self, follower: _Follower):
        if follower.topic == log_format.SERVERS_TOPIC:
            listed = tuple(map(ServerId, follower.listed))
            self.fire(server_list_read(listed, follower.listed_end), "*")
        elif follower.topic == log_format.ENTRIES_TOPIC:
            self.fire(entry_list_read(tuple(follower.listed)), "*")
            self._followers.remove(follower)

    def _on_record(self, topic: str, record: log_format.KeyedRecord):
        if topic == log_format.SERVERS_TOPIC:
            self._on_server(record)
        elif topic == log_format.CONFIGURATION_TOPIC:
            self._on_configuration(record)

    def _on_server(self, record: log_format.KeyedRecord):
        if record.value is None:
            self.fire(server_unregistered(ServerId(record.key), record.offset), "*")
            return
        try:
            entry = decode_server(record.key, record.value)
        except DecodeError as error:
            log_event("server_entry_ignored", level="warning", detail=str(error))
            return
        self.fire(server_registered(entry, record.offset), "*")

    def _on_configuration(self, record: log_format.KeyedRecord):
        is_old = record.offset <= self._config_offset
        if record.key != log_format.CONFIGURATION_KEY or is_old:
            return
        if record.value is None:
            return
        try:
            deployment = decode_configuration(record.value)
        except DecodeError as error:
            log_event("configuration_malformed", level="error", detail=str(error))
            return
        if deployment.version <= self._version:
            return
        self._version, self._config_offset = deployment.version, record.offset
        log_event(
            "configuration_applied",
            version=deployment.version,
            offset=record.offset,
            routes=len(deployment.routes),
        )
        self.fire(deployment_changed(deployment), "*")

    # Writes.

    @handler("announce_entry")
    def _on_announce(self, vm: str, address: str):
        body = log_format.encode_keyed(address, vm.encode())
        self._writes.append(_Write(log_format.ENTRIES_TOPIC, body, "entry"))
        self._go_on(time.monotonic())

    @handler("fencing_token_requested")
    def _on_fence_wanted(self, reply_to: str, vm: str):
        self._fence_to = reply_to
        body = log_format.encode_record(vm.encode())
        self._writes.append(_Write(log_format.FENCES_TOPIC, body, "fence"))
        self._go_on(time.monotonic())

    def _on_written(self, write: _Write, done):
        self._writes.remove(write)
        if write.done == "entry":
            # Listed only after its own record is there: of two entries that start
            # together, at least the later one then sees the other.
            self._followers.append(_Follower(log_format.ENTRIES_TOPIC, 0.0, 0.0))
            return
        try:
            offset = log_format.decode_appended(done.body)
        except DecodeError as error:
            log_event("store_answer_malformed", level="warning", detail=str(error))
            write.call = None
            write.due_s = time.monotonic() + LAST_RETRY_S
            self._writes.append(write)
            return
        self.fire(fencing_token_assigned(int(offset) + 1), self._fence_to)


def make_store_task(address: str, follow_servers: bool, channel="store") -> StoreTask:
    """Return the store task of a process.

    Parameters
    ----------
    address : str
        ``ip:port`` of the platform's store.
    follow_servers : bool
        Whether this process needs the list of backend servers.
    channel : str
        Channel of the task. Its calls go out by an HTTP client task at the channel
        ``store-client``.
    """
    return StoreTask(address, follow_servers, channel)
