"""What operators ask an instance."""

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

__all__ = ["Operators"]


class Operators:
    """Patches under way and other questions of operators.

    Args:
        settings: Times of patches.
        holder: The configuration in force.
        tickets: Calls to the platform.
        rng: Source of the spread of retries.
    """

    def __init__(
        self,
        settings: PatchSettings,
        holder: ConfigurationReplica,
        tickets: PlatformTickets,
        rng: Random,
    ):
        self._settings = settings
        self._holder = holder
        self._tickets = tickets
        self._rng = rng
        self._writers_by_ticket: dict[int, PatchWriter] = {}

    def patch(self, ticket: int, document: Any, now: int) -> list:
        """Apply a patch; the reply comes when its outcome is known."""
        try:
            patch = read_patch(document)
        except CheckError as error:
            return [OperatorReply(ticket, _invalid(error.findings))]
        return self._start(ticket, patch, now)

    def outcome(self, ticket: int, patch_id: str, now: int) -> list:
        """Ask what became of a patch."""
        return self._start(ticket, Patch(patch_id, 0, None), now)

    def status(self, ticket: int, data_centres: list[str]) -> list:
        """Gather which number each instance has in force."""
        number_by_instance: dict[str, int] = {}
        left = set(data_centres)

        def take(name: str, answer: CallAnswer) -> list:
            left.discard(name)
            number_by_instance.update(_numbers(answer))
            if left:
                return []
            number_by_instance.update(self._holder.number_by_instance)
            document = {"number_by_instance": number_by_instance}
            return [OperatorReply(ticket, document)]

        return [
            self._tickets.call(
                ReadObject(0, STATUS_PREFIX + name),
                lambda answer, now, name=name: take(name, answer),
            )
            for name in data_centres
        ]

    def tick(self, now: int) -> list:
        """Do what is due."""
        effects: list = []
        for ticket, writer in list(self._writers_by_ticket.items()):
            effects += self._carry(ticket, writer, writer.tick(now), now)
        return effects

    def next_wake(self, now: int) -> int | None:
        """Return when ``tick`` is next due; None if never."""
        wakes = [writer.next_wake(now) for writer in self._writers_by_ticket.values()]
        return min((wake for wake in wakes if wake is not None), default=None)

    def _start(self, ticket: int, patch: Patch, now: int) -> list:
        known = self._holder.pieces_by_digest
        writer = PatchWriter(self._settings, patch, known, self._rng)
        self._writers_by_ticket[ticket] = writer
        return self._carry(ticket, writer, writer.start(now), now)

    def _carry(self, ticket: int, writer: PatchWriter, decided: list, now: int) -> list:
        effects: list = []
        for effect in decided:
            if isinstance(effect, Report):
                effects += self._reported(ticket, writer, effect, now)
                continue
            effects.append(
                self._tickets.call(
                    effect,
                    lambda answer, at: self._carry(
                        ticket, writer, writer.receive_answer(answer, at), at
                    ),
                )
            )
        return effects

    def _reported(
        self, ticket: int, writer: PatchWriter, report: Report, now: int
    ) -> list:
        del self._writers_by_ticket[ticket]
        effects: list = [OperatorReply(ticket, _document(report))]
        if isinstance(report.outcome, Accepted):
            effects += self._holder.add_patch_result(
                writer.root, writer.pieces_by_digest, now
            )
        return effects


def _numbers(answer: CallAnswer) -> dict[str, int]:
    if not isinstance(answer, ObjectRead) or not isinstance(answer.value, dict):
        return {}
    numbers = answer.value.get("numbers_by_instance", {})
    return {name: number for name, number in numbers.items() if type(number) is int}


def _document(report: Report) -> dict[str, Any]:
    outcome: Outcome = report.outcome
    if isinstance(outcome, Accepted):
        return {"outcome": "accepted", "id": report.patch_id, "number": outcome.number}
    if isinstance(outcome, Stale):
        return {"outcome": "stale", "id": report.patch_id, "number": outcome.current}
    if isinstance(outcome, Invalid):
        return {**_invalid(outcome.findings), "id": report.patch_id}
    findings = [finding._asdict() for finding in outcome.findings]
    return {"outcome": "unknown", "id": report.patch_id, "findings": findings}


def _invalid(findings: tuple[Finding, ...]) -> dict[str, Any]:
    return {
        "outcome": "invalid",
        "findings": [finding._asdict() for finding in findings],
    }
