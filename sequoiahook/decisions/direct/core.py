"""The decisions of an instance that sends requests to targets itself."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sequoiahook.decisions.direct.admission import Admission, AdmissionSettings
from sequoiahook.decisions.direct.attempt_results import AttemptResults
from sequoiahook.decisions.direct.attempts import Attempts, AttemptsSettings
from sequoiahook.decisions.direct.capacity_control import (
    CapacityControl,
    CapacitySettings,
)
from sequoiahook.decisions.direct.entry_expiry import EntryStep
from sequoiahook.decisions.direct.exit_limit import ExitLimit
from sequoiahook.decisions.direct.fleet import Fleet
from sequoiahook.decisions.direct.fleet_settings import FleetComponents, FleetSettings
from sequoiahook.decisions.direct.freshness import Freshness, FreshnessSettings
from sequoiahook.decisions.direct.groups import by_link_capacity
from sequoiahook.decisions.direct.organisation_shares import contract_weights
from sequoiahook.decisions.direct.outgoing import OutgoingDatagram
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

__all__ = ["PROTOCOL", "DirectCore", "DirectCoreSettings"]

PROTOCOL = 2
"""Version of the messages between instances: from 2 on, relays state the store's era.

Instances read through peers of this version or a later one only.
"""

RELAY_HASH_KEY = "platform"
"""Rendezvous key of the order of relays, on which all instances must agree."""

AGE_UNKNOWN_MS = -1
RELAY_AGE_MAX_MS = 1_800
"""Oldest configuration of a peer that may relay the platform's store.

A peer that watches the store has an answer to its last request or the one before.
"""

RELAYS_MAX = 4
"""Instances of a region that may relay the store; if none of them does, asking all
others in turn would take longer than a call of the store."""

AVOID_RELAY_MS = 3_000
"""Time for which a peer that did not respond is not used as a relay."""


class DirectCoreSettings(NamedTuple):
    """Settings of all components.

    Attributes:
        regions: All regions.
        retry_slack: Retries that all instances together may send in one window, in
            addition to the allowed percentage of requests.
        admission: Durations of admission.
        attempts: Limits of attempts.
        freshness: Bounds on the age of the configuration.
        fleet: Settings of the exchange between instances.
        selection: Settings of target selection.
        rates: Settings of the rates.
        targets: Settings of the target registry.
        capacity: Waits and retry times of requests that find no capacity.
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
    capacity: CapacitySettings = CapacitySettings()


