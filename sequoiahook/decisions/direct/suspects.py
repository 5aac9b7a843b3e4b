"""Requests under which targets ended, as known to the whole fleet.

A request whose attempt a target ended is suspect until a target answers it. Since every
request that is open at a target ends with it, one such end says little. Once a suspect
request has ended with two targets, the fleet sends it to one target at a time, as a
trial; others with the same fingerprint wait for the outcome. After three occasions, one
after the other and without an answer between them, it is refused. Later trials, rarer
each time, show whether it is still harmful. One answer clears it.

An instance reports new evidence to all others at once, and all that it knows to a few
others at a time, so that restarted and formerly cut off instances learn of it.
"""

from collections.abc import Iterator
from typing import NamedTuple

from sequoiahook.decisions.direct.fingerprints import fingerprint
from sequoiahook.decisions.direct.outgoing import OutgoingBody
from sequoiahook.decisions.direct.peers import Peers
from sequoiahook.decisions.direct.requests import (
    Attempt,
    Cause,
    CrashEvidence,
    HoldTrial,
    OpenRequest,
    Refuse,
    Status,
)
from sequoiahook.decisions.direct.suspect import (
    CrashInterval,
    Suspect,
    TargetRun,
    occasions,
)
from sequoiahook.decisions.direct.target_registry import TargetRegistry
from sequoiahook.decisions.rendezvous import winner
from sequoiahook.messages.crashes import CrashReport, SuspectStatement
from sequoiahook.world.instance import LiveInstance

__all__ = ["SuspectSettings", "Suspects"]

POLL_MS = 20
"""Time after which a request that waits for a trial is decided on again."""


class SuspectSettings(NamedTuple):
    """Settings of suspect requests.

    Attributes:
        trial_targets: Targets that ended under a request from which it is sent as a
            trial only.
        refused_occasions: Occasions from which it is refused.
        trial_ms: Time for which the outcome of a trial is awaited.
        refused_trial_ms: Time from the last crash to the first trial of a refused
            request; it doubles with each further occasion.
        lifetime_ms: Time after which evidence without new events is dropped.
        cleared_ms: Time for which an answer is reported.
        organisations_max: Most organisations with suspect requests.
        per_organisation_max: Most suspect requests of one organisation.
        report_ms: Time between two reports of all that is known.
        receivers: Instances that get such a report.
        statements_max: Most statements in one report.
        urgent_ms: Time between two reports of new evidence, for each listed instance.
    """

    trial_targets: int = 2
    refused_occasions: int = 3
    trial_ms: int = 1_500
    refused_trial_ms: int = 20_000
    lifetime_ms: int = 1_800_000
    cleared_ms: int = 10_000
    organisations_max: int = 256
    per_organisation_max: int = 64
    report_ms: int = 1_000
    receivers: int = 2
    statements_max: int = 16
    urgent_ms: int = 4


class _Key(NamedTuple):
    organisation: str
    fingerprint: bytes


