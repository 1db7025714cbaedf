"""Validation of changes, and the fold with valid and malformed records."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilgw.configuration import (
    Change,
    Kind,
    change_record,
    empty_state,
    fold,
    from_snapshot,
    to_snapshot,
)
from chervilgw.configuration.lookups import (
    effective_value,
    may_use_model,
    permitted_models,
    resolve_model,
    service_route,
)
from chervilgw.configuration.values import Service

CUSTOMER = {"rate_tokens_per_s": 5, "burst_tokens": 10}
KEY = {"customer": "acme", "salt": "00" * 16, "digest": "0" * 64}
EXCEPTION = {
    "scope": "customer",
    "name": "acme",
    "field": "max_tokens_limit",
    "value": 99,
    "reason": "pilot",
}
EXCEPTION_NAME = "customer/acme/max_tokens_limit"
SERVICE = {"routes": [{"method": "GET", "path_prefix": "/pay", "open": True}]}
BASE = [
    (Kind.CUSTOMER, "acme", CUSTOMER),
    (Kind.KEY, "ab12", KEY),
    (Kind.MODEL, "m", {"size_bytes": 5}),
    (Kind.ADAPTER, "a", {"base_model": "m", "size_bytes": 1}),
    (Kind.SERVICE, "pay", SERVICE),
    (Kind.CUSTOMER, "small", {**CUSTOMER, "models": ["a"], "services": ["pay"]}),
    (Kind.EXCEPTION, EXCEPTION_NAME, EXCEPTION),
]


def step(state, kind, name, value, base=None):
    offset = state.offset + 1
    item = state.items[kind].get(name)
    version = (item.version if item else 0) if base is None else base
    change = Change(f"c{offset}", kind, name, version, value, "ann", "r", 1)
    return fold(state, offset, change_record(change))


def base_state():
    state = empty_state()
    for item in BASE:
        state, outcome = step(state, *item)
        assert outcome.entry.accepted, outcome.entry.why
    return state


@pytest.mark.parametrize(
    ("kind", "name", "value", "why"),
    [
        (Kind.CUSTOMER, "x", {**CUSTOMER, "burst_tokens": 0}, "burst_tokens"),
        (Kind.CUSTOMER, "x", {**CUSTOMER, "burst_tokens": 0}, "at least 1"),
        (Kind.CUSTOMER, "x", {**CUSTOMER, "burst_tokens": "5"}, "burst_tokens"),
        (Kind.CUSTOMER, "x", {**CUSTOMER, "wait": 1}, "wait"),
        (Kind.CUSTOMER, "x", {**CUSTOMER, "weight": float("nan")}, "weight"),
        (Kind.CUSTOMER, "x", {**CUSTOMER, "models": ["none"]}, "models"),
        (Kind.CUSTOMER, "x y", CUSTOMER, "name"),
        (Kind.CUSTOMER, "x\n", CUSTOMER, "name"),
        (Kind.CUSTOMER, "acme", None, "used by key 'ab12'"),
        (Kind.CUSTOMER, "none", None, "no customer"),
        (Kind.KEY, "ab13", {**KEY, "customer": "none"}, "customer"),
        (Kind.KEY, "ab13", {**KEY, "salt": "000"}, "salt"),
        (Kind.KEY, "a_b", KEY, "name"),
        (Kind.KEY, "ab12", {**KEY, "digest": "1" * 64}, "digest"),
        (Kind.MODEL, "m2", {"size_bytes": -1}, "size_bytes"),
        (Kind.MODEL, "a", {"size_bytes": 1}, "adapter is named"),
        (Kind.MODEL, "m", None, "used by adapter 'a'"),
        (Kind.ADAPTER, "a2", {"base_model": "a", "size_bytes": 1}, "base_model"),
        (Kind.ADAPTER, "a", None, "used by customer 'small'"),
        (Kind.SERVICE, "pay", None, "used by customer 'small'"),
        (Kind.DEFAULTS, "other", {}, "name"),
        (Kind.DEFAULTS, "fleet", {"max_tokens_default": 5000}, "max_tokens_default"),
        (Kind.EXCEPTION, EXCEPTION_NAME, {**EXCEPTION, "reason": ""}, "reason"),
        (Kind.EXCEPTION, EXCEPTION_NAME, {**EXCEPTION, "value": 0}, "at least 1"),
        (Kind.EXCEPTION, "x", EXCEPTION, "name: must be"),
        (Kind.EXCEPTION, "x", {**EXCEPTION, "field": "store_loads_per_s"}, "name"),
        (Kind.BLOCK_LIFT, "d", {"digest": "e"}, "name"),
    ],
)
def test_invalid_changes_are_rejected_with_the_field_name(kind, name, value, why):
    """Guards against values out of range and references to items that do not exist."""
    before = base_state()
    state, outcome = step(before, kind, name, value)
    assert not outcome.entry.accepted
    assert why in outcome.entry.why
    assert state.items == before.items


def test_a_withdrawn_key_stays_withdrawn():
    """Guards against a later change that restores a withdrawn key."""
    state, _ = step(base_state(), Kind.KEY, "ab12", {**KEY, "withdrawn": True})
    state, outcome = step(state, Kind.KEY, "ab12", KEY)
    assert not outcome.entry.accepted
    assert state.items[Kind.KEY]["ab12"].value.withdrawn


def test_a_change_based_on_a_deleted_item_is_a_conflict():
    """Guards against an old change that applies to a new item of the same name."""
    state, _ = step(empty_state(), Kind.CUSTOMER, "x", CUSTOMER)
    version = state.items[Kind.CUSTOMER]["x"].version
    state, _ = step(state, Kind.CUSTOMER, "x", None)
    state, _ = step(state, Kind.CUSTOMER, "x", CUSTOMER)
    _, outcome = step(state, Kind.CUSTOMER, "x", CUSTOMER, version)
    assert "conflict" in outcome.entry.why


def test_lookups_follow_lists_exceptions_and_routes():
    """Guards against access to models and paths that a customer's lists exclude."""
    state = base_state()
    assert permitted_models(state, "acme") == ("a", "m")
    assert permitted_models(state, "small") == ("a",)
    assert not may_use_model(state, "small", "m")
    assert resolve_model(state, "a").name == "m"
    assert effective_value(state, "max_tokens_limit", customer="acme") == 99
    assert effective_value(state, "max_tokens_limit", customer="small") == 4096
    service = Service.model_validate(SERVICE)
    for path in ("/payroll", "/pay/../admin", "/pay/%2e%2e/admin"):
        assert service_route(service, "GET", path) is None
    assert service_route(service, "GET", "/pay/1?x=..").open
    assert service_route(service, "POST", "/pay/1") is None


