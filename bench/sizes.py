"""The two simulated sizes of a fleet, and their configuration documents."""

from typing import NamedTuple

from sequoiahook.world.configuration import Configuration, read_configuration

__all__ = ["ORGANISATION_SHARES", "SIZES", "Load", "Size"]

REGION_COUNT = 3
DATA_CENTRES_PER_REGION = 2
INSTANCES_PER_DATA_CENTRE = 2
ORGANISATION_SHARES = (0.30, 0.25, 0.15, 0.10, 0.08, 0.06, 0.04, 0.02)
CONTRACT_FACTOR = 1.25
BURST_S = 0.5


class Load(NamedTuple):
    """One service: its targets and the properties of its requests.

    Attributes:
        service: Name of the service.
        target_count: Number of targets in all data centres.
        slots: Requests that a target runs at the same time.
        mean_ms: Mean time that a warm target takes for a request.
        request_bytes: Size of a request.
        answer_bytes: Size of a successful answer.
        deadline_ms: Time after which an answer is late.
    """

    service: str
    target_count: int
    slots: int
    mean_ms: float
    request_bytes: int
    answer_bytes: int
    deadline_ms: int

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that keep all slots busy."""
        return self.target_count * self.slots * 1000 / self.mean_ms


class Size(NamedTuple):
    """The present size of one user's fleet.

    Attributes:
        name: Name of the size.
        between_regions_ms: One-way delay between two regions.
        bits_per_second: Rate of each link between two regions.
        loads: The services.
        same_region_ms: One-way delay within a region.
        caller_ms: One-way delay between a caller and its data centre.
    """

    name: str
    between_regions_ms: int
    bits_per_second: int
    loads: tuple[Load, ...]
    same_region_ms: int = 1
    caller_ms: int = 3

    @property
    def data_centres(self) -> list[str]:
        """Names of the data centres, of the form ``REGION-DATA_CENTRE``."""
        return [
            f"r{region}-d{number}"
            for region in range(1, REGION_COUNT + 1)
            for number in range(1, DATA_CENTRES_PER_REGION + 1)
        ]

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre."""
        return data_centre.partition("-")[0]

    def instance_names(self, data_centre: str) -> list[str]:
        """Return the names of the instances of a data centre."""
        numbers = range(1, INSTANCES_PER_DATA_CENTRE + 1)
        return [f"{data_centre}-i{number}" for number in numbers]

    def rates_by_organisation(self, utilisation: float) -> dict[str, float]:
        """Return the requests per second of each organisation over all services."""
        total = sum(load.capacity_per_s for load in self.loads) * utilisation
        return {
            f"org{i}": total * share for i, share in enumerate(ORGANISATION_SHARES, 1)
        }

    def document(self, utilisation: float) -> dict:
        """Return the configuration document."""
        regions = [f"r{number}" for number in range(1, REGION_COUNT + 1)]
        pairs = [(a, b) for a in regions for b in regions if a < b]
        return {
            "regions_by_name": {
                region: {
                    "data_centres": [
                        name
                        for name in self.data_centres
                        if self.region_of(name) == region
                    ]
                }
                for region in regions
            },
            "links_by_name": {
                f"{a}-{b}": {
                    "regions": [a, b],
                    "bits_per_second": self.bits_per_second,
                    "one_way_ms": self.between_regions_ms,
                }
                for a, b in pairs
            },
            "services_by_name": {
                load.service: {
                    "path_prefix": f"/{load.service}",
                    "deadline_ms": load.deadline_ms,
                    "warm_up_ms": 5_000,
                }
                for load in self.loads
            },
            "targets_by_name": {
                f"{load.service}-{index}": _target(
                    load, index, self.data_centres[index % len(self.data_centres)]
                )
                for load in self.loads
                for index in range(load.target_count)
            },
            "organisations_by_name": {
                name: {
                    "rate_per_s": max(1, round(rate * CONTRACT_FACTOR)),
                    "burst": max(1, round(rate * CONTRACT_FACTOR * BURST_S)),
                }
                for name, rate in self.rates_by_organisation(utilisation).items()
            },
        }

    def configuration(
        self, utilisation: float, changes: dict | None = None
    ) -> Configuration:
        """Return the configuration, with the tables in ``changes`` replaced."""
        return read_configuration(1, {**self.document(utilisation), **(changes or {})})


def _target(load: Load, index: int, data_centre: str) -> dict:
    # Only second services have 3 slots; the offset keeps their ports distinct.
    return {
        "service": load.service,
        "data_centre": data_centre,
        "host": "10.0.0.1",
        "port": 1 + index + (1_000 if load.slots == 3 else 0),
        "slots": load.slots,
    }


SIZES = {
    "register-size": Size(
        "register-size",
        35,
        280_000_000,
        (
            Load("register", 30, 4, 50, 2_000, 4_000, 2_000),
            Load("archive", 12, 3, 200, 200_000, 2_000, 5_000),
        ),
    ),
    "booking-size": Size(
        "booking-size",
        55,
        4_000_000_000,
        (
            Load("booking-desk", 30, 6, 50, 2_000, 4_000, 2_000),
            Load("case-intake", 12, 3, 200, 1_000_000, 2_000, 5_000),
        ),
    ),
}
