"""Operator keys, whose digests are in the settings."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.keys.authenticate import strip_bearer_scheme
from chervilgw.keys.issue import IssuedKey, issue_key, secret_matches, split_key


@dataclass(frozen=True, slots=True)
class OperatorKey:
    """An operator's name with the salted digest of the key's secret."""

    name: str
    salt: str
    digest: str


def issue_operator_key(name: str) -> tuple[OperatorKey, IssuedKey]:
    """Return a new operator key: its entry for the settings, and the issued key."""
    issued = issue_key()
    return OperatorKey(name, issued.salt, issued.digest), issued


def authenticate_operator(
    operators: Iterable[OperatorKey], presented: str | None
) -> Result[str, Refusal]:
    """Return the name of the operator whose key was presented.

    Compares the digests of all operators, so that timing does not reveal the match.

    Examples
    --------
    >>> operator, issued = issue_operator_key("ann")
    >>> authenticate_operator([operator], issued.text)
    <Success: ann>
    >>> authenticate_operator([operator], issue_key().text).failure().reason
    <RefusalReason.WRONG_KEY: 'wrong_key'>
    """
    text = strip_bearer_scheme(presented)
    if not text:
        return Failure(make_refusal(RefusalReason.NO_KEY, "the request has no key"))
    parts = split_key(text)
    names = [
        operator.name
        for operator in operators
        if parts and secret_matches(parts[1], operator.salt, operator.digest)
    ]
    if names:
        return Success(names[0])
    return Failure(make_refusal(RefusalReason.WRONG_KEY, "the key is not valid"))
