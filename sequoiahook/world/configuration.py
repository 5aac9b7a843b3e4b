"""The numbered configuration as objects, read from a JSON document."""

from typing import Any, NamedTuple

from sequoiahook.options import Section
from sequoiahook.world.link import RegionLink, read_region_link
from sequoiahook.world.organisation import Organisation, read_organisation
from sequoiahook.world.region import DataCentre, Region, read_region
from sequoiahook.world.service import Service, read_service
from sequoiahook.world.shift import Shift, read_shift
from sequoiahook.world.target import Target, read_target

__all__ = ["Configuration", "read_configuration"]


class Configuration(NamedTuple):
    """Everything that operators decide, at one number.

    Attributes:
        number: Grows by one with each accepted patch.
        regions_by_name: Regions with their data centres.
        links_by_name: Links between regions.
        services_by_name: Services.
        targets_by_name: Targets of all services.
        organisations_by_name: Organisations with keys and contracts.
        shifts_by_name: Planned shifts of traffic.
    """

    number: int
    regions_by_name: dict[str, Region]
    links_by_name: dict[str, RegionLink]
    services_by_name: dict[str, Service]
    targets_by_name: dict[str, Target]
    organisations_by_name: dict[str, Organisation]
    shifts_by_name: dict[str, Shift]

    @property
    def data_centres_by_name(self) -> dict[str, DataCentre]:
        """All data centres, in order of name."""
        pairs = [
            (data_centre, region.name)
            for region in self.regions_by_name.values()
            for data_centre in region.data_centres
        ]
        return {name: DataCentre(name, region) for name, region in sorted(pairs)}

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre; empty if it is not known."""
        for region in self.regions_by_name.values():
            if data_centre in region.data_centres:
                return region.name
        return ""


def read_configuration(number: int, document: Any) -> Configuration:
    """Read and check a configuration document.

    Args:
        number: The number of the configuration.
        document: The parsed JSON document.

    Raises:
        CheckError: With every finding and its place.
    """
    root = Section(document)
    configuration = Configuration(
        number,
        root.by_key("regions_by_name", read_region),
        root.by_key("links_by_name", read_region_link),
        root.by_key("services_by_name", read_service),
        root.by_key("targets_by_name", read_target),
        root.by_key("organisations_by_name", read_organisation),
        root.by_key("shifts_by_name", read_shift),
    )
    _check_references(root, configuration)
    root.finish()
    return configuration


def _check_references(root: Section, configuration: Configuration) -> None:
    _check_regions(root, configuration)
    _check_services(root, configuration)
    data_centres = configuration.data_centres_by_name
    services = configuration.services_by_name
    for target in configuration.targets_by_name.values():
        place = f"targets_by_name.{target.name}"
        _check_known(root, f"{place}.service", target.service, services)
        _check_known(root, f"{place}.data_centre", target.data_centre, data_centres)
    for organisation in configuration.organisations_by_name.values():
        place = f"organisations_by_name.{organisation.name}.services"
        for service in organisation.services:
            _check_known(root, place, service, services)
    for shift in configuration.shifts_by_name.values():
        place = f"shifts_by_name.{shift.name}"
        _check_known(root, f"{place}.service", shift.service, services)
        _check_known(root, f"{place}.source", shift.source, data_centres)
        _check_known(root, f"{place}.destination", shift.destination, data_centres)
        if shift.source == shift.destination:
            root.report(f"{place}.destination", "is also the source")


def _check_regions(root: Section, configuration: Configuration) -> None:
    seen: set[str] = set()
    for region in configuration.regions_by_name.values():
        for data_centre in region.data_centres:
            if data_centre in seen:
                place = f"regions_by_name.{region.name}.data_centres"
                root.report(place, f"{data_centre!r} is named twice")
            seen.add(data_centre)
    for link in configuration.links_by_name.values():
        for region in link.regions:
            place = f"links_by_name.{link.name}.regions"
            _check_known(root, place, region, configuration.regions_by_name)


def _check_services(root: Section, configuration: Configuration) -> None:
    owner_by_prefix: dict[str, str] = {}
    for service in configuration.services_by_name.values():
        other = owner_by_prefix.setdefault(service.path_prefix, service.name)
        if other != service.name:
            place = f"services_by_name.{service.name}.path_prefix"
            root.report(place, f"is also the prefix of {other}")
    owner_by_digest: dict[str, str] = {}
    for organisation in configuration.organisations_by_name.values():
        for key in organisation.keys_by_name.values():
            other = owner_by_digest.setdefault(key.digest, organisation.name)
            if other != organisation.name:
                place = f"organisations_by_name.{organisation.name}"
                root.report(f"{place}.keys_by_name.{key.name}.digest", "is not unique")


def _check_known(root: Section, place: str, name: str, known: dict) -> None:
    if name and name not in known:
        root.report(place, f"{name!r} is not defined")
