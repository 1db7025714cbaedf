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

_DUMMY_SALT = "00" * 16
_DUMMY_DIGEST = "00" * 32


@dataclass(frozen=True, slots=True)
class KeyIdentity:
    """Key id and customer of a verified key, without the secret."""

    key_id: KeyId
    customer: CustomerId


def authenticate(
    state: ConfigurationState, presented: str | None
) -> Result[KeyIdentity, Refusal]:
    """Verify a presented key and return its identity.

    Parameters
    ----------
    state : ConfigurationState
        Current configuration.
    presented : str or None
        The key's text, with or without the ``Bearer`` scheme.

    Returns
    -------
    Result
        The identity, or a refusal. Only callers with the right secret learn that a key
        was withdrawn.

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
        return _refuse_wrong_key()
    key_id, secret = parts
    item = state.items[Kind.KEY].get(key_id)
    if item is None:
        # Take as long as for a known key id, so that timing does not reveal key ids.
        secret_matches(secret, _DUMMY_SALT, _DUMMY_DIGEST)
        return _refuse_wrong_key()
    key = item.value
    if not secret_matches(secret, key.salt, key.digest):
        return _refuse_wrong_key()
    if key.withdrawn:
        return _refuse_withdrawn_key()
    return Success(KeyIdentity(key_id, CustomerId(key.customer)))


def check_identity(
    state: ConfigurationState, key_id: KeyId, customer: CustomerId
) -> Result[None, Refusal]:
    """Check in the sidecar that a key is still valid for a customer.

    Examples
    --------
    >>> from chervilgw.configuration import empty_state
    >>> check_identity(empty_state(), "ab12", "acme").failure().reason
    <RefusalReason.KEY_WITHDRAWN: 'key_withdrawn'>
    """
    item = state.items[Kind.KEY].get(key_id)
    if item is None or item.value.withdrawn:
        return _refuse_withdrawn_key()
    if item.value.customer != customer:
        return _refuse_wrong_key()
    return Success(None)


def strip_bearer_scheme(presented: str | None) -> str:
    """Return the key's text without the ``Bearer`` scheme.

    Examples
    --------
    >>> strip_bearer_scheme("Bearer  abc ")
    'abc'
    """
    text = (presented or "").strip()
    scheme, _, credentials = text.partition(" ")
    return credentials.strip() if scheme.lower() == "bearer" else text


def _refuse(reason: RefusalReason, detail: str) -> Failure:
    return Failure(make_refusal(reason, detail))


def _refuse_wrong_key() -> Failure:
    return _refuse(RefusalReason.WRONG_KEY, "the key is not valid")


def _refuse_withdrawn_key() -> Failure:
    return _refuse(RefusalReason.KEY_WITHDRAWN, "the key was withdrawn")
