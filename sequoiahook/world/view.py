"""The numbered list of the instances of one data centre."""

from typing import NamedTuple

__all__ = ["DataCentreView"]


class DataCentreView(NamedTuple):
    """Which instances a data centre has, agreed through the platform.

    Attributes:
        data_centre: Name of the data centre.
        number: Grows with each change; a lower number never replaces a higher one.
        instances: Names of the instances, sorted.
    """

    data_centre: str
    number: int
    instances: tuple[str, ...]
