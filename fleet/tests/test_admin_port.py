"""With ``admin_listen`` set, operators' requests must not be taken on callers' port."""

import yaml

from fleet.client import call
from fleet.process import Process, python_command


def test_operators_have_a_port_of_their_own(tmp_path):
    nowhere = "127.0.0.1:1"
    settings = {
        "vm": "entry-1",
        "zone": "zone-a",
        "http_listen": "127.0.0.1:0",
        "admin_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "fleet_secret": "a-secret-of-some-length",
        "platform": {"log": nowhere, "store": nowhere, "list": nowhere},
    }
    path = tmp_path / "entry.yaml"
    path.write_text(yaml.safe_dump(settings))
    command = python_command("chervilgw.daemon", settings=path)
    process = Process("entry-1", command, tmp_path / "entry.log")
    try:
        process.start()
        admin = call(process.addresses["admin"], "GET", "/admin/v1/fleet")
        assert (admin.status, admin.json()["error"]["code"]) == (401, "wrong_key")
        caller = call(process.addresses["http"], "GET", "/admin/v1/fleet")
        assert caller.status == 503
        assert caller.headers["x-chervil-run"] == "not_run"
        probe = call(process.addresses["admin"], "GET", "/healthz")
        assert probe.status == 401
    finally:
        process.kill()
