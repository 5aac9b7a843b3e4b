"""Model of the numbered configuration, read from a JSON document."""

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
    """All settings made by operators, with their version number.

    Attributes:
        number: Version number; grows by one with each accepted patch.
        regions_by_name: Regions with their data centres.
        links_by_name: Links between regions.
        services_by_name: Services.
        targets_by_name: Targets of all services.
        organisations_by_name: Organisations with their keys and contracts.
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
        """All data centres, sorted by name."""
        pairs = [
            (data_centre, region.name)
            for region in self.regions_by_name.values()
            for data_centre in region.data_centres
        ]
        return {name: DataCentre(name, region) for name, region in sorted(pairs)}

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre; empty if the data centre is unknown."""
        for region in self.regions_by_name.values():
            if data_centre in region.data_centres:
                return region.name
        return ""


def read_configuration(number: int, document: Any) -> Configuration:
    """Read and validate a configuration document.

    Args:
        number: Version number of the configuration.
        document: Parsed JSON document.

    Raises:
        CheckError: With all findings.
    """
    root = Section(document)
    configuration = Configuration(
        number,
        root.objects_by_name("regions_by_name", read_region),
        root.objects_by_name("links_by_name", read_region_link),
        root.objects_by_name("services_by_name", read_service),
        root.objects_by_name("targets_by_name", read_target),
        root.objects_by_name("organisations_by_name", read_organisation),
        root.objects_by_name("shifts_by_name", read_shift),
    )
    _check_references(root, configuration)
    root.finish()
    return configuration


def _check_references(root: Section, configuration: Configuration) -> None:
    _check_regions(root, configuration)
    _check_uniqueness(root, configuration)
    data_centres = configuration.data_centres_by_name
    services = configuration.services_by_name
    for target in configuration.targets_by_name.values():
        path = f"targets_by_name.{target.name}"
        _check_known(root, f"{path}.service", target.service, services)
        _check_known(root, f"{path}.data_centre", target.data_centre, data_centres)
    for organisation in configuration.organisations_by_name.values():
        path = f"organisations_by_name.{organisation.name}.services"
        for service in organisation.services:
            _check_known(root, path, service, services)
    for shift in configuration.shifts_by_name.values():
        path = f"shifts_by_name.{shift.name}"
        _check_known(root, f"{path}.service", shift.service, services)
        _check_known(root, f"{path}.source", shift.source, data_centres)
        _check_known(root, f"{path}.destination", shift.destination, data_centres)
        if shift.source == shift.destination:
            root.report(f"{path}.destination", "must differ from the source")


def _check_regions(root: Section, configuration: Configuration) -> None:
    seen: set[str] = set()
    for region in configuration.regions_by_name.values():
        for data_centre in region.data_centres:
            if data_centre in seen:
                path = f"regions_by_name.{region.name}.data_centres"
                root.report(path, f"{data_centre!r} is listed more than once")
            seen.add(data_centre)
    for link in configuration.links_by_name.values():
        for region in link.regions:
            path = f"links_by_name.{link.name}.regions"
            _check_known(root, path, region, configuration.regions_by_name)


def _check_uniqueness(root: Section, configuration: Configuration) -> None:
    service_by_prefix: dict[str, str] = {}
    for service in configuration.services_by_name.values():
        other = service_by_prefix.setdefault(service.path_prefix, service.name)
        if other != service.name:
            path = f"services_by_name.{service.name}.path_prefix"
            root.report(path, f"is already used by service {other}")
    organisation_by_digest: dict[str, str] = {}
    for organisation in configuration.organisations_by_name.values():
        for key in organisation.keys_by_name.values():
            other = organisation_by_digest.setdefault(key.digest, organisation.name)
            if other != organisation.name:
                path = f"organisations_by_name.{organisation.name}"
                root.report(
                    f"{path}.keys_by_name.{key.name}.digest",
                    "is already used by another organisation",
                )


def _check_known(root: Section, path: str, name: str, known: dict) -> None:
    if name and name not in known:
        root.report(path, f"{name!r} is not defined")
