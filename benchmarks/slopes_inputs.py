"""Inputs of the slope benchmarks: fleet reports, configuration items, timing."""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from chervilgw.configuration.fold import fold
from chervilgw.configuration.records import Change, change_record
from chervilgw.configuration.state import ConfigurationState, empty_state
from chervilgw.configuration.values import Kind
from chervilgw.core.fleet import ServerView
from chervilgw.core.ids import ChangeId, Incarnation, ModelName, VmId, ZoneId
from chervilgw.core.messages import Load, VmReport
from chervilgw.core.states import BackendKind, Role, VmState
from chervilgw.membership.view import FleetView, make_fleet_view
from chervilgw.placement.copies import ModelSpec
from chervilgw.routing.order import rank

MODELS = 640
ZONES = 6
GIB = 1 << 30
MODEL_BYTES = 40 * GIB
ENGINE_BYTES = 640 * GIB
"""Eight accelerators of 80 GiB: 4,800 accelerators are 600 engines."""
COPIES_PER_ENGINE = 3


@dataclass(frozen=True, slots=True)
class Row:
    """One figure: what was measured, at which size."""

    measure: str
    unit: str
    size: int
    value: float


def cpu_us(action: Callable[[], object], budget_s: float = 0.2) -> float:
    """Return the processor time of one call, the least of batches, in microseconds.

    The least and not the mean, since other processes on a shared machine evict caches.
    """
    best, calls, spent_s = float("inf"), 1, 0.0
    while spent_s < budget_s:
        begin_s = time.process_time()
        for _ in range(calls):
            action()
        took_s = time.process_time() - begin_s
        spent_s += max(took_s, 1e-4)
        if took_s >= 0.01:
            best = min(best, took_s / calls)
        else:
            calls *= 4
    return best * 1e6


def allocated_bytes(
    make: Callable[[], object], release: Callable[[object], object] = id
) -> int:
    """Return the bytes that Python allocates for what a function returns."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    release(kept)
    return size


def model_names(count: int = MODELS) -> list[ModelName]:
    """Return model names of a usual length."""
    return [ModelName(f"organisation/model-{number:03d}") for number in range(count)]


def make_load(source: random.Random, models: list[ModelName]) -> Load:
    """Return a load report with three models, two adapters and two queues."""
    resident = source.sample(models, min(COPIES_PER_ENGINE, len(models)))
    adapters = [f"adapter-{source.randrange(1000)}" for _ in range(2)]
    return Load(
        BackendKind.ENGINE,
        ENGINE_BYTES,
        ENGINE_BYTES - len(resident) * MODEL_BYTES,
        source.randrange(64),
        source.randrange(20),
        {name: "loaded" for name in [*resident, *adapters]},
        {name: source.randrange(20_000) for name in resident[:2]},
    )


def make_reports(vms: int, sequence: int = 1) -> tuple[VmReport, ...]:
    """Return reports of VMs, of which 390 in 990 are entries."""
    source, models, reports = random.Random(sequence), model_names(), []
    for number in range(vms):
        is_entry = number * 390 // 990 != (number + 1) * 390 // 990
        role = Role.ENTRY if is_entry else Role.SIDECAR
        reports.append(
            VmReport(
                Incarnation(VmId(f"{role.value}-{number:04d}"), 1_790_000_000_000),
                role,
                ZoneId(f"region-{number % 2}-zone-{number % ZONES}"),
                f"10.{number // 256}.{number % 256}.7:7400",
                VmState.LIVE,
                sequence,
                None if is_entry else make_load(source, models),
            )
        )
    return tuple(reports)


def make_view(vms: int) -> FleetView:
    """Return a fleet view that knows the reports."""
    view = make_fleet_view(Incarnation(VmId("me"), 1))
    for report in make_reports(vms):
        view.on_report(report, 0.0)
    return view


def make_servers(count: int, models: int = MODELS) -> tuple[ServerView, ...]:
    """Return engines on which every model has two copies of three where they fit.

    The holders are the first in rank, as the placement leaves them.
    """
    vms = [VmId(f"sidecar-{number:04d}") for number in range(count)]
    resident: dict[VmId, dict[str, str]] = {vm: {} for vm in vms}
    room = ENGINE_BYTES // MODEL_BYTES
    for name in model_names(models):
        wanted = min(3, max(1, count * room // models // 2))
        ranked = sorted(vms, key=lambda vm, name=name: rank(name, vm))
        for vm in [vm for vm in ranked if len(resident[vm]) < room][:wanted]:
            resident[vm][name] = "loaded"
    return tuple(
        ServerView(
            Incarnation(vm, 1),
            ZoneId(f"zone-{number % ZONES}"),
            f"10.0.{number // 256}.{number % 256}:7400",
            VmState.LIVE,
            Load(
                BackendKind.ENGINE,
                ENGINE_BYTES,
                ENGINE_BYTES - len(resident[vm]) * MODEL_BYTES,
                number % 40,
                0,
                resident[vm],
            ),
            0.2,
            True,
        )
        for number, vm in enumerate(vms)
    )


def make_specs(count: int) -> tuple[ModelSpec, ...]:
    """Return the configured models in the placement's form."""
    return tuple(ModelSpec(name, "1", MODEL_BYTES) for name in model_names(count))


def make_changes(count: int) -> Iterator[tuple[Kind, str, dict]]:
    """Yield items: 640 models, 1 customer in 20, adapters, and keys for the rest."""
    customers = max(1, count // 20)
    for name in model_names():
        yield Kind.MODEL, name, {"size_bytes": MODEL_BYTES}
    for number in range(customers):
        limits = {"rate_tokens_per_s": 1000.0, "burst_tokens": 20_000}
        yield Kind.CUSTOMER, f"customer-{number}", limits
    for number in range(count - MODELS - customers):
        if number % 10 == 0:
            value = {"base_model": model_names()[0], "size_bytes": GIB}
            yield Kind.ADAPTER, f"adapter-{number}", value
        else:
            value = {
                "customer": f"customer-{number % customers}",
                "salt": f"{number:032x}",
                "digest": f"{number:064x}",
            }
            yield Kind.KEY, f"key{number:06d}", value


def make_record(offset: int, kind: Kind, name: str, value: dict, base: int = 0) -> dict:
    """Return the log record of one change."""
    return change_record(
        Change(
            ChangeId(f"change-{offset}"), kind, name, base, value, "ann", "load", offset
        )
    )


def make_state(items: int) -> ConfigurationState:
    """Return the configuration after one change per item."""
    state = empty_state()
    for offset, (kind, name, value) in enumerate(make_changes(items)):
        state, outcome = fold(state, offset, make_record(offset, kind, name, value))
        assert outcome.entry is not None and outcome.entry.accepted, outcome
    return state
