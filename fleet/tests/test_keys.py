"""Keys: refusals, and nothing behind the entry or in a log holds a key or prompt."""

from fleet.client import call, open_stream

CHAT = "/v1/chat/completions"
PROMPT = "canary-prompt-7f3a"


def _body(model="draft-small", prompt=PROMPT):
    message = {"role": "user", "content": prompt}
    return {"model": model, "messages": [message], "max_tokens": 5}


def test_missing_and_wrong_key_are_refused(fleet):
    """Guards against a request that runs without a valid key."""
    for address in fleet.entry_addresses():
        for key in (None, "nonsense", "cgw_0000_" + "0" * 64):
            answer = call(address, "POST", CHAT, _body(), key)
            assert answer.status == 401, (key, answer.body)
            assert answer.headers["x-chervil-run"] == "not_run"
        answer = call(address, "POST", CHAT, _body(), fleet.operator_key)
        assert answer.status == 401


def test_targets_that_a_customer_may_not_use(fleet):
    """Guards against the use of models and services outside a customer's lists."""
    value = {"rate_tokens_per_s": 1000, "burst_tokens": 5000, "models": ["summary"]}
    fleet.set_item("customers/limited", {**value, "services": []})
    key = fleet.issue_key("limited")[1]
    address = fleet.entry_addresses()[0]
    assert call(address, "POST", CHAT, _body(), key).status == 403
    assert call(address, "POST", CHAT, _body("no-such"), key).status == 404
    path = "/services/casework/stock/van"
    assert call(address, "GET", path, key=key).status == 403
    assert call(address, "GET", "/services/none/x", key=key).status == 404
    names = call(address, "GET", "/v1/models", key=key).json()["data"]
    assert [row["id"] for row in names] == ["summary"]


def test_withdrawn_key_ends_streams_and_is_refused_everywhere(fleet):
    """Guards against a key that goes on working after it was withdrawn."""
    key_id, key = fleet.issue_key("tenants")
    first, second = fleet.entry_addresses()
    stream = open_stream(first, CHAT, {**_body(), "max_tokens": 1000}, key)
    parts = iter(stream)
    next(parts)
    fleet.admin("POST", f"keys/{key_id}/withdraw", {"reason": "test"}, address=second)

    def refused(address):
        return call(address, "GET", "/v1/models", key=key).status == 401

    fleet.wait_for(lambda: refused(first) and refused(second), "refused", 3.0)
    for _ in parts:
        pass
    assert stream.error["code"] == "key_withdrawn"
    assert not stream.done


def test_no_process_behind_the_entry_and_no_log_file_holds_a_key_or_prompt(fleet):
    """Guards against keys that reach backends, and secrets in log lines."""
    key = fleet.keys["surveyors"]
    address = fleet.entry_addresses()[0]
    headers = {"X-Api-Key": "other", "Cookie": "session=1", "X-Trace": "seen-it"}
    assert call(address, "POST", CHAT, _body(), key).status == 200
    answer = call(address, "GET", "/services/casework/stock/van", None, key, headers)
    assert answer.status == 200
    body = {"item": PROMPT}
    path = "/services/casework/bookings"
    assert call(address, "POST", path, body, key).status == 201
    # A key in the wrong place is refused, since it would be forwarded.
    query = f"/services/casework/stock/van?api_key={key}"
    assert call(address, "GET", query, key=key).status == 400
    seen = _everything_seen(fleet)
    assert "seen-it" in seen, "the stand-ins saw no request"
    secrets = [each.rpartition("_")[2] for each in fleet.keys.values()]
    secrets.append(fleet.operator_key.rpartition("_")[2])
    for secret in secrets:
        assert secret not in seen
    assert "authorization" not in seen.lower()
    logs = [path.read_text() for path in (fleet.folder / "logs").iterdir()]
    for text in logs:
        assert PROMPT not in text
        assert not any(secret in text for secret in secrets)
    assert any("process_started" in text for text in logs)


def _everything_seen(fleet) -> str:
    processes = [vm.backend for vm in fleet.vms.values() if vm.backend]
    processes += fleet.stand_ins.values()
    return "\n".join(
        call(process.address, "GET", "/seen").body.decode() for process in processes
    )
