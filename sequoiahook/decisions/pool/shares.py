"""Division of scarce slot time over organisations."""

from collections.abc import Mapping

from sequoiahook.world.contract import Contract

__all__ = ["shares"]


def shares(contract_by_organisation: Mapping[str, Contract]) -> dict[str, float]:
    """Return the share of each organisation for :meth:`Pool.set_shares`.

    A share is the square root of the contract rate. Proportional shares would make two
    simultaneous requests of a small organisation wait for a whole round of the large
    ones; equal shares would delay a large organisation within its contract.
    """
    return {
        name: max(1, contract.rate_per_s) ** 0.5
        for name, contract in contract_by_organisation.items()
    }
