"""Choice of candidate data centres for a request, in order of preference."""

import random
from typing import NamedTuple, Protocol

from sequoiahook.decisions.placement.holder import CreditHolder, PoolKey
from sequoiahook.decisions.placement.settings import PlacementSettings
from sequoiahook.decisions.placement.summaries import Summaries
from sequoiahook.messages.pools import PoolSummary
from sequoiahook.world.configuration import Configuration

__all__ = ["Candidate", "LinkCapacity", "Placement"]

FULL_PERCENT = 100
INFINITE_MS = float("inf")


class Candidate(NamedTuple):
    """A data centre that a request may go to.

    Attributes:
        data_centre: Name of the data centre.
        shift_name: Planned shift whose cap must be reserved first; None if the request
            is not moved by a shift.
        needs_credit: Whether a unit of credit must be spent first.
        wait_limit_ms: Longest wait before the pool's owner refuses the request, as the
            next candidate is better then; None if there is no limit.
    """

    data_centre: str
    shift_name: str | None
    needs_credit: bool
    wait_limit_ms: int | None = None


class LinkCapacity(Protocol):
    """Bandwidth budgets of the links to other data centres."""

    def has_room(self, destination: str, now: int) -> bool:
        """Return whether the link to a data centre has bytes left for a request."""


class Placement:
    """Chooses data centres for the requests that arrive at one instance.

    The choice is only a preference: credit, caps and the pool's owner decide whether a
    request is accepted.

    Args:
        settings: Settings of placement.
        data_centre: Data centre of this instance.
        rng: Source of randomness, used for the initial phase of each shift.
        links: Bandwidth budgets of the links; None if links are not limited.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        data_centre: str,
        rng: random.Random,
        links: LinkCapacity | None = None,
    ):
        self._settings = settings
        self._data_centre = data_centre
        self._rng = rng
        self._links = links
        self._configuration: Configuration | None = None
        self._delay_ms_by_data_centre: dict[str, int] = {}
        self._summaries = Summaries(settings)
        self._local_services: set[str] = set()
        self._is_local_pool_open = True
        self._phase_by_shift: dict[str, int] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply the configuration in force."""
        self._configuration = configuration
        self._delay_ms_by_data_centre = _delays_ms(
            configuration, self._data_centre, self._settings.inside_region_ms
        )
        self._local_services = {
            target.service
            for target in configuration.targets_by_name.values()
            if target.data_centre == self._data_centre
        }
        self._phase_by_shift = {
            name: self._phase_by_shift.get(name, self._rng.randrange(FULL_PERCENT))
            for name in configuration.shifts_by_name
        }

    def apply_summary(self, message: PoolSummary, now: int) -> None:
        """Apply the summary of a pool."""
        self._summaries.add(message, now)

    def reachable_data_centres(self) -> tuple[str, ...]:
        """Return the reachable data centres by delay, the local one first."""
        delays_ms = self._delay_ms_by_data_centre
        return tuple(sorted(delays_ms, key=lambda name: (delays_ms[name], name)))

    def delay_ms(self, data_centre: str) -> int:
        """Return the one-way delay to a data centre, in milliseconds."""
        return self._delay_ms_by_data_centre[data_centre]

    def owner_by_pool(self, now: int) -> dict[PoolKey, str]:
        """Return the owner of each pool that has a current summary."""
        return self._summaries.owner_by_pool(now)

    def choose(
        self,
        service_name: str,
        deadline_left_ms: int,
        holder: CreditHolder,
        now: int,
        *,
        is_local_pool_open: bool = True,
    ) -> list[Candidate]:
        """Return the candidates for a request, best first.

        The local data centre is always included, since its owner immediately refuses
        what it cannot run. Candidates that need credit are included only while credit
        is held; demand for more is recorded with the holder.

        Args:
            service_name: Name of the service.
            deadline_left_ms: Time until the caller stops waiting.
            holder: Credit of this instance.
            now: The time in milliseconds.
            is_local_pool_open: Whether the owner of the local data centre's pool is
                live; otherwise the local data centre comes last.
        """
        self._is_local_pool_open = is_local_pool_open
        shift_candidates = self._shift_candidates(service_name, holder, now)
        spillover_candidates = self._spillover_candidates(
            service_name, deadline_left_ms, holder, now
        )
        local_candidate = Candidate(self._data_centre, None, False)
        if not spillover_candidates:
            return [*shift_candidates, local_candidate]
        other_candidates = [candidate for _, candidate in spillover_candidates]
        limit_ms = (
            int(spillover_candidates[0][0]) + self._settings.spillover_gain_min_ms
        )
        if self._cost_ms(service_name, self._data_centre, now) > limit_ms:
            return [*shift_candidates, *other_candidates, local_candidate]
        return [
            *shift_candidates,
            local_candidate._replace(wait_limit_ms=limit_ms),
            *other_candidates,
            local_candidate,
        ]

    def _shift_candidates(
        self, service_name: str, holder: CreditHolder, now: int
    ) -> list[Candidate]:
        candidates = []
        for shift in self._configuration.shifts_by_name.values():
            if (shift.service, shift.source) != (service_name, self._data_centre):
                continue
            phase = self._phase_by_shift[shift.name] + shift.share_percent
            self._phase_by_shift[shift.name] = phase % FULL_PERCENT
            if phase < FULL_PERCENT or shift.destination == self._data_centre:
                continue
            if self._may_send(service_name, shift.destination, holder, now):
                candidates.append(Candidate(shift.destination, shift.name, True))
        return candidates

    def _spillover_candidates(
        self, service_name: str, deadline_left_ms: int, holder: CreditHolder, now: int
    ) -> list[tuple[float, Candidate]]:
        local_pool = PoolKey(service_name, self._data_centre)
        is_local_usable = self._is_served_locally(service_name, self._data_centre)
        if is_local_usable and not self._summaries.has_few_free_slots(
            local_pool, self._settings.prefetch_percent, now
        ):
            return []
        candidates = []
        for data_centre in self._delay_ms_by_data_centre:
            if data_centre == self._data_centre:
                continue
            cost_ms = self._cost_ms(service_name, data_centre, now)
            pool = PoolKey(service_name, data_centre)
            service_ms = self._summaries.service_time_ms(pool, now)
            if cost_ms + service_ms >= deadline_left_ms:
                continue
            if self._may_send(service_name, data_centre, holder, now):
                candidates.append((cost_ms, Candidate(data_centre, None, True)))
        return sorted(candidates)

    def _may_send(
        self, service_name: str, data_centre: str, holder: CreditHolder, now: int
    ) -> bool:
        pool = PoolKey(service_name, data_centre)
        if self._links is not None and not self._links.has_room(data_centre, now):
            return False
        holder.add_demand(pool)
        return holder.count(pool, now) > 0

    def _is_served_locally(self, service_name: str, data_centre: str) -> bool:
        """Return whether a data centre is the local one and can run a service."""
        is_local = data_centre == self._data_centre
        return (
            is_local
            and self._is_local_pool_open
            and service_name in self._local_services
        )

    def _cost_ms(self, service_name: str, data_centre: str, now: int) -> float:
        is_served_locally = self._is_served_locally(service_name, data_centre)
        if data_centre == self._data_centre and not is_served_locally:
            return INFINITE_MS
        wait_ms = self._summaries.wait_ms(PoolKey(service_name, data_centre), now)
        if wait_ms is None:
            wait_ms = 0 if is_served_locally else INFINITE_MS
        return wait_ms + 2 * self._delay_ms_by_data_centre[data_centre]


def _delays_ms(
    configuration: Configuration, local_data_centre: str, inside_region_ms: int
) -> dict[str, int]:
    local_region = configuration.region_of(local_data_centre)
    delay_ms_by_data_centre = {}
    for data_centre in configuration.data_centres_by_name.values():
        if data_centre.name == local_data_centre:
            delay_ms_by_data_centre[local_data_centre] = 0
        elif data_centre.region == local_region:
            delay_ms_by_data_centre[data_centre.name] = inside_region_ms
        else:
            delay_ms = _link_delay_ms(configuration, local_region, data_centre.region)
            if delay_ms is not None:
                delay_ms_by_data_centre[data_centre.name] = delay_ms
    return delay_ms_by_data_centre


def _link_delay_ms(
    configuration: Configuration, region: str, other_region: str
) -> int | None:
    for link in configuration.links_by_name.values():
        if set(link.regions) == {region, other_region}:
            return link.one_way_ms
    return None
