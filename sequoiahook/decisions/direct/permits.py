"""Permits for targets that state a limit on the requests of all instances together.

While a region has such targets, every instance delegates its part of their limits to
one limiter: the first responsive instance of that region in an order on which all
agree, or of all regions if there is none. Instances request a permit from it for each
request that they send to such a target. The limiter informs all listed instances of the
limits that it knows.
"""

from typing import NamedTuple

from sequoiahook.decisions.direct.groups import by_link_capacity
from sequoiahook.decisions.direct.outgoing import OutgoingBody
from sequoiahook.decisions.direct.peers import Peers
from sequoiahook.decisions.direct.permit_client import (
    PermitClient,
    PermitClientSettings,
)
from sequoiahook.decisions.direct.permit_server import (
    PermitServer,
    PermitServerSettings,
)
from sequoiahook.decisions.direct.stated_limits import LimitSettings, StatedLimits
from sequoiahook.decisions.direct.target_registry import TargetRegistry
from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.messages.limits import (
    LimitBody,
    LimitReport,
    PermitDenial,
    PermitGrant,
    PermitRequest,
)
from sequoiahook.world.instance import LiveInstance

__all__ = ["PermitSettings", "Permits"]


class PermitSettings(NamedTuple):
    """Settings of the permits.

    Attributes:
        limits: Settings of the statements of targets.
        client: Settings of the permits of this instance.
        server: Settings of the permits that it grants.
        report_ms: Time between two reports on limits to the same instance.
    """

    limits: LimitSettings = LimitSettings()
    client: PermitClientSettings = PermitClientSettings()
    server: PermitServerSettings = PermitServerSettings()
    report_ms: int = 400


class Permits:
    """Permits of this instance, and those that it grants as a limiter.

    Attributes:
        limits: Limits that targets state.
        is_leaving: Whether this instance is about to stop.

    Args:
        settings: The settings.
        me: This instance.
        peers: The other instances.
        targets: The targets.
    """

    def __init__(
        self,
        settings: PermitSettings,
        me: LiveInstance,
        peers: Peers,
        targets: TargetRegistry,
    ):
        self.limits = StatedLimits(settings.limits, targets)
        self.is_leaving = False
        self._settings = settings
        self._me = me
        self._peers = peers
        self._targets = targets
        self._client = PermitClient(settings.client)
        self._server = PermitServer(settings.server)
        self._limiter_by_region: dict[str, str] = {}
        self._reported_at: int | None = None

    @property
    def answer_timeout_ms(self) -> int:
        """Time within which a permit request is answered."""
        return self._client.answer_timeout_ms

    @property
    def target_ids(self) -> set[str]:
        """Ids of the targets for which permits are kept."""
        return self._client.target_ids | self._server.target_ids

    def limiter(self, region: str, now: int) -> str:
        """Return the instance that grants permits for the targets of a region."""
        limiter = self._limiter_by_region.get(region)
        if limiter is None:
            limiter = self._limiter_by_region[region] = self._choose_limiter(
                region, now
            )
        return limiter

    def record_delegation(self, region: str, instance: str, now: int) -> None:
        """Record that an instance delegates its part of a region's limits."""
        self._server.instance_count = len(self._peers.instances_by_name) + 1
        self._server.record_delegation(region, instance, now)

    def share(self, region: str, now: int) -> float:
        """Return the share of a region's limits that this instance grants, 0 to 1."""
        return self._server.share(region, now)

    def take(self, state: TargetState, now: int) -> bool:
        """Take a permit to send a request to a target; return whether there was one.

        If not, one has been requested unless the target is blocked for a while.
        """
        if self.limiter(state.record.region, now) != self._me.name:
            return self._client.take(state, now)
        allowed_per_s = self.limits.allowed_per_s(state, now)
        if self._server.grant(state, 1, allowed_per_s, now):
            return True
        retry_after_ms = self._server.retry_after_ms(state, allowed_per_s, now)
        state.blocked_until = now + retry_after_ms
        return False

    def put_back(self, state: TargetState, now: int) -> None:
        """Return the permit of a request that was not sent."""
        if self.limiter(state.record.region, now) == self._me.name:
            self._server.put_back(state)
        else:
            self._client.put_back(state, now)

    def requests(self, now: int) -> list[OutgoingBody]:
        """Return the permit requests to send."""
        outgoing = []
        for target_id, count in self._client.pop_wanted().items():
            state = self._targets.states_by_id.get(target_id)
            if state is None:
                continue
            body = PermitRequest(target_id, count, self.limits.statement(state, now))
            limiter = self.limiter(state.record.region, now)
            outgoing.append(OutgoingBody(limiter, body))
        return outgoing

    def reports(self, now: int) -> list[OutgoingBody]:
        """Return the reports that are due: to limiters, and as a limiter to all."""
        is_due = (
            self._reported_at is None
            or now - self._reported_at >= self._settings.report_ms
        )
        if not (is_due or self.limits.has_changed):
            return []
        self._reported_at = now
        self.limits.has_changed = False
        self._limiter_by_region.clear()
        self._forget_unlimited()
        outgoing: list[OutgoingBody] = []
        for region, statements in self.limits.statements_by_region(now).items():
            limiter = self.limiter(region, now)
            if limiter != self._me.name:
                report = LimitReport(region, True, statements)
                outgoing.append(OutgoingBody(limiter, report))
                continue
            self.record_delegation(region, self._me.name, now)
            report = LimitReport(region, False, statements)
            outgoing += [OutgoingBody(n, report) for n in self._peers.instances_by_name]
        return outgoing

    def receive(self, sender: str, body: LimitBody, now: int) -> list[OutgoingBody]:
        """Apply a message of another instance; return the messages in response."""
        if isinstance(body, LimitReport):
            self.limits.merge(body.statement_by_target, now)
            if body.is_delegation:
                self.record_delegation(body.region, sender, now)
        elif isinstance(body, PermitRequest):
            answer = self._answer(body, now)
            return [] if answer is None else [OutgoingBody(sender, answer)]
        elif isinstance(body, PermitGrant):
            self._client.receive_grant(body, now)
        else:
            state = self._targets.states_by_id.get(body.target)
            if state is not None:
                self._client.receive_denial(body, state, now)
        return []

    def _answer(
        self, request: PermitRequest, now: int
    ) -> PermitGrant | PermitDenial | None:
        self.limits.merge({request.target: request.statement}, now)
        state = self._targets.states_by_id.get(request.target)
        if state is None:
            return None
        if state.limit_per_s is None:
            return PermitGrant(request.target, request.count)
        allowed_per_s = self.limits.allowed_per_s(state, now)
        count = self._server.grant(state, request.count, allowed_per_s, now)
        if count:
            return PermitGrant(request.target, count)
        retry_after_ms = self._server.retry_after_ms(state, allowed_per_s, now)
        return PermitDenial(request.target, retry_after_ms)

    def _forget_unlimited(self) -> None:
        states_by_id = self._targets.states_by_id
        limited_ids = {
            target_id
            for target_id in self.target_ids
            if target_id in states_by_id
            and states_by_id[target_id].limit_per_s is not None
        }
        self._client.keep_only(limited_ids)
        self._server.keep_only(limited_ids)

    def _choose_limiter(self, region: str, now: int) -> str:
        active = [self._peers.instances_by_name[n] for n in self._peers.active(now)]
        if not self.is_leaving or not active:
            active.append(self._me)
        near = [instance for instance in active if instance.region == region]
        return by_link_capacity(f"limits {region}", near or active)[0]
