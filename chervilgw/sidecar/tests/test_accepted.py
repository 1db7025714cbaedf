"""Tests of tracking accepted engine orders."""

import pytest

from chervilgw.placement.orders import OrderAnswer, OrderProgress
from chervilgw.sidecar.accepted import ORDER_LOST_TIMEOUT_S, make_accepted_orders

PENDING = {"1-1"}
LATE_S = ORDER_LOST_TIMEOUT_S + 0.1


@pytest.fixture
def accepted():
    orders = make_accepted_orders()
    orders.add("1-1", now_s=0.0)
    return orders


@pytest.mark.parametrize("seen", [OrderProgress.ACCEPTED, OrderProgress.RUNNING])
@pytest.mark.parametrize("end", [OrderProgress.FAILED, OrderProgress.REFUSED])
def test_order_that_was_listed_may_still_fail(accepted, seen, end):
    """Guards against memory that stays reserved after the store refused a load."""
    assert accepted.observe({"1-1": seen}, PENDING, 0.1) == ()
    assert accepted.observe({"1-1": seen}, PENDING, 9.0) == ()
    ended = accepted.observe({"1-1": end}, PENDING, 9.1)
    assert ended == (("1-1", OrderAnswer.REFUSED),)
    assert accepted.observe({"1-1": end}, PENDING, 20.0) == ()


def test_order_that_is_never_listed_is_lost(accepted):
    """Guards against endless waiting for an order that the engine dropped."""
    assert accepted.observe({}, PENDING, ORDER_LOST_TIMEOUT_S) == ()
    assert accepted.observe({}, PENDING, LATE_S) == (("1-1", OrderAnswer.LOST),)


def test_order_that_is_done_without_effect_has_failed(accepted):
    """Guards against a duplicate load: one order is done at once, the other fails."""
    done = {"1-1": OrderProgress.DONE}
    assert accepted.observe(done, PENDING, 0.1) == ()
    assert accepted.observe(done, PENDING, LATE_S) == (("1-1", OrderAnswer.REFUSED),)


def test_order_whose_effect_is_known_is_removed(accepted):
    """Guards against a refusal of an order whose effect was already reported."""
    assert accepted.observe({"1-1": OrderProgress.FAILED}, frozenset(), 0.1) == ()
    assert accepted.observe({"1-1": OrderProgress.FAILED}, PENDING, 0.2) == ()
