"""The share of each data centre in a contract, over changes of configuration."""

import itertools
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions import rendezvous
from sequoiahook.messages.rights import Amount
from sequoiahook.world.contract import MICRO, Contract, divide

__all__ = ["Shares", "share_out"]

NOTHING = Amount()


def share_out(
    name: str, contract: Contract, data_centres: Sequence[str]
) -> dict[str, Amount]:
    """Divide a contract over data centres so that the parts sum to it.

    A rate without room for one unit of burst could not be used, so only as many data
    centres get a part as the burst has units.
    """
    order = rendezvous.order(name, data_centres)[: contract.burst]
    rates = divide(contract.rate_per_s * MICRO // MS_PER_S, order) if order else {}
    bursts = divide(contract.burst, order) if order else {}
    return {name: Amount(rates[name], bursts[name] * MICRO) for name in order}


class _Era(NamedTuple):
    first_number: int
    last_number: int
    shares_by_data_centre: Mapping[str, Amount]

    def share(self, data_centre: str) -> Amount:
        return self.shares_by_data_centre.get(data_centre, NOTHING)


class Shares:
    """What one data centre may use of one contract, as one instance knows it.

    A number is settled when every data centre uses no more than its share at that
    number. Until then the instance allows itself the lowest of its shares since the
    last settled number.

    Args:
        data_centre: Data centre of this instance.
    """

    def __init__(self, data_centre: str):
        self._data_centre = data_centre
        self._eras: list[_Era] = []
        self._number_by_data_centre: dict[str, int] = {}
        self.settled_number: int | None = None

    @property
    def number(self) -> int:
        """The latest configuration number; -1 if there is none."""
        return self._eras[-1].last_number if self._eras else -1

    @property
    def is_settled(self) -> bool:
        """Whether the latest number is settled."""
        return self.settled_number is not None and self.settled_number >= self.number

    @property
    def allowed(self) -> Amount:
        """Rate and capacity that this data centre may use now."""
        if self.settled_number is None or not self._eras:
            return NOTHING
        shares = [era.share(self._data_centre) for era in self._eras]
        allowed = shares[0]
        for share in shares[1:]:
            allowed = allowed.lowest(share)
        return allowed

    @property
    def share(self) -> Amount:
        """The share of this data centre at the latest number."""
        return self._eras[-1].share(self._data_centre) if self._eras else NOTHING

    def configure(
        self,
        number: int,
        shares: Mapping[str, Amount],
        *,
        is_proportional: bool = False,
    ) -> None:
        """Take in a configuration; a number that is not higher is ignored.

        Args:
            number: Number of the configuration.
            shares: The share of each data centre.
            is_proportional: Whether every data centre has a part of the burst. Shares
                then rise and fall together with the contract, so those of two numbers
                with the same data centres never sum to more than the larger contract,
                and the first number that is known counts as settled.
        """
        if not self._eras and is_proportional:
            self.settled_number = number
        if number <= self.number:
            return
        last = self._eras[-1] if self._eras else None
        is_next = last is not None and number == last.last_number + 1
        if is_next and last.shares_by_data_centre == shares:
            self._eras[-1] = last._replace(last_number=number)
        else:
            self._eras.append(_Era(number, number, dict(shares)))
        self._try_to_settle()

    def note_number(self, data_centre: str, number: int) -> None:
        """Note that a data centre uses no more than its share at a number."""
        known = self._number_by_data_centre.get(data_centre, -1)
        self._number_by_data_centre[data_centre] = max(known, number)
        self._try_to_settle()

    def note_settled(self, number: int) -> None:
        """Take from a peer that a number is settled.

        A number before the first or after the last known one says nothing that could
        be used: shares in between are not known.
        """
        if not self._eras or not self._eras[0].first_number <= number <= self.number:
            return
        if self.settled_number is None or number > self.settled_number:
            self.settled_number = number
            self._trim()
            self._try_to_settle()

    def unsettled_data_centres(self) -> list[str]:
        """Return the other data centres whose number is needed to settle."""
        if self.is_settled or not self._eras:
            return []
        return [name for name in self._others() if not self._is_within(name)]

    def _others(self) -> Iterable[str]:
        names = {name for era in self._eras for name in era.shares_by_data_centre}
        return sorted(names - {self._data_centre})

    def _is_within(self, data_centre: str) -> bool:
        noted = self._number_by_data_centre.get(data_centre, -1)
        if noted >= self.number:
            return True
        since = max(noted, -1 if self.settled_number is None else self.settled_number)
        share = self._eras[-1].share(data_centre)
        eras = [era for era in self._eras if era.last_number >= since]
        if eras[0].first_number > since or not _is_contiguous(eras):
            return False
        return all(era.share(data_centre).highest(share) == share for era in eras)

    def _try_to_settle(self) -> None:
        if not self.is_settled and not self.unsettled_data_centres() and self._eras:
            self.settled_number = self.number
            self._trim()

    def _trim(self) -> None:
        while len(self._eras) > 1 and self._eras[0].last_number < self.settled_number:
            del self._eras[0]


def _is_contiguous(eras: Sequence[_Era]) -> bool:
    return all(
        later.first_number == earlier.last_number + 1
        for earlier, later in itertools.pairwise(eras)
    )
