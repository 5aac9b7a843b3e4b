"""Requests of operators to one instance."""

from random import Random
from typing import Any

from sequoiahook.decisions.configuration.patch import (
    Accepted,
    Invalid,
    Outcome,
    Patch,
    Stale,
    read_patch,
)
from sequoiahook.decisions.configuration.patch_writer import (
    PatchSettings,
    PatchWriter,
    Report,
)
from sequoiahook.decisions.configuration.rollout import ConfigurationReplica
from sequoiahook.decisions.configuration.status import STATUS_PREFIX
from sequoiahook.decisions.instance.effects import OperatorReply
from sequoiahook.decisions.instance.platform_tickets import PlatformTickets
from sequoiahook.decisions.platform_calls import CallAnswer, ObjectRead, ReadObject
from sequoiahook.errors import CheckError, Finding

__all__ = ["OperatorRequests"]


class OperatorRequests:
    """Applies patches and answers queries about patches and configuration numbers.

    Args:
        settings: Time limits of patches.
        replica: Replica of the configuration in force.
        tickets: Registry of platform calls.
        rng: Source of the jitter of retries.
    """

    def __init__(
        self,
        settings: PatchSettings,
        replica: ConfigurationReplica,
        tickets: PlatformTickets,
        rng: Random,
    ):
        self._settings = settings
        self._replica = replica
        self._tickets = tickets
        self._rng = rng
        self._writers_by_ticket: dict[int, PatchWriter] = {}

    def patch(self, ticket: int, document: Any, now: int) -> list:
        """Start to apply a patch; the reply follows when its outcome is known."""
        try:
            patch = read_patch(document)
        except CheckError as error:
            return [OperatorReply(ticket, _invalid_document(error.findings))]
        return self._start_writer(ticket, patch, now)

    def outcome(self, ticket: int, patch_id: str, now: int) -> list:
        """Start to look up the outcome of a patch; the reply follows."""
        return self._start_writer(ticket, Patch(patch_id, 0, None), now)

    def status(self, ticket: int, data_centres: list[str]) -> list:
        """Start to collect the configuration number of each instance."""
        number_by_instance: dict[str, int] = {}
        remaining = set(data_centres)

        def collect(name: str, answer: CallAnswer) -> list:
            remaining.discard(name)
            number_by_instance.update(_numbers_by_instance(answer))
            if remaining:
                return []
            number_by_instance.update(self._replica.number_by_instance)
            document = {"number_by_instance": number_by_instance}
            return [OperatorReply(ticket, document)]

        return [
            self._tickets.call(
                ReadObject(0, STATUS_PREFIX + name),
                lambda answer, now, name=name: collect(name, answer),
            )
            for name in data_centres
        ]

    def tick(self, now: int) -> list:
        """Perform all work that is due."""
        effects: list = []
        for ticket, writer in list(self._writers_by_ticket.items()):
            effects += self._process(ticket, writer, writer.tick(now), now)
        return effects

    def next_wake(self, now: int) -> int | None:
        """Return the time at which ``tick`` is next due; None if never."""
        wakes = [writer.next_wake(now) for writer in self._writers_by_ticket.values()]
        return min((wake for wake in wakes if wake is not None), default=None)

    def _start_writer(self, ticket: int, patch: Patch, now: int) -> list:
        known_pieces = self._replica.pieces_by_digest
        writer = PatchWriter(self._settings, patch, known_pieces, self._rng)
        self._writers_by_ticket[ticket] = writer
        return self._process(ticket, writer, writer.start(now), now)

    def _process(
        self, ticket: int, writer: PatchWriter, decisions: list, now: int
    ) -> list:
        effects: list = []
        for effect in decisions:
            if isinstance(effect, Report):
                effects += self._finish(ticket, writer, effect, now)
                continue
            effects.append(
                self._tickets.call(
                    effect,
                    lambda answer, at: self._process(
                        ticket, writer, writer.receive_answer(answer, at), at
                    ),
                )
            )
        return effects

    def _finish(
        self, ticket: int, writer: PatchWriter, report: Report, now: int
    ) -> list:
        del self._writers_by_ticket[ticket]
        effects: list = [OperatorReply(ticket, _outcome_document(report))]
        if isinstance(report.outcome, Accepted):
            effects += self._replica.add_patch_result(
                writer.root, writer.pieces_by_digest, now
            )
        return effects


def _numbers_by_instance(answer: CallAnswer) -> dict[str, int]:
    if not isinstance(answer, ObjectRead) or not isinstance(answer.value, dict):
        return {}
    numbers = answer.value.get("numbers_by_instance", {})
    return {name: number for name, number in numbers.items() if type(number) is int}


def _outcome_document(report: Report) -> dict[str, Any]:
    outcome: Outcome = report.outcome
    if isinstance(outcome, Accepted):
        return {"outcome": "accepted", "id": report.patch_id, "number": outcome.number}
    if isinstance(outcome, Stale):
        return {"outcome": "stale", "id": report.patch_id, "number": outcome.current}
    if isinstance(outcome, Invalid):
        return {**_invalid_document(outcome.findings), "id": report.patch_id}
    findings = [finding._asdict() for finding in outcome.findings]
    return {"outcome": "unknown", "id": report.patch_id, "findings": findings}


def _invalid_document(findings: tuple[Finding, ...]) -> dict[str, Any]:
    return {
        "outcome": "invalid",
        "findings": [finding._asdict() for finding in findings],
    }
