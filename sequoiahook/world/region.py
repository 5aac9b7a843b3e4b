"""Regions and their data centres."""

from typing import NamedTuple

from sequoiahook.options import Section

__all__ = ["DataCentre", "Region", "read_region"]


class DataCentre(NamedTuple):
    """A data centre with its own instances and targets.

    Attributes:
        name: Name, unique over all regions.
        region: Name of its region.
    """

    name: str
    region: str


class Region(NamedTuple):
    """A group of data centres that are close to each other.

    Attributes:
        name: Unique name.
        data_centres: Names of its data centres.
    """

    name: str
    data_centres: tuple[str, ...]


def read_region(name: str, section: Section) -> Region:
    """Read one region of a configuration document."""
    data_centres = section.strings("data_centres")
    if not data_centres:
        section.report("data_centres", "must name at least one data centre")
    return Region(name, data_centres)
