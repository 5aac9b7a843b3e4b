"""Commands that show and change the configuration."""

import secrets
import time
from typing import Any

from sequoiahook.changes import MergePatch
from sequoiahook.cli.exit_codes import ExitCode
from sequoiahook.cli.operator_client import (
    OperatorAnswerLostError,
    OperatorSettings,
    call_operator,
    read_document,
    read_operator_settings,
)
from sequoiahook.cli.output import Result, findings_result, table
from sequoiahook.errors import Finding

__all__ = ["apply", "configuration", "patch", "patch_outcome", "status"]

PATCH_ID_BYTES = 12
_EXIT_CODES_BY_OUTCOME = {
    "accepted": ExitCode.OK,
    "stale": ExitCode.STALE,
    "invalid": ExitCode.INVALID,
    "unknown": ExitCode.OUTCOME_UNKNOWN,
}


def configuration(*, operator: str = "operator.json") -> Result:
    """Show the configuration and its number.

    Args:
        operator: JSON file with the operator's settings.
    """
    settings = read_operator_settings(operator)
    document = call_operator(settings, "GET", "/configuration").document
    lines = [f"configuration {document['number']}"]
    for section, entries in sorted(document["document"].items()):
        lines.append(f"{section}:")
        lines.extend(f"  {name}: {entry}" for name, entry in sorted(entries.items()))
    return Result(ExitCode.OK, document, "\n".join(lines))


def patch(
    file: str, *, against: int, patch_id: str = "", operator: str = "operator.json"
) -> Result:
    """Apply a merge patch to the configuration.

    Exits with 0 if accepted, 3 if stale, 4 if invalid, 5 if the outcome is unknown.

    Args:
        file: JSON file with the merge patch.
        against: Number of the configuration that the patch changes.
        patch_id: Id of the patch; a patch repeated with its id is applied only once.
        operator: JSON file with the operator's settings.
    """
    settings = read_operator_settings(operator)
    return _apply(settings, read_document(file), against, patch_id)


def patch_outcome(patch_id: str, *, operator: str = "operator.json") -> Result:
    """Query the outcome of a patch.

    Args:
        patch_id: Id of the patch.
        operator: JSON file with the operator's settings.
    """
    settings = read_operator_settings(operator)
    answer = call_operator(settings, "GET", f"/patches/{patch_id}")
    return _outcome(answer.document)


def status(*, wait_ms: int = 0, operator: str = "operator.json") -> Result:
    """Show the configuration number in force at each instance.

    Exits with 1 if the numbers still differ after the wait.

    Args:
        wait_ms: Longest time to wait for equal numbers, in milliseconds.
        operator: JSON file with the operator's settings.
    """
    settings = read_operator_settings(operator)
    deadline_at = time.monotonic() + wait_ms / 1000
    while True:
        document = call_operator(settings, "GET", "/status").document
        numbers = set(document["number_by_instance"].values())
        if len(numbers) <= 1 or time.monotonic() >= deadline_at:
            break
        time.sleep(0.1)
    rows = sorted(document["number_by_instance"].items())
    code = ExitCode.OK if len(numbers) <= 1 else ExitCode.FAILED
    return Result(code, document, table(("instance", "number"), rows))


def apply(changes: MergePatch, operator: str, against: int) -> Result:
    """Apply a merge patch that a command has built.

    Args:
        changes: The merge patch.
        operator: JSON file with the operator's settings.
        against: Number of the configuration to change; 0 for the current one.
    """
    settings = read_operator_settings(operator)
    if not against:
        against = call_operator(settings, "GET", "/configuration").document["number"]
    return _apply(settings, changes, against, "")


def _apply(
    settings: OperatorSettings, changes: Any, against: int, patch_id: str
) -> Result:
    patch_id = patch_id or secrets.token_hex(PATCH_ID_BYTES)
    body = {"id": patch_id, "against": against, "changes": changes}
    try:
        answer = call_operator(settings, "POST", "/patches", body)
    except OperatorAnswerLostError:
        return _outcome({"outcome": "unknown", "id": patch_id})
    return _outcome(answer.document)


def _outcome(document: dict[str, Any]) -> Result:
    outcome = document.get("outcome", "")
    code = _EXIT_CODES_BY_OUTCOME.get(outcome, ExitCode.FAILED)
    if outcome == "accepted":
        return Result(code, document, f"accepted as {document['number']}")
    if outcome == "stale":
        text = f"stale: the current number is {document['number']}"
        return Result(code, document, text)
    if outcome == "invalid":
        findings = [Finding(f["place"], f["problem"]) for f in document["findings"]]
        return findings_result(findings)._replace(document=document)
    if outcome == "unknown":
        text = f"outcome unknown: run `sequoiahook patch-outcome {document['id']}`"
        return Result(code, document, text)
    return Result(code, document, f"failed: {document}")
