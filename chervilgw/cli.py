"""Program ``chervilctl``: the operators' command-line tool."""

from __future__ import annotations

import json
import re
import sys
from collections.abc import Mapping, Sequence
from typing import Any

import fire

from chervilgw.admin.client import CommandError, ExitStatus
from chervilgw.admin.config_check import Config
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
    raise_wrong_usage,
)
from chervilgw.admin.tables import format_table
from chervilgw.keys.operators import issue_operator_key

_OPERATOR_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class Chervilctl:
    """Operate a chervilgw fleet.

    ``--json`` prints JSON. Exit status: 0 done, 1 refused, not found or findings,
    2 wrong usage or file, 3 conflict with another change, 4 entry unreachable.

    Parameters
    ----------
    address : str
        Entry as ip:port or URL; default: CHERVILGW_ADDRESS.
    operator_key : str
        Operator key; default: CHERVILGW_OPERATOR_KEY, which unlike an option is not
        visible to other users in the process list.
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
        self.config = Config()

    def audit(self, limit=100):
        """Show the newest audit entries."""
        return Action(
            lambda: self._connection.client().get("audit", limit=limit)["entries"],
            format_table,
        )

    def fleet(self):
        """Show VMs, their availability zones and loaded models."""
        return Action(lambda: self._connection.client().get("fleet"), _format_fleet)

    @as_text
    def operator_key(self, name):
        """Create an operator key; print its settings and the key itself."""
        if not _OPERATOR_NAME.fullmatch(name):
            raise_wrong_usage(f"name: {name!r} does not match {_OPERATOR_NAME.pattern}")

        def run():
            operator, issued = issue_operator_key(name)
            return {
                "name": operator.name,
                "salt": operator.salt,
                "digest": operator.digest,
                "key": issued.text,
            }

        return Action(run, _format_operator_key)


def _format_fleet(answer: Mapping[str, Any]) -> str:
    sections = (("entries", answer["entries"]), ("backend servers", answer["servers"]))
    return "\n\n".join(f"{title}\n{format_table(rows)}" for title, rows in sections)


def _format_operator_key(answer: Mapping[str, str]) -> str:
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
    argv = list(sys.argv[1:] if arguments is None else arguments)
    # fire would parse the argument after --json as its value.
    fire_argv = [word for word in argv if word != "--json"]
    try:
        action = fire.Fire(
            Chervilctl,
            fire_argv,
            "chervilctl",
            lambda v: None if _is_action(v) else v,
        )
        if not _is_action(action):
            return ExitStatus.WRONG_USAGE
        result = action.run()
    except CommandError as error:
        print(f"chervilctl: {error}", file=sys.stderr)
        return int(error.status)
    as_json = len(fire_argv) < len(argv)
    print(json.dumps(result, indent=2) if as_json else action.show(result))
    return int(action.status(result))


def _is_action(value: Any) -> bool:
    return isinstance(value, Action)


if __name__ == "__main__":
    sys.exit(main())
