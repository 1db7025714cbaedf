"""Processor time, memory and bytes of each part as its size grows.

Run with ``python -m benchmarks.slopes``; with names of parts only these run. Times are
processor time of this process, so that other load on the machine counts little. The
figures for relayed chunks come from ``python -m benchmarks.relay throughput``.
"""

from __future__ import annotations

import argparse
import dataclasses
import itertools
import platform
import random
import time
from collections.abc import Iterator

import msgpack
import psutil

from benchmarks import slopes_inputs as inputs
from benchmarks.slopes_graph import graph_rows
from benchmarks.slopes_inputs import Row, allocated_bytes, cpu_us
from benchmarks.slopes_memory import import_rows, link_rows
from chervilgw.codec.frames import encode, make_decoder
from chervilgw.configuration.fold import fold
from chervilgw.configuration.state import from_snapshot, to_snapshot
from chervilgw.configuration.values import Kind
from chervilgw.core.ids import (
    BudgetName,
    CustomerId,
    Incarnation,
    ModelName,
    Offset,
    RequestId,
    VmId,
    ZoneId,
)
from chervilgw.core.messages import Heartbeat
from chervilgw.placement.copies import decide_copy_changes
from chervilgw.placement.demand import DemandThresholds, make_demand_tracker
from chervilgw.quota.ledger import Quota, make_quota
from chervilgw.quota.records import Append, Granted, Send
from chervilgw.routing.choice import RouteRequest, choose
from chervilgw.routing.order import preferred_order
from chervilgw.scheduling.fair_queue import QueuedItem, QueueLimits, make_fair_queue


def heartbeat_rows() -> Iterator[Row]:
    """Cost of reports in heartbeats, each figure per report."""
    for vms in (50, 200, 1000):
        reports = inputs.make_reports(vms)
        beat = Heartbeat(1, 1, Offset(9), Offset(9), 0.1, reports)
        frame = encode(beat)
        view = inputs.make_view(vms)
        sequences = itertools.count(2)

        def merge(reports=reports, view=view, sequences=sequences):
            sequence = next(sequences)
            for report in reports:
                newer = dataclasses.replace(report, sequence=sequence)
                view.on_report(newer, float(sequence))

        yield Row("heartbeat: bytes per report", "B", vms, len(frame) / vms)
        encode_us = cpu_us(lambda beat=beat: encode(beat)) / vms
        yield Row("heartbeat: encode per report", "us", vms, encode_us)
        decode_us = cpu_us(lambda frame=frame: make_decoder().feed(frame)) / vms
        yield Row("heartbeat: decode per report", "us", vms, decode_us)
        yield Row("fleet view: merge per report", "us", vms, cpu_us(merge) / vms)
        since_us = cpu_us(lambda view=view: view.reports_since(10**9))
        yield Row("fleet view: reports_since, per call", "us", vms, since_us)
        servers_us = cpu_us(lambda view=view: view.servers(1.0))
        yield Row("fleet view: servers(), per call", "us", vms, servers_us)
        size = allocated_bytes(lambda vms=vms: inputs.make_view(vms)) / vms
        yield Row("fleet view: memory per VM", "B", vms, size)
    empty = Heartbeat(1, 1, Offset(9), Offset(9), 0.1, ())
    yield Row("heartbeat: bytes without reports", "B", 0, len(encode(empty)))
    yield Row(
        "heartbeat: encode without reports", "us", 0, cpu_us(lambda: encode(empty))
    )


def configuration_rows() -> Iterator[Row]:
    """Cost of one change, and of a snapshot."""
    for items in (1_000, 5_000, 20_000):
        state = inputs.make_state(items)
        model = inputs.model_names()[0]
        value = {"size_bytes": inputs.MODEL_BYTES}
        key = {"customer": "customer-0", "salt": "0" * 32, "digest": "0" * 64}
        records = {
            "a model": inputs.make_record(items, Kind.MODEL, model, value, 1),
            "a key": inputs.make_record(items, Kind.KEY, "keynew", key),
        }
        for name, record in records.items():
            fold_us = cpu_us(lambda s=state, n=items, r=record: fold(s, n, r))
            yield Row(f"configuration: fold, change of {name}", "us", items, fold_us)
        snapshot = to_snapshot(state)
        size = len(msgpack.packb(snapshot)) / 1000
        yield Row("configuration: snapshot size", "kB", items, size)
        make_ms = cpu_us(lambda s=state: to_snapshot(s)) / 1000
        yield Row("configuration: write snapshot", "ms", items, make_ms)
        read_ms = cpu_us(lambda s=snapshot: from_snapshot(s)) / 1000
        yield Row("configuration: read snapshot", "ms", items, read_ms)
        packed = msgpack.packb(snapshot)
        memory = allocated_bytes(lambda p=packed: from_snapshot(msgpack.unpackb(p)))
        yield Row("configuration: memory", "kB", items, memory / 1000)


