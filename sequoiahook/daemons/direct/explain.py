"""``GET /explain`` at the metrics address: where a request would go now, and why."""

import json
from typing import Any

from sequoiahook.daemons.caller_exchange import CallerAnswer, CallerRequest
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.request_explanation import (
    TargetExplainer,
    explain_request,
    read_explain_query,
)
from sequoiahook.errors import CheckError

__all__ = ["explain_answer", "is_explain_call"]

EXPLAIN_PATH = b"/explain"
_JSON = (b"content-type", b"application/json")


def is_explain_call(request: CallerRequest) -> bool:
    """Return whether a request asks for an explanation."""
    return request.target_path.partition(b"?")[0] == EXPLAIN_PATH


def explain_answer(
    request: CallerRequest, core: DirectCore, explainer: TargetExplainer, now: int
) -> CallerAnswer:
    """Return the explanation, or the findings in the parameters.

    Args:
        request: The request, whose query describes the request to explain.
        core: The decisions.
        explainer: Explains the selection of targets.
        now: The time in milliseconds.
    """
    if request.method != "GET":
        return CallerAnswer(405, ((b"allow", b"GET"),), b"")
    text = request.target_path.partition(b"?")[2].decode("latin-1")
    try:
        document = explain_request(core, explainer, read_explain_query(text), now)
    except CheckError as error:
        findings = [finding._asdict() for finding in error.findings]
        return _json_answer(400, {"findings": findings})
    return _json_answer(200, document)


def _json_answer(status: int, document: Any) -> CallerAnswer:
    return CallerAnswer(status, (_JSON,), json.dumps(document).encode())
