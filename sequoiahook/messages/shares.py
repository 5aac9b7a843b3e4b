"""Datagrams about the shares of a service's capacity between organisations.

They are sent only while a service is short of capacity, and repeated with the reports.
A lost one is superseded by the next; repeated and late ones are recognised by their
sequence number and ignored. What is not confirmed for two seconds no longer applies.
"""

from typing import NamedTuple

__all__ = ["ORGANISATIONS_MAX", "ShareBody", "ShareDemand", "ShareRatios"]

ORGANISATIONS_MAX = 800
"""Organisations in one datagram, which keeps it below 60,000 bytes.

Names of 60 bytes fit. The organisations with the highest demand are stated.
"""


class ShareDemand(NamedTuple):
    """Work that callers offer to a service, for the leaders that divide its capacity.

    Attributes:
        group: Name of the group that it is the sum of; empty for a single member's.
        service: Name of the service.
        is_short: Whether requests found no capacity at the instances that it covers.
        started: Work started for all organisations, in milliseconds a second.
        other: Work offered by organisations that are not stated, in milliseconds a
            second.
        offered_by_organisation: Work offered, in milliseconds a second.
    """

    group: str
    service: str
    is_short: bool
    started: int
    other: int
    offered_by_organisation: dict[str, int]


class ShareRatios(NamedTuple):
    """Ratios of admission that a leader decided, sent to the members of its group.

    Attributes:
        service: Name of the service.
        permille_by_organisation: Ratio of each organisation that is over the level, in
            thousandths; all others are served in full.
    """

    service: str
    permille_by_organisation: dict[str, int]


ShareBody = ShareDemand | ShareRatios
