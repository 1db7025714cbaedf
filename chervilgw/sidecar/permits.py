"""Permits of one sidecar's loads: whom to ask, when to ask again, when to load.

A load uses fleet-wide budgets, such as the store's loads per second, which the entries
hold. A sidecar asks one entry at a time, and releases the permit once the load ended.
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
from chervilgw.sidecar.loading import CopySpec, LoadAsks, is_served_elsewhere

PERMIT_REPEAT_S = 2.0
PERMIT_WAIT_S = 2.0
"""While the loss of an entry matters, a model that nobody else serves is loaded without
a permit once it was asked for this long: the lost entry may have held the store's
budget, and without the log nothing collects its units. The store refuses what is over
its own limit, and the load is tried again."""


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a message about a permit to an entry."""

    to: Incarnation
    message: PermitRequest | PermitRelease


@dataclass(frozen=True, slots=True)
class StartLoad:
    """Load the copy now; ``permitted`` is False if no entry has granted it."""

    spec: CopySpec
    permitted: bool = True


PermitOutput = Tell | StartLoad


@dataclass(slots=True)
class _Permit:
    permit_id: str
    spec: CopySpec
    asked_s: float
    entry: Incarnation | None = None
    granted: bool = False


class LoadPermits:
    """Permits asked for and in use; see :func:`make_load_permits`."""

    def __init__(self, me: Incarnation, rng: random.Random):
        self._me = me
        self._rng = rng
        self._numbers = count(1)
        self._permits: dict[str, _Permit] = {}
        self._asks = LoadAsks()
        self._loss_until_s = float("-inf")

    def __contains__(self, name: str) -> bool:
        """Return whether a permit for this copy is asked for or in use."""
        return name in self._permits

    def on_entry_lost(self, until_s: float) -> None:
        """Note until when the loss of an entry may have taken permits with it."""
        self._loss_until_s = until_s

    def want(self, name: str, now_s: float) -> None:
        """Note that a decision asks for a load, though there may be no room yet."""
        self._asks.add(name, now_s)

    def ask(
        self, spec: CopySpec, entries: Sequence[Incarnation], now_s: float
    ) -> list[PermitOutput]:
        """Ask one of the connected entries for a permit to load a copy."""
        self.want(spec.name, now_s)
        if spec.name in self._permits:
            return []
        permit = _Permit(self._next_id(), spec, now_s)
        self._permits[spec.name] = permit
        return self._request(permit, entries, now_s)

    def tick(
        self,
        entries: Sequence[Incarnation],
        servers: Sequence[ServerView],
        now_s: float,
    ) -> list[PermitOutput]:
        """Ask again for what was not granted, or load without a permit.

        A permit that no decision asks for any more is withdrawn.

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
        list of Tell or StartLoad
        """
        outputs: list[PermitOutput] = []
        for name in self._asks.expire(now_s):
            permit = self._permits.get(name)
            if permit is not None and not permit.granted:
                outputs += self.release(name)
        for permit in self._permits.values():
            if permit.granted:
                continue
            if self._must_load(permit, servers, now_s):
                permit.granted = True
                outputs.append(StartLoad(permit.spec, permitted=False))
            elif now_s - permit.asked_s > PERMIT_REPEAT_S:
                # The entry may be frozen; another one holds its own part. The request
                # would otherwise wait on there and use up a load of the store's rate.
                outputs += self._tell_release(permit)
                permit.permit_id = self._next_id()
                outputs += self._request(permit, entries, now_s)
        return outputs

    def on_grant(self, entry: Incarnation, grant: PermitGrant) -> list[PermitOutput]:
        """Apply an entry's answer."""
        permit = next(
            (p for p in self._permits.values() if p.permit_id == grant.permit_id), None
        )
        if permit is None:
            # The request was repeated at another entry in the meantime.
            unused = Tell(entry, PermitRelease(grant.permit_id))
            return [unused] if grant.granted else []
        if not grant.granted:
            del self._permits[permit.spec.name]
            return []
        if permit.granted:
            return []
        permit.granted = True
        return [StartLoad(permit.spec)]

    def settle(self, copies: Iterable[ResidentCopy]) -> list[PermitOutput]:
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
        """Give up the permit for a copy."""
        permit = self._permits.pop(name, None)
        return [] if permit is None else self._tell_release(permit)

    def release_all(self) -> list[PermitOutput]:
        """Give up all permits."""
        return [output for name in list(self._permits) for output in self.release(name)]

    def _next_id(self) -> str:
        return f"{self._me}/{next(self._numbers)}"

    def _request(
        self, permit: _Permit, entries: Sequence[Incarnation], now_s: float
    ) -> list[PermitOutput]:
        others = [entry for entry in entries if entry != permit.entry]
        if others:
            permit.entry = self._rng.choice(others)
        permit.asked_s = now_s
        if permit.entry is None:
            return []
        request = PermitRequest(permit.permit_id, permit.spec.budgets)
        return [Tell(permit.entry, request)]

    def _tell_release(self, permit: _Permit) -> list[PermitOutput]:
        if permit.entry is None:
            return []
        return [Tell(permit.entry, PermitRelease(permit.permit_id))]

    def _must_load(
        self, permit: _Permit, servers: Sequence[ServerView], now_s: float
    ) -> bool:
        """Return whether to load without a permit what no other server has."""
        if self._asks.waited_s(permit.spec.name, now_s) <= PERMIT_WAIT_S:
            return False
        if now_s > self._loss_until_s:
            return False
        return not is_served_elsewhere(permit.spec.name, servers, self._me.vm)


def make_load_permits(me: Incarnation, rng: random.Random | None = None) -> LoadPermits:
    """Return the permits of a sidecar that has asked for none yet.

    Parameters
    ----------
    me : Incarnation
        This process.
    rng : random.Random or None
        Selects the entry to ask; None for a randomly seeded one.

    Returns
    -------
    LoadPermits

    Examples
    --------
    >>> from chervilgw.core.ids import VmId
    >>> entry = Incarnation(VmId("entry-1"), 1)
    >>> permits = make_load_permits(Incarnation(VmId("engine-1"), 1))
    >>> asked, = permits.ask(CopySpec("draft", "1", 60), [entry], now_s=0.0)
    >>> asked.message.budgets
    ('store:loads-per-s', 'store:loads-at-once')
    >>> load, = permits.on_grant(entry, PermitGrant(asked.message.permit_id, True))
    >>> load.spec.name, load.permitted
    ('draft', True)
    >>> released, = permits.settle([])
    >>> released.message.permit_id == asked.message.permit_id
    True
    """
    return LoadPermits(me, rng or random.Random())
