"""Filter: replace the key by the customer's identity."""

from __future__ import annotations

from returns.result import Result, Success

from chervilgw.core.refusals import Refusal
from chervilgw.entry.messages import Accepted, Authenticated, ServiceTarget
from chervilgw.keys.authenticate import authenticate as check_key


def authenticate(message: Accepted, now_s: float) -> Result[Authenticated, Refusal]:
    """Return the request with its customer's identity, or a refusal.

    An open route needs no key and ignores one that is sent.

    Parameters
    ----------
    message : Accepted
        Request with its target.
    now_s : float
        Present time.

    Returns
    -------
    Result of Authenticated or Refusal
    """
    http, state, target = message.http, message.state, message.target
    if isinstance(target, ServiceTarget) and target.route.open:
        return Success(Authenticated(http, state, target, None))
    return check_key(state, message.key_text).map(
        lambda identity: Authenticated(http, state, target, identity)
    )
