"""Decides when the entry of a silent instance is deleted from the platform's store.

Silence towards one instance does not show that another one has ended: they may be cut
off from each other, and not from the store. The entry of a silent instance is therefore
first marked as doubted. An instance that lives writes its entry anew when it sees the
mark; only an entry that stays doubted is deleted.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sequoiahook.world.instance import LiveInstance

__all__ = ["EntryExpiry", "EntryStep", "ExpirySettings"]


class ExpirySettings(NamedTuple):
    """Settings of the expiry of entries.

    Attributes:
        doubt_after_ms: Time without a report after which an entry is doubted.
        member_doubt_after_ms: The same for members of a group that has no majority
            without them.
        member_answer_ms: Time without an answer after which they do not count towards
            the majority.
        answer_ms: Time that an instance has to write its doubted entry anew. Longer
            than it takes to learn of a change while reads of the store fail.
        pause_ms: Time after an answer during which the entry is not doubted again.
        steps_max: Most entries that are doubted or deleted at a time.
    """

    doubt_after_ms: int = 10_000
    member_doubt_after_ms: int = 3_000
    member_answer_ms: int = 6_000
    answer_ms: int = 20_000
    pause_ms: int = 30_000
    steps_max: int = 20


class EntryStep(NamedTuple):
    """A change of the entry of another instance.

    Attributes:
        instance: The instance, as listed.
        is_deletion: Whether the entry is deleted; otherwise it is doubted.
    """

    instance: LiveInstance
    is_deletion: bool


class EntryExpiry:
    """The doubted entries, since when they are doubted, and the answers to doubts.

    Args:
        settings: The settings.
    """

    def __init__(self, settings: ExpirySettings):
        self._settings = settings
        self._doubted_at: dict[tuple[str, int], int] = {}
        self._answered_at_by_name: dict[str, int] = {}

    def set_entries(self, instances: Iterable[LiveInstance], now: int) -> None:
        """Apply the platform's list of instances."""
        instances_by_name = {i.name: i for i in instances}
        doubted = {
            (i.name, i.incarnation) for i in instances_by_name.values() if i.is_doubted
        }
        for key in self._doubted_at.keys() - doubted:
            del self._doubted_at[key]
            self._answered_at_by_name[key[0]] = now
        for key in doubted:
            self._doubted_at.setdefault(key, now)
        for name in self._answered_at_by_name.keys() - instances_by_name.keys():
            del self._answered_at_by_name[name]

    def unanswered(self, now: int) -> frozenset[str]:
        """Return the instances that have not answered a doubt for some time."""
        oldest = now - self._settings.member_answer_ms
        return frozenset(
            name for (name, _), at in self._doubted_at.items() if at <= oldest
        )

    def steps(
        self, silent_ms_by_instance: Mapping[LiveInstance, int], now: int
    ) -> list[EntryStep]:
        """Return the changes of entries that are due, the longest silence first.

        Args:
            silent_ms_by_instance: Time without a report of each instance for which this
                one decides.
            now: The time in milliseconds.
        """
        settings = self._settings
        due = [
            EntryStep(instance, instance.is_doubted)
            for instance, silent_ms in silent_ms_by_instance.items()
            if silent_ms > settings.doubt_after_ms
            and (
                self._is_expired(instance, now)
                if instance.is_doubted
                else self._may_doubt(instance, now)
            )
        ]
        due.sort(key=lambda step: silent_ms_by_instance[step.instance], reverse=True)
        return due[: settings.steps_max]

    def member_doubts(
        self, silent_ms_by_member: Mapping[LiveInstance, int], now: int
    ) -> list[EntryStep]:
        """Return the doubts that are due in a group without a majority.

        Args:
            silent_ms_by_member: Time without a report of each member.
            now: The time in milliseconds.
        """
        return [
            EntryStep(member, is_deletion=False)
            for member, silent_ms in silent_ms_by_member.items()
            if silent_ms > self._settings.member_doubt_after_ms
            and not member.is_doubted
            and self._may_doubt(member, now)
        ]

    def _is_expired(self, instance: LiveInstance, now: int) -> bool:
        doubted_at = self._doubted_at.get((instance.name, instance.incarnation))
        return doubted_at is not None and now - doubted_at > self._settings.answer_ms

    def _may_doubt(self, instance: LiveInstance, now: int) -> bool:
        answered_at = self._answered_at_by_name.get(instance.name)
        return answered_at is None or now - answered_at > self._settings.pause_ms
