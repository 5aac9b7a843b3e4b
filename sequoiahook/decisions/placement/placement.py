"""The choice of data centres for a request, in order of preference."""

import random
from typing import NamedTuple, Protocol

from sequoiahook.decisions.placement.holder import CreditHolder, PoolKey
from sequoiahook.decisions.placement.settings import PlacementSettings
from sequoiahook.decisions.placement.summaries import Summaries
from sequoiahook.messages.pools import PoolSummary
from sequoiahook.world.configuration import Configuration

__all__ = ["LinkRoom", "Place", "Placement"]

PERCENT = 100
INFINITE = float("inf")


class Place(NamedTuple):
    """A data centre that a request may go to.

    Attributes:
        data_centre: Name of the data centre.
        shift_name: The planned shift whose cap must be reserved first; None if the
            request does not move by a plan.
        needs_credit: Whether a unit of credit must be spent first.
        wait_limit_ms: The pool's owner refuses the request if it would wait longer,
            because the next place is better then; None if it takes any wait.
    """

    data_centre: str
    shift_name: str | None
    needs_credit: bool
    wait_limit_ms: int | None = None


class LinkRoom(Protocol):
    """Tells whether the link to a data centre has bytes left."""

    def has_room(self, destination: str, now: int) -> bool:
        """Return whether a request may be sent to a data centre."""


