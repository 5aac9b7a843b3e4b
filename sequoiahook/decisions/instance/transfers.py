"""Offers of pools between the instances of a data centre."""

from collections import OrderedDict
from typing import NamedTuple

from sequoiahook.decisions.effects import Send
from sequoiahook.messages.ownership import PoolAcceptance, PoolOffer, PoolTransfer

__all__ = ["Transfers"]

OFFER_RETRY_MS = 100
TRANSFERS_KEPT = 256


class _Outgoing(NamedTuple):
    offer_id: int
    successor: str
    sent_at: int


class _Incoming(NamedTuple):
    offer: PoolOffer
    source: str
    accepted_at: int


class Transfers:
    """Offers under way, and transfers that may have to be repeated.

    Args:
        first_id: First id of an offer; a random one tells incarnations apart.
    """

    def __init__(self, first_id: int):
        self._last_id = first_id
        self._outgoing_by_service: dict[str, _Outgoing] = {}
        self._incoming_by_service: dict[str, _Incoming] = {}
        self._done_by_id: OrderedDict[int, PoolTransfer] = OrderedDict()

    def offer(
        self, service: str, successor: str, is_leaving: bool, now: int
    ) -> list[Send]:
        """Offer a pool to a successor, again if no answer came."""
        known = self._outgoing_by_service.get(service)
        if known is None or known.successor != successor:
            self._last_id += 1
            known = _Outgoing(self._last_id, successor, now - OFFER_RETRY_MS)
        if now - known.sent_at < OFFER_RETRY_MS:
            return []
        self._outgoing_by_service[service] = known._replace(sent_at=now)
        return [Send(successor, PoolOffer(service, known.offer_id, is_leaving))]

    def withdraw(self, service: str) -> None:
        """Offer a pool no longer."""
        self._outgoing_by_service.pop(service, None)

    def is_accepted(self, source: str, body: PoolAcceptance) -> bool:
        """Return whether an acceptance answers an offer that stands."""
        known = self._outgoing_by_service.get(body.service)
        return known is not None and (known.offer_id, known.successor) == (
            body.offer_id,
            source,
        )

    def repeat(self, source: str, body: PoolAcceptance) -> list[Send]:
        """Answer a repeated acceptance with the transfer that was made for it."""
        done = self._done_by_id.get(body.offer_id)
        return [] if done is None else [Send(source, done)]

    def transfer(self, successor: str, body: PoolTransfer) -> list[Send]:
        """Make a transfer; from here on the pool is the successor's."""
        self._outgoing_by_service.pop(body.service, None)
        self._done_by_id[body.offer_id] = body
        if len(self._done_by_id) > TRANSFERS_KEPT:
            self._done_by_id.popitem(last=False)
        return [Send(successor, body)]

    def accept(self, source: str, offer: PoolOffer, now: int) -> list[Send]:
        """Accept an offer, and again until the transfer comes."""
        self._incoming_by_service[offer.service] = _Incoming(offer, source, now)
        return [Send(source, PoolAcceptance(offer.service, offer.offer_id))]

    def take(self, source: str, body: PoolTransfer) -> bool:
        """Return whether a transfer answers an acceptance that stands."""
        known = self._incoming_by_service.get(body.service)
        if known is None or known.source != source:
            return False
        if known.offer.offer_id != body.offer_id:
            return False
        del self._incoming_by_service[body.service]
        return True

    def forget(self) -> None:
        """Drop every offer and acceptance, since this process did not run."""
        self._outgoing_by_service.clear()
        self._incoming_by_service.clear()

    def tick(self, now: int) -> list[Send]:
        """Repeat acceptances without an answer."""
        effects: list[Send] = []
        for known in list(self._incoming_by_service.values()):
            if now - known.accepted_at >= OFFER_RETRY_MS:
                effects += self.accept(known.source, known.offer, now)
        return effects
