"""The programs chervilgwd and chervilctl, as processes."""

import json
import os
import subprocess

import pytest
import yaml

from chervilgw import __version__
from fleet.client import call
from fleet.process import python_command


def _run(module, *arguments, **environment):
    command = [*python_command(module), *arguments]
    clean = {k: v for k, v in os.environ.items() if not k.startswith("CHERVILGW_")}
    return subprocess.run(
        command, env=clean | environment, capture_output=True, text=True, timeout=30
    )


@pytest.fixture
def ctl(fleet):
    def run(*arguments, key=None, address=None):
        return _run(
            "chervilgw.cli",
            *arguments,
            CHERVILGW_ADDRESS=address or fleet.entry_addresses()[0],
            CHERVILGW_OPERATOR_KEY=key or fleet.operator_key,
        )

    return run


def test_version():
    """Guards against a program whose version operators cannot ask for."""
    result = _run("chervilgw.daemon", "--version")
    assert (result.returncode, result.stdout.strip()) == (0, __version__)


def test_settings_are_checked_without_a_start(fleet):
    """Guards against valid settings that the check refuses."""
    for vm in fleet.vms.values():
        result = _run("chervilgw.daemon", "--check-settings", str(vm.settings_path))
        assert result.returncode == 0, result.stderr


@pytest.mark.parametrize("option", ["--check-settings", "--settings"])
@pytest.mark.parametrize(
    ("key", "value", "allowed"),
    [
        ("http_listen", "localhost:80", "an IP address and a port"),
        ("notice_s", -3, "greater than 0"),
        ("log_level", "loud", "'debug', 'info', 'warning' or 'error'"),
        ("colour", "green", "allowed:"),
    ],
)
def test_wrong_settings_are_explained(fleet, tmp_path, option, key, value, allowed):
    """Guards against a process that starts with wrong settings, or says not why."""
    settings = yaml.safe_load(fleet.vms["entry-1"].settings_path.read_text())
    path = tmp_path / "entry.yaml"
    path.write_text(yaml.safe_dump({**settings, key: value}))
    result = _run("chervilgw.daemon", option, str(path))
    assert result.returncode == 2
    for part in (str(path), key, allowed):
        assert part in result.stderr
    if key != "colour":
        assert str(value) in result.stderr


def test_customer_and_key_from_creation_to_deletion(fleet, ctl):
    """Guards against commands that do not reach the fleet."""
    limits = ["--rate-tokens-per-s", "500", "--burst-tokens", "5000"]
    done = ctl("customers", "set", "lettings", *limits, "--models", "summary")
    assert done.returncode == 0, done.stderr
    issued = ctl("keys", "issue", "lettings", "--label", "1e5", "--json")
    key = json.loads(issued.stdout)
    address = fleet.entry_addresses()[0]
    names = call(address, "GET", "/v1/models", key=key["key"]).json()["data"]
    assert [row["id"] for row in names] == ["summary"]
    listed = ctl("keys", "list")
    assert key["key_id"] in listed.stdout
    assert key["key"] not in listed.stdout + ctl("keys", "list", "--json").stdout
    assert ctl("customers", "delete", "lettings").returncode == 1
    assert ctl("keys", "withdraw", key["key_id"], "--reason", "left").returncode == 0
    assert call(address, "GET", "/v1/models", key=key["key"]).status == 401
    assert "left" in ctl("audit", "--limit", "5").stdout


def test_partial_update_keeps_other_fields_and_detects_conflicts(fleet, ctl):
    """Guards against updates that reset fields or overwrite a racing change."""
    before = json.loads(ctl("models", "show", "draft-large", "--json").stdout)
    done = ctl("models", "set", "draft-large", "--target-first-token-ms", "1800")
    assert done.returncode == 0, done.stderr
    after = json.loads(ctl("models", "show", "draft-large", "--json").stdout)
    assert after["value"] == {**before["value"], "target_first_token_ms": 1800}
    stale = ("--base-version", str(before["version"]))
    lost = ctl("models", "set", "draft-large", "--min-copies", "1", *stale)
    assert lost.returncode == 3
    assert "conflict" in lost.stderr


def test_defaults_exceptions_and_views(ctl):
    """Guards against commands that fail on the interface's answers."""
    done = ctl("defaults", "set", "max_tokens_default", "400", "--reason", "test")
    assert done.returncode == 0, done.stderr
    assert "400" in ctl("defaults", "show").stdout
    where = ("customer", "surveyors", "max_tokens_limit")
    done = ctl("exceptions", "set", *where, "9000", "--reason", "long reports")
    assert done.returncode == 0, done.stderr
    assert "long reports" in ctl("exceptions", "list").stdout
    assert ctl("exceptions", "delete", *where).returncode == 0
    fleet_view = ctl("fleet").stdout
    assert "engine-1" in fleet_view
    assert "zone-a" in fleet_view
    assert ctl("blocks", "list").stdout.strip() == "(none)"
    for group in ("customers", "models", "adapters", "services"):
        assert ctl(group, "list").returncode == 0


def test_exit_statuses_and_errors(ctl):
    """Guards against scripts that take a failure for a success."""
    cases = [
        (("customers", "show", "no-such"), 1, "no-such"),
        (("customers", "set", "x", "--rate-tokens-per-s", "-1"), 1, "rate_tokens"),
        (("customers", "set", "x", "--bogus", "1"), 2, "--bogus"),
        (("nonsense",), 2, "nonsense"),
        (("defaults", "set", "max_tokens_default", "77", "run"), 2, "run"),
        ((), 2, ""),
    ]
    for arguments, status, text in cases:
        result = ctl(*arguments)
        assert result.returncode == status, (arguments, result.stderr)
        assert text in result.stderr
    assert "77" not in ctl("defaults", "show").stdout
    refused = ctl("fleet", key="cgw_0000_" + "0" * 64)
    assert refused.returncode == 1
    unreachable = ctl("fleet", address="127.0.0.1:1")
    assert unreachable.returncode == 4
    assert "127.0.0.1:1" in unreachable.stderr
    missing = _run("chervilgw.cli", "fleet")
    assert missing.returncode == 2
    assert "CHERVILGW_ADDRESS" in missing.stderr


def test_operator_key_fits_the_settings(fleet, tmp_path):
    """Guards against a printed entry that the settings refuse."""
    result = _run("chervilgw.cli", "operator-key", "ann")
    assert result.returncode == 0, result.stderr
    *_, key = result.stdout.split()
    entry = yaml.safe_load(result.stdout.rpartition("#")[0])
    settings = yaml.safe_load(fleet.vms["entry-1"].settings_path.read_text())
    path = tmp_path / "entry.yaml"
    path.write_text(yaml.safe_dump({**settings, "operators": entry}))
    assert _run("chervilgw.daemon", "--check-settings", str(path)).returncode == 0
    assert key.startswith("cgw_")
    assert key not in path.read_text()
