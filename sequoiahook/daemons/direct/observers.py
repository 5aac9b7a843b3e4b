"""Observers that apply each kind of the store's objects to the decisions."""

from collections.abc import Callable
from typing import Any

import logbook

from sequoiahook.clock import Clock
from sequoiahook.daemons.direct.object_store import Change, Changes, Kind, Listing
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.revisions import Revision
from sequoiahook.world.instance import LiveInstance
from sequoiahook.world.routing import RoutingConfiguration

__all__ = [
    "ConfigurationObserver",
    "EvacuationObserver",
    "InstanceObserver",
    "TargetObserver",
]

FINDINGS_LOGGED_MAX = 50
LOGGED_CHARACTERS_MAX = 500

log = logbook.Logger("belief")


class _TableObserver:
    """Holds the valid objects of a kind by name.

    Args:
        core: The decisions.
        clock: The clock.
    """

    kind: Kind

    def __init__(self, core: DirectCore, clock: Clock):
        self.core = core
        self.clock = clock
        self.values_by_name: dict[str, Any] = {}
        self.revision_by_name: dict[str, int] = {}

    def on_listed(self, listing: Listing, as_of: int) -> None:
        """Replace all objects."""
        self.values_by_name.clear()
        self.revision_by_name.clear()
        for stored in listing.objects_by_name.values():
            self._record(Change(stored, is_deleted=False))
        self._log(f"objects listed: {len(self.values_by_name)}", listing.revision)
        self.apply_all(as_of)

    def on_changed(self, changes: Changes, as_of: int) -> None:
        """Apply changes."""
        for change in changes.changes:
            self._record(change)
            self.apply_one(change)
        if changes.changes:
            self.apply_changes(as_of)

    def on_store_lost(self) -> None:
        """Do nothing: the objects stay in force while the store does not answer."""

    def on_store_regained(self) -> None:
        """Do nothing."""

    def apply_all(self, as_of: int) -> None:
        """Put all recorded objects into force."""

    def apply_one(self, change: Change) -> None:
        """Put one change into force."""

    def apply_changes(self, as_of: int) -> None:
        """Put recorded changes into force together."""

    def _record(self, change: Change) -> None:
        stored = change.object
        if stored.problem:
            log.warning(
                "invalid object ignored",
                extra={
                    "kind": self.kind.value,
                    "problem": stored.problem[:LOGGED_CHARACTERS_MAX],
                },
            )
        if change.is_deleted or stored.value is None:
            self.values_by_name.pop(stored.name, None)
            self.revision_by_name.pop(stored.name, None)
        else:
            self.values_by_name[stored.name] = stored.value
            self.revision_by_name[stored.name] = stored.revision

    def _log(self, event: str, revision: Revision | None = None) -> None:
        fields = {"kind": self.kind.value}
        if revision is not None:
            fields.update(era=revision.era, revision=revision.number)
        log.info(event, extra=fields)


class ConfigurationObserver(_TableObserver):
    """Puts the newest configuration into force.

    Args:
        core: The decisions.
        clock: The clock.
        on_configured: Called with each configuration that is put into force.
    """

    kind = Kind.CONFIGURATION

    def __init__(
        self,
        core: DirectCore,
        clock: Clock,
        on_configured: Callable[[RoutingConfiguration], None],
    ):
        super().__init__(core, clock)
        self._on_configured = on_configured
        self._unreadable_names: set[str] = set()
        self._source = ""

    def on_listed(self, listing: Listing, as_of: int) -> None:
        """Replace all objects; a readable list confirms the configuration."""
        self._source = listing.source
        self._unreadable_names.clear()
        super().on_listed(listing, as_of)
        self._confirm(as_of)

    def on_changed(self, changes: Changes, as_of: int) -> None:
        """Apply changes; an answer without any confirms the configuration as well."""
        self._source = changes.source
        super().on_changed(changes, as_of)
        self._confirm(as_of)

    def apply_all(self, as_of: int) -> None:
        """Put the configuration into force, if there is one."""
        for configuration in self.values_by_name.values():
            if self.core.configure(configuration, self.clock.now()):
                log.info(
                    f"configuration {configuration.number} in force",
                    extra={
                        "revision": max(self.revision_by_name.values()),
                        "source": self._source or "store",
                        "age_ms": self.clock.now() - as_of,
                    },
                )
                self._log_findings(configuration)
                self._on_configured(configuration)

    def _log_findings(self, configuration: RoutingConfiguration) -> None:
        findings = configuration.findings
        for finding in findings[:FINDINGS_LOGGED_MAX]:
            log.error(
                "entry of the configuration not readable",
                extra={
                    "configuration": configuration.number,
                    "place": finding.place[:LOGGED_CHARACTERS_MAX],
                    "problem": finding.problem[:LOGGED_CHARACTERS_MAX],
                    "findings": len(findings),
                },
            )

    def _record(self, change: Change) -> None:
        super()._record(change)
        if change.object.problem and not change.is_deleted:
            self._unreadable_names.add(change.object.name)
        else:
            self._unreadable_names.discard(change.object.name)

    def _confirm(self, as_of: int) -> None:
        """Confirm the configuration in force unless a newer one is unreadable.

        The unreadable one may withdraw keys.
        """
        if not self._unreadable_names:
            self.core.freshness.confirm(as_of)

    def apply_changes(self, as_of: int) -> None:
        """Put the configuration into force, if there is one."""
        self.apply_all(as_of)