class DirectCore:
    """Composes the decisions of an instance and passes updates between them.

    Args:
        settings: Settings of all components.
        me: This instance.
        now: The time in milliseconds.
    """

    def __init__(self, settings: DirectCoreSettings, me: LiveInstance, now: int):
        self.me = me
        self.freshness = Freshness(settings.freshness)
        self.rates = Rates(settings.rates, me.name, now)
        self.targets = TargetRegistry(settings.targets)
        self.selector = TargetSelector(
            settings.selection,
            me.region,
            settings.regions,
            self.targets,
            now,
            me.data_centre,
        )
        components = FleetComponents(self.targets, self.selector, self.rates)
        self.fleet = Fleet(settings.fleet, me, components, now)
        self.peers = self.fleet.peers
        self.permits = self.fleet.permits
        self.connectivity = self.fleet.connectivity
        self.connectivity.on_lost = self._forget_failures
        self.admission = Admission(settings.admission, self.freshness, self.rates)
        self.exit_limit = ExitLimit()
        self.capacity = CapacityControl(
            settings.capacity, self.selector, self.fleet.shares
        )
        results = AttemptResults(self.admission, self.selector, self.fleet)
        self.attempts = Attempts(
            settings.attempts,
            self.admission,
            self.selector,
            self.targets,
            self.permits,
            self.fleet.suspects,
            self.connectivity,
            self.exit_limit,
            results,
            self.capacity,
        )
        self.is_leaving = False
        self._evacuated: frozenset[str] = frozenset()
        self._ranked_instances: Mapping[str, LiveInstance] | None = None
        self._ranked_names: list[str] = []
        self._retry_slack = settings.retry_slack
        self._avoided_until_by_peer: dict[str, int] = {}

    @property
    def configuration_number(self) -> int:
        """Number of the configuration in force; 0 without one."""
        configuration = self.admission.configuration
        return 0 if configuration is None else configuration.number

    def configure(self, configuration: RoutingConfiguration, now: int) -> bool:
        """Apply a configuration if it is newer than the one in force.

        Returns:
            Whether it was applied.
        """
        if configuration.number <= self.configuration_number:
            return False
        self.admission.configure(configuration)
        self.fleet.shares.weight_by_organisation = contract_weights(
            configuration.organisations_by_name.values()
        )
        self.rates.update(now)
        return True

    def evacuate(self, data_centres: Iterable[str], now: int) -> None:
        """Apply the set of data centres that get no requests."""
        self._evacuated = frozenset(data_centres)
        configuration = self.admission.configuration
        services = {} if configuration is None else configuration.services_by_name
        cold_ms_by_service = {s.name: s.cold_ms for s in services.values()}
        self.targets.set_evacuated(self._evacuated, cold_ms_by_service, now)

    def set_instances(
        self, instances_by_name: Mapping[str, LiveInstance], now: int
    ) -> None:
        """Apply the platform's list of instances."""
        self.fleet.set_instances(instances_by_name, now)
        count = len(self.peers.instances_by_name) + 1
        self.selector.region_instance_count = self.peers.count_in(self.me.region)
        self.selector.region_instance_rank = self.peers.rank_in_region()
        self.attempts.retry_burst = max(1, self._retry_slack // count)

    def is_serving(self, now: int) -> bool:
        """Return whether the instance can serve callers."""
        if self.admission.configuration is None or not self.targets.states_by_id:
            return False
        if not self.admission.configuration.organisations_by_name:
            return True
        return self.freshness.allows_keys(now) and self.rates.is_settled

    def leave(self, last_answer_at: int) -> None:
        """Prepare for the end of this instance.

        Args:
            last_answer_at: Time by which all requests must be answered, in
                milliseconds.
        """
        self.is_leaving = True
        self.exit_limit.last_answer_at = last_answer_at

    def is_ready(self, now: int) -> bool:
        """Return whether callers should be directed to the instance."""
        return self.is_serving(now) and not self.is_leaving

    def addresses(self, region: str, now: int, data_centre: str = "") -> list[Address]:
        """Return the addresses to which callers of a region should send requests.

        Args:
            region: Region of the caller.
            now: The time in milliseconds.
            data_centre: Data centre of the caller. Its instances are preferred once a
                service states its pace, unless it is evacuated.
        """
        if data_centre in self._evacuated or not self._states_pace():
            data_centre = ""
        serving = self.is_serving(now)
        return self.peers.addresses(region, self.is_leaving, serving, now, data_centre)

    def tick(self, now: int) -> list[str]:
        """Run periodic updates; return the ids of targets removed from the registry."""
        self.fleet.tick(now, self.freshness.age_ms(now))
        self.rates.update(now)
        self.connectivity.update(now)
        if not self.connectivity.is_suspected(now):
            self.selector.tick(now)
        self._decide_home_shares(now)
        return self.targets.tick(now)

    def reports(self, now: int, *, includes_far: bool) -> list[OutgoingDatagram]:
        """Return the reports to send at this time."""
        age_ms = self.freshness.age_ms(now)
        state = PeerState(
            self.is_leaving,
            self.is_serving(now),
            AGE_UNKNOWN_MS if age_ms is None else age_ms,
        )
        return self.fleet.reports(state, now, includes_far=includes_far)

    def token_requests(self, now: int) -> list[OutgoingDatagram]:
        """Return the token requests to send."""
        return self.fleet.token_requests(now)

    def serve_waiting(self, now: int) -> list[OutgoingDatagram]:
        """Return the answers to members that waited for tokens of this leader."""
        return self.fleet.serve_waiting(now)

    def receive(self, datagram: Datagram, now: int) -> list[OutgoingDatagram]:
        """Process a datagram of a peer; return the datagrams to send in response."""
        return self.fleet.receive(datagram, now)

    def entry_steps(self, now: int) -> list[EntryStep]:
        """Return the entries of silent instances to doubt or to delete."""
        return self.fleet.entries.steps(now)

    def confirm_entry(self, is_present: bool, as_of: int, now: int) -> None:
        """Record whether the store has the entry of this instance.

        Args:
            is_present: Whether it has.
            as_of: When that was so, in milliseconds.
            now: The time in milliseconds.
        """
        self.fleet.lease.record_entry(is_present, as_of, now)

    def relay_peer(self, now: int) -> LiveInstance | None:
        """Return the peer that relays the platform's store to this instance.

        The first instance of the region whose configuration is fresh watches the store
        itself, without a relay; one that has none yet reads through any other. A peer
        that did not respond is not used for a while.
        """
        others = self.peers.instances_by_name
        if not self.configuration_number:
            return self._configured_peer(now)
        ranked = self._ranked_relays(self._near_relays(now))
        for name in ranked[:RELAYS_MAX]:
            is_avoided = now < self._avoided_until_by_peer.get(name, 0)
            if name == self.me.name and not is_avoided:
                return None
            if name != self.me.name and not is_avoided and self._relays(name):
                return others[name]
        return None

    def _configured_peer(self, now: int) -> LiveInstance | None:
        """Return the peer of the region with the most recently confirmed configuration.

        Whatever its age, it may be newer than that of a store which has returned from a
        copy; an instance that starts admits keys only once it is confirmed.
        """
        age_ms_by_name = {
            name: self.peers.configuration_age_ms(name)
            for name in self._near_relays(now)
            if now >= self._avoided_until_by_peer.get(name, 0)
        }
        known = {name: age for name, age in age_ms_by_name.items() if age is not None}
        if not known:
            return None
        return self.peers.instances_by_name[min(known, key=known.__getitem__)]

    def relay_rank(self, now: int) -> int:
        """Return how many instances of the region rank before this one as a relay."""
        near = self._near_relays(now)
        return self._ranked_relays(near).index(self.me.name)

    def has_all_reports(self, now: int) -> bool:
        """Return whether all peers that report to this instance have done so.

        These are the members of its group, or all in its region in a small fleet.
        """
        groups = self.fleet.groups
        members = set(groups.members)
        if not groups.is_divided:
            instances = self.peers.instances_by_name.values()
            members = {i.name for i in instances if i.region == self.me.region}
        others = members - {self.me.name}
        is_listed = self.fleet.is_listed
        return is_listed and all(self.peers.is_responsive(n, now) for n in others)

    def awaits_peers(self, now: int) -> bool:
        """Return whether peers have a configuration and this instance has none.

        They may know a newer one than a store that has returned from a copy.
        """
        if self.configuration_number:
            return False
        near = self._near_relays(now)
        return any(self.peers.configuration_age_ms(name) is not None for name in near)

    def leads_region(self, now: int) -> bool:
        """Return whether all peers of the region report and this instance is first."""
        others = self.peers.instances_by_name.values()
        listed = sum(instance.region == self.me.region for instance in others)
        near = self.fleet.near_peers(now)
        all_report = bool(near) and len(near) == listed
        return all_report and self._ranked_relays(near)[0] == self.me.name

    def avoid_relay(self, peer: str, now: int) -> None:
        """Stop using an instance as a relay for a while.

        For this instance itself it means to read through others if any can relay.
        """
        self._avoided_until_by_peer[peer] = now + AVOID_RELAY_MS

    def _near_relays(self, now: int) -> list[str]:
        """Return the responsive peers of the region whose messages state the era."""
        instances = self.peers.instances_by_name
        near = self.fleet.near_peers(now)
        return [name for name in near if instances[name].protocol >= PROTOCOL]

    def _ranked_relays(self, near: list[str]) -> list[str]:
        """Return this instance and the given ones of its region in order of relays."""
        others = self.peers.instances_by_name
        if self._ranked_instances is not others:
            # Each replacement of the list of instances is a new object.
            self._ranked_instances = others
            self._ranked_names = by_link_capacity(
                RELAY_HASH_KEY,
                [
                    self.me,
                    *(i for i in others.values() if i.region == self.me.region),
                ],
            )
        present = {self.me.name, *near}
        return [name for name in self._ranked_names if name in present]

    def _relays(self, name: str) -> bool:
        age_ms = self.peers.configuration_age_ms(name)
        return age_ms is not None and age_ms <= RELAY_AGE_MAX_MS

    def _states_pace(self) -> bool:
        """Return whether any service is known to state its pace."""
        configuration = self.admission.configuration
        services = () if configuration is None else configuration.services_by_name
        return any(map(self.selector.states_pace, services))

    def _forget_failures(self, since: int) -> None:
        """Forget what was taken for failures of targets since connectivity failed."""
        for state in self.targets.states_by_id.values():
            state.forget_failures()
        self.selector.lost_capacity.discard_since(since)

    def _decide_home_shares(self, now: int) -> None:
        shares = self.selector.home_shares
        services = shares.permille_by_service
        shares.update(
            now, {name: self.selector.owners.target_use(name, now) for name in services}
        )
        if not self.fleet.is_region_leader(now):
            return
        slots_by_service = {
            service: self.selector.owners.slots_by_region(service)[self.me.region]
            for service in shares.permille_by_service
        }
        loads_by_service = self.fleet.region_loads(now)
        shares.decide(loads_by_service, slots_by_service, now)
