"""Limits on callers that follow from the memory and the descriptors of a machine."""

from typing import NamedTuple

__all__ = ["CallerLimits", "Machine", "caller_limits"]

MIB = 1024 * 1024
MEMORY_MB_DEFAULT = 300
DESCRIPTORS_DEFAULT = 4_096
OWN_MEMORY_MB = 64
"""Memory of an instance without callers: 45 MB when it is idle, and room to grow."""

SPARE_BYTES_MIN = 8 * MIB
CONNECTION_BYTES = 16_384
"""Idle connections take 4 KB, those with half a header of 11 KB take 14 KB."""

REQUEST_BYTES = 131_072
"""Largest part of an answer that is held before its size counts, and its request."""

CONNECTIONS_MAX = 2_000
REQUESTS_MAX = 2_000
OWN_DESCRIPTORS_MIN = 64
"""Descriptors for links to other instances, listening sockets, the store and files."""


class Machine(NamedTuple):
    """What a machine provides for the process.

    Attributes:
        memory_mb: Memory in MB.
        descriptors_max: Number of descriptors that the process may open.
    """

    memory_mb: int = MEMORY_MB_DEFAULT
    descriptors_max: int = DESCRIPTORS_DEFAULT


class CallerLimits(NamedTuple):
    """Limits on all connections of callers together.

    Attributes:
        connections_max: Largest number of connections for requests.
        lookup_connections_max: Largest number of connections for look-ups.
        refusals_max: Largest number of connections that are refused with an answer at
            the same time; others are closed without one.
        requests_max: Largest number of requests in progress.
        idle_targets_max: Largest number of idle connections to all targets.
        body_bytes_max: Largest total of the bodies of all open requests, in bytes; one
            body within its own limit is always accepted.
        unread_bytes_max: Largest total of answers that wait for their callers to read,
            in bytes.
        read_ahead_bytes_max: Largest total of bytes that are read for requests that
            are not complete, in bytes.
    """

    connections_max: int
    lookup_connections_max: int
    refusals_max: int
    requests_max: int
    idle_targets_max: int
    body_bytes_max: int
    unread_bytes_max: int
    read_ahead_bytes_max: int


def caller_limits(machine: Machine) -> CallerLimits:
    """Return the limits for a machine.

    Of the descriptors that the process does not need itself, half are for connections
    of callers and a quarter for the connections to targets that their requests need.
    Of the memory, half is for bodies, a quarter for unread answers, and an eighth for
    bytes that are read ahead.
    """
    spare_bytes = max(SPARE_BYTES_MIN, (machine.memory_mb - OWN_MEMORY_MB) * MIB)
    own_descriptors = max(OWN_DESCRIPTORS_MIN, machine.descriptors_max // 10)
    descriptors = max(20, machine.descriptors_max - own_descriptors)
    by_memory = spare_bytes // 4 // CONNECTION_BYTES
    return CallerLimits(
        connections_max=min(CONNECTIONS_MAX, by_memory, descriptors // 2),
        lookup_connections_max=min(CONNECTIONS_MAX // 4, descriptors // 10),
        refusals_max=descriptors // 20,
        requests_max=min(REQUESTS_MAX, spare_bytes // REQUEST_BYTES, descriptors // 4),
        idle_targets_max=descriptors // 20,
        body_bytes_max=spare_bytes // 2,
        unread_bytes_max=spare_bytes // 4,
        read_ahead_bytes_max=spare_bytes // 8,
    )
