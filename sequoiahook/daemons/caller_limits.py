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

REQUEST_BYTES = 65_536
"""Largest part of an answer that is held before its size counts. Most requests wait for
a target, and take much less."""

CONNECTIONS_MAX = 2_000
REQUESTS_MAX = 2_000
EXECUTION_BYTES_MAX = 32 * MIB
OWN_DESCRIPTORS_MIN = 64
OWN_DESCRIPTORS_USUAL = 200
"""Descriptors for links to other instances, listening sockets, the store and files, and
for connections to all ports that are not for callers."""

AUXILIARY_CONNECTIONS_MAX = 16
AUXILIARY_REFUSALS_MAX = 4
UNAUTHENTICATED_MAX = 64
PORT_DIVISOR = 12
REFUSALS_DIVISOR = 32
"""Parts of the own descriptors that connections to one of these ports take."""

CONNECTIONS_PERCENT = 45
REQUESTS_PERCENT = 35
LOOKUPS_PERCENT = 8
IDLE_TARGETS_PERCENT = 8
REFUSALS_PERCENT = 3
"""Shares of the descriptors."""


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
        auxiliary_connections_max: Largest number of connections to each of the ports
            for readiness checks and metrics.
        auxiliary_refusals_max: Largest number of connections to each port but that of
            callers that are refused with an answer at the same time.
        unauthenticated_max: Largest number of connections to each of the ports for
            links whose peers have not authenticated themselves.
        requests_max: Largest number of requests in progress.
        idle_targets_max: Largest number of idle connections to all targets.
        head_bytes_max: Largest total of the memory of the header fields of all open
            requests, in bytes.
        body_bytes_max: Largest total of the bodies of all open requests, in bytes; one
            body within its own limit is always accepted.
        unread_bytes_max: Largest total of answers that wait for their callers to read,
            in bytes.
        read_ahead_bytes_max: Largest total of bytes that are read for requests that
            are not complete, in bytes.
        execution_bytes_max: Largest total of the bodies of requests that peers hand
            over, and of the answers to them that were not acknowledged yet, in bytes.
    """

    connections_max: int
    lookup_connections_max: int
    refusals_max: int
    auxiliary_connections_max: int
    auxiliary_refusals_max: int
    unauthenticated_max: int
    requests_max: int
    idle_targets_max: int
    head_bytes_max: int
    body_bytes_max: int
    unread_bytes_max: int
    read_ahead_bytes_max: int
    execution_bytes_max: int


def caller_limits(machine: Machine) -> CallerLimits:
    """Return the limits for a machine.

    The shares are those of the memory and of the descriptors that the process does not
    need itself. A request needs a descriptor for its target, and may wait for it.
    """
    spare_bytes = max(SPARE_BYTES_MIN, (machine.memory_mb - OWN_MEMORY_MB) * MIB)
    own_descriptors = _own_descriptors(machine.descriptors_max)
    by_port = own_descriptors // PORT_DIVISOR
    descriptors = max(20, machine.descriptors_max - own_descriptors)
    by_memory = spare_bytes // 4 // CONNECTION_BYTES
    return CallerLimits(
        connections_max=min(
            CONNECTIONS_MAX, by_memory, descriptors * CONNECTIONS_PERCENT // 100
        ),
        lookup_connections_max=min(
            CONNECTIONS_MAX // 4, descriptors * LOOKUPS_PERCENT // 100
        ),
        refusals_max=max(1, descriptors * REFUSALS_PERCENT // 100),
        auxiliary_connections_max=min(AUXILIARY_CONNECTIONS_MAX, by_port),
        auxiliary_refusals_max=min(
            AUXILIARY_REFUSALS_MAX, own_descriptors // REFUSALS_DIVISOR
        ),
        unauthenticated_max=min(UNAUTHENTICATED_MAX, by_port),
        requests_max=min(
            REQUESTS_MAX,
            spare_bytes // REQUEST_BYTES,
            descriptors * REQUESTS_PERCENT // 100,
        ),
        idle_targets_max=descriptors * IDLE_TARGETS_PERCENT // 100,
        head_bytes_max=spare_bytes // 8,
        body_bytes_max=spare_bytes // 2,
        unread_bytes_max=spare_bytes // 4,
        read_ahead_bytes_max=spare_bytes // 8,
        execution_bytes_max=min(EXECUTION_BYTES_MAX, spare_bytes // 4),
    )


def _own_descriptors(descriptors_max: int) -> int:
    usual = min(OWN_DESCRIPTORS_USUAL, descriptors_max // 3)
    return max(OWN_DESCRIPTORS_MIN, usual, descriptors_max // 10)
