"""Filters of the forwarding path up to the price: route, authenticate, admit."""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Failure, Result, Success

from chervilgw.core.deployment import CustomerRule
from chervilgw.core.refusals import Refusal, make_refusal
from chervilgw.core.states import RefusalReason
from chervilgw.forward.messages import Admitted, Incoming, OnRoute
from chervilgw.quota.window import WindowQuota
from chervilgw.routing.table import RouteTable, select_destination


def make_route_filter(table: RouteTable, random_value: Callable[[], float]):
    """Return the filter that finds the route and one of its services."""

    def route(message: Incoming, now_s: float) -> Result[OnRoute, Refusal]:
        rule = table.find(message.opaque.host, message.opaque.target)
        if rule is None:
            return Failure(make_refusal(RefusalReason.UNKNOWN_ROUTE, "no such route"))
        service = select_destination(rule.destinations, random_value())
        return Success(OnRoute(message.opaque, message.deployment, rule, service))

    return route


def authenticate(message: OnRoute, now_s: float) -> Result[Admitted, Refusal]:
    """Find the customer that holds the key, unless the route is open to all."""
    deployment, key = message.deployment, message.opaque.credential
    customer = None
    if deployment.customer_of_key is not None and not message.route.anonymous:
        name = deployment.customer_of_key.get(key)
        if name is None:
            reason = RefusalReason.WRONG_KEY if key else RefusalReason.NO_KEY
            return Failure(make_refusal(reason, "the key is not valid"))
        customer = deployment.customers[name]
    charge = _price(message, customer)
    admitted = Admitted(
        message.opaque, message.route, message.service, customer, charge
    )
    return Success(admitted)


def _price(message: OnRoute, customer: CustomerRule | None) -> int:
    if customer is None or not customer.counts_tokens:
        return 1
    prompt, output = message.opaque.prompt_tokens, message.opaque.output_tokens
    if prompt is None:
        return customer.default_request_tokens
    return prompt + (output or 0)


def make_quota_filter(quota: WindowQuota):
    """Return the filter that charges the customer's quota."""

    def admit(message: Admitted, now_s: float) -> Result[Admitted, Refusal]:
        if message.customer is None:
            return Success(message)
        granted = quota.reserve(message.customer, message.charge, now_s)
        return granted.map(lambda amount: message)

    return admit
