"""Instances: the processes that steer traffic, and their addresses."""

from typing import NamedTuple

from sequoiahook.options import Section

__all__ = ["Address", "Instance", "LiveInstance", "read_address"]

PORT_MAX = 65535


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Instance(NamedTuple):
    """One run of an instance.

    Attributes:
        name: Unique name.
        incarnation: Random number that identifies this run of the process.
        data_centre: Name of its data centre.
        caller_address: Address for connections from callers.
        link_address: Address for links from other instances.
    """

    name: str
    incarnation: int
    data_centre: str
    caller_address: Address
    link_address: Address


class LiveInstance(NamedTuple):
    """An instance as it registered itself when it started.

    Attributes:
        name: Unique name.
        incarnation: Random number that identifies this run of the process.
        data_centre: Name of its data centre.
        region: Name of the region of that data centre.
        caller_address: Address for connections from callers.
        report_address: Address for reports (UDP) and links (TCP) of other instances.
        link_mbps: Bandwidth of its machine's network link, in megabits per second; 0 if
            unknown.
        handover_address: Address for links that carry requests; None if it accepts no
            requests of other instances.
        protocol: Version of the messages that it understands; instances of earlier
            versions state none.
        is_doubted: Whether another instance that misses its reports has marked its
            entry; one that lives writes it anew.
    """

    name: str
    incarnation: int
    data_centre: str
    region: str
    caller_address: Address
    report_address: Address
    link_mbps: int = 0
    handover_address: Address | None = None
    protocol: int = 1
    is_doubted: bool = False


def read_address(section: Section) -> Address:
    """Read the host and the port of an address."""
    return Address(
        section.string("host"), section.integer("port", low=0, high=PORT_MAX)
    )
