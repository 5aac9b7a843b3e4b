"""Byte budgets of the links between regions, divided over those that send.

Each direction of a link has a contract in KiB a second. It is divided over the data
centres of the sending region by the configuration, and there over the instances of the
view; uploads and answers are both counted by the instance that sends them, before it
does. The shares are fixed until the next view or configuration.

A share falls at once and rises only after a delay that is longer than any instance
needs to learn of a new view, so the shares in force never sum to more than the
contract.
"""

from collections.abc import Sequence
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.world.configuration import Configuration
from sequoiahook.world.contract import Contract, divide_evenly

__all__ = ["LinkBudget", "LinkBudgets", "LinkSettings", "contract_name", "contracts"]

BITS_PER_KIB = 8 * 1024
BYTES_PER_KIB = 1024
PERCENT = 100


class LinkSettings(NamedTuple):
    """Settings of link budgets.

    Attributes:
        use_percent: Part of a link's capacity that is given out.
        burst_ms: Burst of a direction, as time at its rate, in milliseconds.
        room_percent: A link has room while this part of the burst is left.
        rise_delay_ms: How long a share waits before it rises, in milliseconds.
    """

    use_percent: int = 90
    burst_ms: int = 50
    room_percent: int = 25
    rise_delay_ms: int = 5_000


def contract_name(link_name: str, direction: str) -> str:
    """Return the name of the contract of one direction of a link.

    Args:
        link_name: Name of the link.
        direction: Name of the region that the bytes go to.
    """
    return f"link/{link_name}/{direction}"


def contracts(
    configuration: Configuration, settings: LinkSettings
) -> dict[str, Contract]:
    """Return the contract of each direction of each link, in KiB, by its name."""
    contracts_by_name = {}
    for link in configuration.links_by_name.values():
        kib_per_s = link.bits_per_second * settings.use_percent // PERCENT
        kib_per_s //= BITS_PER_KIB
        contract = Contract(kib_per_s, kib_per_s * settings.burst_ms // MS_PER_S)
        for region in link.regions:
            contracts_by_name[contract_name(link.name, region)] = contract
    return contracts_by_name


class LinkBudget:
    """A token bucket of bytes: this instance's share of one direction.

    Args:
        settings: Settings of link budgets.
    """

    def __init__(self, settings: LinkSettings):
        self._settings = settings
        self._share = Contract(0, 0)
        self._risen_share = Contract(0, 0)
        self._rises_at: int | None = None
        self._millibytes = 0
        self._filled_at = 0

    def set_share(self, share: Contract, now: int) -> None:
        """Take a new share, in bytes: what falls falls now, what rises rises later."""
        self._fill(now)
        lower = Contract(*map(min, self._share, share))
        self._share = lower
        self._risen_share = share
        self._rises_at = None
        if share != lower:
            self._rises_at = now + self._settings.rise_delay_ms

    def has_room(self, now: int) -> bool:
        """Return whether work that needs the link should be sent over it."""
        self._fill(now)
        room = self._share.burst * MS_PER_S * self._settings.room_percent // PERCENT
        return self._share.rate_per_s > 0 and self._millibytes >= room

    def take(self, size: int, now: int) -> int:
        """Debit bytes that are about to be sent.

        Args:
            size: How many bytes there are to send.
            now: The time.

        Returns:
            How many of them may be sent now; 0 if none.
        """
        self._fill(now)
        granted = max(0, min(size, self._millibytes // MS_PER_S))
        self._millibytes -= granted * MS_PER_S
        return granted

    def ready_at(self, size: int, now: int) -> int | None:
        """Return when so many bytes, or a whole burst, can be sent; None if never."""
        self._fill(now)
        size = min(size, max(1, self._share.burst))
        missing = size * MS_PER_S - self._millibytes
        if missing <= 0:
            return now
        if not self._share.rate_per_s:
            return self._rises_at
        return now - (-missing // self._share.rate_per_s)

    def _fill(self, now: int) -> None:
        if self._rises_at is not None and now >= self._rises_at:
            self._add(self._rises_at)
            self._share = self._risen_share
            self._rises_at = None
        self._add(now)

    def _add(self, now: int) -> None:
        elapsed_ms = max(0, now - self._filled_at)
        self._filled_at = max(self._filled_at, now)
        filled = self._millibytes + elapsed_ms * self._share.rate_per_s
        self._millibytes = min(filled, self._share.burst * MS_PER_S)


class LinkBudgets:
    """This instance's shares of all links that leave its region.

    Args:
        settings: Settings of link budgets.
        data_centre: Data centre of this instance.
        instance: Name of this instance.
    """

    def __init__(self, settings: LinkSettings, data_centre: str, instance: str):
        self._settings = settings
        self._data_centre = data_centre
        self._instance = instance
        self._budgets_by_region: dict[str, LinkBudget] = {}
        self._configuration: Configuration | None = None
        self._instances: tuple[str, ...] = ()

    def configure(
        self, configuration: Configuration, instances: Sequence[str], now: int
    ) -> None:
        """Take the configuration and the view in force.

        Args:
            configuration: The configuration.
            instances: Names of the instances of this data centre, in the view's order.
            now: The time.
        """
        is_known = self._configuration is configuration
        if is_known and self._instances == tuple(instances):
            return
        self._configuration = configuration
        self._instances = tuple(instances)
        region = configuration.region_of(self._data_centre)
        contracts_by_name = contracts(configuration, self._settings)
        seen = set()
        for link in configuration.links_by_name.values():
            if region not in link.regions:
                continue
            (other,) = set(link.regions) - {region}
            contract = contracts_by_name[contract_name(link.name, other)]
            budget = self._budgets_by_region.setdefault(
                other, LinkBudget(self._settings)
            )
            budget.set_share(self._share(contract, region, instances), now)
            seen.add(other)
        for other in self._budgets_by_region.keys() - seen:
            del self._budgets_by_region[other]

    def budget(self, destination: str) -> LinkBudget | None:
        """Return the budget for bytes to a data centre; None if there is no limit."""
        if self._configuration is None:
            return None
        region = self._configuration.region_of(destination)
        return self._budgets_by_region.get(region)

    def has_room(self, destination: str, now: int) -> bool:
        """Return whether work may be sent to a data centre."""
        budget = self.budget(destination)
        return budget is None or budget.has_room(now)

    def _share(
        self, contract: Contract, region: str, instances: Sequence[str]
    ) -> Contract:
        if self._instance not in instances:
            return Contract(0, 0)
        data_centres = self._configuration.regions_by_name[region].data_centres
        parts = []
        for total in contract:
            part = divide_evenly(total * BYTES_PER_KIB, sorted(data_centres))
            part = divide_evenly(part[self._data_centre], sorted(instances))
            parts.append(part[self._instance])
        return Contract(*parts)
