"""Steps of the demo: each sends real requests and checks the answers."""

from __future__ import annotations

import http.client
import time
from concurrent.futures import ThreadPoolExecutor

from fleet.client import Answer, call, open_stream
from fleet.launcher import Fleet

CHAT = "/v1/chat/completions"
BOOKINGS = "/services/casework/bookings"
WITHDRAWAL_BOUND_S = 3.0


class WrongResult(Exception):
    """A step got another answer than the one it must get."""


def expect(condition: bool, what: str) -> None:
    """Raise :class:`WrongResult` unless the condition holds."""
    if not condition:
        raise WrongResult(what)


def chat_body(prompt: str, max_tokens: int, model: str = "draft-small") -> dict:
    """Return the body of a chat request that generates exactly ``max_tokens``."""
    message = {"role": "user", "content": prompt}
    return {"model": model, "messages": [message], "max_tokens": max_tokens}


def expect_error(answer: Answer, status: int, code: str) -> str:
    """Check status and code of an error answer and return a text for the report."""
    got = answer.json()["error"]["code"]
    expect((answer.status, got) == (status, code), f"{answer.status} {got}")
    return f"{status} {code}: {answer.json()['error']['message']}"


def _post(fleet: Fleet, path: str, body, entry: int = 0, key="surveyors", **options):
    address = fleet.entry_addresses()[entry]
    return call(address, "POST", path, body, fleet.keys.get(key, key), **options)


def _chat_text(fleet: Fleet, prompt: str, max_tokens: int) -> str:
    answer = _post(fleet, CHAT, chat_body(prompt, max_tokens))
    expect(answer.status == 200, f"{answer.status} {answer.body.decode()}")
    return answer.json()["choices"][0]["message"]["content"]


def list_models(fleet: Fleet) -> str:
    """List the models of a customer."""
    address = fleet.entry_addresses()[0]
    answer = call(address, "GET", "/v1/models", key=fleet.keys["surveyors"])
    names = {row["id"] for row in answer.json()["data"]}
    wanted = {model.name for model in fleet.plan.models}
    wanted |= {name for name, _ in fleet.plan.adapters}
    expect(names == wanted, f"{names}")
    return ", ".join(sorted(names))


def whole_chat(fleet: Fleet) -> str:
    """Send a chat request that is answered whole."""
    answer = _post(fleet, CHAT, chat_body("A short letter please", 12))
    expect(answer.status == 200, f"{answer.status} {answer.body.decode()}")
    usage = answer.json()["usage"]
    expect(usage["completion_tokens"] == 12, f"usage {usage}")
    return f"200, {usage['completion_tokens']} tokens"


def streamed_chat(fleet: Fleet) -> str:
    """Send the same request whole and streamed; the texts are equal."""
    whole = _chat_text(fleet, "A streamed letter please", 40)
    address, key = fleet.entry_addresses()[1], fleet.keys["surveyors"]
    stream = open_stream(address, CHAT, chat_body("A streamed letter please", 40), key)
    text = stream.read()
    expect(stream.done and stream.error is None, f"error {stream.error}")
    expect(text == whole, "streamed text differs from the whole answer")
    return f"{len(stream.text)} parts, complete, equal to the whole answer"


def text_completion(fleet: Fleet) -> str:
    """Send a text completion."""
    body = {"model": "summary", "prompt": "Once upon a time", "max_tokens": 10}
    answer = _post(fleet, "/v1/completions", body)
    expect(answer.status == 200, f"{answer.status} {answer.body.decode()}")
    text = answer.json()["choices"][0]["text"]
    expect(len(text.split()) == 10, text)
    return f"200, {text.strip()!r}"


def adapter(fleet: Fleet) -> str:
    """Use an adapter; its text differs from that of the base model."""
    answer = _post(fleet, CHAT, chat_body("Damp in room 3", 10, "damp-report"))
    expect(answer.status == 200, f"{answer.status} {answer.body.decode()}")
    text = answer.json()["choices"][0]["message"]["content"]
    expect(text != _chat_text(fleet, "Damp in room 3", 10), "text of the base model")
    return "200, text differs from the base model's"


def plain_lookup(fleet: Fleet) -> str:
    """Look up something at a plain service."""
    address, key = fleet.entry_addresses()[1], fleet.keys["tenants"]
    answer = call(address, "GET", "/services/casework/stock/van", key=key)
    expect(answer.status == 200, f"{answer.status} {answer.body.decode()}")
    return f"200 {answer.json()}"


def booking_runs(fleet: Fleet, booking_id: str) -> int:
    """Return how often the services ran a booking."""
    backends = [
        vm.backend.address
        for vm in fleet.vms.values()
        if vm.name.startswith("casework") and vm.backend.running
    ]
    return sum(
        call(address, "GET", "/runs").json().get(booking_id, 0) for address in backends
    )


def booking(fleet: Fleet) -> str:
    """Book with an idempotency key, and repeat through the other entry."""
    body = {"item": "van", "booking_id": "demo-booking"}
    headers = {"Idempotency-Key": "demo-1"}
    first = _post(fleet, BOOKINGS, body, 0, headers=headers)
    expect(first.status == 201, f"{first.status} {first.body.decode()}")
    again = _post(fleet, BOOKINGS, body, 1, headers=headers)
    expect(again.status == 201, f"repeat {again.status} {again.body.decode()}")
    expect(first.body == again.body, f"{first.body} and {again.body}")
    runs = booking_runs(fleet, "demo-booking")
    expect(runs == 1, f"ran {runs} times")
    return "201 and the same answer through the other entry, ran once"


