"""Requests to the platform's list of VMs, and their answers."""

from __future__ import annotations

import json

from returns.result import Failure, Result, Success

from chervilgw.clients.errors import PlatformError
from chervilgw.core.ids import VmId, ZoneId
from chervilgw.core.states import VmState
from chervilgw.membership.view import RegisteredVm
from chervilgw.runtime.events import CallDone, HttpCall


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


def parse_list(answer: CallDone) -> Result[tuple[RegisteredVm, ...], PlatformError]:
    """Parse the VM list.

    Parameters
    ----------
    answer : CallDone
        Answer of the platform.

    Returns
    -------
    Result of tuple of RegisteredVm or PlatformError

    Examples
    --------
    >>> parse_list(CallDone("1", 200, (), b'{"vms": []}'))
    <Success: ()>
    """
    if answer.status != 200:
        error = PlatformError(
            f"the VM list answered with status {answer.status}", False
        )
        return Failure(error)
    try:
        return Success(
            tuple(
                RegisteredVm(
                    VmId(item["vm"]),
                    ZoneId(item["zone"]),
                    str(item["address"]),
                    VmState(item["state"]) is VmState.DRAINING,
                )
                for item in json.loads(answer.body)["vms"]
            )
        )
    except (ValueError, KeyError, TypeError) as error:
        return Failure(
            PlatformError(f"malformed answer of the VM list: {error}", False)
        )
