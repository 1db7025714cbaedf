"""Transfers of units between entries: unanswered outgoing, answered incoming.

A transfer is repeated until it is answered, and each answer is remembered, so that a
late duplicate gets the same answer as the first copy. A different answer would let both
sides hold the units.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from chervilgw.core.ids import BudgetName, Incarnation, Offset
from chervilgw.core.messages import ShareReply, ShareTransfer
from chervilgw.quota.records import Debit, Send

RESEND_FIRST_S = 0.2
RESEND_LONGEST_S = 10.0
# Answers remembered for each giver. A transfer older than the oldest remembered one is
# not answered at all: its units stay counted at the giver.
REMEMBERED_ANSWERS = 1024


@dataclass(slots=True)
class _Pending:
    to: Incarnation
    message: ShareTransfer
    resend_at_s: float
    interval_s: float
    debit: Debit | None


class Outgoing:
    """Transfers given away and not yet answered.

    Parameters
    ----------
    giver : Incarnation
        This process; part of the transfer ids.
    """

    def __init__(self, giver: Incarnation) -> None:
        self._giver = giver
        self._counter = 0
        self._pending: dict[str, _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def send(
        self,
        to: Incarnation,
        budget: BudgetName,
        gift: tuple[int, float],
        offset: Offset,
        now_s: float,
        debit: Debit | None = None,
    ) -> Send:
        """Record a transfer whose units were removed, and return its message.

        ``debit`` is the debit of level that goes without units.
        """
        units, level = gift
        self._counter += 1
        transfer_id = f"{self._giver}/{self._counter}"
        message = ShareTransfer(transfer_id, budget, units, level, offset)
        if units or level:
            self._pending[transfer_id] = _Pending(
                to, message, now_s + RESEND_FIRST_S, RESEND_FIRST_S, debit
            )
        return Send(to, message)

    def answered(
        self, sender: Incarnation, reply: ShareReply
    ) -> tuple[ShareTransfer, Debit | None] | None:
        """Complete a transfer and return it, unless it was completed before."""
        pending = self._pending.get(reply.transfer_id)
        if pending is None or pending.to != sender:
            return None
        del self._pending[reply.transfer_id]
        return pending.message, pending.debit

    def drop_receiver(self, receiver: Incarnation) -> list[Debit]:
        """Forget transfers to a dead receiver, which may have taken the units.

        Returns the debits of level that went without units.
        """
        dropped = [each for each in self._pending.values() if each.to == receiver]
        self._pending = {
            name: each for name, each in self._pending.items() if each.to != receiver
        }
        return [each.debit for each in dropped if each.debit is not None]

    def receivers(self) -> set[Incarnation]:
        """Return the receivers of unanswered transfers."""
        return {each.to for each in self._pending.values()}

    def units(self) -> Counter[BudgetName]:
        """Return the unanswered units of each budget."""
        total: Counter[BudgetName] = Counter()
        for each in self._pending.values():
            total[each.message.budget] += each.message.units
        return total

    def due(self, connected: frozenset[Incarnation], now_s: float) -> list[Send]:
        """Return the transfers to repeat now."""
        sends = []
        for each in self._pending.values():
            if now_s >= each.resend_at_s and each.to in connected:
                each.interval_s = min(RESEND_LONGEST_S, each.interval_s * 2)
                each.resend_at_s = now_s + each.interval_s
                sends.append(Send(each.to, each.message))
        return sends


class Incoming:
    """Answers to transfers received.

    Examples
    --------
    >>> from chervilgw.core.ids import VmId
    >>> giver, incoming = Incarnation(VmId("e1"), 1), Incoming()
    >>> incoming.known(giver, "e1/1/7") is None
    True
    >>> incoming.remember(giver, ShareReply("e1/1/7", True))
    >>> incoming.known(giver, "e1/1/7").accepted
    True
    """

    def __init__(self) -> None:
        self._answers: dict[Incarnation, OrderedDict[int, ShareReply]] = {}
        self._floor: dict[Incarnation, int] = {}
        # Transfers of givers that had read more of the log than this entry.
        self._ahead: list[tuple[Incarnation, ShareTransfer]] = []

    def taken(self, giver: Incarnation, message: ShareTransfer, offset: Offset) -> None:
        """Record that units were taken, with this entry's ledger offset."""
        if message.ledger_offset > offset:
            self._ahead.append((giver, message))

    def counted_by_givers(
        self, offset: Offset, is_dead: Callable[[Incarnation], bool]
    ) -> Counter[BudgetName]:
        """Return the units that the snapshots of their givers count as well.

        They were taken before the record at ``offset`` was read here, but given after
        the giver had read it. A dead giver sends no snapshot.
        """
        total: Counter[BudgetName] = Counter()
        for giver, message in self._ahead:
            if message.ledger_offset >= offset and not is_dead(giver):
                total[message.budget] += message.units
        self._ahead = [e for e in self._ahead if e[1].ledger_offset > offset]
        return total

    def known(self, giver: Incarnation, transfer_id: str) -> ShareReply | None:
        """Return the earlier answer, if there is one."""
        return self._answers.get(giver, {}).get(_number(transfer_id))

    def is_forgotten(self, giver: Incarnation, transfer_id: str) -> bool:
        """Return whether a transfer is too old to know whether it was answered."""
        return _number(transfer_id) <= self._floor.get(giver, 0)

    def remember(self, giver: Incarnation, reply: ShareReply) -> None:
        """Record the answer to a transfer."""
        answers = self._answers.setdefault(giver, OrderedDict())
        answers[_number(reply.transfer_id)] = reply
        while len(answers) > REMEMBERED_ANSWERS:
            oldest = min(answers)
            del answers[oldest]
            self._floor[giver] = max(oldest, self._floor.get(giver, 0))

    def drop_dead(self, is_dead: Callable[[Incarnation], bool]) -> None:
        """Forget the answers to dead givers, whose transfers are ignored anyway."""
        for giver in [each for each in self._answers if is_dead(each)]:
            del self._answers[giver]
            self._floor.pop(giver, None)


def _number(transfer_id: str) -> int:
    return int(transfer_id.rpartition("/")[2])
