"""Log lines and counters on the shares of capacity between organisations."""

import logbook

from sequoiahook.decisions.direct.capacity_control import NO_CAPACITY_CAUSES
from sequoiahook.decisions.direct.organisation_shares import OrganisationShares
from sequoiahook.decisions.direct.requests import Cause, OpenRequest, Refuse
from sequoiahook.metrics import Metrics

__all__ = ["CapacityRefusals", "ShareLog"]

NAMES_MAX = 20
OTHERS = "others"
COUNTED_CAUSES = NO_CAPACITY_CAUSES | {Cause.OVER_SHARE}

log = logbook.Logger("shares")


class ShareLog:
    """Logs the ratios of services when they change.

    Args:
        shares: The ratios in force.
    """

    def __init__(self, shares: OrganisationShares):
        self._shares = shares

    def write(self, now: int) -> None:
        """Log what changed since the last call; at most one line for each service."""
        for change in self._shares.pop_changes(now):
            permilles = change.permille_by_organisation
            lowest = sorted(permilles, key=permilles.__getitem__)[:NAMES_MAX]
            fields = {
                "service": change.service,
                "permille_by_organisation": {name: permilles[name] for name in lowest},
                "over_level": len(permilles),
                "is_short": change.is_short,
            }
            log.info("organisation shares", extra=fields)


class CapacityRefusals:
    """Counts refusals for lack of capacity by organisation, for a few names.

    Args:
        metrics: The counters.
    """

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._names: set[str] = set()

    def record(self, request: OpenRequest, refusal: Refuse) -> None:
        """Count a refusal if it is one for lack of capacity."""
        name = request.organisation
        if not name or refusal.cause not in COUNTED_CAUSES:
            return
        if name not in self._names:
            if len(self._names) >= NAMES_MAX:
                name = OTHERS
            else:
                self._names.add(name)
        self._metrics.count(f"refused for lack of capacity: {name}")
