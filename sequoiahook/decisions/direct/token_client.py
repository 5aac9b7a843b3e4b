"""Token requests of a group member to the leader of its group, one for each request.

The leader counts each token request as demand and grants it a token from its bucket,
queues it until one is available, or denies it. A lost grant is a lost token; a grant
that arrives when no request waits is stored for the next one. While a request waits,
its token request is repeated, so that a lost datagram does not lead to a refusal.
"""

from typing import NamedTuple

from sequoiahook.messages.reports import TokenDenial, TokenGrant, TokenRequest

__all__ = ["NEVER_MS", "REPEATED_TOKENS", "TokenClient", "TokenClientSettings"]

NEVER_MS = 1 << 40
"""Wait time returned when no token will be granted."""

REPEATED_TOKENS = 0.5
"""Tokens in a repeated token request; leaders of earlier releases take it for another
request, whose token is stored."""


class TokenClientSettings(NamedTuple):
    """Settings of the token client.

    Attributes:
        stored_tokens_max: Tokens of one organisation that are stored for later
            requests.
        stored_ms: Time for which they are stored.
        denial_lifetime_ms: Time within which a denial ends the wait of a request;
            waiting requests check for it as soon as it arrives.
        repeat_ms: Time without an answer after which a token request is repeated.
    """

    stored_tokens_max: int = 4
    stored_ms: int = 1_000
    denial_lifetime_ms: int = 50
    repeat_ms: int = 40


class _Account:
    """Stored tokens and pending denials of one organisation."""

    def __init__(self):
        self.tokens = 0
        self.stored_at = 0
        self.denials = 0
        self.denied_at = 0
        self.retry_after_ms = 0
        self.requested_at = 0


class TokenClient:
    """Requests tokens from the leader and stores unused ones.

    Args:
        settings: The settings.
    """

    def __init__(self, settings: TokenClientSettings):
        self._settings = settings
        self._accounts_by_name: dict[str, _Account] = {}
        self._token_requests: list[TokenRequest] = []

    def take(
        self, organisation: str, now: int, *, is_first: bool, max_wait_ms: int
    ) -> int:
        """Take a stored token, or request one.

        Args:
            organisation: Name of the organisation.
            now: The time in milliseconds.
            is_first: Whether this is the request's first try to take a token.
            max_wait_ms: How long the request still waits for a token.

        Returns:
            0 if there was a token, else the time in milliseconds until one may arrive,
            or NEVER_MS after a denial.
        """
        account = self._account(organisation)
        if now - account.stored_at > self._settings.stored_ms:
            account.tokens = 0
        if account.tokens:
            account.tokens -= 1
            return 0
        if is_first:
            self._request(account, TokenRequest(organisation, 1, max_wait_ms), now)
        elif (
            account.denials
            and now - account.denied_at <= self._settings.denial_lifetime_ms
        ):
            account.denials -= 1
            return NEVER_MS
        elif max_wait_ms and now - account.requested_at >= self._settings.repeat_ms:
            repeated = TokenRequest(organisation, REPEATED_TOKENS, max_wait_ms)
            self._request(account, repeated, now)
        return max(1, max_wait_ms)

    def retry_after_ms(self, organisation: str) -> int:
        """Return the retry-after time in milliseconds of the last denial."""
        return self._account(organisation).retry_after_ms

    def refund(self, organisation: str, now: int) -> None:
        """Store the token of a request that no target ran."""
        self._store(self._account(organisation), 1, now)

    def receive_grant(self, grant: TokenGrant, now: int) -> None:
        """Store granted tokens."""
        self._store(self._account(grant.organisation), int(grant.tokens), now)

    def receive_denial(self, denial: TokenDenial, now: int) -> None:
        """Record a denial for one of the waiting requests."""
        account = self._account(denial.organisation)
        if now - account.denied_at > self._settings.denial_lifetime_ms:
            account.denials = 0
        account.denials += 1
        account.denied_at = now
        account.retry_after_ms = denial.retry_after_ms

    def pop_token_requests(self) -> list[TokenRequest]:
        """Return the pending token requests for the leader."""
        requests, self._token_requests = self._token_requests, []
        return requests

    def _request(self, account: _Account, request: TokenRequest, now: int) -> None:
        account.requested_at = now
        self._token_requests.append(request)

    def _store(self, account: _Account, tokens: int, now: int) -> None:
        account.tokens = min(self._settings.stored_tokens_max, account.tokens + tokens)
        account.stored_at = now

    def _account(self, organisation: str) -> _Account:
        account = self._accounts_by_name.get(organisation)
        if account is None:
            account = self._accounts_by_name[organisation] = _Account()
        return account
