"""Fair shares of a service's capacity between organisations.

While a service is short of capacity, organisations that ask for more than the weighted
max-min level are admitted in the ratio level / offered; the others are served in full.
A request that the ratio does not admit still gets a free slot if there is one, so that
no capacity is left unused and freed capacity is used at once, before the next ratio.
An admitted request of such an organisation queues only up to a part of the slots, which
leaves room in the queues of targets for organisations under the level.

The level is computed by the leaders of the groups; see `share_exchange`.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.direct.work_counts import WorkCounts, WorkTotals
from sequoiahook.messages.shares import ORGANISATIONS_MAX, ShareDemand
from sequoiahook.world.organisation import Organisation

__all__ = [
    "OrganisationShares",
    "RatioChange",
    "ShareEvidence",
    "ShareSettings",
    "Verdict",
    "contract_weights",
    "max_min_level",
    "ratios",
]

PERCENT = 100
PERMILLE = 1000
CREDIT_REQUESTS_MAX = 2
"""Requests for which an organisation can accumulate credit that found no target."""


class ShareSettings(NamedTuple):
    """Settings of the shares.

    Attributes:
        window_ms: Period over which work is counted.
        slice_ms: Step by which the window moves.
        short_percent: Percentage of requests without capacity above which a service is
            short of capacity.
        valid_ms: Time for which a ratio or a demand applies without confirmation.
        credit_percent: Credit granted, as a percentage of the ratio. Above 100, the
            work started grows by that in each window until targets have no room, also
            if free slots are not seen: with 95 and targets that report one request too
            many, a fifth of the slots stayed unused.
        queue_percent_min: Least number of requests that may queue at a target for a
            request with credit, as a percentage of the slots.
        tolerated_permille: Ratio from which an organisation is not limited. Where all
            organisations ask for slightly too much, limits served 2 % less.
    """

    window_ms: int = 2_000
    slice_ms: int = 200
    short_percent: int = 2
    valid_ms: int = 2_000
    credit_percent: int = 115
    queue_percent_min: int = 50
    tolerated_permille: int = 750


class ShareEvidence(NamedTuple):
    """The ratio that applied to a request, as it is logged.

    Attributes:
        share_permille: Ratio of its organisation, in thousandths.
        share_age_ms: Time since a leader confirmed it.
    """

    share_permille: int
    share_age_ms: int


class Verdict(NamedTuple):
    """How the request of an organisation over the level may use targets.

    Attributes:
        queue_percent: Requests that may queue at a target, as a percentage of its
            slots; 0 if it needs a free slot.
        evidence: The ratio that applied.
        is_credit_spent: Whether credit of its organisation was spent on it.
    """

    queue_percent: int
    evidence: ShareEvidence
    is_credit_spent: bool = False


class RatioChange(NamedTuple):
    """A change of the ratios of a service, for logs.

    Attributes:
        service: Name of the service.
        permille_by_organisation: Ratios in force; empty if all are served in full.
        is_short: Whether the service is short of capacity at this instance.
    """

    service: str
    permille_by_organisation: Mapping[str, int]
    is_short: bool


class _Ratios(NamedTuple):
    permille_by_organisation: Mapping[str, int]
    confirmed_at: int


class OrganisationShares:
    """Counts the work of organisations at this instance, and applies the ratios.

    Attributes:
        weight_by_organisation: Weights of the organisations; empty if all are equal.

    Args:
        settings: The settings.
    """

    def __init__(self, settings: ShareSettings):
        self.settings = settings
        self.weight_by_organisation: Mapping[str, float] = {}
        self._counts_by_service: dict[str, WorkCounts] = {}
        self._ratios_by_service: dict[str, _Ratios] = {}
        self._credit_ms: dict[tuple[str, str], float] = {}
        self._logged_by_service: dict[str, Mapping[str, int]] = {}

    def record_offered(
        self, service: str, organisation: str, work_ms: float, now: int
    ) -> None:
        """Count a request of a caller."""
        self._counts(service).record_offered(organisation, work_ms, now)

    def record_started(
        self, service: str, organisation: str, work_ms: float, now: int
    ) -> None:
        """Count a request that was counted as offered and is sent to a target."""
        self._counts(service).record_started(organisation, work_ms, now)

    def record_refused(self, service: str, now: int) -> None:
        """Count a request that was counted as offered and found no capacity."""
        self._counts(service).record_refused(now)

    def admit(
        self, service: str, organisation: str, work_ms: float, now: int
    ) -> Verdict | None:
        """Return how a request may use targets; None if as any other.

        Spends credit of its organisation if there is enough.
        """
        if not self._ratios_by_service:
            return None
        ratios = self._current_ratios(service, now)
        permille = ratios and ratios.permille_by_organisation.get(organisation)
        if permille is None or permille >= self.settings.tolerated_permille:
            return None
        evidence = ShareEvidence(permille, now - ratios.confirmed_at)
        key = (service, organisation)
        granted_ms = work_ms * permille * self.settings.credit_percent
        credit_ms = self._credit_ms.get(key, 0.0) + granted_ms / (PERMILLE * PERCENT)
        if credit_ms < work_ms:
            self._credit_ms[key] = credit_ms
            return Verdict(self._queue_percent(permille), evidence)
        self._credit_ms[key] = credit_ms - work_ms
        queue_percent = self.settings.queue_percent_min
        queue_percent += 3 * self._queue_percent(permille)
        return Verdict(queue_percent, evidence, is_credit_spent=True)

    def _queue_percent(self, permille: int) -> int:
        """Return how many requests without credit may queue at a target.

        It rises to all slots towards a ratio of 1: where little has to be refused,
        shorter queues would refuse more than necessary.
        """
        return max(0, 2 * permille - PERMILLE) * PERCENT // PERMILLE

    def return_credit(self, service: str, organisation: str, work_ms: float) -> None:
        """Return the credit of a request that found no target."""
        key = (service, organisation)
        credit_ms = self._credit_ms.get(key, 0.0) + work_ms
        self._credit_ms[key] = min(credit_ms, work_ms * CREDIT_REQUESTS_MAX)

    def is_short(self, service: str, now: int) -> bool:
        """Return whether requests of a service find no capacity at this instance."""
        counts = self._counts_by_service.get(service)
        if counts is None:
            return False
        return counts.refused_percent(now) > self.settings.short_percent

    def is_in_force(self, service: str, now: int) -> bool:
        """Return whether a service is short of capacity, here or at other instances."""
        return self.is_short(service, now) or (
            self._current_ratios(service, now) is not None
        )

    def short_services(self, now: int) -> list[str]:
        """Return the services for which demand is to be reported."""
        services = self._counts_by_service.keys() | self._ratios_by_service.keys()
        return sorted(name for name in services if self.is_in_force(name, now))

    def demand(self, service: str, now: int) -> ShareDemand:
        """Return the demand of the callers of this instance."""
        totals = self.totals(service, now)
        seconds = self.settings.window_ms / MS_PER_S
        offered_by_organisation = {
            name: math.ceil(work_ms / seconds)
            for name, work_ms in totals.offered_ms_by_organisation.items()
        }
        started = int(sum(totals.started_ms_by_organisation.values()) / seconds)
        is_short = self.is_short(service, now)
        return bounded(
            ShareDemand("", service, is_short, started, 0, offered_by_organisation)
        )

    def totals(self, service: str, now: int) -> WorkTotals:
        """Return what was counted for a service within the window."""
        counts = self._counts_by_service.get(service)
        if counts is None:
            counts = WorkCounts(self.settings.window_ms, self.settings.slice_ms)
        return counts.totals(now)

    def set_ratios(
        self, service: str, permille_by_organisation: Mapping[str, int], now: int
    ) -> None:
        """Put ratios into force or confirm them."""
        self._ratios_by_service[service] = _Ratios(permille_by_organisation, now)

    def expire(self, now: int) -> None:
        """Forget ratios that were not confirmed, and counts that are out of date."""
        for service in list(self._ratios_by_service):
            if self._current_ratios(service, now) is None:
                del self._ratios_by_service[service]
        if not self._ratios_by_service:
            self._credit_ms.clear()
        for service, counts in list(self._counts_by_service.items()):
            if counts.is_empty(now):
                del self._counts_by_service[service]

    def pop_changes(self, now: int) -> list[RatioChange]:
        """Return the services whose ratios have changed since the last call."""
        changes = []
        logged = self._logged_by_service
        for service in sorted(self._ratios_by_service.keys() | logged.keys()):
            ratios = self._current_ratios(service, now)
            permilles = ratios.permille_by_organisation if ratios else {}
            if permilles != logged.get(service, {}):
                is_short = self.is_short(service, now)
                changes.append(RatioChange(service, permilles, is_short))
                logged[service] = permilles
            if not permilles:
                logged.pop(service, None)
        return changes

    def _counts(self, service: str) -> WorkCounts:
        counts = self._counts_by_service.get(service)
        if counts is None:
            settings = self.settings
            counts = WorkCounts(settings.window_ms, settings.slice_ms)
            self._counts_by_service[service] = counts
        return counts

    def _current_ratios(self, service: str, now: int) -> _Ratios | None:
        ratios = self._ratios_by_service.get(service)
        if ratios is None or now - ratios.confirmed_at > self.settings.valid_ms:
            return None
        return ratios


def max_min_level(
    offered_by_organisation: Mapping[str, float],
    capacity: float,
    weight_by_organisation: Mapping[str, float] | None = None,
) -> float:
    """Return the work a second for each unit of weight that is served in full.

    It is infinite if the capacity is enough for all.

    Args:
        offered_by_organisation: Work that organisations offer a second.
        capacity: Work a second that can be done.
        weight_by_organisation: Weights; 1 for organisations without one.
    """
    weights = weight_by_organisation or {}
    weight_left = sum(weights.get(name, 1.0) for name in offered_by_organisation)
    left = capacity
    by_demand = sorted(
        (offered / weights.get(name, 1.0), name)
        for name, offered in offered_by_organisation.items()
    )
    for demand, name in by_demand:
        level = max(0.0, left) / weight_left
        if demand > level:
            return level
        left -= offered_by_organisation[name]
        weight_left -= weights.get(name, 1.0)
    return math.inf


def contract_weights(organisations: Iterable[Organisation]) -> dict[str, float]:
    """Return the contract rates as weights; none if an organisation has no rate."""
    rate_by_name = {o.name: float(o.contract.rate_per_s) for o in organisations}
    return rate_by_name if all(rate_by_name.values()) else {}


def ratios(
    demands: Iterable[ShareDemand],
    weight_by_organisation: Mapping[str, float] | None = None,
) -> dict[str, int]:
    """Return the ratios of the organisations over the level, in thousandths.

    Args:
        demands: Demands on one service, of instances or groups that do not overlap.
        weight_by_organisation: Weights; 1 for organisations without one.
    """
    weights = weight_by_organisation or {}
    total = combined("", demands)
    offered = total.offered_by_organisation
    level = max_min_level(offered, total.started - total.other, weights)
    return {
        name: int(PERMILLE * level * weights.get(name, 1.0) / work)
        for name, work in offered.items()
        if work > level * weights.get(name, 1.0)
    }


def combined(group: str, demands: Iterable[ShareDemand]) -> ShareDemand:
    """Return the sum of demands on one service."""
    service, is_short, started, other = "", False, 0, 0
    offered: dict[str, int] = {}
    for demand in demands:
        service = demand.service
        is_short = is_short or demand.is_short
        started += demand.started
        other += demand.other
        for name, work in demand.offered_by_organisation.items():
            offered[name] = offered.get(name, 0) + work
    return bounded(ShareDemand(group, service, is_short, started, other, offered))


def bounded(demand: ShareDemand) -> ShareDemand:
    """Return a demand that states at most the largest number of organisations.

    The smallest demands are omitted, since they are under the level.
    """
    offered = demand.offered_by_organisation
    if len(offered) <= ORGANISATIONS_MAX:
        return demand
    largest = sorted(offered, key=offered.__getitem__, reverse=True)
    stated = {name: offered[name] for name in largest[:ORGANISATIONS_MAX]}
    other = demand.other + sum(offered[name] for name in largest[ORGANISATIONS_MAX:])
    return demand._replace(other=other, offered_by_organisation=stated)
