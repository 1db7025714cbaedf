"""Transfers of units between entries: unanswered outgoing, answered incoming.

A transfer is repeated until it is answered, and each answer is stored, so that a late
duplicate gets the same answer as the first copy. With a different answer both sides
would hold the units.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from chervilgw.core.ids import BudgetName, Incarnation, Offset
from chervilgw.core.messages import ShareReply, ShareTransfer
from chervilgw.quota.records import Debit, Send

MIN_RESEND_INTERVAL_S = 0.2
MAX_RESEND_INTERVAL_S = 10.0
# Answers stored for each sender. A transfer older than the oldest stored answer is not
# answered: its units stay counted at the sender.
MAX_STORED_ANSWERS = 1024


@dataclass(slots=True)
class _Pending:
    to: Incarnation
    message: ShareTransfer
    resend_at_s: float
    interval_s: float
    debit: Debit | None


class Outgoing:
    """Transfers sent and not yet answered.

    Parameters
    ----------
    local : Incarnation
        This process; part of the transfer ids.
    """

    def __init__(self, local: Incarnation) -> None:
        self._local = local
        self._counter = 0
        self._pending: dict[str, _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def send(
        self,
        to: Incarnation,
        budget: BudgetName,
        released: tuple[int, float],
        offset: Offset,
        now_s: float,
        debit: Debit | None = None,
    ) -> Send:
        """Record a transfer of released units and level, and return its message.

        ``debit`` is the debit of level that is transferred without units.
        """
        units, level = released
        self._counter += 1
        transfer_id = f"{self._local}/{self._counter}"
        message = ShareTransfer(transfer_id, budget, units, level, offset)
        if units or level:
            self._pending[transfer_id] = _Pending(
                to, message, now_s + MIN_RESEND_INTERVAL_S, MIN_RESEND_INTERVAL_S, debit
            )
        return Send(to, message)

    def complete(
        self, sender: Incarnation, reply: ShareReply
    ) -> tuple[ShareTransfer, Debit | None] | None:
        """Complete a transfer and return it, unless it was completed before."""
        pending = self._pending.get(reply.transfer_id)
        if pending is None or pending.to != sender:
            return None
        del self._pending[reply.transfer_id]
        return pending.message, pending.debit

    def drop_receiver(self, receiver: Incarnation) -> list[Debit]:
        """Drop transfers to a dead receiver, which may have accepted the units.

        Returns the debits of level that was transferred without units.
        """
        dropped = [
            pending for pending in self._pending.values() if pending.to == receiver
        ]
        self._pending = {
            transfer_id: pending
            for transfer_id, pending in self._pending.items()
            if pending.to != receiver
        }
        return [pending.debit for pending in dropped if pending.debit is not None]

    def receivers(self) -> set[Incarnation]:
        """Return the receivers of unanswered transfers."""
        return {pending.to for pending in self._pending.values()}

    def units(self) -> Counter[BudgetName]:
        """Return the unanswered units of each budget."""
        total: Counter[BudgetName] = Counter()
        for pending in self._pending.values():
            total[pending.message.budget] += pending.message.units
        return total

    def due(self, connected: frozenset[Incarnation], now_s: float) -> list[Send]:
        """Return the transfers to repeat now."""
        sends = []
        for pending in self._pending.values():
            if now_s >= pending.resend_at_s and pending.to in connected:
                pending.interval_s = min(MAX_RESEND_INTERVAL_S, pending.interval_s * 2)
                pending.resend_at_s = now_s + pending.interval_s
                sends.append(Send(pending.to, pending.message))
        return sends


class Incoming:
    """Answers to transfers received.

    Examples
    --------
    >>> from chervilgw.core.ids import VmId
    >>> sender, incoming = Incarnation(VmId("e1"), 1), Incoming()
    >>> incoming.find_answer(sender, "e1/1/7") is None
    True
    >>> incoming.store_answer(sender, ShareReply("e1/1/7", True))
    >>> incoming.find_answer(sender, "e1/1/7").accepted
    True
    """

    def __init__(self) -> None:
        self._answers: dict[Incarnation, OrderedDict[int, ShareReply]] = {}
        self._highest_dropped: dict[Incarnation, int] = {}
        # Accepted transfers of senders that had read more of the log than this entry.
        self._accepted_ahead: list[tuple[Incarnation, ShareTransfer]] = []

    def record_accepted(
        self, sender: Incarnation, message: ShareTransfer, offset: Offset
    ) -> None:
        """Record an accepted transfer, with this entry's ledger offset."""
        if message.ledger_offset > offset:
            self._accepted_ahead.append((sender, message))

    def counted_by_senders(
        self, offset: Offset, is_dead: Callable[[Incarnation], bool]
    ) -> Counter[BudgetName]:
        """Return the accepted units that the snapshots of their senders count as well.

        This entry accepted them before it read the record at ``offset``; the sender
        released them after it had read the record. A dead sender sends no snapshot.
        """
        total: Counter[BudgetName] = Counter()
        for sender, message in self._accepted_ahead:
            if message.ledger_offset >= offset and not is_dead(sender):
                total[message.budget] += message.units
        self._accepted_ahead = [
            item for item in self._accepted_ahead if item[1].ledger_offset > offset
        ]
        return total

    def find_answer(self, sender: Incarnation, transfer_id: str) -> ShareReply | None:
        """Return the earlier answer, if there is one."""
        return self._answers.get(sender, {}).get(_transfer_number(transfer_id))

    def is_too_old(self, sender: Incarnation, transfer_id: str) -> bool:
        """Return whether the answer to a transfer may already have been dropped."""
        return _transfer_number(transfer_id) <= self._highest_dropped.get(sender, 0)

    def store_answer(self, sender: Incarnation, reply: ShareReply) -> None:
        """Store the answer to a transfer, and drop the oldest answer if needed."""
        answers = self._answers.setdefault(sender, OrderedDict())
        answers[_transfer_number(reply.transfer_id)] = reply
        while len(answers) > MAX_STORED_ANSWERS:
            oldest = min(answers)
            del answers[oldest]
            self._highest_dropped[sender] = max(
                oldest, self._highest_dropped.get(sender, 0)
            )

    def drop_dead(self, is_dead: Callable[[Incarnation], bool]) -> None:
        """Drop the answers to dead senders, whose transfers are ignored."""
        for sender in [sender for sender in self._answers if is_dead(sender)]:
            del self._answers[sender]
            self._highest_dropped.pop(sender, None)


def _transfer_number(transfer_id: str) -> int:
    return int(transfer_id.rpartition("/")[2])
