"""Permits for one sidecar's loads: requests, retries and loads without a permit.

A load uses fleet-wide budgets, such as the store's loads per second, whose units the
entries hold. A sidecar requests a permit from one entry at a time and releases it when
the load has ended.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import count

from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import Incarnation
from chervilgw.core.messages import PermitGrant, PermitRelease, PermitRequest
from chervilgw.core.states import CopyState
from chervilgw.placement.memory import ResidentCopy
from chervilgw.sidecar.loading import CopySpec, LoadRequests, is_served_elsewhere

PERMIT_RETRY_S = 2.0
# After the loss of an entry or a sidecar, a model that no other server has loaded is
# loaded without a permit when it was requested for longer than this: the lost entry may
# have held the store's budget, and its units can't be collected without the log; the
# permits of a lost sidecar count until its loads must have ended. The store refuses
# loads over its limit, and they are retried.
UNPERMITTED_LOAD_DELAY_S = 2.0
# An entry repeats after at most 1.3 s that a lost process may hold the permits.
WITHHELD_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class SendToEntry:
    """Output: send a message about a permit to an entry."""

    to: Incarnation
    message: PermitRequest | PermitRelease


@dataclass(frozen=True, slots=True)
class StartLoad:
    """Output: load the copy now; ``permitted`` is False without a granted permit."""

    spec: CopySpec
    permitted: bool = True


PermitOutput = SendToEntry | StartLoad


@dataclass(slots=True)
class _Permit:
    permit_id: str
    spec: CopySpec
    requested_s: float
    entry: Incarnation | None = None
    granted: bool = False


class LoadPermits:
    """Requested and granted permits; see :func:`make_load_permits`."""

    def __init__(self, incarnation: Incarnation, rng: random.Random):
        self._incarnation = incarnation
        self._rng = rng
        self._permit_numbers = count(1)
        self._permits: dict[str, _Permit] = {}
        self._load_requests = LoadRequests()
        self._loss_until_s = float("-inf")

    def __contains__(self, name: str) -> bool:
        """Return whether a permit for this copy is requested or granted."""
        return name in self._permits

    def on_loss(self, until_s: float) -> None:
        """Record that permits may be missing until then because a process was lost."""
        self._loss_until_s = max(self._loss_until_s, until_s)

    def record_request(self, name: str, now_s: float) -> None:
        """Record that a decision requests a load, even if there is no memory yet."""
        self._load_requests.add(name, now_s)

    def request(
        self, spec: CopySpec, entries: Sequence[Incarnation], now_s: float
    ) -> list[PermitOutput]:
        """Request a permit to load a copy from one of the connected entries."""
        self.record_request(spec.name, now_s)
        if spec.name in self._permits:
            return []
        permit = _Permit(self._next_permit_id(), spec, now_s)
        self._permits[spec.name] = permit
        return self._request_output(permit, entries, now_s)

    def tick(
        self,
        entries: Sequence[Incarnation],
        servers: Sequence[ServerView],
        now_s: float,
    ) -> list[PermitOutput]:
        """Repeat unanswered permit requests, or load without a permit.

        A request that no decision repeats any more is withdrawn.

        Parameters
        ----------
        entries : sequence of Incarnation
            Entries that this sidecar is connected to.
        servers : sequence of ServerView
            Fleet view.
        now_s : float
            Present time.

        Returns
        -------
        list of SendToEntry or StartLoad
        """
        outputs: list[PermitOutput] = []
        for name in self._load_requests.expire(now_s):
            permit = self._permits.get(name)
            if permit is not None and not permit.granted:
                outputs += self.release(name)
        for permit in self._permits.values():
            if permit.granted:
                continue
            if self._may_load_unpermitted(permit, servers, now_s):
                permit.granted = True
                outputs.append(StartLoad(permit.spec, permitted=False))
            elif now_s - permit.requested_s > PERMIT_RETRY_S:
                # The entry may be frozen, so another one is tried. The first request
                # is released, or it would later use up a load of the store's rate.
                outputs += self._release_output(permit)
                permit.permit_id = self._next_permit_id()
                outputs += self._request_output(permit, entries, now_s)
        return outputs

    def on_grant(
        self, entry: Incarnation, grant: PermitGrant, now_s: float
    ) -> list[PermitOutput]:
        """Apply an entry's answer to a permit request."""
        if grant.is_withheld:
            self.on_loss(now_s + WITHHELD_TIMEOUT_S)
            return []
        permit = next(
            (p for p in self._permits.values() if p.permit_id == grant.permit_id), None
        )
        if permit is None:
            # The request was withdrawn or repeated at another entry in the meantime.
            unused = SendToEntry(entry, PermitRelease(grant.permit_id))
            return [unused] if grant.granted else []
        if not grant.granted:
            del self._permits[permit.spec.name]
            return []
        if permit.granted:
            return []
        permit.granted = True
        return [StartLoad(permit.spec)]

    def release_ended(self, copies: Iterable[ResidentCopy]) -> list[PermitOutput]:
        """Release the permits of loads that have ended."""
        loading = {
            (copy.name, copy.version)
            for copy in copies
            if copy.state is CopyState.LOADING
        }
        ended = [
            permit.spec.name
            for permit in self._permits.values()
            if permit.granted and (permit.spec.name, permit.spec.version) not in loading
        ]
        return [output for name in ended for output in self.release(name)]

    def release(self, name: str) -> list[PermitOutput]:
        """Release the permit for a copy."""
        permit = self._permits.pop(name, None)
        return [] if permit is None else self._release_output(permit)

    def release_all(self) -> list[PermitOutput]:
        """Release all permits."""
        return [output for name in list(self._permits) for output in self.release(name)]

    def _next_permit_id(self) -> str:
        return f"{self._incarnation}/{next(self._permit_numbers)}"

    def _request_output(
        self, permit: _Permit, entries: Sequence[Incarnation], now_s: float
    ) -> list[PermitOutput]:
        other_entries = [entry for entry in entries if entry != permit.entry]
        if other_entries:
            permit.entry = self._rng.choice(other_entries)
        permit.requested_s = now_s
        if permit.entry is None:
            return []
        request = PermitRequest(permit.permit_id, permit.spec.budgets)
        return [SendToEntry(permit.entry, request)]

    def _release_output(self, permit: _Permit) -> list[PermitOutput]:
        if permit.entry is None:
            return []
        return [SendToEntry(permit.entry, PermitRelease(permit.permit_id))]

    def _may_load_unpermitted(
        self, permit: _Permit, servers: Sequence[ServerView], now_s: float
    ) -> bool:
        """Return whether to load the copy without a permit.

        See :data:`UNPERMITTED_LOAD_DELAY_S`.
        """
        if (
            self._load_requests.waited_s(permit.spec.name, now_s)
            <= UNPERMITTED_LOAD_DELAY_S
        ):
            return False
        if now_s > self._loss_until_s:
            return False
        return not is_served_elsewhere(permit.spec.name, servers, self._incarnation.vm)


def make_load_permits(
    incarnation: Incarnation, rng: random.Random | None = None
) -> LoadPermits:
    """Return the permits of a sidecar that has requested none yet.

    Parameters
    ----------
    incarnation : Incarnation
        This process.
    rng : random.Random or None
        Selects the entry to request from; None for a randomly seeded one.

    Returns
    -------
    LoadPermits

    Examples
    --------
    >>> from chervilgw.core.ids import VmId
    >>> entry = Incarnation(VmId("entry-1"), 1)
    >>> permits = make_load_permits(Incarnation(VmId("engine-1"), 1))
    >>> requested, = permits.request(CopySpec("draft", "1", 60), [entry], now_s=0.0)
    >>> requested.message.budgets
    ('store:loads-per-s', 'store:loads-at-once')
    >>> load, = permits.on_grant(
    ...     entry, PermitGrant(requested.message.permit_id, True), now_s=0.1
    ... )
    >>> load.spec.name, load.permitted
    ('draft', True)
    >>> released, = permits.release_ended([])
    >>> released.message.permit_id == requested.message.permit_id
    True
    """
    return LoadPermits(incarnation, rng or random.Random())
