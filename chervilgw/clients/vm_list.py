"""Requests to the platform's list of VMs, and their answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from chervilgw.clients.errors import PlatformError
from chervilgw.codec.documents import DocumentError, load_document
from chervilgw.core.addresses import is_port
from chervilgw.core.ids import VmId, ZoneId
from chervilgw.core.states import VmState
from chervilgw.membership.view import RegisteredVm
from chervilgw.runtime.events import CallDone, HttpCall

_STATES = frozenset(state.value for state in VmState)


def make_list_call(address: str, call: str, reply_to: str) -> HttpCall:
    """Return the call that reads the VM list.

    Parameters
    ----------
    address : str
        Address of the VM list.
    call : str
        Call id.
    reply_to : str
        Channel for the answer.

    Returns
    -------
    HttpCall
    """
    return HttpCall(call, reply_to, address, "GET", "/vms", timeout_s=2.0)


@dataclass(frozen=True, slots=True)
class VmListing:
    """VMs on the list, and what is wrong with each entry that was left out."""

    vms: tuple[RegisteredVm, ...]
    malformed: tuple[str, ...] = ()


def parse_list(answer: CallDone) -> Result[VmListing, PlatformError]:
    """Parse the VM list; a malformed entry does not hide those beside it.

    Parameters
    ----------
    answer : CallDone
        Answer of the platform.

    Returns
    -------
    Result of VmListing or PlatformError

    Examples
    --------
    >>> parse_list(CallDone("1", 200, (), b'{"vms": [{"vm": 7}]}')).unwrap()
    VmListing(vms=(), malformed=('entry 0: no valid vm',))
    """
    if answer.status != 200:
        error = PlatformError(
            f"the VM list answered with status {answer.status}", False
        )
        return Failure(error)
    try:
        items = list(load_document(answer.body)["vms"])
    except (ValueError, KeyError, TypeError) as error:
        return Failure(
            PlatformError(f"malformed answer of the VM list: {error}", False)
        )
    vms, malformed = [], []
    for number, item in enumerate(items):
        try:
            vms.append(_parse_vm(item))
        except DocumentError as error:
            malformed.append(f"entry {number}: {error}")
    return Success(VmListing(tuple(vms), tuple(malformed)))


def _parse_vm(item: Any) -> RegisteredVm:
    if not isinstance(item, dict):
        raise DocumentError("no object")
    for name in ("vm", "zone", "address", "state"):
        if not isinstance(item.get(name), str) or not item[name]:
            raise DocumentError(f"no valid {name}")
    # The host may be a name.
    if not is_port(item["address"].rpartition(":")[2]):
        raise DocumentError("no valid address")
    if item["state"] not in _STATES:
        raise DocumentError("no valid state")
    return RegisteredVm(
        VmId(item["vm"]),
        ZoneId(item["zone"]),
        item["address"],
        VmState(item["state"]) is VmState.DRAINING,
    )