def open_route(fleet: Fleet) -> str:
    """Use an open route without a key."""
    answer = call(fleet.entry_addresses()[0], "GET", "/services/casework/open/info")
    expect(answer.status == 200, f"{answer.status} {answer.body.decode()}")
    return "200 without a key"


def no_key(fleet: Fleet) -> str:
    """Send no key."""
    address = fleet.entry_addresses()[0]
    answer = call(address, "POST", CHAT, chat_body("hello", 5))
    return expect_error(answer, 401, "no_key")


def wrong_key(fleet: Fleet) -> str:
    """Send a key that was never issued."""
    answer = _post(fleet, CHAT, chat_body("hello", 5), key="cgw_0000_" + "0" * 64)
    return expect_error(answer, 401, "wrong_key")


def forbidden_model(fleet: Fleet) -> str:
    """Ask for a model that the customer may not use."""
    value = {"rate_tokens_per_s": 100, "burst_tokens": 1000, "models": ["summary"]}
    fleet.set_item("customers/archive", value)
    _, key = fleet.issue_key("archive")
    answer = _post(fleet, CHAT, chat_body("hello", 5), key=key)
    return expect_error(answer, 403, "not_allowed")


def bad_json(fleet: Fleet) -> str:
    """Send a body that is not JSON."""
    connection = http.client.HTTPConnection(fleet.entry_addresses()[0], timeout=10)
    headers = {"Authorization": f"Bearer {fleet.keys['surveyors']}"}
    try:
        connection.request("POST", CHAT, body=b'{"model": ', headers=headers)
        response = connection.getresponse()
        answer = Answer(response.status, {}, response.read())
    finally:
        connection.close()
    return expect_error(answer, 400, "bad_request")


def withdrawn_key(fleet: Fleet) -> str:
    """Issue a key, and withdraw it while a stream of it runs."""
    key_id, key = fleet.issue_key("surveyors")
    body = chat_body("A long report", 1500, "draft-large")
    stream = open_stream(fleet.entry_addresses()[0], CHAT, body, key)
    parts = iter(stream)
    for _ in range(5):
        next(parts)
    withdrawn_s = time.monotonic()
    fleet.admin("POST", f"keys/{key_id}/withdraw", {"reason": "demo"})
    for _ in parts:
        pass
    took_s = time.monotonic() - withdrawn_s
    expect(stream.error is not None and not stream.done, "the stream was not cut")
    expect(took_s <= WITHDRAWAL_BOUND_S, f"cut after {took_s:.1f} s")
    left_s = max(0.0, WITHDRAWAL_BOUND_S - took_s)
    fleet.wait_for(
        lambda: _post(fleet, CHAT, chat_body("hello", 2), 1, key).status == 401,
        "withdrawn key refused at the other entry",
        left_s,
    )
    code = stream.error.get("code")
    return f"stream ended with {code!r} after {took_s:.2f} s, then 401 everywhere"


def conflict(fleet: Fleet) -> str:
    """Two operators change the same item at the same time through two entries."""
    item = fleet.admin("GET", "customers/tenants").json()
    keys = (fleet.operator_key, fleet.second_operator_key)

    def change(index: int) -> Answer:
        body = {
            "value": {**item["value"], "weight": 2.0 + index},
            "base_version": item["version"],
            "reason": "demo",
        }
        address = fleet.entry_addresses()[index]
        return fleet.admin("PUT", "customers/tenants", body, address, keys[index])

    with ThreadPoolExecutor(2) as pool:
        answers = list(pool.map(change, range(2)))
    statuses = sorted(answer.status for answer in answers)
    expect(statuses == [200, 409], f"{[answer.body for answer in answers]}")
    refused = next(answer for answer in answers if answer.status == 409)
    return f"one 200, one 409: {refused.json()['error']['message']}"


def running_engines(fleet: Fleet) -> list[str]:
    """Return the names of VMs whose engine reports running requests."""
    return [
        vm.name
        for vm in fleet.vms.values()
        if vm.settings.get("backend") == "engine"
        and vm.backend.running
        and call(vm.backend.address, "GET", "/state").json()["load"]["running"]
    ]


def killed_engine(fleet: Fleet) -> str:
    """Kill the engine of a running stream; the stream continues elsewhere."""
    whole = _chat_text(fleet, "A letter that must arrive", 150)
    fleet.wait_for(lambda: not running_engines(fleet), "engines idle", 5)
    address, key = fleet.entry_addresses()[0], fleet.keys["surveyors"]
    body = chat_body("A letter that must arrive", 150)
    stream = open_stream(address, CHAT, body, key)
    parts = iter(stream)
    next(parts)
    fleet.wait_for(lambda: running_engines(fleet), "engine reports the stream", 3)
    name = running_engines(fleet)[0]
    fleet.vms[name].backend.kill()
    killed_at = len(stream.text)
    for _ in parts:
        pass
    expect(stream.done and stream.error is None, f"error {stream.error}")
    expect("".join(stream.text) == whole, "text differs from the undisturbed answer")
    fleet.start_backend(name)
    return (
        f"engine of {name} killed after at least {killed_at} tokens; all 150 tokens "
        "arrived, equal to the undisturbed answer"
    )


STEPS = (
    ("model list", list_models),
    ("chat, whole", whole_chat),
    ("chat, streamed", streamed_chat),
    ("text completion", text_completion),
    ("adapter", adapter),
    ("plain lookup", plain_lookup),
    ("booking and its repeat", booking),
    ("open route", open_route),
    ("no key", no_key),
    ("wrong key", wrong_key),
    ("model not permitted", forbidden_model),
    ("bad JSON", bad_json),
    ("key withdrawn in mid-stream", withdrawn_key),
    ("conflict of two operators", conflict),
    ("engine killed in mid-stream", killed_engine),
)
