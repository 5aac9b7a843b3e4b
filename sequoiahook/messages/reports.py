"""Reports: what instances that send to targets themselves tell each other.

A report is a whole statement of its sender at a moment. A lost or repeated one does no
harm, since the next one says all again; an older one that arrives late is recognised by
its sequence and ignored.
"""

from typing import NamedTuple

__all__ = ["Report"]


class Report(NamedTuple):
    """What one instance tells another.

    Attributes:
        sender: Name of the sender.
        incarnation: Incarnation of the sender.
        sequence: Grows with each report of the incarnation.
        is_leaving: Whether the sender is about to stop.
        is_serving: Whether the sender can serve callers.
        configuration_number: Configuration in force at the sender.
        open_by_target: Requests that the sender has open at targets, by target id.
        demand_by_organisation: What organisations ask of the sender, in thousandths of
            a request a second.
        grant_by_organisation: Part of each rate that the receiver may use, in
            thousandths.
    """

    sender: str
    incarnation: int
    sequence: int
    is_leaving: bool
    is_serving: bool
    configuration_number: int
    open_by_target: dict[str, int]
    demand_by_organisation: dict[str, int]
    grant_by_organisation: dict[str, int]
