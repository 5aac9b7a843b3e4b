"""Targets: the back-end servers that run requests."""

from typing import NamedTuple

from sequoiahook.options import Section
from sequoiahook.world.instance import Address

__all__ = [
    "TARGET_STATES",
    "LiveTarget",
    "LoadReport",
    "StatedLimit",
    "StatedRest",
    "Target",
    "read_target",
]

PORT_MAX = 65535
SLOTS_MAX = 10_000
TARGET_STATES = ("active", "draining")


class Target(NamedTuple):
    """A back-end server of one service, as configured.

    Attributes:
        name: Unique name.
        service: Name of its service.
        data_centre: Name of its data centre.
        host: IP address.
        port: TCP port.
        slots: Number of requests that it can run at a time.
        state: ``active``, or ``draining`` if it receives no new requests.
    """

    name: str
    service: str
    data_centre: str
    host: str
    port: int
    slots: int
    state: str


def read_target(name: str, section: Section) -> Target:
    """Read one target of a configuration document."""
    return Target(
        name,
        section.string("service"),
        section.string("data_centre"),
        section.string("host"),
        section.integer("port", low=1, high=PORT_MAX),
        section.integer("slots", low=1, high=SLOTS_MAX),
        section.choice("state", TARGET_STATES, default="active"),
    )


class LiveTarget(NamedTuple):
    """A target as described by its own latest report.

    Attributes:
        id: Unique name of this target.
        started_at: Unix time of its start by its own clock; used only to distinguish
            runs.
        service: Name of its service.
        data_centre: Name of its data centre.
        region: Name of the region of that data centre.
        address: Address for connections from instances.
        slots: Number of requests that it can run at a time.
        is_draining: Whether it receives no new requests.
        cold_ms: Remaining time for which it is cold, counted from the report, in
            milliseconds.
    """

    id: str
    started_at: int
    service: str
    data_centre: str
    region: str
    address: Address
    slots: int
    is_draining: bool
    cold_ms: int


class LoadReport(NamedTuple):
    """What one answer of a target reports about its load.

    Attributes:
        open_count: Number of running and waiting requests.
        slots: Number of requests that it can run at a time.
        pace: How long work takes on its machine at present, in percent of the usual
            time; None if it is not reported or out of range.
    """

    open_count: int
    slots: int
    pace: int | None = None


class StatedLimit(NamedTuple):
    """What one answer of a target states about the requests that it accepts.

    Attributes:
        per_s: Requests a second that the target accepts from all instances together;
            None if the answer states no valid limit.
        invalid: Text of a field that is no valid limit; empty if there is none.
    """

    per_s: float | None
    invalid: str = ""


class StatedRest(NamedTuple):
    """What one answer of a target states about a time without requests.

    Attributes:
        duration_ms: Time for which it wants no requests of this instance, in
            milliseconds; 0 if it asks for none.
        invalid: Text of a field that is no valid time; empty if there is none.
    """

    duration_ms: int = 0
    invalid: str = ""
