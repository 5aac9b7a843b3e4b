"""Settings of an instance that sends requests to targets itself."""

from typing import NamedTuple

from sequoiahook.daemons.caller_limits import Machine
from sequoiahook.world.instance import Address

__all__ = ["Bounds", "DirectSettings", "Durations"]


class Bounds(NamedTuple):
    """Bounds that the platform sets; times are in milliseconds.

    Attributes:
        withdrawal_ms: Time after which a withdrawn key must be refused everywhere.
        stop_ms: Time between the signal to stop and the kill.
        lookup_lifetime_ms: Longest lifetime of a look-up answer.
        retry_ratio: Retries allowed per request of a service, over all instances.
        retry_slack: Retries that are always allowed, over all instances, in each window
            in which the platform counts them.
        shift_share: Largest fraction of a region's requests that may change the region
            in which they run within two seconds.
    """

    withdrawal_ms: int = 5_000
    stop_ms: int = 6_000
    lookup_lifetime_ms: int = 5_000
    retry_ratio: float = 0.2
    retry_slack: int = 60
    shift_share: float = 0.15


class Durations(NamedTuple):
    """Durations of the daemon's own tasks, in milliseconds.

    Attributes:
        configuration_wait_ms: How long a watch of the configuration waits; its answers
            confirm that the configuration is the newest.
        target_wait_ms: How long a watch of the targets waits.
        evacuation_wait_ms: How long a watch of the evacuations waits.
        instance_wait_ms: How long a watch of the instances waits.
        store_retry_ms: Pause after a failed call of the store.
        store_batch_ms: Pause after a change in the store, so that changes made
            together cost one call.
        report_near_ms: Time between reports to instances of the own region.
        report_far_ms: Time between reports to instances of other regions.
        unresponsive_after_ms: Time without a report after which an instance counts as
            unresponsive.
        expire_after_ms: Time without a report after which the entry of an instance is
            deleted.
        lookup_lifetime_ms: Lifetime of a look-up answer; some callers keep it for
            three times as long, and an instance that stops serves until then.
        exit_ms: Time reserved for the exit between the signal to stop and the kill.
        last_answer_ms: Time reserved before the exit for writing the last answers.
        settings_check_ms: Interval between checks of the settings file.
    """

    configuration_wait_ms: int = 700
    target_wait_ms: int = 3_000
    evacuation_wait_ms: int = 2_000
    instance_wait_ms: int = 8_000
    store_retry_ms: int = 150
    store_batch_ms: int = 300
    report_near_ms: int = 200
    report_far_ms: int = 400
    unresponsive_after_ms: int = 2_500
    expire_after_ms: int = 30_000
    lookup_lifetime_ms: int = 1_500
    exit_ms: int = 400
    last_answer_ms: int = 100
    settings_check_ms: int = 2_000


class DirectSettings(NamedTuple):
    """Settings of one instance.

    Attributes:
        name: Name of the instance.
        data_centre: Data centre in which it runs.
        region: Region of that data centre.
        region_by_data_centre: Region of every data centre.
        caller_address: Address for callers' requests.
        readiness_address: Address for the platform's readiness checks.
        lookup_address: Address for callers' look-ups of instances.
        report_address: Address for reports of other instances (UDP) and links (TCP).
        metrics_address: Address at which counters and latencies are served.
        bounds: Bounds that the platform sets.
        link_mbps: Bandwidth of the machine's link in Mbit/s; 0 if unknown.
        is_first_start: Whether the whole fleet starts for the first time, before any
            caller connects.
        durations: Durations of the daemon's own tasks.
        handover_address: Address for links that carry requests of other instances;
            None to accept none and to hand none over.
        machine: Memory and descriptors of the machine, which limit what callers take.
    """

    name: str
    data_centre: str
    region: str
    region_by_data_centre: dict[str, str]
    caller_address: Address
    readiness_address: Address
    lookup_address: Address
    report_address: Address
    metrics_address: Address
    bounds: Bounds = Bounds()
    link_mbps: int = 0
    is_first_start: bool = False
    durations: Durations = Durations()
    handover_address: Address | None = None
    machine: Machine = Machine()

    @property
    def stopping_ms(self) -> int:
        """Longest time from the signal to stop to the exit, in milliseconds."""
        return self.bounds.stop_ms - self.durations.exit_ms

    @property
    def regions(self) -> tuple[str, ...]:
        """All regions."""
        return tuple(sorted(set(self.region_by_data_centre.values())))
