"""Authentication succeeds only with the right secret of a valid key."""

import pytest

from chervilgw.configuration import Change, Kind, change_record, empty_state, fold
from chervilgw.core.states import RefusalReason
from chervilgw.keys import authenticate, check_identity, issue_key

ISSUED = issue_key()
KEY = {"customer": "acme", "salt": ISSUED.salt, "digest": ISSUED.digest}


def apply(state, kind, name, value, base=0):
    offset = state.offset + 1
    change = Change(f"c{offset}", kind, name, base, value, "ann", "", 1)
    state, outcome = fold(state, offset, change_record(change))
    assert outcome.entry.accepted, outcome.entry.why
    return state


def state_with_key(**changes):
    customer = {"rate_tokens_per_s": 1, "burst_tokens": 1}
    state = apply(empty_state(), Kind.CUSTOMER, "acme", customer)
    state = apply(state, Kind.KEY, ISSUED.key_id, KEY)
    if changes:
        state = apply(state, Kind.KEY, ISSUED.key_id, {**KEY, **changes}, 2)
    return state


@pytest.mark.parametrize(
    ("presented", "reason"),
    [
        (None, RefusalReason.NO_KEY),
        ("Bearer ", RefusalReason.NO_KEY),
        ("nonsense", RefusalReason.WRONG_KEY),
        (issue_key().text, RefusalReason.WRONG_KEY),
        (ISSUED.text[:-1] + "x", RefusalReason.WRONG_KEY),
        (ISSUED.text + "\n\n0", RefusalReason.WRONG_KEY),
        (f"cgw_{ISSUED.key_id}_{ISSUED.digest}", RefusalReason.WRONG_KEY),
    ],
    # Keys are random; workers of pytest-xdist must see the same test names.
    ids=["none", "empty", "form", "unknown", "secret", "newline", "digest"],
)
def test_wrong_keys_are_refused(presented, reason):
    """Guards against accepting a malformed or wrong key, or the stored digest."""
    assert authenticate(state_with_key(), presented).failure().reason is reason


def test_a_key_authenticates_with_and_without_scheme():
    """Guards against refusing a common form of the ``Authorization`` header."""
    state = state_with_key()
    for presented in (ISSUED.text, f"Bearer {ISSUED.text}", f"bearer {ISSUED.text}"):
        assert authenticate(state, presented).unwrap().customer == "acme"


def test_a_withdrawn_key_fails_both_checks():
    """Guards against a withdrawn key that still works at the entry or the sidecar."""
    state = state_with_key(withdrawn=True)
    for result in (
        authenticate(state, ISSUED.text),
        check_identity(state, ISSUED.key_id, "acme"),
    ):
        assert result.failure().reason is RefusalReason.KEY_WITHDRAWN


def test_the_sidecar_refuses_a_key_of_another_customer():
    """Guards against an entry that forwards a key under another customer's id."""
    result = check_identity(state_with_key(), ISSUED.key_id, "other")
    assert result.failure().reason is RefusalReason.WRONG_KEY


def test_repr_of_an_issued_key_omits_the_secret():
    """Guards against logging a secret through ``repr``."""
    assert ISSUED.text not in repr(ISSUED)
