"""Token requests of a group's members that wait at the leader of the group.

Queueing avoids repeated token requests during bursts of an organisation's requests at
many instances.
"""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from sequoiahook.decisions.direct.quota import Quota
from sequoiahook.messages.reports import TokenDenial, TokenGrant, TokenRequest

__all__ = ["TokenAnswer", "TokenServer"]

WAITING_REQUESTS_MAX = 1_000
"""Queue limit; a request waits for a few hundred milliseconds at most."""

SAME_REQUEST_MS = 10
"""Largest difference of the times until which a token request and its repetition wait;
it is the difference of their delays on the network."""

IN_TRANSIT_MS = 30
"""Time for which a grant may be on its way, so that a repetition is not answered."""


class TokenAnswer(NamedTuple):
    """An answer to a member's token request.

    Attributes:
        member: Name of the member.
        body: The answer.
    """

    member: str
    body: TokenGrant | TokenDenial


class _WaitingRequest(NamedTuple):
    member: str
    expires_at: int


class _RecentGrant(NamedTuple):
    organisation: str
    waiting: _WaitingRequest
    granted_at: int


class TokenServer:
    """Answers token requests in order of arrival within each organisation."""

    def __init__(self):
        self._waiting_by_organisation: dict[str, deque[_WaitingRequest]] = {}
        self._count = 0
        self._recent_grants: deque[_RecentGrant] = deque()

    @property
    def has_waiting(self) -> bool:
        """Whether any token request waits."""
        return self._count > 0

    def waiting_count(self, organisation: str) -> int:
        """Return the number of waiting token requests for an organisation."""
        return len(self._waiting_by_organisation.get(organisation, ()))

    def receive(
        self, quota: Quota, member: str, request: TokenRequest, now: int
    ) -> list[TokenAnswer]:
        """Queue a token request; return the answers that are due."""
        organisation = request.organisation
        queue = self._waiting_by_organisation.setdefault(organisation, deque())
        if request.tokens < 1 and self._is_known(member, request, now):
            return list(self._serve(quota, organisation, now))
        quota.count_demand(organisation)
        if self._count >= WAITING_REQUESTS_MAX:
            return [self._denial(quota, member, organisation, now)]
        queue.append(_WaitingRequest(member, now + request.max_wait_ms))
        self._count += 1
        return list(self._serve(quota, organisation, now))

    def _is_known(self, member: str, request: TokenRequest, now: int) -> bool:
        """Return whether the request that a member repeats waits or has its grant."""
        organisation, grants = request.organisation, self._recent_grants
        while grants and now - grants[0].granted_at > IN_TRANSIT_MS:
            grants.popleft()
        granted = [g.waiting for g in grants if g.organisation == organisation]
        expires_at = now + request.max_wait_ms
        return any(
            known.member == member
            and abs(known.expires_at - expires_at) <= SAME_REQUEST_MS
            for known in (*self._waiting_by_organisation[organisation], *granted)
        )

    def serve(self, quota: Quota, now: int) -> list[TokenAnswer]:
        """Return the answers to waiting token requests that are due."""
        return [
            answer
            for organisation in list(self._waiting_by_organisation)
            for answer in self._serve(quota, organisation, now)
        ]

    def clear(self) -> None:
        """Drop all token requests when this instance is no longer the leader."""
        self._waiting_by_organisation.clear()
        self._count = 0
        self._recent_grants.clear()

    def _serve(
        self, quota: Quota, organisation: str, now: int
    ) -> Iterator[TokenAnswer]:
        queue = self._waiting_by_organisation[organisation]
        while queue:
            wait_ms = quota.take(organisation, now, wanted=len(queue))
            member, expires_at = queue[0]
            if wait_ms:
                if self._may_receive_token(
                    quota, organisation, wait_ms, expires_at, now
                ):
                    return
                yield self._denial(quota, member, organisation, now)
            else:
                self._recent_grants.append(_RecentGrant(organisation, queue[0], now))
                yield TokenAnswer(member, TokenGrant(organisation, 1))
            queue.popleft()
            self._count -= 1
        del self._waiting_by_organisation[organisation]

    def _may_receive_token(
        self, quota: Quota, organisation: str, wait_ms: int, expires_at: int, now: int
    ) -> bool:
        if now >= expires_at:
            return False
        return now + wait_ms <= expires_at or quota.can_borrow(organisation, now)

    def _denial(
        self, quota: Quota, member: str, organisation: str, now: int
    ) -> TokenAnswer:
        retry_after_ms = quota.retry_after_ms(organisation, now)
        return TokenAnswer(member, TokenDenial(organisation, retry_after_ms))
