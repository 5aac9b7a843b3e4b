"""Views: numbered membership lists of data centres."""

from typing import NamedTuple

__all__ = ["DataCentreView"]


class DataCentreView(NamedTuple):
    """The instances of a data centre, as agreed through the platform.

    Attributes:
        data_centre: Name of the data centre.
        number: Version number, which grows with each change; a lower number never
            replaces a higher one.
        instances: Names of the instances, sorted.
    """

    data_centre: str
    number: int
    instances: tuple[str, ...]
