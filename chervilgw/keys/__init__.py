"""Issue, digests and verification of API keys."""

from chervilgw.keys.authenticate import KeyIdentity, authenticate, check_identity
from chervilgw.keys.issue import IssuedKey, digest_secret, issue_key, split_key
from chervilgw.keys.operators import (
    OperatorKey,
    authenticate_operator,
    issue_operator_key,
)

__all__ = [
    "IssuedKey",
    "KeyIdentity",
    "OperatorKey",
    "authenticate",
    "authenticate_operator",
    "check_identity",
    "digest_secret",
    "issue_key",
    "issue_operator_key",
    "split_key",
]
