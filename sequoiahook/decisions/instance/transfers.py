"""Transfers of pools between the instances of a data centre.

An owner offers a pool, its successor accepts, and the owner then sends the transfer.
"""

from collections import OrderedDict
from typing import NamedTuple

from sequoiahook.decisions.effects import Send
from sequoiahook.messages.ownership import PoolAcceptance, PoolOffer, PoolTransfer

__all__ = ["Transfers"]

OFFER_RETRY_MS = 100
COMPLETED_TRANSFERS_MAX = 256


class _Outgoing(NamedTuple):
    offer_id: int
    successor: str
    sent_at: int


class _Incoming(NamedTuple):
    offer: PoolOffer
    source: str
    accepted_at: int


class Transfers:
    """Open offers and acceptances, and completed transfers for repetition.

    Args:
        first_id: Start of the offer ids; a random one keeps the ids of different
            incarnations apart.
    """

    def __init__(self, first_id: int):
        self._last_id = first_id
        self._outgoing_by_service: dict[str, _Outgoing] = {}
        self._incoming_by_service: dict[str, _Incoming] = {}
        self._completed_by_offer_id: OrderedDict[int, PoolTransfer] = OrderedDict()

    def offer(
        self, service: str, successor: str, is_leaving: bool, now: int
    ) -> list[Send]:
        """Offer a pool to a successor, again if an earlier offer got no answer."""
        offered = self._outgoing_by_service.get(service)
        if offered is None or offered.successor != successor:
            self._last_id += 1
            offered = _Outgoing(self._last_id, successor, now - OFFER_RETRY_MS)
        if now - offered.sent_at < OFFER_RETRY_MS:
            return []
        self._outgoing_by_service[service] = offered._replace(sent_at=now)
        return [Send(successor, PoolOffer(service, offered.offer_id, is_leaving))]

    def withdraw(self, service: str) -> None:
        """Withdraw the offer of a pool."""
        self._outgoing_by_service.pop(service, None)

    def is_accepted(self, source: str, body: PoolAcceptance) -> bool:
        """Return whether an acceptance matches the current offer of its pool."""
        offered = self._outgoing_by_service.get(body.service)
        return offered is not None and (offered.offer_id, offered.successor) == (
            body.offer_id,
            source,
        )

    def repeat(self, source: str, body: PoolAcceptance) -> list[Send]:
        """Answer a repeated acceptance with the transfer already made for it."""
        completed = self._completed_by_offer_id.get(body.offer_id)
        return [] if completed is None else [Send(source, completed)]

    def transfer(self, successor: str, body: PoolTransfer) -> list[Send]:
        """Send a transfer; from now on the successor owns the pool."""
        self._outgoing_by_service.pop(body.service, None)
        self._completed_by_offer_id[body.offer_id] = body
        if len(self._completed_by_offer_id) > COMPLETED_TRANSFERS_MAX:
            self._completed_by_offer_id.popitem(last=False)
        return [Send(successor, body)]

    def accept(self, source: str, offer: PoolOffer, now: int) -> list[Send]:
        """Accept an offer; ``tick`` repeats the acceptance until the transfer comes."""
        self._incoming_by_service[offer.service] = _Incoming(offer, source, now)
        return [Send(source, PoolAcceptance(offer.service, offer.offer_id))]

    def complete(self, source: str, body: PoolTransfer) -> bool:
        """End an acceptance; return whether the transfer matches it."""
        accepted = self._incoming_by_service.get(body.service)
        if accepted is None or accepted.source != source:
            return False
        if accepted.offer.offer_id != body.offer_id:
            return False
        del self._incoming_by_service[body.service]
        return True

    def clear(self) -> None:
        """Drop all offers and acceptances, which are out of date after a pause."""
        self._outgoing_by_service.clear()
        self._incoming_by_service.clear()

    def tick(self, now: int) -> list[Send]:
        """Repeat acceptances that got no answer in time."""
        effects: list[Send] = []
        for accepted in list(self._incoming_by_service.values()):
            if now - accepted.accepted_at >= OFFER_RETRY_MS:
                effects += self.accept(accepted.source, accepted.offer, now)
        return effects