class TargetObserver(_TableObserver):
    """Updates the target registry."""

    kind = Kind.TARGETS

    def on_store_regained(self) -> None:
        """Record that entries may be missing because the store was unavailable."""
        self.core.targets.on_platform_recovered(self.clock.now())

    def apply_all(self, as_of: int) -> None:
        """Replace all targets."""
        self.core.targets.replace(self.values_by_name, self.clock.now())

    def apply_one(self, change: Change) -> None:
        """Add, update or remove one target."""
        stored = change.object
        now = self.clock.now()
        state = self.core.targets.states_by_id.get(stored.name)
        previous = None if state is None else state.record
        if change.is_deleted or stored.value is None:
            self.core.targets.remove(stored.name, now)
            self._log_target(stored.name, "removed", stored.revision)
            return
        self.core.targets.put(stored.value, now)
        is_state_changed = (
            previous is None or previous.is_draining != stored.value.is_draining
        )
        if is_state_changed:
            state_name = "draining" if stored.value.is_draining else "ready"
            self._log_target(stored.name, state_name, stored.revision)

    def _log_target(self, target_id: str, state: str, revision: int) -> None:
        fields = {"target": target_id, "state": state, "revision": revision}
        log.info("target", extra=fields)


class EvacuationObserver(_TableObserver):
    """Applies the set of evacuated data centres."""

    kind = Kind.EVACUATIONS

    def apply_all(self, as_of: int) -> None:
        """Apply the evacuated data centres."""
        self.core.evacuate(self.values_by_name, self.clock.now())

    def apply_changes(self, as_of: int) -> None:
        """Apply the evacuated data centres."""
        self._log(f"evacuated data centres: {sorted(self.values_by_name)}")
        self.apply_all(as_of)


class InstanceObserver(_TableObserver):
    """Applies the list of instances.

    Args:
        core: The decisions.
        clock: The clock.
        check_entry: Called with whether the entry of this instance is present and not
            doubted, and the revision of the store at which that is so.
    """

    kind = Kind.INSTANCES

    def __init__(
        self,
        core: DirectCore,
        clock: Clock,
        check_entry: Callable[[bool, Revision], None],
    ):
        super().__init__(core, clock)
        self._revision = Revision(0, 0)
        self._check_entry = check_entry

    def apply_all(self, as_of: int) -> None:
        """Apply the list of instances."""
        self.core.set_instances(self.values_by_name, self.clock.now())
        own = self._own_entry()
        is_current = own is not None and not own.is_doubted
        self._check_entry(is_current, self._revision)

    def _own_entry(self) -> LiveInstance | None:
        own = self.values_by_name.get(self.core.me.name)
        is_of_this_run = own is not None and own.incarnation == self.core.me.incarnation
        return own if is_of_this_run else None

    def _confirm(self, as_of: int) -> None:
        is_present = self._own_entry() is not None
        self.core.confirm_entry(is_present, as_of, self.clock.now())

    def on_listed(self, listing: Listing, as_of: int) -> None:
        """Replace all objects."""
        self._revision = listing.revision
        super().on_listed(listing, as_of)
        self._confirm(as_of)

    def on_changed(self, changes: Changes, as_of: int) -> None:
        """Apply changes."""
        self._revision = changes.revision
        super().on_changed(changes, as_of)
        self._confirm(as_of)

    def apply_changes(self, as_of: int) -> None:
        """Apply the list of instances."""
        self._log(f"instances listed: {len(self.values_by_name)}")
        self.apply_all(as_of)
