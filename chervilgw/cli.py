"""Program ``chervilctl``: the operators' command-line tool."""

from __future__ import annotations

import json
import re
import sys
from collections.abc import Mapping, Sequence
from typing import Any

import fire

from chervilgw.admin.client import CommandError, ExitStatus
from chervilgw.admin.groups import (
    Action,
    Adapters,
    Blocks,
    Connection,
    Customers,
    Defaults,
    Exceptions,
    Keys,
    Models,
    Services,
    as_text,
    wrong_usage,
)
from chervilgw.admin.tables import format_table
from chervilgw.keys.operators import issue_operator_key

_OPERATOR_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class Chervilctl:
    """Operate a chervilgw fleet.

    ``--json`` prints JSON. Exit status: 0 done, 1 refused or not found, 2 wrong usage,
    3 conflict with another change, 4 not reachable.

    Parameters
    ----------
    address : str
        Entry, ip:port or URL; else from CHERVILGW_ADDRESS.
    operator_key : str
        Operator key; else from CHERVILGW_OPERATOR_KEY, which other users of the
        machine cannot read in the list of processes.
    """

    @as_text
    def __init__(self, address=None, operator_key=None):
        connection = self._connection = Connection(address, operator_key)
        self.customers = Customers(connection)
        self.keys = Keys(connection)
        self.models = Models(connection)
        self.adapters = Adapters(connection)
        self.services = Services(connection)
        self.defaults = Defaults(connection)
        self.exceptions = Exceptions(connection)
        self.blocks = Blocks(connection)

    def audit(self, limit=100):
        """Show the newest audit entries."""
        return Action(
            lambda: self._connection.client().get("audit", limit=limit)["entries"],
            format_table,
        )

    def fleet(self):
        """Show VMs, availability zones and what is loaded where."""
        return Action(lambda: self._connection.client().get("fleet"), _show_fleet)

    @as_text
    def operator_key(self, name):
        """Make an operator key: the entry for the settings, and the key itself."""
        if not _OPERATOR_NAME.fullmatch(name):
            wrong_usage(f"name: {name!r} does not match {_OPERATOR_NAME.pattern}")

        def run():
            operator, issued = issue_operator_key(name)
            return {
                "name": operator.name,
                "salt": operator.salt,
                "digest": operator.digest,
                "key": issued.text,
            }

        return Action(run, _show_operator_key)


def _show_fleet(answer: Mapping[str, Any]) -> str:
    parts = (("entries", answer["entries"]), ("backend servers", answer["servers"]))
    return "\n\n".join(f"{title}\n{format_table(rows)}" for title, rows in parts)


def _show_operator_key(answer: Mapping[str, str]) -> str:
    return (
        '# For the entries\' settings, under "operators":\n'
        f"- name: {answer['name']}\n"
        f'  salt: "{answer["salt"]}"\n'
        f'  digest: "{answer["digest"]}"\n'
        "# For the operator; it is not stored anywhere:\n"
        f"{answer['key']}"
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program.

    Parameters
    ----------
    arguments : sequence of str or None
        Command line without the program's name; None for that of the process.

    Returns
    -------
    int
        See :class:`ExitStatus`.
    """
    given = list(sys.argv[1:] if arguments is None else arguments)
    # fire would take the word after --json as its value.
    words = [word for word in given if word != "--json"]
    try:
        action = fire.Fire(
            Chervilctl, words, "chervilctl", lambda v: None if _is_action(v) else v
        )
        if not _is_action(action):
            return ExitStatus.WRONG_USAGE
        result = action.run()
    except CommandError as error:
        print(f"chervilctl: {error}", file=sys.stderr)
        return int(error.status)
    as_json = len(words) < len(given)
    print(json.dumps(result, indent=2) if as_json else action.show(result))
    return ExitStatus.DONE


def _is_action(value: Any) -> bool:
    return isinstance(value, Action)


if __name__ == "__main__":
    sys.exit(main())
