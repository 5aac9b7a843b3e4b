"""Rate limits of organisations, as applied to the requests of this instance.

The leader of a group holds the group's share of each rate and takes tokens from it
directly. Other members send it a token request for each request.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from sequoiahook.decisions.direct.entry_lease import EntryLease
from sequoiahook.decisions.direct.quota import Quota, QuotaSettings
from sequoiahook.decisions.direct.token_client import (
    NEVER_MS,
    TokenClient,
    TokenClientSettings,
)
from sequoiahook.decisions.direct.token_server import TokenAnswer, TokenServer
from sequoiahook.messages.reports import TokenDenial, TokenGrant, TokenRequest
from sequoiahook.world.contract import Contract

__all__ = ["RateSettings", "Rates"]


class RateSettings(NamedTuple):
    """Settings of the rates.

    Attributes:
        quota: Settings of a leader's shares.
        client: Settings of the token requests of other members.
    """

    quota: QuotaSettings = QuotaSettings()
    client: TokenClientSettings = TokenClientSettings()


class Rates:
    """Token source of this instance: its own quota, or the leader of its group.

    Attributes:
        quota: The group's shares; unused while another member is the leader.
        is_leader: Whether this instance is the leader of its group.
        has_leader: Whether another member is the leader and is responsive.
        renew_role: Called before a token is taken, with the time in milliseconds; may
            set the role.

    Args:
        settings: The settings.
        group: Name of the group.
        now: The time in milliseconds.
    """

    def __init__(self, settings: RateSettings, group: str, now: int):
        self.is_leader = True
        self.has_leader = False
        self.renew_role: Callable[[int], None] = lambda now: None
        self.quota = Quota(settings.quota, group, now)
        self._settings = settings
        self._client = TokenClient(settings.client)
        self._server = TokenServer()
        self._contracts_by_name: dict[str, Contract] = {}

    @property
    def is_settled(self) -> bool:
        """Whether requests can get tokens."""
        return self.quota.is_settled if self.is_leader else self.has_leader

    @property
    def has_shares(self) -> bool:
        """Whether this leader has shares of the rates, perhaps provisional ones."""
        return self.quota.has_shares

    def configure(self, contracts_by_name: Mapping[str, Contract]) -> None:
        """Apply the contracts; an organisation without one is not limited."""
        self._contracts_by_name = dict(contracts_by_name)
        self.quota.configure(contracts_by_name)

    def set_role(
        self,
        *,
        is_leader: bool,
        group: str,
        groups: Iterable[str],
        near: Iterable[str],
        now: int,
        ended: Iterable[str] = (),
    ) -> None:
        """Set whether this instance is the leader; a new leader starts without tokens.

        Args:
            is_leader: Whether this instance is the leader of its group.
            group: Name of the group.
            groups: Names of all groups.
            near: Names of the other groups of the region.
            now: The time in milliseconds.
            ended: Names of groups that are known to have ended.
        """
        is_new = is_leader and (not self.is_leader or group != self.quota.name)
        if is_new:
            self.quota = Quota(self._settings.quota, group, now)
            self.quota.configure(self._contracts_by_name)
        if self.is_leader and not is_leader:
            self._server.clear()
        self.is_leader = is_leader
        if is_leader:
            self.quota.set_members(groups, now, near, ended)

    def apply_lease(self, lease: EntryLease) -> None:
        """Use the shares of this leader only while it has a lease on them."""
        self.quota.is_suspended = not lease.is_valid
        if lease.is_lost and lease.is_valid:
            lease.is_lost = False
            self.quota.forget_grants()

    def update(self, now: int) -> None:
        """Update the shares of the rates; only a leader has any."""
        if self.is_leader:
            self.quota.update(now)

    def count_demand(self, organisation: str) -> None:
        """Count a request as demand; those of other members count at the leader."""
        if self.is_leader:
            self.quota.count_demand(organisation)

    def take(
        self, organisation: str, now: int, *, is_first: bool, max_wait_ms: int
    ) -> int:
        """Take a token.

        Args:
            organisation: Name of the organisation.
            now: The time in milliseconds.
            is_first: Whether this is the request's first try to take a token.
            max_wait_ms: How long the request waits for a token.

        Returns:
            0 if the request may be sent, else the time in milliseconds until a token
            may be available.
        """
        if organisation not in self._contracts_by_name:
            return 0
        self.renew_role(now)
        if self.is_leader:
            return self.quota.take(organisation, now)
        return self._client.take(
            organisation, now, is_first=is_first, max_wait_ms=max_wait_ms
        )

    def may_receive_token(self, organisation: str, wait_ms: int, now: int) -> bool:
        """Return whether another instance may grant a token at any moment.

        Args:
            organisation: Name of the organisation.
            wait_ms: Time that the last try to take a token returned.
            now: The time in milliseconds.
        """
        if self.is_leader:
            return self.quota.can_borrow(organisation, now)
        return wait_ms < NEVER_MS

    def retry_after_ms(self, organisation: str, now: int) -> int:
        """Return the time in milliseconds after which a refused request may retry."""
        if self.is_leader:
            return self.quota.retry_after_ms(organisation, now)
        return self._client.retry_after_ms(organisation)

    def refund(self, organisation: str, now: int) -> None:
        """Put back the token of a request that no target ran."""
        if organisation not in self._contracts_by_name:
            return
        if self.is_leader:
            self.quota.refund(organisation)
        else:
            self._client.refund(organisation, now)

    @property
    def has_waiting(self) -> bool:
        """Whether token requests of members wait at this leader."""
        return self._server.has_waiting

    def answer(self, member: str, request: TokenRequest, now: int) -> list[TokenAnswer]:
        """Return answers to a member's token request; none if not the leader."""
        if not self.is_leader or request.organisation not in self._contracts_by_name:
            return []
        return self._server.receive(self.quota, member, request, now)

    def serve_waiting(self, now: int) -> list[TokenAnswer]:
        """Return the answers to waiting token requests that are due."""
        return self._server.serve(self.quota, now)

    def receive_grant(self, grant: TokenGrant, now: int, *, by_leader: bool) -> None:
        """Apply a grant of the group's leader or a loan of another group."""
        if by_leader:
            self._client.receive_grant(grant, now)
        else:
            wanted = self._server.waiting_count(grant.organisation)
            self.quota.receive_loan(grant, now, wanted)

    def receive_denial(self, denial: TokenDenial, now: int) -> None:
        """Apply a denial by the group's leader."""
        self._client.receive_denial(denial, now)

    def pop_token_requests(self) -> list[TokenRequest]:
        """Return the pending token requests for the group's leader."""
        return self._client.pop_token_requests()
