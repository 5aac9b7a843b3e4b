"""Network links between regions."""

from typing import NamedTuple

from sequoiahook.options import Section

__all__ = ["RegionLink", "read_region_link"]

BITS_PER_SECOND_MAX = 10**13
ONE_WAY_MS_MAX = 1000


class RegionLink(NamedTuple):
    """A link between two regions, shared by all traffic between them.

    Attributes:
        name: Unique name.
        regions: Names of the two regions at its ends.
        bits_per_second: Capacity in each direction, in bits per second.
        one_way_ms: Delay in one direction, in milliseconds.
    """

    name: str
    regions: tuple[str, ...]
    bits_per_second: int
    one_way_ms: int


def read_region_link(name: str, section: Section) -> RegionLink:
    """Read one link of a configuration document."""
    regions = section.strings("regions")
    if len(set(regions)) != 2:
        section.report("regions", "must name two different regions")
    return RegionLink(
        name,
        regions,
        section.integer("bits_per_second", low=1, high=BITS_PER_SECOND_MAX),
        section.integer("one_way_ms", low=0, high=ONE_WAY_MS_MAX),
    )
