"""Evidence on traits of requests that may crash backend servers.

A trait is what several requests may have in common: their digest, or one part of their
prompts. A crash blames the traits of the requests whose answers had not got past their
beginning at the server. A run that gets past it refutes the blame for its traits. A
trait that is blamed is a suspect: one request with it at a time is tried, and a crash
of that trial is the next strike. After enough strikes the trait is blocked. Traits that
were present at the same crashes are rivals: only requests with all of them are refused,
until a run or a crash with some of them tells which one it is.

Evidence is a set of crashes for each trait and a set of refuted ones. Merging is a
union, so that the order, repetition and loss of reports do not matter.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum

from chervilgw.core.forward_messages import (
    CrashBlame,
    CrashRefutal,
    SuspicionReport,
    TraitEvidence,
)
from chervilgw.core.ids import CrashId, Digest, Incarnation, RequestTrait

# Strikes that block a trait with which no run has survived. Requests that were under
# way together give one strike, so that a second one is a crash of a trial.
STRIKES_TO_BLOCK = 2
# Strikes that block a trait with which runs have survived lately. Other servers may
# crash beside a frequent trait before the next run with it survives.
STRIKES_TO_BLOCK_PROVEN = 4
# Strikes from which a trait with which runs have survived lately is a suspect.
STRIKES_TO_SUSPECT_PROVEN = 2
# How long a run that survived counts.
PROOF_S = 60.0
# A block lasts this long after its first strikes and doubles with each further one.
BLOCK_S = 60.0
MAX_BLOCK_S = 3600.0
# A trial at another entry that has not been reported for so long has ended with its
# entry, or the report of its end was lost.
TRIAL_SILENCE_S = 3.0
# An engine that still reports this long after the report of its crash did not crash.
ALIVE_AFTER_S = 1.0
MAX_SUSPICIONS = 512
MAX_PROVEN_TRAITS = 20_000
# Traits in one report; a report is one datagram.
MAX_REPORTED_TRAITS = 64


class Standing(Enum):
    """What the evidence says of a trait."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    BLOCKED = "blocked"


class Ruling(Enum):
    """What may be done with a request.

    ``TRY`` means that it may be sent as the trial of its suspect traits, ``WAIT`` that
    a trial of one of them is under way.
    """

    SEND = "send"
    TRY = "try"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class Verdict:
    """Ruling on a request; ``suspects`` are its suspect traits.

    ``blocked_s`` is how long a blocked trait stays so, if the request is refused.
    """

    ruling: Ruling
    suspects: tuple[RequestTrait, ...] = ()
    blocked_s: float = 0.0


SEND = Verdict(Ruling.SEND)


@dataclass(slots=True)
class _Blame:
    strike: int
    heard_s: float


@dataclass(slots=True)
class _Suspicion:
    """Evidence on one trait; ``is_own`` if this entry saw one of its crashes.

    ``trials`` holds when each peer last said that it tries a request with the trait.
    """

    blames: dict[CrashId, _Blame] = field(default_factory=dict)
    refuted: dict[CrashId, float] = field(default_factory=dict)
    trials: dict[Incarnation, float] = field(default_factory=dict)
    is_own: bool = False

    def strikes(self) -> int:
        return max((blame.strike for blame in self.blames.values()), default=0)

    def newest_s(self) -> float:
        heard = [blame.heard_s for blame in self.blames.values()]
        return max([*heard, *self.refuted.values()], default=float("-inf"))