class Suspects:
    """Evidence on suspect requests, and the decisions that follow from it.

    Args:
        settings: The settings.
        me: This instance.
        peers: The other instances.
        targets: The targets.
    """

    def __init__(
        self,
        settings: SuspectSettings,
        me: LiveInstance,
        peers: Peers,
        targets: TargetRegistry,
    ):
        self._settings = settings
        self._me = me
        self._peers = peers
        self._targets = targets
        self._suspects_by_organisation: dict[str, dict[bytes, Suspect]] = {}
        self._urgent: dict[_Key, None] = {}
        self._urgent_at: int | None = None
        self._reported_at: int | None = None
        self._round = 0

    @property
    def count(self) -> int:
        """Number of requests with evidence."""
        return sum(len(table) for table in self._suspects_by_organisation.values())

    def check(self, request: OpenRequest, now: int) -> HoldTrial | Refuse | None:
        """Return a wait or a refusal if a request must not be sent now."""
        suspect = self._find(request)
        if suspect is None or not suspect.crashes_by_run:
            return None
        crashes = suspect.credible(self._is_credible)
        if len(crashes) < self._settings.trial_targets:
            return None
        count = len(occasions(crashes))
        if count >= self._settings.refused_occasions:
            is_due = self._is_trial_due(request, suspect, crashes, now)
            return None if is_due else self._refuse(request, crashes, now)
        if request.is_trial or not self._is_trial_open(suspect, now):
            return None
        return self._await_trial(request, suspect.trial_at, now)

    def record_sent(self, request: OpenRequest, now: int) -> None:
        """Record an attempt; one of a suspect request is a trial."""
        suspect = self._find(request)
        if suspect is None:
            return
        if len(suspect.credible(self._is_credible)) >= self._settings.trial_targets:
            suspect.trial_at = now
            request.is_trial = True
            self._report_soon(request)

    def record_lost(self, attempt: Attempt, now: int) -> None:
        """Record an attempt whose connection the target ended."""
        request, record = attempt.request, attempt.state.record
        request.is_trial = False
        suspect = self._find_or_add(request.organisation, fingerprint(request))
        run = TargetRun(record.id, record.started_at)
        if suspect.add_crash(run, CrashInterval(request.last_sent_at, now)):
            self._report_soon(request)

    def record_answered(self, request: OpenRequest, now: int) -> None:
        """Record that a target began to answer a request."""
        suspect = self._find(request)
        if suspect is not None and suspect.add_answer(now):
            self._report_soon(request)

    def receive(self, report: CrashReport, now: int) -> None:
        """Apply the statements of another instance."""
        for statement in report.suspects:
            suspect = self._find_or_add(statement.organisation, statement.fingerprint)
            suspect.merge(statement, now)

    def urgent_reports(self, now: int) -> list[OutgoingBody]:
        """Return the reports of new evidence to all instances, if they are due."""
        names = self._peers.instances_by_name
        interval_ms = self._settings.urgent_ms * (len(names) + 1)
        if not self._urgent:
            return []
        if self._urgent_at is not None and now - self._urgent_at < interval_ms:
            return []
        self._urgent_at = now
        keys = list(self._urgent)[: self._settings.statements_max]
        for key in keys:
            del self._urgent[key]
        report = CrashReport(tuple(self._statements(keys, now)))
        return [OutgoingBody(name, report) for name in names]

    def reports(self, now: int) -> list[OutgoingBody]:
        """Return the regular reports to a few instances, if they are due."""
        is_first = self._reported_at is None
        if not is_first and now - self._reported_at < self._settings.report_ms:
            return []
        self._reported_at = now
        self._drop_old(now)
        keys = [
            _Key(organisation, mark)
            for organisation, table in self._suspects_by_organisation.items()
            for mark in table
        ]
        names = sorted(self._peers.active(now))
        if not keys or not names:
            return []
        self._round += 1
        chosen = _rotated(keys, self._round * self._settings.statements_max)
        report = CrashReport(
            tuple(self._statements(chosen[: self._settings.statements_max], now))
        )
        receivers = _rotated(names, self._round * self._settings.receivers)
        return [
            OutgoingBody(name, report) for name in receivers[: self._settings.receivers]
        ]

    def _is_credible(self, run: TargetRun, crash: CrashInterval) -> bool:
        """Return whether the target has not answered since: it then did not end."""
        state = self._targets.states_by_id.get(run.target)
        if state is None or state.record.started_at != run.started_at:
            return True
        return state.answered_request_sent_at <= crash.ended_at

    def _is_trial_open(self, suspect: Suspect, now: int) -> bool:
        """Return whether the outcome of a trial is still awaited."""
        trial_at = suspect.trial_at
        if trial_at is None or now - trial_at >= self._settings.trial_ms:
            return False
        crashes = suspect.crashes_by_run.values()
        return not any(c.sent_at >= trial_at or c.ended_at > trial_at for c in crashes)

    def _is_trial_due(
        self,
        request: OpenRequest,
        suspect: Suspect,
        crashes: list[CrashInterval],
        now: int,
    ) -> bool:
        """Return whether this instance may send a refused request as a trial."""
        if self._is_trial_open(suspect, now):
            return False
        further = len(occasions(crashes)) - self._settings.refused_occasions
        wait_ms = self._settings.refused_trial_ms << further
        if now - crashes[-1].ended_at < wait_ms:
            return False
        names = [self._me.name, *self._peers.active(now)]
        return winner(fingerprint(request).hex(), names) == self._me.name

    def _await_trial(
        self, request: OpenRequest, trial_at: int, now: int
    ) -> HoldTrial | Refuse:
        if request.trial_until is None:
            left_ms = max(0, request.deadline_at - now) // 2
            wait_ms = min(self._settings.trial_ms, request.route.latency_goal_ms)
            request.trial_until = now + min(wait_ms, left_ms)
        if now < request.trial_until:
            return HoldTrial(min(POLL_MS, request.trial_until - now))
        over_ms = max(POLL_MS, trial_at + self._settings.trial_ms - now)
        return Refuse(Status.UNAVAILABLE, Cause.SUSPECT, over_ms)

    def _refuse(
        self, request: OpenRequest, crashes: list[CrashInterval], now: int
    ) -> Refuse:
        suspect = self._find(request)
        request.crash_evidence = CrashEvidence(
            len(crashes),
            tuple(run.target for run in suspect.crashes_by_run),
            now - crashes[-1].ended_at,
        )
        return Refuse(Status.INTERNAL_ERROR, Cause.CRASHES)

    def _find(self, request: OpenRequest) -> Suspect | None:
        table = self._suspects_by_organisation.get(request.organisation)
        if not table:
            return None
        return table.get(fingerprint(request))

    def _find_or_add(self, organisation: str, mark: bytes) -> Suspect:
        tables = self._suspects_by_organisation
        is_full = len(tables) >= self._settings.organisations_max
        if organisation not in tables and is_full:
            del tables[min(tables, key=lambda name: _last_event_at(tables[name]))]
        table = tables.setdefault(organisation, {})
        if mark not in table:
            if len(table) >= self._settings.per_organisation_max:
                del table[min(table, key=lambda m: _weight(table[m]))]
            table[mark] = Suspect()
        return table[mark]

    def _report_soon(self, request: OpenRequest) -> None:
        key = _Key(request.organisation, fingerprint(request))
        self._urgent[key] = None

    def _statements(self, keys: list[_Key], now: int) -> Iterator[SuspectStatement]:
        for organisation, mark in keys:
            suspect = self._suspects_by_organisation.get(organisation, {}).get(mark)
            if suspect is not None:
                yield suspect.statement(organisation, mark, now)

    def _drop_old(self, now: int) -> None:
        for organisation, table in list(self._suspects_by_organisation.items()):
            old = [
                mark for mark, suspect in table.items() if self._is_old(suspect, now)
            ]
            for mark in old:
                del table[mark]
            if not table:
                del self._suspects_by_organisation[organisation]

    def _is_old(self, suspect: Suspect, now: int) -> bool:
        settings = self._settings
        lifetime_ms = settings.lifetime_ms
        if not suspect.crashes_by_run:
            lifetime_ms = settings.cleared_ms
        return now - suspect.last_event_at() > lifetime_ms


def _weight(suspect: Suspect) -> tuple[int, int]:
    """Return the value of the evidence; the least valuable is dropped first."""
    return len(suspect.crashes_by_run), suspect.last_event_at()


def _last_event_at(table: dict[bytes, Suspect]) -> int:
    return max(suspect.last_event_at() for suspect in table.values())


def _rotated(items: list, offset: int) -> list:
    start = offset % len(items)
    return items[start:] + items[:start]