def routing_rows() -> Iterator[Row]:
    """Cost of choosing a server and of the preference order."""
    for count in (50, 200, 600):
        servers = inputs.make_servers(count)
        name = next(iter(servers[0].load.resident))
        request = RouteRequest(CustomerId("c"), ZoneId("zone-0"), ModelName(name))
        choose_us = cpu_us(
            lambda r=request, s=servers: choose(r, s, {}, 0.0, random.random())
        )
        yield Row("routing: choose, per request", "us", count, choose_us)
        order_us = cpu_us(lambda n=name, s=servers: preferred_order(n, s))
        yield Row("routing: preferred order", "us", count, order_us)


def placement_rows() -> Iterator[Row]:
    """Cost of one decision of one sidecar, with all models served and after a loss."""
    for count, models in ((10, 40), (100, 200), (600, 640)):
        servers = inputs.make_servers(count, models)
        specs = inputs.make_specs(models)
        demand = make_demand_tracker(DemandThresholds(500, 100)).observe(servers, 0.0)
        for case, present in (
            ("all served", servers),
            ("a zone lost", [s for s in servers if s.zone != ZoneId("zone-5")]),
        ):
            me = present[0].vm
            decide_ms = cpu_us(
                lambda m=me, p=present, s=specs, d=demand: decide_copy_changes(
                    m, p, s, d, {}, 9.0
                )
            )
            measure = f"placement: decide, {case} (servers x models)"
            yield Row(measure, "ms", count * models, decide_ms / 1000)


class _Ledgers:
    """Ledgers joined by calls: an output is handed on within the same step."""

    def __init__(self, entries: int, customers: int):
        self.now_s, self.messages, self.granted, self.offset = 0.0, 0, 0, 0
        names = [Incarnation(VmId(f"e{number:03d}"), 1) for number in range(entries)]
        self.quotas: dict[Incarnation, Quota] = {n: make_quota(n) for n in names}
        for quota in self.quotas.values():
            quota.set_peers(names)
            for number in range(customers):
                quota.set_budget(BudgetName(f"c{number}"), 1000.0, 20_000.0, 0.0)
        self.budgets = [BudgetName(f"c{number}") for number in range(customers)]

    def step(self) -> None:
        """Let 0.1 s pass, the interval of the clock task."""
        self.now_s += 0.1
        for name, quota in self.quotas.items():
            self.perform(name, quota.tick(self.now_s))

    def perform(self, sender: Incarnation, outputs) -> None:
        waiting = [(sender, output) for output in outputs or ()]
        while waiting:
            source, output = waiting.pop()
            self.granted += isinstance(output, Granted)
            if isinstance(output, Send):
                self.messages += 1
                quota = self.quotas[output.to]
                answers = quota.on_message(source, output.message, self.now_s)
                waiting += [(output.to, answer) for answer in answers]
            elif isinstance(output, Append):
                offset, self.offset = Offset(self.offset), self.offset + 1
                for name, quota in self.quotas.items():
                    answers = quota.on_record(offset, output.record, self.now_s)
                    waiting += [(name, answer) for answer in answers]

    def request(self, source: random.Random, number: int) -> None:
        """Reserve, start and settle 100 tokens at a random entry."""
        name = source.choice(list(self.quotas))
        budget = source.choice(self.budgets)
        outputs = self.quotas[name].reserve(str(number), budget, 100.0, self.now_s)
        self.perform(name, outputs)
        for output in outputs:
            if isinstance(output, Granted):
                self.quotas[name].confirm_start(output.debit, self.now_s)
                self.quotas[name].settle(output.debit, 100.0, self.now_s)


