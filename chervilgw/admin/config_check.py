"""Command ``chervilctl config check``: checks a file without contacting an entry."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict
from pathlib import Path
from typing import Any

from chervilgw.admin.client import CommandError, ExitStatus
from chervilgw.admin.groups import Action, as_text
from chervilgw.admin.tables import format_table
from chervilgw.configuration.check import Finding, check_deployment
from chervilgw.configuration.differences import compare_deployments
from chervilgw.core.deployment import Deployment
from chervilgw.platform.configuration import decode_configuration
from chervilgw.platform.errors import DecodeError


class Config:
    """Configurations in the platform's format, in files."""

    @as_text
    def check(self, file, *, against=None):
        """Check a configuration file; --against shows what it changes of another."""
        return Action(lambda: _check_file(file, against), _format_result, _status)


def _check_file(file: str, against: str | None) -> dict[str, Any]:
    proposed = _read_deployment(file)
    differences = None
    if against is not None:
        compared = compare_deployments(_read_deployment(against), proposed)
        differences = [asdict(difference) for difference in compared]
    findings = [_finding_row(finding) for finding in check_deployment(proposed)]
    return {"findings": findings, "differences": differences}


def _read_deployment(file: str) -> Deployment:
    try:
        return decode_configuration(Path(file).read_bytes())
    except OSError as error:
        reason = error.strerror or str(error)
    except DecodeError as error:
        reason = str(error)
    raise CommandError(ExitStatus.WRONG_USAGE, f"{file}: {reason}")


def _finding_row(finding: Finding) -> dict[str, str]:
    return {"kind": finding.kind.value, "place": finding.place, "text": finding.text}


def _format_result(result: Mapping[str, Any]) -> str:
    sections = [f"findings\n{format_table(result['findings'])}"]
    if result["differences"] is not None:
        sections.append(f"differences\n{format_table(result['differences'])}")
    return "\n\n".join(sections)


def _status(result: Mapping[str, Any]) -> ExitStatus:
    return ExitStatus.REFUSED if result["findings"] else ExitStatus.DONE