class Placement:
    """Chooses data centres for the requests that arrive at one instance.

    The choice is a preference only: credit, caps and the pool's owner decide whether a
    request may go there.

    Args:
        settings: Settings of the choice.
        data_centre: Data centre of this instance.
        rng: Source of randomness, for the phase of shares.
        links: Link budgets; None if links have no limit.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        data_centre: str,
        rng: random.Random,
        links: LinkRoom | None = None,
    ):
        self._settings = settings
        self._data_centre = data_centre
        self._rng = rng
        self._links = links
        self._configuration: Configuration | None = None
        self._delay_by_data_centre: dict[str, int] = {}
        self._summaries = Summaries(settings)
        self._own_services: set[str] = set()
        self._is_own_open = True
        self._phase_by_shift: dict[str, int] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take the configuration in force."""
        self._configuration = configuration
        self._delay_by_data_centre = _delays(
            configuration, self._data_centre, self._settings.inside_region_ms
        )
        self._own_services = {
            target.service
            for target in configuration.targets_by_name.values()
            if target.data_centre == self._data_centre
        }
        self._phase_by_shift = {
            name: self._phase_by_shift.get(name, self._rng.randrange(PERCENT))
            for name in configuration.shifts_by_name
        }

    def summarised(self, message: PoolSummary, now: int) -> None:
        """Take the summary of a pool."""
        self._summaries.add(message, now)

    def nearest(self) -> tuple[str, ...]:
        """Return the data centres that can be reached, the own one first."""
        delays = self._delay_by_data_centre
        return tuple(sorted(delays, key=lambda name: (delays[name], name)))

    def delay_ms(self, data_centre: str) -> int:
        """Return the one-way delay to a data centre, in milliseconds."""
        return self._delay_by_data_centre[data_centre]

    def owner_by_pool(self, now: int) -> dict[PoolKey, str]:
        """Return the owner of each pool, as the summaries tell."""
        return self._summaries.owner_by_pool(now)

    def choose(
        self,
        service_name: str,
        deadline_left_ms: int,
        holder: CreditHolder,
        now: int,
        *,
        is_own_open: bool = True,
    ) -> list[Place]:
        """Return where a request may go, best first.

        The own data centre is always among them, since its owner refuses at once what
        it cannot run. Places that need credit are named only while there is some;
        where more would help it is noted with the holder.

        Args:
            service_name: Name of the service.
            deadline_left_ms: How long the caller still waits.
            holder: Credit of this instance.
            now: The time.
            is_own_open: Whether the own data centre's pool has an owner that is heard
                from; without one it comes last.
        """
        self._is_own_open = is_own_open
        planned = self._planned(service_name, holder, now)
        spill = self._spill(service_name, deadline_left_ms, holder, now)
        own = Place(self._data_centre, None, False)
        if not spill:
            return [*planned, own]
        others = [place for _, place in spill]
        limit_ms = int(spill[0][0]) + self._settings.spill_gain_ms
        if self._cost_ms(service_name, self._data_centre, now) > limit_ms:
            return [*planned, *others, own]
        return [*planned, own._replace(wait_limit_ms=limit_ms), *others, own]

    def _planned(
        self, service_name: str, holder: CreditHolder, now: int
    ) -> list[Place]:
        places = []
        for shift in self._configuration.shifts_by_name.values():
            if (shift.service, shift.source) != (service_name, self._data_centre):
                continue
            phase = self._phase_by_shift[shift.name] + shift.share_percent
            self._phase_by_shift[shift.name] = phase % PERCENT
            if phase < PERCENT or shift.destination == self._data_centre:
                continue
            if self._may_send(service_name, shift.destination, holder, now):
                places.append(Place(shift.destination, shift.name, True))
        return places

    def _spill(
        self, service_name: str, deadline_left_ms: int, holder: CreditHolder, now: int
    ) -> list[tuple[float, Place]]:
        own = PoolKey(service_name, self._data_centre)
        is_own_useful = self._is_own_served(service_name, self._data_centre)
        if is_own_useful and not self._summaries.is_scarce(
            own, self._settings.prefetch_percent, now
        ):
            return []
        places = []
        for data_centre in self._delay_by_data_centre:
            if data_centre == self._data_centre:
                continue
            cost_ms = self._cost_ms(service_name, data_centre, now)
            pool = PoolKey(service_name, data_centre)
            service_ms = self._summaries.service_time_ms(pool, now)
            if cost_ms + service_ms >= deadline_left_ms:
                continue
            if self._may_send(service_name, data_centre, holder, now):
                places.append((cost_ms, Place(data_centre, None, True)))
        return sorted(places)

    def _may_send(
        self, service_name: str, data_centre: str, holder: CreditHolder, now: int
    ) -> bool:
        pool = PoolKey(service_name, data_centre)
        if self._links is not None and not self._links.has_room(data_centre, now):
            return False
        holder.want(pool)
        return holder.count(pool, now) > 0

    def _is_own_served(self, service_name: str, data_centre: str) -> bool:
        """Return whether it is the own data centre and can run a service."""
        is_own = data_centre == self._data_centre
        return is_own and self._is_own_open and service_name in self._own_services

    def _cost_ms(self, service_name: str, data_centre: str, now: int) -> float:
        is_own_served = self._is_own_served(service_name, data_centre)
        if data_centre == self._data_centre and not is_own_served:
            return INFINITE
        wait_ms = self._summaries.wait_ms(PoolKey(service_name, data_centre), now)
        if wait_ms is None:
            wait_ms = 0 if is_own_served else INFINITE
        return wait_ms + 2 * self._delay_by_data_centre[data_centre]


def _delays(
    configuration: Configuration, own: str, inside_region_ms: int
) -> dict[str, int]:
    own_region = configuration.region_of(own)
    delay_by_data_centre = {}
    for data_centre in configuration.data_centres_by_name.values():
        if data_centre.name == own:
            delay_by_data_centre[own] = 0
        elif data_centre.region == own_region:
            delay_by_data_centre[data_centre.name] = inside_region_ms
        else:
            delay = _link_delay(configuration, own_region, data_centre.region)
            if delay is not None:
                delay_by_data_centre[data_centre.name] = delay
    return delay_by_data_centre


def _link_delay(configuration: Configuration, one: str, other: str) -> int | None:
    for link in configuration.links_by_name.values():
        if set(link.regions) == {one, other}:
            return link.one_way_ms
    return None
