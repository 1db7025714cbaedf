"""Tests of loading settings files and of the error messages."""

from pathlib import Path

import pytest

from chervilgw.settings import SettingsError, load_entry, load_sidecar

EXAMPLES = Path(__file__).parents[3] / "examples"
ENTRY = (EXAMPLES / "entry.yaml").read_text()
SERVICE = (EXAMPLES / "sidecar-service.yaml").read_text()


def test_examples_load():
    """Guards against examples that the daemon refuses."""
    assert load_entry(EXAMPLES / "entry.yaml").operators[0].name == "ann"
    assert load_sidecar(EXAMPLES / "sidecar-engine.yaml").pool == "drafting"
    service = load_sidecar(EXAMPLES / "sidecar-service.yaml")
    assert service.services == ("payments",)
    assert service.advertised_address == "10.0.3.9:7400"


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("zone: zone-a", "zome: zone-a", ("zome: unknown key", "zone: missing")),
        ("max_connections: 10000", "max_conections: 1", ("limits.max_conections",)),
        ("max_connections: 10000", "max_connections: 0", ("0", "equal to 1")),
        ("10.0.0.2:9100", "log.internal:9100", ("platform.log", "ip:port")),
        ("10.0.0.2:9100", "10.0.0.2:99999", ("platform.log", "0 to 65535")),
        ("log_level: info", "log_level: loud", ("log_level", "loud", "'debug'")),
        ("fleet_secret: replace", "#", ("exactly one of fleet_secret",)),
        ("vm: entry-1", "vm: entry-1\nvm: entry-2", ("'vm' occurs twice",)),
        ("vm: entry-1", "vm: [", ("not valid YAML",)),
    ],
)
def test_error_names_file_key_and_allowed_values(tmp_path, old, new, expected):
    """Guards against a misspelt key or wrong value that is ignored or not reported."""
    assert old in ENTRY
    path = tmp_path / "entry.yaml"
    path.write_text(ENTRY.replace(old, new))
    with pytest.raises(SettingsError) as caught:
        load_entry(path)
    for part in (str(path), *expected):
        assert part in str(caught.value)


def test_service_sidecar_requires_services(tmp_path):
    """Guards against a service's sidecar that gets no requests."""
    path = tmp_path / "sidecar.yaml"
    path.write_text(SERVICE.replace("services: [payments]", ""))
    with pytest.raises(SettingsError, match="services named with backend 'service'"):
        load_sidecar(path)


def test_secret_is_read_from_file_and_not_printed(tmp_path):
    """Guards against a fleet secret in a repr or an error message."""
    (tmp_path / "secret").write_text("long-secret-from-a-file\n")
    path = tmp_path / "entry.yaml"
    secret_line = "fleet_secret: replace-this-by-a-random-text"
    path.write_text(ENTRY.replace(secret_line, "fleet_secret_file: secret"))
    settings = load_entry(path)
    assert settings.fleet_secret.get_secret_value() == "long-secret-from-a-file"
    assert "long-secret" not in repr(settings)
    path.write_text(ENTRY.replace(secret_line, "fleet_secret: [hidden]"))
    with pytest.raises(SettingsError) as caught:
        load_entry(path)
    assert "hidden" not in str(caught.value)
    path.write_text(ENTRY.replace(secret_line, "fleet_secret: hidden"))
    with pytest.raises(SettingsError) as caught:
        load_entry(path)
    assert "hidden" not in str(caught.value)
