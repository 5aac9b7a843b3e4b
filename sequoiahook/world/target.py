"""Targets: the back ends that run requests."""

from typing import NamedTuple

from sequoiahook.options import Section
from sequoiahook.world.instance import Address

__all__ = ["TARGET_STATES", "LiveTarget", "Target", "read_target"]

PORT_MAX = 65535
SLOTS_MAX = 10_000
TARGET_STATES = ("active", "draining")


class Target(NamedTuple):
    """A back end that runs requests of one service.

    Attributes:
        name: Unique name.
        service: Name of its service.
        data_centre: Name of the data centre that it stands in.
        host: IP number.
        port: TCP port.
        slots: How many requests it runs at a time.
        state: ``active``, or ``draining`` if it gets no new work.
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
    """A target as it last described itself.

    Attributes:
        id: Name of this run of the target.
        started: Start of this run, as the target tells it; only compared for equality.
        service: Name of its service.
        data_centre: Name of the data centre that it stands in.
        region: Region of that data centre.
        address: Where it listens.
        slots: How many requests it runs at a time.
        is_draining: Whether it gets no new work.
        cold_ms: For how long it stays cold, from when this was said.
    """

    id: str
    started: int
    service: str
    data_centre: str
    region: str
    address: Address
    slots: int
    is_draining: bool
    cold_ms: int