@dataclass(slots=True)
class SuspicionTable:
    """Evidence of one entry and its peers; see :func:`make_suspicion_table`."""

    _incarnation: Incarnation
    _suspicions: OrderedDict[RequestTrait, _Suspicion] = field(
        default_factory=OrderedDict
    )
    _proven_s: OrderedDict[RequestTrait, float] = field(default_factory=OrderedDict)
    _own_trials: dict[RequestTrait, int] = field(default_factory=dict)
    _changed: dict[RequestTrait, None] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._suspicions)

    def standing(self, trait: RequestTrait, now_s: float) -> Standing:
        """Return what the evidence says of a trait.

        Parameters
        ----------
        trait : RequestTrait
        now_s : float
            Monotonic time in seconds.
        """
        suspicion = self._suspicions.get(trait)
        if suspicion is None or not suspicion.blames:
            return Standing.CLEAR
        if now_s < self._blocked_until_s(trait, now_s):
            is_ambiguous = any(self._rivals(trait, now_s))
            return Standing.SUSPECT if is_ambiguous else Standing.BLOCKED
        proven = self._is_proven(trait, now_s)
        if proven and suspicion.strikes() < STRIKES_TO_SUSPECT_PROVEN:
            return Standing.CLEAR
        return Standing.SUSPECT

    def _is_proven(self, trait: RequestTrait, now_s: float) -> bool:
        return now_s - self._proven_s.get(trait, float("-inf")) < PROOF_S

    def _blocked_until_s(self, trait: RequestTrait, now_s: float) -> float:
        suspicion, proven = self._suspicions[trait], self._is_proven(trait, now_s)
        needed = STRIKES_TO_BLOCK_PROVEN if proven else STRIKES_TO_BLOCK
        strikes = suspicion.strikes()
        if strikes < needed:
            return float("-inf")
        newest_s = max(blame.heard_s for blame in suspicion.blames.values())
        return newest_s + _block_s(strikes - needed)

    def _rivals(self, trait: RequestTrait, now_s: float) -> Iterator[RequestTrait]:
        """Return the traits that explain the crashes of a trait as well as it does."""
        suspicion, proven = self._suspicions[trait], self._is_proven(trait, now_s)
        crashes, strikes = suspicion.blames.keys(), suspicion.strikes()
        for other, item in self._suspicions.items():
            if other == trait or not crashes <= item.blames.keys():
                continue
            if item.strikes() >= strikes and (
                proven or not self._is_proven(other, now_s)
            ):
                yield other

    def verdict(self, traits: Collection[RequestTrait], now_s: float) -> Verdict:
        """Return what may be done with a request that has these traits.

        Parameters
        ----------
        traits : collection of RequestTrait
        now_s : float
            Monotonic time in seconds.
        """
        if not self._suspicions:
            return SEND
        suspects = []
        for trait in traits:
            standing = self.standing(trait, now_s)
            if standing is Standing.CLEAR:
                continue
            blocked_s = self._blocked_until_s(trait, now_s) - now_s
            if blocked_s > 0 and all(
                rival in traits for rival in self._rivals(trait, now_s)
            ):
                return Verdict(Ruling.REFUSE, (trait,), blocked_s)
            suspects.append(trait)
        if not suspects:
            return SEND
        on_trial = any(self._is_on_trial(trait, now_s) for trait in suspects)
        return Verdict(Ruling.WAIT if on_trial else Ruling.TRY, tuple(suspects))

    def _is_on_trial(self, trait: RequestTrait, now_s: float) -> bool:
        if trait in self._own_trials:
            return True
        trials = self._suspicions[trait].trials
        return any(now_s - seen_s < TRIAL_SILENCE_S for seen_s in trials.values())

    def strikes(self, traits: Sequence[RequestTrait]) -> tuple[int, ...]:
        """Return the strikes of each trait, to be kept with a request that is sent."""
        if not self._suspicions:
            return (0,) * len(traits)
        return tuple(
            self._suspicions[trait].strikes() if trait in self._suspicions else 0
            for trait in traits
        )

    def begin_trial(self, exchange: int, traits: Iterable[RequestTrait]) -> None:
        """Record that a request of this entry is tried.

        Parameters
        ----------
        exchange : int
            Number of the request.
        traits : iterable of RequestTrait
            Its suspect traits.
        """
        for trait in traits:
            self._own_trials[trait] = exchange
            self._changed[trait] = None

    def end_trial(self, exchange: int) -> bool:
        """Record that a request is not tried any more; return whether it was."""
        ended = [trait for trait, own in self._own_trials.items() if own == exchange]
        for trait in ended:
            del self._own_trials[trait]
            self._changed[trait] = None
        return bool(ended)

    def on_crash(
        self,
        crash: CrashId,
        traits: Sequence[RequestTrait],
        strikes: Sequence[int],
        now_s: float,
    ) -> tuple[RequestTrait, ...]:
        """Blame a request's traits for a crash; return those that are blocked now.

        Parameters
        ----------
        crash : CrashId
        traits : sequence of RequestTrait
            Traits of a request whose answer had not got past its beginning.
        strikes : sequence of int
            Strikes of each trait when the request was sent.
        now_s : float
            Monotonic time in seconds.
        """
        for trait, known in zip(traits, strikes, strict=True):
            suspicion = self._suspicions.setdefault(trait, _Suspicion())
            suspicion.is_own = True
            if _add_blame(suspicion, crash, known + 1, now_s):
                self._changed[trait] = None
        blocked = self._settle(traits, now_s)
        self._drop_surplus()
        return blocked

    def on_survived(self, traits: Iterable[RequestTrait], now_s: float) -> bool:
        """Record that a run got past its beginning; return whether blame is refuted.

        Parameters
        ----------
        traits : iterable of RequestTrait
            Traits of the request.
        now_s : float
            Monotonic time in seconds.
        """
        refuted = False
        for trait in traits:
            self._proven_s[trait] = now_s
            self._proven_s.move_to_end(trait)
            suspicion = self._suspicions.get(trait)
            if suspicion is not None and suspicion.blames:
                _refute(suspicion, tuple(suspicion.blames), now_s)
                self._changed[trait] = None
                refuted = True
        while len(self._proven_s) > MAX_PROVEN_TRAITS:
            self._proven_s.popitem(last=False)
        return refuted

    def on_server_alive(self, incarnation: CrashId, now_s: float) -> None:
        """Refute a crash of a server whose same incarnation still reports.

        A connection that the network broke looks like a crash.
        """
        for trait, suspicion in self._suspicions.items():
            blame = suspicion.blames.get(incarnation)
            if blame is not None and now_s - blame.heard_s > ALIVE_AFTER_S:
                _refute(suspicion, (incarnation,), now_s)
                self._changed[trait] = None

    def merge(
        self, report: SuspicionReport, now_s: float
    ) -> tuple[tuple[RequestTrait, ...], tuple[RequestTrait, ...]]:
        """Merge the evidence of another entry.

        Parameters
        ----------
        report : SuspicionReport
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of tuple of RequestTrait
            Traits that the report made blocked, and those on which the sender lacks
            evidence that this entry has.
        """
        traits = [evidence.trait for evidence in report.evidence]
        before = {trait: self.standing(trait, now_s) for trait in traits}
        lacking = tuple(
            evidence.trait
            for evidence in report.evidence
            if self._merge_one(evidence, report.sender, now_s)
        )
        blocked = self._settle(traits, now_s)
        for trait in traits:
            suspicion = self._suspicions[trait]
            if suspicion.is_own and self.standing(trait, now_s) is not before[trait]:
                # Entries that answer a blame tell it to its sender only.
                self._changed[trait] = None
        new = tuple(trait for trait in blocked if before[trait] != Standing.BLOCKED)
        self._drop_surplus()
        return new, lacking

    def _merge_one(
        self, evidence: TraitEvidence, sender: Incarnation, now_s: float
    ) -> bool:
        trait = evidence.trait
        suspicion = self._suspicions.setdefault(trait, _Suspicion())
        refuted = {item.crash: now_s - item.age_s for item in evidence.refutals}
        for crash, refuted_s in refuted.items():
            suspicion.blames.pop(crash, None)
            suspicion.refuted.setdefault(crash, refuted_s)
        for blame in evidence.blames:
            heard_s = now_s - blame.age_s
            _add_blame(suspicion, blame.crash, blame.strike, heard_s)
        if evidence.on_trial:
            suspicion.trials[sender] = now_s
        else:
            suspicion.trials.pop(sender, None)
        peer_age_s, own_s = evidence.proven_age_s, self._proven_s.get(trait)
        if peer_age_s is not None:
            proven_s = now_s - peer_age_s
            self._proven_s[trait] = proven_s if own_s is None else max(own_s, proven_s)
        knows_proof = peer_age_s is not None and peer_age_s < PROOF_S
        return bool(evidence.blames) and (
            any(blame.crash in suspicion.refuted for blame in evidence.blames)
            or (self._is_proven(trait, now_s) and not knows_proof)
        )

    def _settle(
        self, traits: Iterable[RequestTrait], now_s: float
    ) -> tuple[RequestTrait, ...]:
        """Refute the blame of others for the crashes of blocked traits.

        Returns
        -------
        tuple of RequestTrait
            Those of the traits that are blocked.
        """
        blocked = tuple(
            trait
            for trait in dict.fromkeys(traits)
            if self.standing(trait, now_s) is Standing.BLOCKED
        )
        if not blocked:
            return ()
        explained = {
            crash for trait in blocked for crash in self._suspicions[trait].blames
        }
        for trait, suspicion in self._suspicions.items():
            shared = explained & suspicion.blames.keys()
            if shared and self.standing(trait, now_s) is not Standing.BLOCKED:
                _refute(suspicion, tuple(shared), now_s)
        return blocked

    def take_changed(self, now_s: float) -> tuple[TraitEvidence, ...]:
        """Return the evidence that has changed here since the last call."""
        changed = list(self._changed)[:MAX_REPORTED_TRAITS]
        for trait in changed:
            del self._changed[trait]
        return self.evidence(changed, now_s)

    def evidence(
        self, traits: Iterable[RequestTrait], now_s: float
    ) -> tuple[TraitEvidence, ...]:
        """Return what is known of some traits, for other entries."""
        return tuple(
            self._evidence_on(trait, self._suspicions[trait], now_s)
            for trait in traits
            if trait in self._suspicions
        )

    def all_evidence(self, now_s: float) -> tuple[TraitEvidence, ...]:
        """Return what is known of suspect and blocked traits, most strikes first."""
        traits = [
            trait
            for trait in reversed(self._suspicions)
            if self.standing(trait, now_s) is not Standing.CLEAR
        ]
        traits.sort(key=lambda trait: self._suspicions[trait].strikes(), reverse=True)
        return self.evidence(traits[:MAX_REPORTED_TRAITS], now_s)

    def reminders(self, now_s: float) -> tuple[TraitEvidence, ...]:
        """Return what other entries must not miss: traits with several strikes."""
        return tuple(filter(_is_repeated, self.all_evidence(now_s)))

    def _evidence_on(
        self, trait: RequestTrait, suspicion: _Suspicion, now_s: float
    ) -> TraitEvidence:
        proven_s = self._proven_s.get(trait)
        return TraitEvidence(
            trait,
            tuple(
                CrashBlame(crash, blame.strike, now_s - blame.heard_s)
                for crash, blame in suspicion.blames.items()
            ),
            tuple(
                CrashRefutal(crash, now_s - refuted_s)
                for crash, refuted_s in suspicion.refuted.items()
            ),
            None if proven_s is None else now_s - proven_s,
            trait in self._own_trials,
        )

    def blocked(self, now_s: float) -> tuple[RequestTrait, ...]:
        """Return the traits that are blocked."""
        return tuple(
            trait
            for trait in self._suspicions
            if self.standing(trait, now_s) is Standing.BLOCKED
        )

    def drop_past(self, now_s: float) -> None:
        """Drop evidence that has no effect any more.

        Strikes are kept for as long again as their block, so that a trait that still
        crashes servers is tried once after its block, and blocked for longer.
        """
        past = [
            trait
            for trait, suspicion in self._suspicions.items()
            if trait not in self._own_trials
            and now_s - suspicion.newest_s() > 2 * _block_s(suspicion.strikes() - 2)
        ]
        for trait in past:
            del self._suspicions[trait]

    def _drop_surplus(self) -> None:
        """Drop the oldest traits, those with several strikes last."""
        surplus = len(self._suspicions) - MAX_SUSPICIONS
        if surplus <= 0:
            return
        items = self._suspicions.items()
        light = [trait for trait, item in items if item.strikes() < 2]
        for trait in [*light, *self._suspicions][:surplus]:
            self._suspicions.pop(trait, None)


