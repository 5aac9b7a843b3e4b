"""Effects that the daemon of an instance carries out, and the requests it reports."""

from typing import Any, NamedTuple

from sequoiahook.decisions.platform_calls import PlatformCall
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.requests import Fields
from sequoiahook.wire.trace import Span
from sequoiahook.world.instance import Address

__all__ = [
    "CallPlatform",
    "CloseConnection",
    "EmitSpan",
    "LogEvent",
    "OperatorReply",
    "ReceivedRequest",
    "SetPeerLinks",
    "Transmit",
]


class ReceivedRequest(NamedTuple):
    """A caller's complete request.

    Attributes:
        number: Number of the request, unique in this run of the process.
        connection_id: Number of the caller's connection.
        client_host: IP address of the caller.
        method: HTTP method.
        target_path: Path and query as received.
        headers: Header fields as received.
        body: The complete body.
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
        envelope: The envelope; the peer may have to forward it to its destination.
    """

    peer: str
    envelope: Envelope


class SetPeerLinks(NamedTuple):
    """Keep links to these peers and close all others.

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


class LogEvent(NamedTuple):
    """Write a line to the log.

    Attributes:
        event: What happened.
        fields: Values by name; they never contain an API key.
    """

    event: str
    fields: dict[str, Any]


class OperatorReply(NamedTuple):
    """Reply to an operator's request.

    Attributes:
        ticket: Number of the operator's request.
        document: The reply, as JSON values.
    """

    ticket: int
    document: dict[str, Any]
