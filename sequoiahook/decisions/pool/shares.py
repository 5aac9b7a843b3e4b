"""How slot time is divided over organisations when it is short."""

from collections.abc import Mapping

from sequoiahook.world.contract import Contract

__all__ = ["shares"]


def shares(contract_by_organisation: Mapping[str, Contract]) -> dict[str, float]:
    """Return the share of each organisation for :meth:`Pool.set_shares`.

    It is the square root of the rate: by rate, two requests of a small organisation
    that come together wait for a whole round of the large ones; with equal shares, a
    large one inside its contract would wait for everybody else.
    """
    return {
        name: max(1, contract.rate_per_s) ** 0.5
        for name, contract in contract_by_organisation.items()
    }
