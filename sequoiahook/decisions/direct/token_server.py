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


class TokenServer:
    """Answers token requests in order of arrival within each organisation."""

    def __init__(self):
        self._waiting_by_organisation: dict[str, deque[_WaitingRequest]] = {}
        self._count = 0

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
        quota.count_demand(organisation)
        queue = self._waiting_by_organisation.setdefault(organisation, deque())
        if self._count >= WAITING_REQUESTS_MAX:
            return [self._denial(quota, member, organisation, now)]
        queue.append(_WaitingRequest(member, now + request.max_wait_ms))
        self._count += 1
        return list(self._serve(quota, organisation, now))

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
