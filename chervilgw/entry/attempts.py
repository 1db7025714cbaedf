"""Attempts of an entry: ids, choice of backend servers and the load they add."""

from __future__ import annotations

from itertools import count

from returns.result import Result

from chervilgw.core.ids import Digest, Incarnation, RequestId, VmId, ZoneId
from chervilgw.core.pipeline import make_pipeline
from chervilgw.core.refusals import Refusal
from chervilgw.entry.filters import choose, dispatch
from chervilgw.entry.inflight import Inflight
from chervilgw.entry.messages import Attempt, Routed
from chervilgw.entry.outstanding import make_outstanding
from chervilgw.membership.task import FleetSnapshot
from chervilgw.routing.prefixes import make_prefix_index


class Attempts:
    """Tracks open attempts and the routing state; see :func:`make_attempts`."""

    def __init__(self, incarnation: Incarnation, zone: ZoneId) -> None:
        self._incarnation = incarnation
        self._zone = zone
        self._fleet = FleetSnapshot()
        self._routing = make_pipeline(choose, dispatch)
        self._attempt_numbers = count(1)
        self._exchanges: dict[RequestId, int] = {}
        self._outstanding = make_outstanding()
        self._prefixes = make_prefix_index()

    def set_fleet(self, fleet: FleetSnapshot, now_s: float) -> None:
        """Use a newer fleet view."""
        self._fleet = fleet
        self._outstanding.on_servers(fleet.servers, now_s)

    def exchange_of(self, request_id: RequestId) -> int | None:
        """Return the exchange of an open attempt, or None."""
        return self._exchanges.get(request_id)

    def is_open(self, request: Inflight) -> bool:
        """Return whether the request's last attempt has not ended."""
        return request.attempt in self._exchanges

    def route(
        self, request: Inflight, random_value: float, now_s: float
    ) -> Result[Routed, Refusal]:
        """Choose the backend server of the request's next attempt.

        Parameters
        ----------
        request : Inflight
            The request, without an open attempt.
        random_value : float
            From 0 to 1, for the choice between two servers.
        now_s : float
            Present time.

        Returns
        -------
        Result of Routed or Refusal
        """
        resume = request.resume
        attempt = Attempt(
            request.priced,
            RequestId(self._incarnation, next(self._attempt_numbers)),
            self._fleet,
            self._zone,
            self._outstanding.counts,
            self._cached_prefixes(request.priced.prefixes, now_s),
            frozenset(request.excluded),
            request.suspect_of,
            random_value,
            resume.position if resume else 0,
            resume.text if resume else "",
            request.remaining_deadline_s(now_s),
        )
        return self._routing(attempt, now_s)

    def _cached_prefixes(self, prefixes: tuple[Digest, ...], now_s) -> dict[VmId, int]:
        if not prefixes:
            return {}
        vms = [server.vm for server in self._fleet.servers]
        return self._prefixes.cached(vms, prefixes, now_s)

    def begin(self, request: Inflight, routed: Routed, now_s: float) -> Incarnation:
        """Record an attempt to be sent; return the sidecar process that receives it."""
        server = next(s for s in self._fleet.servers if s.vm == routed.vm)
        request_id = routed.message.request_id
        request.begin_attempt(request_id, server.incarnation)
        self._exchanges[request_id] = request.priced.exchange
        self._outstanding.record_sent(routed.vm)
        self._prefixes.on_dispatch(routed.vm, request.priced.prefixes, now_s)
        return server.incarnation

    def end(self, request: Inflight) -> None:
        """Remove the request's attempt, if one is open."""
        if self._exchanges.pop(request.attempt, None) is not None:
            self._outstanding.record_ended(request.server.vm)


def make_attempts(incarnation: Incarnation, zone: ZoneId) -> Attempts:
    """Return a tracker without attempts.

    Parameters
    ----------
    incarnation : Incarnation
        This entry process, part of each attempt's id.
    zone : ZoneId
        Availability zone of this entry.

    Returns
    -------
    Attempts
    """
    return Attempts(incarnation, zone)
