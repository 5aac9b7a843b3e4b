"""What an instance asks its daemon to do, and what the daemon tells it."""

from typing import Any, NamedTuple

from sequoiahook.decisions.platform_calls import PlatformCall
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.requests import Fields
from sequoiahook.wire.trace import Span
from sequoiahook.world.instance import Address

__all__ = [
    "Arrival",
    "CallPlatform",
    "CloseConnection",
    "Dial",
    "EmitSpan",
    "Note",
    "OperatorReply",
    "Transmit",
]


class Arrival(NamedTuple):
    """A whole request of a caller.

    Attributes:
        number: Number of the request, unique in this run of the process.
        connection_id: Number of the caller's connection.
        client_host: IP number of the caller.
        method: HTTP method.
        target_path: Path and query as sent.
        headers: Fields as sent.
        body: Whole body.
    """

    number: int
    connection_id: int
    client_host: str
    method: str
    target_path: bytes
    headers: Fields
    body: bytes


class Transmit(NamedTuple):
    """Write an envelope to the link to a peer.

    Attributes:
        peer: Name of the peer.
        envelope: The envelope; its destination may lie behind the peer.
    """

    peer: str
    envelope: Envelope


class Dial(NamedTuple):
    """Hold links to these peers, and to no others.

    Attributes:
        address_by_peer: Link addresses by name of the peer.
    """

    address_by_peer: dict[str, Address]


class CallPlatform(NamedTuple):
    """Call the platform and report the answer under the ticket.

    Attributes:
        ticket: Number of the call, unique in this run of the process.
        call: The call.
    """

    ticket: int
    call: PlatformCall


class CloseConnection(NamedTuple):
    """Close a caller's connection as soon as its current request is answered."""

    connection_id: int


class EmitSpan(NamedTuple):
    """Write a span to the trace."""

    span: Span


class Note(NamedTuple):
    """Write a line to the log.

    Attributes:
        event: What happened.
        fields: Names and values; never a key.
    """

    event: str
    fields: dict[str, Any]


class OperatorReply(NamedTuple):
    """Answer an operator's request.

    Attributes:
        ticket: Number of the operator's request.
        document: The answer as JSON.
    """

    ticket: int
    document: dict[str, Any]
