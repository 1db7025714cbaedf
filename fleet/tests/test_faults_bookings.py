"""Bookings run at most once, and what answers say about a run is true."""

import time
from collections import defaultdict

import pytest

from fleet.client import call
from fleet.tests.outages import (
    BOOKINGS,
    Traffic,
    book,
    in_background,
    run_state,
    runs_of,
    small_fleet,
    try_call,
    wait_until,
)

pytestmark = pytest.mark.faults
SERVICES = ("casework-1", "casework-2")


@pytest.fixture
def runs_file(tmp_path):
    return tmp_path / "runs"


def booking_fleet(runs_file, **changes):
    options = {"service_options": {"runs_file": runs_file}, **changes}
    return small_fleet(engines=0, models=(), services=2, **options)


def is_unknown(answer):
    """Return whether the caller was told that the outcome is unknown."""
    return answer.status == 0 or run_state(answer) == "unknown"


def restart_service(fleet, name):
    """Start a crashed service and its sidecar's list entry again."""
    vm = fleet.vms[name]
    if not vm.backend.running:
        fleet.start_backend(name)


def repeated(fleet, addresses, key, answers, times=4, timeout_s=5):
    """Return the request of a caller that repeats through the other entry."""

    def request(number):
        name = f"b{number}"
        for attempt in range(times):
            address = addresses[(number + attempt) % 2]
            # Each attempt names itself, so that its own runs can be counted.
            answer = book(address, key, f"{name}.{attempt}", name, timeout_s)
            answers[name].append(answer)
            if answer.status == 201:
                break
            # As the answer asks, or as a caller does after a broken connection.
            wait_s = float(answer.headers.get("retry-after", 0.5))
            wait_until(fleet, time.monotonic() + min(2.0, wait_s))
        return answer

    return request


def assert_at_most_once(runs_file, answers, least_done):
    """Check that nothing ran twice and that all answers are true."""
    runs = runs_of(runs_file)
    for name, given in answers.items():
        own = [runs[f"{name}.{attempt}"] for attempt in range(len(given))]
        assert sum(own) <= 1, (name, own, given)
        for count, answer in zip(own, given, strict=True):
            if run_state(answer) == "not_run":
                assert count == 0, (name, own, given)
            if answer.status == 201:
                assert sum(own) == 1, (name, own, given)
                assert runs[answer.json()["booking_id"]] == 1, (name, own, given)
            # A broken connection tells the caller that the outcome is unknown.
            assert answer.status in (0, 201) or run_state(answer), answer
    attempts = [answer for given in answers.values() for answer in given]
    done = sum(any(a.status == 201 for a in given) for given in answers.values())
    refused = sum(run_state(answer) == "not_run" for answer in attempts)
    unknown = sum(is_unknown(answer) for answer in attempts)
    print(f"{done} of {len(answers)} bookings confirmed")
    print(f"{len(attempts)} attempts: {refused} not run, {unknown} unknown")
    assert done >= least_done * len(answers)


@pytest.mark.parametrize(
    "fault", ["crash_before_effect", "crash_after_effect", "freeze_after_effect"]
)
def test_keyed_booking_that_the_service_lost_runs_at_most_once(fault, runs_file):
    """Guards requirement 8: a repeat with the same key must not run a second time."""
    with booking_fleet(runs_file) as fleet:
        key = fleet.keys["tenants"]
        one, two = fleet.entry_addresses()
        for name in SERVICES:
            fleet.set_faults(name, **{fault: 1})
        first = in_background(book, one, key, "lost", "lost")
        if "after" in fault:
            fleet.wait_for(lambda: runs_of(runs_file)["lost"], "the run")
        else:
            fleet.wait_for(
                lambda: not all(fleet.vms[n].backend.running for n in SERVICES), "crash"
            )
        repeats = [book(two, key, "lost", "lost", 4)]
        if "freeze" in fault:
            for name in SERVICES:
                fleet.vms[name].backend.kill()
        for name in SERVICES:
            restart_service(fleet, name)
        repeats += [book(one, key, "lost", "lost", 4) for _ in range(3)]
        answers = [first.result(30), *repeats]
        runs = runs_of(runs_file)["lost"]
        assert runs <= 1, answers
        for answer in answers:
            # A service that crashed before the effect has got the request, too.
            ok = is_unknown(answer) or answer.status == 201
            assert ok or run_state(answer) == "not_run", answer
        if "after" in fault:
            assert runs == 1
            assert not any(run_state(answer) == "not_run" for answer in answers)


