"""Messages to other instances, and the datagrams that carry them."""

from collections.abc import Iterable
from typing import NamedTuple

from sequoiahook.messages.reports import Body, Datagram
from sequoiahook.world.instance import LiveInstance

__all__ = ["DatagramFactory", "OutgoingBody", "OutgoingDatagram"]


class OutgoingBody(NamedTuple):
    """A message to send.

    Attributes:
        instance: Name of the receiver.
        body: The message.
    """

    instance: str
    body: Body


class OutgoingDatagram(NamedTuple):
    """A datagram to send.

    Attributes:
        instance: Name of the receiver.
        datagram: The datagram.
    """

    instance: str
    datagram: Datagram


class DatagramFactory:
    """Numbers the datagrams of an instance.

    Args:
        me: The instance.
    """

    def __init__(self, me: LiveInstance):
        self._me = me
        self._sequence = 0

    def datagram(self, body: Body) -> Datagram:
        """Return the next datagram."""
        self._sequence += 1
        return Datagram(self._me.name, self._me.incarnation, self._sequence, body)

    def datagrams(self, outgoing: Iterable[OutgoingBody]) -> list[OutgoingDatagram]:
        """Return datagrams; a message for several receivers is carried by one."""
        bodies = list(outgoing)
        datagrams_by_id: dict[int, Datagram] = {}
        for _, body in bodies:
            if id(body) not in datagrams_by_id:
                datagrams_by_id[id(body)] = self.datagram(body)
        return [OutgoingDatagram(n, datagrams_by_id[id(body)]) for n, body in bodies]
