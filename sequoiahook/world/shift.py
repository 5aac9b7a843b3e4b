"""Planned shifts of traffic between data centres."""

from typing import NamedTuple

from sequoiahook.options import Section
from sequoiahook.world.contract import Contract, read_contract

__all__ = ["Shift", "read_shift"]

SHARE_PERCENT_MAX = 100


class Shift(NamedTuple):
    """A planned move of part of a service's traffic.

    Attributes:
        name: Unique name.
        service: Name of the service.
        source: Data centre from which traffic is moved.
        destination: Data centre to which traffic is moved.
        share_percent: Share of the source's traffic to move, in percent.
        cap: Rate limit of the moved requests, over all instances together.
    """

    name: str
    service: str
    source: str
    destination: str
    share_percent: int
    cap: Contract


def read_shift(name: str, section: Section) -> Shift:
    """Read one shift of a configuration document."""
    return Shift(
        name,
        section.string("service"),
        section.string("source"),
        section.string("destination"),
        section.integer("share_percent", low=0, high=SHARE_PERCENT_MAX),
        read_contract(section.section("cap")),
    )
