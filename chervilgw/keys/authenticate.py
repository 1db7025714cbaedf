"""Verification of callers' keys against the configuration."""

from __future__ import annotations

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from chervilgw.configuration.state import ConfigurationState
from chervilgw.configuration.values import Kind
from chervilgw.core.ids import CustomerId, KeyId
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.keys.issue import secret_matches, split_key

_ABSENT_SALT = "00" * 16
_ABSENT_DIGEST = "00" * 32


@dataclass(frozen=True, slots=True)
class KeyIdentity:
    """Who presented a key; holds nothing secret."""

    key_id: KeyId
    customer: CustomerId


def authenticate(
    state: ConfigurationState, presented: str | None
) -> Result[KeyIdentity, Refusal]:
    """Return the identity that a presented key proves.

    Parameters
    ----------
    state : ConfigurationState
        Current configuration.
    presented : str or None
        The key's text, with or without ``Bearer`` before it.

    Returns
    -------
    Result
        The identity, or a refusal. That a key was withdrawn is said only to callers
        who know its secret.

    Examples
    --------
    >>> from chervilgw.configuration import empty_state
    >>> authenticate(empty_state(), None).failure().reason
    <RefusalReason.NO_KEY: 'no_key'>
    """
    text = strip_bearer_scheme(presented)
    if not text:
        return _refuse(RefusalReason.NO_KEY, "the request has no key")
    parts = split_key(text)
    if parts is None:
        return _wrong()
    key_id, secret = parts
    item = state.items[Kind.KEY].get(key_id)
    if item is None:
        # Takes as long as a known key id, so that timing does not tell which exist.
        secret_matches(secret, _ABSENT_SALT, _ABSENT_DIGEST)
        return _wrong()
    key = item.value
    if not secret_matches(secret, key.salt, key.digest):
        return _wrong()
    if key.withdrawn:
        return _withdrawn()
    return Success(KeyIdentity(key_id, CustomerId(key.customer)))


def check_identity(
    state: ConfigurationState, key_id: KeyId, customer: CustomerId
) -> Result[None, Refusal]:
    """Check that a key still works for a customer; the sidecar's second check.

    Examples
    --------
    >>> from chervilgw.configuration import empty_state
    >>> check_identity(empty_state(), "ab12", "acme").failure().reason
    <RefusalReason.KEY_WITHDRAWN: 'key_withdrawn'>
    """
    item = state.items[Kind.KEY].get(key_id)
    if item is None or item.value.withdrawn:
        return _withdrawn()
    if item.value.customer != customer:
        return _wrong()
    return Success(None)


def strip_bearer_scheme(presented: str | None) -> str:
    """Return the key's text without the ``Bearer`` scheme.

    Examples
    --------
    >>> strip_bearer_scheme("Bearer  abc ")
    'abc'
    """
    text = (presented or "").strip()
    scheme, _, rest = text.partition(" ")
    return rest.strip() if scheme.lower() == "bearer" else text


def _refuse(reason: RefusalReason, detail: str) -> Failure:
    return Failure(make_refusal(reason, detail))


def _wrong() -> Failure:
    return _refuse(RefusalReason.WRONG_KEY, "the key is not valid")


def _withdrawn() -> Failure:
    return _refuse(RefusalReason.KEY_WITHDRAWN, "the key was withdrawn")
