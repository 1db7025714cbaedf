"""Starts the processes of a local fleet, configures it, and can break its parts."""

from __future__ import annotations

import json
import os
import secrets
import tempfile
import time
from contextlib import contextmanager
from dataclasses import asdict, dataclass, field
from pathlib import Path
from signal import SIGTERM

import yaml

from chervilgw.keys.operators import issue_operator_key
from chervilgw.runtime.app import HANDLER_FAILED
from fleet.client import call
from fleet.interrupts import interrupts_held
from fleet.plan import FleetPlan
from fleet.process import Process, free_port, python_command

POLL_S = 0.05
BOUND_S = 60.0
DESCRIPTION = "fleet.json"


class FleetError(Exception):
    """The fleet could not be brought into the wanted state."""


@dataclass
class Vm:
    """A VM of the fleet: one daemon process, and the backend beside a sidecar."""

    name: str
    role: str
    zone: str
    settings_path: Path
    settings: dict = field(default_factory=dict)
    daemon: Process | None = None
    backend: Process | None = None
    backend_command: list[str] = field(default_factory=list)
    cuts: dict[str, Process] = field(default_factory=dict)


class Fleet:
    """A running local fleet; see :func:`start_fleet`."""

    def __init__(self, plan: FleetPlan, folder: Path):
        self.plan = plan
        self.folder = folder
        self.vms: dict[str, Vm] = {}
        self.stand_ins: dict[str, Process] = {}
        self.keys: dict[str, str] = {}
        self.operator_settings: list[dict] = []
        self.operator_key = self._add_operator("launcher")
        self.second_operator_key = self._add_operator("colleague")
        self.secret = secrets.token_hex(16)

    def _add_operator(self, name: str) -> str:
        operator, issued = issue_operator_key(name)
        self.operator_settings.append(asdict(operator))
        return issued.text

    # Starting.

    def start(self) -> None:
        """Start everything and configure customers, models and services."""
        (self.folder / "logs").mkdir(parents=True, exist_ok=True)
        store_options = {
            "loads_per_s": self.plan.store_loads_per_s,
            "at_once": self.plan.store_loads_at_once,
        }
        self._launch_stand_in("log", **self.plan.log_options)
        self._launch_stand_in("store", **store_options)
        self._launch_stand_in("vmlist")
        for process in self.stand_ins.values():
            process.await_ready()
        for index in range(self.plan.engines):
            self._launch_engine(f"engine-{index + 1}", self.plan.zone(index), {})
        for index in range(self.plan.services):
            self._launch_service(f"casework-{index + 1}", self.plan.zone(index))
        for index in range(self.plan.entries):
            self._launch_entry(f"entry-{index + 1}", self.plan.zone(index))
        self._await_vms(list(self.vms))
        self.wait_ready()
        self.configure()
        self.write_description()

    def _launch_stand_in(self, name: str, **options) -> None:
        options = {"listen": "127.0.0.1:0", **options}
        command = python_command(f"standins.{name}", **options)
        # Recorded before the launch, so that an interrupted start can be cleaned up.
        process = self.stand_ins[name] = self._process(name, command)
        process.launch()

    def _process(self, name: str, command: list[str]) -> Process:
        return Process(name, command, self.folder / "logs" / f"{name}.log")

    def add_engine(self, name: str, zone: str, **options) -> Vm:
        """Start a VM with a model engine and its sidecar."""
        self._launch_engine(name, zone, options)
        return self._await_vms([name])

    def add_service(self, name: str, zone: str) -> Vm:
        """Start a VM with a plain service and its sidecar."""
        self._launch_service(name, zone)
        return self._await_vms([name])

    def add_entry(self, name: str, zone: str) -> Vm:
        """Start an entry VM."""
        self._launch_entry(name, zone)
        return self._await_vms([name])

    def _await_vms(self, names: list[str]) -> Vm:
        """Wait for launched VMs: first for their backends, then for their daemons."""
        for name in names:
            vm = self.vms[name]
            if vm.backend is not None:
                vm.backend.await_ready()
                vm.settings["backend_address"] = vm.backend.address
            self._start_cuts(vm)
            self._write_settings(vm)
            vm.daemon = self._daemon(vm)
            vm.daemon.launch()
        for name in names:
            self.vms[name].daemon.await_ready()
            self.list_vm(name, "live")
        return self.vms[names[-1]]

    def _start_cuts(self, vm: Vm) -> None:
        """Put forwarders before the VM's peer address, backend and log if planned."""
        if vm.name in self.plan.cut_log:
            self._start_cut(vm, "log", self.stand_ins["log"].address)
        if vm.name in self.plan.cut_backends:
            cut = self._start_cut(vm, "backend", vm.backend.address)
            vm.settings["backend_address"] = cut
        if vm.name in self.plan.cut_peers:
            # The forwarder needs the port before the daemon listens on it.
            listen = f"127.0.0.1:{free_port()}"
            cut = self._start_cut(vm, "peer", listen)
            vm.settings.update(peer_listen=listen, peer_advertise=cut)

    def _start_cut(self, vm: Vm, part: str, target: str) -> str:
        command = python_command("standins.cut", target=target)
        cut = vm.cuts[part] = self._process(f"{vm.name}-{part}-cut", command).start()
        return cut.address

    def _launch_engine(self, name: str, zone: str, options: dict) -> None:
        options = {
            "listen": "127.0.0.1:0",
            "store_address": self.stand_ins["store"].address,
            **self.plan.engine_options,
            **options,
        }
        if not self.plan.fenced:
            options["no_fenced"] = True
        settings = {
            "backend": "engine",
            "fenced": self.plan.fenced,
            "order_settle_s": self.plan.settle_s,
            "max_running": self.plan.max_running,
        }
        command = python_command("standins.engine", **options)
        self._launch_backend(name, zone, command, settings)

    def _launch_service(self, name: str, zone: str) -> None:
        options = {"listen": "127.0.0.1:0", **self.plan.service_options}
        command = python_command("standins.service", **options)
        settings = {"backend": "service", "services": ["casework"]}
        self._launch_backend(name, zone, command, settings)

    def _launch_backend(self, name, zone, command, settings) -> None:
        path = self.folder / f"{name}.yaml"
        vm = self.vms[name] = Vm(name, "sidecar", zone, path, settings)
        vm.backend_command = command
        vm.backend = self._process(f"{name}-backend", command)
        vm.backend.launch()

    def _launch_entry(self, name: str, zone: str) -> None:
        settings = {
            "http_listen": "127.0.0.1:0",
            "operators": self.operator_settings,
            "notice_s": self.plan.notice_s,
        }
        path = self.folder / f"{name}.yaml"
        self.vms[name] = Vm(name, "entry", zone, path, settings)

    def set_cut(self, vm: str, part: str, **faults) -> None:
        """Set the faults of one of a VM's forwarders.

        ``part`` is ``peer``, ``backend`` or ``log``. Without faults the connections
        work again.
        """
        control = self.vms[vm].cuts[part].addresses["control"]
        call(control, "PUT", "/faults", faults)

    def set_faults(self, stand_in: str, **faults) -> None:
        """Set the faults of the log, the store, the list or a VM's backend."""
        vm = self.vms.get(stand_in)
        process = self.stand_ins[stand_in] if vm is None else vm.backend
        call(process.address, "PUT", "/faults", faults)

    def _write_settings(self, vm: Vm) -> None:
        log = vm.cuts["log"] if "log" in vm.cuts else self.stand_ins["log"]
        common = {
            "vm": vm.name,
            "zone": vm.zone,
            "peer_listen": "127.0.0.1:0",
            "fleet_secret": self.secret,
            "platform": {
                "log": log.address,
                "store": self.stand_ins["store"].address,
                "list": self.stand_ins["vmlist"].address,
            },
        }
        if self.plan.statsd is not None:
            common["statsd"] = self.plan.statsd
        vm.settings_path.write_text(yaml.safe_dump({**common, **vm.settings}))

    def _daemon(self, vm: Vm) -> Process:
        command = python_command("chervilgw.daemon", settings=vm.settings_path)
        return self._process(vm.name, command)

    def start_daemon(self, name: str) -> None:
        """Start the daemon of a VM again and list the VM."""
        vm = self.vms[name]
        vm.daemon = self._daemon(vm)
        vm.daemon.start()
        self.list_vm(name, "live")

    def start_backend(self, name: str) -> None:
        """Start the engine or service of a VM again, at its former address."""
        vm = self.vms[name]
        listen = f"--listen={vm.backend.address}"
        command = [
            listen if option.startswith("--listen=") else option
            for option in vm.backend_command
        ]
        vm.backend = self._process(f"{name}-backend", command)
        vm.backend.start()

    # The platform's list.

    def list_vm(self, name: str, state: str) -> None:
        """Set the state of a VM in the platform's list."""
        vm = self.vms[name]
        body = {
            "role": vm.role,
            "zone": vm.zone,
            "address": vm.daemon.addresses["peer"],
            "state": state,
        }
        call(self.stand_ins["vmlist"].address, "PUT", f"/vms/{name}", body)

    def unlist_vm(self, name: str) -> None:
        """Remove a VM from the platform's list."""
        call(self.stand_ins["vmlist"].address, "DELETE", f"/vms/{name}")

    # Waiting.

    def wait_for(self, condition, what: str, bound_s: float = BOUND_S) -> None:
        """Wait until a condition holds."""
        deadline_s = time.monotonic() + bound_s
        while not condition():
            if time.monotonic() > deadline_s:
                raise FleetError(f"{what}: not so after {bound_s} s; see {self.folder}")
            time.sleep(POLL_S)

    def wait_ready(self) -> None:
        """Wait until all entries are ready and connected to all servers."""
        servers = {name for name, vm in self.vms.items() if vm.role == "sidecar"}
        for address in self.entry_addresses():
            self.wait_for(
                lambda address=address: self._connected(address) >= servers,
                f"{address} connected to {sorted(servers)}",
            )

    def _connected(self, address: str) -> set[str]:
        try:
            if call(address, "GET", "/readyz").status != 200:
                return set()
        except OSError:
            return set()
        fleet = self.admin("GET", "fleet", address=address).json()
        return {server["vm"] for server in fleet["servers"] if server["connected"]}

    def wait_loaded(self, names=None, bound_s: float = BOUND_S) -> None:
        """Wait until each model has a loaded copy on a live server."""
        wanted = set(names or (model.name for model in self.plan.models))
        self.wait_for(
            lambda: wanted <= self.loaded(), f"{sorted(wanted)} loaded", bound_s
        )

    def loaded(self) -> set[str]:
        """Return the names of models and adapters that a live server has loaded."""
        fleet = self.admin("GET", "fleet").json()
        return {
            name
            for server in fleet["servers"]
            if server["state"] == "live"
            for name, state in server["resident"].items()
            if state == "loaded"
        }

    # Configuration.

    def entry_addresses(self) -> list[str]:
        """Return the callers' addresses of all running entries."""
        return [
            vm.daemon.addresses["http"]
            for vm in self.vms.values()
            if vm.role == "entry" and vm.daemon.running
        ]

    def admin(self, method: str, path: str, body=None, address=None, key=None):
        """Send a request to the operators' interface and return its answer."""
        address = address or self.entry_addresses()[0]
        key = key or self.operator_key
        return call(address, method, f"/admin/v1/{path}", body, key)

    def set_item(self, path: str, value: dict, reason: str = "set up") -> None:
        """Create or replace a configuration item and check that it was accepted."""
        body = {"value": value, "reason": reason}
        answer = self.admin("PUT", path, body)
        deadline_s = time.monotonic() + BOUND_S
        while answer.status == 503 and time.monotonic() < deadline_s:
            # A process that has just started has not read the log yet.
            time.sleep(POLL_S)
            answer = self.admin("PUT", path, body)
        if answer.status not in (200, 201):
            raise FleetError(f"{path}: {answer.status} {answer.body.decode()}")

    def configure(self) -> None:
        """Create the customers, keys, models, adapters and services of the plan."""
        defaults = {
            "store_loads_per_s": self.plan.store_loads_per_s,
            "store_loads_at_once": self.plan.store_loads_at_once,
        }
        self.set_item("defaults", defaults)
        for customer in self.plan.customers:
            value = {
                "rate_tokens_per_s": customer.rate_tokens_per_s,
                "burst_tokens": customer.burst_tokens,
                "weight": customer.weight,
            }
            self.set_item(f"customers/{customer.name}", value)
            self.keys[customer.name] = self.issue_key(customer.name)[1]
        for model in self.plan.models:
            value = {"size_bytes": model.size_bytes, "min_copies": model.min_copies}
            self.set_item(f"models/{model.name}", value)
        for name, base_model in self.plan.adapters:
            value = {"base_model": base_model, "size_bytes": 200_000_000}
            self.set_item(f"adapters/{name}", value)
        self.set_item("services/casework", {"routes": CASEWORK_ROUTES})

    def issue_key(self, customer: str) -> tuple[str, str]:
        """Issue a key; return its id and the key."""
        body = {"label": "launcher", "reason": "set up"}
        answer = self.admin("POST", f"customers/{customer}/keys", body)
        if answer.status not in (200, 201):
            raise FleetError(f"key of {customer}: {answer.body.decode()}")
        return answer.json()["key_id"], answer.json()["key"]

    def write_description(self) -> Path:
        """Write ``fleet.json``, which tells other tools how to reach the fleet."""
        processes = [
            {
                "role": role,
                "vm": name,
                "zone": zone,
                "pid": process.pid,
                "address": next(iter(addresses.values())),
                "addresses": addresses,
            }
            for role, name, zone, process in self._all_processes()
            for addresses in [self._plain_addresses(process)]
        ]
        urls = [f"http://{address}" for address in self.entry_addresses()]
        description = {
            "processes": processes,
            "entries": urls,
            "customer_keys": self.keys,
            "operator_key": self.operator_key,
        }
        path = self.folder / DESCRIPTION
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        with os.fdopen(descriptor, "w") as file:
            json.dump(description, file, indent=2)
        return path

    @staticmethod
    def _plain_addresses(process: Process) -> dict[str, str]:
        return {k: v for k, v in process.addresses.items() if k != "event"}

    def _all_processes(self):
        for name, process in self.stand_ins.items():
            yield f"stand-in {name}", name, "", process
        for vm in self.vms.values():
            for part, process in vm.cuts.items():
                yield f"stand-in cut of {part}", vm.name, vm.zone, process
            if vm.backend is not None:
                kind = vm.backend_command[2].removeprefix("standins.")
                yield f"stand-in {kind}", vm.name, vm.zone, vm.backend
            if vm.daemon is not None:
                yield vm.role, vm.name, vm.zone, vm.daemon

    def check_logs(self) -> None:
        """Raise an error if a daemon logged an error that no handler caught."""
        for path in sorted((self.folder / "logs").glob("*.log")):
            for line in path.read_text().splitlines():
                if f'"event": "{HANDLER_FAILED}"' in line:
                    raise FleetError(f"{path.name}: {line}")

    # Ending.

    def stop(self) -> dict[str, int]:
        """Stop all daemons gracefully, then the stand-ins; return exit statuses."""
        daemons = [vm.daemon for vm in self.vms.values()]
        backends = [vm.backend for vm in self.vms.values()]
        statuses = _stop_all(daemons)
        statuses |= _stop_all([*backends, *self.stand_ins.values()])
        self.kill()
        return statuses

    def kill(self) -> None:
        """End every process that still runs."""
        for _, _, _, process in self._all_processes():
            process.thaw()
            process.kill()


def _stop_all(processes: list[Process | None]) -> dict[str, int]:
    running = [each for each in processes if each is not None and each.running]
    for process in running:
        process.thaw()
        process.signal(SIGTERM)
    return {process.name: process.wait() for process in running}


CASEWORK_ROUTES = [
    {"method": "GET", "path_prefix": "/", "idempotent": True},
    {"method": "POST", "path_prefix": "/bookings", "idempotent": False},
    {"method": "GET", "path_prefix": "/open", "idempotent": True, "open": True},
]


@contextmanager
def start_fleet(plan: FleetPlan | None = None, folder: Path | None = None):
    """Start a local fleet and end all its processes at the exit.

    Parameters
    ----------
    plan : FleetPlan or None
        What to start.
    folder : Path or None
        Folder for settings and logs; None for a new temporary one.

    Yields
    ------
    Fleet
    """
    folder = folder or Path(tempfile.mkdtemp(prefix="chervilgw-"))
    fleet = Fleet(plan or FleetPlan(), folder)
    try:
        fleet.start()
        yield fleet
        fleet.check_logs()
    finally:
        with interrupts_held():
            fleet.kill()
            (folder / DESCRIPTION).unlink(missing_ok=True)
