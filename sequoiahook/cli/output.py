"""Output of commands, as text or JSON."""

import json
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from sequoiahook.cli.exit_codes import ExitCode
from sequoiahook.errors import Finding

__all__ = ["Result", "findings_result", "render", "table"]


class Result(NamedTuple):
    """The result of a command.

    Attributes:
        code: The exit code.
        document: The output as a JSON document.
        text: The output as text.
    """

    code: ExitCode
    document: Any
    text: str


def render(result: Result, *, as_json: bool) -> str:
    """Return the output of a result."""
    if as_json:
        return json.dumps(result.document, indent=2, sort_keys=True)
    return result.text


def findings_result(findings: Iterable[Finding]) -> Result:
    """Return the result for a document that failed its checks."""
    all_findings = list(findings)
    document = {"findings": [finding._asdict() for finding in all_findings]}
    lines = [
        f"invalid: {len(all_findings)} findings",
        *(f"  {item}" for item in all_findings),
    ]
    return Result(ExitCode.INVALID, document, "\n".join(lines))


def table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return rows as aligned text columns, with numbers aligned to the right."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(row[column]) for row in [list(header), *cells])
        for column in range(len(header))
    ]
    return "\n".join(_line(row, widths) for row in [list(header), *cells])


def _line(row: Sequence[str], widths: Sequence[int]) -> str:
    padded = [
        cell.rjust(width) if cell.isdigit() else cell.ljust(width)
        for cell, width in zip(row, widths, strict=True)
    ]
    return "  ".join(padded).rstrip()
