"""Fields of log lines on requests."""

from typing import Any

from sequoiahook.decisions.direct.fingerprints import fingerprint
from sequoiahook.decisions.direct.requests import OpenRequest

__all__ = ["request_fields"]


def request_fields(request: OpenRequest) -> dict[str, Any]:
    """Return what determined the outcome of an admitted request."""
    fields = {
        "route": request.route.name,
        "service": request.service,
        "organisation": request.organisation,
        "object": request.incoming.object_key,
        "deadline_ms": request.deadline_at - request.arrived_at,
        "attempts": [tuple(record) for record in request.records],
    }
    if request.lost_count:
        fields["fingerprint"] = fingerprint(request).hex()
    if request.crash_evidence is not None:
        fields |= request.crash_evidence._asdict()
    if request.room_wait is not None:
        fields["room_wait_ms"] = request.room_wait.waited_ms
        fields["room_place"] = request.room_wait.place
    if request.verdict is not None and not request.records:
        fields |= request.verdict.evidence._asdict()
    return fields
