"""Metrics task: counts events of other tasks and serves the counts as text."""

from __future__ import annotations

from circuits import BaseComponent, Event, handler

from chervilgw.runtime.events import HttpReply, HttpRequest, http_reply
from chervilgw.runtime.memory_totals import DropReason
from chervilgw.telemetry.scrape import make_scrape_metrics, size_label

CONTENT_TYPE = ("Content-Type", "text/plain; version=0.0.4; charset=utf-8")


class request_counted(Event):  # noqa: N801
    """A request ended.

    Route kind, outcome, prompt in tokens or None, time to the first byte in s or None,
    longest pause in s.
    """


class refusal_counted(Event):  # noqa: N801
    """A request was refused: reason, prompt in tokens or None."""


class attempt_counted(Event):  # noqa: N801
    """An attempt at a server ended: result."""


class trial_counted(Event):  # noqa: N801
    """A request with suspect traits was tried: outcome."""


class blocked_traits_counted(Event):  # noqa: N801
    """Traits whose requests are refused after crashes: number."""


class evacuated_zones_counted(Event):  # noqa: N801
    """Zones whose servers get no requests: number."""


class in_progress_counted(Event):  # noqa: N801
    """Requests in progress: number."""


class order_counted(Event):  # noqa: N801
    """An engine answered an order: kind, reply."""


class turn_counted(Event):  # noqa: N801
    """A turn was granted or refused: result, unread tokens, wait in s or None."""


class output_counted(Event):  # noqa: N801
    """A stream ended whose output was estimated: estimate over actual output."""


class turn_delay_counted(Event):  # noqa: N801
    """The next request waits for running streams: reason."""


class store_call_counted(Event):  # noqa: N801
    """A call of the store ended: result."""


class store_era_observed(Event):  # noqa: N801
    """The store states an era: number of the era."""


class resumption_counted(Event):  # noqa: N801
    """A caller took a stream up: outcome."""


class cold_servers_counted(Event):  # noqa: N801
    """Servers that are cold: number."""


class cold_requests_counted(Event):  # noqa: N801
    """Decisions on requests at cold servers: decision, number."""


class MetricsTask(BaseComponent):
    """Metrics task; see :func:`make_metrics_task`."""

    def __init__(self, channel):
        super().__init__(channel=channel)
        self._metrics = make_scrape_metrics()

    @handler("request_counted")
    def _on_request(self, kind, outcome, prompt_tokens, first_byte_s, pause_s):
        self._metrics.requests.labels(kind, outcome, size_label(prompt_tokens)).inc()
        if first_byte_s is not None:
            self._metrics.first_byte_s.labels(kind).observe(first_byte_s)
            self._metrics.pause_s.observe(pause_s)

    @handler("refusal_counted")
    def _on_refusal(self, reason, prompt_tokens):
        self._metrics.refusals.labels(reason, size_label(prompt_tokens)).inc()

    @handler("attempt_counted")
    def _on_attempt(self, result):
        self._metrics.attempts.labels(result).inc()

    @handler("in_progress_counted")
    def _on_in_progress(self, number):
        self._metrics.in_progress.set(number)

    @handler("trial_counted")
    def _on_trial(self, outcome):
        self._metrics.trials.labels(outcome).inc()

    @handler("blocked_traits_counted")
    def _on_blocked_traits(self, number):
        self._metrics.blocked_traits.set(number)

    @handler("evacuated_zones_counted")
    def _on_evacuated_zones(self, number):
        self._metrics.evacuated_zones.set(number)

    @handler("order_counted")
    def _on_order(self, kind, reply):
        self._metrics.orders.labels(kind, reply).inc()

    @handler("turn_counted")
    def _on_turn(self, result, unread_tokens, waited_s):
        size = size_label(unread_tokens)
        self._metrics.turns.labels(result, size).inc()
        if waited_s is not None:
            self._metrics.turn_wait_s.labels(size).observe(waited_s)

    @handler("output_counted")
    def _on_output(self, ratio):
        self._metrics.output_ratio.observe(ratio)

    @handler("turn_delay_counted")
    def _on_turn_delay(self, reason):
        self._metrics.turn_delays.labels(reason).inc()

    @handler("store_call_counted")
    def _on_store_call(self, result):
        self._metrics.store_calls.labels(result).inc()

    @handler("store_era_observed")
    def _on_store_era(self, era):
        self._metrics.store_era.set(era)

    @handler("connection_dropped")
    def _on_connection_dropped(self, reason: DropReason):
        self._metrics.dropped_connections.labels(reason.value).inc()

    @handler("cold_servers_counted")
    def _on_cold_servers(self, number):
        self._metrics.cold_servers.set(number)

    @handler("resumption_counted")
    def _on_resumption(self, outcome):
        self._metrics.resumptions.labels(outcome).inc()

    @handler("cold_requests_counted")
    def _on_cold_requests(self, decision, number):
        self._metrics.cold_requests.labels(decision).inc(number)

    @handler("http_request")
    def _on_http(self, http: HttpRequest):
        body = self._metrics.text()
        reply = HttpReply(http.exchange, 200, (CONTENT_TYPE,), body)
        self.fire(http_reply(reply), http.server)


def make_metrics_task(channel="metrics") -> MetricsTask:
    """Return the metrics task of a process."""
    return MetricsTask(channel)
