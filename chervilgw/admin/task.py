"""Administration task: answers operators' requests and submits their changes."""

from __future__ import annotations

import json
import secrets
import time
from dataclasses import dataclass
from typing import Any

from circuits import BaseComponent, handler
from returns.pipeline import is_successful

from chervilgw.admin.commands import (
    Command,
    IssueKey,
    LiftBlock,
    ListItems,
    SetItem,
    ShowAudit,
    ShowBlocks,
    ShowFleet,
    WithdrawKey,
    parse_command,
)
from chervilgw.admin.errors import AdminError
from chervilgw.admin.views import show_audit, show_fleet, show_items
from chervilgw.configuration.lookups import defaults, lifted_blocks
from chervilgw.configuration.outputs import Accepted, Rejected
from chervilgw.configuration.records import Change
from chervilgw.configuration.state import ConfigurationState, empty_state
from chervilgw.configuration.values import Kind
from chervilgw.core.ids import ChangeId, Incarnation
from chervilgw.crashes import make_crash_tracker
from chervilgw.keys.issue import issue_key
from chervilgw.keys.operators import OperatorKey, authenticate_operator
from chervilgw.membership.task import FleetSnapshot
from chervilgw.runtime.control_events import config_submit
from chervilgw.runtime.events import HttpReply, HttpRequest, http_reply


@dataclass(frozen=True, slots=True)
class _PendingChange:
    http: HttpRequest
    status: int
    key_fields: dict[str, Any]


class AdminTask(BaseComponent):
    """Administration task; see :func:`make_admin_task`."""

    def __init__(self, incarnation: Incarnation, operators, channel):
        super().__init__(channel=channel)
        self._incarnation = incarnation
        self._operators = [OperatorKey(o.name, o.salt, o.digest) for o in operators]
        self._state: ConfigurationState = empty_state()
        self._fleet = FleetSnapshot()
        self._crashes = make_crash_tracker()
        self._pending: dict[ChangeId, _PendingChange] = {}

    @handler("config_applied", channel="*")
    def _on_config(self, state):
        self._state = state
        self._crashes.set_block_s(defaults(state).crash_block_s)

    @handler("fleet_changed", channel="*")
    def _on_fleet(self, fleet):
        self._fleet = fleet

    @handler("crash_known", channel="*")
    def _on_crash_known(self, report):
        self._crashes.on_crash_report(report, _wall_ms())

    @handler("http_request", "admin_request")
    def _on_request(self, http: HttpRequest):
        try:
            self._handle(http)
        except AdminError as error:
            self._refuse(http, error)

    def _handle(self, http: HttpRequest):
        header = http.headers.get("authorization")
        operator = authenticate_operator(self._operators, header)
        if not is_successful(operator):
            raise AdminError(401, "wrong_key", "an operator key is required")
        parsed = parse_command(http.method, http.path, http.query, http.body)
        if not is_successful(parsed):
            raise parsed.failure()
        self._run_command(http, operator.unwrap(), parsed.unwrap())

    def _run_command(self, http: HttpRequest, operator: str, command: Command):
        match command:
            case ListItems(kind, name):
                self._reply(http, 200, show_items(self._state, kind, name))
            case ShowAudit(limit):
                self._reply(http, 200, show_audit(self._state, limit))
            case ShowFleet():
                self._reply(http, 200, show_fleet(self._fleet, self._state))
            case ShowBlocks():
                self._reply(http, 200, self._show_blocks())
            case SetItem():
                self._submit(http, operator, command)
            case IssueKey():
                self._issue_key(http, operator, command)
            case WithdrawKey(key_id, reason):
                value = {**self._key_value(key_id), "withdrawn": True}
                item = SetItem(Kind.KEY, key_id, value, None, reason, None)
                self._submit(http, operator, item)
            case LiftBlock(digest, reason):
                value = {"digest": digest}
                item = SetItem(Kind.BLOCK_LIFT, digest, value, None, reason, None)
                self._submit(http, operator, item)

    def _show_blocks(self):
        blocked = self._crashes.blocked(_wall_ms(), lifted_blocks(self._state))
        return {"blocks": [{"digest": digest} for digest in blocked]}

    def _key_value(self, key_id: str) -> dict[str, Any]:
        item = self._state.items[Kind.KEY].get(key_id)
        if item is None:
            raise AdminError(404, "not_found", f"there is no key {key_id!r}")
        return item.value.model_dump(mode="json")

    def _issue_key(self, http: HttpRequest, operator: str, command: IssueKey):
        key = issue_key()
        value = {
            "customer": command.customer,
            "salt": key.salt,
            "digest": key.digest,
            "label": command.label,
        }
        item = SetItem(Kind.KEY, key.key_id, value, 0, command.reason, None)
        # Only this response contains the key; its digest is written to the log.
        key_fields = {"key_id": key.key_id, "key": key.text}
        self._submit(http, operator, item, key_fields)

    def _submit(self, http, operator, item: SetItem, key_fields=None):
        current = self._state.items[item.kind].get(item.name)
        version = 0 if current is None else current.version
        if item.value is None and current is None:
            raise AdminError(404, "not_found", f"there is no {item.name!r}")
        change = Change(
            ChangeId(item.change_id or f"{self._incarnation}-{secrets.token_hex(8)}"),
            item.kind,
            item.name,
            version if item.base_version is None else item.base_version,
            item.value,
            operator,
            item.reason,
            _wall_ms(),
        )
        status = 200 if current is not None else 201
        self._pending[change.change_id] = _PendingChange(http, status, key_fields or {})
        self.fire(config_submit(change, self.channel), "config")

    @handler("config_decided")
    def _on_decided(self, outcome):
        pending = self._pending.pop(outcome.change_id, None)
        if pending is None:
            return
        match outcome:
            case Accepted(change_id, offset):
                body = {"change_id": change_id, "offset": offset, "version": offset + 1}
                self._reply(pending.http, pending.status, body | pending.key_fields)
            case Rejected(_, why):
                self._refuse(pending.http, rejection_error(why))
            case _:
                text = f"the outcome is unknown: {outcome.why}"
                self._refuse(pending.http, AdminError(504, "unknown", text))

    def _refuse(self, http: HttpRequest, error: AdminError):
        body = {"error": {"code": error.code, "message": error.message}}
        self._reply(http, error.status, body)

    def _reply(self, http: HttpRequest, status: int, body: dict[str, Any]):
        headers = (("content-type", "application/json"),)
        reply = HttpReply(http.exchange, status, headers, json.dumps(body).encode())
        self.fire(http_reply(reply), http.server)


def rejection_error(why: str) -> AdminError:
    """Return the error for a rejected change.

    Parameters
    ----------
    why : str
        Reason from the configuration task.

    Returns
    -------
    AdminError
        409 for a conflict with another change, 503 if the log is unavailable, else 422.

    Examples
    --------
    >>> rejection_error("conflict: base_version is 3, the item is at 4").status
    409
    """
    if why.startswith("conflict"):
        return AdminError(409, "conflict", why)
    if why.startswith("the log"):
        return AdminError(503, "log_unavailable", why)
    return AdminError(422, "invalid", why)


def _wall_ms() -> int:
    return int(time.time() * 1000)


def make_admin_task(
    incarnation: Incarnation, operators, channel: str = "admin"
) -> AdminTask:
    """Return an administration task.

    Parameters
    ----------
    incarnation : Incarnation
        This process.
    operators : iterable of OperatorSettings
        Operators with the digests of their keys.
    channel : str
        Channel of the task.

    Returns
    -------
    AdminTask
    """
    return AdminTask(incarnation, operators, channel)
