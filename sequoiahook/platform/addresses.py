"""Addresses in the platform's notation."""

import ipaddress

from sequoiahook.options import Section
from sequoiahook.world.instance import Address

__all__ = ["read_host_port"]

PORT_MAX = 65535


def read_host_port(section: Section, key: str) -> Address:
    """Decode an address IP:PORT; an invalid one is reported to the section.

    Returns:
        The address; an empty one if it is invalid.
    """
    host, _, port = section.string(key).rpartition(":")
    is_port = port.isascii() and port.isdigit() and 0 < int(port) <= PORT_MAX
    if not is_port or not _is_ip_address(host):
        section.report(key, "must be an IP address and a port, IP:PORT")
        return Address("", 0)
    return Address(host, int(port))


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