def ledger_rows() -> Iterator[Row]:
    """Messages, time and memory of the share ledger."""
    for entries in (3, 12, 48):
        ledgers, source = _Ledgers(entries, 5), random.Random(7)
        for _ in range(100):
            ledgers.step()
        begin, messages, number = time.process_time(), ledgers.messages, 0
        # Five customers at half their rate: 25 requests of 100 tokens a second.
        for step in range(300):
            ledgers.step()
            for _ in range(2 + step % 2):
                ledgers.request(source, number)
                number += 1
        took_s = time.process_time() - begin
        sent = ledgers.messages - messages
        yield Row("shares: messages per request", "", entries, sent / number)
        per_entry_us = took_s / 300 / entries * 1e6
        yield Row("shares: time per entry per 0.1 s", "us", entries, per_entry_us)
    for customers in (5, 50, 500):
        ledgers = _Ledgers(1, customers)
        for _ in range(100):
            ledgers.step()
        step_us = cpu_us(ledgers.step)
        yield Row("shares: tick by customers", "us", customers, step_us)
        size = allocated_bytes(lambda n=customers: _holding(n)) / customers
        yield Row("shares: memory per customer", "B", customers, size)


def _holding(customers: int) -> _Ledgers:
    ledgers = _Ledgers(1, customers)
    for _ in range(100):
        ledgers.step()
    return ledgers


def queue_rows() -> Iterator[Row]:
    """Cost of a push and a pop with requests waiting of 20 customers."""
    me = Incarnation(VmId("e1"), 1)
    for waiting in (10, 100, 1_000, 10_000):
        queue = make_fair_queue(QueueLimits(10**9, 10**9))
        numbers = itertools.count()

        def push(queue=queue, numbers=numbers):
            number = next(numbers)
            customer = CustomerId(f"c{number % 20}")
            queue.push(QueuedItem(RequestId(me, number), customer, "m", 100), 0.0)

        def pair(queue=queue, push=push):
            push()
            queue.settle(queue.pop(0.0, lambda item: True), 100, 1.0)

        for _ in range(waiting):
            push()
        yield Row("fair queue: push, pop and settle", "us", waiting, cpu_us(pair))
        blocked_us = cpu_us(lambda queue=queue: queue.pop(0.0, lambda item: False))
        yield Row("fair queue: pop, nothing can run", "us", waiting, blocked_us)


PARTS = {
    "heartbeat": heartbeat_rows,
    "configuration": configuration_rows,
    "routing": routing_rows,
    "placement": placement_rows,
    "shares": ledger_rows,
    "queue": queue_rows,
    "imports": import_rows,
    "links": link_rows,
    "graph": graph_rows,
}


def print_table(rows: list[Row]) -> None:
    """Print one line per measure, with the slope between the first and last size."""
    print("| measure | unit | size: figure | growth per unit of size |")
    print("| --- | --- | --- | --- |")
    by_measure: dict[str, list[Row]] = {}
    for row in rows:
        by_measure.setdefault(row.measure, []).append(row)
    for measure, found in by_measure.items():
        figures = ", ".join(f"{row.size:,}: {row.value:,.4g}" for row in found)
        first, last = found[0], found[-1]
        growth = "" if first is last else f"{_slope(first, last):.3g}"
        print(f"| {measure} | {first.unit} | {figures} | {growth} |")


def _slope(first: Row, last: Row) -> float:
    return (last.value - first.value) / (last.size - first.size)


def main() -> None:
    """Measure all parts, or those that are named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", choices=[[], *PARTS], default=[])
    names = parser.parse_args().parts or list(PARTS)
    rows: list[Row] = []
    begin_s = time.monotonic()
    for name in names:
        rows += PARTS[name]()
    print(f"command: python -m benchmarks.slopes {' '.join(names)}")
    print(
        f"machine: {psutil.cpu_count()} cores, {platform.machine()}, Python "
        f"{platform.python_version()}, load average {psutil.getloadavg()[0]:.1f}, "
        f"{time.monotonic() - begin_s:.0f} s"
    )
    print_table(rows)


if __name__ == "__main__":
    main()
