"""Messages that move a pool of targets from one owner to the next."""

from typing import NamedTuple

from sequoiahook.messages.base import message
from sequoiahook.messages.pools import PoolHandover

__all__ = ["PoolAcceptance", "PoolOffer", "PoolTransfer"]


@message
class PoolOffer(NamedTuple):
    """Offers a pool to the successor of its owner.

    Lost: offered again. Repeated: accepted again under the same id. Reordered or
    delayed: the owner ignores an acceptance of an offer that is no longer valid.

    Attributes:
        service: Name of the service.
        offer_id: Id of the offer, unique within the sender's incarnation.
        is_leaving: Whether the sender is stopping; the successor then accepts even if
            its view does not make it the owner.
    """

    service: str
    offer_id: int
    is_leaving: bool


@message
class PoolAcceptance(NamedTuple):
    """Accepts an offer; the sender is ready to own the pool but does not own it yet.

    Lost: the offer is repeated. Repeated: answered with the same transfer. Reordered or
    delayed: ignored if the offer is unknown.

    Attributes:
        service: Name of the service.
        offer_id: Id of the offer.
    """

    service: str
    offer_id: int


@message
class PoolTransfer(NamedTuple):
    """Transfers the pool to the receiver; the sender stops writing to its targets.

    Lost: the acceptance is repeated and answered again. Repeated: ignored by an
    instance that already owns the pool. Delayed: the counts lapse later than necessary.

    Attributes:
        service: Name of the service.
        offer_id: Id of the offer.
        handover: Requests that still run for the sender; its view number is the id of
            the offer.
    """

    service: str
    offer_id: int
    handover: PoolHandover