@pytest.mark.parametrize("part", ["entry", "sidecar", "service"])
@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_keyed_bookings_under_faults_of_one_part(part, fault, runs_file):
    """Guards requirements 7 and 8 at every step of a booking, with repeats."""
    with booking_fleet(runs_file) as fleet:
        key = fleet.keys["tenants"]
        addresses = fleet.entry_addresses()
        answers = defaultdict(list)
        request = repeated(fleet, addresses, key, answers)
        vm = fleet.vms["entry-1" if part == "entry" else "casework-1"]
        process = vm.backend if part == "service" else vm.daemon
        with Traffic(request, per_s=60, threads=12) as traffic:
            for turn in (1, 2):
                fleet.wait_for(lambda t=turn: len(traffic.sent) >= 40 * t, "traffic")
                if fault == "freeze":
                    process.freeze()
                    wait_until(fleet, time.monotonic() + 2.5)
                    process.thaw()
                else:
                    process.kill()
                    # The same VM starts again, as a new incarnation.
                    if part == "service":
                        fleet.start_backend(vm.name)
                        process = vm.backend
                    else:
                        fleet.start_daemon(vm.name)
                        process = vm.daemon
                        addresses[:] = fleet.entry_addresses()
            count = len(traffic.sent)
            fleet.wait_for(lambda: len(traffic.sent) >= count + 40, "traffic")
        assert_at_most_once(runs_file, answers, least_done=0.5)


@pytest.mark.parametrize("part", ["log", "peer"])
def test_keyed_bookings_over_silent_and_cut_connections(part, runs_file):
    """Guards requirement 8 when a sidecar's connections fail in one direction."""
    cuts = {"cut_log": SERVICES[:1], "cut_peers": SERVICES[:1]}
    with booking_fleet(runs_file, **cuts) as fleet:
        key = fleet.keys["tenants"]
        addresses = fleet.entry_addresses()
        answers = defaultdict(list)
        request = repeated(fleet, addresses, key, answers)
        faults = [
            {"silence": "established"},
            {"silence": "all", "direction": "to_target"},
            {"silence": "all", "direction": "to_caller"},
            {"cut": "all"},
        ]
        with Traffic(request, per_s=60, threads=12) as traffic:
            fleet.wait_for(lambda: len(traffic.sent) >= 40, "traffic")
            for fault in faults:
                fleet.set_cut(SERVICES[0], part, **fault)
                wait_until(fleet, time.monotonic() + 2.5)
                fleet.set_cut(SERVICES[0], part)
                count = traffic.statuses()[201]
                fleet.wait_for(
                    lambda c=count: traffic.statuses()[201] >= c + 20, "bookings again"
                )
        assert_at_most_once(runs_file, answers, least_done=0.5)


@pytest.mark.parametrize("part", ["entry", "sidecar", "service"])
def test_bookings_without_a_key_are_attempted_once(part, runs_file):
    """Guards requirement 8 for callers without a key, and the truth of "not run"."""
    with booking_fleet(runs_file) as fleet:
        key = fleet.keys["tenants"]
        addresses = fleet.entry_addresses()
        answers = {}

        def request(number):
            name = f"b{number}"
            answers[name] = book(addresses[number % 2], key, name, timeout_s=8)
            return answers[name]

        vm = fleet.vms["entry-1" if part == "entry" else "casework-1"]
        with Traffic(request, per_s=60, threads=12) as traffic:
            fleet.wait_for(lambda: len(traffic.sent) >= 40, "traffic")
            (vm.backend if part == "service" else vm.daemon).kill()
            count = len(traffic.sent)
            fleet.wait_for(lambda: len(traffic.sent) >= count + 40, "traffic")
            if part == "service":
                fleet.start_backend(vm.name)
                # A booking may end the service before it answers this request.
                control = fleet.vms["casework-2"].backend.address
                try_call(control, "PUT", "/faults", {"crash_after_effect": 1})
                fleet.wait_for(lambda: not fleet.vms["casework-2"].backend.running, "x")
                fleet.start_backend("casework-2")
            else:
                fleet.start_daemon(vm.name)
                addresses[:] = fleet.entry_addresses()
            count = len(traffic.sent)
            fleet.wait_for(lambda: len(traffic.sent) >= count + 40, "traffic")
        runs = runs_of(runs_file)
        print(traffic.statuses(), sum(is_unknown(a) for a in answers.values()))
        for name, answer in answers.items():
            assert runs[name] <= 1, answer
            if run_state(answer) == "not_run":
                assert runs[name] == 0, answer
            if answer.status == 201:
                assert runs[name] == 1, answer
            assert answer.status == 201 or run_state(answer) or answer.status == 0


