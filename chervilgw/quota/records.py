"""Records of the log stream ``shares`` and outputs of the ledger."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from chervilgw.core.ids import BudgetName, Incarnation, Offset, parse_incarnation
from chervilgw.core.messages import Message
from chervilgw.core.refusals import Refusal
from chervilgw.quota.bucket import DebitId
from chervilgw.quota.errors import QuotaError


@dataclass(frozen=True, slots=True)
class Join:
    """Makes an entry a member, which may hold units."""

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Dead:
    """Declares an entry dead.

    ``handed_over`` is True if it transferred all its units before it stopped, so that
    no collection is needed.
    """

    incarnation: Incarnation
    handed_over: bool = False


@dataclass(frozen=True, slots=True)
class Collect:
    """Starts a collection: each member reports its units to the claimant.

    ``members`` and ``dead`` are the claimant's fold up to ``as_of``. A process whose
    log starts after the members' join records gets the members from them.
    """

    collect_id: str
    claimant: Incarnation
    dead: tuple[Incarnation, ...]
    members: tuple[Incarnation, ...]
    as_of: Offset


Record = Join | Dead | Collect


def record_to_mapping(record: Record) -> dict[str, Any]:
    """Return the form of a record that is written to the log.

    Examples
    --------
    >>> from chervilgw.core.ids import VmId
    >>> record_to_mapping(Join(Incarnation(VmId("e1"), 5)))
    {'kind': 'join', 'incarnation': 'e1/5'}
    """
    if isinstance(record, Join):
        return {"kind": "join", "incarnation": str(record.incarnation)}
    if isinstance(record, Dead):
        return {
            "kind": "dead",
            "incarnation": str(record.incarnation),
            "handed_over": record.handed_over,
        }
    return {
        "kind": "collect",
        "collect_id": record.collect_id,
        "claimant": str(record.claimant),
        "dead": [str(incarnation) for incarnation in record.dead],
        "members": [str(incarnation) for incarnation in record.members],
        "as_of": record.as_of,
    }


def record_from_mapping(mapping: Mapping[str, Any]) -> Record:
    """Return the record for its form in the log.

    Raises
    ------
    QuotaError
        If the mapping is not a record of this stream.

    Examples
    --------
    >>> record_from_mapping({"kind": "dead", "incarnation": "e1/5"}).handed_over
    False
    """
    try:
        kind = mapping["kind"]
        if kind == "join":
            return Join(parse_incarnation(mapping["incarnation"]))
        if kind == "dead":
            handed_over = bool(mapping.get("handed_over", False))
            return Dead(parse_incarnation(mapping["incarnation"]), handed_over)
        if kind == "collect":
            return Collect(
                collect_id=str(mapping["collect_id"]),
                claimant=parse_incarnation(mapping["claimant"]),
                dead=tuple(
                    parse_incarnation(incarnation) for incarnation in mapping["dead"]
                ),
                members=tuple(
                    parse_incarnation(incarnation) for incarnation in mapping["members"]
                ),
                as_of=Offset(int(mapping["as_of"])),
            )
    except (KeyError, TypeError, ValueError) as error:
        raise QuotaError(f"malformed record of stream shares: {error}") from error
    raise QuotaError(f"unknown kind of record in stream shares: {kind!r}")


@dataclass(frozen=True, slots=True)
class Debit:
    """Handle of a granted reservation.

    ``holding_number`` differs between the holdings of a budget that was removed and
    configured again, so that a late call for an old debit does not end a new one.
    """

    budget: BudgetName
    holding_number: int
    debit_id: DebitId


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a process."""

    to: Incarnation
    message: Message


@dataclass(frozen=True, slots=True)
class Append:
    """Append a record to the stream; repeated until the ledger reads it back."""

    record: Record


@dataclass(frozen=True, slots=True)
class UnitsChanged:
    """The units that this entry holds of a budget have changed."""

    budget: BudgetName
    units: int


@dataclass(frozen=True, slots=True)
class Granted:
    """A reservation is debited."""

    token: str
    debit: Debit


@dataclass(frozen=True, slots=True)
class Denied:
    """A reservation is refused; nothing is debited."""

    token: str
    refusal: Refusal


Output = Send | Append | UnitsChanged | Granted | Denied