def request_traits(
    digest: Digest, shared_parts: Iterable[str]
) -> tuple[RequestTrait, ...]:
    """Return what a request may have in common with others.

    Parameters
    ----------
    digest : Digest
        Identifies equal requests.
    shared_parts : iterable of str
        Ids of the parts of its prompt that other prompts may have.

    Examples
    --------
    >>> request_traits(Digest("d"), ["5c1e"])
    ('request/d', 'part/5c1e')
    """
    parts = (RequestTrait(f"part/{part}") for part in shared_parts)
    return (RequestTrait(f"request/{digest}"), *parts)


def _is_repeated(evidence: TraitEvidence) -> bool:
    return any(blame.strike > 1 for blame in evidence.blames)


def _block_s(extra_strikes: int) -> float:
    return min(MAX_BLOCK_S, BLOCK_S * 2.0 ** max(0, extra_strikes))


def _add_blame(
    suspicion: _Suspicion, crash: CrashId, strike: int, heard_s: float
) -> bool:
    """Add a crash that is not refuted; return whether that changed anything."""
    if crash in suspicion.refuted:
        return False
    known = suspicion.blames.get(crash)
    if known is None:
        suspicion.blames[crash] = _Blame(strike, heard_s)
        return True
    # An incarnation crashes once, so that it gives one strike however often its
    # connections end.
    known.strike = min(known.strike, strike)
    known.heard_s = min(known.heard_s, heard_s)
    return False


def _refute(suspicion: _Suspicion, crashes: Iterable[CrashId], now_s: float) -> None:
    for crash in crashes:
        suspicion.blames.pop(crash, None)
        suspicion.refuted[crash] = now_s


def make_suspicion_table(incarnation: Incarnation) -> SuspicionTable:
    """Return a table without evidence.

    Parameters
    ----------
    incarnation : Incarnation
        Process that owns the table.

    Examples
    --------
    >>> from chervilgw.core.ids import VmId
    >>> table = make_suspicion_table(Incarnation(VmId("entry-1"), 1))
    >>> part, digest = RequestTrait("part/d"), RequestTrait("request/1")
    >>> table.on_crash(CrashId("a/1"), (part, digest), (0, 0), now_s=1.0)
    ()
    >>> table.verdict((part,), now_s=1.1).ruling
    <Ruling.TRY: 'try'>
    >>> table.on_crash(CrashId("b/1"), (part,), table.strikes((part,)), now_s=2.0)
    ('part/d',)
    >>> table.verdict((part,), now_s=2.1).ruling
    <Ruling.REFUSE: 'refuse'>
    """
    return SuspicionTable(incarnation)
