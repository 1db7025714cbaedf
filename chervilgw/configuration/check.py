"""Findings in a deployment that decodes but cannot work as it is written.

The rules see only what :class:`Deployment` holds; docs/operations.md lists what
the decoder drops.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from chervilgw.core.deployment import Deployment, EngineSpec


class FindingKind(Enum):
    """What is wrong with an entry."""

    NEVER_USED = "never_used"
    CONTRADICTION = "contradiction"


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault of a deployment; ``place`` names the entry that has it."""

    kind: FindingKind
    place: str
    text: str


Rule = Callable[[Deployment], Iterator[Finding]]


def check_deployment(deployment: Deployment) -> tuple[Finding, ...]:
    """Return the findings of all rules, in the order of :data:`RULES`.

    Examples
    --------
    >>> from chervilgw.core.deployment import CallerLimits
    >>> limits = CallerLimits(max_header_bytes=2, max_body_bytes=1)
    >>> [finding] = check_deployment(Deployment(1, (), {}, {}, None, limits))
    >>> finding.place, finding.text
    ('limits', 'max_header_bytes 2 is above max_body_bytes 1')
    """
    return tuple(finding for rule in RULES for finding in rule(deployment))


def _find_shadowed_routes(deployment: Deployment) -> Iterator[Finding]:
    # The route table keeps the last route of a host and prefix.
    last = {
        (route.host, route.path_prefix): index
        for index, route in enumerate(deployment.routes)
    }
    for index, route in enumerate(deployment.routes):
        winner = last[route.host, route.path_prefix]
        if winner != index:
            yield _never_used(
                f"routes[{index}]",
                f"route {route.name} is shadowed by routes[{winner}], which has the"
                " same host and path prefix",
            )


def _find_unmatched_prefixes(deployment: Deployment) -> Iterator[Finding]:
    # The route table looks a path up at each of its slashes.
    for index, route in enumerate(deployment.routes):
        prefix = route.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            yield _never_used(
                f"routes[{index}]",
                f"path prefix {prefix!r} of route {route.name} does not begin and end"
                " with a slash",
            )


def _find_unmatched_hosts(deployment: Deployment) -> Iterator[Finding]:
    # The route table removes the port from the Host header.
    for index, route in enumerate(deployment.routes):
        if ":" in route.host:
            yield _never_used(
                f"routes[{index}]",
                f"host {route.host!r} of route {route.name} has a port",
            )


def _find_zero_weights(deployment: Deployment) -> Iterator[Finding]:
    for index, route in enumerate(deployment.routes):
        for destination in route.destinations:
            if destination.weight == 0:
                yield _never_used(
                    f"routes[{index}]",
                    f"route {route.name} gives service {destination.service} weight 0",
                )


def _find_undefined_services(deployment: Deployment) -> Iterator[Finding]:
    for index, route in enumerate(deployment.routes):
        for destination in route.destinations:
            if destination.service not in deployment.services:
                yield _contradiction(
                    f"routes[{index}]",
                    f"route {route.name} names service {destination.service}, which is"
                    " not defined",
                )


def _find_unrouted_services(deployment: Deployment) -> Iterator[Finding]:
    routed = {
        destination.service
        for route in deployment.routes
        for destination in route.destinations
    }
    for service in deployment.services:
        if service not in routed:
            yield _never_used(f"service {service}", "no route names it")


def _find_customers_without_keys(deployment: Deployment) -> Iterator[Finding]:
    holders = set((deployment.customer_of_key or {}).values())
    for customer in deployment.customers:
        if customer not in holders:
            yield _never_used(
                f"customer {customer}",
                "has no key, or a later customer lists all of its keys",
            )


def _find_late_targets(deployment: Deployment) -> Iterator[Finding]:
    for index, route in enumerate(deployment.routes):
        if route.target_s > route.timeout_s:
            yield _contradiction(
                f"routes[{index}]",
                f"target {route.target_s:g} s of route {route.name} is above its"
                f" timeout {route.timeout_s:g} s",
            )


def _find_small_bursts(deployment: Deployment) -> Iterator[Finding]:
    # A burst of 0 is one that the configuration does not state.
    for rule in deployment.customers.values():
        largest = rule.default_request_tokens if rule.counts_tokens else 1
        if rule.rate_per_s > 0 and 0 < rule.burst < largest:
            yield _contradiction(
                f"customer {rule.customer}",
                f"burst {rule.burst:g} is below the {largest} that is charged for a"
                " request without token counts",
            )


def _find_large_models(deployment: Deployment) -> Iterator[Finding]:
    for place, engine in _engines(deployment):
        for model in engine.models.values():
            if model.weights_mb > engine.capacity_mb:
                yield _contradiction(
                    place,
                    f"model {model.name} has {model.weights_mb:g} MB, an engine"
                    f" {engine.capacity_mb:g} MB",
                )


def _find_surplus_adapters(deployment: Deployment) -> Iterator[Finding]:
    for place, engine in _engines(deployment):
        for model in engine.models.values():
            if model.adapters > engine.adapter_slots:
                yield _contradiction(
                    place,
                    f"model {model.name} has {model.adapters} adapters, an engine"
                    f" {engine.adapter_slots} adapter slots",
                )


def _find_large_header_limit(deployment: Deployment) -> Iterator[Finding]:
    limits = deployment.limits
    if limits.max_header_bytes > limits.max_body_bytes:
        yield _contradiction(
            "limits",
            f"max_header_bytes {limits.max_header_bytes} is above max_body_bytes"
            f" {limits.max_body_bytes}",
        )


RULES: tuple[Rule, ...] = (
    _find_shadowed_routes,
    _find_unmatched_prefixes,
    _find_unmatched_hosts,
    _find_zero_weights,
    _find_undefined_services,
    _find_unrouted_services,
    _find_customers_without_keys,
    _find_late_targets,
    _find_small_bursts,
    _find_large_models,
    _find_surplus_adapters,
    _find_large_header_limit,
)


def _engines(deployment: Deployment) -> Iterator[tuple[str, EngineSpec]]:
    for service in deployment.services.values():
        if service.engine is not None:
            yield f"service {service.name}", service.engine


def _never_used(place: str, text: str) -> Finding:
    return Finding(FindingKind.NEVER_USED, place, text)


def _contradiction(place: str, text: str) -> Finding:
    return Finding(FindingKind.CONTRADICTION, place, text)
