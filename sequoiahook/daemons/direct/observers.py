"""What each kind of objects in the platform's store changes on an instance."""

from collections.abc import Callable
from typing import Any

import logbook

from sequoiahook.clock import Clock
from sequoiahook.daemons.direct.object_store import Change, Changes, Kind, Listing
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.world.routing import RoutingConfiguration

__all__ = [
    "ConfigurationObserver",
    "EvacuationObserver",
    "InstanceObserver",
    "TargetObserver",
]

log = logbook.Logger("belief")


class _TableObserver:
    """Keeps the usable objects of a kind by name.

    Args:
        core: The decisions.
        clock: The time.
    """

    kind: Kind

    def __init__(self, core: DirectCore, clock: Clock):
        self.core = core
        self.clock = clock
        self.values_by_name: dict[str, Any] = {}
        self.revision_by_name: dict[str, int] = {}

    def listed(self, listing: Listing, as_of: int) -> None:
        """Take in all objects."""
        self.values_by_name.clear()
        self.revision_by_name.clear()
        for found in listing.objects_by_name.values():
            self._keep(Change(found, is_deleted=False))
        self._log(f"listed {len(self.values_by_name)}", listing.revision)
        self.apply_all(as_of)

    def changed(self, changes: Changes, as_of: int) -> None:
        """Take in changes."""
        for change in changes.changes:
            self._keep(change)
            self.apply_one(change)
        if changes.changes:
            self.apply_changes(as_of)

    def lost(self) -> None:
        """Note that the store does not answer; what is known stays in force."""

    def regained(self) -> None:
        """Note that the store answers again."""

    def apply_all(self, as_of: int) -> None:
        """Bring a whole list into force."""

    def apply_one(self, change: Change) -> None:
        """Bring one change into force."""

    def apply_changes(self, as_of: int) -> None:
        """Bring changes into force that were kept before."""

    def _keep(self, change: Change) -> None:
        found = change.object
        if found.problem:
            log.warning(
                "object ignored",
                extra={"kind": self.kind.value, "problem": found.problem[:500]},
            )
        if change.is_deleted or found.value is None:
            self.values_by_name.pop(found.name, None)
            self.revision_by_name.pop(found.name, None)
        else:
            self.values_by_name[found.name] = found.value
            self.revision_by_name[found.name] = found.revision

    def _log(self, event: str, revision: int) -> None:
        log.info(event, extra={"kind": self.kind.value, "revision": revision})


class ConfigurationObserver(_TableObserver):
    """Puts the newest configuration into force.

    Args:
        core: The decisions.
        clock: The time.
        configured: Called with each configuration that is put into force.
    """

    kind = Kind.CONFIGURATION

    def __init__(
        self,
        core: DirectCore,
        clock: Clock,
        configured: Callable[[RoutingConfiguration], None],
    ):
        super().__init__(core, clock)
        self._configured = configured
        self._unreadable_names: set[str] = set()

    def listed(self, listing: Listing, as_of: int) -> None:
        """Take in a whole list, which confirms the configuration."""
        self._unreadable_names.clear()
        super().listed(listing, as_of)
        self._confirm(as_of)

    def changed(self, changes: Changes, as_of: int) -> None:
        """Take in changes; an answer without any confirms the configuration."""
        super().changed(changes, as_of)
        self._confirm(as_of)

    def apply_all(self, as_of: int) -> None:
        """Put the configuration into force, if there is one."""
        for configuration in self.values_by_name.values():
            if self.core.configure(configuration, self.clock.now()):
                self._log(f"configuration {configuration.number} in force", 0)
                self._configured(configuration)

    def _keep(self, change: Change) -> None:
        super()._keep(change)
        if change.object.problem and not change.is_deleted:
            self._unreadable_names.add(change.object.name)
        else:
            self._unreadable_names.discard(change.object.name)

    def _confirm(self, as_of: int) -> None:
        """Confirm the configuration in force unless a newer one cannot be read.

        The one that cannot be read may withdraw keys.
        """
        if not self._unreadable_names:
            self.core.freshness.confirm(as_of)

    def apply_changes(self, as_of: int) -> None:
        """Put the configuration into force, if there is one."""
        self.apply_all(as_of)


class TargetObserver(_TableObserver):
    """Keeps the book of targets."""

    kind = Kind.TARGETS

    def lost(self) -> None:
        """Note that targets may be gone without a sign."""
        self.core.selector.disturbance.note(self.clock.now())

    def regained(self) -> None:
        """Note that entries may be missing because the store was away."""
        now = self.clock.now()
        self.core.targets.platform_regained(now)
        self.core.selector.disturbance.note(now)

    def apply_all(self, as_of: int) -> None:
        """Take in the whole list."""
        self.core.targets.replace(self.values_by_name, self.clock.now())

    def apply_one(self, change: Change) -> None:
        """Take in one target."""
        found = change.object
        now = self.clock.now()
        state = self.core.targets.states_by_id.get(found.name)
        before = None if state is None else state.record
        if change.is_deleted or found.value is None:
            self.core.targets.remove(found.name, now)
            self._log_target(found.name, "removed", found.revision)
            return
        self.core.targets.put(found.value, now)
        is_news = before is None or before.is_draining != found.value.is_draining
        if is_news:
            word = "draining" if found.value.is_draining else "ready"
            self._log_target(found.name, word, found.revision)

    def _log_target(self, target_id: str, state: str, revision: int) -> None:
        fields = {"target": target_id, "state": state, "revision": revision}
        log.info("target", extra=fields)


class EvacuationObserver(_TableObserver):
    """Keeps which data centres get no work."""

    kind = Kind.EVACUATIONS

    def apply_all(self, as_of: int) -> None:
        """Take in all evacuations."""
        self.core.evacuate(self.values_by_name, self.clock.now())

    def apply_changes(self, as_of: int) -> None:
        """Take in all evacuations."""
        self._log(f"evacuated {sorted(self.values_by_name)}", 0)
        self.apply_all(as_of)


class InstanceObserver(_TableObserver):
    """Keeps who the other instances are.

    Args:
        core: The decisions.
        clock: The time.
        missing: Called when the entry of this instance is not there.
    """

    kind = Kind.INSTANCES

    def __init__(self, core: DirectCore, clock: Clock, missing: Callable[[], None]):
        super().__init__(core, clock)
        self._missing = missing

    def apply_all(self, as_of: int) -> None:
        """Take in all instances."""
        self.core.set_instances(self.values_by_name, self.clock.now())
        own = self.values_by_name.get(self.core.me.name)
        if own is None or own.incarnation != self.core.me.incarnation:
            self._missing()

    def apply_changes(self, as_of: int) -> None:
        """Take in all instances."""
        self._log(f"instances {len(self.values_by_name)}", 0)
        self.apply_all(as_of)