def test_restoring_snapshots_keeps_state_and_history_limits():
    """Guards against replicas that drop change ids at different times."""
    state = empty_state()
    restored = state
    for number in range(700):
        name = f"d{number}"
        state, _ = step(state, Kind.BLOCK_LIFT, name, {"digest": name})
        restored, _ = step(restored, Kind.BLOCK_LIFT, name, {"digest": name})
        if number % 97 == 0:
            restored = from_snapshot(to_snapshot(restored))
    assert restored == state
    assert len(state.audit) <= 9 * 64
    assert len(state.items[Kind.BLOCK_LIFT]) == 256


SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9)
NESTED = st.recursive(SCALARS, lambda e: st.lists(e) | st.dictionaries(st.text(), e))
FIELDS = list(change_record(Change("c", Kind.KEY, "n", 0, KEY, "o", "r", 1)))


@given(
    st.dictionaries(st.sampled_from(FIELDS), NESTED),
    st.sampled_from([*Kind]),
    st.dictionaries(st.sampled_from(["customer", "models", "field", "scope"]), NESTED),
)
def test_no_record_breaks_the_fold(broken, kind, value):
    """Guards against one malformed record that stops every process."""
    good = change_record(Change("c", kind, "n", 0, value, "o", "r", 1))
    for record in (broken, {**good, **broken}, good, None, [], {"type": "snapshot"}):
        state, _ = fold(base_state(), 50, record)
        assert state.offset == 50
