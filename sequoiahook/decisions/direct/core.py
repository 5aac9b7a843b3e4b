"""One instance that sends to targets itself: all its decisions, composed."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sequoiahook.decisions.direct.admission import Admission, AdmissionSettings
from sequoiahook.decisions.direct.attempts import Attempts, AttemptsSettings
from sequoiahook.decisions.direct.fleet import (
    Fleet,
    FleetParts,
    FleetSettings,
    Sending,
)
from sequoiahook.decisions.direct.freshness import Freshness, FreshnessSettings
from sequoiahook.decisions.direct.groups import by_strength
from sequoiahook.decisions.direct.rates import Rates, RateSettings
from sequoiahook.decisions.direct.target_registry import (
    TargetRegistry,
    TargetRegistrySettings,
)
from sequoiahook.decisions.direct.target_selection import (
    TargetSelectionSettings,
    TargetSelector,
)
from sequoiahook.messages.reports import Datagram, PeerState
from sequoiahook.world.instance import Address, LiveInstance
from sequoiahook.world.routing import RoutingConfiguration

__all__ = ["DirectCore", "DirectCoreSettings"]

FOLLOWING = "platform"
AGE_UNKNOWN = -1
FOLLOWED_AGE_MS = 1_800
"""A peer that follows the platform has an answer of the last wait or the one before."""

AVOID_MS = 3_000
"""Time for which a peer that did not answer is passed over."""


class DirectCoreSettings(NamedTuple):
    """Settings of all parts.

    Attributes:
        regions: All regions.
        retry_slack: Repeats that all instances together have in one window besides
            those that requests earn.
        admission: Durations of the admission.
        attempts: Limits of attempts.
        freshness: Bounds on the age of the configuration.
        fleet: Settings of the exchange between instances.
        selection: Settings of target selection.
        rates: Settings of the rates.
        targets: How the list of targets is taken.
    """

    regions: tuple[str, ...]
    retry_slack: int
    admission: AdmissionSettings = AdmissionSettings()
    attempts: AttemptsSettings = AttemptsSettings()
    freshness: FreshnessSettings = FreshnessSettings()
    fleet: FleetSettings = FleetSettings()
    selection: TargetSelectionSettings = TargetSelectionSettings()
    rates: RateSettings = RateSettings()
    targets: TargetRegistrySettings = TargetRegistrySettings()


class DirectCore:
    """The parts of an instance, and what one part must know of another.

    Args:
        settings: Settings of all parts.
        me: This instance.
        now: The time in milliseconds.
    """

    def __init__(self, settings: DirectCoreSettings, me: LiveInstance, now: int):
        self.me = me
        self.freshness = Freshness(settings.freshness)
        self.rates = Rates(settings.rates, me.name, now)
        self.targets = TargetRegistry(settings.targets)
        self.selector = TargetSelector(
            settings.selection, me.region, settings.regions, self.targets, now
        )
        parts = FleetParts(self.targets, self.selector, self.rates)
        self.fleet = Fleet(settings.fleet, me, parts, now)
        self.peers = self.fleet.peers
        self.admission = Admission(settings.admission, self.freshness, self.rates)
        self.attempts = Attempts(
            settings.attempts, self.admission, self.selector, self.targets
        )
        self.is_leaving = False
        self._retry_slack = settings.retry_slack
        self._avoided_until_by_peer: dict[str, int] = {}

    @property
    def configuration_number(self) -> int:
        """Number in force; 0 without a configuration."""
        configuration = self.admission.configuration
        return 0 if configuration is None else configuration.number

    def configure(self, configuration: RoutingConfiguration, now: int) -> bool:
        """Put a configuration into force unless it is older than the present one.

        Returns:
            Whether it is now in force and was not before.
        """
        if configuration.number <= self.configuration_number:
            return False
        self.admission.configure(configuration)
        self.rates.update(now)
        return True

    def evacuate(self, data_centres: Iterable[str], now: int) -> None:
        """Take in which data centres get no work."""
        configuration = self.admission.configuration
        services = {} if configuration is None else configuration.services_by_name
        cold_ms_by_service = {s.name: s.cold_ms for s in services.values()}
        self.targets.set_evacuated(data_centres, cold_ms_by_service, now)

    def set_instances(
        self, instances_by_name: Mapping[str, LiveInstance], now: int
    ) -> None:
        """Take in the platform's list of instances."""
        self.fleet.set_instances(instances_by_name, now)
        count = len(self.peers.instances_by_name) + 1
        self.selector.region_instance_count = self.peers.count_in(self.me.region)
        self.attempts.retry_burst = max(1, self._retry_slack // count)

    def is_serving(self, now: int) -> bool:
        """Return whether callers can be served."""
        if self.admission.configuration is None or not self.targets.states_by_id:
            return False
        if not self.admission.configuration.organisations_by_name:
            return True
        return self.freshness.allows_keys(now) and self.rates.is_settled

    def is_ready(self, now: int) -> bool:
        """Return whether the instance should get callers."""
        return self.is_serving(now) and not self.is_leaving

    def addresses(self, region: str, now: int) -> list[Address]:
        """Return where callers of a region should send requests."""
        serving = self.is_serving(now)
        return self.peers.addresses(region, self.is_leaving, serving, now)

    def tick(self, now: int) -> list[str]:
        """Do what is due; return the ids of targets that are now taken as gone."""
        self.fleet.tick(now)
        self.rates.update(now)
        self.selector.tick(now)
        self.selector.disturbance.update("instance", self.peers.heard(now), now)
        self._decide_home_shares(now)
        return self.targets.tick(now)

    def reports(self, now: int, *, includes_far: bool) -> list[Sending]:
        """Return the reports to be sent at this time."""
        age_ms = self.freshness.age_ms(now)
        state = PeerState(
            self.is_leaving,
            self.is_serving(now),
            AGE_UNKNOWN if age_ms is None else age_ms,
        )
        return self.fleet.reports(state, now, includes_far=includes_far)

    def asks(self, now: int) -> list[Sending]:
        """Return the asks for tokens to be sent."""
        return self.fleet.asks(now)

    def serve_waiting(self, now: int) -> list[Sending]:
        """Return the answers to members that waited for tokens of this keeper."""
        return self.fleet.serve_waiting(now)

    def take(self, datagram: Datagram, now: int) -> list[Sending]:
        """Take in what a peer tells; return what is to be sent in turn."""
        return self.fleet.take(datagram, now)

    def forgotten(self, now: int) -> list[str]:
        """Return the peers of the region whose entries this instance should delete."""
        if not self.fleet.is_decider(now):
            return []
        instances = self.peers.instances_by_name
        names = self.peers.forgotten(now)
        return [name for name in names if instances[name].region == self.me.region]

    def follow_from(self, now: int) -> LiveInstance | None:
        """Return the peer that follows the platform for this one; None if none does.

        The first instance of the region that is fresh follows the platform itself; one
        that does not answer is passed over for a while.
        """
        others = self.peers.instances_by_name
        for name in self._by_strength(self.fleet.near_peers(now)):
            if name == self.me.name:
                return None
            if now >= self._avoided_until_by_peer.get(name, 0) and self._follows(name):
                return others[name]
        return None

    def leads_region(self, now: int) -> bool:
        """Return whether this instance hears all of its region and comes first."""
        others = self.peers.instances_by_name.values()
        listed = sum(instance.region == self.me.region for instance in others)
        near = self.fleet.near_peers(now)
        has_all = bool(near) and len(near) == listed
        return has_all and self._by_strength(near)[0] == self.me.name

    def avoid(self, peer: str, now: int) -> None:
        """Do not follow the platform through a peer for a while."""
        self._avoided_until_by_peer[peer] = now + AVOID_MS

    def _by_strength(self, near: list[str]) -> list[str]:
        others = self.peers.instances_by_name
        return by_strength(FOLLOWING, [self.me, *(others[name] for name in near)])

    def _follows(self, name: str) -> bool:
        age_ms = self.peers.configuration_age_ms(name)
        return age_ms is not None and age_ms <= FOLLOWED_AGE_MS

    def _decide_home_shares(self, now: int) -> None:
        shares = self.selector.home_shares
        services = shares.permille_by_service
        shares.update(
            now, {name: self.selector.target_use(name, now) for name in services}
        )
        if not self.fleet.is_decider(now):
            return
        slots = {
            service: self.selector.slots_by_region(service)[self.me.region]
            for service in shares.permille_by_service
        }
        loads = self.fleet.region_loads(now)
        shares.decide(loads, slots, now, is_fast=self.selector.is_starting(now))
