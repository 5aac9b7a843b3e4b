"""Shares of the data centres in a contract across configuration changes."""

import itertools
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions import rendezvous
from sequoiahook.messages.rights import Amount
from sequoiahook.world.contract import MICRO, Contract, divide_evenly

__all__ = ["Shares", "divide_contract"]

NOTHING = Amount()


def divide_contract(
    name: str, contract: Contract, data_centres: Sequence[str]
) -> dict[str, Amount]:
    """Divide a contract among data centres so that the shares sum to it.

    A rate without capacity for one unit of burst could not be used, so at most as
    many data centres get a share as the burst has units.
    """
    order = rendezvous.order(name, data_centres)[: contract.burst]
    rates = (
        divide_evenly(contract.rate_per_s * MICRO // MS_PER_S, order) if order else {}
    )
    bursts = divide_evenly(contract.burst, order) if order else {}
    return {name: Amount(rates[name], bursts[name] * MICRO) for name in order}


class _ShareVersion(NamedTuple):
    first_number: int
    last_number: int
    shares_by_data_centre: Mapping[str, Amount]

    def share(self, data_centre: str) -> Amount:
        return self.shares_by_data_centre.get(data_centre, NOTHING)


class Shares:
    """The share of one data centre in one contract, as known to one instance.

    A number is settled when every data centre uses no more than its share at that
    number. Until then the instance allows itself the lowest of its shares since the
    last settled number.

    Args:
        data_centre: Data centre of this instance.
    """

    def __init__(self, data_centre: str):
        self._data_centre = data_centre
        self._versions: list[_ShareVersion] = []
        self._number_by_data_centre: dict[str, int] = {}
        self.settled_number: int | None = None

    @property
    def number(self) -> int:
        """The latest configuration number; -1 if there is none."""
        return self._versions[-1].last_number if self._versions else -1

    @property
    def is_settled(self) -> bool:
        """Whether the latest number is settled."""
        return self.settled_number is not None and self.settled_number >= self.number

    @property
    def allowed(self) -> Amount:
        """Rate and capacity that this data centre may use now."""
        if self.settled_number is None or not self._versions:
            return NOTHING
        shares = [version.share(self._data_centre) for version in self._versions]
        allowed = shares[0]
        for share in shares[1:]:
            allowed = allowed.lowest(share)
        return allowed

    @property
    def share(self) -> Amount:
        """The share of this data centre at the latest number."""
        return (
            self._versions[-1].share(self._data_centre) if self._versions else NOTHING
        )

    def configure(
        self,
        number: int,
        shares: Mapping[str, Amount],
        *,
        is_proportional: bool = False,
    ) -> None:
        """Apply a configuration; a number that is not higher is ignored.

        Args:
            number: Number of the configuration.
            shares: The share of each data centre.
            is_proportional: Whether every data centre has a part of the burst. Shares
                then change in proportion to the contract, so those of two numbers
                with the same data centres never sum to more than the larger contract,
                and the first known number counts as settled.
        """
        if not self._versions and is_proportional:
            self.settled_number = number
        if number <= self.number:
            return
        last = self._versions[-1] if self._versions else None
        is_next = last is not None and number == last.last_number + 1
        if is_next and last.shares_by_data_centre == shares:
            self._versions[-1] = last._replace(last_number=number)
        else:
            self._versions.append(_ShareVersion(number, number, dict(shares)))
        self._try_to_settle()

    def record_number(self, data_centre: str, number: int) -> None:
        """Record that a data centre uses no more than its share at a number."""
        recorded = self._number_by_data_centre.get(data_centre, -1)
        self._number_by_data_centre[data_centre] = max(recorded, number)
        self._try_to_settle()

    def record_settled(self, number: int) -> None:
        """Record the report of a peer that a number is settled.

        A number before the first or after the last known one is ignored, as the shares
        in between are not known.
        """
        if (
            not self._versions
            or not self._versions[0].first_number <= number <= self.number
        ):
            return
        if self.settled_number is None or number > self.settled_number:
            self.settled_number = number
            self._trim()
            self._try_to_settle()

    def unsettled_data_centres(self) -> list[str]:
        """Return the other data centres whose numbers are needed to settle."""
        if self.is_settled or not self._versions:
            return []
        return [
            name for name in self._other_data_centres() if not self._is_within(name)
        ]

    def _other_data_centres(self) -> Iterable[str]:
        names = {
            name for version in self._versions for name in version.shares_by_data_centre
        }
        return sorted(names - {self._data_centre})

    def _is_within(self, data_centre: str) -> bool:
        recorded = self._number_by_data_centre.get(data_centre, -1)
        if recorded >= self.number:
            return True
        since = max(
            recorded, -1 if self.settled_number is None else self.settled_number
        )
        share = self._versions[-1].share(data_centre)
        versions = [
            version for version in self._versions if version.last_number >= since
        ]
        if versions[0].first_number > since or not _is_contiguous(versions):
            return False
        return all(
            version.share(data_centre).highest(share) == share for version in versions
        )

    def _try_to_settle(self) -> None:
        if not self.is_settled and not self.unsettled_data_centres() and self._versions:
            self.settled_number = self.number
            self._trim()

    def _trim(self) -> None:
        while (
            len(self._versions) > 1
            and self._versions[0].last_number < self.settled_number
        ):
            del self._versions[0]


def _is_contiguous(versions: Sequence[_ShareVersion]) -> bool:
    return all(
        later.first_number == earlier.last_number + 1
        for earlier, later in itertools.pairwise(versions)
    )
