"""Operators' interface: conflicts, and values that never reach the log."""

from fleet.client import call


def _records(fleet) -> int:
    path = "/streams/configuration/records?from=0&limit=1"
    return call(fleet.stand_ins["log"].address, "GET", path).json()["next"]


def test_operator_key_is_needed(fleet):
    """Guards against a customer key, or none, that opens the operators' interface."""
    address = fleet.entry_addresses()[0]
    for key in (None, fleet.keys["surveyors"]):
        answer = call(address, "GET", "/admin/v1/customers", key=key)
        assert answer.status == 401


def test_of_two_changes_on_the_same_version_one_is_a_conflict(fleet):
    """Guards against a change that overwrites one its operator has not seen."""
    item = fleet.admin("GET", "models/summary").json()
    first, second = fleet.entry_addresses()
    body = {
        "value": {**item["value"], "target_first_token_ms": 1500},
        "base_version": item["version"],
        "reason": "first",
    }
    done = fleet.admin("PUT", "models/summary", body, first)
    assert done.status == 200, done.body
    body["reason"] = "second"
    key = fleet.second_operator_key
    lost = fleet.admin("PUT", "models/summary", body, second, key)
    assert lost.status == 409
    assert lost.json()["error"]["code"] == "conflict"
    entries = fleet.admin("GET", "audit").json()["entries"]
    accepted = next(e for e in entries if e["name"] == "summary" and e["accepted"])
    assert (accepted["operator"], accepted["reason"]) == ("launcher", "first")


def test_invalid_values_are_refused_before_the_log_with_field_and_range(fleet):
    """Guards against records that every process must reject, and unclear errors."""
    before = _records(fleet)
    limits = {"rate_tokens_per_s": 100, "burst_tokens": 100}
    cases = [
        ("customers/x", {**limits, "rate_tokens_per_s": -1}, "rate_tokens_per_s"),
        ("customers/x", {**limits, "weight": 5000}, "weight"),
        ("customers/x", {**limits, "colour": 1}, "colour"),
        ("customers/x", {"rate_tokens_per_s": "9", "burst_tokens": 1}, "rate_tokens"),
        ("customers/x", {**limits, "models": ["no-such"]}, "no-such"),
        ("models/x", {"size_bytes": -5}, "size_bytes"),
        ("adapters/x", {"base_model": "no-such", "size_bytes": 1}, "base_model"),
        ("defaults", {"crash_block_s": 0}, "crash_block_s"),
    ]
    for path, value, field in cases:
        answer = fleet.admin("PUT", path, {"value": value, "reason": "test"})
        message = answer.json()["error"]["message"]
        assert answer.status == 422, (path, answer.body)
        assert field in message
        if field in ("weight", "size_bytes", "crash_block_s"):
            assert "allowed: at least" in message
    exception = {"value": 5, "reason": ""}
    path = "exceptions/customer/tenants/max_tokens_limit"
    assert fleet.admin("PUT", path, exception).status == 422
    assert _records(fleet) == before


def test_malformed_requests_are_refused(fleet):
    """Guards against internal errors on operators' input."""
    for path, body in (("customers/x", {"value": 1}), ("customers/x", [1])):
        assert fleet.admin("PUT", path, body).status == 400
    assert fleet.admin("GET", "customers/no-such").status == 404
    assert fleet.admin("DELETE", "customers/no-such").status == 404
    assert fleet.admin("POST", "nonsense", {}).status == 404


def test_item_in_use_cannot_be_deleted(fleet):
    """Guards against references to items that do not exist."""
    answer = fleet.admin("DELETE", "models/draft-small")
    assert answer.status == 422
    assert "damp-report" in answer.json()["error"]["message"]
