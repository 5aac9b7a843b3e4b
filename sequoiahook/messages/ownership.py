"""Messages that move a pool of targets from one owner to the next."""

from typing import NamedTuple

from sequoiahook.messages.base import message
from sequoiahook.messages.pools import PoolHandover

__all__ = ["PoolAcceptance", "PoolOffer", "PoolTransfer"]


@message
class PoolOffer(NamedTuple):
    """The owner of a pool offers it to its successor.

    Lost: offered again. Repeated: accepted again under the same id. Reordered or
    delayed: an acceptance of an offer that no longer stands is ignored.

    Attributes:
        service: Name of the service.
        offer_id: Names the offer among all of the sender's incarnation.
        is_leaving: Whether the sender stops, so that the view does not count.
    """

    service: str
    offer_id: int
    is_leaving: bool


@message
class PoolAcceptance(NamedTuple):
    """The successor is ready to own the pool; it does not own it yet.

    Lost: the offer comes again. Repeated: answered with the same transfer. Reordered
    or delayed: an unknown offer is ignored.

    Attributes:
        service: Name of the service.
        offer_id: As in the offer.
    """

    service: str
    offer_id: int


@message
class PoolTransfer(NamedTuple):
    """The pool is the receiver's; the sender writes nothing to its targets any more.

    Lost: the acceptance comes again and is answered again. Repeated: a pool that is
    owned already is not taken on again. Delayed: the counts lapse later than need be.

    Attributes:
        service: Name of the service.
        offer_id: As in the offer.
        handover: What still runs for the sender; its view number is the offer's id.
    """

    service: str
    offer_id: int
    handover: PoolHandover