def test_log_outages_and_lost_append_answers(runs_file):
    """Guards requirement 8 without the log, and that lookups go on without it."""
    with booking_fleet(runs_file) as fleet:
        key = fleet.keys["tenants"]
        addresses = fleet.entry_addresses()
        assert book(addresses[0], key, "known", "known").status == 201
        answers = defaultdict(list)
        request = repeated(fleet, addresses, key, answers, 3, 20)
        faults = [
            {"lose_answers": {"probability": 0.5, "seed": 1}},
            {"refuse": True},
            {"freeze": True},
            {"delay_ms": 400, "lose_answers": {"probability": 0.3, "seed": 2}},
        ]
        lookups = []
        with Traffic(request, per_s=40, threads=16) as traffic:
            for fault in faults:
                fleet.set_faults("log", **fault)
                until_s = time.monotonic() + 2.5
                while time.monotonic() < until_s:
                    for address in addresses:
                        path = "/services/casework/stock/bed"
                        lookups.append(call(address, "GET", path, key=key))
                    wait_until(fleet, time.monotonic() + 0.2)
                fleet.set_faults("log")
                count = traffic.statuses()[201]
                fleet.wait_for(
                    lambda c=count: traffic.statuses()[201] >= c + 20, "bookings again"
                )
        print(f"{len(lookups)} lookups, {traffic.statuses()}")
        assert {answer.status for answer in lookups} == {200}
        assert_at_most_once(runs_file, answers, least_done=0.5)
        assert book(addresses[1], key, "known", "known").status == 201
        assert runs_of(runs_file)["known"] == 1


def services(fleet) -> list[str]:
    return [fleet.vms[name].backend.address for name in SERVICES]


def has_booking(address: str) -> bool:
    """Return whether a service has received a booking, run or not."""
    seen = call(address, "GET", "/seen").json()["requests"]
    return any(request["method"] == "POST" for request in seen)


def test_repeat_after_the_sidecar_died_between_intent_and_result(runs_file):
    """Guards against a second run by the other sidecar, while the first is frozen."""
    with booking_fleet(runs_file) as fleet:
        key = fleet.keys["tenants"]
        one, two = fleet.entry_addresses()
        for name in SERVICES:
            fleet.set_faults(name, delay_ms=1500)
        first = in_background(book, one, key, "slow", "slow")
        # A service gets the booking only after its intent is in the log.
        fleet.wait_for(lambda: any(map(has_booking, services(fleet))), "the call")
        for name in SERVICES:
            fleet.vms[name].daemon.freeze()
        repeat = in_background(book, two, key, "slow", "slow")
        fleet.wait_for(lambda: runs_of(runs_file)["slow"], "the run")
        for name in SERVICES:
            fleet.vms[name].daemon.thaw()
        answers = [first.result(30), repeat.result(30)]
        answers += [book(two, key, "slow", "slow") for _ in range(2)]
        assert runs_of(runs_file)["slow"] == 1
        assert not any(run_state(answer) == "not_run" for answer in answers), answers
        path = f"{BOOKINGS}/slow"
        found = [try_call(two, "GET", path, key=key).status for _ in range(8)]
        assert set(found) <= {200, 404}, found


def answers_beside_a_dead_service(fleet, send):
    """Kill one of two services, not its sidecar, and return 60 answers."""
    addresses = fleet.entry_addresses()
    fleet.vms["casework-1"].backend.kill()
    return [send(addresses[number % 2], f"d{number}") for number in range(60)]


def test_a_dead_service_beside_a_live_sidecar_gets_no_share_of_the_requests(runs_file):
    """Guards against 502 "unknown" for requests whose connection was refused.

    Half of the requests went to such a sidecar for as long as its service was dead, and
    each was called unknown although nothing could have run.
    """
    with booking_fleet(runs_file) as fleet:
        key = fleet.keys["tenants"]

        def send(address, name):
            return book(address, key, name, timeout_s=5)

        statuses = [each.status for each in answers_beside_a_dead_service(fleet, send)]
        assert statuses == [201] * 60


def test_bookings_with_a_key_succeed_beside_a_dead_service(runs_file):
    """Guards against a booking that its own first try shuts out.

    The refusal of the first server can reach the entry before the record that releases
    the booking's key reaches the log; the second server then answers 409.
    """
    with booking_fleet(runs_file) as fleet:
        key = fleet.keys["tenants"]

        def send(address, name):
            return book(address, key, name, name, 5)

        answers = answers_beside_a_dead_service(fleet, send)
        assert [answer.status for answer in answers] == [201] * 60
        runs = runs_of(runs_file)
        assert [runs[f"d{number}"] for number in range(60)] == [1] * 60
