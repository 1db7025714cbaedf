"""Formats items and rows as text for the terminal."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any


def item_rows(items: Iterable[Mapping[str, Any]]) -> list[dict[str, Any]]:
    """Return one flat row for each item.

    The item's version becomes ``item_version``, as models have a field ``version``.

    Examples
    --------
    >>> item_rows([{"name": "a", "version": 3, "value": {"weight": 2}}])
    [{'name': 'a', 'item_version': 3, 'weight': 2}]
    """
    return [
        {"name": item["name"], "item_version": item["version"], **item["value"]}
        for item in items
    ]


def format_table(rows: Sequence[Mapping[str, Any]]) -> str:
    """Return rows as a table with aligned columns.

    Parameters
    ----------
    rows : sequence of mapping
        Rows; the keys of the first one are the columns.

    Returns
    -------
    str

    Examples
    --------
    >>> print(format_table([{"name": "a", "n": 1}, {"name": "long", "n": 20}]))
    name  n
    a     1
    long  20
    """
    if not rows:
        return "(none)"
    columns = list(rows[0])
    lines = [
        columns,
        *([_format_cell(row.get(name)) for name in columns] for row in rows),
    ]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_fields(fields: Mapping[str, Any]) -> str:
    """Return one line for each field.

    Examples
    --------
    >>> print(format_fields({"name": "a", "weight": 2}))
    name    a
    weight  2
    """
    width = max(map(len, fields), default=0)
    return "\n".join(
        f"{name:<{width}}  {_format_cell(fields[name])}" for name in fields
    )


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, str):
        return value.replace("\n", " ") or "-"
    if isinstance(value, list) and all(isinstance(item, str) for item in value):
        return ",".join(value) or "-"
    return json.dumps(value, ensure_ascii=False)
