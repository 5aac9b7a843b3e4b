"""Accepted links, which are bounded until their peers have authenticated themselves."""

from typing import Any

from websockets.asyncio.server import ServerConnection

__all__ = ["AcceptedLink", "UnauthenticatedLinks"]

UNAUTHENTICATED_BYTES_MAX = 8_192
"""Most bytes that a peer may send before it has authenticated itself."""


class UnauthenticatedLinks:
    """Accepted links whose peers have not authenticated themselves, by their age.

    Beyond the limit the oldest is closed: an instance authenticates itself within a
    round trip, so that others cannot keep it from being accepted.

    Args:
        maximum: Largest number of such links.
    """

    def __init__(self, maximum: int):
        self._maximum = maximum
        self._links: dict[AcceptedLink, None] = {}

    def __contains__(self, link: "AcceptedLink") -> bool:
        return link in self._links

    def add(self, link: "AcceptedLink") -> None:
        """Add a link, and close the oldest one if there are too many."""
        self._links[link] = None
        if len(self._links) > self._maximum:
            oldest = next(iter(self._links))
            del self._links[oldest]
            oldest.transport.abort()

    def close_all(self) -> None:
        """Close all such links, also those that are being accepted."""
        self._maximum = 0
        for link in self._links:
            link.transport.abort()

    def remove(self, link: "AcceptedLink") -> None:
        """Remove a link that was closed, or whose peer has authenticated itself."""
        self._links.pop(link, None)


class AcceptedLink(ServerConnection):
    """A link that another instance, or a stranger, has opened.

    Args:
        arguments: Arguments of the base class.
        unauthenticated: The links of which this one is a part at first.
        options: Options of the base class.
    """

    def __init__(
        self, *arguments: Any, unauthenticated: UnauthenticatedLinks, **options: Any
    ):
        super().__init__(*arguments, **options)
        self._unauthenticated = unauthenticated
        self._received_bytes = 0

    def connection_made(self, transport: Any) -> None:
        """Count the link."""
        super().connection_made(transport)
        self._unauthenticated.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the link no longer."""
        self._unauthenticated.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Receive data; too much of a stranger's closes the link."""
        if self in self._unauthenticated:
            self._received_bytes += len(data)
            if self._received_bytes > UNAUTHENTICATED_BYTES_MAX:
                self.transport.abort()
                return
        super().data_received(data)

    def trust(self) -> None:
        """Lift the limits, as the peer has authenticated itself."""
        self._unauthenticated.remove(self)
