"""Front task: runs the accept, authenticate and price filters on callers' requests."""

from __future__ import annotations

import json
import time

from circuits import BaseComponent, handler
from returns.pipeline import is_successful

from chervilgw.codec.openai_answers import encode_model_list, make_model_object
from chervilgw.configuration.freshness import make_stale_refusal
from chervilgw.configuration.lookups import permitted_models
from chervilgw.configuration.state import ConfigurationState, empty_state
from chervilgw.core.ids import Incarnation
from chervilgw.core.pipeline import make_pipeline
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.entry.events import caller_gone, request_priced
from chervilgw.entry.filters import accept, authenticate, price
from chervilgw.entry.messages import Authenticated, Incoming, ListTarget
from chervilgw.entry.writers import REQUEST_ID_HEADER, error_reply
from chervilgw.membership.task import FleetSnapshot
from chervilgw.runtime.control_events import admin_request, drained
from chervilgw.runtime.events import HttpReply, HttpRequest, http_reply
from chervilgw.telemetry import Metrics, table

# A request waits this long for the configuration to be confirmed, then is refused.
PARK_TIMEOUT_S = 1.0
_JSON_HEADERS = (("content-type", "application/json"),)


class Front(BaseComponent):
    """Front task; see :func:`make_front`."""

    def __init__(
        self, incarnation: Incarnation, serves_admin: bool, metrics: Metrics, channel
    ):
        super().__init__(channel=channel)
        self._incarnation = incarnation
        self._serves_admin = serves_admin
        self._metrics = metrics
        self._state: ConfigurationState = empty_state()
        self._fresh_until_s = float("-inf")
        self._fleet = FleetSnapshot()
        self._has_shares = False
        self._identify = make_pipeline(accept, authenticate)
        self._parked: list[tuple[HttpRequest, float]] = []
        self._draining = self._closing = self._drained = False

    @handler("http_request")
    def _on_request(self, http: HttpRequest):
        now_s = time.monotonic()
        if http.path in ("/healthz", "/readyz"):
            self._answer_probe(http, now_s)
        elif http.path.startswith("/admin/") and self._serves_admin:
            self.fire(admin_request(http), "admin")
        elif now_s > self._fresh_until_s:
            self._parked.append((http, now_s + PARK_TIMEOUT_S))
        else:
            self._handle(http, now_s)

    def _answer_probe(self, http: HttpRequest, now_s):
        connected = self._fleet.reached_vms or len(self._fleet.live_vms) <= 1
        # Without share units the entry would refuse requests that its peers can serve,
        # and if a peer failed, its units would be missing until they are collected.
        can_serve = now_s <= self._fresh_until_s and connected and self._has_shares
        ready = can_serve and not self._draining
        ok = ready or http.path == "/healthz"
        status, body = (200, b'{"status":"ok"}') if ok else (503, b'{"status":"no"}')
        self.fire(
            http_reply(HttpReply(http.exchange, status, _JSON_HEADERS, body)), "http"
        )

    def _handle(self, http: HttpRequest, now_s):
        identified = self._identify(Incoming(http, self._state), now_s)
        if not is_successful(identified):
            self._refuse(http, identified.failure())
            return
        message = identified.unwrap()
        if isinstance(message.target, ListTarget):
            self._list_models(message, message.target)
            return
        priced = price(message, now_s)
        if not is_successful(priced):
            self._refuse(http, priced.failure())
            return
        event = request_priced(priced.unwrap(), self._request_id(http))
        self.fire(event, "gateway")

    def _list_models(self, message: Authenticated, target: ListTarget):
        names = permitted_models(self._state, message.identity.customer)
        if target.name is None:
            body = encode_model_list(names, 0)
        elif target.name in names:
            body = json.dumps(make_model_object(target.name, 0)).encode()
        else:
            detail = f"there is no model {target.name!r}"
            refusal = make_refusal(RefusalReason.UNKNOWN_MODEL, detail)
            self._refuse(message.http, refusal)
            return
        headers = (*_JSON_HEADERS, (REQUEST_ID_HEADER, self._request_id(message.http)))
        reply = HttpReply(message.http.exchange, 200, headers, body)
        self.fire(http_reply(reply), "http")

    def _request_id(self, http: HttpRequest) -> str:
        return f"{self._incarnation}/x{http.exchange}"

    def _refuse(self, http: HttpRequest, refusal: Refusal):
        self._metrics.record(table.REFUSALS, label=refusal.reason.value)
        reply = error_reply(http.exchange, self._request_id(http), refusal)
        self.fire(reply, "http")

    @handler("http_disconnected")
    def _on_http_disconnected(self, exchange):
        self._parked = [item for item in self._parked if item[0].exchange != exchange]
        self.fire(caller_gone(exchange), "gateway")

    @handler("config_applied", channel="*")
    def _on_config(self, state):
        self._state = state

    @handler("config_fresh", channel="*")
    def _on_config_fresh(self, until_s):
        self._fresh_until_s = until_s
        now_s = time.monotonic()
        if now_s > until_s:
            return
        parked, self._parked = self._parked, []
        for http, _ in parked:
            self._handle(http, now_s)

    @handler("quota_ready")
    def _on_quota_supplied(self):
        self._has_shares = True

    @handler("fleet_changed", channel="*")
    def _on_fleet(self, fleet: FleetSnapshot):
        self._fleet = fleet

    @handler("clock_tick", channel="*")
    def _on_tick(self, now_s, paused):
        expired = [http for http, until_s in self._parked if now_s >= until_s]
        self._parked = [item for item in self._parked if now_s < item[1]]
        for http in expired:
            self._refuse(http, make_stale_refusal())
        if self._closing and not self._parked and not self._drained:
            self._drained = True
            self.fire(drained("front"), "role")

    @handler("drain", channel="*")
    def _on_drain(self):
        self._draining = True

    @handler("http_stop_listening", channel="*")
    def _on_stop_listening(self):
        self._closing = True


def make_front(
    incarnation: Incarnation,
    serves_admin: bool,
    metrics: Metrics,
    channel: str = "front",
) -> Front:
    """Return a front task.

    Parameters
    ----------
    incarnation : Incarnation
        This process.
    serves_admin : bool
        Whether operators use the callers' port, since no admin port is set.
    metrics : Metrics
        Records the refusals.
    channel : str
        Channel of the task.

    Returns
    -------
    Front
    """
    return Front(incarnation, serves_admin, metrics, channel)
