"""Counts crashes by request digest, and blocks a digest after two.

A request with a counted crash is a suspect.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from types import MappingProxyType

import xxhash
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from chervilgw.core.ids import CrashId, CustomerId, Digest
from chervilgw.core.messages import CrashReport
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason

CRASHES_TO_BLOCK = 2
MAX_DIGESTS = 10_000


def request_digest(customer: CustomerId, target: str, body: bytes) -> Digest:
    """Return the digest that identifies a request in crash reports.

    Parameters
    ----------
    customer : CustomerId
    target : str
        Name of the model or service.
    body : bytes
        Normalised body, so that repeats through any entry have the same digest.

    Returns
    -------
    Digest

    Examples
    --------
    >>> request_digest(CustomerId("a"), "m", b"x") == request_digest(
    ...     CustomerId("a"), "m", b"x"
    ... )
    True
    """
    state = xxhash.xxh3_128()
    for part in (customer.encode(), target.encode(), body):
        # The lengths distinguish ("ab", "c") from ("a", "bc").
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return Digest(state.hexdigest())


class CrashTracker:
    """Crashes by digest; see :func:`make_crash_tracker`."""

    def __init__(
        self, crash_block_s: float, max_digests: int, crashes_to_block: int
    ) -> None:
        self._block_ms = int(crash_block_s * 1000)
        self._max_digests = max_digests
        self._crashes_to_block = crashes_to_block
        self._crashes: OrderedDict[Digest, dict[CrashId, int]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._crashes)

    def on_crash_report(self, report: CrashReport, now_ms: int) -> tuple[Digest, ...]:
        """Count a crash against the requests in its report.

        A sidecar reports the suspects among the running requests, or all of them if
        there were none. Other requests that ran beside a suspect are not counted.

        Parameters
        ----------
        report : CrashReport
            A repeated report has no effect.
        now_ms : int
            Wall-clock time.

        Returns
        -------
        tuple of Digest
            The report's digests that are blocked now. Their attempts that run at other
            servers must be stopped.
        """
        if report.cleared:
            for digest in report.digests:
                self.on_completed(digest)
            return ()
        if now_ms - report.time_ms >= self._block_ms:
            return ()
        for digest in report.digests:
            crashes = self._crashes.setdefault(digest, {})
            crashes[report.crash] = min(report.time_ms, now_ms)
            if len(crashes) > self._crashes_to_block:
                # The end of a block depends on the newest crashes only.
                del crashes[min(crashes, key=lambda crash: crashes[crash])]
            self._crashes.move_to_end(digest)
        while len(self._crashes) > self._max_digests:
            self._drop_one()
        return tuple(
            digest
            for digest in report.digests
            if len(self._crashes.get(digest, ())) >= self._crashes_to_block
        )

    def _drop_one(self) -> None:
        """Drop the oldest unblocked digest, so that a flood lifts no block."""
        for digest, crashes in self._crashes.items():
            if len(crashes) < self._crashes_to_block:
                del self._crashes[digest]
                return
        self._crashes.popitem(last=False)

    def set_block_s(self, crash_block_s: float) -> None:
        """Set how long a crash counts, in seconds.

        Parameters
        ----------
        crash_block_s : float
        """
        self._block_ms = int(crash_block_s * 1000)

    def blocked(self, now_ms: int, lifted: Mapping[Digest, int]) -> tuple[Digest, ...]:
        """Return the digests that are blocked now.

        Parameters
        ----------
        now_ms : int
            Wall-clock time.
        lifted : mapping of Digest to int
            As for :meth:`check`.

        Returns
        -------
        tuple of Digest
        """
        digests = tuple(self._crashes)
        return tuple(
            digest
            for digest in digests
            if not is_successful(self.check(digest, now_ms, lifted))
        )

    def on_completed(self, digest: Digest) -> None:
        """Drop the crashes of a suspect that completed and is not blocked.

        Parameters
        ----------
        digest : Digest
        """
        if len(self._crashes.get(digest, ())) < self._crashes_to_block:
            self._crashes.pop(digest, None)

    def suspect_crashes(self, digest: Digest) -> tuple[CrashId, ...]:
        """Return the crashes that are counted against a request.

        Parameters
        ----------
        digest : Digest

        Returns
        -------
        tuple of CrashId
        """
        return tuple(self._crashes.get(digest, ()))

    def check(
        self,
        digest: Digest,
        now_ms: int,
        lifted: Mapping[Digest, int] = MappingProxyType({}),
    ) -> Result[None, Refusal]:
        """Refuse a request that is blocked.

        Parameters
        ----------
        digest : Digest
        now_ms : int
            Wall-clock time.
        lifted : mapping of Digest to int
            Time at which the configuration lifted a digest's block; only later crashes
            count.

        Returns
        -------
        Result[None, Refusal]
        """
        crashes = self._crashes.get(digest)
        if crashes is None:
            return Success(None)
        end_ms = max(crashes.values()) + self._block_ms
        if now_ms >= end_ms:
            del self._crashes[digest]
            return Success(None)
        if digest in lifted:
            crashes = {c: ms for c, ms in crashes.items() if ms > lifted[digest]}
        if len(crashes) < self._crashes_to_block:
            return Success(None)
        detail = "the request was running at repeated crashes and is blocked for a time"
        retry_after_s = (end_ms - now_ms) / 1000
        return Failure(
            make_refusal(RefusalReason.BLOCKED_AFTER_CRASHES, detail, retry_after_s)
        )


def make_crash_tracker(
    crash_block_s: float = 600.0,
    max_digests: int = MAX_DIGESTS,
    crashes_to_block: int = CRASHES_TO_BLOCK,
) -> CrashTracker:
    """Return an empty tracker.

    Parameters
    ----------
    crash_block_s : float
        How long a crash counts, and a block lasts after its last crash.
    max_digests : int
        Maximum number of digests in memory.
    crashes_to_block : int
        Number of counted crashes that block a request.

    Returns
    -------
    CrashTracker

    Examples
    --------
    >>> from chervilgw.core.ids import VmId
    >>> tracker = make_crash_tracker()
    >>> for crash in ("b1/1", "b2/1"):
    ...     report = CrashReport(CrashId(crash), VmId("b"), (Digest("d"),), 1000)
    ...     blocked = tracker.on_crash_report(report, 1000)
    >>> tracker.check(Digest("d"), 2000).failure().retry_after_s
    599.0
    """
    return CrashTracker(crash_block_s, max_digests, crashes_to_block)


def blamed_digests(running: dict[Digest, bool]) -> tuple[Digest, ...]:
    """Return the digests that a crash report lists.

    Parameters
    ----------
    running : dict of Digest to bool
        The running requests at the crash, and whether each was a suspect.

    Returns
    -------
    tuple of Digest
        The suspects, or all if there were none.

    Examples
    --------
    >>> blamed_digests({Digest("a"): False, Digest("b"): True})
    ('b',)
    """
    suspects = tuple(digest for digest, suspect in running.items() if suspect)
    return suspects or tuple(running)
